/* Targets: what they run is judged, how they fail is told from outside. */
#include <string.h>

#include <event2/listener.h>

#include "soak.h"

#define SLOTS	 6
#define BACKLOG	 128
#define WORK_MS	 8 /* of a request, and up to as much more */
#define SLOW	 5 /* times that, of a slow one */
#define COLD_MS	 2000
#define BEAT_MS	 1500
#define DRAIN_MS 2000 /* it serves on for, once it said that it drains */
#define REUSE_MS 2500 /* before its address is of another service */
#define HEAD_MAX 65536
#define CRASH_MS 800 /* down for, after a request ended it */
#define SHARE	 3   /* one answer in so many, of an ill target, is spoilt */

struct soak_back {
	struct soak *soak;
	int node, service, boots, renewed;
	char id[VIEW_ID_MAX + 1], addr[ADDRESS_MAX];
	struct evconnlistener *listener; /* NULL: down */
	GPtrArray *conns;
	int running, runs;
	int64_t ill[ILLS]; /* until then */
	int64_t up_at, cold_until, beat_at, drained_at, silent_until;
	int service_next, down_ms;
	int64_t born_wall_ms;
	struct event *timer;
};

/* One connection; one request at a time. */
struct conn {
	struct soak_back *back;
	struct bufferevent *bev;
	struct http_parse parse;
	struct http_message *msg; /* under way, or NULL */
	struct attempt *attempt;
	struct event *timer;
};

static void up(struct soak_back *);
static void down(struct soak_back *);
static void report(struct soak_back *, const char *);
static int is_ill(struct soak_back *, enum ill);
static void conn_free(struct conn *);
static void answer(struct conn *, int, int);
static void begin(struct conn *, struct http_message *);
static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_work(evutil_socket_t, short, void *);
static void on_tick(evutil_socket_t, short, void *);

static int
is_ill(struct soak_back *b, enum ill ill)
{
	return base_now_ms() < b->ill[ill];
}

static void
conn_free(struct conn *c)
{
	g_ptr_array_remove_fast(c->back->conns, c);
	c->back->running -= c->msg != NULL;
	http_message_free(c->msg);
	http_parse_free(&c->parse);
	event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c);
}

/* Writes an answer without, or with, what it ran. */
static void
answer(struct conn *c, int status, int ran)
{
	struct soak_back *b = c->back;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct http_message *m = http_message_new();
	const char *id = http_find(c->msg, platform_headers.id);
	GString *body = g_string_new(NULL);

	m->status = status;
	if (id != NULL)
		http_add(m, platform_headers.id, id);
	if (ran)
		http_add(m, platform_headers.seal, b->id);
	else
		http_add(m, platform_headers.not_run, "1");
	if (ran && id != NULL)
		judge_body(body, id, c->msg->path);
	g_byte_array_append(
	    m->body, (const guint8 *)body->str, (guint)body->len);
	http_write_answer(out, m, 1, 0);
	http_message_free(m);
	g_string_free(body, TRUE);
}

/* A request was read: it is refused, or runs for a while. */
static void
begin(struct conn *c, struct http_message *m)
{
	struct soak_back *b = c->back;
	const char *expect = http_find(m, platform_headers.expect_target);
	struct http_message *ok;
	char cold[16];

	c->msg = m;
	b->running++;
	if (strcmp(m->path, "/health") == 0) {
		ok = http_message_new();
		ok->status = is_ill(b, ILL_LYING) ? 503 : 200;
		http_add(ok, platform_headers.target, b->id);
		g_snprintf(cold, sizeof(cold), "%d",
		    (int)MAX(0, b->cold_until - base_now_ms()));
		http_add(ok, platform_headers.cold_ms, cold);
		http_write_answer(bufferevent_get_output(c->bev), ok, 1, 0);
		http_message_free(ok);
	} else if (expect != NULL && strcmp(expect, b->id) != 0) {
		answer(c, 421, 0);
	} else if (b->running > SLOTS || is_ill(b, ILL_FULL)) {
		answer(c, 503, 0);
	} else {
		b->runs++;
		c->attempt = judge_run(b->soak, m, b->service);
		if (c->attempt != NULL && c->attempt->crasher != 0) {
			http_timer(c->timer, 1);
			return;
		}
		http_timer(c->timer, (WORK_MS + soak_below(b->soak, WORK_MS)) *
					 (is_ill(b, ILL_SLOW) ? SLOW : 1));
		return;
	}
	b->running--;
	http_message_free(c->msg);
	c->msg = NULL;
}

