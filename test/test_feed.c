/* The choice of the node that reads the store for a data centre, and failover.
 */
#include <unistd.h>

#include <xxhash.h>

#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define MANY_NODES 12 /* of a data centre without relays */

/* Lists a target that gets rank 0, but has no node beside it. */
static void
list_target_of_rank_0(struct follow_rig *w)
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
 * A node whose link to its publisher ends fails over to the next rank, also if
 * the ranks have shifted since and the lost one would be chosen again.
 */
static void
publisher_is_lost(void)
{
	struct follow_rig w;
	int i, j;

	follow_rig_start(&w);
	list_target_of_rank_0(&w);
	rig_run(&w.rig, 1200);
	/* Each node closes its links in turn, the publisher among them. */
	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		follow_stop(w.follows[i]);
		proxy_free(w.rig.nodes[i].proxy);
		if (proxy_start(&w.rig.nodes[i].proxy, w.rig.base,
			&w.rig.nodes[i].settings, &platform_headers,
			platform_ready_path, w.rig.nodes[i].view) != PROXY_OK)
			g_error("a node cannot listen");
		follow_rig_clear_view(&w.rig.nodes[i]);
		follow_rig_start_node(&w, i);
		store_put_config(w.store, 10 + i, "svc", "/run/");
		rig_run(&w.rig, 1900);
		for (j = 0; j < FOLLOW_RIG_NODES; j++)
			CU_ASSERT_EQUAL(follow_rig_config_version(&w, j),
			    (uint64_t)(10 + i));
	}
	follow_rig_stop(&w);
}

/* The node of rank 0. */
static int
node_of_rank_0(struct follow_rig *w)
{
	int order[RIG_NODES_MAX];

	follow_rig_order(w, "north", order);
	return order[0];
}

/* Stops the followers of all nodes and clears their views. */
static void
stop_and_clear_all(struct follow_rig *w)
{
	int i;

	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		follow_stop(w->follows[i]);
		follow_rig_clear_view(&w->rig.nodes[i]);
	}
}

/*
 * The target of rank 0 is listed only after the others have chosen a publisher:
 * they subscribe to its node, and a single node reads the store again.
 */
static void
publisher_of_lower_rank_is_chosen(void)
{
	struct follow_rig w;
	int i, first, before;

	follow_rig_start(&w);
	first = node_of_rank_0(&w);
	stop_and_clear_all(&w);
	store_remove_target(w.store, w.rig.nodes[first].target.id);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_start_node(&w, i);
	rig_run(&w.rig, 900);
	follow_rig_put_target(&w, first, "ready");
	rig_run(&w.rig, 5500);
	before = store_calls(w.store);
	rig_run(&w.rig, 3600);
	/* Watches of 1.9 and of 1.2 s, and those in flight. */
	CU_ASSERT(store_calls(w.store) - before <= 7);
	follow_rig_stop(&w);
}

/*
 * Nodes that start before any target is listed poll the stale list, which costs
 * little, for a while before each of them reads the store itself.
 */
static void
nodes_start_before_targets_are_listed(void)
{
	struct follow_rig w;
	int i, before;

	follow_rig_start(&w);
	stop_and_clear_all(&w);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		store_remove_target(w.store, w.rig.nodes[i].target.id);
	before = store_calls(w.store);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_start_node(&w, i);
	rig_run(&w.rig, 700);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		follow_rig_put_target(&w, i, "ready");
	rig_run(&w.rig, 900);
	/* A single reader: two lists, and one or two watches of each part. */
	CU_ASSERT(store_calls(w.store) - before <= 6);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(g_hash_table_size(w.rig.nodes[i].view->targets),
		    FOLLOW_RIG_NODES);
	follow_rig_stop(&w);
}

/*
 * The store answers the publisher with 503 for a while, but serves the others.
 * All nodes get new versions through one of those meanwhile, and through the
 * publisher afterwards.
 */
static void
store_refuses_publisher(void)
{
	char addr[ADDRESS_MAX];
	struct follow_rig w;
	int i, first, address_id;

	follow_rig_start(&w);
	first = node_of_rank_0(&w);
	g_snprintf(addr, sizeof(addr), "127.0.0.99:%d", w.rig.ports + 4);
	address_id = store_add_address(w.store, addr);
	CU_ASSERT(address_id > 0);
	follow_stop(w.follows[first]);
	w.settings[first].store = addr;
	w.follows[first] = follow_start(w.rig.base, &w.settings[first],
	    w.rig.nodes[first].view, w.rig.nodes[first].proxy);
	rig_run(&w.rig, 1500);
	store_set_address_fault(w.store, address_id, STORE_BUSY);
	rig_run(&w.rig, 4000);
	store_put_config(w.store, 40, "svc", "/run/");
	rig_run(&w.rig, 2500);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, i), 40);
	store_set_address_fault(w.store, address_id, STORE_NO_FAULT);
	store_put_config(w.store, 41, "svc", "/run/");
	rig_run(&w.rig, 3000);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, i), 41);
	follow_rig_stop(&w);
}

