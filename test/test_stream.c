/* Long answers, and bytes without end, from targets and from callers. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <event2/listener.h>

#include "rig.h"
#include "test.h"

#define MB	   (1024 * 1024)
#define CALLS	   100
#define PUMP_BYTES 16384
/* The users' aim: a hundred of each at once, on both sides. */
#define MEMORY_MAX (64LL * MB)

/* A target that goes on sending. */
struct source {
	struct rig *rig;
	struct evconnlistener *listener;
	const char *begin; /* "ID" stands for the id of the request */
	const char *again; /* then this, over and over */
	int64_t most;	   /* bytes of it, 0: without end */
	int cut;	   /* it resets the connection after these */
	int ends;	   /* it ends the connection well after these */
	int drip_ms;	   /* between two bytes, 0: as fast as may be */
	int conns;	   /* connections that are open and have more to send */
};

struct source_conn {
	struct source *source;
	struct bufferevent *bev;
	struct http_parse parse;
	struct event *drip;
	int64_t sent;
	int asked, done;
	int counted; /* among the open ones */
};

static void
source_free(struct source_conn *c)
{
	c->source->conns -= c->counted;
	event_free(c->drip);
	http_parse_free(&c->parse);
	http_reset(c->bev);
	g_free(c);
}

/* Sends on while the other side takes it. */
static void
source_send(struct bufferevent *bev, void *arg)
{
	struct source_conn *c = arg;
	struct source *s = c->source;
	struct evbuffer *out = bufferevent_get_output(bev);
	size_t n = strlen(s->again);

	if (!c->asked || c->done || n == 0 || s->drip_ms > 0)
		return;
	while (evbuffer_get_length(out) < PUMP_BYTES &&
	       (s->most == 0 || c->sent < s->most)) {
		if (s->most > 0)
			n = MIN(n, (size_t)(s->most - c->sent));
		evbuffer_add(out, s->again, n);
		c->sent += (int64_t)n;
	}
	if (s->most > 0 && c->sent >= s->most &&
	    evbuffer_get_length(out) == 0) {
		c->done = 1;
		s->conns -= c->counted;
		c->counted = 0;
		if (s->ends && shutdown(bufferevent_getfd(bev), SHUT_WR) != 0)
			g_error("a source cannot end its answer");
		if (s->cut)
			source_free(c);
	}
}

static void
source_drip(evutil_socket_t fd, short what, void *arg)
{
	struct source_conn *c = arg;

	(void)fd;
	(void)what;
	evbuffer_add(bufferevent_get_output(c->bev),
	    c->source->again + c->sent++ % (int64_t)strlen(c->source->again),
	    1);
	http_timer(c->drip, c->source->drip_ms);
}

static void
source_read(struct bufferevent *bev, void *arg)
{
	struct source_conn *c = arg;
	struct http_message *m;
	char **parts, *text;
	const char *id;

	while (!c->asked && http_parse_feed(&c->parse,
				bufferevent_get_input(bev)) == HTTP_OK) {
		m = http_parse_take(&c->parse);
		http_parse_next(&c->parse, HTTP_REQUEST);
		if (strcmp(m->path, "/health") == 0) {
			evbuffer_add_printf(bufferevent_get_output(bev),
			    "HTTP/1.1 200 OK\r\n%s: t0\r\n"
			    "Content-Length: 0\r\n\r\n",
			    platform_headers.target);
			http_message_free(m);
			continue;
		}
		id = http_find(m, platform_headers.id);
		parts = g_strsplit(c->source->begin, "ID", -1);
		text = g_strjoinv(id, parts);
		evbuffer_add(bufferevent_get_output(bev), text, strlen(text));
		g_free(text);
		g_strfreev(parts);
		http_message_free(m);
		c->asked = 1;
		c->source->conns++;
		c->counted = 1;
		if (c->source->drip_ms > 0)
			http_timer(c->drip, c->source->drip_ms);
		source_send(bev, c);
		return;
	}
}

