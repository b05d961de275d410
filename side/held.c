/*
 * The items that a node holds as they were read or received, by their keys, and
 * which of two items with the same key is newer.
 *
 * Within an era of the store, revisions tell.  A restore sets them back, and
 * what the restored store lists at first may be older than what was read before
 * the restore.  Between eras an item that may be such a copy is therefore
 * ordered by what it says of its own age.  The order depends on the two items
 * alone, so nodes that hear of them in different orders end with the same one.
 */
#include "follow_int.h"

static int
is_copy_newer(const struct platform_item *, const struct platform_item *);
static int
is_later_era_newer(const struct platform_item *, const struct platform_item *);
static int
has_equal_value(const struct platform_item *, const struct platform_item *);
static struct platform_stamp
    later_stamp(struct platform_stamp, struct platform_stamp);
static void
log_older(const struct platform_item *, const struct platform_item *);
static int is_listed_kind(const struct platform_item *, enum platform_part);

/* Whether both have the same value, not being removals. */
static int
has_equal_value(const struct platform_item *a, const struct platform_item *b)
{
	return a->value != NULL && b->value != NULL &&
	       g_bytes_equal(a->value, b->value);
}

/* Whether an item that may be a copy is newer than one of an earlier era. */
static int
is_copy_newer(
    const struct platform_item *copy, const struct platform_item *earlier)
{
	int order;

	/* Without a stamp: a data centre that may be out counts as out. */
	if (copy->kind == PLATFORM_EVACUATION)
		return 1;
	order = platform_stamp_compare(
	    platform_item_stamp(copy), platform_item_stamp(earlier));
	/* A removal came after the entry that it removed. */
	return order > 0 || (order == 0 && earlier->value != NULL);
}

/* Whether the item of the later of two eras is newer than the other one. */
static int
is_later_era_newer(
    const struct platform_item *later, const struct platform_item *earlier)
{
	int order;

	/* Versions only increase, also across a restore. */
	if (later->kind == PLATFORM_CONFIG)
		return platform_stamp_compare(platform_item_stamp(later),
			   platform_item_stamp(earlier)) >= 0;
	if (earlier->revision.era != 0)
		return !later->copied || is_copy_newer(later, earlier);
	/* A node that sends no era may have read in the same one. */
	order = platform_stamp_compare(
	    platform_item_stamp(later), platform_item_stamp(earlier));
	if (later->kind == PLATFORM_TARGET && order != 0)
		return order > 0;
	return later->revision.number >= earlier->revision.number;
}

/* Orders an item and the one that is held under its key. */
enum item_order
item_order(const struct platform_item *it, const struct platform_item *held)
{
	if (it->revision.era == held->revision.era) {
		if (it->revision.number != held->revision.number)
			return it->revision.number > held->revision.number
				   ? ITEM_NEWER
				   : ITEM_OLDER;
		return held->copied && !it->copied ? ITEM_CONFIRMS : ITEM_SAME;
	}
	if (it->revision.era < held->revision.era) {
		if (has_equal_value(it, held))
			return ITEM_SAME;
		return is_later_era_newer(held, it) ? ITEM_OLDER : ITEM_NEWER;
	}
	if (has_equal_value(it, held))
		return ITEM_CONFIRMS;
	return is_later_era_newer(it, held) ? ITEM_NEWER : ITEM_OLDER;
}

/* Logs an item that is not taken although it differs from the held one. */
static void
log_older(const struct platform_item *it, const struct platform_item *held)
{
	if (has_equal_value(it, held))
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "item-older",
	    "kind=%d name=%s era=%" G_GUINT64_FORMAT
	    " revision=%" G_GUINT64_FORMAT " held_era=%" G_GUINT64_FORMAT
	    " held=%" G_GUINT64_FORMAT " copied=%d",
	    it->kind, it->name != NULL ? it->name : "-", it->revision.era,
	    it->revision.number, held->revision.era, held->revision.number,
	    it->copied);
}

