/*
 * The guard: the only way to the target beside the node.  It decides from
 * what it did itself, so a stale view elsewhere costs a refusal that says
 * "not run" and never a broken promise.
 */
#include <string.h>

#include "guard_int.h"

#define LATENCY_GUESS_US 2000 /* before the first exchange */
#define RETRY_AFTER_MIN	 20   /* ms */
#define RETRY_AFTER_MAX	 5000 /* ms */
#define US_PER_MS	 1000
#define CRASH_MS	 100 /* exchanges that one crash broke come back */

struct guard {
	struct limit limit;
	struct memory *memory;
	struct poison *poison;
	uint64_t origin; /* of crashes seen here, which are counted in it */
	struct guard_request queue[GUARD_QUEUE_MAX + 1]; /* best first */
	int waiting;
	int running;
	int nsuspects;	     /* suspected requests at the target */
	int64_t crash_until; /* broken exchanges belong to one crash until */
	GArray *at_target;   /* of uint64_t: fingerprints running */
	int out;
};

static int before(const struct guard_request *, const struct guard_request *);
static void enqueue(struct guard *, const struct guard_request *);
static void dequeue(struct guard *, int);
static int64_t wait_ms(const struct guard *, const struct guard_request *);
static enum guard_verdict
known_id(struct guard *, const struct guard_request *, int64_t);
static enum guard_verdict refuse(
    struct guard *, const struct guard_request *, enum guard_verdict, int64_t);
static void start(struct guard *, struct guard_request *);
static int startable(struct guard *, const struct guard_request *, int64_t);
static void forget_running(struct guard *, uint64_t);
static void crashed(struct guard *, int64_t);

/* Creates a guard that is cold and whose memory begins now. */
struct guard *
guard_new(int slots, int64_t wall_ms, uint64_t origin)
{
	struct guard *g;

	g = g_new0(struct guard, 1);
	limit_init(&g->limit, slots);
	g->memory = memory_new(wall_ms);
	g->poison = poison_new();
	g->origin = origin;
	g->at_target = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return g;
}

/* Releases a guard; NULL is allowed. */
void
guard_free(struct guard *g)
{
	if (g == NULL)
		return;
	memory_free(g->memory);
	poison_free(g->poison);
	g_array_free(g->at_target, TRUE);
	g_free(g);
}

/* The limit, for the status and for baselines. */
struct limit *
guard_limit(struct guard *g)
{
	return &g->limit;
}

/* Whether one request goes before another: priority, then deadline. */
static int
before(const struct guard_request *a, const struct guard_request *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	return a->deadline < b->deadline;
}

/* Puts a request in its place; the queue has room for one over its bound. */
static void
enqueue(struct guard *g, const struct guard_request *r)
{
	int i;

	for (i = g->waiting; i > 0 && before(r, &g->queue[i - 1]); i--)
		g->queue[i] = g->queue[i - 1];
	g->queue[i] = *r;
	g->waiting++;
}

/* Takes a request out of the queue. */
static void
dequeue(struct guard *g, int at)
{
	g->waiting--;
	memmove(&g->queue[at], &g->queue[at + 1],
	    (size_t)(g->waiting - at) * sizeof(g->queue[0]));
}

/* Expected ms until a request would be answered, behind those before it. */
static int64_t
wait_ms(const struct guard *g, const struct guard_request *r)
{
	int64_t each, ahead = 1;
	int i;

	each = g->limit.recent_us > 0 ? g->limit.recent_us : LATENCY_GUESS_US;
	for (i = 0; i < g->waiting && !before(r, &g->queue[i]); i++)
		ahead++;
	return (ahead + g->limit.current) * each /
	       ((int64_t)g->limit.current * US_PER_MS);
}

