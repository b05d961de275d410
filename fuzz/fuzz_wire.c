/*
 * Fuzzes messages between nodes, after decryption: messages of links, which are
 * only unpacked, and datagrams, whose rumours are applied to a member table.
 */
#include <string.h>

#include "../mesh/member.h"
#include "../node/wire.pb-c.h"
#include "fuzz.h"

static void apply_rumours(struct members *, const Wire__Datagram *);
static void check_members(struct members *);

/* Applies a datagram's rumours twice, as datagrams can be duplicated. */
static void
apply_rumours(struct members *m, const Wire__Datagram *d)
{
	struct rumour r;
	size_t i, n = d->n_rumours;

	for (i = 0; i < 2 * n; i++) {
		r = (struct rumour){ .name = d->rumours[i % n]->name,
			.addr = d->rumours[i % n]->address,
			.dc = d->rumours[i % n]->data_centre,
			.state =
			    (enum member_state)CLAMP(d->rumours[i % n]->state,
				MEMBER_ALIVE, MEMBER_LEFT),
			.incarnation = d->rumours[i % n]->incarnation,
			.index = d->rumours[i % n]->index };
		members_apply_rumour(m, &r, 1000);
	}
	FUZZ_REQUIRE((size_t)members_count(m) <= n);
}

/* Every member has a valid name and is found by it. */
static void
check_members(struct members *m)
{
	const struct member *p;
	int i;

	for (i = 0; i < members_count(m); i++) {
		p = member_at(m, i);
		FUZZ_REQUIRE(name_valid(p->name, MESH_NAME_MAX));
		FUZZ_REQUIRE(member_find(m, p->name) == i);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	Wire__Datagram *d = wire__datagram__unpack(NULL, len, data);
	Wire__Envelope *e = wire__envelope__unpack(NULL, len, data);
	struct member_send s;
	struct members *m;
	int64_t now;

	if (e != NULL)
		wire__envelope__free_unpacked(e, NULL);
	if (d == NULL)
		return 0;
	m = members_new("self", "127.0.0.1:1", "dc", 1, 1);
	apply_rumours(m, d);
	check_members(m);
	for (now = 1000; now < 20000; now += MEMBER_PERIOD_MS) {
		members_tick(m, now);
		while (members_next_send(m, &s))
			FUZZ_REQUIRE(s.to >= 0 && s.to < members_count(m));
	}
	members_free(m);
	wire__datagram__free_unpacked(d, NULL);
	return 0;
}
