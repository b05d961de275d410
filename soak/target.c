/*
 * Targets: HTTP servers that report themselves in the store, check every
 * request that they run, and fail as the fault schedule sets them to.
 */
#include <string.h>

#include <event2/listener.h>

#include "soak.h"

#define SLOTS		 6 /* requests that it runs at the same time */
#define BACKLOG		 128
#define WORK_MS		 8 /* of a request; a random time below that is added */
#define SLOW_FACTOR	 5 /* factor of that time for TARGET_SLOW */
#define COLD_MS		 2000 /* reported as cold after a start */
#define TICK_MS		 50
#define REPORT_MS	 1500 /* between two reports to the store */
#define DRAIN_MS	 2000 /* from the report that it drains until it stops */
#define ADDRESS_REUSE_MS 2500 /* least downtime before a change of service */
#define HEAD_MAX_B	 65536
#define CRASH_RESTART_MS 800 /* down for so long after a request crashed it */
#define FAULT_ONE_IN	 3   /* a faulty target fails one request in so many */

struct soak_target {
	struct soak *soak;
	int node, service, starts;
	int new_id; /* the next start gets a new id */
	char id[VIEW_ID_MAX + 1], addr[ADDRESS_MAX];
	struct evconnlistener *listener; /* NULL: down */
	GPtrArray *conns;
	int running; /* requests not yet answered, with health checks */
	int runs;    /* started since soak_target_take_runs */
	int64_t fault_until[TARGET_FAULTS]; /* by enum target_fault */
	/* The next start while down; the end of a drain, or 0. */
	int64_t start_at, cold_until, report_at, drain_end_at, no_report_until;
	int next_service; /* from its next start on */
	int64_t again_at; /* reports again, also while it drains; or 0 */
	int restart_ms;	  /* downtime after a drain */
	int64_t born_wall_ms;
	struct event *timer;
};

/* One connection of a node, with one request at a time. */
struct conn {
	struct soak_target *target;
	struct bufferevent *bev;
	struct http_parse parse;
	struct http_message *msg; /* request being run, or NULL */
	struct attempt *attempt;
	struct event *timer;
};

static void target_start(struct soak_target *);
static void target_stop(struct soak_target *);
static void report_state(struct soak_target *, const char *);
static int has_fault(struct soak_target *, enum target_fault);
static void conn_free(struct conn *);
static void write_answer(struct conn *, int, int);
static void start_request(struct conn *, struct http_message *);
static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_work_done(evutil_socket_t, short, void *);
static void on_tick(evutil_socket_t, short, void *);

/* Several faults may be in effect at the same time. */
static int
has_fault(struct soak_target *t, enum target_fault fault)
{
	return base_now_ms() < t->fault_until[fault];
}

/* A request that runs on the connection is lost. */
static void
conn_free(struct conn *c)
{
	g_ptr_array_remove_fast(c->target->conns, c);
	c->target->running -= c->msg != NULL;
	http_message_free(c->msg);
	http_parse_free(&c->parse);
	event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c);
}

/* Writes an answer; if the request ran, with the seal header and the body. */
static void
write_answer(struct conn *c, int status, int ran)
{
	struct soak_target *t = c->target;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct http_message *m = http_message_new();
	const char *id = http_find(c->msg, platform_headers.id);
	GString *body = g_string_new(NULL);

	m->status = status;
	if (id != NULL)
		http_add(m, platform_headers.id, id);
	if (ran)
		http_add(m, platform_headers.seal, t->id);
	else
		http_add(m, platform_headers.not_run, "1");
	if (ran && id != NULL)
		checker_answer_body(body, id, c->msg->path);
	g_byte_array_append(
	    m->body, (const guint8 *)body->str, (guint)body->len);
	http_write_answer(out, m, 1, 0);
	http_message_free(m);
	g_string_free(body, TRUE);
}

