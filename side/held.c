/*
 * The items that a node holds as they were read or received, by their keys, and
 * which of two items with the same key is newer.
 */
#include "follow_int.h"

static void
log_older(const struct platform_item *, const struct platform_item *);

/* Logs an item that is not taken, unless it is the one that is held. */
static void
log_older(const struct platform_item *it, const struct platform_item *held)
{
	if (it->revision == held->revision &&
	    (it->value == NULL) == (held->value == NULL) &&
	    (it->value == NULL || g_bytes_equal(it->value, held->value)))
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "item-older",
	    "kind=%d name=%s revision=%" G_GUINT64_FORMAT
	    " held=%" G_GUINT64_FORMAT,
	    it->kind, it->name != NULL ? it->name : "-", it->revision,
	    held->revision);
}

/* Whether an item is newer than the one held under its key, if any. */
int
follow_is_newer(const struct follow *f, const struct platform_item *it)
{
	const struct platform_item *old;
	char *key = platform_item_key(it);

	old = g_hash_table_lookup(f->held, key);
	g_free(key);
	if (old == NULL || old->revision < it->revision)
		return 1;
	log_older(it, old);
	return 0;
}

/* Holds an item as it was read; 0 if the held one is as new. */
int
follow_hold(struct follow *f, const struct platform_item *it)
{
	if (!follow_is_newer(f, it))
		return 0;
	f->held_revision = MAX(f->held_revision, it->revision);
	/* Removals too, or an older entry sent by a node would undo them. */
	g_hash_table_replace(
	    f->held, platform_item_key(it), platform_item_copy(it));
	return 1;
}
