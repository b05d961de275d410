/*
 * teaseltarget: stand-in for a target.  It runs a number of requests at a time
 * that grows from a cold start; above that it sheds requests, and far above it
 * crashes.  A ledger counts every execution by request id, so that lost
 * requests and those that ran twice are visible.  Its health and load pages are
 * wrong on purpose, since the system must not rely on them.
 *
 * An answer names the target in X-Target and repeats the request's id in
 * X-Target-Id.  Its body is ?size=N bytes made from the path, or the request's
 * body, or the path.  With ?chain=N the target first calls the mesh itself, N
 * levels deep.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>

#include "../caller/caller.h"
#include "../mesh/member.h"
#include "standin.h"

#define COLD_SLOTS	      2	  /* concurrent requests when cold */
#define OVERLOAD_CRASH_FACTOR 3	  /* crashes above so many times the capacity */
#define RESTART_MS	      300 /* down for so long after a crash */
#define SIZE_MAX_B	      (4 * 1024 * 1024)
#define US_PER_MS	      1000
#define CONNECTIONS_MAX	      120
#define CONTROL_CONNS_MAX     16
#define CRASH_BODY	      "poison" /* a body with this crashes the target */

/* Counts since the start, shown by GET /stats. */
struct stats {
	int64_t runs, shed, overload_crashes, crashes;
	int64_t over_capacity, peak_running;
	int64_t last_run_ms; /* monotonic */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *ledger; /* id to count */
static struct stats stats;
static int running;
static int64_t cold_since;
static int64_t down_until;
static unsigned int generation; /* incremented by each crash */
static char *name = "target", *services;
static int slots = 12, work_ms = 2, warm_ms = 4000;
static int shedding, health_ok;

static int capacity(int64_t);
static void crash(int64_t);
static int admit(struct standin_request *, int64_t, unsigned int *);
static int call_mesh(struct standin_request *, int);
static int is_end_of_chain(struct standin_request *);
static int is_crasher(const struct standin_request *);
static void record_run(const char *);
static void do_work(struct standin_request *);
static enum MHD_Result reply_echo(struct standin_request *);
static enum MHD_Result reply_shed(struct standin_request *);
static enum MHD_Result close_connection(struct standin_request *);
static enum MHD_Result handle_request(void *, struct standin_request *);
static enum MHD_Result show_ledger(struct standin_request *);
static enum MHD_Result show_stats(struct standin_request *);
static enum MHD_Result handle_control(void *, struct standin_request *);

/* Concurrent requests that it accepts; linear from cold to warm. */
static int
capacity(int64_t now)
{
	int64_t age = now - cold_since;

	if (warm_ms <= 0 || age >= warm_ms)
		return slots;
	return (int)MIN(
	    slots, COLD_SLOTS + (slots - COLD_SLOTS) * age / warm_ms);
}

/* Loses all running requests and restarts cold; the lock must be held. */
static void
crash(int64_t now)
{
	generation++;
	running = 0;
	down_until = now + RESTART_MS;
	cold_since = down_until;
}

/* Whether a request crashes the target. */
static int
is_crasher(const struct standin_request *req)
{
	return memmem(req->body->data, req->body->len, CRASH_BODY,
		   strlen(CRASH_BODY)) != NULL;
}

/* Counts an execution in the ledger; the lock must be held. */
static void
record_run(const char *id)
{
	gpointer n;

	if (id == NULL)
		return;
	n = g_hash_table_lookup(ledger, id);
	g_hash_table_insert(
	    ledger, g_strdup(id), GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

/* Whether a request is the last of a chain, which is always shed. */
static int
is_end_of_chain(struct standin_request *req)
{
	const char *chain = standin_query(req, "chain");

	return chain != NULL && atoi(chain) == 0;
}

/* Admits a request: 1 to run it, 0 to shed it, -1 if the target is down. */
static int
admit(struct standin_request *req, int64_t now, unsigned int *my_generation)
{
	int limit, result = 1;

	pthread_mutex_lock(&lock);
	limit = capacity(now);
	if (now < down_until) {
		result = -1;
	} else if (shedding || running >= limit || is_end_of_chain(req)) {
		stats.over_capacity += running >= limit;
		stats.shed++;
		result = 0;
		if (running + 1 > limit * OVERLOAD_CRASH_FACTOR) {
			stats.overload_crashes++;
			crash(now);
			result = -1;
		}
		/* This request counts as well, as refusing it is work. */
	} else {
		running++;
		stats.peak_running = MAX(stats.peak_running, running);
		stats.runs++;
		stats.last_run_ms = now;
		record_run(standin_header(req, "X-Request-Id"));
		*my_generation = generation;
		if (is_crasher(req)) {
			stats.crashes++;
			crash(now);
			result = -1;
		}
	}
	pthread_mutex_unlock(&lock);
	return result;
}

/* Sleeps for the time that the request states, or the default time. */
static void
do_work(struct standin_request *req)
{
	const char *ms = standin_query(req, "work");

	usleep((useconds_t)(ms != NULL ? atoi(ms) : work_ms) * US_PER_MS);
}

/* Sends the next request of a chain to the mesh; 1 if it succeeded. */
static int
call_mesh(struct standin_request *req, int more)
{
	char host[ADDRESS_MAX], *path;
	ne_session *s;
	ne_request *call;
	int port, ok;

	if (services == NULL || address_split(services, host, &port) != BASE_OK)
		return 0;
	path = g_strdup_printf("%s?chain=%d", req->path, more);
	s = ne_session_create("http", host, (unsigned int)port);
	call = ne_request_create(s, req->method, path);
	ok = ne_request_dispatch(call) == NE_OK &&
	     ne_get_status(call)->code == MHD_HTTP_OK;
	ne_request_destroy(call);
	ne_session_destroy(s);
	g_free(path);
	return ok;
}

/* Answers with a body that the caller can predict and check. */
static enum MHD_Result
reply_echo(struct standin_request *req)
{
	const char *size = standin_query(req, "size");
	const char *id = standin_header(req, "X-Request-Id");
	struct MHD_Response *r;
	enum MHD_Result ok;
	size_t len = size != NULL ? strtoul(size, NULL, 10) : 0, i, plen;
	char *body;

	len = MIN(len, SIZE_MAX_B);
	plen = strlen(req->path);
	if (len > 0) {
		body = g_malloc(len);
		for (i = 0; i < len; i++)
			body[i] = req->path[i % plen];
	} else if (req->body->len > 0) {
		len = req->body->len;
		body = g_memdup2(req->body->data, len);
	} else {
		len = plen;
		body = g_memdup2(req->path, len);
	}
	r = MHD_create_response_from_buffer(len, body, MHD_RESPMEM_MUST_COPY);
	g_free(body);
	MHD_add_response_header(r, "X-Target", name);
	if (id != NULL)
		MHD_add_response_header(r, "X-Target-Id", id);
	ok = MHD_queue_response(req->conn, MHD_HTTP_OK, r);
	MHD_destroy_response(r);
	return ok;
}

/* Refuses a request for overload, without having run it. */
static enum MHD_Result
reply_shed(struct standin_request *req)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	r = MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(r, "Retry-After", "1");
	ok = MHD_queue_response(req->conn, MHD_HTTP_SERVICE_UNAVAILABLE, r);
	MHD_destroy_response(r);
	return ok;
}

/* Closes the connection without an answer. */
static enum MHD_Result
close_connection(struct standin_request *req)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL)
		shutdown(info->connect_fd, SHUT_RDWR);
	return MHD_NO;
}

