/*
 * HTTP pipelining.  Requests that the handler's may_pipeline permits start
 * concurrently, up to a limit; answers are written in the order of the
 * requests.  A request that must run at most once starts only after all
 * earlier ones are answered: if one of their answers closed the connection,
 * its own answer would be lost and the client could not safely retry it.
 */
#include <string.h>

#include "server_int.h"

#define PIPELINE_MAX 8 /* unanswered requests of a connection */
/* No further request is read once the pending bodies have this many bytes. */
#define PIPELINE_BODY_MAX (256 * 1024)
/* No further request is read while more bytes of answers are unsent. */
#define OUTPUT_MAX (256 * 1024)
/*
 * Retry-After, in seconds, of a request refused because limits.bodies_bytes is
 * used up: by then the bodies that are now being received should be complete.
 */
#define RETRY_AFTER_S "1"
/* Written pieces are reported once at most this many bytes are unsent. */
#define OUTPUT_REPORT_MAX (32 * 1024)

static struct http_exchange *exchange_new(struct http_conn *);
static void exchange_free(struct http_exchange *);
static void start_exchange(struct http_exchange *, struct http_message *);
static void log_unanswered(const struct http_conn *);
static void flush_answers(struct http_conn *);
static int keep_connection(const struct http_exchange *);
static void write_answer(struct http_exchange *, const struct http_message *);
static void start_pieces(struct http_exchange *);
static void write_piece(struct http_exchange *, const void *, size_t);
static void end_pieces(struct http_exchange *);

/*
 * At most one request is queued, and none is read after a request whose answer
 * closes the connection, has announced that it will or, in HTTP/1.0, may.
 */
int
pipeline_has_room(const struct http_conn *c)
{
	const GList *tail = c->exchanges.tail;
	const struct http_exchange *last = tail != NULL ? tail->data : NULL;

	if (c->closing ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > OUTPUT_MAX)
		return 0;
	return last == NULL || (last->keep_alive && !last->http10 &&
				   (!last->started || last->keep) &&
				   last->state != EXCHANGE_QUEUED &&
				   c->exchanges.length < PIPELINE_MAX &&
				   c->bytes < PIPELINE_BODY_MAX);
}

/* Whether a part of a request was received, or a whole one that is not read. */
int
pipeline_is_receiving(const struct http_conn *c)
{
	return c->parse.begun ||
	       evbuffer_get_length(bufferevent_get_input(c->bev)) > 0;
}

/* Appends an exchange and stops the timer of the request or the idle time. */
static struct http_exchange *
exchange_new(struct http_conn *c)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->conn = c;
	g_queue_push_tail(&c->exchanges, x);
	evtimer_del(c->timer);
	return x;
}

/* Removes an exchange from its connection and frees it. */
static void
exchange_free(struct http_exchange *x)
{
	x->conn->bytes -= x->bytes;
	x->conn->server->reserved -= (int64_t)x->reserved;
	g_queue_remove(&x->conn->exchanges, x);
	http_message_free(x->msg);
	if (x->pending != NULL)
		evbuffer_free(x->pending);
	g_free(x);
}

/* Hands a request and its message to the handler. */
static void
start_exchange(struct http_exchange *x, struct http_message *m)
{
	const struct http_server_calls *calls = &x->conn->server->calls;

	x->msg = NULL;
	x->state = EXCHANGE_ACTIVE;
	calls->request(calls->arg, x, m);
}

/* Only the first request, or one that may be pipelined, starts at once. */
void
pipeline_add(struct http_conn *c, struct http_message *m)
{
	const struct http_server_calls *calls = &c->server->calls;
	int first = g_queue_is_empty(&c->exchanges);
	struct http_exchange *x = exchange_new(c);

	x->keep_alive = m->keep_alive;
	x->is_head = strcmp(m->method, "HEAD") == 0;
	x->http10 = m->http10;
	x->bytes = m->body->len;
	c->bytes += x->bytes;
	x->reserved = c->reserved;
	c->reserved = 0;
	if (first || (calls->may_pipeline != NULL &&
			 calls->may_pipeline(calls->arg, m))) {
		start_exchange(x, m);
		return;
	}
	x->state = EXCHANGE_QUEUED;
	x->msg = m;
}

