/*
 * Links between nodes: one connection for each direction in use, with many
 * requests on each.  A link on which an answer is due and nothing arrives is
 * probed with a ping, and closed if nothing arrives after that either.  The
 * ping may also wait behind this node's own output on other links.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "link_int.h"

#define BACKLOG		  256
#define READ_AHEAD_MAX	  (64 * 1024) /* bytes of a link in a pass */
#define CHECK_INTERVAL_MS 100	      /* between two checks for silent links */
#define PING_AFTER_MS	  300	      /* without input while an answer is due */
/* Time to answer a ping; longer while a long answer or update is in flight. */
#define PONG_TIMEOUT_MS	     500
#define PONG_LONG_TIMEOUT_MS 2500
#define CONNECT_TIMEOUT_MS   400   /* VMs are 0.1 to 1 ms apart */
#define OUTPUT_LOW_WATER     16384 /* bytes left when frames may follow */
#define IDLE_TIMEOUT_MS	     10000

static struct link *
link_new(struct links *, struct bufferevent *, const char *);
static void link_close(struct link *, const char *);
static void accept_waiting(struct links *);
static void on_accept(
    struct evconnlistener *, evutil_socket_t, struct sockaddr *, int, void *);
static int read_more(struct link *);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);
static int is_update_in_flight(const struct links *);
static int pong_timeout_ms(struct link *);
static void check_silence(struct link *, int64_t);
static void on_frame(struct link *, const Link__Frame *);
static void on_write(struct bufferevent *, void *);
static void write_control(struct link *, Link__Frame__BodyCase);

/* Listens for links of other nodes; returns PROXY_OK or PROXY_ELISTEN. */
int
links_open(struct links *ls, struct proxy *p)
{
	struct sockaddr_in sin;
	struct timeval tv = { 0, CHECK_INTERVAL_MS * 1000L };

	ls->proxy = p;
	ls->out = g_hash_table_new(g_str_hash, g_str_equal);
	ls->in = g_hash_table_new(NULL, NULL);
	g_queue_init(&ls->lost);
	link_egress_open(ls);
	ls->timer = event_new(p->base, -1, EV_PERSIST, on_timer, ls);
	evtimer_add(ls->timer, &tv);
	if (address_resolve(p->settings->links, &sin) != BASE_OK)
		return PROXY_ELISTEN;
	ls->listener = evconnlistener_new_bind(p->base, on_accept, ls,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (ls->listener != NULL)
		return PROXY_OK;
	base_log(G_LOG_LEVEL_WARNING, "listen-failed",
	    "address=%s reason=\"%s\"", p->settings->links, g_strerror(errno));
	return PROXY_ELISTEN;
}

/*
 * Accepts the connections that wait for it.  Closing the listener would reset
 * them, and peers may have written requests on them.
 */
static void
accept_waiting(struct links *ls)
{
	evutil_socket_t fd, listener = evconnlistener_get_fd(ls->listener);

	for (;;) {
		fd =
		    accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0)
			on_accept(ls->listener, fd, NULL, 0, ls);
		else if (errno != ECONNABORTED && errno != EINTR)
			break;
	}
}

/*
 * A request on its way to a node that exits has an unknown outcome.  So the
 * nodes that may send any are told long before.
 */
void
links_drain(struct links *ls)
{
	GHashTableIter it;
	gpointer value;

	accept_waiting(ls);
	evconnlistener_free(ls->listener);
	ls->listener = NULL;
	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value))
		write_control(value, LINK__FRAME__BODY_GOAWAY);
}

/* Closes all links; jobs sent on them end as undelivered or unknown. */
void
links_close(struct links *ls)
{
	GHashTable *const tables[] = { ls->out, ls->in };
	GHashTableIter it;
	gpointer value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		for (;;) {
			g_hash_table_iter_init(&it, tables[i]);
			if (!g_hash_table_iter_next(&it, NULL, &value))
				break;
			link_close(value, "stopping");
		}
		g_hash_table_destroy(tables[i]);
	}
	event_free(ls->timer);
	link_egress_close(ls);
	if (ls->listener != NULL)
		evconnlistener_free(ls->listener);
}

/* Creates a link; addr is NULL for a connection that a peer opened. */
static struct link *
link_new(struct links *ls, struct bufferevent *bev, const char *addr)
{
	struct link *l = g_new0(struct link, 1);

	l->links = ls;
	l->bev = bev;
	l->addr = g_strdup(addr);
	l->opened_at = l->received_at = base_now_ms();
	l->jobs = g_hash_table_new(NULL, NULL);
	if (addr != NULL)
		g_hash_table_insert(ls->out, l->addr, l);
	else
		g_hash_table_insert(ls->in, l, l);
	g_queue_init(&l->outputs);
	bufferevent_setcb(bev, on_read, on_write, on_event, l);
	bufferevent_setwatermark(bev, EV_WRITE, OUTPUT_LOW_WATER, 0);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	/* The peer may have lost its quarantine list by a restart. */
	link_send_suspects(l, POISON_CRASHES_MAX);
	return l;
}

