/*
 * Bytes without end from outside, at places that test_stream leaves out: status
 * checks, answers of the store, bytes behind an answer, heads of callers,
 * links. What a process holds of them is bounded, and other callers are served.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <event2/listener.h>

#include "../side/side.h"
#include "rig_stream.h"
#include "test.h"

#define KB    1024
#define CALLS 20 /* connections at the same time */
/* The users' goal: a hundred endless transfers at once in 64 MB. */
#define CALL_MAX   (64 * 1024 * KB / 100) /* heap for one of them */
#define STORE_MAX  (12288 * KB)		  /* a page of 4 MB, in three copies */
#define RUN_MS	   400
#define PUMP_BYTES 16384 /* kept in the output buffer */

#define ANSWER "HTTP/1.1 200 OK\r\n"

/* A server that answers the first request of a connection without end. */
struct spout {
	struct event_base *base;
	struct evconnlistener *listener;
	const char *begin;
	GString *again;	  /* repeated to PUMP_BYTES */
	GPtrArray *conns; /* of struct bufferevent that are open */
	int64_t sent;
};

/* A place at which bytes may come without end. */
struct place {
	const char *begin, *again;
};

static const struct place answers[] = {
	{ "", "no answer at all " },
	{ "HTTP/1.1 200 ", "OK " },
	{ ANSWER, "X-More: more\r\n" },
	{ ANSWER "X-More: ", "more" },
	{ ANSWER "\r\n", "more" },
	{ ANSWER "Content-Length: 900000000000\r\n\r\n", "more" },
	{ ANSWER "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n" },
	{ ANSWER "Transfer-Encoding: chunked\r\n\r\n", "0" },
	{ ANSWER "Transfer-Encoding: chunked\r\n\r\n4;", "more=more;" },
	{ ANSWER "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X-More: more\r\n" },
	{ "", "HTTP/1.1 102 Processing\r\n\r\n" },
	{ "", ANSWER "Content-Length: 0\r\n\r\n" },
};

/* Bytes of the heap that are in use. */
static int64_t
memory_used(void)
{
	return (int64_t)mallinfo2().uordblks + (int64_t)mallinfo2().hblkhd;
}

static void on_spout_event(struct bufferevent *, short, void *);

/* Fills the output again whenever the peer has read it. */
static void
on_spout_write(struct bufferevent *bev, void *arg)
{
	struct spout *s = arg;
	struct evbuffer *out = bufferevent_get_output(bev);

	while (evbuffer_get_length(out) < PUMP_BYTES) {
		evbuffer_add(out, s->again->str, s->again->len);
		s->sent += (int64_t)s->again->len;
	}
}

/* Drops what the peer sends. */
static void
on_spout_drop(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);

	(void)arg;
	evbuffer_drain(in, evbuffer_get_length(in));
}

/* The first bytes of a request start the answer; what comes is dropped. */
static void
on_spout_read(struct bufferevent *bev, void *arg)
{
	struct spout *s = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	bufferevent_setcb(
	    bev, on_spout_drop, on_spout_write, on_spout_event, s);
	evbuffer_add(bufferevent_get_output(bev), s->begin, strlen(s->begin));
	on_spout_write(bev, s);
}

/* The peer has closed the connection. */
static void
on_spout_event(struct bufferevent *bev, short what, void *arg)
{
	struct spout *s = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	g_ptr_array_remove_fast(s->conns, bev);
	bufferevent_free(bev);
}

/* Adds a connection; one that this side opened begins at once. */
static void
spout_add(struct spout *s, struct bufferevent *bev, int begins)
{
	g_ptr_array_add(s->conns, bev);
	/* The callback for output would be called at once. */
	bufferevent_setcb(bev, on_spout_read, NULL, on_spout_event, s);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	if (begins)
		on_spout_read(bev, s);
}

static void
on_spout_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct spout *s = arg;
	struct bufferevent *bev;

	(void)l;
	(void)sa;
	(void)len;
	bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	spout_add(s, bev, 0);
}

