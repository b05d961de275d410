/* The data path as a whole: start, changes of the view, shutdown. */
#include <string.h>

#include "link_int.h"

#define READY_HEAD_BYTES 8192 /* limit of a readiness check */
#define READY_TIMEOUT_MS 5000
/*
 * While draining, a node accepts new calls for grace_ms divided by this, as
 * callers may not know yet, and refuses them afterwards, so that accepted calls
 * end before the process is killed.
 */
#define CALL_GRACE_DIVISOR 2
/*
 * The target can serve as before until the node is gone.  It gets new work for
 * this percentage of grace_ms, about the time until callers learn of the
 * shutdown; the rest is for the work it has accepted.
 */
#define GUARD_GRACE_PERCENT 30
#define GOAWAY_MS	    500 /* for goaways to arrive, before the process may exit */
/*
 * After this percentage of grace_ms, requests without an answer are refused,
 * and at least ANSWER_MARGIN_MS before the process exits, for the answers to be
 * delivered.
 */
#define ANSWER_GRACE_PERCENT 94
#define ANSWER_MARGIN_MS     60
#define EXIT_MARGIN_MS	     300 /* exits this long before it is killed */

static void on_ready(void *, struct http_exchange *, struct http_message *);
static void on_ready_gone(void *, struct http_exchange *);
static int is_ready(const struct proxy *);
static void on_guard_drain(evutil_socket_t, short, void *);
static void on_last_answer(evutil_socket_t, short, void *);

/* Starts the data path; PROXY_ELISTEN if it cannot listen on an address. */
int
proxy_start(struct proxy **out, struct event_base *base,
    const struct proxy_settings *s, const struct header_names *names,
    const char *ready_path, struct view *v)
{
	struct proxy *p = g_new0(struct proxy, 1);
	struct http_server_calls calls = {
		.arg = p, .request = on_ready, .gone = on_ready_gone
	};

	p->base = base;
	p->settings = s;
	p->names = names;
	p->ready_path = ready_path;
	p->view = v;
	p->rand = g_rand_new();
	p->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	choose_init(p);
	p->ready_limits = (struct http_limits){ READY_HEAD_BYTES, 0,
		READY_TIMEOUT_MS, READY_TIMEOUT_MS, 0 };
	p->guard_drain_timer = evtimer_new(base, on_guard_drain, p);
	p->last_answer_timer = evtimer_new(base, on_last_answer, p);
	quarantine_init(&p->quarantine, p);
	proxy_guard_init(&p->guard, p);
	p->ready = http_server_new(base, s->ready, &p->ready_limits, &calls);
	*out = p;
	if (links_open(&p->links, p) != PROXY_OK ||
	    entry_open(&p->entry, p) != PROXY_OK || p->ready == NULL)
		return PROXY_ELISTEN;
	return PROXY_OK;
}

/* Closes all connections and listeners at once. */
void
proxy_free(struct proxy *p)
{
	entry_close(&p->entry);
	links_close(&p->links);
	proxy_guard_clear(&p->guard);
	quarantine_clear(&p->quarantine);
	event_free(p->guard_drain_timer);
	event_free(p->last_answer_timer);
	http_server_free(p->ready);
	choose_clear(p);
	g_hash_table_destroy(p->peers);
	g_rand_free(p->rand);
	g_free(p);
}

/* Whether callers may send requests to this node. */
static int
is_ready(const struct proxy *p)
{
	return !p->draining && p->view->config != NULL &&
	       p->view->listed_revision.number > 0;
}

/* Answers a readiness check. */
static void
on_ready(void *arg, struct http_exchange *c, struct http_message *m)
{
	struct proxy *p = arg;

	if (strcmp(m->path, p->ready_path) != 0)
		http_reply_text(c, 404, "text/plain", "no such page\n");
	else if (is_ready(p))
		http_reply_text(c, 200, "text/plain", "ready\n");
	else
		http_reply_text(c, 503, "text/plain", "not ready\n");
	http_message_free(m);
}

/* Nothing to release: readiness checks are answered at once. */
static void
on_ready_gone(void *arg, struct http_exchange *c)
{
	(void)arg;
	(void)c;
}

/* Applies changes of the view. */
void
proxy_view_changed(struct proxy *p)
{
	entry_update(&p->entry);
	calls_config_changed(p);
	proxy_guard_update(&p->guard);
}

/* A report on the target was received. */
void
proxy_target_reported(struct proxy *p)
{
	proxy_guard_report_received(&p->guard);
}

/* The store is lost, and with it the reports on the target. */
void
proxy_store_lost(struct proxy *p)
{
	proxy_guard_reports_lost(&p->guard);
}

/* Applies changes of the settings. */
void
proxy_settings_changed(struct proxy *p)
{
	upstream_set_address(p->guard.upstream, p->settings->target);
	p->targets.is_stale = 1;
	link_egress_set_rate(&p->links);
	proxy_guard_probe(&p->guard);
}

