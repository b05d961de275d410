/* Admission under simulated load: queueing, refusals, order, warm-up. */
#include "../mesh/admit.h"
#include "../mesh/retry_quota.h"
#include "test.h"

#define SLOTS	    4
#define WORK_MS	    100
#define GOAL_MS	    400
#define DEADLINE_MS 2000
#define START_MS    1 /* a request offered now starts in the next step */

/* A simulated target that needs WORK_MS per request; a step takes 1 ms. */
struct sim {
	struct admit a;
	int64_t now;
	int64_t ends[SLOTS];
	int64_t goal_of[SLOTS];
	int served, late, refused, dropped;
};

static void
sim_init(struct sim *s)
{
	int i;

	memset(s, 0, sizeof(*s));
	admit_init(&s->a);
	admit_set_slots(&s->a, SLOTS);
	s->now = 1000;
	/* Let the estimate converge before the load begins. */
	for (i = 0; i < 50; i++) {
		s->a.running++;
		admit_done(&s->a, 1, WORK_MS * 1000);
	}
}

static enum admit_verdict
offer(struct sim *s, int priority, int64_t goal, int64_t deadline)
{
	struct admit_request r = { .kind = 1,
		.priority = priority,
		.arrived = s->now,
		.goal = goal,
		.deadline = deadline };
	enum admit_verdict v = admit_offer(&s->a, &r, s->now);

	s->refused += v != ADMIT_WAIT;
	return v;
}

/* Passes 1 ms: completes runs that end, then starts requests that are due. */
static void
step(struct sim *s)
{
	struct admit_request r;
	int i, n;

	s->now++;
	for (i = 0; i < SLOTS; i++) {
		if (s->ends[i] == 0 || s->ends[i] > s->now)
			continue;
		s->ends[i] = 0;
		s->served++;
		s->late += s->now > s->goal_of[i];
		admit_done(&s->a, 1, WORK_MS * 1000);
	}
	while ((n = admit_next(&s->a, &r, s->now)) != 0) {
		if (n < 0) {
			s->dropped++;
			continue;
		}
		for (i = 0; i < SLOTS && s->ends[i] != 0; i++)
			;
		CU_ASSERT(i < SLOTS);
		if (i == SLOTS)
			return;
		s->ends[i] = s->now + WORK_MS;
		s->goal_of[i] = r.goal;
	}
}

/*
 * Offers twice the load that the target can serve.  The target stays busy, all
 * refusals occur on arrival, and each admitted request meets its latency goal.
 */
static void
sustained_overload(void)
{
	struct sim s;
	int i;

	sim_init(&s);
	/* The target serves 40 a second; one arrives every 12.5 ms. */
	for (i = 0; i < 10000; i++) {
		if (i % 25 == 0 || i % 25 == 12)
			offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
		step(&s);
	}
	CU_ASSERT(s.served >= 380);
	CU_ASSERT_EQUAL(s.dropped, 0);
	CU_ASSERT_EQUAL(s.late, 0);
	CU_ASSERT(s.refused >= 380);
	admit_clear(&s.a);
}

/* Of a burst, only as many requests are queued as can meet their goal. */
static void
burst_is_queued_up_to_goal(void)
{
	struct sim s;
	int i, queued = 0;

	sim_init(&s);
	for (i = 0; i < 100; i++)
		queued += offer(&s, 1, s.now + GOAL_MS + START_MS,
			      s.now + DEADLINE_MS) == ADMIT_WAIT;
	/* Four run at a time, and four such rounds fit within the goal. */
	CU_ASSERT(queued >= 12 && queued <= 17);
	for (i = 0; i < 1000; i++)
		step(&s);
	CU_ASSERT_EQUAL(s.served, queued);
	CU_ASSERT_EQUAL(s.late, 0);
	admit_clear(&s.a);
}

/* Retries that are past their latency goal run only on free slots. */
static void
late_retries_run_on_free_slots_only(void)
{
	struct sim s;
	int i;

	sim_init(&s);
	CU_ASSERT_EQUAL(
	    offer(&s, 1, s.now - 10, s.now + DEADLINE_MS), ADMIT_WAIT);
	step(&s);
	for (i = 1; i < SLOTS; i++)
		offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
	step(&s);
	CU_ASSERT_EQUAL(
	    offer(&s, 1, s.now - 10, s.now + DEADLINE_MS), ADMIT_BUSY);
	CU_ASSERT_EQUAL(
	    offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS), ADMIT_WAIT);
	/* Too little time is left before this deadline. */
	CU_ASSERT_EQUAL(offer(&s, 0, s.now, s.now + 20), ADMIT_LATE);
	admit_clear(&s.a);
}

