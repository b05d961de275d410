/*
 * Spreading of versions: pushed down a tree in each data centre, and fetched
 * by whoever hears of a newer one.  The tree orders the nodes alive by
 * rendezvous hashing; its first few are the readers of the source.  A node is
 * pushed to by one other only, so a change costs each node one datagram and
 * its answer; what gets lost is made up by the versions on all datagrams.
 */
#include <string.h>

#include "gossip.h"
#include "spread.h"
#include "wire_set.h"

#define PUSHES_MAX  64	 /* under way at once */
#define REFRESH_MS  1000 /* after a pause, views are refreshed within */
#define FANOUT	    4	 /* children of a node in the tree */
#define PUSH_TRIES  3
#define PUSH_AGAIN  150	 /* ms between two tries of a push */
#define FETCH_MS    1000 /* a fetch is given up after */
#define APPLY_MS    300	 /* a pushed version is in force within */
#define START_PEERS 3	 /* asked by a node that starts */
#define BASES_MAX   8	 /* read from a request */

/* A push that was not acknowledged yet. */
struct push {
	int to; /* member */
	int tries;
	int64_t again_at;
};

struct spread {
	struct push pushes[PUSHES_MAX];
	int npushes;
	uint64_t pushed;     /* number of the version last pushed */
	int pushed_by;	     /* member whose push is being applied, or -1 */
	int64_t fetch_until; /* a fetch is under way until then */
	char fetch_from[MESH_NAME_MAX + 1];
	struct version rejected; /* last told to others */
	int tells;		 /* datagrams that still carry it */
	int asked;		 /* peers asked since the start */
	int answered;		 /* of these, answered */
	int refreshed; /* 0: paused, and no peer has said its version since */
	int64_t refresh_until; /* taken as refreshed at the latest */
};

static int in_tree(struct node *, const char **, int *, int);
static void push_to(struct node *, struct push *, int64_t);
static void add_push(struct node *, int, int64_t);
static void drop_push(struct node *, int);
static int is_behind(struct node *, const struct member *);
static void fetch(struct node *, int);
static int asker_holds(const Wire__SetRequest *, const struct version *);
static void ask_at_start(struct node *);

/* Prepares the spreading of versions. */
void
spread_init(struct node *n)
{
	n->spread = g_new0(struct spread, 1);
	n->spread->pushed_by = -1;
	n->spread->refreshed = 1;
}

/* Releases it. */
void
spread_destroy(struct node *n)
{
	g_free(n->spread);
}

/* Whether the peers asked at the start have answered, or there were none. */
int
spread_asked(const struct node *n)
{
	return n->spread->asked == 0 || n->spread->answered > 0;
}

/* The process slept: what is believed of versions is old. */
void
spread_paused(struct node *n, int64_t now)
{
	n->spread->refreshed = 0;
	n->spread->refresh_until = now + REFRESH_MS;
}

/* Whether a peer has said its version since the last pause, or none did. */
int
spread_refreshed(const struct node *n)
{
	return n->spread->refreshed;
}

/* Names of the nodes alive in this data centre, this one first. */
static int
in_tree(struct node *n, const char **names, int *handles, int max)
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

/* Rank of this node in its data centre's tree. */
int
spread_rank(struct node *n)
{
	const struct member *p;
	uint64_t own;
	int i, rank = 0;

	own = pick_home(n->settings.data_centre, n->settings.name);
	for (i = 0; i < members_count(n->members); i++) {
		p = member_at(n->members, i);
		if (p->state > MEMBER_LEAVING ||
		    strcmp(p->dc, n->settings.data_centre) != 0)
			continue;
		if (pick_home(n->settings.data_centre, p->name) > own)
			rank++;
	}
	return rank;
}

/* Starts to push to a member. */
static void
add_push(struct node *n, int to, int64_t now)
{
	struct push *p;

	if (n->spread->npushes == PUSHES_MAX)
		return;
	p = &n->spread->pushes[n->spread->npushes++];
	*p = (struct push){ .to = to };
	push_to(n, p, now);
}