/* Gives a node an address of the store of its own, which falls silent. */
static void
cut_off(struct follow_rig *w, int i, char *addr, int host)
{
	int address_id;

	g_snprintf(addr, ADDRESS_MAX, "127.0.0.%d:%d", host, w->rig.ports + 4);
	address_id = store_add_address(w->store, addr);
	CU_ASSERT(address_id > 0);
	follow_stop(w->follows[i]);
	w->settings[i].store = addr;
	w->follows[i] = follow_start(w->rig.base, &w->settings[i],
	    w->rig.nodes[i].view, w->rig.nodes[i].proxy);
	rig_run(&w->rig, 1500);
	store_set_address_fault(w->store, address_id, STORE_SILENT);
}

/*
 * The store falls silent for the publisher and for the node of the next rank.
 * The third node must get new versions without waiting until both of them have
 * timed out, one after the other.
 */
static void
two_publishers_are_cut_off(void)
{
	char first[ADDRESS_MAX], second[ADDRESS_MAX];
	struct follow_rig w;
	int k, order[RIG_NODES_MAX];

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	cut_off(&w, order[1], second, 98);
	cut_off(&w, order[0], first, 99);
	/*
	 * Frequent changes.  From three seconds after the cut on, a version
	 * that was written two seconds ago must be in force.
	 */
	for (k = 0; k < 28; k++) {
		store_put_config(w.store, 70 + k, "svc", "/run/");
		rig_run(&w.rig, 200);
		if (k >= 15)
			CU_ASSERT(follow_rig_config_version(&w, order[2]) >=
				  70 + (uint64_t)k - 10);
	}
	follow_rig_stop(&w);
}

#define NSILENT		3 /* FOLLOW_RANKS_MAX */
#define CONFIG_APPLY_MS 2500
#define LATE_GAP_MS	1000 /* between messages of a slow publisher */

/* Lists silent nodes that rank before all others. */
static void
list_silent_nodes(struct follow_rig *w, int fds[NSILENT])
{
	int order[RIG_NODES_MAX];

	follow_rig_order(w, "north", order);
	follow_rig_list_silent(w, -1, order[0], fds, NSILENT);
}

/*
 * All publishers that a node may try are silent, and detecting each takes more
 * than a second.  New versions must be in force within two seconds all the
 * same.
 */
static void
all_publishers_are_silent(void)
{
	struct follow_rig w;
	int fds[NSILENT], i, k;

	follow_rig_start(&w);
	list_silent_nodes(&w, fds);
	rig_run(&w.rig, 4500);
	for (k = 0; k < 6; k++) {
		store_put_config(w.store, 50 + k, "svc", "/run/");
		rig_run(&w.rig, 2000);
		for (i = 0; i < FOLLOW_RIG_NODES; i++)
			CU_ASSERT_EQUAL(follow_rig_config_version(&w, i),
			    (uint64_t)(50 + k));
	}
	follow_rig_stop(&w);
	for (i = 0; i < NSILENT; i++)
		close(fds[i]);
}

/*
 * A node without a usable publisher reads the store itself.  Its watches are
 * cut, and then the history they would resume from is compacted: two failures
 * in a row.  Three seconds later it must have the new version.
 */
static void
history_is_compacted_without_publisher(void)
{
	struct follow_rig w;
	int fds[NSILENT], i;

	follow_rig_start(&w);
	list_silent_nodes(&w, fds);
	rig_run(&w.rig, 5500);
	store_put(w.store, "somebody/else", "{}");
	store_compact_later(w.store);
	store_put_config(w.store, 60, "svc", "/run/");
	rig_run(&w.rig, 3000);
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, i), 60);
	follow_rig_stop(&w);
	for (i = 0; i < NSILENT; i++)
		close(fds[i]);
}

/*
 * Guards against a version that is late as its publisher's messages are.  The
 * publisher neither reads nor publishes changes, and sends a heartbeat each
 * second, as one does whose VM is slow; the platform allows CONFIG_APPLY_MS.
 */
static void
publisher_sends_late(void)
{
	struct follow_rig w;
	int first, i, elapsed;

	follow_rig_start(&w);
	rig_run(&w.rig, 1200);
	first = node_of_rank_0(&w);
	follow_stop(w.follows[first]);
	store_put_config(w.store, 20, "svc", "/run/");
	for (elapsed = 0; elapsed < CONFIG_APPLY_MS; elapsed += LATE_GAP_MS) {
		proxy_publish(w.rig.nodes[first].proxy, NULL, 0, 0);
		rig_run(&w.rig, MIN(LATE_GAP_MS, CONFIG_APPLY_MS - elapsed));
	}
	for (i = 0; i < FOLLOW_RIG_NODES; i++)
		if (i != first)
			CU_ASSERT_EQUAL(follow_rig_config_version(&w, i), 20);
	follow_rig_clear_view(&w.rig.nodes[first]);
	follow_rig_start_node(&w, first);
	follow_rig_stop(&w);
}

/*
 * Guards against a version that is late as nodes gave up a publisher that
 * served them for one that ranks before it, and did not.  That one is listed
 * here and is silent; it is chosen after 3 s and again 8 s after it was given
 * up.  No node may wait until its silence is noticed, which takes 800 ms and
 * more.
 */
