/* Decoding of the users' platform's formats, and their use by the view. */
#include <stdio.h>

#include "../platform/platform.h"
#include "test.h"

#define SERVICES                                                         \
	"\"Services\":[{\"Name\":\"a\",\"HealthCheckPath\":\"/health\"," \
	"\"MaxConnections\":9,\"WarmupS\":3.0,\"WarmupPerS\":17.0},"     \
	"{\"Name\":\"b\",\"HealthCheckPath\":\"/h\",\"MaxConnections\":9}]"
#define LIMITS                                                 \
	"\"Limits\":{\"MaxHeaderBytes\":1,\"MaxBodyBytes\":2," \
	"\"HeaderTimeoutMs\":3,\"IdleTimeoutMs\":4}"
#define ROUTE(prefix, timeout, to)                          \
	"{\"Name\":\"r" prefix "\",\"Prefix\":\"" prefix    \
	"\",\"Kind\":\"idempotent\",\"TimeoutMs\":" timeout \
	",\"TargetLatencyMs\":40,\"Priority\":2,\"Attempts\":2," to "}"
#define HOSTS(rules)                                                           \
	"\"VirtualHosts\":[{\"Host\":\"H.example\",\"PathRules\":[" rules "]}" \
	"]"
#define CONFIG(version, rules) \
	"{\"Version\":" version "," SERVICES "," LIMITS "," HOSTS(rules) "}"
#define TO_A "\"Service\":\"a\""

static struct view_config *
decode(const char *text, int *errors)
{
	GBytes *b = g_bytes_new(text, strlen(text));
	struct report *rep = report_new();
	struct view_config *c = platform_config_decode(b, rep);

	*errors = rep->errors;
	report_free(rep);
	g_bytes_unref(b);
	return c;
}

/* Hosts match without case and port, and the longest prefix wins. */
static void
routes_match_by_host_and_prefix(void)
{
	struct view_config *c;
	int errors;

	c = decode(CONFIG("7", ROUTE("/", "100", TO_A) "," ROUTE("/x/", "100",
				   TO_A) "," ROUTE("/x/y/", "100", TO_A)),
	    &errors);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	CU_ASSERT_EQUAL(c->version, 7);
	CU_ASSERT_EQUAL(c->services[0].cold_ms, 3000);
	CU_ASSERT_STRING_EQUAL(
	    view_route(c, "h.EXAMPLE:80", "/x/y/z?a=/q/")->prefix, "/x/y/");
	CU_ASSERT_STRING_EQUAL(
	    view_route(c, "h.example", "/x/yy")->prefix, "/x/");
	CU_ASSERT_STRING_EQUAL(view_route(c, "h.example", "/x")->prefix, "/");
	CU_ASSERT_PTR_NULL(view_route(c, "other", "/x/"));
	CU_ASSERT_PTR_NULL(view_route(c, "", "*"));
	view_config_unref(c);
}

/* A configuration that is malformed or contradicts itself is rejected. */
static void
contradictory_config_is_rejected(void)
{
	static const char *const bad[] = {
		"{\"Version\":7,",
		"[]",
		"{}",
		CONFIG("0", ROUTE("/", "100", TO_A)),
		CONFIG("-1", ROUTE("/", "100", TO_A)),
		CONFIG("1.5", ROUTE("/", "100", TO_A)),
		CONFIG("\"1\"", ROUTE("/", "100", TO_A)),
		CONFIG("1", ROUTE("/", "100", "\"Service\":\"none\"")),
		CONFIG("1",
		    ROUTE("/x/", "100", TO_A) "," ROUTE("/x/", "100", TO_A)),
		"{\"Version\":1," LIMITS "," HOSTS("") "}",
		"{\"Version\":1," SERVICES "," LIMITS "}",
		"{\"Version\":1,\"Services\":[{\"Name\":\"a\"},"
		"{\"Name\":\"a\"}]," HOSTS("") "}",
	};
	struct view_config *c;
	size_t i;
	int errors;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		c = decode(bad[i], &errors);
		CU_ASSERT_PTR_NULL(c);
		CU_ASSERT(errors > 0);
		if (c != NULL)
			printf("case %zu was accepted\n", i);
		view_config_unref(c);
	}
}

