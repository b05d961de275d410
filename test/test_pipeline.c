/* HTTP pipelining: the order of answers, limits, and closing connections. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../http/http.h"
#include "rig.h"
#include "test.h"

#define REQUESTS_MAX 64
#define ADDR	     "127.0.0.77:%d"
#define PORT_BASE    10000
#define PORT_SPAN    20000

/*
 * A server, whose handler stores the requests until a test answers them, and a
 * client.  Requests for paths that begin with /once may not be pipelined.
 */
struct fixture {
	struct event_base *base;
	struct http_server *server;
	struct http_limits limits;
	struct bufferevent *client;
	GString *received; /* bytes that the client received */
	int closed;	   /* the client saw the connection end */
	struct http_exchange *exchanges[REQUESTS_MAX];
	char *paths[REQUESTS_MAX];
	int nrequests, naborted;
};

static void
on_request(void *arg, struct http_exchange *x, struct http_message *m)
{
	struct fixture *f = arg;

	f->exchanges[f->nrequests] = x;
	f->paths[f->nrequests] = g_strdup(m->path);
	http_exchange_set(x, &f->exchanges[f->nrequests]);
	f->nrequests++;
	http_message_free(m);
}

static void
on_connection_closed(void *arg, struct http_exchange *x)
{
	struct fixture *f = arg;
	struct http_exchange **at = http_exchange_data(x);

	*at = NULL;
	f->naborted++;
}

static int
may_pipeline(void *arg, const struct http_message *m)
{
	(void)arg;
	return strncmp(m->path, "/once", 5) != 0;
}

static void
on_client_read(struct bufferevent *bev, void *arg)
{
	struct fixture *f = arg;
	char piece[4096];
	size_t n;

	while ((n = bufferevent_read(bev, piece, sizeof(piece))) > 0)
		g_string_append_len(f->received, piece, (gssize)n);
}

static void
on_client_event(struct bufferevent *bev, short what, void *arg)
{
	struct fixture *f = arg;

	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		f->closed = 1;
}

static void
fixture_start(struct fixture *f)
{
	struct http_server_calls calls = { .arg = f,
		.request = on_request,
		.gone = on_connection_closed,
		.may_pipeline = may_pipeline };
	char addr[ADDRESS_MAX];

	memset(f, 0, sizeof(*f));
	g_snprintf(
	    addr, sizeof(addr), ADDR, PORT_BASE + (int)(getpid() % PORT_SPAN));
	f->base = event_base_new();
	f->limits = (struct http_limits){ 4096, 1048576, 300, 5000, 0 };
	f->server = http_server_new(f->base, addr, &f->limits, &calls);
	if (f->server == NULL)
		g_error("the server cannot listen");
	f->received = g_string_new(NULL);
	f->client = http_connect(f->base, addr);
	bufferevent_setcb(f->client, on_client_read, NULL, on_client_event, f);
	bufferevent_enable(f->client, EV_READ | EV_WRITE);
	rig_loop(f->base, 10);
}

static void
fixture_stop(struct fixture *f)
{
	int i;

	if (f->client != NULL)
		bufferevent_free(f->client);
	http_server_free(f->server);
	for (i = 0; i < f->nrequests; i++)
		g_free(f->paths[i]);
	g_string_free(f->received, TRUE);
	event_base_free(f->base);
}

/* Sends requests for paths that are separated by spaces. */
static void
send_requests(struct fixture *f, const char *paths)
{
	char **list = g_strsplit(paths, " ", -1);
	int i;

	for (i = 0; list[i] != NULL; i++)
		evbuffer_add_printf(bufferevent_get_output(f->client),
		    "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", list[i]);
	g_strfreev(list);
	rig_loop(f->base, 20);
}

/* Answers request n, counted from 0, with its path as the body. */
static void
answer(struct fixture *f, int n)
{
	if (n >= f->nrequests || f->exchanges[n] == NULL) {
		CU_FAIL("the request to answer does not exist");
		return;
	}
	http_reply_text(f->exchanges[n], 200, "text/plain", f->paths[n]);
	f->exchanges[n] = NULL;
}

/*
 * Returns the statuses of the received answers with the first 8 bytes of their
 * bodies, e.g. "200 /a,503 x,".
 */
