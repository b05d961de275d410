/* Admission control for a target: slots, queue order, warm-up, estimates. */
#include <string.h>

#include "admit_int.h"

#define INITIAL_WORK_US 50000 /* estimate before the first answer */
#define US_PER_MS	1000
#define US_PER_S	1000000
#define WORK_SMOOTHING	8    /* a sample has a weight of 1/8 */
#define HELD_RATIO	2    /* of slot times to answered runs */
#define SLOT_SMOOTHING	16   /* a sample has a weight of 1/16 */
#define COLD_WINDOW_MS	1000 /* the rate of a cold target holds per window */
/*
 * A request is started only if at least this percentage of its usual run time
 * is left before its deadline.  One run in five takes less than half the mean,
 * so a request with less time left than the mean may still be answered.
 */
#define MIN_FIT_PERCENT	  50
#define FAILURE_SMOOTHING 16  /* a sample has a weight of 1/16 */
#define FAILING_RATE	  0.5 /* a kind above it gets only slots left over */
#define REFUSAL_DECAY	  128 /* a refusal lowers the failure rate by 1/128 */

static int fit_ms(const struct admit *, uint32_t);
static int precedes(const struct admit *, const struct admit_request *,
    const struct admit_request *, int64_t);
static int is_cold(const struct admit *, int64_t);
static int64_t next_cold_start(const struct admit *, int64_t);
static int slot_time_us(const struct admit *);
static int count_ahead(const struct admit *, int, int, int);
static int count_reserve_ahead(const struct admit *, int);
static int wait_ms(const struct admit *, uint32_t, int, int, int64_t);

/* One slot at a time until admit_set_slots is called. */
void
admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	a->slots = 1;
	a->mean_us = a->slot_us = INITIAL_WORK_US;
	a->waiting = g_array_new(FALSE, FALSE, sizeof(struct admit_request));
}

/* Queued requests are dropped; their cookies are not freed. */
void
admit_clear(struct admit *a)
{
	g_array_free(a->waiting, TRUE);
}

/* Fewer slots than running requests only delay the next start. */
void
admit_set_slots(struct admit *a, int slots)
{
	a->slots = MAX(slots, 1);
}

/* The rate is clamped to the number of start times that are kept. */
void
admit_set_cold(struct admit *a, int64_t until, int per_s)
{
	a->cold_per_s = CLAMP(per_s, 1, ADMIT_STARTS_MAX);
	a->cold_until = until;
}

/* Adds n start times to the ring. */
void
admit_assume_starts(struct admit *a, int n, int64_t now)
{
	while (n-- > 0)
		a->starts[a->nstarts++ % ADMIT_STARTS_MAX] = now;
}

/* Whether the start rate is limited now. */
static int
is_cold(const struct admit *a, int64_t now)
{
	return a->cold_per_s > 0 && now < a->cold_until;
}

/* Earliest time of the next start at a cold target, or 0 without a limit. */
static int64_t
next_cold_start(const struct admit *a, int64_t now)
{
	if (!is_cold(a, now) || a->nstarts < a->cold_per_s)
		return 0;
	return a->starts[(a->nstarts - a->cold_per_s) % ADMIT_STARTS_MAX] +
	       COLD_WINDOW_MS;
}

/*
 * Finds or adds the estimates of a kind.  When the table is full, the entry
 * that was not used for longest is replaced; those of runs from the reserve are
 * kept.
 */
struct admit_kind *
admit_kind_get(struct admit *a, uint32_t kind)
{
	struct admit_kind *k, *oldest = NULL;
	int i;

	for (i = 0; i < a->nkinds; i++) {
		k = &a->kinds[i];
		if (k->kind == kind) {
			k->last_use = ++a->uses;
			return k;
		}
		if (k->reserved == 0 &&
		    (oldest == NULL || k->last_use < oldest->last_use))
			oldest = k;
	}
	k = a->nkinds < ADMIT_KINDS ? &a->kinds[a->nkinds++] : oldest;
	*k = (struct admit_kind){
		.kind = kind, .work_us = a->mean_us, .last_use = ++a->uses
	};
	return k;
}

/* The estimates of a kind, or NULL. */
const struct admit_kind *
admit_kind_find(const struct admit *a, uint32_t kind)
{
	int i;

	for (i = 0; i < a->nkinds; i++)
		if (a->kinds[i].kind == kind)
			return &a->kinds[i];
	return NULL;
}

/* A kind without estimates of its own is taken for an average one. */
int
admit_work_ms(const struct admit *a, uint32_t kind)
{
	const struct admit_kind *k = admit_kind_find(a, kind);

	return (k != NULL ? k->work_us : a->mean_us) / US_PER_MS;
}