/* A route with all of its fields, and one that must not be affected. */
#define RULE(name, prefix, kind, times, to)                                 \
	"{\"Name\":" name ",\"Prefix\":" prefix ",\"Kind\":" kind "," times \
	",\"Priority\":1,\"Attempts\":3," to "},"                           \
	"{\"Name\":\"ok\",\"Prefix\":\"/ok/\",\"Kind\":\"idempotent\","     \
	"\"TimeoutMs\":70,\"Service\":\"b\"}"
#define TIMES	  "\"TimeoutMs\":100,\"TargetLatencyMs\":40"
#define ANY(kind) CONFIG("1", RULE("\"r\"", "\"/x/\"", kind, TIMES, TO_A))
#define TIME(times) \
	CONFIG("1", RULE("\"r\"", "\"/x/\"", "\"idempotent\"", times, TO_A))
#define TO(to) \
	CONFIG("1", RULE("\"r\"", "\"/x/\"", "\"idempotent\"", TIMES, to))
#define SPLIT(parts) TO("\"TrafficSplit\":" parts)

/* An unknown value affects only its route, and gets the cautious reading. */
static void
unknown_values_affect_only_their_route(void)
{
	enum {
		SERVED,
		UNUSABLE, /* it matches, but cannot be used */
		UNPLACED, /* its prefix is unknown */
	};
	static const struct {
		const char *text;
		int route, repeatable, timeout_ms, attempts, priority, parts;
	} cases[] = {
		{ ANY("\"download\""), SERVED, 1, 100, 3, 1, 0 },
		{ ANY("\"non_idempotent\""), SERVED, 0, 100, 3, 1, 0 },
		{ ANY("\"bulk\""), SERVED, 0, 100, 3, 1, 1 },
		{ ANY("7"), SERVED, 0, 100, 3, 1, 1 },
		{ ANY("\"Idempotent\""), SERVED, 0, 100, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":0"), SERVED, 1, 5000, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":-5"), SERVED, 1, 5000, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":\"9\""), SERVED, 1, 5000, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":99999999"), SERVED, 1, 600000, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":1e300"), SERVED, 1, 600000, 3, 1, 1 },
		{ TIME("\"TimeoutMs\":250.75"), SERVED, 1, 250, 3, 1, 0 },
		{ TIME("\"New\":{\"a\":[1]}"), SERVED, 1, 5000, 3, 1, 1 },
		{ TIME(TIMES ",\"New\":{\"a\":[1]}"), SERVED, 1, 100, 3, 1, 0 },
		{ TIME("\"TimeoutMs\":100,\"TargetLatencyMs\":[]"), SERVED, 1,
		    100, 3, 1, 1 },
		{ CONFIG("1",
		      RULE("null", "\"/x/\"", "\"idempotent\"", TIMES, TO_A)),
		    SERVED, 1, 100, 3, 1, 1 },
		{ CONFIG("1",
		      RULE("\"r\"", "\"/x\"", "\"idempotent\"", TIMES, TO_A)),
		    UNPLACED, 1, 100, 3, 1, 1 },
		{ CONFIG("1", RULE("\"r\"", "[\"/x/\"]", "\"idempotent\"",
				  TIMES, TO_A)),
		    UNPLACED, 1, 100, 3, 1, 1 },
		{ TO("\"Service\":5"), UNUSABLE, 1, 100, 3, 1, 1 },
		{ TO("\"Else\":5"), UNUSABLE, 1, 100, 3, 1, 1 },
		{ SPLIT("{}"), UNUSABLE, 1, 100, 3, 1, 1 },
		{ SPLIT("[]"), UNUSABLE, 1, 100, 3, 1, 1 },
		{ SPLIT("[{" TO_A ",\"Weight\":0}]"), UNUSABLE, 1, 100, 3, 1,
		    1 },
		{ SPLIT("[{" TO_A "},{\"Service\":\"b\",\"Weight\":4}]"),
		    UNUSABLE, 1, 100, 3, 1, 1 },
		{ SPLIT("[{" TO_A ",\"Weight\":0.5}]"), UNUSABLE, 1, 100, 3, 1,
		    2 },
	};
	const struct view_route *r;
	struct view_config *c;
	GBytes *b;
	struct report *rep;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		rep = report_new();
		b = g_bytes_new(cases[i].text, strlen(cases[i].text));
		c = platform_config_decode(b, rep);
		CU_ASSERT_PTR_NOT_NULL(c);
		g_bytes_unref(b);
		if (c == NULL) {
			printf("case %zu was rejected\n", i);
			report_free(rep);
			continue;
		}
		if ((cases[i].parts > 0) != (rep->warnings > 0))
			printf("case %zu: %d warnings\n", i, rep->warnings);
		CU_ASSERT_EQUAL(cases[i].parts > 0, rep->warnings > 0);
		/* The other route is not affected. */
		r = view_route(c, "h.example", "/ok/1");
		CU_ASSERT(r != NULL && r->repeatable && r->timeout_ms == 70 &&
			  !r->unusable && r->parts[0].service == 1);
		r = view_route(c, "h.example", "/x/1");
		CU_ASSERT_EQUAL(r == NULL, cases[i].route == UNPLACED);
		CU_ASSERT_EQUAL(view_has_unparsed_route(c, "H.example:80"),
		    cases[i].route == UNPLACED);
		CU_ASSERT_FALSE(view_has_unparsed_route(c, "other"));
		if (r != NULL) {
			CU_ASSERT_EQUAL(
			    r->unusable, cases[i].route == UNUSABLE);
			CU_ASSERT_EQUAL(r->repeatable, cases[i].repeatable);
			CU_ASSERT_EQUAL(r->timeout_ms, cases[i].timeout_ms);
			CU_ASSERT_EQUAL(r->attempts, cases[i].attempts);
			CU_ASSERT_EQUAL(r->priority, cases[i].priority);
			CU_ASSERT(r->goal_ms > 0);
		}
		view_config_unref(c);
		report_free(rep);
	}
}

