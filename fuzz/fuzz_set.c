/*
 * Fuzzes the parser of sets.  The indices of an accepted set must be within its
 * tables, its difference from itself empty, and the operators' edit commands
 * must work on its text.
 */
#include <string.h>

#include "../mesh/mesh.h"
#include "fuzz.h"

static void check_indices(const struct set *);
static void check_edit(const struct set *, const char *, size_t);

/*
 * An index out of range would let code that uses the set read past its tables.
 */
static void
check_indices(const struct set *s)
{
	int i;

	for (i = 0; i < s->nroutes; i++)
		FUZZ_REQUIRE(s->routes[i].service >= 0 &&
			     s->routes[i].service < s->nservices);
	for (i = 0; i < s->ntargets; i++)
		FUZZ_REQUIRE(s->targets[i].service >= 0 &&
			     s->targets[i].service < s->nservices &&
			     s->targets[i].dc >= 0 &&
			     s->targets[i].dc < s->ndcs);
}

/*
 * Sets the first target's state to out.  The text must still parse with that
 * change, unless validation rejects it.
 */
static void
check_edit(const struct set *s, const char *text, size_t len)
{
	struct report *rep = report_new();
	GString *out = g_string_new(NULL);
	struct set *edited;

	FUZZ_REQUIRE(set_edit_state(text, len, "targets", s->targets[0].name,
			 SET_OUT, out, rep) == MESH_OK);
	edited = set_parse(out->str, out->len, rep);
	if (edited != NULL) {
		FUZZ_REQUIRE(edited->ntargets == s->ntargets);
		FUZZ_REQUIRE(edited->targets[0].state == SET_OUT);
		set_free(edited);
	}
	g_string_free(out, TRUE);
	report_free(rep);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *text = (const char *)data;
	struct report *rep = report_new();
	GString *out = g_string_new(NULL);
	struct set *s;

	s = set_parse(text, len, rep);
	FUZZ_REQUIRE((s == NULL) == (rep->errors > 0));
	if (s != NULL) {
		check_indices(s);
		FUZZ_REQUIRE(set_diff(s, s, 0, out) == 0);
		if (s->ntargets > 0)
			check_edit(s, text, len);
		set_free(s);
	}
	report_print(rep, "set", out);
	g_string_free(out, TRUE);
	report_free(rep);
	return 0;
}
