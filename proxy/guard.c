/* The guard: admits or refuses all requests to the target beside the node. */
#include <string.h>

#include "guard_int.h"

static void refuse_job(struct proxy_guard *, struct job *, enum call_outcome);
static void start_job(struct proxy_guard *, struct job *);
static void send_job(struct proxy_guard *, struct job *, enum upstream_reuse);
static int may_resend(struct proxy_guard *, const struct job *, int64_t);
static void record_outcome(struct proxy_guard *, enum outlier_event);
static void refuse_waiting(struct proxy_guard *, enum call_outcome);
static void on_wake(evutil_socket_t, short, void *);
static int on_head(void *, const struct http_message *);
static void on_piece(void *, const void *, size_t);
static void on_done(void *, enum upstream_result, struct http_message *);
static enum call_outcome
closed_reason(const struct proxy_guard *, const struct job *);

static const struct upstream_calls calls = { on_head, on_piece, on_done };

/* Initialises the guard, which refuses jobs until a status check succeeds. */
void
proxy_guard_init(struct proxy_guard *g, struct proxy *p)
{
	memset(g, 0, sizeof(*g));
	g->proxy = p;
	g->started_at = base_now_ms();
	g->upstream = upstream_new(p->base, p->settings->target, p->names);
	admit_init(&g->admit);
	outlier_init(&g->outlier);
	link_admit_init(&g->link_admit);
	slow_start_init(&g->slow_start);
	g->slots = 1;
	g->running = g_ptr_array_new();
	g->wake_timer = evtimer_new(p->base, on_wake, g);
	proxy_guard_probe_init(g);
	crash_init(g);
}

/* Releases the guard; callbacks of jobs are not called. */
void
proxy_guard_clear(struct proxy_guard *g)
{
	proxy_guard_probe_clear(g);
	crash_clear(g);
	upstream_free(g->upstream);
	admit_clear(&g->admit);
	event_free(g->wake_timer);
	g_ptr_array_free(g->running, TRUE);
}

/* Refuses a job that was not sent to the target, and so has not run. */
static void
refuse_job(struct proxy_guard *g, struct job *j, enum call_outcome why)
{
	struct job_result r = { .outcome = why };
	int64_t now = base_now_ms();
	int samples = admit_samples(&g->admit, j->kind);

	counter_add(CTR_GUARD_REFUSED, 1);
	guard_link_settle(j, NULL);
	r.load = proxy_guard_load(g);
	proxy_guard_estimate(g, j, &r.estimate);
	r.retry_after_ms = why == OUTCOME_REFUSED
			       ? outlier_wait_ms(&g->outlier, now)
			       : guard_busy_wait_ms(g, j, now);
	if ((why == OUTCOME_BUSY || why == OUTCOME_LATE) && samples == 0)
		counter_add(CTR_GUARD_UNMEASURED, 1);
	base_log(G_LOG_LEVEL_INFO, "gate-refused",
	    "id=%s outcome=%s target=%s load=%d wait_ms=%d left_ms=%d "
	    "priority=%d work_ms=%d samples=%d queued_ms=%d",
	    j->id, outcomes[why].code, g->id, r.load, r.retry_after_ms,
	    (int)(j->deadline - now), j->priority,
	    admit_work_ms(&g->admit, j->kind), samples,
	    (int)(now - j->offered_at));
	j->done(j, &r);
}

/* Returns the reason to refuse a job as not run, or OUTCOME_COUNT: admit it. */
static enum call_outcome
closed_reason(const struct proxy_guard *g, const struct job *j)
{
	if (strcmp(j->service, g->proxy->settings->service) != 0)
		return OUTCOME_RESTARTED;
	if (g->dc_out || g->delisted || g->state == PROXY_GUARD_DRAINING ||
	    !leaving_guard_can_end(g, j, base_now_ms()))
		return OUTCOME_OUT;
	if (g->state != PROXY_GUARD_UP ||
	    !outlier_admits(&g->outlier, j->repeatable, base_now_ms()))
		return OUTCOME_REFUSED;
	if (quarantine_left_ms(&g->proxy->quarantine, j->fingerprint) > 0)
		return OUTCOME_POISON;
	return OUTCOME_COUNT;
}

