/* The guard's side of a node: what it answers to those who ask about a call. */
#include "../node/gossip.h"
#include "../node/serve.h"
#include "../node/spread.h"
#include "test.h"

#define SLOTS	4
#define BOOT	1000 /* incarnation of the guard */
#define AGE_MS	60000
#define CALL	7
#define NO_PORT "127.0.0.1:9" /* nobody listens; nothing is sent there */

/* The last answer given to this node's own entry. */
static struct {
	int count;
	uint64_t call;
	int outcome;
	uint64_t boot;
} told;

static void
on_ack(struct node *n, uint64_t call, int load)
{
	(void)n;
	(void)call;
	(void)load;
}

static void
on_answer(struct node *n, uint64_t call, const Wire__Answer *a)
{
	(void)n;
	told.count++;
	told.call = call;
	told.outcome = a->outcome;
	told.boot = a->boot;
}

static const struct entry_replies replies = { on_ack, on_answer };

/* A node with a guard that has been there for a while. */
static struct node *
node_with_guard(void)
{
	struct node *n = g_new0(struct node, 1);

	n->settings.target = (char *)NO_PORT;
	n->boot = BOOT;
	n->entry_replies = &replies;
	mailbox_init(&n->mailbox);
	spans_init(&n->spans);
	spread_init(n);
	serve_init(n);
	serve_begin(n, SLOTS, base_wall_ms() - AGE_MS);
	memset(&told, 0, sizeof(told));
	return n;
}

static void
node_gone(struct node *n)
{
	serve_destroy(n);
	spread_destroy(n);
	spans_destroy(&n->spans);
	mailbox_destroy(&n->mailbox);
	g_free(n);
}

/* Asks about a call that was sent to an incarnation. */
static int
ask(struct node *n, const char *id, uint64_t boot, int64_t born, int once)
{
	struct link_route here = { .len = 0 };
	Wire__Fence f = WIRE__FENCE__INIT;

	f.id = (char *)id;
	f.guard_boot = boot;
	f.born_wall_ms = born;
	f.once = once;
	told.outcome = -1;
	serve_fence(n, &here, CALL, &f);
	CU_ASSERT_EQUAL(told.call, CALL);
	return told.outcome;
}

static void
what_was_never_seen_is_fenced(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(ask(n, "a", BOOT, base_wall_ms(), 1), OUTCOME_FENCED);
	node_gone(n);
}

/*
 * An entry that has not heard of a restart asks for the incarnation before.
 * An id made after the restart cannot have run there.
 */
static void
what_is_younger_than_the_guard_did_not_run_before_it(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(
	    ask(n, "a", BOOT - 1, base_wall_ms(), 1), OUTCOME_FENCED);
	/* The asker learns of the incarnation that there is. */
	CU_ASSERT_EQUAL(told.boot, BOOT);
	node_gone(n);
}

/* Within the difference of two clocks, and before, nothing is known. */
static void
what_may_be_older_than_the_guard_is_unknown(void)
{
	struct node *n = node_with_guard();
	int64_t since = base_wall_ms() - AGE_MS;

	CU_ASSERT_EQUAL(ask(n, "a", BOOT - 1, since + GUARD_SKEW_MS - 100, 1),
	    OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(ask(n, "b", BOOT - 1, since - 1, 1), OUTCOME_UNKNOWN);
	node_gone(n);
}

static void
what_may_be_repeated_is_not_remembered(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(
	    ask(n, "a", BOOT - 1, base_wall_ms(), 0), OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(ask(n, "b", BOOT, base_wall_ms(), 0), OUTCOME_UNKNOWN);
	node_gone(n);
}

static void
what_was_meant_for_no_incarnation_did_not_run(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(ask(n, "a", 0, base_wall_ms(), 1), OUTCOME_RESTARTED);
	node_gone(n);
}

static const struct test tests[] = {
	{ "what was never seen is fenced", what_was_never_seen_is_fenced },
	{ "what is younger than the guard did not run before it",
	    what_is_younger_than_the_guard_did_not_run_before_it },
	{ "what may be older than the guard is unknown",
	    what_may_be_older_than_the_guard_is_unknown },
	{ "what may be repeated is not remembered",
	    what_may_be_repeated_is_not_remembered },
	{ "what was meant for no incarnation did not run",
	    what_was_meant_for_no_incarnation_did_not_run },
};

TEST_MAIN("serve", tests)
