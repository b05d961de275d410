/* Versions never go back, and all nodes reach the same verdict. */
#include "../mesh/mesh.h"
#include "test.h"

static struct version
make(uint64_t number, unsigned char first)
{
	struct version v = { .number = number, .hash = { first } };

	return v;
}

static void
older_and_equal_are_ignored(void)
{
	struct version_state st = { .held = make(5, 1) };
	struct version older = make(4, 9), same = make(5, 1);

	CU_ASSERT_EQUAL(version_offer(&st, &older), OFFER_OLDER);
	CU_ASSERT_EQUAL(version_offer(&st, &same), OFFER_OLDER);
	CU_ASSERT_EQUAL(version_accept(&st, &older), MESH_EOLDER);
	CU_ASSERT_EQUAL(st.held.number, 5);
}

/* Of two sets with one number the same wins in every order of arrival. */
static void
conflict_has_same_winner_in_both_orders(void)
{
	struct version a = make(5, 1), b = make(5, 2);
	struct version_state x = { .held = make(4, 0) }, y = x;

	CU_ASSERT_EQUAL(version_offer(&x, &a), OFFER_FETCH);
	version_accept(&x, &a);
	CU_ASSERT_EQUAL(version_offer(&x, &b), OFFER_CONFLICT_WINS);
	version_accept(&x, &b);
	version_accept(&y, &b);
	CU_ASSERT_EQUAL(version_offer(&y, &a), OFFER_CONFLICT_LOSES);
	CU_ASSERT_EQUAL(version_cmp(&x.held, &y.held), 0);
	/* Both nodes report the losing version. */
	CU_ASSERT_EQUAL(version_cmp(&x.conflict, &a), 0);
	CU_ASSERT_EQUAL(version_cmp(&y.conflict, &a), 0);
}

static void
rejected_is_not_fetched_again(void)
{
	struct version_state st = { .held = make(4, 0) };
	struct version bad = make(5, 1), fixed = make(5, 2);

	version_reject(&st, &bad, "why");
	CU_ASSERT_EQUAL(version_offer(&st, &bad), OFFER_REJECTED);
	CU_ASSERT_EQUAL(version_offer(&st, &fixed), OFFER_FETCH);
	CU_ASSERT_STRING_EQUAL(st.reason, "why");
}

/* A version that a peer rejected is reported, but still fetched here. */
static void
peer_rejection_is_only_reported(void)
{
	struct version_state st = { .held = make(4, 0) };
	struct version bad = make(5, 1), older = make(4, 9);
	const char *reason, *by;

	version_peer_rejected(&st, &older, "old", "vm-02");
	CU_ASSERT_PTR_NULL(version_rejected(&st, &reason, &by));
	version_peer_rejected(&st, &bad, "why", "vm-02");
	CU_ASSERT_PTR_NOT_NULL_FATAL(version_rejected(&st, &reason, &by));
	CU_ASSERT_STRING_EQUAL(by, "vm-02");
	CU_ASSERT_EQUAL(version_offer(&st, &bad), OFFER_FETCH);
	version_reject(&st, &bad, "my own");
	version_rejected(&st, &reason, &by);
	CU_ASSERT_STRING_EQUAL(reason, "my own");
	version_accept(&st, &bad);
	CU_ASSERT_PTR_NULL(version_rejected(&st, &reason, &by));
}

static const struct test tests[] = {
	{ "older and equal are ignored", older_and_equal_are_ignored },
	{ "conflict has same winner in both orders",
	    conflict_has_same_winner_in_both_orders },
	{ "rejected is not fetched again", rejected_is_not_fetched_again },
	{ "peer rejection is only reported", peer_rejection_is_only_reported },
};

TEST_MAIN("version", tests)
