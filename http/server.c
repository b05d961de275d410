/*
 * HTTP server on the event loop.  Reads complete requests, enforces the limits
 * on their size and time, and closes connections.
 */
#include <errno.h>
#include <string.h>
#include <sys/ioctl.h>

#include <event2/listener.h>

#include "server_int.h"

#define BACKLOG		  1024	/* connections not yet accepted */
#define LINGER_MS	  1000	/* for the client to read the last answer */
#define STATUS_TIMEOUT	  408	/* the request was not complete in time */
#define STATUS_OVERLOADED 503	/* limits.bodies_bytes is used up */
#define INPUT_BUFFER_MAX  65536 /* bytes read from a socket, not yet parsed */
#define OUTPUT_LOW_BYTES  16384 /* on_write is called at or below this */

static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static void on_read(struct bufferevent *, void *);
static void on_write(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);
static int reserve_body(struct http_conn *);
static void read_request(struct http_conn *);
static int is_closable(const struct http_conn *);
static void conn_free(struct http_conn *, const char *);

/* Status for each error of the parser; the last entry for all others, too. */
static const struct {
	int err, status;
} refusals[] = {
	{ HTTP_EHEAD, 431 },
	{ HTTP_EBODY, 413 },
	{ HTTP_EMALFORMED, 400 },
};

/* Connections are accepted as soon as the event loop runs. */
struct http_server *
http_server_new(struct event_base *base, const char *addr,
    const struct http_limits *limits, const struct http_server_calls *calls)
{
	struct http_server *s;
	struct sockaddr_in sin;

	if (address_resolve(addr, &sin) != BASE_OK)
		return NULL;
	s = g_new0(struct http_server, 1);
	s->base = base;
	s->limits = limits;
	s->calls = *calls;
	s->conns = g_hash_table_new(NULL, NULL);
	s->listener = evconnlistener_new_bind(base, on_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL) {
		base_log(G_LOG_LEVEL_WARNING, "listen-failed",
		    "address=%s "
		    "reason=\"%s\"",
		    addr, g_strerror(errno));
		g_hash_table_destroy(s->conns);
		g_free(s);
		return NULL;
	}
	return s;
}

/*
 * NULL is allowed.  Restarts the iteration each time, as conn_free changes the
 * table.
 */
void
http_server_free(struct http_server *s)
{
	GHashTableIter it;
	gpointer key;

	if (s == NULL)
		return;
	if (s->listener != NULL)
		evconnlistener_free(s->listener);
	for (;;) {
		g_hash_table_iter_init(&it, s->conns);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		conn_free(key, "server stops");
	}
	g_hash_table_destroy(s->conns);
	g_free(s);
}

/* The listener stays open; the flag is read when an answer is written. */
void
http_server_drain(struct http_server *s)
{
	s->draining = 1;
}

/* Polled by a process that drains, before it exits. */
int
http_server_idle(const struct http_server *s)
{
	const struct http_conn *c;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		c = key;
		if (c->exchanges.length > 0 ||
		    (!c->closing && pipeline_is_receiving(c)) ||
		    evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
			return 0;
	}
	return 1;
}

/*
 * Connections that the kernel has accepted would be reset with the listener,
 * and their clients could not tell whether a request was read.
 */
int
http_server_stop_listening(struct http_server *s)
{
	evutil_socket_t fd;

	if (s->listener == NULL)
		return 0;
	while ((fd = accept(evconnlistener_get_fd(s->listener), NULL, NULL)) >=
	       0) {
		evutil_make_socket_nonblocking(fd);
		on_accept(s->listener, fd, NULL, 0, s);
	}
	evconnlistener_free(s->listener);
	s->listener = NULL;
	return 1;
}

/* Whether a connection can close without losing a request or an answer. */
static int
is_closable(const struct http_conn *c)
{
	int waiting;

	if (c->exchanges.length > 0 ||
	    (!c->closing && pipeline_is_receiving(c)) ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
		return 0;
	return ioctl(bufferevent_getfd(c->bev), FIONREAD, &waiting) != 0 ||
	       waiting == 0;
}

/* Copies the keys, as conn_free changes the table. */
int
http_server_close_idle(struct http_server *s)
{
	GList *all = g_hash_table_get_keys(s->conns), *i;

	for (i = all; i != NULL; i = i->next)
		if (is_closable(i->data))
			conn_free(i->data, "server stops");
	g_list_free(all);
	return (int)g_hash_table_size(s->conns);
}

/* Closes a connection after the handler's gone was called for its requests. */
static void
conn_free(struct http_conn *c, const char *reason)
{
	pipeline_drop(c, reason);
	g_hash_table_remove(c->server->conns, c);
	event_free(c->timer);
	http_parse_free(&c->parse);
	c->server->reserved -= (int64_t)c->reserved;
	/*
	 * A plain close would look like the end of an answer without a length;
	 * a reset does not.
	 */
	if (c->reset)
		http_reset(c->bev);
	else
		bufferevent_free(c->bev);
	g_free(c);
}

/* The idle timeout also applies to a connection without a first request. */
static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct http_server *s = arg;
	struct http_conn *c;

	(void)l;
	(void)sa;
	(void)len;
	c = g_new0(struct http_conn, 1);
	c->server = s;
	c->bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_set_socket_options(fd);
	http_parse_init(&c->parse, HTTP_REQUEST, (size_t)s->limits->head_bytes,
	    (size_t)s->limits->body_bytes);
	c->timer = evtimer_new(s->base, on_timer, c);
	g_hash_table_add(s->conns, c);
	g_queue_init(&c->exchanges);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, INPUT_BUFFER_MAX);
	bufferevent_setwatermark(c->bev, EV_WRITE, OUTPUT_LOW_BYTES, 0);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	c->idle_since = base_now_ms();
	http_timer_set(c->timer, s->limits->idle_ms);
}

