/*
 * Membership on the wire: sealed datagrams, in and out.  Every datagram says
 * what version its sender holds, so whoever is behind learns it at once.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossip.h"
#include "wire_set.h"

#define RECEIVE_BATCH 256 /* datagrams handled before others get a turn */
#define UDP_BUFFER    (1024 * 1024) /* bytes */
#define HASH_SENT     8		    /* bytes of a hash in a datagram */

static void fill(struct node *, const struct member_send *, Wire__Datagram *);
static int fill_rejection(struct node *, const struct version_state *,
    Wire__Rejection *, Wire__Version *);
static int fill_rumours(struct node *, Wire__Datagram *, Wire__Rumour *,
    Wire__Rumour **, char names[][MESH_NAME_MAX + 1]);
static void transmit(struct node *, const char *, const Wire__Datagram *, int);
static Wire__Datagram *
open_datagram(struct node *, const unsigned char *, size_t, int *);
static int
sender_of(struct node *, const Wire__Datagram *, int, struct rumour *);
static void received(struct node *, const unsigned char *, size_t);
static int is_replay(struct node *, const Wire__Datagram *);
static void learn(struct node *, const Wire__Datagram *, int, int64_t);
static void learn_rejection(struct node *, const Wire__Rejection *);
static void use_key(struct node *, const char *);
static void react(struct node *, const Wire__Datagram *, int, int64_t);
static void flush(struct node *);

