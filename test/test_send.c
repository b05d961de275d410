/* How an entry reaches a guard whose connection is lost or cannot come about.
 */
#include <unistd.h>

#include <sodium.h>

#include "../node/entry_int.h"
#include "../node/gossip.h"
#include "test.h"

#define PORT_BASE 10000
#define PORT_SPAN 20000
#define CALLS	  8
#define REACH_MS  3000 /* for a handshake and what waits behind it */
#define STEP_US	  1000
#define GUARD	  "vm-b"

/* An entry, and the other end of its link in place of a guard. */
struct world {
	struct node entry;
	struct fleet_keys guard_keys;
	struct link *guard;
	char addr[ADDRESS_MAX]; /* of the guard */
	struct entry_call calls[CALLS];
	int asked[CALLS]; /* questions that came, by call */
};

/* Fleet keys: a node uses the first and accepts both. */
static const struct fleet_keys entry_keys = { { { 1 }, { 2 } }, 2 };
static const struct fleet_keys next_keys = { { { 2 }, { 1 } }, 2 };

static void
on_guard(void *arg, const char *peer, const struct link_route *from,
    Wire__Envelope *env, size_t bytes)
{
	struct world *w = arg;
	int i;

	(void)peer;
	(void)from;
	(void)bytes;
	for (i = 0; i < CALLS; i++)
		if (env->body_case == WIRE__ENVELOPE__BODY_FENCE &&
		    env->call == send_number(&w->calls[i]))
			w->asked[i]++;
}

static void
on_entry(void *arg, const char *peer, const struct link_route *from,
    Wire__Envelope *env, size_t bytes)
{
	(void)arg;
	(void)peer;
	(void)from;
	(void)env;
	(void)bytes;
}

static void
on_member(struct node *n, int member)
{
	(void)n;
	(void)member;
}

static void
on_own_state(struct node *n)
{
	(void)n;
}

static const struct gossip_events events = {
	.heard = on_member,
	.own_state = on_own_state,
	.relinked = entry_relinked,
};

/* Calls of which some were sent to the guard and are silent since. */
static void
world_start(struct world *w, const struct fleet_keys *guard_keys, int sent)
{
	struct node *n = &w->entry;
	struct entry_call *ec;
	char self[ADDRESS_MAX];
	int port = PORT_BASE + (int)(getpid() % PORT_SPAN), i;

	memset(w, 0, sizeof(*w));
	w->guard_keys = *guard_keys;
	g_snprintf(self, sizeof(self), "127.0.0.81:%d", port);
	g_snprintf(w->addr, sizeof(w->addr), "127.0.0.82:%d", port);
	n->settings.name = (char *)"vm-a";
	n->settings.listen = n->settings.advertise = g_strdup(self);
	n->gossip_events = &events;
	n->keys = entry_keys;
	n->replays =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < n->keys.count; i++)
		n->prints[i] = key_print(n->keys.key[i]);
	CU_ASSERT_EQUAL_FATAL(gossip_open(n), NODE_OK);
	n->members = members_new("vm-a", self, "dc", 1, 1);
	members_list(n->members, GUARD, w->addr, "dc", 0, 1);
	entry_init(n);
	CU_ASSERT_EQUAL_FATAL(
	    link_open(&n->link, self, &entry_keys, on_entry, w), NODE_OK);
	CU_ASSERT_EQUAL_FATAL(
	    link_open(&w->guard, w->addr, guard_keys, on_guard, w), NODE_OK);
	for (i = 0; i < sent; i++) {
		ec = &w->calls[i];
		ec->number = n->entry->next_number++;
		ec->look_at = INT64_MAX;
		g_strlcpy(ec->vm, GUARD, sizeof(ec->vm));
		g_strlcpy(ec->target, "t", sizeof(ec->target));
		ec->call.once = 1;
		ec->call.deadline = base_now_ms() + 60000;
		call_start(&ec->call, base_now_ms());
		call_sent(&ec->call, base_now_ms());
		g_hash_table_insert(n->entry->calls, &ec->number, ec);
	}
}

