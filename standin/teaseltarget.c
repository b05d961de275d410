/*
 * teaseltarget: stand-in for a target.  It bears a number of requests at a
 * time that starts low and grows; over it, it sheds, and far over it, it
 * falls over.  A ledger counts every execution by request id, so that doubled
 * and lost requests are seen from outside.  Its health and load pages lie.
 *
 * An answer repeats the request: X-Target and X-Request-Id in the head, and a
 * body of ?size=N bytes made from the path, or the request's body.  With
 * ?chain=N it first calls the mesh itself, N levels deep.
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

#define COLD_SLOTS    2	  /* borne at once when cold */
#define FALL_FACTOR   3	  /* over what it bears, it falls over */
#define RESTART_MS    300 /* it takes nothing after it fell over */
#define SIZE_MAX_B    (4 * 1024 * 1024)
#define US_PER_MS     1000
#define CONNECTIONS   120
#define CONTROL_CONNS 16
#define POISON	      "poison" /* a body with this crashes the target */

/* What it counts. */
struct stats {
	int64_t runs, shed, falls, crashes, over, most;
	int64_t last_run_ms; /* monotonic */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *ledger; /* id to count */
static struct stats stats;
static int running;
static int64_t cold_since;
static int64_t down_until;
static unsigned int life; /* changes when it crashes */
static char *name = "target", *services;
static int slots = 12, work_ms = 2, warm_ms = 4000;
static int shedding, lie_up;

static int bears(int64_t);
static void crash(int64_t);
static int enter(struct visit *, int64_t, unsigned int *);
static int call_next(struct visit *, int);
static int is_end_of_chain(struct visit *);
static int is_poison(const struct visit *);
static void record(const char *);
static void work(struct visit *);
static enum MHD_Result echo(struct visit *);
static enum MHD_Result shed(struct visit *);
static enum MHD_Result drop(struct visit *);
static enum MHD_Result serve(void *, struct visit *);
static enum MHD_Result show_ledger(struct visit *);
static enum MHD_Result show_stats(struct visit *);
static enum MHD_Result control(void *, struct visit *);

/* Requests that it bears at a time: a straight line from cold to warm. */
static int
bears(int64_t now)
{
	int64_t age = now - cold_since;

	if (warm_ms <= 0 || age >= warm_ms)
		return slots;
	return (int)MIN(
	    slots, COLD_SLOTS + (slots - COLD_SLOTS) * age / warm_ms);
}

/* All that runs is lost, and it starts again cold; with the lock held. */
static void
crash(int64_t now)
{
	life++;
	running = 0;
	down_until = now + RESTART_MS;
	cold_since = down_until;
}

/* Whether a request brings the target down. */
static int
is_poison(const struct visit *v)
{
	return memmem(v->body->data, v->body->len, POISON, strlen(POISON)) !=
	       NULL;
}

/* Counts an execution; with the lock held. */
static void
record(const char *id)
{
	gpointer n;