/* Opens the datagram socket. */
int
gossip_open(struct node *n)
{
	struct sockaddr_in sin;
	int size = UDP_BUFFER;

	if (address_resolve(n->settings.listen, &sin) != BASE_OK)
		return NODE_ELISTEN;
	n->udp = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->udp < 0)
		return NODE_ELISTEN;
	if (bind(n->udp, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		gossip_close(n);
		return NODE_ELISTEN;
	}
	setsockopt(n->udp, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return NODE_OK;
}

/* Closes it. */
void
gossip_close(struct node *n)
{
	if (n->udp >= 0)
		close(n->udp);
	n->udp = -1;
}

/* Fills in what every datagram carries. */
static void
fill(struct node *n, const struct member_send *s, Wire__Datagram *d)
{
	struct version_state v;

	config_versions(n->config, &v);
	memcpy(n->held_hash, v.held.hash, HASH_SENT);
	d->kind = s->kind;
	d->from = n->settings.name;
	d->boot = n->boot;
	d->count = ++n->datagrams;
	d->probe = s->probe;
	d->number = v.held.number;
	d->hash.data = n->held_hash;
	d->hash.len = v.held.number > 0 ? HASH_SENT : 0;
	d->incarnation = members_incarnation(n->members) - n->boot;
	d->state = members_state(n->members);
	d->load = n->gossip_events->load(n);
}

/* Puts rumours on a datagram. */
static int
fill_rumours(struct node *n, Wire__Datagram *d, Wire__Rumour *out,
    Wire__Rumour **ptrs, char names[][MESH_NAME_MAX + 1])
{
	struct rumour r[MEMBER_RUMOURS];
	int i, count;

	count = d->kind == KIND_WELCOME
		    ? members_sample(n->members, r, MEMBER_RUMOURS)
		    : members_rumours(n->members, r, MEMBER_RUMOURS);
	for (i = 0; i < count; i++) {
		wire__rumour__init(&out[i]);
		g_strlcpy(names[i], r[i].name, sizeof(names[i]));
		out[i].name = names[i];
		out[i].address = (char *)r[i].addr;
		out[i].data_centre = (char *)r[i].dc;
		out[i].state = r[i].state;
		out[i].incarnation = r[i].incarnation;
		out[i].key = r[i].key;
		ptrs[i] = &out[i];
	}
	d->rumours = ptrs;
	d->n_rumours = (size_t)count;
	return count;
}

/* Tells of a version that a check refused; all points into the state. */
static int
fill_rejection(struct node *n, const struct version_state *st,
    Wire__Rejection *r, Wire__Version *w)
{
	const struct version *v;
	const char *reason, *by;

	if (!n->gossip_events->rejection(n, st, &v, &reason, &by))
		return 0;
	w->number = v->number;
	w->hash.data = (uint8_t *)v->hash;
	w->hash.len = VERSION_HASH_LEN;
	r->set = w;
	r->reason = (char *)reason;
	r->by = (char *)by;
	return 1;
}

/* Packs, seals and sends; rumours and a payload that do not fit stay out. */
static void
transmit(struct node *n, const char *addr, const Wire__Datagram *d, int spread)
{
	unsigned char plain[SEAL_MAX], sealed[SEAL_MAX];
	Wire__Datagram small = *d;
	struct sockaddr_in sin;
	int len;

	if (wire__datagram__get_packed_size(&small) + SEAL_OVERHEAD > SEAL_MAX)
		small.n_rumours = 0;
	if (wire__datagram__get_packed_size(&small) + SEAL_OVERHEAD > SEAL_MAX)
		small.push = NULL;
	if (address_resolve(addr, &sin) != BASE_OK)
		return;
	len = (int)wire__datagram__pack(&small, plain);
	len = seal(n->keys.key[0], addr, plain, (size_t)len, sealed);
	if (len < 0 || sendto(n->udp, sealed, (size_t)len, MSG_DONTWAIT,
			   (struct sockaddr *)&sin, sizeof(sin)) < 0)
		return;
	counter_add(CTR_DATAGRAMS_SENT, 1);
	counter_add(CTR_CONTROL_BYTES_SENT, len);
	if (spread)
		counter_add(CTR_SPREAD_BYTES_SENT, len);
}

/* Sends one datagram. */
void
gossip_send(struct node *n, const struct member_send *s,
    const struct config_delta *delta)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	Wire__Rumour rumours[MEMBER_RUMOURS], *ptrs[MEMBER_RUMOURS];
	Wire__SetReply push = WIRE__SET_REPLY__INIT;
	Wire__Version v = WIRE__VERSION__INIT;
	Wire__Rumour listed = WIRE__RUMOUR__INIT, *one = &listed;
	char names[MEMBER_RUMOURS][MESH_NAME_MAX + 1];
	Wire__Rejection rejection = WIRE__REJECTION__INIT;
	Wire__Version refused = WIRE__VERSION__INIT;
	struct version_state held;
	const struct member *to = member_at(n->members, s->to);

	config_versions(n->config, &held);
	fill(n, s, &d);
	if (delta == NULL && fill_rejection(n, &held, &rejection, &refused))
		d.rejection = &rejection;
	if (s->kind == KIND_LISTED) {
		listed.name = (char *)to->name;
		listed.state = s->about ? MEMBER_LEAVING : MEMBER_ALIVE;
		listed.index = s->probe;
		d.rumours = &one;
		d.n_rumours = 1;
	} else {
		fill_rumours(n, &d, rumours, ptrs, names);
	}
	if (s->kind == KIND_PROBE_FOR || s->kind == KIND_ACK_FOR)
		d.about = member_at(n->members, s->about)->name;
	if (!to->heard || s->kind == KIND_PROBE || s->kind == KIND_WELCOME) {
		d.address = n->settings.advertise;
		d.data_centre = n->settings.data_centre;
	}
	if (delta != NULL) {
		wire_set_pack(delta, &push, &v);
		d.push = &push;
	}
	transmit(n, to->addr, &d, s->kind == KIND_PUSH || s->kind == KIND_HAVE);
}

/* Greets a node that may be a stranger, and to whom this one may be one. */
void
gossip_greet(struct node *n, const char *addr)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	struct member_send s = { .kind = KIND_JOIN };

	fill(n, &s, &d);
	d.address = n->settings.advertise;
	d.data_centre = n->settings.data_centre;
	transmit(n, addr, &d, 0);
}

/* Whether a datagram was seen before, or is of an earlier process. */
static int
is_replay(struct node *n, const Wire__Datagram *d)
{
	struct replay *r;

	if ((r = g_hash_table_lookup(n->replays, d->from)) == NULL) {
		r = g_new0(struct replay, 1);
		g_hash_table_insert(n->replays, g_strdup(d->from), r);
	}
	return !replay_accept(r, d->boot, d->count);
}

