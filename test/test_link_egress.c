/* Links whose output is paced: what waits when a link, a peer or a caller ends.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/listener.h>

#include "../proxy/link_int.h"
#include "rig_stream.h"
#include "test.h"

#define PEER_HOST     "127.0.0.99"
#define SLOW_MBPS     0.002 /* a request takes most of a second */
#define BODY_BYTES    30000 /* of an answer that is not streamed */
#define OUTPUT_MAX    (4 * 1024 * 1024)
#define BYTES_PER_MB  (1024 * 1024)
#define STREAMS	      4	 /* as many as the target has slots */
#define STREAM_STEPS  60 /* of 10 ms, for the sockets to be full */
#define MEMORY_MB     16
#define READ_AHEAD_MB 1 /* a sixteenth of it */

#define HEAD "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"

/* A node that takes links, and reads nothing by itself. */
struct raw_node {
	struct evconnlistener *listener;
	evutil_socket_t fd; /* of the last link, or -1 */
};

static void
on_link(struct evconnlistener *lis, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	(void)lis;
	(void)sa;
	(void)len;
	((struct raw_node *)arg)->fd = fd;
}

/* Changes the rate of a node's link. */
static void
set_rate(struct rig *r, int node, double mbps)
{
	r->nodes[node].settings.link_mbps = mbps;
	proxy_settings_changed(r->nodes[node].proxy);
}

/* Bytes of a class that wait at a node. */
static size_t
queued(const struct rig *r, int node, enum egress_class class)
{
	return egress_queued(&r->nodes[node].proxy->links.egress, class);
}

/*
 * Starts a node whose requests go to the target beside the raw node, on a slow
 * link.
 */
static void
start(struct rig *r, struct raw_node *p)
{
	struct view_target t = { .slots = 4, .state = VIEW_READY };
	struct view_config *config;
	struct sockaddr_in sin;
	char addr[ADDRESS_MAX];

	rig_start(r, 1);
	config = r->nodes[0].view->config;
	view_config_route(config, 0)->timeout_ms =
	    view_config_route(config, 1)->timeout_ms = 3000;
	rig_list_target(r, 0, "other", VIEW_READY);
	g_snprintf(addr, sizeof(addr), PEER_HOST "%s",
	    strrchr(r->nodes[0].settings.links, ':'));
	p->fd = -1;
	if (address_resolve(addr, &sin) != BASE_OK ||
	    (p->listener = evconnlistener_new_bind(r->base, on_link, p,
		 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 4,
		 (struct sockaddr *)&sin, sizeof(sin))) == NULL)
		g_error("the node cannot listen");
	t.revision = r->nodes[0].view->listed_revision;
	t.revision.number++;
	g_strlcpy(t.id, "raw", sizeof(t.id));
	g_strlcpy(t.service, "svc", sizeof(t.service));
	g_snprintf(t.addr, sizeof(t.addr), PEER_HOST ":%d", r->ports);
	g_strlcpy(t.dc, "north", sizeof(t.dc));
	view_set_target(r->nodes[0].view, &t);
	set_rate(r, 0, SLOW_MBPS);
	rig_run(r, 20);
}

/*
 * Guards against a request that is answered with 502 as a node died, although
 * it was never written to the link: it has not run, and goes to another target.
 */
static void
node_dies_with_requests_waiting_for_it(void)
{
	struct rig_call written, waiting[2];
	struct raw_node p;
	struct rig r;
	int i;

	start(&r, &p);
	rig_call(&r, &written, 0, "/once/a", "a", 3000);
	rig_run(&r, 30);
	rig_call(&r, &waiting[0], 0, "/once/b", "b", 3000);
	rig_call(&r, &waiting[1], 0, "/run/c", "c", 3000);
	rig_run(&r, 30);
	CU_ASSERT(p.fd >= 0 && queued(&r, 0, EGRESS_REQUEST) > 0);
	rig_list_target(&r, 0, "svc", VIEW_READY);
	close(p.fd);
	rig_wait(&r, &written);
	CU_ASSERT_EQUAL(rig_status(&written), 502);
	for (i = 0; i < 2; i++) {
		rig_wait(&r, &waiting[i]);
		CU_ASSERT_EQUAL(rig_status(&waiting[i]), 200);
		rig_call_end(&waiting[i]);
	}
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 2);
	CU_ASSERT_EQUAL(queued(&r, 0, EGRESS_REQUEST), 0);
	rig_call_end(&written);
	evconnlistener_free(p.listener);
	rig_stop(&r);
}

