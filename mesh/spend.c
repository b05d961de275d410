/* Budget of repeats over a sliding window. */
#include <string.h>

#include "spend.h"

static void move(struct spend *, int64_t);
static int sum(const int *);

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

	if (slice - s->at > SPEND_SLICES)
		s->at = slice - SPEND_SLICES;
	while (s->at < slice) {
		s->at++;
		s->requests[s->at % SPEND_SLICES] = 0;
		s->repeats[s->at % SPEND_SLICES] = 0;
	}
}

static int
sum(const int *v)
{
	int i, n = 0;

	for (i = 0; i < SPEND_SLICES; i++)
		n += v[i];
	return n;
}

/* Counts a request. */
void
spend_request(struct spend *s, int64_t now)
{
	move(s, now);
	s->requests[s->at % SPEND_SLICES]++;
}

/* Takes a repeat. */
int
spend_repeat(struct spend *s, int64_t now)
{
	move(s, now);
	if (sum(s->repeats) + 1 > s->ratio * sum(s->requests) + s->slack)
		return 0;
	s->repeats[s->at % SPEND_SLICES]++;
	return 1;
}
