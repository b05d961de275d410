/* Blocking HTTP server of the stand-ins, on libmicrohttpd. */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "standin.h"

#define STACK_BYTES (128 * 1024) /* stack of a connection's thread */

/* Argument of the library's callbacks. */
struct listener {
	standin_handler handler;
	void *arg;
};

static enum MHD_Result on_request(void *, struct MHD_Connection *, const char *,
    const char *, const char *, const char *, size_t *, void **);
static void on_completed(
    void *, struct MHD_Connection *, void **, enum MHD_RequestTerminationCode);

/*
 * Called for the head of a request, for each block of its body, and at its end,
 * when the handler is called.
 */
static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct listener *s = arg;
	struct standin_request req = {
		.conn = conn, .method = method, .path = url
	};

	(void)version;
	if (*state == NULL) {
		*state = g_byte_array_new();
		return MHD_YES;
	}
	req.body = *state;
	if (*len > 0) {
		if (req.body->len + *len > STANDIN_BODY_MAX)
			return MHD_NO;
		g_byte_array_append(
		    req.body, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	return s->handler(s->arg, &req);
}

/* Releases a request's body. */
static void
on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	(void)arg;
	(void)conn;
	(void)why;
	if (*state != NULL)
		g_byte_array_free(*state, TRUE);
	*state = NULL;
}

/* The listener is never freed: stand-ins serve until they exit. */
int
standin_listen(struct MHD_Daemon **out, const char *listen,
    unsigned int connections, standin_handler handler, void *arg)
{
	struct sockaddr_in sin;
	struct listener *s;

	if (address_resolve(listen, &sin) != BASE_OK)
		return STANDIN_ELISTEN;
	s = g_new0(struct listener, 1);
	s->handler = handler;
	s->arg = arg;
	*out = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				    MHD_USE_INTERNAL_POLLING_THREAD |
				    MHD_USE_POLL,
	    ntohs(sin.sin_port), NULL, NULL, on_request, s,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
	    MHD_OPTION_CONNECTION_LIMIT, connections,
	    MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES, MHD_OPTION_END);
	return *out != NULL ? STANDIN_OK : STANDIN_ELISTEN;
}

/* Queues the answer; the library sends it after the handler returns. */
enum MHD_Result
standin_answer(struct standin_request *req, unsigned int status,
    const char *type, const void *data, size_t len)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	r = MHD_create_response_from_buffer(
	    len, (void *)data, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r, "Content-Type", type);
	ok = MHD_queue_response(req->conn, status, r);
	MHD_destroy_response(r);
	return ok;
}

/* Answers with a text up to its terminating NUL. */
enum MHD_Result
standin_answer_text(
    struct standin_request *req, unsigned int status, const char *text)
{
	return standin_answer(req, status, "text/plain", text, strlen(text));
}

/* The value is valid until the request ends. */
const char *
standin_query(struct standin_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    req->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* The value is valid until the request ends. */
const char *
standin_header(struct standin_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

/* Called before any thread is created, which inherits the mask. */
void
standin_block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Called by the main thread, which then ends the process. */
void
standin_wait_signal(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &sig);
}
