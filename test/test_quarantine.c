/*
 * Requests that crash each target that begins to run them, from a caller to
 * targets: how many targets end before the request is refused everywhere.
 */
#include <stdio.h>

#include "../proxy/gate_int.h"
#include "rig.h"
#include "test.h"

/* The users' rule looks at what is sent once three targets have ended. */
#define ENDED_MAX 3
#define BACK_MS	  150  /* a target is down for */
#define SHORT_MS  60   /* too short for a second status check */
#define TOLD_MS	  5000 /* a crash is told again after 1, 4 and 16 s */
#define PAUSE_MS  400  /* between two requests that crash targets */

/* Targets that requests have ended so far. */
static int
ended(const struct rig *r)
{
	int i, n = 0;

	for (i = 0; i < r->nnodes; i++)
		n += r->nodes[i].target.crashes;
	return n;
}

/* Of a request as rig_call sends it. */
static uint64_t
fingerprint(const char *path)
{
	struct http_message *m = http_message_new();
	uint64_t fp;

	m->method = g_strdup("GET");
	m->path = g_strdup(path);
	fp = request_fingerprint(m);
	http_message_free(m);
	return fp;
}

/* No more than so many targets may have ended. */
static void
at_most(const struct rig *r, int n)
{
	CU_ASSERT(ended(r) <= n);
	if (ended(r) > n)
		printf("%d nodes: %d targets ended\n", r->nnodes, ended(r));
}

/* A mesh whose targets a request may crash. */
static void
start(struct rig *r, int nodes)
{
	int i;

	rig_start(r, nodes);
	for (i = 0; i < nodes; i++)
		r->nodes[i].target.crash_ms = BACK_MS;
}

/* Leaves each gate idle connections to its target, so old. */
static void
warm(struct rig *r, int age_ms)
{
	struct rig_call c[16];
	int i, n = MIN(4 * r->nnodes, 16);

	for (i = 0; i < r->nnodes; i++)
		r->nodes[i].target.work_ms = 20;
	for (i = 0; i < n; i++)
		rig_call(r, &c[i], i % r->nnodes, "/run/x", "w", 900);
	for (i = 0; i < n; i++) {
		rig_wait(r, &c[i]);
		rig_call_end(&c[i]);
	}
	rig_run(r, age_ms);
}

/* Sends a request to a node and lets the targets come back. */
static void
send_one(struct rig *r, int node, const char *path)
{
	struct rig_call c;

	rig_call(r, &c, node, path, "q", 900);
	rig_wait(r, &c);
	rig_call_end(&c);
	rig_run(r, PAUSE_MS);
}

/* Sends it to all nodes in turn, n times in all. */
static void
send_many(struct rig *r, const char *path, int n)
{
	int i;

	for (i = 0; i < n; i++)
		send_one(r, i % r->nnodes, path);
}

