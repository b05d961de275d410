/* A node's own limits on reads: a budget, and full jitter after failures. */
#include "source_int.h"

#define BURST	    6.0 /* reads that a node may make at once */
#define MS_PER_MIN  60000.0
#define DOUBLES_MAX 16

/* Starts with a full burst. */
void
read_budget_init(struct read_budget *b, int per_min, int64_t now)
{
	b->per_ms = per_min / MS_PER_MIN;
	b->most = BURST;
	b->tokens = BURST;
	b->filled_at = now;
}

/* Takes a read. */
int64_t
read_budget_take(struct read_budget *b, int64_t now)
{
	b->tokens =
	    MIN(b->most, b->tokens + (double)(now - b->filled_at) * b->per_ms);
	b->filled_at = now;
	if (b->tokens >= 1.0) {
		b->tokens -= 1.0;
		return 0;
	}
	return (int64_t)((1.0 - b->tokens) / b->per_ms) + 1;
}

/* Full jitter, so that those who failed together do not return together. */
int64_t
backoff_ms(int failures, int64_t base, int64_t max, double random)
{
	int64_t ceiling;

	ceiling = MIN(max, base << MIN(failures, DOUBLES_MAX));
	return (int64_t)((double)ceiling * random);
}
