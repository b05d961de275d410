/*
 * Callers: each keeps a connection to the node beside it and reconnects when
 * that connection is closed.
 */
#include "soak.h"

#define CALLERS_PER_NODE 3
#define REMAINING_MS	 1500 /* deadline that each request states */
#define ANSWER_HEAD_MAX	 65536
/* The caller gives up on one request in so many. */
#define GIVE_UP_ONE_IN 40
/* One request in so many crashes targets, while faults are injected. */
#define CRASHER_ONE_IN 60
#define RECONNECT_MS   100 /* after a connection was closed or refused */

/* One caller, with one request at a time. */
struct caller {
	struct soak *soak;
	/* Answers with 200 since callers_take_served are counted in served. */
	int node, served, connected;
	struct bufferevent *bev;
	struct http_parse parse;
	struct attempt *attempt; /* waiting for its answer, or NULL */
	struct event *timer;
};

static void caller_connect(struct caller *);
static void caller_close(struct caller *);
static void caller_send(struct caller *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);
static void schedule_request(struct caller *);

/* Schedules the next request after a random pause. */
static void
schedule_request(struct caller *c)
{
	http_timer_set(
	    c->timer, 1 + soak_random_below(c->soak, 2 * c->soak->pause_ms));
}

/* Also drops a partly received answer; without a connection does nothing. */
static void
caller_close(struct caller *c)
{
	if (c->bev == NULL)
		return;
	bufferevent_free(c->bev);
	http_parse_free(&c->parse);
	c->bev = NULL;
	c->connected = 0;
}

/* If it fails, on_timer tries again after the next pause. */
static void
caller_connect(struct caller *c)
{
	char addr[ADDRESS_MAX];

	g_snprintf(addr, sizeof(addr), "%s:8080", c->soak->nodes[c->node].host);
	if ((c->bev = http_connect(c->soak->base, addr)) == NULL)
		return;
	http_parse_init(
	    &c->parse, HTTP_RESPONSE, ANSWER_HEAD_MAX, ANSWER_HEAD_MAX);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/*
 * Sends a request on a random route, or a crasher request while faults are
 * injected, and sometimes schedules that the caller gives up on it early.
 */
static void
caller_send(struct caller *c)
{
	static const char *const prefixes[] = { "read", "write", "split" };
	int route = soak_random_below(c->soak, ROUTES);

	if (c->soak->next_event != 0 &&
	    soak_random_below(c->soak, CRASHER_ONE_IN) == 0) {
		c->attempt = checker_new_crasher(c->soak, c->node);
		route = c->attempt->route;
	} else {
		c->attempt = checker_new_attempt(c->soak, c->node, route);
	}
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "POST /%s/%s?n=1 HTTP/1.1\r\nHost: rig\r\n%s: %s\r\n%s: %d\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    prefixes[route], c->attempt->token, platform_headers.id,
	    c->attempt->id, platform_headers.remaining_ms, REMAINING_MS,
	    strlen(c->attempt->token), c->attempt->token);
	if (soak_random_below(c->soak, GIVE_UP_ONE_IN) == 0)
		http_timer_set(c->timer, 1 + soak_random_below(c->soak, 30));
}

/* Timer of a pause, of a request that is given up, or of a reconnect. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;

	(void)fd;
	(void)what;
	if (c->attempt != NULL) {
		/* The caller gives up; any outcome of the request is right. */
		c->attempt->ended = 1;
		c->attempt = NULL;
		caller_close(c);
	}
	if (c->bev == NULL)
		caller_connect(c);
	else if (c->connected && !c->soak->closing)
		caller_send(c);
	if (c->attempt == NULL)
		schedule_request(c);
}

/*
 * Checks an answer once it is complete.  A malformed answer leaves the request
 * waiting, so that it is reported as LOST if nothing else ends it.
 */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct caller *c = arg;
	struct http_message *m;

	if (http_parse_feed(&c->parse, bufferevent_get_input(bev)) != HTTP_OK)
		return;
	m = http_parse_take(&c->parse);
	http_parse_next(&c->parse, HTTP_RESPONSE);
	if (c->attempt == NULL) {
		checker_violation(c->soak, "MIXED",
		    "node %d sent an answer without a request", c->node);
	} else {
		c->served += m->status == 200;
		checker_answered(c->soak, c->attempt, m);
	}
	c->attempt = NULL;
	if (!m->keep_alive)
		caller_close(c);
	http_message_free(m);
	schedule_request(c);
}

/* A connection that ends while a request is in flight ends that request. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct caller *c = arg;
	struct attempt *a = c->attempt;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->connected = 1;
		return;
	}
	if (a != NULL)
		checker_disconnected(c->soak, a,
		    node_disturbed_since(&c->soak->nodes[c->node], a->sent_at));
	c->attempt = NULL;
	caller_close(c);
	http_timer_set(c->timer, RECONNECT_MS);
}

/* Each caller connects as soon as the event loop runs. */
void
callers_start(struct soak *s)
{
	struct caller *c;
	int i;

	s->callers = g_ptr_array_new();
	for (i = 0; i < s->nnodes * CALLERS_PER_NODE; i++) {
		c = g_new0(struct caller, 1);
		c->soak = s;
		c->node = i / CALLERS_PER_NODE;
		c->timer = evtimer_new(s->base, on_timer, c);
		g_ptr_array_add(s->callers, c);
		schedule_request(c);
	}
}

/* Called after checker_all_ended, which reports requests still in flight. */
void
callers_stop(struct soak *s)
{
	struct caller *c;
	guint i;

	for (i = 0; i < s->callers->len; i++) {
		c = g_ptr_array_index(s->callers, i);
		caller_close(c);
		event_free(c->timer);
		g_free(c);
	}
	g_ptr_array_free(s->callers, TRUE);
}

/* A pause that has already begun keeps its length. */
void
callers_set_pause(struct soak *s, int ms)
{
	s->pause_ms = ms;
}

/* Resets the counts of the node's callers. */
int
callers_take_served(struct soak *s, int node)
{
	struct caller *c;
	guint i;
	int n = 0;

	for (i = 0; i < s->callers->len; i++) {
		c = g_ptr_array_index(s->callers, i);
		if (c->node != node)
			continue;
		n += c->served;
		c->served = 0;
	}
	return n;
}

/* A caller has at most one request in flight. */
int
callers_waiting(struct soak *s)
{
	struct caller *c;
	guint i;
	int n = 0;

	for (i = 0; i < s->callers->len; i++) {
		c = g_ptr_array_index(s->callers, i);
		n += c->attempt != NULL;
	}
	return n;
}
