/* HTTP pipelining: the order of answers, limits, and closing connections. */
#include <string.h>
#include <unistd.h>

#include "rig_server.h"
#include "test.h"

/*
 * Requests that may be pipelined start at once.  Whatever the order in which
 * the handler answers them, the client receives the order of the requests.
 */
static void
answers_are_sent_in_request_order(void)
{
	static const int orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
		{ 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
	struct rig_server f;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		rig_server_start(&f);
		rig_server_send(&f, "/a /b /c");
		CU_ASSERT_EQUAL(f.nrequests, 3);
		for (k = 0; k < 3 && f.nrequests == 3; k++) {
			rig_server_answer(&f, orders[i][k]);
			rig_loop(f.base, 2);
		}
		rig_server_check(&f, "200 /a,200 /b,200 /c,");
		rig_server_send(&f, "/d");
		rig_server_answer(&f, 3);
		rig_server_check(&f, "200 /a,200 /b,200 /c,200 /d,");
		CU_ASSERT_EQUAL(f.closed + f.naborted, 0);
		rig_server_stop(&f);
	}
}

/*
 * A request that may not be pipelined, and those after it, start only when all
 * earlier ones are answered.
 */
static void
once_waits_for_earlier_answers(void)
{
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a /b /once /c /once2");
	CU_ASSERT_EQUAL(f.nrequests, 2);
	rig_server_answer(&f, 1);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 2);
	rig_server_answer(&f, 0);
	rig_loop(f.base, 20);
	/* It is the first now, so that the request after it starts as well. */
	CU_ASSERT_EQUAL(f.nrequests, 4);
	CU_ASSERT_STRING_EQUAL(f.paths[2], "/once");
	CU_ASSERT_STRING_EQUAL(f.paths[3], "/c");
	rig_server_answer(&f, 3);
	rig_server_answer(&f, 2);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 5);
	rig_server_answer(&f, 4);
	rig_server_check(&f, "200 /a,200 /b,200 /once,200 /c,200 /once2,");
	rig_server_stop(&f);
}

/* No request is read after one that asks for the connection to close. */
static void
nothing_is_read_after_connection_close(void)
{
	struct rig_server f;

	rig_server_start(&f);
	evbuffer_add_printf(bufferevent_get_output(f.client),
	    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	rig_server_send(&f, "/b /once");
	CU_ASSERT_EQUAL(f.nrequests, 1);
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,");
	CU_ASSERT_EQUAL(f.nrequests, 1);
	CU_ASSERT(f.closed);
	rig_server_stop(&f);
}

/*
 * Guards against a request that is started and then cancelled as the answer
 * before it ends with the connection: to HTTP/1.0 a stream has no other end.
 */
static void
http10_requests_are_not_pipelined(void)
{
	static const char request[] =
	    "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
	struct rig_server f;
	struct http_message *m;

	rig_server_start(&f);
	evbuffer_add_printf(
	    bufferevent_get_output(f.client), "%s%s", request, request);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 1);
	m = http_message_new();
	m->status = 200;
	http_reply_begin(f.exchanges[0], m);
	http_message_free(m);
	http_reply_piece(f.exchanges[0], "/a", 2);
	http_reply_end(f.exchanges[0], 1);
	rig_loop(f.base, 20);
	CU_ASSERT(f.closed && f.nrequests == 1 && f.naborted == 0);
	rig_server_stop(&f);
}

/*
 * A malformed request is answered after the earlier ones, and its answer
 * closes the connection.
 */
static void
an_error_answer_follows_earlier_answers(void)
{
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a /b");
	evbuffer_add_printf(
	    bufferevent_get_output(f.client), "nonsense\r\n\r\n");
	rig_server_send(&f, "/c");
	CU_ASSERT_EQUAL(f.nrequests, 2);
	rig_server_check(&f, "");
	rig_server_answer(&f, 1);
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,200 /b,400 Bad Requ,");
	CU_ASSERT(f.closed && f.nrequests == 2);
	rig_server_stop(&f);
}

