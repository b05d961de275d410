/* Decoding of configurations in steps, and what versions share. */
#include "../platform/platform.h"
#include "test.h"

#define ROUTES	 400
#define VERSIONS 300
#define STEP	 4096 /* bytes parsed in a step */
#define ELEMENT	 400  /* bytes of the longest element */

/* Elements of the lists of two hosts, and what stands between them. */
struct document {
	GPtrArray *routes[2]; /* of char *, owned */
	const char *services, *separator;
	int version;
};

static const char *const all_services[] = {
	"{\"Name\":\"a\"},{\"Name\":\"b\"}",
	"{\"Name\":\"b\"},{\"Name\":\"a\"}",
	"{\"Name\":\"a\"},{\"Name\":\"b\"},{\"Name\":5}",
};

static const char *const separators[] = { ",", " ,\n\t", ",/* ]}\" */",
	", // [{\"\n" };

/* Text of a route; one in ten has something that is not understood. */
static char *
make_route(GRand *rand)
{
	static const char *const to[] = { "\"Service\":\"a\"",
		"\"Service\" : \"b\"",
		"\"TrafficSplit\":[{\"Service\":\"a\",\"Weight\":3},"
		"{\"Service\":\"b\",\"Weight\":1}]" };
	static const char *const odd[] = { "\"Kind\":\"new\"",
		"\"Kind\":\"idempotent\",\"N\\\"]}ew\":[1,{\"x\":[]}]",
		"\"Kind\":\"idempotent\",\"TimeoutMs\":-4" };
	int n = g_rand_int_range(rand, 0, 1000000);

	return g_strdup_printf("{\"Name\":\"r%d\",\"Prefix\":\"/%d/\",%s,%s}",
	    n, n, n % 10 == 0 ? odd[n / 10 % 3] : "\"Kind\":\"idempotent\"",
	    to[n / 30 % 3]);
}

/* Changes, removes, adds or moves a route of one of the hosts. */
static void
edit(struct document *d, GRand *rand)
{
	GPtrArray *list = d->routes[g_rand_int_range(rand, 0, 2)];
	int at = g_rand_int_range(rand, 0, (int)list->len + 1);

	switch (g_rand_int_range(rand, 0, 5)) {
	case 0:
	case 1:
		g_ptr_array_insert(list, at, make_route(rand));
		break;
	case 2:
		if (at < (int)list->len)
			g_ptr_array_remove_index(list, (guint)at);
		break;
	case 3:
		if (at < (int)list->len)
			g_ptr_array_add(
			    list, g_ptr_array_steal_index(list, (guint)at));
		break;
	default:
		if (at < (int)list->len) {
			g_free(list->pdata[at]);
			list->pdata[at] = make_route(rand);
		}
		break;
	}
}

/* Text of the document. */
static GBytes *
write_document(const struct document *d)
{
	GString *out = g_string_new(NULL);
	guint i, h;

	g_string_printf(out,
	    "{\"Version\":%d,\"Services\":[%s],\"Odd\":[[[1,[2]]]],"
	    "\"VirtualHosts\":[",
	    d->version, d->services);
	for (h = 0; h < 2; h++) {
		g_string_append_printf(out,
		    "%s{\"Other\":[5 ,{}],\"PathRules\":[",
		    h > 0 ? d->separator : "");
		for (i = 0; i < d->routes[h]->len; i++)
			g_string_append_printf(out, "%s%s",
			    i > 0 ? d->separator : "",
			    (char *)d->routes[h]->pdata[i]);
		g_string_append_printf(out, "],\"Host\":\"h%u\"}", h);
	}
	g_string_append(out, "]}");
	return g_string_free_to_bytes(out);
}

/* Whether two routes are the same but for the state of their split. */
static int
is_equal(const struct view_route *a, const struct view_route *b)
{
	int i, n = 0;

	for (i = 0; i < a->nparts && a->nparts == b->nparts; i++)
		n += a->parts[i].service == b->parts[i].service &&
		     a->parts[i].weight == b->parts[i].weight;
	return n == a->nparts && g_strcmp0(a->key, b->key) == 0 &&
	       strcmp(a->name, b->name) == 0 && strcmp(a->host, b->host) == 0 &&
	       a->repeatable == b->repeatable &&
	       a->timeout_ms == b->timeout_ms && a->goal_ms == b->goal_ms &&
	       a->unusable == b->unusable && a->unparsed == b->unparsed;
}

/*
 * Decodes a document with the version before it; the result, its warnings
 * included, is that of decoding it alone.  Releases the version before.
 */
