/*
 * Removals of targets that never report that they leave, while the store turns
 * some nodes away.
 */
#include "../proxy/proxy_int.h"
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

/* After a disturbance, until a node counts as connected to the store. */
#define CONTACT_MS 3000
/* After a disturbance, until entries that expired in it are back. */
#define REGISTERED_MS 2000

static const char *const dcs[] = { "north" };

/* Whether a node's view holds the target of another node. */
static int
is_listed(struct follow_rig *w, int node, int target)
{
	return g_hash_table_contains(
	    w->rig.nodes[node].view->targets, w->rig.nodes[target].target.id);
}

/* Whether a node gives its target no requests, as that leaves. */
static int
is_out(struct follow_rig *w, int node)
{
	return w->rig.nodes[node].proxy->guard.state == PROXY_GUARD_DRAINING;
}

/*
 * Guards against DRAIN: a node that was told of the removal of its own target
 * and got no answer of the store at first never believed it.
 */
static void
own_removal_is_believed_after_a_refusal(void)
{
	static const struct {
		enum store_fault fault;
		int for_ms;
	} cases[] = { { STORE_BUSY, 1500 }, { STORE_BUSY, 5000 },
		{ STORE_SILENT, 4000 } };
	int order[RIG_NODES_MAX];
	struct follow_rig w;
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(cases); k++) {
		follow_rig_start_in(&w, 3, dcs, 1);
		follow_rig_order(&w, "north", order);
		follow_rig_use_second_addr(&w, order[2]);
		rig_run(&w.rig, 1500);
		store_set_address_fault(w.store, w.address_id, cases[k].fault);
		store_remove_target(w.store, w.rig.nodes[order[2]].target.id);
		rig_run(&w.rig, cases[k].for_ms);
		CU_ASSERT(is_listed(&w, order[2], order[2]));
		store_set_address_fault(w.store, w.address_id, STORE_NO_FAULT);
		rig_run(&w.rig, CONTACT_MS);
		CU_ASSERT(!is_listed(&w, order[2], order[2]));
		CU_ASSERT(is_out(&w, order[2]));
		/* The question is settled, so nothing is asked any more. */
		rig_run(&w.rig, 400);
		CU_ASSERT(
		    !store_reader_is_watching(w.follows[order[2]]->reader));
		follow_rig_stop(&w);
	}
}

/*
 * Guards against a target that goes unused as its entry expired while its VM
 * was cut off from the store.  The entry is written again after the cut.
 */
static void
target_that_expired_in_a_cut_stays_in_use(void)
{
	int i, out = 0, order[RIG_NODES_MAX];
	struct follow_rig w;

	follow_rig_start_in(&w, 3, dcs, 1);
	follow_rig_order(&w, "north", order);
	follow_rig_use_second_addr(&w, order[2]);
	rig_run(&w.rig, 1500);
	store_set_address_fault(w.store, w.address_id, STORE_BUSY);
	rig_run(&w.rig, 3000);
	store_remove_target(w.store, w.rig.nodes[order[2]].target.id);
	rig_run(&w.rig, 2000);
	store_set_address_fault(w.store, w.address_id, STORE_NO_FAULT);
	for (i = 0; i < REGISTERED_MS / 50 - 2; i++) {
		rig_run(&w.rig, 50);
		out += is_out(&w, order[2]);
	}
	follow_rig_put_target(&w, order[2], "ready");
	for (i = 0; i < 40; i++) {
		rig_run(&w.rig, 50);
		out += is_out(&w, order[2]);
	}
	CU_ASSERT_EQUAL(out, 0);
	for (i = 0; i < 3; i++)
		CU_ASSERT(is_listed(&w, i, order[2]));
	CU_ASSERT(!store_reader_is_watching(w.follows[order[2]]->reader));
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "own removal is believed after a refusal",
	    own_removal_is_believed_after_a_refusal },
	{ "target that expired in a cut stays in use",
	    target_that_expired_in_a_cut_stays_in_use },
};

TEST_MAIN("removal", tests)