static void
source_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	source_free(arg);
}

static void
source_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct source_conn *c = g_new0(struct source_conn, 1);

	(void)l;
	(void)sa;
	(void)len;
	c->source = arg;
	c->bev = bufferevent_socket_new(
	    c->source->rig->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->drip = evtimer_new(c->source->rig->base, source_drip, c);
	http_parse_init(&c->parse, HTTP_REQUEST, 65536, MB);
	bufferevent_setcb(c->bev, source_read, source_send, source_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Two nodes; the target of the first one is a source. */
static void
start(struct rig *r, struct source *s)
{
	struct sockaddr_in sin;
	struct rig_target *t;

	rig_start(r, 2);
	t = &r->nodes[0].target;
	http_server_free(t->server);
	t->server = NULL;
	s->rig = r;
	address_resolve(t->addr, &sin);
	s->listener = evconnlistener_new_bind(r->base, source_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL)
		g_error("a source cannot listen");
	/* All requests go to it. */
	rig_list(r, 1, "other", VIEW_READY);
	rig_run(r, 50);
}

static void
stop(struct rig *r, struct source *s)
{
	int64_t until = base_now_ms() + 3000;

	while (s->conns > 0 && base_now_ms() < until)
		rig_run(r, 10);
	CU_ASSERT_EQUAL(s->conns, 0);
	evconnlistener_free(s->listener);
	rig_stop(r);
}

#define HEAD	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* Bytes that a caller got of a body, and how its connection ended. */
struct taker {
	struct bufferevent *bev;
	struct http_parse parse;
	int64_t got;
	int whole, ended;
};

static void
taker_read(struct bufferevent *bev, void *arg)
{
	struct taker *t = arg;
	GByteArray *bytes = g_byte_array_new();

	if (http_parse_feed(&t->parse, bufferevent_get_input(bev)) == HTTP_OK)
		t->whole = 1;
	http_parse_take_body(&t->parse, bytes);
	t->got += bytes->len;
	g_byte_array_free(bytes, TRUE);
}

static void
taker_event(struct bufferevent *bev, short what, void *arg)
{
	struct taker *t = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	t->ended = 1;
	if (!t->whole && (what & BEV_EVENT_EOF) &&
	    http_parse_end(&t->parse) == HTTP_OK)
		t->whole = 1;
}

static void
taker_start(struct rig *r, struct taker *t, int node, const char *version)
{
	memset(t, 0, sizeof(*t));
	http_parse_init(&t->parse, HTTP_RESPONSE, 65536, MB);
	t->parse.in_pieces = 1;
	t->bev = http_connect(r->base, r->nodes[node].settings.callers);
	bufferevent_setcb(t->bev, taker_read, NULL, taker_event, t);
	bufferevent_setwatermark(t->bev, EV_READ, 0, 65536);
	bufferevent_enable(t->bev, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(t->bev),
	    "GET /run/x HTTP/%s\r\nHost: rig\r\nX-Attempt-Id: long\r\n"
	    "X-Deadline-Remaining: 900\r\n\r\n",
	    version);
}

static void
taker_wait(struct rig *r, struct taker *t)
{
	int64_t until = base_now_ms() + 5000;

	while (!t->whole && !t->ended && base_now_ms() < until)
		rig_run(r, 2);
}

static void
taker_end(struct taker *t)
{
	http_parse_free(&t->parse);
	bufferevent_free(t->bev);
}

/*
 * Long answers arrive whole, here and by a link, with a length, in chunks and
 * to the end of the connection; one that breaks off never looks whole.
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
	struct source s;
	struct taker t;
	size_t i;
	int node;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (node = 0; node < 2; node++) {
			s = (struct source){ .begin = cases[i].begin,
				.again = cases[i].again,
				.most = cases[i].most,
				.cut = cases[i].cut };
			start(&r, &s);
			taker_start(&r, &t, node, cases[i].version);
			taker_wait(&r, &t);
			if (t.whole != cases[i].whole)
				printf("case %zu node %d: got %d\n", i, node,
				    (int)t.got);
			CU_ASSERT_EQUAL(t.whole, cases[i].whole);
			CU_ASSERT(cases[i].whole || t.ended);
			if (cases[i].body > 0)
				CU_ASSERT_EQUAL(t.got, cases[i].body);
			taker_end(&t);
			stop(&r, &s);
		}
	}
}

/*
 * An answer that ends with its connection, taken slowly: its last bytes have
 * arrived, and wait for credit, when the end comes.
 */
static void
the_end_waits_for_the_rest(void)
{
	struct rig r;
	struct source s = { .begin = HEAD "\r\n",
		.again = "0123456789",
		.most = 3000000,
		.ends = 1 };
	struct taker t;
	int node, k;

	for (node = 0; node < 2; node++) {
		start(&r, &s);
		taker_start(&r, &t, node, "1.1");
		for (k = 0; k < 40 && !t.whole; k++) {
			bufferevent_disable(t.bev, EV_READ);
			rig_run(&r, 8);
			bufferevent_enable(t.bev, EV_READ);
			rig_run(&r, 2);
		}
		taker_wait(&r, &t);
		CU_ASSERT(t.whole && !t.ended);
		CU_ASSERT_EQUAL(t.got, 3000000);
		taker_end(&t);
		stop(&r, &s);
	}
}

/* A short answer does not wait for a long one on the same link. */
static void
short_answers_go_between(void)
{
	struct rig r;
	struct source s = { .begin = HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef0123456789abcdef" };
	struct taker t;
	struct rig_call c;

	start(&r, &s);
	taker_start(&r, &t, 1, "1.1");
	while (t.got < MB)
		rig_run(&r, 2);
	/* What the gate refuses goes on the same link as the pieces. */
	rig_list(&r, 0, "svc", VIEW_DRAINING);
	rig_call(&r, &c, 1, "/run/x", "short", 900);
	rig_wait(&r, &c);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	CU_ASSERT(c.took_ms < 400);
	rig_call_end(&c);
	taker_end(&t);
	stop(&r, &s);
}

/* Memory in use, in bytes. */
static int64_t
memory(void)
{
	return (int64_t)mallinfo2().uordblks + (int64_t)mallinfo2().hblkhd;
}

/*
 * A hundred requests at once for a target that sends without end: each costs
 * its request, in bounded time, and memory stays where it was.
 */
static void
targets_without_end(void)
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
		/* The answer of another request, without end. */
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
		  "X-Server-Seal: s\r\n\r\n",
		    "more", 0 },
	};
	static struct taker t[CALLS];
	struct rig r;
	struct source s;
	int64_t before, most, began;
	size_t i;
	int k, ended;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		s = (struct source){ .begin = cases[i].begin,
			.again = cases[i].again,
			.drip_ms = cases[i].drip_ms };
		start(&r, &s);
		for (k = 0; k < 2; k++)
			r.nodes[k].view->config->limits.body_bytes = 4 * MB;
		before = most = memory();
		began = base_now_ms();
		for (k = 0; k < CALLS; k++)
			taker_start(&r, &t[k], k % 2, "1.1");
		do {
			rig_run(&r, 20);
			most = MAX(most, memory());
			for (ended = k = 0; k < CALLS; k++)
				ended += t[k].ended ||
					 (t[k].whole &&
					     t[k].parse.msg->status >= 500);
		} while (ended < CALLS && base_now_ms() - began < 4000);
		CU_ASSERT_EQUAL(ended, CALLS);
		CU_ASSERT(most - before < MEMORY_MAX);
		if (ended != CALLS || most - before >= MEMORY_MAX)
			printf("case %zu: %d ended, %d KB\n", i, ended,
			    (int)((most - before) / 1024));
		for (k = 0; k < CALLS; k++) {
			CU_ASSERT(t[k].ended || t[k].parse.msg->status != 200);
			taker_end(&t[k]);
		}
		stop(&r, &s);
	}
}