/* Malformed services, limits and hosts. */
static void
malformed_services_limits_and_hosts(void)
{
	static const char service[] =
	    "{\"Version\":1,\"Services\":[{\"Name\":[]},{\"Name\":\"b\","
	    "\"HealthCheckPath\":7,\"WarmupS\":\"x\",\"WarmupPerS\":{},"
	    "\"MaxConnections\":\"y\"}],\"Limits\":{\"MaxBodyBytes\":\"1\","
	    "\"IdleTimeoutMs\":9}," HOSTS(
		RULE("\"r\"", "\"/x/\"", "\"idempotent\"", TIMES, TO_A)) "}";
	static const char split[] =
	    "{\"Version\":1,\"Services\":[{\"Name\":[]},{\"Name\":\"b\"}]"
	    "," HOSTS(RULE("\"r\"", "\"/x/\"", "\"idempotent\"", TIMES,
		"\"TrafficSplit\":[{" TO_A ",\"Weight\":1},{\"Service\":\"b\","
		"\"Weight\":1}]")) "}";
	static const char hosts[] =
	    "{\"Version\":1," SERVICES ",\"VirtualHosts\":[{\"Host\":7,"
	    "\"PathRules\":[" ROUTE("/", "100",
		TO_A) "]},{\"Host\":\"h\","
		      "\"PathRules\":{}},7,{\"Host\":\"k\",\"PathRules\":"
		      "[" ROUTE("/", "100", TO_A) "]}]}";
	struct view_config *c;
	int errors, i, n[2] = { 0, 0 };

	c = decode(service, &errors);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	CU_ASSERT(c->nservices == 1 && c->services[0].cold_per_s == 1 &&
		  c->services[0].cold_ms > 0 && c->services[0].connections > 0);
	CU_ASSERT_STRING_EQUAL(c->services[0].health_path, "/health");
	CU_ASSERT(c->limits.body_bytes < 0 && c->limits.idle_ms == 9);
	CU_ASSERT(view_route(c, "h.example", "/x/")->unusable);
	CU_ASSERT_FALSE(view_route(c, "h.example", "/ok/")->unusable);
	view_config_unref(c);
	/* The share of a malformed service is not sent to any other. */
	c = decode(split, &errors);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	for (i = 0; i < 100; i++)
		n[view_next_service(view_route(c, "h.example", "/x/"), 5) <
		    0]++;
	CU_ASSERT(n[0] == 50 && n[1] == 50);
	view_config_unref(c);
	c = decode(hosts, &errors);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	CU_ASSERT_PTR_NOT_NULL(view_route(c, "k", "/"));
	CU_ASSERT(view_has_unparsed_route(c, "any") &&
		  view_has_unparsed_route(c, "h"));
	view_config_unref(c);
}