/*
 * When a client disconnects, the handler is notified of started requests
 * without an answer, and queued requests never start.
 */
static void
a_closed_connection_cancels_its_requests(void)
{
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a /b /once /c");
	rig_server_answer(&f, 1);
	bufferevent_free(f.client);
	f.client = NULL;
	rig_loop(f.base, 20);
	CU_ASSERT(f.nrequests == 2 && f.naborted == 1);
	CU_ASSERT_PTR_NULL(f.exchanges[0]);
	rig_server_stop(&f);
}

/* Number of received answers that announce the end of the connection. */
static int
count_announced_closes(const struct rig_server *f)
{
	const char *at = f->received->str;
	int n = 0;

	while ((at = strstr(at, "Connection: close")) != NULL) {
		n++;
		at++;
	}
	return n;
}

/*
 * Guards against a request that a draining server has received and closes the
 * connection on without an answer.  Started, queued and unparsed requests are
 * answered, and only the last answer announces that the connection closes.
 */
static void
draining_answers_received_requests(void)
{
	struct rig_server f;
	int i;

	rig_server_start(&f);
	rig_server_send(&f, "/a /b /once /c");
	http_server_drain(f.server);
	CU_ASSERT_FALSE(http_server_idle(f.server));
	rig_server_answer(&f, 1);
	rig_server_send(&f, "/d");
	CU_ASSERT_EQUAL(f.nrequests, 2);
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,200 /b,");
	CU_ASSERT_EQUAL(f.closed + count_announced_closes(&f), 0);
	CU_ASSERT_EQUAL(f.nrequests, 5);
	for (i = 2; i < f.nrequests; i++) {
		CU_ASSERT_EQUAL(f.closed, 0);
		rig_server_answer(&f, i);
	}
	rig_server_check(&f, "200 /a,200 /b,200 /once,200 /c,200 /d,");
	CU_ASSERT(f.closed && f.nrequests == 5 && f.naborted == 0);
	CU_ASSERT_EQUAL(count_announced_closes(&f), 1);
	rig_loop(f.base, 20);
	CU_ASSERT(http_server_idle(f.server));
	rig_server_stop(&f);
}

/*
 * Guards against a request that is started although the head of the answer
 * before it has announced that the connection closes.
 */
static void
nothing_is_read_after_an_announced_close(void)
{
	struct http_message *m;
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a");
	http_server_drain(f.server);
	m = http_message_new();
	m->status = 200;
	m->length = 2;
	http_reply_begin(f.exchanges[0], m);
	http_message_free(m);
	rig_server_send(&f, "/b");
	CU_ASSERT_EQUAL(f.nrequests, 1);
	http_reply_piece(f.exchanges[0], "/a", 2);
	http_reply_end(f.exchanges[0], 1);
	rig_server_check(&f, "200 /a,");
	CU_ASSERT(f.closed && f.nrequests == 1 && f.naborted == 0);
	CU_ASSERT_EQUAL(count_announced_closes(&f), 1);
	rig_server_stop(&f);
}

/* Sends a request while the server's event loop does not run. */
static void
send_unseen(int fd, const char *path)
{
	char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);

	CU_ASSERT(send(fd, text, strlen(text), 0) == (ssize_t)strlen(text));
	g_free(text);
}

/*
 * Guards against requests that arrive while a process decides to exit, and are
 * met by the close: on a kept connection, and on one that is not accepted yet.
 */
