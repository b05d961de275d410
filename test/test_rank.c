/* The order of the nodes of a data centre, and its relays. */
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define CONFIG_APPLY_MS 2500
#define NODES_MAX	150
#define TREE_NODES	RIG_NODES_MAX
#define TREE_RELAYS	4 /* of so many nodes */

/* Candidates in the order of their ranks, with addresses of their numbers. */
static GArray *
make_candidates(char (*addrs)[ADDRESS_MAX], guint n)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate_node));
	struct candidate_node c;
	guint i;

	for (i = 0; i < n; i++) {
		g_snprintf(addrs[i], ADDRESS_MAX, "10.0.0.%u:80", i);
		c = (struct candidate_node){ addrs[i], (uint64_t)i << 40 };
		g_array_append_val(list, c);
	}
	return list;
}

/* Rank of the relay of a node, or 0 if it has none. */
static guint
relay_rank(const GArray *list, guint own)
{
	const char *addr = rank_relay(list, own);
	guint i;

	for (i = 0; addr != NULL && i < list->len; i++)
		if (g_array_index(list, struct candidate_node, i).addr == addr)
			return i;
	return 0;
}

/*
 * Guards against updates that one node sends to all: no node serves more than a
 * part of a large data centre, and each update takes two steps at most.
 */
static void
relays_share_the_nodes(void)
{
	static char addrs[NODES_MAX][ADDRESS_MAX];
	guint n, i, relay, served[NODES_MAX];
	GArray *list;

	for (n = 1; n < NODES_MAX; n++) {
		list = make_candidates(addrs, n);
		memset(served, 0, sizeof(served));
		for (i = 1; i < n; i++) {
			relay = relay_rank(list, i);
			served[relay]++;
			CU_ASSERT(relay < i);
			CU_ASSERT_EQUAL(relay_rank(list, relay), 0);
		}
		/* Hashing spreads them within a factor of three. */
		for (i = 0; n > 12 && i < n; i++)
			CU_ASSERT(served[i] * served[i] <= 9 * n);
		g_array_free(list, TRUE);
	}
}

/* A node that leaves changes the relays of few others. */
static void
relays_are_kept(void)
{
	static char addrs[NODES_MAX][ADDRESS_MAX];
	GArray *list = make_candidates(addrs, 30);
	const char *before[30];
	guint i, changed = 0;

	for (i = 0; i < 30; i++)
		before[i] = rank_relay(list, i);
	g_array_remove_index(list, 20);
	for (i = 0; i < list->len; i++)
		changed += rank_relay(list, i) != before[i < 20 ? i : i + 1];
	CU_ASSERT_EQUAL(changed, 0);
	g_array_remove_index(list, 3);
	for (i = 6; i < list->len; i++)
		changed +=
		    rank_relay(list, i) != before[i < 19 ? i + 1 : i + 2];
	CU_ASSERT(changed > 0 && changed <= 15);
	g_array_free(list, TRUE);
}

/* Whether all nodes but one (-1: all) have a version within the time allowed.
 */
static int
all_get(struct follow_rig *w, uint64_t version, int but)
{
	int i, n = 0;

	store_put_config(w->store, (int)version, "svc", "/run/");
	rig_run(&w->rig, CONFIG_APPLY_MS);
	for (i = 0; i < w->rig.nnodes; i++)
		n += i == but || follow_rig_config_version(w, i) == version;
	return n == w->rig.nnodes;
}

/* A version passes the relays; a relay that leaves is replaced. */
static void
versions_pass_the_relays(void)
{
	static const char *const north = "north";
	struct follow_rig w;
	int order[RIG_NODES_MAX], i, relayed = 0, readers = 0;

	follow_rig_start_in(&w, TREE_NODES, &north, 1);
	rig_run(&w.rig, 1500);
	follow_rig_order(&w, "north", order);
	CU_ASSERT(all_get(&w, 20, -1));
	for (i = 0; i < TREE_NODES; i++) {
		relayed += w.follows[order[i]]->feed.rank == FOLLOW_RANK_RELAY;
		readers += store_reader_is_watching(w.follows[i]->reader);
	}
	CU_ASSERT_EQUAL(relayed, TREE_NODES - 1 - TREE_RELAYS);
	CU_ASSERT_EQUAL(readers, 1);
	CU_ASSERT_EQUAL(proxy_subscribers(
			    w.rig.nodes[order[0]].proxy, PROXY_SUBSCRIBE_READ),
	    TREE_RELAYS);
	/* A relay ends without a word; its target stays. */
	follow_stop(w.follows[order[2]]);
	CU_ASSERT(all_get(&w, 21, order[2]));
	follow_rig_clear_view(&w.rig.nodes[order[2]]);
	follow_rig_start_node(&w, order[2]);
	CU_ASSERT(all_get(&w, 22, -1));
	/* The node that reads ends as well. */
	follow_stop(w.follows[order[0]]);
	CU_ASSERT(all_get(&w, 23, order[0]));
	follow_rig_clear_view(&w.rig.nodes[order[0]]);
	follow_rig_start_node(&w, order[0]);
	rig_run(&w.rig, 1000);
	follow_rig_stop(&w);
}

/*
 * Guards against relays that read the store, as nodes that had chosen them from
 * a shorter list, to read it, found later that they are their relays.
 */
static void
relay_does_not_read(void)
{
	static const char *const north = "north";
	int order[RIG_NODES_MAX], i, readers = 0;
	struct follow_rig w;
	struct follow *f;

	follow_rig_start_in(&w, TREE_NODES, &north, 1);
	rig_run(&w.rig, 1500);
	follow_rig_order(&w, "north", order);
	f = w.follows[order[TREE_NODES - 1]];
	CU_ASSERT_EQUAL(f->feed.rank, FOLLOW_RANK_RELAY);
	/* As if the relay had ranked first, in a list without relays. */
	f->feed.rank = f->feed.first_rank = 0;
	proxy_subscribe(f->proxy, PROXY_SLOT_PUBLISHER, f->feed.publisher.addr,
	    PROXY_SUBSCRIBE_READ);
	rig_run(&w.rig, 500);
	for (i = 0; i < TREE_NODES; i++)
		readers += store_reader_is_watching(w.follows[i]->reader);
	CU_ASSERT_EQUAL(readers, 2);
	rig_run(&w.rig, FOLLOW_RECHECK_MS + 1500);
	CU_ASSERT_EQUAL(f->feed.rank, FOLLOW_RANK_RELAY);
	for (i = readers = 0; i < TREE_NODES; i++)
		readers += store_reader_is_watching(w.follows[i]->reader);
	CU_ASSERT_EQUAL(readers, 1);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "relays share the nodes", relays_share_the_nodes },
	{ "relays are kept", relays_are_kept },
	{ "versions pass the relays", versions_pass_the_relays },
	{ "a relay does not read", relay_does_not_read },
};

TEST_MAIN("rank", tests)
