/* Poison requests: counting, merging, refuting and expiry of crashes. */
#include "../mesh/poison.h"
#include "test.h"

#define BAD 0xbadULL
#define NOW 100000
#define END (NOW + POISON_QUARANTINE_MS)

static struct poison *p;

/* Adds one crash. */
static int
crash(uint64_t id, int64_t now)
{
	struct crashes c = { 1, { id } };

	return poison_add_crashes(p, BAD, &c, END, now);
}

/*
 * Found by the soak (BUDGET): crashes that two nodes observe at the same time
 * must add up, in any order.
 */
static void
crashes_of_two_nodes_add_up(void)
{
	struct crashes both = { 2, { 1, 2 } };

	p = poison_new();
	CU_ASSERT_EQUAL(crash(1, NOW), 1);
	CU_ASSERT_EQUAL(crash(2, NOW), 1);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW), 2);
	/* Reported again by other nodes: nothing is new. */
	CU_ASSERT_EQUAL(poison_add_crashes(p, BAD, &both, END + 5, NOW + 5), 0);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW), 2);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD + 1, NOW), 0);
	poison_free(p);
}

/* A repeated report of known crashes does not extend the quarantine. */
static void
quarantine_expires(void)
{
	struct crashes c;

	p = poison_new();
	crash(1, NOW);
	crash(2, NOW);
	CU_ASSERT_EQUAL(poison_crash_ids(p, BAD, &c, NOW), END);
	CU_ASSERT_EQUAL(c.n, 2);
	poison_add_crashes(p, BAD, &c, END + 1000, NOW + 1000);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, END - 1), 2);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, END), 0);
	poison_free(p);
}

/* A success refutes the crashes before it, not those after. */
static void
success_refutes_earlier_crashes(void)
{
	struct crashes c;
	int64_t later = NOW + 60000;

	p = poison_new();
	crash(1, NOW);
	poison_succeeded(p, BAD, NOW + 10);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW + 10), 0);
	/* Another node reports the same crash, which stays refuted. */
	CU_ASSERT_EQUAL(crash(1, NOW + 20), 0);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW + 20), 0);
	/* It succeeded just before, so these crashes had another cause. */
	crash(2, NOW + 100);
	crash(3, NOW + 100);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW + 100), 0);
	poison_crash_ids(p, BAD, &c, NOW + 100);
	CU_ASSERT_EQUAL(c.n, 0);
	/* Without a recent success, crashes count. */
	crash(4, later);
	crash(5, later);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, later), 2);
	poison_free(p);
}

/* The tables keep their bounds under any number of crashes. */
static void
tables_are_bounded(void)
{
	struct crashes c = { 1, { 7 } };
	uint64_t i;

	p = poison_new();
	for (i = 0; i < 100; i++)
		crash(i, NOW);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW), POISON_CRASHES_MAX);
	for (i = 0; i < 5000; i++)
		poison_add_crashes(p, i << 20, &c, END + (int64_t)i, NOW);
	/* The last one is there; the quarantined one expired first. */
	CU_ASSERT_EQUAL(poison_crash_count(p, 4999ULL << 20, NOW), 1);
	CU_ASSERT_EQUAL(poison_crash_count(p, BAD, NOW), 0);
	poison_free(p);
}

/*
 * Three nodes report random crashes to each other in random order.  All agree
 * in the end, and the number of reports that count as new is bounded.
 */
static void
nodes_converge(void)
{
	struct poison *nodes[3];
	struct crashes c;
	GRand *rand = g_rand_new_with_seed(19);
	int i, k, round, new_reports;

	for (round = 0; round < 200; round++) {
		for (i = 0; i < 3; i++)
			nodes[i] = poison_new();
		new_reports = 0;
		for (k = 0; k < 9; k++) {
			p = nodes[g_rand_int_range(rand, 0, 3)];
			crash((uint64_t)round * 9 + (uint64_t)k, NOW);
		}
		for (k = 0; k < 60; k++) {
			i = g_rand_int_range(rand, 0, 3);
			poison_crash_ids(nodes[i], BAD, &c, NOW);
			p = nodes[(i + 1 + g_rand_int_range(rand, 0, 2)) % 3];
			new_reports += poison_add_crashes(p, BAD, &c, END, NOW);
		}
		CU_ASSERT(new_reports <= 2 * POISON_CRASHES_MAX);
		for (i = 0; i < 3; i++) {
			CU_ASSERT_EQUAL(poison_crash_count(nodes[i], BAD, NOW),
			    POISON_CRASHES_MAX);
			poison_free(nodes[i]);
		}
	}
	g_rand_free(rand);
}

static const struct test tests[] = {
	{ "crashes of two nodes add up", crashes_of_two_nodes_add_up },
	{ "quarantine expires", quarantine_expires },
	{ "success refutes earlier crashes", success_refutes_earlier_crashes },
	{ "tables are bounded", tables_are_bounded },
	{ "nodes converge", nodes_converge },
};

TEST_MAIN("poison", tests)
