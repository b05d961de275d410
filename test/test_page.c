/* Pages of the store that hold odd items of other writers. */
#include <stdio.h>

#include "../platform/platform.h"
#include "test.h"

/* An item of the store under "servers/odd". */
#define ODD(fields) "{\"Key\":\"servers/odd\"," fields "}"
#define DEEP	    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
#define DEEP_END    "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"

/*
 * Failure: one odd item of another writer made a whole page malformed, so that
 * no node could read any item of the store.
 */
static void
odd_item_costs_only_itself(void)
{
	static const char *const odd[] = {
		"5",
		"null",
		"\"x\"",
		"[]",
		"{}",
		DEEP DEEP_END,
		"{\"Key\":5,\"Revision\":5}",
		"{\"Key\":\"servers/odd\\u0000\",\"Revision\":5}",
		"{\"Key\":\"servers/\xff\xfe\",\"Revision\":5}",
		"{\"Key\":\"servers/\\ud800\\\"]}\",\"Revision\":5}",
		ODD("\"Revision\":5"),
		ODD("\"Revision\":5,\"Value\":5"),
		ODD("\"Revision\":5,\"Revision\":6,\"Value\":\"e30=\""),
		ODD("\"Revision\":5,\"Value\":\"e30=\",\"Value\":\"e30=\""),
		ODD("\"Revision\":5,\"Value\":\"no base64!\""),
		ODD("\"Revision\":5,\"Value\":" DEEP DEEP_END),
		ODD("\"Revision\":5,\"Lease\":1e400,\"Value\":\"e30=\""),
		ODD("\"Revision\":99999999999999999999,\"Value\":\"e30=\""),
		ODD("\"Revision\":-1,\"Value\":\"e30=\""),
		ODD("\"Revision\":\"5\",\"Value\":\"e30=\""),
		ODD("\"Revision\":5,\"Removed\":\"yes\""),
	};
	const struct platform_item *it;
	struct platform_page p;
	struct view_target t;
	char *text;
	size_t i;
	guint k, good;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		text = g_strdup_printf(
		    "{\"items\":[{\"Key\":\"servers/a\",\"Value\":\"e30=\","
		    "\"Revision\":4},%s,{\"Key\":\"servers/b\",\"Value\":"
		    "\"e30=\",\"Revision\":6}],\"AsOf\":9}",
		    odd[i]);
		if (platform_page_parse(text, strlen(text), &p) !=
		    PLATFORM_OK) {
			printf("case %zu was rejected\n", i);
			CU_FAIL("an odd item made its page malformed");
			g_free(text);
			continue;
		}
		for (k = good = 0; k < p.items->len; k++) {
			it = &g_array_index(p.items, struct platform_item, k);
			if (strcmp(it->name, "a") == 0 ||
			    strcmp(it->name, "b") == 0) {
				good++;
				continue;
			}
			/* It is not newer than all that is written later. */
			CU_ASSERT(
			    view_revision_compare(it->revision, p.as_of) <= 0);
			if (it->value != NULL)
				CU_ASSERT_EQUAL(platform_target_decode(it, &t),
				    PLATFORM_EMALFORMED);
		}
		CU_ASSERT_EQUAL(good, 2);
		CU_ASSERT_STRING_EQUAL(p.last_key, "servers/b");
		platform_page_clear(&p);
		g_free(text);
	}
}

/* An entry of a target with the given address, slots, state and further text.
 */
#define ENTRY(addr, slots, cold, more)                                    \
	"{\"Address\":\"" addr "\",\"Info\":{\"Service\":\"a\",\"Zone\":" \
	"\"z\",\"Slots\":" slots "},\"Status\":{\"State\":\"ready\","     \
	"\"WarmupLeftMs\":" cold "}" more "}"

/* Numbers out of range, odd addresses and deep nesting make no target. */
static void
odd_entries_are_malformed(void)
{
	static const struct {
		const char *text;
		int err;
	} cases[] = {
		{ ENTRY("1.2.3.4:80", "4", "0", ""), PLATFORM_OK },
		{ ENTRY("1.2.3.4:65535", "4", "0", ",\"born\":9"),
		    PLATFORM_OK },
		{ ENTRY("1.2.3.4", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:0", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:-1", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:+80", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4: 80", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:65536", "4", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:99999999999", "4", "0", ""),
		    PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:99999999999999999999", "4", "0", ""),
		    PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", "1e400", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", "4e18", "0", ""), PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", "9223372036854775807", "0", ""),
		    PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", "4", "9223372036854775808", ""),
		    PLATFORM_EMALFORMED },
		{ ENTRY(
		      "1.2.3.4:80", "4", "0", ",\"born\":9223372036854775808"),
		    PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", "4", "0", ",\"born\":1,\"born\":1"),
		    PLATFORM_EMALFORMED },
		{ ENTRY("1.2.3.4:80", DEEP DEEP_END, "0", ""),
		    PLATFORM_EMALFORMED },
		{ DEEP, PLATFORM_EMALFORMED },
		{ DEEP DEEP_END, PLATFORM_EMALFORMED },
	};
	struct platform_item it = { .kind = PLATFORM_TARGET,
		.name = (char *)"t",
		.revision = { 0, 3 } };
	char name[200];
	struct view_target t;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		it.value = g_bytes_new(cases[i].text, strlen(cases[i].text));
		if (platform_target_decode(&it, &t) != cases[i].err) {
			printf("case %zu: %s\n", i, cases[i].text);
			CU_FAIL("wrong result");
		}
		g_bytes_unref(it.value);
	}
	memset(name, 'x', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	it.name = name;
	it.value = g_bytes_new(cases[0].text, strlen(cases[0].text));
	CU_ASSERT_EQUAL(platform_target_decode(&it, &t), PLATFORM_EMALFORMED);
	g_bytes_unref(it.value);
}

static const struct test tests[] = {
	{ "odd item costs only itself", odd_item_costs_only_itself },
	{ "odd entries are malformed", odd_entries_are_malformed },
};

TEST_MAIN("page", tests)
