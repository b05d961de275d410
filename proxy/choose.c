/* Load balancing: choice of the target that a request is offered to next. */
#include <string.h>

#include "proxy_int.h"

/*
 * Loads are in percent of a target's slots, queued requests included.  Targets
 * of the own data centre are preferred up to SPILL_LOAD_PERCENT, as each
 * kilobyte between data centres costs.
 */
#define SPILL_LOAD_PERCENT	150
#define REMOTE_LOAD_MAX_PERCENT 150 /* above it, no remote target is chosen */
#define JITTER_PERCENT		8 /* makes nodes that see equal loads differ */
#define LOAD_STALE_MS		600 /* reported loads older than this are ignored */
#define STALE_LOAD_PERCENT	50 /* assumed instead, plus own requests */

static int was_tried(const GPtrArray *, const char *);
static int load_of(struct proxy *, const struct view_target *);

/* Returns the state of a target by its address, created if new; not owned. */
struct peer *
peer_get(struct proxy *p, const char *addr)
{
	struct peer *peer = g_hash_table_lookup(p->peers, addr);

	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		g_strlcpy(peer->addr, addr, sizeof(peer->addr));
		g_hash_table_insert(p->peers, peer->addr, peer);
	}
	return peer;
}

/*
 * Writes the link address of the node beside a target: the target's host, and
 * the port of this node's own link address, which all nodes use.
 */
void
peer_link_addr(const struct proxy *p, const char *addr, char *buf)
{
	const char *host_end = strrchr(addr, ':');
	const char *port = strrchr(p->settings->links, ':');

	g_snprintf(buf, ADDRESS_MAX, "%.*s%s", (int)(host_end - addr), addr,
	    port != NULL ? port : "");
}

/* A node that has started again is reached by a new link. */
void
peers_set_leaving(struct proxy *p, const char *link_addr, int leaving)
{
	char addr[ADDRESS_MAX];
	struct peer *peer;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		peer = value;
		peer_link_addr(p, peer->addr, addr);
		if (strcmp(addr, link_addr) == 0)
			peer->leaving = leaving;
	}
}

/* Whether the request was offered to this address before. */
static int
was_tried(const GPtrArray *tried, const char *addr)
{
	guint i;

	for (i = 0; i < tried->len; i++)
		if (strcmp(g_ptr_array_index(tried, i), addr) == 0)
			return 1;
	return 0;
}

/* Estimates the load: the last one reported, and requests sent since then. */
static int
load_of(struct proxy *p, const struct view_target *t)
{
	struct peer *peer;

	if (strcmp(t->addr, p->settings->target) == 0)
		return proxy_guard_load(&p->guard);
	peer = peer_get(p, t->addr);
	if (base_now_ms() - peer->load_at > LOAD_STALE_MS)
		return STALE_LOAD_PERCENT + peer->inflight * 100 / t->slots;
	return peer->load +
	       (peer->inflight - peer->load_inflight) * 100 / t->slots;
}

/*
 * Prefers the least loaded target of the own data centre until it exceeds
 * SPILL_LOAD_PERCENT; then the least loaded elsewhere, if that is below
 * REMOTE_LOAD_MAX_PERCENT.  NULL: no target is available.
 */
const struct view_target *
choose_target(
    struct proxy *p, const char *service, const GPtrArray *tried, int64_t now)
{
	const struct view_target *t, *local = NULL, *remote = NULL;
	const struct peer *peer;
	int load, local_load = G_MAXINT, remote_load = G_MAXINT;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->state != VIEW_READY ||
		    strcmp(t->service, service) != 0 ||
		    view_is_out(p->view, t->dc) || was_tried(tried, t->addr))
			continue;
		peer = peer_get(p, t->addr);
		if (peer->avoid_until > now || peer->leaving)
			continue;
		load = load_of(p, t) +
		       g_rand_int_range(p->rand, 0, JITTER_PERCENT);
		if (strcmp(t->dc, p->settings->data_centre) == 0) {
			if (load < local_load) {
				local_load = load;
				local = t;
			}
		} else if (load < remote_load) {
			remote_load = load;
			remote = t;
		}
	}
	if (remote_load >= REMOTE_LOAD_MAX_PERCENT)
		remote = NULL;
	if (local == NULL ||
	    (local_load >= SPILL_LOAD_PERCENT && remote != NULL))
		return remote;
	return local;
}
