/* Budget of repeats over a sliding window. */
#include <string.h>

#include "spend.h"

#define OF_REPEATS 2 /* of the budget's parts one is for repeats */

static void move(struct spend *, int64_t);
static int sum(const struct spend *, const int *, int);

/* Prepares a budget. */
void
spend_init(struct spend *s, int window_ms, double ratio, double slack)
{
	memset(s, 0, sizeof(*s));
	s->slice_ms = window_ms / SPEND_SLICES;
	s->ratio = ratio;
	s->slack = slack;
}

/* Empties the slices that have left the window. */
static void
move(struct spend *s, int64_t now)
{
	int64_t slice = now / s->slice_ms;

	if (slice - s->at > SPEND_COUNTED)
		s->at = slice - SPEND_COUNTED;
	while (s->at < slice) {
		s->at++;
		s->requests[s->at % SPEND_COUNTED] = 0;
		s->repeats[s->at % SPEND_COUNTED] = 0;
	}
}

/* Sum of the newest slices. */
static int
sum(const struct spend *s, const int *v, int slices)
{
	int i, n = 0;

	for (i = 0; i < slices && i <= s->at; i++)
		n += v[(s->at - i) % SPEND_COUNTED];
	return n;
}

/* Takes a node's part of the fleet's budget. */
void
spend_share(struct spend *s, double ratio, double slack, int nodes)
{
	s->ratio = ratio / OF_REPEATS;
	s->slack = nodes > 0 ? slack / OF_REPEATS / nodes : 0;
}

/* Counts a request. */
void
spend_request(struct spend *s, int64_t now)
{
	move(s, now);
	s->requests[s->at % SPEND_COUNTED]++;
}

/* Takes a repeat. */
int
spend_repeat(struct spend *s, int64_t now)
{
	move(s, now);
	if (sum(s, s->repeats, SPEND_COUNTED) + 1 >
	    s->ratio * sum(s, s->requests, SPEND_SLICES) + s->slack)
		return 0;
	s->repeats[s->at % SPEND_COUNTED]++;
	return 1;
}
