/*
 * Distribution of configuration versions.  Each data centre has a tree of its
 * live nodes, in the order of rendezvous hashing.  The first few nodes read
 * the source; the others receive a new version as a push from their parent.
 * As a node has one parent only, a change costs one datagram and one
 * acknowledgement a node.  Lost pushes are repaired by anti-entropy: every
 * datagram carries its sender's version, and a node that receives a newer one
 * than its own fetches it over a link.
 */
#include <string.h>

#include "gossip.h"
#include "spread.h"
#include "wire_set.h"

#define PUSHES_MAX	  64   /* in flight */
#define REFRESH_MS	  1000 /* longest wait for a peer after a pause */
#define FANOUT		  4    /* children of a node in the tree */
#define PUSH_TRIES_MAX	  3
#define PUSH_RETRY_MS	  150  /* ms until an unacknowledged push is resent */
#define FETCH_TIMEOUT_MS  1000 /* until another fetch may begin */
#define PUSH_APPLY_MS	  300  /* for the store to activate a pushed version */
#define START_PEERS	  3    /* requested by a node that starts */
#define REQUEST_BASES_MAX 8    /* bases of a request that are considered */

/* An unacknowledged push. */
struct push {
	int to; /* member handle */
	int tries;
	int64_t retry_at;
};

struct spread {
	struct push pushes[PUSHES_MAX];
	int npushes;
	uint64_t pushed_number; /* number of the version last pushed */
	int pushed_by;		/* member to acknowledge its push to, or -1 */
	int64_t fetch_until;	/* no other fetch begins before */
	char fetch_from[MESH_NAME_MAX + 1];
	struct version rejected; /* last rejection sent */
	int rejection_sends;	 /* datagrams that will carry it */
	int start_requests;	 /* requests sent at the start */
	int replies;		 /* replies received */
	int fresh;		 /* 0: not confirmed by a peer since a pause */
	int64_t fresh_at;	 /* counts as confirmed from then on */
};

static int list_live_nodes(struct node *, const char **, int *, int);
static void send_push(struct node *, struct push *, int64_t);
static void add_push(struct node *, int, int64_t);
static void remove_push(struct node *, int);
static int is_behind(struct node *, const struct member *);
static void fetch(struct node *, int);
static int
requester_is_current(const Wire__SetRequest *, const struct version *);
static void request_at_start(struct node *);

/* Allocates n->spread; before any pause the configuration is fresh. */
void
spread_init(struct node *n)
{
	n->spread = g_new0(struct spread, 1);
	n->spread->pushed_by = -1;
	n->spread->fresh = 1;
}

/* Releases n->spread. */
void
spread_destroy(struct node *n)
{
	g_free(n->spread);
}

/* Whether a peer has replied to the start's requests, or none was sent. */
int
spread_start_answered(const struct node *n)
{
	return n->spread->start_requests == 0 || n->spread->replies > 0;
}

/* Treats the configuration as stale, for REFRESH_MS at most. */
void
spread_paused(struct node *n, int64_t now)
{
	n->spread->fresh = 0;
	n->spread->fresh_at = now + REFRESH_MS;
}

/* Whether the configuration is confirmed since the last pause. */
int
spread_is_fresh(const struct node *n)
{
	return n->spread->fresh;
}

/*
 * Lists this node, with handle -1, and then the live members of its data
 * centre.  Returns their number.
 */
static int
list_live_nodes(struct node *n, const char **names, int *handles, int max)
{
	const struct member *p;
	int i, count = 1;

	names[0] = n->settings.name;
	handles[0] = -1;
	for (i = 0; i < members_count(n->members) && count < max; i++) {
		p = member_at(n->members, i);
		if (p->state > MEMBER_LEAVING ||
		    strcmp(p->dc, n->settings.data_centre) != 0)
			continue;
		names[count] = p->name;
		handles[count++] = i;
	}
	return count;
}