static void
closing_answers_requests_that_wait(void)
{
	struct rig_server f;
	struct sockaddr_in sin;
	char got[256] = "";
	int fd;

	rig_server_start(&f);
	rig_server_send(&f, "/a");
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,");
	http_server_drain(f.server);
	CU_ASSERT_EQUAL(address_resolve(f.addr, &sin), BASE_OK);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	send_unseen(fd, "/b");
	send_unseen((int)bufferevent_getfd(f.client), "/c");
	CU_ASSERT_EQUAL(http_server_stop_listening(f.server), 1);
	CU_ASSERT_EQUAL(http_server_stop_listening(f.server), 0);
	CU_ASSERT_EQUAL(http_server_close_idle(f.server), 2);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 3);
	rig_server_answer(&f, 1);
	rig_server_answer(&f, 2);
	rig_server_check(&f, "200 /a,200 /c,");
	CU_ASSERT(recv(fd, got, sizeof(got) - 1, MSG_DONTWAIT) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "200 OK"));
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "/b"));
	CU_ASSERT_EQUAL(http_server_close_idle(f.server), 0);
	close(fd);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), -1);
	close(fd);
	rig_server_stop(&f);
}

/* A connection has at most 8 unanswered requests; more start after them. */
static void
started_requests_are_limited(void)
{
	struct rig_server f;
	int i;

	rig_server_start(&f);
	for (i = 0; i < 5; i++)
		rig_server_send(&f, "/a /a /a /a");
	CU_ASSERT_EQUAL(f.nrequests, 8);
	rig_server_answer(&f, 7);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 8);
	rig_server_answer(&f, 0);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 9);
	for (i = 1; i < 20 && i < f.nrequests; i++) {
		if (f.exchanges[i] != NULL)
			rig_server_answer(&f, i);
		rig_loop(f.base, 10);
	}
	CU_ASSERT_EQUAL(f.nrequests, 20);
	rig_server_stop(&f);
}

/* While a client does not read its answers, no further request starts. */
static void
unread_answers_stop_new_requests(void)
{
	struct rig_server f;
	char *big = g_strnfill(900000, 'x');
	int i;

	rig_server_start(&f);
	bufferevent_disable(f.client, EV_READ);
	for (i = 0; i < 20; i++)
		rig_server_send(&f, "/a");
	for (i = 0; i < 16 && i < f.nrequests; i++) {
		http_reply_text(f.exchanges[i], 200, "text/plain", big);
		f.exchanges[i] = NULL;
		rig_loop(f.base, 20);
	}
	/* The kernel buffers some megabytes; further requests are not read. */
	CU_ASSERT(f.nrequests < 20);
	i = f.nrequests;
	rig_loop(f.base, 100);
	CU_ASSERT_EQUAL(f.nrequests, i);
	bufferevent_enable(f.client, EV_READ);
	rig_loop(f.base, 300);
	CU_ASSERT(f.nrequests > i);
	g_free(big);
	rig_server_stop(&f);
}

/*
 * 100 Continue is sent after earlier answers, and so is the error of a request
 * that is not received in time.
 */
static void
a_timed_out_request_follows_earlier_answers(void)
{
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a");
	evbuffer_add_printf(bufferevent_get_output(f.client),
	    "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	    "Content-Length: 4\r\n\r\n");
	rig_loop(f.base, 50);
	CU_ASSERT_EQUAL(f.received->len, 0);
	rig_server_answer(&f, 0);
	rig_loop(f.base, 50);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.received->str, "100 Continue"));
	evbuffer_add_printf(bufferevent_get_output(f.client), "body");
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 2);
	/* The head of the next request is never completed. */
	evbuffer_add_printf(
	    bufferevent_get_output(f.client), "GET /c HTTP/1.1\r\nHos");
	rig_loop(f.base, 400);
	CU_ASSERT_EQUAL(f.closed, 0);
	rig_server_answer(&f, 1);
	rig_server_check(&f, "200 /a,200 /b,408 Request ,");
	CU_ASSERT(f.closed);
	rig_server_stop(&f);
}

/*
 * Guards against a request that is sent on a connection which the last answer
 * said would stay open: the server began to drain after the answer's head.
 */