static struct view_config *
decode_both_ways(GBytes *text, struct view_config *before, int *shared)
{
	struct report *rep = report_new(), *alone_rep = report_new();
	struct platform_decode *d = platform_decode_start(text, before, rep);
	struct view_config *c, *alone;
	struct platform_decode_cost cost = { 0 };
	size_t parsed = 0, most = 0;
	guint i, n = 0;
	int done;

	do {
		done = platform_decode_step(d, STEP);
		cost = platform_decode_cost(d);
		most = MAX(most, cost.parsed - parsed);
		parsed = cost.parsed;
	} while (!done);
	/* A step may end with a batch of elements that it had begun. */
	CU_ASSERT(most <= STEP + PLATFORM_BATCH_BYTES + ELEMENT);
	c = platform_decode_end(d);
	alone = platform_config_decode(text, alone_rep);
	CU_ASSERT((c == NULL) == (alone == NULL));
	CU_ASSERT_EQUAL(rep->errors, alone_rep->errors);
	if (c != NULL && alone != NULL) {
		CU_ASSERT_EQUAL(rep->warnings, alone_rep->warnings);
		CU_ASSERT_EQUAL(c->version, alone->version);
		CU_ASSERT_EQUAL(c->routes->len, alone->routes->len);
		for (i = 0; i < c->routes->len && i < alone->routes->len; i++)
			n += is_equal(view_config_route(c, i),
			    view_config_route(alone, i));
		CU_ASSERT_EQUAL(n, alone->routes->len);
		CU_ASSERT_EQUAL(g_hash_table_size(c->index),
		    g_hash_table_size(alone->index));
		CU_ASSERT_EQUAL(cost.read + cost.shared, (int)c->routes->len);
	}
	*shared = cost.shared;
	view_config_unref(alone);
	view_config_unref(before);
	report_free(rep);
	report_free(alone_rep);
	return c;
}

/*
 * Guards against a version that differs from what was written as it shares
 * routes with the one before it (CONFIG).
 */
static void
shared_routes_are_those_written(void)
{
	GRand *rand = g_rand_new_with_seed(47);
	struct document d = { .services = all_services[0],
		.separator = separators[0] };
	struct view_config *c = NULL;
	GBytes *text;
	int i, k, shared, rejected = 0;

	for (i = 0; i < 2; i++) {
		d.routes[i] = g_ptr_array_new_with_free_func(g_free);
		for (k = 0; k < ROUTES / 2; k++)
			g_ptr_array_add(d.routes[i], make_route(rand));
	}
	for (i = 0; i < VERSIONS; i++) {
		d.version = i + 1;
		for (k = g_rand_int_range(rand, 0, 6); k > 0; k--)
			edit(&d, rand);
		if (i % 50 == 20 && d.routes[0]->len > 80)
			g_ptr_array_remove_range(d.routes[0], 30, 40);
		d.services = all_services[i % 40 == 7 ? 1 + i / 40 % 2 : 0];
		d.separator = separators[i / 10 % G_N_ELEMENTS(separators)];
		text = write_document(&d);
		c = decode_both_ways(text, c, &shared);
		rejected += c == NULL;
		g_bytes_unref(text);
	}
	CU_ASSERT_EQUAL(rejected, 0);
	g_ptr_array_free(d.routes[0], TRUE);
	g_ptr_array_free(d.routes[1], TRUE);
	view_config_unref(c);
	g_rand_free(rand);
}

/* Moved blocks of routes are found, wherever they stood. */
static void
moved_routes_are_shared(void)
{
	GRand *rand = g_rand_new_with_seed(48);
	struct document d = { .services = all_services[0], .separator = "," };
	struct view_config *c = NULL;
	GBytes *text;
	int i, k, shared = 0;

	for (i = 0; i < 2; i++) {
		d.routes[i] = g_ptr_array_new_with_free_func(g_free);
		for (k = 0; k < ROUTES / 2; k++)
			g_ptr_array_add(d.routes[i], make_route(rand));
	}
	for (i = 0; i < 2; i++) {
		d.version = i + 1;
		text = write_document(&d);
		c = decode_both_ways(text, c, &shared);
		g_bytes_unref(text);
		for (k = 0; k < ROUTES / 4; k++)
			g_ptr_array_add(d.routes[1],
			    g_ptr_array_steal_index(d.routes[1], 0));
	}
	CU_ASSERT(shared > ROUTES - 40);
	g_ptr_array_free(d.routes[0], TRUE);
	g_ptr_array_free(d.routes[1], TRUE);
	view_config_unref(c);
	g_rand_free(rand);
}

/* A list that is malformed between its elements rejects the document. */
static void
malformed_lists_are_rejected(void)
{
	static const char *const bad[] = { "[{},]", "[,{}]", "[{}{}]",
		"[{},,{}]", "[{}", "[{\"a\":1]}]", "[{\"a]", "[/]", "[{}/]",
		"[nul]", "[{}]]", "[{}}]", "[{\"a\":1,\"a\":2}]",
		"[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]" };
	struct report *rep;
	char *text;
	GBytes *b;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		text = g_strdup_printf("{\"Version\":1,\"Services\":[],"
				       "\"VirtualHosts\":[{\"Host\":\"h\","
				       "\"Other\":%s,\"PathRules\":[]}]}",
		    bad[i]);
		b = g_bytes_new_take(text, strlen(text));
		rep = report_new();
		CU_ASSERT_PTR_NULL(platform_config_decode(b, rep));
		CU_ASSERT(rep->errors > 0);
		report_free(rep);
		g_bytes_unref(b);
	}
}

static const struct test tests[] = {
	{ "shared routes are those written", shared_routes_are_those_written },
	{ "moved routes are shared", moved_routes_are_shared },
	{ "malformed lists are rejected", malformed_lists_are_rejected },
};

TEST_MAIN("decode", tests)
