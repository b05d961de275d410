/*
 * Links between nodes: ZeroMQ connections, encrypted and authenticated with
 * CURVE.  One socket accepts the connections of other nodes; another holds the
 * connections that this node opens.  A request goes over the latter, its
 * answer comes back over the same connection.  All functions are called by the
 * loop thread.
 */
#ifndef LINK_H
#define LINK_H

#include "node.h"
#include "wire.pb-c.h"

#define LINK_ROUTE_MAX 64 /* bytes of a routing id */
#define ENDPOINT_MAX   96 /* bytes of a ZeroMQ endpoint */

/* Return route of a request: the routing id of its connection. */
struct link_route {
	unsigned char id[LINK_ROUTE_MAX];
	size_t len; /* 0: the request is of this node itself */
};

struct link; /* opaque: see link.c */

/*
 * Called for each message.  For a request of another node, peer is NULL and
 * from is the return route.  For an answer, peer is the name of the node that
 * sent it and from is NULL.  bytes is the packed size.  The handler does not
 * keep the pointers.
 */
typedef void (*link_handler)(void *arg, const char *peer,
    const struct link_route *from, Wire__Envelope *, size_t bytes);

/*
 * Listens at an address, with the first of the fleet's keys.  Returns NODE_OK
 * and the links, or NODE_ELISTEN.
 */
int link_open(struct link **, const char *listen, const struct fleet_keys *,
    link_handler, void *arg);
/* Closes all connections, without waiting for queued messages. */
void link_close(struct link *);
/*
 * Queues a message for a node, by its name and address, opening a connection
 * if there is none.  Returns its size in bytes or NODE_EUNREACHABLE.
 */
int link_send(
    struct link *, const char *peer, const char *addr, const Wire__Envelope *);
/*
 * Queues an answer for a return route.  Returns its size in bytes or
 * NODE_EUNREACHABLE.  An answer whose connection is closed is dropped, which
 * is not reported.
 */
int
link_reply(struct link *, const struct link_route *, const Wire__Envelope *);
/*
 * Sets which of the fleet's keys a node uses, by index, as its datagrams show.
 * Connections to it are opened with that key.  Returns 1 if a connection that
 * was opened with another key was closed; the messages queued on it are lost.
 */
int link_set_key(struct link *, const char *peer, int key);
/* Closes the connection to a node; the next message opens a new one. */
void link_reset(struct link *, const char *peer);
/*
 * Closes the connections over which nothing was sent for idle_ms.  A sender
 * that waits for an answer repeats its request more often than that, so no
 * answer is lost.
 */
void link_close_idle(struct link *, int64_t now, int idle_ms);
/* Number of connections that this node opened. */
int link_count(const struct link *);
/* Writes the ZeroMQ sockets to poll to an array of LINK_SOCKETS. */
#define LINK_SOCKETS 3
int link_sockets(struct link *, void **sockets);
/* Handles the messages that have arrived, up to a batch for each socket. */
void link_receive(struct link *);

#endif
