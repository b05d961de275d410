/*
 * Concurrency limit of a target.  It starts at one and grows by one a step
 * while all of it is used and the target keeps up; it halves when latency,
 * shedding or missed deadlines say so, and begins again when the target's
 * connections break.  Only results of real requests count: what the target
 * announces of itself is not used.
 */
#include "mesh.h"

#define STEP_MS	      400  /* least time between two steps up */
#define STEP_MS_MAX   3200 /* after repeated steps down */
#define HOLD_MS	      100  /* least time between two steps down */
#define SLOW_FACTOR   3	   /* recent over usual latency that means overload */
#define SLOW_FLOOR_US 5000 /* recent latencies below are never overload */
#define RECENT_SHARE  8	   /* weight of the past in the recent latency */
#define USUAL_SHARE   128  /* weight of the past in the usual latency */

static void step_down(struct limit *, int64_t);
static void learn_latency(struct limit *, int64_t);
static int overloaded(const struct limit *);

/* Begins cold. */
void
limit_init(struct limit *l, int slots)
{
	*l = (struct limit){ .slots = slots, .current = 1, .step_ms = STEP_MS };
}

/* Takes a new ceiling. */
void
limit_slots(struct limit *l, int slots)
{
	l->slots = slots;
	l->current = MIN(l->current, slots);
}

/* Begins again from one. */
void
limit_cold(struct limit *l, int64_t now)
{
	l->current = 1;
	l->successes = 0;
	l->recent_us = 0;
	l->usual_us = 0;
	l->step_at = now + l->step_ms;
	l->hold_until = now + HOLD_MS;
}

/* Halves, at most once in a while, as one overload yields many signs. */
static void
step_down(struct limit *l, int64_t now)
{
	l->successes = 0;
	l->step_at = now + l->step_ms;
	if (now < l->hold_until)
		return;
	l->current = MAX(1, l->current / 2);
	l->step_ms = MIN(STEP_MS_MAX, l->step_ms * 2);
	l->hold_until = now + HOLD_MS;
}

/* Follows the latency twice, quickly and slowly. */
static void
learn_latency(struct limit *l, int64_t us)
{
	if (l->usual_us == 0) {
		l->recent_us = us;
		l->usual_us = us;
	}
	l->recent_us += (us - l->recent_us) / RECENT_SHARE;
	l->usual_us += (us - l->usual_us) / USUAL_SHARE;
}

/* Whether the recent latency is far above the usual. */
static int
overloaded(const struct limit *l)
{
	return l->recent_us > SLOW_FLOOR_US &&
	       l->recent_us > SLOW_FACTOR * l->usual_us;
}

/* Learns from one exchange. */
void
limit_note(struct limit *l, enum exchange e, int64_t latency_us, int inflight,
    int64_t now)
{
	if (e == EXCHANGE_REFUSED || e == EXCHANGE_BROKEN) {
		limit_cold(l, now);
		return;
	}
	if (e == EXCHANGE_OK)
		learn_latency(l, latency_us);
	if (e != EXCHANGE_OK || overloaded(l)) {
		step_down(l, now);
		return;
	}
	/* Unused room proves nothing about room beyond it. */
	if (inflight < l->current || l->current >= l->slots)
		return;
	if (++l->successes < l->current || now < l->step_at)
		return;
	l->successes = 0;
	l->current++;
	l->step_at = now + l->step_ms;
	l->step_ms = MAX(STEP_MS, l->step_ms - l->step_ms / 4);
}
