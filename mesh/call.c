/* A call as its entry sees it: decisions over sendings, silence and retries. */
#include "call.h"

static enum call_action refuse(struct call *, enum call_outcome);
static enum call_action again(struct call *, struct budget *, int64_t);
static enum call_action pause_same(struct call *, int64_t);
static int64_t wake_at(const struct call *, int64_t, int64_t);

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

/* What an entry is told of the guard's verdict. */
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

/* And of an exchange that brought no answer. */
const enum call_outcome outcome_by_exchange[] = {
	[EXCHANGE_OK] = OUTCOME_ANSWERED,
	[EXCHANGE_SHED] = OUTCOME_SHED,
	[EXCHANGE_SLOW] = OUTCOME_EXPIRED,
	[EXCHANGE_REFUSED] = OUTCOME_REFUSED,
	[EXCHANGE_BROKEN] = OUTCOME_BROKEN,
};

/* A time after now, but no later than the deadline. */
static int64_t
wake_at(const struct call *c, int64_t now, int64_t ms)
{
	return MIN(c->deadline, now + ms);
}

/* Ends a call without an answer. */
static enum call_action
refuse(struct call *c, enum call_outcome why)
{
	c->last = why;
	return CALL_REFUSE;
}

/*
 * "Not run" must hold for the last sending and for all before it, of this
 * call and of those that came before under the same id.
 */
int
call_not_run(const struct call *c)
{
	return outcomes[c->last].not_run && !c->maybe_run && !c->unsure;
}

/* Begins a call. */
enum call_action
call_start(struct call *c, int64_t now)
{
	c->state = CALL_NEW;
	c->last = OUTCOME_NO_TARGET;
	c->unsure = c->once && !c->minted;
	if (now >= c->deadline)
		return refuse(c, OUTCOME_LATE);
	return CALL_SEND;
}

/* It went out; silence will be noticed. */
void
call_sent(struct call *c, int64_t now)
{
	c->state = CALL_SENT;
	c->tries++;
	c->asks = 0;
	c->relinked = 0;
	c->wake = wake_at(c, now, CALL_ACK_MS);
}

/*
 * There is nobody to send to.  A call that was never sent has not run; one
 * that was sent got here only after a true "not run".
 */
enum call_action
call_nobody(struct call *c, enum call_outcome why, int64_t now)
{
	if (now >= c->deadline)
		return refuse(c, OUTCOME_LATE);
	if (c->tries > 0 && why == OUTCOME_NO_TARGET) {
		/* Every home has said that it never ran it and never will. */
		c->unsure = 0;
		return refuse(c, c->last);
	}
	return refuse(c, why);
}

/* The guard has it: from now on it is asked only now and then. */
void
call_acked(struct call *c, int64_t now)
{
	if (c->state != CALL_SENT && c->state != CALL_ASKING)
		return;
	c->state = CALL_ACKED;
	c->asks = 0;
	c->wake = wake_at(c, now, CALL_LOOK_MS);
}

/* Tries once more, if tries and budget allow. */
static enum call_action
again(struct call *c, struct budget *b, int64_t now)
{
	const struct outcome_info *o = &outcomes[c->last];

	c->maybe_run |= !o->not_run;
	if (now >= c->deadline)
		return refuse(c, o->not_run ? OUTCOME_LATE : OUTCOME_EXPIRED);
	if (c->tries >= CALL_TRIES)
		return CALL_REFUSE;
	if (!o->free_retry && !budget_retry(b)) {
		counter_add(CTR_RETRY_DENIED, 1);
		return CALL_REFUSE;
	}
	counter_add(CTR_RETRIES, 1);
	return CALL_SEND;
}

/* Waits a moment before the same guard is tried again. */
static enum call_action
pause_same(struct call *c, int64_t now)
{
	c->state = CALL_PAUSED;
	c->wake = wake_at(c, now, CALL_PAUSE_MS << c->tries);
	return CALL_WAIT;
}

/* An outcome came. */
enum call_action
call_outcome(
    struct call *c, enum call_outcome out, struct budget *b, int64_t now)
{
	const struct outcome_info *o = &outcomes[out];

	if (out == OUTCOME_ANSWERED) {
		budget_success(b);
		return CALL_PASS;
	}
	if (out == OUTCOME_DUPLICATE && c->state == CALL_ASKING) {
		call_acked(c, now);
		return CALL_WAIT;
	}
	c->last = out;
	c->maybe_run |= !o->not_run;
	if (o->final && (c->once || out != OUTCOME_UNKNOWN))
		return CALL_REFUSE;
	if (!o->not_run && c->once)
		return CALL_REFUSE;
	if (out == OUTCOME_BROKEN && c->crashes.n >= POISON_CRASHES_MAX)
		return refuse(c, OUTCOME_POISON);
	if (!o->not_run)
		return again(c, b, now);
	/* The refusal told the guard's incarnation: no need to wait. */
	if (out == OUTCOME_RESTARTED && c->tries == 1)
		return CALL_SEND_SAME;
	if (c->once && !o->recorded)
		return pause_same(c, now);
	if (out == OUTCOME_STALE || out == OUTCOME_BEHIND)
		return pause_same(c, now);
	c->walked++;
	return again(c, b, now);
}

/* Time has come. */
enum call_action
call_timer(struct call *c, struct budget *b, int64_t now)
{
	int relinked;

	if (now >= c->deadline) {
		if (c->state == CALL_PAUSED || c->state == CALL_NEW)
			return refuse(c, OUTCOME_LATE);
		return refuse(c, c->once ? OUTCOME_UNKNOWN : OUTCOME_EXPIRED);
	}
	relinked = c->relinked;
	c->relinked = 0;
	switch (c->state) {
	case CALL_PAUSED:
		return again(c, b, now) == CALL_SEND ? CALL_SEND_SAME
						     : CALL_REFUSE;
	case CALL_ACKED:
		c->state = CALL_ASKING;
		c->asks = 0;
		c->wake = wake_at(c, now, CALL_ACK_MS);
		return CALL_ASK_SAME;
	case CALL_SENT:
	case CALL_ASKING:
		if (!c->once && c->asks > 0) {
			c->last = OUTCOME_UNKNOWN;
			return again(c, b, now);
		}
		c->state = CALL_ASKING;
		c->asks++;
		c->wake =
		    wake_at(c, now, c->asks == 1 ? CALL_ACK_MS : CALL_ASK_MS);
		counter_add(CTR_FENCES, 1);
		return relinked ? CALL_ASK_SAME : CALL_ASK;
	default:
		c->wake = c->deadline;
		return CALL_WAIT;
	}
}

/*
 * Whoever waits asks at once, over the connection that there is now: another
 * one would lose what was asked over this one.  One that may be repeated and
 * has asked already goes elsewhere in time.
 */
void
call_link_lost(struct call *c, int64_t now)
{
	if (c->state == CALL_ACKED || c->state == CALL_SENT ||
	    (c->state == CALL_ASKING && c->once)) {
		c->relinked = 1;
		c->wake = now;
	}
}

/* Whether a call waits in vain. */
int
call_is_lost(const struct call *c, int dead, int left)
{
	return c->state != CALL_PAUSED &&
	       (dead || (left && c->asks > CALL_LEFT_ASKS));
}

/* The guard will not answer any more. */
enum call_action
call_guard_dead(struct call *c, struct budget *b, int64_t now)
{
	if (c->state == CALL_PAUSED)
		return CALL_WAIT;
	c->last = OUTCOME_UNKNOWN;
	if (c->once)
		return CALL_REFUSE;
	return again(c, b, now);
}
