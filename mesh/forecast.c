/* Forecast of answer times, and choice of a target; see load-balancing.md. */
#include <string.h>

#include "forecast.h"

/* Reports are used as they are for this time, and fade out in as much again. */
#define FRESH_MS 600.0
/*
 * The same for the mean of a data centre.  After it another data centre is
 * taken for half as busy as the own one, and may be tried again.
 */
#define AREA_FRESH_MS 2000.0
/* Assumed until something is known: */
#define WORK_UNKNOWN_MS 50.0
#define LOAD_UNKNOWN	0.5
#define BYTES_UNKNOWN	16384.0
/* Exponential averages: a sample has a weight of one by these. */
#define WORK_SMOOTHING	   16
#define SLOWNESS_SMOOTHING 4
#define AREA_SMOOTHING	   8
#define BYTES_SMOOTHING	   16
#define MEASURE_SMOOTHING  8
#define EXCESS_SMOOTHING   64 /* run times vary by more than the delay */
/*
 * A target whose runs fail at once looks fast.  The lower limit bounds how much
 * work that attracts; the fastest targets of known deployments are at 0.6.
 */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 8.0
#define LOAD_MAX     8.0
/*
 * Averages of few run times vary: measured times below FACTOR_FROM of the
 * reported ones have no effect, those above FACTOR_FULL have their full effect.
 */
#define FACTOR_FROM    1.25
#define FACTOR_FULL    1.5
#define FACTOR_MAX     8.0
#define FACTOR_HALF_MS 5000.0 /* without an answer, it falls to a half */
/*
 * A target whose load is x, at most CROWD_LOAD_MAX, counts as if a request took
 * CROWD times x squared run times longer.  So a free slot of a target with half
 * the speed is preferred to the last one of a fast target, which requests of
 * other entries may take first.  Between 1 and 4, 2 gave the shortest answer
 * times with targets that pause.
 */
#define CROWD	       2.0
#define CROWD_LOAD_MAX 2.0
/* The same for the choice of the data centre, of a load of at most 1. */
#define CROWD_SPILL 1.0
/* Targets within this share of the best are chosen from at random. */
#define CHOICE_BAND 1.1
/*
 * Traffic between data centres costs about the worth of an answer for this many
 * bytes.  The margin is the goal times the share of the worth that is spent,
 * and a part of the goal, as answers within it are worth the same.
 */
#define BYTES_OF_WORTH	    90000.0
#define MARGIN_GOAL_DIVISOR 2
#define LONG_BYTES	    (32 * 1024) /* answers above it are streamed */

static struct forecast_kind *
find_kind(const struct forecast_service *, uint32_t);
static struct forecast_kind *add_kind(struct forecast_service *, uint32_t);
static int priority_index(int);
static double fresh_share(int64_t, int64_t, double);
static double time_factor(const struct forecast_target *, int64_t);
static void average(double *, double, int);
static void set_waits(double *, int, double, double);
static double spill_ms(const struct forecast *);
static int meets_goal(const struct forecast_query *, const struct forecast *);
static int is_far_better(const struct forecast_query *, const struct forecast *,
    const struct forecast *);

/* The estimates of a kind, or NULL. */
static struct forecast_kind *
find_kind(const struct forecast_service *s, uint32_t kind)
{
	int i;

	for (i = 0; i < s->nkinds; i++)
		if (s->kinds[i].kind == kind)
			return (struct forecast_kind *)&s->kinds[i];
	return NULL;
}

/*
 * Finds or adds the means of a kind.  When the table is full, those that were
 * not used for longest are replaced.
 */
static struct forecast_kind *
add_kind(struct forecast_service *s, uint32_t kind)
{
	struct forecast_kind *k = find_kind(s, kind);
	int i;

	if (k == NULL && s->nkinds < FORECAST_KINDS) {
		k = &s->kinds[s->nkinds++];
		*k = (struct forecast_kind){ .kind = kind };
	} else if (k == NULL) {
		k = s->kinds;
		for (i = 1; i < s->nkinds; i++)
			if (s->kinds[i].last_use < k->last_use)
				k = &s->kinds[i];
		*k = (struct forecast_kind){ .kind = kind };
	}
	k->last_use = ++s->uses;
	return k;
}

