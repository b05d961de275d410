/*
 * Joining without the source.  A node that has no VM list yet sends join
 * requests to the peers of its settings, which answer with a sample of the
 * live members.
 */
#include <string.h>

#include "gossip.h"

#define JOIN_FAST_MS  250  /* between the first requests */
#define JOIN_SLOW_MS  2000 /* between later ones */
#define JOIN_FAST_MAX 40   /* fast requests while no member is known */
#define JOIN_PEER_NTH 4	   /* each n-th request goes to a configured peer */

static const char *pick_address(struct node *);

/* Picks the address for the next request: a known member's or a peer's. */
static const char *
pick_address(struct node *n)
{
	guint count = g_strv_length(n->settings.peers);
	int members = members_count(n->members);

	/*
	 * The members known may all have just started as well, so of
	 * JOIN_PEER_NTH requests one goes to a peer of the settings.
	 */
	if (members > 0 && n->join_requests % JOIN_PEER_NTH != 0)
		return member_at(
		    n->members, g_rand_int_range(n->rand, 0, members))
		    ->addr;
	return n->settings.peers[g_rand_int_range(n->rand, 0, (int)count)];
}

/*
 * A node sends join requests until it has a VM list: the source may be down
 * for hours, and the configured peers may start later than this node.
 */
void
join_tick(struct node *n, int64_t now)
{
	const char *addr;
	int fast;

	if (n->listed || n->settings.peers == NULL ||
	    n->settings.peers[0] == NULL || now < n->join_at)
		return;
	fast =
	    members_count(n->members) == 0 && n->join_requests < JOIN_FAST_MAX;
	n->join_requests++;
	n->join_at = now + (fast ? JOIN_FAST_MS : JOIN_SLOW_MS);
	addr = pick_address(n);
	if (strcmp(addr, n->settings.advertise) != 0)
		gossip_join(n, addr);
}