/* Handles a request of the mesh. */
static enum MHD_Result
handle_request(void *arg, struct standin_request *req)
{
	unsigned int my_generation = 0;
	const char *chain;
	int result, alive, chain_ok = 1;

	(void)arg;
	if (strcmp(req->path, "/health") == 0)
		return standin_answer_text(
		    req, health_ok ? 200 : 503, "a lie\n");
	if (strcmp(req->path, "/load") == 0)
		return standin_answer_text(
		    req, 200, health_ok ? "0\n" : "100\n");
	result = admit(req, base_now_ms(), &my_generation);
	if (result < 0)
		return close_connection(req);
	if (result == 0)
		return reply_shed(req);
	do_work(req);
	chain = standin_query(req, "chain");
	if (chain != NULL && atoi(chain) > 0)
		chain_ok = call_mesh(req, atoi(chain) - 1);
	pthread_mutex_lock(&lock);
	alive = generation == my_generation;
	if (alive)
		running--;
	pthread_mutex_unlock(&lock);
	if (!chain_ok)
		return standin_answer_text(
		    req, MHD_HTTP_BAD_GATEWAY, "the next one failed\n");
	return alive ? reply_echo(req) : close_connection(req);
}

/* Handles GET /ledger: a line for each id with its number of executions. */
static enum MHD_Result
show_ledger(struct standin_request *req)
{
	GString *out = g_string_new(NULL);
	GHashTableIter it;
	gpointer id, n;
	enum MHD_Result ok;

	pthread_mutex_lock(&lock);
	g_hash_table_iter_init(&it, ledger);
	while (g_hash_table_iter_next(&it, &id, &n))
		g_string_append_printf(
		    out, "%s %d\n", (char *)id, GPOINTER_TO_INT(n));
	pthread_mutex_unlock(&lock);
	ok = standin_answer(req, 200, "text/plain", out->str, out->len);
	g_string_free(out, TRUE);
	return ok;
}

