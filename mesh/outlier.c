/* Ejection of a target that fails, and its way back. */
#include <string.h>

#include "outlier.h"

#define EJECT_AT     4	 /* broken in a row */
#define PAUSE_MS     250 /* before the first trial, then doubling */
#define PAUSE_MAX_MS 4000
#define FEWER	     0.7 /* of its slots are left after a break */
#define SHED_SMOOTH  16	 /* an event moves the share of sheds by 1/16 */
#define ANY_TRIAL_MS                                            \
	1000 /* without a repeatable one any request is a trial \
	      */

/* Begins with trust. */
void
outlier_init(struct outlier *o)
{
	memset(o, 0, sizeof(*o));
	o->pause_ms = PAUSE_MS;
}

/*
 * Learns what became of a request.  What was shed did not run and costs its
 * caller little, so that a target which sheds a share keeps its slots.
 */
int
outlier_note(struct outlier *o, enum outlier_event e, int slots, int64_t now)
{
	o->trying = 0;
	o->shed += ((e == OUTLIER_SHED) - o->shed) / SHED_SMOOTH;
	if (o->room == 0)
		o->room = slots;
	if (e != OUTLIER_BROKEN) {
		if (o->ejected)
			o->room = 1;
		else if (e == OUTLIER_SERVED)
			o->room = MIN(o->room + 1, slots);
		o->ejected = o->failures = 0;
		if (o->room >= slots)
			o->pause_ms = PAUSE_MS;
		return 0;
	}
	o->room = MAX(o->room * FEWER, 1);
	o->failures++;
	if (!o->ejected && o->failures < EJECT_AT)
		return 0;
	/* What was given to it before comes back as well: one pause for all. */
	if (o->ejected && now < o->try_at)
		return 0;
	o->ejected = 1;
	o->try_at = now + o->pause_ms;
	o->pause_ms = MIN(2 * o->pause_ms, PAUSE_MAX_MS);
	return 1;
}

/* Nobody waits any more. */
void
outlier_forget(struct outlier *o)
{
	o->trying = 0;
}

/* Whether a request may be given to the target. */
int
outlier_admits(const struct outlier *o, int repeatable, int64_t now)
{
	if (!o->ejected)
		return 1;
	if (o->trying || now < o->try_at)
		return 0;
	return repeatable || now >= o->try_at + ANY_TRIAL_MS;
}

/* A request is given to the target. */
void
outlier_begin(struct outlier *o)
{
	if (o->ejected)
		o->trying = 1;
}

/* How many of its slots are used. */
int
outlier_slots(const struct outlier *o, int slots)
{
	if (o->ejected)
		return 1;
	return o->room == 0 ? slots : CLAMP((int)(o->room + 0.5), 1, slots);
}

/* The share of requests that it sheds, in percent. */
int
outlier_shed_percent(const struct outlier *o)
{
	return (int)(o->shed * 100);
}

/* Time until the next trial. */
int
outlier_wait_ms(const struct outlier *o, int64_t now)
{
	return o->ejected ? (int)MAX(o->try_at - now, 1) : 0;
}
