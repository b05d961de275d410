/*
 * The removal of the target beside this node, as another node tells of it.  A
 * node that cannot reach the store may be cut off together with its target,
 * whose entry has expired for that reason alone.  So it reads the store itself
 * until that has decided the question, and goes on with its target meanwhile.
 */
#include <string.h>

#include "follow_int.h"

static void end(struct follow *, const char *);

/* Whether an item concerns the target beside this node. */
int
verify_is_own(const struct follow *f, const struct platform_item *it)
{
	return it->kind == PLATFORM_TARGET &&
	       strcmp(it->name, proxy_target_id(f->proxy)) == 0;
}

/* Whether this node has to read the store. */
int
verify_is_pending(const struct follow *f)
{
	return f->own_removal.number != 0;
}

/* Another node has sent a removal of the own target. */
void
verify_begin(struct follow *f, const struct platform_item *it)
{
	if (view_revision_compare(it->revision, f->own_removal) <= 0)
		return;
	base_log(G_LOG_LEVEL_MESSAGE, "own-removal",
	    "id=%s era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	    " result=told",
	    it->name, it->revision.era, it->revision.number);
	f->own_removal = it->revision;
	store_reader_await_targets(f->reader);
	feed_check_now(f);
}

/* Ends the verification. */
static void
end(struct follow *f, const char *result)
{
	base_log(G_LOG_LEVEL_MESSAGE, "own-removal",
	    "id=%s era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	    " result=%s",
	    proxy_target_id(f->proxy), f->own_removal.era,
	    f->own_removal.number, result);
	f->own_removal = (struct view_revision){ 0, 0 };
}

/* An item was applied: the own removal, or an entry that is newer than it. */
void
verify_on_applied(struct follow *f, const struct platform_item *it)
{
	if (!verify_is_pending(f) || !verify_is_own(f, it))
		return;
	if (it->value == NULL)
		end(f, "confirmed");
	else if (view_revision_compare(it->revision, f->own_removal) > 0)
		end(f, "listed");
}

/* The targets were listed, after what the list lacks has been removed. */
void
verify_on_listed(struct follow *f, const struct store_list *list)
{
	int listed;

	if (!verify_is_pending(f) || list->part != PLATFORM_TARGETS)
		return;
	listed = g_hash_table_contains(list->names, proxy_target_id(f->proxy));
	if (listed && view_revision_compare(list->as_of, f->own_removal) >= 0)
		end(f, "listed");
	else if (!listed && list->own_exact)
		end(f, "confirmed");
	else if (!listed)
		store_reader_await_targets(f->reader);
	/* Else the list is older than the removal: the watch will tell. */
}
