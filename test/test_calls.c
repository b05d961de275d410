/* Calls of targets on real nodes: detection, refusals, health of callees. */
#include "../proxy/proxy_int.h"
#include "rig.h"
#include "test.h"

/* Node 0 is beside the callee, 1 and 2 are beside targets of other services. */
#define CALLEE 0
#define CALLER 1
#define THIRD  2
#define NODES  3

/* Lists the target of a node under another service, in all views. */
static void
set_service(struct rig *r, int node, const char *service)
{
	g_free(r->nodes[node].settings.service);
	r->nodes[node].settings.service = g_strdup(service);
	rig_list_target(r, node, service, VIEW_READY);
}

/* Starts three nodes of three services, of which only "svc" has routes. */
static void
start(struct rig *r)
{
	rig_start(r, NODES);
	set_service(r, CALLER, "parents");
	set_service(r, THIRD, "third");
}

/* Sends a request and returns its status. */
static int
send_one(struct rig *r, int node, const char *path)
{
	struct rig_call c;
	int status;

	rig_call(r, &c, node, path, "c", 900);
	rig_wait(r, &c);
	status = rig_status(&c);
	rig_call_end(&c);
	return status;
}

/*
 * Sends calls ("/run/", from one service) and requests of callers ("/once/",
 * from two), each kind CALL_ROW times.
 */
static void
send_both_kinds(struct rig *r)
{
	int i;

	for (i = 0; i < CALL_ROW; i++) {
		send_one(r, CALLER, "/run/x");
		send_one(r, i % 2 ? CALLER : THIRD, "/once/x");
	}
}

/* Whether the entry of a node takes the kind of a route for a call. */
static int
entry_knows(struct rig *r, int node, int route)
{
	return call_reports_is_call(&r->nodes[node].proxy->entry.call_reports,
	    g_str_hash(
		view_config_route(r->nodes[node].view->config, route)->name));
}

/* The same of a node's guard. */
static int
guard_knows(struct rig *r, int node, int route)
{
	return call_kinds_is_call(&r->nodes[node].proxy->guard.call_kinds,
	    g_str_hash(
		view_config_route(r->nodes[node].view->config, route)->name));
}

/*
 * Failure: entries that do not learn which kinds are calls, over links, would
 * treat calls as callers' requests.  A restart of the guard, which then knows
 * none, ends that only after a majority of its reports.
 */
static void
entries_learn_calls(void)
{
	struct rig r;
	int i;

	start(&r);
	send_both_kinds(&r);
	CU_ASSERT(guard_knows(&r, CALLEE, 0));
	CU_ASSERT_FALSE(guard_knows(&r, CALLEE, 1));
	for (i = 0; i < 10; i++)
		send_one(&r, CALLER, "/run/x");
	CU_ASSERT(entry_knows(&r, CALLER, 0));
	CU_ASSERT_FALSE(entry_knows(&r, CALLER, 1));
	CU_ASSERT_FALSE(entry_knows(&r, THIRD, 0));
	rig_restart(&r, CALLEE);
	CU_ASSERT_FALSE(guard_knows(&r, CALLEE, 0));
	/* The link was lost, so this one is sent on a new link. */
	rig_run(&r, 1100);
	CU_ASSERT_EQUAL(send_one(&r, CALLER, "/run/x"), 200);
	CU_ASSERT(entry_knows(&r, CALLER, 0));
	send_both_kinds(&r);
	CU_ASSERT(guard_knows(&r, CALLEE, 0));
	rig_stop(&r);
}

/* Requests from the own entry end a row like those over links. */
static void
own_guard_reports(void)
{
	struct rig r;
	int i;

	start(&r);
	send_both_kinds(&r);
	/* The entry beside the callee itself sends no calls. */
	CU_ASSERT(guard_knows(&r, CALLEE, 0));
	for (i = 0; i < 20; i++)
		send_one(&r, CALLEE, "/once/x");
	CU_ASSERT_FALSE(entry_knows(&r, CALLEE, 1));
	CU_ASSERT_EQUAL(send_one(&r, CALLEE, "/run/x"), 200);
	CU_ASSERT_FALSE(guard_knows(&r, CALLEE, 0));
	rig_stop(&r);
}

