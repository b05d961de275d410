/* Admission of routes with few requests, while others overload the target. */
#include "../mesh/admit.h"
#include "test.h"

#define SLOTS	     18
#define FULL_WORK_MS 1000 /* run time of the kind that overloads the target */
#define FULL_GAP_MS  20 /* between its requests: almost three times the load */
#define FULL_GOAL_MS 800
#define FULL_LEFT_MS 3000
#define NEW_WORK_MS  2
#define NEW_GAP_MS   250
#define NEW_LEFT_MS  1000
#define ASK_MS	     50 /* before its deadline, an entry revokes a request */
#define QUEUED_MAX   1000
#define FULL	     1	 /* the kind that overloads the target */
#define LESS_URGENT  2	 /* priority of a kind that is sent as well */
#define NEW	     100 /* the first kind of a new route */
#define SECONDS	     20
#define MS_PER_S     1000
#define US_PER_MS    1000

struct request {
	int is_new;
	uint32_t kind;
	int work_ms;
	int64_t ends_at;    /* 0: it does not run */
	int64_t revoked_at; /* 0: its slot in the table is free */
};

struct sim {
	struct admit a;
	int64_t now;
	struct request requests[QUEUED_MAX];
	int offered[2], served[2]; /* by is_new */
};

static void
sim_init(struct sim *s)
{
	memset(s, 0, sizeof(*s));
	admit_init(&s->a);
	admit_set_slots(&s->a, SLOTS);
	s->now = 10000;
}

/* Offers a request; one that is refused counts as offered only. */
static void
offer(struct sim *s, int is_new, uint32_t kind, int work_ms)
{
	int left = is_new ? NEW_LEFT_MS : FULL_LEFT_MS;
	int goal = is_new ? NEW_LEFT_MS : FULL_GOAL_MS;
	struct request *q;
	struct admit_request r = { .kind = kind,
		.arrived = s->now,
		.goal = s->now + goal,
		.deadline = s->now + left };
	int i;

	s->offered[is_new]++;
	for (i = 0; i < QUEUED_MAX && s->requests[i].revoked_at != 0; i++)
		;
	CU_ASSERT_FATAL(i < QUEUED_MAX);
	q = &s->requests[i];
	r.cookie = q;
	if (admit_offer(&s->a, &r, s->now) != ADMIT_WAIT)
		return;
	*q = (struct request){ is_new, kind, work_ms, 0,
		s->now + left - ASK_MS };
}

/* Passes 1 ms: ends runs, revokes what waits too long, starts what is due. */
static void
step(struct sim *s)
{
	struct admit_request r;
	struct request *q;
	int i, n;

	s->now++;
	for (i = 0; i < QUEUED_MAX; i++) {
		q = &s->requests[i];
		if (q->ends_at != 0 && q->ends_at <= s->now) {
			s->served[q->is_new]++;
			admit_done(&s->a, q->kind, q->work_ms * US_PER_MS);
			q->ends_at = q->revoked_at = 0;
		} else if (q->revoked_at != 0 && q->revoked_at <= s->now &&
			   q->ends_at == 0) {
			CU_ASSERT(admit_cancel(&s->a, q));
			q->revoked_at = 0;
		}
	}
	while ((n = admit_next(&s->a, &r, s->now)) != 0) {
		q = r.cookie;
		if (n > 0)
			q->ends_at = s->now + q->work_ms;
		else
			q->revoked_at = 0;
	}
}

/* Overloads the target; each new_gap_ms a request of another new route. */
static void
overload(struct sim *s, int seconds, int new_gap_ms, int new_work_ms)
{
	struct admit_request less_urgent = { .kind = 2,
		.priority = LESS_URGENT,
		.goal = s->now + FULL_GOAL_MS,
		.deadline = s->now + FULL_LEFT_MS };
	int i;

	CU_ASSERT_EQUAL(admit_offer(&s->a, &less_urgent, s->now), ADMIT_WAIT);
	CU_ASSERT(admit_cancel(&s->a, NULL));
	for (i = 0; i < seconds * MS_PER_S; i++) {
		if (i % FULL_GAP_MS == 0)
			offer(s, 0, FULL, FULL_WORK_MS);
		if (new_gap_ms > 0 && i % new_gap_ms == 0)
			offer(s, 1, NEW + (uint32_t)s->offered[1], new_work_ms);
		step(s);
	}
}

/* Share of the offered requests that were served, in percent. */
static int
served_percent(const struct sim *s, int is_new)
{
	return s->served[is_new] * 100 / MAX(s->offered[is_new], 1);
}

/*
 * Guards against requests of routes that were just added being refused while a
 * service is overloaded, although those of other routes are served.
 */
static void
added_routes_are_served_under_overload(void)
{
	struct sim s;

	sim_init(&s);
	overload(&s, SECONDS, NEW_GAP_MS, NEW_WORK_MS);
	CU_ASSERT(served_percent(&s, 0) >= 20);
	CU_ASSERT(served_percent(&s, 1) >= served_percent(&s, 0));
	admit_clear(&s.a);
}

/* The same of a route that is known, but was seldom used. */
static void
seldom_used_route_is_served_under_overload(void)
{
	struct sim s;
	int i;

	sim_init(&s);
	overload(&s, 2, 0, 0);
	s.offered[0] = s.served[0] = 0;
	for (i = 0; i < SECONDS * MS_PER_S; i++) {
		if (i % FULL_GAP_MS == 0)
			offer(&s, 0, FULL, FULL_WORK_MS);
		if (i % NEW_GAP_MS == 0)
			offer(&s, 1, NEW, NEW_WORK_MS);
		step(&s);
	}
	CU_ASSERT(served_percent(&s, 1) >= served_percent(&s, 0));
	admit_clear(&s.a);
}

/*
 * Guards against many added routes with long runs displacing the others: these
 * keep three quarters of what they have without them.
 */
static void
added_routes_do_not_displace_others(void)
{
	struct sim alone, beside;

	sim_init(&alone);
	overload(&alone, SECONDS, 0, 0);
	sim_init(&beside);
	overload(&beside, SECONDS, FULL_GAP_MS, FULL_WORK_MS);
	CU_ASSERT(beside.served[0] * 4 >= alone.served[0] * 3);
	admit_clear(&alone.a);
	admit_clear(&beside.a);
}

/*
 * Guards against run times of many short routes being taken for those of a
 * route that shares a place in the table with them.
 */
static void
estimate_survives_many_routes(void)
{
	struct sim s;
	int i;

	sim_init(&s);
	overload(&s, 2, 0, 0);
	for (i = 0; i < 10 * ADMIT_KINDS; i++) {
		s.a.running++;
		admit_done(&s.a, NEW + (uint32_t)i, NEW_WORK_MS * US_PER_MS);
		s.a.running++;
		admit_done(&s.a, FULL, FULL_WORK_MS * US_PER_MS);
	}
	CU_ASSERT(admit_work_ms(&s.a, FULL) >= FULL_WORK_MS * 9 / 10);
	CU_ASSERT(
	    admit_work_ms(&s.a, NEW + 10 * ADMIT_KINDS - 1) <= NEW_WORK_MS * 2);
	admit_clear(&s.a);
}

static const struct test tests[] = {
	{ "added routes are served under overload",
	    added_routes_are_served_under_overload },
	{ "a seldom used route is served under overload",
	    seldom_used_route_is_served_under_overload },
	{ "added routes do not displace others",
	    added_routes_do_not_displace_others },
	{ "estimates survive many routes", estimate_survives_many_routes },
};

int
main(void)
{
	return test_main("test_admit_routes", tests, G_N_ELEMENTS(tests));
}
