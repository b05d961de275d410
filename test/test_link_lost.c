/* Links between nodes that are lost while requests are on them. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

#include "../proxy/link_int.h"
#include "rig.h"
#include "test.h"

#define PEER_HOST "127.0.0.99"

/*
 * A peer that takes links and the requests on them and never answers.  It may
 * close them.
 */
struct mute_peer {
	struct evconnlistener *listener;
	evutil_socket_t link; /* the last one, or -1 */
	char target[ADDRESS_MAX];
};

/* Keeps the connection, unread. */
static void
on_link(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct mute_peer *p = arg;

	(void)l;
	(void)sa;
	(void)len;
	p->link = fd;
}

/* Starts the peer, and lists a target beside it in the view of node 0. */
static void
mute_peer_start(struct rig *r, struct mute_peer *p)
{
	struct view_target t = { .slots = 4, .state = VIEW_READY };
	const char *links = r->nodes[0].settings.links;
	struct sockaddr_in sin;
	char addr[ADDRESS_MAX];

	g_snprintf(addr, sizeof(addr), PEER_HOST "%s", strrchr(links, ':'));
	g_snprintf(p->target, sizeof(p->target), PEER_HOST ":%d", r->ports);
	p->link = -1;
	if (address_resolve(addr, &sin) != BASE_OK ||
	    (p->listener = evconnlistener_new_bind(r->base, on_link, p,
		 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 4,
		 (struct sockaddr *)&sin, sizeof(sin))) == NULL)
		g_error("the peer cannot listen");
	t.revision = r->nodes[0].view->listed_revision;
	t.revision.number++;
	g_strlcpy(t.id, "mute", sizeof(t.id));
	g_strlcpy(t.service, "svc", sizeof(t.service));
	g_strlcpy(t.addr, p->target, sizeof(t.addr));
	g_strlcpy(t.dc, "north", sizeof(t.dc));
	view_set_target(r->nodes[0].view, &t);
}

/* Closes the peer's link in an orderly way, if it is open. */
static void
mute_peer_close_link(struct mute_peer *p)
{
	if (p->link >= 0)
		close(p->link);
	p->link = -1;
}

/* Sends a further request on a call's connection. */
static void
call_again(struct rig_call *c, const char *id)
{
	http_message_free(c->answer);
	c->answer = NULL;
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "GET /run/x HTTP/1.1\r\nHost: rig\r\n%s: %s\r\n%s: 900\r\n\r\n",
	    platform_headers.id, id, platform_headers.remaining_ms);
}

/*
 * Guards against a kept connection that closes with a request unanswered when
 * the link that has the request is lost.  A request that may run again is sent
 * to another target, any other gets 502, and the connection serves the next.
 */
static void
lost_link_leaves_the_connection_open(void)
{
	static const struct {
		const char *path;
		int status, closes;
	} cases[] = { { "/run/x", 200, 1 }, { "/once/x", 502, 1 },
		{ "/run/x", 200, 0 }, { "/once/x", 502, 0 } };
	struct mute_peer peer;
	struct view_config *config;
	struct rig_call c;
	struct rig r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_start(&r, 1);
		config = r.nodes[0].view->config;
		view_config_route(config, 0)->timeout_ms =
		    view_config_route(config, 1)->timeout_ms = 3000;
		rig_list_target(&r, 0, "other", VIEW_READY);
		mute_peer_start(&r, &peer);
		rig_call(&r, &c, 0, cases[i].path, "a", 3000);
		rig_run(&r, 100);
		CU_ASSERT(peer.link >= 0 && c.answer == NULL);
		rig_list_target(&r, 0, "svc", VIEW_READY);
		if (cases[i].closes)
			mute_peer_close_link(&peer);
		rig_wait(&r, &c);
		CU_ASSERT_EQUAL(rig_status(&c), cases[i].status);
		CU_ASSERT_EQUAL(r.nodes[0].target.runs, cases[i].status == 200);
		CU_ASSERT_FALSE(c.ended);
		call_again(&c, "b");
		rig_wait(&r, &c);
		CU_ASSERT_EQUAL(rig_status(&c), 200);
		CU_ASSERT_FALSE(c.ended);
		rig_call_end(&c);
		mute_peer_close_link(&peer);
		evconnlistener_free(peer.listener);
		rig_stop(&r);
	}
}

