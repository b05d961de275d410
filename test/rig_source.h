/*
 * A target that goes on sending, and a caller that takes an answer in pieces:
 * for long answers, and for bytes without end.
 */
#ifndef RIG_SOURCE_H
#define RIG_SOURCE_H

#include "rig.h"

/* A target that goes on sending. */
struct rig_source {
	struct rig *rig;
	struct evconnlistener *listener;
	const char *begin; /* "ID" stands for the id of the request */
	const char *again; /* then this, over and over */
	int64_t most;	   /* bytes of it, 0: without end */
	int cut;	   /* it resets the connection after these */
	int ends;	   /* it ends the connection well after these */
	int drip_ms;	   /* between two bytes, 0: as fast as may be */
	int conns;	   /* connections that are open and have more to send */
};

/* Bytes that a caller got of a body, and how its connection ended. */
struct rig_taker {
	struct bufferevent *bev;
	struct http_parse parse;
	int64_t got;
	int whole, ended;
};

/* Two nodes; the target of the first one is a source. */
void rig_source_start(struct rig *, struct rig_source *);
/* Returns the source's connections that are still open after 3 s. */
int rig_source_stop(struct rig *, struct rig_source *);
/* Asks a node for a long answer. */
void rig_taker_start(
    struct rig *, struct rig_taker *, int node, const char *version);
/* Until the answer is whole or its connection ended, at most 5 s. */
void rig_taker_wait(struct rig *, struct rig_taker *);
void rig_taker_end(struct rig_taker *);

#endif
