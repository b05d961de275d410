/* Membership: direct and indirect probes, and suspicion. */
#include <string.h>

#include "member_int.h"

/* A node that starts probes each member to make first contact. */
#define CONTACT_BATCH	  16   /* members probed at a time */
#define CONTACT_PERIOD_MS 200  /* between two batches */
#define CONTACT_RETRY_MS  1000 /* before a member is probed again */
#define CONTACT_TRIES	  5    /* per member, since datagrams may be lost */

static int next_not_dead(struct members *m);
static int random_dead(struct members *m);
static int choose_probe(struct members *m);
static void begin_probe(struct members *m, int64_t now);
static void ask_helpers(struct members *m);
static void expire_suspects(struct members *m, int64_t now);
static void contact_new_members(struct members *, int64_t);

/* The next member in turn that is neither dead nor left, or -1. */
static int
next_not_dead(struct members *m)
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

/* A random dead member, or -1. */
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

/*
 * Chooses the member to probe: one that was requested out of turn, every
 * MEMBER_DEAD_EVERY-th time a dead one, otherwise the next in turn; -1 if none.
 */
static int
choose_probe(struct members *m)
{
	int i;

	if ((i = m->probe_requested) >= 0) {
		m->probe_requested = -1;
		return i;
	}
	if (m->probe_count % MEMBER_DEAD_EVERY == 0 &&
	    (i = random_dead(m)) >= 0)
		return i;
	if ((i = next_not_dead(m)) >= 0)
		return i;
	return random_dead(m);
}

/* Starts the probe of this period; its number identifies the reply. */
static void
begin_probe(struct members *m, int64_t now)
{
	m->next_probe = now + MEMBER_PERIOD_MS;
	m->probe_count++;
	if ((m->probed = choose_probe(m)) < 0)
		return;
	m->probe = m->probe_count;
	m->helpers_asked = 0;
	m->probe_until = now + MEMBER_DIRECT_MS;
	member_queue_send(m, KIND_PROBE, m->probed, -1, m->probe);
}

/* Asks random members to probe the one that did not reply. */
static void
ask_helpers(struct members *m)
{
	int i, at, n = members_count(m), asked = 0;

	at = g_rand_int_range(m->rand, 0, n);
	for (i = 0; i < n && asked < MEMBER_HELPERS; i++) {
		at = (at + 1) % n;
		if (at == m->probed || !member_usable(member_at(m, at)))
			continue;
		member_queue_send(m, KIND_PROBE_FOR, at, m->probed, m->probe);
		asked++;
	}
}

/* Suspects that did not refute in time are dead. */
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
 * Probes members that have not sent a datagram yet.  The exchange gives both
 * nodes the other's incarnation and key before a call needs them.
 */
static void
contact_new_members(struct members *m, int64_t now)
{
	struct member *p;
	int i, n = members_count(m), sent = 0;

	if (now < m->next_contact)
		return;
	m->next_contact = now + CONTACT_PERIOD_MS;
	for (i = 0; i < n && sent < CONTACT_BATCH; i++) {
		m->contact_cursor = (m->contact_cursor + 1) % n;
		p = member_at(m, m->contact_cursor);
		if (p->contacted || p->contact_tries == CONTACT_TRIES ||
		    now < p->contact_at || p->state > MEMBER_SUSPECT)
			continue;
		p->contact_tries++;
		p->contact_at = now + CONTACT_RETRY_MS;
		member_queue_send(m, KIND_PROBE, m->contact_cursor, -1, 0);
		sent++;
	}
}

/* An isolated node neither suspects members nor declares them dead. */
void
members_tick(struct members *m, int64_t now)
{
	struct member *p;

	member_send_leaving(m, now);
	contact_new_members(m, now);
	if (m->received_at == 0)
		m->received_at = now;
	if (m->probed >= 0 && now >= m->probe_until) {
		p = member_at(m, m->probed);
		if (!m->helpers_asked) {
			m->helpers_asked = 1;
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
	if (now >= m->next_probe || (m->probe_requested >= 0 && m->probed < 0))
		begin_probe(m, now);
}

/* Abandons the current probe and extends the time for suspects to refute. */
void
members_paused(struct members *m, int64_t now)
{
	struct member *p;
	int i;

	m->probed = -1;
	m->next_probe = now;
	m->received_at = now;
	for (i = 0; i < members_count(m); i++) {
		p = member_at(m, i);
		if (p->state == MEMBER_SUSPECT)
			p->suspect_until = now + MEMBER_SUSPECT_MS;
	}
}

/* Ends this node's probe, or passes on the reply to another node's probe. */
void
members_ack(struct members *m, int from, uint32_t probe, int64_t now)
{
	struct indirect_probe *h;
	int i;

	if (from == m->probed && probe == m->probe)
		m->probed = -1;
	for (i = 0; i < INDIRECT_PROBES_MAX; i++) {
		h = &m->indirect_probes[i];
		if (h->until <= now || h->about != from || h->probe != probe)
			continue;
		member_queue_send(
		    m, KIND_ACK_FOR, h->requester, from, h->requester_probe);
		h->until = 0;
	}
}

/* Ignored if too many indirect probes are in flight. */
void
members_probe_for(
    struct members *m, int from, int about, uint32_t probe, int64_t now)
{
	struct indirect_probe *h;
	int i;

	for (i = 0; i < INDIRECT_PROBES_MAX; i++) {
		h = &m->indirect_probes[i];
		if (h->until > now)
			continue;
		*h = (struct indirect_probe){
			.requester = from,
			.about = about,
			.probe = ++m->probe_count,
			.requester_probe = probe,
			.until = now + MEMBER_INDIRECT_MS,
		};
		member_queue_send(m, KIND_PROBE, about, -1, h->probe);
		return;
	}
}

/* Ignored while this member is under probe already. */
void
members_probe_next(struct members *m, int i)
{
	if (m->probed != i)
		m->probe_requested = i;
}
