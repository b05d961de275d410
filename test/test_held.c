/* The order of two items with one key, also across a restore of the store. */
#include "../side/follow_int.h"
#include "test.h"

/* An entry of a target with a state and the number of its report. */
#define ENTRY(state, sequence)                                           \
	"{\"Address\":\"127.0.0.77:1\",\"Info\":{\"Service\":\"other\"," \
	"\"Zone\":\"north\",\"Slots\":4},\"Status\":{\"State\":\"" state \
	"\",\"Sequence\":" #sequence ",\"WarmupLeftMs\":0},\"born\":7}"
#define VERSION(n) "{\"Version\":" #n "}"
#define COPIED	   1
#define REMOVED	   NULL

/* An item as a table of cases writes it. */
struct item_case {
	enum platform_kind kind;
	uint64_t era, number;
	int copied;
	const char *value;
	int64_t removed_sequence; /* of the entry that a removal removed */
};

static struct platform_item
make_item(const struct item_case *c)
{
	return (struct platform_item){ c->kind, (char *)"x",
		c->value != NULL
		    ? g_bytes_new_static(c->value, strlen(c->value))
		    : NULL,
		{ c->era, c->number }, c->copied,
		{ c->removed_sequence != 0 ? 7 : 0, c->removed_sequence } };
}

/*
 * The later item is newer, whichever arrives first, so that nodes which hear of
 * both in different orders end with the same one.
 */
