/* Pauses between the requests of a reader to the store, and waits of watches.
 */
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

/*
 * A watch whose answer is lost ends only by its timeout, a little after its
 * wait.  A lost request and the pause before its retry take as long.  Both must
 * end within three seconds of the end of a disturbance: from then on a node
 * counts as connected, and must have everything written since that end.
 */
#define WATCH_WAIT_MS	  1200 /* the store answers a watch by then */
#define WATCH_WAIT_MIN_MS 400  /* the same where answers take long */

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

/*
 * How long a watch waits, ms.  While a large answer arrives, nothing else is
 * known of the operators' part; the wait and the transfer together take
 * WATCH_WAIT_MS.
 */
int
pause_watch_ms(enum platform_part part, int paused, int transfer_ms)
{
	if (part == PLATFORM_OPERATORS)
		return MAX(WATCH_WAIT_MS - transfer_ms, WATCH_WAIT_MIN_MS);
	return paused ? WATCH_WAIT_MS - PAUSE_TARGETS_MS : WATCH_WAIT_MS;
}