/* Number of live nodes before this one in its data centre's tree. */
int
spread_rank(struct node *n)
{
	const struct member *p;
	uint64_t own_weight;
	int i, rank = 0;

	own_weight =
	    pick_home_weight(n->settings.data_centre, n->settings.name);
	for (i = 0; i < members_count(n->members); i++) {
		p = member_at(n->members, i);
		if (p->state > MEMBER_LEAVING ||
		    strcmp(p->dc, n->settings.data_centre) != 0)
			continue;
		if (pick_home_weight(n->settings.data_centre, p->name) >
		    own_weight)
			rank++;
	}
	return rank;
}

/*
 * Starts to push to a member.  Above PUSHES_MAX the member is left out and
 * fetches the version once it receives a datagram that carries it.
 */
static void
add_push(struct node *n, int to, int64_t now)
{
	struct push *p;

	if (n->spread->npushes == PUSHES_MAX)
		return;
	p = &n->spread->pushes[n->spread->npushes++];
	*p = (struct push){ .to = to };
	send_push(n, p, now);
}

/* Ends a push; the last one of the array moves to its index. */
static void
remove_push(struct node *n, int i)
{
	n->spread->pushes[i] = n->spread->pushes[--n->spread->npushes];
}

/*
 * Sends the newest version to a member, as a delta against an older one that
 * is held here.
 */
static void
send_push(struct node *n, struct push *p, int64_t now)
{
	struct member_send s = { .kind = KIND_PUSH, .to = p->to };
	unsigned char bases[CONFIG_BASES_MAX][VERSION_HASH_LEN];
	struct config_delta d;
	int count;

	count = config_bases(n->config, bases);
	/* The newest base is skipped: it is the version to be sent. */
	if (config_encode(n->config,
		(const unsigned char(*)[VERSION_HASH_LEN])(bases + 1),
		MAX(0, count - 1), &d) != NODE_OK)
		return;
	gossip_send(n, &s, &d);
	g_bytes_unref(d.payload);
	counter_add(CTR_PUSHES, 1);
	if (!d.has_base)
		counter_add(CTR_FULL_SETS, 1);
	p->tries++;
	p->retry_at = now + PUSH_RETRY_MS;
}

/*
 * The first settings.readers nodes of the order are the roots of the tree.  The
 * children of the node of rank r are the FANOUT nodes from rank
 * settings.readers + r * FANOUT on.  Children that hold the version are left
 * out.
 */
void
spread_applied(struct node *n)
{
	struct member_send have = { .kind = KIND_HAVE };
	struct version_state v;
	const char **names;
	const char *dc = n->settings.data_centre;
	int *handles, *order, count, rank, first, i, size;
	int64_t now = base_now_ms();

	config_versions(n->config, &v);
	if (v.held.number == 0 || v.held.number == n->spread->pushed_number)
		return;
	n->spread->pushed_number = v.held.number;
	n->spread->npushes = 0;
	n->spread->fetch_until = 0;
	if (n->spread->pushed_by >= 0) {
		have.to = n->spread->pushed_by;
		gossip_send(n, &have, NULL);
		n->spread->pushed_by = -1;
	}
	size = members_count(n->members) + 1;
	names = g_new(const char *, size);
	handles = g_new(int, size);
	order = g_new(int, size);
	count = list_live_nodes(n, names, handles, size);
	count = pick_rendezvous(dc, names, count, order, count);
	for (rank = 0; rank < count && order[rank] != 0; rank++)
		;
	first = n->settings.readers + rank * FANOUT;
	for (i = first; i < first + FANOUT && i < count; i++)
		if (is_behind(n, member_at(n->members, handles[order[i]])))
			add_push(n, handles[order[i]], now);
	g_free(order);
	g_free(handles);
	g_free(names);
}

/* Whether the last version that a member reported is older than ours. */
static int
is_behind(struct node *n, const struct member *p)
{
	struct version_state v;

	config_versions(n->config, &v);
	return p->number < v.held.number;
}

/*
 * Requests a member's newest version over a link, unless another fetch is in
 * flight.
 */
