/* Following a store that comes back from a copy. */
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define PAUSE_MS   1500 /* an open watch ends, and lists are read */
#define SETTLED_MS 6500 /* what a restore lost counts as removed */

/* An entry of a target with a state and the number of its report. */
#define ENTRY(state, sequence)                                           \
	"{\"Address\":\"127.0.0.77:1\",\"Info\":{\"Service\":\"other\"," \
	"\"Zone\":\"north\",\"Slots\":4},\"Status\":{\"State\":\"" state \
	"\",\"Sequence\":" #sequence ",\"WarmupLeftMs\":0},\"born\":7}"

/* The state of target x in a node's view, or -1 if it is not there. */
static int
state_of_x(struct follow_rig *w, int node)
{
	const struct view_target *t =
	    g_hash_table_lookup(w->rig.nodes[node].view->targets, "x");

	return t != NULL ? (int)t->state : -1;
}

/* Whether all nodes have target x in that state. */
static int
all_have_x(struct follow_rig *w, int state)
{
	int i;

	for (i = 0; i < w->rig.nnodes; i++)
		if (state_of_x(w, i) != state)
			return 0;
	return 1;
}

/* Whether all nodes have that version in force. */
static int
all_have_version(struct follow_rig *w, uint64_t version)
{
	int i;

	for (i = 0; i < w->rig.nnodes; i++)
		if (follow_rig_config_version(w, i) != version)
			return 0;
	return 1;
}

/* Whether all nodes agree on whether the data centre south is out. */
static int
all_have_south(struct follow_rig *w, int out)
{
	int i;

	for (i = 0; i < w->rig.nnodes; i++)
		if (view_is_out(w->rig.nodes[i].view, "south") != out)
			return 0;
	return 1;
}

/* Runs for a time in which no node may have a version below that one. */
static int
runs_without_rollback(struct follow_rig *w, int ms, uint64_t version)
{
	int i, ok = 1;

	for (; ms > 0; ms -= 50) {
		rig_run(&w->rig, 50);
		for (i = 0; i < w->rig.nnodes; i++)
			ok &= follow_rig_config_version(w, i) >= version;
	}
	return ok;
}

/*
 * Guards against a subscriber that takes a removed target back from the copy: a
 * removal says which report it removed, also if that was never published.
 */
static void
removal_has_the_stamp_of_the_last_report(void)
{
	static const char cold[] =
	    "{\"Address\":\"127.0.0.77:1\",\"Info\":{\"Service\":\"other\","
	    "\"Zone\":\"north\",\"Slots\":4},\"Status\":{\"State\":\"ready\","
	    "\"Sequence\":5,\"WarmupLeftMs\":900},\"born\":7}";
	const struct platform_item *held;
	struct follow_rig w;
	int i;

	follow_rig_start(&w);
	store_put(w.store, "servers/x", cold);
	rig_run(&w.rig, PAUSE_MS);
	store_put(w.store, "servers/x", ENTRY("ready", 6));
	rig_run(&w.rig, PAUSE_MS);
	store_remove(w.store, "servers/x");
	rig_run(&w.rig, PAUSE_MS);
	for (i = 0; i < w.rig.nnodes; i++) {
		held = g_hash_table_lookup(w.follows[i]->held, "servers/x");
		CU_ASSERT(held != NULL && held->value == NULL &&
			  held->removed.major == 7 && held->removed.minor == 6);
	}
	follow_rig_stop(&w);
}

/*
 * Fault: the store comes back from a copy, and the next version gets a revision
 * that the nodes hold already; they dropped it.
 */
static void
version_after_restore_is_applied(void)
{
	struct follow_rig w;
	int k;

	follow_rig_start(&w);
	store_put_config(w.store, 5, "svc", "/run/");
	store_save(w.store);
	store_put_config(w.store, 6, "svc", "/run/");
	store_put_config(w.store, 7, "svc", "/run/");
	rig_run(&w.rig, 300);
	CU_ASSERT(all_have_version(&w, 7));
	/* Twice in a row, from the same copy. */
	for (k = 0; k < 2; k++) {
		store_restore(w.store);
		CU_ASSERT(
		    runs_without_rollback(&w, PAUSE_MS, (uint64_t)(7 + 2 * k)));
		store_put_config(w.store, 9 + 2 * k, "svc", "/run/");
		CU_ASSERT(
		    runs_without_rollback(&w, 300, (uint64_t)(7 + 2 * k)));
		CU_ASSERT(all_have_version(&w, (uint64_t)(9 + 2 * k)));
	}
	/* Written again before the first list, and with a smaller revision. */
	store_restore(w.store);
	store_put_config(w.store, 12, "svc", "/run/");
	CU_ASSERT(runs_without_rollback(&w, PAUSE_MS, 11));
	CU_ASSERT(all_have_version(&w, 12));
	follow_rig_stop(&w);
}

/*
 * Fault: a target says that it leaves, or is removed, after a restore, with a
 * revision below the one that is held; nodes went on sending to it.
 */
