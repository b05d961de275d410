/*
 * Offers of a request: to one target after another, until one answers or the
 * request is refused.
 */
#include <string.h>

#include "entry_int.h"

#define OFFERS_MAX 4 /* guards that one request is offered to */
/* How long an entry makes no offers to a guard: */
#define BUSY_AVOID_MS	  25   /* after a refusal of the kind for load */
#define DOWN_AVOID_MS	  250  /* while its target is down or draining */
#define DOWN_AVOID_MAX_MS 4000 /* limit of the time that a guard asks for */
#define LOST_AVOID_MS	  1000 /* after its link was lost */
/* Spread of a refusal's Retry-After: the route's goal divided by this. */
#define RETRY_JITTER_DIVISOR 4
/* It is at most the time left divided by this, as callers wait no longer. */
#define RETRY_MAX_DIVISOR 3

static void record_answer_time(struct request *r);
static void record_answer_size(struct request *r, int64_t bytes);
static void update_peer(struct request *r, const struct job_result *res);
static int may_retry(struct request *r, int64_t now);
static void finish_stream(struct request *r, const struct job_result *res);
static void handle_answer(struct request *r, struct http_message *m);
static void record_overdue(const struct request *, int64_t);
static void send_answer(struct request *r, struct http_message *m);
static int log_quarantined(const struct request *r);
static void keep_wait(struct request *r, const struct job_result *res);
static int retry_after(const struct request *r, int64_t now);
static void refuse_request(struct request *r, enum call_outcome why);
static void cancel_offer(struct request *r);
static int may_be_running(const struct request *r);
static void request_free(struct request *r);

/* Offers a request to the next target, or refuses it if there is none. */
void
request_offer(struct request *r)
{
	struct proxy *p = r->entry->proxy;
	const struct listed_target *chosen;
	const struct view_target *t;
	const struct forecast *f = &r->forecast;
	char addr[ADDRESS_MAX];
	int64_t now = base_now_ms();

	if (quarantine_left_ms(&p->quarantine, r->job.fingerprint) > 0) {
		refuse_request(r, OUTCOME_POISON);
		return;
	}
	chosen = r->offers < OFFERS_MAX
		     ? choose_target(p, &r->job, r->route->goal_ms, r->tried,
			   now, &r->forecast)
		     : NULL;
	if (chosen == NULL) {
		refuse_request(
		    r, r->offers > 0 ? r->last_outcome : OUTCOME_NO_TARGET);
		return;
	}
	t = chosen->target;
	r->offers++;
	r->peer = chosen->peer;
	g_ptr_array_add(r->tried, r->peer);
	forecast_sent(&r->peer->forecast);
	r->offered_at = now;
	r->local = chosen->is_own;
	counter_add(CTR_FORWARDS, 1);
	counter_add(CTR_FORWARDS_FAR, f->area != FORECAST_NEAR);
	if (r->offers == 1 && r->job.is_call)
		retry_quota_add_call(
		    entry_retry_quota(r->entry, r->service), now);
	else if (r->offers == 1)
		retry_quota_add_request(
		    entry_retry_quota(r->entry, r->service), now);
	base_log(G_LOG_LEVEL_INFO, "offered",
	    "id=%s route=%s service=%s target=%s addr=%s load=%d age_ms=%d "
	    "expected_ms=%d run_ms=%d wait_ms=%d link_ms=%d delay_ms=%d "
	    "score_ms=%d fresh=%d version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, r->service, t->id, t->addr, r->peer->load,
	    (int)r->age_ms, (int)(f->total_ms - f->crowd_ms), (int)f->run_ms,
	    (int)f->wait_ms, (int)f->link_ms, (int)f->delay_ms,
	    (int)f->total_ms, (int)(f->fresh * 100), r->config->version);
	if (r->local) {
		proxy_guard_submit(&p->guard, &r->job);
		return;
	}
	peer_link_addr(p, t->addr, addr);
	links_submit(&p->links, addr, &r->job);
}

/* Records how long the target took, for the forecast of its next answers. */
static void
record_answer_time(struct request *r)
{
	int64_t now = base_now_ms();

	peer_answered(r->entry->proxy, r->peer, &r->job, &r->forecast,
	    now - r->offered_at, now);
}

/* Records an answer's size, on which the choice of a data centre depends. */
static void
record_answer_size(struct request *r, int64_t bytes)
{
	forecast_answer_size(
	    &choose_service(r->entry->proxy, r->service)->means, r->job.kind,
	    (double)bytes);
}