static void
world_stop(struct world *w)
{
	g_hash_table_steal_all(w->entry.entry->calls);
	gossip_close(&w->entry);
	g_hash_table_destroy(w->entry.replays);
	g_free(w->entry.settings.listen);
	link_close(w->entry.link);
	link_close(w->guard);
	entry_destroy(&w->entry);
	members_free(w->entry.members);
}

/* Lets both ends receive until so many calls were asked about, or time is up.
 */
static int
asked(struct world *w, int want)
{
	int64_t until = base_now_ms() + REACH_MS;
	int i, n = 0;

	while (n < want && base_now_ms() < until) {
		link_receive(w->entry.link);
		link_receive(w->guard);
		for (i = n = 0; i < CALLS; i++)
			n += w->asked[i] > 0;
		g_usleep(STEP_US);
	}
	return n;
}

/*
 * Guards against: each of the calls that wait for one silent guard drops the
 * connection anew, and the questions of the others with it.
 */
static void
all_calls_ask_after_one_silence(void)
{
	struct world w;
	int64_t now;

	world_start(&w, &entry_keys, CALLS);
	now = w.calls[CALLS - 1].call.wake;
	entry_tick(&w.entry, now);
	entry_tick(&w.entry, now);
	CU_ASSERT_EQUAL(asked(&w, CALLS), CALLS);
	world_stop(&w);
}

/* A datagram of the guard, sealed with the key that it uses. */
static void
guard_tells(struct world *w)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	unsigned char plain[SEAL_MAX], sealed[SEAL_MAX];
	struct sockaddr_in to;
	size_t len;
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	d.kind = KIND_TELL;
	d.from = (char *)GUARD;
	d.boot = d.count = 1;
	len = wire__datagram__pack(&d, plain);
	len = (size_t)seal(w->guard_keys.key[0], w->entry.settings.advertise,
	    plain, len, sealed);
	address_resolve(w->entry.settings.advertise, &to);
	CU_ASSERT_EQUAL(
	    sendto(fd, sealed, len, 0, (struct sockaddr *)&to, sizeof(to)),
	    (ssize_t)len);
	close(fd);
}

/*
 * Guards against: a call to a node that uses another key of the fleet, and was
 * not heard yet, waits for two silences, as its connection cannot come about
 * and what was sent over it is dropped when the key is learnt.
 */
static void
a_key_that_is_learnt_lets_calls_ask(void)
{
	struct world w;
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__Cancel c = WIRE__CANCEL__INIT;

	world_start(&w, &next_keys, 1);
	env.body_case = WIRE__ENVELOPE__BODY_CANCEL;
	env.cancel = &c;
	CU_ASSERT(link_send(w.entry.link, GUARD, w.addr, &env) > 0);
	entry_tick(&w.entry, base_now_ms());
	guard_tells(&w);
	gossip_receive(&w.entry);
	entry_tick(&w.entry, base_now_ms());
	CU_ASSERT_EQUAL(asked(&w, 1), 1);
	world_stop(&w);
}

/*
 * Guards against: the goodbye of a guard's node, its own or one that another
 * node still tells of an earlier process, ends the calls that wait for it.
 */
static void
a_goodbye_ends_no_call(void)
{
	struct world w;
	struct rumour r = { .name = GUARD,
		.dc = "dc",
		.state = MEMBER_LEFT,
		.incarnation = 7 };

	world_start(&w, &entry_keys, CALLS);
	r.addr = w.addr;
	members_rumour(w.entry.members, &r, base_now_ms());
	CU_ASSERT_EQUAL(member_at(w.entry.members, 0)->state, MEMBER_LEFT);
	entry_tick(&w.entry, base_now_ms());
	CU_ASSERT_EQUAL(entry_calls(&w.entry), CALLS);
	entry_tick(&w.entry, w.calls[CALLS - 1].call.wake);
	entry_tick(&w.entry, w.calls[CALLS - 1].call.wake);
	CU_ASSERT_EQUAL(asked(&w, CALLS), CALLS);
	world_stop(&w);
}

static const struct test tests[] = {
	{ "a goodbye ends no call", a_goodbye_ends_no_call },
	{ "a key that is learnt lets calls ask",
	    a_key_that_is_learnt_lets_calls_ask },
	{ "all calls ask after one silence", all_calls_ask_after_one_silence },
};

TEST_MAIN("send", tests)
