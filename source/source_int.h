/* Shared inside the package: the read budget of a node, and its backoff. */
#ifndef SOURCE_INT_H
#define SOURCE_INT_H

#include "source.h"

/* A token bucket of reads. */
struct read_budget {
	double tokens;
	double reads_per_ms;
	double burst;	     /* capacity, in reads */
	int64_t refilled_at; /* ms */
};

/* Initialises a full bucket. */
void read_budget_init(struct read_budget *, int per_min, int64_t now);
/* Takes one read and returns 0, or returns the ms until one is available. */
int64_t read_budget_take(struct read_budget *, int64_t now);
/*
 * Pause in ms with full jitter: random, from 0 to below 1, times the lower of
 * base * 2^failures and max.
 */
int64_t backoff_ms(int failures, int64_t base, int64_t max, double random);

#endif
