/* The choice of a target at an entry, by what guards of several nodes report.
 */
#include <stdio.h>

#include "../proxy/proxy_int.h"
#include "rig_stream.h"
#include "test.h"

#define WORK_MS 60
#define CALLS	5

/* Compares the targets of a node for a request of the kind of "/run/". */
static void
compare(struct rig_node *n, struct comparison *c)
{
	struct job j = { .service = "svc", .kind = g_str_hash("/run/") };
	GPtrArray *tried = g_ptr_array_new();
	int64_t now = base_now_ms();

	j.goal = now + 400;
	choose_compare(n->proxy, &j, 400, tried, now, c);
	g_ptr_array_free(tried, TRUE);
}

/* Number of targets that a node may choose. */
static guint
usable(struct rig_node *n)
{
	struct comparison c;

	compare(n, &c);
	return c.usable->len;
}

/*
 * Load: a few requests in turn.  Guards against estimates that are lost on a
 * link, or differ between the own guard and that of another node.
 */
static void
estimates_arrive_from_all_guards(void)
{
	struct rig r;
	struct rig_call call;
	struct comparison c;
	const struct forecast *f;
	int node, i;

	for (node = 0; node < 2; node++) {
		rig_start(&r, 2);
		r.nodes[node].target.work_ms = WORK_MS;
		rig_list_target(&r, 1 - node, "svc", VIEW_DRAINING);
		for (i = 0; i < CALLS; i++) {
			rig_call(&r, &call, 0, "/run/x", "e", 900);
			rig_wait(&r, &call);
			CU_ASSERT_EQUAL(rig_status(&call), 200);
			rig_call_end(&call);
		}
		compare(&r.nodes[0], &c);
		CU_ASSERT_EQUAL(c.usable->len, 1);
		f = &g_array_index(c.forecasts, struct forecast, 0);
		CU_ASSERT(f->run_ms >= WORK_MS * 0.9);
		CU_ASSERT(f->run_ms < WORK_MS * 3);
		CU_ASSERT_EQUAL(f->wait_ms, 0);
		CU_ASSERT(f->fresh > 0);
		rig_stop(&r);
	}
}

/*
 * Load: one answer of 300 KB, locally and over a link.  Guards against a
 * streamed answer whose end carries no estimate, and against a size of answers
 * that counts only what is not streamed.
 */
static void
streams_carry_estimates_and_sizes(void)
{
	struct rig_stream s = {
		.begin = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
			 "X-Server-Seal: s\r\nContent-Length: 300000\r\n\r\n",
		.again = "0123456789",
		.most = 300000
	};
	const struct forecast_kind *k;
	struct service_targets *t;
	struct rig r;
	struct rig_client c;
	struct peer *peer;
	int node;

	for (node = 0; node < 2; node++) {
		rig_stream_start(&r, &s);
		rig_client_start(&r, &c, node, "1.1");
		rig_client_wait(&r, &c);
		CU_ASSERT_EQUAL(c.got, 300000);
		peer =
		    peer_get(r.nodes[node].proxy, r.nodes[0].settings.target);
		CU_ASSERT(peer->forecast.reported_at > 0);
		CU_ASSERT(peer->forecast.slowness > 0);
		CU_ASSERT(peer->forecast.measured_at > 0);
		CU_ASSERT_EQUAL(peer->forecast.inflight, 0);
		t = choose_service(r.nodes[node].proxy, "svc");
		CU_ASSERT_EQUAL(t->means.nkinds, 1);
		k = &t->means.kinds[0];
		CU_ASSERT_EQUAL(k->bytes, 300000);
		rig_client_end(&c);
		rig_stream_stop(&r, &s);
	}
}

/*
 * Guards against offers to targets that were removed, are draining or are in a
 * data centre that is out, as the index of targets was built before.
 */
static void
index_follows_the_view(void)
{
	struct rig r;
	struct rig_node *n = &r.nodes[0];

	rig_start(&r, 3);
	CU_ASSERT_EQUAL(usable(n), 3);
	rig_list_target(&r, 1, "svc", VIEW_DRAINING);
	CU_ASSERT_EQUAL(usable(n), 2);
	rig_list_target(&r, 1, "other", VIEW_READY);
	CU_ASSERT_EQUAL(usable(n), 2);
	rig_list_target(&r, 1, "svc", VIEW_READY);
	CU_ASSERT_EQUAL(usable(n), 3);
	view_set_out(n->view, "south", 1);
	CU_ASSERT_EQUAL(usable(n), 2);
	view_set_out(n->view, "south", 0);
	CU_ASSERT_EQUAL(usable(n), 3);
	view_remove_target(n->view, "t1");
	CU_ASSERT_EQUAL(usable(n), 2);
	rig_stop(&r);
}

