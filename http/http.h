/*
 * HTTP/1.1 messages on buffered connections of libevent: parsing by
 * libhttp-parser, writing, and a client that makes one request at a time.
 * Bodies are held whole; nothing here decides what becomes of a message.
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
	HTTP_EGARBLED = -601,  /* not a message of the protocol */
	HTTP_EHEAD = -602,     /* head above its bound */
	HTTP_EBODY = -603,     /* body above its bound */
	HTTP_ECUT = -604,      /* the connection ended inside a message */
	HTTP_ECONNECT = -605,  /* no connection */
	HTTP_ETIMEOUT = -606,  /* no answer before the deadline */
	HTTP_ENOMESSAGE = -607 /* more bytes are needed */
};

/* One request or answer; owns all it holds. */
struct http_message {
	char *method;	 /* of a request, as "GET" */
	char *path;	 /* of a request, with its query */
	int status;	 /* of an answer */
	GArray *headers; /* of struct http_header */
	GByteArray *body;
	int keep_alive; /* the sender keeps the connection open */
	int to_end;	/* an answer without length, ended by its connection */
	int old;	/* a request whose sender reads no chunks */
	int64_t length; /* of the body as announced, or -1 */
};

struct http_message *http_message_new(void);
void http_message_free(struct http_message *);
/* A copy, owned by the caller. */
struct http_message *http_message_copy(const struct http_message *);
/* Value of a header, or NULL; valid until the headers change. */
const char *http_find(const struct http_message *, const char *name);
/* Integer of a header, or the default when absent or not a number. */
int64_t
http_find_int(const struct http_message *, const char *name, int64_t dflt);
void http_add(struct http_message *, const char *name, const char *value);
void http_remove(struct http_message *, const char *name);
/* Removes what concerns one connection, and what Connection names. */
void http_strip_hop(struct http_message *);

/* ---- parsing ---- */

struct http_parse {
	http_parser parser;
	struct http_message *msg; /* being read */
	GString *name, *value, *path;
	size_t head_max, body_max; /* bytes */
	size_t head;		   /* bytes of the head read so far */
	int in_value;
	int begun;     /* a byte of the message was read */
	int has_head;  /* its head was read */
	int complete;  /* the whole message was read */
	int interim;   /* interim answers before this one */
	int no_body;   /* the answer to a HEAD request */
	int in_pieces; /* the body is taken as it comes, of whatever length */
	int err;       /* enum http_err */
};

/* Prepares for requests (HTTP_REQUEST) or answers (HTTP_RESPONSE). */
void http_parse_init(struct http_parse *, enum http_parser_type,
    size_t head_max, size_t body_max);
void http_parse_free(struct http_parse *);
/* Forgets what was read and begins with the next message. */
void http_parse_next(struct http_parse *, enum http_parser_type);
/*
 * Takes bytes from a buffer up to the end of one message: HTTP_OK when it is
 * whole, HTTP_ENOMESSAGE when more is needed, or why it never will be.
 */
int http_parse_feed(struct http_parse *, struct evbuffer *);
/* Takes what was read of the body, so that no more than that is held. */
void http_parse_take_body(struct http_parse *, GByteArray *out);
/* The sender has ended: the same results; HTTP_ENOMESSAGE between messages. */
int http_parse_end(struct http_parse *);
/* Hands the whole message over. */
struct http_message *http_parse_take(struct http_parse *);

/* ---- writing ---- */

/* Appends a request or an answer; Host is written for requests if set. */
void http_write_request(struct evbuffer *, const struct http_message *);
void http_write_answer(struct evbuffer *, const struct http_message *,
    int keep_alive, int no_body);
/* Appends the head of an answer whose body follows in pieces. */
void http_write_head(struct evbuffer *, const struct http_message *,
    int keep_alive, int chunked);
/* Appends a piece of a body, and the end of one in chunks. */
void
http_write_piece(struct evbuffer *, const void *bytes, size_t len, int chunked);
void http_write_end(struct evbuffer *, int chunked);
const char *http_status_text(int status);

/* ---- connections ---- */

/* A connection to IPv4 ADDRESS:PORT that notices silence; NULL on failure. */
struct bufferevent *http_connect(struct event_base *, const char *addr);
/* Lets a socket notice a dead peer within about three seconds. */
void http_tune(evutil_socket_t);
/* Sets a timer, in ms from now. */
void http_timer(struct event *, int64_t ms);
/* Closes at once: bytes not yet taken by the peer are dropped. */
void http_reset(struct bufferevent *);

/* ---- client: one request at a time on a kept connection ---- */

struct http_client; /* opaque: see client.c */

/* err is HTTP_OK with an answer, or why there is none. */
typedef void (*http_client_done)(
    void *arg, int err, const struct http_message *answer);

struct http_client *http_client_new(struct event_base *, const char *addr);
void http_client_free(struct http_client *);
/* Begins a GET; one that is under way is given up without a call. */
void http_client_get(struct http_client *, const char *path, int timeout_ms,
    http_client_done, void *arg);
int http_client_busy(const struct http_client *);

/* ---- server: requests and their answers, in order on each connection ---- */

struct http_server;   /* opaque: see server_int.h */
struct http_exchange; /* opaque: one request that is due an answer */

/* What senders may send, and how slowly; may change while a server runs. */
struct http_limits {
	int head_bytes, body_bytes;
	int head_ms; /* for a whole request */
	int idle_ms; /* between requests */
	/* of all bodies that are being read, or 0: not bounded */
	int64_t bodies_bytes;
};

struct http_server_calls {
	void *arg;
	/* A whole request, owned by the callee, to be replied to once. */
	void (*request)(
	    void *arg, struct http_exchange *, struct http_message *);
	/* The sender of a request that was not replied to has gone. */
	void (*gone)(void *arg, struct http_exchange *);
	/*
	 * Whether a request may be begun, and lost with its connection, before
	 * those ahead of it are answered; NULL: none may.
	 */
	int (*may_begin)(void *arg, const struct http_message *);
	/* So many bytes of an answer's pieces have left; NULL: nobody asks. */
	void (*taken)(void *arg, struct http_exchange *, size_t);
};

/* Listens on ADDRESS:PORT; NULL when it cannot be listened on. */
struct http_server *http_server_new(struct event_base *, const char *addr,
    const struct http_limits *, const struct http_server_calls *);
/* Closes all connections. */
void http_server_free(struct http_server *);
/* From now on each answer ends its connection. */
void http_server_leave(struct http_server *);
/* Whether no request is with the layer above and all answers have left. */
int http_server_idle(const struct http_server *);
/* Gives the answer; the exchange is gone afterwards. */
void http_reply(struct http_exchange *, const struct http_message *);
/*
 * Gives an answer in pieces: its head, with its length or -1, then pieces, then
 * its end; one that is not whole reaches the sender as a break.  The exchange
 * is gone after the end.
 */
void http_reply_begin(struct http_exchange *, const struct http_message *);
void http_reply_piece(struct http_exchange *, const void *bytes, size_t len);
void http_reply_end(struct http_exchange *, int whole);
/* An answer with a text for a body. */
void http_reply_text(
    struct http_exchange *, int status, const char *type, const char *text);
/* What the layer above keeps for an exchange. */
void http_exchange_set(struct http_exchange *, void *data);
void *http_exchange_data(const struct http_exchange *);

#endif