	if (id == NULL)
		return;
	n = g_hash_table_lookup(ledger, id);
	g_hash_table_insert(
	    ledger, g_strdup(id), GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

/* Whether a request is the last of a chain, which always sheds. */
static int
is_end_of_chain(struct visit *v)
{
	const char *chain = standin_query(v, "chain");

	return chain != NULL && atoi(chain) == 0;
}

/* Takes a request: 1 to run it, 0 to shed it, -1 when it is lost. */
static int
enter(struct visit *v, int64_t now, unsigned int *my_life)
{
	int borne, verdict = 1;

	pthread_mutex_lock(&lock);
	borne = bears(now);
	if (now < down_until) {
		verdict = -1;
	} else if (shedding || running >= borne || is_end_of_chain(v)) {
		stats.over += running >= borne;
		stats.shed++;
		verdict = 0;
		if (running + 1 > borne * FALL_FACTOR) {
			stats.falls++;
			crash(now);
			verdict = -1;
		}
		/* Refusing is work too: it counts until it is answered. */
	} else {
		running++;
		stats.most = MAX(stats.most, running);
		stats.runs++;
		stats.last_run_ms = now;
		record(standin_header(v, "X-Request-Id"));
		*my_life = life;
		if (is_poison(v)) {
			stats.crashes++;
			crash(now);
			verdict = -1;
		}
	}
	pthread_mutex_unlock(&lock);
	return verdict;
}

/* Takes the time that the request says, or the usual one. */
static void
work(struct visit *v)
{
	const char *ms = standin_query(v, "work");

	usleep((useconds_t)(ms != NULL ? atoi(ms) : work_ms) * US_PER_MS);
}

/* A request through the mesh to the next of a chain; 1 when it succeeded. */
static int
call_next(struct visit *v, int more)
{
	char host[ADDRESS_MAX], *path;
	ne_session *s;
	ne_request *req;
	int port, ok;

	if (services == NULL || address_split(services, host, &port) != BASE_OK)
		return 0;
	path = g_strdup_printf("%s?chain=%d", v->path, more);
	s = ne_session_create("http", host, (unsigned int)port);
	req = ne_request_create(s, v->method, path);
	ok = ne_request_dispatch(req) == NE_OK &&
	     ne_get_status(req)->code == MHD_HTTP_OK;
	ne_request_destroy(req);
	ne_session_destroy(s);
	g_free(path);
	return ok;
}

/* The answer that a caller can check byte by byte. */
static enum MHD_Result
echo(struct visit *v)
{
	const char *size = standin_query(v, "size");
	const char *id = standin_header(v, "X-Request-Id");
	struct MHD_Response *r;
	enum MHD_Result ok;
	size_t len = size != NULL ? strtoul(size, NULL, 10) : 0, i, plen;
	char *body;

	len = MIN(len, SIZE_MAX_B);
	plen = strlen(v->path);
	if (len > 0) {
		body = g_malloc(len);
		for (i = 0; i < len; i++)
			body[i] = v->path[i % plen];
	} else if (v->body->len > 0) {
		len = v->body->len;
		body = g_memdup2(v->body->data, len);
	} else {
		len = plen;
		body = g_memdup2(v->path, len);
	}
	r = MHD_create_response_from_buffer(len, body, MHD_RESPMEM_MUST_COPY);
	g_free(body);
	MHD_add_response_header(r, "X-Target", name);
	if (id != NULL)
		MHD_add_response_header(r, "X-Target-Id", id);
	ok = MHD_queue_response(v->conn, MHD_HTTP_OK, r);
	MHD_destroy_response(r);
	return ok;
}

/* Refuses for load, without having run anything. */
static enum MHD_Result
shed(struct visit *v)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	r = MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(r, "Retry-After", "1");
	ok = MHD_queue_response(v->conn, MHD_HTTP_SERVICE_UNAVAILABLE, r);
	MHD_destroy_response(r);
	return ok;
}

/* Closes the connection without an answer. */
static enum MHD_Result
drop(struct visit *v)
{
	const union MHD_ConnectionInfo *info;

	info =
	    MHD_get_connection_info(v->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL)
		shutdown(info->connect_fd, SHUT_RDWR);
	return MHD_NO;
}

/* One request of the mesh. */
static enum MHD_Result
serve(void *arg, struct visit *v)
{
	unsigned int my_life = 0;
	const char *chain;
	int verdict, alive, chained = 1;

	(void)arg;
	if (strcmp(v->path, "/health") == 0)
		return standin_text(v, lie_up ? 200 : 503, "a lie\n");
	if (strcmp(v->path, "/load") == 0)
		return standin_text(v, 200, lie_up ? "0\n" : "100\n");
	verdict = enter(v, base_now_ms(), &my_life);
	if (verdict < 0)
		return drop(v);
	if (verdict == 0)
		return shed(v);
	work(v);
	chain = standin_query(v, "chain");
	if (chain != NULL && atoi(chain) > 0)
		chained = call_next(v, atoi(chain) - 1);
	pthread_mutex_lock(&lock);
	alive = life == my_life;
	if (alive)
		running--;
	pthread_mutex_unlock(&lock);
	if (!chained)
		return standin_text(
		    v, MHD_HTTP_BAD_GATEWAY, "the next one failed\n");
	return alive ? echo(v) : drop(v);
}

/* Every id with its count. */
static enum MHD_Result
show_ledger(struct visit *v)
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
	ok = standin_answer(v, 200, "text/plain", out->str, out->len);
	g_string_free(out, TRUE);
	return ok;
}

/* What it counted. */
static enum MHD_Result
show_stats(struct visit *v)
{
	char text[400];
	int64_t now = base_now_ms();

	pthread_mutex_lock(&lock);
	snprintf(text, sizeof(text),
	    "{\"target\": \"%s\", \"runs\": %" PRId64 ", \"shed\": %" PRId64
	    ", \"falls\": %" PRId64 ", \"crashes\": %" PRId64
	    ", \"over\": %" PRId64 ", \"most\": %" PRId64
	    ", \"running\": %d, \"bears\": %d, \"idle_ms\": %" PRId64 "}\n",
	    name, stats.runs, stats.shed, stats.falls, stats.crashes,
	    stats.over, stats.most, running, bears(now),
	    stats.last_run_ms > 0 ? now - stats.last_run_ms : -1);
	pthread_mutex_unlock(&lock);
	return standin_text(v, 200, text);
}

/* One request of the driver. */
static enum MHD_Result
control(void *arg, struct visit *v)
{
	(void)arg;
	if (strcmp(v->path, "/ledger") == 0)
		return show_ledger(v);
	if (strcmp(v->path, "/stats") == 0)
		return show_stats(v);
	pthread_mutex_lock(&lock);
	if (strcmp(v->path, "/cold") == 0)
		cold_since = base_now_ms();
	else if (strcmp(v->path, "/crash") == 0)
		crash(base_now_ms());
	else if (strcmp(v->path, "/shed") == 0)
		shedding = !shedding;
	else if (strcmp(v->path, "/lie") == 0)
		lie_up = !lie_up;
	pthread_mutex_unlock(&lock);
	return standin_text(v, 200, "ok\n");
}

/* Serves until a signal comes. */
int
main(int argc, char **argv)
{
	static char *listen, *control_addr;
	const GOptionEntry options[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		    "Address for requests", "ADDRESS:PORT" },
		{ "control", 'c', 0, G_OPTION_ARG_STRING, &control_addr,
		    "Address for the driver", "ADDRESS:PORT" },
		{ "services", 'x', 0, G_OPTION_ARG_STRING, &services,
		    "Where its own calls go, for chains", "ADDRESS:PORT" },
		{ "name", 'n', 0, G_OPTION_ARG_STRING, &name, "Its name",
		    "NAME" },
		{ "slots", 's', 0, G_OPTION_ARG_INT, &slots,
		    "Requests borne at a time when warm", "N" },
		{ "work", 'w', 0, G_OPTION_ARG_INT, &work_ms,
		    "Time a request takes", "MS" },
		{ "warm", 'm', 0, G_OPTION_ARG_INT, &warm_ms,
		    "Time until it is warm", "MS" },
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
	if (standin_listen(&d, listen, CONNECTIONS, serve, NULL) !=
		STANDIN_OK ||
	    standin_listen(&c, control_addr, CONTROL_CONNS, control, NULL) !=
		STANDIN_OK) {
		fprintf(stderr, "teaseltarget: cannot listen on %s or %s\n",
		    listen, control_addr);
		return 1;
	}
	standin_wait_signal();
	_exit(0);
}
