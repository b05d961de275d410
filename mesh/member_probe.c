/* Membership: probes, suspicion, and probes for others. */
#include <string.h>

#include "member_int.h"

#define GREET_MAX      16   /* members probed at a time by one that begins */
#define GREET_EVERY_MS 200  /* and how often, until none is left */
#define GREET_AGAIN_MS 1000 /* one that stays silent, as datagrams get lost */
#define GREET_TIMES    5

static int next_alive(struct members *m);
static int random_dead(struct members *m);
static int choose_probe(struct members *m);
static void begin_probe(struct members *m, int64_t now);
static void ask_helpers(struct members *m);
static void expire_suspects(struct members *m, int64_t now);
static void greet(struct members *, int64_t);

/* The next member in turn that is not held dead. */
static int
next_alive(struct members *m)
{
	int i, n = members_count(m);
	enum member_state s;

	for (i = 0; i < n; i++) {
		m->cursor = (m->cursor + 1) % n;
		s = member_at(m, m->cursor)->state;
		if (s <= MEMBER_SUSPECT)
			return m->cursor;
	}
	return -1;
}

/* Some member that is held dead. */
static int
random_dead(struct members *m)
{
	int i, n = members_count(m), at;

	if (n == 0)
		return -1;
	at = g_rand_int_range(m->rand, 0, n);
	for (i = 0; i < n; i++) {
		at = (at + 1) % n;
		if (member_at(m, at)->state == MEMBER_DEAD)
			return at;
	}
	return -1;
}

/* Whom to probe: a doubted one, now and then a dead one, else in turn. */
static int
choose_probe(struct members *m)
{
	int i;

	if ((i = m->doubted) >= 0) {
		m->doubted = -1;
		return i;
	}
	if (m->probes % MEMBER_DEAD_EVERY == 0 && (i = random_dead(m)) >= 0)
		return i;
	if ((i = next_alive(m)) >= 0)
		return i;
	return random_dead(m);
}

/* Starts the probe of this period. */
static void
begin_probe(struct members *m, int64_t now)
{
	m->next_probe = now + MEMBER_PERIOD_MS;
	m->probes++;
	if ((m->probed = choose_probe(m)) < 0)
		return;
	m->probe = m->probes;
	m->indirect = 0;
	m->probe_until = now + MEMBER_DIRECT_MS;
	member_push(m, KIND_PROBE, m->probed, -1, m->probe);
}

/* Asks some others to probe the silent one. */
static void
ask_helpers(struct members *m)
{
	int i, at, n = members_count(m), asked = 0;

	at = g_rand_int_range(m->rand, 0, n);
	for (i = 0; i < n && asked < MEMBER_HELPERS; i++) {
		at = (at + 1) % n;
		if (at == m->probed || !member_usable(member_at(m, at)))
			continue;
		member_push(m, KIND_PROBE_FOR, at, m->probed, m->probe);
		asked++;
	}
}

/* Suspects that did not refute in time are held dead. */
static void
expire_suspects(struct members *m, int64_t now)
{
	struct member *p;
	int i;

	for (i = 0; i < members_count(m); i++) {
		p = member_at(m, i);
		if (p->state == MEMBER_SUSPECT && p->suspect_until <= now)
			member_set_state(m, p, MEMBER_DEAD, now);
	}
}

/*
 * Probes members that were not heard yet: what they answer tells both sides
 * the other's incarnation and key before a call needs them.
 */
static void
greet(struct members *m, int64_t now)
{
	struct member *p;
	int i, n = members_count(m), greeted = 0;

	if (now < m->next_greet)
		return;
	m->next_greet = now + GREET_EVERY_MS;
	for (i = 0; i < n && greeted < GREET_MAX; i++) {
		m->greeted = (m->greeted + 1) % n;
		p = member_at(m, m->greeted);
		if (p->heard || p->greetings == GREET_TIMES ||
		    now < p->greet_at || p->state > MEMBER_SUSPECT)
			continue;
		p->greetings++;
		p->greet_at = now + GREET_AGAIN_MS;
		member_push(m, KIND_PROBE, m->greeted, -1, 0);
		greeted++;
	}
}

/* Time passes. */
void
members_tick(struct members *m, int64_t now)
{
	struct member *p;

	member_tell_leaving(m, now);
	greet(m, now);
	if (m->heard_at == 0)
		m->heard_at = now;
	if (m->probed >= 0 && now >= m->probe_until) {
		p = member_at(m, m->probed);
		if (!m->indirect) {
			m->indirect = 1;
			m->probe_until = now + MEMBER_INDIRECT_MS;
			ask_helpers(m);
		} else {
			if (p->state <= MEMBER_LEAVING &&
			    !members_isolated(m, now)) {
				member_set_state(m, p, MEMBER_SUSPECT, now);
				p->suspect_until = now + MEMBER_SUSPECT_MS;
			}
			m->probed = -1;
		}
	}
	if (!members_isolated(m, now))
		expire_suspects(m, now);
	if (now >= m->next_probe || (m->doubted >= 0 && m->probed < 0))
		begin_probe(m, now);
}

/* After a pause nobody may be blamed for silence. */
void
members_paused(struct members *m, int64_t now)
{
	struct member *p;
	int i;

	m->probed = -1;
	m->next_probe = now;
	m->heard_at = now;
	for (i = 0; i < members_count(m); i++) {
		p = member_at(m, i);
		if (p->state == MEMBER_SUSPECT)
			p->suspect_until = now + MEMBER_SUSPECT_MS;
	}
}

/* An answer to the probe under way, or to one made for another node. */
void
members_ack(struct members *m, int from, uint32_t probe, int64_t now)
{
	struct helped *h;
	int i;

	if (from == m->probed && probe == m->probe)
		m->probed = -1;
	for (i = 0; i < HELPED_MAX; i++) {
		h = &m->helped[i];
		if (h->until <= now || h->about != from || h->probe != probe)
			continue;
		member_push(m, KIND_ACK_FOR, h->asker, from, h->theirs);
		h->until = 0;
	}
}

/* Probes a third node for another. */
void
members_probe_for(
    struct members *m, int from, int about, uint32_t probe, int64_t now)
{
	struct helped *h;
	int i;

	for (i = 0; i < HELPED_MAX; i++) {
		h = &m->helped[i];
		if (h->until > now)
			continue;
		*h = (struct helped){
			.asker = from,
			.about = about,
			.probe = ++m->probes,
			.theirs = probe,
			.until = now + MEMBER_INDIRECT_MS,
		};
		member_push(m, KIND_PROBE, about, -1, h->probe);
		return;
	}
}

/* Probes a node out of turn. */
void
members_doubt(struct members *m, int i)
{
	if (m->probed != i)
		m->doubted = i;
}
