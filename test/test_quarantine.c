/*
 * Requests that crash each target that begins to run them: how many targets
 * crash before the request is refused everywhere.  BUDGET is the soak test's
 * rule on this number, and marks tests of faults that broke it.
 */
#include <stdio.h>

#include "../proxy/guard_int.h"
#include "rig.h"
#include "test.h"

/* The users' rule looks at requests sent after three targets have crashed. */
#define CRASHES_MAX	 3
#define RESTART_MS	 150  /* until a crashed target is up again */
#define SHORT_RESTART_MS 60   /* too short for a second status check */
#define RESENT_MS	 5000 /* past the resends after 1 and 4 s, not 16 s */
#define PAUSE_MS	 400  /* between two requests that crash targets */

/* Number of crashes so far. */
static int
crash_count(const struct rig *r)
{
	int i, n = 0;

	for (i = 0; i < r->nnodes; i++)
		n += r->nodes[i].target.crashes;
	return n;
}

/* Fingerprint of a request that rig_call sends. */
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

/* Checks that at most n crashes have happened. */
static void
check_crashes(const struct rig *r, int n)
{
	CU_ASSERT(crash_count(r) <= n);
	if (crash_count(r) > n)
		printf("%d nodes: %d targets crashed\n", r->nnodes,
		    crash_count(r));
}

/* Starts a mesh whose targets crash at requests for "/crash". */
static void
start_mesh(struct rig *r, int nodes)
{
	int i;

	rig_start(r, nodes);
	for (i = 0; i < nodes; i++)
		r->nodes[i].target.crash_ms = RESTART_MS;
}

/* Gives each guard idle connections to its target that are age_ms old. */
static void
open_idle_connections(struct rig *r, int age_ms)
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

/* Sends a request to a node, and waits until the targets are up again. */
static void
send_request(struct rig *r, int node, const char *path)
{
	struct rig_call c;

	rig_call(r, &c, node, path, "q", 900);
	rig_wait(r, &c);
	rig_call_end(&c);
	rig_run(r, PAUSE_MS);
}

/* Sends a request n times, to all nodes in turn. */
static void
send_requests(struct rig *r, const char *path, int n)
{
	int i;

	for (i = 0; i < n; i++)
		send_request(r, i % r->nnodes, path);
}

