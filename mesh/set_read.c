/* Fills the tables of a set from its parsed text, row by row. */
#include <string.h>

#include "mesh_int.h"

#define SLOTS_MAX	10000
#define CONNECTIONS_MAX 100000
#define DEADLINE_MS_MAX 600000
#define SET_FORMAT	1

/* Maps a section of the text to a table of struct set. */
struct section {
	const char *key;
	const char *kind;
	const struct field *fields;
	size_t row_size;
	size_t table, count; /* offsets of the members of struct set */
};

static void read_section(
    struct set *, const struct section *, const struct json *, struct report *);

static const struct field dc_fields[] = {
	{ "state", FIELD_ENUM, offsetof(struct set_dc, state), 0, 0,
	    set_state_names, 1 },
	{ 0 },
};

static const struct field service_fields[] = {
	{ "slots", FIELD_INT, offsetof(struct set_service, slots), 1, SLOTS_MAX,
	    NULL, 1 },
	{ "connections", FIELD_INT, offsetof(struct set_service, connections),
	    1, CONNECTIONS_MAX, NULL, 1 },
	{ 0 },
};

static const struct field target_fields[] = {
	{ "service", FIELD_NAME, offsetof(struct set_target, service_name), 0,
	    MESH_NAME_MAX, NULL, 1 },
	{ "data_centre", FIELD_NAME, offsetof(struct set_target, dc_name), 0,
	    MESH_NAME_MAX, NULL, 1 },
	{ "vm", FIELD_NAME, offsetof(struct set_target, vm), 0, MESH_NAME_MAX,
	    NULL, 1 },
	{ "state", FIELD_ENUM, offsetof(struct set_target, state), 0, 0,
	    set_state_names, 0 },
	{ 0 },
};

static const struct field route_fields[] = {
	{ "method", FIELD_NAME, offsetof(struct set_route, method), 0,
	    MESH_NAME_MAX, NULL, 1 },
	{ "path", FIELD_NAME, offsetof(struct set_route, path), 0,
	    MESH_PATH_MAX, NULL, 1 },
	{ "service", FIELD_NAME, offsetof(struct set_route, service_name), 0,
	    MESH_NAME_MAX, NULL, 1 },
	{ "repeatable", FIELD_BOOL, offsetof(struct set_route, repeatable), 0,
	    0, NULL, 1 },
	{ "deadline_ms", FIELD_INT, offsetof(struct set_route, deadline_ms), 1,
	    DEADLINE_MS_MAX, NULL, 1 },
	{ "priority", FIELD_ENUM, offsetof(struct set_route, priority), 0, 0,
	    set_priority_names, 0 },
	{ "from", FIELD_ENUM, offsetof(struct set_route, from), 0, 0,
	    set_from_names, 0 },
	{ 0 },
};

#define SECTION(key, kind, fields, member, count)                             \
	{                                                                     \
		key, kind, fields, sizeof(*((struct set *)0)->member),        \
		    offsetof(struct set, member), offsetof(struct set, count) \
	}

static const struct section sections[] = {
	SECTION("data_centres", "data centre", dc_fields, dcs, ndcs),
	SECTION("services", "service", service_fields, services, nservices),
	SECTION("targets", "target", target_fields, targets, ntargets),
	SECTION("routes", "route", route_fields, routes, nroutes),
};

/* Fields of a set beside its sections. */
struct set_header {
	int format, rules;
};

static const struct field header_fields[] = {
	{ "format", FIELD_INT, offsetof(struct set_header, format), SET_FORMAT,
	    SET_FORMAT, NULL, 1 },
	{ "rules", FIELD_INT, offsetof(struct set_header, rules), 1, MESH_RULES,
	    NULL, 0 },
	{ 0 },
};

/* Reads a section into its table; rows begin with the name and the line. */
static void
read_section(struct set *s, const struct section *sec, const struct json *j,
    struct report *rep)
{
	const struct json *obj;
	char *rows, *row;
	int n = 0;

	if (j->type != JSON_OBJECT) {
		report_error(rep, j->line, "section", sec->key,
		    "must be an object, not %s", json_type_name(j->type));
		return;
	}
	for (obj = j->child; obj != NULL; obj = obj->next)
		n++;
	rows = g_malloc0((gsize)MAX(n, 1) * sec->row_size);
	*(char **)((char *)s + sec->table) = rows;
	*(int *)((char *)s + sec->count) = n;
	for (obj = j->child, row = rows; obj != NULL;
	     obj = obj->next, row += sec->row_size) {
		*(char **)row = g_strdup(obj->key);
		*(int *)(row + sizeof(char *)) = obj->line;
		if (!name_valid(obj->key, MESH_NAME_MAX))
			report_error(rep, obj->line, sec->kind, obj->key,
			    "its name must be 1 to %d bytes without control "
			    "characters",
			    MESH_NAME_MAX);
		if (sec->fields == route_fields)
			((struct set_route *)row)->priority = PRIORITY_NORMAL;
		fields_read(obj, sec->fields, row, rep, sec->kind, obj->key);
	}
}

/* Keys that are neither a section nor a header field are errors. */
void
set_read(struct set *s, const struct json *root, struct report *rep)
{
	const char *known[G_N_ELEMENTS(sections) + 2], *near;
	struct json header_obj = { .type = JSON_OBJECT, .line = root->line };
	struct json parts[2];
	struct set_header header = { .rules = 1 };
	const struct json *j;
	size_t i, nparts = 0;

	if (root->type != JSON_OBJECT) {
		report_error(rep, root->line, "file", "",
		    "must hold an object, not %s", json_type_name(root->type));
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(sections); i++) {
		known[i] = sections[i].key;
		if (json_get(root, sections[i].key) == NULL)
			report_error(rep, root->line, "file", "",
			    "needs the section \"%s\"", sections[i].key);
	}
	known[i] = "format";
	known[i + 1] = "rules";
	for (j = root->child; j != NULL; j = j->next) {
		for (i = 0; i < G_N_ELEMENTS(known); i++)
			if (strcmp(known[i], j->key) == 0)
				break;
		if (i < G_N_ELEMENTS(sections)) {
			read_section(s, &sections[i], j, rep);
		} else if (i < G_N_ELEMENTS(known)) {
			parts[nparts] = *j;
			parts[nparts].next = header_obj.child;
			header_obj.child = &parts[nparts++];
		} else {
			near = name_nearest(j->key, known, G_N_ELEMENTS(known));
			report_error(rep, j->line, "section", j->key,
			    near != NULL ? "unknown; did you mean \"%s\"?"
					 : "unknown",
			    near);
		}
	}
	fields_read(&header_obj, header_fields, &header, rep, "file", "");
	s->rules = header.rules;
}
