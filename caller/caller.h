/*
 * HTTP server for callers, and the refusals that they get.  The operators'
 * interface uses the same server with another submit function.
 */
#ifndef CALLER_H
#define CALLER_H

#include "../base/base.h"
#include "../mesh/call.h"
#include "../upstream/target.h"

/* Errors of this package. */
enum caller_err {
	CALLER_OK = 0,
	CALLER_ELISTEN = -401, /* cannot listen on the address */
};

/* Memory of a connection, which bounds a request's line and headers. */
#define CALLER_HEAD_BYTES_MAX  32768
#define CALLER_CONNECTIONS_MAX 1024 /* open at the same time */
#define CALLER_IDLE_TIMEOUT_S  10   /* inactive connections are closed */

struct server; /* opaque: see server.c */

/* A request; owned by the server and valid until server_reply is called. */
struct server_request {
	struct server *server;
	char *method, *path; /* path includes the query */
	struct http_header *headers;
	size_t nheaders;
	GByteArray *body;
	int64_t arrived; /* monotonic ms */
	int fd;		 /* of the connection, or -1 */
	/* set by server_reply */
	int status;
	struct http_header *out_headers;
	size_t nout;
	GBytes *out_body;
	/* private to the server */
	void *connection;
	int state;     /* enum request_state */
	int too_large; /* 1: the body exceeds body_max */
};

/*
 * Listens on ADDRESS:PORT and starts the server's thread, which calls submit
 * for each complete request.  server_reply must then be called exactly once for
 * it, at any time and from any thread.  Bodies above body_max bytes are refused
 * without a call of submit.  Returns CALLER_OK or CALLER_ELISTEN.
 */
int server_start(struct server **, const char *listen, size_t body_max,
    void (*submit)(void *arg, struct server_request *), void *arg);
/* Stops accepting connections; those that are open continue. */
void server_quiesce(struct server *);
/* Stops the thread; every request must have been replied to. */
void server_stop(struct server *);
/* Sends the reply; takes ownership of headers and body. */
void server_reply(struct server_request *, int status,
    struct http_header *headers, size_t nheaders, GBytes *body);
/* Value of a header, owned by the request, or NULL; ignores case. */
const char *server_header(const struct server_request *, const char *name);
/* Decoded value of a query parameter, or NULL; free it with g_free. */
char *server_query(const struct server_request *, const char *name);
/* Whether the client has closed its connection. */
int server_client_closed(const struct server_request *);

/* Contents of a refusal. */
struct refusal {
	enum call_outcome outcome;
	int not_run;	    /* 1: the request has not run and will not */
	int retry_after_ms; /* 0: no Retry-After header */
	const char *id;	    /* of the request, or NULL */
	const char *detail; /* explanation for humans, or NULL */
};

/* Replies with a refusal: status, Retry-After and a JSON body. */
void refusal_reply(struct server_request *, const struct refusal *);

#endif
