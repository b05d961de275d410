/*
 * The order of the nodes of a data centre, which decides who reads the store
 * for the others, and the tree along which updates reach the nodes of a large
 * one.  A large update that is sent to all of them by one node takes its link
 * seconds.  So the nodes of the next ranks are relays, about as many as each
 * then has nodes to serve: they subscribe to the node of rank 0, and the others
 * to them.
 */
#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "follow_int.h"

/* Up to so many nodes, one serves all others. */
#define FLAT_NODES_MAX 12

static int compare_candidates(const void *, const void *);
static uint64_t distance(uint64_t, uint64_t);

/* Orders candidates by weight; equal weights by address. */
static int
compare_candidates(const void *x, const void *y)
{
	const struct candidate_node *a = x, *b = y;

	if (a->weight != b->weight)
		return a->weight < b->weight ? -1 : 1;
	return strcmp(a->addr, b->addr);
}

/*
 * Returns the nodes of a data centre that stand beside a ready target, sorted
 * by rank.  This node is always included in the list of its own data centre.
 */
GArray *
rank_candidates(struct follow *f, const char *dc)
{
	const struct proxy_settings *s = &f->settings->proxy;
	const struct view_target *t;
	struct candidate_node c;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(c));
	GHashTableIter it;
	gpointer value;
	guint i;

	if (strcmp(dc, s->data_centre) == 0) {
		c = (struct candidate_node){ s->target,
			XXH64(s->target, strlen(s->target), 0) };
		g_array_append_val(list, c);
	}
	g_hash_table_iter_init(&it, f->view->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->state != VIEW_READY || strcmp(t->dc, dc) != 0)
			continue;
		c = (struct candidate_node){ t->addr,
			XXH64(t->addr, strlen(t->addr), 0) };
		g_array_append_val(list, c);
	}
	g_array_sort(list, compare_candidates);
	for (i = 1; i < list->len;) {
		if (strcmp(g_array_index(list, struct candidate_node, i).addr,
			g_array_index(list, struct candidate_node, i - 1)
			    .addr) == 0)
			g_array_remove_index(list, i);
		else
			i++;
	}
	return list;
}

/* Rank of this node: how many candidates come before it. */
guint
rank_own(const struct follow *f, const GArray *list)
{
	const char *self = f->settings->proxy.target;
	guint i;

	for (i = 0; i < list->len; i++)
		if (strcmp(g_array_index(list, struct candidate_node, i).addr,
			self) == 0)
			break;
	return i;
}

/* Rank of this node in its own data centre. */
guint
rank_in_own_dc(struct follow *f)
{
	GArray *list = rank_candidates(f, f->settings->proxy.data_centre);
	guint rank = rank_own(f, list);

	g_array_free(list, TRUE);
	return rank;
}

/* Orders the relays for a node; independent of the other candidates. */
static uint64_t
distance(uint64_t node, uint64_t relay)
{
	return XXH64(&relay, sizeof(relay), node);
}

/* A node keeps its relay while others come and go. */
const char *
rank_relay(const GArray *candidates, guint own)
{
	const struct candidate_node *c =
	    (const struct candidate_node *)(void *)candidates->data;
	guint i, best = 1, nrelays;

	if (candidates->len <= FLAT_NODES_MAX)
		return NULL;
	nrelays = (guint)sqrt((double)candidates->len);
	if (own <= nrelays || own >= candidates->len)
		return NULL;
	for (i = 2; i <= nrelays; i++)
		if (distance(c[own].weight, c[i].weight) <
		    distance(c[own].weight, c[best].weight))
			best = i;
	return c[best].addr;
}