/* The work is done: a sound answer, or a spoilt one. */
static void
on_work(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	struct soak_back *b = c->back;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	int spoil = soak_below(b->soak, SHARE) == 0;
	int status = spoil && is_ill(b, ILL_FAIL) ? 500 : 200;
	struct attempt *a = c->attempt;

	(void)fd;
	(void)what;
	if (a != NULL && a->crasher != 0) {
		judge_crashed(b->soak, a, b->node);
		back_crash(b, CRASH_MS, 1);
		return;
	}
	if (spoil && is_ill(b, ILL_LOSE)) {
		conn_free(c);
		return;
	}
	if (a != NULL)
		a->said |= 1 << status / 100;
	if (spoil && is_ill(b, ILL_CUT)) {
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n"
		    "Content-Length: 200\r\n\r\nhalf of it",
		    platform_headers.id, a != NULL ? a->id : "-",
		    platform_headers.seal, b->id);
		bufferevent_flush(c->bev, EV_WRITE, BEV_FLUSH);
		/* Written past the buffers, as the connection ends next. */
		evbuffer_write(out, bufferevent_getfd(c->bev));
		conn_free(c);
		return;
	}
	answer(c, status, 1);
	if (spoil && is_ill(b, ILL_EXTRA))
		answer(c, 200, 1);
	if (a != NULL)
		a->answered++;
	b->running--;
	http_message_free(c->msg);
	c->msg = NULL;
	on_read(c->bev, c);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	while (c->msg == NULL && http_parse_feed(&c->parse,
				     bufferevent_get_input(bev)) == HTTP_OK) {
		begin(c, http_parse_take(&c->parse));
		http_parse_next(&c->parse, HTTP_REQUEST);
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	conn_free(arg);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct conn *c = g_new0(struct conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->back = arg;
	c->bev = bufferevent_socket_new(
	    c->back->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(c->back->soak->base, on_work, c);
	http_parse_init(&c->parse, HTTP_REQUEST, HEAD_MAX, HEAD_MAX);
	g_ptr_array_add(c->back->conns, c);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Says in the store that it is there. */
static void
report(struct soak_back *b, const char *state)
{
	int64_t now = base_now_ms();

	b->beat_at = now + BEAT_MS;
	if (now >= b->silent_until)
		store_put_target(b->soak->store,
		    &(struct store_target){ b->id, soak_services[b->service],
			b->addr, b->soak->nodes[b->node].dc, state,
			(int)MAX(0, b->cold_until - now), b->born_wall_ms });
}

/* Starts, cold. */
static void
up(struct soak_back *b)
{
	struct soak_node *n = &b->soak->nodes[b->node];
	struct sockaddr_in sin;

	address_resolve(b->addr, &sin);
	b->listener = evconnlistener_new_bind(b->soak->base, on_accept, b,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (b->listener == NULL)
		g_error("soak: cannot listen on %s", b->addr);
	b->boots++;
	b->born_wall_ms = base_wall_ms();
	if (b->service != b->service_next) {
		b->service = b->service_next;
		n->services |= 1 << b->service;
		node_write_settings(b->soak, n);
		node_signal(b->soak, n, SIGHUP);
	}
	if (b->renewed)
		g_snprintf(b->id, sizeof(b->id), "t%d-%d", b->node, b->boots);
	b->renewed = 0;
	b->cold_until = base_now_ms() + COLD_MS;
	b->drained_at = 0;
	report(b, "ready");
}

/* Ends; what it ran is lost. */
static void
down(struct soak_back *b)
{
	if (b->listener == NULL)
		return;
	evconnlistener_free(b->listener);
	b->listener = NULL;
	while (b->conns->len > 0)
		conn_free(g_ptr_array_remove_index_fast(b->conns, 0));
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak_back *b = arg;
	int64_t now = base_now_ms();

	(void)fd;
	(void)what;
	if (b->drained_at != 0 && now >= b->drained_at) {
		down(b);
		store_remove_target(b->soak->store, b->id);
		b->drained_at = 0;
		b->up_at = now + b->down_ms;
	}
	if (b->listener == NULL && now >= b->up_at)
		up(b);
	else if (b->listener != NULL && b->drained_at == 0 && now >= b->beat_at)
		report(b, "ready");
	http_timer(b->timer, 50);
}

/* Starts a target beside a node. */
struct soak_back *
back_new(struct soak *s, int node, int service)
{
	struct soak_back *b = g_new0(struct soak_back, 1);

	b->soak = s;
	b->node = node;
	b->service = b->service_next = service;
	s->nodes[node].services |= 1 << service;
	b->conns = g_ptr_array_new();
	b->renewed = 1;
	g_snprintf(b->addr, sizeof(b->addr), "%s:6000", s->nodes[node].host);
	b->timer = evtimer_new(s->base, on_tick, b);
	up(b);
	http_timer(b->timer, 50);
	return b;
}

void
back_free(struct soak_back *b)
{
	down(b);
	event_free(b->timer);
	g_ptr_array_free(b->conns, TRUE);
	g_free(b);
}

void
back_ill(struct soak_back *b, enum ill ill, int64_t until)
{
	b->ill[ill] = until;
}

/* Ends at once; its entry stays until its reports are missed. */
void
back_crash(struct soak_back *b, int ms, int renewed)
{
	if (b->listener == NULL)
		return;
	down(b);
	if (renewed)
		store_remove_target(b->soak->store, b->id);
	b->renewed = renewed;
	b->up_at = base_now_ms() + ms;
}

void
back_swap(struct soak_back *b, int ms)
{
	if (b->listener == NULL)
		return;
	back_crash(b, MAX(ms, REUSE_MS), 1);
	b->service_next = 1 - b->service;
}

void
back_drain(struct soak_back *b, int ms)
{
	if (b->listener == NULL || b->drained_at != 0)
		return;
	report(b, "draining");
	b->drained_at = base_now_ms() + DRAIN_MS;
	b->down_ms = ms;
	b->renewed = 1;
}

void
back_lapse(struct soak_back *b, int ms)
{
	b->silent_until = base_now_ms() + ms;
	b->beat_at = b->silent_until;
	store_remove_target(b->soak->store, b->id);
}

int
back_service(const struct soak_back *b)
{
	return b->service;
}

int
back_service_due(const struct soak_back *b)
{
	return b->service_next;
}

int
back_runs(struct soak_back *b)
{
	int n = b->runs;

	b->runs = 0;
	return n;
}
