/*
 * Status checks of the target beside the node.  They cost, so the target is
 * asked only when something makes it doubtful: at the start, after it was
 * lost, when another one may stand at its address, when a data centre comes
 * back.
 */
#include <string.h>

#include "gate_int.h"

#define PROBE_DELAY_MS	   100 /* before the second check, then doubling */
#define PROBE_DELAY_MAX_MS 1000
#define PROBE_TIMEOUT_MS   1000 /* for an answer; it may wait for a slot */
/*
 * Of what the settings let a cold target bear in a second.  The rest is for
 * status checks, and for what a process before this one may have sent: such a
 * process used up this share at most.
 */
#define COLD_PERCENT 80
#define REPORT_TIMEOUT_MS                                           \
	2600 /* a report comes each 1.5 s, read with a pause of 0.9 \
	      */
/*
 * Between two checks in place of reports: of the requests that a cold target
 * bears in a second and a half, two thirds fit before it is noticed.
 */
#define POLL_INTERVAL_MS 350

static void send_probe(struct proxy_guard *);
static void schedule_probe(struct proxy_guard *);
static void on_timer(evutil_socket_t, short, void *);
static void on_probe_done(void *, enum upstream_result, struct http_message *);
static int64_t
cold_remaining_ms(const struct proxy_guard *, const struct http_message *);
static void probe_succeeded(struct proxy_guard *, const struct http_message *);
static void on_report_timeout(evutil_socket_t, short, void *);

/* An answer to a status check is short. */
static const struct upstream_calls calls = { NULL, NULL, on_probe_done };

/* Prepares status checks. */
void
proxy_guard_probe_init(struct proxy_guard *g)
{
	g->probe_timer = evtimer_new(g->proxy->base, on_timer, g);
	g->probe_delay_ms = PROBE_DELAY_MS;
	g->report_timer = evtimer_new(g->proxy->base, on_report_timeout, g);
}

/* Releases them. */
void
proxy_guard_probe_clear(struct proxy_guard *g)
{
	event_free(g->probe_timer);
	event_free(g->report_timer);
}

/* A report came. */
void
proxy_guard_report_received(struct proxy_guard *g)
{
	if (g->polling)
		base_log(G_LOG_LEVEL_MESSAGE, "gate-reports", "back=1");
	g->polling = 0;
	http_timer(g->report_timer, REPORT_TIMEOUT_MS);
}

/* None can come. */
void
proxy_guard_reports_lost(struct proxy_guard *g)
{
	if (!g->polling)
		on_report_timeout(-1, 0, g);
}

/* No report: the target itself is asked, again and again. */
static void
on_report_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct proxy_guard *g = arg;

	(void)fd;
	(void)what;
	if (!g->polling)
		base_log(G_LOG_LEVEL_MESSAGE, "gate-reports", "back=0");
	g->polling = 1;
	if (g->state == PROXY_GUARD_UP)
		proxy_guard_probe(g);
	http_timer(g->report_timer, POLL_INTERVAL_MS);
}

/* The target is cold. */
void
proxy_guard_set_cold(struct proxy_guard *g, int64_t for_ms)
{
	const struct view_config *c = g->proxy->view->config;
	int i = view_find_service(c, g->proxy->settings->service);
	int64_t now = base_now_ms(), until = now + for_ms;
	const struct proxy_settings *s = g->proxy->settings;
	double bound;
	int most;

	if (i < 0 || c->services[i].cold_per_s <= 0 ||
	    until <= g->admit.cold_until)
		return;
	bound = c->services[i].cold_per_s * s->cold_ratio + s->cold_slack;
	most = (int)(bound * COLD_PERCENT / 100);
	/* It was cold before this process: another one may have sent to it. */
	if (g->admit.nstarts == 0 &&
	    c->services[i].cold_ms - for_ms > now - g->started_at)
		admit_assume_starts(&g->admit, most - ((int)bound - most), now);
	base_log(G_LOG_LEVEL_MESSAGE, "gate-cold",
	    "target=%s for_ms=%d per_s=%d", g->id, (int)for_ms, most);
	admit_set_cold(&g->admit, until, most);
}

/* Asks the target now, unless it is being asked. */
void
proxy_guard_probe(struct proxy_guard *g)
{
	if (g->probe == NULL && !evtimer_pending(g->probe_timer, NULL))
		send_probe(g);
}

/* Sends a status check. */
static void
send_probe(struct proxy_guard *g)
{
	const struct view_config *c = g->proxy->view->config;
	struct evbuffer *written;
	struct timeval tv = { PROBE_TIMEOUT_MS / BASE_MS_PER_S,
		PROBE_TIMEOUT_MS % BASE_MS_PER_S * 1000L };
	int i;

	i = c != NULL ? view_find_service(c, g->proxy->settings->service) : -1;
	if (i < 0)
		return;
	written = evbuffer_new();
	evbuffer_add_printf(written, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
	    c->services[i].health_path, g->proxy->settings->target);
	counter_add(CTR_PROBES, 1);
	g->probe_sent_us = base_now_us();
	/* A kept connection may have ended with a target that is back. */
	g->probe = upstream_send(g->upstream, written, NULL,
	    g->state != PROXY_GUARD_UP || crash_is_pending(g)
		? UPSTREAM_REUSE_NONE
		: UPSTREAM_REUSE_ANY,
	    0, &calls, g);
	evbuffer_free(written);
	evtimer_add(g->probe_timer, &tv);
}

