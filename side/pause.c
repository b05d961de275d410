/* Pauses between the requests of a reader to a store that fails. */
#include "follow_int.h"

#define RETRY_MS     150 /* first pause after a failure; it doubles */
#define RETRY_MAX_MS 1000
/*
 * The same while a list is awaited that decides whether an item was removed,
 * as the time of the last failure bounds the decision.
 */
#define RETRY_AWAITED_MAX_MS 500
/*
 * The longest pause of one of many nodes that each read the store for
 * themselves.  They are subscribed to the node of rank 0 as well and are
 * updated as soon as that can read again.
 */
#define RETRY_MANY_MIN_MS  2000
#define RETRY_MANY_EACH_MS 100 /* for each of these nodes */
#define RETRY_MANY_MAX_MS  5000
#define OUTAGE_FAILURES	   2 /* in a row, after which a timeout is an outage */

/* The longest pause, ms. */
int64_t
pause_max_ms(int nwatchers, int awaited)
{
	if (nwatchers > 0)
		return CLAMP((int64_t)nwatchers * RETRY_MANY_EACH_MS,
		    RETRY_MANY_MIN_MS, RETRY_MANY_MAX_MS);
	return awaited ? RETRY_AWAITED_MAX_MS : RETRY_MAX_MS;
}

/* The first pause, ms. */
int64_t
pause_min_ms(void)
{
	return RETRY_MS;
}

/* Equal jitter spreads the retries of nodes that failed together. */
int64_t
pause_next_ms(const struct pause *p)
{
	int64_t ms = MIN((int64_t)RETRY_MS << MIN(p->failures, 8), p->max_ms);

	if (p->helping)
		ms = p->max_ms;
	/*
	 * If many nodes get no answer, the outage is likely to last.  A watch
	 * that is cut and whose history is then compacted gives two failures
	 * in a row without an outage, so this takes more of them.
	 */
	if (p->err == PLATFORM_EDOWN && p->failures >= OUTAGE_FAILURES &&
	    p->max_ms > RETRY_MANY_MIN_MS)
		ms = p->max_ms;
	ms = MAX(ms, MIN(p->retry_after_ms, p->max_ms));
	return ms / 2 + g_random_int_range(0, (int)ms / 2 + 1);
}