/* The priority decides; among equal priorities the earlier goal. */
static void
queue_order(void)
{
	struct sim s;
	struct admit_request r;
	int i;

	sim_init(&s);
	for (i = 0; i < SLOTS; i++)
		offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
	step(&s);
	offer(&s, 2, s.now + 390, s.now + DEADLINE_MS);
	offer(&s, 1, s.now + 399, s.now + DEADLINE_MS);
	offer(&s, 1, s.now + 380, s.now + DEADLINE_MS);
	s.a.running = 0;
	CU_ASSERT_EQUAL(admit_next(&s.a, &r, s.now), 1);
	CU_ASSERT(r.priority == 1 && r.goal == s.now + 380);
	CU_ASSERT_EQUAL(admit_next(&s.a, &r, s.now), 1);
	CU_ASSERT(r.priority == 1 && r.goal == s.now + 399);
	CU_ASSERT_EQUAL(admit_next(&s.a, &r, s.now), 1);
	CU_ASSERT_EQUAL(r.priority, 2);
	admit_clear(&s.a);
}

/*
 * Urgent calls from other targets under a load of less urgent requests.  Each
 * holds a slot of its target while it waits, so a late answer is better than
 * a refusal.
 */
static void
urgent_calls_under_load(void)
{
	struct sim s;
	int i;

	sim_init(&s);
	for (i = 0; i < SLOTS + 8; i++)
		offer(&s, 2, s.now + GOAL_MS, s.now + DEADLINE_MS);
	step(&s);
	/* Any wait makes it miss its goal, but not its deadline. */
	CU_ASSERT_EQUAL(
	    offer(&s, 1, s.now + WORK_MS + 20, s.now + 400), ADMIT_WAIT);
	/* A less urgent request that would miss its goal is refused. */
	CU_ASSERT_EQUAL(
	    offer(&s, 2, s.now + WORK_MS + 20, s.now + 400), ADMIT_BUSY);
	for (i = 0; i < 1000; i++)
		step(&s);
	CU_ASSERT_EQUAL(s.dropped, 0);
	admit_clear(&s.a);
}

/* Takes the next request to run, and checks its priority and kind. */
static void
check_next(struct sim *s, int priority, int is_call, int64_t goal)
{
	struct admit_request r;

	CU_ASSERT_EQUAL(admit_next(&s->a, &r, s->now), 1);
	CU_ASSERT_EQUAL(r.priority, priority);
	CU_ASSERT_EQUAL(r.is_call, is_call);
	CU_ASSERT_EQUAL(r.goal, goal);
}

/* Offers a call whose goal cannot be met. */
static enum admit_verdict
offer_call(struct sim *s, int priority, int64_t goal, int64_t deadline)
{
	struct admit_request r = { .kind = 2,
		.priority = priority,
		.is_call = 1,
		.arrived = s->now,
		.goal = goal,
		.deadline = deadline };

	return admit_offer(&s->a, &r, s->now);
}

/*
 * Load: calls and callers' requests of one priority at a full target.  A call
 * that waits behind callers' requests misses its limit, and its parent fails
 * after it ran.  So a call precedes them, also after its goal, and waits up to
 * its deadline; it does not precede what is more urgent, late or not.
 */