/* A kind that is not in the table has none. */
int
admit_samples(const struct admit *a, uint32_t kind)
{
	const struct admit_kind *k = admit_kind_find(a, kind);

	return k != NULL ? k->samples : 0;
}

/*
 * The run times of other kinds say nothing about one that was not measured: if
 * it were refused for them, it never would be.
 */
int
admit_measured_ms(const struct admit *a, uint32_t kind)
{
	return admit_samples(a, kind) > 0 ? admit_work_ms(a, kind) : 0;
}

/* The least time that a request needs before its deadline. */
static int
fit_ms(const struct admit *a, uint32_t kind)
{
	return admit_measured_ms(a, kind) * MIN_FIT_PERCENT / 100;
}

/* Whether the failure rate of a kind is above FAILING_RATE. */
int
admit_is_failing(const struct admit *a, uint32_t kind)
{
	const struct admit_kind *k = admit_kind_find(a, kind);

	return k != NULL && k->failure_rate > FAILING_RATE;
}

/* Updates the failure rate of a kind. */
void
admit_record(struct admit *a, uint32_t kind, int failed)
{
	struct admit_kind *k = admit_kind_get(a, kind);

	k->failure_rate +=
	    ((failed != 0) - k->failure_rate) / FAILURE_SMOOTHING;
}

/*
 * Queue order: kinds that mostly fail come last, then the priority decides.
 * Within a priority, calls come first, as each holds a slot of its parent's
 * target until its deadline; then what can still meet its latency goal, then
 * the earlier goal.
 */
static int
precedes(const struct admit *a, const struct admit_request *x,
    const struct admit_request *y, int64_t now)
{
	int late_x = x->goal <= now;
	int failing_x = admit_is_failing(a, x->kind);

	if (failing_x != admit_is_failing(a, y->kind))
		return !failing_x;
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->is_call != y->is_call)
		return x->is_call;
	if (late_x != (y->goal <= now))
		return !late_x;
	return x->goal < y->goal;
}

/* Queued requests expected to run before a new one; ignores their goals. */
static int
count_ahead(const struct admit *a, int priority, int is_call, int failing)
{
	const struct admit_request *r;
	int n = 0;
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		n +=
		    (r->priority < priority || (r->priority == priority &&
						   (r->is_call || !is_call))) &&
		    (failing || !admit_is_failing(a, r->kind));
	}
	return n;
}

/* The same for a request that may be started from the reserve. */
static int
count_reserve_ahead(const struct admit *a, int priority)
{
	const struct admit_request *r;
	int n = 0;
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		n += r->priority < priority ||
		     (r->priority == priority && admit_is_small(a, r->kind));
	}
	return n;
}

/*
 * Time that a run holds its slot.  Runs without an answer count once they
 * dominate; the few that any service has would refuse too much.
 */
static int
slot_time_us(const struct admit *a)
{
	return a->slot_us > HELD_RATIO * a->mean_us ? a->slot_us : a->mean_us;
}

/* The wait for a free slot or for the rate of a cold target, if longer. */
static int
wait_ms(const struct admit *a, uint32_t kind, int priority, int is_call,
    int64_t now)
{
	int ahead, over, wait = 0;
	int64_t cold;

	if (admit_is_small(a, kind) && admit_reserve_has_room(a))
		ahead = count_reserve_ahead(a, priority);
	else
		ahead = count_ahead(
		    a, priority, is_call, admit_is_failing(a, kind));
	over = a->running + ahead + 1 - a->slots;
	if (over > 0)
		wait = (int)((int64_t)over * slot_time_us(a) / a->slots /
			     US_PER_MS);
	if (is_cold(a, now)) {
		cold = MAX(next_cold_start(a, now) - now, 0) +
		       (int64_t)ahead * COLD_WINDOW_MS / a->cold_per_s;
		wait = MAX(wait, (int)cold);
	}
	return wait;
}

/* For a request of a caller. */
int
admit_wait_ms(const struct admit *a, uint32_t kind, int priority, int64_t now)
{
	return wait_ms(a, kind, priority, 0, now);
}

/* For a call. */
int
admit_call_wait_ms(
    const struct admit *a, uint32_t kind, int priority, int64_t now)
{
	return wait_ms(a, kind, priority, 1, now);
}

/*
 * Queues a request if the estimates allow an answer within its latency goal;
 * a request that is past its goal is queued only while a slot is free.  A
 * request that is more urgent than others seen so far only needs to meet its
 * deadline: less urgent requests give way, and its caller, which may hold a
 * slot of another target while it waits, still gets an answer.  The same holds
 * for a call.
 */
