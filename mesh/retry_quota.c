/* Quota of retries over a sliding window. */
#include <string.h>

#include "retry_quota.h"

#define SHARE_DIVISOR 2 /* the other half is for calls of retried requests */
#define CALLS_DIVISOR 2 /* callers may use half, while there are calls */

static void advance(struct retry_quota *, int64_t);
static int sum(const struct retry_quota *, const int *, int);
static int is_left(const struct retry_quota *, const int *, double);
static int is_left_for_callers(const struct retry_quota *);

/* window_ms is divided into RETRY_QUOTA_SLICES equal slices. */
void
retry_quota_init(
    struct retry_quota *q, int window_ms, double ratio, double slack)
{
	memset(q, 0, sizeof(*q));
	q->slice_ms = window_ms / RETRY_QUOTA_SLICES;
	q->ratio = ratio;
	q->slack = slack;
}

/* Moves the window up to the given time; clears the slices that it reuses. */
static void
advance(struct retry_quota *q, int64_t now)
{
	int64_t slice = now / q->slice_ms;

	if (slice - q->newest > RETRY_QUOTA_SLICES_KEPT)
		q->newest = slice - RETRY_QUOTA_SLICES_KEPT;
	while (q->newest < slice) {
		q->newest++;
		q->requests[q->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
		q->retries[q->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
		q->calls[q->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
		q->callers[q->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
	}
}

/* Sums the newest slices. */
static int
sum(const struct retry_quota *q, const int *v, int slices)
{
	int i, n = 0;

	for (i = 0; i < slices && i <= q->newest; i++)
		n += v[(q->newest - i) % RETRY_QUOTA_SLICES_KEPT];
	return n;
}

/* Counts of the current window stay; only the limits change. */
void
retry_quota_share(struct retry_quota *q, double ratio, double slack, int nodes)
{
	q->ratio = ratio / SHARE_DIVISOR;
	q->slack = nodes > 0 ? slack / SHARE_DIVISOR / nodes : 0;
}

/* A retry of the same request is counted by retry_quota_take only. */
void
retry_quota_add_request(struct retry_quota *q, int64_t now)
{
	advance(q, now);
	q->requests[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
}

/* A call is a request as well. */
void
retry_quota_add_call(struct retry_quota *q, int64_t now)
{
	retry_quota_add_request(q, now);
	q->calls[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
}

/* Retries are summed over one slice more than requests; see the header. */
static int
is_left(const struct retry_quota *q, const int *retries, double share)
{
	double limit =
	    q->ratio * sum(q, q->requests, RETRY_QUOTA_SLICES) + q->slack;

	return sum(q, retries, RETRY_QUOTA_SLICES_KEPT) + 1 <= limit * share;
}

/* Whether the part of the quota that callers' requests may use is left. */
static int
is_left_for_callers(const struct retry_quota *q)
{
	return sum(q, q->calls, RETRY_QUOTA_SLICES) == 0 ||
	       is_left(q, q->callers, 1.0 / CALLS_DIVISOR);
}

/* Without calls in the window there is no reserve. */
int
retry_quota_take(struct retry_quota *q, int64_t now)
{
	advance(q, now);
	if (!is_left(q, q->retries, 1) || !is_left_for_callers(q))
		return 0;
	q->retries[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
	q->callers[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
	return 1;
}

/* Calls may use the whole quota. */
enum retry_taken
retry_quota_take_call(struct retry_quota *q, int64_t now)
{
	advance(q, now);
	if (!is_left(q, q->retries, 1))
		return RETRY_DENIED;
	q->retries[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
	return is_left_for_callers(q) ? RETRY_SHARED : RETRY_RESERVE;
}
