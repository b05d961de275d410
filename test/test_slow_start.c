/*
 * Slow start against a simulated target: time passes in steps of 1 ms, and the
 * target always has more requests waiting than it may run.
 */
#include <math.h>

#include "../mesh/slow_start.h"
#include "test.h"

#define RUNS_MAX     18
#define COLD_MS	     3000
#define COLD_RATE    12 /* starts a second of a cold target */
#define OUTLIERS     0.03
#define OUTLIER	     7
#define PAUSE_MS     600
#define PAUSE_FACTOR 2.5

struct sim_run {
	int64_t began, ends;
	uint32_t kind;
};

/* A target and the guard beside it. */
struct sim {
	struct slow_start start;
	GRand *rand;
	int64_t now;
	int slots;
	double work_ms, spread; /* mean, and deviation of the logarithm */
	double factor;		/* of all work: 5 is five times slower */
	double full_factor; /* of work begun with over 80 in 100 slots busy */
	double call_share, call_ms; /* of requests that make calls */
	int64_t pause_each_ms; /* a pause begins each so many ms; 0: none */
	int64_t cold_until;    /* and the target says so */
	int64_t secret_until;  /* cold, and the target does not say so */
	int fails;	       /* it refuses all requests */
	struct sim_run runs[RUNS_MAX];
	int nruns;
	double tokens; /* starts that the rate of a cold target allows */
	/* results */
	int served, checks, began, downs, peak;
	int64_t limited_ms, checked_at, began_at, slots_ms;
};

/* A warm target with a history of ten seconds. */
static void
sim_init(struct sim *m, uint32_t seed, int slots, double work_ms, double spread)
{
	memset(m, 0, sizeof(*m));
	slow_start_init(&m->start);
	m->rand = g_rand_new_with_seed(seed);
	m->slots = slots;
	m->work_ms = work_ms;
	m->spread = spread;
	m->factor = m->full_factor = 1;
	m->now = 1000;
}

/* A normally distributed number. */
static double
normal(GRand *r)
{
	return sqrt(-2 * log(1 - g_rand_double(r))) *
	       cos(2 * G_PI * g_rand_double(r));
}

/* Time that a request begun now takes, in ms. */
static int64_t
run_time(struct sim *m)
{
	double t = m->work_ms *
		   exp(m->spread * normal(m->rand) - m->spread * m->spread / 2);

	if (g_rand_double(m->rand) < OUTLIERS)
		t *= OUTLIER;
	t *= m->factor;
	if (m->nruns * 10 > m->slots * 8)
		t *= m->full_factor;
	if (m->now < m->cold_until || m->now < m->secret_until)
		t *= 2;
	if (m->pause_each_ms > 0 && m->now % m->pause_each_ms < PAUSE_MS)
		t *= PAUSE_FACTOR;
	if (g_rand_double(m->rand) < m->call_share)
		t += m->call_ms;
	return (int64_t)MAX(t, 1);
}

/* Records a run that ended. */
static void
sim_end(struct sim *m, int i)
{
	struct slow_start_run r = { .kind = m->runs[i].kind,
		.work_us = (int)(m->now - m->runs[i].began) * 1000,
		.is_cold = m->now < m->cold_until,
		.running = m->nruns,
		.slots = m->slots };

	if (m->fails) {
		r.failed = 1;
		r.work_us = -1;
	}
	m->runs[i] = m->runs[--m->nruns];
	m->served += !r.failed;
	switch (slow_start_record(&m->start, &r, m->now)) {
	case SLOW_START_CHECK:
		if (m->checks++ == 0)
			m->checked_at = m->now;
		break;
	case SLOW_START_BEGAN:
		if (m->began++ == 0)
			m->began_at = m->now;
		break;
	case SLOW_START_DOWN:
		m->downs++;
		break;
	case SLOW_START_NONE:
	case SLOW_START_ENDED:
		break;
	}
}

/* Starts requests while the limit and the rate of a cold target allow it. */
static void
sim_fill(struct sim *m)
{
	int limit = slow_start_slots(&m->start, m->slots, m->now);
	struct sim_run *r;

	m->limited_ms += limit < m->slots;
	m->slots_ms += limit;
	m->tokens = MIN(m->tokens + COLD_RATE / 1000.0, 2);
	while (
	    m->nruns < limit && (m->now >= m->cold_until || m->tokens >= 1)) {
		m->tokens -= m->now < m->cold_until;
		r = &m->runs[m->nruns];
		r->began = m->now;
		r->ends = m->now + run_time(m);
		/* Three in four requests are of the first kind. */
		r->kind = g_rand_int_range(m->rand, 0, 4) == 0;
		m->nruns++;
	}
	m->peak = MAX(m->peak, m->nruns);
}

