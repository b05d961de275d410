/* Ejection of targets that fail requests although slots are free. */
#include "../mesh/outlier.h"
#include "test.h"

#define SLOTS 6

/*
 * Broken requests in a row eject the target.  The pauses between trials double
 * up to a limit, and a successful trial ends the ejection with one slot.
 */
static void
broken_requests_eject(void)
{
	struct outlier o;
	int64_t now = 1000;
	int i, pauses[] = { 250, 500, 1000, 2000, 4000, 4000 };

	outlier_init(&o);
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(
		    outlier_record(&o, OUTLIER_BROKEN, SLOTS, now), 0);
	CU_ASSERT(outlier_admits(&o, 0, now));
	CU_ASSERT(outlier_slots(&o, SLOTS) < SLOTS);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_EQUAL(
		    outlier_record(&o, OUTLIER_BROKEN, SLOTS, now), 1);
		/* Requests in flight break as well; the pause stays. */
		CU_ASSERT_EQUAL(
		    outlier_record(&o, OUTLIER_BROKEN, SLOTS, now + 1), 0);
		CU_ASSERT_EQUAL(outlier_wait_ms(&o, now), pauses[i]);
		CU_ASSERT_FALSE(outlier_admits(&o, 1, now + pauses[i] - 1));
		now += pauses[i];
		CU_ASSERT(outlier_admits(&o, 1, now));
		/* A request that may run at most once is a trial only later. */
		CU_ASSERT_FALSE(outlier_admits(&o, 0, now));
		CU_ASSERT(outlier_admits(&o, 0, now + 1000));
		outlier_start(&o);
		CU_ASSERT_FALSE(outlier_admits(&o, 1, now));
	}
	outlier_record(&o, OUTLIER_SERVED, SLOTS, now);
	CU_ASSERT(outlier_admits(&o, 0, now));
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), 1);
	for (i = 0; i < SLOTS; i++)
		outlier_record(&o, OUTLIER_SERVED, SLOTS, now);
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	CU_ASSERT_EQUAL(outlier_wait_ms(&o, now), 0);
}

/* A cancelled trial is no result, and another one may begin. */
static void
cancelled_trial_allows_another(void)
{
	struct outlier o;
	int i;

	outlier_init(&o);
	for (i = 0; i < 4; i++)
		outlier_record(&o, OUTLIER_BROKEN, SLOTS, 0);
	CU_ASSERT(outlier_admits(&o, 1, 250));
	outlier_start(&o);
	CU_ASSERT_FALSE(outlier_admits(&o, 1, 250));
	outlier_cancel(&o);
	CU_ASSERT(outlier_admits(&o, 1, 250));
}

/*
 * A small share of lost answers, as after a crash of the process that writes
 * them, costs few slots.  A share of shed requests costs none, but is measured.
 */
static void
failure_rates(void)
{
	struct outlier o;
	GRand *rand = g_rand_new_with_seed(3);
	int i, ejected = 0, slots = 0;

	outlier_init(&o);
	for (i = 0; i < 2000; i++) {
		ejected += outlier_record(&o,
		    g_rand_int_range(rand, 0, 20) == 0 ? OUTLIER_BROKEN
						       : OUTLIER_SERVED,
		    SLOTS, i);
		slots += outlier_slots(&o, SLOTS);
	}
	CU_ASSERT_EQUAL(ejected, 0);
	CU_ASSERT(slots > 2000 * SLOTS * 9 / 10);
	outlier_init(&o);
	for (i = 0; i < 2000; i++) {
		ejected += outlier_record(&o,
		    g_rand_int_range(rand, 0, 100) < 55 ? OUTLIER_SHED
							: OUTLIER_SERVED,
		    SLOTS, i);
		CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	}
	CU_ASSERT_EQUAL(ejected, 0);
	CU_ASSERT(outlier_shed_percent(&o) > 25);
	CU_ASSERT(outlier_shed_percent(&o) < 85);
	for (i = 0; i < 100; i++)
		outlier_record(&o, OUTLIER_SERVED, SLOTS, i);
	CU_ASSERT_EQUAL(outlier_shed_percent(&o), 0);
	g_rand_free(rand);
}

static const struct test tests[] = {
	{ "broken requests eject", broken_requests_eject },
	{ "cancelled trial allows another", cancelled_trial_allows_another },
	{ "failure rates", failure_rates },
};

TEST_MAIN("outlier", tests)
