/*
 * A request on its way: offered to targets, answered by one, or refused with
 * what is known of it.
 */
#include <string.h>

#include "entry_int.h"

#define GATES_MAX	  4    /* gates that one request is offered to */
#define BUSY_AVOID_MS	  25   /* a gate that refused for load */
#define DOWN_AVOID_MS	  250  /* one whose target is down or leaving */
#define DOWN_AVOID_MAX_MS 4000 /* the most that a gate may ask for */
#define LOST_AVOID_MS	  1000 /* one that a link was lost to */
#define BACK_SHARE	  4    /* and within this part of its goal */

static void settle(struct request *r, const struct result *res);
static int may_repeat(struct request *r, int64_t now);
static void finish_pieces(struct request *r, const struct result *res);
static void on_answer(struct request *r, struct http_message *m);
static void pass(struct request *r, struct http_message *m);
static int note_quarantined(const struct request *r);
static void refuse(struct request *r, enum call_outcome why);
static void give_up(struct request *r);
static void request_free(struct request *r);

/* Offers a request to the next target. */
void
request_offer(struct request *r)
{
	struct proxy *p = r->entry->proxy;
	const struct view_target *t;
	char addr[ADDRESS_MAX];
	int64_t now = base_now_ms();

	if (quarantine_left_ms(&p->quarantine, r->job.fingerprint) > 0) {
		refuse(r, OUTCOME_POISON);
		return;
	}
	t = r->gates < GATES_MAX ? choose_target(p, r->service, r->tried, now)
				 : NULL;
	if (t == NULL) {
		refuse(r, r->gates > 0 ? r->last : OUTCOME_NO_TARGET);
		return;
	}
	r->gates++;
	g_ptr_array_add(r->tried, g_strdup(t->addr));
	r->peer = choose_peer(p, t->addr);
	r->peer->inflight++;
	r->local = strcmp(t->addr, p->settings->target) == 0;
	counter_add(CTR_FORWARDS, 1);
	if (r->gates == 1)
		spend_request(entry_spend(r->entry, r->service), now);
	base_log(G_LOG_LEVEL_INFO, "offered",
	    "id=%s route=%s service=%s target=%s addr=%s load=%d "
	    "version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, r->service, t->id, t->addr, r->peer->load,
	    r->config->version);
	if (r->local) {
		gate_submit(&p->gate, &r->job);
		return;
	}
	choose_link(p, t->addr, addr);
	links_submit(&p->links, addr, &r->job);
}

