/* Quota of retries over a sliding window. */
#include <string.h>

#include "retry_quota.h"

#define SHARE_DIVISOR 2 /* the other half is for calls of retried requests */

static void advance(struct retry_quota *, int64_t);
static int sum(const struct retry_quota *, const int *, int);

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

/* Retries are summed over one slice more than requests; see the header. */
int
retry_quota_take(struct retry_quota *q, int64_t now)
{
	advance(q, now);
	if (sum(q, q->retries, RETRY_QUOTA_SLICES_KEPT) + 1 >
	    q->ratio * sum(q, q->requests, RETRY_QUOTA_SLICES) + q->slack)
		return 0;
	q->retries[q->newest % RETRY_QUOTA_SLICES_KEPT]++;
	return 1;
}
