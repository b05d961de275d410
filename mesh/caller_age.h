/*
 * How long ago a caller made its first attempt, which nothing on the wire tells
 * directly: callers of one kind of request start with one time limit, and state
 * what is left of it with each attempt.  Does no I/O and reads no clock.
 */
#ifndef CALLER_AGE_H
#define CALLER_AGE_H

#include <stdint.h>

/* Estimate for one kind of request; starts as zeros. */
struct caller_age {
	int64_t limit_ms;  /* of a first attempt */
	double full_share; /* share of attempts with the whole limit left */
	int samples;
};

/*
 * Records an attempt with left_ms of its time limit left.  Returns the ms since
 * the first attempt of its caller; 0 if it is the first, or if the limits of
 * this kind differ too much to tell.
 */
int64_t caller_age_record(struct caller_age *, int64_t left_ms);

#endif
