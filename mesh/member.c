/* Membership: the table of members, and its updates from the VM list. */
#include <string.h>

#include "member_int.h"

/* Datagrams that carry a rumour, times the binary logarithm of the members. */
#define RUMOUR_SENDS_FACTOR 3

/* No member is under probe yet (-1); this node is alive. */
struct members *
members_new(const char *name, const char *addr, const char *dc, uint64_t boot,
    uint32_t seed)
{
	struct members *m;

	m = g_new0(struct members, 1);
	m->all = g_ptr_array_new_with_free_func(g_free);
	m->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	m->queue = g_queue_new();
	m->rand = g_rand_new_with_seed(seed);
	g_strlcpy(m->name, name, sizeof(m->name));
	g_strlcpy(m->addr, addr, sizeof(m->addr));
	g_strlcpy(m->dc, dc, sizeof(m->dc));
	m->incarnation = boot;
	m->probed = -1;
	m->probe_requested = -1;
	return m;
}

/* Datagrams still in the queue are dropped. */
void
members_free(struct members *m)
{
	g_queue_free_full(m->queue, g_free);
	g_hash_table_destroy(m->by_name);
	g_ptr_array_free(m->all, TRUE);
	g_rand_free(m->rand);
	g_free(m);
}

/* Handles are the numbers below this one. */
int
members_count(const struct members *m)
{
	return (int)m->all->len;
}

/* The handle is not checked.  The member lives as long as the table. */
struct member *
member_at(struct members *m, int i)
{
	return g_ptr_array_index(m->all, i);
}

/* The index holds handles plus one, since 0 stands for no entry. */
int
member_find(struct members *m, const char *name)
{
	int i;

	i = GPOINTER_TO_INT(g_hash_table_lookup(m->by_name, name)) - 1;
	return i < 0 ? MESH_ENOTFOUND : i;
}

/* Other nodes learn the key with the next rumour of this node. */
void
members_set_key(struct members *m, uint32_t key)
{
	m->key = key;
}

/* Grows with each refutation and each change of this node's state. */
uint64_t
members_incarnation(const struct members *m)
{
	return m->incarnation;
}

/* Changed only by the VM list and by members_leave. */
enum member_state
members_state(const struct members *m)
{
	return m->state;
}

/* A node without members cannot expect datagrams, so it is not isolated. */
int
members_isolated(const struct members *m, int64_t now)
{
	return m->all->len > 0 && now - m->received_at > MEMBER_ISOLATED_MS;
}

/* A suspect gets no new requests, as it may be dead already. */
int
member_usable(const struct member *p)
{
	return p->state == MEMBER_ALIVE;
}

/* The name must be new.  The member starts alive, with incarnation 0. */
struct member *
member_add(
    struct members *m, const char *name, const char *addr, const char *dc)
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

/* The I/O layer takes it from the queue by members_next_send. */
void
member_queue_send(
    struct members *m, enum member_kind kind, int to, int about, uint32_t probe)
{
	struct member_send *s;

	s = g_new(struct member_send, 1);
	*s = (struct member_send){
		.kind = kind, .to = to, .about = about, .probe = probe
	};
	g_queue_push_tail(m->queue, s);
}

/* Grows with the logarithm of the members, as in SWIM. */
int
members_rumour_sends(const struct members *m)
{
	return RUMOUR_SENDS_FACTOR * (int)g_bit_storage(m->all->len + 1);
}

/* Also counts suspicions; without a change, no rumour is started. */
void
member_set_state(
    struct members *m, struct member *p, enum member_state s, int64_t now)
{
	if (p->state == s)
		return;
	p->since = now;
	if (s == MEMBER_SUSPECT)
		counter_add(CTR_SUSPECTED, 1);
	p->state = s;
	p->sends_left = members_rumour_sends(m);
}

/* All members are unlisted until members_list_add finds them again. */
void
members_list_begin(struct members *m)
{
	int i;

	for (i = 0; i < members_count(m); i++)
		member_at(m, i)->listed = 0;
}

/*
 * If a VM's state in the list differs from that of its node, sends it to the
 * node, which applies it and spreads it as a rumour of itself.
 */
void
members_list_add(struct members *m, const char *name, const char *addr,
    const char *dc, int leaving, uint64_t index)
{
	struct member *p;
	struct rumour self = { .name = name,
		.index = index,
		.state = leaving ? MEMBER_LEAVING : MEMBER_ALIVE };
	int i;

	if (strcmp(name, m->name) == 0) {
		member_apply_vm_state(m, &self);
		return;
	}
	if ((i = member_find(m, name)) < 0) {
		p = member_add(m, name, addr, dc);
		i = members_count(m) - 1;
	} else {
		p = member_at(m, i);
	}
	p->listed = 1;
	if (leaving != (p->state == MEMBER_LEAVING) &&
	    p->state <= MEMBER_LEAVING)
		member_queue_send(
		    m, KIND_VM_STATE, i, leaving, (uint32_t)index);
}

/* A dead member whose VM is no longer listed is not probed any more. */
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

/* A datagram of an older incarnation does not change the member's state. */
int
members_receive(
    struct members *m, const struct rumour *from, uint64_t boot, int64_t now)
{
	struct member *p;
	int i;

	m->received_at = now;
	if ((i = member_find(m, from->name)) < 0) {
		p = member_add(m, from->name, from->addr, from->dc);
		p->sends_left = members_rumour_sends(m);
		i = members_count(m) - 1;
	} else {
		p = member_at(m, i);
	}
	p->contacted = 1;
	if (from->incarnation < p->incarnation)
		return i;
	if (strcmp(p->addr, from->addr) != 0) {
		g_strlcpy(p->addr, from->addr, sizeof(p->addr));
		p->sends_left = members_rumour_sends(m);
	}
	if (from->incarnation > p->incarnation || p->state != MEMBER_LEFT) {
		member_set_state(m, p, from->state, now);
		p->incarnation = from->incarnation;
	}
	p->key = from->key;
	p->boot = boot;
	return i;
}

/* Ignores a list that is not newer than the last one applied. */
void
member_apply_vm_state(struct members *m, const struct rumour *r)
{
	if (r->index <= m->vm_list_index || m->state == MEMBER_LEFT)
		return;
	m->vm_list_index = r->index;
	if (m->state == r->state)
		return;
	m->state = r->state;
	m->incarnation++;
	m->self_sends_left = members_rumour_sends(m);
}

/* Datagrams leave in the order in which they were queued. */
int
members_next_send(struct members *m, struct member_send *out)
{
	struct member_send *s;

	if ((s = g_queue_pop_head(m->queue)) == NULL)
		return 0;
	*out = *s;
	g_free(s);
	return 1;
}
