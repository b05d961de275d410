/* Admission of parents by the health of the services that they call. */
#include "callee_health.h"
#include "../base/base.h"

#define RUNS_MAX	64  /* older runs of a kind count half */
#define RATIO_MAX	256 /* and so older parents and their calls */
#define USUAL_MS	2000 /* time without a limit after which a rate is usual */
#define PARENT_FAILURES 4    /* least number that makes a kind a parent */
/*
 * A kind is a parent if at least a quarter of its runs fail while calls fail,
 * which is twice as many as otherwise.  Runs of other kinds are under way while
 * calls fail as well, but do not fail with them.
 */
#define PARENT_DIVISOR 4
#define PARENT_FACTOR  2

static void advance(struct callee_health *, int64_t);
static int sum(const int *);
static struct callee_kind *find_kind(struct callee_health *, uint32_t);
static void count_run(struct callee_runs *, int);
static int is_limited(struct callee_health *, int64_t);
static int has_usual(const struct callee_health *, int64_t);
static int within_rate(const struct callee_health *, int, int64_t);

/* Moves the window up to the given time. */
static void
advance(struct callee_health *h, int64_t now)
{
	int64_t slice = now / CALLEE_SLICE_MS;
	int i;

	if (slice - h->slice > CALLEE_SLICES)
		h->slice = slice - CALLEE_SLICES;
	while (h->slice < slice) {
		i = (int)(++h->slice % CALLEE_SLICES);
		h->served[i] = h->failed[i] = h->started[i] = 0;
	}
}

/* Sum over the window. */
static int
sum(const int *v)
{
	int i, n = 0;

	for (i = 0; i < CALLEE_SLICES; i++)
		n += v[i];
	return n;
}

/* Calls of all kinds of parents count together. */
void
callee_call_ended(struct callee_health *h, int served, int64_t now)
{
	advance(h, now);
	if (served)
		h->served[h->slice % CALLEE_SLICES]++;
	else
		h->failed[h->slice % CALLEE_SLICES]++;
	if (!served)
		h->failed_at = now;
	h->calls++;
}

/* Returns the record of a kind, or NULL. */
static struct callee_kind *
find_kind(struct callee_health *h, uint32_t kind)
{
	int i;

	for (i = 0; i < h->n; i++)
		if (h->kinds[i].kind == kind)
			return &h->kinds[i];
	return NULL;
}

/* Old runs lose weight, as a new program of the target may call others. */
static void
count_run(struct callee_runs *r, int failed)
{
	if (r->ended == RUNS_MAX) {
		r->ended /= 2;
		r->failed /= 2;
	}
	r->ended++;
	r->failed += failed != 0;
}

/* A call that failed during the run may have been its own. */
void
callee_run_ended(
    struct callee_health *h, uint32_t kind, int failed, int64_t began)
{
	struct callee_kind *k = find_kind(h, kind);

	if (k == NULL) {
		if (h->n == CALLEE_KINDS_MAX)
			return;
		k = &h->kinds[h->n++];
		*k = (struct callee_kind){ .kind = kind };
	}
	count_run(
	    h->failed_at > 0 && h->failed_at >= began ? &k->troubled : &k->calm,
	    failed);
}

/* Compares the kind's failures with and without failed calls. */
int
callee_is_parent(const struct callee_health *h, uint32_t kind)
{
	const struct callee_kind *k =
	    find_kind((struct callee_health *)h, kind);

	return k != NULL && k->troubled.failed >= PARENT_FAILURES &&
	       k->troubled.failed * PARENT_DIVISOR >= k->troubled.ended &&
	       k->troubled.failed * k->calm.ended >=
		   PARENT_FACTOR * k->calm.failed * k->troubled.ended;
}

/* Whether parents have been counted for a whole window. */
static int
has_usual(const struct callee_health *h, int64_t now)
{
	return h->known_at > 0 &&
	       now - h->known_at >= CALLEE_SLICES * CALLEE_SLICE_MS;
}

/*
 * Whether too few calls are served.  Once limited there are few calls, so a
 * small number of them does not end that; a second without a failure does.
 */
static int
is_limited(struct callee_health *h, int64_t now)
{
	int served, failed, was = h->limited;

	advance(h, now);
	served = sum(h->served);
	failed = sum(h->failed);
	if (failed == 0)
		h->limited = 0;
	else if (served + failed >= CALLEE_CALLS_MIN)
		h->limited =
		    served * 100 < (served + failed) * CALLEE_SERVED_PERCENT;
	/* Soon after a limit, the window does not show the usual rate. */
	if (h->limited && (!was || !has_usual(h, now)))
		h->usual = MAX(sum(h->started),
		    now - h->limited_at < USUAL_MS ? h->usual : 0);
	if (h->limited)
		h->limited_at = now;
	return h->limited;
}

/*
 * Whether another parent keeps to the rate at which calls are served.  For one
 * that may run once that is the number of calls served in the last second.  A
 * callee that refuses a share of all calls, however few, would bring that rate
 * down to the trials.  So repeatable parents are admitted at the served share
 * of the rate that was usual before.
 */
static int
within_rate(const struct callee_health *h, int repeatable, int64_t now)
{
	int started = sum(h->started) + 1, served = sum(h->served);
	double each = 1; /* calls of a parent */

	if (h->parents > 0)
		each = MAX(h->calls / h->parents, 1);
	if (started * each <= served)
		return 1;
	return repeatable &&
	       (!has_usual(h, now) ||
		   started * (served + sum(h->failed)) <= h->usual * served);
}

/*
 * A request that may run only once is no trial while repeatable ones are
 * offered: these can be tried again when they fail.
 */
int
callee_admits(
    struct callee_health *h, uint32_t kind, int repeatable, int64_t now)
{
	if (!callee_is_parent(h, kind))
		return 1;
	if (repeatable)
		h->repeatable_at = now;
	if (!is_limited(h, now) || within_rate(h, repeatable, now))
		return 1;
	return now - h->started_at >= CALLEE_TRIAL_MS &&
	       (repeatable || h->repeatable_at == 0 ||
		   now - h->repeatable_at > CALLEE_SLICES * CALLEE_SLICE_MS);
}

/* The mean number of calls is that of the last RATIO_MAX parents. */
void
callee_admitted(struct callee_health *h, uint32_t kind, int64_t now)
{
	if (!callee_is_parent(h, kind))
		return;
	advance(h, now);
	if (h->known_at == 0)
		h->known_at = now;
	h->started[h->slice % CALLEE_SLICES]++;
	h->started_at = now;
	/* Calls before the first parent was known are not its calls. */
	if (h->parents == 0)
		h->calls = 0;
	if (++h->parents >= RATIO_MAX) {
		h->parents /= 2;
		h->calls /= 2;
	}
}

/* For the log. */
void
callee_window(struct callee_health *h, int64_t now, int *served, int *failed,
    int *started)
{
	advance(h, now);
	*served = sum(h->served);
	*failed = sum(h->failed);
	*started = sum(h->started);
}

/* The order of the table does not matter. */
void
callee_retain(struct callee_health *h, const uint32_t *kinds, int n)
{
	int i = 0, k;

	while (i < h->n) {
		for (k = 0; k < n && kinds[k] != h->kinds[i].kind; k++)
			;
		if (k < n)
			i++;
		else
			h->kinds[i] = h->kinds[--h->n];
	}
}
