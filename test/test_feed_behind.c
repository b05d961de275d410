/* A publisher that sends heartbeats in time, but reads no changes. */
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define CONFIG_APPLY_MS 2500
#define GAP_MS		300 /* between messages of the publisher */

/*
 * Stops the publisher of north's work, but not its heartbeats.  After the time
 * that the platform allows all other nodes have a new version; no more than
 * nreaders of them read the store.
 */
static void
publisher_stops_reading(struct follow_rig *w, int nreaders)
{
	int order[RIG_NODES_MAX], i, elapsed, publisher, n = 0;

	rig_run(&w->rig, 1200);
	follow_rig_order(w, "north", order);
	publisher = order[0];
	follow_stop(w->follows[publisher]);
	store_put_config(w->store, 20, "svc", "/run/");
	for (elapsed = 0; elapsed < CONFIG_APPLY_MS; elapsed += GAP_MS) {
		proxy_publish(w->rig.nodes[publisher].proxy, NULL, 0, 0);
		rig_run(&w->rig, MIN(GAP_MS, CONFIG_APPLY_MS - elapsed));
	}
	for (i = 0; i < w->rig.nnodes; i++) {
		if (i == publisher)
			continue;
		CU_ASSERT_EQUAL(follow_rig_config_version(w, i), 20);
		n += store_reader_is_watching(w->follows[i]->reader);
	}
	CU_ASSERT(n <= nreaders);
	follow_rig_clear_view(&w->rig.nodes[publisher]);
	follow_rig_start_node(w, publisher);
	follow_rig_stop(w);
}

/*
 * Guards against a version that is late as its publisher is behind.  The
 * publisher neither reads nor publishes changes, and sends heartbeats in time;
 * the platform allows CONFIG_APPLY_MS.
 */
static void
publisher_is_behind(void)
{
	struct follow_rig w;

	follow_rig_start(&w);
	publisher_stops_reading(&w, FOLLOW_RIG_NODES - 1);
}

/* The same; another data centre helps, so that one node reads the store. */
static void
publisher_is_behind_in_one_of_two(void)
{
	static const char *const dcs[] = { "north", "south" };
	struct follow_rig w;

	follow_rig_start_in(&w, 8, dcs, 2);
	publisher_stops_reading(&w, 1);
}

static const struct test tests[] = {
	{ "publisher is behind", publisher_is_behind },
	{ "publisher is behind in one of two data centres",
	    publisher_is_behind_in_one_of_two },
};

TEST_MAIN("feed_behind", tests)