/* Failure: a route that is removed and returns with other use stays a call. */
static void
removed_route_is_forgotten(void)
{
	struct view_config *c;
	struct rig r;
	int i;

	start(&r);
	send_both_kinds(&r);
	for (i = 0; i < 10; i++)
		send_one(&r, CALLER, "/run/x");
	CU_ASSERT(guard_knows(&r, CALLEE, 0));
	CU_ASSERT(entry_knows(&r, CALLER, 0));
	for (i = 0; i < NODES; i++) {
		c = view_config_new();
		c->version = r.nodes[i].view->config->version + 1;
		view_set_config(r.nodes[i].view, c);
		proxy_view_changed(r.nodes[i].proxy);
	}
	CU_ASSERT_EQUAL(r.nodes[CALLEE].proxy->guard.call_kinds.n, 0);
	CU_ASSERT_EQUAL(r.nodes[CALLER].proxy->entry.call_reports.n, 0);
	rig_stop(&r);
}

/* Makes "/once/" a route to the target beside the caller, in all views. */
static void
route_parents(struct rig *r)
{
	struct view_config *c;
	int i;

	for (i = 0; i < NODES; i++) {
		c = r->nodes[i].view->config;
		c->services = g_renew(struct view_service, c->services, 2);
		c->services[1] = (struct view_service){ g_strdup("parents"),
			g_strdup("/health"), 100, 3000, 20 };
		c->nservices = 2;
		view_config_route(c, 1)->parts[0].service = 1;
	}
}

/* Runs a parent and, while it runs, a call; returns the parent's status. */
static int
run_parent(struct rig *r)
{
	struct rig_call parent;
	int status;

	rig_call(r, &parent, THIRD, "/once/x", "p", 900);
	rig_run(r, 10);
	if (parent.answer == NULL)
		send_one(r, CALLER, "/run/x");
	rig_wait(r, &parent);
	status = rig_status(&parent);
	rig_call_end(&parent);
	return status;
}

/*
 * Failure: a callee that answers 500 itself.  Parents, which may run once, ran
 * all the same and ended with 500.  The guard learns that they send calls, and
 * refuses them as not run except for trials, until 1 s after the callee's
 * recovery at most.
 */
static void
parents_wait_for_their_callee(void)
{
	enum {
		TRIES = 20
	};
	int64_t refused = counter_get(CTR_GUARD_CALLEES);
	int i, runs, failed = 0, not_run = 0, served = 0;
	struct rig r;

	start(&r);
	send_both_kinds(&r);
	for (i = 0; i < 10; i++)
		send_one(&r, CALLER, "/run/x");
	route_parents(&r);
	r.nodes[CALLER].target.work_ms = 30;
	for (i = 0; i < TRIES; i++)
		CU_ASSERT_EQUAL(run_parent(&r), 200);
	r.nodes[CALLEE].target.status = r.nodes[CALLER].target.status = 500;
	rig_run(&r, 1100);
	runs = r.nodes[CALLER].target.runs;
	for (i = 0; i < 2 * TRIES; i++) {
		switch (run_parent(&r)) {
		case 500:
			failed++;
			break;
		case 503:
			not_run++;
			/* The entry makes this guard no offers for 25 ms. */
			rig_run(&r, 30);
			break;
		}
	}
	CU_ASSERT_EQUAL(failed + not_run, 2 * TRIES);
	CU_ASSERT_EQUAL(r.nodes[CALLER].target.runs, runs + failed);
	CU_ASSERT(not_run >= TRIES);
	CU_ASSERT(counter_get(CTR_GUARD_CALLEES) >= refused + TRIES);
	r.nodes[CALLEE].target.status = r.nodes[CALLER].target.status = 200;
	rig_run(&r, 1000);
	for (i = 0; i < TRIES; i++)
		served += run_parent(&r) == 200;
	CU_ASSERT_EQUAL(served, TRIES);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "entries learn calls", entries_learn_calls },
	{ "own guard reports", own_guard_reports },
	{ "parents wait for their callee", parents_wait_for_their_callee },
	{ "removed route is forgotten", removed_route_is_forgotten },
};

TEST_MAIN("calls", tests)
