/* A call at its entry: silence, retries, giving up, honest refusals. */
#include "../mesh/call.h"
#include "test.h"

#define NOW	 1000
#define DEADLINE (NOW + 2000)

static struct budget budget;

/* A call that has been sent once. */
static struct call
sent(int once, int minted)
{
	struct call c = {
		.once = once, .minted = minted, .deadline = DEADLINE
	};

	budget_init(&budget);
	CU_ASSERT_EQUAL(call_start(&c, NOW), CALL_SEND);
	call_sent(&c, NOW);
	return c;
}

static enum call_action
hear(struct call *c, enum call_outcome out)
{
	return call_outcome(c, out, &budget, NOW + 1);
}

static void
silence_asks_and_never_resends_what_runs_once(void)
{
	struct call c = sent(1, 1);
	int64_t now = NOW;
	int asks = 0;

	while ((now = c.wake) < DEADLINE) {
		CU_ASSERT_EQUAL(call_timer(&c, &budget, now), CALL_ASK);
		asks++;
	}
	CU_ASSERT(asks > 3);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, now), CALL_REFUSE);
	CU_ASSERT_EQUAL(c.last, OUTCOME_UNKNOWN);
	CU_ASSERT_FALSE(call_not_run(&c));
	CU_ASSERT_EQUAL(c.tries, 1);
}

static void
silent_repeatable_goes_elsewhere(void)
{
	struct call c = sent(0, 1);

	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_SEND);
	/* It may have run there, so no later refusal may deny it. */
	call_sent(&c, NOW + 300);
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_LATE), CALL_REFUSE);
	CU_ASSERT_FALSE(call_not_run(&c));
}

static void
broken_exchange_is_not_resent_when_it_runs_once(void)
{
	struct call c = sent(1, 1);

	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BROKEN), CALL_REFUSE);
	CU_ASSERT_FALSE(call_not_run(&c));
	c = sent(0, 1);
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BROKEN), CALL_SEND);
}

static void
refusal_not_run_is_tried_elsewhere(void)
{
	struct call c = sent(1, 1);

	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BUSY), CALL_SEND);
	CU_ASSERT_EQUAL(c.walked, 1);
	c.tries = CALL_TRIES;
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BUSY), CALL_REFUSE);
	CU_ASSERT(call_not_run(&c));
}

static void
retries_end_with_the_budget(void)
{
	struct call c = sent(0, 1);

	budget.tokens = 0;
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BUSY), CALL_REFUSE);
	CU_ASSERT(call_not_run(&c));
	/* A target that is out is no sign of load. */
	c = sent(0, 1);
	budget.tokens = 0;
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_OUT), CALL_SEND);
}

static void
unsure_about_a_callers_id_until_all_homes_spoke(void)
{
	struct call c = sent(1, 0);

	/* Fenced before: an earlier call may have gone on from here. */
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_FENCED), CALL_SEND);
	CU_ASSERT_FALSE(call_not_run(&c));
	call_sent(&c, NOW + 1);
	c.tries = CALL_TRIES;
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BUSY), CALL_REFUSE);
	/* Another call under the id may go on from that home. */
	CU_ASSERT_FALSE(call_not_run(&c));
	/* Every home has passed it by. */
	c = sent(1, 0);
	hear(&c, OUTCOME_FENCED);
	CU_ASSERT_EQUAL(
	    call_nobody(&c, OUTCOME_NO_TARGET, NOW + 1), CALL_REFUSE);
	CU_ASSERT(call_not_run(&c));
}

static void
stale_view_pauses_and_goes_to_the_same(void)
{
	struct call c = sent(1, 1);

	CU_ASSERT_EQUAL(hear(&c, OUTCOME_STALE), CALL_WAIT);
	CU_ASSERT_EQUAL(c.state, CALL_PAUSED);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_SEND_SAME);
	CU_ASSERT_EQUAL(c.walked, 0);
}

static void
lost_answer_is_asked_for(void)
{
	struct call c = sent(1, 1);

	call_acked(&c, NOW + 1);
	/* First where it was sent, then on a fresh connection. */
	CU_ASSERT(c.wake < DEADLINE);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK_SAME);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK);
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_DUPLICATE), CALL_WAIT);
	CU_ASSERT_EQUAL(c.state, CALL_ACKED);
	call_link_lost(&c, NOW + 5);
	CU_ASSERT_EQUAL(c.wake, NOW + 5);
}

