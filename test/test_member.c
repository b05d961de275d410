/* Membership: suspicion, refutation, isolation, and bounded traffic. */
#include <string.h>

#include "../mesh/member.h"
#include "test.h"

static struct members *m;
static int64_t now;

/* A table with n listed members, at time 1000. */
static void
begin(int n)
{
	char name[16];
	int i;

	now = 1000;
	m = members_new("self", "127.0.0.1:1", "dc", 100, 1);
	members_list_begin(m);
	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "vm-%d", i);
		members_list_add(m, name, "127.0.0.1:2", "dc", 0, 1);
	}
	members_list_end(m);
}

static void
end(void)
{
	members_free(m);
}

/*
 * Passes time and acknowledges all probes but those to the silent member; -1
 * for none, -2 for all.  Returns the number of datagrams sent.
 */
static int
run(int64_t ms, int silent)
{
	struct member_send s;
	struct rumour r;
	struct member *p;
	int64_t until = now + ms;
	int sent = 0;

	for (; now < until; now += 50) {
		members_tick(m, now);
		while (members_next_send(m, &s)) {
			sent++;
			if (s.kind != KIND_PROBE || s.to == silent ||
			    silent == -2)
				continue;
			p = member_at(m, s.to);
			r = (struct rumour){
				.name = p->name, .addr = p->addr, .dc = p->dc
			};
			members_receive(m, &r, 1, now);
			members_ack(m, s.to, s.probe, now);
		}
	}
	return sent;
}

static void
silent_member_is_suspect_then_dead(void)
{
	begin(3);
	run(MEMBER_PERIOD_MS * 5, 1);
	CU_ASSERT(member_at(m, 1)->state >= MEMBER_SUSPECT);
	CU_ASSERT_FALSE(member_usable(member_at(m, 1)));
	run(MEMBER_SUSPECT_MS + 1000, 1);
	CU_ASSERT_EQUAL(member_at(m, 1)->state, MEMBER_DEAD);
	CU_ASSERT(member_usable(member_at(m, 0)));
	/* A dead member is still probed, and is alive once it replies. */
	run(MEMBER_PERIOD_MS * MEMBER_DEAD_EVERY * 3, -1);
	CU_ASSERT_EQUAL(member_at(m, 1)->state, MEMBER_ALIVE);
	end();
}

static void
isolated_node_declares_nobody_dead(void)
{
	begin(5);
	run(MEMBER_PERIOD_MS * 2, -1);
	run(60000, -2);
	CU_ASSERT(members_isolated(m, now));
	/* Some may be suspects since before it was isolated; none is dead. */
	CU_ASSERT_NOT_EQUAL(member_at(m, 0)->state, MEMBER_DEAD);
	CU_ASSERT_NOT_EQUAL(member_at(m, 4)->state, MEMBER_DEAD);
	end();
}

static void
suspicion_of_this_node_is_refuted(void)
{
	struct rumour r = { .name = "self",
		.addr = "",
		.dc = "",
		.state = MEMBER_SUSPECT,
		.incarnation = 100 };
	struct rumour out[MEMBER_RUMOURS];

	begin(1);
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_incarnation(m), 101);
	CU_ASSERT_EQUAL(members_pick_rumours(m, out, MEMBER_RUMOURS), 1);
	CU_ASSERT_STRING_EQUAL(out[0].name, "self");
	CU_ASSERT_EQUAL(out[0].state, MEMBER_ALIVE);
	end();
}

static void
older_rumour_is_ignored(void)
{
	struct rumour r = { .name = "vm-0",
		.addr = "127.0.0.1:2",
		.dc = "dc",
		.state = MEMBER_ALIVE,
		.incarnation = 7 };

	begin(1);
	members_apply_rumour(m, &r, now);
	r.incarnation = 6;
	r.state = MEMBER_DEAD;
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(member_at(m, 0)->state, MEMBER_ALIVE);
	r.incarnation = 7;
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(member_at(m, 0)->state, MEMBER_DEAD);
	r.state = MEMBER_ALIVE;
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(member_at(m, 0)->state, MEMBER_DEAD);
	end();
}

/* Rumours with a malformed name or address are ignored. */
static void
malformed_rumours_are_ignored(void)
{
	char longest[2 * MESH_NAME_MAX];
	struct rumour r = {
		.name = longest, .addr = "127.0.0.1:2", .dc = "dc"
	};

	memset(longest, 'v', sizeof(longest));
	longest[sizeof(longest) - 1] = '\0';
	begin(1);
	members_apply_rumour(m, &r, now);
	r.name = "";
	members_apply_rumour(m, &r, now);
	r.name = "vm-9";
	r.addr = "nowhere";
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_count(m), 1);
	r.addr = "127.0.0.1:2";
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_count(m), 2);
	end();
}