/* Ends a push. */
static void
drop_push(struct node *n, int i)
{
	n->spread->pushes[i] = n->spread->pushes[--n->spread->npushes];
}

/* Sends the newest version to a member, as a difference to the one before. */
static void
push_to(struct node *n, struct push *p, int64_t now)
{
	struct member_send s = { .kind = KIND_PUSH, .to = p->to };
	unsigned char bases[CONFIG_HELD][VERSION_HASH_LEN];
	struct config_delta d;
	int count;

	count = config_bases(n->config, bases);
	/* All bases but the newest, which is what is sent. */
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
	p->again_at = now + PUSH_AGAIN;
}

/* A version came into force: the children in the tree get it. */
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
	if (v.held.number == 0 || v.held.number == n->spread->pushed)
		return;
	n->spread->pushed = v.held.number;
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
	count = in_tree(n, names, handles, size);
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

/* Whether a member is known to hold less than this node. */
static int
is_behind(struct node *n, const struct member *p)
{
	struct version_state v;

	config_versions(n->config, &v);
	return p->number < v.held.number;
}

/* Asks a member for its newest set, unless one is being fetched. */
static void
fetch(struct node *n, int from)
{
	const struct member *p = member_at(n->members, from);
	unsigned char bases[CONFIG_HELD][VERSION_HASH_LEN];
	ProtobufCBinaryData list[CONFIG_HELD];
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__SetRequest req = WIRE__SET_REQUEST__INIT;
	Wire__Version have = WIRE__VERSION__INIT;
	struct version_state v;
	int64_t now = base_now_ms();
	int i, bytes;

	if (n->spread->fetch_until > now)
		return;
	n->spread->fetch_until = now + FETCH_MS;
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
	counter_add(CTR_SPREAD_BYTES_SENT, bytes);
}

/* A peer says what it holds: a newer one is fetched, a push is over. */
void
spread_heard(struct node *n, int member)
{
	const struct member *p = member_at(n->members, member);
	struct version_state v;
	int i, order;

	config_versions(n->config, &v);
	for (i = 0; i < n->spread->npushes; i++)
		if (n->spread->pushes[i].to == member &&
		    p->number >= v.held.number)
			drop_push(n, i--);
	if (p->number == 0 || p->number < v.held.number)
		return;
	order = memcmp(p->hash, v.held.hash, sizeof(p->hash));
	if (p->number == v.held.number && order <= 0) {
		n->spread->refreshed = 1;
		return;
	}
	if (p->number == v.rejected.number &&
	    memcmp(p->hash, v.rejected.hash, sizeof(p->hash)) == 0)
		return;
	fetch(n, member);
}

/* A parent in the tree pushes; without the base, the set is fetched. */
void
spread_push(struct node *n, int from, const Wire__SetReply *push)
{
	unsigned char bases[CONFIG_HELD][VERSION_HASH_LEN];
	struct member_send have = { .kind = KIND_HAVE, .to = from };
	struct config_delta d;
	enum offer_verdict v;
	int i, count, held = 0;

	if (wire_set_unpack(push, &d) != NODE_OK)
		return;
	v = config_offer(n->config, &d.version);
	count = config_bases(n->config, bases);
	for (i = 0; i < count && !held; i++)
		held = memcmp(bases[i], d.base, VERSION_HASH_LEN) == 0;
	if (v == OFFER_FETCH || v == OFFER_CONFLICT_WINS) {
		if (held || !d.has_base) {
			config_submit_delta(
			    n->config, &d, member_at(n->members, from)->name);
			/* What is being applied is not fetched as well. */
			n->spread->fetch_until = base_now_ms() + APPLY_MS;
			n->spread->pushed_by = from;
		} else {
			fetch(n, from);
		}
	} else {
		gossip_send(n, &have, NULL);
	}
	g_bytes_unref(d.payload);
}

