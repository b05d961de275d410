/*
 * HTTP server based on libmicrohttpd.  One thread serves all connections; a
 * connection is suspended from a complete request until its reply.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "../mesh/member.h"
#include "caller.h"

enum request_state {
	REQUEST_NEW,	 /* first line received */
	REQUEST_READING, /* headers read; receives the body */
	REQUEST_WAITING, /* submitted; connection suspended */
	REQUEST_REPLIED, /* reply stored, not yet queued */
	REQUEST_SENT	 /* reply queued in the library */
};

struct server {
	struct MHD_Daemon *daemon;
	size_t body_max;
	void (*submit)(void *, struct server_request *);
	void *arg;
};

static enum MHD_Result on_request(void *, struct MHD_Connection *, const char *,
    const char *, const char *, const char *, size_t *, void **);
static void on_completed(
    void *, struct MHD_Connection *, void **, enum MHD_RequestTerminationCode);
static void *on_uri(void *, const char *, struct MHD_Connection *);
static enum MHD_Result
on_header(void *, enum MHD_ValueKind, const char *, const char *);
static void read_head(struct server_request *, const char *);
static void request_free(struct server_request *);
static enum MHD_Result
send_reply(struct MHD_Connection *, struct server_request *);
static int
declared_too_large(const struct server *, const struct server_request *);
static enum MHD_Result
reply_too_large(struct MHD_Connection *, struct server_request *);

/* Creates a request from its first line, with the path still encoded. */
static void *
on_uri(void *arg, const char *uri, struct MHD_Connection *conn)
{
	struct server_request *r;

	r = g_new0(struct server_request, 1);
	r->server = arg;
	r->connection = conn;
	r->path = g_strdup(uri);
	r->body = g_byte_array_new();
	r->fd = -1;
	r->arrived = base_now_ms();
	return r;
}

/* Copies one header. */
static enum MHD_Result
on_header(
    void *arg, enum MHD_ValueKind kind, const char *key, const char *value)
{
	GArray *out = arg;
	struct http_header h;

	(void)kind;
	h.name = g_strdup(key);
	h.value = g_strdup(value != NULL ? value : "");
	g_array_append_val(out, h);
	return MHD_YES;
}

/* Fills in the method, headers and socket of a request. */
static void
read_head(struct server_request *r, const char *method)
{
	const union MHD_ConnectionInfo *info;
	GArray *headers;

	r->state = REQUEST_READING;
	r->method = g_strdup(method);
	info = MHD_get_connection_info(
	    r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL)
		r->fd = info->connect_fd;
	headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	MHD_get_connection_values(
	    r->connection, MHD_HEADER_KIND, on_header, headers);
	r->nheaders = headers->len;
	r->headers = (struct http_header *)(void *)g_array_free(headers, FALSE);
}

/* Releases a request. */
static void
request_free(struct server_request *r)
{
	http_headers_free(r->headers, r->nheaders);
	http_headers_free(r->out_headers, r->nout);
	if (r->out_body != NULL)
		g_bytes_unref(r->out_body);
	g_byte_array_free(r->body, TRUE);
	g_free(r->method);
	g_free(r->path);
	g_free(r);
}

/* Queues the reply of a request. */
static enum MHD_Result
send_reply(struct MHD_Connection *conn, struct server_request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result ok;
	gsize len;
	const void *data;
	size_t i;

	data = g_bytes_get_data(r->out_body, &len);
	resp = MHD_create_response_from_buffer(
	    len, (void *)data, MHD_RESPMEM_MUST_COPY);
	for (i = 0; i < r->nout; i++)
		MHD_add_response_header(
		    resp, r->out_headers[i].name, r->out_headers[i].value);
	ok = MHD_queue_response(conn, (unsigned int)r->status, resp);
	MHD_destroy_response(resp);
	r->state = REQUEST_SENT;
	return ok;
}

/* Whether the declared Content-Length exceeds the limit. */
static int
declared_too_large(const struct server *s, const struct server_request *r)
{
	const char *len = server_header(r, "Content-Length");

	return len != NULL && strtoull(len, NULL, 10) > s->body_max;
}

