/* The entry of a node: calls of callers, and of the target beside it. */
#ifndef ENTRY_H
#define ENTRY_H

#include "node_int.h"

struct entry_call; /* opaque: see entry_int.h */

/* ---- entry.c ---- */

void entry_init(struct node *);
void entry_destroy(struct node *);
/* A call has reached the loop. */
void entry_call_begin(struct node *, struct entry_call *);
/* The guard has a call; an outcome came. */
void entry_ack(struct node *, uint64_t number, int load);
void entry_answer(struct node *, uint64_t number, const Wire__Answer *);
void entry_tick(struct node *, int64_t now);
/* The connection to a node was replaced: calls that wait for it ask again. */
void entry_relinked(struct node *, const char *vm);
/* Calls that the loop knows of. */
int entry_calls(const struct node *);
/* Calls taken and not replied to, those on their way to the loop too. */
int entry_inflight(const struct node *);
/* Takes no new calls from now on. */
void entry_leave(struct node *);

/* ---- intake.c ---- */

/* For the servers' threads. */
void entry_from_callers(void *node, struct server_request *);
void entry_from_services(void *node, struct server_request *);

/* ---- choose.c ---- */

/* Appends which route and targets a request would take. */
void entry_explain(
    struct node *, const char *method, const char *path, GString *out);

#endif
