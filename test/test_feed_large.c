/* Updates that take the link of a node for long. */
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "../proxy/link_int.h"
#include "../side/follow_int.h"
#include "rig_follow.h"
#include "test.h"

#define DIGESTS	    40000 /* of a frame of 320 KB */
#define PASSES_MAX  25	  /* of the event loop, for such a frame */
#define FRAME_BYTES 100000
#define LINKS_MAX   16
#define PIECE_MS    250	 /* between pieces of a frame that takes long */
#define TRANSFER_MS 3000 /* longer than a publisher may be silent */
#define GIVEN_UP_MS 2000 /* after the last piece */
#define PIECE_BYTES 1000

/* A subscription with many digests, as it is written to a link. */
static struct evbuffer *
make_subscription(void)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Subscribe q = LINK__SUBSCRIBE__INIT;
	struct evbuffer *out = evbuffer_new();
	int i;

	f.body_case = LINK__FRAME__BODY_SUBSCRIBE;
	f.subscribe = &q;
	q.on = q.relay = 1;
	q.n_held = DIGESTS;
	q.held = g_new(uint64_t, DIGESTS);
	for (i = 0; i < DIGESTS; i++)
		q.held[i] = UINT64_MAX - (uint64_t)i;
	link_pack_frame(out, &f);
	g_free(q.held);
	return out;
}

/*
 * Guards against a version that is late as a busy node reads a few KB of it in
 * each pass of its event loop.
 */
static void
large_frame_takes_few_passes(void)
{
	struct evbuffer *out = make_subscription();
	struct sockaddr_in sin;
	struct rig r;
	int fd, passes = 0;

	rig_start(&r, 1);
	address_resolve(r.nodes[0].settings.links, &sin);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	evutil_make_socket_nonblocking(fd);
	/* Only passes with something to read count. */
	while (passes < 1000 && proxy_subscribers(r.nodes[0].proxy,
				    PROXY_SUBSCRIBE_RELAY) == 0) {
		passes += evbuffer_write(out, fd) > 0 ||
			  evbuffer_get_length(out) == 0;
		g_usleep(2000);
		event_base_loop(r.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	}
	CU_ASSERT(passes <= PASSES_MAX);
	close(fd);
	evbuffer_free(out);
	rig_stop(&r);
}

/* Accepts links, and sends a piece of an endless frame on each. */
static int
send_pieces(int listener, int *links, int n)
{
	static const char zeros[PIECE_BYTES];
	uint32_t length = htonl(FRAME_BYTES);
	int i, fd;

	while (n < LINKS_MAX && (fd = accept(listener, NULL, NULL)) >= 0) {
		links[n++] = fd;
		CU_ASSERT_EQUAL(write(fd, &length, sizeof(length)),
		    (ssize_t)sizeof(length));
	}
	for (i = 0; i < n; i++)
		if (write(links[i], zeros, sizeof(zeros)) < 0)
			continue;
	return n;
}

/*
 * Guards against a publisher that is given up as silent while a large update of
 * it arrives, which begins anew at the next one (CONFIG).
 */
static void
publisher_sends_a_large_update(void)
{
	int order[RIG_NODES_MAX], links[LINKS_MAX], fd, n = 0, t, node;
	struct follow_rig w;
	char first[ADDRESS_MAX];
	int64_t slow;

	follow_rig_start(&w);
	follow_rig_order(&w, "north", order);
	follow_rig_list_silent(&w, -1, order[0], &fd, 1);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	/* A node that starts takes the silent one for its publisher. */
	node = order[2];
	follow_stop(w.follows[node]);
	follow_rig_clear_view(&w.rig.nodes[node]);
	follow_rig_start_node(&w, node);
	rig_run(&w.rig, 500);
	g_strlcpy(first, w.follows[node]->feed.publisher.addr, sizeof(first));
	CU_ASSERT(g_str_has_prefix(first, "127.0."));
	slow = counter_get(CTR_PUBLISHER_SLOW);
	for (t = 0; t < TRANSFER_MS; t += PIECE_MS) {
		n = send_pieces(fd, links, n);
		rig_run(&w.rig, PIECE_MS);
	}
	CU_ASSERT_STRING_EQUAL(w.follows[node]->feed.publisher.addr, first);
	CU_ASSERT_EQUAL(counter_get(CTR_PUBLISHER_SLOW), slow);
	/* One that sends no more is given up. */
	rig_run(&w.rig, GIVEN_UP_MS);
	CU_ASSERT_STRING_NOT_EQUAL(w.follows[node]->feed.publisher.addr, first);
	while (n > 0)
		close(links[--n]);
	close(fd);
	follow_rig_stop(&w);
}

static const struct test tests[] = {
	{ "a large frame takes few passes", large_frame_takes_few_passes },
	{ "the publisher sends a large update",
	    publisher_sends_a_large_update },
};

TEST_MAIN("feed_large", tests)
