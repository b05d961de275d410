/*
 * The order on a connection: requests that may be begun before those ahead of
 * them are answered are with the layer above at once, within bounds; answers
 * leave in the order of the requests.  A request that may run once is begun
 * only when all before it are answered, as its answer would be lost if one of
 * those ended the connection.
 */
#include <string.h>

#include "server_int.h"

#define PIPELINE_MAX   8	    /* requests of a connection at a time */
#define PIPELINE_BYTES (256 * 1024) /* of their bodies, beyond the first */
/* Bytes of answers that the sender has not taken; more is not begun. */
#define UNTAKEN_MAX (256 * 1024)
#define BACK_S	    "1"		/* when bodies that are read now have been */
#define TAKEN_AT    (32 * 1024) /* left to write when more pieces are due */

static struct http_exchange *exchange_new(struct http_conn *);
static void exchange_free(struct http_exchange *);
static void begin(struct http_exchange *, struct http_message *);
static void flush(struct http_conn *);
static int keeps(const struct http_exchange *);
static void finish(struct http_exchange *, const struct http_message *);
static void start(struct http_exchange *);
static void write_piece(struct http_exchange *, const void *, size_t);
static void stop(struct http_exchange *);

/* Whether another request may be read. */
int
pipeline_has_room(const struct http_conn *c)
{
	const GList *tail = c->exchanges.tail;
	const struct http_exchange *last = tail != NULL ? tail->data : NULL;

	if (c->ending ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > UNTAKEN_MAX)
		return 0;
	return last == NULL ||
	       (last->keep_alive && last->state != EXCHANGE_HELD &&
		   !c->server->leaving && c->exchanges.length < PIPELINE_MAX &&
		   c->bytes < PIPELINE_BYTES);
}

/* Appends an exchange to those of a connection. */
static struct http_exchange *
exchange_new(struct http_conn *c)
{
	struct http_exchange *x = g_new0(struct http_exchange, 1);

	x->conn = c;
	g_queue_push_tail(&c->exchanges, x);
	evtimer_del(c->timer);
	return x;
}

/* Takes an exchange from its connection and releases it. */
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

/* Hands a request to the layer above. */
static void
begin(struct http_exchange *x, struct http_message *m)
{
	const struct http_server_calls *calls = &x->conn->server->calls;

	x->msg = NULL;
	x->state = EXCHANGE_BEGUN;
	calls->request(calls->arg, x, m);
}

/* Takes a whole request. */
void
pipeline_take(struct http_conn *c, struct http_message *m)
{
	const struct http_server_calls *calls = &c->server->calls;
	int first = g_queue_is_empty(&c->exchanges);
	struct http_exchange *x = exchange_new(c);

	x->keep_alive = m->keep_alive;
	x->is_head = strcmp(m->method, "HEAD") == 0;
	x->old = m->old;
	x->bytes = m->body->len;
	c->bytes += x->bytes;
	x->reserved = c->reserved;
	c->reserved = 0;
	if (first ||
	    (calls->may_begin != NULL && calls->may_begin(calls->arg, m))) {
		begin(x, m);
		return;
	}
	x->state = EXCHANGE_HELD;
	x->msg = m;
}

/* Refuses what cannot be read, and ends the connection after it. */
void
pipeline_refuse(struct http_conn *c, int status)
{
	struct http_exchange *x = exchange_new(c);
	struct http_message *m;

	base_log(G_LOG_LEVEL_MESSAGE, "request-malformed", "status=%d", status);
	x->state = EXCHANGE_BEGUN;
	m = http_message_new();
	m->status = status;
	http_add(m, "Content-Type", "text/plain");
	if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
		http_add(m, "Retry-After", BACK_S);
	g_byte_array_append(m->body, (const guint8 *)http_status_text(status),
	    (guint)strlen(http_status_text(status)));
	http_reply(x, m);
	http_message_free(m);
}

/* Drops all exchanges, the last first: nothing waits for what is dropped. */
void
pipeline_drop(struct http_conn *c)
{
	const struct http_server_calls *calls = &c->server->calls;
	struct http_exchange *x;

	c->ending = 1;
	while ((x = g_queue_peek_tail(&c->exchanges)) != NULL) {
		if (x->state == EXCHANGE_BEGUN)
			calls->gone(calls->arg, x);
		exchange_free(x);
	}
}

/*
 * Whether the connection is kept after the first exchange.  A leaving server
 * keeps it until what was begun behind is answered as well.
 */
static int
keeps(const struct http_exchange *x)
{
	const GList *next = x->conn->exchanges.head->next;
	const struct http_exchange *behind = next != NULL ? next->data : NULL;

	return x->keep_alive &&
	       !(x->conn->server->leaving &&
		   (behind == NULL || behind->state == EXCHANGE_HELD));
}

