/* Settings of a node, validated as a whole, and the fleet's keys. */
#include <string.h>

#include <sodium.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "node.h"

#define PATH_LEN_MAX 1024
#define PEERS_MAX    16
#define KEY_FILE_MAX 256 /* bytes */

static void
check_peers(const struct json *, const struct settings *, struct report *);
static int same_value(
    const struct field *, const struct settings *, const struct settings *);
static void
swap_value(const struct field *, struct settings *, struct settings *);

/* Keys that can change while a node runs. */
static const char *const live_keys[] = { "calls_max", "drain_ms",
	"link_idle_ms", "log", "readers", NULL };

#define NAME(key, max, req)                                               \
	{                                                                 \
#key, FIELD_NAME, offsetof(struct settings, key), 0, max, \
		    NULL, req                                             \
	}
#define INT(key, min, max)                                                 \
	{                                                                  \
#key, FIELD_INT, offsetof(struct settings, key), min, max, \
		    NULL, 0                                                \
	}
#define BOOL(key)                                                             \
	{                                                                     \
#key, FIELD_BOOL, offsetof(struct settings, key), 0, 0, NULL, \
		    0                                                         \
	}

static const struct field fields[] = {
	NAME(name, MESH_NAME_MAX, 1),
	NAME(data_centre, MESH_NAME_MAX, 1),
	NAME(listen, ADDRESS_MAX - 1, 1),
	NAME(advertise, ADDRESS_MAX - 1, 0),
	NAME(callers, ADDRESS_MAX - 1, 1),
	NAME(services, ADDRESS_MAX - 1, 1),
	NAME(operators, ADDRESS_MAX - 1, 1),
	NAME(target, ADDRESS_MAX - 1, 1),
	NAME(platform, ADDRESS_MAX - 1, 1),
	NAME(key_file, PATH_LEN_MAX, 1),
	NAME(log, MESH_NAME_MAX, 0),
	NAME(record, PATH_LEN_MAX, 0),
	{ "peers", FIELD_LIST, offsetof(struct settings, peers), 0, PEERS_MAX,
	    NULL, 0 },
	INT(readers, 1, 16),
	INT(source_reads_per_min, 1, 6000),
	INT(start_spread_ms, 0, 60000),
	INT(calls_max, 1, 100000),
	INT(body_max, 0, 16 * 1024 * 1024),
	INT(drain_ms, 0, 600000),
	INT(link_idle_ms, 2000, 600000),
	BOOL(every_node_reads),
	BOOL(full_sets),
	BOOL(no_slow_start),
	BOOL(no_retry_budget),
	{ 0 },
};

/* Validates the addresses of peers. */
static void
check_peers(
    const struct json *root, const struct settings *s, struct report *rep)
{
	int i;

	for (i = 0; s->peers != NULL && s->peers[i] != NULL; i++)
		field_address(root, "peers", s->peers[i], rep);
}

/* Reads a settings file; problems are added to the report. */
int
settings_read(const char *path, struct settings *s, struct report *rep)
{
	struct json *root;
	char *text;
	size_t len;
	int errors_before = rep->errors;

	*s = (struct settings){ .readers = 2,
		.source_reads_per_min = 60,
		.start_spread_ms = 1000,
		.calls_max = 2000,
		.body_max = 1024 * 1024,
		.drain_ms = 35000,
		.link_idle_ms = 30000 };
	if (base_read_file(path, BASE_SET_MAX, &text, &len) != BASE_OK) {
		report_error(rep, 0, "file", "", "cannot be read");
		return NODE_ESETTINGS;
	}
	root = json_parse(text, len, rep);
	g_free(text);
	if (root == NULL)
		return NODE_ESETTINGS;
	fields_read(root, fields, s, rep, "settings", "");
	field_address(root, "listen", s->listen, rep);
	field_address(root, "advertise", s->advertise, rep);
	field_address(root, "callers", s->callers, rep);
	field_address(root, "services", s->services, rep);
	field_address(root, "operators", s->operators, rep);
	field_address(root, "target", s->target, rep);
	field_address(root, "platform", s->platform, rep);
	check_peers(root, s, rep);
	if (s->log != NULL && base_log_level(s->log) != BASE_OK)
		report_error(rep, json_get(root, "log")->line, "settings", "",
		    "\"log\" must be \"error\", \"warning\", \"info\" or "
		    "\"debug\"");
	if (s->advertise == NULL)
		s->advertise = g_strdup(s->listen);
	json_free(root);
	if (rep->errors == errors_before)
		return NODE_OK;
	settings_free(s);
	return NODE_ESETTINGS;
}

