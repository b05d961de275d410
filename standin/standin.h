/*
 * HTTP server shared by the stand-ins for the platform, targets and the control
 * interface of the fault proxy.  It blocks, with one thread a connection.
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

#define STANDIN_BODY_MAX (2 * 1024 * 1024) /* bytes of a request's body */

/* One request with its whole body. */
struct standin_request {
	struct MHD_Connection *conn;
	const char *method, *path; /* the path without its query */
	GByteArray *body;
};

/*
 * Handles one request on the connection's thread.  Queues an answer, or returns
 * MHD_NO to close the connection without one.
 */
typedef enum MHD_Result (*standin_handler)(void *arg, struct standin_request *);

/*
 * Listens on ADDRESS:PORT with at most the given connections.  Returns
 * STANDIN_ELISTEN when the address is invalid or in use.
 */
int standin_listen(struct MHD_Daemon **, const char *listen,
    unsigned int connections, standin_handler, void *arg);
/* Answer with bytes, which are copied, or with a text. */
enum MHD_Result standin_answer(struct standin_request *, unsigned int status,
    const char *type, const void *data, size_t len);
enum MHD_Result standin_answer_text(
    struct standin_request *, unsigned int status, const char *text);
/* Query parameter or header, owned by the connection, or NULL. */
const char *standin_query(struct standin_request *, const char *name);
const char *standin_header(struct standin_request *, const char *name);
/*
 * Blocks SIGTERM and SIGINT in this thread and those it creates, and ignores
 * SIGPIPE; then waits for SIGTERM or SIGINT.
 */
void standin_block_signals(void);
void standin_wait_signal(void);

#endif