/* Answers a health check or refuses a request at once, or starts to run it. */
static void
start_request(struct conn *c, struct http_message *m)
{
	struct soak_target *t = c->target;
	const char *expect = http_find(m, platform_headers.expect_target);
	struct http_message *ok;
	char cold[16];

	c->msg = m;
	t->running++;
	if (strcmp(m->path, "/health") == 0) {
		ok = http_message_new();
		ok->status = has_fault(t, TARGET_FAIL_CHECK) ? 503 : 200;
		http_add(ok, platform_headers.target, t->id);
		g_snprintf(cold, sizeof(cold), "%d",
		    (int)MAX(0, t->cold_until - base_now_ms()));
		http_add(ok, platform_headers.cold_ms, cold);
		http_write_answer(bufferevent_get_output(c->bev), ok, 1, 0);
		http_message_free(ok);
	} else if (expect != NULL && strcmp(expect, t->id) != 0) {
		write_answer(c, 421, 0);
	} else if (t->running > SLOTS || has_fault(t, TARGET_FULL)) {
		write_answer(c, 503, 0);
	} else {
		t->runs++;
		c->attempt = checker_run_started(t->soak, m, t->service);
		if (c->attempt != NULL && c->attempt->crasher != 0) {
			http_timer_set(c->timer, 1);
			return;
		}
		http_timer_set(c->timer,
		    (WORK_MS + soak_random_below(t->soak, WORK_MS)) *
			(has_fault(t, TARGET_SLOW) ? SLOW_FACTOR : 1));
		return;
	}
	t->running--;
	http_message_free(c->msg);
	c->msg = NULL;
}

/* Ends a request: with its answer, as a fault requires, or with a crash. */
static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	struct soak_target *t = c->target;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	int faulty = soak_random_below(t->soak, FAULT_ONE_IN) == 0;
	int status = faulty && has_fault(t, TARGET_ERROR) ? 500 : 200;
	struct attempt *a = c->attempt;

	(void)fd;
	(void)what;
	if (a != NULL && a->crasher != 0) {
		checker_target_crashed(t->soak, a, t->node);
		soak_target_crash(t, CRASH_RESTART_MS, 1);
		return;
	}
	if (faulty && has_fault(t, TARGET_NO_ANSWER)) {
		conn_free(c);
		return;
	}
	if (a != NULL)
		a->status_classes |= 1 << status / 100;
	if (faulty && has_fault(t, TARGET_CUT_BODY)) {
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n"
		    "Content-Length: 200\r\n\r\nhalf of it",
		    platform_headers.id, a != NULL ? a->id : "-",
		    platform_headers.seal, t->id);
		bufferevent_flush(c->bev, EV_WRITE, BEV_FLUSH);
		/* Written at once, as the connection is closed next. */
		evbuffer_write(out, bufferevent_getfd(c->bev));
		conn_free(c);
		return;
	}
	write_answer(c, status, 1);
	if (faulty && has_fault(t, TARGET_EXTRA_ANSWER))
		write_answer(c, 200, 1);
	if (a != NULL)
		a->answered++;
	t->running--;
	http_message_free(c->msg);
	c->msg = NULL;
	on_read(c->bev, c);
}

/* The connection's next request is parsed once the running one is answered. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	while (c->msg == NULL && http_parse_feed(&c->parse,
				     bufferevent_get_input(bev)) == HTTP_OK) {
		start_request(c, http_parse_take(&c->parse));
		http_parse_next(&c->parse, HTTP_REQUEST);
	}
}

/*
 * The node closed the connection; the request that runs is not counted as
 * answered.
 */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	conn_free(arg);
}