/*
 * Guards against requests that are lost with a process that exits before it has
 * told other nodes, however long its grace is.
 */
static void
other_nodes_are_told_before_the_exit(void)
{
	struct rig r;
	int i;

	rig_start(&r, 2);
	r.nodes[1].settings.grace_ms = 2000;
	proxy_drain(r.nodes[1].proxy);
	rig_run(&r, 50);
	CU_ASSERT(proxy_idle(r.nodes[1].proxy));
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(proxy_close_callers(r.nodes[1].proxy), 0);
	CU_ASSERT_PTR_NOT_NULL(r.nodes[1].proxy->links.listener);
	for (i = 0; i < 100 && !proxy_close_callers(r.nodes[1].proxy); i++)
		rig_run(&r, 20);
	CU_ASSERT(i < 100);
	CU_ASSERT_PTR_NULL(r.nodes[1].proxy->links.listener);
	rig_stop(&r);
}

/* Writes a request for the target of service "svc" to a raw link. */
static void
write_request(struct link *l, uint32_t stream)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Request q = LINK__REQUEST__INIT;
	Link__Header id = LINK__HEADER__INIT, *headers[] = { &id };

	id.name = (char *)platform_headers.id;
	id.value = "a";
	q.headers = headers;
	q.n_headers = 1;
	f.stream = stream;
	f.body_case = LINK__FRAME__BODY_REQUEST;
	f.request = &q;
	q.method = "GET";
	q.path = "/run/x";
	q.service = "svc";
	q.id = "a";
	q.remaining_ms = 900;
	link_pack_frame(bufferevent_get_output(l->bev), &f);
}

/*
 * Guards against answers that are lost with the process that has sent them, as
 * the peer had not read them when it closed the link.
 */
