/*
 * Sends and receives the sealed datagrams of the gossip protocol.  Every
 * datagram carries the version that its sender holds, so a receiver with an
 * older one detects that with the first datagram and fetches the newer.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossip.h"
#include "wire_set.h"

#define RECEIVE_BATCH	 256 /* datagrams handled before others get a turn */
#define UDP_BUFFER_BYTES (1024 * 1024) /* receive buffer of the socket */
#define HASH_PREFIX_LEN	 8 /* bytes of the version's hash on a datagram */

static void fill(struct node *, const struct member_send *, Wire__Datagram *);
static int fill_rejection(struct node *, const struct version_state *,
    Wire__Rejection *, Wire__Version *);
static int fill_rumours(struct node *, Wire__Datagram *, Wire__Rumour *,
    Wire__Rumour **, char names[][MESH_NAME_MAX + 1]);
static void transmit(struct node *, const char *, const Wire__Datagram *, int);
static Wire__Datagram *
open_datagram(struct node *, const unsigned char *, size_t, int *);
static int
read_sender(struct node *, const Wire__Datagram *, int, struct rumour *);
static void handle_datagram(struct node *, const unsigned char *, size_t);
static int is_replay(struct node *, const Wire__Datagram *);
static void apply_content(struct node *, const Wire__Datagram *, int, int64_t);
static void apply_rejection(struct node *, const Wire__Rejection *);
static void update_link_key(struct node *, const char *);
static void respond(struct node *, const Wire__Datagram *, int, int64_t);
static void send_queued(struct node *);

/* Binds the UDP socket; returns NODE_OK or NODE_ELISTEN. */
int
gossip_open(struct node *n)
{
	struct sockaddr_in sin;
	int size = UDP_BUFFER_BYTES;

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

/* Closes the UDP socket; harmless if it is not open. */
void
gossip_close(struct node *n)
{
	if (n->udp >= 0)
		close(n->udp);
	n->udp = -1;
}

/* Fills in the fields that every datagram carries. */
static void
fill(struct node *n, const struct member_send *s, Wire__Datagram *d)
{
	struct version_state v;

	config_versions(n->config, &v);
	memcpy(n->hash_prefix, v.held.hash, HASH_PREFIX_LEN);
	d->kind = s->kind;
	d->from = n->settings.name;
	d->boot = n->boot;
	d->count = ++n->datagrams;
	d->probe = s->probe;
	d->number = v.held.number;
	d->hash.data = n->hash_prefix;
	d->hash.len = v.held.number > 0 ? HASH_PREFIX_LEN : 0;
	d->incarnation = members_incarnation(n->members) - n->boot;
	d->state = members_state(n->members);
	d->load = n->gossip_events->load(n);
}

/*
 * Puts rumours on a datagram: for a node that joins a sample of live members,
 * else those that membership disseminates next.  The arrays, with room for
 * MEMBER_RUMOURS, must live as long as the datagram.
 */
static int
fill_rumours(struct node *n, Wire__Datagram *d, Wire__Rumour *out,
    Wire__Rumour **ptrs, char names[][MESH_NAME_MAX + 1])
{
	struct rumour r[MEMBER_RUMOURS];
	int i, count;

	count = d->kind == KIND_WELCOME
		    ? members_sample(n->members, r, MEMBER_RUMOURS)
		    : members_pick_rumours(n->members, r, MEMBER_RUMOURS);
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

/* Fills in the rejection to send, which points into st; returns 0 if none. */
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

/*
 * Packs, seals and sends a datagram.  If it is too large, its rumours are left
 * out, and then the pushed version: the receiver still sees the version number
 * and can fetch it.
 */
static void
transmit(struct node *n, const char *addr, const Wire__Datagram *d, int config)
{
	unsigned char plain[SEAL_MAX], sealed[SEAL_MAX];
	Wire__Datagram fitted = *d;
	struct sockaddr_in sin;
	int len;

	if (wire__datagram__get_packed_size(&fitted) + SEAL_OVERHEAD > SEAL_MAX)
		fitted.n_rumours = 0;
	if (wire__datagram__get_packed_size(&fitted) + SEAL_OVERHEAD > SEAL_MAX)
		fitted.push = NULL;
	if (address_resolve(addr, &sin) != BASE_OK)
		return;
	len = (int)wire__datagram__pack(&fitted, plain);
	len = seal(n->keys.key[0], addr, plain, (size_t)len, sealed);
	if (len < 0 || sendto(n->udp, sealed, (size_t)len, MSG_DONTWAIT,
			   (struct sockaddr *)&sin, sizeof(sin)) < 0)
		return;
	counter_add(CTR_DATAGRAMS_SENT, 1);
	counter_add(CTR_CONTROL_BYTES_SENT, len);
	if (config)
		counter_add(CTR_CONFIG_BYTES_SENT, len);
}

/* Sends one datagram of the kind in s; delta is the pushed set, or NULL. */
void
gossip_send(struct node *n, const struct member_send *s,
    const struct config_delta *delta)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	Wire__Rumour rumours[MEMBER_RUMOURS], *ptrs[MEMBER_RUMOURS];
	Wire__SetReply push = WIRE__SET_REPLY__INIT;
	Wire__Version v = WIRE__VERSION__INIT;
	Wire__Rumour listing = WIRE__RUMOUR__INIT, *listing_ptr = &listing;
	char names[MEMBER_RUMOURS][MESH_NAME_MAX + 1];
	Wire__Rejection rejection = WIRE__REJECTION__INIT;
	Wire__Version refused = WIRE__VERSION__INIT;
	struct version_state held;
	const struct member *to = member_at(n->members, s->to);

	config_versions(n->config, &held);
	fill(n, s, &d);
	if (delta == NULL && fill_rejection(n, &held, &rejection, &refused))
		d.rejection = &rejection;
	if (s->kind == KIND_VM_STATE) {
		listing.name = (char *)to->name;
		listing.state = s->about ? MEMBER_LEAVING : MEMBER_ALIVE;
		listing.index = s->probe;
		d.rumours = &listing_ptr;
		d.n_rumours = 1;
	} else {
		fill_rumours(n, &d, rumours, ptrs, names);
	}
	if (s->kind == KIND_PROBE_FOR || s->kind == KIND_ACK_FOR)
		d.about = member_at(n->members, s->about)->name;
	if (!to->contacted || s->kind == KIND_PROBE ||
	    s->kind == KIND_WELCOME) {
		d.address = n->settings.advertise;
		d.data_centre = n->settings.data_centre;
	}
	if (delta != NULL) {
		wire_set_pack(delta, &push, &v);
		d.push = &push;
	}
	transmit(n, to->addr, &d, s->kind == KIND_PUSH || s->kind == KIND_HAVE);
}

/* The address and data centre are sent as the receiver may not know them. */
void
gossip_join(struct node *n, const char *addr)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	struct member_send s = { .kind = KIND_JOIN };

	fill(n, &s, &d);
	d.address = n->settings.advertise;
	d.data_centre = n->settings.data_centre;
	transmit(n, addr, &d, 0);
}