static void
fetch(struct node *n, int from)
{
	const struct member *p = member_at(n->members, from);
	unsigned char bases[CONFIG_BASES_MAX][VERSION_HASH_LEN];
	ProtobufCBinaryData list[CONFIG_BASES_MAX];
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__SetRequest req = WIRE__SET_REQUEST__INIT;
	Wire__Version have = WIRE__VERSION__INIT;
	struct version_state v;
	int64_t now = base_now_ms();
	int i, bytes;

	if (n->spread->fetch_until > now)
		return;
	n->spread->fetch_until = now + FETCH_TIMEOUT_MS;
	config_versions(n->config, &v);
	req.n_bases = (size_t)config_bases(n->config, bases);
	for (i = 0; i < (int)req.n_bases; i++) {
		list[i].data = bases[i];
		list[i].len = VERSION_HASH_LEN;
	}
	req.bases = list;
	have.number = v.held.number;
	have.hash.data = v.held.hash;
	have.hash.len = VERSION_HASH_LEN;
	req.have = &have;
	env.body_case = WIRE__ENVELOPE__BODY_SET_REQUEST;
	env.set_request = &req;
	bytes = link_send(n->link, p->name, p->addr, &env);
	if (bytes < 0) {
		n->spread->fetch_until = 0;
		return;
	}
	counter_add(CTR_FETCHES, 1);
	counter_add(CTR_CONTROL_BYTES_SENT, bytes);
	counter_add(CTR_CONFIG_BYTES_SENT, bytes);
}

/*
 * Of two versions with one number the one with the greater hash is newer.  A
 * version that this node has rejected is not fetched again.
 */
void
spread_peer_version(struct node *n, int member)
{
	const struct member *p = member_at(n->members, member);
	struct version_state v;
	int i, hash_order;

	config_versions(n->config, &v);
	for (i = 0; i < n->spread->npushes; i++)
		if (n->spread->pushes[i].to == member &&
		    p->number >= v.held.number)
			remove_push(n, i--);
	if (p->number == 0 || p->number < v.held.number)
		return;
	hash_order = memcmp(p->hash, v.held.hash, sizeof(p->hash));
	if (p->number == v.held.number && hash_order <= 0) {
		n->spread->fresh = 1;
		return;
	}
	if (p->number == v.rejected.number &&
	    memcmp(p->hash, v.rejected.hash, sizeof(p->hash)) == 0)
		return;
	fetch(n, member);
}

/*
 * A push that is no delta, or whose base is held, is submitted to the store,
 * and acknowledged when it is active; for any other the version is fetched.  A
 * push of a version that is not wanted is acknowledged at once.
 */
void
spread_receive_push(struct node *n, int from, const Wire__SetReply *push)
{
	unsigned char bases[CONFIG_BASES_MAX][VERSION_HASH_LEN];
	struct member_send have = { .kind = KIND_HAVE, .to = from };
	struct config_delta d;
	enum offer_verdict v;
	int i, count, base_held = 0;

	if (wire_set_unpack(push, &d) != NODE_OK)
		return;
	v = config_offer(n->config, &d.version);
	count = config_bases(n->config, bases);
	for (i = 0; i < count && !base_held; i++)
		base_held = memcmp(bases[i], d.base, VERSION_HASH_LEN) == 0;
	if (v == OFFER_FETCH || v == OFFER_CONFLICT_WINS) {
		if (base_held || !d.has_base) {
			config_submit_delta(
			    n->config, &d, member_at(n->members, from)->name);
			/* Do not also fetch what the store is applying. */
			n->spread->fetch_until = base_now_ms() + PUSH_APPLY_MS;
			n->spread->pushed_by = from;
		} else {
			fetch(n, from);
		}
	} else {
		gossip_send(n, &have, NULL);
	}
	g_bytes_unref(d.payload);
}

/* Whether the requester holds version v already, or one that supersedes it. */
static int
requester_is_current(const Wire__SetRequest *req, const struct version *v)
{
	struct version have = { 0 };

	if (req->have == NULL || req->have->hash.len != VERSION_HASH_LEN)
		return 0;
	have.number = req->have->number;
	memcpy(have.hash, req->have->hash.data, VERSION_HASH_LEN);
	return version_cmp(&have, v) >= 0;
}