static void
silent_node_ranks_first(void)
{
	struct follow_rig w;
	int order[RIG_NODES_MAX], fd, i, k;

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	follow_rig_list_silent(&w, -1, order[0], &fd, 1);
	for (k = 0; k < 80; k++) {
		store_put_config(w.store, 100 + k, "svc", "/run/");
		rig_run(&w.rig, 200);
		for (i = 0; i < FOLLOW_RIG_NODES && k >= 2; i++)
			CU_ASSERT(follow_rig_config_version(&w, i) >=
				  100 + (uint64_t)k - 2);
	}
	follow_rig_stop(&w);
	close(fd);
}

/*
 * The publisher's target leaves while its node still sends.  The next node is
 * the first then: it reads the store, and the others subscribe to it.
 */
static void
node_becomes_first(void)
{
	struct follow_rig w;
	int order[RIG_NODES_MAX];

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	follow_rig_put_target(&w, order[0], "draining");
	rig_run(&w.rig, 4500);
	CU_ASSERT(store_reader_is_watching(w.follows[order[1]]->reader));
	CU_ASSERT_STRING_EQUAL(w.follows[order[1]]->feed.publisher.addr, "");
	CU_ASSERT_STRING_EQUAL(w.follows[order[2]]->feed.publisher.addr,
	    w.rig.nodes[order[1]].target.addr);
	follow_rig_stop(&w);
}

/*
 * Guards against a publisher that is given up as silent, as its heartbeats
 * stopped for seconds after many nodes had subscribed to it at once: 33
 * subscriptions here.  Heartbeats are 400 ms apart.
 */
static void
many_subscribe_at_once(void)
{
	static const char *const north = "north";
	struct follow_rig w;
	const struct publisher *p;
	int order[RIG_NODES_MAX], i, k;

	follow_rig_start_in(&w, MANY_NODES, &north, 1);
	rig_run(&w.rig, 1200);
	follow_rig_order(&w, "north", order);
	for (k = 0; k < 3; k++)
		for (i = 1; i < MANY_NODES; i++) {
			proxy_subscribe(w.rig.nodes[order[i]].proxy,
			    PROXY_SLOT_PUBLISHER,
			    w.rig.nodes[order[0]].target.addr,
			    PROXY_SUBSCRIBE_READ);
			rig_run(&w.rig, 4);
		}
	for (k = 0; k < 30; k++) {
		rig_run(&w.rig, 100);
		for (i = 1; i < MANY_NODES; i++) {
			p = &w.follows[order[i]]->feed.publisher;
			CU_ASSERT(base_now_ms() - p->received_at < 700);
		}
	}
	follow_rig_stop(&w);
}

/*
 * Guards against targets that a node never hears of, as its publisher held them
 * before its first configuration when the node subscribed.  The node's own list
 * is stale.
 */
static void
publisher_starts_without_configuration(void)
{
	struct store_target late = { "late", "svc", "127.0.0.250:80", "north",
		"ready", 0, 1 };
	int order[RIG_NODES_MAX], i;
	struct follow_rig w;

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	for (i = 0; i < FOLLOW_RIG_NODES; i++) {
		follow_stop(w.follows[i]);
		follow_rig_clear_view(&w.rig.nodes[i]);
		if (i != order[0])
			store_remove_target(w.store, w.rig.nodes[i].target.id);
	}
	store_freeze_stale(w.store);
	store_put_target(w.store, &late);
	store_delay_answers(w.store, "op/");
	follow_rig_start_node(&w, order[0]);
	rig_run(&w.rig, 900);
	follow_rig_start_node(&w, order[1]);
	rig_run(&w.rig, 500);
	CU_ASSERT_STRING_EQUAL(w.follows[order[1]]->feed.publisher.addr,
	    w.rig.nodes[order[0]].target.addr);
	store_send_delayed(w.store);
	rig_run(&w.rig, 500);
	CU_ASSERT(follow_rig_config_version(&w, order[1]) > 0);
	CU_ASSERT(
	    g_hash_table_contains(w.rig.nodes[order[1]].view->targets, "late"));
	follow_rig_start_node(&w, order[2]);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "history is compacted without publisher",
	    history_is_compacted_without_publisher },
	{ "all publishers are silent", all_publishers_are_silent },
	{ "store refuses publisher", store_refuses_publisher },
	{ "two feeders are cut off", two_publishers_are_cut_off },
	{ "publisher of lower rank is chosen",
	    publisher_of_lower_rank_is_chosen },
	{ "nodes start before targets are listed",
	    nodes_start_before_targets_are_listed },
	{ "publisher is lost", publisher_is_lost },
	{ "publisher sends late", publisher_sends_late },
	{ "silent node ranks first", silent_node_ranks_first },
	{ "node becomes first", node_becomes_first },
	{ "many subscribe at once", many_subscribe_at_once },
	{ "publisher starts without configuration",
	    publisher_starts_without_configuration },
};

TEST_MAIN("feed", tests)
