/* The entry: answers of its own, and requests that it offers to targets. */
#include "rig.h"
#include "test.h"

/* Returns the status of a call; retry_s gets its Retry-After in s, or 0. */
static int
call_status(struct rig *r, const char *path, double *retry_s)
{
	struct rig_call c;
	const char *after;
	int status;

	rig_call(r, &c, 0, path, "e", 900);
	rig_wait(r, &c);
	status = rig_status(&c);
	after = c.answer != NULL
		    ? http_find(c.answer, platform_headers.retry_after)
		    : NULL;
	*retry_s = after != NULL ? g_ascii_strtod(after, NULL) : 0;
	rig_call_end(&c);
	return status;
}

/*
 * A route that could not be parsed is refused as not run, with a Retry-After
 * and never with 404, as a later configuration may repair it; others serve.
 */
static void
unparsed_routes_are_refused(void)
{
	struct rig r;
	struct view_config *c;
	double retry_s;

	rig_start(&r, 1);
	c = r.nodes[0].view->config;
	view_config_route(c, 1)->unusable = 1;
	CU_ASSERT_EQUAL(call_status(&r, "/once/x", &retry_s), 503);
	CU_ASSERT(retry_s > 0);
	CU_ASSERT_EQUAL(call_status(&r, "/run/x", &retry_s), 200);
	view_config_route(c, 1)->unusable = 0;
	view_config_route(c, 1)->parts[0].service = VIEW_SERVICE_UNKNOWN;
	CU_ASSERT_EQUAL(call_status(&r, "/once/x", &retry_s), 503);
	CU_ASSERT(retry_s > 0);
	CU_ASSERT_EQUAL(call_status(&r, "/none/x", &retry_s), 404);
	view_add_unparsed_host(c, "RIG");
	CU_ASSERT_EQUAL(call_status(&r, "/none/x", &retry_s), 503);
	CU_ASSERT(retry_s > 0);
	CU_ASSERT_EQUAL(call_status(&r, "/run/x", &retry_s), 200);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 2);
	rig_stop(&r);
}

/* Limits that could not be parsed are replaced by the defaults. */
static void
unparsed_limits_use_defaults(void)
{
	struct rig r;
	double retry_s;

	rig_start(&r, 1);
	r.nodes[0].view->config->limits =
	    (struct view_limits){ -1, -1, -1, -1 };
	proxy_view_changed(r.nodes[0].proxy);
	CU_ASSERT_EQUAL(call_status(&r, "/run/x", &retry_s), 200);
	rig_stop(&r);
}

/* A cold time that cannot be parsed counts as the full cold time. */
static void
unparsed_cold_time_is_cold(void)
{
	struct rig r;
	struct rig_call c[60];
	int i, before;

	rig_start(&r, 1);
	proxy_store_lost(r.nodes[0].proxy);
	r.nodes[0].target.cold_text = "soon";
	rig_run(&r, 1200);
	before = r.nodes[0].target.runs;
	for (i = 0; i < 60; i++)
		rig_call(&r, &c[i], 0, "/run/x", "c", 900);
	rig_run(&r, 500);
	CU_ASSERT(r.nodes[0].target.runs - before <= 28);
	for (i = 0; i < 60; i++)
		rig_call_end(&c[i]);
	rig_stop(&r);
}

#define GET(path, id)                                             \
	"GET " path " HTTP/1.1\r\nHost: rig\r\nX-Attempt-Id: " id \
	"\r\nX-Deadline-Remaining: 900\r\n\r\n"

/*
 * Pipelined requests run in parallel as long as they are repeatable; one that
 * must run once is not sent to a target before its turn.
 */
static void
pipelined_requests_run(void)
{
	struct rig r;
	struct rig_call c;
	int *runs;

	rig_start(&r, 1);
	runs = &r.nodes[0].target.runs;
	r.nodes[0].target.work_ms = 200;
	rig_send_raw(&r, &c, 0,
	    GET("/run/1", "p1") GET("/run/2", "p2") GET("/once/3", "p3")
		GET("/run/4", "p4"));
	CU_ASSERT(rig_wait_value(&r, runs, 2));
	CU_ASSERT_PTR_NULL(c.answer);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 200);
	CU_ASSERT(rig_wait_value(&r, runs, 4));
	rig_call_end(&c);
	/* When the caller disconnects, the requests behind end with it. */
	rig_run(&r, 50);
	rig_send_raw(&r, &c, 0, GET("/run/1", "q1") GET("/once/2", "q2"));
	CU_ASSERT(rig_wait_value(&r, runs, 5));
	rig_call_end(&c);
	rig_run(&r, 300);
	CU_ASSERT_EQUAL(*runs, 5);
	rig_stop(&r);
}

/*
 * A node stops while its targets work for longer than grace_ms: callers get an
 * answer and not just a closed connection.
 */
static void
stop_answers_waiting_callers(void)
{
	struct rig r;
	struct rig_call c[6];
	int i;

	rig_start(&r, 2);
	rig_script(&r, 0, "", RIG_HANG);
	rig_script(&r, 1, "", RIG_HANG);
	r.nodes[0].settings.grace_ms = 800;
	for (i = 0; i < 6; i++)
		rig_call(&r, &c[i], 0, i % 2 ? "/run/x" : "/once/x", "w", 5000);
	rig_run(&r, 50);
	proxy_drain(r.nodes[0].proxy);
	rig_run(&r, 780);
	for (i = 0; i < 6; i++) {
		CU_ASSERT(rig_status(&c[i]) == 502 || rig_status(&c[i]) == 504);
		rig_call_end(&c[i]);
	}
	rig_stop(&r);
}

