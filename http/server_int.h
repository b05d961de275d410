/* Shared by the parts of the server: connections, and the order on each. */
#ifndef SERVER_INT_H
#define SERVER_INT_H

#include "http.h"

struct http_server {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct http_limits *limits;
	struct http_server_calls calls;
	GHashTable *conns; /* of struct http_conn */
	int leaving;
	int64_t reserved; /* bytes of bodies that are being read */
};

enum exchange_state {
	EXCHANGE_HELD,	/* read, and begun once all before it are answered */
	EXCHANGE_BEGUN, /* with the layer above */
	EXCHANGE_READY, /* its answer waits for those before it */
};

/* A request and its place among those of its connection. */
struct http_exchange {
	struct http_conn *conn;
	enum exchange_state state;
	struct http_message *msg; /* the request while it is held, the answer
				     while that waits */
	size_t reserved;	  /* for its body, until the answer was given */
	size_t bytes;		  /* of the request's body */
	int keep_alive; /* the sender wants the connection kept after it */
	int is_head;	/* the request was a HEAD */
	int old;	/* its sender reads no chunks */
	/* an answer in pieces */
	int in_pieces;		  /* its head was given */
	int started;		  /* and written */
	int chunked, keep;	  /* how it was written */
	int broken;		  /* it ended, and is not whole */
	struct evbuffer *pending; /* pieces that wait for their turn */
	size_t owed; /* bytes of pieces that have not left, as told above */
	void *data;
};

struct http_conn {
	struct http_server *server;
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *timer;
	GQueue exchanges; /* of struct http_exchange, in their order */
	size_t bytes;	  /* of the bodies of their requests */
	int continued;	  /* an interim answer was sent */
	int ending;	  /* closed as soon as the last answer is written */
	int drained;	  /* that is written; only lingering */
	int broken;	  /* an answer was cut: closed without a word */
	size_t reserved;  /* of the bodies that may be read, for this one */
};

/* pipeline.c */
/* Whether another request may be read from a connection now. */
int pipeline_has_room(const struct http_conn *);
/* Takes a whole request: it is begun, or held until its turn. */
void pipeline_take(struct http_conn *, struct http_message *);
/* Begins the request that was held, if its turn has come. */
void pipeline_advance(struct http_conn *);
/* Tells the layer above of pieces that have left. */
void pipeline_taken(struct http_conn *);
/* Refuses what cannot be read, in its turn; nothing is read behind it. */
void pipeline_refuse(struct http_conn *, int status);
/* Drops all exchanges; those under way are told that their sender has gone. */
void pipeline_drop(struct http_conn *);

#endif
