/* The entry: what it answers by itself, and what it leaves to targets. */
#include "rig.h"
#include "test.h"

/* Calls a path and returns the status; back gets the header, 0: none. */
static int
status_of(struct rig *r, const char *path, double *back)
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
	*back = after != NULL ? g_ascii_strtod(after, NULL) : 0;
	rig_call_end(&c);
	return status;
}

/*
 * A route that is there and was not understood refuses as not run, and says
 * when to come back; the others serve.  Never a 404.
 */
static void
routes_not_understood_refuse(void)
{
	struct rig r;
	struct view_config *c;
	double back;

	rig_start(&r, 1);
	c = r.nodes[0].view->config;
	c->routes[1].unusable = 1;
	CU_ASSERT_EQUAL(status_of(&r, "/once/x", &back), 503);
	CU_ASSERT(back > 0);
	CU_ASSERT_EQUAL(status_of(&r, "/run/x", &back), 200);
	c->routes[1].unusable = 0;
	c->routes[1].parts[0].service = VIEW_UNREAD;
	CU_ASSERT_EQUAL(status_of(&r, "/once/x", &back), 503);
	CU_ASSERT(back > 0);
	CU_ASSERT_EQUAL(status_of(&r, "/none/x", &back), 404);
	view_add_unplaced(c, "RIG");
	CU_ASSERT_EQUAL(status_of(&r, "/none/x", &back), 503);
	CU_ASSERT(back > 0);
	CU_ASSERT_EQUAL(status_of(&r, "/run/x", &back), 200);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 2);
	rig_stop(&r);
}

/* Limits that were not understood leave those of a node without any. */
static void
limits_not_understood(void)
{
	struct rig r;
	double back;

	rig_start(&r, 1);
	r.nodes[0].view->config->limits =
	    (struct view_limits){ -1, -1, -1, -1 };
	proxy_view_changed(r.nodes[0].proxy);
	CU_ASSERT_EQUAL(status_of(&r, "/run/x", &back), 200);
	rig_stop(&r);
}

/* A target that says something new of its start is taken for cold. */
static void
a_word_for_cold_that_is_new(void)
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

#define ASK(path, id)                                             \
	"GET " path " HTTP/1.1\r\nHost: rig\r\nX-Attempt-Id: " id \
	"\r\nX-Deadline-Remaining: 900\r\n\r\n"

/*
 * Requests sent behind others run beside them, as many as may be repeated; one
 * that may run once is not given to a target before its turn.
 */
static void
requests_behind_others_run(void)
{
	struct rig r;
	struct rig_call c;
	int *runs;

	rig_start(&r, 1);
	runs = &r.nodes[0].target.runs;
	r.nodes[0].target.work_ms = 200;
	rig_raw(&r, &c, 0,
	    ASK("/run/1", "p1") ASK("/run/2", "p2") ASK("/once/3", "p3")
		ASK("/run/4", "p4"));
	CU_ASSERT(rig_until(&r, runs, 2));
	CU_ASSERT_PTR_NULL(c.answer);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 200);
	CU_ASSERT(rig_until(&r, runs, 4));
	rig_call_end(&c);
	/* The caller has gone, and with it all that was behind. */
	rig_run(&r, 50);
	rig_raw(&r, &c, 0, ASK("/run/1", "q1") ASK("/once/2", "q2"));
	CU_ASSERT(rig_until(&r, runs, 5));
	rig_call_end(&c);
	rig_run(&r, 300);
	CU_ASSERT_EQUAL(*runs, 5);
	rig_stop(&r);
}

/*
 * A stop while targets are at work for longer than there is time: callers get
 * an answer, and not a closed connection.
 */
static void
a_stop_answers_who_waits(void)
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
	proxy_leave(r.nodes[0].proxy);
	rig_run(&r, 780);
	for (i = 0; i < 6; i++) {
		CU_ASSERT(rig_status(&c[i]) == 502 || rig_status(&c[i]) == 504);
		rig_call_end(&c[i]);
	}
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "a stop answers who waits", a_stop_answers_who_waits },
	{ "requests behind others run", requests_behind_others_run },
	{ "routes not understood refuse", routes_not_understood_refuse },
	{ "limits not understood", limits_not_understood },
	{ "a word for cold that is new", a_word_for_cold_that_is_new },
};

TEST_MAIN("entry", tests)
