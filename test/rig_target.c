/* Targets of the rig: working, scripted, or crashed by a request. */
#include <string.h>
#include <unistd.h>

#include <event2/listener.h>

#include "rig.h"

/* A request that a target is working on. */
struct rig_work {
	struct rig_target *target;
	struct http_exchange *exchange; /* NULL: the sender disconnected */
	struct http_message *msg;
	struct event *timer;
};

static const struct http_limits limits = { 65536, 1048576, 5000, 20000, 0 };

static int crashes_target(const struct rig_target *, const char *);
static void on_crash(evutil_socket_t, short, void *);
static void on_restart(evutil_socket_t, short, void *);

/* Answers a request, unless its sender has disconnected, and releases it. */
static void
work_end(struct rig_work *w)
{
	struct rig_target *t = w->target;
	struct http_message *m = http_message_new();
	const char *id = http_find(w->msg, platform_headers.id);

	m->status = t->sheds ? 503 : t->status;
	if (id != NULL)
		http_add(m, platform_headers.id, id);
	if (t->sheds)
		http_add(m, platform_headers.not_run, "1");
	else if (!t->no_seal)
		http_add(m, platform_headers.seal, t->id);
	g_byte_array_append(m->body, (const guint8 *)"done", 4);
	if (w->exchange != NULL)
		http_reply(w->exchange, m);
	http_message_free(m);
	http_message_free(w->msg);
	event_free(w->timer);
	g_free(w);
}

static void
on_work(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	work_end(arg);
}

/* Whether a request crashes the target. */
static int
crashes_target(const struct rig_target *t, const char *path)
{
	return t->crash_ms != 0 && g_str_has_suffix(path, "/crash");
}

/* Crashes the target: closes all connections, and stays down for crash_ms. */
static void
on_crash(evutil_socket_t fd, short what, void *arg)
{
	struct rig_target *t = arg;

	(void)fd;
	(void)what;
	if (t->server == NULL)
		return;
	t->crashes++;
	http_server_free(t->server);
	t->server = NULL;
	if (t->crash_ms == RIG_RESTART_AT_ONCE)
		on_restart(-1, 0, t);
	else
		http_timer_set(t->back, t->crash_ms);
}

/* Restarts a crashed target, with a new id or cold if the test wants so. */
static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
	struct rig_target *t = arg;

	(void)fd;
	(void)what;
	t->cold_ms = t->restart_cold_ms;
	if (t->new_id_on_restart)
		g_snprintf(t->id, sizeof(t->id), "%.2s.%d", t->id, t->crashes);
	rig_target_open(t);
}

/* Handles a request; status checks are answered without delay. */
static void
on_target(void *arg, struct http_exchange *c, struct http_message *m)
{
	struct rig_target *t = arg;
	struct timeval tv = { t->work_ms / 1000, t->work_ms % 1000 * 1000L };
	struct http_message *ok;
	struct rig_work *w;
	char text[16];

	if (strcmp(m->path, "/health") == 0) {
		t->checks++;
		ok = http_message_new();
		ok->status = 200;
		http_add(ok, platform_headers.target, t->id);
		g_snprintf(text, sizeof(text), "%d", t->cold_ms);
		http_add(ok, platform_headers.cold_ms,
		    t->cold_text != NULL ? t->cold_text : text);
		http_reply(c, ok);
		http_message_free(ok);
		http_message_free(m);
		return;
	}
	t->runs++;
	if (crashes_target(t, m->path)) {
		/* Deferred, as it closes the connection of this callback. */
		event_base_once(
		    t->rig->base, -1, EV_TIMEOUT, on_crash, t, NULL);
		http_message_free(m);
		return;
	}
	g_strlcpy(t->caller, http_find(m, platform_headers.caller),
	    sizeof(t->caller));
	w = g_new0(struct rig_work, 1);
	w->target = t;
	w->exchange = c;
	w->msg = m;
	w->timer = evtimer_new(t->rig->base, on_work, w);
	http_exchange_set(c, w);
	evtimer_add(w->timer, &tv);
}

