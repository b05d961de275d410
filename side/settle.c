/*
 * Whether an item that a complete list lacks was removed.  A target's entry
 * also expires while its server cannot reach the store, which takes an outage
 * of some length.  As long as the store has answered any node within that time,
 * what its lists lack was removed.
 */
#include <string.h>

#include "follow_int.h"

/*
 * Entries that expired during an outage of the store are back about two seconds
 * after its end.
 */
#define SETTLE_MS 2500
/*
 * After the last request that failed was sent: the VM may have been cut off
 * until then, and three seconds later the node counts as connected.
 */
#define OWN_SETTLE_MS 2800
/*
 * An entry expires after three reporting intervals without a report.  Its last
 * report may be one interval old when an outage begins.
 */
#define EXPIRY_INTERVALS 2

/* A reader that starts takes what it reads for complete. */
void
settle_init(struct settle *s, int64_t now)
{
	memset(s, 0, sizeof(*s));
	s->answered_at = s->own_answered_at = now;
	s->asked_at = now - OWN_SETTLE_MS;
}

/*
 * Shorter outages expire no entry.  Without an outage, answers are up to
 * FOLLOW_STALE_MS apart.
 */
void
settle_set_interval(struct settle *s, int report_ms)
{
	s->expiry_ms = MAX(EXPIRY_INTERVALS * report_ms, FOLLOW_STALE_MS);
}

/* The store has answered a node at a time (ms). */
void
settle_answered(struct settle *s, int64_t at)
{
	if (at - s->answered_at > s->expiry_ms)
		settle_begin(s, at);
	s->answered_at = MAX(s->answered_at, at);
}

/*
 * The store has answered this node.  If it could not for long enough, the VM
 * may have been cut off, and the target's entry have expired.
 */
void
settle_own_answered(struct settle *s, int64_t now)
{
	settle_answered(s, now);
	if (s->asked_at > s->own_answered_at &&
	    now - s->own_answered_at >= s->expiry_ms)
		s->own_complete_at = s->asked_at + OWN_SETTLE_MS;
	s->own_answered_at = now;
}

/* From now on, entries that expired are written again. */
void
settle_begin(struct settle *s, int64_t now)
{
	s->complete_at = MAX(s->complete_at, now + SETTLE_MS);
}

/* A request of this node that was sent at a time (ms) has failed. */
void
settle_failed(struct settle *s, int64_t asked_at)
{
	s->asked_at = asked_at;
}

/* Whether lists are complete. */
int
settle_is_complete(const struct settle *s, int64_t now)
{
	return now >= s->complete_at && now - s->answered_at <= s->expiry_ms;
}

/*
 * The same for the target beside this node, whose server is cut off together
 * with it.
 */
int
settle_is_own_complete(const struct settle *s, int64_t now)
{
	return now >= s->own_complete_at;
}

/* Time from which lists are complete in an era that began at since. */
int64_t
settle_era_at(const struct settle *s, int64_t since)
{
	return MAX(since + SETTLE_MS, s->complete_at);
}

/* Time from which they are complete for all targets. */
int64_t
settle_all_at(const struct settle *s, int64_t since)
{
	return MAX(settle_era_at(s, since), s->own_complete_at);
}

/* The same, and requests have not failed for a while. */
int64_t
settle_calm_at(const struct settle *s, int64_t since)
{
	return MAX(settle_all_at(s, since), s->asked_at + OWN_SETTLE_MS);
}
