/*
 * teaselcalls: stand-in for callers.  Sends calls at a constant rate to random
 * entries, over the routes of a configuration set, checks each body byte by
 * byte, and compares the results with the ledgers of the targets.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <sodium.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "ledger.h"

#define THREADS_DEFAULT	  32
#define BODY_MAX_B	  (5 * 1024 * 1024)
#define READ_TIMEOUT_S	  40 /* longer than the deadline of any route */
#define CONNECT_TIMEOUT_S 2
#define HTTP_OK_FIRST	  200
#define HTTP_OK_LAST	  299
#define US_PER_MS	  1000
#define RESENDS_MAX	  3

/* A request to send. */
struct call_request {
	char method[MESH_NAME_MAX + 1];
	char path[MESH_PATH_MAX + 64];
	char body[64];
	int at_most_once;
};

/* One answer. */
struct answer {
	int status;
	GString *body;
	char request_id[64];
	int retry_after_ms;
};

static char *entries_arg, *ledgers_arg, *set_path, *timeline_path, *only_route;
static int rate = 100, seconds = 5, threads = THREADS_DEFAULT, resend;
static int own_ids, size, work;

static char **entries;
static int nentries;
static struct set *set;
static GArray *results; /* of struct call_record */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t next_call, started_us;

static int64_t next_call_number(void);
static int pick_route(int64_t);
static void make_request(int64_t, struct call_request *);
static int body_matches(const struct call_request *, const struct answer *);
static enum reply
classify_answer(const struct call_request *, const struct answer *, int);
static int send_one(
    ne_session *, const struct call_request *, const char *, struct answer *);
static int append_body(void *, const char *, size_t);
static void *send_calls(void *);
static void make_call(ne_session **, int64_t, GRand *);
static int print_summary(void);
static int compare_latency(const void *, const void *);
static void write_timeline(void);
static int read_set(void);

/*
 * Sleeps until the next call is due.  Returns the number of the call, or -1
 * when all have been sent.
 */
static int64_t
next_call_number(void)
{
	int64_t n, due, now;

	pthread_mutex_lock(&lock);
	n = next_call++;
	pthread_mutex_unlock(&lock);
	if (n >= (int64_t)rate * seconds)
		return -1;
	due = started_us + n * 1000000 / rate;
	now = base_now_us();
	if (due > now)
		usleep((useconds_t)(due - now));
	return n;
}

/* Route of a call: in turn among those that outside callers may use. */
static int
pick_route(int64_t n)
{
	int i, k;

	for (i = 0; i < set->nroutes; i++) {
		k = (int)((n + i) % set->nroutes);
		if (set->routes[k].from == FROM_ANY &&
		    (only_route == NULL ||
			strcmp(set->routes[k].name, only_route) == 0))
			return k;
	}
	return 0;
}

/*
 * Makes the request of a call.  The number of the call is part of the path if
 * the route ends in a slash, and of the body unless the method is GET, so that
 * an answer to another call is noticed.
 */
static void
make_request(int64_t n, struct call_request *p)
{
	const struct set_route *r = &set->routes[pick_route(n)];
	size_t len = strlen(r->path);
	char query[48] = "";

	if (size > 0)
		snprintf(query, sizeof(query), "?size=%d", size);
	if (work > 0)
		snprintf(query + strlen(query), sizeof(query) - strlen(query),
		    "%swork=%d", size > 0 ? "&" : "?", work);
	g_strlcpy(p->method, r->method, sizeof(p->method));
	if (r->path[len - 1] == '/')
		snprintf(p->path, sizeof(p->path), "%sn%" PRId64 "%s", r->path,
		    n, query);
	else
		snprintf(p->path, sizeof(p->path), "%s%s", r->path, query);
	if (strcmp(r->method, "GET") == 0)
		p->body[0] = '\0';
	else
		snprintf(p->body, sizeof(p->body), "call %" PRId64 " of %d", n,
		    (int)getpid());
	p->at_most_once = !r->repeatable;
}

/*
 * Whether a body is the one that teaseltarget returns for this request: the
 * path repeated to the size, the request's body, or the path.
 */
static int
body_matches(const struct call_request *p, const struct answer *a)
{
	size_t plen = strcspn(p->path, "?"), i;

	if (size > 0) {
		if (a->body->len != (size_t)size)
			return 0;
		for (i = 0; i < a->body->len; i++)
			if (a->body->str[i] != p->path[i % plen])
				return 0;
		return 1;
	}
	if (p->body[0] != '\0')
		return strcmp(a->body->str, p->body) == 0;
	return a->body->len == plen &&
	       strncmp(a->body->str, p->path, plen) == 0;
}

/* Result of a call from the library's error or the answer. */
static enum reply
classify_answer(const struct call_request *p, const struct answer *a, int err)
{
	if (err != NE_OK)
		return REPLY_NONE;
	if (a->status >= HTTP_OK_FIRST && a->status <= HTTP_OK_LAST)
		return body_matches(p, a) ? REPLY_ANSWER : REPLY_WRONG;
	if (strstr(a->body->str, "\"ran\": \"not_run\"") != NULL)
		return REPLY_NOT_RUN;
	return REPLY_UNKNOWN;
}

