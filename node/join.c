/*
 * Joining without the source: a node that starts while no VM list can be read
 * greets the peers of its settings, and learns of others from their welcome.
 */
#include <string.h>

#include "node_int.h"

#define JOIN_EVERY_MS 250 /* between two greetings while nobody is known */
#define JOIN_LATER_MS \
	2000	       /* and then: the more are known, the less it hurries */
#define JOIN_ROUNDS 60 /* greetings at most */

static const char *whom(struct node *);

/* Address to greet: a known member's, else one of the settings. */
static const char *
whom(struct node *n)
{
	guint count = g_strv_length(n->settings.peers);
	int known = members_count(n->members);

	if (known > 0)
		return member_at(
		    n->members, g_rand_int_range(n->rand, 0, known))
		    ->addr;
	return n->settings.peers[g_rand_int_range(n->rand, 0, (int)count)];
}

/* Time passes. */
void
join_tick(struct node *n, int64_t now)
{
	const char *addr;

	if (n->listed || n->settings.peers == NULL ||
	    n->settings.peers[0] == NULL || n->joins >= JOIN_ROUNDS ||
	    now < n->join_at)
		return;
	n->joins++;
	n->join_at = now + (members_count(n->members) > 0 ? JOIN_LATER_MS
							  : JOIN_EVERY_MS);
	addr = whom(n);
	if (strcmp(addr, n->settings.advertise) != 0)
		gossip_greet(n, addr);
}
