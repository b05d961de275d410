/* A small mesh in one process. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <event2/listener.h>

#include "rig.h"

#define PORTS	  6 /* of a node */
#define PORT_BASE 20000
#define PORT_SPAN 20000
#define WAIT_MS	  5000
#define STEP_US	  2000

/* An answer that a target owes after its work. */
struct rig_work {
	struct rig_target *target;
	struct http_exchange *exchange; /* NULL: the sender has gone */
	struct http_message *msg;
	struct event *timer;
};

static const struct http_limits limits = { 65536, 1048576, 5000, 20000, 0 };

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

/* A request at a target; its status check is answered at once. */
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

/* ---- targets that answer with bytes ---- */

/* One connection of a scripted target. */
struct rig_raw_conn {
	struct rig_target *target;
	struct bufferevent *bev;
	struct http_parse parse;
	int asked;
};

static void
raw_free(struct rig_raw_conn *c, int reset)
{
	c->target->open -= c->asked;
	http_parse_free(&c->parse);
	if (reset)
		http_reset(c->bev);
	else
		bufferevent_free(c->bev);
	g_free(c);
}

/* Answers one request as the script says; 1 when the connection is gone. */
static int
raw_answer(struct rig_raw_conn *c, const struct http_message *m)
{
	struct rig_target *t = c->target;
	struct evbuffer *out = bufferevent_get_output(c->bev);
	const char *id = http_find(m, platform_headers.id);
	char **parts, *text;

	if (strcmp(m->path, "/health") == 0) {
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		    platform_headers.target, t->id);
		return 0;
	}
	t->runs++;
	t->open += !c->asked;
	if (t->then == RIG_FORGET && c->asked) {
		raw_free(c, 1);
		return 1;
	}
	c->asked = 1;
	if (t->then == RIG_HANG)
		return 0;
	parts = g_strsplit(t->script, "ID", -1);
	text = g_strjoinv(id != NULL ? id : "", parts);
	/* Written past the buffers, as the connection may be reset next. */
	if (write(bufferevent_getfd(c->bev), text, strlen(text)) < 0)
		g_error("a scripted target cannot write");
	g_free(text);
	g_strfreev(parts);
	if (t->then == RIG_KEEP || t->then == RIG_FORGET)
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

/* Makes a target answer with bytes. */
void
rig_script(struct rig *r, int node, const char *bytes, enum rig_then then)
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
	/* Kept connections of the other kind end; the gate asks anew. */
	rig_run(r, 50);
}

/* Two routes to one service, as operators would write them. */
static struct view_config *
make_config(void)
{
	struct view_config *c = view_config_new();
	static const char *const prefixes[] = { "/run/", "/once/" };
	int i;

	c->version = 1;
	c->services = g_new0(struct view_service, 1);
	c->nservices = 1;
	c->services[0] = (struct view_service){ g_strdup("svc"),
		g_strdup("/health"), 100, 3000, 20 };
	c->routes = g_new0(struct view_route, 2);
	c->nroutes = 2;
	for (i = 0; i < 2; i++) {
		c->routes[i] =
		    (struct view_route){ .name = g_strdup(prefixes[i]),
			    .host = g_strdup("rig"),
			    .prefix = g_strdup(prefixes[i]),
			    .repeatable = i == 0,
			    .timeout_ms = 1000,
			    .goal_ms = 400,
			    .attempts = 2,
			    .parts = g_new0(struct view_part, 1),
			    .nparts = 1 };
		c->routes[i].parts[0].weight = 1;
	}
	c->limits = (struct view_limits){ 4096, 65536, 300, 5000 };
	view_config_index(c);
	return c;
}

/* Lists a target in every view, as something new. */
void
rig_list(struct rig *r, int node, const char *service, enum view_state state)
{
	static uint64_t revision;
	struct rig_target *rt = &r->nodes[node].target;
	struct view_target t = { .slots = 4, .state = state };
	int i;

	t.revision = ++revision;
	g_strlcpy(t.id, rt->id, sizeof(t.id));
	g_strlcpy(t.service, service, sizeof(t.service));
	g_strlcpy(t.addr, rt->addr, sizeof(t.addr));
	g_strlcpy(t.dc, r->nodes[node].settings.data_centre, sizeof(t.dc));
	for (i = 0; i < r->nnodes; i++) {
		view_take_target(r->nodes[i].view, &t);
		r->nodes[i].view->listed_at = MAX(revision - 1, 1);
		proxy_view_changed(r->nodes[i].proxy);
	}
}

/* Starts one node and its target. */
static void
start_node(struct rig *r, int i)
{
	struct rig_node *n = &r->nodes[i];
	struct http_server_calls calls = {
		.arg = &n->target, .request = on_target, .gone = on_target_gone
	};
	struct proxy_settings *s = &n->settings;

	n->target.rig = r;
	n->target.status = 200;
	g_snprintf(n->target.id, sizeof(n->target.id), "t%d", i);
	g_snprintf(
	    n->target.addr, ADDRESS_MAX, "127.0.0.%d:%d", i + 2, r->ports);
	n->target.server =
	    http_server_new(r->base, n->target.addr, &limits, &calls);
	s->name = g_strdup_printf("vm%d", i);
	s->data_centre = g_strdup(i < 2 ? "north" : "south");
	s->service = g_strdup("svc");
	s->target = g_strdup(n->target.addr);
	s->callers = g_strdup_printf("127.0.0.%d:%d", i + 2, r->ports + 1);
	s->links = g_strdup_printf("127.0.0.%d:%d", i + 2, r->ports + 2);
	s->ready = g_strdup_printf("127.0.0.%d:%d", i + 2, r->ports + 3);
	s->memory_mb = 260;
	s->grace_ms = 6000;
	s->cold_ratio = 1.5;
	s->cold_slack = 5;
	s->retry_window_ms = 10000;
	s->retry_ratio = 0.2;
	s->retry_slack = 60;
	n->view = view_new();
	n->view->config = make_config();
	if (proxy_start(&n->proxy, r->base, s, &platform_headers,
		platform_ready_path, n->view) != PROXY_OK)
		g_error("a node cannot listen");
}

