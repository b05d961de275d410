/* Shared inside the package: the node's own budget of reads. */
#ifndef SOURCE_INT_H
#define SOURCE_INT_H

#include "source.h"

/* A bucket of reads that fills at a steady rate. */
struct read_budget {
	double tokens;
	double per_ms;
	double most;
	int64_t filled_at;
};

void read_budget_init(struct read_budget *, int per_min, int64_t now);
/* Takes one read; otherwise ms until there is one. */
int64_t read_budget_take(struct read_budget *, int64_t now);
/* Full jitter: a random part of base * 2^failures, at most max. */
int64_t backoff_ms(int failures, int64_t base, int64_t max, double random);

#endif
