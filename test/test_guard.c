/*
 * The guard: a request runs at most once, one reported as "not run" never runs
 * later, a cold target starts slowly, and poison requests are quarantined.
 */
#include "../mesh/mesh.h"
#include "test.h"

#define BOOT   1000000 /* wall ms */
#define NOW    50000   /* monotonic ms */
#define ORIGIN 0x5eed0000ULL
#define LATER  (BOOT + 60000) /* wall ms; the memory covers ids of that time */

static struct guard *g;

/* A request that may run at most once, with an id that the memory covers. */
static struct guard_request
make(const char *id)
{
	struct guard_request r = { .once = 1,
		.born_wall_ms = LATER,
		.deadline = NOW + 10000,
		.priority = PRIORITY_NORMAL };

	g_strlcpy(r.id, id, sizeof(r.id));
	r.fingerprint = g_str_hash(id);
	return r;
}

static enum guard_verdict
admit(const struct guard_request *r)
{
	return guard_admit(g, r, NOW, LATER);
}

/* Takes the next request, which must be the one expected. */
static struct guard_request
expect_run(const char *id)
{
	struct guard_request r = { .id = "" };
	enum guard_verdict v = GUARD_BUSY;

	CU_ASSERT_EQUAL(guard_next(g, &r, &v, NOW), 1);
	CU_ASSERT_EQUAL(v, GUARD_RUN);
	CU_ASSERT_STRING_EQUAL(r.id, id);
	return r;
}

static void
begin(void)
{
	g = guard_new(12, BOOT, ORIGIN);
	guard_limit(g)->current = 12;
}

static void
end(void)
{
	guard_free(g);
}

static void
second_request_is_duplicate(void)
{
	struct guard_request r = make("a");

	begin();
	CU_ASSERT_EQUAL(admit(&r), GUARD_QUEUE);
	CU_ASSERT_EQUAL(admit(&r), GUARD_DUPLICATE);
	r = expect_run("a");
	CU_ASSERT_EQUAL(admit(&r), GUARD_DUPLICATE);
	guard_done(g, &r, EXCHANGE_OK, 1000, NOW);
	CU_ASSERT_EQUAL(admit(&r), GUARD_DUPLICATE);
	end();
}

static void
fenced_id_never_runs(void)
{
	struct guard_request r = make("a");

	begin();
	CU_ASSERT_EQUAL(
	    guard_fence(g, "a", 0, LATER, NOW, LATER), GUARD_FENCED);
	CU_ASSERT_EQUAL(admit(&r), GUARD_FENCED);
	end();
}

static void
refused_id_never_runs_later(void)
{
	struct guard_request r = make("a");

	begin();
	guard_set_out(g, 1);
	CU_ASSERT_EQUAL(admit(&r), GUARD_OUT);
	guard_set_out(g, 0);
	CU_ASSERT_EQUAL(admit(&r), GUARD_FENCED);
	end();
}

static void
shed_id_never_runs_later(void)
{
	struct guard_request r = make("a");

	begin();
	admit(&r);
	r = expect_run("a");
	guard_done(g, &r, EXCHANGE_SHED, 1000, NOW);
	CU_ASSERT_EQUAL(admit(&r), GUARD_FENCED);
	end();
}

static void
id_older_than_memory_is_unknown(void)
{
	struct guard_request r = make("a");

	begin();
	r.born_wall_ms = BOOT - 1;
	CU_ASSERT_EQUAL(admit(&r), GUARD_UNKNOWN);
	/* Clocks may differ, so ids made shortly after the start are not. */
	r.born_wall_ms = BOOT + GUARD_SKEW_MS - 1;
	CU_ASSERT_EQUAL(admit(&r), GUARD_UNKNOWN);
	r.born_wall_ms = LATER;
	CU_ASSERT_EQUAL(guard_admit(g, &r, NOW + GUARD_REMEMBER_MS,
			    LATER + GUARD_REMEMBER_MS),
	    GUARD_UNKNOWN);
	end();
}

