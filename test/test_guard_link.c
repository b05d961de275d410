/* The guard's admission by bytes, with real nodes and a slow link. */
#include <stdio.h>

#include "../proxy/entry_int.h"
#include "rig_stream.h"
#include "test.h"

#define HEAD                                                          \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n" \
	"Connection: close\r\n"

#define GOAL_MS	      800
#define SHORT_GOAL_MS 600  /* of a request behind others */
#define LEFT_MS	      3000 /* time limit of the requests */
#define CALLS	      12

/* A target beside a slow link, and requests from another node. */
struct slow {
	struct rig r;
	struct rig_stream s;
};

/* Starts the nodes; the target's answers have so many bytes. */
static void
slow_start(struct slow *w, const char *head, int bytes, double mbps)
{
	struct view_route *route;
	int i;

	w->s = (struct rig_stream){
		.begin = head, .again = "0123456789", .most = bytes
	};
	rig_stream_start(&w->r, &w->s);
	for (i = 0; i < 2; i++) {
		route = view_config_route(w->r.nodes[i].view->config, 0);
		route->goal_ms = GOAL_MS;
		route->timeout_ms = LEFT_MS;
	}
	w->r.nodes[0].settings.link_mbps = mbps;
	proxy_settings_changed(w->r.nodes[0].proxy);
	rig_run(&w->r, 50);
}

static void
slow_stop(struct slow *w)
{
	CU_ASSERT_EQUAL(rig_stream_stop(&w->r, &w->s), 0);
}

/* The admission state of the guard beside the target. */
static struct link_admit *
admission(struct slow *w)
{
	return &w->r.nodes[0].proxy->guard.link_admit;
}

static void
call(struct slow *w, struct rig_call *c, int node)
{
	rig_call(&w->r, c, node, "/run/x", "b", LEFT_MS);
}

/* Sends a request and waits for its answer; returns the status. */
static int
status_of(struct slow *w, int node)
{
	struct rig_call c;
	int status;

	call(w, &c, node);
	rig_wait(&w->r, &c);
	status = rig_status(&c);
	rig_call_end(&c);
	return status;
}

/* Retry-After of an answer in ms, or 0. */
static int
retry_after_ms(const struct rig_call *c)
{
	const char *v = http_find(c->answer, "Retry-After");

	return v != NULL ? (int)(g_ascii_strtod(v, NULL) * 1000) : 0;
}

/*
 * Sends requests until one is refused; returns the number of the next.  The
 * entry offers a guard nothing for 25 ms after a refusal.
 */
static int
fill(struct slow *w, struct rig_call *c, int i)
{
	int refused = 0;

	while (!refused && i < CALLS) {
		call(w, &c[i], 1);
		rig_run(&w->r, 30);
		refused = rig_status(&c[i++]) == 503;
	}
	rig_run(&w->r, 30);
	return i;
}

/*
 * Load: more answers of 90 KB than a link of 4 Mbit/s brings within the goal.
 * They were all run, and most came late.  The guard refuses what would be late,
 * and the caller is told when there is room, which is then true.
 */
static void
guard_refuses_by_bytes(void)
{
	struct rig_call c[CALLS], again;
	struct link_request q;
	struct slow w;
	int i, wait, served = 0, refused = 0, after = 0;

	slow_start(&w, HEAD "Content-Length: 90000\r\n\r\n", 90000, 4);
	CU_ASSERT_EQUAL(status_of(&w, 1), 200);
	CU_ASSERT((i = fill(&w, c, 0)) > 1);
	/* A caller with less time is told no more than a third of that. */
	rig_call(&w.r, &again, 1, "/run/x", "s", GOAL_MS / 2);
	rig_wait(&w.r, &again);
	CU_ASSERT_EQUAL(rig_status(&again), 503);
	CU_ASSERT(retry_after_ms(&again) >= RETRY_AFTER_MIN_MS);
	CU_ASSERT(retry_after_ms(&again) <= GOAL_MS / 2 / 3);
	rig_call_end(&again);
	i = fill(&w, c, i);
	/* Of what is admitted, most is to be sent before this goal. */
	view_config_route(w.r.nodes[1].view->config, 0)->goal_ms =
	    SHORT_GOAL_MS;
	q = (struct link_request){ .kind = g_str_hash("/run/"),
		.ready = base_now_ms() + 10,
		.goal = base_now_ms() + SHORT_GOAL_MS,
		.deadline = base_now_ms() + LEFT_MS };
	wait = link_admit_check(admission(&w),
	    &w.r.nodes[0].proxy->links.egress, &q, base_now_ms());
	CU_ASSERT(wait > 50);
	call(&w, &again, 1);
	rig_wait(&w.r, &again);
	CU_ASSERT_EQUAL(rig_status(&again), 503);
	after = retry_after_ms(&again);
	CU_ASSERT(after >= wait - 20);
	CU_ASSERT(after <= wait + SHORT_GOAL_MS / 4 + 20);
	rig_call_end(&again);
	rig_run(&w.r, after);
	call(&w, &again, 1);
	rig_wait(&w.r, &again);
	CU_ASSERT_EQUAL(rig_status(&again), 200);
	CU_ASSERT(again.took_ms < SHORT_GOAL_MS);
	rig_call_end(&again);
	while (--i >= 0) {
		served += rig_status(&c[i]) == 200;
		refused += rig_status(&c[i]) == 503;
		CU_ASSERT(c[i].took_ms < GOAL_MS);
		rig_call_end(&c[i]);
	}
	CU_ASSERT(served > 1);
	CU_ASSERT_EQUAL(refused, 2);
	CU_ASSERT(counter_get(CTR_GUARD_LINK_FULL) > 0);
	slow_stop(&w);
}

