/* Links between nodes: the platform's state that they send, and their end. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../proxy/link.pb-c.h"
#include "../proxy/link_int.h"
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define NODES	  6
#define NROUTES	  1200 /* of the large configuration */
#define SETTLE_MS 1500

static const char *const north = "north";

/* Writes a configuration whose text hardly compresses. */
static void
put_large_config(struct store *s, int version, int timeout_ms)
{
	GString *out = g_string_new(NULL);
	GRand *rand = g_rand_new_with_seed(1);
	int i;

	g_string_append_printf(out,
	    "{\"Version\":%d,\"Services\":[{\"Name\":\"svc\","
	    "\"HealthCheckPath\":\"/health\",\"MaxConnections\":100,"
	    "\"WarmupS\":3.0,\"WarmupPerS\":20.0}],\"Limits\":{"
	    "\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":65536,"
	    "\"HeaderTimeoutMs\":300,\"IdleTimeoutMs\":5000},"
	    "\"VirtualHosts\":[{\"Host\":\"rig\",\"PathRules\":[",
	    version);
	for (i = 0; i < NROUTES; i++)
		g_string_append_printf(out,
		    "%s{\"Name\":\"r%d\",\"Prefix\":\"/%08x%08x/\","
		    "\"Kind\":\"idempotent\",\"TimeoutMs\":%d,"
		    "\"TargetLatencyMs\":400,\"Priority\":1,\"Attempts\":2,"
		    "\"Service\":\"svc\"}",
		    i > 0 ? "," : "", i, g_rand_int(rand), g_rand_int(rand),
		    timeout_ms);
	g_string_append(out, "]}]}");
	store_put(s, "op/config", out->str);
	g_string_free(out, TRUE);
	g_rand_free(rand);
}

/* Bytes of a node's configuration when compressed. */
static int64_t
config_bytes(struct follow_rig *w, int node)
{
	struct platform_item *it;
	int64_t n = 0;
	GBytes *c;
	gsize len;
	const char *text;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w->follows[node]->held);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		it = value;
		if (it->kind != PLATFORM_CONFIG)
			continue;
		text = g_bytes_get_data(it->value, &len);
		c = feed_compress(text, len, NULL);
		n = (int64_t)g_bytes_get_size(c);
		g_bytes_unref(c);
	}
	return n;
}

/* Starts the nodes with a large configuration; orders them by rank. */
static void
start(struct follow_rig *w, int *order)
{
	int i;

	follow_rig_start_in(w, NODES, &north, 1);
	put_large_config(w->store, 2, 1000);
	rig_run(&w->rig, SETTLE_MS);
	CU_ASSERT_EQUAL(follow_rig_order(w, "north", order), NODES);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(w, i), 2);
}

/*
 * Guards against incident LOST on rampcare-tema-grown: all nodes of a data
 * centre subscribed to the next one, which sent each of them the configuration
 * that they had, and requests were lost behind it.
 */
static void
held_state_is_not_sent_again(void)
{
	int i, order[RIG_NODES_MAX];
	struct follow_rig w;
	int64_t before;

	start(&w, order);
	before = counter_get(CTR_LINK_BYTES);
	follow_drain(w.follows[order[0]]);
	rig_run(&w.rig, SETTLE_MS);
	CU_ASSERT(
	    counter_get(CTR_LINK_BYTES) - before < config_bytes(&w, order[1]));
	/* The new publisher sends what changes from now on. */
	follow_rig_put_target(&w, order[5], "draining");
	put_large_config(w.store, 3, 2000);
	rig_run(&w.rig, SETTLE_MS);
	for (i = 1; i < NODES; i++) {
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, order[i]), 3);
		CU_ASSERT_EQUAL(
		    view_revision_compare(w.follows[order[i]]->held_revision,
			w.follows[order[1]]->held_revision),
		    0);
	}
	follow_rig_stop(&w);
}

/* Writes a frame to a raw connection. */
static void
write_frame(struct bufferevent *bev, const Link__Frame *f)
{
	size_t len = link__frame__get_packed_size(f);
	uint32_t be = htonl((uint32_t)len);
	uint8_t *buf = g_malloc(len);

	link__frame__pack(f, buf);
	bufferevent_write(bev, &be, sizeof(be));
	bufferevent_write(bev, buf, len);
	g_free(buf);
}

