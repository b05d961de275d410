/* Which node reads the store for the others, and what happens when it cannot.
 */
#include <unistd.h>

#include <xxhash.h>

#include "rig_follow.h"
#include "test.h"

/* Lists a target without a node that comes first in the order of feeders. */
static void
list_first_of_all(struct follow_rig *w)
{
	char addr[ADDRESS_MAX], best[ADDRESS_MAX] = "";
	uint64_t h, least = UINT64_MAX;
	int i;

	for (i = 50; i < 250; i++) {
		g_snprintf(
		    addr, sizeof(addr), "127.0.0.%d:%d", i, w->rig.ports);
		if ((h = XXH64(addr, strlen(addr), 0)) >= least)
			continue;
		least = h;
		g_strlcpy(best, addr, sizeof(best));
	}
	store_put_target(w->store, &(struct store_target){ "x", "other", best,
				       "north", "ready", 0, 1 });
}

/*
 * A feeder whose link ends is left for the next, also when the order has
 * changed since it was chosen and its turn seems to come again.
 */
static void
a_feeder_is_lost(void)
{
	struct follow_rig w;
	int i, j;

	follow_rig_start(&w);
	list_first_of_all(&w);
	rig_run(&w.rig, 1200);
	/* Each of them ends its links; whoever read is among them. */
	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		follow_stop(w.follows[i]);
		proxy_free(w.rig.nodes[i].proxy);
		if (proxy_start(&w.rig.nodes[i].proxy, w.rig.base,
			&w.rig.nodes[i].settings, &platform_headers,
			platform_ready_path, w.rig.nodes[i].view) != PROXY_OK)
			g_error("a node cannot listen");
		follow_rig_forget(&w.rig.nodes[i]);
		follow_rig_one(&w, i);
		store_put_config(w.store, 10 + i, "svc", "/run/");
		rig_run(&w.rig, 1900);
		for (j = 0; j < FOLLOW_RIG_NODES; j++)
			CU_ASSERT_EQUAL(
			    follow_rig_version(&w, j), (uint64_t)(10 + i));
	}
	follow_rig_stop(&w);
}

/* The node whose target comes first in the order of feeders. */
static int
first_in_order(struct follow_rig *w)
{
	int order[RIG_NODES];

	follow_rig_order(w, "north", order);
	return order[0];
}

/* Stops to follow on all nodes and forgets what they know. */
static void
forget_all(struct follow_rig *w)
{
	int i;

	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		follow_stop(w->follows[i]);
		follow_rig_forget(&w->rig.nodes[i]);
	}
}

/*
 * A target that comes first in the order is listed after the others have
 * chosen: they turn to its node, and one reads for all again.
 */
static void
a_better_feeder_is_taken(void)
{
	struct follow_rig w;
	int i, first, before;

	follow_rig_start(&w);
	first = first_in_order(&w);
	forget_all(&w);
	store_remove_target(w.store, w.rig.nodes[first].target.id);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_one(&w, i);
	rig_run(&w.rig, 900);
	follow_rig_target(&w, first, "ready");
	rig_run(&w.rig, 5500);
	before = store_calls(w.store);
	rig_run(&w.rig, 3600);
	/* Watches of 1.9 and of 1.2 s, and those under way. */
	CU_ASSERT(store_calls(w.store) - before <= 7);
	follow_rig_stop(&w);
}

/*
 * Nodes that start before any target is listed wait for the list, which may be
 * old and costs little, before each of them reads exactly.
 */
static void
nodes_start_before_their_targets(void)
{
	struct follow_rig w;
	int i, before;

	follow_rig_start(&w);
	forget_all(&w);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		store_remove_target(w.store, w.rig.nodes[i].target.id);
	before = store_calls(w.store);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_one(&w, i);
	rig_run(&w.rig, 700);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_target(&w, i, "ready");
	rig_run(&w.rig, 900);
	/* One reader: two lists, and a watch of each part or two. */
	CU_ASSERT(store_calls(w.store) - before <= 6);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(g_hash_table_size(w.rig.nodes[i].view->targets),
		    FOLLOW_RIG_NODES);
	follow_rig_stop(&w);
}

/*
 * The store turns away the node that reads for all, for longer than it serves
 * the others: they turn to the next, and the node itself asks one of them.
 */
