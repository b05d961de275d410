/*
 * Callers: HTTP in, refusals and answers out.  The server is used for
 * operators as well; only what submit does differs.
 */
#ifndef CALLER_H
#define CALLER_H

#include "../base/base.h"
#include "../mesh/call.h"
#include "../upstream/target.h"

/* Errors of this package. */
enum caller_err {
	CALLER_OK = 0,
	CALLER_ELISTEN = -401, /* the address cannot be listened on */
};

#define CALLER_HEAD_MAX	   32768 /* bytes of a request's line and headers */
#define CALLER_CONNECTIONS 1024	 /* open at a time */
#define CALLER_IDLE_S	   10	 /* a slow or idle sender is cut off after */

struct server; /* opaque: see server.c */

/* One request; owned by the server, valid until it has been replied to. */
struct server_request {
	struct server *server;
	char *method, *path; /* the path with its query */
	struct http_header *headers;
	size_t nheaders;
	GByteArray *body;
	int64_t arrived; /* ms */
	int fd;		 /* of its connection */
	/* the reply */
	int status;
	struct http_header *out_headers;
	size_t nout;
	GBytes *out_body;
	/* of the server */
	void *connection;
	int state; /* enum request_state */
	int too_large;
};

/*
 * Listens on ADDRESS:PORT.  submit is called by the server's thread when a
 * request is whole; server_reply must be called once for it, at any time and
 * from any thread.
 */
int server_start(struct server **, const char *listen, size_t body_max,
    void (*submit)(void *arg, struct server_request *), void *arg);
/* Takes no new connections; those open go on. */
void server_quiesce(struct server *);
void server_stop(struct server *);
/* Gives the reply; takes headers and body over. */
void server_reply(struct server_request *, int status,
    struct http_header *headers, size_t nheaders, GBytes *body);
/* Value of a header, or NULL. */
const char *server_header(const struct server_request *, const char *name);
/* Value of a query parameter, owned by the caller, or NULL. */
char *server_query(const struct server_request *, const char *name);
/* Whether the sender has closed its connection. */
int server_gone(const struct server_request *);

/* What a refusal says. */
struct refusal {
	enum call_outcome why;
	int not_run;	    /* 1: has not run and will not */
	int retry_after_ms; /* 0: at the caller's own pace */
	const char *id;	    /* of the request, or NULL */
	const char *detail; /* for people, or NULL */
};

/* Replies with a refusal: status, Retry-After and a JSON body. */
void refusal_reply(struct server_request *, const struct refusal *);

#endif