/* Called only while the target is up, as the listener is closed otherwise. */
static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct conn *c = g_new0(struct conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->target = arg;
	c->bev = bufferevent_socket_new(
	    c->target->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(c->target->soak->base, on_work_done, c);
	http_parse_init(&c->parse, HTTP_REQUEST, HEAD_MAX_B, HEAD_MAX_B);
	g_ptr_array_add(c->target->conns, c);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Puts its entry into the store, unless its reports are being lost. */
static void
report_state(struct soak_target *t, const char *state)
{
	int64_t now = base_now_ms();

	t->report_at = now + REPORT_MS;
	if (now >= t->no_report_until)
		store_put_target(t->soak->store,
		    &(struct store_target){ t->id, soak_services[t->service],
			t->addr, t->soak->nodes[t->node].dc, state,
			(int)MAX(0, t->cold_until - now), t->born_wall_ms });
}

/* Starts to listen, cold, and reports itself as ready. */
static void
target_start(struct soak_target *t)
{
	struct soak_node *n = &t->soak->nodes[t->node];
	struct sockaddr_in sin;

	address_resolve(t->addr, &sin);
	t->listener = evconnlistener_new_bind(t->soak->base, on_accept, t,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (t->listener == NULL)
		g_error("soak: cannot listen on %s", t->addr);
	t->starts++;
	t->born_wall_ms = base_wall_ms();
	if (t->service != t->next_service) {
		t->service = t->next_service;
		n->services |= 1 << t->service;
		node_write_settings(t->soak, n);
		node_signal(t->soak, n, SIGHUP);
	}
	if (t->new_id)
		g_snprintf(t->id, sizeof(t->id), "t%d-%d", t->node, t->starts);
	t->new_id = 0;
	t->cold_until = base_now_ms() + COLD_MS;
	t->drain_end_at = 0;
	report_state(t, "ready");
}

/* Closes the listener and all connections; running requests are lost. */
static void
target_stop(struct soak_target *t)
{
	if (t->listener == NULL)
		return;
	evconnlistener_free(t->listener);
	t->listener = NULL;
	while (t->conns->len > 0)
		conn_free(g_ptr_array_remove_index_fast(t->conns, 0));
}

/* Ends a drain, restarts a target that is down, and repeats the report. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak_target *t = arg;
	int64_t now = base_now_ms();

	(void)fd;
	(void)what;
	if (t->drain_end_at != 0 && now >= t->drain_end_at) {
		target_stop(t);
		store_remove_target(t->soak->store, t->id);
		restore_target_gone(t->soak, t->id);
		t->drain_end_at = 0;
		t->start_at = now + t->restart_ms;
	}
	if (t->listener == NULL && now >= t->start_at)
		target_start(t);
	else if (t->listener != NULL && t->drain_end_at == 0 &&
		 now >= t->report_at)
		report_state(t, "ready");
	if (t->again_at != 0 && now >= t->again_at) {
		t->again_at = 0;
		if (t->listener != NULL)
			report_state(
			    t, t->drain_end_at != 0 ? "draining" : "ready");
	}
	http_timer_set(t->timer, TICK_MS);
}

/* Listens at once, at port 6000 of the node's host during the whole run. */
struct soak_target *
soak_target_new(struct soak *s, int node, int service)
{
	struct soak_target *t = g_new0(struct soak_target, 1);

	t->soak = s;
	t->node = node;
	t->service = t->next_service = service;
	s->nodes[node].services |= 1 << service;
	t->conns = g_ptr_array_new();
	t->new_id = 1;
	g_snprintf(t->addr, sizeof(t->addr), "%s:6000", s->nodes[node].host);
	t->timer = evtimer_new(s->base, on_tick, t);
	target_start(t);
	http_timer_set(t->timer, TICK_MS);
	return t;
}

/* The entry in the store stays. */
void
soak_target_free(struct soak_target *t)
{
	target_stop(t);
	event_free(t->timer);
	g_ptr_array_free(t->conns, TRUE);
	g_free(t);
}

/* A later call replaces the end time of the same fault. */
void
soak_target_set_fault(
    struct soak_target *t, enum target_fault fault, int64_t until)
{
	t->fault_until[fault] = until;
}

/* Does nothing if the target is down. */
void
soak_target_crash(struct soak_target *t, int ms, int new_id)
{
	if (t->listener == NULL)
		return;
	target_stop(t);
	if (new_id) {
		store_remove_target(t->soak->store, t->id);
		restore_target_gone(t->soak, t->id);
	}
	t->new_id = new_id;
	t->start_at = base_now_ms() + ms;
}

/* It is down for at least ADDRESS_REUSE_MS. */
void
soak_target_change_service(struct soak_target *t, int ms)
{
	if (t->listener == NULL)
		return;
	soak_target_crash(t, MAX(ms, ADDRESS_REUSE_MS), 1);
	t->next_service = 1 - t->service;
}

/* Does nothing if the target is down or already drains. */
void
soak_target_drain(struct soak_target *t, int ms)
{
	if (t->listener == NULL || t->drain_end_at != 0)
		return;
	report_state(t, "draining");
	t->drain_end_at = base_now_ms() + DRAIN_MS;
	t->restart_ms = ms;
	t->new_id = 1;
}

/* The target itself continues to serve. */
void
soak_target_expire(struct soak_target *t, int ms)
{
	t->no_report_until = base_now_ms() + ms;
	t->report_at = t->no_report_until;
	store_remove_target(t->soak->store, t->id);
}

/* Does nothing while the target is down. */
void
soak_target_report_in(struct soak_target *t, int ms)
{
	t->again_at = base_now_ms() + 1 + ms;
}

/* Index in soak_services. */
int
soak_target_service(const struct soak_target *t)
{
	return t->service;
}

/* Differs from soak_target_service only while a change is pending. */
int
soak_target_next_service(const struct soak_target *t)
{
	return t->next_service;
}

/* Counts requests on all routes, without health checks. */
int
soak_target_take_runs(struct soak_target *t)
{
	int n = t->runs;

	t->runs = 0;
	return n;
}