/* Connections to a node are opened with the key that it is known to use. */
static void
use_key(struct node *n, const char *name)
{
	int i, at = member_find(n->members, name);
	uint32_t key = at >= 0 ? member_at(n->members, at)->key : 0;

	for (i = 0; key != 0 && i < n->keys.count; i++)
		if (n->prints[i] == key && link_key(n->link, name, i))
			n->gossip_events->relinked(n, name);
}

/* Takes in that some node's check refused a version. */
static void
learn_rejection(struct node *n, const Wire__Rejection *r)
{
	struct version v;

	if (r == NULL || r->set == NULL ||
	    r->set->hash.len != VERSION_HASH_LEN ||
	    !name_valid(r->by, MESH_NAME_MAX) ||
	    !name_valid(r->reason, VERSION_REASON_LEN - 1))
		return;
	v.number = r->set->number;
	memcpy(v.hash, r->set->hash.data, VERSION_HASH_LEN);
	config_record_rejection(n->config, &v, r->reason, r->by);
}

/* Takes in what a datagram says of its sender and of others. */
static void
learn(struct node *n, const Wire__Datagram *d, int from, int64_t now)
{
	struct member *p = member_at(n->members, from);
	const Wire__Rumour *w;
	struct rumour r;
	size_t i;

	p->number = d->number;
	p->load = d->load;
	memset(p->hash, 0, sizeof(p->hash));
	if (d->hash.len == HASH_SENT)
		memcpy(p->hash, d->hash.data, HASH_SENT);
	for (i = 0; i < d->n_rumours; i++) {
		w = d->rumours[i];
		r = (struct rumour){ .name = w->name,
			.addr = w->address,
			.dc = w->data_centre,
			.state = (enum member_state)CLAMP(
			    w->state, MEMBER_ALIVE, MEMBER_LEFT),
			.incarnation = w->incarnation,
			.index = w->index,
			.key = w->key };
		members_rumour(n->members, &r, now);
		use_key(n, w->name);
	}
	learn_rejection(n, d->rejection);
	for (i = 0; i < d->n_suspects; i++)
		n->gossip_events->suspected(n, from, d->suspects[i]);
}

/* Answers a datagram, if its kind asks for it. */
static void
react(struct node *n, const Wire__Datagram *d, int from, int64_t now)
{
	struct member_send s = { .to = from, .probe = d->probe };
	int about;

	switch (d->kind) {
	case KIND_PROBE:
		s.kind = KIND_ACK;
		gossip_send(n, &s, NULL);
		break;
	case KIND_ACK:
		members_ack(n->members, from, d->probe, now);
		break;
	case KIND_PROBE_FOR:
		if ((about = member_find(n->members, d->about)) >= 0)
			members_probe_for(
			    n->members, from, about, d->probe, now);
		break;
	case KIND_ACK_FOR:
		if ((about = member_find(n->members, d->about)) >= 0)
			members_ack(n->members, about, d->probe, now);
		break;
	case KIND_PUSH:
		n->gossip_events->pushed(n, from, d->push);
		break;
	case KIND_JOIN:
		s.kind = KIND_WELCOME;
		gossip_send(n, &s, NULL);
		break;
	default:
		break;
	}
}

/* Opens a datagram; NULL when it is of no known key, garbled or replayed. */
static Wire__Datagram *
open_datagram(struct node *n, const unsigned char *sealed, size_t len, int *key)
{
	unsigned char plain[SEAL_MAX];
	Wire__Datagram *d = NULL;
	int size;

	size = unseal_any(
	    &n->keys, n->settings.advertise, sealed, len, plain, key);
	if (size >= 0)
		d = wire__datagram__unpack(NULL, (size_t)size, plain);
	if (d != NULL && name_valid(d->from, MESH_NAME_MAX) &&
	    strcmp(d->from, n->settings.name) != 0 && !is_replay(n, d)) {
		counter_add(CTR_DATAGRAMS_RECEIVED, 1);
		counter_add(CTR_CONTROL_BYTES_RECEIVED, (int64_t)len);
		return d;
	}
	counter_add(CTR_DATAGRAMS_REFUSED, 1);
	if (d != NULL)
		wire__datagram__free_unpacked(d, NULL);
	return NULL;
}