/* The exchange's keep_alive is 0, so its answer closes the connection. */
void
pipeline_refuse(struct http_conn *c, int status)
{
	struct http_exchange *x = exchange_new(c);
	struct http_message *m;

	base_log(G_LOG_LEVEL_MESSAGE, "request-malformed", "status=%d", status);
	x->state = EXCHANGE_ACTIVE;
	m = http_message_new();
	m->status = status;
	http_add(m, "Content-Type", "text/plain");
	if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
		http_add(m, "Retry-After", RETRY_AFTER_S);
	g_byte_array_append(m->body, (const guint8 *)http_status_text(status),
	    (guint)strlen(http_status_text(status)));
	http_reply(x, m);
	http_message_free(m);
}

/* Logs that a connection closes while a request is unanswered or unread. */
static void
log_unanswered(const struct http_conn *c)
{
	size_t unread = evbuffer_get_length(bufferevent_get_input(c->bev));
	const struct http_exchange *x;
	int active = 0, queued = 0;
	const GList *i;

	for (i = c->exchanges.head; i != NULL; i = i->next) {
		x = i->data;
		active += x->state == EXCHANGE_ACTIVE;
		queued += x->state == EXCHANGE_QUEUED;
	}
	if (active + queued == 0 && !c->parse.begun && unread == 0)
		return;
	base_log(G_LOG_LEVEL_INFO, "connection-closed",
	    "reason=\"%s\" active=%d queued=%d begun=%d unread=%zu",
	    c->close_reason, active, queued, c->parse.begun, unread);
}

/* Frees exchanges from the last to the first, so that none is started. */
void
pipeline_drop(struct http_conn *c, const char *reason)
{
	const struct http_server_calls *calls = &c->server->calls;
	struct http_exchange *x;

	if (!c->closing) {
		c->closing = 1;
		c->close_reason = reason;
		log_unanswered(c);
	}
	while ((x = g_queue_peek_tail(&c->exchanges)) != NULL) {
		if (x->state == EXCHANGE_ACTIVE)
			calls->gone(calls->arg, x);
		exchange_free(x);
	}
}

/*
 * Returns whether the connection is kept after the first exchange.  A draining
 * server keeps it until all requests that it has received are answered.
 */
static int
keep_connection(const struct http_exchange *x)
{
	return x->keep_alive &&
	       (!x->conn->server->draining || x->conn->exchanges.length > 1 ||
		   pipeline_is_receiving(x->conn));
}

/* Writes the answer of the first exchange and frees the exchange. */
static void
write_answer(struct http_exchange *x, const struct http_message *answer)
{
	struct http_conn *c = x->conn;
	int keep = keep_connection(x);

	http_write_answer(
	    bufferevent_get_output(c->bev), answer, keep, x->is_head);
	exchange_free(x);
	if (!keep)
		pipeline_drop(c, "last answer");
}

/* Writes the head and the pending pieces of the first exchange's answer. */
static void
start_pieces(struct http_exchange *x)
{
	struct evbuffer *out = bufferevent_get_output(x->conn->bev);
	size_t n = evbuffer_get_length(x->pending);

	x->started = 1;
	x->chunked = x->msg->length < 0 && !x->http10;
	/* With neither length nor chunks, closing the connection ends it. */
	x->keep = keep_connection(x) && (x->chunked || x->msg->length >= 0);
	http_write_head(out, x->msg, x->keep, x->chunked);
	http_message_free(x->msg);
	x->msg = NULL;
	if (n > 0)
		write_piece(x, evbuffer_pullup(x->pending, -1), n);
	evbuffer_drain(x->pending, n);
}

/* Counts the bytes for pipeline_report_written. */
static void
write_piece(struct http_exchange *x, const void *bytes, size_t len)
{
	http_write_piece(
	    bufferevent_get_output(x->conn->bev), bytes, len, x->chunked);
	x->unreported += len;
}

/* Ends the streamed answer of the first exchange and frees the exchange. */
static void
end_pieces(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	int truncated = x->truncated;
	/* The client may reuse the connection if the head did not forbid it. */
	int keep = x->keep && !truncated;

	if (truncated) {
		c->reset = 1;
		/* Deferred: the calling code may still use the connection. */
		http_timer_set(c->timer, 0);
	} else {
		http_write_end(bufferevent_get_output(c->bev), x->chunked);
	}
	exchange_free(x);
	if (!keep)
		pipeline_drop(
		    c, truncated ? "truncated answer" : "last answer");
}

