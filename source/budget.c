/* Limits on a node's reads: a token bucket, and backoff after failures. */
#include "source_int.h"

#define BURST_READS   6.0 /* capacity of the bucket */
#define MS_PER_MIN    60000.0
#define DOUBLINGS_MAX 16

/* Initialises a full bucket. */
void
read_budget_init(struct read_budget *b, int per_min, int64_t now)
{
	b->reads_per_ms = per_min / MS_PER_MIN;
	b->burst = BURST_READS;
	b->tokens = BURST_READS;
	b->refilled_at = now;
}

/* Refills the bucket and takes a read if there is one. */
int64_t
read_budget_take(struct read_budget *b, int64_t now)
{
	b->tokens = MIN(b->burst,
	    b->tokens + (double)(now - b->refilled_at) * b->reads_per_ms);
	b->refilled_at = now;
	if (b->tokens >= 1.0) {
		b->tokens -= 1.0;
		return 0;
	}
	return (int64_t)((1.0 - b->tokens) / b->reads_per_ms) + 1;
}

/* Full jitter spreads the retries of nodes that failed together. */
int64_t
backoff_ms(int failures, int64_t base, int64_t max, double random)
{
	int64_t max_pause;

	max_pause = MIN(max, base << MIN(failures, DOUBLINGS_MAX));
	return (int64_t)((double)max_pause * random);
}