/* The shares of a split are exact in each round. */
static void
split_shares_are_exact(void)
{
	struct view_config *c;
	int errors, i, n[2] = { 0, 0 };

	c = decode(
	    CONFIG(
		"1", ROUTE("/", "100",
			 "\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":90},"
			 "{\"Service\":\"b\",\"Weight\":10}]")),
	    &errors);
	CU_ASSERT_PTR_NOT_NULL(c);
	if (c == NULL)
		return;
	for (i = 0; i < 1000; i++)
		n[view_next_service(view_config_route(c, 0), 12345)]++;
	CU_ASSERT(n[0] >= 898 && n[0] <= 902);
	view_config_unref(c);
}

/*
 * Guards against requests for a part of a split whose weight is 0, as it was
 * just added or taken out (CONFIG, ROUTE; review/8).
 */
static void
part_of_weight_0_gets_nothing(void)
{
	static const char *const documents[] = {
		CONFIG("1", ROUTE("/", "100",
				"\"TrafficSplit\":[{\"Service\":\"a\","
				"\"Weight\":0},{\"Service\":\"b\","
				"\"Weight\":20}]")),
		CONFIG("1", ROUTE("/", "100",
				"\"TrafficSplit\":[{\"Service\":\"b\","
				"\"Weight\":50},{\"Service\":\"a\","
				"\"Weight\":0},{\"Service\":\"b\","
				"\"Weight\":50}]")),
	};
	struct view_config *c;
	int errors, i, k, wrong = 0;

	for (i = 0; i < 400; i++) {
		c = decode(documents[i % 2], &errors);
		CU_ASSERT_PTR_NOT_NULL(c);
		if (c == NULL)
			return;
		for (k = 0; k < 5; k++)
			wrong += view_next_service(view_config_route(c, 0),
				     (uint32_t)i * 2654435761U) == 0;
		view_config_unref(c);
	}
	CU_ASSERT_EQUAL(wrong, 0);
}

/*
 * Guards against a node that parses all of a configuration only to order it
 * after a restore of the store.
 */
static void
stamp_is_read_from_the_outline(void)
{
	static const struct {
		const char *text;
		int64_t version;
	} cases[] = {
		{ CONFIG("12", ROUTE("/", "100", TO_A)), 12 },
		{ "{\"VirtualHosts\":[{\"PathRules\":[{},{\"Version\":3}]}],"
		  "\"Version\":13}",
		    13 },
		{ "{\"Version\":14,\"VirtualHosts\":[{\"PathRules\":[{}", 0 },
		{ "{\"Version\":15", 0 },
		/* What is wrong within a route does not matter for it. */
		{ "{\"Version\":16,\"VirtualHosts\":[{\"PathRules\":[{\"a\":1,"
		  "\"a\":2}]}]}",
		    16 },
		{ "", 0 },
	};
	struct platform_item it = { .kind = PLATFORM_CONFIG };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		it.value = g_bytes_new(cases[i].text, strlen(cases[i].text));
		CU_ASSERT_EQUAL(
		    platform_item_stamp(&it).major, cases[i].version);
		g_bytes_unref(it.value);
	}
}

