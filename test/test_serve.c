/* Answers of a guard to an entry's query about an earlier request. */
#include "../node/gossip.h"
#include "../node/serve.h"
#include "../node/spread.h"
#include "test.h"

#define SLOTS	4
#define BOOT	1000 /* incarnation of the guard */
#define AGE_MS	60000
#define CALL	7
#define NO_PORT "127.0.0.1:9" /* target's address; no request is sent to it */

/* The last answer to this node's own entry. */
static struct {
	int count;
	uint64_t call;
	int outcome;
	uint64_t boot;
} last_answer;

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
	last_answer.count++;
	last_answer.call = call;
	last_answer.outcome = a->outcome;
	last_answer.boot = a->boot;
}

static const struct entry_replies replies = { on_ack, on_answer };

/* Creates a node whose guard began AGE_MS ago. */
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
	serve_start_guard(n, SLOTS, base_wall_ms() - AGE_MS);
	memset(&last_answer, 0, sizeof(last_answer));
	return n;
}

static void
node_free(struct node *n)
{
	serve_destroy(n);
	spread_destroy(n);
	spans_destroy(&n->spans);
	mailbox_destroy(&n->mailbox);
	g_free(n);
}

/* Queries a call that was sent to an incarnation; returns the outcome. */
static int
query(struct node *n, const char *id, uint64_t boot, int64_t born, int once)
{
	struct link_route here = { .len = 0 };
	Wire__Fence f = WIRE__FENCE__INIT;

	f.id = (char *)id;
	f.guard_boot = boot;
	f.born_wall_ms = born;
	f.once = once;
	last_answer.outcome = -1;
	serve_fence(n, &here, CALL, &f);
	CU_ASSERT_EQUAL(last_answer.call, CALL);
	return last_answer.outcome;
}

static void
unknown_id_is_fenced(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(query(n, "a", BOOT, base_wall_ms(), 1), OUTCOME_FENCED);
	node_free(n);
}

/*
 * An entry that does not know of a restart queries the previous incarnation.
 * An id created after the restart cannot have run there.
 */
static void
id_created_after_a_restart_did_not_run_before(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(
	    query(n, "a", BOOT - 1, base_wall_ms(), 1), OUTCOME_FENCED);
	/* The reply contains the current incarnation. */
	CU_ASSERT_EQUAL(last_answer.boot, BOOT);
	node_free(n);
}

/* Covers ids created before the guard, and those within the clock skew. */
static void
id_possibly_older_than_the_guard_is_unknown(void)
{
	struct node *n = node_with_guard();
	int64_t since = base_wall_ms() - AGE_MS;

	CU_ASSERT_EQUAL(query(n, "a", BOOT - 1, since + GUARD_SKEW_MS - 100, 1),
	    OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(query(n, "b", BOOT - 1, since - 1, 1), OUTCOME_UNKNOWN);
	node_free(n);
}

static void
ids_of_repeatable_requests_are_unknown(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(
	    query(n, "a", BOOT - 1, base_wall_ms(), 0), OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(
	    query(n, "b", BOOT, base_wall_ms(), 0), OUTCOME_UNKNOWN);
	node_free(n);
}

static void
request_for_no_incarnation_did_not_run(void)
{
	struct node *n = node_with_guard();

	CU_ASSERT_EQUAL(query(n, "a", 0, base_wall_ms(), 1), OUTCOME_RESTARTED);
	node_free(n);
}

static const struct test tests[] = {
	{ "unknown id is fenced", unknown_id_is_fenced },
	{ "id created after a restart did not run before",
	    id_created_after_a_restart_did_not_run_before },
	{ "id possibly older than the guard is unknown",
	    id_possibly_older_than_the_guard_is_unknown },
	{ "ids of repeatable requests are unknown",
	    ids_of_repeatable_requests_are_unknown },
	{ "request for no incarnation did not run",
	    request_for_no_incarnation_did_not_run },
};

TEST_MAIN("serve", tests)
