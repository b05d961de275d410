/* The data path as a whole: start, changes of the view, leaving. */
#include <string.h>

#include "proxy_int.h"

#define READY_HEAD_BYTES \
	8192 /* bytes of a question whether the node is ready */
#define READY_TIMEOUT_MS 5000
/*
 * Callers may go on sending to a leaving node.  It takes their requests for
 * this part of its grace and refuses them from then on, so that what it took
 * ends before it is killed.
 */
#define CALL_GRACE_DIVISOR 2
/*
 * The target beside it is as able as before until the node is gone.  It gets
 * new work for this part of the grace, which is about as long as callers take
 * to hear; what it was given has the rest to end in.
 */
#define GUARD_GRACE_PERCENT 30
/* And of that after which no answer of a target is waited for. */
#define ANSWER_GRACE_PERCENT 94

static void on_ready(void *, struct http_exchange *, struct http_message *);
static void on_ready_gone(void *, struct http_exchange *);
static int is_ready(const struct proxy *);
static void on_guard_drain(evutil_socket_t, short, void *);
static void on_last_answer(evutil_socket_t, short, void *);

/* Starts the data path. */
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

/* Closes everything at once. */
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
	g_hash_table_destroy(p->peers);
	g_rand_free(p->rand);
	g_free(p);
}

/* Whether callers may be sent here. */
static int
is_ready(const struct proxy *p)
{
	return !p->draining && p->view->config != NULL &&
	       p->view->listed_at > 0;
}

/* Answers the question whether the node is ready. */
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

static void
on_ready_gone(void *arg, struct http_exchange *c)
{
	(void)arg;
	(void)c;
}

/* Takes over what changed in the view. */
void
proxy_view_changed(struct proxy *p)
{
	entry_update(&p->entry);
	proxy_guard_update(&p->guard);
}

/* There was a report of the target. */
void
proxy_target_reported(struct proxy *p)
{
	proxy_guard_report_received(&p->guard);
}

/* There will be none. */
void
proxy_store_lost(struct proxy *p)
{
	proxy_guard_reports_lost(&p->guard);
}

/* Takes over what changed in the settings. */
void
proxy_settings_changed(struct proxy *p)
{
	upstream_set_address(p->guard.upstream, p->settings->target);
	proxy_guard_probe(&p->guard);
}

/* The target beside a leaving node gets no new work from now on. */
static void
on_guard_drain(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	proxy_guard_set_state(
	    &p->guard, PROXY_GUARD_DRAINING, "the node leaves");
}

/* The process is killed soon: whoever waits gets an answer before. */
static void
on_last_answer(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	entry_expire_requests(&p->entry);
}

/* Begins to leave. */
void
proxy_leave(struct proxy *p)
{
	int left = p->settings->grace_ms * ANSWER_GRACE_PERCENT / 100;

	p->draining = 1;
	p->last_call_at =
	    base_now_ms() + p->settings->grace_ms / CALL_GRACE_DIVISOR;
	p->last_answer_at = base_now_ms() + left;
	http_timer(p->last_answer_timer, left);
	http_server_leave(p->entry.server);
	http_timer(p->guard_drain_timer,
	    p->settings->grace_ms * GUARD_GRACE_PERCENT / 100);
}

/* Whether nothing is under way. */
int
proxy_idle(const struct proxy *p)
{
	return g_hash_table_size(p->entry.requests) == 0 &&
	       http_server_idle(p->entry.server) &&
	       p->guard.running->len == 0 && links_busy(&p->links) == 0;
}

/* Sets what is told to other nodes. */
void
proxy_set_state(struct proxy *p, const struct proxy_state *s)
{
	p->state = *s;
}

/* Subscribes to another node, or to none. */
void
proxy_subscribe(struct proxy *p, enum proxy_slot slot, const char *addr,
    enum proxy_subscription how)
{
	char link[ADDRESS_MAX];

	if (addr != NULL)
		peer_link_addr(p, addr, link);
	links_subscribe(&p->links, slot, addr != NULL ? link : NULL, how);
}

/* Nodes that are subscribed here in that way. */
int
proxy_subscribers(const struct proxy *p, enum proxy_subscription how)
{
	return links_subscribers(&p->links, how);
}

/* Tells them. */
void
proxy_publish(struct proxy *p, const char *state, size_t len, int unsubscribe)
{
	links_publish(&p->links, state, len, unsubscribe);
}

/* Asks another node; the address may be of any port of its host. */
void
proxy_ask_state(struct proxy *p, const char *addr)
{
	char link[ADDRESS_MAX];

	peer_link_addr(p, addr, link);
	links_ask_state(&p->links, link);
}

/* Id of the target. */
const char *
proxy_target_id(const struct proxy *p)
{
	return p->guard.id;
}

/* Appends the gauges. */
void
proxy_print(const struct proxy *p, GString *out)
{
	counter_print(out);
	histogram_print(out);
	g_string_append_printf(out,
	    "teaselstep_requests %u\nteaselstep_gate_running %u\n"
	    "teaselstep_gate_load_percent %d\nteaselstep_targets %u\n",
	    g_hash_table_size(p->entry.requests), p->guard.running->len,
	    proxy_guard_load(&p->guard), g_hash_table_size(p->view->targets));
}
