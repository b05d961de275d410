/* Answers of a target that belong to no request, or end too early. */
#include <stdio.h>

#include "../proxy/proxy_int.h"
#include "rig.h"
#include "test.h"

#define OK                                                            \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n" \
	"Content-Length: 4\r\n\r\ngood"
#define SHED(status, id)                                     \
	"HTTP/1.1 " status " No\r\nX-Not-Executed: 1\r\n" id \
	"Content-Length: 0\r\n\r\n"
#define OTHER "X-Attempt-Id: earlier\r\n"
#define HEALTH                                                     \
	"HTTP/1.1 200 OK\r\nX-Instance-Id: t0\r\nContent-Length: " \
	"0\r\n\r\n"

/*
 * Failure: a target wrote an earlier refusal, or the answer to a status check,
 * once more.  It was taken for the answer to the present request, which was
 * then refused as not run while the target ran it.
 */
static void
answer_to_no_request_is_dropped(void)
{
	static const struct {
		const char *bytes;
		enum rig_conn_end then;
		int status;
	} cases[] = {
		{ SHED("503", "") OK, RIG_KEEP, 200 },
		{ SHED("429", "") OK, RIG_KEEP, 200 },
		{ SHED("421", "") OK, RIG_KEEP, 200 },
		{ SHED("503", OTHER) OK, RIG_KEEP, 200 },
		{ SHED("421", OTHER) OK, RIG_KEEP, 200 },
		{ SHED("503", "") SHED("503", OTHER) OK, RIG_KEEP, 200 },
		{ HEALTH OK, RIG_KEEP, 200 },
		/* Without an answer of its own, a request may have run. */
		{ SHED("503", ""), RIG_CLOSE, 502 },
		{ SHED("503", ""), RIG_RESET, 502 },
		{ SHED("421", OTHER), RIG_CLOSE, 502 },
		{ SHED("503", ""), RIG_KEEP, 504 },
		{ "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nto the end",
		    RIG_CLOSE, 502 },
		{ "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" OTHER
		  "\r\nto the end",
		    RIG_CLOSE, 502 },
		/* Its own answer counts, whatever comes after it. */
		{ OK SHED("503", ""), RIG_KEEP, 200 },
		{ SHED("503", "X-Attempt-Id: ID\r\n"), RIG_KEEP, 503 },
		{ SHED("503", "X-Attempt-Id: ID\r\n") SHED("503", ""), RIG_KEEP,
		    503 },
	};
	struct rig r;
	struct rig_call c;
	char id[8];
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_start(&r, 1);
		rig_script(&r, 0, cases[i].bytes, cases[i].then);
		/* The second one could get what the first one left. */
		for (k = 0; k < 2; k++) {
			g_snprintf(id, sizeof(id), "a%d", k);
			rig_run(&r, 20);
			rig_call(&r, &c, 0, "/once/x", id, 300);
			rig_wait(&r, &c);
			CU_ASSERT_EQUAL(rig_status(&c), cases[i].status);
			if (rig_status(&c) != cases[i].status)
				printf("case %zu: %d\n", i, rig_status(&c));
			/* It does not wait for what cannot come. */
			if (cases[i].then != RIG_KEEP)
				CU_ASSERT(c.took_ms < 200);
			CU_ASSERT_EQUAL(r.nodes[0].target.runs, k + 1);
			rig_call_end(&c);
		}
		rig_stop(&r);
	}
}

/* Failure: a late answer to a request was taken for a status check's. */
static void
status_check_drops_other_answers(void)
{
	static const char *const strays[] = { OK, SHED("503", OTHER) };
	struct rig r;
	struct rig_call c;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(strays); i++) {
		rig_start(&r, 1);
		rig_script(&r, 0, OK, RIG_KEEP);
		r.nodes[0].target.check_prefix = strays[i];
		rig_restart(&r, 0);
		rig_call(&r, &c, 0, "/once/x", "ID", 300);
		rig_wait(&r, &c);
		CU_ASSERT_EQUAL(rig_status(&c), 200);
		CU_ASSERT_STRING_EQUAL(proxy_target_id(r.nodes[0].proxy), "t0");
		rig_call_end(&c);
		rig_stop(&r);
	}
}