/* Callers that send large bodies at once: some are refused, none is run. */
static void
callers_with_large_bodies(void)
{
	static struct rig_call c[CALLS];
	struct rig r;
	char *text, *body = g_strnfill(2 * MB, 'b');
	int64_t before, most;
	int k, refused = 0;

	rig_start(&r, 1);
	r.nodes[0].view->config->limits.body_bytes = 64 * MB;
	proxy_view_changed(r.nodes[0].proxy);
	before = most = memory();
	for (k = 0; k < CALLS; k++) {
		text = g_strdup_printf("POST /run/x HTTP/1.1\r\nHost: rig\r\n"
				       "X-Attempt-Id: b\r\n"
				       "Content-Length: %d\r\n\r\n",
		    60 * MB);
		rig_raw(&r, &c[k], 0, text);
		g_free(text);
	}
	rig_run(&r, 100);
	most = MAX(most, memory());
	for (k = 0; k < CALLS; k++) {
		refused += rig_status(&c[k]) == 503;
		if (rig_status(&c[k]) == 503)
			CU_ASSERT_PTR_NOT_NULL(
			    http_find(c[k].answer, "Retry-After"));
		rig_call_end(&c[k]);
	}
	CU_ASSERT_EQUAL(refused, CALLS);
	/* In chunks nothing is announced. */
	for (k = 0; k < CALLS; k++) {
		rig_raw(&r, &c[k], 0,
		    "POST /run/x HTTP/1.1\r\nHost: rig\r\nX-Attempt-Id: b\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n200000\r\n");
		evbuffer_add_reference(
		    bufferevent_get_output(c[k].bev), body, 2 * MB, NULL, NULL);
	}
	for (k = 0; k < 40; k++) {
		rig_run(&r, 10);
		most = MAX(most, memory());
	}
	CU_ASSERT(most - before < MEMORY_MAX);
	if (most - before >= MEMORY_MAX)
		printf("%d KB\n", (int)((most - before) / 1024));
	for (k = 0; k < CALLS; k++)
		rig_call_end(&c[k]);
	rig_run(&r, 50);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 0);
	/* All of it is there again. */
	rig_call(&r, &c[0], 0, "/run/x", "after", 900);
	rig_wait(&r, &c[0]);
	CU_ASSERT_EQUAL(rig_status(&c[0]), 200);
	rig_call_end(&c[0]);
	rig_stop(&r);
	g_free(body);
}

