/* Reads JSON objects into structs by tables that describe the valid fields. */
#include <inttypes.h>
#include <string.h>

#include "base.h"

#define DISTANCE_MAX 2	/* edits up to which a name is suggested */
#define NAME_CMP_MAX 64 /* bytes; longer names are not compared */
#define KEYS_MAX     32 /* rows of a table considered for suggestions */

static int edit_distance(const char *, const char *);
static const struct field *find_field(const struct field *, const char *);
static void unknown_key(const struct json *, const struct field *,
    struct report *, const char *, const char *);
static void read_field(const struct json *, const struct field *, void *,
    struct report *, const char *, const char *);
static void read_list(const struct json *, const struct field *, char ***,
    struct report *, const char *, const char *);
static void read_enum(const struct json *, const struct field *, int *,
    struct report *, const char *, const char *);

/* Returns the Levenshtein distance; above DISTANCE_MAX if a name is long. */
static int
edit_distance(const char *a, const char *b)
{
	int row[NAME_CMP_MAX + 1], diag, up, best;
	size_t i, j, la = strlen(a), lb = strlen(b);

	if (la > NAME_CMP_MAX || lb > NAME_CMP_MAX)
		return DISTANCE_MAX + 1;
	for (j = 0; j <= lb; j++)
		row[j] = (int)j;
	for (i = 1; i <= la; i++) {
		diag = row[0];
		row[0] = (int)i;
		for (j = 1; j <= lb; j++) {
			up = row[j];
			best = diag + (a[i - 1] != b[j - 1]);
			best = MIN(best, up + 1);
			best = MIN(best, row[j - 1] + 1);
			diag = up;
			row[j] = best;
		}
	}
	return row[lb];
}

/* Of several candidates at the same distance, returns the first. */
const char *
name_nearest(const char *s, const char *const *cand, size_t n)
{
	const char *best = NULL;
	int d, least = DISTANCE_MAX + 1;
	size_t i;

	for (i = 0; i < n; i++) {
		d = edit_distance(s, cand[i]);
		if (d < least) {
			least = d;
			best = cand[i];
		}
	}
	return best;
}

/* Bytes above 0x7f are accepted, so that names may be UTF-8. */
int
name_valid(const char *s, size_t max)
{
	size_t n;

	for (n = 0; s[n] != '\0'; n++)
		if ((unsigned char)s[n] < 0x20 || s[n] == 0x7f)
			return 0;
	return n > 0 && n <= max;
}

/* Returns NULL if no row has the key. */
static const struct field *
find_field(const struct field *tab, const char *key)
{
	for (; tab->key != NULL; tab++)
		if (strcmp(tab->key, key) == 0)
			return tab;
	return NULL;
}

/* Reports an unknown key and suggests the most similar key of the table. */
static void
unknown_key(const struct json *j, const struct field *tab, struct report *rep,
    const char *kind, const char *name)
{
	const char *keys[KEYS_MAX], *near;
	size_t n;

	for (n = 0; tab[n].key != NULL && n < KEYS_MAX; n++)
		keys[n] = tab[n].key;
	near = name_nearest(j->key, keys, n);
	if (near != NULL)
		report_error(rep, j->line, kind, name,
		    "unknown key \"%s\"; did you mean \"%s\"?", j->key, near);
	else
		report_error(
		    rep, j->line, kind, name, "unknown key \"%s\"", j->key);
}

/* Sets out to the index of the string among the field's names. */
static void
read_enum(const struct json *j, const struct field *f, int *out,
    struct report *rep, const char *kind, const char *name)
{
	const char *near;
	int i;

	for (i = 0; f->names[i] != NULL; i++) {
		if (strcmp(f->names[i], j->str) == 0) {
			*out = i;
			return;
		}
	}
	near = name_nearest(j->str, f->names, (size_t)i);
	if (near != NULL)
		report_error(rep, j->line, kind, name,
		    "\"%s\" cannot be \"%s\"; did you mean \"%s\"?", f->key,
		    j->str, near);
	else
		report_error(rep, j->line, kind, name,
		    "\"%s\" cannot be \"%s\"", f->key, j->str);
}

/* Replaces the list at out; values that are not strings are left out. */
static void
read_list(const struct json *j, const struct field *f, char ***out,
    struct report *rep, const char *kind, const char *name)
{
	GPtrArray *list = g_ptr_array_new();
	const struct json *e;