static void
fresh_id_runs_in_a_new_guard(void)
{
	struct guard_request r = make("a");

	begin();
	r.born_wall_ms = BOOT;
	r.fresh = 1;
	CU_ASSERT_EQUAL(admit(&r), GUARD_QUEUE);
	/* A second copy is a duplicate, even of a fresh id. */
	CU_ASSERT_EQUAL(admit(&r), GUARD_DUPLICATE);
	end();
}

static void
id_of_a_removed_home_is_unknown(void)
{
	const char *first, *second;
	struct guard_request r = make("0195-some-id");

	begin();
	/* The removed target ranked first among the id's two homes. */
	first = pick_home_weight(r.id, "t1") > pick_home_weight(r.id, "t2")
		    ? "t1"
		    : "t2";
	second = strcmp(first, "t1") == 0 ? "t2" : "t1";
	guard_target_removed(g, second, first, LATER + 1);
	CU_ASSERT_EQUAL(admit(&r), GUARD_UNKNOWN);
	guard_free(g);
	begin();
	guard_target_removed(g, first, second, LATER + 1);
	CU_ASSERT_EQUAL(admit(&r), GUARD_QUEUE);
	end();
}

static void
deadline_is_checked_again_before_run(void)
{
	struct guard_request r = make("a");
	enum guard_verdict v;

	begin();
	admit(&r);
	CU_ASSERT_EQUAL(guard_next(g, &r, &v, NOW + 20000), 1);
	CU_ASSERT_EQUAL(v, GUARD_LATE);
	CU_ASSERT_EQUAL(guard_running(g), 0);
	end();
}

static void
cold_target_gets_one_request_at_a_time(void)
{
	struct guard_request a = make("a"), b = make("b");
	enum guard_verdict v;

	g = guard_new(12, BOOT, ORIGIN);
	admit(&a);
	admit(&b);
	a = expect_run("a");
	CU_ASSERT_EQUAL(guard_next(g, &b, &v, NOW), 0);
	guard_done(g, &a, EXCHANGE_OK, 1000, NOW);
	expect_run("b");
	end();
}

static void
broken_exchange_resets_limit(void)
{
	struct guard_request a = make("a");

	begin();
	admit(&a);
	a = expect_run("a");
	guard_done(g, &a, EXCHANGE_BROKEN, 1000, NOW);
	CU_ASSERT_EQUAL(guard_limit(g)->current, 1);
	end();
}

static void
high_priority_runs_first_and_overflow_is_refused(void)
{
	struct guard_request r;
	enum guard_verdict v;
	char id[16];
	int i;

	begin();
	guard_limit(g)->current = 0;
	for (i = 0; i < GUARD_QUEUE_MAX; i++) {
		g_snprintf(id, sizeof(id), "low%d", i);
		r = make(id);
		r.priority = PRIORITY_LOW;
		r.deadline = NOW + 100000 + i;
		guard_limit(g)->current = 1000000;
		CU_ASSERT_EQUAL(admit(&r), GUARD_QUEUE);
	}
	r = make("same");
	r.priority = PRIORITY_LOW;
	r.deadline = NOW + 200000;
	CU_ASSERT_EQUAL(admit(&r), GUARD_BUSY);
	r = make("high");
	r.priority = PRIORITY_HIGH;
	CU_ASSERT_EQUAL(admit(&r), GUARD_QUEUE);
	CU_ASSERT_EQUAL(guard_next(g, &r, &v, NOW), 1);
	CU_ASSERT_EQUAL(v, GUARD_BUSY);
	CU_ASSERT_STRING_EQUAL(r.id, "low63");
	expect_run("high");
	end();
}

/*
 * A second crash quarantines the request that caused it.  Another one that ran
 * during the first crash succeeds later, which refutes that crash.
 */
