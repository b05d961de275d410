/* Edits of a set's text that preserve its comments and layout. */
#include <string.h>

#include "mesh.h"

static size_t find_string_start(const char *, size_t);

/* Offset of the opening quote of the string literal that ends before end. */
static size_t
find_string_start(const char *text, size_t end)
{
	size_t i = end - 1;

	/* A state has no escapes, so the previous quote is the opening one. */
	do
		i--;
	while (text[i] != '"');
	return i;
}

/* Replaces the value of "state" or adds one, and validates the result. */
int
set_edit_state(const char *text, size_t len, const char *section,
    const char *name, enum set_state state, GString *out, struct report *rep)
{
	const struct json *obj, *value;
	struct json *root;
	struct set *s;
	size_t start, from = out->len;

	if ((root = json_parse(text, len, rep)) == NULL)
		return MESH_EREFUSED;
	obj = json_get(json_get(root, section), name);
	if (obj == NULL || obj->type != JSON_OBJECT) {
		report_error(rep, root->line, section, name, "does not exist");
		json_free(root);
		return MESH_ENOTFOUND;
	}
	value = json_get(obj, "state");
	if (value != NULL && value->type == JSON_STRING) {
		start = find_string_start(text, value->end);
		g_string_append_len(out, text, (gssize)start);
		g_string_append_printf(out, "\"%s\"", set_state_names[state]);
		start = value->end;
	} else {
		start = obj->end;
		g_string_append_len(out, text, (gssize)start);
		g_string_append_printf(
		    out, " \"state\": \"%s\",", set_state_names[state]);
	}
	g_string_append_len(out, text + start, (gssize)(len - start));
	json_free(root);
	s = set_parse(out->str + from, out->len - from, rep);
	if (s == NULL)
		return MESH_EREFUSED;
	set_free(s);
	return MESH_OK;
}