/* Whether a datagram is a duplicate, too old or from an earlier process. */
static int
is_replay(struct node *n, const Wire__Datagram *d)
{
	struct replay *r;

	if ((r = g_hash_table_lookup(n->replay_windows, d->from)) == NULL) {
		r = g_new0(struct replay, 1);
		g_hash_table_insert(n->replay_windows, g_strdup(d->from), r);
	}
	return !replay_accept(r, d->boot, d->count);
}

/*
 * Makes links to a member use the key whose fingerprint it advertises.  A link
 * that was opened with another key cannot complete its handshake.
 */
static void
update_link_key(struct node *n, const char *name)
{
	int i, at = member_find(n->members, name);
	uint32_t key = at >= 0 ? member_at(n->members, at)->key : 0;

	for (i = 0; key != 0 && i < n->keys.count; i++)
		if (n->key_fingerprints[i] == key &&
		    link_set_key(n->link, name, i))
			n->gossip_events->link_replaced(n, name);
}

/* Records that validation on another node refused a version. */
static void
apply_rejection(struct node *n, const Wire__Rejection *r)
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

/* Applies the sender's version and load, rumours, a rejection and suspects. */
static void
apply_content(struct node *n, const Wire__Datagram *d, int from, int64_t now)
{
	struct member *p = member_at(n->members, from);
	const Wire__Rumour *w;
	struct rumour r;
	size_t i;

	p->number = d->number;
	p->load = d->load;
	memset(p->hash, 0, sizeof(p->hash));
	if (d->hash.len == HASH_PREFIX_LEN)
		memcpy(p->hash, d->hash.data, HASH_PREFIX_LEN);
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
		members_apply_rumour(n->members, &r, now);
		update_link_key(n, w->name);
	}
	apply_rejection(n, d->rejection);
	for (i = 0; i < d->n_suspects; i++)
		n->gossip_events->suspect(n, from, d->suspects[i]);
}