static void
target_that_leaves_after_restore_is_left(void)
{
	struct follow_rig w;
	int k;

	follow_rig_start(&w);
	store_save(w.store);
	for (k = 0; k < 20; k++)
		store_put(w.store, "somebody/else", "{}");
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, VIEW_READY));
	store_restore(w.store);
	store_put(w.store, "servers/x", ENTRY("ready", 6));
	rig_run(&w.rig, PAUSE_MS);
	store_put(w.store, "servers/x", ENTRY("draining", 7));
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, VIEW_DRAINING));
	store_remove(w.store, "servers/x");
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, -1));
	follow_rig_stop(&w);
}

/* What the lost span said of a target is not taken back by the copy. */
static void
copy_takes_no_target_back(void)
{
	struct follow_rig w;

	follow_rig_start(&w);
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	store_save(w.store);
	store_put(w.store, "servers/x", ENTRY("draining", 6));
	rig_run(&w.rig, PAUSE_MS);
	store_restore(w.store);
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, VIEW_DRAINING));
	/* Nobody writes it again: the store's word holds in the end. */
	rig_run(&w.rig, SETTLED_MS);
	CU_ASSERT(all_have_x(&w, VIEW_READY));
	store_remove(w.store, "servers/x");
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, -1));
	store_restore(w.store);
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, -1));
	follow_rig_stop(&w);
}

/*
 * What was written in the lost span stays until it can have been written again.
 * Then it is removed, unless it was.
 */
static void
lost_items_stay_until_settled(void)
{
	struct follow_rig w;
	int i;

	follow_rig_start(&w);
	store_save(w.store);
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	store_put(w.store, "servers/y", ENTRY("ready", 5));
	store_put(w.store, "op/evacuate/south", "{}");
	store_put(w.store, "op/evacuate/west", "{}");
	rig_run(&w.rig, PAUSE_MS);
	store_restore(w.store);
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_x(&w, VIEW_READY));
	CU_ASSERT(all_have_south(&w, 1));
	store_put(w.store, "servers/y", ENTRY("ready", 6));
	store_put(w.store, "op/evacuate/west", "{}");
	rig_run(&w.rig, SETTLED_MS);
	CU_ASSERT(all_have_x(&w, -1));
	CU_ASSERT(all_have_south(&w, 0));
	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		CU_ASSERT_PTR_NOT_NULL(
		    g_hash_table_lookup(w.rig.nodes[i].view->targets, "y"));
		CU_ASSERT(view_is_out(w.rig.nodes[i].view, "west"));
	}
	store_remove(w.store, "op/evacuate/west");
	rig_run(&w.rig, 300);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_FALSE(view_is_out(w.rig.nodes[i].view, "west"));
	follow_rig_stop(&w);
}

/* An answer of the earlier era arrives when the next one is known. */
static void
late_answer_takes_nothing_back(void)
{
	struct follow_rig w;

	follow_rig_start(&w);
	store_save(w.store);
	store_put_config(w.store, 6, "svc", "/run/");
	store_put(w.store, "op/evacuate/south", "{}");
	rig_run(&w.rig, 300);
	/* The answer of the watch, with all changes, is on its way. */
	store_delay_answers(w.store, "op/");
	store_put_config(w.store, 7, "svc", "/run/");
	rig_run(&w.rig, 100);
	store_restore(w.store);
	store_put_config(w.store, 9, "svc", "/run/");
	store_delay_answers(w.store, "none/");
	store_send_delayed(w.store);
	CU_ASSERT(runs_without_rollback(&w, 2 * PAUSE_MS, 6));
	CU_ASSERT(all_have_version(&w, 9));
	store_put_config(w.store, 10, "svc", "/run/");
	rig_run(&w.rig, 300);
	CU_ASSERT(all_have_version(&w, 10));
	follow_rig_stop(&w);
}

/* Two pages of one list are of two eras: the list is read anew. */
static void
list_across_restore_removes_nothing(void)
{
	struct follow_rig w;
	int i;

	follow_rig_start(&w);
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	rig_run(&w.rig, PAUSE_MS);
	store_save(w.store);
	store_restore_after_page(w.store);
	/* A new list is read, in pages. */
	store_compact(w.store);
	rig_run(&w.rig, PAUSE_MS);
	store_put_config(w.store, 9, "svc", "/run/");
	rig_run(&w.rig, SETTLED_MS);
	CU_ASSERT(all_have_version(&w, 9));
	CU_ASSERT(all_have_x(&w, VIEW_READY));
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(g_hash_table_size(w.rig.nodes[i].view->targets),
		    FOLLOW_RIG_NODES + 1);
	follow_rig_stop(&w);
}

/* Without a header, or with one that is no number, the era known last holds. */
static void
missing_era_changes_nothing(void)
{
	static const char *const texts[] = { "", "two", "-1", NULL };
	struct follow_rig w;
	size_t i;

	follow_rig_start(&w);
	store_save(w.store);
	store_put_config(w.store, 3, "svc", "/run/");
	rig_run(&w.rig, 300);
	store_restore(w.store);
	rig_run(&w.rig, PAUSE_MS);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		store_set_era_text(w.store, texts[i]);
		store_put_config(w.store, 10 + (int)i, "svc", "/run/");
		rig_run(&w.rig, PAUSE_MS);
		CU_ASSERT(all_have_version(&w, 10 + i));
	}
	follow_rig_stop(&w);
}