/* Queues a job and starts it if a slot is free, or refuses it at once. */
void
proxy_guard_submit(struct proxy_guard *g, struct job *j)
{
	int64_t now = base_now_ms();
	struct admit_request r = { .cookie = j,
		.kind = j->kind,
		.priority = j->priority,
		.arrived = now,
		.goal = j->goal,
		.deadline = j->deadline };
	struct link_request link;
	enum call_outcome closed;

	j->guard = g;
	j->in_flight = NULL;
	j->offered_at = now;
	j->link_wait_ms = 0;
	j->commit.state = LINK_COMMIT_NONE;
	calls_submitted(g, j);
	if ((closed = closed_reason(g, j)) != OUTCOME_COUNT) {
		refuse_job(g, j, closed);
		return;
	}
	if (!calls_admit(g, j) || !guard_link_admits(g, j, &link, now)) {
		refuse_job(g, j, OUTCOME_BUSY);
		return;
	}
	r.is_call = j->is_call;
	switch (admit_offer(&g->admit, &r, now)) {
	case ADMIT_WAIT:
		guard_link_commit(g, j, &link, now);
		callee_admitted(&g->callees, j->kind, now);
		proxy_guard_dispatch(g);
		break;
	case ADMIT_BUSY:
		refuse_job(g, j, OUTCOME_BUSY);
		break;
	case ADMIT_LATE:
		refuse_job(g, j, OUTCOME_LATE);
		break;
	}
}

/* Starts or refuses queued jobs that are due, and sets the next wake-up. */
void
proxy_guard_dispatch(struct proxy_guard *g)
{
	struct admit_request r;
	struct timeval tv;
	int64_t now = base_now_ms(), wake;
	int n;

	while ((n = admit_next(&g->admit, &r, now)) != 0) {
		if (n > 0)
			start_job(g, r.cookie);
		else
			refuse_job(g, r.cookie, OUTCOME_LATE);
	}
	evtimer_del(g->wake_timer);
	if ((wake = admit_next_at(&g->admit, now)) == 0)
		return;
	wake = MAX(wake - now, 1);
	tv.tv_sec = wake / BASE_MS_PER_S;
	tv.tv_usec = wake % BASE_MS_PER_S * 1000;
	evtimer_add(g->wake_timer, &tv);
}

/* A queued job may be started, or has expired. */
static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	proxy_guard_dispatch(arg);
}

/* Starts a queued job; a non-repeatable one reuses only recent connections. */
static void
start_job(struct proxy_guard *g, struct job *j)
{
	g_ptr_array_add(g->running, j);
	j->began_us = base_now_us();
	j->resent = j->in_pieces = 0;
	j->head_us = 0;
	counter_add(CTR_GUARD_RUNS, 1);
	histogram_add(HIST_GUARD_WAIT, base_now_ms() - j->offered_at);
	outlier_start(&g->outlier);
	send_job(
	    g, j, j->repeatable ? UPSTREAM_REUSE_ANY : UPSTREAM_REUSE_RECENT);
}

/* Sends a job's request to the target, with the time that is left for it. */
static void
send_job(struct proxy_guard *g, struct job *j, enum upstream_reuse reuse)
{
	struct evbuffer *request = evbuffer_new();
	int64_t now = base_now_ms(), age_ms;

	proxy_guard_set_headers(g, j, now);
	http_write_request(request, j->msg);
	j->in_flight = upstream_send(g->upstream, request, j->id, reuse,
	    strcmp(j->msg->method, "HEAD") == 0, &calls, j);
	evbuffer_free(request);
	age_ms = now - g->proxy->view->synced_at;
	histogram_add(HIST_STATE_AGE, age_ms);
	base_log(G_LOG_LEVEL_INFO, "gate-sent",
	    "id=%s target=%s running=%d left_ms=%d known_ms=%" G_GINT64_FORMAT,
	    j->id, g->id, g->admit.running, (int)(j->deadline - now), age_ms);
	if (j->in_flight == NULL)
		on_done(j, UPSTREAM_NOT_SENT, NULL);
}

/* Begins to stream a long answer, which excludes a retry at another target. */
static int
on_head(void *arg, const struct http_message *m)
{
	struct job *j = arg;
	struct http_message *head;

	if (guard_classify_answer(j->guard, m) != OUTCOME_ANSWERED)
		return 0;
	j->in_pieces = 1;
	j->head_us = base_now_us();
	guard_link_begin(j, m);
	head = http_message_copy(m);
	g_byte_array_set_size(head->body, 0);
	http_strip_hop(head);
	j->head(j, head);
	http_message_free(head);
	return 1;
}

/* Passes on bytes of a streamed body. */
static void
on_piece(void *arg, const void *bytes, size_t len)
{
	struct job *j = arg;

	guard_link_arrived(j, len);
	j->piece(j, bytes, len);
}

/* Lets the target send n more bytes, as n bytes have been passed on. */
void
proxy_guard_credit(struct proxy_guard *g, struct job *j, size_t n)
{
	(void)g;
	if (j->in_flight != NULL)
		upstream_credit(j->in_flight, n);
}