/*
 * Guards against: the calls that wait for one guard replace its connection in
 * turn.  One of them does; the others ask over what it opened.
 */
static void
a_replaced_link_is_not_replaced_again(void)
{
	struct call c = sent(1, 1);

	call_link_lost(&c, NOW + 5);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK_SAME);
	/* What it asked was lost with another connection. */
	call_link_lost(&c, NOW + 10);
	CU_ASSERT_EQUAL(c.wake, NOW + 10);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK_SAME);
	/* Silence on the new one is a reason to replace that. */
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK);
	/* One that may be repeated goes elsewhere no sooner than without. */
	c = sent(0, 1);
	CU_ASSERT_EQUAL(call_timer(&c, &budget, c.wake), CALL_ASK);
	call_link_lost(&c, c.wake - 50);
	CU_ASSERT_EQUAL(c.wake, NOW + 2 * CALL_ACK_MS);
}

/*
 * Guards against: a call at a node that begins to leave is given up as unknown,
 * though the node finishes what it holds and answers questions meanwhile.
 */
static void
goodbye_of_a_guard_is_not_its_death(void)
{
	struct call c = sent(1, 1);
	int64_t now = NOW + 1;

	c.deadline = NOW + 60000;
	CU_ASSERT(call_is_lost(&c, 1, 0));
	CU_ASSERT_FALSE(call_is_lost(&c, 0, 1));
	call_acked(&c, NOW + 1);
	CU_ASSERT_FALSE(call_is_lost(&c, 0, 1));
	/* Unless it is silent; a sign of life begins anew. */
	while (!call_is_lost(&c, 0, 1) && now < c.deadline) {
		now = c.wake;
		call_timer(&c, &budget, now);
	}
	CU_ASSERT(now <= NOW + 1 + CALL_LOOK_MS + 2 * CALL_ACK_MS +
			     CALL_LEFT_ASKS * CALL_ASK_MS);
	CU_ASSERT_FALSE(call_is_lost(&c, 0, 0));
	call_acked(&c, now);
	CU_ASSERT_FALSE(call_is_lost(&c, 0, 1));
}

static void
dead_guard_ends_the_wait_at_once(void)
{
	struct call c = sent(1, 1);

	call_acked(&c, NOW + 1);
	CU_ASSERT_EQUAL(call_guard_dead(&c, &budget, NOW + 2), CALL_REFUSE);
	CU_ASSERT_FALSE(call_not_run(&c));
}

static void
poison_is_not_retried_after_two_crashes(void)
{
	struct call c = sent(0, 1);

	c.crashes.n = POISON_CRASHES_MAX;
	CU_ASSERT_EQUAL(hear(&c, OUTCOME_BROKEN), CALL_REFUSE);
	CU_ASSERT_EQUAL(c.last, OUTCOME_POISON);
	CU_ASSERT_FALSE(call_not_run(&c));
}

static const struct test tests[] = {
	{ "silence asks and never resends what runs once",
	    silence_asks_and_never_resends_what_runs_once },
	{ "silent repeatable goes elsewhere",
	    silent_repeatable_goes_elsewhere },
	{ "broken exchange is not resent when it runs once",
	    broken_exchange_is_not_resent_when_it_runs_once },
	{ "refusal not run is tried elsewhere",
	    refusal_not_run_is_tried_elsewhere },
	{ "retries end with the budget", retries_end_with_the_budget },
	{ "unsure about a caller's id until all homes spoke",
	    unsure_about_a_callers_id_until_all_homes_spoke },
	{ "stale view pauses and goes to the same",
	    stale_view_pauses_and_goes_to_the_same },
	{ "lost answer is asked for", lost_answer_is_asked_for },
	{ "goodbye of a guard is not its death",
	    goodbye_of_a_guard_is_not_its_death },
	{ "a replaced link is not replaced again",
	    a_replaced_link_is_not_replaced_again },
	{ "dead guard ends the wait at once",
	    dead_guard_ends_the_wait_at_once },
	{ "poison is not retried after two crashes",
	    poison_is_not_retried_after_two_crashes },
};

TEST_MAIN("call", tests)