	for (e = j->child; e != NULL; e = e->next) {
		if (e->type != JSON_STRING)
			report_error(rep, e->line, kind, name,
			    "\"%s\" must list strings, not %s", f->key,
			    json_type_name(e->type));
		else
			g_ptr_array_add(list, g_strdup(e->str));
	}
	if (list->len > f->max)
		report_error(rep, j->line, kind, name,
		    "\"%s\" lists %u values, not at most %" PRId64, f->key,
		    list->len, f->max);
	g_ptr_array_add(list, NULL);
	g_strfreev(*out);
	*out = (char **)g_ptr_array_free(list, FALSE);
}

/* Validates a value by its row of the table and stores it in the struct. */
static void
read_field(const struct json *j, const struct field *f, void *out,
    struct report *rep, const char *kind, const char *name)
{
	static const enum json_type wanted[] = {
		[FIELD_NAME] = JSON_STRING,
		[FIELD_LIST] = JSON_ARRAY,
		[FIELD_INT] = JSON_INT,
		[FIELD_REAL] = JSON_REAL,
		[FIELD_BOOL] = JSON_BOOL,
		[FIELD_ENUM] = JSON_STRING,
	};
	char *at = (char *)out + f->offset;
	double real = j->type == JSON_INT ? (double)j->num : j->real;

	if (j->type != wanted[f->type] &&
	    !(f->type == FIELD_REAL && j->type == JSON_INT)) {
		report_error(rep, j->line, kind, name,
		    "\"%s\" must be %s, not %s", f->key,
		    json_type_name(wanted[f->type]), json_type_name(j->type));
		return;
	}
	switch (f->type) {
	case FIELD_NAME:
		if (!name_valid(j->str, (size_t)f->max))
			report_error(rep, j->line, kind, name,
			    "\"%s\" must be 1 to %" PRId64
			    " bytes without control characters",
			    f->key, f->max);
		g_free(*(char **)at);
		*(char **)at = g_strdup(j->str);
		break;
	case FIELD_LIST:
		read_list(j, f, (char ***)at, rep, kind, name);
		break;
	case FIELD_INT:
		if (j->num < f->min || j->num > f->max)
			report_error(rep, j->line, kind, name,
			    "\"%s\" is %" PRId64 ", not %" PRId64
			    " to %" PRId64,
			    f->key, j->num, f->min, f->max);
		else
			*(int *)at = (int)j->num;
		break;
	case FIELD_REAL:
		if (real < (double)f->min || real > (double)f->max)
			report_error(rep, j->line, kind, name,
			    "\"%s\" is %g, not %" PRId64 " to %" PRId64, f->key,
			    real, f->min, f->max);
		else
			*(double *)(void *)at = real;
		break;
	case FIELD_BOOL:
		*(int *)at = (int)j->num;
		break;
	case FIELD_ENUM:
		read_enum(j, f, (int *)at, rep, kind, name);
		break;
	}
}

/* Goes on after an error, so that one run reports all errors of the object. */
int
fields_read(const struct json *obj, const struct field *tab, void *out,
    struct report *rep, const char *kind, const char *name)
{
	const struct field *f;
	const struct json *j;
	int before = rep->errors;

	if (obj->type != JSON_OBJECT) {
		report_error(rep, obj->line, kind, name,
		    "must be an object, not %s", json_type_name(obj->type));
		return BASE_EINVAL;
	}
	for (j = obj->child; j != NULL; j = j->next) {
		if ((f = find_field(tab, j->key)) == NULL)
			unknown_key(j, tab, rep, kind, name);
		else
			read_field(j, f, out, rep, kind, name);
	}
	for (f = tab; f->key != NULL; f++)
		if (f->required && json_get(obj, f->key) == NULL)
			report_error(rep, obj->line, kind, name,
			    "needs the key \"%s\"", f->key);
	return rep->errors == before ? BASE_OK : BASE_EINVAL;
}

/*
 * Called after fields_read; reports under the kind "settings" at the key's
 * line.
 */
void
field_address(const struct json *root, const char *key, const char *value,
    struct report *rep)
{
	const struct json *j = json_get(root, key);
	char host[ADDRESS_MAX];
	int port;

	if (j != NULL && value != NULL &&
	    address_split(value, host, &port) != BASE_OK)
		report_error(rep, j->line, "settings", "",
		    "\"%s\" must be an IPv4 address and a port, as "
		    "\"127.0.0.1:7400\"",
		    key);
}
