/*
 * The guard's side of a node: admits requests that entries forward to the
 * local target, runs them there and answers.  This layer lies below the entry;
 * answers to this node's own entry go through struct entry_replies.
 */
#ifndef SERVE_H
#define SERVE_H

#include "node_int.h"

/* Callbacks that deliver answers to this node's own entry, without a link. */
struct entry_replies {
	void (*ack)(struct node *, uint64_t call, int load);
	void (*answer)(struct node *, uint64_t call, const Wire__Answer *);
};

/* ---- serve.c ---- */

/* Allocates n->guard and starts the target's worker pool; no guard yet. */
void serve_init(struct node *);
/* Stops the workers and releases the guard and all pending requests. */
void serve_destroy(struct node *);
/* Handles a forwarded request; replies over the route under number call. */
void serve_forward(struct node *, const struct link_route *, uint64_t call,
    const Wire__Forward *);
/*
 * Handles an entry's query about a request that it sent earlier.  Acknowledges
 * one that is pending, resends a cached answer, and otherwise fences the id,
 * so that a delayed copy is refused if it arrives later.
 */
void serve_fence(struct node *, const struct link_route *, uint64_t call,
    const Wire__Fence *);
/* Removes a waiter; a queued request without waiters is dropped, not run. */
void serve_cancel(struct node *, const struct link_route *, uint64_t call);
/* Handles a completed exchange with the target; takes ownership of the job. */
void serve_exchange_done(struct node *, struct exchange_job *);
/* Expires requests and cached answers; now is monotonic ms. */
void serve_tick(struct node *, int64_t now);
/*
 * Creates the guard, once the set has a target on this VM.  slots is the number
 * of requests that the target runs at a time; ids created before wall_ms (wall
 * clock, ms) are unknown to the guard.
 */
void serve_start_guard(struct node *, int slots, int64_t wall_ms);
/* Number of pending requests, queued and running. */
int serve_request_count(const struct node *);
/* The guard, or NULL when the set has had no target on this VM so far. */
struct guard *serve_guard(const struct node *);
/* Name of the local target in the set, or "" when there is none. */
const char *serve_target_name(const struct node *);
/* The guard's load in percent; 0 when there is no guard. */
int serve_load(struct node *);

/* ---- suspect.c ---- */

/*
 * Handles another guard's message: crashes of a fingerprint, the release of a
 * quarantine, or a query for all crashes that count at present.
 */
void suspect_receive(struct node *, int member, const Wire__Suspect *);
/*
 * Releases a fingerprint from quarantine here and at the service's other
 * guards.  Returns 1 if it was quarantined here, else 0.
 */
int suspect_release_quarantine(struct node *, uint64_t fingerprint);

/* ---- role.c ---- */

/* Applies a new set to the guard: its target, slots and peers. */
void role_apply_config(struct node *);
/* Recomputes n->out, whether the guard refuses new requests. */
void role_update_out(struct node *);

/* ---- record.c ---- */

/* Closes the trace file of the guard's decisions. */
void record_close(struct node *);

#endif
