/* The order on a connection: requests behind others, and what ends them. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../http/http.h"
#include "rig.h"
#include "test.h"

#define ASKED_MAX 64
#define ADDR	  "127.0.0.77:%d"
#define PORT_BASE 10000
#define PORT_SPAN 20000

/* A server whose layer above keeps what it is asked; paths say what may be. */
struct world {
	struct event_base *base;
	struct http_server *server;
	struct http_limits limits;
	struct bufferevent *caller;
	GString *got; /* bytes that the caller was sent */
	int ended;    /* its connection was closed */
	struct http_exchange *asked[ASKED_MAX];
	char *paths[ASKED_MAX];
	int nasked, ngone;
};

static void
on_request(void *arg, struct http_exchange *x, struct http_message *m)
{
	struct world *w = arg;

	w->asked[w->nasked] = x;
	w->paths[w->nasked] = g_strdup(m->path);
	http_exchange_set(x, &w->asked[w->nasked]);
	w->nasked++;
	http_message_free(m);
}

static void
on_gone(void *arg, struct http_exchange *x)
{
	struct world *w = arg;
	struct http_exchange **at = http_exchange_data(x);

	*at = NULL;
	w->ngone++;
}

static int
may_pipeline(void *arg, const struct http_message *m)
{
	(void)arg;
	return strncmp(m->path, "/once", 5) != 0;
}

static void
on_caller_read(struct bufferevent *bev, void *arg)
{
	struct world *w = arg;
	char piece[4096];
	size_t n;

	while ((n = bufferevent_read(bev, piece, sizeof(piece))) > 0)
		g_string_append_len(w->got, piece, (gssize)n);
}

static void
on_caller_event(struct bufferevent *bev, short what, void *arg)
{
	struct world *w = arg;

	(void)bev;
	if (!(what & BEV_EVENT_CONNECTED))
		w->ended = 1;
}

static void
world_start(struct world *w)
{
	struct http_server_calls calls = { .arg = w,
		.request = on_request,
		.gone = on_gone,
		.may_pipeline = may_pipeline };
	char addr[ADDRESS_MAX];

	memset(w, 0, sizeof(*w));
	g_snprintf(
	    addr, sizeof(addr), ADDR, PORT_BASE + (int)(getpid() % PORT_SPAN));
	w->base = event_base_new();
	w->limits = (struct http_limits){ 4096, 1048576, 300, 5000, 0 };
	w->server = http_server_new(w->base, addr, &w->limits, &calls);
	if (w->server == NULL)
		g_error("the server cannot listen");
	w->got = g_string_new(NULL);
	w->caller = http_connect(w->base, addr);
	bufferevent_setcb(w->caller, on_caller_read, NULL, on_caller_event, w);
	bufferevent_enable(w->caller, EV_READ | EV_WRITE);
	rig_loop(w->base, 10);
}

static void
world_stop(struct world *w)
{
	int i;

	if (w->caller != NULL)
		bufferevent_free(w->caller);
	http_server_free(w->server);
	for (i = 0; i < w->nasked; i++)
		g_free(w->paths[i]);
	g_string_free(w->got, TRUE);
	event_base_free(w->base);
}

/* Sends requests for paths that are separated by blanks. */
static void
ask(struct world *w, const char *paths)
{
	char **list = g_strsplit(paths, " ", -1);
	int i;

	for (i = 0; list[i] != NULL; i++)
		evbuffer_add_printf(bufferevent_get_output(w->caller),
		    "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", list[i]);
	g_strfreev(list);
	rig_loop(w->base, 20);
}

/* Answers the n-th request with its path. */
static void
answer(struct world *w, int n)
{
	if (n >= w->nasked || w->asked[n] == NULL) {
		CU_FAIL("there is no such request to answer");
		return;
	}
	http_reply_text(w->asked[n], 200, "text/plain", w->paths[n]);
	w->asked[n] = NULL;
}

