/*
 * HTTP/1.1 over libevent's buffered connections: a parser built on
 * libhttp-parser, functions that write messages, a client that makes one
 * request at a time, and a server with pipelining.  This package makes no
 * routing decisions.
 */
#ifndef HTTP_H
#define HTTP_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>

#include "../base/base.h"
#include "header.h"

/* Errors of this package. */
enum http_err {
	HTTP_OK = 0,
	HTTP_EMALFORMED = -601, /* not a valid HTTP/1.1 message */
	HTTP_EHEAD = -602,	/* head larger than head_max */
	HTTP_EBODY = -603,	/* body larger than body_max */
	HTTP_ETRUNCATED = -604, /* the connection ended inside a message */
	HTTP_ECONNECT = -605, /* no connection, or it ended before an answer */
	HTTP_ETIMEOUT = -606, /* no complete answer before the timeout */
	HTTP_EINCOMPLETE = -607 /* incomplete: more bytes are needed */
};

/* A request or an answer; owns its strings, headers and body. */
struct http_message {
	char *method;	 /* of a request, e.g. "GET"; NULL in an answer */
	char *path;	 /* of a request, including the query */
	int status;	 /* of an answer; 0 in a request */
	GArray *headers; /* of struct http_header */
	GByteArray *body;
	int keep_alive;	 /* the peer keeps the connection open */
	int until_close; /* an answer whose body ends with the connection */
	int http10;	 /* HTTP/1.0: the peer cannot read chunked bodies */
	int64_t length;	 /* Content-Length in bytes, or -1 if absent */
};

struct http_message *http_message_new(void);
void http_message_free(struct http_message *);
/* Returns a deep copy, which the calling code frees. */
struct http_message *http_message_copy(const struct http_message *);
/*
 * Returns the value of the first header of this name, compared without case,
 * or NULL.  The string is valid until the headers change.
 */
const char *http_find(const struct http_message *, const char *name);
/*
 * Returns a header's value if it is a decimal from 0 to INT32_MAX, and dflt
 * if it is not or if the header is absent.
 */
int64_t
http_find_int(const struct http_message *, const char *name, int64_t dflt);
/* Appends a header; both strings are copied. */
void http_add(struct http_message *, const char *name, const char *value);
/*
 * Removes every header of this name.  The name must not point into a header
 * of the message, which would be freed while it is compared.
 */
void http_remove(struct http_message *, const char *name);
/*
 * Removes the hop-by-hop headers (see http_header_is_hop) and those that the
 * Connection header lists.  Host stays, even if it is listed.
 */
void http_strip_hop(struct http_message *);

/* ---- parsing ---- */

struct http_parse {
	http_parser parser;
	struct http_message *msg;     /* being parsed */
	GString *name, *value, *path; /* as far as they were received */
	size_t head_max, body_max;    /* bytes */
	size_t head;		      /* bytes of the head read so far */
	size_t line;		      /* bytes of the status line checked */
	int in_value;		      /* parsing a header's value */
	int begun;		      /* the message has started */
	int has_head;		      /* the head is complete */
	int complete;		      /* the message is complete */
	int interim;		      /* interim (1xx) answers skipped */
	int no_body;		      /* an answer to a HEAD request */
	/*
	 * The body is streamed: http_parse_move_body empties the buffer as it
	 * fills, and the announced length may exceed body_max.
	 */
	int in_pieces;
	int err; /* enum http_err */
};

/*
 * Initialises a parser for requests (HTTP_REQUEST) or answers (HTTP_RESPONSE).
 * The limits are in bytes.
 */
void http_parse_init(struct http_parse *, enum http_parser_type,
    size_t head_max, size_t body_max);
void http_parse_free(struct http_parse *);
/* Discards the current message and prepares to parse the next one. */
void http_parse_next(struct http_parse *, enum http_parser_type);
/*
 * Consumes bytes of a buffer up to the end of one message and skips interim
 * answers.  Returns HTTP_OK if the message is complete, HTTP_EINCOMPLETE if
 * more bytes are needed, or the reason why the message is rejected.
 */
int http_parse_feed(struct http_parse *, struct evbuffer *);
/*
 * Moves the part of the body that was received so far to the end of out, so
 * that a streamed body is not held in memory whole.
 */
void http_parse_move_body(struct http_parse *, GByteArray *out);
/*
 * Handles the end of the connection.  Returns HTTP_OK if the message is
 * complete, HTTP_EINCOMPLETE if none had started, HTTP_ETRUNCATED if it is
 * incomplete, or the earlier error.
 */
int http_parse_end(struct http_parse *);
/* Returns the message; ownership passes to the calling code. */
struct http_message *http_parse_take(struct http_parse *);

/* ---- writing ---- */

/*
 * Append a request or an answer with its body.  Hop-by-hop headers of the
 * message are left out, except a request's Host; Content-Length is computed.
 * An answer to HEAD has is_head set.
 */
void http_write_request(struct evbuffer *, const struct http_message *);
void http_write_answer(struct evbuffer *, const struct http_message *,
    int keep_alive, int is_head);
/*
 * Appends the head of an answer whose body follows in pieces, with the
 * message's length if it is set.
 */