/* Handles a datagram according to its kind, for example answers a probe. */
static void
respond(struct node *n, const Wire__Datagram *d, int from, int64_t now)
{
	struct member_send s = { .to = from, .probe = d->probe };
	int m;

	switch (d->kind) {
	case KIND_PROBE:
		s.kind = KIND_ACK;
		gossip_send(n, &s, NULL);
		break;
	case KIND_ACK:
		members_ack(n->members, from, d->probe, now);
		break;
	case KIND_PROBE_FOR:
		if ((m = member_find(n->members, d->about)) >= 0)
			members_probe_for(n->members, from, m, d->probe, now);
		break;
	case KIND_ACK_FOR:
		if ((m = member_find(n->members, d->about)) >= 0)
			members_ack(n->members, m, d->probe, now);
		break;
	case KIND_PUSH:
		n->gossip_events->push(n, from, d->push);
		break;
	case KIND_JOIN:
		s.kind = KIND_WELCOME;
		gossip_send(n, &s, NULL);
		break;
	default:
		break;
	}
}

/*
 * Opens and unpacks a datagram.  Returns NULL if it is not sealed for this
 * node with one of the fleet's keys, malformed, this node's own or a replay.
 */
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
 * Reads what a datagram says about its sender.  Returns 0 if the sender is no
 * member and gives no valid address and data centre, as it cannot be answered.
 */
static int
read_sender(struct node *n, const Wire__Datagram *d, int key, struct rumour *r)
{
	char host[ADDRESS_MAX];
	int port, sender = member_find(n->members, d->from);

	*r = (struct rumour){ .name = d->from,
		.addr = d->address,
		.dc = d->data_centre,
		.state = (enum member_state)CLAMP(
		    d->state, MEMBER_ALIVE, MEMBER_LEFT),
		.incarnation = d->boot + d->incarnation,
		.key = n->key_fingerprints[key] };
	if (sender >= 0 && d->address[0] == '\0')
		r->addr = member_at(n->members, sender)->addr;
	return address_split(r->addr, host, &port) == BASE_OK &&
	       (sender >= 0 || name_valid(r->dc, MESH_NAME_MAX));
}

/* Handles one sealed datagram. */
static void
handle_datagram(struct node *n, const unsigned char *sealed, size_t len)
{
	struct rumour sender;
	Wire__Datagram *d;
	int64_t now = base_now_ms();
	int from, key;

	if ((d = open_datagram(n, sealed, len, &key)) == NULL)
		return;
	if (read_sender(n, d, key, &sender)) {
		from = members_receive(n->members, &sender, d->boot, now);
		update_link_key(n, d->from);
		apply_content(n, d, from, now);
		respond(n, d, from, now);
		n->gossip_events->received(n, from);
	}
	wire__datagram__free_unpacked(d, NULL);
	if (members_state(n->members) == MEMBER_LEAVING || n->out)
		n->gossip_events->own_state_changed(n);
}

/* Handles the datagrams that have arrived, up to RECEIVE_BATCH. */
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
		handle_datagram(n, buf, (size_t)len);
	}
}

/* Sends the datagrams that membership has queued. */
static void
send_queued(struct node *n)
{
	struct member_send s;

	while (members_next_send(n->members, &s))
		gossip_send(n, &s, NULL);
}

/* Runs membership's timers at now (ms), and sends what they queue. */
void
gossip_tick(struct node *n, int64_t now)
{
	members_tick(n->members, now);
	send_queued(n);
}

/* Sends a message about crashes to one member. */
static void
send_suspect(struct node *n, int member, Wire__Suspect *w)
{
	Wire__Datagram d = WIRE__DATAGRAM__INIT;
	struct member_send s = { .kind = KIND_RUMOURS, .to = member };

	fill(n, &s, &d);
	d.suspects = &w;
	d.n_suspects = 1;
	transmit(n, member_at(n->members, member)->addr, &d, 0);
}

/* Sends w to one guard, or with member < 0 to all guards of the service. */
void
gossip_send_suspect(struct node *n, int member, Wire__Suspect *w)
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

/* Applies a VM list that was read from the source, and frees it. */
void
gossip_vms(struct node *n, struct vm_list *list)
{
	const struct vm_line *l;
	guint i;

	members_list_begin(n->members);
	for (i = 0; i < list->lines->len; i++) {
		l = &g_array_index(list->lines, struct vm_line, i);
		members_list_add(n->members, l->name, l->addr, l->dc,
		    l->leaving, list->index);
	}
	members_list_end(n->members);
	n->listed = 1;
	send_queued(n);
	n->gossip_events->own_state_changed(n);
	g_array_free(list->lines, TRUE);
	g_free(list);
}