/* Runs for a time. */
static void
sim_run(struct sim *m, int64_t ms)
{
	int64_t end = m->now + ms;
	int i;

	for (; m->now < end; m->now++) {
		for (i = m->nruns - 1; i >= 0; i--)
			if (m->runs[i].ends <= m->now)
				sim_end(m, i);
		sim_fill(m);
	}
}

/* Runs until all slots may be used; returns the time, at most max ms. */
static int64_t
sim_until_full(struct sim *m, int64_t max)
{
	int64_t began = m->now;

	while (slow_start_slots(&m->start, m->slots, m->now) < m->slots &&
	       m->now - began < max)
		sim_run(m, 1);
	return m->now - began;
}

/* Another target is at the address, without requests. */
static void
sim_replace(struct sim *m, int cold_ms)
{
	m->nruns = 0;
	m->cold_until = m->now + cold_ms;
	slow_start_forget(&m->start);
	slow_start_begin(&m->start, SLOW_START_BOOT, m->slots, m->now);
	m->served = m->peak = 0;
	sim_run(m, 1);
}

/*
 * Load pattern: a release replaces targets one after the other, of different
 * speeds, each cold at first.  Each must begin with two requests, use most of
 * its rate while it is cold, and all slots soon after; its cold run times must
 * not become its usual ones, and the speed of the one before does not count.
 */
static void
release_replaces_targets(void)
{
	static const double speeds[] = { 1, 1.6, 0.55, 1.3, 0.7 };
	struct sim m;
	size_t i;
	int s;

	for (s = 6; s <= 18; s += 12) {
		sim_init(&m, 1, s, 140, 0.4);
		sim_run(&m, 5000);
		for (i = 0; i < G_N_ELEMENTS(speeds); i++) {
			m.work_ms = 140 * speeds[i];
			sim_replace(&m, COLD_MS);
			CU_ASSERT_EQUAL(m.nruns, 2);
			sim_run(&m, COLD_MS);
			CU_ASSERT(
			    m.served > COLD_MS * COLD_RATE / 1000 * 6 / 10);
			CU_ASSERT(sim_until_full(&m, 5000) < 1000);
			sim_run(&m, 4000);
		}
		CU_ASSERT_EQUAL(m.downs, 0);
		CU_ASSERT_EQUAL(m.began, 0);
		g_rand_free(m.rand);
	}
}

/*
 * Load pattern: targets are added while the service is full, so that all
 * entries send to the new ones at once.  These are warm at once.  The first
 * round must be two requests, and all slots must be used after a few rounds.
 */
static void
scale_out_under_full_load(void)
{
	struct sim m;
	int s;

	for (s = 6; s <= 18; s += 12) {
		sim_init(&m, 2, s, 270, 0.3);
		sim_replace(&m, 0);
		CU_ASSERT_EQUAL(m.nruns, 2);
		sim_run(&m, 100);
		CU_ASSERT(m.peak <= 4);
		CU_ASSERT(sim_until_full(&m, 5000) < 5 * 270);
		sim_run(&m, 3000);
		CU_ASSERT_FALSE(m.start.active);
		g_rand_free(m.rand);
	}
}

/*
 * Failure: a data centre is out for 20 s and back, and its targets have become
 * cold meanwhile.  They start with few requests and are judged by twice their
 * usual run times, so the limit does not fall.
 */
static void
data_centre_returns_cold(void)
{
	struct sim m;

	sim_init(&m, 3, 6, 180, 0.4);
	sim_run(&m, 10000);
	m.nruns = 0;
	m.now += 20000;
	slow_start_begin(&m.start, SLOW_START_EJECTION, m.slots, m.now);
	m.cold_until = m.now + COLD_MS;
	slow_start_begin(&m.start, SLOW_START_BOOT, m.slots, m.now);
	sim_run(&m, 1);
	CU_ASSERT_EQUAL(m.nruns, 2);
	m.served = 0;
	sim_run(&m, COLD_MS);
	CU_ASSERT(m.served > COLD_MS * COLD_RATE / 1000 * 6 / 10);
	CU_ASSERT_EQUAL(m.downs, 0);
	CU_ASSERT(sim_until_full(&m, 5000) < 500);
	g_rand_free(m.rand);
}

/*
 * Failure: a target that cannot bear its slots after its start, as each request
 * beyond two takes longer or is refused.  The limit falls, not below two, and
 * the slow start ends by itself.
 */