/* Index of a priority in tables of waits. */
static int
priority_index(int priority)
{
	return CLAMP(priority, 0, FORECAST_PRIORITIES - 1);
}

/* Adds a sample to an average; the first one replaces it. */
static void
average(double *mean, double sample, int smoothing)
{
	if (*mean <= 0)
		*mean = sample;
	else
		*mean += (sample - *mean) / smoothing;
}

/* Weight of a report by its age: 1 at first, 0 when it no longer counts. */
static double
fresh_share(int64_t reported_at, int64_t now, double fresh_ms)
{
	if (reported_at == 0)
		return 0;
	return CLAMP(2 - (double)(now - reported_at) / fresh_ms, 0, 1);
}

/*
 * Sets the wait of one priority.  More urgent requests wait no longer than it,
 * and less urgent ones no shorter; a target with free slots has no queue.
 */
static void
set_waits(double *waits, int priority, double wait_ms, double load)
{
	int i;

	for (i = 0; i < FORECAST_PRIORITIES; i++) {
		if (i == priority || (i > priority && load <= 1))
			waits[i] = wait_ms;
		else if (i < priority)
			waits[i] = MIN(waits[i], wait_ms);
		else
			waits[i] = MAX(waits[i], wait_ms);
	}
}

void
forecast_sent(struct forecast_target *t)
{
	t->inflight++;
}

void
forecast_ended(struct forecast_target *t)
{
	t->inflight--;
}

/* The speed is left as it is. */
void
forecast_refresh(
    struct forecast_target *t, const struct forecast_report *r, int64_t now)
{
	t->load = MIN(r->load / 100.0, LOAD_MAX);
	set_waits(t->wait_ms, priority_index(r->priority), r->estimate.wait_ms,
	    t->load);
	t->inflight_then = t->inflight;
	t->reported_at = now;
}

/*
 * A target's speed is kept as a ratio, as run times differ by kind and an entry
 * sees few answers of each target.
 */
void
forecast_reported(struct forecast_service *s, int area,
    struct forecast_target *t, const struct forecast_report *r, int64_t now)
{
	struct forecast_area *a = &s->areas[area];
	struct forecast_kind *k = add_kind(s, r->kind);
	double slowness;
	int i;

	if (r->estimate.work_ms > 0) {
		average(&k->work_ms, r->estimate.work_ms, WORK_SMOOTHING);
		slowness = CLAMP(r->estimate.work_ms / k->work_ms, SLOWNESS_MIN,
		    SLOWNESS_MAX);
		average(&t->slowness, slowness, SLOWNESS_SMOOTHING);
	}
	k->is_call = r->estimate.is_call;
	if (k->bytes >= LONG_BYTES)
		t->link_ms = r->estimate.link_ms;
	forecast_refresh(t, r, now);
	if (fresh_share(a->reported_at, now, AREA_FRESH_MS) <= 0) {
		a->load = t->load;
		memcpy(a->wait_ms, t->wait_ms, sizeof(a->wait_ms));
	}
	a->load += (t->load - a->load) / AREA_SMOOTHING;
	for (i = 0; i < FORECAST_PRIORITIES; i++)
		a->wait_ms[i] +=
		    (t->wait_ms[i] - a->wait_ms[i]) / AREA_SMOOTHING;
	a->reported_at = now;
}

/* Adds a time next to what was told before it. */
static void
add_measurement(
    struct forecast_target *t, double ms, double told_ms, int64_t now)
{
	/* Until answers show otherwise, a target's reports are right. */
	if (t->told_ms <= 0)
		t->measured_ms = t->told_ms = told_ms;
	/* What was measured long ago counts for less. */
	t->measured_ms = MIN(
	    t->measured_ms, t->told_ms * MAX(time_factor(t, now), FACTOR_FULL));
	average(&t->measured_ms, ms, MEASURE_SMOOTHING);
	t->told_ms += (told_ms - t->told_ms) / MEASURE_SMOOTHING;
	t->measured_at = now;
}

