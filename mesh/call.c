/* State machine of a call at its entry: attempts, timeouts and retries. */
#include "call.h"

static enum call_action refuse(struct call *, enum call_outcome);
static enum call_action retry(struct call *, struct budget *, int64_t);
static enum call_action pause_then_resend(struct call *, int64_t);
static int64_t deadline_or_after(const struct call *, int64_t, int64_t);

const struct outcome_info outcomes[OUTCOME_COUNT] = {
	/* code, status, not_run, recorded, free_retry, final, repeat */
	[OUTCOME_ANSWERED] = { "answered", 200, 0, 0, 0, 1, 0 },
	[OUTCOME_BUSY] = { "busy", 503, 1, 1, 0, 0, 1 },
	[OUTCOME_OUT] = { "out", 503, 1, 1, 1, 0, 1 },
	[OUTCOME_STALE] = { "stale", 503, 1, 0, 1, 0, 1 },
	[OUTCOME_BEHIND] = { "behind", 503, 1, 0, 1, 0, 1 },
	[OUTCOME_RESTARTED] = { "restarted", 503, 1, 0, 1, 0, 1 },
	[OUTCOME_LATE] = { "deadline", 504, 1, 1, 0, 1, 1 },
	[OUTCOME_FENCED] = { "not_seen", 503, 1, 1, 1, 0, 1 },
	[OUTCOME_POISON] = { "quarantined", 422, 1, 1, 0, 1, 0 },
	[OUTCOME_SHED] = { "shed", 503, 1, 1, 0, 0, 1 },
	[OUTCOME_REFUSED] = { "target_down", 503, 1, 1, 0, 0, 1 },
	[OUTCOME_DUPLICATE] = { "duplicate", 409, 0, 0, 0, 1, 0 },
	[OUTCOME_UNKNOWN] = { "outcome_unknown", 504, 0, 0, 0, 1, 0 },
	[OUTCOME_BROKEN] = { "target_broke", 502, 0, 0, 0, 0, 0 },
	[OUTCOME_EXPIRED] = { "expired", 504, 0, 0, 0, 1, 0 },
	[OUTCOME_UNDELIVERED] = { "not_delivered", 503, 1, 0, 0, 0, 1 },
	[OUTCOME_TOO_LARGE] = { "answer_too_large", 502, 0, 0, 0, 1, 0 },
	[OUTCOME_NO_ROUTE] = { "no_route", 404, 1, 0, 0, 1, 0 },
	[OUTCOME_FORBIDDEN] = { "forbidden", 403, 1, 0, 0, 1, 0 },
	[OUTCOME_BAD_REQUEST] = { "bad_request", 400, 1, 0, 0, 1, 0 },
	[OUTCOME_BODY_TOO_LARGE] = { "body_too_large", 413, 1, 0, 0, 1, 0 },
	[OUTCOME_TOO_MANY] = { "too_many_calls", 503, 1, 0, 0, 1, 1 },
	[OUTCOME_NOT_READY] = { "not_ready", 503, 1, 0, 0, 1, 1 },
	[OUTCOME_LEAVING] = { "leaving", 503, 1, 0, 0, 1, 1 },
	[OUTCOME_NO_TARGET] = { "no_target", 503, 1, 0, 0, 1, 1 },
	[OUTCOME_GIVEN_UP] = { "given_up", 503, 1, 0, 0, 1, 1 },
	[OUTCOME_CANCELLED] = { "cancelled", 499, 0, 0, 0, 1, 0 },
};

const enum call_outcome outcome_by_verdict[] = {
	[GUARD_RUN] = OUTCOME_ANSWERED,
	[GUARD_QUEUE] = OUTCOME_ANSWERED,
	[GUARD_BUSY] = OUTCOME_BUSY,
	[GUARD_OUT] = OUTCOME_OUT,
	[GUARD_LATE] = OUTCOME_LATE,
	[GUARD_FENCED] = OUTCOME_FENCED,
	[GUARD_POISON] = OUTCOME_POISON,
	[GUARD_DUPLICATE] = OUTCOME_DUPLICATE,
	[GUARD_UNKNOWN] = OUTCOME_UNKNOWN,
};