/* A target is used only if all fields of its entry are valid. */
static void
target_entries_are_decoded(void)
{
	static const struct {
		const char *text;
		int err;
	} cases[] = {
		{ "{\"Address\":\"10.0.0.1:80\",\"Info\":{\"Service\":\"a\","
		  "\"Version\":\"v\",\"Zone\":\"z\",\"Slots\":4},\"Status\":{"
		  "\"State\":\"draining\",\"Sequence\":1,\"WarmupLeftMs\":5},"
		  "\"born\":77}",
		    PLATFORM_OK },
		{ "{\"Address\":\"10.0.0.1:80\",\"Info\":{\"Service\":\"a\","
		  "\"Zone\":\"z\",\"Slots\":4},\"Status\":{\"State\":\"odd\","
		  "\"WarmupLeftMs\":5}}",
		    PLATFORM_EMALFORMED },
		{ "{\"Address\":\"10.0.0.1:80\",\"Info\":{\"Service\":\"a\","
		  "\"Zone\":\"z\",\"Slots\":\"4\"},\"Status\":{\"State\":"
		  "\"ready\",\"WarmupLeftMs\":5}}",
		    PLATFORM_EMALFORMED },
		{ "{\"Address\":\"nowhere\",\"Info\":{\"Service\":\"a\","
		  "\"Zone\":\"z\",\"Slots\":4},\"Status\":{\"State\":\"ready\","
		  "\"WarmupLeftMs\":5}}",
		    PLATFORM_EMALFORMED },
		{ "{\"Address\":\"10.0.0.1:80\",\"Info\":[],\"Status\":{}}",
		    PLATFORM_EMALFORMED },
		{ "\xff\xfe", PLATFORM_EMALFORMED },
		{ "", PLATFORM_EMALFORMED },
	};
	struct platform_item it = { .kind = PLATFORM_TARGET,
		.name = (char *)"t",
		.revision = { 2, 3 } };
	struct view_target t;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		it.value = g_bytes_new(cases[i].text, strlen(cases[i].text));
		CU_ASSERT_EQUAL(platform_target_decode(&it, &t), cases[i].err);
		g_bytes_unref(it.value);
		if (i > 0)
			continue;
		CU_ASSERT(t.state == VIEW_DRAINING && t.slots == 4 &&
			  t.cold_ms == 5 && t.born_ms == 77 &&
			  t.revision.era == 2 && t.revision.number == 3);
		CU_ASSERT_STRING_EQUAL(t.dc, "z");
	}
}

/* Responses of the store, valid and malformed. */
static void
store_pages_are_parsed(void)
{
	static const char page[] =
	    "{\"items\":[{\"Key\":\"op/config\",\"Value\":\"e30=\","
	    "\"Revision\":4,\"CreatedRev\":4,\"Lease\":0},{\"Key\":"
	    "\"op/evacuate/z\",\"Revision\":5,\"Removed\":true},{\"Key\":"
	    "\"servers/i\",\"Value\":\"!!\",\"Revision\":6},{\"Key\":"
	    "\"else\",\"Value\":\"\",\"Revision\":7}],\"HasMore\":true,"
	    "\"AsOf\":9}";
	static const char *const bad[] = { "", "{", "[]", "{\"items\":[]}",
		"{\"AsOf\":\"9\"}", "{\"AsOf\":-2}",
		"{\"items\":[],\"AsOf\":9,\"HasMore\":\"yes\"}",
		"{\"items\":[],\"AsOf\":9,\"HasMore\":true}", "{\"AsOf\":9}",
		"{\"items\":null,\"AsOf\":9}", "{\"items\":[{],\"AsOf\":9}",
		"{\"items\":[],\"items\":[],\"AsOf\":9}",
		"{\"items\":[],\"AsOf\":9e999}" };
	const struct platform_item *it;
	struct platform_page p;
	size_t i;

	CU_ASSERT_EQUAL(
	    platform_page_parse(page, strlen(page), &p), PLATFORM_OK);
	CU_ASSERT(p.items->len == 4 && p.more && p.as_of.number == 9);
	CU_ASSERT_STRING_EQUAL(p.last_key, "else");
	it = &g_array_index(p.items, struct platform_item, 0);
	CU_ASSERT(it->kind == PLATFORM_CONFIG && it->revision.number == 4 &&
		  g_bytes_get_size(it->value) == 2);
	it = &g_array_index(p.items, struct platform_item, 1);
	CU_ASSERT(it->kind == PLATFORM_EVACUATION && it->value == NULL);
	CU_ASSERT_STRING_EQUAL(it->name, "z");
	it = &g_array_index(p.items, struct platform_item, 3);
	CU_ASSERT_EQUAL(it->kind, PLATFORM_OTHER);
	platform_page_clear(&p);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(platform_page_parse(bad[i], strlen(bad[i]), &p),
		    PLATFORM_EMALFORMED);
}