/* Records the target's load, and how long to make it no offers. */
static void
update_peer(struct request *r, const struct job_result *res)
{
	struct peer *peer = r->peer;
	int64_t now = base_now_ms();

	r->peer = NULL;
	forecast_ended(&peer->forecast);
	switch (res->outcome) {
	case OUTCOME_UNKNOWN:
	case OUTCOME_UNDELIVERED:
		peer->avoid_until = now + LOST_AVOID_MS;
		return;
	case OUTCOME_BUSY:
		/* One whose link is full still takes short answers. */
		if (res->estimate.link_ms <= res->estimate.wait_ms)
			peer_set_busy(peer, r->job.kind, now + BUSY_AVOID_MS);
		break;
	case OUTCOME_REFUSED:
		peer->avoid_until = now + CLAMP(res->retry_after_ms,
					      DOWN_AVOID_MS, DOWN_AVOID_MAX_MS);
		break;
	case OUTCOME_OUT:
	case OUTCOME_RESTARTED:
		peer->avoid_until = now + DOWN_AVOID_MS;
		break;
	default:
		break;
	}
	peer_reported(r->entry->proxy, peer, &r->job, res, now);
}

/* Whether another attempt is allowed; if so, takes it from the quota. */
static int
may_retry(struct request *r, int64_t now)
{
	enum retry_taken taken;

	if (r->sends >= r->route->attempts || now >= r->answer_by)
		return 0;
	taken = entry_take_retry(r->entry, r->service, r->job.is_call, now);
	if (taken == RETRY_RESERVE)
		base_log(G_LOG_LEVEL_INFO, "retry-reserve",
		    "id=%s service=%s sends=%d left_ms=%d", r->id, r->service,
		    r->sends, (int)(r->answer_by - now));
	return taken != RETRY_DENIED;
}

/* Starts to stream a long answer to the caller. */
void
request_on_head(struct job *j, const struct http_message *m)
{
	struct request *r = j->arg;

	r->sends++;
	r->status = m->status;
	r->body_left = m->length;
	histogram_add(HIST_FIRST_BYTE, base_now_ms() - r->arrived);
	record_answer_time(r);
	http_reply_begin(r->exchange, m);
}

/* Sends bytes of a streamed answer to the caller. */
void
request_on_piece(struct job *j, const void *bytes, size_t len)
{
	struct request *r = j->arg;

	r->body_bytes += (int64_t)len;
	if (r->body_left > 0)
		r->body_left -= MIN(r->body_left, (int64_t)len);
	http_reply_piece(r->exchange, bytes, len);
}

/* Grants n more bytes of a streamed answer, as n were sent to the caller. */
void
request_on_written(void *arg, struct http_exchange *exchange, size_t n)
{
	struct request *r = http_exchange_data(exchange);
	struct entry *e = arg;

	if (r == NULL || r->peer == NULL)
		return;
	if (r->local)
		proxy_guard_credit(&e->proxy->guard, &r->job, n);
	else
		links_credit(&e->proxy->links, &r->job, n);
}

/*
 * Ends a streamed answer; an incomplete one resets the caller's connection.  A
 * body of the length that its head states is complete, though its end was lost.
 */
static void
finish_stream(struct request *r, const struct job_result *res)
{
	int whole = res->outcome == OUTCOME_ANSWERED || r->body_left == 0;

	record_overdue(r, base_now_ms());
	calls_ended(r->entry->proxy, &r->job, whole);
	counter_add(whole ? CTR_ANSWERED : CTR_ANSWERS_TRUNCATED, 1);
	if (whole) {
		leaving_record(
		    r->entry, r->job.kind, base_now_ms() - r->arrived);
		histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	}
	base_log(G_LOG_LEVEL_INFO, "answered-in-pieces",
	    "id=%s status=%d outcome=%s took_ms=%d gates=%d", r->id, r->status,
	    outcomes[res->outcome].code, (int)(base_now_ms() - r->arrived),
	    r->offers);
	http_reply_end(r->exchange, whole);
	request_free(r);
}