/* Appends a block of the answer's body; an error above the limit. */
static int
append_body(void *arg, const char *buf, size_t len)
{
	struct answer *a = arg;

	if (a->body->len + len > BODY_MAX_B)
		return -1;
	g_string_append_len(a->body, buf, (gssize)len);
	return 0;
}

/* Sends a request once and reads the answer; returns the library's error. */
static int
send_one(ne_session *s, const struct call_request *p, const char *id,
    struct answer *a)
{
	ne_request *req;
	const char *h;
	int err;

	req = ne_request_create(s, p->method, p->path);
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, !p->at_most_once);
	if (id[0] != '\0')
		ne_add_request_header(req, "X-Request-Id", id);
	if (p->body[0] != '\0')
		ne_set_request_body_buffer(req, p->body, strlen(p->body));
	ne_add_response_body_reader(req, ne_accept_always, append_body, a);
	err = ne_request_dispatch(req);
	a->status = ne_get_status(req)->code;
	if ((h = ne_get_response_header(req, "X-Request-Id")) != NULL)
		g_strlcpy(a->request_id, h, sizeof(a->request_id));
	if ((h = ne_get_response_header(req, "Retry-After")) != NULL)
		a->retry_after_ms = atoi(h) * BASE_MS_PER_S;
	ne_request_destroy(req);
	if (err != NE_OK)
		ne_close_connection(s);
	return err;
}

/* Makes one call, with its retries, and records the result of the last. */
static void
make_call(ne_session **sessions, int64_t n, GRand *rand)
{
	unsigned char random[REQID_RANDOM];
	struct call_record c = { .at_ms = 0 };
	struct answer a = { 0 };
	struct call_request p;
	char id[REQID_LEN + 1] = "";
	int64_t began = base_now_us();
	int i, err;

	make_request(n, &p);
	if (own_ids || resend) {
		randombytes_buf(random, sizeof(random));
		reqid_make(
		    id, base_wall_ms(), (uint16_t)randombytes_random(), random);
	}
	for (i = 0;; i++) {
		a = (struct answer){ .body = g_string_new(NULL) };
		err = send_one(
		    sessions[g_rand_int_range(rand, 0, nentries)], &p, id, &a);
		c.reply = classify_answer(&p, &a, err);
		if (c.reply == REPLY_WRONG)
			fprintf(stderr,
			    "wrong answer to %s %s: %d, %zu bytes\n", p.method,
			    p.path, a.status, a.body->len);
		if (c.reply == REPLY_UNKNOWN)
			fprintf(stderr, "unknown: %s %s: %s", p.method, p.path,
			    a.body->str);
		if (!resend || i >= RESENDS_MAX || c.reply == REPLY_ANSWER)
			break;
		usleep((useconds_t)MAX(a.retry_after_ms, 100) * US_PER_MS);
		g_string_free(a.body, TRUE);
	}
	g_strlcpy(c.id, id[0] != '\0' ? id : a.request_id, sizeof(c.id));
	g_string_free(a.body, TRUE);
	c.at_most_once = p.at_most_once;
	c.at_ms = (began - started_us) / US_PER_MS;
	c.latency_us = base_now_us() - began;
	pthread_mutex_lock(&lock);
	g_array_append_val(results, c);
	pthread_mutex_unlock(&lock);
}

/* Sends calls from one thread, over a connection to each entry. */
static void *
send_calls(void *arg)
{
	ne_session **sessions;
	char host[ADDRESS_MAX];
	GRand *rand = g_rand_new();
	int64_t n;
	int i, port;

	(void)arg;
	sessions = g_new0(ne_session *, nentries);
	for (i = 0; i < nentries; i++) {
		address_split(entries[i], host, &port);
		sessions[i] =
		    ne_session_create("http", host, (unsigned int)port);
		ne_set_connect_timeout(sessions[i], CONNECT_TIMEOUT_S);
		ne_set_read_timeout(sessions[i], READ_TIMEOUT_S);
	}
	while ((n = next_call_number()) >= 0)
		make_call(sessions, n, rand);
	for (i = 0; i < nentries; i++)
		ne_session_destroy(sessions[i]);
	g_free(sessions);
	g_rand_free(rand);
	return NULL;
}

/* Orders calls by latency, for the percentiles. */
static int
compare_latency(const void *a, const void *b)
{
	const struct call_record *x = a, *y = b;

	return (x->latency_us > y->latency_us) -
	       (x->latency_us < y->latency_us);
}

/* Writes one JSON line a call, in the order in which the calls ended. */
static void
write_timeline(void)
{
	const struct call_record *c;
	FILE *f;
	guint i;

	if (timeline_path == NULL || (f = fopen(timeline_path, "w")) == NULL)
		return;
	for (i = 0; i < results->len; i++) {
		c = &g_array_index(results, struct call_record, i);
		fprintf(f,
		    "{\"at_ms\": %" PRId64 ", \"told\": \"%s\", "
		    "\"latency_us\": %" PRId64 "}\n",
		    c->at_ms, reply_names[c->reply], c->latency_us);
	}
	fclose(f);
}

