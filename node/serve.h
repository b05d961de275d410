/*
 * The guard's side of a node: what entries forward to the target beside it.
 * It knows nothing of the entry; answers to this node's own go by a table.
 */
#ifndef SERVE_H
#define SERVE_H

#include "node_int.h"

/* Where answers go that need no link: the entry of this node. */
struct entry_replies {
	void (*ack)(struct node *, uint64_t call, int load);
	void (*answer)(struct node *, uint64_t call, const Wire__Answer *);
};

/* ---- serve.c ---- */

void serve_init(struct node *);
void serve_destroy(struct node *);
void serve_forward(struct node *, const struct link_route *, uint64_t call,
    const Wire__Forward *);
void serve_fence(struct node *, const struct link_route *, uint64_t call,
    const Wire__Fence *);
void serve_cancel(struct node *, const struct link_route *, uint64_t call);
void serve_done(struct node *, struct exchange_job *);
void serve_tick(struct node *, int64_t now);
/* A target is beside this node: its guard remembers ids from wall_ms on. */
void serve_begin(struct node *, int slots, int64_t wall_ms);
/* Requests held. */
int serve_held(const struct node *);
/* The guard, or NULL when no target of the set is on this VM. */
struct guard *serve_guard(const struct node *);
/* Name of the target beside this node, by the set; "" when there is none. */
const char *serve_target(const struct node *);
/* The guard's load in percent; 0 when there is none. */
int serve_load(struct node *);

/* ---- suspect.c ---- */

/* Another guard tells of crashes, or that a quarantine is lifted, or asks. */
void suspect_told(struct node *, int member, const Wire__Suspect *);
/* Lifts a quarantine here and at the service's other guards; 1: it was. */
int suspect_release(struct node *, uint64_t fingerprint);

/* ---- role.c ---- */

/* A version came into force. */
void role_config(struct node *);
/* Recomputes whether the guard takes new work. */
void role_set_out(struct node *);

/* ---- record.c ---- */

/* Ends the trace of the guard's decisions. */
void record_close(struct node *);

#endif