/* A peer that subscribes over a raw connection, and its first update. */
struct raw_peer {
	uint64_t *held, *bases; /* digests that it names */
	size_t nheld, nbases;
	GBytes *base; /* value of its base */
	int items;    /* in the update; -1: none arrived */
	uint64_t against;
	int64_t bytes; /* of the update, compressed */
};

/* Reads an update's items; those compressed with a base need the peer's. */
static void
read_feed(struct raw_peer *p, const Link__Feed *feed)
{
	struct platform_page page;
	GBytes *full;

	p->against = feed->against;
	p->bytes = (int64_t)feed->state.len;
	full = feed_decompress(feed->state.data, feed->state.len, feed->length,
	    feed->against != 0 ? p->base : NULL);
	if (full == NULL || state_unpack(g_bytes_get_data(full, NULL),
				g_bytes_get_size(full), &page) != PLATFORM_OK)
		g_error("an update cannot be read");
	p->items = (int)page.items->len;
	platform_page_clear(&page);
	g_bytes_unref(full);
}

/* Subscribes to a node, and waits for the first update. */
static void
subscribe_raw(struct follow_rig *w, int node, struct raw_peer *p)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;
	struct link l = { 0 };
	Link__Frame *in;
	int i;

	l.bev = http_connect(w->rig.base, w->rig.nodes[node].settings.links);
	bufferevent_enable(l.bev, EV_READ | EV_WRITE);
	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	q.on = 1;
	q.held = p->held;
	q.n_held = p->nheld;
	q.bases = p->bases;
	q.n_bases = p->nbases;
	write_frame(l.bev, &f);
	p->items = -1;
	for (i = 0; i < 100 && p->items < 0; i++) {
		rig_run(&w->rig, 5);
		while (p->items < 0 && link_read_frame(&l, &in) > 0) {
			if (in->body_case == LINK__FRAME__BODY_FEED &&
			    in->feed->length > 0)
				read_feed(p, in->feed);
			link__frame__free_unpacked(in, NULL);
		}
	}
	bufferevent_free(l.bev);
}

/* A peer of a former build names no digests, and gets all items. */
static void
peer_gets_the_items_that_it_lacks(void)
{
	struct follow_rig w;
	struct raw_peer p = { 0 };
	GArray *held = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	int order[RIG_NODES_MAX], n = NODES + 1;

	start(&w, order);
	held_list(w.follows[order[0]], held);
	/* All items, and again the value that is large enough for a base. */
	CU_ASSERT_EQUAL(held->len, n + 1);
	subscribe_raw(&w, order[0], &p);
	CU_ASSERT_EQUAL(p.items, n);
	p.held = (uint64_t *)(void *)held->data;
	p.nheld = (size_t)n - 2;
	subscribe_raw(&w, order[0], &p);
	CU_ASSERT_EQUAL(p.items, 2);
	p.nheld = (size_t)n;
	subscribe_raw(&w, order[0], &p);
	CU_ASSERT_EQUAL(p.items, 0);
	p.held[1] ^= 1;
	subscribe_raw(&w, order[0], &p);
	CU_ASSERT_EQUAL(p.items, 1);
	g_array_free(held, TRUE);
	follow_rig_stop(&w);
}

/* Guards against the same: the first change was sent whole to each of them. */
static void
first_change_is_a_delta(void)
{
	int i, order[RIG_NODES_MAX];
	struct follow_rig w;
	int64_t before;

	start(&w, order);
	follow_drain(w.follows[order[0]]);
	rig_run(&w.rig, SETTLE_MS);
	before = counter_get(CTR_LINK_BYTES);
	put_large_config(w.store, 3, 2000);
	rig_run(&w.rig, SETTLE_MS);
	CU_ASSERT(
	    counter_get(CTR_LINK_BYTES) - before < config_bytes(&w, order[1]));
	for (i = 1; i < NODES; i++)
		CU_ASSERT_EQUAL(follow_rig_config_version(&w, order[i]), 3);
	follow_rig_stop(&w);
}

/*
 * A subscriber that is a version behind gets the difference; one that is ahead
 * names what it had before, and does not get that again.
 */
