/* What nodes send each other of the platform's state, and how many bytes. */
#include <arpa/inet.h>
#include <string.h>

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
		CU_ASSERT_EQUAL(w.follows[order[i]]->held_revision,
		    w.follows[order[1]]->held_revision);
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

/*
 * Subscribes to a node as a peer that holds these digests, and counts the items
 * of the first state that it gets; -1 if none arrives.
 */
static int
subscribe_raw(struct follow_rig *w, int node, uint64_t *held, size_t n)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;
	struct link l = { 0 };
	Link__Frame *in;
	struct platform_page p;
	GBytes *full;
	int items = -1, i;

	l.bev = http_connect(w->rig.base, w->rig.nodes[node].settings.links);
	bufferevent_enable(l.bev, EV_READ | EV_WRITE);
	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	q.on = 1;
	q.held = held;
	q.n_held = n;
	write_frame(l.bev, &f);
	for (i = 0; i < 100 && items < 0; i++) {
		rig_run(&w->rig, 5);
		while (items < 0 && link_read_frame(&l, &in) > 0) {
			if (in->body_case == LINK__FRAME__BODY_FEED &&
			    in->feed->length > 0) {
				full = feed_decompress(in->feed->state.data,
				    in->feed->state.len, in->feed->length,
				    NULL);
				state_unpack(g_bytes_get_data(full, NULL),
				    g_bytes_get_size(full), &p);
				items = (int)p.items->len;
				platform_page_clear(&p);
				g_bytes_unref(full);
			}
			link__frame__free_unpacked(in, NULL);
		}
	}
	bufferevent_free(l.bev);
	return items;
}

/* A peer of a former build names no digests, and gets all items. */
static void
peer_gets_the_items_that_it_lacks(void)
{
	struct follow_rig w;
	GArray *held = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t *digests;
	int order[RIG_NODES_MAX];

	start(&w, order);
	held_list(w.follows[order[0]], held);
	digests = (uint64_t *)(void *)held->data;
	CU_ASSERT_EQUAL(held->len, NODES + 1);
	CU_ASSERT_EQUAL(subscribe_raw(&w, order[0], NULL, 0), NODES + 1);
	CU_ASSERT_EQUAL(subscribe_raw(&w, order[0], digests, held->len - 2), 2);
	CU_ASSERT_EQUAL(subscribe_raw(&w, order[0], digests, held->len), 0);
	digests[1] ^= 1;
	CU_ASSERT_EQUAL(subscribe_raw(&w, order[0], digests, held->len), 1);
	g_array_free(held, TRUE);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "held state is not sent again", held_state_is_not_sent_again },
	{ "peer gets the items that it lacks",
	    peer_gets_the_items_that_it_lacks },
};

TEST_MAIN("link state", tests)
