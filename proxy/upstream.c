/* HTTP connections to the target beside the node, one exchange on each. */
#include <errno.h>
#include <string.h>

#include "proxy_int.h"

#define HEAD_BYTES_MAX	   65536
#define READ_AHEAD_MAX	   32768 /* bytes read ahead of the credit */
#define BODY_BYTES_MAX	   (ANSWER_BUFFER_MAX + 2 * READ_AHEAD_MAX) /* buffered */
#define CONNECT_TIMEOUT_MS 1000 /* the target is on this machine */
#define IDLE_MAX_MS	   4000 /* until an idle connection is closed */
#define IDLE_SLACK_MS	   500	/* closed before the target's announced time */
/*
 * A request that must run at most once reuses a connection only if that was
 * used this recently, as targets close idle ones without notice.
 */
#define REUSE_RECENT_MS 300
/* Lifetime of an idle limit learned from a connection closed while idle. */
#define IDLE_LEARNED_TTL_MS 10000

struct upstream_exchange {
	struct upstream *up;
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *timer; /* connect timeout, then idle timeout */
	char *id;
	int is_head;
	int reused; /* sent on a connection that was idle */
	int connected;
	int strays; /* answers to other requests, which were dropped */
	int64_t used_at, sent_at;	    /* ms */
	int64_t idle_ms;		    /* idle timeout */
	const struct upstream_calls *calls; /* NULL while idle */
	void *arg;
	/* a streamed answer */
	int in_pieces;	   /* its head was delivered */
	int64_t credit;	   /* bytes that may be delivered */
	int64_t delivered; /* bytes of the body delivered so far */
};

struct upstream {
	struct event_base *base;
	char *addr;
	const struct header_names *names;
	GQueue idle; /* of struct upstream_exchange, most recently used first */
	int64_t idle_limit_ms,
	    idle_limit_until; /* learned limit, and when it expires */
	GHashTable *all;      /* of struct upstream_exchange */
};

const char *const upstream_results[] = {
	[UPSTREAM_ANSWER] = "answer",
	[UPSTREAM_REFUSED] = "refused",
	[UPSTREAM_NOT_SENT] = "no_connection",
	[UPSTREAM_IDLE_CLOSED] = "idle_closed",
	[UPSTREAM_BROKEN] = "broken",
};

static struct upstream_exchange *open_exchange(struct upstream *);
static void close_exchange(struct upstream_exchange *);
static void finish_exchange(
    struct upstream_exchange *, enum upstream_result, struct http_message *);
static void
keep_connection(struct upstream_exchange *, const struct http_message *);
static void learn_idle_limit(struct upstream *, int64_t);
static int64_t idle_limit_ms(const struct upstream *);
static int64_t idle_allowed(const struct upstream *, enum upstream_reuse);
static void connection_lost(struct upstream_exchange *, int);
static int64_t announced_idle_ms(const struct http_message *);
static int
is_stray(const struct upstream_exchange *, const struct http_message *);
static void deliver_body(struct upstream_exchange *);
static void handle_partial(struct upstream_exchange *);
static int handle_answer(struct upstream_exchange *);
static int is_complete_at_eof(struct upstream_exchange *, struct evbuffer *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);

/* Initialises an empty pool of connections to an address. */
struct upstream *
upstream_new(
    struct event_base *base, const char *addr, const struct header_names *names)
{
	struct upstream *u;

	u = g_new0(struct upstream, 1);
	u->base = base;
	u->addr = g_strdup(addr);
	u->names = names;
	g_queue_init(&u->idle);
	u->all = g_hash_table_new(NULL, NULL);
	return u;
}

/* Closes all connections; callbacks of pending exchanges are not called. */
void
upstream_free(struct upstream *u)
{
	GHashTableIter it;
	gpointer key;

	for (;;) {
		g_hash_table_iter_init(&it, u->all);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		close_exchange(key);
	}
	g_hash_table_destroy(u->all);
	g_queue_clear(&u->idle);
	g_free(u->addr);
	g_free(u);
}

/* Closes idle connections; requests in flight are not affected. */
void
upstream_close_idle(struct upstream *u)
{
	while (!g_queue_is_empty(&u->idle))
		close_exchange(g_queue_peek_head(&u->idle));
}

/* Changes the address for new connections, and closes idle ones. */
void
upstream_set_address(struct upstream *u, const char *addr)
{
	upstream_close_idle(u);
	g_free(u->addr);
	u->addr = g_strdup(addr);
}

/* Opens a connection; returns NULL if that fails. */
static struct upstream_exchange *
open_exchange(struct upstream *u)
{
	struct bufferevent *bev;
	struct upstream_exchange *x;

	if ((bev = http_connect(u->base, u->addr)) == NULL)
		return NULL;
	x = g_new0(struct upstream_exchange, 1);
	x->up = u;
	x->bev = bev;
	http_parse_init(
	    &x->parse, HTTP_RESPONSE, HEAD_BYTES_MAX, BODY_BYTES_MAX);
	x->parse.in_pieces = 1;
	bufferevent_setwatermark(bev, EV_READ, 0, READ_AHEAD_MAX);
	x->timer = evtimer_new(u->base, on_timer, x);
	g_hash_table_add(u->all, x);
	bufferevent_setcb(bev, on_read, NULL, on_event, x);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	http_timer_set(x->timer, CONNECT_TIMEOUT_MS);
	return x;
}

