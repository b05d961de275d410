/*
 * Fuzzes the decoders of the platform's store: the input is decoded as a
 * configuration, as a target, and as a page of the store, whose items are
 * decoded by the kind that their keys give.  Accepted values must be usable.
 */
#include "../platform/platform.h"
#include "fuzz.h"

static void check_config(GBytes *);
static void check_target(const struct platform_item *);

/* Each route of an accepted configuration has parts and a timeout. */
static void
check_config(GBytes *text)
{
	struct report *rep = report_new();
	struct view_config *c = platform_config_decode(text, rep);
	guint i;

	FUZZ_REQUIRE((c != NULL) == (rep->errors == 0));
	if (c != NULL) {
		for (i = 0; i < c->routes->len; i++) {
			FUZZ_REQUIRE(view_config_route(c, i)->nparts > 0);
			FUZZ_REQUIRE(view_config_route(c, i)->timeout_ms > 0);
		}
		view_route(c, "h.example", "/x/y?z=1");
		view_config_unref(c);
	}
	report_free(rep);
}

/* An accepted target has slots and a valid address. */
static void
check_target(const struct platform_item *it)
{
	struct view_target t;
	char host[ADDRESS_MAX];
	int port;

	if (platform_target_decode(it, &t) != PLATFORM_OK)
		return;
	FUZZ_REQUIRE(t.slots > 0);
	FUZZ_REQUIRE(address_split(t.addr, host, &port) == BASE_OK);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	GBytes *text = g_bytes_new(data, len);
	struct platform_item whole = {
		.kind = PLATFORM_TARGET, .name = (char *)"t", .value = text
	};
	const struct platform_item *it;
	struct platform_page p;
	guint i;

	check_config(text);
	check_target(&whole);
	if (platform_page_parse((const char *)data, len, &p) == PLATFORM_OK) {
		for (i = 0; i < p.items->len; i++) {
			it = &g_array_index(p.items, struct platform_item, i);
			if (it->value == NULL)
				continue;
			if (it->kind == PLATFORM_CONFIG)
				check_config(it->value);
			else if (it->kind == PLATFORM_TARGET)
				check_target(it);
		}
		platform_page_clear(&p);
	}
	g_bytes_unref(text);
	return 0;
}
