/* Long and endless answers of targets, and large requests of callers. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "rig_stream.h"
#include "test.h"

#define MB    (1024 * 1024)
#define CALLS 100
/* The users' goal: a hundred endless transfers at once, on both sides. */
#define MEMORY_MAX (64LL * MB)

#define HEAD	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

/*
 * Long answers arrive complete, locally and over a link: with a length, in
 * chunks, and to the end of the connection.  A truncated one must never look
 * complete.
 */
static void
long_answers(void)
{
	static const struct {
		const char *begin, *again, *version;
		int64_t most, body;
		int cut, whole;
	} cases[] = {
		{ HEAD "Content-Length: 5000000\r\n\r\n", "0123456789", "1.1",
		    5000000, 5000000, 0, 1 },
		{ HEAD "Content-Length: 5000000\r\n\r\n", "0123456789", "1.1",
		    4000000, 0, 1, 0 },
		{ CHUNKED, "a\r\n0123456789\r\n", "1.1", 1500000, 0, 1, 0 },
		{ HEAD "\r\n", "0123456789", "1.1", 1000000, 0, 1, 0 },
		{ HEAD "\r\n", "0123456789", "1.0", 1000000, 0, 1, 0 },
		{ HEAD "Content-Length: 300000\r\n\r\n", "0123456789", "1.0",
		    300000, 300000, 0, 1 },
	};
	struct rig r;
	struct rig_stream s;
	struct rig_client t;
	size_t i;
	int node;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (node = 0; node < 2; node++) {
			s = (struct rig_stream){ .begin = cases[i].begin,
				.again = cases[i].again,
				.most = cases[i].most,
				.cut = cases[i].cut };
			rig_stream_start(&r, &s);
			rig_client_start(&r, &t, node, cases[i].version);
			rig_client_wait(&r, &t);
			if (t.whole != cases[i].whole)
				printf("case %zu node %d: got %d\n", i, node,
				    (int)t.got);
			CU_ASSERT_EQUAL(t.whole, cases[i].whole);
			CU_ASSERT(cases[i].whole || t.ended);
			if (cases[i].body > 0)
				CU_ASSERT_EQUAL(t.got, cases[i].body);
			rig_client_end(&t);
			CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
		}
	}
}

/*
 * A slow caller of an answer that ends with its connection: the end arrives
 * while the last bytes still wait for credit.
 */
static void
end_waits_for_credit(void)
{
	struct rig r;
	struct rig_stream s = { .begin = HEAD "\r\n",
		.again = "0123456789",
		.most = 3000000,
		.ends = 1 };
	struct rig_client t;
	int node, k;

	for (node = 0; node < 2; node++) {
		rig_stream_start(&r, &s);
		rig_client_start(&r, &t, node, "1.1");
		for (k = 0; k < 40 && !t.whole; k++) {
			bufferevent_disable(t.bev, EV_READ);
			rig_run(&r, 8);
			bufferevent_enable(t.bev, EV_READ);
			rig_run(&r, 2);
		}
		rig_client_wait(&r, &t);
		CU_ASSERT(t.whole && !t.ended);
		CU_ASSERT_EQUAL(t.got, 3000000);
		rig_client_end(&t);
		CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
	}
}

/* A short answer is not delayed by a long one on the same link. */
static void
short_answers_are_not_delayed(void)
{
	struct rig r;
	struct rig_stream s = { .begin =
				    HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef0123456789abcdef" };
	struct rig_client t;
	struct rig_call c;

	rig_stream_start(&r, &s);
	rig_client_start(&r, &t, 1, "1.1");
	while (t.got < MB)
		rig_run(&r, 2);
	/* The guard's refusal uses the same link as the pieces. */
	rig_list_target(&r, 0, "svc", VIEW_DRAINING);
	rig_call(&r, &c, 1, "/run/x", "short", 900);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	CU_ASSERT(c.took_ms < 400);
	rig_call_end(&c);
	rig_client_end(&t);
	CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
}

/* Returns the memory in use, in bytes. */
static int64_t
memory_used(void)
{
	return (int64_t)mallinfo2().uordblks + (int64_t)mallinfo2().hblkhd;
}

/*
 * A hundred requests at once to a target that sends without end: each request
 * must end in bounded time, and memory must stay bounded.
 */
static void
endless_answers_are_bounded(void)
{
	static const struct {
		const char *begin, *again;
		int drip_ms;
	} cases[] = {
		{ "HTTP/1.1 200 ", "OK ", 0 },
		{ HEAD, "X-More: more\r\n", 0 },
		{ HEAD "X-More: ", "more", 0 },
		{ HEAD "Content-Length: 900000000000\r\n\r\n", "more", 0 },
		{ HEAD "\r\n", "more", 0 },
		{ CHUNKED, "4\r\nmore\r\n", 0 },
		{ CHUNKED "4;", "more=more;", 0 },
		{ CHUNKED "0\r\n", "X-More: more\r\n", 0 },
		{ "", "HTTP/1.1 102 Processing\r\n\r\n", 0 },
		{ HEAD "Content-Length: 50000\r\n\r\n", "d", 20 },
		{ HEAD, "X-More: more\r\n", 20 },
		/* An endless answer to another request. */
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
		  "X-Server-Seal: s\r\n\r\n",
		    "more", 0 },
	};
	static struct rig_client t[CALLS];
	struct rig r;
	struct rig_stream s;
	int64_t before, peak, began;
	size_t i;
	int k, ended;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		s = (struct rig_stream){ .begin = cases[i].begin,
			.again = cases[i].again,
			.drip_ms = cases[i].drip_ms };
		rig_stream_start(&r, &s);
		for (k = 0; k < 2; k++)
			r.nodes[k].view->config->limits.body_bytes = 4 * MB;
		before = peak = memory_used();
		began = base_now_ms();
		for (k = 0; k < CALLS; k++)
			rig_client_start(&r, &t[k], k % 2, "1.1");
		do {
			rig_run(&r, 20);
			peak = MAX(peak, memory_used());
			for (ended = k = 0; k < CALLS; k++)
				ended += t[k].ended ||
					 (t[k].whole &&
					     t[k].parse.msg->status >= 500);
		} while (ended < CALLS && base_now_ms() - began < 4000);
		CU_ASSERT_EQUAL(ended, CALLS);
		CU_ASSERT(peak - before < MEMORY_MAX);
		if (ended != CALLS || peak - before >= MEMORY_MAX)
			printf("case %zu: %d ended, %d KB\n", i, ended,
			    (int)((peak - before) / 1024));
		for (k = 0; k < CALLS; k++) {
			CU_ASSERT(t[k].ended || t[k].parse.msg->status != 200);
			rig_client_end(&t[k]);
		}
		CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
	}
}