enum admit_verdict
admit_offer(struct admit *a, const struct admit_request *r, int64_t now)
{
	int work = admit_measured_ms(a, r->kind), wait;
	struct admit_kind *k;
	int64_t until;
	guint i;

	if (now + fit_ms(a, r->kind) >= r->deadline)
		return ADMIT_LATE;
	wait = wait_ms(a, r->kind, r->priority, r->is_call, now);
	if (wait > 0 && admit_is_failing(a, r->kind)) {
		/*
		 * Refusals lower the failure rate, so that the kind is tried
		 * again in case the cause of its failures is gone.
		 */
		k = admit_kind_get(a, r->kind);
		k->failure_rate -= k->failure_rate / REFUSAL_DECAY;
		return ADMIT_BUSY;
	}
	a->lowest_priority = MAX(a->lowest_priority, r->priority);
	until = r->is_call || r->priority < a->lowest_priority ? r->deadline
							       : r->goal;
	if (wait > 0 && now + wait + work > until)
		return ADMIT_BUSY;
	for (i = 0; i < a->waiting->len; i++)
		if (precedes(a, r,
			&g_array_index(a->waiting, struct admit_request, i),
			now))
			break;
	g_array_insert_val(a->waiting, i, *r);
	return ADMIT_WAIT;
}

/* Requests that can no longer meet their deadline are returned first. */
int
admit_next(struct admit *a, struct admit_request *r, int64_t now)
{
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		*r = g_array_index(a->waiting, struct admit_request, i);
		if (now + fit_ms(a, r->kind) >= r->deadline) {
			g_array_remove_index(a->waiting, i);
			return -1;
		}
	}
	if (a->waiting->len == 0 || a->running >= a->slots ||
	    next_cold_start(a, now) > now)
		return 0;
	i = admit_reserve_pick(a);
	*r = g_array_index(a->waiting, struct admit_request, i);
	g_array_remove_index(a->waiting, i);
	a->running++;
	/*
	 * Starts are recorded even while no rate limit is set, since a target
	 * may be cold for some time before admit_set_cold is called.
	 */
	admit_assume_starts(a, 1, now);
	return 1;
}

/*
 * The next start at a cold target while a slot is free, or the time at which
 * a queued request can no longer meet its deadline, whichever is earlier.
 */
int64_t
admit_next_at(const struct admit *a, int64_t now)
{
	const struct admit_request *r;
	int64_t wake = 0, t;
	guint i;

	if (a->waiting->len == 0)
		return 0;
	if (a->running < a->slots)
		wake = next_cold_start(a, now);
	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		t = r->deadline - fit_ms(a, r->kind);
		if (wake == 0 || t < wake)
			wake = t;
	}
	return wake;
}

/* A running request is not affected; it ends by admit_done. */
int
admit_cancel(struct admit *a, const void *cookie)
{
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		if (g_array_index(a->waiting, struct admit_request, i).cookie !=
		    cookie)
			continue;
		g_array_remove_index(a->waiting, i);
		return 1;
	}
	return 0;
}

/* The first sample of a kind replaces the mean that it started with. */
void
admit_done(struct admit *a, uint32_t kind, int work_us)
{
	struct admit_kind *k = admit_kind_get(a, kind);

	a->running--;
	/* A run without a time of its own counts as a usual one. */
	admit_reserve_ended(a, k, work_us >= 0 ? work_us : k->work_us);
	if (work_us < 0)
		return;
	if (k->samples == 0)
		k->work_us = work_us;
	k->samples++;
	k->work_us += (work_us - k->work_us) / WORK_SMOOTHING;
	a->mean_us += (work_us - a->mean_us) / WORK_SMOOTHING;
	a->slot_us += (work_us - a->slot_us) / SLOT_SMOOTHING;
}

/* The run held its slot although it brought no answer. */
void
admit_abandoned(struct admit *a, uint32_t kind, int held_us)
{
	a->running--;
	admit_reserve_ended(a, admit_kind_get(a, kind), held_us);
	a->slot_us += (held_us - a->slot_us) / SLOT_SMOOTHING;
}

/* The rate of a cold target bounds how many of its slots are usable. */
int
admit_load(const struct admit *a, int64_t now)
{
	int64_t slots = a->slots;

	if (is_cold(a, now))
		slots = CLAMP(
		    (int64_t)a->cold_per_s * a->mean_us / US_PER_S, 1, slots);
	return (int)((a->running + (int64_t)a->waiting->len) * 100 / slots);
}