/*
 * Load: a service that is full near by and free elsewhere.  Guards against a
 * refusal by four targets near by, each of which seems to answer in time, as it
 * takes no more than that.
 */
static void
refused_requests_go_elsewhere(void)
{
	struct rig r;
	struct rig_node *n = &r.nodes[0];
	GPtrArray *tried = g_ptr_array_new();
	struct job j = { .service = "svc", .goal = base_now_ms() + 400 };
	struct comparison c;

	rig_start(&r, 3);
	choose_compare(n->proxy, &j, 400, tried, base_now_ms(), &c);
	CU_ASSERT(c.query.margin_ms > 0);
	g_ptr_array_add(tried, peer_get(n->proxy, r.nodes[0].settings.target));
	choose_compare(n->proxy, &j, 400, tried, base_now_ms(), &c);
	CU_ASSERT_EQUAL(c.query.margin_ms, 0);
	CU_ASSERT_EQUAL(c.usable->len, 2);
	g_ptr_array_free(tried, TRUE);
	rig_stop(&r);
}

/* The bytes of all that a node knows of its service and two targets. */
static GByteArray *
copy_state(struct rig *r)
{
	struct proxy *p = r->nodes[0].proxy;
	GByteArray *a = g_byte_array_new();
	int i;

	g_byte_array_append(a, (const guint8 *)&choose_service(p, "svc")->means,
	    sizeof(struct forecast_service));
	for (i = 0; i < 2; i++)
		g_byte_array_append(a,
		    (const guint8 *)peer_get(p, r->nodes[i].target.addr),
		    sizeof(struct peer));
	return a;
}

/*
 * Guards against a comparison that changes what it compares, so that printing
 * it would change later choices.
 */
static void
comparison_changes_nothing(void)
{
	struct rig r;
	struct rig_call call;
	struct comparison c;
	GByteArray *before, *after;
	int i;

	rig_start(&r, 2);
	for (i = 0; i < CALLS; i++) {
		rig_call(&r, &call, 0, "/run/x", "e", 900);
		rig_wait(&r, &call);
		rig_call_end(&call);
	}
	compare(&r.nodes[0], &c);
	before = copy_state(&r);
	for (i = 0; i < 100; i++)
		compare(&r.nodes[0], &c);
	after = copy_state(&r);
	CU_ASSERT_EQUAL(memcmp(before->data, after->data, before->len), 0);
	g_byte_array_free(before, TRUE);
	g_byte_array_free(after, TRUE);
	rig_stop(&r);
}

/*
 * Guards against requests of one route being refused without an offer while the
 * only target is avoided for the load of another route.
 */
static void
busy_for_one_route_only(void)
{
	struct rig r;
	struct rig_call c;
	struct admit *a;
	int i;

	rig_start(&r, 2);
	rig_list_target(&r, 0, "other", VIEW_READY);
	a = &r.nodes[1].proxy->guard.admit;
	/* Runs of this route take too long for any wait. */
	for (i = 0; i < 10; i++) {
		a->running++;
		admit_done(a, g_str_hash("/once/"), 390000);
	}
	a->running = a->slots;
	rig_call(&r, &c, 0, "/once/x", "a", 1000);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	rig_call_end(&c);
	a->running = 0;
	rig_call(&r, &c, 0, "/run/x", "b", 1000);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 200);
	rig_call_end(&c);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "estimates arrive from all guards",
	    estimates_arrive_from_all_guards },
	{ "streams carry estimates and sizes",
	    streams_carry_estimates_and_sizes },
	{ "refused requests go elsewhere", refused_requests_go_elsewhere },
	{ "index follows the view", index_follows_the_view },
	{ "comparison changes nothing", comparison_changes_nothing },
	{ "busy for one route only", busy_for_one_route_only },
};

TEST_MAIN("choose", tests)