/* BUDGET: a crash must become known in data centres without links to it. */
static void
crashes_count_across_data_centres(void)
{
	struct rig r;

	start_mesh(&r, 4);
	send_requests(&r, "/once/crash", 12);
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

/* BUDGET: crashes that several guards see at the same time must add up. */
static void
simultaneous_crashes_add_up(void)
{
	struct rig_call c[3];
	struct rig r;
	int i;

	start_mesh(&r, 3);
	open_idle_connections(&r, 20);
	for (i = 0; i < 3; i++)
		rig_call(&r, &c[i], i, "/once/crash", "q", 900);
	for (i = 0; i < 3; i++) {
		rig_wait(&r, &c[i]);
		rig_call_end(&c[i]);
	}
	rig_run(&r, PAUSE_MS);
	CU_ASSERT(crash_count(&r) >= 2);
	send_requests(&r, "/once/crash", 9);
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

/*
 * BUDGET: a crash must count although only an idle connection shows it, by its
 * end.  The request then counts as one that may have run.
 */
static void
crashes_on_idle_connections_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start_mesh(&r, nodes);
		for (i = 0; i < 6; i++) {
			open_idle_connections(&r, PAUSE_MS);
			send_request(&r, i % nodes, "/run/crash");
		}
		check_crashes(&r, CRASHES_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: a status check on a kept connection must not hide the crash. */
static void
crashes_despite_kept_connections_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start_mesh(&r, nodes);
		for (i = 0; i < nodes; i++)
			r.nodes[i].target.crash_ms = SHORT_RESTART_MS;
		for (i = 0; i < 6; i++) {
			open_idle_connections(&r, 20);
			send_request(&r, i % nodes, "/run/crash");
		}
		check_crashes(&r, CRASHES_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: a target that restarts before its status check has crashed too. */
static void
crashes_with_new_id_count(void)
{
	struct rig r;
	int i, nodes;

	for (nodes = 1; nodes <= 2; nodes++) {
		start_mesh(&r, nodes);
		for (i = 0; i < nodes; i++) {
			r.nodes[i].target.crash_ms = RIG_RESTART_AT_ONCE;
			r.nodes[i].target.new_id_on_restart = 1;
		}
		send_requests(&r, "/once/crash", 8);
		check_crashes(&r, CRASHES_MAX);
		rig_stop(&r);
	}
}

/* BUDGET: the same for a target that restarts under its old id, and cold. */
static void
crashes_with_cold_restart_count(void)
{
	struct rig r;

	start_mesh(&r, 1);
	r.nodes[0].target.crash_ms = RIG_RESTART_AT_ONCE;
	r.nodes[0].target.restart_cold_ms = 300;
	send_requests(&r, "/once/crash", 2);
	/* By the next crash it is no longer cold. */
	r.nodes[0].target.cold_ms = 0;
	send_requests(&r, "/once/crash", 6);
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

/* BUDGET: a node that restarts must receive the crashes known to peers. */
static void
restarted_node_receives_crashes(void)
{
	struct rig r;
	int i;

	start_mesh(&r, 2);
	proxy_subscribe(r.nodes[1].proxy, PROXY_SLOT_PUBLISHER,
	    r.nodes[0].target.addr, PROXY_SUBSCRIBE_READ);
	send_requests(&r, "/once/crash", 6);
	for (i = 0; i < 4; i++) {
		rig_restart(&r, i % 2);
		proxy_subscribe(r.nodes[1].proxy, PROXY_SLOT_PUBLISHER,
		    r.nodes[0].target.addr, PROXY_SUBSCRIBE_READ);
		rig_run(&r, 100);
		send_requests(&r, "/once/crash", 2);
	}
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

/* BUDGET: a new link must carry the quarantine to a peer that lost it. */
static void
new_link_carries_quarantine(void)
{
	struct rig r;
	int before;

	start_mesh(&r, 2);
	send_requests(&r, "/once/crash", 4);
	before = crash_count(&r);
	/* Between the second resend of the crash and the third. */
	rig_run(&r, RESENT_MS);
	rig_restart(&r, 1);
	rig_list_target(&r, 0, "other", VIEW_READY);
	send_request(&r, 0, "/run/x");
	send_request(&r, 1, "/once/crash");
	CU_ASSERT_EQUAL(crash_count(&r), before);
	rig_stop(&r);
}

/* BUDGET: a queued request must not be sent once its crashes are known. */
static void
queued_request_is_not_sent(void)
{
	struct rig_call busy[4], c;
	struct rig r;
	int i, before;

	start_mesh(&r, 2);
	send_request(&r, 0, "/once/crash");
	before = crash_count(&r);
	/* Only node 0 can accept it, and its target has no free slot. */
	rig_list_target(&r, 1, "other", VIEW_READY);
	r.nodes[0].target.work_ms = 300;
	for (i = 0; i < 4; i++)
		rig_call(&r, &busy[i], 0, "/run/x", "b", 900);
	rig_run(&r, 50);
	rig_call(&r, &c, 0, "/once/crash", "q", 900);
	rig_run(&r, 50);
	CU_ASSERT_PTR_NULL(c.answer);
	/* Meanwhile the same request crashes the target of node 1. */
	rig_list_target(&r, 1, "svc", VIEW_READY);
	send_request(&r, 1, "/once/crash");
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	CU_ASSERT_EQUAL(crash_count(&r), before + 1);
	for (i = 0; i < 4; i++) {
		rig_wait(&r, &busy[i]);
		rig_call_end(&busy[i]);
	}
	rig_call_end(&c);
	rig_stop(&r);
}

/* BUDGET: an error answered by the target must not clear a fingerprint. */
static void
errors_clear_no_crash(void)
{
	struct rig r;
	int i;

	start_mesh(&r, 1);
	r.nodes[0].target.status = 500;
	for (i = 0; i < 10; i++) {
		r.nodes[0].target.crash_ms = i % 2 == 0 ? RESTART_MS : 0;
		send_request(&r, 0, "/once/crash");
	}
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

/* BUDGET: crashes must count at VMs beside targets of any service. */
static void
crashes_count_for_all_callers(void)
{
	struct rig r;

	start_mesh(&r, 2);
	g_free(r.nodes[1].settings.service);
	r.nodes[1].settings.service = g_strdup("other");
	rig_list_target(&r, 1, "other", VIEW_READY);
	send_requests(&r, "/once/crash", 8);
	check_crashes(&r, 2);
	rig_stop(&r);
}

/*
 * Load pattern: a request that many callers send is running at both targets of
 * a data centre when other requests crash them.  All nodes must serve it on.
 */
static void
popular_requests_are_served(void)
{
	struct rig_call c[4], bad[2];
	struct rig r;
	int i, k;

	start_mesh(&r, 4);
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
	CU_ASSERT_EQUAL(crash_count(&r), 2);
	for (i = 0; i < 4; i++) {
		rig_call(&r, &c[0], i, "/run/same", "p", 900);
		rig_wait(&r, &c[0]);
		CU_ASSERT_EQUAL(rig_status(&c[0]), 200);
		rig_call_end(&c[0]);
	}
	rig_stop(&r);
}

/*
 * Load pattern: many copies of a request are running at a target when it
 * crashes.  This is one crash, however late their connections break.
 */
static void
copies_count_once(void)
{
	struct rig_call c[3], bad;
	struct rig r;
	int i;

	start_mesh(&r, 1);
	r.nodes[0].target.work_ms = 200;
	for (i = 0; i < 3; i++)
		rig_call(&r, &c[i], 0, "/run/copy", "c", 900);
	rig_run(&r, 20);
	rig_call(&r, &bad, 0, "/once/crash", "q", 900);
	rig_wait(&r, &bad);
	/* A second check finds it down before it is up again. */
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
requests_beside_a_crash_are_served(void)
{
	struct rig_call c[3], bad;
	struct rig r;
	int i, k, served = 0;

	start_mesh(&r, 2);
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
	check_crashes(&r, CRASHES_MAX);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "crashes count across data centres",
	    crashes_count_across_data_centres },
	{ "simultaneous crashes add up", simultaneous_crashes_add_up },
	{ "crashes on idle connections count",
	    crashes_on_idle_connections_count },
	{ "crashes despite kept connections count",
	    crashes_despite_kept_connections_count },
	{ "crashes with new id count", crashes_with_new_id_count },
	{ "crashes with cold restart count", crashes_with_cold_restart_count },
	{ "restarted node receives crashes", restarted_node_receives_crashes },
	{ "new link carries quarantine", new_link_carries_quarantine },
	{ "queued request is not sent", queued_request_is_not_sent },
	{ "errors clear no crash", errors_clear_no_crash },
	{ "crashes count for all callers", crashes_count_for_all_callers },
	{ "popular requests are served", popular_requests_are_served },
	{ "copies count once", copies_count_once },
	{ "requests beside a crash are served",
	    requests_beside_a_crash_are_served },
};

TEST_MAIN("quarantine", tests)
