/*
 * Links between nodes over ZeroMQ with CURVE.  One socket takes the
 * connections of others, one holds those made from here.  All functions are
 * for the loop thread.
 */
#ifndef LINK_H
#define LINK_H

#include "node.h"
#include "wire.pb-c.h"

#define LINK_ROUTE_MAX 64 /* bytes of a return route */
#define ENDPOINT_MAX   96 /* bytes of an endpoint of the library */

/* Where an answer goes: back over the connection the question came by. */
struct link_route {
	unsigned char id[LINK_ROUTE_MAX];
	size_t len; /* 0: this node itself */
};

struct link; /* opaque: see link.c */

/* A message arrived; from is NULL for answers to what was sent from here. */
typedef void (*link_handler)(void *arg, const char *peer,
    const struct link_route *from, Wire__Envelope *, size_t bytes);

int link_open(struct link **, const char *listen, const struct fleet_keys *,
    link_handler, void *arg);
void link_close(struct link *);
/* Sends to a node by name and address; bytes sent or an error. */
int link_send(
    struct link *, const char *peer, const char *addr, const Wire__Envelope *);
/* Sends back over a route; bytes sent or an error. */
int
link_reply(struct link *, const struct link_route *, const Wire__Envelope *);
/*
 * Which of the fleet's keys a node uses, as its datagrams show: a connection
 * to it is opened with that one.  Returns 1 when one that was opened with
 * another key was dropped, and what waited to be sent over it.
 */
int link_key(struct link *, const char *peer, int key);
/* Drops the connection to a node, so that the next sending opens a new one. */
void link_reset(struct link *, const char *peer);
/*
 * Drops connections that nothing was sent over for idle_ms.  Whoever waits for
 * an answer asks again more often than that, so nobody waits over a dropped
 * one.
 */
void link_release(struct link *, int64_t now, int idle_ms);
/* Connections made from here. */
int link_count(const struct link *);
/* ZeroMQ sockets to poll, at most LINK_SOCKETS; returns how many. */
#define LINK_SOCKETS 3
int link_sockets(struct link *, void **sockets);
/* Handles whatever has arrived. */
void link_receive(struct link *);

#endif