/* Handles the result of the current offer: answers, retries or refuses. */
void
request_on_done(struct job *j, const struct job_result *res)
{
	struct request *r = j->arg;
	enum call_outcome o = res->outcome;
	int64_t now = base_now_ms();

	if (o == OUTCOME_ANSWERED) {
		if (!j->in_pieces)
			record_answer_time(r);
		if (j->in_pieces && r->status < 300)
			record_answer_size(r, r->body_bytes);
		else if (!j->in_pieces && res->answer->status < 300)
			record_answer_size(r, res->answer->body->len);
	}
	update_peer(r, res);
	calls_reported(r->entry->proxy, j, res);
	r->last_outcome = o;
	keep_wait(r, res);
	if (j->in_pieces) {
		finish_stream(r, res);
		return;
	}
	if (o == OUTCOME_ANSWERED) {
		r->sends++;
		quarantine_answered(&r->entry->proxy->quarantine,
		    j->fingerprint, res->answer->status);
		handle_answer(r, res->answer);
		return;
	}
	if (outcomes[o].not_run && o != OUTCOME_SHED) {
		if (o == OUTCOME_LATE || o == OUTCOME_POISON)
			refuse_request(r, o);
		else
			request_offer(r);
		return;
	}
	r->sends++;
	r->may_have_run |= o != OUTCOME_SHED;
	if ((o == OUTCOME_SHED || r->route->repeatable) && may_retry(r, now))
		request_offer(r);
	else
		refuse_request(r, o);
}

/* Sends a target's answer, or keeps a 5xx one and retries elsewhere. */
static void
handle_answer(struct request *r, struct http_message *m)
{
	int64_t now = base_now_ms();

	if (m->status < 500 || !r->route->repeatable || !may_retry(r, now)) {
		send_answer(r, m);
		return;
	}
	http_message_free(r->failure);
	r->failure = http_message_copy(m);
	r->may_have_run = 1;
	request_offer(r);
}

/* Records an answer after the time limit of its request. */
static void
record_overdue(const struct request *r, int64_t now)
{
	if (now <= r->answer_by)
		return;
	counter_add(CTR_ANSWERS_OVERDUE, 1);
	histogram_add(HIST_OVERDUE, now - r->answer_by);
	base_log(G_LOG_LEVEL_INFO, "answer-overdue",
	    "id=%s by_ms=%" G_GINT64_FORMAT, r->id, now - r->answer_by);
}

/* Sends a target's answer to the caller, without hop-by-hop headers. */
static void
send_answer(struct request *r, struct http_message *m)
{
	http_strip_hop(m);
	record_overdue(r, base_now_ms());
	calls_ended(r->entry->proxy, &r->job,
	    m->status < HTTP_STATUS_INTERNAL_SERVER_ERROR);
	leaving_record(r->entry, r->job.kind, base_now_ms() - r->arrived);
	counter_add(CTR_ANSWERED, 1);
	histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	base_log(G_LOG_LEVEL_INFO, "answered",
	    "id=%s status=%d took_ms=%d gates=%d", r->id, m->status,
	    (int)(base_now_ms() - r->arrived), r->offers);
	http_reply(r->exchange, m);
	request_free(r);
}

/* Logs a refusal by quarantine; returns the time that is left of it, in ms. */
static int
log_quarantined(const struct request *r)
{
	uint64_t fp = r->job.fingerprint;
	int left;

	left = (int)quarantine_left_ms(&r->entry->proxy->quarantine, fp);
	counter_add(CTR_QUARANTINED, 1);
	base_log(G_LOG_LEVEL_MESSAGE, "quarantined",
	    "id=%s fingerprint=%016" G_GINT64_MODIFIER "x left_ms=%d", r->id,
	    fp, left);
	return left;
}

/* Keeps the least wait of the guards that refused the request for now. */
static void
keep_wait(struct request *r, const struct job_result *res)
{
	int ms = res->retry_after_ms;

	if ((res->outcome != OUTCOME_BUSY && res->outcome != OUTCOME_REFUSED) ||
	    ms <= 0)
		return;
	r->wait_ms = r->wait_ms > 0 ? MIN(r->wait_ms, ms) : ms;
}

/*
 * Retry-After of a refusal, in ms.  A caller that can still be answered within
 * its goal comes back when there is room.  One that cannot is served from what
 * others leave: it comes back later, spread in time, as each of its few
 * attempts would be used up at once while the load lasts.
 */
static int
retry_after(const struct request *r, int64_t now)
{
	GRand *rand = r->entry->proxy->rand;
	int jitter = g_rand_int_range(
	    rand, 0, r->route->goal_ms / RETRY_JITTER_DIVISOR + 1);
	int most = (int)MAX(
	    (r->leaves_at - now) / RETRY_MAX_DIVISOR, RETRY_AFTER_MIN_MS);
	int ms = MAX(r->wait_ms, RETRY_AFTER_MIN_MS);

	if (now + ms >= r->job.goal)
		return MAX(g_rand_int_range(rand, most / 2, most + 1),
		    RETRY_AFTER_MIN_MS);
	if (ms + jitter <= most)
		return ms + jitter;
	return MAX(most - jitter, RETRY_AFTER_MIN_MS);
}

