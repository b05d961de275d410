/*
 * Whether an item that a complete list lacks was removed.  A target's entry
 * also expires while its server cannot reach the store.
 */
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

/* A reader that starts takes what it reads for complete. */
void
settle_init(struct settle *s, int64_t now)
{
	s->failed_at = now - SETTLE_MS;
	s->asked_at = now - OWN_SETTLE_MS;
}

/* A request that was sent at asked_at has failed. */
void
settle_failed(struct settle *s, int64_t asked_at, int64_t now)
{
	s->failed_at = now;
	s->asked_at = asked_at;
}

/* Time from which lists are complete. */
int64_t
settle_at(const struct settle *s)
{
	return s->failed_at + SETTLE_MS;
}

/*
 * The same for the target beside this node, whose server is cut off together
 * with it.
 */
int64_t
settle_own_at(const struct settle *s)
{
	return s->asked_at + OWN_SETTLE_MS;
}

/* The same after the store was restored, when its first answer came at since.
 */
int64_t
settle_era_at(const struct settle *s, int64_t since)
{
	return MAX(since + SETTLE_MS, settle_at(s));
}