static void
poison_is_refused_after_two_crashes(void)
{
	struct guard_request bad = make("bad"), good = make("good"), r;
	enum guard_verdict v;

	begin();
	bad.once = good.once = 0;
	admit(&bad);
	admit(&good);
	r = expect_run("bad");
	good = expect_run("good");
	guard_done(g, &r, EXCHANGE_BROKEN, 1000, NOW);
	guard_done(g, &good, EXCHANGE_BROKEN, 1000, NOW);
	CU_ASSERT_EQUAL(guard_crash_count(g, bad.fingerprint, NOW), 1);
	CU_ASSERT_EQUAL(guard_crash_count(g, good.fingerprint, NOW), 1);
	guard_limit(g)->current = 12;
	admit(&good);
	admit(&bad);
	r = expect_run("good");
	/* The other suspect does not run while this one does. */
	CU_ASSERT_EQUAL(guard_next(g, &bad, &v, NOW), 0);
	guard_done(g, &r, EXCHANGE_OK, 1000, NOW + 200);
	r = expect_run("bad");
	guard_done(g, &r, EXCHANGE_BROKEN, 1000, NOW + 400);
	CU_ASSERT_EQUAL(guard_crash_count(g, good.fingerprint, NOW), 0);
	CU_ASSERT_EQUAL(admit(&bad), GUARD_POISON);
	CU_ASSERT_EQUAL(admit(&good), GUARD_QUEUE);
	CU_ASSERT_EQUAL(guard_release(g, bad.fingerprint), 1);
	CU_ASSERT_EQUAL(admit(&bad), GUARD_QUEUE);
	end();
}

/*
 * Found by the soak (BUDGET): crashes that two guards observe at the same time
 * must add up at a third one.
 */
static void
crashes_of_two_guards_add_up(void)
{
	struct guard_request bad = make("bad"), r;
	struct crashes seen;
	struct guard *third;
	uint64_t i;

	bad.once = 0;
	third = guard_new(12, BOOT, ORIGIN);
	for (i = 1; i <= 2; i++) {
		g = guard_new(12, BOOT, ORIGIN + (i << 32));
		guard_limit(g)->current = 12;
		admit(&bad);
		r = expect_run("bad");
		guard_done(g, &r, EXCHANGE_BROKEN, 1000, NOW);
		guard_crash_ids(g, bad.fingerprint, &seen, NOW);
		CU_ASSERT_EQUAL(seen.n, 1);
		guard_add_crashes(third, bad.fingerprint, &seen, NOW);
		/* A crash that is reported twice counts once. */
		guard_add_crashes(third, bad.fingerprint, &seen, NOW);
		guard_free(g);
	}
	g = third;
	CU_ASSERT_EQUAL(guard_crash_count(g, bad.fingerprint, NOW), 2);
	CU_ASSERT_EQUAL(admit(&bad), GUARD_POISON);
	end();
}

static void
quarantine_expires(void)
{
	struct guard_request bad = make("bad");
	struct crashes crashes = { POISON_CRASHES_MAX, { 1, 2 } };

	begin();
	bad.once = 0;
	guard_add_crashes(g, bad.fingerprint, &crashes, NOW);
	CU_ASSERT_EQUAL(admit(&bad), GUARD_POISON);
	bad.deadline = NOW + POISON_QUARANTINE_MS + 10000;
	CU_ASSERT_EQUAL(
	    guard_admit(g, &bad, NOW + POISON_QUARANTINE_MS + 1, LATER),
	    GUARD_QUEUE);
	end();
}

static const struct test tests[] = {
	{ "second request is duplicate", second_request_is_duplicate },
	{ "fenced id never runs", fenced_id_never_runs },
	{ "refused id never runs later", refused_id_never_runs_later },
	{ "shed id never runs later", shed_id_never_runs_later },
	{ "id older than memory is unknown", id_older_than_memory_is_unknown },
	{ "fresh id runs in a new guard", fresh_id_runs_in_a_new_guard },
	{ "id of a removed home is unknown", id_of_a_removed_home_is_unknown },
	{ "deadline is checked again before run",
	    deadline_is_checked_again_before_run },
	{ "cold target gets one request at a time",
	    cold_target_gets_one_request_at_a_time },
	{ "broken exchange resets limit", broken_exchange_resets_limit },
	{ "high priority runs first and overflow is refused",
	    high_priority_runs_first_and_overflow_is_refused },
	{ "poison is refused after two crashes",
	    poison_is_refused_after_two_crashes },
	{ "crashes of two guards add up", crashes_of_two_guards_add_up },
	{ "quarantine expires", quarantine_expires },
};

TEST_MAIN("guard", tests)