/* What the memory says of an id; GUARD_RUN when it may run. */
static enum guard_verdict
known_id(struct guard *g, const struct guard_request *r, int64_t wall_ms)
{
	switch (memory_find(g->memory, r->id)) {
	case MEMORY_FENCED:
		return GUARD_FENCED;
	case MEMORY_HELD:
	case MEMORY_DONE:
		return GUARD_DUPLICATE;
	}
	/* Nobody else can have sent a fresh id, whatever is remembered. */
	if (r->fresh)
		return GUARD_RUN;
	if (!memory_covers(g->memory, r->born_wall_ms, wall_ms) ||
	    memory_lost(g->memory, r->id, r->born_wall_ms))
		return GUARD_UNKNOWN;
	return GUARD_RUN;
}

/*
 * Refuses a request as not run.  For one that may run once, the refusal is
 * remembered first, so that a late copy is refused as well; without room for
 * that, nothing can be promised.
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

/* Admits a request. */
enum guard_verdict
guard_admit(struct guard *g, const struct guard_request *req, int64_t now,
    int64_t wall_ms)
{
	struct guard_request r = *req;
	enum guard_verdict v;

	memory_expire(g->memory, now);
	if (r.once && (v = known_id(g, &r, wall_ms)) != GUARD_RUN)
		return v;
	if (r.deadline <= now)
		return refuse(g, &r, GUARD_LATE, now);
	if (g->out)
		return refuse(g, &r, GUARD_OUT, now);
	guard_suspect(g, r.fingerprint, &r.crashes, now);
	if (poison_crashes(g->poison, r.fingerprint, now) >= POISON_CRASHES_MAX)
		return refuse(g, &r, GUARD_POISON, now);
	if (now + wait_ms(g, &r) > r.deadline)
		return refuse(g, &r, GUARD_BUSY, now);
	if (g->waiting == GUARD_QUEUE_MAX &&
	    !before(&r, &g->queue[g->waiting - 1]))
		return refuse(g, &r, GUARD_BUSY, now);
	if (r.once && memory_put(g->memory, r.id, MEMORY_HELD, now) != MESH_OK)
		return GUARD_UNKNOWN;
	r.arrived = now;
	enqueue(g, &r);
	return GUARD_QUEUE;
}

/* Whether a waiting request may go to the target now. */
static int
startable(struct guard *g, const struct guard_request *r, int64_t now)
{
	if (g->running >= g->limit.current)
		return 0;
	/* A suspect runs beside no other, so that a crash names one. */
	if (g->nsuspects > 0 &&
	    poison_crashes(g->poison, r->fingerprint, now) > 0)
		return 0;
	return 1;
}

/* Counts a request as being at the target. */
static void
start(struct guard *g, struct guard_request *r)
{
	g->running++;
	g->nsuspects += r->suspect;
	r->inflight = g->running;
	g_array_append_val(g->at_target, r->fingerprint);
}

/* Gives out the next waiting request that can leave the queue. */
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
		if (poison_crashes(g->poison, r->fingerprint, now) >=
		    POISON_CRASHES_MAX) {
			dequeue(g, i);
			*v = refuse(g, r, GUARD_POISON, now);
			return 1;
		}
		if (!startable(g, r, now))
			continue;
		dequeue(g, i);
		r->suspect = poison_crashes(g->poison, r->fingerprint, now) > 0;
		start(g, r);
		*v = GUARD_RUN;
		return 1;
	}
	return 0;
}

/* Takes one fingerprint off the list of those at the target. */
static void
forget_running(struct guard *g, uint64_t fp)
{
	guint i;

	for (i = 0; i < g->at_target->len; i++) {
		if (g_array_index(g->at_target, uint64_t, i) == fp) {
			g_array_remove_index_fast(g->at_target, i);
			return;
		}
	}
}

/*
 * The target broke while requests ran.  If a suspect was among them, the
 * suspicion falls on it alone; otherwise on all.
 */
static void
crashed(struct guard *g, int64_t now)
{
	struct crashes c = { 1, { ++g->origin } };
	uint64_t fp;
	guint i;

	for (i = 0; i < g->at_target->len; i++) {
		fp = g_array_index(g->at_target, uint64_t, i);
		if (g->nsuspects > 0 && poison_crashes(g->poison, fp, now) == 0)
			continue;
		guard_suspect(g, fp, &c, now);
	}
}