static void
answers_outlive_the_process(void)
{
	struct sockaddr_in sin;
	struct link l = { 0 };
	Link__Frame *in;
	struct rig r;
	int fd, i, answered = 0, small = 2048;

	rig_start(&r, 1);
	address_resolve(r.nodes[0].settings.links, &sin);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	evutil_make_socket_nonblocking(fd);
	l.bev = bufferevent_socket_new(r.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_disable(l.bev, EV_READ);
	bufferevent_enable(l.bev, EV_WRITE);
	for (i = 1; i <= 150; i++) {
		write_request(&l, (uint32_t)i);
		rig_run(&r, 6);
	}
	r.nodes[0].settings.grace_ms = 100;
	proxy_drain(r.nodes[0].proxy);
	rig_run(&r, 60);
	CU_ASSERT(proxy_idle(r.nodes[0].proxy));
	rig_restart(&r, 0);
	bufferevent_enable(l.bev, EV_READ);
	for (i = 0; i < 300 && answered < r.nodes[0].target.runs; i++) {
		rig_run(&r, 5);
		while (link_read_frame(&l, &in) > 0) {
			answered += in->body_case == LINK__FRAME__BODY_ANSWER &&
				    in->answer->outcome == OUTCOME_ANSWERED;
			link__frame__free_unpacked(in, NULL);
		}
	}
	CU_ASSERT(answered > 0);
	CU_ASSERT_EQUAL(answered, r.nodes[0].target.runs);
	bufferevent_free(l.bev);
	rig_stop(&r);
}

/* How a link ends. */
enum link_end {
	LINK_CLOSED,
	LINK_RESET,
	LINK_MALFORMED,
	LINK_SILENT
};

/* Makes a link of the peer's connection, to write frames to it. */
static void
mute_peer_link(struct rig *r, struct mute_peer *p, struct link *l)
{
	memset(l, 0, sizeof(*l));
	l->bev =
	    bufferevent_socket_new(r->base, p->link, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	p->link = -1;
}

/* Writes a head, and n bytes of a body of that length; -1: of no length. */
static void
write_pieces(
    struct link *l, uint32_t stream, uint32_t status, int64_t length, size_t n)
{
	Link__Header seal = LINK__HEADER__INIT, *headers[] = { &seal };
	Link__Frame f = LINK__FRAME__INIT;
	Link__Answer a = LINK__ANSWER__INIT;
	Link__Piece p = LINK__PIECE__INIT;
	uint8_t *bytes = g_malloc0(n);

	seal.name = (char *)platform_headers.seal;
	seal.value = "s";
	f.stream = stream;
	f.body_case = LINK__FRAME__BODY_ANSWER;
	f.answer = &a;
	a.outcome = OUTCOME_ANSWERED;
	a.status = status;
	a.more = 1;
	a.length = length;
	a.headers = headers;
	a.n_headers = 1;
	link_pack_frame(bufferevent_get_output(l->bev), &f);
	f.body_case = LINK__FRAME__BODY_PIECE;
	f.piece = &p;
	p.data.data = bytes;
	p.data.len = n;
	link_pack_frame(bufferevent_get_output(l->bev), &f);
	g_free(bytes);
}

/* Ends a link; a silent one ends as the node gives it up. */
static void
end_link(struct link *l, enum link_end how)
{
	static const uint32_t too_long = G_MAXUINT32;

	switch (how) {
	case LINK_CLOSED:
		bufferevent_free(l->bev);
		break;
	case LINK_RESET:
		http_reset(l->bev);
		break;
	case LINK_MALFORMED:
		evbuffer_add(bufferevent_get_output(l->bev), &too_long,
		    sizeof(too_long));
		break;
	case LINK_SILENT:
		bufferevent_disable(l->bev, EV_READ);
		break;
	}
}

/* Sends requests for a path on one connection, none of which waits. */
static void
call_pipelined(struct rig *r, struct rig_call *c, const char *path, int n)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(text,
		    "GET %s HTTP/1.1\r\nHost: rig\r\n%s: p%d\r\n"
		    "%s: 3500\r\n\r\n",
		    path, platform_headers.id, i,
		    platform_headers.remaining_ms);
	rig_send_raw(r, c, 0, text->str);
	g_string_free(text, TRUE);
}

/*
 * Guards against a crash when a link is lost: the end of a broken answer closes
 * its caller's connection, which cancels the requests behind it on that link.
 */
static void
lost_link_cancels_requests_behind_a_broken_answer(void)
{
	static const enum link_end ends[] = { LINK_CLOSED, LINK_RESET,
		LINK_MALFORMED, LINK_SILENT };
	struct mute_peer peer;
	struct rig_call c, other;
	struct link l;
	struct rig r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		rig_start(&r, 1);
		view_config_route(r.nodes[0].view->config, 0)->timeout_ms =
		    4000;
		rig_list_target(&r, 0, "other", VIEW_READY);
		mute_peer_start(&r, &peer);
		call_pipelined(&r, &c, "/run/x", 4);
		rig_call(&r, &other, 0, "/run/y", "other", 3500);
		rig_run(&r, 100);
		CU_ASSERT_FATAL(peer.link >= 0);
		mute_peer_link(&r, &peer, &l);
		write_pieces(&l, 1, 200, 200000, 100000);
		rig_run(&r, 50);
		rig_list_target(&r, 0, "svc", VIEW_READY);
		end_link(&l, ends[i]);
		rig_wait(&r, &other);
		/* The other caller's request is sent to another target. */
		CU_ASSERT_EQUAL(rig_status(&other), 200);
		CU_ASSERT_FALSE(other.ended);
		rig_run(&r, 50);
		/* An answer that is not complete must not look so. */
		CU_ASSERT(c.answer == NULL && c.ended);
		CU_ASSERT_EQUAL(r.nodes[0].target.runs, 1);
		CU_ASSERT_EQUAL(
		    g_hash_table_size(r.nodes[0].proxy->entry.requests), 0);
		rig_call_end(&c);
		rig_call_end(&other);
		if (ends[i] == LINK_MALFORMED || ends[i] == LINK_SILENT)
			bufferevent_free(l.bev);
		evconnlistener_free(peer.listener);
		rig_stop(&r);
	}
}

/*
 * Guards against a complete answer that resets its caller's connection, as the
 * frame that ends it is lost with the link.  The next request on the connection
 * is sent to another target.
 */
