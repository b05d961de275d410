/*
 * Adaptive concurrency limit of a target, by additive increase and
 * multiplicative decrease.  The limit starts at 1.  It grows by 1 per step
 * while it is fully used and latency stays low, halves when latency rises, the
 * target sheds or a deadline is missed, and returns to 1 when the target's
 * connections break.  Only results of real requests count; nothing that the
 * target reports about itself is used.
 */
#include "mesh.h"

#define STEP_UP_MS	400  /* at least, between two steps up */
#define STEP_UP_MS_MAX	3200 /* the same after repeated steps down */
#define STEP_DOWN_MS	100  /* at least, between two steps down */
#define OVERLOAD_FACTOR 3    /* overload: recent latency over usual latency */
#define OVERLOAD_MIN_US 5000 /* a recent latency below is never overload */
#define RECENT_WEIGHT	8    /* a sample moves the recent latency by 1/8 */
#define USUAL_WEIGHT	128  /* a sample moves the usual latency by 1/128 */

static void step_down(struct limit *, int64_t);
static void update_latency(struct limit *, int64_t);
static int overloaded(const struct limit *);

/* Starts at 1, as a target whose history is not known may be cold. */
void
limit_init(struct limit *l, int slots)
{
	*l = (struct limit){
		.slots = slots, .current = 1, .step_up_ms = STEP_UP_MS
	};
}

/* A lower bound applies at once; a higher one is reached step by step. */
void
limit_set_slots(struct limit *l, int slots)
{
	l->slots = slots;
	l->current = MIN(l->current, slots);
}

/*
 * Drops the averages, as the latency may differ after a restart.  The pause
 * between two steps up keeps its length.
 */
void
limit_reset(struct limit *l, int64_t now)
{
	l->current = 1;
	l->full_successes = 0;
	l->recent_us = 0;
	l->usual_us = 0;
	l->step_up_at = now + l->step_up_ms;
	l->step_down_at = now + STEP_DOWN_MS;
}

/* Halves at most once per STEP_DOWN_MS, as one overload has many signs. */
static void
step_down(struct limit *l, int64_t now)
{
	l->full_successes = 0;
	l->step_up_at = now + l->step_up_ms;
	if (now < l->step_down_at)
		return;
	l->current = MAX(1, l->current / 2);
	l->step_up_ms = MIN(STEP_UP_MS_MAX, l->step_up_ms * 2);
	l->step_down_at = now + STEP_DOWN_MS;
}

/* Updates a fast and a slow exponential average. */
static void
update_latency(struct limit *l, int64_t us)
{
	if (l->usual_us == 0) {
		l->recent_us = us;
		l->usual_us = us;
	}
	l->recent_us += (us - l->recent_us) / RECENT_WEIGHT;
	l->usual_us += (us - l->usual_us) / USUAL_WEIGHT;
}

/* Whether the recent latency is far above the usual one. */
static int
overloaded(const struct limit *l)
{
	return l->recent_us > OVERLOAD_MIN_US &&
	       l->recent_us > OVERLOAD_FACTOR * l->usual_us;
}

/* The limit steps up after as many successes at full use as its value. */
void
limit_update(struct limit *l, enum exchange e, int64_t latency_us, int inflight,
    int64_t now)
{
	if (e == EXCHANGE_REFUSED || e == EXCHANGE_BROKEN) {
		limit_reset(l, now);
		return;
	}
	if (e == EXCHANGE_OK)
		update_latency(l, latency_us);
	if (e != EXCHANGE_OK || overloaded(l)) {
		step_down(l, now);
		return;
	}
	/* A limit that is not fully used cannot show that more would work. */
	if (inflight < l->current || l->current >= l->slots)
		return;
	if (++l->full_successes < l->current || now < l->step_up_at)
		return;
	l->full_successes = 0;
	l->current++;
	l->step_up_at = now + l->step_up_ms;
	l->step_up_ms = MAX(STEP_UP_MS, l->step_up_ms - l->step_up_ms / 4);
}