/*
 * Guards against a process that exits before it has answered the callers that
 * wait: with a grace period below 5 s it exited first.
 */
static void
answers_precede_exit(void)
{
	static const int grace_ms[] = { 100, 800, 2000, 6000, 60000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(grace_ms); i++) {
		int answer = proxy_last_answer_ms(grace_ms[i]);
		int end = proxy_exit_ms(grace_ms[i]);

		CU_ASSERT(answer > grace_ms[i] / 2);
		CU_ASSERT(answer + MIN(50, grace_ms[i] / 20) <= end);
		CU_ASSERT(end <= grace_ms[i] - MIN(250, grace_ms[i] / 5));
	}
}

/* Sends a call to a node and returns the status of its answer. */
static int
status_at(
    struct rig *r, int node, const char *path, const char *id, int remaining_ms)
{
	struct rig_call c;
	int status;

	rig_call(r, &c, node, path, id, remaining_ms);
	rig_wait(r, &c);
	status = rig_status(&c);
	rig_call_end(&c);
	return status;
}

/*
 * Guards against LOST: a node that was about to stop passed on requests that
 * could not end before its process did, and broke them off.
 */
static void
leaving_node_takes_only_what_can_end(void)
{
	static const struct {
		int nodes, target; /* of the target that works */
	} cases[] = { { 1, 0 }, { 2, 0 }, { 2, 1 } };
	struct rig_target *t;
	struct rig r;
	size_t i;
	int runs;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_start(&r, cases[i].nodes);
		if (cases[i].nodes > 1)
			rig_list_target(
			    &r, !cases[i].target, "other", VIEW_READY);
		view_config_route(r.nodes[0].view->config, 1)->timeout_ms =
		    4000;
		t = &r.nodes[cases[i].target].target;
		t->work_ms = 1800;
		CU_ASSERT_EQUAL(status_at(&r, 0, "/once/x", "a", 3600), 200);
		t->work_ms = 10;
		CU_ASSERT_EQUAL(status_at(&r, 0, "/run/x", "b", 900), 200);
		r.nodes[0].settings.grace_ms = 2400;
		proxy_drain(r.nodes[0].proxy);
		rig_run(&r, 300);
		runs = t->runs;
		/* 1740 ms are left, and such a request takes 1800. */
		t->work_ms = 1800;
		CU_ASSERT_EQUAL(status_at(&r, 0, "/once/x", "c", 3600), 503);
		CU_ASSERT_EQUAL(t->runs, runs);
		/* A kind that is short enough is served. */
		t->work_ms = 10;
		CU_ASSERT_EQUAL(status_at(&r, 0, "/run/x", "e", 900), 200);
		/* Its own time limit ends it before. */
		t->work_ms = 1800;
		CU_ASSERT_EQUAL(status_at(&r, 0, "/once/x", "d", 1000), 504);
		CU_ASSERT_EQUAL(t->runs, runs + 2);
		/* The target's work on it ends. */
		rig_run(&r, 1000);
		rig_stop(&r);
	}
}

/*
 * Guards against LOST: a guard that was about to stop took requests of other
 * nodes that its target could not end before.
 */
static void
leaving_guard_takes_only_what_can_end(void)
{
	struct rig_target *t;
	struct rig r;

	rig_start(&r, 2);
	rig_list_target(&r, 1, "other", VIEW_READY);
	view_config_route(r.nodes[1].view->config, 1)->timeout_ms = 8000;
	t = &r.nodes[0].target;
	t->work_ms = 4000;
	CU_ASSERT_EQUAL(status_at(&r, 1, "/once/x", "a", 8000), 200);
	r.nodes[0].settings.grace_ms = 4000;
	proxy_drain(r.nodes[0].proxy);
	rig_run(&r, 50);
	/* The guard takes new work for 1200 ms, with 3590 left to end it. */
	CU_ASSERT_EQUAL(status_at(&r, 1, "/once/x", "b", 8000), 503);
	CU_ASSERT_EQUAL(t->runs, 1);
	/* The entry offers it nothing for 250 ms. */
	rig_run(&r, 300);
	CU_ASSERT_EQUAL(status_at(&r, 1, "/once/x", "c", 2400), 504);
	CU_ASSERT_EQUAL(t->runs, 2);
	rig_run(&r, 1800);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "leaving node takes only what can end",
	    leaving_node_takes_only_what_can_end },
	{ "leaving guard takes only what can end",
	    leaving_guard_takes_only_what_can_end },
	{ "stop answers waiting callers", stop_answers_waiting_callers },
	{ "answers precede exit", answers_precede_exit },
	{ "pipelined requests run", pipelined_requests_run },
	{ "unparsed routes are refused", unparsed_routes_are_refused },
	{ "unparsed limits use defaults", unparsed_limits_use_defaults },
	{ "unparsed cold time is cold", unparsed_cold_time_is_cold },
};

TEST_MAIN("entry", tests)
