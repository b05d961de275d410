/* Ejection of a target that fails, and its recovery by trial requests. */
#include <string.h>

#include "outlier.h"

#define EJECT_FAILURES	   4   /* broken requests in a row */
#define TRIAL_PAUSE_MS	   250 /* before the first trial; doubles each time */
#define TRIAL_PAUSE_MAX_MS 4000
#define SLOTS_FACTOR	   0.7 /* of the slots stay usable after a failure */
#define SHED_SMOOTHING	   16  /* a result has a weight of 1/16 */
/* Wait for a repeatable request before any other one is used as a trial. */
#define NON_REPEATABLE_TRIAL_MS 1000

/* All slots are usable until a request breaks. */
void
outlier_init(struct outlier *o)
{
	memset(o, 0, sizeof(*o));
	o->pause_ms = TRIAL_PAUSE_MS;
}

/*
 * Only broken requests reduce the usable slots.  A request that is shed did not
 * run and costs its caller little, so a target that sheds some keeps its slots.
 */
int
outlier_record(struct outlier *o, enum outlier_event e, int slots, int64_t now)
{
	o->trial_running = 0;
	o->shed_rate += ((e == OUTLIER_SHED) - o->shed_rate) / SHED_SMOOTHING;
	if (o->usable_slots == 0)
		o->usable_slots = slots;
	if (e != OUTLIER_BROKEN) {
		if (o->ejected)
			o->usable_slots = 1;
		else if (e == OUTLIER_SERVED)
			o->usable_slots = MIN(o->usable_slots + 1, slots);
		o->ejected = o->failures = 0;
		if (o->usable_slots >= slots)
			o->pause_ms = TRIAL_PAUSE_MS;
		return 0;
	}
	o->usable_slots = MAX(o->usable_slots * SLOTS_FACTOR, 1);
	o->failures++;
	if (!o->ejected && o->failures < EJECT_FAILURES)
		return 0;
	/*
	 * Requests that were in flight at the time of the ejection break as
	 * well; they must not double the pause again.
	 */
	if (o->ejected && now < o->try_at)
		return 0;
	o->ejected = 1;
	o->try_at = now + o->pause_ms;
	o->pause_ms = MIN(2 * o->pause_ms, TRIAL_PAUSE_MAX_MS);
	return 1;
}

/* If the request was a trial, another one may begin. */
void
outlier_cancel(struct outlier *o)
{
	o->trial_running = 0;
}

/* A single trial at a time, and none before the pause has passed. */
int
outlier_admits(const struct outlier *o, int repeatable, int64_t now)
{
	if (!o->ejected)
		return 1;
	if (o->trial_running || now < o->try_at)
		return 0;
	return repeatable || now >= o->try_at + NON_REPEATABLE_TRIAL_MS;
}

/* Unless the target is ejected, nothing is recorded. */
void
outlier_start(struct outlier *o)
{
	if (o->ejected)
		o->trial_running = 1;
}

/* Rounded, as failures reduce the usable slots to a fraction. */
int
outlier_slots(const struct outlier *o, int slots)
{
	if (o->ejected)
		return 1;
	return o->usable_slots == 0
		   ? slots
		   : CLAMP((int)(o->usable_slots + 0.5), 1, slots);
}

/* The exponential average, rounded down. */
int
outlier_shed_percent(const struct outlier *o)
{
	return (int)(o->shed_rate * 100);
}

/* Does not include the extra wait of requests that may run at most once. */
int
outlier_wait_ms(const struct outlier *o, int64_t now)
{
	return o->ejected ? (int)MAX(o->try_at - now, 1) : 0;
}