/*
 * The average of what answers took more than reported, less the same of the own
 * data centre, is the delay to another one.  One answer counts for no more than
 * the time that was forecast.
 */
void
forecast_measured(struct forecast_service *s, int area,
    struct forecast_target *t, double measured_ms, double told_ms, int64_t now)
{
	struct forecast_area *a = &s->areas[area];
	double excess = CLAMP(measured_ms - told_ms, -told_ms, told_ms);
	double delay = MAX(a->excess_ms - s->areas[FORECAST_NEAR].excess_ms, 0);

	if (area == FORECAST_NEAR)
		delay = 0;
	a->excess_ms += (excess - a->excess_ms) / EXCESS_SMOOTHING;
	add_measurement(t, MAX(measured_ms - delay, 0), told_ms, now);
}

/* A time within what was told shows nothing. */
void
forecast_overdue(
    struct forecast_target *t, double at_least_ms, double told_ms, int64_t now)
{
	if (at_least_ms > told_ms)
		add_measurement(t, at_least_ms, told_ms, now);
}

/* The first size of a kind replaces the one assumed. */
void
forecast_answer_size(struct forecast_service *s, uint32_t kind, double bytes)
{
	average(&add_kind(s, kind)->bytes, MAX(bytes, 1), BYTES_SMOOTHING);
}

/* A kind that no guard has reported on counts as sent by callers. */
int
forecast_is_call(const struct forecast_service *s, uint32_t kind)
{
	const struct forecast_kind *k = find_kind(s, kind);

	return k != NULL && k->is_call;
}

/* Factor by which a target's reports are known to be too low. */
static double
time_factor(const struct forecast_target *t, int64_t now)
{
	double ratio, factor;

	if (t->told_ms <= 0)
		return 1;
	ratio = MIN(t->measured_ms / t->told_ms, FACTOR_MAX);
	factor = 1 + (ratio - FACTOR_FROM) * (FACTOR_FULL - 1) /
			 (FACTOR_FULL - FACTOR_FROM);
	factor = MAX(MIN(ratio, factor), 1);
	/* It gets no work while its factor is high, and may have recovered. */
	return 1 + (factor - 1) /
		       (1 + (double)(now - t->measured_at) / FACTOR_HALF_MS);
}

/*
 * A request whose goal has passed has the margin of one that can meet it.  Data
 * centres that were not heard of lately count as half as busy as the own one:
 * as idle, they would draw the requests of all entries of a busy one.
 */
void
forecast_query(struct forecast_query *q, const struct forecast_service *s,
    uint32_t kind, int priority, int goal_ms, int64_t goal_left_ms, int64_t now)
{
	const struct forecast_kind *k = find_kind(s, kind);
	const struct forecast_area *a;
	double bytes, fresh, unknown_load = LOAD_UNKNOWN, unknown_wait = 0;
	int i;

	q->now = now;
	q->priority = priority_index(priority);
	q->work_ms = k != NULL && k->work_ms > 0 ? k->work_ms : WORK_UNKNOWN_MS;
	q->goal_ms = (double)goal_left_ms;
	bytes = k != NULL && k->bytes > 0 ? k->bytes : BYTES_UNKNOWN;
	q->is_long = bytes >= LONG_BYTES;
	q->margin_ms = goal_ms * MIN(bytes / BYTES_OF_WORTH, 1) +
		       (double)goal_ms / MARGIN_GOAL_DIVISOR;
	for (i = 0; i < FORECAST_AREAS; i++) {
		a = &s->areas[i];
		fresh = fresh_share(a->reported_at, now, AREA_FRESH_MS);
		q->load[i] = unknown_load + fresh * (a->load - unknown_load);
		q->wait_ms[i] =
		    unknown_wait +
		    fresh * (a->wait_ms[q->priority] - unknown_wait);
		q->delay_ms[i] =
		    i == FORECAST_NEAR
			? 0
			: MAX(a->excess_ms - s->areas[FORECAST_NEAR].excess_ms,
			      0);
		if (i == FORECAST_NEAR) {
			unknown_load =
			    MAX((q->load[i] + LOAD_UNKNOWN) / 2, LOAD_UNKNOWN);
			unknown_wait = q->wait_ms[i] / 2;
		}
	}
}

