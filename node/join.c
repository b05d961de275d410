/*
 * Joining without the source: a node that starts while no VM list can be read
 * greets the peers of its settings, and learns of others from their welcome.
 */
#include <string.h>

#include "gossip.h"

#define JOIN_FAST_MS 250  /* between the first greetings */
#define JOIN_SLOW_MS 2000 /* and between later ones */
#define JOIN_FAST    40	  /* greetings while nobody has answered */
#define JOIN_KNOWN   4	  /* each n-th greeting goes by the settings */

static const char *whom(struct node *);

/* Address to greet: a known member's, else one of the settings. */
static const char *
whom(struct node *n)
{
	guint count = g_strv_length(n->settings.peers);
	int known = members_count(n->members);

	/* Those known may all be as new as this node: not them alone. */
	if (known > 0 && n->joins % JOIN_KNOWN != 0)
		return member_at(
		    n->members, g_rand_int_range(n->rand, 0, known))
		    ->addr;
	return n->settings.peers[g_rand_int_range(n->rand, 0, (int)count)];
}

/*
 * Time passes.  A node greets for as long as it has no VM list: the source may
 * be out for hours, and the peers of the settings may start after this one.
 */
void
join_tick(struct node *n, int64_t now)
{
	const char *addr;
	int hurry;

	if (n->listed || n->settings.peers == NULL ||
	    n->settings.peers[0] == NULL || now < n->join_at)
		return;
	hurry = members_count(n->members) == 0 && n->joins < JOIN_FAST;
	n->joins++;
	n->join_at = now + (hurry ? JOIN_FAST_MS : JOIN_SLOW_MS);
	addr = whom(n);
	if (strcmp(addr, n->settings.advertise) != 0)
		gossip_greet(n, addr);
}