/* Answers a peer's fetch, or that its version is current. */
void
spread_answer_request(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__SetRequest *req)
{
	unsigned char bases[REQUEST_BASES_MAX][VERSION_HASH_LEN];
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__SetReply reply = WIRE__SET_REPLY__INIT;
	Wire__Version v = WIRE__VERSION__INIT;
	struct config_delta d = { 0 };
	size_t i;
	int count = 0, bytes, have;

	for (i = 0; i < req->n_bases && count < REQUEST_BASES_MAX; i++)
		if (req->bases[i].len == VERSION_HASH_LEN)
			memcpy(bases[count++], req->bases[i].data,
			    VERSION_HASH_LEN);
	env.call = call;
	env.body_case = WIRE__ENVELOPE__BODY_SET_REPLY;
	env.set_reply = &reply;
	have = config_encode(n->config,
	    (const unsigned char(*)[VERSION_HASH_LEN])bases, count, &d);
	if (have != NODE_OK || requester_is_current(req, &d.version)) {
		reply.current = 1;
	} else {
		wire_set_pack(&d, &reply, &v);
		if (!d.has_base)
			counter_add(CTR_FULL_SETS, 1);
	}
	bytes = link_reply(n->link, r, &env);
	if (bytes > 0) {
		counter_add(CTR_CONTROL_BYTES_SENT, bytes);
		counter_add(CTR_CONFIG_BYTES_SENT, bytes);
	}
	if (d.payload != NULL)
		g_bytes_unref(d.payload);
}

/* Submits a fetched version; if there is none, a new fetch may begin. */
void
spread_receive_reply(struct node *n, const char *peer, const Wire__SetReply *r)
{
	struct config_delta d;

	n->spread->replies++;
	if (r->current || wire_set_unpack(r, &d) != NODE_OK) {
		n->spread->fetch_until = 0;
		return;
	}
	config_submit_delta(n->config, &d, peer);
	g_bytes_unref(d.payload);
}

/*
 * Requests the newest version from a few live members, beginning at a random
 * one.
 */
static void
request_at_start(struct node *n)
{
	const struct member *p;
	int i, at, count = members_count(n->members);

	if (count == 0)
		return;
	at = g_rand_int_range(n->rand, 0, count);
	for (i = 0; i < count && n->spread->start_requests < START_PEERS; i++) {
		at = (at + 1) % count;
		p = member_at(n->members, at);
		if (p->state > MEMBER_LEAVING)
			continue;
		n->spread->fetch_until = 0;
		fetch(n, at);
		n->spread->start_requests++;
	}
}

/* Sends the first requests of a start, and repeats unacknowledged pushes. */
void
spread_tick(struct node *n, int64_t now)
{
	struct push *p;
	int i;

	if (!n->ready && n->spread->start_requests == 0)
		request_at_start(n);
	if (now >= n->spread->fresh_at)
		n->spread->fresh = 1;
	for (i = 0; i < n->spread->npushes; i++) {
		p = &n->spread->pushes[i];
		if (p->retry_at > now)
			continue;
		if (p->tries >= PUSH_TRIES_MAX)
			remove_push(n, i--);
		else
			send_push(n, p, now);
	}
}

/*
 * The newest rejection known is gossiped like a rumour: it is put on as many
 * datagrams as it takes to reach nearly all nodes.
 */
int
spread_rejection(struct node *n, const struct version_state *st,
    const struct version **v, const char **reason, const char **by)
{
	if ((*v = version_rejected(st, reason, by)) == NULL)
		return 0;
	if (version_cmp(*v, &n->spread->rejected) != 0) {
		n->spread->rejected = **v;
		n->spread->rejection_sends = members_rumour_sends(n->members);
	}
	if (n->spread->rejection_sends == 0)
		return 0;
	n->spread->rejection_sends--;
	if (**by == '\0')
		*by = n->settings.name;
	return 1;
}
