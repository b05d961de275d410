/*
 * Budget of repeats over a sliding window: what goes to a service beyond the
 * first sending of each request stays within a share of the requests.
 */
#ifndef SPEND_H
#define SPEND_H

#include <stdint.h>

#define SPEND_SLICES 10 /* parts of the window */
/*
 * Slices that are counted.  A window that begins inside a slice ends inside
 * another, so that the sum over these covers each window whole.
 */
#define SPEND_COUNTED (SPEND_SLICES + 1)

struct spend {
	int slice_ms;
	double ratio; /* repeats a request */
	double slack; /* repeats that are always allowed in a window */
	int64_t at;   /* slice that is being filled */
	int requests[SPEND_COUNTED];
	int repeats[SPEND_COUNTED];
};

void spend_init(struct spend *, int window_ms, double ratio, double slack);
/*
 * Takes a node's part of what the fleet may spend.  Half of the ratio goes to
 * each request of the node, and half of the slack is divided by the nodes: all
 * nodes together then spend half of the fleet's budget at most, however their
 * requests are spread.  The other half is for the calls of repeated requests,
 * which nothing on the wire tells from others.
 */
void spend_share(struct spend *, double ratio, double slack, int nodes);
/* A request was sent for the first time. */
void spend_request(struct spend *, int64_t now);
/* Takes one repeat from the budget; 0 when it is used up. */
int spend_repeat(struct spend *, int64_t now);

#endif
