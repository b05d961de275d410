/* Membership: who is there, by probes and rumours. */
#include <string.h>

#include "member.h"

#define TELL_FACTOR   3 /* datagrams a rumour rides on, times log2 of members */
#define TELL_ON_LEAVE 8 /* members told at once by one that leaves */
#define HELPED_MAX    16 /* probes under way for others */

/* A probe made for another node. */
struct helped {
	int asker, about;
	uint32_t probe, theirs;
	int64_t until;
};

struct members {
	GPtrArray *all;	     /* of struct member, owned */
	GHashTable *by_name; /* to handle + 1 */
	GQueue *out;	     /* of struct member_send */
	GRand *rand;
	char name[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	char dc[MESH_NAME_MAX + 1];
	enum member_state state; /* of this node, as it tells */
	uint64_t incarnation;
	uint64_t index; /* of the VM list that last spoke of this node */
	int tell_self;
	uint32_t probes; /* begun */
	int probed;	 /* handle under probe, or -1 */
	uint32_t probe;
	int indirect; /* helpers were asked */
	int64_t probe_until;
	int64_t next_probe;
	int64_t heard_at;
	int doubted; /* handle to probe next, or -1 */
	int cursor;  /* of the round through all members */
	struct helped helped[HELPED_MAX];
};

static struct member *
add(struct members *, const char *, const char *, const char *);
static void push(struct members *, enum member_kind, int, int, uint32_t);
static void
set_state(struct members *, struct member *, enum member_state, int64_t);
static int tell_count(const struct members *);
static int next_alive(struct members *);
static int random_dead(struct members *);
static int choose_probe(struct members *);
static void begin_probe(struct members *, int64_t);
static void ask_helpers(struct members *);
static void expire_suspects(struct members *, int64_t);
static void refute(struct members *, const struct rumour *);
static int picked(const struct rumour *, int, const char *);
static void listed_state(struct members *, const struct rumour *);

/* Creates a table that knows only this node's own name. */
struct members *
members_new(const char *name, const char *addr, const char *dc, uint64_t boot,
    uint32_t seed)
{
	struct members *m;

	m = g_new0(struct members, 1);
	m->all = g_ptr_array_new_with_free_func(g_free);
	m->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	m->out = g_queue_new();
	m->rand = g_rand_new_with_seed(seed);
	g_strlcpy(m->name, name, sizeof(m->name));
	g_strlcpy(m->addr, addr, sizeof(m->addr));
	g_strlcpy(m->dc, dc, sizeof(m->dc));
	m->incarnation = boot;
	m->probed = -1;
	m->doubted = -1;
	return m;
}

/* Releases a table. */
void
members_free(struct members *m)
{
	g_queue_free_full(m->out, g_free);
	g_hash_table_destroy(m->by_name);
	g_ptr_array_free(m->all, TRUE);
	g_rand_free(m->rand);
	g_free(m);
}

/* Members known, this node left out. */
int
members_count(const struct members *m)
{
	return (int)m->all->len;
}

/* The member of a handle. */
struct member *
member_at(struct members *m, int i)
{
	return g_ptr_array_index(m->all, i);
}

/* Finds a member by name. */
int
member_find(struct members *m, const char *name)
{
	int i;

	i = GPOINTER_TO_INT(g_hash_table_lookup(m->by_name, name)) - 1;
	return i < 0 ? MESH_ENOTFOUND : i;
}

/* Incarnation that this node tells of itself. */
uint64_t
members_incarnation(const struct members *m)
{
	return m->incarnation;
}

/* State that this node tells of itself. */
enum member_state
members_state(const struct members *m)
{
	return m->state;
}

/* Hearing nobody is a sign of being cut off, unless there is nobody. */
int
members_isolated(const struct members *m, int64_t now)
{
	return m->all->len > 0 && now - m->heard_at > MEMBER_SILENCE_MS;
}

/* Whether new work may be sent to a member. */
int
member_usable(const struct member *p)
{
	return p->state == MEMBER_ALIVE;
}

/* Adds a member. */
static struct member *
add(struct members *m, const char *name, const char *addr, const char *dc)
{
	struct member *p;

	p = g_new0(struct member, 1);
	g_strlcpy(p->name, name, sizeof(p->name));
	g_strlcpy(p->addr, addr, sizeof(p->addr));
	g_strlcpy(p->dc, dc, sizeof(p->dc));
	g_ptr_array_add(m->all, p);
	g_hash_table_insert(
	    m->by_name, p->name, GINT_TO_POINTER((int)m->all->len));
	return p;
}

/* Queues a datagram. */
static void
push(
    struct members *m, enum member_kind kind, int to, int about, uint32_t probe)
{
	struct member_send *s;

