/* Trace of the guard's decisions, one line of JSON for each. */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "../mesh/names.h"
#include "record.h"

#define DECISION_BYTES_MAX 1024 /* of a line's decision; ids have up to 64 */

static void write_line(struct node *, int64_t, int64_t, const char *,
    const char *, const char *, ...) __attribute__((format(printf, 6, 7)));

/*
 * Writes one line: the event's name, its arguments as JSON members (fmt), and
 * the guard's decision (expect), or NULL for an event without one.
 */
static void
write_line(struct node *n, int64_t now, int64_t wall, const char *what,
    const char *expect, const char *fmt, ...)
{
	GString *out;
	va_list ap;

	if (n->trace == NULL)
		return;
	out = g_string_new(NULL);
	g_string_append_printf(out,
	    "{\"at\": %" PRId64 ", \"wall\": %" PRId64 ", \"do\": \"%s\"", now,
	    wall, what);
	va_start(ap, fmt);
	g_string_append_vprintf(out, fmt, ap);
	va_end(ap);
	if (expect != NULL) {
		g_string_append(out, ", \"expect\": ");
		json_quote(out, expect);
	}
	fprintf(n->trace, "%s}\n", out->str);
	g_string_free(out, TRUE);
}

/* Formats crash ids in hexadecimal; the caller frees the string. */
static char *
format_crash_ids(const struct crashes *c)
{
	GString *s = g_string_new(NULL);
	int i;

	for (i = 0; i < c->n; i++)
		g_string_append_printf(
		    s, "%s%" PRIx64, i > 0 ? " " : "", c->ids[i]);
	return g_string_free(s, FALSE);
}

/* Opens the trace file and writes its header line. */
void
record_open(struct node *n, int slots, int64_t wall, uint64_t origin)
{
	if (n->settings.record == NULL ||
	    (n->trace = fopen(n->settings.record, "w")) == NULL)
		return;
	/* Line buffering leaves a usable trace if the process is killed. */
	setvbuf(n->trace, NULL, _IOLBF, 0);
	fprintf(n->trace,
	    "{\"trace\": 1, \"module\": \"guard\", \"about\": \"recorded by "
	    "%s\", \"slots\": %d, \"limit\": %d, \"wall\": %" PRId64
	    ", \"origin\": \"%" PRIx64 "\"}\n",
	    n->settings.name, slots, guard_limit(n->guard->guard)->current,
	    wall, origin);
}

/* Closes the trace file. */
void
record_close(struct node *n)
{
	if (n->trace != NULL)
		fclose(n->trace);
	n->trace = NULL;
}

/* Has the guard admit or refuse a request, and records its verdict. */
enum guard_verdict
record_admit(struct node *n, const struct guard_request *r)
{
	int64_t now = base_now_ms(), wall = base_wall_ms();
	enum guard_verdict v;
	GString *id;
	char *ids;

	v = guard_admit(n->guard->guard, r, now, wall);
	if (n->trace == NULL)
		return v;
	id = g_string_new(NULL);
	json_quote(id, r->id);
	ids = format_crash_ids(&r->crashes);
	write_line(n, now, wall, "admit", guard_verdict_names[v],
	    ", \"id\": %s, \"once\": %d, \"fresh\": %d, \"born\": %" PRId64
	    ", \"deadline\": %" PRId64 ", \"priority\": %d, "
	    "\"fingerprint\": \"%" PRIx64 "\", \"crash_ids\": \"%s\"",
	    id->str, r->once, r->fresh, r->born_wall_ms, r->deadline,
	    r->priority, r->fingerprint, ids);
	g_free(ids);
	g_string_free(id, TRUE);
	return v;
}

/* Dequeues the next request; that the queue is empty is not recorded. */
int
record_next(
    struct node *n, struct guard_request *r, enum guard_verdict *v, int64_t now)
{
	char expect[DECISION_BYTES_MAX];
	int got = guard_next(n->guard->guard, r, v, now);

