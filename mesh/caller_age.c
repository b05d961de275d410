/* The age of a caller's request over all its attempts, by its time limit. */
#include "caller_age.h"

#define SMOOTHING   64 /* a sample has a weight of 1/64 */
#define SAMPLES_MIN 20 /* before anything is concluded */
/* What is left of a whole limit when the request is read, in percent. */
#define FULL_PERCENT 97
/*
 * Callers that are refused come back a few times, so at least this share of the
 * attempts are first ones.  If fewer have the whole limit left, the limits of
 * callers differ.
 */
#define FULL_SHARE_MIN 0.25
#define FULL_SHARE_NEW 0.5 /* assumed when the limit is learnt anew */

/*
 * A single caller with a longer limit sets a limit that no other one has; the
 * next ones then set it anew.
 */
int64_t
caller_age_record(struct caller_age *a, int64_t left_ms)
{
	int full;

	if (left_ms > a->limit_ms || a->full_share < FULL_SHARE_MIN) {
		a->limit_ms = left_ms;
		a->full_share = FULL_SHARE_NEW;
		a->samples = 0;
	}
	full = left_ms * 100 >= a->limit_ms * FULL_PERCENT;
	a->full_share += (full - a->full_share) / SMOOTHING;
	if (a->samples < SAMPLES_MIN)
		a->samples++;
	if (full || a->samples < SAMPLES_MIN)
		return 0;
	return a->limit_ms - left_ms;
}
