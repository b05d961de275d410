/*
 * Checks what callers and targets observed against the guarantees of the
 * system.  Rules are named in upper case in the output: UNASKED, ROUTE, TWICE,
 * REFUSED, MIXED, DENIED, LOST and BUDGET here; others by their callers.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

const char *const soak_services[] = { "alpha", "beta", NULL };

/* Services that a route leads to in some configuration of the run. */
static const int allowed_services[ROUTES] = {
	[ROUTE_READ] = 1 << ALPHA | 1 << BETA,
	[ROUTE_WRITE] = 1 << BETA,
	[ROUTE_SPLIT] = 1 << ALPHA | 1 << BETA,
};

static const char *const prefixes[ROUTES] = { "/read/", "/write/", "/split/" };

#define CRASHER_PERIOD_MS 20000 /* a new crasher request after so long */
/*
 * Requirement of the users: a request that has crashed three targets is no
 * longer sent on.  At most LATE_CRASHES_MAX of its runs may come more than
 * LATE_CRASH_MS after the third crash.
 */
#define LATE_CRASHES_MAX 3
#define LATE_CRASH_MS	 3000

static void mark_ended(struct soak *, struct attempt *);
static int is_at_most_once(const struct attempt *);

/* The attempts are freed with the table; their ids are its keys. */
void
checker_init(struct checker *c)
{
	memset(c, 0, sizeof(*c));
	c->attempts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/*
 * Called after the callers and targets are freed, as these point to attempts.
 */
void
checker_destroy(struct checker *c)
{
	g_hash_table_destroy(c->attempts);
}

/* Prints at once, with the wall clock time, which the logs have as well. */
void
checker_violation(struct soak *s, const char *rule, const char *fmt, ...)
{
	va_list ap;

	s->checker.violations++;
	printf("broken %s at %" G_GINT64_FORMAT ": ", rule, base_wall_ms());
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

/* Whether operator_put_config defines its route without retries. */
static int
is_at_most_once(const struct attempt *a)
{
	return a->route == ROUTE_WRITE;
}

/* The id must come from the seeded generator, or a seed does not reproduce. */
struct attempt *
checker_new_attempt(struct soak *s, int node, int route)
{
	struct attempt *a = g_new0(struct attempt, 1);

	g_snprintf(a->id, sizeof(a->id), "%08x%08x", g_rand_int(s->rand),
	    (unsigned int)g_hash_table_size(s->checker.attempts));
	g_strlcpy(a->token, a->id, sizeof(a->token));
	a->node = node;
	a->route = route;
	a->sent_at = base_now_ms();
	g_hash_table_replace(s->checker.attempts, a->id, a);
	s->checker.counts[COUNT_SENT]++;
	return a;
}

/*
 * The number of the crasher request follows the clock, so that all callers send
 * the same one at a time.  Odd ones may be retried, even ones may not.
 */
struct attempt *
checker_new_crasher(struct soak *s, int node)
{
	struct crasher *c = &s->checker.crasher;
	int number = 1 + (int)(base_now_ms() / CRASHER_PERIOD_MS);
	struct attempt *a;

	if (c->number != number)
		*c = (struct crasher){ .number = number };
	a = checker_new_attempt(
	    s, node, number % 2 != 0 ? ROUTE_READ : ROUTE_WRITE);
	a->crasher = number;
	g_snprintf(a->token, sizeof(a->token), "crasher-%d", number);
	return a;
}

/*
 * A late crash does not count when the entry or the target's node was disturbed
 * meanwhile, as a restarted process may not have received the crash counts yet.
 */
void
checker_target_crashed(struct soak *s, const struct attempt *a, int node)
{
	struct crasher *c = &s->checker.crasher;
	int64_t now = base_now_ms(), since = now - LATE_CRASH_MS;

	s->checker.crash_count++;
	if (a->crasher != c->number)
		return;
	if (c->third_crash_at != 0 && c->third_crash_at < since &&
	    !node_disturbed_since(&s->nodes[a->node], since) &&
	    !node_disturbed_since(&s->nodes[node], since) &&
	    ++c->late_crashes > LATE_CRASHES_MAX)
		checker_violation(s, "BUDGET",
		    "crasher-%d was sent on %d times after its third crash, "
		    "%d targets crashed",
		    c->number, c->late_crashes, c->crashes + 1);
	if (++c->crashes == 3)
		c->third_crash_at = now;
}

/* A body depends on the request's id, so that mixed up answers are noticed. */
void
checker_answer_body(GString *out, const char *id, const char *path)
{
	g_string_printf(out, "%s of %s", id, path);
}

/*
 * Checks that a caller sent this request, unchanged, to a route that leads to
 * the service, and that a request that runs at most once has not run before or
 * been answered with "not run".
 */
struct attempt *
checker_run_started(struct soak *s, const struct http_message *m, int service)
{
	const char *id = http_find(m, platform_headers.id);
	const char *caller = http_find(m, platform_headers.caller);
	struct attempt *a;
	char path[SOAK_PATH_MAX];
	int k, known_service = 0;

	a = id != NULL ? g_hash_table_lookup(s->checker.attempts, id) : NULL;
	if (a == NULL) {
		checker_violation(s, "UNASKED", "no caller sent %s",
		    id != NULL ? id : "a request without an id");
		return NULL;
	}
	g_snprintf(
	    path, sizeof(path), "%s%s?n=1", prefixes[a->route], a->token);
	if (strcmp(path, m->path) != 0 || strcmp(m->method, "POST") != 0 ||
	    m->body->len != strlen(a->token) ||
	    memcmp(m->body->data, a->token, m->body->len) != 0)
		checker_violation(s, "UNASKED", "%s arrived as %s %s", a->id,
		    m->method, m->path);
	for (k = 0; k < SERVICES; k++)
		known_service |= caller != NULL &&
				 strcmp(caller, soak_services[k]) == 0 &&
				 (s->nodes[a->node].services & 1 << k) != 0;
	if (!known_service)
		checker_violation(s, "UNASKED", "%s arrived from service %s",
		    a->id, caller != NULL ? caller : "-");
	if ((allowed_services[a->route] & 1 << service) == 0)
		checker_violation(s, "ROUTE",
		    "%s on route %s ran at service %s", a->id,
		    prefixes[a->route], soak_services[service]);
	a->runs++;
	if (a->route == ROUTE_READ)
		s->read_runs[service]++;
	if (is_at_most_once(a) && a->runs > 1)
		checker_violation(
		    s, "TWICE", "%s ran %d times", a->id, a->runs);
	if (is_at_most_once(a) && a->refused)
		checker_violation(s, "REFUSED",
		    "%s ran after its caller received %d", a->id, a->refused);
	return a;
}

/* Marks a request as ended, which must happen once only. */
static void
mark_ended(struct soak *s, struct attempt *a)
{
	if (a->ended)
		checker_violation(s, "MIXED", "%s was answered twice", a->id);
	a->ended = 1;
}

/*
 * Checks that an answer belongs to its request.  A seal is the header with the
 * id of the target that ran the request, so a target must have written a sealed
 * answer, and 2xx must be sealed.  408, 421, 429 and 503 state that the request
 * did not run; other statuses below 500 must not occur.
 */
void
checker_answered(
    struct soak *s, struct attempt *a, const struct http_message *m)
{
	const char *id = http_find(m, platform_headers.id);
	const char *seal = http_find(m, platform_headers.seal);
	char path[SOAK_PATH_MAX];
	GString *body = g_string_new(NULL);

	mark_ended(s, a);
	if (id == NULL ? seal != NULL : strcmp(id, a->id) != 0)
		checker_violation(s, "MIXED", "%s received the answer to %s",
		    a->id, id != NULL ? id : "-");
	if (seal != NULL && (a->status_classes & 1 << m->status / 100) == 0)
		checker_violation(s, "MIXED",
		    "%s received a sealed %d that no target sent", a->id,
		    m->status);
	if (m->status >= 200 && m->status < 300) {
		s->checker.counts[COUNT_SERVED]++;
		g_snprintf(path, sizeof(path), "%s%s?n=1", prefixes[a->route],
		    a->token);
		checker_answer_body(body, a->id, path);
		if (seal == NULL)
			checker_violation(s, "MIXED",
			    "%s received %d without a seal", a->id, m->status);
		if (m->body->len != body->len ||
		    memcmp(m->body->data, body->str, body->len) != 0)
			checker_violation(s, "MIXED",
			    "%s received another body: %.*s", a->id,
			    (int)m->body->len, (char *)m->body->data);
	} else if (m->status == 503 || m->status == 429 || m->status == 408 ||
		   m->status == 421) {
		s->checker.counts[COUNT_REFUSED]++;
		a->refused = m->status;
		if (is_at_most_once(a) && a->runs > 0)
			checker_violation(s, "REFUSED",
			    "%s ran and received %d", a->id, m->status);
	} else {
		s->checker.counts[COUNT_FAILED]++;
		if (m->status < 500)
			checker_violation(
			    s, "DENIED", "%s received %d", a->id, m->status);
	}
	g_string_free(body, TRUE);
}

/*
 * A process that was not disturbed always answers a request that has run, so a
 * connection that closes instead lost the outcome.
 */
void
checker_disconnected(struct soak *s, struct attempt *a, int killed)
{
	mark_ended(s, a);
	s->checker.counts[COUNT_DISCONNECTED]++;
	if (!killed && a->runs > 0)
		checker_violation(s, "LOST",
		    "%s ran %d times, node %d closed its connection", a->id,
		    a->runs, a->node);
}

/* A request without an answer or a closed connection by now is lost. */
void
checker_all_ended(struct soak *s)
{
	GHashTableIter it;
	gpointer value;
	const struct attempt *a;

	g_hash_table_iter_init(&it, s->checker.attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (!a->ended)
			checker_violation(s, "LOST",
			    "%s to node %d has not ended after %d ms", a->id,
			    a->node, (int)(base_now_ms() - a->sent_at));
	}
}