/* Asks once more, after a while. */
static void
schedule_probe(struct proxy_guard *g)
{
	struct timeval tv = { g->probe_delay_ms / BASE_MS_PER_S,
		g->probe_delay_ms % BASE_MS_PER_S * 1000L };

	g->probe_delay_ms = MIN(2 * g->probe_delay_ms, PROBE_DELAY_MAX_MS);
	evtimer_add(g->probe_timer, &tv);
}

/* A pause is over, or a check got no answer. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct proxy_guard *g = arg;

	(void)fd;
	(void)what;
	if (g->probe == NULL) {
		send_probe(g);
		return;
	}
	upstream_cancel(g->probe);
	g->probe = NULL;
	if (g->state != PROXY_GUARD_UP || crash_is_pending(g))
		schedule_probe(g);
}

/*
 * How long the target stays cold by its own word, in ms; for a word that is not
 * understood, as long as one that has just started.
 */
static int64_t
cold_remaining_ms(const struct proxy_guard *g, const struct http_message *m)
{
	const struct view_config *c = g->proxy->view->config;
	const char *name = g->proxy->names->cold_ms;
	int64_t left = http_find_int(m, name, -1);
	int i;

	if (left >= 0 || http_find(m, name) == NULL || c == NULL)
		return MAX(left, 0);
	i = view_find_service(c, g->proxy->settings->service);
	counter_add(CTR_UNREAD, 1);
	return i >= 0 ? c->services[i].cold_ms : 0;
}

/* The target answers well: it is the one that calls itself so. */
static void
probe_succeeded(struct proxy_guard *g, const struct http_message *m)
{
	const struct header_names *n = g->proxy->names;
	const char *id = http_find(m, n->target);
	int64_t cold = cold_remaining_ms(g, m);

	g->probe_delay_ms = PROBE_DELAY_MS;
	if (id != NULL && strlen(id) <= VIEW_ID_MAX && strcmp(id, g->id) != 0) {
		base_log(G_LOG_LEVEL_MESSAGE, "gate-target",
		    "id=%s before=%s cold_ms=%d", id, g->id, (int)cold);
		crash_confirm(g);
		g_strlcpy(g->id, id, sizeof(g->id));
		g->revision = 0;
		g->delisted = g->listed = 0;
		/* What is known of its life starts anew. */
		outlier_init(&g->outlier);
		g->admit.cold_until = 0;
		if (g->state == PROXY_GUARD_DRAINING && !g->proxy->draining)
			proxy_guard_set_state(
			    g, PROXY_GUARD_UNKNOWN, "another target");
	}
	/* One that is newly cold has started again under its id. */
	if (cold > 0 && g->admit.cold_until <= base_now_ms())
		crash_confirm(g);
	if (cold > 0)
		proxy_guard_set_cold(g, cold);
	if (g->state == PROXY_GUARD_UNKNOWN)
		proxy_guard_set_state(g, PROXY_GUARD_UP, "status check");
	proxy_guard_update(g);
	proxy_guard_dispatch(g);
}

/* A status check came back. */
static void
on_probe_done(void *arg, enum upstream_result u, struct http_message *m)
{
	struct proxy_guard *g = arg;

	g->probe = NULL;
	evtimer_del(g->probe_timer);
	if (u == UPSTREAM_ANSWER && m->status == HTTP_STATUS_OK) {
		probe_succeeded(g, m);
		crash_refute(g, g->probe_sent_us);
	} else {
		base_log(G_LOG_LEVEL_INFO, "gate-check-failed",
		    "target=%s result=%s status=%d", g->id, upstream_results[u],
		    m != NULL ? m->status : 0);
		if (u == UPSTREAM_REFUSED)
			crash_confirm(g);
		else if (u == UPSTREAM_ANSWER)
			crash_refute(g, g->probe_sent_us);
		if ((u == UPSTREAM_REFUSED || u == UPSTREAM_NOT_SENT) &&
		    g->state == PROXY_GUARD_UP)
			proxy_guard_set_state(
			    g, PROXY_GUARD_UNKNOWN, "no connection");
		if (g->state == PROXY_GUARD_UNKNOWN)
			schedule_probe(g);
	}
	if (crash_is_pending(g) && g->probe == NULL &&
	    !evtimer_pending(g->probe_timer, NULL))
		schedule_probe(g);
	http_message_free(m);
}

/* A job failed: whether the target still stands there is asked. */
void
proxy_guard_job_failed(struct proxy_guard *g, const struct job *j,
    enum upstream_result u, const struct http_message *m)
{
	counter_add(CTR_TARGET_FAILURES, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "gate-failed",
	    "id=%s fingerprint=%016" G_GINT64_MODIFIER "x result=%s target=%s",
	    j->id, j->fingerprint, upstream_results[u], g->id);
	if (u == UPSTREAM_BROKEN || u == UPSTREAM_IDLE_CLOSED) {
		crash_add_suspect(g, j->fingerprint);
	} else if (u != UPSTREAM_ANSWER || m->status == 421) {
		if (u == UPSTREAM_REFUSED)
			crash_confirm(g);
		if (g->state == PROXY_GUARD_UP)
			proxy_guard_set_state(g, PROXY_GUARD_UNKNOWN,
			    m != NULL ? "another target" : "no connection");
		proxy_guard_probe(g);
	}
}
