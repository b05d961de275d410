/*
 * Status checks of the target beside the node.  Checks load the target, so they
 * are sent only when its state is in doubt: at start-up, after it was lost,
 * when another target may be at its address, when its data centre is in use
 * again, or while the store's reports on it are missing.
 */
#include <string.h>

#include "guard_int.h"

#define PROBE_DELAY_MS	   100 /* before the second check, then doubling */
#define PROBE_DELAY_MAX_MS 1000
#define PROBE_TIMEOUT_MS   1000 /* for an answer; it may wait for a slot */
/*
 * Percentage of the rate that the settings allow for a cold target.  The rest
 * is left for status checks and for a previous process of this node, which
 * used this percentage at most.
 */
#define COLD_PERCENT 80
/* Reports come every 1.5 s, and are read at intervals of 0.9 s. */
#define REPORT_TIMEOUT_MS 2600
/*
 * Reports of one warm-up differ by no more than this, as some are read later;
 * a longer rest of the warm-up is that of another start.
 */
#define REPORT_DELAY_MS 1000
/*
 * Between two status checks while reports are missing.  Before such a check
 * finds the target cold, it can receive no more than two thirds of the requests
 * that a cold target can take in 1.5 s.
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

/* Answers to status checks are short, so a streamed one is aborted. */
static const struct upstream_calls calls = { NULL, NULL, on_probe_done };

/* Initialises the timers of status checks. */
void
proxy_guard_probe_init(struct proxy_guard *g)
{
	g->probe_timer = evtimer_new(g->proxy->base, on_timer, g);
	g->probe_delay_ms = PROBE_DELAY_MS;
	g->report_timer = evtimer_new(g->proxy->base, on_report_timeout, g);
}

/* Releases the timers; a check in flight ends with its connection. */
void
proxy_guard_probe_clear(struct proxy_guard *g)
{
	event_free(g->probe_timer);
	event_free(g->report_timer);
}

/* Stops polling, and restarts the timeout for the next report. */
void
proxy_guard_report_received(struct proxy_guard *g)
{
	if (g->polling)
		base_log(G_LOG_LEVEL_MESSAGE, "gate-reports", "back=1");
	g->polling = 0;
	http_timer_set(g->report_timer, REPORT_TIMEOUT_MS);
}

/* Polls the target at once, as no reports can come. */
void
proxy_guard_reports_lost(struct proxy_guard *g)
{
	if (!g->polling)
		on_report_timeout(-1, 0, g);
}

/* Polls the target at POLL_INTERVAL_MS until reports come again. */
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
	http_timer_set(g->report_timer, POLL_INTERVAL_MS);
}

/* Limits the rate for for_ms, unless it is limited for longer already. */
void
proxy_guard_set_cold(struct proxy_guard *g, int64_t for_ms)
{
	const struct view_config *c = g->proxy->view->config;
	int i = view_find_service(c, g->proxy->settings->service);
	int64_t now = base_now_ms(), until = now + for_ms;
	const struct proxy_settings *s = g->proxy->settings;
	double rate_limit;
	int rate, is_new = until > g->admit.cold_until + REPORT_DELAY_MS;

	if (i < 0 || c->services[i].cold_per_s <= 0 ||
	    until <= g->admit.cold_until)
		return;
	rate_limit = c->services[i].cold_per_s * s->cold_ratio + s->cold_slack;
	rate = (int)(rate_limit * COLD_PERCENT / 100);
	/* A previous process may have sent requests in this cold period. */
	if (g->admit.nstarts == 0 &&
	    c->services[i].cold_ms - for_ms > now - g->started_at)
		admit_assume_starts(
		    &g->admit, rate - ((int)rate_limit - rate), now);
	base_log(G_LOG_LEVEL_MESSAGE, "gate-cold",
	    "target=%s for_ms=%d per_s=%d", g->id, (int)for_ms, rate);
	admit_set_cold(&g->admit, until, rate);
	if (is_new)
		proxy_guard_slow_start(g, SLOW_START_BOOT);
}