/* Starts the mesh and waits until every gate knows its target. */
void
rig_start(struct rig *r, int n)
{
	struct event_config *precise = event_config_new();
	int64_t until;
	int i;

	memset(r, 0, sizeof(*r));
	/* Timers of the coarse clock may fire some milliseconds early. */
	event_config_set_flag(precise, EVENT_BASE_FLAG_PRECISE_TIMER);
	r->base = event_base_new_with_config(precise);
	event_config_free(precise);
	r->ports = PORT_BASE + (int)(getpid() % (PORT_SPAN / PORTS)) * PORTS;
	r->nnodes = n;
	for (i = 0; i < n; i++)
		start_node(r, i);
	for (i = 0; i < n; i++)
		rig_list(r, i, "svc", VIEW_READY);
	/* Every gate has its target's word. */
	until = base_now_ms() + WAIT_MS;
	for (i = 0; i < n; i++)
		while (proxy_target_id(r->nodes[i].proxy)[0] == '\0' &&
		       base_now_ms() < until)
			rig_run(r, 2);
	rig_run(r, 20);
}

/* Stops the mesh. */
void
rig_stop(struct rig *r)
{
	struct proxy_settings *s;
	int i;

	for (i = 0; i < r->nnodes; i++) {
		proxy_free(r->nodes[i].proxy);
		http_server_free(r->nodes[i].target.server);
		if (r->nodes[i].target.listener != NULL)
			evconnlistener_free(r->nodes[i].target.listener);
		view_free(r->nodes[i].view);
		s = &r->nodes[i].settings;
		g_free(s->name);
		g_free(s->data_centre);
		g_free(s->service);
		g_free(s->target);
		g_free(s->callers);
		g_free(s->links);
		g_free(s->ready);
	}
	/* Work that nobody waits for ends by itself. */
	rig_run(r, 50);
	event_base_free(r->base);
}

static void
on_call_read(struct bufferevent *bev, void *arg)
{
	struct rig_call *c = arg;

	if (http_parse_feed(&c->parse, bufferevent_get_input(bev)) != HTTP_OK)
		return;
	c->answer = http_parse_take(&c->parse);
	c->took_ms = base_now_ms() - c->began;
	http_parse_next(&c->parse, HTTP_RESPONSE);
}

static void
on_call_event(struct bufferevent *bev, short what, void *arg)
{
	struct rig_call *c = arg;

	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		c->ended = 1;
}

/* Sends bytes as they are. */
void
rig_raw(struct rig *r, struct rig_call *c, int node, const char *text)
{
	memset(c, 0, sizeof(*c));
	c->began = base_now_ms();
	http_parse_init(&c->parse, HTTP_RESPONSE, 65536, 1048576);
	c->bev = http_connect(r->base, r->nodes[node].settings.callers);
	bufferevent_setcb(c->bev, on_call_read, NULL, on_call_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	evbuffer_add(bufferevent_get_output(c->bev), text, strlen(text));
}

/* Sends a request. */
void
rig_call(struct rig *r, struct rig_call *c, int node, const char *path,
    const char *id, int remaining_ms)
{
	char *text;

	text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: rig\r\n%s: %s\r\n"
			       "%s: %d\r\n\r\n",
	    path, platform_headers.id, id, platform_headers.remaining_ms,
	    remaining_ms);
	rig_raw(r, c, node, text);
	g_free(text);
}

/* Closes the caller's connection. */
void
rig_call_end(struct rig_call *c)
{
	bufferevent_free(c->bev);
	http_parse_free(&c->parse);
	http_message_free(c->answer);
	c->answer = NULL;
}

/* Lets time pass. */
void
rig_run(struct rig *r, int ms)
{
	int64_t until = base_now_ms() + ms;

	while (base_now_ms() < until) {
		event_base_loop(r->base, EVLOOP_NONBLOCK);
		g_usleep(STEP_US);
	}
}

/* Waits for the end of a call. */
void
rig_wait(struct rig *r, struct rig_call *c)
{
	int64_t until = base_now_ms() + WAIT_MS;

	while (c->answer == NULL && !c->ended && base_now_ms() < until)
		rig_run(r, 2);
}

/* Waits for a number. */
int
rig_until(struct rig *r, const int *n, int value)
{
	int64_t until = base_now_ms() + WAIT_MS;

	while (*n != value && base_now_ms() < until)
		rig_run(r, 2);
	return *n == value;
}

/* Status of the answer. */
int
rig_status(const struct rig_call *c)
{
	return c->answer != NULL ? c->answer->status : 0;
}