/* Takes a request back. */
void
guard_done(struct guard *g, const struct guard_request *r, enum exchange e,
    int64_t latency_us, int64_t now)
{
	/* One crash breaks many exchanges; the first to come back counts it. */
	if (e == EXCHANGE_BROKEN && now >= g->crash_until) {
		crashed(g, now);
		g->crash_until = now + CRASH_MS;
		counter_add(CTR_TARGET_CRASHES, 1);
	}
	g->nsuspects -= r->suspect;
	if (e == EXCHANGE_OK)
		poison_succeeded(g->poison, r->fingerprint, now);
	forget_running(g, r->fingerprint);
	g->running--;
	limit_note(&g->limit, e, latency_us, r->inflight, now);
	if (!r->once)
		return;
	/* Not run, so the refusal that follows must stay true. */
	if (e == EXCHANGE_REFUSED || e == EXCHANGE_SHED)
		memory_put(g->memory, r->id, MEMORY_FENCED, now);
	else
		memory_put(g->memory, r->id, MEMORY_DONE, now);
}

/* Removes a waiting request. */
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

/* Fences an id. */
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
	if ((v = known_id(g, &r, wall_ms)) != GUARD_RUN)
		return v;
	return refuse(g, &r, GUARD_FENCED, now);
}

/* Whether the guard was there when an id was made, and still remembers it. */
int
guard_covers(const struct guard *g, int64_t born, int64_t wall_ms)
{
	return memory_covers(g->memory, born, wall_ms);
}

/* Leaves or joins. */
void
guard_set_out(struct guard *g, int out)
{
	g->out = out;
}

/* A target of the same service left the set. */
void
guard_note_removed(
    struct guard *g, const char *self, const char *target, int64_t wall_ms)
{
	memory_note_removed(g->memory, self, target, wall_ms);
}

/* The guard stands beside another target than before. */
void
guard_forget(struct guard *g, int64_t wall_ms)
{
	memory_free(g->memory);
	g->memory = memory_new(wall_ms);
}

/* Requests at the target. */
int
guard_running(const struct guard *g)
{
	return g->running;
}

/* Requests in the queue. */
int
guard_waiting(const struct guard *g)
{
	return g->waiting;
}

/* Ids in the memory. */
int
guard_remembered(const struct guard *g)
{
	return memory_count(g->memory);
}

/* Load in percent; a guard that refuses everything counts as full. */
int
guard_load(const struct guard *g)
{
	if (g->out)
		return 100;
	return (g->running + g->waiting) * 100 / g->limit.current;
}

/* When the queue as it stands will have been worked off. */
int
guard_retry_after(const struct guard *g)
{
	struct guard_request last = { .priority = PRIORITY_LOW,
		.deadline = INT64_MAX };
	int64_t ms = wait_ms(g, &last);

	return (int)CLAMP(ms, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
}

/* Learns of crashes elsewhere. */
void
guard_suspect(
    struct guard *g, uint64_t fp, const struct crashes *c, int64_t now)
{
	poison_add(g->poison, fp, c, now + POISON_QUARANTINE_MS, now);
}

/* Crashes counted under a fingerprint. */
int
guard_crashes(struct guard *g, uint64_t fp, int64_t now)
{
	return poison_crashes(g->poison, fp, now);
}

/* Their ids. */
void
guard_crash_ids(struct guard *g, uint64_t fp, struct crashes *c, int64_t now)
{
	poison_get(g->poison, fp, c, now);
}

/* Goes through all under which crashes count. */
void
guard_each_crash(struct guard *g, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t), void *arg)
{
	poison_each(g->poison, 1, now, f, arg);
}

/* Forgets a quarantine by the operator's word. */
int
guard_release(struct guard *g, uint64_t fp)
{
	return poison_clear(g->poison, fp);
}

/* Appends what is quarantined. */
void
guard_print_poison(struct guard *g, GString *out, int64_t now)
{
	poison_print(g->poison, out, now);
}