/*
 * Closes a link, and cancels its jobs or ends them.  Ending one calls back into
 * links, so this is done when nothing refers to the link any more.
 */
static void
link_close(struct link *l, const char *why)
{
	struct links *ls = l->links;
	unsigned int slots = 0;

	base_log(G_LOG_LEVEL_MESSAGE, "link-closed",
	    "peer=%s reason=\"%s\" jobs=%u", l->addr != NULL ? l->addr : "-",
	    why, g_hash_table_size(l->jobs));
	if (l->addr != NULL) {
		g_hash_table_remove(ls->out, l->addr);
		if (l->leaving)
			peers_set_leaving(ls->proxy, l->addr, 0);
		slots = link_clear_publisher(l);
		link_detach_jobs(l);
		link_egress_drop(l);
		http_reset(l->bev);
	} else {
		g_hash_table_remove(ls->in, l);
		link_serve_end(l);
		link_egress_drop(l);
		/* A reset discards answers that the peer has yet to read. */
		if (ls->listener == NULL)
			bufferevent_free(l->bev);
		else
			http_reset(l->bev);
	}
	g_hash_table_destroy(l->jobs);
	link_drop_bases(l);
	g_free(l->addr);
	g_free(l);
	links_report_lost(ls, slots);
	links_end_lost(ls);
}

/* Another node has opened a link. */
static void
on_accept(struct evconnlistener *lis, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct links *ls = arg;

	(void)lis;
	(void)sa;
	(void)len;
	http_set_socket_options(fd);
	link_new(ls,
	    bufferevent_socket_new(ls->proxy->base, fd, BEV_OPT_CLOSE_ON_FREE),
	    NULL);
}

/* Returns the link to an address, opened if needed; NULL if that fails. */
struct link *
link_to(struct links *ls, const char *addr)
{
	struct link *l = g_hash_table_lookup(ls->out, addr);
	struct bufferevent *bev;

	if (l != NULL)
		return l;
	bev = http_connect(ls->proxy->base, addr);
	return bev != NULL ? link_new(ls, bev, addr) : NULL;
}

/* Counts jobs from other nodes, and their links with unsent output. */
int
links_busy(const struct links *ls)
{
	struct link *l;
	GHashTableIter it;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		n += (int)g_hash_table_size(l->jobs);
		n += evbuffer_get_length(bufferevent_get_output(l->bev)) > 0 ||
		     l->outputs.length > 0;
	}
	return n;
}

/* Writes a ping or a goaway, or a pong if the body case is any other. */
static void
write_control(struct link *l, Link__Frame__BodyCase what)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Ping ping = LINK__PING__INIT;
	Link__Pong pong = LINK__PONG__INIT;
	Link__Goaway goaway = LINK__GOAWAY__INIT;

	f.body_case = what;
	if (what == LINK__FRAME__BODY_PING)
		f.ping = &ping;
	else if (what == LINK__FRAME__BODY_GOAWAY)
		f.goaway = &goaway;
	else
		f.pong = &pong;
	link_write_frame(l, &f, EGRESS_CONTROL);
}

/* Handles one frame; those of the wrong direction are ignored. */
static void
on_frame(struct link *l, const Link__Frame *f)
{
	switch (f->body_case) {
	case LINK__FRAME__BODY_REQUEST:
		if (l->addr == NULL)
			link_serve_request(l, f->stream, f->request);
		break;
	case LINK__FRAME__BODY_CANCEL:
		if (l->addr == NULL)
			link_serve_cancel(l, f->stream);
		break;
	case LINK__FRAME__BODY_ASK:
		if (l->addr == NULL)
			link_serve_ask(l, f->stream);
		break;
	case LINK__FRAME__BODY_ANSWER:
		if (l->addr != NULL)
			link_on_answer(l, f->stream, f->answer);
		break;
	case LINK__FRAME__BODY_PIECE:
		if (l->addr != NULL)
			link_on_piece(l, f->stream, f->piece);
		break;
	case LINK__FRAME__BODY_END:
		if (l->addr != NULL)
			link_on_end(l, f->stream, f->end);
		break;
	case LINK__FRAME__BODY_CREDIT:
		if (l->addr == NULL)
			link_stream_credit(l, f->stream, f->credit->bytes);
		break;
	case LINK__FRAME__BODY_SUSPECT:
		link_receive_crashes(l, f->suspect->fingerprint,
		    f->suspect->crashes, f->suspect->n_crashes,
		    f->suspect->left_ms);
		break;
	case LINK__FRAME__BODY_GOAWAY:
		if (l->addr != NULL) {
			l->leaving = 1;
			peers_set_leaving(l->links->proxy, l->addr, 1);
		}
		break;
	case LINK__FRAME__BODY_PING:
		write_control(l, LINK__FRAME__BODY_PONG);
		break;
	case LINK__FRAME__BODY_PONG:
		if (l->pong_due)
			l->links->arrived_at = base_now_ms();
		l->pong_due = 0;
		break;
	case LINK__FRAME__BODY_STATE_REQUEST:
		link_send_state(l, f->state_request);
		break;
	case LINK__FRAME__BODY_SUBSCRIBE:
		link_set_subscriber(l, f->subscribe);
		break;
	case LINK__FRAME__BODY_FEED:
		if (link_is_publisher(l))
			link_receive_feed(l, f->feed);
		break;
	case LINK__FRAME__BODY_STATE:
		link_receive_state(l, f->state);
		break;
	default:
		break;
	}
}