/*
 * All entries prefer the target that answers first, so targets of a busy
 * service tend to equal answer times, slow ones with fewer requests.  Without a
 * recent report, a target is therefore taken for one of average speed in a
 * busy service, and for idle, with its own speed, in an idle one.
 */
void
forecast_target(const struct forecast_query *q, const struct forecast_target *t,
    int area, int slots, struct forecast *f)
{
	double stale, average_share, own, slowness, load, over, full;

	f->area = area;
	f->fresh = fresh_share(t->reported_at, q->now, FRESH_MS);
	stale = 1 - f->fresh;
	f->factor = time_factor(t, q->now);
	slowness = t->slowness > 0 ? t->slowness : 1;
	own = t->inflight - f->fresh * t->inflight_then;
	load = f->fresh * t->load + stale * q->load[area];
	f->load = MAX(load + own / slots, 0);
	f->wait_ms =
	    f->fresh * t->wait_ms[q->priority] + stale * q->wait_ms[area];
	over = MAX(f->load - MAX(load, 1), 0);
	f->told_ms = q->work_ms * slowness * (1 + over) + f->wait_ms;
	average_share = stale * MIN(2 * q->load[area], 1);
	f->run_ms = f->factor * q->work_ms *
		    (slowness + average_share * (1 - slowness));
	f->wait_ms = f->factor * f->wait_ms + over * f->run_ms;
	full = MIN(f->load, CROWD_LOAD_MAX);
	f->crowd_ms = CROWD * full * full * f->run_ms;
	f->link_ms = q->is_long ? f->fresh * t->link_ms : 0;
	f->delay_ms = q->delay_ms[area];
	/* The answer is ready while earlier ones still leave on the link. */
	f->total_ms =
	    MAX(f->run_ms + f->wait_ms, f->link_ms) + f->crowd_ms + f->delay_ms;
	f->capacity = slots / (slowness * f->factor);
}

/* Time by which data centres are compared. */
static double
spill_ms(const struct forecast *f)
{
	double full = MIN(f->load, 1);

	return f->total_ms - f->crowd_ms +
	       CROWD_SPILL * full * full * f->run_ms;
}

/* Whether an answer is expected by the latency goal. */
static int
meets_goal(const struct forecast_query *q, const struct forecast *f)
{
	return f->total_ms - f->crowd_ms <= q->goal_ms;
}

/*
 * Another data centre is chosen to avoid a queue or slow targets, but not for
 * targets that are faster than usual, as within the goal that is worth nothing.
 */
static int
is_far_better(const struct forecast_query *q, const struct forecast *near,
    const struct forecast *far)
{
	double far_ms = spill_ms(far) + MAX(q->work_ms - far->run_ms, 0);

	return spill_ms(near) - far_ms > q->margin_ms ||
	       (!meets_goal(q, near) && meets_goal(q, far));
}

/* Each entry knows of other answers, and so chooses differently from others. */
int
forecast_choose(const struct forecast_query *q, const struct forecast *f, int n,
    double random)
{
	const struct forecast *near = NULL, *far = NULL, *x;
	double left = 0, limit;
	int i, last = -1, is_far;

	for (x = f; x < f + n; x++) {
		if (x->area == FORECAST_NEAR) {
			if (near == NULL || x->total_ms < near->total_ms)
				near = x;
		} else if (far == NULL || x->total_ms < far->total_ms) {
			far = x;
		}
	}
	if (near == NULL && far == NULL)
		return -1;
	is_far = far != NULL && (near == NULL || is_far_better(q, near, far));
	limit = (is_far ? far : near)->total_ms * CHOICE_BAND;
	for (i = 0; i < n; i++)
		if ((f[i].area != FORECAST_NEAR) == is_far &&
		    f[i].total_ms <= limit)
			left += f[i].capacity;
	left *= random;
	for (i = 0; i < n; i++) {
		if ((f[i].area != FORECAST_NEAR) != is_far ||
		    f[i].total_ms > limit)
			continue;
		last = i;
		if ((left -= f[i].capacity) < 0)
			break;
	}
	return last;
}