/* Replies that the body exceeds the limit. */
static enum MHD_Result
reply_too_large(struct MHD_Connection *conn, struct server_request *r)
{
	struct refusal ref = { .outcome = OUTCOME_BODY_TOO_LARGE,
		.not_run = 1 };

	r->state = REQUEST_REPLIED;
	refusal_reply(r, &ref);
	return send_reply(conn, r);
}

/*
 * Handles the steps of a request.  libmicrohttpd calls this once after the
 * headers, for each part of the body, at the body's end (*len is 0), and again
 * when the connection is resumed.
 */
static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct server *s = arg;
	struct server_request *r = *state;

	(void)url;
	(void)version;
	if (r == NULL)
		return MHD_NO;
	if (r->state == REQUEST_NEW) {
		read_head(r, method);
		if (declared_too_large(s, r))
			return reply_too_large(conn, r);
		return MHD_YES;
	}
	if (*len > 0) {
		if (r->body->len + *len > s->body_max)
			r->too_large = 1;
		else
			g_byte_array_append(
			    r->body, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	if (r->state == REQUEST_REPLIED)
		return send_reply(conn, r);
	if (r->state != REQUEST_READING)
		return MHD_YES;
	if (r->too_large)
		return reply_too_large(conn, r);
	r->state = REQUEST_WAITING;
	MHD_suspend_connection(conn);
	s->submit(s->arg, r);
	return MHD_YES;
}

/* Releases a request that was answered or aborted. */
static void
on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	(void)arg;
	(void)conn;
	(void)why;
	if (*state != NULL)
		request_free(*state);
	*state = NULL;
}

/* Listens on an address and starts the server's thread. */
int
server_start(struct server **out, const char *listen, size_t body_max,
    void (*submit)(void *, struct server_request *), void *arg)
{
	struct sockaddr_in sin;
	struct server *s;

	if (address_resolve(listen, &sin) != BASE_OK)
		return CALLER_ELISTEN;
	s = g_new0(struct server, 1);
	s->body_max = body_max;
	s->submit = submit;
	s->arg = arg;
	s->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
	    ntohs(sin.sin_port), NULL, NULL, on_request, s,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, s, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, s, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)CALLER_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)CALLER_IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CALLER_HEAD_BYTES_MAX,
	    MHD_OPTION_END);
	if (s->daemon == NULL) {
		g_free(s);
		return CALLER_ELISTEN;
	}
	*out = s;
	return CALLER_OK;
}

/* Stops accepting connections. */
void
server_quiesce(struct server *s)
{
	int fd = MHD_quiesce_daemon(s->daemon);

	if (fd >= 0)
		close(fd);
}

/* Stops the thread and releases the server. */
void
server_stop(struct server *s)
{
	MHD_stop_daemon(s->daemon);
	g_free(s);
}

/* Stores the reply, and resumes the connection if it is suspended. */
void
server_reply(struct server_request *r, int status, struct http_header *headers,
    size_t n, GBytes *body)
{
	r->status = status;
	r->out_headers = headers;
	r->nout = n;
	r->out_body = body;
	if (r->state != REQUEST_WAITING)
		return;
	r->state = REQUEST_REPLIED;
	MHD_resume_connection(r->connection);
}

/* Finds a header by name. */
const char *
server_header(const struct server_request *r, const char *name)
{
	size_t i;

	for (i = 0; i < r->nheaders; i++)
		if (g_ascii_strcasecmp(r->headers[i].name, name) == 0)
			return r->headers[i].value;
	return NULL;
}

/* Finds and decodes a query parameter. */
char *
server_query(const struct server_request *r, const char *name)
{
	const char *q = strchr(r->path, '?');
	size_t n = strlen(name), len;

	while (q != NULL) {
		q++;
		if (strncmp(q, name, n) == 0 && q[n] == '=') {
			len = strcspn(q + n + 1, "&");
			return g_uri_unescape_segment(
			    q + n + 1, q + n + 1 + len, NULL);
		}
		q = strchr(q, '&');
	}
	return NULL;
}

/* Checks for the end of the client's stream without reading from it. */
int
server_client_closed(const struct server_request *r)
{
	char c;

	return r->fd >= 0 && recv(r->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