static void
calls_come_first(void)
{
	struct sim s;
	int64_t now;
	int i;

	sim_init(&s);
	for (i = 0; i < SLOTS; i++)
		offer(&s, 2, s.now + GOAL_MS, s.now + DEADLINE_MS);
	step(&s);
	now = s.now;
	CU_ASSERT_EQUAL(
	    offer(&s, 1, now + WORK_MS * 2, now + DEADLINE_MS), ADMIT_WAIT);
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(
		    offer(&s, 2, now + GOAL_MS, now + DEADLINE_MS), ADMIT_WAIT);
	CU_ASSERT_EQUAL(offer_call(&s, 2, now + 50, now + 500), ADMIT_WAIT);
	CU_ASSERT_EQUAL(offer_call(&s, 2, now + 40, now + 500), ADMIT_WAIT);
	/* Callers' requests of the same priority are not ahead of it. */
	CU_ASSERT(admit_call_wait_ms(&s.a, 2, 2, now) <
		  admit_wait_ms(&s.a, 1, 2, now));
	s.now += 250;
	CU_ASSERT_EQUAL(offer_call(&s, 2, s.now - 1, s.now + 500), ADMIT_WAIT);
	s.a.running = 0;
	check_next(&s, 1, 0, now + WORK_MS * 2);
	check_next(&s, 2, 1, now + 40);
	check_next(&s, 2, 1, now + 50);
	check_next(&s, 2, 1, s.now - 1);
	s.a.running = 0;
	check_next(&s, 2, 0, now + GOAL_MS);
	admit_clear(&s.a);
}

/*
 * A less urgent request that can meet its goal does not precede an urgent one
 * that has just missed its own.
 */
static void
urgent_comes_first_when_late(void)
{
	struct sim s;
	int64_t now;
	int i;

	sim_init(&s);
	for (i = 0; i < SLOTS; i++)
		offer(&s, 2, s.now + GOAL_MS, s.now + DEADLINE_MS);
	step(&s);
	now = s.now;
	CU_ASSERT_EQUAL(
	    offer(&s, 1, now + WORK_MS * 2, now + DEADLINE_MS), ADMIT_WAIT);
	s.now += WORK_MS * 2 + 1;
	CU_ASSERT_EQUAL(
	    offer(&s, 2, s.now + GOAL_MS, s.now + DEADLINE_MS), ADMIT_WAIT);
	s.a.running = 0;
	check_next(&s, 1, 0, now + WORK_MS * 2);
	check_next(&s, 2, 0, s.now + GOAL_MS);
	admit_clear(&s.a);
}

/* No window of a second has more starts than the rate of a cold target. */
static void
cold_target_keeps_its_rate(void)
{
	struct sim s;
	int64_t starts[1000];
	int i, k, n = 0, before, in;

	sim_init(&s);
	admit_set_cold(&s.a, s.now + 3000, 13);
	/* Offer load until the target is warm. */
	for (i = 0; s.now + 1 < s.a.cold_until; i++) {
		if (i % 10 == 0)
			offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
		before = s.a.nstarts;
		step(&s);
		for (k = before; k < s.a.nstarts; k++)
			starts[n++] = s.now;
	}
	CU_ASSERT(n >= 36 && n <= 39);
	for (i = 0; i < n; i++) {
		for (in = 0, k = i; k < n && starts[k] < starts[i] + 1000; k++)
			in++;
		CU_ASSERT(in <= 13);
	}
	admit_clear(&s.a);
}

/* Starts before admit_set_cold count towards the rate, too. */
static void
earlier_starts_count_when_cold(void)
{
	struct sim s;
	int i, before;

	sim_init(&s);
	before = s.a.nstarts;
	for (i = 0; i < 1000; i++) {
		if (i == 600)
			admit_set_cold(&s.a, s.now + 3000, 13);
		if (i % 60 == 0)
			offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
		step(&s);
	}
	CU_ASSERT(s.a.nstarts - before <= 13);
	/* Starts assumed for an earlier process count as well. */
	admit_clear(&s.a);
	sim_init(&s);
	admit_set_cold(&s.a, s.now + 3000, 13);
	admit_assume_starts(&s.a, 10, s.now);
	before = s.a.nstarts;
	for (i = 0; i < 900; i++) {
		if (i % 10 == 0)
			offer(&s, 1, s.now + GOAL_MS, s.now + DEADLINE_MS);
		step(&s);
	}
	CU_ASSERT_EQUAL(s.a.nstarts - before, 3);
	admit_clear(&s.a);
}

#define CALLERS_KIND 7 /* its runs make calls that are refused */
#define PLAIN_KIND   8

/*
 * Another service refuses calls, so that all runs of one kind fail after using
 * a slot, while more requests of both kinds arrive than the slots can serve.
 * The kind that succeeds gets the slots.
 */
