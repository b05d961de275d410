/* Spreading of versions among the nodes. */
#ifndef SPREAD_H
#define SPREAD_H

#include "config.h"
#include "node_int.h"

void spread_init(struct node *);
void spread_destroy(struct node *);
/* A version came into force here. */
void spread_applied(struct node *);
/* A peer says what it holds. */
void spread_heard(struct node *, int member);
void spread_push(struct node *, int member, const Wire__SetReply *);
void spread_request(struct node *, const struct link_route *, uint64_t call,
    const Wire__SetRequest *);
void spread_reply(struct node *, const char *peer, const Wire__SetReply *);
void spread_tick(struct node *, int64_t now);
/* A rejection that the next datagram should carry: 1, and where it is. */
int spread_rejection(struct node *, const struct version_state *,
    const struct version **, const char **reason, const char **by);
/* Rank of this node among those alive in its data centre. */
int spread_rank(struct node *);
/* Whether the peers asked at the start have answered, or there were none. */
int spread_asked(const struct node *);
/* The process slept; spread_refreshed tells when its view is fresh again. */
void spread_paused(struct node *, int64_t now);
int spread_refreshed(const struct node *);

#endif