	if (got && n->trace != NULL) {
		g_snprintf(expect, sizeof(expect), "%s %s",
		    guard_verdict_names[*v], r->id);
		write_line(n, now, base_wall_ms(), "next", expect, "%s", "");
	}
	return got;
}

/* Reports a completed exchange to the guard. */
void
record_done(struct node *n, const struct guard_request *r, enum exchange e,
    int64_t us, int64_t now)
{
	GString *id;

	guard_done(n->guard->guard, r, e, us, now);
	if (n->trace == NULL)
		return;
	id = g_string_new(NULL);
	json_quote(id, r->id);
	write_line(n, now, base_wall_ms(), "done", NULL,
	    ", \"id\": %s, \"result\": \"%s\", \"us\": %" PRId64, id->str,
	    exchange_names[e], us);
	g_string_free(id, TRUE);
}

/* Fences an id. */
enum guard_verdict
record_fence(struct node *n, const char *id, int fresh, int64_t born)
{
	int64_t now = base_now_ms(), wall = base_wall_ms();
	enum guard_verdict v;
	GString *text;

	v = guard_fence(n->guard->guard, id, fresh, born, now, wall);
	if (n->trace == NULL)
		return v;
	text = g_string_new(NULL);
	json_quote(text, id);
	write_line(n, now, wall, "fence", guard_verdict_names[v],
	    ", \"id\": %s, \"fresh\": %d, \"born\": %" PRId64, text->str, fresh,
	    born);
	g_string_free(text, TRUE);
	return v;
}

/* Removes a request from the queue. */
int
record_cancel(struct node *n, const struct pending_request *s)
{
	int had = guard_cancel(n->guard->guard, s);
	GString *id;

	if (n->trace == NULL)
		return had;
	id = g_string_new(NULL);
	json_quote(id, s->req.id);
	write_line(n, base_now_ms(), base_wall_ms(), "cancel",
	    had ? "yes" : "no", ", \"id\": %s", id->str);
	g_string_free(id, TRUE);
	return had;
}

/* Refuses or admits new requests from now on. */
void
record_out(struct node *n, int out)
{
	guard_set_out(n->guard->guard, out);
	write_line(n, base_now_ms(), base_wall_ms(), "out", NULL,
	    ", \"value\": %d", out);
}

/* Reports that a target has left the service. */
void
record_removed(struct node *n, const char *target)
{
	int64_t wall = base_wall_ms();

	guard_target_removed(n->guard->guard, n->guard->target, target, wall);
	write_line(n, base_now_ms(), wall, "removed", NULL,
	    ", \"self\": \"%s\", \"target\": \"%s\"", n->guard->target, target);
}

/* Discards all ids: the local target is another one now. */
void
record_forget(struct node *n)
{
	int64_t wall = base_wall_ms();

	guard_reset_ids(n->guard->guard, wall);
	write_line(n, base_now_ms(), wall, "forget", NULL, "%s", "");
}

/* Changes the target's number of slots. */
void
record_slots(struct node *n, int slots)
{
	limit_set_slots(guard_limit(n->guard->guard), slots);
	write_line(n, base_now_ms(), base_wall_ms(), "slots", NULL,
	    ", \"value\": %d", slots);
}

/* Adds crashes reported by another guard. */
void
record_suspect(struct node *n, uint64_t fp, const struct crashes *c)
{
	int64_t now = base_now_ms();

	char *ids = format_crash_ids(c);

	guard_add_crashes(n->guard->guard, fp, c, now);
	write_line(n, now, base_wall_ms(), "suspect", NULL,
	    ", \"fingerprint\": \"%" PRIx64 "\", \"crash_ids\": \"%s\"", fp,
	    ids);
	g_free(ids);
}

/* Releases a fingerprint from quarantine. */
int
record_release(struct node *n, uint64_t fp)
{
	int had = guard_release(n->guard->guard, fp);

	write_line(n, base_now_ms(), base_wall_ms(), "release",
	    had ? "yes" : "no", ", \"fingerprint\": \"%" PRIx64 "\"", fp);
	return had;
}