const enum call_outcome outcome_by_exchange[] = {
	[EXCHANGE_OK] = OUTCOME_ANSWERED,
	[EXCHANGE_SHED] = OUTCOME_SHED,
	[EXCHANGE_SLOW] = OUTCOME_EXPIRED,
	[EXCHANGE_REFUSED] = OUTCOME_REFUSED,
	[EXCHANGE_BROKEN] = OUTCOME_BROKEN,
};

/* The time ms from now, or the deadline if that is earlier. */
static int64_t
deadline_or_after(const struct call *c, int64_t now, int64_t ms)
{
	return MIN(c->deadline, now + ms);
}

/* Ends a call with a refusal. */
static enum call_action
refuse(struct call *c, enum call_outcome why)
{
	c->last = why;
	return CALL_REFUSE;
}

/*
 * "Not run" must be true of every attempt of this call and of every earlier
 * call that used the same id.
 */
int
call_not_run(const struct call *c)
{
	return outcomes[c->last].not_run && !c->may_have_run &&
	       !c->earlier_may_have_run;
}

/* A caller's own id may have been used before, by a call that ran. */
enum call_action
call_start(struct call *c, int64_t now)
{
	c->state = CALL_NEW;
	c->last = OUTCOME_NO_TARGET;
	c->earlier_may_have_run = c->once && !c->minted;
	if (now >= c->deadline)
		return refuse(c, OUTCOME_LATE);
	return CALL_SEND;
}

/* Arms the timer for the guard's acknowledgement. */
void
call_sent(struct call *c, int64_t now)
{
	c->state = CALL_SENT;
	c->tries++;
	c->fences = 0;
	c->link_replaced = 0;
	c->wake = deadline_or_after(c, now, CALL_ACK_TIMEOUT_MS);
}

/*
 * A call that was never sent has not run.  One that was sent and finds no
 * further target is refused with the outcome of its last attempt; if it may
 * run at most once, that attempt did not run, or there would be no retry.
 */
enum call_action
call_not_sent(struct call *c, enum call_outcome why, int64_t now)
{
	if (now >= c->deadline)
		return refuse(c, OUTCOME_LATE);
	if (c->tries > 0 && why == OUTCOME_NO_TARGET) {
		/*
		 * Every home of the id has refused the request and recorded
		 * that, so no earlier call with this id ran or will run.
		 */
		c->earlier_may_have_run = 0;
		return refuse(c, c->last);
	}
	return refuse(c, why);
}

/* Queries the guard only every CALL_POLL_MS from now on. */
void
call_acked(struct call *c, int64_t now)
{
	if (c->state != CALL_SENT && c->state != CALL_FENCING)
		return;
	c->state = CALL_ACKED;
	c->fences = 0;
	c->wake = deadline_or_after(c, now, CALL_POLL_MS);
}

/* Retries if the deadline, the number of tries and the budget allow. */
static enum call_action
retry(struct call *c, struct budget *b, int64_t now)
{
	const struct outcome_info *o = &outcomes[c->last];

	c->may_have_run |= !o->not_run;
	if (now >= c->deadline)
		return refuse(c, o->not_run ? OUTCOME_LATE : OUTCOME_EXPIRED);
	if (c->tries >= CALL_TRIES_MAX)
		return CALL_REFUSE;
	if (!o->free_retry && !budget_take_retry(b)) {
		counter_add(CTR_RETRY_DENIED, 1);
		return CALL_REFUSE;
	}
	counter_add(CTR_RETRIES, 1);
	return CALL_SEND;
}

/* Backs off before the request is sent to the same guard again. */
static enum call_action
pause_then_resend(struct call *c, int64_t now)
{
	c->state = CALL_PAUSED;
	c->wake = deadline_or_after(c, now, CALL_PAUSE_MS << c->tries);
	return CALL_WAIT;
}

/*
 * A request that may run at most once is retried only if it did not run, and
 * at another home only if the guard has recorded the id.
 */
enum call_action
call_outcome(
    struct call *c, enum call_outcome out, struct budget *b, int64_t now)
{
	const struct outcome_info *o = &outcomes[out];