	s = g_new(struct member_send, 1);
	*s = (struct member_send){
		.kind = kind, .to = to, .about = about, .probe = probe
	};
	g_queue_push_tail(m->out, s);
}

/* How many datagrams carry a rumour until nearly all have heard it. */
static int
tell_count(const struct members *m)
{
	return TELL_FACTOR * (int)g_bit_storage(m->all->len + 1);
}

/* Changes a member's state and makes it a rumour. */
static void
set_state(struct members *m, struct member *p, enum member_state s, int64_t now)
{
	if (p->state == s)
		return;
	p->since = now;
	if (s == MEMBER_SUSPECT)
		counter_add(CTR_SUSPECTED, 1);
	p->state = s;
	p->tell = tell_count(m);
}

/* Begins reading a VM list. */
void
members_list_begin(struct members *m)
{
	int i;

	for (i = 0; i < members_count(m); i++)
		member_at(m, i)->listed = 0;
}

/*
 * One line of a VM list.  Whether a VM leaves is told to the node on it, which
 * then tells the others of itself.
 */
void
members_list(struct members *m, const char *name, const char *addr,
    const char *dc, int leaving, uint64_t index)
{
	struct member *p;
	struct rumour self = { .name = name,
		.index = index,
		.state = leaving ? MEMBER_LEAVING : MEMBER_ALIVE };
	int i;

	if (strcmp(name, m->name) == 0) {
		listed_state(m, &self);
		return;
	}
	if ((i = member_find(m, name)) < 0) {
		p = add(m, name, addr, dc);
		i = members_count(m) - 1;
	} else {
		p = member_at(m, i);
	}
	p->listed = 1;
	if (leaving != (p->state == MEMBER_LEAVING) &&
	    p->state <= MEMBER_LEAVING)
		push(m, KIND_LISTED, i, leaving, (uint32_t)index);
}

/* Gone from the list and silent: nothing more is expected of it. */
void
members_list_end(struct members *m)
{
	struct member *p;
	int i;

	for (i = 0; i < members_count(m); i++) {
		p = member_at(m, i);
		if (!p->listed && p->state == MEMBER_DEAD)
			p->state = MEMBER_LEFT;
	}
}

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
	push(m, KIND_PROBE, m->probed, -1, m->probe);
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
		push(m, KIND_PROBE_FOR, at, m->probed, m->probe);
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
			set_state(m, p, MEMBER_DEAD, now);
	}
}

/* Time passes. */
void
members_tick(struct members *m, int64_t now)
{
	struct member *p;

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
				set_state(m, p, MEMBER_SUSPECT, now);
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

/* A datagram came. */
int
members_heard(
    struct members *m, const struct rumour *from, uint64_t boot, int64_t now)
{
	struct member *p;
	int i;

	m->heard_at = now;
	if ((i = member_find(m, from->name)) < 0) {
		p = add(m, from->name, from->addr, from->dc);
		p->tell = tell_count(m);
		i = members_count(m) - 1;
	} else {
		p = member_at(m, i);
	}
	p->heard = 1;
	if (from->incarnation < p->incarnation)
		return i;
	if (strcmp(p->addr, from->addr) != 0) {
		g_strlcpy(p->addr, from->addr, sizeof(p->addr));
		p->tell = tell_count(m);
	}
	if (from->incarnation > p->incarnation || p->state != MEMBER_LEFT) {
		set_state(m, p, from->state, now);
		p->incarnation = from->incarnation;
	}
	p->boot = boot;
	return i;
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
		push(m, KIND_ACK_FOR, h->asker, from, h->theirs);
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
		push(m, KIND_PROBE, about, -1, h->probe);
		return;
	}
}

/* Others hold this node suspect or dead: a greater incarnation refutes. */
static void
refute(struct members *m, const struct rumour *r)
{
	if (r->state <= m->state || r->incarnation < m->incarnation ||
	    m->state == MEMBER_LEFT)
		return;
	m->incarnation = r->incarnation + 1;
	m->tell_self = tell_count(m);
}

/* A reader of the VM list says what the list holds of this node. */
static void
listed_state(struct members *m, const struct rumour *r)
{
	if (r->index <= m->index || m->state == MEMBER_LEFT)
		return;
	m->index = r->index;
	if (m->state == r->state)
		return;
	m->state = r->state;
	m->incarnation++;
	m->tell_self = tell_count(m);
}

/* News of a node. */
void
members_rumour(struct members *m, const struct rumour *r, int64_t now)
{
	struct member *p;
	int i, newer;

	if (strcmp(r->name, m->name) == 0) {
		if (r->index > 0)
			listed_state(m, r);
		else
			refute(m, r);
		return;
	}
	if (r->index > 0)
		return;
	if ((i = member_find(m, r->name)) < 0) {
		p = add(m, r->name, r->addr, r->dc);
		p->state = r->state;
		p->since = now;
		p->incarnation = r->incarnation;
		p->tell = tell_count(m);
		p->suspect_until = now + MEMBER_SUSPECT_MS;
		return;
	}
	p = member_at(m, i);
	newer = r->incarnation > p->incarnation;
	/* In one incarnation a worse state overrides a better one. */
	if (!newer && (r->incarnation < p->incarnation || r->state <= p->state))
		return;
	p->incarnation = r->incarnation;
	if (newer)
		g_strlcpy(p->addr, r->addr, sizeof(p->addr));
	set_state(m, p, r->state, now);
	if (r->state == MEMBER_SUSPECT)
		p->suspect_until = now + MEMBER_SUSPECT_MS;
}

/* Probes a node out of turn. */
void
members_doubt(struct members *m, int i)
{
	if (m->probed != i)
		m->doubted = i;
}

/* Tells some members at once; rumours carry it to the others. */
void
members_leave(struct members *m)
{
	int i, at, n = members_count(m), told = 0;

	m->state = MEMBER_LEFT;
	m->incarnation++;
	m->tell_self = tell_count(m);
	at = n > 0 ? g_rand_int_range(m->rand, 0, n) : 0;
	for (i = 0; i < n && told < TELL_ON_LEAVE; i++) {
		at = (at + 1) % n;
		if (member_at(m, at)->state != MEMBER_ALIVE)
			continue;
		push(m, KIND_TELL, at, -1, 0);
		told++;
	}
}

/* Takes the next datagram. */
int
members_send(struct members *m, struct member_send *out)
{
	struct member_send *s;

	if ((s = g_queue_pop_head(m->out)) == NULL)
		return 0;
	*out = *s;
	g_free(s);
	return 1;
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
			.incarnation = m->incarnation };
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
		out[n++] = (struct rumour){ .name = best->name,
			.addr = best->addr,
			.dc = best->dc,
			.state = best->state,
			.incarnation = best->incarnation };
	}
	return n;
}