/* Takes over what an outcome says of the gate. */
static void
settle(struct request *r, const struct result *res)
{
	struct peer *peer = r->peer;
	int64_t now = base_now_ms();

	r->peer = NULL;
	peer->inflight--;
	switch (res->outcome) {
	case OUTCOME_UNKNOWN:
	case OUTCOME_UNDELIVERED:
		peer->avoid_until = now + LOST_AVOID_MS;
		return;
	case OUTCOME_BUSY:
		peer->avoid_until = now + BUSY_AVOID_MS;
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
	peer->load = res->load;
	peer->told_at = now;
	peer->told_inflight = peer->inflight;
}

/* Whether one more sending to a target is allowed. */
static int
may_repeat(struct request *r, int64_t now)
{
	if (r->sends >= r->route->attempts || now >= r->answer_by)
		return 0;
	return entry_spend_repeat(r->entry, r->service, now);
}

/* A target's long answer begins: it is passed on as it comes. */
void
request_on_head(struct job *j, const struct http_message *m)
{
	struct request *r = j->arg;

	r->sends++;
	r->status = m->status;
	histogram_add(HIST_FIRST_BYTE, base_now_ms() - r->arrived);
	http_reply_begin(r->exchange, m);
}

void
request_on_piece(struct job *j, const void *bytes, size_t len)
{
	struct request *r = j->arg;

	http_reply_piece(r->exchange, bytes, len);
}

/* Pieces have left for the caller. */
void
request_on_taken(void *arg, struct http_exchange *exchange, size_t n)
{
	struct request *r = http_exchange_data(exchange);
	struct entry *e = arg;

	if (r == NULL || r->peer == NULL)
		return;
	if (r->local)
		gate_take(&e->proxy->gate, &r->job, n);
	else
		links_take(&e->proxy->links, &r->job, n);
}

/* A long answer has ended; one that is not whole breaks off for the caller. */
static void
finish_pieces(struct request *r, const struct result *res)
{
	int whole = res->outcome == OUTCOME_ANSWERED;

	counter_add(whole ? CTR_ANSWERED : CTR_ANSWERS_CUT, 1);
	if (whole)
		histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	base_log(G_LOG_LEVEL_INFO, "answered-in-pieces",
	    "id=%s status=%d outcome=%s took_ms=%d gates=%d", r->id, r->status,
	    outcomes[res->outcome].code, (int)(base_now_ms() - r->arrived),
	    r->gates);
	http_reply_end(r->exchange, whole);
	request_free(r);
}

/* An outcome of the current offer. */
void
request_on_done(struct job *j, const struct result *res)
{
	struct request *r = j->arg;
	enum call_outcome o = res->outcome;
	int64_t now = base_now_ms();

	settle(r, res);
	r->last = o;
	if (j->in_pieces) {
		finish_pieces(r, res);
		return;
	}
	if (o == OUTCOME_ANSWERED) {
		r->sends++;
		quarantine_answered(&r->entry->proxy->quarantine,
		    j->fingerprint, res->answer->status);
		on_answer(r, res->answer);
		return;
	}
	if (outcomes[o].not_run && o != OUTCOME_SHED) {
		if (o == OUTCOME_LATE || o == OUTCOME_POISON)
			refuse(r, o);
		else
			request_offer(r);
		return;
	}
	r->sends++;
	r->ran |= o != OUTCOME_SHED;
	if ((o == OUTCOME_SHED || r->route->repeatable) && may_repeat(r, now))
		request_offer(r);
	else
		refuse(r, o);
}

/* A target's answer; a failure may be made good by another target. */
static void
on_answer(struct request *r, struct http_message *m)
{
	int64_t now = base_now_ms();

	if (m->status < 500 || !r->route->repeatable || !may_repeat(r, now)) {
		pass(r, m);
		return;
	}
	http_message_free(r->failure);
	r->failure = http_message_copy(m);
	r->ran = 1;
	request_offer(r);
}

/* Gives the caller a target's answer, unchanged. */
static void
pass(struct request *r, struct http_message *m)
{
	http_strip_hop(m);
	counter_add(CTR_ANSWERED, 1);
	histogram_add(HIST_ANSWER, base_now_ms() - r->arrived);
	base_log(G_LOG_LEVEL_INFO, "answered",
	    "id=%s status=%d took_ms=%d gates=%d", r->id, m->status,
	    (int)(base_now_ms() - r->arrived), r->gates);
	http_reply(r->exchange, m);
	request_free(r);
}

/* It has crashed targets: how long it is refused, ms. */
static int
note_quarantined(const struct request *r)
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

/* Refuses for good, and tells the caller when to come back if it may. */
static void
refuse(struct request *r, enum call_outcome why)
{
	int64_t now = base_now_ms();
	int status, back = 0;

	if (r->failure != NULL) {
		pass(r, r->failure);
		return;
	}
	if (r->ran)
		status = now >= r->answer_by ? 504 : 502;
	else
		status = 503;
	if (why == OUTCOME_POISON)
		back = note_quarantined(r);
	else if (status == 503)
		back = BACK_MIN_MS + g_rand_int_range(r->entry->proxy->rand, 0,
					 r->route->goal_ms / BACK_SHARE + 1);
	counter_add(r->ran ? CTR_REFUSED_UNKNOWN : CTR_REFUSED_NOT_RUN, 1);
	base_log(G_LOG_LEVEL_INFO, "refused",
	    "id=%s route=%s outcome=%s status=%d gates=%d sends=%d took_ms=%d "
	    "back_ms=%d version=%" G_GUINT64_FORMAT,
	    r->id, r->route->name, outcomes[why].code, status, r->gates,
	    r->sends, (int)(now - r->arrived), back, r->config->version);
	entry_reply_error(
	    r->exchange, r->entry, status, back, outcomes[why].code);
	request_free(r);
}

/* Takes the current offer back. */
static void
give_up(struct request *r)
{
	if (r->peer == NULL)
		return;
	r->peer->inflight--;
	r->peer = NULL;
	if (r->local)
		gate_cancel(&r->entry->proxy->gate, &r->job);
	else
		links_cancel(&r->entry->proxy->links, &r->job);
}

/* The caller has gone. */
void
request_on_gone(void *arg, struct http_exchange *exchange)
{
	struct request *r = http_exchange_data(exchange);

	(void)arg;
	if (r == NULL)
		return;
	base_log(G_LOG_LEVEL_INFO, "cancelled", "id=%s took_ms=%d", r->id,
	    (int)(base_now_ms() - r->arrived));
	give_up(r);
	request_free(r);
}

/* The route's timeout has passed, or the caller's. */
void
request_on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	(void)fd;
	(void)what;
	if (r->peer != NULL && (!r->local || r->job.sending != NULL))
		r->ran = 1;
	give_up(r);
	if (r->job.in_pieces)
		finish_pieces(
		    r, &(struct result){ .outcome = OUTCOME_EXPIRED });
	else
		refuse(r, OUTCOME_EXPIRED);
}

/* Releases a request. */
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
