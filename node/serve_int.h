/* Parts of the guard side: requests held, and replies to entries. */
#ifndef SERVE_INT_H
#define SERVE_INT_H

#include "record.h"

/* ---- served.c ---- */

/* The request that an entry knows by a number; id NULL matches any. */
struct served *served_find(
    struct node *n, const char *id, const struct link_route *r, uint64_t call);
/* The request held under an id that runs once. */
struct served *served_by_id(struct node *n, const char *id);
/* Releases a request. */
void served_free(gpointer p);
/* Lets somebody wait for a held request; 0 when too many do. */
int served_wait(struct served *s, const struct link_route *r, uint64_t call);

/* ---- reply.c ---- */

/* Tells an entry that its request is held. */
void reply_ack(struct node *n, const struct link_route *r, uint64_t call);
/* Sends an answer its way. */
void reply_answer(
    struct node *n, const struct link_route *r, uint64_t call, Wire__Answer *a);
/* Sends an outcome without an answer of the target. */
void reply_outcome(struct node *n, const struct link_route *r, uint64_t call,
    enum call_outcome out, int crashes);
/* Gives all who wait the same answer. */
void reply_all(struct node *n, struct served *s, Wire__Answer *a);
/* Gives all who wait an outcome without an answer. */
void reply_all_outcome(struct node *n, struct served *s, enum call_outcome out);
/* Sends the answer kept under an id; 0 when there is none. */
int reply_kept(struct node *n, const struct kept_store *from,
    const struct link_route *r, uint64_t call, const char *id);

#endif
