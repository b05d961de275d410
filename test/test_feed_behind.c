/* A publisher that sends heartbeats in time, but reads no changes. */
#include "rig_follow.h"
#include "test.h"

#define CONFIG_APPLY_MS 2500
#define GAP_MS		300 /* between messages of the publisher */

/*
 * Guards against a version that is late as its publisher is behind.  The
 * publisher neither reads nor publishes changes, and sends heartbeats in time;
 * the platform allows CONFIG_APPLY_MS.
 */
static void
publisher_is_behind(void)
{
	struct follow_rig w;
	int order[RIG_NODES_MAX], i, elapsed;

	follow_rig_start(&w);
	rig_run(&w.rig, 1200);
	follow_rig_order(&w, "north", order);
	follow_stop(w.follows[order[0]]);
	store_put_config(w.store, 20, "svc", "/run/");
	for (elapsed = 0; elapsed < CONFIG_APPLY_MS; elapsed += GAP_MS) {
		proxy_publish(w.rig.nodes[order[0]].proxy, NULL, 0, 0);
		rig_run(&w.rig, MIN(GAP_MS, CONFIG_APPLY_MS - elapsed));
	}
	for (i = 1; i < FOLLOW_RIG_NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, order[i]), 20);
	follow_rig_clear_view(&w.rig.nodes[order[0]]);
	follow_rig_start_node(&w, order[0]);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "publisher is behind", publisher_is_behind },
};

TEST_MAIN("feed_behind", tests)
