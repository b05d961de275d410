/* Slow start: the limit on the slots in use, and detection of slowness. */
#include <math.h>
#include <string.h>

#include "slow_start.h"

#define INITIAL_SLOTS 2
#define DURATION_MS   10000 /* longest slow start; it must end by itself */
/*
 * A start within this time after another one begins with half of what that had
 * reached, so that a target which flaps is not kept at INITIAL_SLOTS.
 */
#define FLAP_MS 3000
/*
 * Answers of a kind in a batch.  If three in ten requests of a kind make no
 * calls, nine in ten batches have one of these.
 */
#define BATCH	     6
#define BATCH_MAX_MS 2500 /* an older batch mixes different states */
/* Batches of a reference before run times are judged by it. */
#define REFERENCE_MIN	 2
#define REFERENCE_WEIGHT 32 /* a batch has a weight of 1/32 */
#define VARIANCE_INITIAL 0.16
/* Below it, rounding and scheduling would count as slowness. */
#define VARIANCE_MIN	 0.04
#define VARIANCE_BATCHES 8   /* before slowness is detected by a reference */
#define GOOD_RATIO	 1.5 /* of the usual run time; above it no growth */
#define SLOW_RATIO	 2.0 /* above it the limit falls */
#define COLD_RATIO	 2.0 /* run times of a cold target are this much longer */
/*
 * Detection of slowness is a sequential test between the usual run times and
 * SLOW_RATIO times these.  Its midpoint is above the usual of a target that
 * becomes slower while all slots are busy.
 */
#define SLOW_MIDPOINT  1.6
#define EVIDENCE_BATCH 4.0 /* most that one batch counts */
#define EVIDENCE_CHECK 5.0 /* for a status check, which costs little */
#define EVIDENCE_BEGIN 10.0
#define EVIDENCE_MAX   10.5
/* Targets that are well pause for 600 ms; the runs in these end later. */
#define CHECK_MIN_MS	  700
#define SLOW_MIN_MS	  1200
#define CHECK_INTERVAL_MS 2000
#define SLOW_INTERVAL_MS  15000 /* between two limits because of slowness */
#define SLOW_USUAL_MS	  10000 /* slowness of this length is the new usual */

const char *const slow_start_reasons[] = {
	[SLOW_START_BOOT] = "boot",
	[SLOW_START_EJECTION] = "ejection",
	[SLOW_START_SLOWNESS] = "slowness",
};

static struct slow_start_kind *find_kind(struct slow_start *, uint32_t);
static int
end_batch(struct slow_start *, const struct slow_start_run *, int64_t);
static void learn(struct slow_start_kind *, double);
static void add_evidence(
    struct slow_start *, const struct slow_start_kind *, double, int64_t);
static enum slow_start_event
detect(struct slow_start *, const struct slow_start_run *, int64_t);
static int lower(struct slow_start *, const struct slow_start_run *);
static enum slow_start_event
grow(struct slow_start *, const struct slow_start_run *, int64_t);

/* Sets times so far in the past that nothing is delayed by them. */
void
slow_start_init(struct slow_start *s)
{
	memset(s, 0, sizeof(*s));
	s->ended_at = s->checked_at = s->not_before = G_MININT32;
}

/* The limit stays as it is. */
void
slow_start_forget(struct slow_start *s)
{
	s->nkinds = 0;
	s->evidence = 0;
}

/*
 * A cold target always begins with INITIAL_SLOTS.  One that is slow begins with
 * half its slots: concurrency is not the cause, and few slots would leave it
 * idle when it recovers.
 */
void
slow_start_begin(
    struct slow_start *s, enum slow_start_reason why, int slots, int64_t now)
{
	double first = MIN(INITIAL_SLOTS, slots);

	if (why == SLOW_START_SLOWNESS)
		first = MAX(first, slots / 2.0);
	else if (why != SLOW_START_BOOT &&
		 (s->active || now - s->ended_at < FLAP_MS))
		first = MAX(first, MIN(s->limit, slots) / 2);
	s->active = 1;
	s->reason = why;
	s->limit = first;
	s->threshold = slots;
	s->began_at = now;
	s->good_full = s->since_down = 0;
	/* Slowness has to end first. */
	s->may_grow = why != SLOW_START_SLOWNESS;
	s->last_ratio = 0;
}

/*
 * Finds or adds a kind.  When the table is full, the one that was not used for
 * longest is replaced.
 */
static struct slow_start_kind *
find_kind(struct slow_start *s, uint32_t kind)
{
	struct slow_start_kind *k, *oldest = s->kinds;
	int i;

	for (i = 0; i < s->nkinds; i++) {
		k = &s->kinds[i];
		if (k->kind == kind) {
			k->last_use = ++s->uses;
			return k;
		}
		if (k->last_use < oldest->last_use)
			oldest = k;
	}
	k = s->nkinds < SLOW_START_KINDS ? &s->kinds[s->nkinds++] : oldest;
	*k = (struct slow_start_kind){ .kind = kind,
		.variance = VARIANCE_INITIAL,
		.last_use = ++s->uses };
	return k;
}

/* The first batches define the reference; later ones change it slowly. */
static void
learn(struct slow_start_kind *k, double lowest)
{
	double weight, d;

	k->batches = MIN(k->batches + 1, REFERENCE_WEIGHT);
	weight = 1.0 / k->batches;
	d = lowest - k->usual;
	k->usual += d * weight;
	if (k->batches > 1)
		k->variance +=
		    (d * d - k->variance) / MAX(k->batches, VARIANCE_BATCHES);
}