/* The bodies and statuses that the caller got, as "200 /a,503 x,". */
static char *
got(struct world *w)
{
	struct evbuffer *in = evbuffer_new();
	GString *list = g_string_new(NULL);
	struct http_message *m;
	struct http_parse p;

	evbuffer_add(in, w->got->str, w->got->len);
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
check_got(struct world *w, const char *expected)
{
	char *list;

	rig_loop(w->base, 20);
	list = got(w);
	CU_ASSERT_STRING_EQUAL(list, expected);
	if (strcmp(list, expected) != 0)
		printf("got %s, expected %s\n", list, expected);
	g_free(list);
}

/* All are begun at once; in whatever order they end, answers keep theirs. */
static void
answers_keep_their_order(void)
{
	static const int orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
		{ 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
	struct world w;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		world_start(&w);
		ask(&w, "/a /b /c");
		CU_ASSERT_EQUAL(w.nasked, 3);
		for (k = 0; k < 3 && w.nasked == 3; k++) {
			answer(&w, orders[i][k]);
			rig_loop(w.base, 2);
		}
		check_got(&w, "200 /a,200 /b,200 /c,");
		ask(&w, "/d");
		answer(&w, 3);
		check_got(&w, "200 /a,200 /b,200 /c,200 /d,");
		CU_ASSERT_EQUAL(w.ended + w.ngone, 0);
		world_stop(&w);
	}
}

/* What may run once waits for its turn, and so does all behind it. */
static void
once_waits_for_its_turn(void)
{
	struct world w;

	world_start(&w);
	ask(&w, "/a /b /once /c /once2");
	CU_ASSERT_EQUAL(w.nasked, 2);
	answer(&w, 1);
	rig_loop(w.base, 20);
	CU_ASSERT_EQUAL(w.nasked, 2);
	answer(&w, 0);
	rig_loop(w.base, 20);
	/* It is the first now; what is behind it may be begun as well. */
	CU_ASSERT_EQUAL(w.nasked, 4);
	CU_ASSERT_STRING_EQUAL(w.paths[2], "/once");
	CU_ASSERT_STRING_EQUAL(w.paths[3], "/c");
	answer(&w, 3);
	answer(&w, 2);
	rig_loop(w.base, 20);
	CU_ASSERT_EQUAL(w.nasked, 5);
	answer(&w, 4);
	check_got(&w, "200 /a,200 /b,200 /once,200 /c,200 /once2,");
	world_stop(&w);
}

/* Behind an answer that ends the connection nothing was read. */
static void
nothing_is_read_behind_a_close(void)
{
	struct world w;

	world_start(&w);
	evbuffer_add_printf(bufferevent_get_output(w.caller),
	    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	ask(&w, "/b /once");
	CU_ASSERT_EQUAL(w.nasked, 1);
	answer(&w, 0);
	check_got(&w, "200 /a,");
	CU_ASSERT_EQUAL(w.nasked, 1);
	CU_ASSERT(w.ended);
	world_stop(&w);
}

/* What cannot be read is refused in its turn, and ends the connection. */
static void
a_refusal_keeps_its_turn(void)
{
	struct world w;

	world_start(&w);
	ask(&w, "/a /b");
	evbuffer_add_printf(
	    bufferevent_get_output(w.caller), "nonsense\r\n\r\n");
	ask(&w, "/c");
	CU_ASSERT_EQUAL(w.nasked, 2);
	check_got(&w, "");
	answer(&w, 1);
	answer(&w, 0);
	check_got(&w, "200 /a,200 /b,400 Bad Requ,");
	CU_ASSERT(w.ended && w.nasked == 2);
	world_stop(&w);
}

/* A caller that goes ends what was begun; what was held is never begun. */
static void
a_caller_goes(void)
{
	struct world w;

	world_start(&w);
	ask(&w, "/a /b /once /c");
	answer(&w, 1);
	bufferevent_free(w.caller);
	w.caller = NULL;
	rig_loop(w.base, 20);
	CU_ASSERT(w.nasked == 2 && w.ngone == 1);
	CU_ASSERT_PTR_NULL(w.asked[0]);
	world_stop(&w);
}

/*
 * A stop in the middle: what was begun is answered, what was held or comes
 * later counts as not read, and the last answer says that it is the last.
 */
static void
a_stop_answers_what_was_begun(void)
{
	struct world w;

	world_start(&w);
	ask(&w, "/a /b /once /c");
	http_server_leave(w.server);
	CU_ASSERT_FALSE(http_server_idle(w.server));
	answer(&w, 1);
	ask(&w, "/d");
	CU_ASSERT_EQUAL(w.ended, 0);
	answer(&w, 0);
	check_got(&w, "200 /a,200 /b,");
	CU_ASSERT(w.ended && w.nasked == 2 && w.ngone == 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(w.got->str, "Connection: close"));
	rig_loop(w.base, 20);
	CU_ASSERT(http_server_idle(w.server));
	world_stop(&w);
}

/* As many as a connection may have are begun, the rest as these end. */
static void
the_number_is_bounded(void)
{
	struct world w;
	int i;

	world_start(&w);
	for (i = 0; i < 5; i++)
		ask(&w, "/a /a /a /a");
	CU_ASSERT_EQUAL(w.nasked, 8);
	answer(&w, 7);
	rig_loop(w.base, 20);
	CU_ASSERT_EQUAL(w.nasked, 8);
	answer(&w, 0);
	rig_loop(w.base, 20);
	CU_ASSERT_EQUAL(w.nasked, 9);
	for (i = 1; i < 20 && i < w.nasked; i++) {
		if (w.asked[i] != NULL)
			answer(&w, i);
		rig_loop(w.base, 10);
	}
	CU_ASSERT_EQUAL(w.nasked, 20);
	world_stop(&w);
}

/* For a caller that does not take its answers nothing more is begun. */
static void
a_caller_that_stops_reading(void)
{
	struct world w;
	char *big = g_strnfill(900000, 'x');
	int i;

	world_start(&w);
	bufferevent_disable(w.caller, EV_READ);
	for (i = 0; i < 20; i++)
		ask(&w, "/a");
	for (i = 0; i < 16 && i < w.nasked; i++) {
		http_reply_text(w.asked[i], 200, "text/plain", big);
		w.asked[i] = NULL;
		rig_loop(w.base, 20);
	}
	/* Some megabytes are with the kernel, the rest is not asked for. */
	CU_ASSERT(w.nasked < 20);
	i = w.nasked;
	rig_loop(w.base, 100);
	CU_ASSERT_EQUAL(w.nasked, i);
	bufferevent_enable(w.caller, EV_READ);
	rig_loop(w.base, 300);
	CU_ASSERT(w.nasked > i);
	g_free(big);
	world_stop(&w);
}

/* An interim answer waits for those ahead; a slow request ends in its turn. */
static void
a_slow_request_behind_others(void)
{
	struct world w;

	world_start(&w);
	ask(&w, "/a");
	evbuffer_add_printf(bufferevent_get_output(w.caller),
	    "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	    "Content-Length: 4\r\n\r\n");
	rig_loop(w.base, 50);
	CU_ASSERT_EQUAL(w.got->len, 0);
	answer(&w, 0);
	rig_loop(w.base, 50);
	CU_ASSERT_PTR_NOT_NULL(strstr(w.got->str, "100 Continue"));
	evbuffer_add_printf(bufferevent_get_output(w.caller), "body");
	rig_loop(w.base, 20);
	CU_ASSERT_EQUAL(w.nasked, 2);
	/* The head of the next never ends. */
	evbuffer_add_printf(
	    bufferevent_get_output(w.caller), "GET /c HTTP/1.1\r\nHos");
	rig_loop(w.base, 400);
	CU_ASSERT_EQUAL(w.ended, 0);
	answer(&w, 1);
	check_got(&w, "200 /a,200 /b,408 Request ,");
	CU_ASSERT(w.ended);
	world_stop(&w);
}

static const struct test tests[] = {
	{ "answers keep their order", answers_keep_their_order },
	{ "once waits for its turn", once_waits_for_its_turn },
	{ "nothing is read behind a close", nothing_is_read_behind_a_close },
	{ "a refusal keeps its turn", a_refusal_keeps_its_turn },
	{ "a caller goes", a_caller_goes },
	{ "a stop answers what was begun", a_stop_answers_what_was_begun },
	{ "the number is bounded", the_number_is_bounded },
	{ "a caller that stops reading", a_caller_that_stops_reading },
	{ "a slow request behind others", a_slow_request_behind_others },
};

TEST_MAIN("pipeline", tests)