/* Starts a server of endless answers; addr NULL: none listens. */
static void
spout_start(struct spout *s, struct event_base *base, const char *addr,
    const struct place *p)
{
	struct sockaddr_in sin;

	*s = (struct spout){ .base = base,
		.begin = p->begin,
		.again = g_string_new(NULL),
		.conns = g_ptr_array_new() };
	while (s->again->len < PUMP_BYTES)
		g_string_append(s->again, p->again);
	if (addr == NULL)
		return;
	address_resolve(addr, &sin);
	s->listener = evconnlistener_new_bind(base, on_spout_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL)
		g_error("the server cannot listen");
}

static void
spout_stop(struct spout *s)
{
	while (s->conns->len > 0) {
		bufferevent_free(g_ptr_array_index(s->conns, 0));
		g_ptr_array_remove_index_fast(s->conns, 0);
	}
	g_ptr_array_free(s->conns, TRUE);
	g_string_free(s->again, TRUE);
	if (s->listener != NULL)
		evconnlistener_free(s->listener);
}

/* The greatest heap so far, sampled from the loop. */
struct sample {
	int64_t before, peak;
};

static void
on_sample(evutil_socket_t fd, short what, void *arg)
{
	struct sample *s = arg;

	(void)fd;
	(void)what;
	s->peak = MAX(s->peak, memory_used() - s->before);
}

/*
 * Runs for RUN_MS; returns the greatest heap above before.  Bytes without end
 * keep the loop busy, so it ends by its own timer.
 */
static int64_t
run_peak(struct event_base *base, int64_t before)
{
	struct timeval tv = { 0, 1000 }, end = { 0, RUN_MS * 1000L };
	struct sample s = { .before = before };
	struct event *timer;

	timer = event_new(base, -1, EV_PERSIST, on_sample, &s);
	event_add(timer, &tv);
	event_base_loopexit(base, &end);
	event_base_dispatch(base);
	event_free(timer);
	return s.peak;
}

/* Checks a peak against its bound, and names the case that exceeds it. */
static void
check_peak(const char *what, size_t i, int64_t peak, int64_t bound)
{
	CU_ASSERT(peak < bound);
	if (peak >= bound)
		printf("%s, case %zu: %d KB\n", what, i, (int)(peak / KB));
}

/* Another caller, which is to be answered meanwhile. */
static void
other_start(struct rig *r, struct rig_call *c)
{
	rig_call(r, c, 0, "/none/x", "other", 900);
}

static void
other_end(struct rig_call *c)
{
	CU_ASSERT_EQUAL(rig_status(c), 404);
	rig_call_end(c);
}

/* Guards against a process that ends as a status check's answer has no end. */
static void
status_checks_are_bounded(void)
{
	struct rig_call c;
	struct spout s;
	struct rig r;
	int64_t before;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		rig_start(&r, 1);
		http_server_free(r.nodes[0].target.server);
		r.nodes[0].target.server = NULL;
		spout_start(&s, r.base, r.nodes[0].target.addr, &answers[i]);
		before = memory_used();
		rig_restart(&r, 0);
		other_start(&r, &c);
		check_peak(
		    "status check", i, run_peak(r.base, before), CALL_MAX);
		CU_ASSERT(s.sent > 0);
		other_end(&c);
		spout_stop(&s);
		rig_stop(&r);
	}
}

/*
 * Guards against a process that ends as bytes follow a complete answer, which
 * belong to no request.
 */
static void
bytes_behind_an_answer_are_bounded(void)
{
	static const char *const more[] = { "more", "HTTP/1.1 200 OK\r\n",
		ANSWER "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\n" };
	static struct rig_client t[CALLS];
	struct rig_stream s;
	struct rig r;
	int64_t before;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(more); i++) {
		s = (struct rig_stream){
			.begin =
			    ANSWER "X-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
				   "Content-Length: 4\r\n\r\ngood",
			.again = more[i]
		};
		rig_stream_start(&r, &s);
		before = memory_used();
		for (k = 0; k < CALLS; k++)
			rig_client_start(&r, &t[k], k % 2, "1.1");
		check_peak("behind an answer", i, run_peak(r.base, before),
		    (int64_t)CALLS * CALL_MAX);
		for (k = 0; k < CALLS; k++) {
			CU_ASSERT(t[k].whole && t[k].got == 4);
			rig_client_end(&t[k]);
		}
		CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
	}
}

