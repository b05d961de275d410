/*
 * A loopback proxy in front of a node's link listener.  Faults delay its
 * connections, drop the bytes of one direction, silence, reset or refuse them.
 */
#include <event2/listener.h>

#include "soak.h"

#define BACKLOG	 128
#define DELAY_MS 40

/* One accepted connection and the connection to the node. */
struct relay {
	struct link_proxy *link_proxy;
	struct bufferevent *ends[2]; /* to the peer, to the node */
	struct event *timer;	     /* forwards delayed bytes */
	int silent;		     /* drops all bytes from now on */
};

struct link_proxy {
	struct soak *soak;
	struct evconnlistener *listener;
	char forward[ADDRESS_MAX];
	enum link_fault fault;
	GPtrArray *relays;
};

static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static void on_read(struct bufferevent *, void *);
static void on_delay_over(evutil_socket_t, short, void *);
static void on_event(struct bufferevent *, short, void *);
static void relay_free(struct relay *, int);
static void relay_bytes(struct relay *, int);

/*
 * Closes both connections, with a reset if reset is set.  Unsent bytes are
 * dropped.
 */
static void
relay_free(struct relay *r, int reset)
{
	int k;

	g_ptr_array_remove_fast(r->link_proxy->relays, r);
	for (k = 0; k < 2; k++) {
		if (reset)
			http_reset(r->ends[k]);
		else
			bufferevent_free(r->ends[k]);
	}
	event_free(r->timer);
	g_free(r);
}

/* Forwards the bytes that one end sent to the other end, or drops them. */
static void
relay_bytes(struct relay *r, int from)
{
	struct evbuffer *in = bufferevent_get_input(r->ends[from]);
	enum link_fault fault = r->link_proxy->fault;

	if (evbuffer_get_length(in) == 0)
		return;
	/* A stream with a gap is useless, so it stays silent once cut. */
	if ((fault == LINK_DROP_IN && from == 0) ||
	    (fault == LINK_DROP_OUT && from == 1))
		r->silent = 1;
	if (r->silent)
		evbuffer_drain(in, evbuffer_get_length(in));
	else
		bufferevent_write_buffer(r->ends[1 - from], in);
}

/* Forwards all bytes that arrived during the delay, in both directions. */
static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	relay_bytes(arg, 0);
	relay_bytes(arg, 1);
}

/* Called for both ends; under LINK_DELAY the timer forwards the bytes. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct relay *r = arg;

	if (r->link_proxy->fault == LINK_DELAY) {
		if (!evtimer_pending(r->timer, NULL))
			http_timer_set(r->timer, DELAY_MS);
		return;
	}
	relay_bytes(r, bev == r->ends[1]);
}

/* A silent connection does not forward that one end has closed, either. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct relay *r = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	if (r->silent)
		return;
	on_delay_over(-1, 0, r);
	relay_free(r, what & BEV_EVENT_ERROR);
}

/*
 * Opens the connection to the node; under LINK_REFUSE both are reset at once.
 */
static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct link_proxy *p = arg;
	struct relay *r;
	int k;

	(void)l;
	(void)sa;
	(void)len;
	r = g_new0(struct relay, 1);
	r->link_proxy = p;
	r->ends[0] =
	    bufferevent_socket_new(p->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
	r->ends[1] = http_connect(p->soak->base, p->forward);
	r->timer = evtimer_new(p->soak->base, on_delay_over, r);
	if (r->ends[1] == NULL)
		g_error("soak: no descriptor for a relay");
	g_ptr_array_add(p->relays, r);
	for (k = 0; k < 2; k++) {
		bufferevent_setcb(r->ends[k], on_read, NULL, on_event, r);
		bufferevent_enable(r->ends[k], EV_READ | EV_WRITE);
	}
	if (p->fault == LINK_REFUSE)
		relay_free(r, 1);
}

/* Listens on the address that other nodes dial for links to this node. */
struct link_proxy *
link_proxy_new(struct soak *s, const char *listen, const char *forward)
{
	struct link_proxy *p = g_new0(struct link_proxy, 1);
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

/* Resets the open connections. */
void
link_proxy_free(struct link_proxy *p)
{
	while (p->relays->len > 0)
		relay_free(g_ptr_array_remove_index_fast(p->relays, 0), 1);
	g_ptr_array_free(p->relays, TRUE);
	evconnlistener_free(p->listener);
	g_free(p);
}

/* Changes the fault, for open connections as well. */
void
link_proxy_set_fault(struct link_proxy *p, enum link_fault fault)
{
	guint i;

	p->fault = fault;
	if (fault == LINK_RESET || fault == LINK_REFUSE)
		while (p->relays->len > 0)
			relay_free(
			    g_ptr_array_remove_index_fast(p->relays, 0), 1);
	for (i = 0; fault == LINK_SILENT && i < p->relays->len; i++)
		((struct relay *)g_ptr_array_index(p->relays, i))->silent = 1;
}
