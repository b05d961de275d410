/*
 * A loopback proxy before a node's links: connections that are delayed, cut
 * one way, silenced, reset or refused.
 */
#include <event2/listener.h>

#include "soak.h"

#define BACKLOG	 128
#define DELAY_MS 40

/* One connection and its way on. */
struct relay {
	struct soak_pipe *pipe;
	struct bufferevent *ends[2]; /* of who connected, of the node */
	struct event *timer;	     /* bytes that are late go on */
	int silent;
};

struct soak_pipe {
	struct soak *soak;
	struct evconnlistener *listener;
	char forward[ADDRESS_MAX];
	enum pipe_rule rule;
	GPtrArray *relays;
};

static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static void on_read(struct bufferevent *, void *);
static void on_late(evutil_socket_t, short, void *);
static void on_event(struct bufferevent *, short, void *);
static void relay_free(struct relay *, int);
static void pass(struct relay *, int);

static void
relay_free(struct relay *r, int reset)
{
	int k;

	g_ptr_array_remove_fast(r->pipe->relays, r);
	for (k = 0; k < 2; k++) {
		if (reset)
			http_reset(r->ends[k]);
		else
			bufferevent_free(r->ends[k]);
	}
	event_free(r->timer);
	g_free(r);
}

/* Moves what one end sent to the other, or loses it. */
static void
pass(struct relay *r, int from)
{
	struct evbuffer *in = bufferevent_get_input(r->ends[from]);
	enum pipe_rule rule = r->pipe->rule;

	if (evbuffer_get_length(in) == 0)
		return;
	/* What is lost in a stream leaves it silent for good. */
	if ((rule == PIPE_CUT_IN && from == 0) ||
	    (rule == PIPE_CUT_OUT && from == 1))
		r->silent = 1;
	if (r->silent)
		evbuffer_drain(in, evbuffer_get_length(in));
	else
		bufferevent_write_buffer(r->ends[1 - from], in);
}

static void
on_late(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pass(arg, 0);
	pass(arg, 1);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct relay *r = arg;

	if (r->pipe->rule == PIPE_DELAY) {
		if (!evtimer_pending(r->timer, NULL))
			http_timer(r->timer, DELAY_MS);
		return;
	}
	pass(r, bev == r->ends[1]);
}

/* A silent connection hides that an end has closed, too. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct relay *r = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	if (r->silent)
		return;
	on_late(-1, 0, r);
	relay_free(r, what & BEV_EVENT_ERROR);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct soak_pipe *p = arg;
	struct relay *r;
	int k;

	(void)l;
	(void)sa;
	(void)len;
	r = g_new0(struct relay, 1);
	r->pipe = p;
	r->ends[0] =
	    bufferevent_socket_new(p->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
	r->ends[1] = http_connect(p->soak->base, p->forward);
	r->timer = evtimer_new(p->soak->base, on_late, r);
	if (r->ends[1] == NULL)
		g_error("soak: no descriptor for a relay");
	g_ptr_array_add(p->relays, r);
	for (k = 0; k < 2; k++) {
		bufferevent_setcb(r->ends[k], on_read, NULL, on_event, r);
		bufferevent_enable(r->ends[k], EV_READ | EV_WRITE);
	}
	if (p->rule == PIPE_REFUSE)
		relay_free(r, 1);
}

/* Listens where the node's links are looked for. */
struct soak_pipe *
pipe_new(struct soak *s, const char *listen, const char *forward)
{
	struct soak_pipe *p = g_new0(struct soak_pipe, 1);
	struct sockaddr_in sin;

	p->soak = s;
	p->relays = g_ptr_array_new();
	g_strlcpy(p->forward, forward, sizeof(p->forward));
	address_resolve(listen, &sin);
	p->listener = evconnlistener_new_bind(s->base, on_accept, p,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (p->listener == NULL)
		g_error("soak: cannot listen on %s", listen);
	return p;
}

void
pipe_free(struct soak_pipe *p)
{
	while (p->relays->len > 0)
		relay_free(g_ptr_array_remove_index_fast(p->relays, 0), 1);
	g_ptr_array_free(p->relays, TRUE);
	evconnlistener_free(p->listener);
	g_free(p);
}

/* Changes what becomes of connections, those that are open included. */
void
pipe_set(struct soak_pipe *p, enum pipe_rule rule)
{
	guint i;

	p->rule = rule;
	if (rule == PIPE_RESET || rule == PIPE_REFUSE)
		while (p->relays->len > 0)
			relay_free(
			    g_ptr_array_remove_index_fast(p->relays, 0), 1);
	for (i = 0; rule == PIPE_SILENT && i < p->relays->len; i++)
		((struct relay *)g_ptr_array_index(p->relays, i))->silent = 1;
}