/* From now on, this draining node's target gets no new work. */
static void
on_guard_drain(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	proxy_guard_set_state(
	    &p->guard, PROXY_GUARD_DRAINING, "the node leaves");
	links_drain(&p->links);
	p->exit_after = base_now_ms() + GOAWAY_MS;
}

/* Refuses all pending calls, as the process is killed soon. */
static void
on_last_answer(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	entry_expire_requests(&p->entry);
}

/* Time from the stop signal until the process exits at the latest (ms). */
int
proxy_exit_ms(int grace_ms)
{
	return grace_ms - MIN(EXIT_MARGIN_MS, grace_ms / 4);
}

/* Time from the stop signal until requests without an answer are refused. */
int
proxy_last_answer_ms(int grace_ms)
{
	return MIN(grace_ms * ANSWER_GRACE_PERCENT / 100,
	    proxy_exit_ms(grace_ms) - MIN(ANSWER_MARGIN_MS, grace_ms / 16));
}

/* Starts to drain, and sets the timers of its steps. */
void
proxy_drain(struct proxy *p)
{
	int left = proxy_last_answer_ms(p->settings->grace_ms);

	p->draining = 1;
	p->last_call_at =
	    base_now_ms() + p->settings->grace_ms / CALL_GRACE_DIVISOR;
	p->last_answer_at = base_now_ms() + left;
	http_timer_set(p->last_answer_timer, left);
	http_server_drain(p->entry.server);
	http_timer_set(p->guard_drain_timer,
	    p->settings->grace_ms * GUARD_GRACE_PERCENT / 100);
}

/* Whether no request or answer is pending. */
int
proxy_idle(const struct proxy *p)
{
	return g_hash_table_size(p->entry.requests) == 0 &&
	       http_server_idle(p->entry.server) &&
	       p->guard.running->len == 0 && links_busy(&p->links) == 0;
}

/*
 * Other nodes must have been told first, or requests on their way are lost with
 * the process.  The time between the two steps lets the requests arrive that
 * are on their way on new connections.
 */
int
proxy_close_callers(struct proxy *p)
{
	if (p->exit_after == 0 || base_now_ms() < p->exit_after)
		return 0;
	if (http_server_stop_listening(p->entry.server))
		return 0;
	return http_server_close_idle(p->entry.server) == 0;
}

/* Logs what has not ended although the process exits. */
void
proxy_log_pending(const struct proxy *p, int64_t drained_ms)
{
	base_log(G_LOG_LEVEL_MESSAGE, "exiting",
	    "drained_ms=%" G_GINT64_FORMAT
	    " requests=%u answers=%d running=%u links=%d",
	    drained_ms, g_hash_table_size(p->entry.requests),
	    !http_server_idle(p->entry.server), p->guard.running->len,
	    links_busy(&p->links));
}

/* Copies the callbacks for the platform's state. */
void
proxy_set_state(struct proxy *p, const struct proxy_state_calls *s)
{
	p->state = *s;
}

/* Subscribes to another node, or ends the subscription of a slot. */
void
proxy_subscribe(struct proxy *p, enum proxy_slot slot, const char *addr,
    enum proxy_subscription kind)
{
	char link[ADDRESS_MAX];

	if (addr != NULL)
		peer_link_addr(p, addr, link);
	links_subscribe(&p->links, slot, addr != NULL ? link : NULL, kind);
}

/* When a part of a frame arrived from the publisher in a slot, or 0. */
int64_t
proxy_receiving_at(const struct proxy *p, enum proxy_slot slot)
{
	return links_receiving_at(&p->links, slot);
}

/* Number of nodes with this kind of subscription to this one. */
int
proxy_subscribers(const struct proxy *p, enum proxy_subscription kind)
{
	return links_subscribers(&p->links, kind);
}

/* Publishes an update to all subscribers. */
void
proxy_publish(struct proxy *p, const char *state, size_t len, int unsubscribe)
{
	links_publish(&p->links, state, len, unsubscribe);
}

/* Requests a node's state; the address may have any port of its host. */
void
proxy_request_state(struct proxy *p, const char *addr)
{
	char link[ADDRESS_MAX];

	peer_link_addr(p, addr, link);
	links_request_state(&p->links, link);
}

/* Id of the target by its status check; "" until one succeeds. */
const char *
proxy_target_id(const struct proxy *p)
{
	return p->guard.id;
}

/* Appends counters, histograms and gauges. */
void
proxy_print_metrics(const struct proxy *p, GString *out)
{
	counter_print(out);
	histogram_print(out);
	links_print_metrics(&p->links, out);
	g_string_append_printf(out,
	    "teaselstep_requests %u\nteaselstep_gate_running %u\n"
	    "teaselstep_gate_load_percent %d\nteaselstep_gate_slots %d\n"
	    "teaselstep_gate_slow_start_slots %d\nteaselstep_targets %u\n",
	    g_hash_table_size(p->entry.requests), p->guard.running->len,
	    proxy_guard_load(&p->guard), p->guard.admit.slots,
	    slow_start_slots(
		&p->guard.slow_start, p->guard.slots, base_now_ms()),
	    g_hash_table_size(p->view->targets));
}
