/*
 * Quota of retries over a sliding window: all attempts to reach a service
 * beyond the first one of each request stay within a share of the requests.
 * Half of it is reserved for calls while there are any: a caller repeats a
 * request that was refused, but nobody repeats a call.
 */
#ifndef RETRY_QUOTA_H
#define RETRY_QUOTA_H

#include <stdint.h>

#define RETRY_QUOTA_SLICES 10 /* slices that a window consists of */
/*
 * Slices over which retries are summed.  A window that begins within a slice
 * ends within another one, so a sum over one slice more covers any window.
 */
#define RETRY_QUOTA_SLICES_KEPT (RETRY_QUOTA_SLICES + 1)

struct retry_quota {
	int slice_ms;
	double ratio;	/* retries allowed per request */
	double slack;	/* retries allowed per window in addition */
	int64_t newest; /* number of the current slice */
	int requests[RETRY_QUOTA_SLICES_KEPT];
	int retries[RETRY_QUOTA_SLICES_KEPT];
	int calls[RETRY_QUOTA_SLICES_KEPT];   /* of the requests */
	int callers[RETRY_QUOTA_SLICES_KEPT]; /* of the retries: not of calls */
};

/* Starts an empty window.  Times are monotonic ms. */
void retry_quota_init(
    struct retry_quota *, int window_ms, double ratio, double slack);
/*
 * Sets a node's share of the quota of the whole fleet, whose slack is divided
 * among the given number of nodes; 0 nodes (not known) gives no slack.  Each
 * node uses half of the ratio and half of its slack, so all nodes together make
 * at most half of the allowed retries, however the requests are distributed.
 * The other half is left for the calls that retried requests make in turn:
 * nothing on the wire distinguishes these from first attempts.
 */
void
retry_quota_share(struct retry_quota *, double ratio, double slack, int nodes);
/* Counts the first attempt of a request. */
void retry_quota_add_request(struct retry_quota *, int64_t now);
/* Counts the first attempt of a call, for which a reserve is then kept. */
void retry_quota_add_call(struct retry_quota *, int64_t now);
/*
 * Takes one retry of a caller's request from the quota; returns 0 if the quota
 * is exhausted, or if only the reserve for calls is left of it.
 */
int retry_quota_take(struct retry_quota *, int64_t now);

/* Where a retry of a call was taken from. */
enum retry_taken {
	RETRY_DENIED,
	RETRY_SHARED,  /* a caller's request could have taken it as well */
	RETRY_RESERVE, /* only a call could take it */
};

/* Takes one retry of a call. */
enum retry_taken retry_quota_take_call(struct retry_quota *, int64_t now);

#endif
