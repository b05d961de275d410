/* Admission to a target: slots, order of turns, cold targets, estimates. */
#include <string.h>

#include "admit.h"

#define WORK_GUESS_US 50000 /* before the first answer of any kind */
#define US_PER_MS     1000
#define US_PER_S      1000000
#define SMOOTH	      8	   /* an answer moves an estimate by 1/8 */
#define WINDOW_MS     1000 /* in which starts at a cold target count */
/*
 * A request is not started when less than this share of its usual work fits
 * before its deadline, in percent: one in five takes less than half the mean.
 */
#define FIT_PERCENT 50
#define FAIL_SMOOTH 16	/* a run moves the share of failures by 1/16 */
#define FAIL_MOST   0.5 /* beyond it a kind waits for nobody else's slots */
#define FAIL_FORGET 128 /* a refusal takes 1/128 of the share away */

static struct admit_kind *find_kind(struct admit *, uint32_t);
static int is_failing(const struct admit *, uint32_t);
static int before(const struct admit *, const struct admit_request *,
    const struct admit_request *, int64_t);
static int is_cold(const struct admit *, int64_t);
static int64_t cold_free_at(const struct admit *, int64_t);
static int ahead_of(const struct admit *, int, int);

/* Prepares for a target of which nothing is known: one at a time. */
void
admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
	a->slots = 1;
	a->mean_us = WORK_GUESS_US;
	a->waiting = g_array_new(FALSE, FALSE, sizeof(struct admit_request));
}

/* Releases what admit_init made. */
void
admit_clear(struct admit *a)
{
	g_array_free(a->waiting, TRUE);
}

/* Sets the number of slots. */
void
admit_set_slots(struct admit *a, int slots)
{
	a->slots = MAX(slots, 1);
}

/* The target is cold. */
void
admit_set_cold(struct admit *a, int64_t until, int per_s)
{
	a->cold_per_s = CLAMP(per_s, 1, ADMIT_STARTS);
	a->cold_until = until;
}

/* Counts starts of another process. */
void
admit_assume_starts(struct admit *a, int n, int64_t now)
{
	while (n-- > 0)
		a->starts[a->nstarts++ % ADMIT_STARTS] = now;
}

/* Whether starts are counted now. */
static int
is_cold(const struct admit *a, int64_t now)
{
	return a->cold_per_s > 0 && now < a->cold_until;
}

/* When a cold target may be given the next request. */
static int64_t
cold_free_at(const struct admit *a, int64_t now)
{
	if (!is_cold(a, now) || a->nstarts < a->cold_per_s)
		return 0;
	return a->starts[(a->nstarts - a->cold_per_s) % ADMIT_STARTS] +
	       WINDOW_MS;
}

/* Finds the estimate of a kind, or the one that stands for all others. */
static struct admit_kind *
find_kind(struct admit *a, uint32_t kind)
{
	int i;

	for (i = 0; i < a->nkinds; i++)
		if (a->kinds[i].kind == kind)
			return &a->kinds[i];
	if (a->nkinds == ADMIT_KINDS)
		return &a->kinds[kind % ADMIT_KINDS];
	a->kinds[a->nkinds] = (struct admit_kind){ kind, a->mean_us, 0, 0 };
	return &a->kinds[a->nkinds++];
}

/* Estimated work of a kind. */
int
admit_work_ms(const struct admit *a, uint32_t kind)
{
	int i;

	for (i = 0; i < a->nkinds; i++)
		if (a->kinds[i].kind == kind)
			return a->kinds[i].work_us / US_PER_MS;
	return a->mean_us / US_PER_MS;
}

/* Whether most runs of a kind fail. */
static int
is_failing(const struct admit *a, uint32_t kind)
{
	int i;

	for (i = 0; i < a->nkinds; i++)
		if (a->kinds[i].kind == kind)
			return a->kinds[i].failing > FAIL_MOST;
	return 0;
}

/* How a run ended. */
void
admit_note(struct admit *a, uint32_t kind, int failed)
{
	struct admit_kind *k = find_kind(a, kind);

	k->failing += ((failed != 0) - k->failing) / FAIL_SMOOTH;
}

/*
 * Order of turns: those that can still reach their goal before those that
 * cannot, those whose kind mostly fails last of these, then priority, then the
 * earlier goal.
 */
static int
before(const struct admit *a, const struct admit_request *x,
    const struct admit_request *y, int64_t now)
{
	int late_x = x->goal <= now, late_y = y->goal <= now;
	int failing_x = is_failing(a, x->kind);

	if (late_x != late_y)
		return late_y;
	if (failing_x != is_failing(a, y->kind))
		return !failing_x;
	if (x->priority != y->priority)
		return x->priority < y->priority;
	return x->goal < y->goal;
}