/*
 * Reads more of a frame that is incomplete.  libevent reads 4 KB of a
 * connection in a pass of its loop, so a busy loop would need seconds for a
 * large update. Returns the number of bytes; the bufferevent notices an end or
 * an error.
 */
static int
read_more(struct link *l)
{
	struct evbuffer *in = bufferevent_get_input(l->bev);
	int n;

	evbuffer_unfreeze(in, 0);
	n = evbuffer_read(in, bufferevent_getfd(l->bev), -1);
	evbuffer_freeze(in, 0);
	return MAX(n, 0);
}

/* Handles the frames that have arrived. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;
	int n, more, ahead = 0;
	Link__Frame *f;

	(void)bev;
	l->received_at = base_now_ms();
	l->pinged_at = 0;
	do {
		while ((n = link_read_frame(l, &f)) > 0) {
			on_frame(l, f);
			link__frame__free_unpacked(f, NULL);
		}
		more = n == 0 && ahead < READ_AHEAD_MAX && link_is_receiving(l)
			   ? read_more(l)
			   : 0;
		ahead += more;
	} while (more > 0);
	if (n < 0)
		link_close(l, "malformed frame");
}

/* The output is below OUTPUT_LOW_WATER: more frames may be written. */
static void
on_write(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;

	(void)bev;
	l->out.blocked = 0;
	link_egress_pump(l->links);
}

/* Handles the opening or the end of a connection. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		l->connected = 1;
		l->received_at = base_now_ms();
	} else {
		link_close(
		    l, what & BEV_EVENT_EOF ? "closed by peer" : "reset");
	}
}

/*
 * Whether a peer has yet to receive a large update of this node, or one has
 * received it only now, so that pings may still be on their way.
 */
static int
is_update_in_flight(const struct links *ls)
{
	GHashTableIter it;
	gpointer value;

	if (base_now_ms() - ls->arrived_at <= PONG_TIMEOUT_MS)
		return 1;
	g_hash_table_iter_init(&it, ls->in);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct link *)value)->pong_due)
			return 1;
	return 0;
}

/*
 * Time that the peer of a link has to answer a ping, which follows a frame that
 * is written in part.
 */
static int
pong_timeout_ms(struct link *l)
{
	return l->out.partial != NULL || link_is_streaming(l) ||
		       is_update_in_flight(l->links)
		   ? PONG_LONG_TIMEOUT_MS
		   : PONG_TIMEOUT_MS;
}

/* The ping has the class of the update that it follows, to stay behind it. */
void
link_ping(struct link *l)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Ping ping = LINK__PING__INIT;

	l->pong_due = 1;
	f.body_case = LINK__FRAME__BODY_PING;
	f.ping = &ping;
	link_write_frame(l, &f, EGRESS_STATE);
}

/* Pings or closes a link opened by this node, if it is silent or idle. */
static void
check_silence(struct link *l, int64_t now)
{
	int answer_due = g_hash_table_size(l->jobs) > 0;

	if (!l->connected) {
		if (now - l->opened_at > CONNECT_TIMEOUT_MS)
			link_close(l, "no connection");
	} else if (l->pinged_at > 0 &&
		   now - l->pinged_at > pong_timeout_ms(l)) {
		link_close(l, "silent");
	} else if (answer_due && l->pinged_at == 0 &&
		   now - l->received_at > PING_AFTER_MS) {
		l->pinged_at = now;
		write_control(l, LINK__FRAME__BODY_PING);
	} else if (!answer_due && !link_is_publisher(l) &&
		   now - l->received_at > IDLE_TIMEOUT_MS) {
		link_close(l, "idle");
	}
}

/* Checks the links that this node opened, each CHECK_INTERVAL_MS. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct links *ls = arg;
	GList *all, *e;
	int64_t now = base_now_ms();
	struct link *overfull;

	(void)fd;
	(void)what;
	/* A job that fails may open a link, so the values are copied. */
	all = g_hash_table_get_values(ls->out);
	for (e = all; e != NULL; e = e->next)
		if (g_hash_table_lookup(
			ls->out, ((struct link *)e->data)->addr) == e->data)
			check_silence(e->data, now);
	g_list_free(all);
	if ((overfull = link_egress_meter(ls)) != NULL)
		link_close(overfull, "peer reads too little");
}