	if (out == OUTCOME_ANSWERED) {
		budget_add_success(b);
		return CALL_PASS;
	}
	if (out == OUTCOME_DUPLICATE && c->state == CALL_FENCING) {
		call_acked(c, now);
		return CALL_WAIT;
	}
	c->last = out;
	c->may_have_run |= !o->not_run;
	if (o->final && (c->once || out != OUTCOME_UNKNOWN))
		return CALL_REFUSE;
	if (!o->not_run && c->once)
		return CALL_REFUSE;
	if (out == OUTCOME_BROKEN && c->crashes.n >= POISON_CRASHES_MAX)
		return refuse(c, OUTCOME_POISON);
	if (!o->not_run)
		return retry(c, b, now);
	/* The refusal states the guard's incarnation: resend without delay. */
	if (out == OUTCOME_RESTARTED && c->tries == 1)
		return CALL_SEND_SAME;
	if (c->once && !o->recorded)
		return pause_then_resend(c, now);
	if (out == OUTCOME_STALE || out == OUTCOME_BEHIND)
		return pause_then_resend(c, now);
	/* If it may run at most once, this home has recorded the id. */
	c->homes_refused++;
	return retry(c, b, now);
}

/*
 * A silent guard is sent fences until the deadline if the request may run at
 * most once.  Otherwise it is sent one fence, then the request goes to another
 * target; without a retry left, the fences go on, as the answer may still come.
 */
enum call_action
call_timer(struct call *c, struct budget *b, int64_t now)
{
	int link_replaced, may_have_run;

	if (now >= c->deadline) {
		if (c->state == CALL_PAUSED || c->state == CALL_NEW)
			return refuse(c, OUTCOME_LATE);
		return refuse(c, c->once ? OUTCOME_UNKNOWN : OUTCOME_EXPIRED);
	}
	link_replaced = c->link_replaced;
	c->link_replaced = 0;
	switch (c->state) {
	case CALL_PAUSED:
		return retry(c, b, now) == CALL_SEND ? CALL_SEND_SAME
						     : CALL_REFUSE;
	case CALL_ACKED:
		c->state = CALL_FENCING;
		c->fences = 0;
		c->wake = deadline_or_after(c, now, CALL_ACK_TIMEOUT_MS);
		return CALL_FENCE_SAME;
	case CALL_SENT:
	case CALL_FENCING:
		if (!c->once && c->fences > 0) {
			c->last = OUTCOME_UNKNOWN;
			may_have_run = c->may_have_run;
			if (retry(c, b, now) == CALL_SEND)
				return CALL_SEND;
			/* This guard can still reply that it did not run. */
			c->may_have_run = may_have_run;
		}
		c->state = CALL_FENCING;
		c->fences++;
		c->wake = deadline_or_after(c, now,
		    c->fences == 1 ? CALL_ACK_TIMEOUT_MS : CALL_FENCE_MS);
		counter_add(CTR_FENCES, 1);
		return link_replaced ? CALL_FENCE_SAME : CALL_FENCE;
	default:
		c->wake = c->deadline;
		return CALL_WAIT;
	}
}

/*
 * Makes the timer due, so that a fence is sent over the new connection at once;
 * opening yet another one would lose the fences of other calls.  The timer
 * of a repeatable call that has sent a fence is left as it is; when due, the
 * call goes to another target.
 */
void
call_link_lost(struct call *c, int64_t now)
{
	if (c->state == CALL_ACKED || c->state == CALL_SENT ||
	    (c->state == CALL_FENCING && c->once)) {
		c->link_replaced = 1;
		c->wake = now;
	}
}

/* A paused call is not waiting for a reply of its guard. */
int
call_should_abandon(const struct call *c, int dead, int left)
{
	return c->state != CALL_PAUSED &&
	       (dead || (left && c->fences > CALL_LEFT_FENCES_MAX));
}

/* A request that may run at most once ends with an unknown outcome. */
enum call_action
call_guard_dead(struct call *c, struct budget *b, int64_t now)
{
	if (c->state == CALL_PAUSED)
		return CALL_WAIT;
	c->last = OUTCOME_UNKNOWN;
	if (c->once)
		return CALL_REFUSE;
	return retry(c, b, now);
}
