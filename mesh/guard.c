/*
 * The guard admits requests to the target beside the node; there is no other
 * way to the target.  It decides at-most-once execution from its own records
 * alone.  Stale state at an entry can therefore cause a needless refusal,
 * reported as "not run", but never a second execution.
 */
#include <string.h>

#include "guard_int.h"

#define INITIAL_LATENCY_US 2000 /* estimate before the first exchange */
#define RETRY_AFTER_MIN_MS 20
#define RETRY_AFTER_MAX_MS 5000
#define US_PER_MS	   1000
#define CRASH_WINDOW_MS	   100 /* exchanges broken within it are one crash */

struct guard {
	struct limit limit;
	struct memory *memory;
	struct poison *poison;
	uint64_t origin; /* id of the last crash seen by this guard */
	struct guard_request
	    queue[GUARD_QUEUE_MAX + 1]; /* first to run first */
	int waiting;
	int running;
	int nsuspects;	     /* requests at the target that are suspects */
	int64_t crash_until; /* end of the window of the last crash */
	GArray *running_fingerprints; /* of uint64_t */
	int out;		      /* refuses all new requests */
};

static int precedes(const struct guard_request *, const struct guard_request *);
static void enqueue(struct guard *, const struct guard_request *);
static void dequeue(struct guard *, int);
static int64_t wait_ms(const struct guard *, const struct guard_request *);
static enum guard_verdict
check_id(struct guard *, const struct guard_request *, int64_t);
static enum guard_verdict refuse(
    struct guard *, const struct guard_request *, enum guard_verdict, int64_t);
static void start(struct guard *, struct guard_request *);
static int startable(struct guard *, const struct guard_request *, int64_t);
static void remove_running(struct guard *, uint64_t);
static void add_crash(struct guard *, int64_t);

/* The target counts as cold, so its concurrency limit starts at 1. */
struct guard *
guard_new(int slots, int64_t wall_ms, uint64_t origin)
{
	struct guard *g;

	g = g_new0(struct guard, 1);
	limit_init(&g->limit, slots);
	g->memory = memory_new(wall_ms);
	g->poison = poison_new();
	g->origin = origin;
	g->running_fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return g;
}

/* Queued requests are dropped; their cookies are not freed. */
void
guard_free(struct guard *g)
{
	if (g == NULL)
		return;
	memory_free(g->memory);
	poison_free(g->poison);
	g_array_free(g->running_fingerprints, TRUE);
	g_free(g);
}

/* For status reports and traces; a node also sets the current limit by it. */
struct limit *
guard_limit(struct guard *g)
{
	return &g->limit;
}

/* Queue order: higher priority first, then the earlier deadline. */
static int
precedes(const struct guard_request *a, const struct guard_request *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	return a->deadline < b->deadline;
}

/*
 * Inserts a request in order.  The array has room for one request beyond
 * GUARD_QUEUE_MAX, which guard_next then sheds from the end.
 */
static void
enqueue(struct guard *g, const struct guard_request *r)
{
	int i;

	for (i = g->waiting; i > 0 && precedes(r, &g->queue[i - 1]); i--)
		g->queue[i] = g->queue[i - 1];
	g->queue[i] = *r;
	g->waiting++;
}

/* Removes the request at an index. */
static void
dequeue(struct guard *g, int at)
{
	g->waiting--;
	memmove(&g->queue[at], &g->queue[at + 1],
	    (size_t)(g->waiting - at) * sizeof(g->queue[0]));
}

/* Expected ms until an answer, given the requests queued before this one. */
static int64_t
wait_ms(const struct guard *g, const struct guard_request *r)
{
	int64_t each, ahead = 1;
	int i;

	each = g->limit.recent_us > 0 ? g->limit.recent_us : INITIAL_LATENCY_US;
	for (i = 0; i < g->waiting && !precedes(r, &g->queue[i]); i++)
		ahead++;
	return (ahead + g->limit.current) * each /
	       ((int64_t)g->limit.current * US_PER_MS);
}

/* Verdict on an id by the memory: GUARD_RUN if the request may run. */
static enum guard_verdict
check_id(struct guard *g, const struct guard_request *r, int64_t wall_ms)
{
	switch (memory_find(g->memory, r->id)) {
	case MEMORY_FENCED:
		return GUARD_FENCED;
	case MEMORY_HELD:
	case MEMORY_DONE:
		return GUARD_DUPLICATE;
	}
	/*
	 * Its entry sent a fresh id to no other guard, so an id that is not
	 * recorded has not run, whatever period the memory covers.
	 */
	if (r->fresh)
		return GUARD_RUN;
	if (!memory_covers(g->memory, r->born_wall_ms, wall_ms) ||
	    memory_may_have_run_elsewhere(g->memory, r->id, r->born_wall_ms))
		return GUARD_UNKNOWN;
	return GUARD_RUN;
}