static void
former_version_is_a_base(void)
{
	GArray *bases = g_array_new(FALSE, FALSE, sizeof(struct proxy_base));
	GArray *held = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct raw_peer p = { 0 };
	struct proxy_base old;
	struct follow_rig w;
	int order[RIG_NODES_MAX], found = 0;
	guint i;

	start(&w, order);
	held_list_bases(w.follows[order[0]], bases);
	CU_ASSERT_EQUAL_FATAL(bases->len, 1);
	old = g_array_index(bases, struct proxy_base, 0);
	put_large_config(w.store, 3, 2000);
	rig_run(&w.rig, SETTLE_MS);
	held_list(w.follows[order[0]], held);
	for (i = 0; i < held->len; i++)
		found += g_array_index(held, uint64_t, i) == old.digest;
	CU_ASSERT_EQUAL(found, 1);
	p.held = p.bases = &old.digest;
	p.nheld = p.nbases = 1;
	p.base = old.value;
	subscribe_raw(&w, order[0], &p);
	CU_ASSERT_EQUAL(p.items, NODES + 1);
	CU_ASSERT_EQUAL(p.against, old.digest);
	CU_ASSERT(p.bytes < config_bytes(&w, order[0]) / 4);
	g_bytes_unref(old.value);
	g_array_free(bases, TRUE);
	g_array_free(held, TRUE);
	follow_rig_stop(&w);
}

/*
 * A node that subscribes again on the same link still gets updates of the
 * earlier subscription.  Their base may be gone, which is no error; that of an
 * update of the present one must be there.
 */
static void
update_of_earlier_subscription_is_dropped(void)
{
	Link__Feed feed = LINK__FEED__INIT;
	int order[RIG_NODES_MAX];
	struct follow_rig w;
	struct links *ls;
	struct link *l;

	start(&w, order);
	ls = &w.rig.nodes[order[2]].proxy->links;
	proxy_subscribe(w.rig.nodes[order[2]].proxy, PROXY_SLOT_PUBLISHER,
	    w.rig.nodes[order[0]].settings.target, PROXY_SUBSCRIBE_READ);
	l = ls->publishers[PROXY_SLOT_PUBLISHER];
	if (l == NULL)
		g_error("the node has no publisher");
	CU_ASSERT_EQUAL_FATAL(l->subscription, 2);
	feed.length = 100;
	feed.against = 12345;
	feed.subscription = 1;
	link_receive_feed(l, &feed);
	CU_ASSERT_PTR_EQUAL(ls->publishers[PROXY_SLOT_PUBLISHER], l);
	feed.subscription = 2;
	link_receive_feed(l, &feed);
	CU_ASSERT_PTR_NOT_EQUAL(ls->publishers[PROXY_SLOT_PUBLISHER], l);
	follow_rig_stop(&w);
}

/* A publisher of a former build numbers no subscriptions and knows no bases. */
static void
update_of_former_build_is_read(void)
{
	GString *whole = g_string_new(NULL);
	GBytes *base, *state, *delta;
	Link__Feed feed = LINK__FEED__INIT;
	int order[RIG_NODES_MAX];
	struct follow_rig w;
	struct link *l;

	start(&w, order);
	l = w.rig.nodes[order[2]].proxy->links.publishers[0];
	if (l == NULL)
		g_error("the node has no publisher");
	held_write(w.follows[order[0]], &(struct proxy_held){ 0 }, whole);
	base = g_bytes_new(whole->str, whole->len);
	state = feed_compress(whole->str, whole->len, NULL);
	delta = feed_compress(whole->str, whole->len, base);
	feed.length = (uint32_t)whole->len;
	feed.number = 7;
	feed.state.data = (uint8_t *)g_bytes_get_data(state, NULL);
	feed.state.len = g_bytes_get_size(state);
	link_receive_feed(l, &feed);
	CU_ASSERT_EQUAL(l->base_number, 7);
	feed.against = 7;
	feed.number = 8;
	feed.state.data = (uint8_t *)g_bytes_get_data(delta, NULL);
	feed.state.len = g_bytes_get_size(delta);
	link_receive_feed(l, &feed);
	CU_ASSERT_EQUAL(l->base_number, 8);
	CU_ASSERT_PTR_EQUAL(
	    w.rig.nodes[order[2]].proxy->links.publishers[0], l);
	g_bytes_unref(base);
	g_bytes_unref(state);
	g_bytes_unref(delta);
	g_string_free(whole, TRUE);
	follow_rig_stop(&w);
}

/* Listens on an address of no node; the caller closes the socket. */
static int
listen_silently(const struct rig *r, char *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;
	struct sockaddr_in sin;

	g_snprintf(addr, ADDRESS_MAX, "127.0.0.201:%d", r->ports);
	address_resolve(addr, &sin);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 8) != 0)
		g_error("cannot listen on %s", addr);
	return fd;
}

