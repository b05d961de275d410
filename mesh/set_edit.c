/* Edits of a set's text that leave its comments and layout alone. */
#include <string.h>

#include "mesh.h"

static size_t string_start(const char *, size_t);

/* Start of the string literal that ends before an offset. */
static size_t
string_start(const char *text, size_t end)
{
	size_t i = end - 1;

	/* Words of a state have no escapes, so the next quote opens it. */
	do
		i--;
	while (text[i] != '"');
	return i;
}

/* Gives an object its state, and checks the set that results. */
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
		start = string_start(text, value->end);
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