static void
overloaded_start_is_lowered(void)
{
	struct sim m;
	int64_t began;

	sim_init(&m, 4, 18, 100, 0.3);
	sim_run(&m, 5000);
	m.nruns = 0;
	slow_start_begin(&m.start, SLOW_START_EJECTION, m.slots, m.now);
	began = m.now;
	m.factor = 4;
	sim_run(&m, 4000);
	CU_ASSERT(m.downs > 0);
	CU_ASSERT(slow_start_slots(&m.start, m.slots, m.now) < 9);
	CU_ASSERT(slow_start_slots(&m.start, m.slots, m.now) >= 2);
	sim_run(&m, began + 10000 - m.now);
	CU_ASSERT_EQUAL(slow_start_slots(&m.start, m.slots, m.now), 18);
	/* Refusals lower it as well. */
	slow_start_begin(&m.start, SLOW_START_EJECTION, m.slots, m.now);
	m.factor = 1;
	sim_run(&m, 500);
	m.fails = 1;
	m.downs = 0;
	sim_run(&m, 1500);
	CU_ASSERT(m.downs > 0);
	CU_ASSERT_EQUAL(slow_start_slots(&m.start, m.slots, m.now), 2);
	g_rand_free(m.rand);
}

/*
 * Failure: a target is ejected and returns, or its data centre is out and back,
 * each 1.4 s.  The target is warm, so it must not be kept at two slots.
 */
static void
flapping_keeps_most_slots(void)
{
	struct sim m;
	int i, s;

	for (s = 6; s <= 18; s += 12) {
		sim_init(&m, 5, s, 270, 0.4);
		sim_run(&m, 10000);
		m.slots_ms = 0;
		for (i = 0; i < 10; i++) {
			slow_start_begin(
			    &m.start, SLOW_START_EJECTION, m.slots, m.now);
			m.nruns = 0;
			sim_run(&m, 700);
			m.now += 700;
		}
		CU_ASSERT(m.slots_ms > (int64_t)10 * 700 * s / 2);
		g_rand_free(m.rand);
	}
}

/*
 * Failure: a target is five times slower for 6.5 s.  Its limit does not fall
 * below half its slots, and it uses all of them within a second of its
 * recovery.
 */
static void
recovery_from_slowness(void)
{
	struct sim m;
	int s, low;

	for (s = 6; s <= 18; s += 12) {
		sim_init(&m, 6, s, 140, 0.4);
		sim_run(&m, 10000);
		m.factor = 5;
		sim_run(&m, 6500);
		CU_ASSERT_EQUAL(m.began, 1);
		low = slow_start_slots(&m.start, m.slots, m.now);
		CU_ASSERT(low >= s / 2 && low < s);
		m.factor = 1;
		/* Requests that were begun before take 0.7 s more. */
		CU_ASSERT(sim_until_full(&m, 5000) < 1000);
		m.limited_ms = 0;
		sim_run(&m, 20000);
		CU_ASSERT_EQUAL(m.limited_ms, 0);
		g_rand_free(m.rand);
	}
}

/*
 * Failure: the node restarts alone beside a warm target under full load.  The
 * limit and the references are lost; the target must get all its slots at once
 * and must not be taken for slow while references are made anew.
 */
static void
node_restarts_beside_warm_target(void)
{
	struct sim m;

	sim_init(&m, 7, 6, 140, 0.6);
	m.pause_each_ms = 4000;
	sim_run(&m, 20000);
	CU_ASSERT_EQUAL(m.limited_ms, 0);
	CU_ASSERT_EQUAL(m.began, 0);
	g_rand_free(m.rand);
}

/*
 * Failure: a target becomes cold without a notice, neither in the store nor in
 * an answer: its work takes twice as long for 3 s.  A status check must be
 * asked for, and if the target does not say it there either, half the slots
 * must be left unused before the warm-up ends.
 */
static void
cold_without_a_notice(void)
{
	struct sim m;
	uint32_t seed;
	int s, checked = 0, limited = 0;

	for (seed = 0; seed < 20; seed++) {
		s = seed % 2 == 0 ? 6 : 18;
		sim_init(&m, seed, s, 140, 0.4);
		sim_run(&m, 20000);
		m.checks = m.began = 0;
		m.secret_until = m.now + COLD_MS;
		sim_run(&m, COLD_MS);
		checked += m.checks + m.began > 0;
		limited += m.began > 0;
		g_rand_free(m.rand);
	}
	CU_ASSERT(checked >= 18);
	CU_ASSERT(limited >= 15);
}