/*
 * Refuses a request as not run.  The id of a request that may run at most once
 * is recorded first, so that a delayed copy is refused as well.  If the memory
 * is full, the verdict is GUARD_UNKNOWN, since a copy might still run.
 */
static enum guard_verdict
refuse(struct guard *g, const struct guard_request *r, enum guard_verdict v,
    int64_t now)
{
	if (r->once &&
	    memory_put(g->memory, r->id, MEMORY_FENCED, now) != MESH_OK)
		return GUARD_UNKNOWN;
	return v;
}

/*
 * An admitted request is always queued first.  If that fills the queue beyond
 * its bound, guard_next refuses the last one.
 */
enum guard_verdict
guard_admit(struct guard *g, const struct guard_request *req, int64_t now,
    int64_t wall_ms)
{
	struct guard_request r = *req;
	enum guard_verdict v;

	memory_expire(g->memory, now);
	if (r.once && (v = check_id(g, &r, wall_ms)) != GUARD_RUN)
		return v;
	if (r.deadline <= now)
		return refuse(g, &r, GUARD_LATE, now);
	if (g->out)
		return refuse(g, &r, GUARD_OUT, now);
	guard_add_crashes(g, r.fingerprint, &r.crashes, now);
	if (poison_crash_count(g->poison, r.fingerprint, now) >=
	    POISON_CRASHES_MAX)
		return refuse(g, &r, GUARD_POISON, now);
	if (now + wait_ms(g, &r) > r.deadline)
		return refuse(g, &r, GUARD_BUSY, now);
	if (g->waiting == GUARD_QUEUE_MAX &&
	    !precedes(&r, &g->queue[g->waiting - 1]))
		return refuse(g, &r, GUARD_BUSY, now);
	if (r.once && memory_put(g->memory, r.id, MEMORY_HELD, now) != MESH_OK)
		return GUARD_UNKNOWN;
	r.arrived = now;
	enqueue(g, &r);
	return GUARD_QUEUE;
}

/* Whether a queued request may be sent to the target now. */
static int
startable(struct guard *g, const struct guard_request *r, int64_t now)
{
	if (g->running >= g->limit.current)
		return 0;
	/* One suspect runs at a time, so that a crash identifies it. */
	if (g->nsuspects > 0 &&
	    poison_crash_count(g->poison, r->fingerprint, now) > 0)
		return 0;
	return 1;
}

/* Records that a request is sent to the target. */
static void
start(struct guard *g, struct guard_request *r)
{
	g->running++;
	g->nsuspects += r->suspect;
	r->inflight = g->running;
	g_array_append_val(g->running_fingerprints, r->fingerprint);
}

/* Deadline and quarantine are checked again when a request leaves the queue. */
int
guard_next(struct guard *g, struct guard_request *r, enum guard_verdict *v,
    int64_t now)
{
	int i;

	if (g->waiting > GUARD_QUEUE_MAX) {
		*r = g->queue[g->waiting - 1];
		dequeue(g, g->waiting - 1);
		*v = refuse(g, r, GUARD_BUSY, now);
		return 1;
	}
	for (i = 0; i < g->waiting; i++) {
		*r = g->queue[i];
		if (r->deadline <= now) {
			dequeue(g, i);
			*v = refuse(g, r, GUARD_LATE, now);
			return 1;
		}
		if (poison_crash_count(g->poison, r->fingerprint, now) >=
		    POISON_CRASHES_MAX) {
			dequeue(g, i);
			*v = refuse(g, r, GUARD_POISON, now);
			return 1;
		}
		if (!startable(g, r, now))
			continue;
		dequeue(g, i);
		r->suspect =
		    poison_crash_count(g->poison, r->fingerprint, now) > 0;
		start(g, r);
		*v = GUARD_RUN;
		return 1;
	}
	return 0;
}

/* Removes one instance of a fingerprint from the running ones. */
static void
remove_running(struct guard *g, uint64_t fp)
{
	guint i;

	for (i = 0; i < g->running_fingerprints->len; i++) {
		if (g_array_index(g->running_fingerprints, uint64_t, i) == fp) {
			g_array_remove_index_fast(g->running_fingerprints, i);
			return;
		}
	}
}

/*
 * Counts a crash of the target under the fingerprints that were running: only
 * under that of the suspect if there was one, otherwise under all.
 */
static void
add_crash(struct guard *g, int64_t now)
{
	struct crashes c = { 1, { ++g->origin } };
	uint64_t fp;
	guint i;

	for (i = 0; i < g->running_fingerprints->len; i++) {
		fp = g_array_index(g->running_fingerprints, uint64_t, i);
		if (g->nsuspects > 0 &&
		    poison_crash_count(g->poison, fp, now) == 0)
			continue;
		guard_add_crashes(g, fp, &c, now);
	}
}

