/* The application servers, one beside each process. */
#include <event2/listener.h>

#include "stand_int.h"

#define HEAD_MAX  65536
#define BODY_MAX  (64 * 1024 * 1024)
#define BACKLOG	  128
#define TICK_MS	  20
#define LINGER_MS 300 /* serves so much longer than DrainMs */

/* A connection, with one request at a time. */
struct conn {
	struct server *server;
	struct bufferevent *bev;
	struct http_parse parse;
	struct http_message *msg; /* queued or running, or NULL */
	int running;
	struct event *timer;
};

struct server {
	struct machine *machine;
	char id[VIEW_ID_MAX + 1], addr[ADDRESS_MAX];
	struct evconnlistener *listener; /* NULL: down */
	GPtrArray *conns;
	GQueue queue; /* of struct conn */
	int running, runs, sequence;
	int draining, restart_ms, new_id;
	int64_t told_at; /* when its entry first said that it is cold, or 0 */
	int64_t born_wall_ms, cold_until, report_at, leave_at, start_at;
	struct event *timer;
};

static void server_start(struct server *, int);
static void server_stop(struct server *);
static void report(struct server *);
static void start_queued(struct server *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_work_done(evutil_socket_t, short, void *);

static void
conn_free(struct conn *c)
{
	g_ptr_array_remove_fast(c->server->conns, c);
	g_queue_remove(&c->server->queue, c);
	c->server->running -= c->running;
	http_message_free(c->msg);
	http_parse_free(&c->parse);
	event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c);
}

/* Answers the request of a connection, which is then free for the next one. */
static void
answer(struct conn *c, int status, int ran)
{
	struct server *s = c->server;
	struct http_message *m = http_message_new();
	const char *id = http_find(c->msg, platform_headers.id);

	m->status = status;
	if (id != NULL)
		http_add(m, platform_headers.id, id);
	if (ran)
		http_add(m, platform_headers.seal, s->id);
	else
		http_add(m, platform_headers.not_run, "1");
	g_byte_array_append(
	    m->body, (const guint8 *)s->id, (guint)strlen(s->id));
	/* A server that is leaving says so in its answers. */
	http_write_answer(bufferevent_get_output(c->bev), m, !s->draining, 0);
	http_message_free(m);
	http_message_free(c->msg);
	c->msg = NULL;
	s->running -= c->running;
	c->running = 0;
}

static void
answer_check(struct conn *c)
{
	struct server *s = c->server;
	struct http_message *m = http_message_new();
	char cold[24];

	m->status = s->draining ? 503 : 200;
	http_add(m, platform_headers.target, s->id);
	g_snprintf(cold, sizeof(cold), "%d",
	    (int)MAX(0, s->cold_until - base_now_ms()));
	http_add(m, platform_headers.cold_ms, cold);
	http_write_answer(bufferevent_get_output(c->bev), m, 1, 0);
	http_message_free(m);
	http_message_free(c->msg);
	c->msg = NULL;
}

/* Begins to run the request of a connection. */
static void
begin(struct conn *c)
{
	struct server *s = c->server;
	struct stand *st = s->machine->stand;
	const char *id = http_find(c->msg, platform_headers.id);
	int ms = 30;

	if (id != NULL && id[0] == ID_RECORDED)
		stand_note(st, "%s runs on server %s of %s", id, s->id,
		    s->machine->service);
	c->running = 1;
	s->running++;
	s->runs++;
	if (st->calls.run != NULL)
		ms = st->calls.run(s, c->msg);
	if (ms < 0)
		server_crash(s, 2000, 1);
	else
		http_timer_set(c->timer, ms);
}

static void
start_queued(struct server *s)
{
	while (s->running < SLOTS && !g_queue_is_empty(&s->queue))
		begin(g_queue_pop_head(&s->queue));
}

/* Runs a request, queues it or says that it was not run. */
static void
take(struct conn *c)
{
	struct server *s = c->server;
	const char *expect = http_find(c->msg, platform_headers.expect_target);

	if (strcmp(c->msg->path, "/health") == 0) {
		answer_check(c);
	} else if (expect != NULL && strcmp(expect, s->id) != 0) {
		answer(c, 421, 0);
	} else if (s->queue.length >= QUEUE) {
		answer(c, 503, 0);
	} else {
		g_queue_push_tail(&s->queue, c);
		start_queued(s);
	}
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct server *s = c->server;

	while (
	    s->listener != NULL && g_ptr_array_find(s->conns, c, NULL) &&
	    c->msg == NULL &&
	    http_parse_feed(&c->parse, bufferevent_get_input(bev)) == HTTP_OK) {
		c->msg = http_parse_take(&c->parse);
		http_parse_next(&c->parse, HTTP_REQUEST);
		take(c);
	}
}

/* A server drops a request when its connection closes. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;
	struct server *s = c->server;

	(void)bev;
	(void)what;
	conn_free(c);
	start_queued(s);
}

static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	struct server *s = c->server;

	(void)fd;
	(void)what;
	answer(c, 200, 1);
	on_read(c->bev, c);
	start_queued(s);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct conn *c = g_new0(struct conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->server = arg;
	c->bev = bufferevent_socket_new(
	    c->server->machine->stand->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer =
	    evtimer_new(c->server->machine->stand->base, on_work_done, c);
	http_parse_init(&c->parse, HTTP_REQUEST, HEAD_MAX, BODY_MAX);
	g_ptr_array_add(c->server->conns, c);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Writes its entry, as it does about every HeartbeatMs. */