/*
 * Guards against callers that come back too late: of several guards that
 * refuse, the one that has room first counts.
 */
static void
least_wait_is_told(void)
{
	struct admit *a;
	struct rig_call c;
	struct rig r;
	int i, after;

	rig_start(&r, 3);
	rig_list_target(&r, 0, "other", VIEW_READY);
	/* An answer is late by 200 ms at one, by 800 at the other. */
	for (i = 1; i < 3; i++) {
		a = &r.nodes[i].proxy->guard.admit;
		/* The route's own run time, as others don't count for it. */
		a->running = 1;
		admit_done(a, g_str_hash("/run/"), 300000);
		a->mean_us = 300000;
		a->running = i == 1 ? 7 : 15;
	}
	rig_call(&r, &c, 0, "/run/x", "w", 1000);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	after = retry_after_ms(&c);
	CU_ASSERT(after >= 190 && after <= 200 + 100);
	rig_call_end(&c);
	for (i = 1; i < 3; i++)
		r.nodes[i].proxy->guard.admit.running = 0;
	rig_stop(&r);
}

/* Guards against limits for requests that do not use the link. */
static void
own_requests_use_no_link(void)
{
	struct rig_call c[CALLS];
	struct slow w;
	int i;

	slow_start(&w, HEAD "Content-Length: 90000\r\n\r\n", 90000, 1);
	for (i = 0; i < CALLS; i++)
		call(&w, &c[i], 0);
	for (i = 0; i < CALLS; i++) {
		rig_wait(&w.r, &c[i]);
		CU_ASSERT_EQUAL(rig_status(&c[i]), 200);
		rig_call_end(&c[i]);
	}
	CU_ASSERT_EQUAL(admission(&w)->nkinds, 0);
	slow_stop(&w);
}

/*
 * Failures: requests end while they wait, run or stream, as they are answered,
 * their callers leave, the target breaks off, or the link to their entry is
 * lost.  What they had committed must be free again.
 */
static void
every_end_frees_the_link(void)
{
	static const struct {
		const char *head;
		int bytes, cut, leave, restart;
	} cases[] = {
		{ HEAD "Content-Length: 90000\r\n\r\n", 90000, 0, 0, 0 },
		{ HEAD "Content-Length: 1000\r\n\r\n", 1000, 0, 0, 0 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 70000, 1, 0, 0 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 1000, 1, 0, 0 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 90000, 0, 1, 0 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 70000, 0, 1, 0 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 70000, 0, 0, 1 },
		{ HEAD "Content-Length: 90000\r\n\r\n", 1000, 0, 0, 1 },
	};
	struct rig_call c[CALLS];
	struct slow w;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		slow_start(&w, cases[i].head, cases[i].bytes, 4);
		w.s.cut = cases[i].cut;
		for (k = 0; k < CALLS; k++)
			call(&w, &c[k], 1);
		rig_run(&w.r, 50);
		CU_ASSERT(admission(&w)->nkinds > 0);
		for (k = 0; k < CALLS; k++)
			if (cases[i].leave)
				rig_call_end(&c[k]);
		if (cases[i].restart)
			rig_restart(&w.r, 1);
		for (k = 0; k < CALLS && !cases[i].leave; k++) {
			rig_wait(&w.r, &c[k]);
			rig_call_end(&c[k]);
		}
		rig_run(&w.r, 200);
		CU_ASSERT_EQUAL(admission(&w)->open, 0);
		CU_ASSERT_EQUAL(admission(&w)->begun, 0);
		CU_ASSERT_EQUAL(link_admit_committed(admission(&w)), 0);
		slow_stop(&w);
	}
}

/*
 * Guards against LOST: a node that was about to stop passed on requests whose
 * streamed answers did not end before its process did, as only the times of
 * whole answers were kept.
 */
static void
leaving_entry_counts_streamed_answers(void)
{
	struct slow w;

	/* 200 KB take 825 ms. */
	slow_start(&w, HEAD "Content-Length: 200000\r\n\r\n", 200000, 2);
	CU_ASSERT_EQUAL(status_of(&w, 1), 200);
	w.r.nodes[1].settings.grace_ms = 1200;
	proxy_drain(w.r.nodes[1].proxy);
	rig_run(&w.r, 390);
	/* 738 ms are left. */
	CU_ASSERT_EQUAL(status_of(&w, 1), 503);
	CU_ASSERT_EQUAL(w.s.conns, 0);
	slow_stop(&w);
}

/*
 * Guards against LOST: a guard that was about to stop took requests whose
 * answers could not leave on its link before its process ended.
 */
static void
leaving_guard_counts_the_link(void)
{
	struct slow w;

	/* 280 KB take 1155 ms. */
	slow_start(&w, HEAD "Content-Length: 280000\r\n\r\n", 280000, 2);
	CU_ASSERT_EQUAL(status_of(&w, 1), 200);
	w.r.nodes[0].settings.grace_ms = 1200;
	proxy_drain(w.r.nodes[0].proxy);
	rig_run(&w.r, 30);
	/* 1098 ms are left. */
	CU_ASSERT_EQUAL(status_of(&w, 1), 503);
	/* Without a limit of the link, the same is served. */
	w.r.nodes[0].settings.link_mbps = 0;
	proxy_settings_changed(w.r.nodes[0].proxy);
	slow_stop(&w);
}

static const struct test tests[] = {
	{ "guard refuses by bytes", guard_refuses_by_bytes },
	{ "least wait is told", least_wait_is_told },
	{ "own requests use no link", own_requests_use_no_link },
	{ "every end frees the link", every_end_frees_the_link },
	{ "leaving entry counts streamed answers",
	    leaving_entry_counts_streamed_answers },
	{ "leaving guard counts the link", leaving_guard_counts_the_link },
};

TEST_MAIN("guard_link", tests)
