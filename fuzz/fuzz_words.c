/*
 * What is new in a valid configuration: values are replaced one by one, and
 * what does not hold them must stay as it was.
 */
#include <string.h>

#include "../platform/platform.h"
#include "fuzz.h"

#define ROUTES	   3
#define HOST	   "h.example"
#define MUTATIONS  3 /* of one document */
#define VALUES_MAX 64

/* What holds a value: a route by its number, or one of these. */
enum holder {
	HOLDER_SERVICE = ROUTES, /* the last route's */
	HOLDER_LIMITS,
	HOLDER_DOCUMENT,
};

/* A piece of the document before a value, the value, and what holds it. */
struct piece {
	const char *before, *value;
	int holder;
};

#define RULE(n, kind, service)                                                \
	{ "{\"Name\":", "\"r" #n "\"", n },                                   \
	    { ",\"Prefix\":", "\"/" #n "/\"", n }, { ",\"Kind\":", kind, n }, \
	    { ",\"TimeoutMs\":", "700", n },                                  \
	    { ",\"TargetLatencyMs\":", "300", n },                            \
	    { ",\"Attempts\":", "2", n }, { ",\"Priority\":", "1", n },       \
	{                                                                     \
		",\"Service\":", service, n                                   \
	}

static const struct piece pieces[] = {
	{ "{\"Version\":", "7", HOLDER_DOCUMENT },
	{ ",\"Services\":[{\"Name\":\"a\",\"MaxConnections\":", "9",
	    HOLDER_LIMITS },
	{ "},{\"Name\":", "\"b\"", HOLDER_SERVICE },
	{ ",\"HealthCheckPath\":", "\"/b\"", HOLDER_SERVICE },
	{ ",\"WarmupS\":", "2.5", HOLDER_SERVICE },
	{ ",\"WarmupPerS\":", "9", HOLDER_SERVICE },
	{ "}],\"Limits\":{\"MaxHeaderBytes\":", "4096", HOLDER_LIMITS },
	{ ",\"MaxBodyBytes\":", "4096", HOLDER_LIMITS },
	{ "},\"New\":", "0", HOLDER_LIMITS },
	{ ",\"VirtualHosts\":[{\"Host\":\"" HOST "\",\"More\":", "1",
	    HOLDER_LIMITS },
	{ ",\"PathRules\":[", "", HOLDER_LIMITS },
	RULE(0, "\"idempotent\"", "\"a\""),
	{ "},", "", HOLDER_LIMITS },
	RULE(1, "\"download\"", "\"a\""),
	{ "},", "", HOLDER_LIMITS },
	RULE(2, "\"non_idempotent\"", "\"b\""),
	{ "}]}]}", "", HOLDER_LIMITS },
};

/* Values of every type and size; each stays one value of the document. */
static const char *const values[] = { "null", "true", "-1", "0", "1e300",
	"99999999999", "0.5", "\"\"", "\"idempotent\"", "\"other\"", "\"/0/\"",
	"[]", "{}", "[{\"Service\":\"a\"}]", "{\"a\":[1,{}]}", "\"\\u0001\"",
	"123456789012345678901234567890" };

static GBytes *write_document(const uint8_t *, size_t, int *);
static void check_route(const struct view_config *, int, const int *);

/* Writes the document with some values replaced; held counts by holder. */
static GBytes *
write_document(const uint8_t *data, size_t len, int *held)
{
	const char *chosen[VALUES_MAX];
	GString *text = g_string_new(NULL);
	size_t i, at, n = G_N_ELEMENTS(pieces);

	for (i = 0; i < n; i++)
		chosen[i] = pieces[i].value;
	for (i = 0; i + 1 < len && i < 2 * (size_t)MUTATIONS; i += 2) {
		at = data[i] % n;
		if (pieces[at].value[0] == '\0')
			continue;
		chosen[at] = values[data[i + 1] % G_N_ELEMENTS(values)];
		held[pieces[at].holder]++;
	}
	for (i = 0; i < n; i++) {
		g_string_append(text, pieces[i].before);
		g_string_append(text, chosen[i]);
	}
	return g_string_free_to_bytes(text);
}

/* A route whose own values are as they were is served as it was. */
static void
check_route(const struct view_config *c, int n, const int *held)
{
	char path[16];
	const struct view_route *r;

	g_snprintf(path, sizeof(path), "/%d/x", n);
	r = view_route(c, HOST, path);
	if (held[n] > 0) {
		/* One that is there is never taken for one that is not. */
		FUZZ_REQUIRE(r != NULL || view_may_route(c, HOST));
		if (r != NULL)
			FUZZ_REQUIRE(r->timeout_ms > 0 && r->goal_ms > 0 &&
				     r->attempts > 0 && r->nparts > 0);
		return;
	}
	FUZZ_REQUIRE(r != NULL && r->timeout_ms == 700 && r->goal_ms == 300 &&
		     r->attempts == 2 && r->priority == 1 && r->nparts == 1);
	FUZZ_REQUIRE(r->repeatable == (n < 2));
	if (n < 2 || held[HOLDER_SERVICE] == 0)
		FUZZ_REQUIRE(!r->unusable && r->parts[0].service >= 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	int held[HOLDER_DOCUMENT + 1] = { 0 };
	GBytes *text = write_document(data, len, held);
	struct report *rep = report_new();
	struct view_config *c = platform_config_decode(text, rep);
	const struct report_entry *e;
	int i;

	FUZZ_REQUIRE((c != NULL) == (rep->errors == 0));
	if (c == NULL) {
		/* Only what contradicts itself is refused: names, or the whole.
		 */
		e = g_ptr_array_index(rep->entries, 0);
		FUZZ_REQUIRE(e->message != NULL);
		for (i = 0; i <= HOLDER_DOCUMENT; i++)
			if (held[i] > 0 && i != HOLDER_LIMITS)
				break;
		FUZZ_REQUIRE(i <= HOLDER_DOCUMENT);
	} else {
		for (i = 0; i < ROUTES; i++)
			check_route(c, i, held);
	}
	view_config_unref(c);
	report_free(rep);
	g_bytes_unref(text);
	return 0;
}