/* Whether to resend after an idle close; it may have run, so it is a retry. */
static int
may_resend(struct proxy_guard *g, const struct job *j, int64_t now)
{
	return j->repeatable && !j->resent && now < j->deadline &&
	       g->state == PROXY_GUARD_UP &&
	       entry_take_retry(&g->proxy->entry, j->service, j->is_call, now);
}

/* Adds a request's result to the outlier detection; may eject the target. */
static void
record_outcome(struct proxy_guard *g, enum outlier_event e)
{
	int64_t now = base_now_ms();

	if (outlier_record(&g->outlier, e, g->slots, now)) {
		base_log(G_LOG_LEVEL_MESSAGE, "gate-ejected",
		    "target=%s failures=%d for_ms=%d", g->id,
		    g->outlier.failures, outlier_wait_ms(&g->outlier, now));
		refuse_waiting(g, OUTCOME_REFUSED);
	}
	proxy_guard_set_slots(g);
}

/* Completes a job, or sends it again if an idle connection was closed. */
static void
on_done(void *arg, enum upstream_result u, struct http_message *m)
{
	struct job *j = arg;
	struct proxy_guard *g = j->guard;
	struct job_result r = { 0 };
	int64_t took_us;

	/* The time of a streamed body depends on its receiver. */
	took_us = (j->head_us != 0 ? j->head_us : base_now_us()) - j->began_us;
	j->in_flight = NULL;
	if (u == UPSTREAM_IDLE_CLOSED && may_resend(g, j, base_now_ms())) {
		j->resent = 1;
		base_log(G_LOG_LEVEL_INFO, "gate-resent",
		    "id=%s fingerprint=%016" G_GINT64_MODIFIER "x target=%s",
		    j->id, j->fingerprint, g->id);
		/* The connection may have ended because the target crashed. */
		crash_add_suspect(g, j->fingerprint);
		send_job(g, j, UPSTREAM_REUSE_NONE);
		return;
	}
	g_ptr_array_remove_fast(g->running, j);
	r.outcome = guard_job_outcome(g, j, u, m);
	r.answer = j->in_pieces ? NULL : m;
	guard_link_settle(j, r.outcome == OUTCOME_ANSWERED ? m : NULL);
	admit_done(&g->admit, j->kind,
	    r.outcome == OUTCOME_ANSWERED ? (int)took_us : -1);
	if (m != NULL && r.outcome == OUTCOME_ANSWERED) {
		admit_record(&g->admit, j->kind,
		    m->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
		callee_run_ended(&g->callees, j->kind,
		    m->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR,
		    j->began_us / 1000);
		quarantine_answered(
		    &g->proxy->quarantine, j->fingerprint, m->status);
		crash_clear_suspect(g, j->fingerprint);
	} else {
		proxy_guard_job_failed(g, j, u, m);
	}
	if (u == UPSTREAM_ANSWER || u == UPSTREAM_BROKEN)
		record_outcome(g, r.outcome == OUTCOME_ANSWERED ? OUTLIER_SERVED
				  : r.outcome == OUTCOME_SHED	? OUTLIER_SHED
							      : OUTLIER_BROKEN);
	else
		outlier_cancel(&g->outlier);
	proxy_guard_slots_done(g, j,
	    r.outcome == OUTCOME_ANSWERED && m != NULL ? m->status : 0,
	    took_us);
	r.load = proxy_guard_load(g);
	proxy_guard_estimate(g, j, &r.estimate);
	base_log(r.outcome == OUTCOME_ANSWERED ? G_LOG_LEVEL_INFO
					       : G_LOG_LEVEL_MESSAGE,
	    "gate-done", "id=%s outcome=%s target=%s status=%d took_ms=%d",
	    j->id, outcomes[r.outcome].code, g->id, m != NULL ? m->status : 0,
	    (int)(took_us / 1000));
	j->done(j, &r);
	http_message_free(m);
	proxy_guard_dispatch(g);
}

/* Cancels a job: takes it from the queue, or closes its connection. */
void
proxy_guard_cancel(struct proxy_guard *g, struct job *j)
{
	guard_link_settle(j, NULL);
	if (j->in_flight == NULL) {
		admit_cancel(&g->admit, j);
		return;
	}
	upstream_cancel(j->in_flight);
	j->in_flight = NULL;
	g_ptr_array_remove_fast(g->running, j);
	admit_abandoned(&g->admit, j->kind, (int)(base_now_us() - j->began_us));
	/* The target did not answer before the deadline. */
	if (base_now_ms() >= j->deadline) {
		record_outcome(g, OUTLIER_BROKEN);
		proxy_guard_slots_done(g, j, 0, 0);
	} else {
		outlier_cancel(&g->outlier);
	}
	proxy_guard_dispatch(g);
}

/* From here on the job cannot start: its refusal may state that. */
void
proxy_guard_revoke(struct proxy_guard *g, struct job *j)
{
	if (j->in_flight != NULL || !admit_cancel(&g->admit, j))
		return;
	counter_add(CTR_GUARD_REVOKED, 1);
	refuse_job(g, j, OUTCOME_LATE);
}

/* Refuses all queued jobs. */
static void
refuse_waiting(struct proxy_guard *g, enum call_outcome why)
{
	struct job *j;

	while (g->admit.waiting->len > 0) {
		j = g_array_index(g->admit.waiting, struct admit_request, 0)
			.cookie;
		admit_cancel(&g->admit, j);
		refuse_job(g, j, why);
	}
}

/* Sets the state, and refuses queued jobs unless it is up; why is logged. */
void
proxy_guard_set_state(
    struct proxy_guard *g, enum proxy_guard_state s, const char *why)
{
	static const char *const names[] = { [PROXY_GUARD_UNKNOWN] = "unknown",
		[PROXY_GUARD_UP] = "up",
		[PROXY_GUARD_DRAINING] = "leaving" };

	if (g->state == s)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "gate-state",
	    "target=%s from=%s to=%s reason=\"%s\" revision=%" G_GUINT64_FORMAT,
	    g->id, names[g->state], names[s], why, g->revision.number);
	g->state = s;
	if (s == PROXY_GUARD_DRAINING)
		refuse_waiting(g, OUTCOME_OUT);
	else if (s == PROXY_GUARD_UNKNOWN)
		refuse_waiting(g, OUTCOME_REFUSED);
}

