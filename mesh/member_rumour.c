/* Membership: receiving and sending rumours. */
#include <string.h>

#include "member_int.h"

/* A node that leaves announces that to all members until it ends. */
#define LEAVE_BATCH	16  /* members informed at a time */
#define LEAVE_PERIOD_MS 200 /* between two batches */

static int rumour_is_valid(const struct rumour *);
static void refute(struct members *m, const struct rumour *r);
static struct rumour rumour_of(const struct member *);
static int is_picked(const struct rumour *out, int n, const char *name);

/* Refutes a rumour that this node is suspect or dead, by a new incarnation. */
static void
refute(struct members *m, const struct rumour *r)
{
	if (r->state <= m->state || r->incarnation < m->incarnation ||
	    m->state == MEMBER_LEFT)
		return;
	m->incarnation = r->incarnation + 1;
	m->self_sends_left = members_rumour_sends(m);
}

/* Whether name, data centre and address are well-formed. */
static int
rumour_is_valid(const struct rumour *r)
{
	char host[ADDRESS_MAX];
	int port;

	return name_valid(r->name, MESH_NAME_MAX) &&
	       name_valid(r->dc, MESH_NAME_MAX) &&
	       address_split(r->addr, host, &port) == BASE_OK;
}

/* A state from the VM list applies only to the node that it is sent to. */
void
members_apply_rumour(struct members *m, const struct rumour *r, int64_t now)
{
	struct member *p;
	int i, newer;

	if (strcmp(r->name, m->name) == 0) {
		if (r->index > 0)
			member_apply_vm_state(m, r);
		else
			refute(m, r);
		return;
	}
	if (r->index > 0 || !rumour_is_valid(r))
		return;
	if ((i = member_find(m, r->name)) < 0) {
		p = member_add(m, r->name, r->addr, r->dc);
		p->state = r->state;
		p->since = now;
		p->incarnation = r->incarnation;
		p->key = r->key;
		p->sends_left = members_rumour_sends(m);
		p->suspect_until = now + MEMBER_SUSPECT_MS;
		return;
	}
	p = member_at(m, i);
	newer = r->incarnation > p->incarnation;
	/* Within one incarnation, a worse state overrides a better one. */
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

/* The first announcements are queued at once. */
void
members_leave(struct members *m)
{
	m->state = MEMBER_LEFT;
	m->incarnation++;
	m->self_sends_left = members_rumour_sends(m);
	m->next_leave_send = 0;
	m->cursor = m->all->len > 0
			? g_rand_int_range(m->rand, 0, (int)m->all->len)
			: 0;
	member_send_leaving(m, m->next_leave_send);
}

/*
 * Sends the announcement to the next members in turn.  The first ones to
 * receive it may be leaving as well and not spread it, so a node that leaves
 * repeats it for as long as it runs.
 */
void
member_send_leaving(struct members *m, int64_t now)
{
	int i, n = members_count(m), sent = 0;

	if (m->state != MEMBER_LEFT || now < m->next_leave_send)
		return;
	m->next_leave_send = now + LEAVE_PERIOD_MS;
	m->self_sends_left = members_rumour_sends(m);
	for (i = 0; i < n && sent < LEAVE_BATCH; i++) {
		m->cursor = (m->cursor + 1) % n;
		if (member_at(m, m->cursor)->state > MEMBER_SUSPECT)
			continue;
		member_queue_send(m, KIND_RUMOURS, m->cursor, -1, 0);
		sent++;
	}
}

/* Whether a name is already among the first n rumours. */
static int
is_picked(const struct rumour *out, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (out[i].name == name)
			return 1;
	return 0;
}

/* The rumour of a member; its strings belong to the member. */
static struct rumour
rumour_of(const struct member *p)
{
	return (struct rumour){ .name = p->name,
		.addr = p->addr,
		.dc = p->dc,
		.state = p->state,
		.incarnation = p->incarnation,
		.key = p->key };
}

/* This node's own state comes first, then the rumours sent least often. */
int
members_pick_rumours(struct members *m, struct rumour *out, int max)
{
	struct member *p, *best;
	int i, n = 0;

	if (m->self_sends_left > 0 && n < max) {
		m->self_sends_left--;
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
			if (p->sends_left > 0 && !is_picked(out, n, p->name) &&
			    (best == NULL || p->sends_left > best->sends_left))
				best = p;
		}
		if (best == NULL)
			break;
		best->sends_left--;
		out[n++] = rumour_of(best);
	}
	return n;
}

/* Samples only members that this node has received datagrams from. */
int
members_sample(struct members *m, struct rumour *out, int max)
{
	int i, at, n = 0, count = members_count(m);
	struct member *p;

	at = count > 0 ? g_rand_int_range(m->rand, 0, count) : 0;
	for (i = 0; i < count && n < max; i++) {
		at = (at + 1) % count;
		p = member_at(m, at);
		if (member_usable(p) && p->contacted)
			out[n++] = rumour_of(p);
	}
	return n;
}
