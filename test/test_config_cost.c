/* What a version of a large configuration costs the nodes. */
#include "../standin/store.h"
#include "rig_follow.h"
#include "test.h"

#define ROUTES	      1500 /* about 220 KB */
#define PARSED_BYTES  4096 /* a node may parse for a change of two routes */
#define PASS_BYTES    (100 * 1024) /* a node may parse in a pass of its loop */
#define PREFIX_LENGTH 16

/* Routes /p0/ to /pN/, but for one of them, "/extra/" in its place. */
static void
put_routes(struct follow_rig *w, int version, int replaced)
{
	static const char *const services[] = { "svc", "other", NULL };
	static char prefixes[ROUTES][PREFIX_LENGTH];
	struct store_route *routes = g_new0(struct store_route, ROUTES);
	int i;

	for (i = 0; i < ROUTES; i++) {
		g_snprintf(prefixes[i], PREFIX_LENGTH, "/p%d/", i);
		routes[i].prefix = i == replaced ? "/extra/" : prefixes[i];
		routes[i].service = services[0];
		routes[i].repeatable = 1;
	}
	store_put_routes(w->store, version, services, routes, ROUTES);
	g_free(routes);
}

/* Whether all nodes have a version in force that has a route to a path. */
static int
all_have(struct follow_rig *w, uint64_t version, const char *path)
{
	int i, n = 0;

	for (i = 0; i < w->rig.nnodes; i++)
		n += follow_rig_config_version(w, i) == version &&
		     view_route(w->rig.nodes[i].view->config, "rig", path) !=
			 NULL;
	return n == w->rig.nnodes;
}

/*
 * Guards against nodes that stand still with each version of a large
 * configuration, so that it is late (CONFIG).
 */
static void
version_costs_what_it_changes(void)
{
	struct follow_rig w;
	int64_t parsed;
	int i;

	follow_rig_start(&w);
	put_routes(&w, 20, -1);
	rig_run(&w.rig, 900);
	CU_ASSERT(all_have(&w, 20, "/p700/"));
	for (i = 0; i < 2; i++) {
		parsed = counter_get(CTR_CONFIG_PARSED);
		put_routes(&w, 21 + i, i == 0 ? 700 : 3);
		rig_run(&w.rig, 600);
		CU_ASSERT(all_have(&w, 21 + (uint64_t)i, "/extra/"));
		CU_ASSERT(counter_get(CTR_CONFIG_PARSED) - parsed <=
			  (int64_t)w.rig.nnodes * PARSED_BYTES);
	}
	CU_ASSERT_PTR_NULL(
	    view_route(w.rig.nodes[0].view->config, "rig", "/p3/"));
	follow_rig_stop(&w);
}

/*
 * Guards against a node that stands still while it decodes its first
 * configuration, or one that changes everything.
 */
static void
large_version_is_decoded_in_steps(void)
{
	struct follow_rig w;
	int64_t parsed, most = 0;
	int i;

	follow_rig_start(&w);
	put_routes(&w, 20, -1);
	for (i = 0; i < 5000 && !all_have(&w, 20, "/p700/"); i++) {
		parsed = counter_get(CTR_CONFIG_PARSED);
		event_base_loop(w.rig.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		most = MAX(most, counter_get(CTR_CONFIG_PARSED) - parsed);
		g_usleep(200);
	}
	CU_ASSERT(all_have(&w, 20, "/p700/"));
	CU_ASSERT(most <= (int64_t)w.rig.nnodes * PASS_BYTES);
	follow_rig_stop(&w);
}

/*
 * Guards against versions that pile up: those that wait while another one is
 * decoded are not decoded themselves if a newer one is valid.
 */
static void
newest_version_is_decoded_first(void)
{
	int64_t applied, rejected = counter_get(CTR_REJECTED);
	struct follow_rig w;
	int i;

	follow_rig_start(&w);
	put_routes(&w, 20, -1);
	rig_run(&w.rig, 900);
	applied = counter_get(CTR_APPLIED);
	store_delay_answers(w.store, "op/");
	put_routes(&w, 21, 700);
	for (i = 0; i < 5; i++)
		put_routes(&w, 22 + i, 701 + i);
	store_put(w.store, "op/config", "{\"Version\":30,\"Services\":5}");
	store_send_delayed(w.store);
	rig_run(&w.rig, 2500);
	CU_ASSERT(all_have(&w, 26, "/extra/"));
	/* The first one alone was in the answer that was delayed. */
	CU_ASSERT_EQUAL(counter_get(CTR_APPLIED) - applied, 2 * w.rig.nnodes);
	CU_ASSERT_EQUAL(counter_get(CTR_REJECTED) - rejected, w.rig.nnodes);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "a version costs what it changes", version_costs_what_it_changes },
	{ "a large version is decoded in steps",
	    large_version_is_decoded_in_steps },
	{ "the newest version is decoded first",
	    newest_version_is_decoded_first },
};

TEST_MAIN("config_cost", tests)
