/*
 * Budget of repeats over a sliding window: what goes to a service beyond the
 * first sending of each request stays within a share of the requests.
 */
#ifndef SPEND_H
#define SPEND_H

#include <stdint.h>

#define SPEND_SLICES 10 /* parts of the window */

struct spend {
	int slice_ms;
	double ratio; /* repeats a request */
	double slack; /* repeats that are always allowed in a window */
	int64_t at;   /* slice that is being filled */
	int requests[SPEND_SLICES];
	int repeats[SPEND_SLICES];
};

void spend_init(struct spend *, int window_ms, double ratio, double slack);
/* A request was sent for the first time. */
void spend_request(struct spend *, int64_t now);
/* Takes one repeat from the budget; 0 when it is used up. */
int spend_repeat(struct spend *, int64_t now);

#endif
