/* Callers: connections kept to the node beside them until it is gone. */
#include "soak.h"

#define PER_NODE	3
#define REMAINING_MS	1500
#define ANSWER_HEAD_MAX 65536
#define GIVE_UP		40 /* one request in so many is left early */
#define CRASHER		60 /* one in so many ends targets, while faults strike */
#define AGAIN_MS	100 /* until a refused connection is tried again */

/* One caller, one request at a time. */
struct caller {
	struct soak *soak;
	int node, served, up;
	struct bufferevent *bev;
	struct http_parse parse;
	struct attempt *attempt; /* that waits, or NULL */
	struct event *timer;
};

static void caller_open(struct caller *);
static void caller_close(struct caller *);
static void caller_send(struct caller *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);
static void pause_caller(struct caller *);

/* Pauses until the next request. */
static void
pause_caller(struct caller *c)
{
	http_timer(c->timer, 1 + soak_below(c->soak, 2 * c->soak->pace));
}

static void
caller_close(struct caller *c)
{
	if (c->bev == NULL)
		return;
	bufferevent_free(c->bev);
	http_parse_free(&c->parse);
	c->bev = NULL;
	c->up = 0;
}

static void
caller_open(struct caller *c)
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

/* Sends one request of a random route. */
static void
caller_send(struct caller *c)
{
	static const char *const prefixes[] = { "read", "write", "split" };
	int route = soak_below(c->soak, ROUTES);

	if (c->soak->next_event != 0 && soak_below(c->soak, CRASHER) == 0) {
		c->attempt = judge_sent_crasher(c->soak, c->node);
		route = c->attempt->route;
	} else {
		c->attempt = judge_sent(c->soak, c->node, route);
	}
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "POST /%s/%s?n=1 HTTP/1.1\r\nHost: rig\r\n%s: %s\r\n%s: %d\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    prefixes[route], c->attempt->name, platform_headers.id,
	    c->attempt->id, platform_headers.remaining_ms, REMAINING_MS,
	    strlen(c->attempt->name), c->attempt->name);
	if (soak_below(c->soak, GIVE_UP) == 0)
		http_timer(c->timer, 1 + soak_below(c->soak, 30));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;

	(void)fd;
	(void)what;
	if (c->attempt != NULL) {
		/* It leaves; what comes of the request is not its concern. */
		c->attempt->ended = 1;
		c->attempt = NULL;
		caller_close(c);
	}
	if (c->bev == NULL)
		caller_open(c);
	else if (c->up && !c->soak->closing)
		caller_send(c);
	if (c->attempt == NULL)
		pause_caller(c);
}

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
		judge_broken(c->soak, "MIXED",
		    "node %d answered where nothing was asked", c->node);
	} else {
		c->served += m->status == 200;
		judge_answer(c->soak, c->attempt, m);
	}
	c->attempt = NULL;
	if (!m->keep_alive)
		caller_close(c);
	http_message_free(m);
	pause_caller(c);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct caller *c = arg;
	struct attempt *a = c->attempt;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->up = 1;
		return;
	}
	if (a != NULL)
		judge_cut(c->soak, a,
		    node_disturbed(&c->soak->nodes[c->node], a->sent_at));
	c->attempt = NULL;
	caller_close(c);
	http_timer(c->timer, AGAIN_MS);
}

/* Starts the callers of all nodes. */
void
front_start(struct soak *s)
{
	struct caller *c;
	int i;

	s->callers = g_ptr_array_new();
	for (i = 0; i < s->nnodes * PER_NODE; i++) {
		c = g_new0(struct caller, 1);
		c->soak = s;
		c->node = i / PER_NODE;
		c->timer = evtimer_new(s->base, on_timer, c);
		g_ptr_array_add(s->callers, c);
		pause_caller(c);
	}
}

void
front_stop(struct soak *s)
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

void
front_pace(struct soak *s, int ms)
{
	s->pace = ms;
}

int
front_served(struct soak *s, int node)
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

int
front_waiting(struct soak *s)
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
