/* Parses JSON with comments into a tree of values with line numbers. */
#include <string.h>

#include <yajl/yajl_parse.h>

#include "base.h"

#define DEPTH_MAX  16	  /* levels of nesting; bounds json_free's recursion */
#define VALUES_MAX 200000 /* values in one text */
/* Keys of an object up to which comparing all is faster than hashing them. */
#define MEMBERS_COMPARED 16

/* State of one parse. */
struct parser {
	yajl_handle yajl;
	const char *text;
	size_t counted; /* offset up to which newlines are counted */
	int line;	/* at that offset */
	int depth;	/* open containers */
	int values;
	struct json *root, *cur; /* cur: the innermost open container */
	char *key;		 /* of the value that follows */
	struct report *rep;
	int failed; /* fail_parse reported the error, not yajl */
};

static int current_line(struct parser *);
static int fail_parse(struct parser *, const char *);
static struct json *add_value(struct parser *, enum json_type);
static int on_null(void *);
static int on_bool(void *, int);
static int on_number(void *, const char *, size_t);
static int on_string(void *, const unsigned char *, size_t);
static int on_start_map(void *);
static int on_key(void *, const unsigned char *, size_t);
static int on_start_array(void *);
static int on_end(void *);
static int open_container(struct parser *, enum json_type);
static void
report_duplicate(struct parser *, const struct json *, const struct json *);
static const struct json *find_before(const struct json *, const struct json *);
static void check_duplicates(struct parser *, const struct json *);
static void report_syntax(struct parser *);

static const yajl_callbacks callbacks = {
	.yajl_null = on_null,
	.yajl_boolean = on_bool,
	.yajl_number = on_number,
	.yajl_string = on_string,
	.yajl_start_map = on_start_map,
	.yajl_map_key = on_key,
	.yajl_end_map = on_end,
	.yajl_start_array = on_start_array,
	.yajl_end_array = on_end,
};

static const char *const type_names[] = {
	[JSON_NULL] = "null",
	[JSON_BOOL] = "true or false",
	[JSON_INT] = "an integer",
	[JSON_REAL] = "a number with a fraction",
	[JSON_STRING] = "a string",
	[JSON_ARRAY] = "an array",
	[JSON_OBJECT] = "an object",
};

/* The name follows "must be" or "not" in a message. */
const char *
json_type_name(enum json_type t)
{
	return type_names[t];
}

/* Returns the line of the token just read. */
static int
current_line(struct parser *p)
{
	size_t end = yajl_get_bytes_consumed(p->yajl);
	const char *newline;

	while (p->counted < end && (newline = memchr(p->text + p->counted, '\n',
					end - p->counted)) != NULL) {
		p->line++;
		p->counted = (size_t)(newline + 1 - p->text);
	}
	p->counted = end;
	return p->line;
}

/* Reports an error; the callback's result of 0 makes yajl stop. */
static int
fail_parse(struct parser *p, const char *message)
{
	report_error(p->rep, current_line(p), "file", "", "%s", message);
	p->failed = 1;
	return 0;
}

/* Appends a value to the open container, or makes it the root. */
static struct json *
add_value(struct parser *p, enum json_type type)
{
	struct json *j;

	if (++p->values > VALUES_MAX) {
		fail_parse(p, "too many values");
		return NULL;
	}
	j = g_new0(struct json, 1);
	j->type = type;
	j->line = current_line(p);
	j->end = yajl_get_bytes_consumed(p->yajl);
	j->key = p->key;
	p->key = NULL;
	j->parent = p->cur;
	if (p->cur == NULL)
		p->root = j;
	else if (p->cur->last == NULL)
		p->cur->child = p->cur->last = j;
	else
		p->cur->last = p->cur->last->next = j;
	return j;
}

/*
 * yajl's callback for null; returns 0 to stop the parse, as all callbacks do.
 */
static int
on_null(void *arg)
{
	return add_value(arg, JSON_NULL) != NULL;
}

/* Stores true as 1 and false as 0. */
static int
on_bool(void *arg, int v)
{
	struct json *j;

	if ((j = add_value(arg, JSON_BOOL)) != NULL)
		j->num = v;
	return j != NULL;
}

/* An integer that does not fit into 64 bits is stored as JSON_REAL. */
static int
on_number(void *arg, const char *text, size_t len)
{
	char *copy = g_strndup(text, len);
	struct json *j;
	gint64 n;

	if (g_ascii_string_to_signed(
		copy, 10, G_MININT64, G_MAXINT64, &n, NULL)) {
		if ((j = add_value(arg, JSON_INT)) != NULL)
			j->num = n;
	} else if ((j = add_value(arg, JSON_REAL)) != NULL) {
		j->real = g_ascii_strtod(copy, NULL);
	}
	g_free(copy);
	return j != NULL;
}

/* A NUL is rejected: it would truncate the C string. */
static int
on_string(void *arg, const unsigned char *s, size_t len)
{
	struct json *j;

	if (memchr(s, '\0', len) != NULL)
		return fail_parse(arg, "string contains a NUL character");
	if ((j = add_value(arg, JSON_STRING)) != NULL)
		j->str = g_strndup((const char *)s, len);
	return j != NULL;
}

/* Keeps the key for the value that follows. */
static int
on_key(void *arg, const unsigned char *s, size_t len)
{
	struct parser *p = arg;

	if (memchr(s, '\0', len) != NULL)
		return fail_parse(p, "key contains a NUL character");
	g_free(p->key);
	p->key = g_strndup((const char *)s, len);
	return 1;
}