/* Whether a key has the same value in both settings. */
static int
same_value(
    const struct field *f, const struct settings *a, const struct settings *b)
{
	const void *x = (const char *)a + f->offset;
	const void *y = (const char *)b + f->offset;
	const char *const *p, *const *q;

	if (f->type == FIELD_INT || f->type == FIELD_BOOL)
		return *(const int *)x == *(const int *)y;
	if (f->type == FIELD_NAME)
		return g_strcmp0(*(char *const *)x, *(char *const *)y) == 0;
	p = *(const char *const *const *)x;
	q = *(const char *const *const *)y;
	if (p == NULL || q == NULL)
		return p == q;
	return g_strv_equal(p, q);
}

/* Swaps a key's values.  Numbers are atomic, as other threads read them. */
static void
swap_value(const struct field *f, struct settings *a, struct settings *b)
{
	char *x = (char *)a + f->offset, *y = (char *)b + f->offset, *name;
	int n;

	if (f->type == FIELD_NAME) {
		name = *(char **)x;
		*(char **)x = *(char **)y;
		*(char **)y = name;
		return;
	}
	n = g_atomic_int_get((int *)x);
	g_atomic_int_set((int *)x, *(int *)y);
	*(int *)y = n;
}

/* Takes over changed live keys, and lists those that need a restart. */
void
settings_apply(struct settings *s, struct settings *fresh, GString *applied,
    GString *restart)
{
	const struct field *f;
	GString *names;

	for (f = fields; f->key != NULL; f++) {
		if (same_value(f, s, fresh))
			continue;
		names = restart;
		if (g_strv_contains(live_keys, f->key)) {
			swap_value(f, s, fresh);
			names = applied;
		}
		g_string_append_printf(
		    names, "%s%s", names->len > 0 ? "," : "", f->key);
	}
}

/* Releases what the settings own, not the structure. */
void
settings_free(struct settings *s)
{
	const struct field *f;

	for (f = fields; f->key != NULL; f++)
		if (f->type == FIELD_NAME)
			g_free(*(char **)((char *)s + f->offset));
	g_strfreev(s->peers);
}

/* Reads the fleet's keys, one in hex a line, and wipes the text. */
int
node_keys_read(const char *path, struct fleet_keys *keys)
{
	char *text, **lines;
	size_t len, got;
	int i, err = NODE_OK;

	memset(keys, 0, sizeof(*keys));
	if (base_read_file(path, KEY_FILE_MAX, &text, &len) != BASE_OK)
		return NODE_EKEY;
	g_strchomp(text);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL && err == NODE_OK; i++) {
		if (i == NODE_KEYS ||
		    sodium_hex2bin(keys->key[i], NODE_KEY_LEN, lines[i],
			strlen(lines[i]), NULL, &got, NULL) != 0 ||
		    got != NODE_KEY_LEN)
			err = NODE_EKEY;
		else
			keys->count++;
	}
	for (i = 0; lines[i] != NULL; i++)
		sodium_memzero(lines[i], strlen(lines[i]));
	g_strfreev(lines);
	sodium_memzero(text, len);
	g_free(text);
	if (keys->count == 0)
		return NODE_EKEY;
	return err;
}