/*
 * What a datagram says of its sender; 0 for a stranger that does not say where
 * it is, as it cannot be answered.
 */
static int
sender_of(struct node *n, const Wire__Datagram *d, int key, struct rumour *out)
{
	char host[ADDRESS_MAX];
	int port, known = member_find(n->members, d->from);

	*out = (struct rumour){ .name = d->from,
		.addr = d->address,
		.dc = d->data_centre,
		.state = (enum member_state)CLAMP(
		    d->state, MEMBER_ALIVE, MEMBER_LEFT),
		.incarnation = d->boot + d->incarnation,
		.key = n->prints[key] };
	if (known >= 0 && d->address[0] == '\0')
		out->addr = member_at(n->members, known)->addr;
	return address_split(out->addr, host, &port) == BASE_OK &&
	       (known >= 0 || name_valid(out->dc, MESH_NAME_MAX));
}

/* One datagram, still sealed. */
static void
received(struct node *n, const unsigned char *sealed, size_t len)
{
	struct rumour sender;
	Wire__Datagram *d;
	int64_t now = base_now_ms();
	int from, key;

	if ((d = open_datagram(n, sealed, len, &key)) == NULL)
		return;
	if (sender_of(n, d, key, &sender)) {
		from = members_heard(n->members, &sender, d->boot, now);
		use_key(n, d->from);
		learn(n, d, from, now);
		react(n, d, from, now);
		n->gossip_events->heard(n, from);
	}
	wire__datagram__free_unpacked(d, NULL);
	if (members_state(n->members) == MEMBER_LEAVING || n->out)
		n->gossip_events->own_state(n);
}

/* Receives what has come. */
void
gossip_receive(struct node *n)
{
	unsigned char buf[SEAL_MAX + 1];
	ssize_t len;
	int i;

	for (i = 0; i < RECEIVE_BATCH; i++) {
		len = recv(n->udp, buf, sizeof(buf), MSG_DONTWAIT);
		if (len < 0)
			return;
		received(n, buf, (size_t)len);
	}
}

/* Sends what membership has queued. */
static void
flush(struct node *n)
{
	struct member_send s;

	while (members_send(n->members, &s))
		gossip_send(n, &s, NULL);
}

/* Time passes. */
void
gossip_tick(struct node *n, int64_t now)
{
	members_tick(n->members, now);
	flush(n);
}

/* Sends one word of crashes to a member. */
static void
send_suspect(struct node *n, int member, Wire__Suspect *w)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	struct member_send s = { .kind = KIND_TELL, .to = member };

	fill(n, &s, &d);
	d.suspects = &w;
	d.n_suspects = 1;
	transmit(n, member_at(n->members, member)->addr, &d, 0);
}

/* Tells the guards of this node's service, or one of them. */
void
gossip_suspect(struct node *n, int member, Wire__Suspect *w)
{
	const struct config *cfg = config_get(n->config);
	const struct set_service *v;
	int i, m;

	if (member >= 0) {
		send_suspect(n, member, w);
		return;
	}
	if (cfg == NULL ||
	    (i = set_target_of_vm(cfg->set, n->settings.name)) < 0)
		return;
	v = &cfg->set->services[cfg->set->targets[i].service];
	for (i = 0; i < v->ntargets; i++) {
		m = member_find(
		    n->members, cfg->set->targets[v->targets[i]].vm);
		if (m >= 0)
			send_suspect(n, m, w);
	}
}

/* A VM list was read. */
void
gossip_vms(struct node *n, struct vm_list *list)
{
	const struct vm_line *l;
	guint i;

	members_list_begin(n->members);
	for (i = 0; i < list->lines->len; i++) {
		l = &g_array_index(list->lines, struct vm_line, i);
		members_list(n->members, l->name, l->addr, l->dc, l->leaving,
		    list->index);
	}
	members_list_end(n->members);
	n->listed = 1;
	flush(n);
	n->gossip_events->own_state(n);
	g_array_free(list->lines, TRUE);
	g_free(list);
}