/*
 * Sends the failure that was kept, or else refuses the request: with 503 if it
 * was not run, with 502 or 504 if it may have run.
 */
static void
refuse_request(struct request *r, enum call_outcome why)
{
	int64_t now = base_now_ms();
	int status, retry_after_ms = 0;

	if (r->failure != NULL) {
		send_answer(r, r->failure);
		return;
	}
	record_overdue(r, now);
	calls_ended(r->entry->proxy, &r->job, 0);
	if (r->may_have_run)
		status = now >= r->answer_by ? 504 : 502;
	else
		status = 503;
	if (why == OUTCOME_POISON)
		retry_after_ms = log_quarantined(r);
	else if (status == 503)
		retry_after_ms = retry_after(r, now);
	counter_add(
	    r->may_have_run ? CTR_REFUSED_UNKNOWN : CTR_REFUSED_NOT_RUN, 1);
	base_log(G_LOG_LEVEL_INFO, "refused",
	    "id=%s route=%s outcome=%s status=%d gates=%d sends=%d took_ms=%d "
	    "back_ms=%d version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, outcomes[why].code, status, r->offers,
	    r->sends, (int)(now - r->arrived), retry_after_ms,
	    r->config->version);
	entry_reply_error(
	    r->exchange, r->entry, status, retry_after_ms, outcomes[why].code);
	request_free(r);
}

/* Cancels the current offer, if any, at the local guard or over its link. */
static void
cancel_offer(struct request *r)
{
	if (r->peer == NULL)
		return;
	forecast_ended(&r->peer->forecast);
	if (!r->job.in_pieces)
		forecast_overdue(&r->peer->forecast,
		    (double)(base_now_ms() - r->offered_at),
		    r->forecast.told_ms, base_now_ms());
	r->peer = NULL;
	if (r->local)
		proxy_guard_cancel(&r->entry->proxy->guard, &r->job);
	else
		links_cancel(&r->entry->proxy->links, &r->job);
}

/* The caller disconnected: cancels the request. */
void
request_on_disconnect(void *arg, struct http_exchange *exchange)
{
	struct request *r = http_exchange_data(exchange);

	(void)arg;
	if (r == NULL)
		return;
	base_log(G_LOG_LEVEL_INFO, "cancelled",
	    "id=%s reason=\"%s\" gates=%d took_ms=%d", r->id,
	    http_close_reason(exchange), r->offers,
	    (int)(base_now_ms() - r->arrived));
	/* A target that gives up a call at its limit has not been served. */
	if (base_now_ms() >= r->answer_by)
		calls_ended(r->entry->proxy, &r->job, 0);
	cancel_offer(r);
	request_free(r);
}

/*
 * Only another node's guard has to be asked: this entry cannot know what it has
 * started.  Its own guard refuses in time what it cannot start.
 */
void
request_ask(struct request *r)
{
	if (r->peer == NULL || r->local || r->job.in_pieces)
		return;
	counter_add(CTR_ASKS, 1);
	base_log(G_LOG_LEVEL_INFO, "asked", "id=%s addr=%s left_ms=%d", r->id,
	    r->peer->addr, (int)(r->answer_by - base_now_ms()));
	if (links_ask(&r->entry->proxy->links, &r->job))
		return;
	cancel_offer(r);
	refuse_request(r, OUTCOME_LATE);
}

/* Whether the guard of the current offer may have started the request. */
static int
may_be_running(const struct request *r)
{
	if (r->peer == NULL)
		return 0;
	return r->local ? r->job.in_flight != NULL : !links_is_unsent(&r->job);
}

/* Ends a request at its deadline, or just before the process is killed. */
void
request_on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	(void)fd;
	(void)what;
	r->may_have_run |= may_be_running(r);
	cancel_offer(r);
	if (r->job.in_pieces)
		finish_stream(
		    r, &(struct job_result){ .outcome = OUTCOME_EXPIRED });
	else
		refuse_request(r, OUTCOME_EXPIRED);
}

/* Releases a request whose exchange was answered or has disconnected. */
static void
request_free(struct request *r)
{
	g_hash_table_remove(r->entry->requests, r);
	event_free(r->timer);
	http_message_free(r->msg);
	http_message_free(r->failure);
	view_config_unref(r->config);
	g_ptr_array_free(r->tried, TRUE);
	g_free(r->id);
	g_free(r->caller);
	g_free(r);
}