static char *
list_answers(struct fixture *f)
{
	struct evbuffer *in = evbuffer_new();
	GString *list = g_string_new(NULL);
	struct http_message *m;
	struct http_parse p;

	evbuffer_add(in, f->received->str, f->received->len);
	http_parse_init(&p, HTTP_RESPONSE, 4096, 1048576);
	while (http_parse_feed(&p, in) == HTTP_OK) {
		m = http_parse_take(&p);
		g_string_append_printf(list, "%d %.*s,", m->status,
		    MIN((int)m->body->len, 8), (const char *)m->body->data);
		http_message_free(m);
		http_parse_next(&p, HTTP_RESPONSE);
	}
	http_parse_free(&p);
	evbuffer_free(in);
	return g_string_free(list, FALSE);
}

static void
check_received(struct fixture *f, const char *expected)
{
	char *list;

	rig_loop(f->base, 20);
	list = list_answers(f);
	CU_ASSERT_STRING_EQUAL(list, expected);
	if (strcmp(list, expected) != 0)
		printf("got %s, expected %s\n", list, expected);
	g_free(list);
}

/*
 * Requests that may be pipelined start at once.  Whatever the order in which
 * the handler answers them, the client receives the order of the requests.
 */
static void
answers_are_sent_in_request_order(void)
{
	static const int orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
		{ 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
	struct fixture f;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		fixture_start(&f);
		send_requests(&f, "/a /b /c");
		CU_ASSERT_EQUAL(f.nrequests, 3);
		for (k = 0; k < 3 && f.nrequests == 3; k++) {
			answer(&f, orders[i][k]);
			rig_loop(f.base, 2);
		}
		check_received(&f, "200 /a,200 /b,200 /c,");
		send_requests(&f, "/d");
		answer(&f, 3);
		check_received(&f, "200 /a,200 /b,200 /c,200 /d,");
		CU_ASSERT_EQUAL(f.closed + f.naborted, 0);
		fixture_stop(&f);
	}
}

/*
 * A request that may not be pipelined, and those after it, start only when all
 * earlier ones are answered.
 */
static void
once_waits_for_earlier_answers(void)
{
	struct fixture f;

	fixture_start(&f);
	send_requests(&f, "/a /b /once /c /once2");
	CU_ASSERT_EQUAL(f.nrequests, 2);
	answer(&f, 1);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 2);
	answer(&f, 0);
	rig_loop(f.base, 20);
	/* It is the first now, so that the request after it starts as well. */
	CU_ASSERT_EQUAL(f.nrequests, 4);
	CU_ASSERT_STRING_EQUAL(f.paths[2], "/once");
	CU_ASSERT_STRING_EQUAL(f.paths[3], "/c");
	answer(&f, 3);
	answer(&f, 2);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 5);
	answer(&f, 4);
	check_received(&f, "200 /a,200 /b,200 /once,200 /c,200 /once2,");
	fixture_stop(&f);
}