/* Records the outcome of a job. */
static void
on_job_done(struct job *j, const struct job_result *r)
{
	*(int *)j->arg = (int)r->outcome;
}

/*
 * Guards against the same: a node whose output is full of updates took other
 * nodes for silent, whose answers were due.  A subscriber has received them all
 * when it answers the ping after them.
 */
static void
link_is_not_silent_behind_updates(void)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;
	Link__Pong pong = LINK__PONG__INIT;
	int order[RIG_NODES_MAX], fd, outcome = OUTCOME_COUNT;
	struct job job = { .service = "svc", .caller = "", .id = "a" };
	char addr[ADDRESS_MAX];
	struct bufferevent *bev;
	struct follow_rig w;

	start(&w, order);
	bev = http_connect(w.rig.base, w.rig.nodes[order[0]].settings.links);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	q.on = 1;
	write_frame(bev, &f);
	rig_run(&w.rig, 50);
	fd = listen_silently(&w.rig, addr);
	job.msg = http_message_new();
	job.msg->method = g_strdup("GET");
	job.msg->path = g_strdup("/run/x");
	job.deadline = base_now_ms() + 5000;
	job.done = on_job_done;
	job.arg = &outcome;
	links_submit(&w.rig.nodes[order[0]].proxy->links, addr, &job);
	rig_run(&w.rig, 1200);
	CU_ASSERT_EQUAL(outcome, (int)OUTCOME_COUNT);
	f.body_case = LINK__FRAME__BODY_PONG;
	f.pong = &pong;
	write_frame(bev, &f);
	rig_run(&w.rig, 200);
	CU_ASSERT_EQUAL(outcome, (int)OUTCOME_COUNT);
	rig_run(&w.rig, 600);
	CU_ASSERT_EQUAL(outcome, (int)OUTCOME_UNKNOWN);
	http_message_free(job.msg);
	bufferevent_free(bev);
	close(fd);
	follow_rig_stop(&w);
}

/*
 * Guards against 502 for a request that nothing had read: closing the listener
 * reset the connections that were not accepted yet.
 */
static void
request_on_waiting_link_is_answered(void)
{
	Link__Frame f = LINK__FRAME__INIT, *in;
	Link__Request q = LINK__REQUEST__INIT;
	struct sockaddr_in sin;
	struct link l = { 0 };
	struct rig r;
	int fd, i, answered = 0;

	rig_start(&r, 1);
	address_resolve(r.nodes[0].settings.links, &sin);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	evutil_make_socket_nonblocking(fd);
	l.bev = bufferevent_socket_new(r.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(l.bev, EV_READ | EV_WRITE);
	f.stream = 1;
	f.body_case = LINK__FRAME__BODY_REQUEST;
	f.request = &q;
	q.method = "GET";
	q.path = "/run/x";
	q.service = "svc";
	q.id = "a";
	q.remaining_ms = 900;
	write_frame(l.bev, &f);
	proxy_guard_set_state(
	    &r.nodes[0].proxy->guard, PROXY_GUARD_DRAINING, "test");
	links_drain(&r.nodes[0].proxy->links);
	for (i = 0; i < 40 && !answered; i++) {
		rig_run(&r, 5);
		while (link_read_frame(&l, &in) > 0) {
			if (in->body_case == LINK__FRAME__BODY_ANSWER) {
				answered = 1;
				CU_ASSERT_EQUAL(
				    in->answer->outcome, OUTCOME_OUT);
			}
			link__frame__free_unpacked(in, NULL);
		}
	}
	CU_ASSERT(answered);
	CU_ASSERT_EQUAL(r.nodes[0].target.runs, 0);
	bufferevent_free(l.bev);
	rig_stop(&r);
}

static const struct test tests[] = {
	{ "held state is not sent again", held_state_is_not_sent_again },
	{ "peer gets the items that it lacks",
	    peer_gets_the_items_that_it_lacks },
	{ "first change is a delta", first_change_is_a_delta },
	{ "former version is a base", former_version_is_a_base },
	{ "update of former build is read", update_of_former_build_is_read },
	{ "link is not silent behind updates",
	    link_is_not_silent_behind_updates },
	{ "request on waiting link is answered",
	    request_on_waiting_link_is_answered },
	{ "update of earlier subscription is dropped",
	    update_of_earlier_subscription_is_dropped },
};

TEST_MAIN("links", tests)