/* Handles GET /stats: the counts, and the present load and capacity. */
static enum MHD_Result
show_stats(struct standin_request *req)
{
	char text[400];
	int64_t now = base_now_ms();

	pthread_mutex_lock(&lock);
	snprintf(text, sizeof(text),
	    "{\"target\": \"%s\", \"runs\": %" PRId64 ", \"shed\": %" PRId64
	    ", \"falls\": %" PRId64 ", \"crashes\": %" PRId64
	    ", \"over\": %" PRId64 ", \"most\": %" PRId64
	    ", \"running\": %d, \"bears\": %d, \"idle_ms\": %" PRId64 "}\n",
	    name, stats.runs, stats.shed, stats.overload_crashes, stats.crashes,
	    stats.over_capacity, stats.peak_running, running, capacity(now),
	    stats.last_run_ms > 0 ? now - stats.last_run_ms : -1);
	pthread_mutex_unlock(&lock);
	return standin_answer_text(req, 200, text);
}

/* Handles a control request of the test driver. */
static enum MHD_Result
handle_control(void *arg, struct standin_request *req)
{
	(void)arg;
	if (strcmp(req->path, "/ledger") == 0)
		return show_ledger(req);
	if (strcmp(req->path, "/stats") == 0)
		return show_stats(req);
	pthread_mutex_lock(&lock);
	if (strcmp(req->path, "/cold") == 0)
		cold_since = base_now_ms();
	else if (strcmp(req->path, "/crash") == 0)
		crash(base_now_ms());
	else if (strcmp(req->path, "/shed") == 0)
		shedding = !shedding;
	else if (strcmp(req->path, "/lie") == 0)
		health_ok = !health_ok;
	pthread_mutex_unlock(&lock);
	return standin_answer_text(req, 200, "ok\n");
}

/* Serves until a signal; exits without joining connection threads. */
int
main(int argc, char **argv)
{
	static char *listen, *control_addr;
	const GOptionEntry options[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		    "Address for requests", "ADDRESS:PORT" },
		{ "control", 'c', 0, G_OPTION_ARG_STRING, &control_addr,
		    "Address for control requests", "ADDRESS:PORT" },
		{ "services", 'x', 0, G_OPTION_ARG_STRING, &services,
		    "Address for its own calls to the mesh", "ADDRESS:PORT" },
		{ "name", 'n', 0, G_OPTION_ARG_STRING, &name,
		    "Name in answers and statistics", "NAME" },
		{ "slots", 's', 0, G_OPTION_ARG_INT, &slots,
		    "Concurrent requests when warm", "N" },
		{ "work", 'w', 0, G_OPTION_ARG_INT, &work_ms,
		    "Run time of a request", "MS" },
		{ "warm", 'm', 0, G_OPTION_ARG_INT, &warm_ms,
		    "Time from cold to warm", "MS" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;
	struct MHD_Daemon *d, *c;

	ctx = g_option_context_new("- stand-in for a target");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    listen == NULL || control_addr == NULL) {
		fprintf(stderr, "teaseltarget: %s\n",
		    error != NULL ? error->message
				  : "needs --listen and --control");
		return 2;
	}
	ledger = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cold_since = base_now_ms();
	standin_block_signals();
	if (ne_sock_init() != 0)
		return 1;
	if (standin_listen(&d, listen, CONNECTIONS_MAX, handle_request, NULL) !=
		STANDIN_OK ||
	    standin_listen(&c, control_addr, CONTROL_CONNS_MAX, handle_control,
		NULL) != STANDIN_OK) {
		fprintf(stderr, "teaseltarget: cannot listen on %s or %s\n",
		    listen, control_addr);
		return 1;
	}
	standin_wait_signal();
	_exit(0);
}
