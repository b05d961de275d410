/* Ring buffer of spans, and the traceparent header. */
#include <inttypes.h>
#include <string.h>

#include "span.h"

static void random_hex(char *, size_t);
static int is_hex(const char *, size_t);

/* Creates an empty ring. */
void
spans_init(struct spans *s)
{
	s->ring = g_new0(struct span, SPANS_MAX);
	s->count = 0;
}

/* Releases a ring. */
void
spans_destroy(struct spans *s)
{
	g_free(s->ring);
}

/* Adds a span that ends now, in place of the oldest one. */
void
spans_add(struct spans *s, const struct trace_context *t, const char *kind,
    const char *name, const char *outcome, int64_t duration_us)
{
	struct span *sp = &s->ring[s->count++ % SPANS_MAX];

	sp->trace = *t;
	sp->kind = kind;
	sp->outcome = outcome;
	sp->duration_us = duration_us;
	sp->start_wall_ms = base_wall_ms() - duration_us / 1000;
	g_strlcpy(sp->name, name, sizeof(sp->name));
}

/* Appends the spans of one trace as JSON, oldest first. */
void
spans_print(const struct spans *s, const char *trace_id, GString *out)
{
	const struct span *sp;
	const char *sep = "";
	uint64_t i, n = MIN(s->count, SPANS_MAX);

	g_string_append_c(out, '[');
	for (i = s->count - n; i < s->count; i++) {
		sp = &s->ring[i % SPANS_MAX];
		if (strcmp(sp->trace.trace_id, trace_id) != 0)
			continue;
		g_string_append_printf(out,
		    "%s{\"span\": \"%s\", \"parent\": \"%s\", "
		    "\"kind\": \"%s\", \"name\": ",
		    sep, sp->trace.span_id, sp->trace.parent_id, sp->kind);
		json_quote(out, sp->name);
		g_string_append_printf(out,
		    ", \"outcome\": \"%s\", \"start_ms\": %" PRId64
		    ", \"duration_us\": %" PRId64 "}",
		    sp->outcome, sp->start_wall_ms, sp->duration_us);
		sep = ", ";
	}
	g_string_append_c(out, ']');
}

/* Fills a buffer with random hexadecimal digits. */
static void
random_hex(char *buf, size_t n)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < n; i++)
		buf[i] = digits[g_random_int() & 0xf];
	buf[n] = '\0';
}

/* Whether n characters are lower-case hexadecimal digits. */
static int
is_hex(const char *s, size_t n)
{
	return strspn(s, "0123456789abcdef") >= n;
}

/* Begins a span, as a child of tp if that is a valid traceparent. */
void
trace_new_span(struct trace_context *t, const char *tp)
{
	memset(t, 0, sizeof(*t));
	random_hex(t->span_id, SPAN_ID_LEN);
	if (tp != NULL && strlen(tp) == TRACEPARENT_LEN - 1 &&
	    strncmp(tp, "00-", 3) == 0 && is_hex(tp + 3, TRACE_ID_LEN) &&
	    tp[35] == '-' && is_hex(tp + 36, SPAN_ID_LEN)) {
		memcpy(t->trace_id, tp + 3, TRACE_ID_LEN);
		memcpy(t->parent_id, tp + 36, SPAN_ID_LEN);
	} else {
		random_hex(t->trace_id, TRACE_ID_LEN);
	}
}

/* Formats the traceparent for the next hop. */
void
trace_format_header(const struct trace_context *t, char *buf)
{
	g_snprintf(
	    buf, TRACEPARENT_LEN, "00-%s-%s-01", t->trace_id, t->span_id);
}
