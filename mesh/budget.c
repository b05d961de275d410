/*
 * Retry budget: a token bucket that successes fill, so that retries remain a
 * fixed share of successes and cannot amplify an overload.
 */
#include "mesh.h"

/* Starts half full, as a node without traffic has no successes yet. */
void
budget_init(struct budget *b)
{
	b->tokens = BUDGET_MAX / 2;
}

/* Successes beyond BUDGET_MAX tokens are not saved up. */
void
budget_add_success(struct budget *b)
{
	b->tokens = MIN(BUDGET_MAX, b->tokens + BUDGET_PER_SUCCESS);
}

/* Takes whole retries only; a smaller rest stays in the budget. */
int
budget_take_retry(struct budget *b)
{
	if (b->tokens < BUDGET_PER_RETRY)
		return 0;
	b->tokens -= BUDGET_PER_RETRY;
	return 1;
}
