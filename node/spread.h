/*
 * Distribution of configuration versions among the nodes.  All functions are
 * called by the loop thread.
 */
#ifndef SPREAD_H
#define SPREAD_H

#include "config.h"
#include "node_int.h"

/* Allocates and releases the module's state, n->spread. */
void spread_init(struct node *);
void spread_destroy(struct node *);
/*
 * Pushes the active version to this node's children in the tree.  Called after
 * each decision of the configuration store; does nothing if that version was
 * pushed before.
 */
void spread_applied(struct node *);
/*
 * Handles the version that a member reports in a datagram: completes a push to
 * it, or fetches its version if that is newer.
 */
void spread_peer_version(struct node *, int member);
/* Handles a version that a member pushes. */
void spread_receive_push(struct node *, int member, const Wire__SetReply *);
/* Answers a request for the newest version; call is the peer's call number. */
void spread_answer_request(struct node *, const struct link_route *,
    uint64_t call, const Wire__SetRequest *);
/* Handles a peer's reply to a request of this node. */
void
spread_receive_reply(struct node *, const char *peer, const Wire__SetReply *);
/*
 * Retries and times out pushes, and sends the first requests of a node that
 * starts.  now is of the monotonic clock in ms.
 */
void spread_tick(struct node *, int64_t now);
/*
 * Returns 1 if the next datagram should carry a rejection, and points the
 * arguments at it; they are valid as long as the version state.
 */
int spread_rejection(struct node *, const struct version_state *,
    const struct version **, const char **reason, const char **by);
/*
 * Returns the rank of this node, from 0, in the rendezvous order of the nodes
 * alive in its data centre.
 */
int spread_rank(struct node *);
/*
 * Returns whether one of the peers requested at the start has replied, or no
 * request was sent.
 */
int spread_start_answered(const struct node *);
/*
 * Marks the configuration as possibly stale after the process was paused.
 * spread_is_fresh returns whether it has been confirmed since: a peer has
 * reported the version that this node holds, or none did so in time.
 */
void spread_paused(struct node *, int64_t now);
int spread_is_fresh(const struct node *);

#endif