/*
 * Opens an object or array.  The depth is limited because json_free recurses.
 */
static int
open_container(struct parser *p, enum json_type type)
{
	struct json *j;

	if (++p->depth > DEPTH_MAX)
		return fail_parse(p, "nested too deeply");
	if ((j = add_value(p, type)) == NULL)
		return 0;
	p->cur = j;
	return 1;
}

/* yajl's callback for the start of an object. */
static int
on_start_map(void *arg)
{
	return open_container(arg, JSON_OBJECT);
}

/* yajl's callback for the start of an array. */
static int
on_start_array(void *arg)
{
	return open_container(arg, JSON_ARRAY);
}

/* Closes a container. */
static int
on_end(void *arg)
{
	struct parser *p = arg;

	p->depth--;
	if (p->cur->type == JSON_OBJECT)
		check_duplicates(p, p->cur);
	p->cur = p->cur->parent;
	return 1;
}

/* Reports a key that stands in an object again. */
static void
report_duplicate(
    struct parser *p, const struct json *j, const struct json *first)
{
	report_error(p->rep, j->line, "name", j->key,
	    "stands twice in one object, first on line %d", first->line);
}

/* The member of an object, before another one, that has its key; or NULL. */
static const struct json *
find_before(const struct json *obj, const struct json *member)
{
	const struct json *j;

	for (j = obj->child; j != member; j = j->next)
		if (strcmp(j->key, member->key) == 0)
			return j;
	return NULL;
}

/* Reports each repeated key of an object. */
static void
check_duplicates(struct parser *p, const struct json *obj)
{
	const struct json *j, *first;
	GHashTable *seen = NULL;
	int n = 0;

	for (j = obj->child; j != NULL; j = j->next)
		n++;
	if (n > MEMBERS_COMPARED)
		seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (j = obj->child; j != NULL; j = j->next) {
		first = seen != NULL ? g_hash_table_lookup(seen, j->key)
				     : find_before(obj, j);
		if (first != NULL)
			report_duplicate(p, j, first);
		else if (seen != NULL)
			g_hash_table_insert(seen, j->key, (gpointer)j);
	}
	if (seen != NULL)
		g_hash_table_destroy(seen);
}

/* Adds yajl's error message to the report. */
static void
report_syntax(struct parser *p)
{
	unsigned char *msg;

	msg = yajl_get_error(p->yajl, 0, NULL, 0);
	report_error(
	    p->rep, current_line(p), "file", "", "%s", g_strchomp((char *)msg));
	yajl_free_error(p->yajl, msg);
}

/*
 * Errors that rep had before do not count; the tree has no pointers into text.
 */
struct json *
json_parse(const char *text, size_t len, struct report *rep)
{
	struct parser p = { .text = text, .line = 1, .rep = rep };
	int before = rep->errors;
	yajl_status st;

	/* The text of an empty file may be NULL. */
	if (len == 0)
		text = p.text = "";
	if (memchr(text, '\0', len) != NULL) {
		report_error(rep, 1, "file", "", "contains a NUL byte");
		return NULL;
	}
	p.yajl = yajl_alloc(&callbacks, NULL, &p);
	yajl_config(p.yajl, yajl_allow_comments, 1);
	st = yajl_parse(p.yajl, (const unsigned char *)text, len);
	if (st == yajl_status_ok)
		st = yajl_complete_parse(p.yajl);
	if (st != yajl_status_ok && !p.failed)
		report_syntax(&p);
	else if (p.root == NULL && !p.failed)
		report_error(rep, p.line, "file", "", "is empty");
	yajl_free(p.yajl);
	g_free(p.key);
	if (rep->errors == before)
		return p.root;
	json_free(p.root);
	return NULL;
}

/* NULL is allowed. */
void
json_free(struct json *j)
{
	struct json *c, *next;

	if (j == NULL)
		return;
	for (c = j->child; c != NULL; c = next) {
		next = c->next;
		json_free(c);
	}
	g_free(j->key);
	g_free(j->str);
	g_free(j);
}

/* Keys are unique within an object, as json_parse rejects duplicates. */
const struct json *
json_get(const struct json *j, const char *key)
{
	if (j == NULL || j->type != JSON_OBJECT)
		return NULL;
	for (j = j->child; j != NULL; j = j->next)
		if (strcmp(j->key, key) == 0)
			return j;
	return NULL;
}

/* The string is owned by the tree. */
const char *
json_str(const struct json *j, const char *key, const char *dflt)
{
	j = json_get(j, key);
	return j != NULL && j->type == JSON_STRING ? j->str : dflt;
}

/* A number with a fraction or beyond 64 bits is of another type. */
int64_t
json_int(const struct json *j, const char *key, int64_t dflt)
{
	j = json_get(j, key);
	return j != NULL && j->type == JSON_INT ? j->num : dflt;
}

/* The surrounding quotation marks are included. */
void
json_quote(GString *out, const char *s)
{
	g_string_append_c(out, '"');
	for (; *s != '\0'; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_printf(out, "\\%c", *s);
		else if ((unsigned char)*s < 0x20)
			g_string_append_printf(out, "\\u%04x", *s);
		else
			g_string_append_c(out, *s);
	}
	g_string_append_c(out, '"');
}