/*
 * Guards against a slow answer whose cause cannot be found: the metrics page
 * shows the rate of the link and what waits for it.
 */
static void
gauges_of_the_metrics_page(void)
{
	GString *page = g_string_new(NULL);
	struct rig_call first, waiting;
	struct raw_node p;
	struct rig r;

	start(&r, &p);
	rig_call(&r, &first, 0, "/run/a", "a", 3000);
	rig_run(&r, 30);
	proxy_print_metrics(r.nodes[0].proxy, page);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(page->str, "\nteaselstep_egress_rate_bytes 242\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(page->str,
	    "\nteaselstep_egress_queued_bytes{class=\"request\"} 0\n"));
	rig_call(&r, &waiting, 0, "/run/b", "b", 3000);
	rig_run(&r, 30);
	g_string_truncate(page, 0);
	proxy_print_metrics(r.nodes[0].proxy, page);
	CU_ASSERT_PTR_NULL(strstr(page->str,
	    "\nteaselstep_egress_queued_bytes{class=\"request\"} 0\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    page->str, "\nteaselstep_egress_queued_bytes{class=\"bulk\"} 0\n"));
	g_string_free(page, TRUE);
	rig_call_end(&first);
	rig_call_end(&waiting);
	evconnlistener_free(p.listener);
	rig_stop(&r);
}

/*
 * Guards against answers that are awaited after the node that holds them has
 * died: a request that may be repeated goes to another target.
 */
static void
node_dies_with_answers_waiting(void)
{
	struct rig_call first, again, once;
	struct rig r;

	rig_start(&r, 2);
	rig_list_target(&r, 1, "other", VIEW_READY);
	rig_call(&r, &first, 1, "/run/a", "a", 900);
	rig_wait(&r, &first);
	CU_ASSERT_EQUAL(rig_status(&first), 200);
	rig_call_end(&first);
	set_rate(&r, 0, SLOW_MBPS);
	rig_run(&r, 20);
	rig_call(&r, &first, 1, "/run/b", "b", 900);
	rig_run(&r, 30);
	rig_call(&r, &again, 1, "/run/c", "c", 900);
	rig_call(&r, &once, 1, "/once/d", "d", 900);
	rig_run(&r, 50);
	CU_ASSERT(queued(&r, 0, EGRESS_SHORT) > 0);
	CU_ASSERT(again.answer == NULL && once.answer == NULL);
	rig_list_target(&r, 1, "svc", VIEW_READY);
	rig_list_target(&r, 0, "other", VIEW_READY);
	rig_restart(&r, 0);
	rig_wait(&r, &again);
	rig_wait(&r, &once);
	CU_ASSERT_EQUAL(rig_status(&again), 200);
	CU_ASSERT_EQUAL(rig_status(&once), 502);
	CU_ASSERT_EQUAL(r.nodes[1].target.runs, 1);
	rig_call_end(&first);
	rig_call_end(&again);
	rig_call_end(&once);
	rig_stop(&r);
}

/* Appends the kinds of the frames that a node received. */
static void
list_frames(struct link *l, GString *out)
{
	Link__Frame *f;
	int n;

	while ((n = link_read_frame(l, &f)) > 0) {
		if (f->body_case == LINK__FRAME__BODY_REQUEST)
			g_string_append_printf(
			    out, "request %s,", f->request->path);
		else if (f->body_case == LINK__FRAME__BODY_CANCEL)
			g_string_append(out, "cancel,");
		link__frame__free_unpacked(f, NULL);
	}
	CU_ASSERT_EQUAL(n, 0);
}

/*
 * Guards against a cancel that precedes its request, and against half a frame
 * on a link: a request that waits is not sent at all when its caller leaves,
 * one that is written in part is completed and then cancelled.
 */
