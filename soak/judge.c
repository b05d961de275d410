/* What callers and targets saw, judged against what is promised. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

const char *const soak_services[] = { "alpha", "beta", NULL };

/* Services that any configuration lets a route lead to. */
static const int allowed[ROUTES] = {
	[ROUTE_READ] = 1 << ALPHA | 1 << BETA,
	[ROUTE_WRITE] = 1 << BETA,
	[ROUTE_SPLIT] = 1 << ALPHA | 1 << BETA,
};

static const char *const prefixes[ROUTES] = { "/read/", "/write/", "/split/" };

#define CRASHER_MS 20000 /* one such request is sent for so long */
/* The users' rule: no more than so many, so long after the third. */
#define LATER_MAX 3
#define LATER_MS  3000

static void check_end(struct soak *, struct attempt *);
static int is_once(const struct attempt *);

void
judge_init(struct judge *j)
{
	memset(j, 0, sizeof(*j));
	j->attempts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void
judge_destroy(struct judge *j)
{
	g_hash_table_destroy(j->attempts);
}

/* A promise was broken: said at once, with the time of the logs. */
void
judge_broken(struct soak *s, const char *rule, const char *fmt, ...)
{
	va_list ap;

	s->judge.broken++;
	printf("broken %s at %" G_GINT64_FORMAT ": ", rule, base_wall_ms());
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

static int
is_once(const struct attempt *a)
{
	return a->route == ROUTE_WRITE;
}

/* Makes an attempt. */
struct attempt *
judge_sent(struct soak *s, int node, int route)
{
	struct attempt *a = g_new0(struct attempt, 1);

	g_snprintf(a->id, sizeof(a->id), "%08x%08x", g_rand_int(s->rand),
	    (unsigned int)g_hash_table_size(s->judge.attempts));
	g_strlcpy(a->name, a->id, sizeof(a->name));
	a->node = node;
	a->route = route;
	a->sent_at = base_now_ms();
	g_hash_table_replace(s->judge.attempts, a->id, a);
	s->judge.counts[SEEN_SENT]++;
	return a;
}

/* Makes an attempt at a request that ends targets. */
struct attempt *
judge_sent_crasher(struct soak *s, int node)
{
	struct crasher *c = &s->judge.crasher;
	int number = 1 + (int)(base_now_ms() / CRASHER_MS);
	struct attempt *a;

	if (c->number != number)
		*c = (struct crasher){ .number = number };
	a = judge_sent(s, node, number % 2 != 0 ? ROUTE_READ : ROUTE_WRITE);
	a->crasher = number;
	g_snprintf(a->name, sizeof(a->name), "crasher-%d", number);
	return a;
}

/* It ended a target. */
void
judge_crashed(struct soak *s, const struct attempt *a, int node)
{
	struct crasher *c = &s->judge.crasher;
	int64_t now = base_now_ms(), since = now - LATER_MS;

	s->judge.crashers_ended++;
	if (a->crasher != c->number)
		return;
	if (c->third_at != 0 && c->third_at < since &&
	    !node_disturbed(&s->nodes[a->node], since) &&
	    !node_disturbed(&s->nodes[node], since) && ++c->later > LATER_MAX)
		judge_broken(s, "BUDGET",
		    "crasher-%d was sent on %d times later, %d ended",
		    c->number, c->later, c->ended + 1);
	if (++c->ended == 3)
		c->third_at = now;
}

/* The bytes that answer a request. */
void
judge_body(GString *out, const char *id, const char *path)
{
	g_string_printf(out, "%s of %s", id, path);
}

/* A target begins to run a request. */
struct attempt *
judge_run(struct soak *s, const struct http_message *m, int service)
{
	const char *id = http_find(m, platform_headers.id);
	const char *caller = http_find(m, platform_headers.caller);
	struct attempt *a;
	char path[SOAK_PATH_MAX];
	int k, known = 0;

	a = id != NULL ? g_hash_table_lookup(s->judge.attempts, id) : NULL;
	if (a == NULL) {
		judge_broken(s, "UNASKED", "no caller sent %s",
		    id != NULL ? id : "a request without an id");
		return NULL;
	}
	g_snprintf(path, sizeof(path), "%s%s?n=1", prefixes[a->route], a->name);
	if (strcmp(path, m->path) != 0 || strcmp(m->method, "POST") != 0 ||
	    m->body->len != strlen(a->name) ||
	    memcmp(m->body->data, a->name, m->body->len) != 0)
		judge_broken(s, "UNASKED", "%s came as %s %s", a->id, m->method,
		    m->path);
	for (k = 0; k < SERVICES; k++)
		known |= caller != NULL &&
			 strcmp(caller, soak_services[k]) == 0 &&
			 (s->nodes[a->node].services & 1 << k) != 0;
	if (!known)
		judge_broken(s, "UNASKED", "%s came from service %s", a->id,
		    caller != NULL ? caller : "-");
	if ((allowed[a->route] & 1 << service) == 0)
		judge_broken(s, "ROUTE", "%s for %s ran at %s", a->id,
		    prefixes[a->route], soak_services[service]);
	a->runs++;
	if (a->route == ROUTE_READ)
		s->read_runs[service]++;
	if (is_once(a) && a->runs > 1)
		judge_broken(s, "TWICE", "%s ran %d times", a->id, a->runs);
	if (is_once(a) && a->refused)
		judge_broken(
		    s, "REFUSED", "%s ran after a %d", a->id, a->refused);
	return a;
}

/* Whether an attempt has ended, which it may once only. */
static void
check_end(struct soak *s, struct attempt *a)
{
	if (a->ended)
		judge_broken(s, "MIXED", "%s was answered twice", a->id);
	a->ended = 1;
}

/* A caller's answer came. */
void
judge_answer(struct soak *s, struct attempt *a, const struct http_message *m)
{
	const char *id = http_find(m, platform_headers.id);
	const char *seal = http_find(m, platform_headers.seal);
	char path[SOAK_PATH_MAX];
	GString *body = g_string_new(NULL);

	check_end(s, a);
	if (id == NULL ? seal != NULL : strcmp(id, a->id) != 0)
		judge_broken(s, "MIXED", "%s got the answer to %s", a->id,
		    id != NULL ? id : "-");
	if (seal != NULL && (a->said & 1 << m->status / 100) == 0)
		judge_broken(s, "MIXED", "%s got %d, which no target said",
		    a->id, m->status);
	if (m->status >= 200 && m->status < 300) {
		s->judge.counts[SEEN_SERVED]++;
		g_snprintf(path, sizeof(path), "%s%s?n=1", prefixes[a->route],
		    a->name);
		judge_body(body, a->id, path);
		if (seal == NULL)
			judge_broken(s, "MIXED", "%s got %d without a seal",
			    a->id, m->status);
		if (m->body->len != body->len ||
		    memcmp(m->body->data, body->str, body->len) != 0)
			judge_broken(s, "MIXED", "%s got other bytes: %.*s",
			    a->id, (int)m->body->len, (char *)m->body->data);
	} else if (m->status == 503 || m->status == 429 || m->status == 408 ||
		   m->status == 421) {
		s->judge.counts[SEEN_REFUSED]++;
		a->refused = m->status;
		if (is_once(a) && a->runs > 0)
			judge_broken(s, "REFUSED", "%s ran and got %d", a->id,
			    m->status);
	} else {
		s->judge.counts[SEEN_FAILED]++;
		if (m->status < 500)
			judge_broken(
			    s, "DENIED", "%s got %d", a->id, m->status);
	}
	g_string_free(body, TRUE);
}

/* The connection ended without an answer, which a living process never does. */
void
judge_cut(struct soak *s, struct attempt *a, int killed)
{
	check_end(s, a);
	s->judge.counts[SEEN_CUT]++;
	if (!killed && a->runs > 0)
		judge_broken(s, "LOST",
		    "%s ran %d times, node %d ended its connection", a->id,
		    a->runs, a->node);
}

/* Everything has an end. */
void
judge_all(struct soak *s)
{
	GHashTableIter it;
	gpointer value;
	const struct attempt *a;

	g_hash_table_iter_init(&it, s->judge.attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (!a->ended)
			judge_broken(s, "LOST",
			    "%s to node %d has no end after %d ms", a->id,
			    a->node, (int)(base_now_ms() - a->sent_at));
	}
}
