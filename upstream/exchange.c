/* One HTTP exchange with the target, using neon. */
#include <string.h>

#include <neon/ne_request.h>

#include "target_int.h"

#define READ_BLOCK_BYTES  16384 /* bytes read at a time */
#define HTTP_UNAVAILABLE  503
#define HTTP_TOO_MANY	  429
#define HTTP_NO_CONTENT	  204
#define HTTP_NOT_MODIFIED 304

static void raise_timeout(struct target_session *, int64_t);
static ne_request *
create_request(struct target_session *, struct exchange_job *);
static int read_answer(ne_request *, struct exchange_job *, GByteArray *);
static void copy_headers(ne_request *, struct exchange_job *);
static enum exchange status_result(ne_request *, const struct exchange_job *);
static enum exchange error_result(int, const struct exchange_job *);
static int is_framed(ne_request *, const struct exchange_job *);

/* Creates an empty job, which the submitter fills with its request. */
struct exchange_job *
exchange_job_new(void)
{
	return g_new0(struct exchange_job, 1);
}

/* Releases a job; NULL is allowed. */
void
exchange_job_free(struct exchange_job *j)
{
	if (j == NULL)
		return;
	http_headers_free(j->headers, j->nheaders);
	http_headers_free(j->out_headers, j->nout);
	if (j->body != NULL)
		g_bytes_unref(j->body);
	if (j->out_body != NULL)
		g_bytes_unref(j->out_body);
	g_free(j->method);
	g_free(j->path);
	g_free(j);
}

/*
 * Raises the read timeout.  neon sets it when a connection opens, so a change
 * costs a new connection.  A longer one than needed is harmless, as the guard
 * answers at the deadline whether or not the worker has returned.
 */
static void
raise_timeout(struct target_session *s, int64_t ms)
{
	int seconds = (int)((ms + BASE_MS_PER_S - 1) / BASE_MS_PER_S);

	if (seconds <= s->read_s)
		return;
	s->read_s = seconds;
	ne_close_connection(s->ne);
	ne_set_read_timeout(s->ne, seconds);
}

/* Builds the request; a header gives the time that is left, in ms. */
static ne_request *
create_request(struct target_session *ts, struct exchange_job *j)
{
	ne_session *s = ts->ne;
	ne_request *req;
	int64_t left = MAX(1, j->deadline - base_now_ms());
	gsize len;
	const char *body;
	size_t i;

	/*
	 * neon resends by itself when a reused connection turns out to be
	 * closed.  A new connection rules this out.
	 */
	if (j->once)
		ne_close_connection(s);
	ne_set_session_flag(s, NE_SESSFLAG_PERSIST, !j->once);
	raise_timeout(ts, left);
	req = ne_request_create(s, j->method, j->path);
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, !j->once);
	for (i = 0; i < j->nheaders; i++)
		ne_add_request_header(
		    req, j->headers[i].name, j->headers[i].value);
	ne_print_request_header(req, "X-Deadline-Ms", "%d", (int)left);
	body = g_bytes_get_data(j->body, &len);
	if (len > 0)
		ne_set_request_body_buffer(req, body, len);
	return req;
}

/* Copies the answer's headers, except hop-by-hop ones. */
static void
copy_headers(ne_request *req, struct exchange_job *j)
{
	GArray *out;
	struct http_header h;
	const char *name, *value;
	void *cur = NULL;

	out = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	while ((cur = ne_response_header_iterate(req, cur, &name, &value))) {
		if (http_header_is_hop(name))
			continue;
		h.name = g_strdup(name);
		h.value = g_strdup(value);
		g_array_append_val(out, h);
	}
	j->nout = out->len;
	j->out_headers = (struct http_header *)(void *)g_array_free(out, FALSE);
}

/* Reads the body; TARGET_ANSWER_MAX bounds the memory of the node. */
static int
read_answer(ne_request *req, struct exchange_job *j, GByteArray *body)
{
	char block[READ_BLOCK_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(req, block, sizeof(block))) > 0) {
		if (body->len + (size_t)n > TARGET_ANSWER_MAX) {
			j->too_large = 1;
			return NE_ERROR;
		}
		g_byte_array_append(body, (guint8 *)block, (guint)n);
	}
	return n < 0 ? NE_ERROR : ne_end_request(req);
}

/*
 * Whether the end of the answer is marked.  A body that ends with its
 * connection, even an empty one, cannot be distinguished from a truncated one.
 */
static int
is_framed(ne_request *req, const struct exchange_job *j)
{
	int status = ne_get_status(req)->code;

	if (strcmp(j->method, "HEAD") == 0 || status == HTTP_NO_CONTENT ||
	    status == HTTP_NOT_MODIFIED)
		return 1;
	return ne_get_response_header(req, "Content-Length") != NULL ||
	       ne_get_response_header(req, "Transfer-Encoding") != NULL;
}

/* Whether a target refused for load: 429, or 503 with a Retry-After. */
static enum exchange
status_result(ne_request *req, const struct exchange_job *j)
{
	if (j->status == HTTP_TOO_MANY)
		return EXCHANGE_SHED;
	if (j->status == HTTP_UNAVAILABLE &&
	    ne_get_response_header(req, "Retry-After") != NULL)
		return EXCHANGE_SHED;
	return EXCHANGE_OK;
}

/* Maps an error of neon to a result. */
static enum exchange
error_result(int ne, const struct exchange_job *j)
{
	switch (ne) {
	case NE_CONNECT:
	case NE_LOOKUP:
		return EXCHANGE_REFUSED;
	case NE_TIMEOUT:
		return EXCHANGE_SLOW;
	default:
		return base_now_ms() >= j->deadline ? EXCHANGE_SLOW
						    : EXCHANGE_BROKEN;
	}
}

/* Runs a job on the worker's session, and sets its result. */
void
exchange_run(struct target_session *s, struct exchange_job *j)
{
	GByteArray *body;
	ne_request *req;
	int64_t began = base_now_us();
	int ne;

	if (base_now_ms() >= j->deadline) {
		/* Nothing was sent, as if the target had shed the request. */
		j->result = EXCHANGE_SHED;
		j->out_body = g_bytes_new(NULL, 0);
		return;
	}
	body = g_byte_array_new();
	req = create_request(s, j);
	if ((ne = ne_begin_request(req)) == NE_OK) {
		j->status = ne_get_status(req)->code;
		copy_headers(req, j);
		ne = read_answer(req, j, body);
		if (ne == NE_OK &&
		    (!is_framed(req, j) || !http_status_is_final(j->status)))
			ne = NE_ERROR;
	}
	if (ne == NE_OK)
		j->result = status_result(req, j);
	else if (j->too_large)
		j->result = EXCHANGE_OK;
	else
		j->result = error_result(ne, j);
	if (ne != NE_OK)
		ne_close_connection(s->ne);
	ne_request_destroy(req);
	j->out_body = g_byte_array_free_to_bytes(body);
	j->latency_us = base_now_us() - began;
}