static void
report(struct server *s)
{
	int64_t now = base_now_ms();
	char *key = g_strdup_printf("servers/%s", s->id), *value;

	s->report_at = now + HEARTBEAT_MS;
	if (s->told_at == 0 && s->cold_until > now)
		s->told_at = now;
	value = g_strdup_printf(
	    "{\"Address\":\"%s\",\"Info\":{\"Service\":\"%s\","
	    "\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":%d},"
	    "\"Status\":{\"State\":\"%s\",\"Sequence\":%d,"
	    "\"WarmupLeftMs\":%d},\"born\":%" G_GINT64_FORMAT "}",
	    s->addr, s->machine->service, s->machine->zone, SLOTS,
	    s->draining ? "draining" : "ready", ++s->sequence,
	    (int)MAX(0, s->cold_until - now), s->born_wall_ms);
	store_put(s->machine->stand->store, key, value);
	g_free(key);
	g_free(value);
}

/* A new boot, cold if it starts during traffic. */
static void
server_start(struct server *s, int cold)
{
	struct sockaddr_in sin;

	address_resolve(s->addr, &sin);
	s->listener = evconnlistener_new_bind(s->machine->stand->base,
	    on_accept, s, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL) {
		fprintf(stderr, "cannot listen on %s\n", s->addr);
		exit(CASE_NOT_RUN);
	}
	if (s->new_id)
		g_snprintf(s->id, sizeof(s->id), "i-%04x",
		    ++s->machine->stand->next_server);
	s->new_id = s->draining = s->sequence = 0;
	s->born_wall_ms = base_wall_ms();
	s->cold_until = base_now_ms() + (cold ? WARMUP_MS : 0);
	s->leave_at = 0;
	report(s);
	stand_note(s->machine->stand, "server %s of %s starts on machine %d",
	    s->id, s->machine->service, s->machine->i);
}

/* Requests that run or wait are lost. */
static void
server_stop(struct server *s)
{
	if (s->listener == NULL)
		return;
	evconnlistener_free(s->listener);
	s->listener = NULL;
	while (s->conns->len > 0)
		conn_free(g_ptr_array_index(s->conns, 0));
}

/* An entry of a server that crashed stays until three heartbeats later. */
void
server_crash(struct server *s, int ms, int new_id)
{
	stand_note(s->machine->stand, "server %s of %s crashes", s->id,
	    s->machine->service);
	s->start_at = base_now_ms() + ms;
	s->new_id = new_id;
	s->report_at = 0;
	/* Deferred: a connection may be in use further up. */
	http_timer_set(s->timer, 0);
}

void
server_restart(struct server *s, int ms)
{
	stand_note(s->machine->stand, "server %s of %s reports draining", s->id,
	    s->machine->service);
	s->draining = 1;
	s->restart_ms = ms;
	s->leave_at = base_now_ms() + DRAIN_MS + LINGER_MS;
	report(s);
}

/* The steps of restarts, and the heartbeat. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct server *s = arg;
	struct store *store = s->machine->stand->store;
	int64_t now = base_now_ms();
	char *key;

	(void)fd;
	(void)what;
	if (s->listener != NULL && s->start_at != 0)
		server_stop(s);
	if (s->leave_at != 0 && now >= s->leave_at) {
		server_stop(s);
		key = g_strdup_printf("servers/%s", s->id);
		store_remove(store, key);
		g_free(key);
		s->leave_at = 0;
		s->start_at = now + s->restart_ms;
		stand_note(s->machine->stand, "server %s of %s has left", s->id,
		    s->machine->service);
	}
	if (s->listener == NULL && s->start_at != 0 && now >= s->start_at) {
		s->start_at = 0;
		if (s->new_id) {
			key = g_strdup_printf("servers/%s", s->id);
			store_remove(store, key);
			g_free(key);
		}
		server_start(s, 1);
	} else if (s->listener != NULL && now >= s->report_at) {
		report(s);
	}
	http_timer_set(s->timer, TICK_MS);
}

struct server *
server_new(struct machine *m)
{
	struct server *s = g_new0(struct server, 1);

	s->machine = m;
	s->new_id = 1;
	s->conns = g_ptr_array_new();
	g_queue_init(&s->queue);
	g_snprintf(s->addr, sizeof(s->addr), "%s:6000", m->host);
	s->timer = evtimer_new(m->stand->base, on_tick, s);
	server_start(s, 0);
	http_timer_set(s->timer, TICK_MS);
	return s;
}

void
server_free(struct server *s)
{
	server_stop(s);
	event_free(s->timer);
	g_ptr_array_free(s->conns, TRUE);
	g_free(s);
}

const char *
server_id(const struct server *s)
{
	return s->id;
}

struct machine *
server_machine(const struct server *s)
{
	return s->machine;
}

int
server_runs(const struct server *s)
{
	return s->runs;
}

void
server_chill(struct server *s)
{
	s->cold_until = base_now_ms() + WARMUP_MS;
	s->told_at = 0;
	stand_note(s->machine->stand, "server %s of %s is cold again", s->id,
	    s->machine->service);
}

int
server_cold_ms(const struct server *s)
{
	return (int)MAX(0, s->cold_until - base_now_ms());
}

int64_t
server_told_at(const struct server *s)
{
	return s->told_at;
}
