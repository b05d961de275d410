/*
 * Outlier detection for a target that fails requests although it has free
 * slots: decides how many of its slots are used and when it is ejected.  It is
 * judged by the results of real requests, since neither its entry in the store
 * nor its health check shows such failures.  Does no I/O and reads no clock:
 * now is the current monotonic time in ms.
 */
#ifndef OUTLIER_H
#define OUTLIER_H

#include "../base/base.h"

/* Result of a request that was sent to the target. */
enum outlier_event {
	OUTLIER_SERVED,
	OUTLIER_SHED,	/* the target states that it did not run it */
	OUTLIER_BROKEN, /* no answer, or an incomplete one */
	OUTLIER_EVENTS
};

struct outlier {
	double usable_slots; /* 0 until the first result */
	double shed_rate;    /* share of requests shed, exponential average */
	int failures;	     /* broken requests in a row */
	int ejected;	     /* 1: the target gets trial requests only */
	int64_t try_at;	     /* earliest time of the next trial while ejected */
	int pause_ms;	     /* before the trial after the next one */
	int trial_running;   /* 1: a trial request is in flight */
};

void outlier_init(struct outlier *);
/*
 * Records the result of a request; slots is how many the target has.  Returns
 * 1 if the result ejects the target or extends its ejection, otherwise 0.
 */
int
outlier_record(struct outlier *, enum outlier_event, int slots, int64_t now);
/* Handles a cancelled request, which shows nothing about the target. */
void outlier_cancel(struct outlier *);
/*
 * Whether a request may be sent to the target now.  A request that may run at
 * most once is used as a trial of an ejected target only if no repeatable one
 * has arrived for a while, since the trial may well fail.
 */
int outlier_admits(const struct outlier *, int repeatable, int64_t now);
/* Records that a request is sent; it is a trial if the target is ejected. */
void outlier_start(struct outlier *);
/* Number of the target's slots that may be used now, at least 1. */
int outlier_slots(const struct outlier *, int slots);
/* Share of the requests that the target sheds, in percent. */
int outlier_shed_percent(const struct outlier *);
/* ms until the next trial, at least 1; 0 if the target is not ejected. */
int outlier_wait_ms(const struct outlier *, int64_t now);

#endif