/* Closes a connection with a reset, so that the target stops its work. */
static void
close_exchange(struct upstream_exchange *x)
{
	g_queue_remove(&x->up->idle, x);
	g_hash_table_remove(x->up->all, x);
	event_free(x->timer);
	http_parse_free(&x->parse);
	http_reset(x->bev);
	g_free(x->id);
	g_free(x);
}

/* Longest idle time of a connection that may be reused; below 0: none. */
static int64_t
idle_allowed(const struct upstream *u, enum upstream_reuse reuse)
{
	switch (reuse) {
	case UPSTREAM_REUSE_ANY:
		return idle_limit_ms(u);
	case UPSTREAM_REUSE_RECENT:
		return REUSE_RECENT_MS;
	case UPSTREAM_REUSE_NONE:
		break;
	}
	return -1;
}

/* Sends a request on an idle connection or a new one. */
struct upstream_exchange *
upstream_send(struct upstream *u, struct evbuffer *request, const char *id,
    enum upstream_reuse reuse, int is_head, const struct upstream_calls *calls,
    void *arg)
{
	struct upstream_exchange *x = g_queue_peek_head(&u->idle);
	int64_t now = base_now_ms();

	if (x != NULL && now - x->used_at <= idle_allowed(u, reuse)) {
		g_queue_remove(&u->idle, x);
		evtimer_del(x->timer);
		x->reused = 1;
	} else if ((x = open_exchange(u)) == NULL) {
		return NULL;
	}
	http_parse_next(&x->parse, HTTP_RESPONSE);
	x->parse.no_body = is_head;
	g_free(x->id);
	x->id = g_strdup(id);
	x->is_head = is_head;
	x->strays = 0;
	x->sent_at = now;
	x->calls = calls;
	x->arg = arg;
	x->in_pieces = 0;
	x->credit = STREAM_WINDOW;
	x->delivered = 0;
	evbuffer_add_buffer(bufferevent_get_output(x->bev), request);
	return x;
}

/* Aborts an exchange by closing its connection; no callback is called. */
void
upstream_cancel(struct upstream_exchange *x)
{
	close_exchange(x);
}

/* Ends an exchange; keeps the connection if it is clean, else closes it. */
static void
finish_exchange(
    struct upstream_exchange *x, enum upstream_result r, struct http_message *m)
{
	const struct upstream_calls *calls = x->calls;
	void *arg = x->arg;

	x->calls = NULL;
	if (r == UPSTREAM_ANSWER && m->keep_alive && !m->until_close &&
	    x->strays == 0 &&
	    evbuffer_get_length(bufferevent_get_input(x->bev)) == 0 &&
	    evbuffer_get_length(bufferevent_get_output(x->bev)) == 0)
		keep_connection(x, m);
	else
		close_exchange(x);
	calls->done(arg, r, m);
}

/* How long the target announces that it keeps idle connections, in ms. */
static int64_t
announced_idle_ms(const struct http_message *m)
{
	const char *v = http_find(m, "Keep-Alive"), *t;

	if (v == NULL || (t = strstr(v, "timeout=")) == NULL)
		return IDLE_MAX_MS;
	/* The number may be too large for a multiplication. */
	return CLAMP(g_ascii_strtoll(t + strlen("timeout="), NULL, 10), 0,
		   G_MAXINT32) *
	       BASE_MS_PER_S;
}

/* Puts a connection in the idle list, or closes it if it expires too soon. */
static void
keep_connection(struct upstream_exchange *x, const struct http_message *m)
{
	x->used_at = base_now_ms();
	x->idle_ms = MIN(announced_idle_ms(m) - IDLE_SLACK_MS, IDLE_MAX_MS);
	if (x->idle_ms <= 0) {
		close_exchange(x);
		return;
	}
	g_queue_push_head(&x->up->idle, x);
	http_timer_set(x->timer, x->idle_ms);
}

/*
 * Sets the idle limit to half of idle_ms, after which the target closed a
 * connection without notice.  The limit expires after IDLE_LEARNED_TTL_MS.
 */
static void
learn_idle_limit(struct upstream *u, int64_t idle_ms)
{
	u->idle_limit_ms = CLAMP(idle_ms / 2, REUSE_RECENT_MS, IDLE_MAX_MS);
	u->idle_limit_until = base_now_ms() + IDLE_LEARNED_TTL_MS;
}

/* Longest time a connection may be idle and still be reused, in ms. */
static int64_t
idle_limit_ms(const struct upstream *u)
{
	return base_now_ms() < u->idle_limit_until ? u->idle_limit_ms
						   : IDLE_MAX_MS;
}