/* A caller that takes nothing holds no more than a window, until its time. */
static void
a_caller_that_takes_nothing(void)
{
	struct rig r;
	struct source s = { .begin = HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef" };
	struct taker t;
	int64_t before, most;
	int node;

	for (node = 0; node < 2; node++) {
		start(&r, &s);
		before = memory();
		taker_start(&r, &t, node, "1.1");
		rig_run(&r, 20);
		bufferevent_disable(t.bev, EV_READ);
		rig_run(&r, 300);
		most = memory();
		CU_ASSERT(most - before < 4 * MB);
		/* Its time ends, and frees the target. */
		rig_run(&r, 1200);
		CU_ASSERT_EQUAL(s.conns, 0);
		bufferevent_enable(t.bev, EV_READ);
		taker_wait(&r, &t);
		CU_ASSERT(t.ended && !t.whole);
		taker_end(&t);
		stop(&r, &s);
	}
}

static const struct test tests[] = {
	{ "long answers", long_answers },
	{ "the end waits for the rest", the_end_waits_for_the_rest },
	{ "short answers go between", short_answers_go_between },
	{ "targets without end", targets_without_end },
	{ "callers with large bodies", callers_with_large_bodies },
	{ "a caller that takes nothing", a_caller_that_takes_nothing },
};

TEST_MAIN("stream", tests)
