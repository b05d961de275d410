/* Stand-in for the store: its items and their history, and copies of them. */
#include <string.h>

#include "store_int.h"

static int compare(gconstpointer, gconstpointer, gpointer);
static gboolean copy_to_tree(gpointer, gpointer, gpointer);

/* Orders the keys of the tree of items. */
static int
compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

/* Returns a deep copy. */
struct item *
item_copy(const struct item *e)
{
	struct item *c = g_new(struct item, 1);

	*c = (struct item){ g_strdup(e->key), g_strdup(e->value), e->revision };
	return c;
}

/* A GDestroyNotify. */
void
item_free(gpointer p)
{
	struct item *e = p;

	g_free(e->key);
	g_free(e->value);
	g_free(e);
}

/* The revision is above 0, as the platform's is. */
void
store_data_init(struct store_data *d)
{
	d->history = g_array_new(FALSE, FALSE, sizeof(struct item));
	d->items = g_tree_new_full(compare, NULL, NULL, item_free);
	d->revision = 1;
	d->compacted_revision = 0;
}

/* Called for each item by store_data_copy(). */
static gboolean
copy_to_tree(gpointer key, gpointer value, gpointer data)
{
	struct item *c = item_copy(value);

	(void)key;
	g_tree_replace(data, c->key, c);
	return FALSE;
}

/* Initialises the destination, which must be empty. */
void
store_data_copy(struct store_data *to, const struct store_data *from)
{
	const struct item *e;
	struct item change;
	guint i;

	store_data_init(to);
	to->revision = from->revision;
	to->compacted_revision = from->compacted_revision;
	g_tree_foreach(from->items, copy_to_tree, to->items);
	for (i = 0; i < from->history->len; i++) {
		e = &g_array_index(from->history, struct item, i);
		change = (struct item){ g_strdup(e->key), g_strdup(e->value),
			e->revision };
		g_array_append_val(to->history, change);
	}
}

/* Nothing happens if it was not initialised. */
void
store_data_clear(struct store_data *d)
{
	guint i;

	if (d->items == NULL)
		return;
	g_tree_destroy(d->items);
	for (i = 0; i < d->history->len; i++) {
		g_free(g_array_index(d->history, struct item, i).key);
		g_free(g_array_index(d->history, struct item, i).value);
	}
	g_array_free(d->history, TRUE);
	memset(d, 0, sizeof(*d));
}