/* Adds a batch's log likelihood ratio of slow against usual, bounded. */
static void
add_evidence(struct slow_start *s, const struct slow_start_kind *k, double x,
    int64_t now)
{
	double e = log(SLOW_RATIO) / MAX(k->variance, VARIANCE_MIN) *
		   (x - log(SLOW_MIDPOINT));

	if (s->evidence == 0)
		s->slow_since = now;
	s->evidence =
	    CLAMP(s->evidence + CLAMP(e, -EVIDENCE_BATCH, EVIDENCE_BATCH), 0,
		EVIDENCE_MAX);
}

/*
 * Adds a run time to the batch of its kind.  Returns 1 if that ends the batch
 * and there is a reference, with last_ratio set.
 */
static int
end_batch(struct slow_start *s, const struct slow_start_run *r, int64_t now)
{
	struct slow_start_kind *k = find_kind(s, r->kind);
	double lowest, x;
	int judged;

	if (k->n == 0 || now - k->began_at > BATCH_MAX_MS) {
		k->n = 0;
		k->began_at = now;
		k->lowest_us = r->work_us;
	}
	k->lowest_us = MIN(k->lowest_us, r->work_us);
	if (++k->n < BATCH)
		return 0;
	k->n = 0;
	lowest = log(MAX(k->lowest_us, 1));
	/* What it does while it is cold is not its usual run time. */
	judged = k->batches >= REFERENCE_MIN;
	x = lowest - k->usual - (r->is_cold ? log(COLD_RATIO) : 0);
	if (judged)
		s->last_ratio = (int)MIN(exp(x) * 100, G_MAXINT32);
	if (!r->is_cold) {
		if (k->batches >= VARIANCE_BATCHES)
			add_evidence(s, k, x, now);
		if (s->evidence < EVIDENCE_CHECK)
			learn(k, lowest);
	}
	return judged;
}

/* Reports lasting slowness, and takes it as usual if it stays. */
static enum slow_start_event
detect(struct slow_start *s, const struct slow_start_run *r, int64_t now)
{
	int ratio;

	if (s->evidence < EVIDENCE_CHECK)
		return SLOW_START_NONE;
	if (now - s->slow_since >= SLOW_USUAL_MS) {
		slow_start_forget(s);
		return SLOW_START_NONE;
	}
	if (s->evidence >= EVIDENCE_BEGIN && !s->active &&
	    now - s->slow_since >= SLOW_MIN_MS && now >= s->not_before) {
		s->not_before = now + SLOW_INTERVAL_MS;
		ratio = s->last_ratio;
		slow_start_begin(s, SLOW_START_SLOWNESS, r->slots, now);
		s->last_ratio = ratio;
		s->checked_at = now;
		return SLOW_START_BEGAN;
	}
	if (now - s->slow_since < CHECK_MIN_MS ||
	    now - s->checked_at < CHECK_INTERVAL_MS)
		return SLOW_START_NONE;
	s->checked_at = now;
	return SLOW_START_CHECK;
}

/* Halves the limit, at most once a round; returns whether it fell. */
static int
lower(struct slow_start *s, const struct slow_start_run *r)
{
	double floor = MIN(INITIAL_SLOTS, r->slots), before = s->limit;

	s->good_full = 0;
	if (s->since_down < s->limit)
		return 0;
	s->since_down = 0;
	s->limit = MAX(s->limit / 2, floor);
	s->threshold = s->limit;
	return s->limit < before;
}

/*
 * A good answer adds one slot below the threshold, which doubles the limit with
 * each round, and one slot a round above it.  Answers of a target that uses
 * less than half of the limit do not show that it can take more.
 */
static enum slow_start_event
grow(struct slow_start *s, const struct slow_start_run *r, int64_t now)
{
	if (s->limit >= r->slots) {
		if (++s->good_full < r->slots)
			return SLOW_START_NONE;
		s->active = 0;
		s->ended_at = now;
		return SLOW_START_ENDED;
	}
	if (2 * r->running >= s->limit)
		s->limit += s->limit < s->threshold ? 1 : 1 / s->limit;
	s->limit = MIN(s->limit, r->slots);
	return SLOW_START_NONE;
}

/*
 * A run without a run time, for instance an answer of 500, shows neither that
 * the target can take more nor that it cannot.
 */
enum slow_start_event
slow_start_record(
    struct slow_start *s, const struct slow_start_run *r, int64_t now)
{
	enum slow_start_event e = SLOW_START_NONE;
	int is_slow = 0;

	if (r->work_us >= 0) {
		if (end_batch(s, r, now)) {
			s->may_grow = s->last_ratio <= GOOD_RATIO * 100;
			/* Half its slots is all that slowness alone costs. */
			is_slow = s->last_ratio > SLOW_RATIO * 100 &&
				  s->reason != SLOW_START_SLOWNESS;
		}
		e = detect(s, r, now);
	}
	if (!s->active || e == SLOW_START_BEGAN)
		return e;
	if (now - s->began_at >= DURATION_MS) {
		s->active = 0;
		s->ended_at = now;
		return SLOW_START_ENDED;
	}
	s->since_down++;
	if (r->failed || is_slow)
		return lower(s, r) ? SLOW_START_DOWN : e;
	if (r->work_us < 0 || !s->may_grow)
		return e;
	return grow(s, r, now) == SLOW_START_ENDED ? SLOW_START_ENDED : e;
}

/* The time is checked as well, since a target without load ends no run. */
int
slow_start_slots(const struct slow_start *s, int slots, int64_t now)
{
	if (!s->active || now - s->began_at >= DURATION_MS)
		return MAX(slots, 1);
	return CLAMP((int)s->limit, 1, MAX(slots, 1));
}