static void
draining_keeps_a_connection_that_was_promised(void)
{
	struct http_message *m;
	struct rig_server f;

	rig_server_start(&f);
	rig_server_send(&f, "/a");
	m = http_message_new();
	m->status = 200;
	m->length = 2;
	http_reply_begin(f.exchanges[0], m);
	http_message_free(m);
	http_server_drain(f.server);
	http_reply_piece(f.exchanges[0], "/a", 2);
	http_reply_end(f.exchanges[0], 1);
	rig_server_check(&f, "200 /a,");
	CU_ASSERT_EQUAL(f.closed + count_announced_closes(&f), 0);
	CU_ASSERT(http_server_idle(f.server));
	rig_server_send(&f, "/b");
	rig_server_answer(&f, 1);
	rig_server_check(&f, "200 /a,200 /b,");
	CU_ASSERT(f.closed && count_announced_closes(&f) == 1);
	rig_server_stop(&f);
}

/*
 * Guards against a request that an exiting process has partly received: while
 * one is being received the server is not idle.
 */
static void
a_request_being_received_is_not_idle(void)
{
	struct rig_server f;

	rig_server_start(&f);
	CU_ASSERT(http_server_idle(f.server));
	http_server_drain(f.server);
	evbuffer_add_printf(bufferevent_get_output(f.client),
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
	rig_loop(f.base, 20);
	CU_ASSERT_FALSE(http_server_idle(f.server));
	evbuffer_add_printf(bufferevent_get_output(f.client), "dy");
	rig_loop(f.base, 20);
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,");
	CU_ASSERT(http_server_idle(f.server));
	rig_server_stop(&f);
}

/*
 * Guards against a connection that closes while its client may still reuse it:
 * a raised idle timeout holds for connections that are idle already.
 */
static void
a_raised_idle_timeout_holds_at_once(void)
{
	struct rig_server f;
	int i;

	rig_server_start(&f);
	f.limits.idle_ms = 150;
	rig_server_send(&f, "/a");
	rig_server_answer(&f, 0);
	rig_server_check(&f, "200 /a,");
	f.limits.idle_ms = 1500;
	rig_loop(f.base, 400);
	CU_ASSERT_EQUAL(f.closed, 0);
	rig_server_send(&f, "/b");
	rig_server_answer(&f, 1);
	rig_server_check(&f, "200 /a,200 /b,");
	rig_loop(f.base, 450);
	CU_ASSERT_EQUAL(f.closed, 0);
	for (i = 0; i < 100 && !f.closed; i++)
		rig_loop(f.base, 50);
	CU_ASSERT(f.closed);
	rig_server_stop(&f);
}

static const struct test tests[] = {
	{ "answers are sent in request order",
	    answers_are_sent_in_request_order },
	{ "once waits for earlier answers", once_waits_for_earlier_answers },
	{ "nothing is read after connection close",
	    nothing_is_read_after_connection_close },
	{ "http10 requests are not pipelined",
	    http10_requests_are_not_pipelined },
	{ "an error answer follows earlier answers",
	    an_error_answer_follows_earlier_answers },
	{ "a closed connection cancels its requests",
	    a_closed_connection_cancels_its_requests },
	{ "draining answers received requests",
	    draining_answers_received_requests },
	{ "nothing is read after an announced close",
	    nothing_is_read_after_an_announced_close },
	{ "closing answers requests that wait",
	    closing_answers_requests_that_wait },
	{ "started requests are limited", started_requests_are_limited },
	{ "unread answers stop new requests",
	    unread_answers_stop_new_requests },
	{ "a timed-out request follows earlier answers",
	    a_timed_out_request_follows_earlier_answers },
	{ "draining keeps a connection that was promised",
	    draining_keeps_a_connection_that_was_promised },
	{ "a request being received is not idle",
	    a_request_being_received_is_not_idle },
	{ "a raised idle timeout holds at once",
	    a_raised_idle_timeout_holds_at_once },
};

TEST_MAIN("pipeline", tests)