/*
 * Writes all answers that are not preceded by a pending one, then schedules a
 * read, which starts a queued request.
 */
static void
flush_answers(struct http_conn *c)
{
	struct http_exchange *x;

	while ((x = g_queue_peek_head(&c->exchanges)) != NULL) {
		if (x->in_pieces && !x->started)
			start_pieces(x);
		if (x->state != EXCHANGE_ANSWERED)
			break;
		if (x->in_pieces)
			end_pieces(x);
		else
			write_answer(x, x->msg);
	}
	if (c->closing)
		return;
	if (x == NULL) {
		c->idle_since = base_now_ms();
		http_timer_set(c->timer, c->parse.begun
					     ? c->server->limits->head_ms
					     : c->server->limits->idle_ms);
	}
	/* Deferred, as the handler that replied has not returned. */
	bufferevent_trigger(c->bev, EV_READ,
	    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Called from the event loop only, never from within a reply of the handler. */
void
pipeline_start_queued(struct http_conn *c)
{
	struct http_exchange *x = g_queue_peek_head(&c->exchanges);

	if (x != NULL && x->state == EXCHANGE_QUEUED)
		start_exchange(x, x->msg);
}

/* An answer that waits for earlier ones is copied. */
void
http_reply(struct http_exchange *x, const struct http_message *m)
{
	struct http_conn *c = x->conn;

	x->data = NULL;
	if (g_queue_peek_head(&c->exchanges) != x) {
		x->state = EXCHANGE_ANSWERED;
		x->msg = http_message_copy(m);
		return;
	}
	write_answer(x, m);
	flush_answers(c);
}

/* The head is copied if it must wait for earlier answers. */
void
http_reply_begin(struct http_exchange *x, const struct http_message *m)
{
	x->in_pieces = 1;
	x->msg = http_message_copy(m);
	x->pending = evbuffer_new();
	if (g_queue_peek_head(&x->conn->exchanges) == x)
		start_pieces(x);
}

/* Pieces that must wait for earlier answers are copied to pending. */
void
http_reply_piece(struct http_exchange *x, const void *bytes, size_t len)
{
	if (x->started)
		write_piece(x, bytes, len);
	else
		evbuffer_add(x->pending, bytes, len);
}

/*
 * If the answer has not started, flush_answers ends it after the earlier ones.
 */
void
http_reply_end(struct http_exchange *x, int complete)
{
	struct http_conn *c = x->conn;

	x->data = NULL;
	x->state = EXCHANGE_ANSWERED;
	x->truncated = !complete;
	if (x->started)
		flush_answers(c);
}

/*
 * Only the first exchange writes to the connection, so only it has bytes to
 * report.
 */
void
pipeline_report_written(struct http_conn *c)
{
	const struct http_server_calls *calls = &c->server->calls;
	struct http_exchange *x = g_queue_peek_head(&c->exchanges);
	size_t n;

	if (x == NULL || x->unreported == 0 || x->state != EXCHANGE_ACTIVE ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) >
		OUTPUT_REPORT_MAX)
		return;
	n = x->unreported;
	x->unreported = 0;
	if (calls->written != NULL)
		calls->written(calls->arg, x, n);
}

/* For short answers that a program writes itself. */
void
http_reply_text(
    struct http_exchange *x, int status, const char *type, const char *text)
{
	struct http_message *m = http_message_new();

	m->status = status;
	http_add(m, "Content-Type", type);
	g_byte_array_append(m->body, (const guint8 *)text, (guint)strlen(text));
	http_reply(x, m);
	http_message_free(m);
}

/*
 * The handler finds its own state again by http_exchange_data in gone and
 * written.
 */
void
http_exchange_set(struct http_exchange *x, void *data)
{
	x->data = data;
}

/* Returns NULL if nothing was set, or after the reply. */
void *
http_exchange_data(const struct http_exchange *x)
{
	return x->data;
}

/* Set by pipeline_drop before it calls gone. */
const char *
http_close_reason(const struct http_exchange *x)
{
	return x->conn->close_reason;
}