static void
leaving_is_announced_at_once(void)
{
	struct member_send s;
	int sent = 0;

	begin(20);
	members_leave(m);
	while (members_next_send(m, &s))
		sent += s.kind == KIND_RUMOURS;
	CU_ASSERT(sent >= 3);
	CU_ASSERT_EQUAL(members_state(m), MEMBER_LEFT);
	end();
}

/*
 * The state of a VM in the list is sent to the node on it, which applies that
 * of the newest list.
 */
static void
vm_list_state_is_sent_to_node(void)
{
	struct rumour r = {
		.name = "self", .state = MEMBER_LEAVING, .index = 5
	};
	struct member_send s;

	begin(1);
	members_list_begin(m);
	members_list_add(m, "vm-0", "127.0.0.1:2", "dc", 1, 2);
	members_list_end(m);
	CU_ASSERT_EQUAL(members_next_send(m, &s), 1);
	CU_ASSERT_EQUAL(s.kind, KIND_VM_STATE);
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_state(m), MEMBER_LEAVING);
	r.state = MEMBER_ALIVE;
	r.index = 4;
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_state(m), MEMBER_LEAVING);
	r.index = 6;
	members_apply_rumour(m, &r, now);
	CU_ASSERT_EQUAL(members_state(m), MEMBER_ALIVE);
	end();
}

/* The traffic of an idle node does not grow with the number of members. */
static void
traffic_is_independent_of_members(void)
{
	int few, many;

	begin(10);
	run(60000, -1);
	few = run(60000, -1);
	end();
	begin(1000);
	run(60000, -1);
	many = run(60000, -1);
	end();
	CU_ASSERT_EQUAL(few, many);
}

static void
pause_causes_no_suspicion(void)
{
	begin(3);
	run(MEMBER_PERIOD_MS * 2, -1);
	now += 60000;
	members_paused(m, now);
	members_tick(m, now);
	run(100, -2);
	CU_ASSERT(member_usable(member_at(m, 0)));
	CU_ASSERT(member_usable(member_at(m, 1)));
	CU_ASSERT_FALSE(members_isolated(m, now));
	end();
}

/* A leaving node informs all members, as the first ones may leave as well. */
static void
leaving_is_announced_to_all(void)
{
	struct member_send s;
	int sent_to[100] = { 0 }, i, count = 0;

	begin(100);
	members_leave(m);
	for (; now < 1000 + 2500; now += 50) {
		members_tick(m, now);
		while (members_next_send(m, &s))
			if (s.kind == KIND_RUMOURS)
				sent_to[s.to] = 1;
	}
	for (i = 0; i < 100; i++)
		count += sent_to[i];
	CU_ASSERT_EQUAL(count, 100);
	end();
}

/*
 * Guards against an entry learning a guard's incarnation and key only in a
 * whole round of periodic probes, while the first call to it waits for them.
 */
static void
starting_node_contacts_all_members(void)
{
	int i, sent;

	begin(40);
	sent = run(800, 7);
	for (i = 0; i < members_count(m); i++)
		CU_ASSERT_EQUAL(member_at(m, i)->contacted, i != 7);
	/* One probe for each member, and a periodic one with its helpers. */
	CU_ASSERT(sent <= 40 + 1 + MEMBER_HELPERS);
	end();
}

/*
 * No member replies at first, as when datagrams are lost or nodes start later.
 * The number of attempts at first contact is bounded.
 */
static void
first_contact_is_retried_within_bounds(void)
{
	int i, sent;

	begin(100);
	/* All members are probed once before the first retry. */
	sent = run(1500, -2);
	CU_ASSERT(sent >= 100);
	run(1500, -1);
	for (i = 0; i < members_count(m); i++)
		CU_ASSERT(member_at(m, i)->contacted);
	end();
	begin(2);
	sent = run(60000, -2);
	CU_ASSERT(sent <= 2 * 5 + 2 * 60000 / MEMBER_PERIOD_MS);
	end();
}

static const struct test tests[] = {
	{ "silent member is suspect then dead",
	    silent_member_is_suspect_then_dead },
	{ "isolated node declares nobody dead",
	    isolated_node_declares_nobody_dead },
	{ "suspicion of this node is refuted",
	    suspicion_of_this_node_is_refuted },
	{ "older rumour is ignored", older_rumour_is_ignored },
	{ "malformed rumours are ignored", malformed_rumours_are_ignored },
	{ "leaving is announced to all", leaving_is_announced_to_all },
	{ "leaving is announced at once", leaving_is_announced_at_once },
	{ "vm list state is sent to node", vm_list_state_is_sent_to_node },
	{ "traffic is independent of members",
	    traffic_is_independent_of_members },
	{ "pause causes no suspicion", pause_causes_no_suspicion },
	{ "starting node contacts all members",
	    starting_node_contacts_all_members },
	{ "first contact is retried within bounds",
	    first_contact_is_retried_within_bounds },
};

TEST_MAIN("member", tests)