static void
complete_body_without_its_end_is_whole(void)
{
	static const struct {
		int64_t length;
		size_t sent;
		int whole;
	} cases[] = { { 60000, 60000, 1 }, { 60000, 59999, 0 },
		{ -1, 60000, 0 } };
	struct mute_peer peer;
	struct rig_call c;
	struct link l;
	struct rig r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_start(&r, 1);
		view_config_route(r.nodes[0].view->config, 0)->timeout_ms =
		    4000;
		rig_list_target(&r, 0, "other", VIEW_READY);
		mute_peer_start(&r, &peer);
		rig_call(&r, &c, 0, "/run/x", "a", 3500);
		rig_run(&r, 100);
		CU_ASSERT_FATAL(peer.link >= 0);
		mute_peer_link(&r, &peer, &l);
		write_pieces(&l, 1, 200, cases[i].length, cases[i].sent);
		rig_run(&r, 100);
		CU_ASSERT_EQUAL(c.answer != NULL, cases[i].whole);
		rig_list_target(&r, 0, "svc", VIEW_READY);
		call_again(&c, "b");
		rig_run(&r, 50);
		bufferevent_free(l.bev);
		rig_wait(&r, &c);
		CU_ASSERT_EQUAL(c.ended, !cases[i].whole);
		CU_ASSERT_EQUAL(rig_status(&c), cases[i].whole ? 200 : 0);
		rig_call_end(&c);
		evconnlistener_free(peer.listener);
		rig_stop(&r);
	}
}

/* Writes a whole answer with a body of two bytes. */
static void
write_whole(struct link *l, uint32_t stream, uint32_t status)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Answer a = LINK__ANSWER__INIT;

	f.stream = stream;
	f.body_case = LINK__FRAME__BODY_ANSWER;
	f.answer = &a;
	a.outcome = OUTCOME_ANSWERED;
	a.status = status;
	a.body.data = (uint8_t *)"no";
	a.body.len = 2;
	link_pack_frame(bufferevent_get_output(l->bev), &f);
}

/*
 * Guards against a status such as 000 that a node of an earlier version passes
 * on, whole or as the head of a long answer, and against the body of a 304: a
 * caller would take it for its next answer.
 */
static void
status_out_of_range_is_no_answer(void)
{
	static const struct {
		uint32_t status;
		int more, expected;
	} cases[] = { { 200, 0, 200 }, { 0, 0, 502 }, { 99, 0, 502 },
		{ 150, 0, 502 }, { 600, 0, 502 }, { G_MAXUINT32, 0, 502 },
		{ 0, 1, 502 }, { 600, 1, 502 }, { 304, 0, 304 },
		{ 304, 1, 502 } };
	struct mute_peer peer;
	struct rig_call c;
	struct link l;
	struct rig r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig_start(&r, 1);
		view_config_route(r.nodes[0].view->config, 1)->timeout_ms =
		    4000;
		rig_list_target(&r, 0, "other", VIEW_READY);
		mute_peer_start(&r, &peer);
		rig_call(&r, &c, 0, "/once/x", "a", 3500);
		rig_run(&r, 100);
		CU_ASSERT_FATAL(peer.link >= 0);
		mute_peer_link(&r, &peer, &l);
		if (cases[i].more)
			write_pieces(&l, 1, cases[i].status, 40000, 100);
		else
			write_whole(&l, 1, cases[i].status);
		rig_run(&r, 100);
		CU_ASSERT_EQUAL(rig_status(&c), cases[i].expected);
		if (rig_status(&c) != cases[i].expected)
			printf("%u, %d: %d\n", cases[i].status, cases[i].more,
			    rig_status(&c));
		/* Nothing follows the answer on the caller's connection. */
		CU_ASSERT_EQUAL(
		    evbuffer_get_length(bufferevent_get_input(c.bev)), 0);
		rig_call_end(&c);
		bufferevent_free(l.bev);
		evconnlistener_free(peer.listener);
		rig_stop(&r);
	}
}

static const struct test tests[] = {
	{ "status out of range is no answer",
	    status_out_of_range_is_no_answer },
	{ "answers outlive the process", answers_outlive_the_process },
	{ "complete body without its end is whole",
	    complete_body_without_its_end_is_whole },
	{ "lost link cancels requests behind a broken answer",
	    lost_link_cancels_requests_behind_a_broken_answer },
	{ "other nodes are told before the exit",
	    other_nodes_are_told_before_the_exit },
	{ "lost link leaves the connection open",
	    lost_link_leaves_the_connection_open },
};

TEST_MAIN("link_lost", tests)