static void
failing_kind_yields_slots(void)
{
	struct admit a;
	struct admit_request r, running[SLOTS];
	int64_t now, until[SLOTS] = { 0 };
	int served = 0, offered = 0, tried = 0, i, k;

	admit_init(&a);
	admit_set_slots(&a, SLOTS);
	for (now = 1; now < 20000; now++) {
		for (i = 0; i < SLOTS; i++) {
			if (until[i] == 0 || now < until[i])
				continue;
			until[i] = 0;
			k = (int)running[i].kind;
			admit_done(&a, (uint32_t)k, WORK_MS * 1000);
			admit_record(&a, (uint32_t)k, k == CALLERS_KIND);
			served += k == PLAIN_KIND && now <= running[i].goal;
			tried += k == CALLERS_KIND;
		}
		/* Each kind alone would use nine tenths of the slots. */
		for (k = CALLERS_KIND; k <= PLAIN_KIND; k++) {
			if ((now + k) % (WORK_MS * 10 / (SLOTS * 9)) != 0)
				continue;
			r = (struct admit_request){ .kind = (uint32_t)k,
				.arrived = now,
				.goal = now + GOAL_MS,
				.deadline = now + DEADLINE_MS };
			offered += k == PLAIN_KIND;
			admit_offer(&a, &r, now);
		}
		for (i = 0; i < SLOTS; i++)
			if (until[i] == 0 && admit_next(&a, &r, now) > 0) {
				running[i] = r;
				until[i] = now + WORK_MS;
			}
	}
	CU_ASSERT(served > offered * 9 / 10);
	/* Some still run, in case the other service has recovered. */
	CU_ASSERT(tried > 20);
	if (served <= offered * 9 / 10)
		printf("%d of %d\n", served, offered);
	admit_clear(&a);
}

/* Retries stay within a share of the requests in the window. */
static void
retries_stay_within_quota(void)
{
	struct retry_quota quota;
	int64_t now = 100000;
	int i, granted = 0;

	retry_quota_init(&quota, 10000, 0.1, 2);
	for (i = 0; i < 1000; i++) {
		retry_quota_add_request(&quota, now += 10);
		granted += retry_quota_take(&quota, now);
	}
	CU_ASSERT(granted >= 100 && granted <= 102);
	/* A window without requests grants the slack alone. */
	now += 20000;
	for (granted = 0, i = 0; i < 100; i++)
		granted += retry_quota_take(&quota, now);
	CU_ASSERT_EQUAL(granted, 2);
}

/*
 * A target that leaves four in ten requests without an answer, so that their
 * slots are held until their limit.  Guards against a wait that counts answered
 * runs only: urgent requests queued beyond their time limit.
 */
static void
unanswered_runs_count_for_the_wait(void)
{
	struct sim s;
	int i, before;

	sim_init(&s);
	s.a.running = SLOTS;
	before = admit_wait_ms(&s.a, 1, 1, s.now);
	for (i = 0; i < 40; i++) {
		s.a.running++;
		if (i % 5 < 2)
			admit_abandoned(&s.a, 1, DEADLINE_MS * 1000);
		else
			admit_done(&s.a, 1, WORK_MS * 1000);
	}
	CU_ASSERT(admit_wait_ms(&s.a, 1, 1, s.now) > 4 * before);
	/* The target answers again. */
	for (i = 0; i < 100; i++) {
		s.a.running++;
		admit_done(&s.a, 1, WORK_MS * 1000);
	}
	CU_ASSERT(admit_wait_ms(&s.a, 1, 1, s.now) <= before + 1);
	admit_clear(&s.a);
}

static const struct test tests[] = {
	{ "failing kind yields slots", failing_kind_yields_slots },
	{ "sustained overload", sustained_overload },
	{ "burst is queued up to goal", burst_is_queued_up_to_goal },
	{ "late retries run on free slots only",
	    late_retries_run_on_free_slots_only },
	{ "unanswered runs count for the wait",
	    unanswered_runs_count_for_the_wait },
	{ "queue order", queue_order },
	{ "calls come first", calls_come_first },
	{ "urgent comes first when late", urgent_comes_first_when_late },
	{ "urgent calls under load", urgent_calls_under_load },
	{ "earlier starts count when cold", earlier_starts_count_when_cold },
	{ "cold target keeps its rate", cold_target_keeps_its_rate },
	{ "retries stay within quota", retries_stay_within_quota },
};

TEST_MAIN("admit", tests)