static void
cancel_of_a_request_that_waits(void)
{
	GString *text = g_string_new("POST /run/c HTTP/1.1\r\nHost: rig\r\n"
				     "X-Attempt-Id: c\r\n"
				     "Content-Length: 30000\r\n\r\n"),
		*frames = g_string_new(NULL);
	struct rig_call first, waiting, part;
	struct link in = { 0 };
	struct raw_node p;
	struct rig r;

	start(&r, &p);
	rig_call(&r, &first, 0, "/run/a", "a", 3000);
	rig_run(&r, 30);
	rig_call(&r, &waiting, 0, "/run/b", "b", 3000);
	rig_run(&r, 30);
	CU_ASSERT(queued(&r, 0, EGRESS_REQUEST) > 0);
	rig_call_end(&waiting);
	rig_run(&r, 10);
	CU_ASSERT_EQUAL(queued(&r, 0, EGRESS_REQUEST), 0);
	set_rate(&r, 0, 0.2);
	g_string_set_size(text, text->len + 30000);
	memset(text->str + text->len - 30000, 'x', 30000);
	rig_send_raw(&r, &part, 0, text->str);
	rig_run(&r, 120);
	CU_ASSERT(queued(&r, 0, EGRESS_REQUEST) > 0);
	CU_ASSERT(queued(&r, 0, EGRESS_REQUEST) < 30000);
	rig_call_end(&part);
	rig_run(&r, 10);
	CU_ASSERT(queued(&r, 0, EGRESS_CONTROL) > 0);
	set_rate(&r, 0, 0);
	rig_run(&r, 20);
	CU_ASSERT_EQUAL(queued(&r, 0, EGRESS_REQUEST), 0);
	in.bev = bufferevent_socket_new(r.base, p.fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(in.bev, EV_READ);
	rig_run(&r, 20);
	list_frames(&in, frames);
	CU_ASSERT_STRING_EQUAL(
	    frames->str, "request /run/a,request /run/c,cancel,");
	rig_call_end(&first);
	bufferevent_free(in.bev);
	evconnlistener_free(p.listener);
	rig_stop(&r);
	g_string_free(text, TRUE);
	g_string_free(frames, TRUE);
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
 * Guards against a peer that does not read: its answers take memory without
 * bound, or delay those to other nodes.
 */
static void
peer_that_does_not_read(void)
{
	char *body = g_strnfill(BODY_BYTES, 'x'),
	     *script = g_strdup_printf(
		 HEAD "Content-Length: %d\r\n\r\n%s", BODY_BYTES, body);
	struct sockaddr_in sin;
	struct rig_call other;
	struct link l = { 0 };
	struct rig r;
	size_t most = 0;
	guint links;
	int fd, i, small = 2048, served = 0;

	rig_start(&r, 2);
	rig_list_target(&r, 1, "other", VIEW_READY);
	rig_script(&r, 0, script, RIG_KEEP);
	set_rate(&r, 0, 200);
	rig_call(&r, &other, 1, "/run/x", "first", 900);
	rig_wait(&r, &other);
	CU_ASSERT_EQUAL(rig_status(&other), 200);
	rig_call_end(&other);
	address_resolve(r.nodes[0].settings.links, &sin);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	evutil_make_socket_nonblocking(fd);
	l.bev = bufferevent_socket_new(r.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_disable(l.bev, EV_READ);
	bufferevent_enable(l.bev, EV_WRITE);
	rig_run(&r, 20);
	links = g_hash_table_size(r.nodes[0].proxy->links.in);
	CU_ASSERT_EQUAL(links, 2);
	for (i = 1;
	     i <= 800 && g_hash_table_size(r.nodes[0].proxy->links.in) == links;
	     i++) {
		write_request(&l, (uint32_t)i);
		rig_run(&r, 4);
		most = MAX(most, queued(&r, 0, EGRESS_SHORT));
		if (i % 50 != 0)
			continue;
		rig_call(&r, &other, 1, "/run/x", "other", 900);
		rig_wait(&r, &other);
		served += rig_status(&other) == 200 && other.took_ms < 400;
		CU_ASSERT_EQUAL(rig_status(&other), 200);
		rig_call_end(&other);
	}
	CU_ASSERT(served > 0 && served == (i - 1) / 50);
	CU_ASSERT_EQUAL(g_hash_table_size(r.nodes[0].proxy->links.in), 1);
	/* The links are checked each 100 ms. */
	CU_ASSERT(most > 0 && most < OUTPUT_MAX + OUTPUT_MAX / 2);
	CU_ASSERT_EQUAL(queued(&r, 0, EGRESS_SHORT), 0);
	rig_call(&r, &other, 1, "/run/x", "after", 900);
	rig_wait(&r, &other);
	CU_ASSERT_EQUAL(rig_status(&other), 200);
	rig_call_end(&other);
	bufferevent_free(l.bev);
	rig_stop(&r);
	g_free(script);
	g_free(body);
}

/*
 * Guards against callers that do not read their downloads: what the target
 * sends for them stays bounded in the node, and further requests are refused as
 * not run.  Admission by bytes does not count them, as they take no link.
 */
static void
streams_that_wait_are_bounded(void)
{
	static struct rig_client t[STREAMS];
	struct rig_stream s = { .begin =
				    HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef0123456789abcdef" };
	size_t most = 0, bound;
	struct rig r;
	int i;

	rig_stream_start(&r, &s);
	r.nodes[0].settings.memory_mb = MEMORY_MB;
	set_rate(&r, 0, 1000);
	rig_run(&r, 20);
	rig_client_start(&r, &t[0], 1, "1.1");
	bufferevent_disable(t[0].bev, EV_READ);
	for (i = 0; i < STREAM_STEPS && most <= READ_AHEAD_MB * BYTES_PER_MB;
	     i++) {
		rig_run(&r, 10);
		most = MAX(most, queued(&r, 0, EGRESS_BULK));
	}
	for (i = 1; i < STREAMS; i++) {
		rig_client_start(&r, &t[i], 1, "1.1");
		rig_run(&r, 20);
		most = MAX(most, queued(&r, 0, EGRESS_BULK));
		CU_ASSERT_FATAL(t[i].whole);
		CU_ASSERT_EQUAL(t[i].parse.msg->status, 503);
		CU_ASSERT_PTR_NOT_NULL(
		    http_find(t[i].parse.msg, "Retry-After"));
	}
	/* Beyond it, each slot of the target may send a window. */
	bound = READ_AHEAD_MB * BYTES_PER_MB + (size_t)4 * STREAM_WINDOW;
	CU_ASSERT(most > READ_AHEAD_MB * BYTES_PER_MB);
	CU_ASSERT(most <= bound);
	for (i = 0; i < STREAMS; i++)
		rig_client_end(&t[i]);
	rig_run(&r, 100);
	CU_ASSERT_EQUAL(queued(&r, 0, EGRESS_BULK), 0);
	CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
}

/*
 * Guards against downloads that are lost with a node that stops while they wait
 * for its link: it takes no more of them than can leave before it exits.
 */
static void
draining_node_counts_what_waits_for_its_link(void)
{
	struct rig_stream s = { .begin =
				    HEAD "Content-Length: 400000000\r\n\r\n",
		.again = "0123456789abcdef0123456789abcdef" };
	struct rig_client t;
	struct rig_call c;
	struct rig r;

	rig_stream_start(&r, &s);
	set_rate(&r, 0, 1);
	rig_client_start(&r, &t, 1, "1.1");
	rig_run(&r, 100);
	/* A megabyte takes 8 s. */
	CU_ASSERT(queued(&r, 0, EGRESS_BULK) > 500000);
	r.nodes[0].settings.grace_ms = 800;
	proxy_drain(r.nodes[0].proxy);
	rig_call(&r, &c, 1, "/run/x", "x", 900);
	rig_run(&r, 50);
	CU_ASSERT_EQUAL(rig_status(&c), 503);
	rig_call_end(&c);
	rig_client_end(&t);
	CU_ASSERT_EQUAL(rig_stream_stop(&r, &s), 0);
}

static const struct test tests[] = {
	{ "node dies with requests waiting for it",
	    node_dies_with_requests_waiting_for_it },
	{ "gauges of the metrics page", gauges_of_the_metrics_page },
	{ "node dies with answers waiting", node_dies_with_answers_waiting },
	{ "cancel of a request that waits", cancel_of_a_request_that_waits },
	{ "peer that does not read", peer_that_does_not_read },
	{ "streams that wait are bounded", streams_that_wait_are_bounded },
	{ "draining node counts what waits for its link",
	    draining_node_counts_what_waits_for_its_link },
};

TEST_MAIN("link_egress", tests)
