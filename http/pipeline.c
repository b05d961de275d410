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

static struct http_exchange *exchange_new(struct http_conn *);
static void exchange_free(struct http_exchange *);
static void begin(struct http_exchange *, struct http_message *);
static void flush(struct http_conn *);
static void finish(struct http_exchange *, const struct http_message *);

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
	g_queue_remove(&x->conn->exchanges, x);
	http_message_free(x->msg);
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
	x->bytes = m->body->len;
	c->bytes += x->bytes;
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

	base_log(G_LOG_LEVEL_MESSAGE, "request-malformed", "status=%d", status);
	x->state = EXCHANGE_BEGUN;
	http_reply_text(x, status, "text/plain", http_status_text(status));
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
 * Writes the answer of the first exchange.  A leaving server keeps the
 * connection until what was begun behind it is answered as well.
 */
static void
finish(struct http_exchange *x, const struct http_message *answer)
{
	struct http_conn *c = x->conn;
	const struct http_exchange *next = g_queue_peek_nth(&c->exchanges, 1);
	int keep;

	keep = x->keep_alive &&
	       !(c->server->leaving &&
		   (next == NULL || next->state == EXCHANGE_HELD));
	http_write_answer(
	    bufferevent_get_output(c->bev), answer, keep, x->is_head);
	exchange_free(x);
	if (!keep)
		pipeline_drop(c);
}

/* Writes what is due, begins what was held, and reads on. */
static void
flush(struct http_conn *c)
{
	struct http_exchange *x;

	while ((x = g_queue_peek_head(&c->exchanges)) != NULL &&
	       x->state == EXCHANGE_READY)
		finish(x, x->msg);
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
