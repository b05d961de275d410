/* Retry budget: retries are a share of successes, so they cannot multiply. */
#include "mesh.h"

/* Starts with a few retries, as a node without traffic has no successes. */
void
budget_init(struct budget *b)
{
	b->tokens = BUDGET_MAX / 2;
}

/* Earns a share of a retry. */
void
budget_success(struct budget *b)
{
	b->tokens = MIN(BUDGET_MAX, b->tokens + BUDGET_PER_SUCCESS);
}

/* Takes a whole retry, if there is one. */
int
budget_retry(struct budget *b)
{
	if (b->tokens < BUDGET_PER_RETRY)
		return 0;
	b->tokens -= BUDGET_PER_RETRY;
	return 1;
}
