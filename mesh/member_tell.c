/* Membership: rumours, taken in and told. */
#include <string.h>

#include "member_int.h"

#define TELL_ON_LEAVE 16  /* members told at a time by one that leaves */
#define TELL_EVERY_MS 200 /* and how often it tells others, until it ends */

static int is_usable(const struct rumour *);
static void refute(struct members *m, const struct rumour *r);
static struct rumour as_rumour(const struct member *);
static int picked(const struct rumour *out, int n, const char *name);

/* Others hold this node suspect or dead: a greater incarnation refutes. */
static void
refute(struct members *m, const struct rumour *r)
{
	if (r->state <= m->state || r->incarnation < m->incarnation ||
	    m->state == MEMBER_LEFT)
		return;
	m->incarnation = r->incarnation + 1;
	m->tell_self = members_tell_count(m);
}

/* Whether a rumour names a node that can be kept and reached. */
static int
is_usable(const struct rumour *r)
{
	char host[ADDRESS_MAX];
	int port;

	return name_valid(r->name, MESH_NAME_MAX) &&
	       name_valid(r->dc, MESH_NAME_MAX) &&
	       address_split(r->addr, host, &port) == BASE_OK;
}

/* News of a node. */
void
members_rumour(struct members *m, const struct rumour *r, int64_t now)
{
	struct member *p;
	int i, newer;

	if (strcmp(r->name, m->name) == 0) {
		if (r->index > 0)
			member_listed_state(m, r);
		else
			refute(m, r);
		return;
	}
	if (r->index > 0 || !is_usable(r))
		return;
	if ((i = member_find(m, r->name)) < 0) {
		p = member_add(m, r->name, r->addr, r->dc);
		p->state = r->state;
		p->since = now;
		p->incarnation = r->incarnation;
		p->key = r->key;
		p->tell = members_tell_count(m);
		p->suspect_until = now + MEMBER_SUSPECT_MS;
		return;
	}
	p = member_at(m, i);
	newer = r->incarnation > p->incarnation;
	/* In one incarnation a worse state overrides a better one. */
	if (!newer && (r->incarnation < p->incarnation || r->state <= p->state))
		return;
	p->incarnation = r->incarnation;
	if (newer) {
		g_strlcpy(p->addr, r->addr, sizeof(p->addr));
		p->key = r->key;
	}
	member_set_state(m, p, r->state, now);
	if (r->state == MEMBER_SUSPECT)
		p->suspect_until = now + MEMBER_SUSPECT_MS;
}

/* Begins to leave; rumours carry it beyond those who are told. */
void
members_leave(struct members *m)
{
	m->state = MEMBER_LEFT;
	m->incarnation++;
	m->tell_self = members_tell_count(m);
	m->next_tell = 0;
	m->cursor = m->all->len > 0
			? g_rand_int_range(m->rand, 0, (int)m->all->len)
			: 0;
	member_tell_leaving(m, m->next_tell);
}

/*
 * Tells the next members in turn.  Those told first may be leaving as well, so
 * a node that leaves goes on telling for as long as it is there.
 */
void
member_tell_leaving(struct members *m, int64_t now)
{
	int i, n = members_count(m), told = 0;

	if (m->state != MEMBER_LEFT || now < m->next_tell)
		return;
	m->next_tell = now + TELL_EVERY_MS;
	m->tell_self = members_tell_count(m);
	for (i = 0; i < n && told < TELL_ON_LEAVE; i++) {
		m->cursor = (m->cursor + 1) % n;
		if (member_at(m, m->cursor)->state > MEMBER_SUSPECT)
			continue;
		member_push(m, KIND_TELL, m->cursor, -1, 0);
		told++;
	}
}

/* Whether a name is already among the first n rumours. */
static int
picked(const struct rumour *out, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (out[i].name == name)
			return 1;
	return 0;
}

/* News of a member as it is told. */
static struct rumour
as_rumour(const struct member *p)
{
	return (struct rumour){ .name = p->name,
		.addr = p->addr,
		.dc = p->dc,
		.state = p->state,
		.incarnation = p->incarnation,
		.key = p->key };
}

/* Picks rumours: this node's own first, then those told least often. */
int
members_rumours(struct members *m, struct rumour *out, int max)
{
	struct member *p, *best;
	int i, n = 0;

	if (m->tell_self > 0 && n < max) {
		m->tell_self--;
		out[n++] = (struct rumour){ .name = m->name,
			.addr = m->addr,
			.dc = m->dc,
			.state = m->state,
			.incarnation = m->incarnation,
			.key = m->key };
	}
	while (n < max) {
		best = NULL;
		for (i = 0; i < members_count(m); i++) {
			p = member_at(m, i);
			if (p->tell > 0 && !picked(out, n, p->name) &&
			    (best == NULL || p->tell > best->tell))
				best = p;
		}
		if (best == NULL)
			break;
		best->tell--;
		out[n++] = as_rumour(best);
	}
	return n;
}

/* Some members that are alive, for a node that knows few. */
int
members_sample(struct members *m, struct rumour *out, int max)
{
	int i, at, n = 0, count = members_count(m);
	struct member *p;

	at = count > 0 ? g_rand_int_range(m->rand, 0, count) : 0;
	for (i = 0; i < count && n < max; i++) {
		at = (at + 1) % count;
		p = member_at(m, at);
		if (member_usable(p) && p->heard)
			out[n++] = as_rumour(p);
	}
	return n;
}
