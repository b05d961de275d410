/*
 * Internals of the HTTP server: server.c reads requests from connections and
 * closes them, pipeline.c orders the exchanges of a connection.
 */
#ifndef SERVER_INT_H
#define SERVER_INT_H

#include "http.h"

struct http_server {
	struct event_base *base;
	struct evconnlistener *listener;
	const struct http_limits *limits;
	struct http_server_calls calls;
	GHashTable *conns; /* of struct http_conn */
	int draining;
	int64_t reserved; /* sum of reserved over connections and exchanges */
};

enum exchange_state {
	EXCHANGE_QUEUED,   /* waits for the answers to earlier requests */
	EXCHANGE_ACTIVE,   /* the handler has the request */
	EXCHANGE_ANSWERED, /* the handler's answer has ended */
};

/* A request with its answer, in the connection's order. */
struct http_exchange {
	struct http_conn *conn;
	enum exchange_state state;
	/* the request while queued; an answer that waits for earlier ones */
	struct http_message *msg;
	size_t reserved; /* bytes of limits.bodies_bytes held for the body */
	size_t bytes;	 /* of the request's body */
	int keep_alive;	 /* the request allows a persistent connection */
	int is_head;	 /* the request is a HEAD */
	int http10;	 /* the client cannot read chunked bodies */
	/* a streamed answer */
	int in_pieces;		  /* http_reply_begin was called */
	int started;		  /* the head is written */
	int chunked, keep;	  /* as the head announces */
	int truncated;		  /* ended without being complete */
	struct evbuffer *pending; /* pieces that wait for earlier answers */
	size_t unreported; /* bytes of pieces not yet reported as written */
	void *data;	   /* of the handler */
};

struct http_conn {
	struct http_server *server;
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *timer;
	/* When the last request was answered, ms. */
	int64_t idle_since;
	GQueue exchanges;  /* of struct http_exchange, in request order */
	size_t bytes;	   /* of the bodies of their requests */
	int sent_continue; /* 100 Continue was sent for the current request */
	int closing;	   /* closes once the output is written */
	int lingering;	   /* the output is written and the write side shut */
	int reset;	   /* an answer was truncated: close with a reset */
	const char *close_reason; /* for the log, once closing is set */
	size_t reserved; /* bytes of limits.bodies_bytes for the current body */
};

/* pipeline.c */
/* Returns whether the connection's limits allow to read another request. */
int pipeline_has_room(const struct http_conn *);
/* Returns whether the connection has input of a request not yet started. */
int pipeline_is_receiving(const struct http_conn *);
/* Starts a complete request or queues it; takes ownership of the message. */
void pipeline_add(struct http_conn *, struct http_message *);
/* Starts the queued request if all earlier ones are answered. */
void pipeline_start_queued(struct http_conn *);
/* Reports to the handler the bytes of pieces that were written. */
void pipeline_report_written(struct http_conn *);
/*
 * Answers a request that cannot be read with an error status, after the
 * answers to earlier requests, and closes the connection.
 */
void pipeline_refuse(struct http_conn *, int status);
/*
 * Frees all exchanges and calls the handler's gone for the active ones.  The
 * reason is logged if a request stays unanswered; it must be a literal.
 */
void pipeline_drop(struct http_conn *, const char *reason);

#endif