/* An empty response and an empty entry are malformed. */
static void
empty_input_is_malformed(void)
{
	struct report *rep = report_new();
	GBytes *none = g_bytes_new(NULL, 0);
	struct platform_item it = {
		.kind = PLATFORM_TARGET, .name = (char *)"t", .value = none
	};
	struct view_target t;
	struct platform_page p;

	CU_ASSERT_EQUAL(platform_page_parse(NULL, 0, &p), PLATFORM_EMALFORMED);
	CU_ASSERT_PTR_NULL(platform_config_decode(none, rep));
	CU_ASSERT_EQUAL(platform_target_decode(&it, &t), PLATFORM_EMALFORMED);
	report_free(rep);
	g_bytes_unref(none);
}

/*
 * The view accepts only newer configurations.  Entries are ordered before they
 * reach it (test_restore); it says which of them change anything.
 */
static void
view_accepts_only_newer_configurations(void)
{
	struct view_target t = { .id = "t", .addr = "1", .revision = { 1, 5 } };
	struct view_config *c, *old;
	struct view *v = view_new();
	int errors;

	CU_ASSERT_EQUAL(view_set_target(v, &t), 1);
	t.revision.number = 6;
	CU_ASSERT_EQUAL(view_set_target(v, &t), 0);
	t.state = VIEW_DRAINING;
	CU_ASSERT_EQUAL(view_set_target(v, &t), 1);
	CU_ASSERT_EQUAL(view_remove_target(v, "t"), 1);
	CU_ASSERT_EQUAL(view_remove_target(v, "t"), 0);
	c = decode(CONFIG("5", ROUTE("/", "100", TO_A)), &errors);
	CU_ASSERT_EQUAL(view_set_config(v, c), VIEW_OK);
	c = decode(CONFIG("5", ROUTE("/", "200", TO_A)), &errors);
	CU_ASSERT_EQUAL(view_set_config(v, c), VIEW_EOLDER);
	/* A request that keeps the old version does not keep its text. */
	old = view_config_ref(v->config);
	CU_ASSERT_PTR_NOT_NULL(old->text);
	c = decode(CONFIG("6", ROUTE("/", "100", TO_A)), &errors);
	CU_ASSERT_EQUAL(view_set_config(v, c), VIEW_OK);
	CU_ASSERT(old->text == NULL && old->extents->len == 0);
	CU_ASSERT_STRING_EQUAL(view_route(old, "h.example", "/")->name, "r/");
	view_config_unref(old);
	CU_ASSERT(v->config != NULL && v->config->routes->len == 1 &&
		  view_config_route(v->config, 0)->timeout_ms == 100);
	view_free(v);
}

/*
 * Two starts of a target may be listed with one address.  A copied entry of the
 * earlier start has the later era.
 */
static void
newest_entry_of_an_address_is_found(void)
{
	struct view_target t = { .id = "a", .addr = "1", .service = "s" };
	struct view *v = view_new();

	t.born_ms = 10;
	t.revision = (struct view_revision){ 2, 5 };
	view_set_target(v, &t);
	g_strlcpy(t.id, "b", sizeof(t.id));
	t.born_ms = 20;
	t.revision = (struct view_revision){ 1, 9 };
	view_set_target(v, &t);
	CU_ASSERT_STRING_EQUAL(view_find_target(v, "1", "s")->id, "b");
	g_strlcpy(t.id, "c", sizeof(t.id));
	t.revision = (struct view_revision){ 1, 10 };
	view_set_target(v, &t);
	CU_ASSERT_STRING_EQUAL(view_find_target(v, "1", "s")->id, "c");
	view_free(v);
}

static const struct test tests[] = {
	{ "routes match by host and prefix", routes_match_by_host_and_prefix },
	{ "contradictory config is rejected",
	    contradictory_config_is_rejected },
	{ "unknown values affect only their route",
	    unknown_values_affect_only_their_route },
	{ "malformed services limits and hosts",
	    malformed_services_limits_and_hosts },
	{ "split shares are exact", split_shares_are_exact },
	{ "a stamp is read from the outline", stamp_is_read_from_the_outline },
	{ "a part of weight 0 gets nothing", part_of_weight_0_gets_nothing },
	{ "target entries are decoded", target_entries_are_decoded },
	{ "store pages are parsed", store_pages_are_parsed },
	{ "empty input is malformed", empty_input_is_malformed },
	{ "view accepts only newer configurations",
	    view_accepts_only_newer_configurations },
	{ "newest entry of an address is found",
	    newest_entry_of_an_address_is_found },
};

TEST_MAIN("platform", tests)