/* Waiting requests that go before a new one. */
static int
ahead_of(const struct admit *a, int priority, int failing)
{
	const struct admit_request *r;
	int n = 0;
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		n += r->priority <= priority &&
		     (failing || !is_failing(a, r->kind));
	}
	return n;
}

/* Time until a request that comes now could start. */
int
admit_wait_ms(const struct admit *a, uint32_t kind, int priority, int64_t now)
{
	int ahead = ahead_of(a, priority, is_failing(a, kind)), over, wait = 0;
	int64_t cold;

	over = a->running + ahead + 1 - a->slots;
	if (over > 0)
		wait = (int)((int64_t)over * a->mean_us / a->slots / US_PER_MS);
	if (is_cold(a, now)) {
		cold = MAX(cold_free_at(a, now) - now, 0) +
		       (int64_t)ahead * WINDOW_MS / a->cold_per_s;
		wait = MAX(wait, (int)cold);
	}
	return wait;
}

/*
 * Holds a request that can be answered within its goal by the estimates of
 * now; one that is late already, only while a slot is free.  For one that goes
 * before less urgent work it is enough to be answered before its deadline:
 * that work makes room, and whoever waits for the answer is saved.
 */
enum admit_verdict
admit_offer(struct admit *a, const struct admit_request *r, int64_t now)
{
	int work = admit_work_ms(a, r->kind), wait;
	struct admit_kind *k;
	int64_t until;
	guint i;

	if (now + work * FIT_PERCENT / 100 >= r->deadline)
		return ADMIT_LATE;
	wait = admit_wait_ms(a, r->kind, r->priority, now);
	if (wait > 0 && is_failing(a, r->kind)) {
		/* It is tried again after a while: what failed may be well. */
		k = find_kind(a, r->kind);
		k->failing -= k->failing / FAIL_FORGET;
		return ADMIT_BUSY;
	}
	a->least_urgent = MAX(a->least_urgent, r->priority);
	until = r->priority < a->least_urgent ? r->deadline : r->goal;
	if (wait > 0 && now + wait + work > until)
		return ADMIT_BUSY;
	for (i = 0; i < a->waiting->len; i++)
		if (before(a, r,
			&g_array_index(a->waiting, struct admit_request, i),
			now))
			break;
	g_array_insert_val(a->waiting, i, *r);
	return ADMIT_WAIT;
}

/* Gives out a request that is due, or one that is beyond help. */
int
admit_next(struct admit *a, struct admit_request *r, int64_t now)
{
	guint i;

	for (i = 0; i < a->waiting->len; i++) {
		*r = g_array_index(a->waiting, struct admit_request, i);
		if (now + (int64_t)admit_work_ms(a, r->kind) * FIT_PERCENT /
			      100 >=
		    r->deadline) {
			g_array_remove_index(a->waiting, i);
			return -1;
		}
	}
	if (a->waiting->len == 0 || a->running >= a->slots ||
	    cold_free_at(a, now) > now)
		return 0;
	*r = g_array_index(a->waiting, struct admit_request, 0);
	g_array_remove_index(a->waiting, 0);
	a->running++;
	/* Also while warm: a target may be cold before that is known. */
	admit_assume_starts(a, 1, now);
	return 1;
}

/* When to look again without a return. */
int64_t
admit_wake(const struct admit *a, int64_t now)
{
	const struct admit_request *r;
	int64_t wake = 0, t;
	guint i;

	if (a->waiting->len == 0)
		return 0;
	if (a->running < a->slots)
		wake = cold_free_at(a, now);
	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		t = r->deadline -
		    (int64_t)admit_work_ms(a, r->kind) * FIT_PERCENT / 100;
		if (wake == 0 || t < wake)
			wake = t;
	}
	return wake;
}

/* Takes a waiting request back. */
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

/* One came back. */
void
admit_done(struct admit *a, uint32_t kind, int work_us)
{
	struct admit_kind *k;

	a->running--;
	if (work_us < 0)
		return;
	k = find_kind(a, kind);
	if (k->samples == 0)
		k->work_us = work_us;
	k->samples++;
	k->work_us += (work_us - k->work_us) / SMOOTH;
	a->mean_us += (work_us - a->mean_us) / SMOOTH;
}

/* Load in percent; a cold target fills no more slots than its rate allows. */
int
admit_load(const struct admit *a, int64_t now)
{
	int64_t slots = a->slots;

	if (is_cold(a, now))
		slots = CLAMP(
		    (int64_t)a->cold_per_s * a->mean_us / US_PER_S, 1, slots);
	return (int)((a->running + (int64_t)a->waiting->len) * 100 / slots);
}