/* Guards against a process that ends as callers' requests have no end. */
static void
callers_are_bounded(void)
{
#define POST                                                       \
	"POST /run/x HTTP/1.1\r\nHost: rig\r\nX-Attempt-Id: b\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"
	static const struct place requests[] = {
		{ "", "no request at all " },
		{ "", "\r\n" },
		{ "GET /run/", "x" },
		{ "GET /run/x HTTP/1.1\r\n", "X-More: more\r\n" },
		{ "GET /run/x HTTP/1.1\r\nX-More: ", "more" },
		{ POST, "4\r\nmore\r\n" },
		{ POST, "0" },
		{ POST "4;", "more=more;" },
		{ POST "0\r\n", "X-More: more\r\n" },
		{ "", "GET /run/x HTTP/1.1\r\nHost: rig\r\n\r\n" },
		{ "", "GET /none/x HTTP/1.1\r\nHost: rig\r\n\r\n" },
	};
	int64_t before;
	struct rig_call c;
	struct spout s;
	struct rig r;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		rig_start(&r, 1);
		before = memory_used();
		spout_start(&s, r.base, NULL, &requests[i]);
		for (k = 0; k < CALLS; k++)
			spout_add(&s,
			    http_connect(r.base, r.nodes[0].settings.callers),
			    1);
		other_start(&r, &c);
		check_peak("caller", i, run_peak(r.base, before),
		    (int64_t)CALLS * CALL_MAX);
		other_end(&c);
		spout_stop(&s);
		rig_run(&r, 50);
		rig_stop(&r);
	}
}

/* Guards against a process that ends as a link carries no frames. */
static void
links_are_bounded(void)
{
	static const struct place bytes[] = {
		{ "", "no frame at all " },
		{ "\x7f\xff\xff\xff", "more" },
	};
	int64_t before;
	struct rig_call c;
	struct spout s;
	struct rig r;
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(bytes); i++) {
		rig_start(&r, 1);
		before = memory_used();
		spout_start(&s, r.base, NULL, &bytes[i]);
		for (k = 0; k < CALLS; k++)
			spout_add(&s,
			    http_connect(r.base, r.nodes[0].settings.links), 1);
		other_start(&r, &c);
		check_peak("link", i, run_peak(r.base, before),
		    (int64_t)CALLS * CALL_MAX);
		other_end(&c);
		spout_stop(&s);
		rig_run(&r, 50);
		rig_stop(&r);
	}
}

static void
on_items(void *arg, const struct platform_page *p)
{
	(void)arg;
	(void)p;
}

static void
on_listed(void *arg, const struct store_list *list)
{
	(void)arg;
	(void)list;
}

static void
on_failed(void *arg)
{
	(*(int *)arg)++;
}

static void
on_answered(void *arg, enum platform_part part)
{
	(void)arg;
	(void)part;
}

static int
is_needed(void *arg)
{
	(void)arg;
	return 1;
}

/* Guards against a process that ends as an answer of the store has no end. */
static void
store_is_bounded(void)
{
	const char *addr;
	struct store_reader *reader;
	struct store_reader_calls calls = { NULL, on_items, on_listed,
		on_failed, on_answered, is_needed };
	struct rig_call c;
	struct spout s;
	struct rig r;
	size_t i;
	int failed;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		rig_start(&r, 1);
		http_server_free(r.nodes[0].target.server);
		r.nodes[0].target.server = NULL;
		/* An address that nobody else uses. */
		addr = r.nodes[0].target.addr;
		spout_start(&s, r.base, addr, &answers[i]);
		failed = 0;
		calls.arg = &failed;
		reader = store_reader_new(r.base, addr, 1500, &calls);
		store_reader_watch(reader, 1, 0, 0);
		other_start(&r, &c);
		check_peak(
		    "store", i, run_peak(r.base, memory_used()), 2 * STORE_MAX);
		CU_ASSERT(s.sent > 0);
		other_end(&c);
		rig_run(&r, 1200);
		CU_ASSERT(failed > 0);
		store_reader_free(reader);
		spout_stop(&s);
		rig_stop(&r);
	}
}

static const struct test tests[] = {
	{ "status checks are bounded", status_checks_are_bounded },
	{ "bytes behind an answer are bounded",
	    bytes_behind_an_answer_are_bounded },
	{ "callers are bounded", callers_are_bounded },
	{ "links are bounded", links_are_bounded },
	{ "store is bounded", store_is_bounded },
};

TEST_MAIN("endless", tests)
