/* Quota of retries over a sliding window. */
#include <string.h>

#include "retry_quota.h"

#define SHARE_DIVISOR 2 /* the other half is for calls of retried requests */

static void advance(struct retry_quota *, int64_t);
static int sum(const struct retry_quota *, const int *, int);

void
retry_quota_init(
    struct retry_quota *s, int window_ms, double ratio, double slack)
{
	memset(s, 0, sizeof(*s));
	s->slice_ms = window_ms / RETRY_QUOTA_SLICES;
	s->ratio = ratio;
	s->slack = slack;
}

/* Moves the window up to the given time; clears the slices that it reuses. */
static void
advance(struct retry_quota *s, int64_t now)
{
	int64_t slice = now / s->slice_ms;

	if (slice - s->newest > RETRY_QUOTA_SLICES_KEPT)
		s->newest = slice - RETRY_QUOTA_SLICES_KEPT;
	while (s->newest < slice) {
		s->newest++;
		s->requests[s->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
		s->retries[s->newest % RETRY_QUOTA_SLICES_KEPT] = 0;
	}
}

/* Sums the newest slices. */
static int
sum(const struct retry_quota *s, const int *v, int slices)
{
	int i, n = 0;

	for (i = 0; i < slices && i <= s->newest; i++)
		n += v[(s->newest - i) % RETRY_QUOTA_SLICES_KEPT];
	return n;
}

void
retry_quota_share(struct retry_quota *s, double ratio, double slack, int nodes)
{
	s->ratio = ratio / SHARE_DIVISOR;
	s->slack = nodes > 0 ? slack / SHARE_DIVISOR / nodes : 0;
}

void
retry_quota_add_request(struct retry_quota *s, int64_t now)
{
	advance(s, now);
	s->requests[s->newest % RETRY_QUOTA_SLICES_KEPT]++;
}

int
retry_quota_take(struct retry_quota *s, int64_t now)
{
	advance(s, now);
	if (sum(s, s->retries, RETRY_QUOTA_SLICES_KEPT) + 1 >
	    s->ratio * sum(s, s->requests, RETRY_QUOTA_SLICES) + s->slack)
		return 0;
	s->retries[s->newest % RETRY_QUOTA_SLICES_KEPT]++;
	return 1;
}