/*
 * Reserves memory for the body that is being read: its Content-Length, or the
 * bytes received if that is more.  Returns 0 if limits.bodies_bytes is used up.
 */
static int
reserve_body(struct http_conn *c)
{
	struct http_server *s = c->server;
	const struct http_message *m = c->parse.msg;
	size_t need = m->body->len;

	if (c->parse.has_head && m->length > (int64_t)need)
		need = (size_t)m->length;
	if (s->limits->bodies_bytes == 0 || need <= c->reserved)
		return 1;
	if (s->reserved + (int64_t)(need - c->reserved) >
	    s->limits->bodies_bytes)
		return 0;
	s->reserved += (int64_t)(need - c->reserved);
	c->reserved = need;
	return 1;
}

/*
 * Parses input up to the end of one request.  If more input is buffered,
 * another read is scheduled, so that other connections are served in between.
 */
static void
read_request(struct http_conn *c)
{
	struct http_server *s = c->server;
	struct http_message *m;
	int begun = c->parse.begun, err;
	size_t i;

	c->parse.head_max = (size_t)s->limits->head_bytes;
	c->parse.body_max = (size_t)s->limits->body_bytes;
	err = http_parse_feed(&c->parse, bufferevent_get_input(c->bev));
	if (err == HTTP_EINCOMPLETE && !reserve_body(c)) {
		pipeline_refuse(c, STATUS_OVERLOADED);
		return;
	}
	if (err == HTTP_EINCOMPLETE) {
		if (!begun && c->parse.begun)
			http_timer_set(c->timer, s->limits->head_ms);
		/* An interim answer must not overtake earlier answers. */
		if (!c->sent_continue && c->parse.msg->method != NULL &&
		    c->exchanges.length == 0 &&
		    http_find(c->parse.msg, "Expect") != NULL) {
			c->sent_continue = 1;
			evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "HTTP/1.1 100 Continue\r\n\r\n");
		}
		return;
	}
	if (err != HTTP_OK) {
		for (i = 0; i < G_N_ELEMENTS(refusals) - 1; i++)
			if (refusals[i].err == err)
				break;
		pipeline_refuse(c, refusals[i].status);
		return;
	}
	m = http_parse_take(&c->parse);
	http_parse_next(&c->parse, HTTP_REQUEST);
	c->sent_continue = 0;
	pipeline_add(c, m);
	if (evbuffer_get_length(bufferevent_get_input(c->bev)) > 0)
		bufferevent_trigger(c->bev, EV_READ,
		    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Called for new input, or when the limits allow to read buffered input. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct http_conn *c = arg;
	size_t n;

	if (c->closing) {
		n = evbuffer_get_length(bufferevent_get_input(bev));
		if (n > 0)
			base_log(G_LOG_LEVEL_INFO, "input-dropped",
			    "bytes=%zu reason=\"%s\"", n, c->close_reason);
		evbuffer_drain(bufferevent_get_input(bev), n);
		return;
	}
	pipeline_start_queued(c);
	if (pipeline_has_room(c))
		read_request(c);
}

/*
 * Called when the output is nearly or, on a closing connection, fully written.
 * The write side is shut first and the client has LINGER_MS to read: a close
 * while input is unread would reset the connection and discard the answer.
 */
static void
on_write(struct bufferevent *bev, void *arg)
{
	struct http_conn *c = arg;

	if (!c->closing) {
		pipeline_report_written(c);
		on_read(bev, c);
		return;
	}
	if (c->lingering || c->reset ||
	    evbuffer_get_length(bufferevent_get_output(bev)) > 0)
		return;
	c->lingering = 1;
	if (shutdown(bufferevent_getfd(bev), SHUT_WR) != 0) {
		conn_free(c, "last answer");
		return;
	}
	http_timer_set(c->timer, LINGER_MS);
}

/* The connection ended or failed. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	conn_free(
	    arg, what & BEV_EVENT_EOF ? "closed by client" : "client lost");
}

/* Timeout of a request, of an idle connection or of the linger time. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct http_conn *c = arg;
	int64_t left;

	(void)fd;
	(void)what;
	/* The limit may have been raised since the timer was set. */
	left = c->idle_since + c->server->limits->idle_ms - base_now_ms();
	if (!c->closing && !c->parse.begun && left > 0)
		http_timer_set(c->timer, left);
	else if (c->closing || !c->parse.begun)
		conn_free(c, "idle");
	else if (pipeline_has_room(c))
		pipeline_refuse(c, STATUS_TIMEOUT);
	else
		http_timer_set(c->timer, c->server->limits->head_ms);
}
