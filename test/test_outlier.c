/* Targets that fail although slots are free. */
#include "../mesh/outlier.h"
#include "test.h"

#define SLOTS 6

/* Breaks in a row eject; trials come with pauses that grow; success ends it. */
static void
breaks_eject(void)
{
	struct outlier o;
	int64_t now = 1000;
	int i, pauses[] = { 250, 500, 1000, 2000, 4000, 4000 };

	outlier_init(&o);
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(
		    outlier_note(&o, OUTLIER_BROKEN, SLOTS, now), 0);
	CU_ASSERT(outlier_admits(&o, 0, now));
	CU_ASSERT(outlier_slots(&o, SLOTS) < SLOTS);
	for (i = 0; i < 6; i++) {
		CU_ASSERT_EQUAL(
		    outlier_note(&o, OUTLIER_BROKEN, SLOTS, now), 1);
		/* What was under way comes back as well, and adds nothing. */
		CU_ASSERT_EQUAL(
		    outlier_note(&o, OUTLIER_BROKEN, SLOTS, now + 1), 0);
		CU_ASSERT_EQUAL(outlier_wait_ms(&o, now), pauses[i]);
		CU_ASSERT_FALSE(outlier_admits(&o, 1, now + pauses[i] - 1));
		now += pauses[i];
		CU_ASSERT(outlier_admits(&o, 1, now));
		/* One that may run once is no trial, unless there is no other.
		 */
		CU_ASSERT_FALSE(outlier_admits(&o, 0, now));
		CU_ASSERT(outlier_admits(&o, 0, now + 1000));
		outlier_begin(&o);
		CU_ASSERT_FALSE(outlier_admits(&o, 1, now));
	}
	outlier_note(&o, OUTLIER_SERVED, SLOTS, now);
	CU_ASSERT(outlier_admits(&o, 0, now));
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), 1);
	for (i = 0; i < SLOTS; i++)
		outlier_note(&o, OUTLIER_SERVED, SLOTS, now);
	CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	CU_ASSERT_EQUAL(outlier_wait_ms(&o, now), 0);
}

/* A trial whose caller goes says nothing, and another may begin. */
static void
a_trial_may_be_given_up(void)
{
	struct outlier o;
	int i;

	outlier_init(&o);
	for (i = 0; i < 4; i++)
		outlier_note(&o, OUTLIER_BROKEN, SLOTS, 0);
	CU_ASSERT(outlier_admits(&o, 1, 250));
	outlier_begin(&o);
	CU_ASSERT_FALSE(outlier_admits(&o, 1, 250));
	outlier_forget(&o);
	CU_ASSERT(outlier_admits(&o, 1, 250));
}

/*
 * A share of answers that are lost, as after a crash of the target's writer,
 * costs few slots; a share that is shed costs none and is told as load.
 */
static void
shares_of_failures(void)
{
	struct outlier o;
	GRand *rand = g_rand_new_with_seed(3);
	int i, ejected = 0, slots = 0;

	outlier_init(&o);
	for (i = 0; i < 2000; i++) {
		ejected += outlier_note(&o,
		    g_rand_int_range(rand, 0, 20) == 0 ? OUTLIER_BROKEN
						       : OUTLIER_SERVED,
		    SLOTS, i);
		slots += outlier_slots(&o, SLOTS);
	}
	CU_ASSERT_EQUAL(ejected, 0);
	CU_ASSERT(slots > 2000 * SLOTS * 9 / 10);
	outlier_init(&o);
	for (i = 0; i < 2000; i++) {
		ejected += outlier_note(&o,
		    g_rand_int_range(rand, 0, 100) < 55 ? OUTLIER_SHED
							: OUTLIER_SERVED,
		    SLOTS, i);
		CU_ASSERT_EQUAL(outlier_slots(&o, SLOTS), SLOTS);
	}
	CU_ASSERT_EQUAL(ejected, 0);
	CU_ASSERT(outlier_shed_percent(&o) > 25);
	CU_ASSERT(outlier_shed_percent(&o) < 85);
	for (i = 0; i < 100; i++)
		outlier_note(&o, OUTLIER_SERVED, SLOTS, i);
	CU_ASSERT_EQUAL(outlier_shed_percent(&o), 0);
	g_rand_free(rand);
}

static const struct test tests[] = {
	{ "breaks eject", breaks_eject },
	{ "a trial may be given up", a_trial_may_be_given_up },
	{ "shares of failures", shares_of_failures },
};

TEST_MAIN("outlier", tests)