static void
on_target_gone(void *arg, struct http_exchange *c)
{
	struct rig_work *w = http_exchange_data(c);

	(void)arg;
	if (w != NULL)
		w->exchange = NULL;
}

/* Opens a target that answers requests after work_ms. */
void
rig_target_open(struct rig_target *t)
{
	struct http_server_calls calls = {
		.arg = t, .request = on_target, .gone = on_target_gone
	};

	if (t->back == NULL)
		t->back = evtimer_new(t->rig->base, on_restart, t);
	t->server = http_server_new(t->rig->base, t->addr, &limits, &calls);
	if (t->server == NULL)
		g_error("a target cannot listen");
}

/* ---- scripted targets, which answer with fixed bytes ---- */

/* A connection of a scripted target. */
struct rig_raw_conn {
	struct rig_target *target;
	struct bufferevent *bev;
	struct http_parse parse;
	int has_request;
};

static void
raw_free(struct rig_raw_conn *c, int reset)
{
	c->target->open -= c->has_request;
	http_parse_free(&c->parse);
	if (reset)
		http_reset(c->bev);
	else
		bufferevent_free(c->bev);
	g_free(c);
}

/* Answers a request by the script; returns 1 if the connection is closed. */
static int
raw_answer(struct rig_raw_conn *c, const struct http_message *m)
{
	struct rig_target *t = c->target;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	const char *id = http_find(m, platform_headers.id);
	char **parts, *text;

	if (strcmp(m->path, "/health") == 0) {
		evbuffer_add_printf(out,
		    "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		    t->check_prefix != NULL ? t->check_prefix : "",
		    platform_headers.target, t->id);
		return 0;
	}
	t->runs++;
	t->open += !c->has_request;
	if (t->then == RIG_RESET_REUSED && c->has_request) {
		raw_free(c, 1);
		return 1;
	}
	c->has_request = 1;
	if (t->then == RIG_HANG)
		return 0;
	parts = g_strsplit(t->script, "ID", -1);
	text = g_strjoinv(id != NULL ? id : "", parts);
	/* Bypasses the output buffer, as the connection may be reset next. */
	if (write(bufferevent_getfd(c->bev), text, strlen(text)) < 0)
		g_error("a scripted target cannot write");
	g_free(text);
	g_strfreev(parts);
	if (t->then == RIG_KEEP || t->then == RIG_RESET_REUSED)
		return 0;
	if (t->then == RIG_RESET)
		g_usleep(5000);
	raw_free(c, t->then == RIG_RESET);
	return 1;
}

static void
on_raw_read(struct bufferevent *bev, void *arg)
{
	struct rig_raw_conn *c = arg;
	struct http_message *m;
	int gone;

	while (
	    http_parse_feed(&c->parse, bufferevent_get_input(bev)) == HTTP_OK) {
		m = http_parse_take(&c->parse);
		http_parse_next(&c->parse, HTTP_REQUEST);
		gone = raw_answer(c, m);
		http_message_free(m);
		if (gone)
			return;
	}
}

static void
on_raw_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	raw_free(arg, 0);
}

static void
on_raw_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct rig_raw_conn *c = g_new0(struct rig_raw_conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->target = arg;
	c->bev = bufferevent_socket_new(
	    c->target->rig->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_parse_init(&c->parse, HTTP_REQUEST, 65536, 1048576);
	bufferevent_setcb(c->bev, on_raw_read, NULL, on_raw_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Makes a target answer with fixed bytes. */
void
rig_script(struct rig *r, int node, const char *bytes, enum rig_conn_end then)
{
	struct rig_target *t = &r->nodes[node].target;
	struct sockaddr_in sin;

	t->script = bytes;
	t->then = then;
	if (t->listener != NULL)
		return;
	http_server_free(t->server);
	t->server = NULL;
	address_resolve(t->addr, &sin);
	t->listener = evconnlistener_new_bind(r->base, on_raw_accept, t,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (t->listener == NULL)
		g_error("a scripted target cannot listen");
	/* The guard's idle connections are closed, and it checks again. */
	rig_run(r, 50);
}