/* No request is read after one that asks for the connection to close. */
static void
nothing_is_read_after_connection_close(void)
{
	struct fixture f;

	fixture_start(&f);
	evbuffer_add_printf(bufferevent_get_output(f.client),
	    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	send_requests(&f, "/b /once");
	CU_ASSERT_EQUAL(f.nrequests, 1);
	answer(&f, 0);
	check_received(&f, "200 /a,");
	CU_ASSERT_EQUAL(f.nrequests, 1);
	CU_ASSERT(f.closed);
	fixture_stop(&f);
}

/*
 * A malformed request is answered after the earlier ones, and its answer
 * closes the connection.
 */
static void
an_error_answer_follows_earlier_answers(void)
{
	struct fixture f;

	fixture_start(&f);
	send_requests(&f, "/a /b");
	evbuffer_add_printf(
	    bufferevent_get_output(f.client), "nonsense\r\n\r\n");
	send_requests(&f, "/c");
	CU_ASSERT_EQUAL(f.nrequests, 2);
	check_received(&f, "");
	answer(&f, 1);
	answer(&f, 0);
	check_received(&f, "200 /a,200 /b,400 Bad Requ,");
	CU_ASSERT(f.closed && f.nrequests == 2);
	fixture_stop(&f);
}

/*
 * When a client disconnects, the handler is notified of started requests
 * without an answer, and queued requests never start.
 */
static void
a_closed_connection_cancels_its_requests(void)
{
	struct fixture f;

	fixture_start(&f);
	send_requests(&f, "/a /b /once /c");
	answer(&f, 1);
	bufferevent_free(f.client);
	f.client = NULL;
	rig_loop(f.base, 20);
	CU_ASSERT(f.nrequests == 2 && f.naborted == 1);
	CU_ASSERT_PTR_NULL(f.exchanges[0]);
	fixture_stop(&f);
}

/*
 * A draining server answers the requests that have started, and drops queued
 * and later ones.  The last answer announces that the connection closes.
 */
static void
draining_answers_started_requests(void)
{
	struct fixture f;

	fixture_start(&f);
	send_requests(&f, "/a /b /once /c");
	http_server_drain(f.server);
	CU_ASSERT_FALSE(http_server_idle(f.server));
	answer(&f, 1);
	send_requests(&f, "/d");
	CU_ASSERT_EQUAL(f.closed, 0);
	answer(&f, 0);
	check_received(&f, "200 /a,200 /b,");
	CU_ASSERT(f.closed && f.nrequests == 2 && f.naborted == 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.received->str, "Connection: close"));
	rig_loop(f.base, 20);
	CU_ASSERT(http_server_idle(f.server));
	fixture_stop(&f);
}

/* A connection has at most 8 unanswered requests; more start after them. */
static void
started_requests_are_limited(void)
{
	struct fixture f;
	int i;

	fixture_start(&f);
	for (i = 0; i < 5; i++)
		send_requests(&f, "/a /a /a /a");
	CU_ASSERT_EQUAL(f.nrequests, 8);
	answer(&f, 7);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 8);
	answer(&f, 0);
	rig_loop(f.base, 20);
	CU_ASSERT_EQUAL(f.nrequests, 9);
	for (i = 1; i < 20 && i < f.nrequests; i++) {
		if (f.exchanges[i] != NULL)
			answer(&f, i);
		rig_loop(f.base, 10);
	}
	CU_ASSERT_EQUAL(f.nrequests, 20);
	fixture_stop(&f);
}

/* While a client does not read its answers, no further request starts. */
static void
unread_answers_stop_new_requests(void)
{
	struct fixture f;
	char *big = g_strnfill(900000, 'x');
	int i;

	fixture_start(&f);
	bufferevent_disable(f.client, EV_READ);
	for (i = 0; i < 20; i++)
		send_requests(&f, "/a");
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
	fixture_stop(&f);
}

/*
 * 100 Continue is sent after earlier answers, and so is the error of a request
 * that is not received in time.
 */
static void
a_timed_out_request_follows_earlier_answers(void)
{
	struct fixture f;

	fixture_start(&f);
	send_requests(&f, "/a");
	evbuffer_add_printf(bufferevent_get_output(f.client),
	    "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	    "Content-Length: 4\r\n\r\n");
	rig_loop(f.base, 50);
	CU_ASSERT_EQUAL(f.received->len, 0);
	answer(&f, 0);
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
	answer(&f, 1);
	check_received(&f, "200 /a,200 /b,408 Request ,");
	CU_ASSERT(f.closed);
	fixture_stop(&f);
}

static const struct test tests[] = {
	{ "answers are sent in request order",
	    answers_are_sent_in_request_order },
	{ "once waits for earlier answers", once_waits_for_earlier_answers },
	{ "nothing is read after connection close",
	    nothing_is_read_after_connection_close },
	{ "an error answer follows earlier answers",
	    an_error_answer_follows_earlier_answers },
	{ "a closed connection cancels its requests",
	    a_closed_connection_cancels_its_requests },
	{ "draining answers started requests",
	    draining_answers_started_requests },
	{ "started requests are limited", started_requests_are_limited },
	{ "unread answers stop new requests",
	    unread_answers_stop_new_requests },
	{ "a timed-out request follows earlier answers",
	    a_timed_out_request_follows_earlier_answers },
};

TEST_MAIN("pipeline", tests)