static void
a_node_is_turned_away(void)
{
	char addr[ADDRESS_MAX];
	struct follow_rig w;
	int i, first, door;

	follow_rig_start(&w);
	first = first_in_order(&w);
	g_snprintf(addr, sizeof(addr), "127.0.0.99:%d", w.rig.ports + 4);
	door = store_door(w.store, addr);
	CU_ASSERT(door > 0);
	follow_stop(w.follows[first]);
	w.settings[first].store = addr;
	w.follows[first] = follow_start(w.rig.base, &w.settings[first],
	    w.rig.nodes[first].view, w.rig.nodes[first].proxy);
	rig_run(&w.rig, 1500);
	store_set_door_fault(w.store, door, STORE_BUSY);
	rig_run(&w.rig, 4000);
	store_put_config(w.store, 40, "svc", "/run/");
	rig_run(&w.rig, 2500);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_version(&w, i), 40);
	store_set_door_fault(w.store, door, STORE_WELL);
	store_put_config(w.store, 41, "svc", "/run/");
	rig_run(&w.rig, 3000);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_version(&w, i), 41);
	follow_rig_stop(&w);
}

/* Cuts a node off from the store by a door of its own, which says nothing. */
static void
cut_off(struct follow_rig *w, int i, char *addr, int host)
{
	int door;

	g_snprintf(addr, ADDRESS_MAX, "127.0.0.%d:%d", host, w->rig.ports + 4);
	door = store_door(w->store, addr);
	CU_ASSERT(door > 0);
	follow_stop(w->follows[i]);
	w->settings[i].store = addr;
	w->follows[i] = follow_start(w->rig.base, &w->settings[i],
	    w->rig.nodes[i].view, w->rig.nodes[i].proxy);
	rig_run(&w->rig, 1500);
	store_set_door_fault(w->store, door, STORE_SILENT);
}

/*
 * The node that reads for all and the next in the order are cut off from the
 * store without a word.  The one that is left finds out the first by its word;
 * it must not wait until it has found out the second as well.
 */
static void
two_feeders_are_cut_off(void)
{
	char first[ADDRESS_MAX], second[ADDRESS_MAX];
	struct follow_rig w;
	int k, order[RIG_NODES];

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	cut_off(&w, order[1], second, 98);
	cut_off(&w, order[0], first, 99);
	/*
	 * A storm of changes.  Three seconds after the cut a node counts as in
	 * touch; from then on what was written two seconds ago is in force.
	 */
	for (k = 0; k < 28; k++) {
		store_put_config(w.store, 70 + k, "svc", "/run/");
		rig_run(&w.rig, 200);
		if (k >= 15)
			CU_ASSERT(follow_rig_version(&w, order[2]) >=
				  70 + (uint64_t)k - 10);
	}
	follow_rig_stop(&w);
}

#define SILENT 3

/* Silent nodes that come first of all in the order. */
static void
list_silent_feeders(struct follow_rig *w, int fds[SILENT])
{
	int order[RIG_NODES];

	follow_rig_order(w, "north", order);
	follow_rig_list_silent(w, -1, order[0], fds, SILENT);
}

/*
 * All three feeders that a node may try are silent, each for over a second.
 * What operators write meanwhile is in force within two seconds all the same.
 */
static void
all_feeders_are_silent(void)
{
	struct follow_rig w;
	int fds[SILENT], i, k;

	follow_rig_start(&w);
	list_silent_feeders(&w, fds);
	rig_run(&w.rig, 4500);
	for (k = 0; k < 6; k++) {
		store_put_config(w.store, 50 + k, "svc", "/run/");
		rig_run(&w.rig, 2000);
		for (i = 0; i < FOLLOW_RIG_NODES; i++)
			CU_ASSERT_EQUAL(
			    follow_rig_version(&w, i), (uint64_t)(50 + k));
	}
	follow_rig_stop(&w);
	for (i = 0; i < SILENT; i++)
		close(fds[i]);
}

/*
 * Watches of a node that reads as its feeders are of no use are cut, and the
 * history they would go on from is gone: two failures in a row.  Three seconds
 * later a node counts as in touch, and has to hold what was written.
 */
static void
history_is_forgotten_by_whom_nobody_feeds(void)
{
	struct follow_rig w;
	int fds[SILENT], i;

	follow_rig_start(&w);
	list_silent_feeders(&w, fds);
	rig_run(&w.rig, 5500);
	store_put(w.store, "somebody/else", "{}");
	store_forget_later(w.store);
	store_put_config(w.store, 60, "svc", "/run/");
	rig_run(&w.rig, 3000);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_version(&w, i), 60);
	follow_rig_stop(&w);
	for (i = 0; i < SILENT; i++)
		close(fds[i]);
}

static const struct test tests[] = {
	{ "history is forgotten by whom nobody feeds",
	    history_is_forgotten_by_whom_nobody_feeds },
	{ "all feeders are silent", all_feeders_are_silent },
	{ "a node is turned away", a_node_is_turned_away },
	{ "two feeders are cut off", two_feeders_are_cut_off },
	{ "a better feeder is taken", a_better_feeder_is_taken },
	{ "nodes start before their targets",
	    nodes_start_before_their_targets },
	{ "a feeder is lost", a_feeder_is_lost },
};

TEST_MAIN("feeder", tests)
