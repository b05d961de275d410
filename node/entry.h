/*
 * The entry of a node: accepts requests from callers outside and from the
 * local target, and forwards them to the guards of a service's targets.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "node_int.h"

struct entry_call; /* opaque: see entry_int.h */

/* ---- entry.c ---- */

void entry_init(struct node *);
/* Releases the entry and its table of calls. */
void entry_destroy(struct node *);
/* Begins a call that a server thread has posted; takes ownership of it. */
void entry_call_start(struct node *, struct entry_call *);
/* Handles a guard's acknowledgement of an attempt; load is in percent. */
void entry_ack(struct node *, uint64_t number, int load);
/* Handles the outcome of an attempt; drops that of an earlier attempt. */
void entry_answer(struct node *, uint64_t number, const Wire__Answer *);
/* Handles timeouts, callers that disconnected and guards that are dead. */
void entry_tick(struct node *, int64_t now);
/*
 * Handles the replacement of the connection to a node.  Answers may be lost
 * with it, so calls that wait for that node query its guard again.
 */
void entry_link_replaced(struct node *, const char *vm);
/* Number of calls in the loop's table. */
int entry_call_count(const struct node *);
/*
 * Number of accepted calls without a reply, including those still in the
 * mailbox; safe from any thread.
 */
int entry_inflight(const struct node *);
/* Refuses new calls from now on; those in flight continue. */
void entry_drain(struct node *);

/* ---- entry_request.c ---- */

/*
 * Callbacks of the two servers for a complete request, from outside and from
 * the local target; they run on the server's thread.  node is a struct node.
 */
void entry_submit_from_caller(void *node, struct server_request *);
void entry_submit_from_service(void *node, struct server_request *);

/* ---- choose.c ---- */

/*
 * Appends, as JSON, the route that a request matches and the state of each of
 * its targets as this entry sees it.
 */
void entry_explain(
    struct node *, const char *method, const char *path, GString *out);

#endif
