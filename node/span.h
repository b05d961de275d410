/* Spans: one a hop of a request, kept for a while in each node. */
#ifndef SPAN_H
#define SPAN_H

#include <glib.h>
#include <stdint.h>

#include "../mesh/mesh.h"

#define SPANS_MAX    2048 /* kept in a node */
#define TRACE_ID_LEN 32	  /* digits */
#define SPAN_ID_LEN  16

/* Where a hop stands in a trace (W3C Trace Context). */
struct trace {
	char trace_id[TRACE_ID_LEN + 1];
	char parent_id[SPAN_ID_LEN + 1]; /* empty at the root */
	char span_id[SPAN_ID_LEN + 1];
};

struct span {
	struct trace trace;
	const char *kind;	      /* "entry", "queue", "guard", "target" */
	char name[MESH_NAME_MAX + 1]; /* route or target */
	const char *outcome;
	int64_t start_wall_ms;
	int64_t duration_us;
};

struct spans {
	struct span *ring;
	uint64_t count; /* ever added */
};

void spans_init(struct spans *);
void spans_destroy(struct spans *);
void spans_add(struct spans *, const struct trace *, const char *kind,
    const char *name, const char *outcome, int64_t duration_us);
/* Appends the spans of a trace as a JSON array. */
void spans_print(const struct spans *, const char *trace_id, GString *out);
/* Begins a hop below a traceparent, or a new trace when it is not valid. */
void trace_begin(struct trace *, const char *traceparent);
/* The traceparent for the next hop; buf has TRACEPARENT_LEN. */
#define TRACEPARENT_LEN 56
void trace_header(const struct trace *, char *buf);

#endif