/* Sends a status check, unless one is in flight or scheduled. */
void
proxy_guard_probe(struct proxy_guard *g)
{
	if (g->probe == NULL && !evtimer_pending(g->probe_timer, NULL))
		send_probe(g);
}

/* Sends a status check; does nothing while the service is not configured. */
static void
send_probe(struct proxy_guard *g)
{
	const struct view_config *c = g->proxy->view->config;
	struct evbuffer *request;
	struct timeval tv = { PROBE_TIMEOUT_MS / BASE_MS_PER_S,
		PROBE_TIMEOUT_MS % BASE_MS_PER_S * 1000L };
	int i;

	i = c != NULL ? view_find_service(c, g->proxy->settings->service) : -1;
	if (i < 0)
		return;
	request = evbuffer_new();
	evbuffer_add_printf(request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
	    c->services[i].health_path, g->proxy->settings->target);
	counter_add(CTR_HEALTH_CHECKS, 1);
	g->probe_sent_us = base_now_us();
	/* A kept connection may belong to a target that has ended since. */
	g->probe = upstream_send(g->upstream, request, NULL,
	    g->state != PROXY_GUARD_UP || crash_is_pending(g)
		? UPSTREAM_REUSE_NONE
		: UPSTREAM_REUSE_ANY,
	    0, &calls, g);
	evbuffer_free(request);
	evtimer_add(g->probe_timer, &tv);
}

/* Schedules the next check, with exponential back-off. */
static void
schedule_probe(struct proxy_guard *g)
{
	struct timeval tv = { g->probe_delay_ms / BASE_MS_PER_S,
		g->probe_delay_ms % BASE_MS_PER_S * 1000L };

	g->probe_delay_ms = MIN(2 * g->probe_delay_ms, PROBE_DELAY_MAX_MS);
	evtimer_add(g->probe_timer, &tv);
}

/* Sends the scheduled check, or cancels one that has timed out. */
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
 * How long the target stays cold, in ms, by its status check.  A value that
 * cannot be parsed counts as the time of a target that has just started.
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
	counter_add(CTR_SOURCE_UNPARSED, 1);
	return i >= 0 ? c->services[i].cold_ms : 0;
}

/* Handles a successful status check; the target's id may have changed. */
static void
probe_succeeded(struct proxy_guard *g, const struct http_message *m)
{
	const struct header_names *n = g->proxy->names;
	const char *id = http_find(m, n->target);
	int64_t cold = cold_remaining_ms(g, m);
	int is_first = g->id[0] == '\0';

	g->probe_delay_ms = PROBE_DELAY_MS;
	if (id != NULL && strlen(id) <= VIEW_ID_MAX && strcmp(id, g->id) != 0) {
		base_log(G_LOG_LEVEL_MESSAGE, "gate-target",
		    "id=%s before=%s cold_ms=%d", id, g->id, (int)cold);
		crash_confirm(g);
		g_strlcpy(g->id, id, sizeof(g->id));
		g->revision = (struct view_revision){ 0, 0 };
		g->delisted = g->listed = 0;
		/* The history belongs to the previous target. */
		outlier_init(&g->outlier);
		g->admit.cold_until = 0;
		proxy_guard_slots_found(g, is_first, cold);
		if (g->state == PROXY_GUARD_DRAINING && !g->proxy->draining)
			proxy_guard_set_state(
			    g, PROXY_GUARD_UNKNOWN, "another target");
	}
	/* A target that is cold again has restarted under the same id. */
	if (cold > 0 && g->admit.cold_until <= base_now_ms())
		crash_confirm(g);
	if (cold > 0)
		proxy_guard_set_cold(g, cold);
	if (g->state == PROXY_GUARD_UNKNOWN)
		proxy_guard_set_state(g, PROXY_GUARD_UP, "status check");
	proxy_guard_update(g);
	proxy_guard_dispatch(g);
}

/* Handles the result of a status check. */
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

/* Checks for a crash, or for another target, after a failed job. */
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
