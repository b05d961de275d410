/*
 * Probes: asks each node in turn which configuration it has, by requests on
 * routes that exist from one version on (see operator.c).  A node's version
 * must not go back before the node restarts, and a confirmed version must be
 * in force in time.
 */
#include "soak.h"

#define PROBE_MS   100 /* between two probes of a node */
#define ANSWER_MAX 65536
/*
 * Requirements of the users: a node is connected again this long after its
 * last disturbance; a configuration is in force this long after it was
 * confirmed, or while the store was disturbed, longer.
 */
#define CONTACT_MS 3000
#define APPLY_MS   2000
#define OUTER_MS   5000
/* Versions asked for, of those that newer ones still have a route for. */
#define ASKED_MAX (SOAK_MARKED_MAX - 4)

/* The probe of a node, with one request at a time. */
struct probe {
	struct soak *soak;
	struct soak_node *node;
	struct bufferevent *bev; /* NULL: no connection */
	struct http_parse parse;
	struct event *timer;
	int version;	/* asked for in the request in flight; 0: none */
	int has_config; /* in this start of the node */
	int seen;	/* the newest version seen in this start */
	int reported;	/* the newest version reported as late in it */
	int64_t sent_at;
	int starts; /* of the node when the request was sent */
	int in_flight, turn;
};

static void probe_close(struct probe *);
static int due_version(const struct probe *, int64_t);
static int64_t due_since(const struct probe *, int64_t);
static void probe_send(struct probe *);
static void judge(struct probe *, int);
static void on_read(struct bufferevent *, void *);
static void on_event(struct bufferevent *, short, void *);
static void on_timer(evutil_socket_t, short, void *);

/* Drops a request in flight. */
static void
probe_close(struct probe *p)
{
	if (p->bev == NULL)
		return;
	bufferevent_free(p->bev);
	http_parse_free(&p->parse);
	p->bev = NULL;
	p->in_flight = 0;
}

/*
 * Versions that were confirmed before the returned time have to be in force at
 * the node by now; 0 if the node is disturbed.
 */
static int64_t
due_since(const struct probe *p, int64_t now)
{
	const struct soak *s = p->soak;
	int64_t store_at = node_store_calm_at(s, now);

	if (node_calm_at(p->node, now) + CONTACT_MS + APPLY_MS > now)
		return 0;
	return now - APPLY_MS - (store_at + CONTACT_MS > now ? OUTER_MS : 0);
}

/* The newest version that has to be in force at the node, or 0. */
static int
due_version(const struct probe *p, int64_t now)
{
	const struct operator_state *op = &p->soak->operator;
	int64_t since = due_since(p, now);
	int i;

	for (i = op->nversions - 1; i >= MAX(0, op->nversions - ASKED_MAX); i--)
		if (op->versions[i].acked_at < since)
			return op->versions[i].version;
	return 0;
}

/*
 * Asks for a version that must be in force, or in every second probe for the
 * newest.  Until the node has shown that it has a configuration, by refusing a
 * path that never existed, it is asked for that path, which has no version.
 */
static void
probe_send(struct probe *p)
{
	int64_t now = base_now_ms();

	if (p->starts != p->node->starts) {
		p->starts = p->node->starts;
		p->has_config = p->seen = p->reported = 0;
	}
	p->version = 0;
	if (p->has_config && p->turn++ % 2 == 0)
		p->version = due_version(p, now);
	if (p->has_config && p->version == 0)
		p->version = p->soak->config_version;
	p->sent_at = now;
	p->in_flight = 1;
	evbuffer_add_printf(bufferevent_get_output(p->bev),
	    "GET /v%d/probe HTTP/1.1\r\nHost: rig\r\n%s: probe-%d-%d\r\n"
	    "%s: 500\r\n\r\n",
	    p->version, platform_headers.id, p->node->i, p->turn,
	    platform_headers.remaining_ms);
}

/* Checks the answer to a probe: 404 if the node has no such route. */
static void
judge(struct probe *p, int status)
{
	struct soak *s = p->soak;

	if (p->starts != p->node->starts || p->node->stopping ||
	    (status != 404 && status != 503))
		return;
	s->checker.probes++;
	if (status == 503) {
		if (p->has_config)
			p->seen = MAX(p->seen, p->version);
		return;
	}
	p->has_config = 1;
	if (p->version != 0 && p->version <= p->seen) {
		checker_violation(s, "CONFIG",
		    "node %d has no version %d, but had %d before", p->node->i,
		    p->version, p->seen);
		p->seen = 0;
	} else if (p->version > p->reported &&
		   due_version(p, p->sent_at) >= p->version) {
		checker_violation(s, "CONFIG",
		    "node %d has no version %d, which was confirmed in time",
		    p->node->i, p->version);
		p->reported = p->version;
	}
}

/* The answer is complete: checks it. */
static void
on_read(struct bufferevent *bev, void *arg)
{
	struct probe *p = arg;
	struct http_message *m;

	if (http_parse_feed(&p->parse, bufferevent_get_input(bev)) != HTTP_OK)
		return;
	m = http_parse_take(&p->parse);
	http_parse_next(&p->parse, HTTP_RESPONSE);
	if (p->in_flight)
		judge(p, m->status);
	p->in_flight = 0;
	if (!m->keep_alive)
		probe_close(p);
	http_message_free(m);
}

/* The connection ended; the next probe opens another. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & BEV_EVENT_CONNECTED) == 0)
		probe_close(arg);
}

/* Sends the next probe, unless the last one is still unanswered. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct probe *p = arg;
	char addr[ADDRESS_MAX];

	(void)fd;
	(void)what;
	http_timer_set(p->timer, PROBE_MS);
	if (p->node->pid == 0 || p->in_flight)
		return;
	if (p->bev == NULL) {
		g_snprintf(addr, sizeof(addr), "%s:8080", p->node->host);
		if ((p->bev = http_connect(p->soak->base, addr)) == NULL)
			return;
		http_parse_init(
		    &p->parse, HTTP_RESPONSE, ANSWER_MAX, ANSWER_MAX);
		bufferevent_setcb(p->bev, on_read, NULL, on_event, p);
		bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	}
	probe_send(p);
}

/* Called after fleet_start(). */
void
probes_start(struct soak *s)
{
	struct probe *p;
	int i;

	s->probes = g_ptr_array_new();
	for (i = 0; i < s->nnodes; i++) {
		p = g_new0(struct probe, 1);
		p->soak = s;
		p->node = &s->nodes[i];
		p->timer = evtimer_new(s->base, on_timer, p);
		g_ptr_array_add(s->probes, p);
		http_timer_set(p->timer, PROBE_MS);
	}
}

/* Requests in flight are not judged. */
void
probes_stop(struct soak *s)
{
	struct probe *p;
	guint i;

	for (i = 0; i < s->probes->len; i++) {
		p = g_ptr_array_index(s->probes, i);
		probe_close(p);
		event_free(p->timer);
		g_free(p);
	}
	g_ptr_array_free(s->probes, TRUE);
}