/* Writes the answer of the first exchange. */
static void
finish(struct http_exchange *x, const struct http_message *answer)
{
	struct http_conn *c = x->conn;
	int keep = keeps(x);

	http_write_answer(
	    bufferevent_get_output(c->bev), answer, keep, x->is_head);
	exchange_free(x);
	if (!keep)
		pipeline_drop(c);
}

/* Writes what there is of an answer in pieces, whose turn has come. */
static void
start(struct http_exchange *x)
{
	struct evbuffer *out = bufferevent_get_output(x->conn->bev);
	size_t n = evbuffer_get_length(x->pending);

	x->started = 1;
	x->chunked = x->msg->length < 0 && !x->old;
	/* Without length or chunks the end of the connection ends it. */
	x->keep = keeps(x) && (x->chunked || x->msg->length >= 0);
	http_write_head(out, x->msg, x->keep, x->chunked);
	http_message_free(x->msg);
	x->msg = NULL;
	if (n > 0)
		write_piece(x, evbuffer_pullup(x->pending, -1), n);
	evbuffer_drain(x->pending, n);
}

/* Writes a piece of the first exchange's answer. */
static void
write_piece(struct http_exchange *x, const void *bytes, size_t len)
{
	http_write_piece(
	    bufferevent_get_output(x->conn->bev), bytes, len, x->chunked);
	x->owed += len;
}

/* Ends the answer in pieces of the first exchange. */
static void
stop(struct http_exchange *x)
{
	struct http_conn *c = x->conn;
	int keep = x->keep && !x->broken &&
		   (x->conn->exchanges.length > 1 || !c->server->leaving);

	if (x->broken) {
		c->broken = 1;
		/* From the loop: whoever ends it may be in the middle. */
		http_timer(c->timer, 0);
	} else {
		http_write_end(bufferevent_get_output(c->bev), x->chunked);
	}
	exchange_free(x);
	if (!keep)
		pipeline_drop(c);
}

/* Writes what is due, begins what was held, and reads on. */
static void
flush(struct http_conn *c)
{
	struct http_exchange *x;

	while ((x = g_queue_peek_head(&c->exchanges)) != NULL) {
		if (x->in_pieces && !x->started)
			start(x);
		if (x->state != EXCHANGE_READY)
			break;
		if (x->in_pieces)
			stop(x);
		else
			finish(x, x->msg);
	}
	if (c->ending)
		return;
	if (x == NULL)
		http_timer(c->timer, c->parse.begun
					 ? c->server->limits->head_ms
					 : c->server->limits->idle_ms);
	/* From the loop, as the layer above is not done with its answer. */
	bufferevent_trigger(c->bev, EV_READ,
	    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Begins the request that was held, if all before it are answered. */
void
pipeline_advance(struct http_conn *c)
{
	struct http_exchange *x = g_queue_peek_head(&c->exchanges);

	if (x != NULL && x->state == EXCHANGE_HELD)
		begin(x, x->msg);
}

/* Gives the answer. */
void
http_reply(struct http_exchange *x, const struct http_message *m)
{
	struct http_conn *c = x->conn;

	x->data = NULL;
	if (g_queue_peek_head(&c->exchanges) != x) {
		x->state = EXCHANGE_READY;
		x->msg = http_message_copy(m);
		return;
	}
	finish(x, m);
	flush(c);
}

/* Begins an answer in pieces. */
void
http_reply_begin(struct http_exchange *x, const struct http_message *m)
{
	x->in_pieces = 1;
	x->msg = http_message_copy(m);
	x->pending = evbuffer_new();
	if (g_queue_peek_head(&x->conn->exchanges) == x)
		start(x);
}

/* Gives a piece of it. */
void
http_reply_piece(struct http_exchange *x, const void *bytes, size_t len)
{
	if (x->started)
		write_piece(x, bytes, len);
	else
		evbuffer_add(x->pending, bytes, len);
}

/* Ends it. */
void
http_reply_end(struct http_exchange *x, int whole)
{
	struct http_conn *c = x->conn;

	x->data = NULL;
	x->state = EXCHANGE_READY;
	x->broken = !whole;
	if (x->started)
		flush(c);
}

/* Tells of pieces that have left. */
void
pipeline_taken(struct http_conn *c)
{
	const struct http_server_calls *calls = &c->server->calls;
	struct http_exchange *x = g_queue_peek_head(&c->exchanges);
	size_t n;

	if (x == NULL || x->owed == 0 || x->state != EXCHANGE_BEGUN ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > TAKEN_AT)
		return;
	n = x->owed;
	x->owed = 0;
	if (calls->taken != NULL)
		calls->taken(calls->arg, x, n);
}

/* Gives an answer with a text. */
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

/* Keeps something for an exchange. */
void
http_exchange_set(struct http_exchange *x, void *data)
{
	x->data = data;
}

/* What was kept. */
void *
http_exchange_data(const struct http_exchange *x)
{
	return x->data;
}