/* Refuses queued jobs whose fingerprint is quarantined now. */
void
proxy_guard_refuse_quarantined(struct proxy_guard *g, uint64_t fingerprint)
{
	struct job *j;
	guint i = 0;

	if (quarantine_left_ms(&g->proxy->quarantine, fingerprint) == 0)
		return;
	while (i < g->admit.waiting->len) {
		j = g_array_index(g->admit.waiting, struct admit_request, i)
			.cookie;
		if (j->fingerprint != fingerprint) {
			i++;
			continue;
		}
		admit_cancel(&g->admit, j);
		refuse_job(g, j, OUTCOME_POISON);
		i = 0;
	}
}

/* Applies the target's record in the view, and its data centre's state. */
void
proxy_guard_update(struct proxy_guard *g)
{
	const struct proxy_settings *s = g->proxy->settings;
	const struct view *v = g->proxy->view;
	const struct view_target *t;
	int out = view_is_out(v, s->data_centre), service;

	if (out != g->dc_out) {
		base_log(G_LOG_LEVEL_MESSAGE, "gate-out",
		    "data_centre=%s out=%d", s->data_centre, out);
		g->dc_out = out;
		if (out) {
			refuse_waiting(g, OUTCOME_OUT);
		} else if (g->state == PROXY_GUARD_UP) {
			/* The target may have become cold meanwhile. */
			proxy_guard_set_state(
			    g, PROXY_GUARD_UNKNOWN, "data centre in again");
			proxy_guard_probe(g);
		}
	}
	if (g->state == PROXY_GUARD_UNKNOWN && v->config != NULL)
		proxy_guard_probe(g);
	t = g->id[0] != '\0' ? g_hash_table_lookup(v->targets, g->id) : NULL;
	if (t == NULL && g->listed && !g->delisted) {
		g->delisted = 1;
		proxy_guard_set_state(
		    g, PROXY_GUARD_DRAINING, "no longer listed");
	}
	if (t != NULL && g->delisted) {
		g->delisted = 0;
		if (g->state == PROXY_GUARD_DRAINING && !g->proxy->draining &&
		    t->state == VIEW_READY) {
			proxy_guard_set_state(
			    g, PROXY_GUARD_UNKNOWN, "listed again");
			proxy_guard_probe(g);
		}
	}
	g->listed = t != NULL;
	if (t == NULL)
		t = view_find_target(v, s->target, s->service);
	if (t == NULL || view_revision_compare(t->revision, g->revision) == 0)
		return;
	g->revision = t->revision;
	g->slots = t->slots;
	proxy_guard_set_slots(g);
	service =
	    v->config != NULL ? view_find_service(v->config, s->service) : -1;
	if (t->cold_ms > 0 && service >= 0)
		proxy_guard_set_cold(g, t->cold_ms);
	if (t->state == VIEW_DRAINING && strcmp(t->id, g->id) == 0)
		proxy_guard_set_state(
		    g, PROXY_GUARD_DRAINING, "listed as draining");
	else if (strcmp(t->id, g->id) != 0 || t->born_ms != g->born_ms)
		proxy_guard_probe(g);
	g->born_ms = t->born_ms;
	proxy_guard_dispatch(g);
}
