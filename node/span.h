/* Spans of requests, one for each hop, in a ring buffer of each node. */
#ifndef SPAN_H
#define SPAN_H

#include <glib.h>
#include <stdint.h>

#include "../mesh/mesh.h"

#define SPANS_MAX    2048 /* in a node's ring; older ones are overwritten */
#define TRACE_ID_LEN 32	  /* hexadecimal digits */
#define SPAN_ID_LEN  16

/* Position of a span in a trace (W3C Trace Context). */
struct trace_context {
	char trace_id[TRACE_ID_LEN + 1];
	char parent_id[SPAN_ID_LEN + 1]; /* "" in a root span */
	char span_id[SPAN_ID_LEN + 1];
};

struct span {
	struct trace_context trace;
	const char *kind; /* static: "entry", "queue", "guard", "target" */
	char name[MESH_NAME_MAX + 1]; /* route or target */
	const char *outcome;	      /* static */
	int64_t start_wall_ms;
	int64_t duration_us;
};

struct spans {
	struct span *ring;
	uint64_t count; /* added since the start */
};

void spans_init(struct spans *);
void spans_destroy(struct spans *);
/*
 * Adds a span that ends now.  kind and outcome must be static strings; name is
 * copied.
 */
void spans_add(struct spans *, const struct trace_context *, const char *kind,
    const char *name, const char *outcome, int64_t duration_us);
/* Appends the spans of a trace as a JSON array. */
void spans_print(const struct spans *, const char *trace_id, GString *out);
/*
 * Begins a span: a child of a traceparent, or the root of a new trace if that
 * is NULL or not valid.
 */
void trace_new_span(struct trace_context *, const char *traceparent);
/* Formats the traceparent for the next hop; buf has TRACEPARENT_LEN bytes. */
#define TRACEPARENT_LEN 56
void trace_format_header(const struct trace_context *, char *buf);

#endif