/*
 * Load pattern: a warm target with all slots busy and normal variation: work
 * spread 0.3 to 0.8, 3 in 100 requests 7 times longer, and pauses of 600 ms in
 * which everything is 2.5 times slower.  It must not be limited at any time,
 * and status checks must stay rare.
 */
static void
healthy_target_is_not_limited(void)
{
	static const double spreads[] = { 0.3, 0.5, 0.8 };
	struct sim m;
	uint32_t seed;
	int s, checks = 0;
	size_t i;

	for (seed = 0; seed < 6; seed++)
		for (i = 0; i < G_N_ELEMENTS(spreads); i++) {
			s = seed % 2 == 0 ? 6 : 18;
			sim_init(&m, seed, s, 140, spreads[i]);
			m.pause_each_ms = seed % 3 == 0 ? 0 : 4000;
			sim_run(&m, 120000);
			CU_ASSERT_EQUAL(m.limited_ms, 0);
			CU_ASSERT_EQUAL(m.began, 0);
			checks += m.checks;
			g_rand_free(m.rand);
		}
	/* Of 36 minutes; each check is a request to the target. */
	CU_ASSERT(checks < 36 * 6);
}

/*
 * Load pattern: 7 in 10 requests make calls, and the called service becomes
 * much slower for 8.5 s.  That is no slowness of this target, which must not be
 * limited, as its parents' calls would only wait longer.
 */
static void
slow_callees_are_no_slowness(void)
{
	struct sim m;
	uint32_t seed;

	for (seed = 0; seed < 6; seed++) {
		sim_init(&m, seed, seed % 2 == 0 ? 6 : 18, 140, 0.4);
		m.call_share = 0.7;
		m.call_ms = 180;
		sim_run(&m, 20000);
		m.call_ms = 700;
		sim_run(&m, 8500);
		m.call_ms = 180;
		sim_run(&m, 10000);
		CU_ASSERT_EQUAL(m.began, 0);
		CU_ASSERT_EQUAL(m.limited_ms, 0);
		g_rand_free(m.rand);
	}
}

/*
 * Load pattern: a target that is a third to a half slower when nearly all of
 * its slots are busy.  That is the normal state of a full target.
 */
static void
full_target_is_not_limited(void)
{
	struct sim m;
	uint32_t seed;

	for (seed = 0; seed < 6; seed++) {
		sim_init(&m, seed, seed % 2 == 0 ? 6 : 18, 140, 0.4);
		sim_run(&m, 20000);
		m.full_factor = seed % 3 == 0 ? 1.5 : 1.33;
		sim_run(&m, 30000);
		CU_ASSERT(m.limited_ms < 1500);
		g_rand_free(m.rand);
	}
}

/*
 * Guards against a target that loses slots without being slow: past
 * SLOW_START_KINDS kinds, short requests of one that was added counted for a
 * long one, which then seemed to have become slow.
 */
static void
references_survive_many_routes(void)
{
	struct slow_start_run used = { .work_us = 500000, .slots = 8 };
	struct slow_start_run added = { .work_us = 2000, .slots = 8 };
	struct slow_start s;
	int64_t now;
	int began = 0;

	slow_start_init(&s);
	for (now = 0; now < 60000; now += 20) {
		began += slow_start_record(&s, &used, now) == SLOW_START_BEGAN;
		if (now % 100 != 0 || now > 30000)
			continue;
		added.kind += now % 500 == 0 ? SLOW_START_KINDS : 0;
		slow_start_record(&s, &added, now);
	}
	CU_ASSERT_EQUAL(began, 0);
	CU_ASSERT_EQUAL(slow_start_slots(&s, 8, now), 8);
}

static const struct test tests[] = {
	{ "release replaces targets", release_replaces_targets },
	{ "scale-out under full load", scale_out_under_full_load },
	{ "data centre returns cold", data_centre_returns_cold },
	{ "overloaded start is lowered", overloaded_start_is_lowered },
	{ "flapping keeps most slots", flapping_keeps_most_slots },
	{ "recovery from slowness", recovery_from_slowness },
	{ "node restarts beside warm target",
	    node_restarts_beside_warm_target },
	{ "cold without a notice", cold_without_a_notice },
	{ "healthy target is not limited", healthy_target_is_not_limited },
	{ "slow callees are no slowness", slow_callees_are_no_slowness },
	{ "full target is not limited", full_target_is_not_limited },
	{ "references survive many routes", references_survive_many_routes },
};

TEST_MAIN("slow_start", tests)
