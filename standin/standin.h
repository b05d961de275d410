/*
 * Small stand-ins for what surrounds the system: the platform, a target,
 * callers.  They share a blocking HTTP server of one thread a connection.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <microhttpd.h>

#include "../base/base.h"

/* Errors of this package. */
enum standin_err {
	STANDIN_OK = 0,
	STANDIN_ELISTEN = -601, /* the address cannot be listened on */
};

#define STANDIN_BODY_MAX (2 * 1024 * 1024) /* bytes */

/* One request, whole. */
struct visit {
	struct MHD_Connection *conn;
	const char *method, *path; /* the path without its query */
	GByteArray *body;
};

/* Handles one request on the connection's thread; queues the answer. */
typedef enum MHD_Result (*visit_handler)(void *arg, struct visit *);

/* Listens on ADDRESS:PORT with at most the given connections. */
int standin_listen(struct MHD_Daemon **, const char *listen,
    unsigned int connections, visit_handler, void *arg);
/* Answers with a text, or bytes. */
enum MHD_Result standin_answer(struct visit *, unsigned int status,
    const char *type, const void *data, size_t len);
enum MHD_Result
standin_text(struct visit *, unsigned int status, const char *text);
/* Query parameter and header, or NULL. */
const char *standin_query(struct visit *, const char *name);
const char *standin_header(struct visit *, const char *name);
/* Blocks until SIGTERM or SIGINT, which must be blocked by then. */
void standin_block_signals(void);
void standin_wait_signal(void);

#endif