void http_write_head(struct evbuffer *, const struct http_message *,
    int keep_alive, int chunked);
/* Appends a piece of a body, as a chunk if chunked is set. */
void
http_write_piece(struct evbuffer *, const void *bytes, size_t len, int chunked);
/* Ends a body: appends the last chunk if chunked is set. */
void http_write_end(struct evbuffer *, int chunked);
/* Returns the reason phrase of a status code, or "-". */
const char *http_status_text(int status);

/* ---- connections ---- */

/*
 * Starts a connection to IPv4 ADDRESS:PORT, with the options of
 * http_set_socket_options set. Returns NULL on failure.
 */
struct bufferevent *http_connect(struct event_base *, const char *addr);
/*
 * Sets TCP options: no delay, and keepalive and user timeouts that end the
 * connection to an unreachable peer within about three seconds.
 */
void http_set_socket_options(evutil_socket_t);
/* Schedules a timer, in ms from now. */
void http_timer_set(struct event *, int64_t ms);
/* Closes with a TCP reset; unsent bytes are dropped.  Frees the bufferevent. */
void http_reset(struct bufferevent *);

/* ---- client: one request at a time on a persistent connection ---- */

struct http_client; /* opaque: see client.c */

/*
 * Reports the result: HTTP_OK and the answer, which is freed after the
 * callback, or an error and NULL.
 */
typedef void (*http_client_done)(
    void *arg, int err, const struct http_message *answer);

struct http_client *http_client_new(struct event_base *, const char *addr);
void http_client_free(struct http_client *);
/*
 * Starts a GET.  A request in flight is cancelled and its callback is not
 * called.  Errors are reported by the callback, never from within this call.
 */
void http_client_get(struct http_client *, const char *path, int timeout_ms,
    http_client_done, void *arg);
/* Returns whether a request is in flight. */
int http_client_busy(const struct http_client *);

/* ---- server: pipelined requests, answered in order ---- */

struct http_server;   /* opaque: see server_int.h */
struct http_exchange; /* opaque: a request and its pending answer */

/* Limits on what clients send; they may change while the server runs. */
struct http_limits {
	int head_bytes, body_bytes; /* of one request */
	int head_ms;		    /* to receive a complete request */
	int idle_ms;		    /* between requests */
	/*
	 * Total of the bodies that are received or wait for an answer, over
	 * all connections; 0: unlimited.
	 */
	int64_t bodies_bytes;
};

/* The handler of a server's requests. */
struct http_server_calls {
	void *arg;
	/*
	 * A complete request.  The handler owns the message and replies to
	 * the exchange once.
	 */
	void (*request)(
	    void *arg, struct http_exchange *, struct http_message *);
	/*
	 * The connection closed before the handler's answer ended.  The
	 * exchange is freed after this call.
	 */
	void (*gone)(void *arg, struct http_exchange *);
	/*
	 * Returns whether a request may start before earlier ones on its
	 * connection are answered.  Its answer is lost if one of those closes
	 * the connection.  NULL: no request may.
	 */
	int (*may_pipeline)(void *arg, const struct http_message *);
	/*
	 * Bytes of an answer's pieces sent since the last call, for flow
	 * control; a small part may still be in the output buffer.  May be
	 * NULL.
	 */
	void (*written)(void *arg, struct http_exchange *, size_t);
};

/*
 * Creates a server that listens on ADDRESS:PORT.  The limits are not copied
 * and must outlive the server.  Returns NULL if it cannot listen.
 */
struct http_server *http_server_new(struct event_base *, const char *addr,
    const struct http_limits *, const struct http_server_calls *);
/* Stops listening, closes all connections and frees the server. */
void http_server_free(struct http_server *);
/*
 * Drains the server: a connection closes after the answer to the last request
 * that was received on it.  An idle or new connection still takes one request.
 */
void http_server_drain(struct http_server *);
/*
 * Returns whether no request is pending or being received, and all answers are
 * written.
 */
int http_server_idle(const struct http_server *);
/*
 * The two steps before a process exits.  The first accepts the connections that
 * wait and closes the listener; returns 0 if it was closed before.  The second
 * closes idle connections, unless input waits, and returns the number of
 * others.
 */
int http_server_stop_listening(struct http_server *);
int http_server_close_idle(struct http_server *);
/* Sends an answer, which is not kept.  The exchange is invalid afterwards. */
void http_reply(struct http_exchange *, const struct http_message *);
/*
 * Streams an answer: its head, with the body's length in bytes or -1 if it is
 * unknown, then pieces, then the end.  If the answer is not complete, the
 * connection is reset.  The exchange is invalid after http_reply_end.
 */
void http_reply_begin(struct http_exchange *, const struct http_message *);
void http_reply_piece(struct http_exchange *, const void *bytes, size_t len);
void http_reply_end(struct http_exchange *, int complete);
/* Answers with a text body of a content type. */
void http_reply_text(
    struct http_exchange *, int status, const char *type, const char *text);
/* Why the connection closed, for the log; valid in gone. */
const char *http_close_reason(const struct http_exchange *);
/* Data that the handler attaches to an exchange; not owned by it. */
void http_exchange_set(struct http_exchange *, void *data);
void *http_exchange_data(const struct http_exchange *);

#endif