/* Whether an asker already holds a version, or one that goes before it. */
static int
asker_holds(const Wire__SetRequest *req, const struct version *v)
{
	struct version have = { 0 };

	if (req->have == NULL || req->have->hash.len != VERSION_HASH_LEN)
		return 0;
	have.number = req->have->number;
	memcpy(have.hash, req->have->hash.data, VERSION_HASH_LEN);
	return version_cmp(&have, v) >= 0;
}

/* A peer asks for the newest set. */
void
spread_request(struct node *n, const struct link_route *r, uint64_t call,
    const Wire__SetRequest *req)
{
	unsigned char bases[BASES_MAX][VERSION_HASH_LEN];
	Wire__Envelope env = WIRE__ENVELOPE__INIT;
	Wire__SetReply reply = WIRE__SET_REPLY__INIT;
	Wire__Version v = WIRE__VERSION__INIT;
	struct config_delta d = { 0 };
	size_t i;
	int count = 0, bytes, have;

	for (i = 0; i < req->n_bases && count < BASES_MAX; i++)
		if (req->bases[i].len == VERSION_HASH_LEN)
			memcpy(bases[count++], req->bases[i].data,
			    VERSION_HASH_LEN);
	env.call = call;
	env.body_case = WIRE__ENVELOPE__BODY_SET_REPLY;
	env.set_reply = &reply;
	have = config_encode(n->config,
	    (const unsigned char(*)[VERSION_HASH_LEN])bases, count, &d);
	if (have != NODE_OK || asker_holds(req, &d.version)) {
		reply.current = 1;
	} else {
		wire_set_pack(&d, &reply, &v);
		if (!d.has_base)
			counter_add(CTR_FULL_SETS, 1);
	}
	bytes = link_reply(n->link, r, &env);
	if (bytes > 0) {
		counter_add(CTR_CONTROL_BYTES_SENT, bytes);
		counter_add(CTR_SPREAD_BYTES_SENT, bytes);
	}
	if (d.payload != NULL)
		g_bytes_unref(d.payload);
}

/* What was fetched has come. */
void
spread_reply(struct node *n, const char *peer, const Wire__SetReply *r)
{
	struct config_delta d;

	n->spread->answered++;
	if (r->current || wire_set_unpack(r, &d) != NODE_OK) {
		n->spread->fetch_until = 0;
		return;
	}
	config_submit_delta(n->config, &d, peer);
	g_bytes_unref(d.payload);
}

/* A node that starts asks some peers, of different data centres if it can. */
static void
ask_at_start(struct node *n)
{
	const struct member *p;
	int i, at, count = members_count(n->members);

	if (count == 0)
		return;
	at = g_rand_int_range(n->rand, 0, count);
	for (i = 0; i < count && n->spread->asked < START_PEERS; i++) {
		at = (at + 1) % count;
		p = member_at(n->members, at);
		if (p->state > MEMBER_LEAVING)
			continue;
		n->spread->fetch_until = 0;
		fetch(n, at);
		n->spread->asked++;
	}
}

/* Time passes: pushes without an answer are repeated, a few times. */
void
spread_tick(struct node *n, int64_t now)
{
	struct push *p;
	int i;

	if (!n->ready && n->spread->asked == 0)
		ask_at_start(n);
	if (now >= n->spread->refresh_until)
		n->spread->refreshed = 1;
	for (i = 0; i < n->spread->npushes; i++) {
		p = &n->spread->pushes[i];
		if (p->again_at > now)
			continue;
		if (p->tries >= PUSH_TRIES)
			drop_push(n, i--);
		else
			push_to(n, p, now);
	}
}

/* Tells of the newest rejection as of a rumour: often enough for nearly all. */
int
spread_rejection(struct node *n, const struct version_state *st,
    const struct version **v, const char **reason, const char **by)
{
	if ((*v = version_rejected(st, reason, by)) == NULL)
		return 0;
	if (version_cmp(*v, &n->spread->rejected) != 0) {
		n->spread->rejected = **v;
		n->spread->tells = members_tell_count(n->members);
	}
	if (n->spread->tells == 0)
		return 0;
	n->spread->tells--;
	if (**by == '\0')
		*by = n->settings.name;
	return 1;
}