/* Callers that send large bodies at once: some are refused, none is run. */
static void
large_bodies_are_bounded(void)
{
	static struct rig_call c[CALLS];
	struct rig r;
	char *text, *body = g_strnfill(2 * MB, 'b');
	int64_t before, peak;
	int k, refused = 0;

	rig_start(&r, 1);
	r.nodes[0].view->config->limits.body_bytes = 64 * MB;
	proxy_view_changed(r.nodes[0].proxy);
	before = peak = memory_used();
	for (k = 0; k < CALLS; k++) {
		text = g_strdup_printf("POST /run/x HTTP/1.1\r\nHost: rig\r\n"
				       "X-Attempt-Id: b\r\n"
				       "Content-Length: %d\r\n\r\n",
		    60 * MB);
		rig_send_raw(&r, &c[k], 0, text);
		g_free(text);
	}
	rig_run(&r, 100);
	peak = MAX(peak, memory_used());
	for (k = 0; k < CALLS; k++) {
		refused += rig_status(&c[k]) == 503;
		if (rig_status(&c[k]) == 503)
			CU_ASSERT_PTR_NOT_NULL(
			    http_find(c[k].answer, "Retry-After"));
		rig_call_end(&c[k]);
	}
	CU_ASSERT_EQUAL(refused, CALLS);
	/* A chunked body does not announce its length. */
	for (k = 0; k < CALLS; k++) {
		rig_send_raw(&r, &c[k], 0,
		    "POST /run/x HTTP/1.1\r\nHost: rig\r\nX-Attempt-Id: b\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n200000\r\n");
		evbuffer_add_reference(
		    bufferevent_get_output(c[k].bev), body, 2 * MB, NULL, NULL);
	}
	for (k = 0; k < 40; k++) {
		rig_run(&r, 10);
		peak = MAX(peak, memory_used());
	}
	CU_ASSERT(peak - before < MEMORY_MAX);
	if (peak - before >= MEMORY_MAX)
		printf("%d KB\n", (int)((peak - before) / 1024));
	for (k = 0; k < CALLS; k++)
		rig_call_end(&c[k]);
	rig_run(&r, 50);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 0);
	/* All memory for bodies is available again. */
	rig_call(&r, &c[0], 0, "/run/x", "after", 900);
	rig_wait(&r, &c[0]);
	CU_ASSERT_EQUAL(rig_status(&c[0]), 200);
	rig_call_end(&c[0]);
	rig_stop(&r);
	g_free(body);
}

/* A caller that reads nothing costs one window at most, until its timeout. */
static void
idle_reader_is_bounded(void)
{
	struct rig r;
	struct rig_stream s = { .begin =
				    HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef" };
	struct rig_client t;
	int64_t before, peak;
	int node;

	for (node = 0; node < 2; node++) {
		rig_stream_start(&r, &s);
		before = memory_used();
		rig_client_start(&r, &t, node, "1.1");
		rig_run(&r, 20);
		bufferevent_disable(t.bev, EV_READ);
		rig_run(&r, 300);
		peak = memory_used();
		CU_ASSERT(peak - before < 4 * MB);
		/* The timeout frees the target. */
		rig_run(&r, 1200);
		CU_ASSERT_EQUAL(s.conns, 0);
		bufferevent_enable(t.bev, EV_READ);
		rig_client_wait(&r, &t);
		CU_ASSERT(t.ended && !t.whole);
		rig_client_end(&t);
		CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
	}
}

static const struct test tests[] = {
	{ "long answers", long_answers },
	{ "end waits for credit", end_waits_for_credit },
	{ "short answers are not delayed", short_answers_are_not_delayed },
	{ "endless answers are bounded", endless_answers_are_bounded },
	{ "large bodies are bounded", large_bodies_are_bounded },
	{ "idle reader is bounded", idle_reader_is_bounded },
};

TEST_MAIN("stream", tests)