/* The order of an item and the held one; an item not held before is newer. */
enum item_order
follow_order(const struct follow *f, const struct platform_item *it)
{
	const struct platform_item *held;
	enum item_order order;
	char *key = platform_item_key(it);

	held = g_hash_table_lookup(f->held, key);
	g_free(key);
	if (held == NULL)
		return ITEM_NEWER;
	order = item_order(it, held);
	if (order == ITEM_OLDER)
		log_older(it, held);
	return order;
}

/* The later of two stamps. */
static struct platform_stamp
later_stamp(struct platform_stamp a, struct platform_stamp b)
{
	return platform_stamp_compare(a, b) > 0 ? a : b;
}

/* Holds an item as it was read, if it is newer or confirms the held one. */
enum item_order
follow_hold(struct follow *f, const struct platform_item *it)
{
	enum item_order order = follow_order(f, it);
	const struct platform_item *held;
	struct platform_item *copy;
	char *key;

	if (order == ITEM_OLDER || order == ITEM_SAME)
		return order;
	if (view_revision_compare(it->revision, f->held_revision) > 0)
		f->held_revision = it->revision;
	key = platform_item_key(it);
	copy = platform_item_copy(it);
	held = g_hash_table_lookup(f->held, key);
	if (it->value == NULL && held != NULL)
		copy->removed =
		    later_stamp(it->removed, platform_item_stamp(held));
	held_keep_base(f, it);
	/* Removals too, or an older entry sent by a node would undo them. */
	g_hash_table_replace(f->held, key, copy);
	return order;
}

/* A removal that the store tells of does not say what it removed. */
struct platform_stamp
follow_removed(const struct follow *f, const struct platform_item *it)
{
	const struct platform_item *held;
	char *key = platform_item_key(it);

	held = g_hash_table_lookup(f->held, key);
	g_free(key);
	return held != NULL ? held->removed : it->removed;
}

/* Whether lists of a part name the items of that kind. */
static int
is_listed_kind(const struct platform_item *it, enum platform_part part)
{
	return it->kind == (part == PLATFORM_TARGETS ? PLATFORM_TARGET
						     : PLATFORM_EVACUATION);
}

/*
 * Adds a removal of each held item that a complete list lacks, as of the list's
 * revision.  An item that was read in an earlier era may just not have been
 * written again yet.
 */
int
follow_add_missing(
    const struct follow *f, const struct store_list *list, GArray *removals)
{
	const struct platform_item *held;
	struct platform_item removal;
	GHashTableIter it;
	gpointer value;
	int left_out = 0;

	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		held = value;
		if (!is_listed_kind(held, list->part) || held->value == NULL ||
		    view_revision_compare(held->revision, list->as_of) > 0 ||
		    (!list->settled && held->revision.era < list->as_of.era) ||
		    g_hash_table_contains(list->names, held->name))
			continue;
		if (!list->own_exact && verify_is_own(f, held)) {
			left_out = 1;
			continue;
		}
		removal = (struct platform_item){ .kind = held->kind,
			.name = g_strdup(held->name),
			.revision = list->as_of };
		if (held->revision.era == list->as_of.era)
			removal.revision.number =
			    MAX(list->as_of.number, held->revision.number + 1);
		g_array_append_val(removals, removal);
	}
	return left_out;
}

/* Whether items of an earlier era are held that a list names or lacks. */
int
follow_is_unsettled(const struct follow *f, const struct store_list *list)
{
	const struct platform_item *held;
	GHashTableIter it;
	gpointer value;

	if (list->settled)
		return 0;
	g_hash_table_iter_init(&it, f->held);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		held = value;
		if (is_listed_kind(held, list->part) &&
		    held->revision.era < list->as_of.era &&
		    (held->value != NULL ||
			g_hash_table_contains(list->names, held->name)))
			return 1;
	}
	return 0;
}