/* Answers of an earlier era count as none, and do not end the next one. */
static void
era_that_goes_back_is_refused(void)
{
	struct follow_rig w;
	int i, calls;

	follow_rig_start(&w);
	store_save(w.store);
	store_restore(w.store);
	rig_run(&w.rig, PAUSE_MS);
	store_set_era(w.store, 1);
	store_put_config(w.store, 10, "svc", "/run/");
	rig_run(&w.rig, PAUSE_MS);
	calls = store_calls(w.store);
	rig_run(&w.rig, 3000);
	/* As often as during an outage, and no more. */
	CU_ASSERT(store_calls(w.store) - calls < FOLLOW_RIG_NODES * 2 * 3);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT(base_now_ms() - w.rig.nodes[i].view->synced_at >=
			  FOLLOW_STALE_MS);
	store_set_era(w.store, 2);
	store_put_config(w.store, 11, "svc", "/run/");
	rig_run(&w.rig, 3000);
	CU_ASSERT(all_have_version(&w, 11));
	follow_rig_stop(&w);
}

/* A node that the store never answers hears of the new era from its peers. */
static void
node_in_the_dark_follows(void)
{
	struct follow_rig w;
	int order[FOLLOW_RIG_NODES];

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	store_save(w.store);
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	store_put_config(w.store, 6, "svc", "/run/");
	rig_run(&w.rig, PAUSE_MS);
	/* The last by rank, and then the first, which reads for all. */
	store_set_address_fault(w.store, w.address_id, STORE_SILENT);
	follow_rig_use_second_addr(&w, order[FOLLOW_RIG_NODES - 1]);
	store_restore(w.store);
	CU_ASSERT(runs_without_rollback(&w, PAUSE_MS, 6));
	store_put(w.store, "servers/x", ENTRY("draining", 6));
	store_put_config(w.store, 7, "svc", "/run/");
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_version(&w, 7));
	CU_ASSERT(all_have_x(&w, VIEW_DRAINING));
	follow_rig_use_second_addr(&w, order[0]);
	store_restore(w.store);
	CU_ASSERT(runs_without_rollback(&w, 2 * PAUSE_MS, 7));
	store_put_config(w.store, 8, "svc", "/run/");
	rig_run(&w.rig, 2 * PAUSE_MS);
	CU_ASSERT(all_have_version(&w, 8));
	follow_rig_stop(&w);
}

/*
 * A node that starts during the settling, and is subscribed to one that read
 * before the restore, takes nothing back and keeps nothing that was lost.
 */
static void
node_starts_during_settling(void)
{
	struct follow_rig w;
	int order[FOLLOW_RIG_NODES], last;

	follow_rig_start(&w);
	store_put(w.store, "servers/x", ENTRY("ready", 5));
	store_save(w.store);
	store_put(w.store, "servers/x", ENTRY("draining", 6));
	store_put(w.store, "servers/y", ENTRY("ready", 6));
	store_put_config(w.store, 6, "svc", "/run/");
	rig_run(&w.rig, PAUSE_MS);
	store_restore(w.store);
	rig_run(&w.rig, 300);
	follow_rig_order(&w, "north", order);
	last = order[FOLLOW_RIG_NODES - 1];
	follow_stop(w.follows[last]);
	follow_rig_clear_view(&w.rig.nodes[last]);
	follow_rig_start_node(&w, last);
	rig_run(&w.rig, PAUSE_MS);
	CU_ASSERT(all_have_version(&w, 6));
	CU_ASSERT(all_have_x(&w, VIEW_DRAINING));
	store_put(w.store, "servers/x", ENTRY("draining", 7));
	store_put_config(w.store, 8, "svc", "/run/");
	rig_run(&w.rig, SETTLED_MS);
	CU_ASSERT(all_have_version(&w, 8));
	CU_ASSERT(all_have_x(&w, VIEW_DRAINING));
	CU_ASSERT_PTR_NULL(
	    g_hash_table_lookup(w.rig.nodes[last].view->targets, "y"));
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "removal has the stamp of the last report",
	    removal_has_the_stamp_of_the_last_report },
	{ "version after restore is applied",
	    version_after_restore_is_applied },
	{ "target that leaves after restore is left",
	    target_that_leaves_after_restore_is_left },
	{ "copy takes no target back", copy_takes_no_target_back },
	{ "lost items stay until settled", lost_items_stay_until_settled },
	{ "late answer takes nothing back", late_answer_takes_nothing_back },
	{ "list across restore removes nothing",
	    list_across_restore_removes_nothing },
	{ "missing era changes nothing", missing_era_changes_nothing },
	{ "era that goes back is refused", era_that_goes_back_is_refused },
	{ "node in the dark follows", node_in_the_dark_follows },
	{ "node starts during settling", node_starts_during_settling },
};

TEST_MAIN("restore", tests)