/* Handles the end of a connection; error is an errno value or 0. */
static void
connection_lost(struct upstream_exchange *x, int error)
{
	enum upstream_result r;
	int64_t idle;

	if (x->calls == NULL) {
		close_exchange(x);
		return;
	}
	idle = x->reused && !x->parse.begun && x->strays == 0
		   ? x->sent_at - x->used_at
		   : 0;
	if (idle > REUSE_RECENT_MS) {
		learn_idle_limit(x->up, idle);
		finish_exchange(x, UPSTREAM_IDLE_CLOSED, NULL);
		return;
	}
	if (x->reused || x->connected)
		r = UPSTREAM_BROKEN;
	else
		r = error == ECONNREFUSED ? UPSTREAM_REFUSED
					  : UPSTREAM_NOT_SENT;
	finish_exchange(x, r, NULL);
}

/*
 * Whether the answer belongs to another request.  A target echoes the id of a
 * request, and a status check has none.
 */
static int
is_stray(const struct upstream_exchange *x, const struct http_message *m)
{
	const char *id = http_find(m, x->up->names->id);

	return strcmp(id != NULL ? id : "", x->id != NULL ? x->id : "") != 0;
}

/* Delivers the bytes of a streamed body that have been read. */
static void
deliver_body(struct upstream_exchange *x)
{
	GByteArray *bytes = g_byte_array_new();

	http_parse_move_body(&x->parse, bytes);
	x->credit -= bytes->len;
	x->delivered += bytes->len;
	/* Reading resumes when more credit is granted. */
	if (x->credit <= 0)
		bufferevent_disable(x->bev, EV_READ);
	x->calls->piece(x->arg, bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
}

/* Handles an incomplete answer; a body beyond the buffer is streamed. */
static void
handle_partial(struct upstream_exchange *x)
{
	struct http_message *m = x->parse.msg;

	if (!x->parse.has_head ||
	    (!x->in_pieces && m->body->len < ANSWER_BUFFER_MAX))
		return;
	if (is_stray(x, m)) {
		g_byte_array_set_size(m->body, 0);
		return;
	}
	if (!x->in_pieces &&
	    (x->calls->head == NULL || !x->calls->head(x->arg, m))) {
		finish_exchange(x, UPSTREAM_BROKEN, NULL);
		return;
	}
	x->in_pieces = 1;
	deliver_body(x);
	if (x->delivered > STREAM_MAX)
		finish_exchange(x, UPSTREAM_BROKEN, NULL);
}

/* Grants n more bytes of a streamed answer, and resumes reading. */
void
upstream_credit(struct upstream_exchange *x, size_t n)
{
	int paused = x->credit <= 0;

	x->credit += (int64_t)n;
	if (!paused || x->credit <= 0)
		return;
	bufferevent_enable(x->bev, EV_READ);
	bufferevent_trigger(x->bev, EV_READ,
	    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Ends the exchange with a complete answer; drops a stray one and returns 0. */
static int
handle_answer(struct upstream_exchange *x)
{
	struct http_message *m;

	if (x->in_pieces)
		deliver_body(x);
	m = http_parse_take(&x->parse);
	if (is_stray(x, m)) {
		x->strays++;
		http_message_free(m);
		http_parse_next(&x->parse, HTTP_RESPONSE);
		x->parse.no_body = x->is_head;
		return 0;
	}
	finish_exchange(x, UPSTREAM_ANSWER, m);
	return 1;
}

/* Parses input; on an idle connection it belongs to no request: closes that. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct upstream_exchange *x = arg;
	int err;

	if (x->calls == NULL) {
		/* The callback may have been triggered without input. */
		if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
			close_exchange(x);
		return;
	}
	if (x->credit <= 0)
		return;
	while ((err = http_parse_feed(&x->parse, bufferevent_get_input(bev))) ==
	       HTTP_OK)
		if (handle_answer(x))
			return;
	if (err != HTTP_EINCOMPLETE)
		finish_exchange(x, UPSTREAM_BROKEN, NULL);
	else
		handle_partial(x);
}

/* Whether the answer is complete with the bytes received before the end. */
static int
is_complete_at_eof(struct upstream_exchange *x, struct evbuffer *rest)
{
	int err = http_parse_feed(&x->parse, rest);

	return err == HTTP_OK || (err == HTTP_EINCOMPLETE &&
				     http_parse_end(&x->parse) == HTTP_OK);
}

/* Handles the opening or the end of a connection. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct upstream_exchange *x = arg;

	if (what & BEV_EVENT_CONNECTED) {
		x->connected = 1;
		evtimer_del(x->timer);
		return;
	}
	/*
	 * An answer without length ends with its connection.  Some of its bytes
	 * may still be waiting for credit.
	 */
	while (x->calls != NULL && (what & BEV_EVENT_EOF) &&
	       is_complete_at_eof(x, bufferevent_get_input(bev)))
		if (handle_answer(x))
			return;
	connection_lost(x, what & BEV_EVENT_ERROR ? EVUTIL_SOCKET_ERROR() : 0);
}

/* The connect timeout or the idle timeout has expired. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	connection_lost(arg, 0);
}