/* Frees the request's slot, and updates limit, crashes and memory. */
void
guard_done(struct guard *g, const struct guard_request *r, enum exchange e,
    int64_t latency_us, int64_t now)
{
	/* One crash breaks many exchanges; the first one reported counts it. */
	if (e == EXCHANGE_BROKEN && now >= g->crash_until) {
		add_crash(g, now);
		g->crash_until = now + CRASH_WINDOW_MS;
		counter_add(CTR_TARGET_CRASHES, 1);
	}
	g->nsuspects -= r->suspect;
	if (e == EXCHANGE_OK)
		poison_succeeded(g->poison, r->fingerprint, now);
	remove_running(g, r->fingerprint);
	g->running--;
	limit_update(&g->limit, e, latency_us, r->inflight, now);
	if (!r->once)
		return;
	/* The entry is sent "not run", so the id must never run here. */
	if (e == EXCHANGE_REFUSED || e == EXCHANGE_SHED)
		memory_put(g->memory, r->id, MEMORY_FENCED, now);
	else
		memory_put(g->memory, r->id, MEMORY_DONE, now);
}

/* The id is recorded as fenced, since the request counts as not run. */
int
guard_cancel(struct guard *g, const void *cookie)
{
	int i;

	for (i = 0; i < g->waiting; i++) {
		if (g->queue[i].cookie != cookie)
			continue;
		if (g->queue[i].once)
			memory_put(g->memory, g->queue[i].id, MEMORY_FENCED, 0);
		dequeue(g, i);
		return 1;
	}
	return 0;
}

/* Records the id as for a refused request that may run at most once. */
enum guard_verdict
guard_fence(struct guard *g, const char *id, int fresh, int64_t born,
    int64_t now, int64_t wall_ms)
{
	struct guard_request r = {
		.once = 1, .fresh = fresh, .born_wall_ms = born
	};
	enum guard_verdict v;

	memory_expire(g->memory, now);
	g_strlcpy(r.id, id, sizeof(r.id));
	if ((v = check_id(g, &r, wall_ms)) != GUARD_RUN)
		return v;
	return refuse(g, &r, GUARD_FENCED, now);
}

/* Takes wall times, as ids state the wall time of their creation. */
int
guard_covers(const struct guard *g, int64_t born, int64_t wall_ms)
{
	return memory_covers(g->memory, born, wall_ms);
}

/* Requests that are queued or running are not affected. */
void
guard_set_out(struct guard *g, int out)
{
	g->out = out;
}

/*
 * From then on guard_admit and guard_fence may return GUARD_UNKNOWN for ids
 * that were created before.
 */
void
guard_target_removed(
    struct guard *g, const char *self, const char *target, int64_t wall_ms)
{
	memory_target_removed(g->memory, self, target, wall_ms);
}

/* For a guard whose node now serves another target. */
void
guard_reset_ids(struct guard *g, int64_t wall_ms)
{
	memory_free(g->memory);
	g->memory = memory_new(wall_ms);
}

/* Includes requests whose caller is gone, until guard_done. */
int
guard_running(const struct guard *g)
{
	return g->running;
}

/* Requests that guard_admit queued and guard_next has not returned. */
int
guard_waiting(const struct guard *g)
{
	return g->waiting;
}

/* Ids in any state; at most GUARD_IDS_MAX. */
int
guard_id_count(const struct guard *g)
{
	return memory_count(g->memory);
}

/* A guard that refuses all requests reports 100. */
int
guard_load(const struct guard *g)
{
	if (g->out)
		return 100;
	return (g->running + g->waiting) * 100 / g->limit.current;
}

/* The expected time until the current queue is empty, within bounds. */
int
guard_retry_after(const struct guard *g)
{
	struct guard_request last = { .priority = PRIORITY_LOW,
		.deadline = INT64_MAX };
	int64_t ms = wait_ms(g, &last);

	return (int)CLAMP(ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* The crashes count for POISON_QUARANTINE_MS from now on. */
void
guard_add_crashes(
    struct guard *g, uint64_t fp, const struct crashes *c, int64_t now)
{
	poison_add_crashes(g->poison, fp, c, now + POISON_QUARANTINE_MS, now);
}

/* Not const: a fingerprint that has expired is removed. */
int
guard_crash_count(struct guard *g, uint64_t fp, int64_t now)
{
	return poison_crash_count(g->poison, fp, now);
}

/* Refuted crashes are left out; see poison_crash_ids. */
void
guard_crash_ids(struct guard *g, uint64_t fp, struct crashes *c, int64_t now)
{
	poison_crash_ids(g->poison, fp, c, now);
}

/* Includes fingerprints with a single crash, not yet in quarantine. */
void
guard_each_crash(struct guard *g, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t), void *arg)
{
	poison_each(g->poison, 1, now, f, arg);
}

/* Removes the crashes under a fingerprint, whether in quarantine or not. */
int
guard_release(struct guard *g, uint64_t fp)
{
	return poison_clear(g->poison, fp);
}

/* For status reports; fingerprints below the threshold are left out. */
void
guard_print_poison(struct guard *g, GString *out, int64_t now)
{
	poison_print(g->poison, out, now);
}
