/* Collects the errors and warnings of a file and prints them by line. */
#include <stdarg.h>

#include "base.h"

static void entry_free(gpointer);
static void add_entry(struct report *, int, int, const char *, const char *,
    const char *, va_list);
static gint compare_entries(gconstpointer, gconstpointer);

/* Called by the array of entries when it is freed. */
static void
entry_free(gpointer p)
{
	struct report_entry *e = p;

	g_free(e->kind);
	g_free(e->name);
	g_free(e->message);
	g_free(e);
}

/* Returns an empty report, which report_free frees. */
struct report *
report_new(void)
{
	struct report *r;

	r = g_new0(struct report, 1);
	r->entries = g_ptr_array_new_with_free_func(entry_free);
	return r;
}

/* NULL is allowed. */
void
report_free(struct report *r)
{
	if (r == NULL)
		return;
	g_ptr_array_free(r->entries, TRUE);
	g_free(r);
}

/*
 * The name is escaped, as it comes from the file and is printed on a terminal.
 */
static void
add_entry(struct report *r, int warning, int line, const char *kind,
    const char *name, const char *fmt, va_list ap)
{
	struct report_entry *e;

	e = g_new0(struct report_entry, 1);
	e->line = line;
	e->warning = warning;
	e->kind = g_strdup(kind);
	e->name = g_strescape(name, NULL);
	e->message = g_strdup_vprintf(fmt, ap);
	g_ptr_array_add(r->entries, e);
}

/* Adds a problem for which the file is rejected. */
void
report_error(struct report *r, int line, const char *kind, const char *name,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add_entry(r, 0, line, kind, name, fmt, ap);
	va_end(ap);
	r->errors++;
}

/* Adds a problem for which the file is not rejected. */
void
report_warn(struct report *r, int line, const char *kind, const char *name,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add_entry(r, 1, line, kind, name, fmt, ap);
	va_end(ap);
	r->warnings++;
}

/* Orders entries by line, then by message, so that the output is stable. */
static gint
compare_entries(gconstpointer a, gconstpointer b)
{
	const struct report_entry *x = *(struct report_entry *const *)a;
	const struct report_entry *y = *(struct report_entry *const *)b;

	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	return g_strcmp0(x->message, y->message);
}

/* Sorts the report's own entries; errors and warnings are mixed by line. */
void
report_print(struct report *r, const char *file, GString *out)
{
	struct report_entry *e;
	guint i;

	g_ptr_array_sort(r->entries, compare_entries);
	for (i = 0; i < r->entries->len; i++) {
		e = g_ptr_array_index(r->entries, i);
		g_string_append_printf(out, "%s:%d: %s \"%s\": %s%s\n", file,
		    e->line, e->kind, e->name, e->warning ? "warning: " : "",
		    e->message);
	}
}