static void
newer_item_wins_in_any_order(void)
{
	static const struct {
		struct item_case older, newer;
	} cases[] = {
		/* Within an era the number decides. */
		{ { PLATFORM_TARGET, 1, 5, 0, ENTRY("draining", 3), 0 },
		    { PLATFORM_TARGET, 1, 6, 0, ENTRY("ready", 2), 0 } },
		{ { PLATFORM_TARGET, 1, 5, COPIED, ENTRY("ready", 3), 0 },
		    { PLATFORM_TARGET, 1, 6, 0, REMOVED, 0 } },
		{ { PLATFORM_TARGET, 1, 5, 0, REMOVED, 0 },
		    { PLATFORM_TARGET, 1, 6, COPIED, ENTRY("ready", 3), 0 } },
		{ { PLATFORM_TARGET, 0, 5, 0, ENTRY("ready", 2), 0 },
		    { PLATFORM_TARGET, 0, 6, 0, REMOVED, 0 } },
		/* What is written after a restore, with a number seen before.
		 */
		{ { PLATFORM_CONFIG, 1, 15, 0, VERSION(11), 0 },
		    { PLATFORM_CONFIG, 2, 15, 0, VERSION(13), 0 } },
		{ { PLATFORM_CONFIG, 1, 15, 0, VERSION(11), 0 },
		    { PLATFORM_CONFIG, 2, 14, COPIED, VERSION(12), 0 } },
		{ { PLATFORM_TARGET, 1, 30, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 2, 20, 0, ENTRY("draining", 9), 0 } },
		{ { PLATFORM_TARGET, 1, 30, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 2, 20, 0, REMOVED, 0 } },
		{ { PLATFORM_EVACUATION, 1, 30, 0, "{}", 0 },
		    { PLATFORM_EVACUATION, 2, 20, 0, REMOVED, 0 } },
		/* Read in the first list, and already written again. */
		{ { PLATFORM_TARGET, 1, 30, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 2, 20, COPIED, ENTRY("draining", 9),
			0 } },
		{ { PLATFORM_TARGET, 1, 30, 0, REMOVED, 8 },
		    { PLATFORM_TARGET, 2, 20, COPIED, ENTRY("ready", 9), 0 } },
		/* The copy is older than what was read before the restore. */
		{ { PLATFORM_CONFIG, 2, 14, COPIED, VERSION(9), 0 },
		    { PLATFORM_CONFIG, 1, 15, 0, VERSION(11), 0 } },
		{ { PLATFORM_TARGET, 2, 20, COPIED, ENTRY("ready", 7), 0 },
		    { PLATFORM_TARGET, 1, 30, 0, ENTRY("draining", 8), 0 } },
		{ { PLATFORM_TARGET, 2, 20, COPIED, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 1, 30, 0, REMOVED, 8 } },
		/* A list that is settled is true whatever the stamps say. */
		{ { PLATFORM_TARGET, 1, 30, 0, ENTRY("draining", 8), 0 },
		    { PLATFORM_TARGET, 2, 20, 0, ENTRY("ready", 7), 0 } },
		/* Versions never go back. */
		{ { PLATFORM_CONFIG, 2, 14, 0, VERSION(9), 0 },
		    { PLATFORM_CONFIG, 1, 15, 0, VERSION(11), 0 } },
		/* A data centre that may be out counts as out. */
		{ { PLATFORM_EVACUATION, 1, 30, 0, REMOVED, 0 },
		    { PLATFORM_EVACUATION, 2, 20, COPIED, "{}", 0 } },
		/* Two restores in a row. */
		{ { PLATFORM_TARGET, 1, 30, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 3, 10, 0, ENTRY("draining", 9), 0 } },
		{ { PLATFORM_TARGET, 3, 20, COPIED, ENTRY("ready", 7), 0 },
		    { PLATFORM_TARGET, 2, 25, 0, ENTRY("draining", 8), 0 } },
		/* From a node of a build that sends no era. */
		{ { PLATFORM_CONFIG, 1, 40, 0, VERSION(11), 0 },
		    { PLATFORM_CONFIG, 0, 41, 0, VERSION(12), 0 } },
		{ { PLATFORM_TARGET, 0, 50, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 2, 20, 0, ENTRY("draining", 9), 0 } },
		{ { PLATFORM_TARGET, 1, 40, 0, ENTRY("ready", 8), 0 },
		    { PLATFORM_TARGET, 0, 41, 0, ENTRY("draining", 9), 0 } },
		{ { PLATFORM_EVACUATION, 1, 40, 0, "{}", 0 },
		    { PLATFORM_EVACUATION, 0, 41, 0, REMOVED, 0 } },
	};
	struct platform_item older, newer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		older = make_item(&cases[i].older);
		newer = make_item(&cases[i].newer);
		if (item_order(&newer, &older) != ITEM_NEWER ||
		    item_order(&older, &newer) != ITEM_OLDER)
			printf("\n    case %zu: %d %d", i,
			    item_order(&newer, &older),
			    item_order(&older, &newer));
		CU_ASSERT_EQUAL(item_order(&newer, &older), ITEM_NEWER);
		CU_ASSERT_EQUAL(item_order(&older, &newer), ITEM_OLDER);
		CU_ASSERT_EQUAL(item_order(&newer, &newer), ITEM_SAME);
		g_bytes_unref(older.value);
		g_bytes_unref(newer.value);
	}
}

/* Of an entry with the same value, the later era is held. */
static void
copied_item_is_confirmed(void)
{
	struct item_case c = { PLATFORM_TARGET, 1, 5, 0, ENTRY("ready", 3), 0 };
	struct platform_item before = make_item(&c), copy, after;

	c.era = 2;
	c.copied = COPIED;
	copy = make_item(&c);
	c.copied = 0;
	after = make_item(&c);
	CU_ASSERT_EQUAL(item_order(&copy, &before), ITEM_CONFIRMS);
	CU_ASSERT_EQUAL(item_order(&after, &copy), ITEM_CONFIRMS);
	CU_ASSERT_EQUAL(item_order(&copy, &after), ITEM_SAME);
	CU_ASSERT_EQUAL(item_order(&before, &copy), ITEM_SAME);
	g_bytes_unref(before.value);
	g_bytes_unref(copy.value);
	g_bytes_unref(after.value);
}

static const struct test tests[] = {
	{ "newer item wins in any order", newer_item_wins_in_any_order },
	{ "copied item is confirmed", copied_item_is_confirmed },
};

TEST_MAIN("held", tests)