/*
 * Prints counts, latencies and contradictions.  Returns 1 if there was a wrong
 * answer or a contradiction.
 */
static int
print_summary(void)
{
	struct call_record *c = (struct call_record *)(void *)results->data;
	int64_t counts[REPLY_COUNT] = { 0 };
	struct ledger_counts v = { 0 };
	char **controls, *none[] = { NULL };
	guint n = results->len, i;
	int unread = 0, has_errors;

	for (i = 0; i < n; i++)
		counts[c[i].reply]++;
	controls =
	    ledgers_arg != NULL ? g_strsplit(ledgers_arg, ",", -1) : none;
	if (ledgers_arg != NULL)
		unread = ledger_check(results, controls, &v);
	qsort(c, n, sizeof(*c), compare_latency);
	printf("{\"calls\": %u", n);
	for (i = 0; i < REPLY_COUNT; i++)
		printf(", \"%s\": %" PRId64, reply_names[i], counts[i]);
	if (n > 0)
		printf(", \"p50_us\": %" PRId64 ", \"p90_us\": %" PRId64
		       ", \"p99_us\": %" PRId64 ", \"max_us\": %" PRId64,
		    c[n / 2].latency_us, c[n * 9 / 10].latency_us,
		    c[n * 99 / 100].latency_us, c[n - 1].latency_us);
	if (ledgers_arg != NULL)
		printf(", \"runs\": %" PRId64 ", \"doubled\": %" PRId64
		       ", \"lost\": %" PRId64 ", \"false_not_run\": %" PRId64
		       ", \"ledgers_unread\": %d",
		    v.runs, v.doubled, v.lost, v.false_not_run, unread);
	printf("}\n");
	has_errors = counts[REPLY_WRONG] > 0 || v.doubled > 0 || v.lost > 0 ||
		     v.false_not_run > 0;
	if (ledgers_arg != NULL)
		g_strfreev(controls);
	return has_errors;
}

/* Returns -1 if the set cannot be read or is rejected. */
static int
read_set(void)
{
	struct report *rep = report_new();
	char *text;
	size_t len;

	if (set_path == NULL ||
	    base_read_file(set_path, BASE_SET_MAX, &text, &len) != BASE_OK)
		return -1;
	set = set_parse(text, len, rep);
	g_free(text);
	report_free(rep);
	return set != NULL ? 0 : -1;
}

/* Exits with 0 if no call contradicts, 2 for wrong options, else 1. */
int
main(int argc, char **argv)
{
	const GOptionEntry options[] = {
		{ "entries", 'e', 0, G_OPTION_ARG_STRING, &entries_arg,
		    "Entries to send to", "ADDR,ADDR..." },
		{ "set", 's', 0, G_OPTION_ARG_FILENAME, &set_path,
		    "Configuration set whose routes are called", "FILE" },
		{ "only", 0, 0, G_OPTION_ARG_STRING, &only_route,
		    "Call this route only", "ROUTE" },
		{ "rate", 'r', 0, G_OPTION_ARG_INT, &rate, "Calls a second",
		    "N" },
		{ "seconds", 't', 0, G_OPTION_ARG_INT, &seconds,
		    "How long to send", "S" },
		{ "threads", 'j', 0, G_OPTION_ARG_INT, &threads,
		    "Concurrent calls", "N" },
		{ "resend", 0, 0, G_OPTION_ARG_NONE, &resend,
		    "Retry failed calls under the same id", NULL },
		{ "own-ids", 0, 0, G_OPTION_ARG_NONE, &own_ids,
		    "Send request ids made by the caller", NULL },
		{ "size", 0, 0, G_OPTION_ARG_INT, &size,
		    "Bytes of each answer's body", "N" },
		{ "work", 0, 0, G_OPTION_ARG_INT, &work,
		    "Run time of each request at the target", "MS" },
		{ "ledgers", 0, 0, G_OPTION_ARG_STRING, &ledgers_arg,
		    "Control addresses of the targets", "ADDR,ADDR..." },
		{ "timeline", 0, 0, G_OPTION_ARG_FILENAME, &timeline_path,
		    "Write a JSON line for each call", "FILE" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;
	pthread_t *t;
	int i;

	ctx = g_option_context_new("- stand-in for callers");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    entries_arg == NULL || read_set() != 0 || rate < 1 || threads < 1) {
		fprintf(stderr, "teaselcalls: %s\n",
		    error != NULL ? error->message
				  : "needs --entries and an accepted --set");
		return 2;
	}
	g_option_context_free(ctx);
	if (sodium_init() < 0 || ne_sock_init() != 0)
		return 1;
	entries = g_strsplit(entries_arg, ",", -1);
	nentries = (int)g_strv_length(entries);
	results = g_array_new(FALSE, FALSE, sizeof(struct call_record));
	started_us = base_now_us();
	t = g_new(pthread_t, threads);
	for (i = 0; i < threads; i++)
		pthread_create(&t[i], NULL, send_calls, NULL);
	for (i = 0; i < threads; i++)
		pthread_join(t[i], NULL);
	g_free(t);
	write_timeline();
	return print_summary();
}
