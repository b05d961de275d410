/*
 * A target that sends a long or endless answer, and a caller that reads one in
 * pieces.
 */
#ifndef RIG_STREAM_H
#define RIG_STREAM_H

#include "rig.h"

/* A target that answers each request with a stream of bytes. */
struct rig_stream {
	struct rig *rig;
	struct evconnlistener *listener;
	const char *begin; /* sent first; "ID" stands for the request's id */
	const char *again; /* sent repeatedly after it */
	int64_t most;	   /* bytes sent of again, 0: endless */
	int cut;	   /* reset the connection after these bytes */
	int ends;	   /* close the connection in order after them */
	int drip_ms;	   /* between two bytes, 0: at full speed */
	int conns;	   /* open connections with more to send */
};

/* A caller: bytes received of a body, and how its connection ended. */
struct rig_client {
	struct bufferevent *bev;
	struct http_parse parse;
	int64_t got;
	int whole; /* the answer is complete */
	int ended; /* the connection has ended */
};

/* Starts two nodes; the target of the first one is the source. */
void rig_stream_start(struct rig *, struct rig_stream *);
/* Waits until its connections end; returns those still open after 3 s. */
int rig_stream_stop(struct rig *, struct rig_stream *);
/* Sends a request to a node; version is that of HTTP, "1.0" or "1.1". */
void rig_client_start(
    struct rig *, struct rig_client *, int node, const char *version);
/* Waits until the answer is complete or the connection ended, at most 5 s. */
void rig_client_wait(struct rig *, struct rig_client *);
void rig_client_end(struct rig_client *);

#endif
