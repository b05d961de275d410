/*
 * Sets: whatever is accepted hangs together, differs in nothing from itself,
 * and can be edited by the commands for operators.
 */
#include <string.h>

#include "../mesh/mesh.h"
#include "fuzz.h"

static void check_handles(const struct set *);
static void check_edit(const struct set *, const char *, size_t);

/* No handle points outside its table. */
static void
check_handles(const struct set *s)
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

/* The text stays a set when a target goes out, unless the check forbids it. */
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

/* One input. */
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
		check_handles(s);
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
