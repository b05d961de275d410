/* How an entry reaches a guard whose connection is lost or cannot come about.
 */
#include <unistd.h>

#include <sodium.h>

#include "../node/entry_int.h"
#include "../node/gossip.h"
#include "test.h"

#define PORT_BASE 30000
#define PORT_SPAN 20000
#define CALLS	  8
#define REACH_MS  3000 /* for a handshake and what waits behind it */
#define STEP_US	  1000
#define GUARD	  "vm-b"

/* An entry, and the other end of its link in place of a guard. */
struct world {
	struct node entry;
	struct link *guard;
	char addr[ADDRESS_MAX]; /* of the guard */
	struct entry_call calls[CALLS];
	int asked[CALLS]; /* questions that came, by call */
};

/* Fleet keys: the entry uses the first and accepts both. */
static const struct fleet_keys entry_keys = { { { 1 }, { 2 } }, 2 };

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

/* Calls of which some were sent to the guard and are silent since. */
static void
world_start(struct world *w, const struct fleet_keys *guard_keys, int sent)
{
	struct node *n = &w->entry;
	struct entry_call *ec;
	char self[ADDRESS_MAX];
	int port = PORT_BASE + (int)(getpid() % PORT_SPAN), i;

	memset(w, 0, sizeof(*w));
	g_snprintf(self, sizeof(self), "127.0.0.81:%d", port);
	g_snprintf(w->addr, sizeof(w->addr), "127.0.0.82:%d", port);
	n->settings.name = (char *)"vm-a";
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

static const struct test tests[] = {
	{ "all calls ask after one silence", all_calls_ask_after_one_silence },
};

TEST_MAIN("send", tests)
