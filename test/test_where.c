/* The explanation where a request would go. */
#include "../side/side.h"
#include "rig.h"
#include "test.h"

/* Node 0's answer to a path; the caller frees it. */
static char *
ask(struct rig *r, const char *path, int status)
{
	GString *out = g_string_new(NULL);

	CU_ASSERT_EQUAL(side_where(r->nodes[0].proxy, path, out), status);
	return g_string_free(out, FALSE);
}

/* Checks that node 0's answer has a text. */
static void
check_text(struct rig *r, const char *path, const char *text)
{
	char *answer = ask(r, path, 200);

	CU_ASSERT_PTR_NOT_NULL(strstr(answer, text));
	if (strstr(answer, text) == NULL)
		printf("no \"%s\" in:\n%s", text, answer);
	g_free(answer);
}

#define RUN "/where?host=rig%3A80&path=%2Frun%2Fx%3Fq%3D1"

/* Number of targets in node 0's explanation. */
static int
count_targets(struct rig *r)
{
	char *answer = ask(r, RUN, 200), *at = answer;
	int n = 0;

	while ((at = strstr(at, "\n  target ")) != NULL) {
		at++;
		n++;
	}
	g_free(answer);
	return n;
}

/*
 * Guards against an explanation that differs from what a request meets: its
 * route, and the targets with the reason why some are not considered.
 */
static void
route_and_targets_are_shown(void)
{
	struct rig_call c;
	struct rig r;

	rig_start(&r, 4);
	rig_list_target(&r, 1, "svc", VIEW_DRAINING);
	view_set_out(r.nodes[0].view, "south", 1);
	check_text(&r, RUN, "route /run/ host=rig prefix=/run/ ");
	check_text(&r, RUN, "service svc weight=1\n");
	CU_ASSERT_EQUAL(count_targets(&r), 4);
	check_text(&r, RUN, "target t0 addr=127.0.0.2:");
	check_text(&r, RUN, " data_centre=north state=ready slots=4 beside=1 ");
	check_text(&r, RUN, " chosen_percent=100\n");
	check_text(&r, RUN, " data_centre=north state=draining ");
	check_text(&r, RUN, " data_centre=south state=out ");
	view_set_out(r.nodes[0].view, "south", 0);
	rig_list_target(&r, 0, "other", VIEW_READY);
	rig_call(&r, &c, 0, "/run/x", "w", 900);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 200);
	rig_call_end(&c);
	CU_ASSERT_EQUAL(count_targets(&r), 3);
	check_text(&r, RUN, " data_centre=south state=ready slots=4 load=");
	check_text(&r, "/where?host=no&path=/run/x", "\nno route\n");
	rig_stop(&r);
}

/*
 * Guards against an explanation that changes what it explains: it sends
 * nothing, and the turn of a route's split stays where it was.
 */
static void
nothing_is_changed(void)
{
	struct view_route *route;
	struct rig r;
	int i;

	rig_start(&r, 2);
	route = view_config_route(r.nodes[0].view->config, 0);
	route->parts[0].credit = 7;
	for (i = 0; i < 5; i++)
		check_text(&r, RUN, "target t1 ");
	rig_run(&r, 50);
	CU_ASSERT_EQUAL(route->parts[0].credit, 7);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs + r.nodes[1].target.runs, 0);
	check_text(&r, RUN, " fresh=0 ");
	rig_stop(&r);
}

/* Guards against a crash or a wrong answer on questions with missing parts. */
static void
wrong_questions_are_refused(void)
{
	static const char *const paths[] = { "/where?", "/where?host=rig",
		"/where?path=/run/x", "/where?host=rig&path=run",
		"/where?host=rig&path=", "/where?host=rig&path=/x&more=1",
		"/where?host=%zz&path=/x", "/where?host=rig&path=%00/x",
		"/where?&&&" };
	struct rig r;
	size_t i;

	rig_start(&r, 1);
	for (i = 0; i < G_N_ELEMENTS(paths); i++)
		g_free(ask(&r, paths[i], 400));
	g_free(ask(&r, "/metrics", 0));
	g_free(ask(&r, "/whereabouts", 0));
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "route and targets are shown", route_and_targets_are_shown },
	{ "nothing is changed", nothing_is_changed },
	{ "wrong questions are refused", wrong_questions_are_refused },
};

TEST_MAIN("where", tests)