/* Failure: a Keep-Alive time too large for 64 bits had an undefined value. */
static void
odd_keep_alive_times_are_clamped(void)
{
	static const struct {
		const char *time;
		int kept; /* the second request reuses the connection */
	} cases[] = {
		{ "5", 1 },
		{ "9223372036854775807", 1 },
		{ "99999999999999999999", 1 },
		{ "0", 0 },
		{ "-9223372036854775808", 0 },
		{ "x", 0 },
	};
	struct rig r;
	struct rig_call c;
	char *text;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text =
		    g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
				    "X-Server-Seal: s\r\nKeep-Alive: "
				    "timeout=%s\r\nContent-Length: 0\r\n\r\n",
			cases[i].time);
		rig_start(&r, 1);
		/* A connection that is used again is reset. */
		rig_script(&r, 0, text, RIG_RESET_REUSED);
		for (k = 0; k < 2; k++) {
			rig_call(&r, &c, 0, "/once/x", "k", 300);
			rig_wait(&r, &c);
			CU_ASSERT_EQUAL(rig_status(&c),
			    k == 1 && cases[i].kept ? 502 : 200);
			rig_call_end(&c);
			rig_run(&r, 10);
		}
		rig_stop(&r);
		g_free(text);
	}
}

/* A request without an id gets the answer without one. */
static void
request_without_id_is_answered(void)
{
	struct rig r;
	struct rig_call c;

	rig_start(&r, 1);
	rig_script(&r, 0,
	    "HTTP/1.1 400 No\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
	    RIG_KEEP);
	rig_send_raw(&r, &c, 0,
	    "GET /run/x HTTP/1.1\r\nHost: rig\r\n"
	    "X-Deadline-Remaining: 300\r\n\r\n");
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 400);
	rig_call_end(&c);
	rig_stop(&r);
}

/*
 * Sends a request to a node, whose target or that of another node writes a part
 * of an answer; returns the status that the caller gets.
 */
static int
status_of_part(struct rig *r, int node, const char *path, const char *part,
    enum rig_conn_end then)
{
	struct rig_call c;
	int status;

	r->nodes[0].target.script = part;
	r->nodes[0].target.then = then;
	rig_call(r, &c, node, path, "ID", 900);
	rig_wait(r, &c);
	status = rig_status(&c);
	rig_call_end(&c);
	/* The failures of the parts before do not count. */
	outlier_init(&r->nodes[0].proxy->guard.outlier);
	return status;
}

/*
 * Failure: a target stopped in its answer's head or body and closed, and the
 * caller got a success with an empty or a short body.  Every part of an answer
 * is tried, next to the target and over a link.
 */
static void
part_of_an_answer_is_no_answer(void)
{
	static const struct {
		const char *text;
		int until_close; /* whole once its connection is closed */
	} answers[] = {
		{ OK, 0 },
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		    0 },
		{ SHED("503", "X-Attempt-Id: ID\r\n"), 0 },
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
		  "\r\n",
		    1 },
	};
	static const enum rig_conn_end ends[] = { RIG_CLOSE, RIG_RESET };
	static const char *const kinds[] = { "/once/", "/run/" };
	struct rig r;
	char *part, path[16];
	int node, status, i, at, parts, n = 0;
	enum rig_conn_end end;

	rig_start(&r, 2);
	rig_script(&r, 0, "", RIG_CLOSE);
	/* What node 1 receives goes to node 0. */
	rig_list_target(&r, 1, "svc", VIEW_DRAINING);
	/* All combinations of an answer, its end, the node and the kind. */
	for (i = 0; i < (int)G_N_ELEMENTS(answers) * 8; i++) {
		end = ends[i / 4 % 2];
		node = i / 2 % 2;
		parts = (int)strlen(answers[i / 8].text);
		if (answers[i / 8].until_close && end == RIG_RESET)
			parts++;
		for (at = 0; at < parts; at++) {
			part = g_strndup(answers[i / 8].text, (gsize)at);
			g_snprintf(
			    path, sizeof(path), "%s%d", kinds[i % 2], n++);
			status = status_of_part(&r, node, path, part, end);
			if (status != 502)
				printf(
				    "case %d, %d bytes: %d\n", i, at, status);
			CU_ASSERT_EQUAL(status, 502);
			g_free(part);
		}
	}
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "part of an answer is no answer", part_of_an_answer_is_no_answer },
	{ "answer to no request is dropped", answer_to_no_request_is_dropped },
	{ "status check drops other answers",
	    status_check_drops_other_answers },
	{ "odd keep alive times are clamped",
	    odd_keep_alive_times_are_clamped },
	{ "request without id is answered", request_without_id_is_answered },
};

TEST_MAIN("proxy_answers", tests)