/* BUDGET: a crash must be known in data centres that no link leads to. */
static void
crashes_count_across_data_centres(void)
{
	struct rig r;

	start(&r, 4);
	send_many(&r, "/once/crash", 12);
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

/* BUDGET: crashes that several gates see at the same time must add up. */
static void
crashes_at_once_add_up(void)
{
	struct rig_call c[3];
	struct rig r;
	int i;

	start(&r, 3);
	warm(&r, 20);
	for (i = 0; i < 3; i++)
		rig_call(&r, &c[i], i, "/once/crash", "q", 900);
	for (i = 0; i < 3; i++) {
		rig_wait(&r, &c[i]);
		rig_call_end(&c[i]);
	}
	rig_run(&r, PAUSE_MS);
	CU_ASSERT(ended(&r) >= 2);
	send_many(&r, "/once/crash", 9);
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

/*
 * BUDGET: a crash that shows as the end of a kept connection must count, and
 * is no "not run".
 */
static void
crashes_on_idle_connections_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start(&r, nodes);
		for (i = 0; i < 6; i++) {
			warm(&r, PAUSE_MS);
			send_one(&r, i % nodes, "/run/crash");
		}
		at_most(&r, ENDED_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: a status check on a kept connection must not hide the crash. */
static void
crashes_beside_kept_connections_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start(&r, nodes);
		for (i = 0; i < nodes; i++)
			r.nodes[i].target.crash_ms = SHORT_MS;
		for (i = 0; i < 6; i++) {
			warm(&r, 20);
			send_one(&r, i % nodes, "/run/crash");
		}
		at_most(&r, ENDED_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: a target that is back before its status check has crashed as well. */
static void
crashes_of_targets_that_return_at_once_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start(&r, nodes);
		for (i = 0; i < nodes; i++) {
			r.nodes[i].target.crash_ms = RIG_AT_ONCE;
			r.nodes[i].target.renews = 1;
		}
		send_many(&r, "/once/crash", 8);
		at_most(&r, ENDED_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: the same of one that is back under its old id, and cold. */
static void
crashes_of_targets_that_return_cold_count(void)
{
	struct rig r;

	start(&r, 1);
	r.nodes[0].target.crash_ms = RIG_AT_ONCE;
	r.nodes[0].target.cold_again_ms = 300;
	send_many(&r, "/once/crash", 2);
	/* It is no longer cold by the next. */
	r.nodes[0].target.cold_ms = 0;
	send_many(&r, "/once/crash", 6);
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

/* BUDGET: a process that starts again must learn what its peers know. */
static void
a_restarted_node_learns_of_crashes(void)
{
	struct rig r;
	int i;

	start(&r, 2);
	proxy_subscribe(r.nodes[1].proxy, PROXY_PUBLISHER,
	    r.nodes[0].target.addr, PROXY_READ);
	send_many(&r, "/once/crash", 6);
	for (i = 0; i < 4; i++) {
		rig_restart(&r, i % 2);
		proxy_subscribe(r.nodes[1].proxy, PROXY_PUBLISHER,
		    r.nodes[0].target.addr, PROXY_READ);
		rig_run(&r, 100);
		send_many(&r, "/once/crash", 2);
	}
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

/* BUDGET: a link that opens must tell what the other end has forgotten. */
static void
a_link_that_opens_tells_what_is_quarantined(void)
{
	struct rig r;
	int before;

	start(&r, 2);
	send_many(&r, "/once/crash", 4);
	before = ended(&r);
	/* Between the second time that its crash is told again and the third.
	 */
	rig_run(&r, TOLD_MS);
	rig_restart(&r, 1);
	rig_list(&r, 0, "other", VIEW_READY);
	send_one(&r, 0, "/run/x");
	send_one(&r, 1, "/once/crash");
	CU_ASSERT_EQUAL(ended(&r), before);
	rig_stop(&r);
}

/* BUDGET: what waits when its crashes become known must not be sent. */
static void
a_waiting_request_is_not_sent(void)
{
	struct rig_call busy[4], c;
	struct rig r;
	int i, before;

	start(&r, 2);
	send_one(&r, 0, "/once/crash");
	before = ended(&r);
	/* Only node 0 can take it, and its target has no slot left. */
	rig_list(&r, 1, "other", VIEW_READY);
	r.nodes[0].target.work_ms = 300;
	for (i = 0; i < 4; i++)
		rig_call(&r, &busy[i], 0, "/run/x", "b", 900);
	rig_run(&r, 50);
	rig_call(&r, &c, 0, "/once/crash", "q", 900);
	rig_run(&r, 50);
	CU_ASSERT_PTR_NULL(c.answer);
	/* Node 1 sees it crash its own target meanwhile. */
	rig_list(&r, 1, "svc", VIEW_READY);
	send_one(&r, 1, "/once/crash");
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	CU_ASSERT_EQUAL(ended(&r), before + 1);
	for (i = 0; i < 4; i++) {
		rig_wait(&r, &busy[i]);
		rig_call_end(&busy[i]);
	}
	rig_call_end(&c);
	rig_stop(&r);
}

/* BUDGET: an error of the target's own must not refute a crash. */
static void
errors_refute_no_crash(void)
{
	struct rig r;
	int i;

	start(&r, 1);
	r.nodes[0].target.status = 500;
	for (i = 0; i < 10; i++) {
		r.nodes[0].target.crash_ms = i % 2 == 0 ? BACK_MS : 0;
		send_one(&r, 0, "/once/crash");
	}
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

/* BUDGET: it may come at VMs beside targets of any service. */
static void
crashes_count_for_all_callers(void)
{
	struct rig r;

	start(&r, 2);
	g_free(r.nodes[1].settings.service);
	r.nodes[1].settings.service = g_strdup("other");
	rig_list(&r, 1, "other", VIEW_READY);
	send_many(&r, "/once/crash", 8);
	at_most(&r, 2);
	rig_stop(&r);
}

/*
 * Load pattern: one request that many callers send is at both targets of a
 * data centre when others crash them.  It is served on, by all nodes.
 */
static void
popular_requests_are_served(void)
{
	struct rig_call c[4], bad[2];
	struct rig r;
	int i, k;

	start(&r, 4);
	for (k = 0; k < 4; k++) {
		for (i = 0; i < 4; i++)
			rig_call(&r, &c[i], i, "/run/same", "p", 900);
		for (i = 0; i < 4; i++) {
			rig_wait(&r, &c[i]);
			rig_call_end(&c[i]);
		}
	}
	for (i = 0; i < 4; i++)
		r.nodes[i].target.work_ms = 60;
	for (i = 0; i < 4; i++)
		rig_call(&r, &c[i], i, "/run/same", "p", 900);
	rig_run(&r, 20);
	rig_call(&r, &bad[0], 0, "/once/a/crash", "a", 900);
	rig_call(&r, &bad[1], 2, "/once/b/crash", "b", 900);
	for (i = 0; i < 4; i++) {
		rig_wait(&r, &c[i]);
		rig_call_end(&c[i]);
	}
	for (i = 0; i < 2; i++) {
		rig_wait(&r, &bad[i]);
		rig_call_end(&bad[i]);
	}
	rig_run(&r, PAUSE_MS);
	CU_ASSERT_EQUAL(ended(&r), 2);
	for (i = 0; i < 4; i++) {
		rig_call(&r, &c[0], i, "/run/same", "p", 900);
		rig_wait(&r, &c[0]);
		CU_ASSERT_EQUAL(rig_status(&c[0]), 200);
		rig_call_end(&c[0]);
	}
	rig_stop(&r);
}

/*
 * Load pattern: many copies of one request are at a target when it ends.  It is
 * one crash, however late their connections show it.
 */
static void
copies_count_once(void)
{
	struct rig_call c[3], bad;
	struct rig r;
	int i;

	start(&r, 1);
	r.nodes[0].target.work_ms = 200;
	for (i = 0; i < 3; i++)
		rig_call(&r, &c[i], 0, "/run/copy", "c", 900);
	rig_run(&r, 20);
	rig_call(&r, &bad, 0, "/once/crash", "q", 900);
	rig_wait(&r, &bad);
	/* It is found to be down once more before it is back. */
	rig_run(&r, PAUSE_MS / 8);
	crash_add_suspect(&r.nodes[0].proxy->guard, fingerprint("/run/copy"));
	rig_run(&r, PAUSE_MS);
	for (i = 0; i < 3; i++)
		rig_call_end(&c[i]);
	rig_call_end(&bad);
	rig_call(&r, &c[0], 0, "/run/copy", "c", 900);
	rig_wait(&r, &c[0]);
	CU_ASSERT_EQUAL(rig_status(&c[0]), 200);
	rig_call_end(&c[0]);
	rig_stop(&r);
}

/* Requests that ran beside one that crashes targets are served afterwards. */
static void
companions_are_served(void)
{
	struct rig_call c[3], bad;
	struct rig r;
	int i, k, served = 0;

	start(&r, 2);
	for (k = 0; k < 5; k++) {
		for (i = 0; i < 2; i++)
			r.nodes[i].target.work_ms = 60;
		for (i = 0; i < 3; i++)
			rig_call(&r, &c[i], i % 2, "/run/same", "c", 900);
		rig_run(&r, 20);
		rig_call(&r, &bad, k % 2, "/once/crash", "q", 900);
		rig_wait(&r, &bad);
		rig_call_end(&bad);
		for (i = 0; i < 3; i++) {
			rig_wait(&r, &c[i]);
			rig_call_end(&c[i]);
		}
		rig_run(&r, PAUSE_MS);
	}
	for (i = 0; i < 2; i++) {
		rig_call(&r, &c[0], i, "/run/same", "c", 900);
		rig_wait(&r, &c[0]);
		served += rig_status(&c[0]) == 200;
		rig_call_end(&c[0]);
	}
	CU_ASSERT_EQUAL(served, 2);
	at_most(&r, ENDED_MAX);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "crashes count across data centres",
	    crashes_count_across_data_centres },
	{ "crashes at once add up", crashes_at_once_add_up },
	{ "crashes on idle connections count",
	    crashes_on_idle_connections_count },
	{ "crashes beside kept connections count",
	    crashes_beside_kept_connections_count },
	{ "crashes of targets that return at once count",
	    crashes_of_targets_that_return_at_once_count },
	{ "crashes of targets that return cold count",
	    crashes_of_targets_that_return_cold_count },
	{ "a restarted node learns of crashes",
	    a_restarted_node_learns_of_crashes },
	{ "a link that opens tells what is quarantined",
	    a_link_that_opens_tells_what_is_quarantined },
	{ "a waiting request is not sent", a_waiting_request_is_not_sent },
	{ "errors refute no crash", errors_refute_no_crash },
	{ "crashes count for all callers", crashes_count_for_all_callers },
	{ "popular requests are served", popular_requests_are_served },
	{ "copies count once", copies_count_once },
	{ "companions are served", companions_are_served },
};

TEST_MAIN("quarantine", tests)
