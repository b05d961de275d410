/*
 * Removals of targets that never report that they leave, while the store turns
 * some nodes away or was away for all.
 */
#include "../proxy/proxy_int.h"
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

/* After the store has removed a target, until it gets no requests. */
#define PROPAGATION_MS 2000
/* After a disturbance, until a node counts as connected to the store. */
#define CONTACT_MS 3000
/* After a disturbance, until entries that expired in it are back. */
#define REGISTERED_MS 2000

static const char *const dcs[] = { "north", "south" };

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

/* Age of a node's view, ms. */
static int
view_age(struct follow_rig *w, int node)
{
	return (int)(base_now_ms() - w->rig.nodes[node].view->synced_at);
}

/*
 * Guards against DRAIN: nodes that read the store for one that it turned away
 * doubted for seconds that targets which their lists lack had been removed.
 */
static void
helpers_accept_removals_from_their_lists(void)
{
	/* The age of the readers' views at the removal, ms. */
	static const struct {
		enum store_fault fault;
		int age_ms;
	} cases[] = { { STORE_SILENT, 0 }, { STORE_SILENT, 1400 },
		{ STORE_BUSY, 1400 }, { STORE_LIMIT, 1400 } };
	int i, north[RIG_NODES_MAX], south[RIG_NODES_MAX];
	struct follow_rig w;
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(cases); k++) {
		follow_rig_start_in(&w, 8, dcs, 2);
		CU_ASSERT_EQUAL(follow_rig_order(&w, "north", north), 4);
		CU_ASSERT_EQUAL(follow_rig_order(&w, "south", south), 4);
		follow_rig_use_second_addr(&w, north[0]);
		follow_rig_use_second_addr(&w, south[0]);
		rig_run(&w.rig, 2800);
		store_set_address_fault(w.store, w.address_id, cases[k].fault);
		do
			rig_run(&w.rig, 10);
		while (view_age(&w, north[0]) < cases[k].age_ms &&
		       view_age(&w, south[0]) < cases[k].age_ms);
		store_remove_target(w.store, w.rig.nodes[north[3]].target.id);
		rig_run(&w.rig, PROPAGATION_MS);
		for (i = 0; i < 8; i++)
			CU_ASSERT(!is_listed(&w, i, north[3]));
		CU_ASSERT(is_out(&w, north[3]));
		follow_rig_stop(&w);
	}
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

/*
 * Guards against DRAIN: a removal in a span that the store discarded was
 * doubted after one failed watch, though the store had answered all the while.
 */
static void
removal_in_a_discarded_span_is_believed(void)
{
	struct follow_rig w;
	int i;

	follow_rig_start(&w);
	rig_run(&w.rig, 1500);
	/* The answers to the open watches are lost. */
	store_set_fault(w.store, STORE_SILENT);
	store_remove_target(w.store, "t1");
	store_compact(w.store);
	store_set_fault(w.store, STORE_NO_FAULT);
	rig_run(&w.rig, PROPAGATION_MS);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT(!is_listed(&w, i, 1));
	CU_ASSERT(is_out(&w, 1));
	follow_rig_stop(&w);
}

/*
 * Guards against removals that are never accepted, as the store answers less
 * often than targets report.
 */
static void
short_reporting_intervals_cause_no_doubt(void)
{
	struct follow_rig w;
	int i, order[RIG_NODES_MAX];

	follow_rig_start_in(&w, 3, dcs, 1);
	follow_rig_order(&w, "north", order);
	for (i = 0; i < 3; i++) {
		w.settings[i].beat_ms = 100;
		follow_settings_changed(w.follows[i]);
	}
	rig_run(&w.rig, 2500);
	store_remove_target(w.store, w.rig.nodes[order[2]].target.id);
	rig_run(&w.rig, PROPAGATION_MS);
	CU_ASSERT(!is_listed(&w, order[2], order[2]));
	CU_ASSERT(is_out(&w, order[2]));
	follow_rig_stop(&w);
}

/*
 * Guards against a node that asks the store without a pause: it was told of a
 * removal of its own target that the store contradicts.
 */
static void
contradicted_removal_causes_no_storm(void)
{
	GPtrArray *items = g_ptr_array_new();
	struct platform_item removal = { .kind = PLATFORM_TARGET };
	struct view_revision at;
	int calls, order[RIG_NODES_MAX];
	struct follow_rig w;
	GString *text = g_string_new(NULL);

	follow_rig_start_in(&w, 3, dcs, 1);
	follow_rig_order(&w, "north", order);
	rig_run(&w.rig, 3000);
	at = w.follows[order[0]]->held_revision;
	at.number += 1000;
	removal.name = w.rig.nodes[order[2]].target.id;
	removal.revision = at;
	g_ptr_array_add(items, &removal);
	state_pack(items, at, text);
	calls = store_calls(w.store);
	proxy_publish(w.rig.nodes[order[0]].proxy, text->str, text->len, 0);
	rig_run(&w.rig, 1000);
	CU_ASSERT(verify_is_pending(w.follows[order[2]]));
	CU_ASSERT(!is_out(&w, order[2]));
	/* Two nodes read; each asks each part a few times at most. */
	CU_ASSERT(store_calls(w.store) - calls <= 12);
	follow_rig_stop(&w);
	g_ptr_array_free(items, TRUE);
	g_string_free(text, TRUE);
}

static const struct test tests[] = {
	{ "contradicted removal causes no storm",
	    contradicted_removal_causes_no_storm },
	{ "short reporting intervals cause no doubt",
	    short_reporting_intervals_cause_no_doubt },
	{ "helpers accept removals from their lists",
	    helpers_accept_removals_from_their_lists },
	{ "own removal is believed after a refusal",
	    own_removal_is_believed_after_a_refusal },
	{ "target that expired in a cut stays in use",
	    target_that_expired_in_a_cut_stays_in_use },
	{ "removal in a discarded span is believed",
	    removal_in_a_discarded_span_is_believed },
};

TEST_MAIN("removal", tests)
