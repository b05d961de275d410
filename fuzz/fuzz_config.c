/*
 * Fuzzes the decoder of configurations with values it does not know: replaces
 * some values of a valid document, each owned by a route, a service, the limits
 * or the document.  All that does not own a replaced value must be decoded as
 * before.
 */
#include <string.h>

#include "../platform/platform.h"
#include "fuzz.h"

#define ROUTES	      3
#define HOST	      "h.example"
#define MUTATIONS     3 /* of one document */
#define FRAGMENTS_MAX 64

/* The owner of a value: a route, by its number, or one of these. */
enum owner {
	OWNER_SERVICE = ROUTES, /* the service of the last route */
	OWNER_LIMITS,		/* and values on which no route depends */
	OWNER_DOCUMENT,
};

/* The text of the document before a value, the value, and its owner. */
struct fragment {
	const char *before, *value;
	int owner;
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

static const struct fragment fragments[] = {
	{ "{\"Version\":", "7", OWNER_DOCUMENT },
	{ ",\"Services\":[{\"Name\":\"a\",\"MaxConnections\":", "9",
	    OWNER_LIMITS },
	{ "},{\"Name\":", "\"b\"", OWNER_SERVICE },
	{ ",\"HealthCheckPath\":", "\"/b\"", OWNER_SERVICE },
	{ ",\"WarmupS\":", "2.5", OWNER_SERVICE },
	{ ",\"WarmupPerS\":", "9", OWNER_SERVICE },
	{ "}],\"Limits\":{\"MaxHeaderBytes\":", "4096", OWNER_LIMITS },
	{ ",\"MaxBodyBytes\":", "4096", OWNER_LIMITS },
	{ "},\"New\":", "0", OWNER_LIMITS },
	{ ",\"VirtualHosts\":[{\"Host\":\"" HOST "\",\"More\":", "1",
	    OWNER_LIMITS },
	{ ",\"PathRules\":[", "", OWNER_LIMITS },
	RULE(0, "\"idempotent\"", "\"a\""),
	{ "},", "", OWNER_LIMITS },
	RULE(1, "\"download\"", "\"a\""),
	{ "},", "", OWNER_LIMITS },
	RULE(2, "\"non_idempotent\"", "\"b\""),
	{ "}]}]}", "", OWNER_LIMITS },
};

/* Replacements of every type and of many sizes; each is one JSON value. */
static const char *const values[] = { "null", "true", "-1", "0", "1e300",
	"99999999999", "0.5", "\"\"", "\"idempotent\"", "\"other\"", "\"/0/\"",
	"[]", "{}", "[{\"Service\":\"a\"}]", "{\"a\":[1,{}]}", "\"\\u0001\"",
	"123456789012345678901234567890" };

static GBytes *write_document(const uint8_t *, size_t, int *);
static void check_route(const struct view_config *, int, const int *);

/*
 * Writes the document with some values replaced, as the input selects.
 * Counts the replaced values by owner.
 */
static GBytes *
write_document(const uint8_t *data, size_t len, int *replaced)
{
	const char *chosen[FRAGMENTS_MAX];
	GString *text = g_string_new(NULL);
	size_t i, at, n = G_N_ELEMENTS(fragments);

	for (i = 0; i < n; i++)
		chosen[i] = fragments[i].value;
	for (i = 0; i + 1 < len && i < 2 * (size_t)MUTATIONS; i += 2) {
		at = data[i] % n;
		if (fragments[at].value[0] == '\0')
			continue;
		chosen[at] = values[data[i + 1] % G_N_ELEMENTS(values)];
		replaced[fragments[at].owner]++;
	}
	for (i = 0; i < n; i++) {
		g_string_append(text, fragments[i].before);
		g_string_append(text, chosen[i]);
	}
	return g_string_free_to_bytes(text);
}

/* Checks that a route without replaced values is decoded as before. */
static void
check_route(const struct view_config *c, int n, const int *replaced)
{
	char path[16];
	const struct view_route *r;

	g_snprintf(path, sizeof(path), "/%d/x", n);
	r = view_route(c, HOST, path);
	if (replaced[n] > 0) {
		/* A route that cannot be decoded is not treated as absent. */
		FUZZ_REQUIRE(r != NULL || view_has_unparsed_route(c, HOST));
		if (r != NULL)
			FUZZ_REQUIRE(r->timeout_ms > 0 && r->goal_ms > 0 &&
				     r->attempts > 0 && r->nparts > 0);
		return;
	}
	FUZZ_REQUIRE(r != NULL && r->timeout_ms == 700 && r->goal_ms == 300 &&
		     r->attempts == 2 && r->priority == 1 && r->nparts == 1);
	FUZZ_REQUIRE(r->repeatable == (n < 2));
	if (n < 2 || replaced[OWNER_SERVICE] == 0)
		FUZZ_REQUIRE(!r->unusable && r->parts[0].service >= 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	int replaced[OWNER_DOCUMENT + 1] = { 0 };
	GBytes *text = write_document(data, len, replaced);
	struct report *rep = report_new();
	struct view_config *c = platform_config_decode(text, rep);
	const struct report_entry *e;
	int i;

	FUZZ_REQUIRE((c != NULL) == (rep->errors == 0));
	if (c == NULL) {
		/*
		 * Only names that contradict each other, or a malformed
		 * document, are rejected; a replaced limit alone never is.
		 */
		e = g_ptr_array_index(rep->entries, 0);
		FUZZ_REQUIRE(e->message != NULL);
		for (i = 0; i <= OWNER_DOCUMENT; i++)
			if (replaced[i] > 0 && i != OWNER_LIMITS)
				break;
		FUZZ_REQUIRE(i <= OWNER_DOCUMENT);
	} else {
		for (i = 0; i < ROUTES; i++)
			check_route(c, i, replaced);
	}
	view_config_unref(c);
	report_free(rep);
	g_bytes_unref(text);
	return 0;
}
