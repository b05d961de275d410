/*
 * teaselplatform: stand-in for the platform's configuration service and VM
 * list.  GET /kv/KEY reads, with ?index=N&wait=Nms it waits; PUT /kv/KEY is
 * the operators' side; POST /fault?mode=MODE makes it misbehave; GET /count
 * tells how often it was read.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define CONNECTIONS  4096
#define RATE_DEFAULT 2000 /* reads a second */
#define WAIT_MAX_MS  60000
#define SLOW_MS	     8000
#define ENDLESS	     (64 * 1024 * 1024) /* bytes of an endless answer */
#define HISTORY_S    600
#define US_PER_MS    1000

enum fault {
	FAULT_NONE,
	FAULT_DOWN,  /* connections are closed without an answer */
	FAULT_STALE, /* answers as it was when the fault began */
	FAULT_GARBLED,
	FAULT_TRUNCATED,
	FAULT_ENDLESS,
	FAULT_SLOW,
	FAULT_BACK,  /* answers the value before the newest, lower index */
	FAULT_SPLIT, /* every second reader gets the one before */
};

static const char *const fault_names[] = { "none", "down", "stale", "garbled",
	"truncated", "endless", "slow", "back", "split", NULL };

/* A value, with the two before it. */
struct value {
	GBytes *now, *before;
	uint64_t index, index_before;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *values; /* key to struct value */
static GHashTable *frozen; /* key to struct value, while stale */
static uint64_t revision;
static enum fault fault;
static int rate = RATE_DEFAULT;
static int64_t reads, refused, peak, second, in_second;
static int64_t per_second[HISTORY_S];

static struct value *value_copy(const struct value *);
static int count_read(void);
static struct value wait_value(const char *, uint64_t, int);
static enum MHD_Result put(struct visit *, const char *);
static enum MHD_Result get(struct visit *, const char *);
static enum MHD_Result
send_value(struct visit *, const struct value *, enum fault);
static ssize_t endless(void *, uint64_t, char *, size_t);
static ssize_t cut(void *, uint64_t, char *, size_t);
static enum MHD_Result set_fault(struct visit *);
static enum MHD_Result show_count(struct visit *);
static enum MHD_Result handle(void *, struct visit *);

/* Copies a value with its references. */
static struct value *
value_copy(const struct value *v)
{
	struct value *c;

	c = g_new(struct value, 1);
	*c = *v;
	if (c->now != NULL)
		g_bytes_ref(c->now);
	if (c->before != NULL)
		g_bytes_ref(c->before);
	return c;
}

/* Counts a read; 0 when it is over the rate. */
static int
count_read(void)
{
	int64_t s = base_now_ms() / BASE_MS_PER_S;

	reads++;
	if (s != second) {
		second = s;
		in_second = 0;
	}
	in_second++;
	per_second[s % HISTORY_S] = in_second;
	peak = MAX(peak, in_second);
	if (in_second <= rate)
		return 1;
	refused++;
	return 0;
}

/* Operators publish a value. */
static enum MHD_Result
put(struct visit *v, const char *key)
{
	struct value *old, *new;
	char text[32];

	pthread_mutex_lock(&lock);
	new = g_new0(struct value, 1);
	new->now = g_bytes_new(v->body->data, v->body->len);
	new->index = ++revision;
	if ((old = g_hash_table_lookup(values, key)) != NULL) {
		new->before = g_bytes_ref(old->now);
		new->index_before = old->index;
	}
	g_hash_table_insert(values, g_strdup(key), new);
	snprintf(text, sizeof(text), "%" PRIu64 "\n", revision);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return standin_text(v, MHD_HTTP_OK, text);
}

/* Waits for an index above the one given; with the lock held. */
static struct value
wait_value(const char *key, uint64_t index, int wait_ms)
{
	struct value *v, none = { 0 };
	struct timespec ts;
	int64_t until;

	clock_gettime(CLOCK_REALTIME, &ts);
	until = base_wall_ms() + MIN(wait_ms, WAIT_MAX_MS);
	ts.tv_sec = until / BASE_MS_PER_S;
	ts.tv_nsec = until % BASE_MS_PER_S * 1000000;
	for (;;) {
		v = g_hash_table_lookup(
		    fault == FAULT_STALE ? frozen : values, key);
		if (v != NULL && v->index != index)
			break;
		if (index == 0 || fault != FAULT_NONE)
			break;
		if (pthread_cond_timedwait(&changed, &lock, &ts) != 0) {
			v = g_hash_table_lookup(values, key);
			break;
		}
	}
	if (v == NULL)
		return none;
	if ((fault == FAULT_BACK || (fault == FAULT_SPLIT && reads % 2 == 0)) &&
	    v->before != NULL) {
		none.now = g_bytes_ref(v->before);
		none.index = v->index_before;
		return none;
	}
	none.now = g_bytes_ref(v->now);
	none.index = v->index;
	return none;
}

/* An answer that does not end. */
static ssize_t
endless(void *arg, uint64_t pos, char *buf, size_t max)
{
	(void)arg;
	if (pos > ENDLESS)
		return MHD_CONTENT_READER_END_OF_STREAM;
	memset(buf, ' ', max);
	return (ssize_t)max;
}

/* An answer that ends before its announced length. */
static ssize_t
cut(void *arg, uint64_t pos, char *buf, size_t max)
{
	GBytes *value = arg;
	gsize len;
	const char *data = g_bytes_get_data(value, &len);

	if (pos >= len / 2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, len / 2 - pos);
	memcpy(buf, data + pos, max);
	return (ssize_t)max;
}

/* Sends a value, as the fault has it. */
static enum MHD_Result
send_value(struct visit *v, const struct value *val, enum fault f)
{
	struct MHD_Response *r;
	enum MHD_Result ok;
	char index[32];
	gsize len;
	char *data;

	len = g_bytes_get_size(val->now);
	data = g_memdup2(g_bytes_get_data(val->now, NULL), len);
	if (f == FAULT_GARBLED)
		for (gsize i = 0; i < len; i += 7)
			data[i] ^= 0x55;
	if (f == FAULT_ENDLESS)
		r = MHD_create_response_from_callback(
		    MHD_SIZE_UNKNOWN, BASE_SET_MAX, endless, NULL, NULL);
	else if (f == FAULT_TRUNCATED)
		r = MHD_create_response_from_callback(
		    len, len, cut, val->now, NULL);
	else
		r = MHD_create_response_from_buffer(
		    len, data, MHD_RESPMEM_MUST_COPY);
	snprintf(index, sizeof(index), "%" PRIu64, val->index);
	MHD_add_response_header(r, "X-Index", index);
	ok = MHD_queue_response(v->conn, MHD_HTTP_OK, r);
	MHD_destroy_response(r);
	g_free(data);
	return ok;
}

/* A reader reads. */
static enum MHD_Result
get(struct visit *v, const char *key)
{
	const char *index = standin_query(v, "index");
	const char *wait = standin_query(v, "wait");
	struct value val;
	enum fault f;
	int ok;

	pthread_mutex_lock(&lock);
	ok = count_read();
	if (ok && fault != FAULT_DOWN)
		val = wait_value(key,
		    index != NULL ? strtoull(index, NULL, 10) : 0,
		    wait != NULL ? atoi(wait) : 0);
	f = fault;
	pthread_mutex_unlock(&lock);
	if (f == FAULT_DOWN)
		return MHD_NO;
	if (!ok)
		return standin_text(
		    v, MHD_HTTP_TOO_MANY_REQUESTS, "over the rate\n");
	if (val.now == NULL)
		return standin_text(v, MHD_HTTP_NOT_FOUND, "no such key\n");
	if (f == FAULT_SLOW)
		usleep(SLOW_MS * US_PER_MS);
	return send_value(v, &val, f);
}

/* The driver wishes a fault. */
static enum MHD_Result
set_fault(struct visit *v)
{
	const char *mode = standin_query(v, "mode");
	GHashTableIter it;
	gpointer key, val;
	int i;

	for (i = 0; mode != NULL && fault_names[i] != NULL; i++)
		if (strcmp(fault_names[i], mode) == 0)
			break;
	if (mode == NULL || fault_names[i] == NULL)
		return standin_text(v, MHD_HTTP_BAD_REQUEST, "no such mode\n");
	pthread_mutex_lock(&lock);
	fault = (enum fault)i;
	g_hash_table_remove_all(frozen);
	g_hash_table_iter_init(&it, values);
	while (g_hash_table_iter_next(&it, &key, &val))
		g_hash_table_insert(frozen, g_strdup(key), value_copy(val));
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return standin_text(v, MHD_HTTP_OK, "ok\n");
}

/* How often it was read. */
static enum MHD_Result
show_count(struct visit *v)
{
	char text[160];
	int64_t now = base_now_ms() / BASE_MS_PER_S, minute = 0, i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < 60; i++)
		if (now - i > second - HISTORY_S && now - i <= second)
			minute += per_second[(now - i) % HISTORY_S];
	snprintf(text, sizeof(text),
	    "{\"reads\": %" PRId64 ", \"refused\": %" PRId64
	    ", \"peak_per_second\": %" PRId64 ", \"last_minute\": %" PRId64
	    "}\n",
	    reads, refused, peak, minute);
	if (standin_query(v, "reset") != NULL) {
		reads = refused = peak = 0;
		memset(per_second, 0, sizeof(per_second));
	}
	pthread_mutex_unlock(&lock);
	return standin_text(v, MHD_HTTP_OK, text);
}

/* One request. */
static enum MHD_Result
handle(void *arg, struct visit *v)
{
	(void)arg;
	if (strncmp(v->path, "/kv/", 4) == 0)
		return strcmp(v->method, "PUT") == 0 ? put(v, v->path + 4)
						     : get(v, v->path + 4);
	if (strcmp(v->path, "/fault") == 0)
		return set_fault(v);
	if (strcmp(v->path, "/count") == 0)
		return show_count(v);
	return standin_text(v, MHD_HTTP_NOT_FOUND, "no such page\n");
}

/* Serves until a signal comes. */
int
main(int argc, char **argv)
{
	static char *listen;
	const GOptionEntry options[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		    "Address to listen on", "ADDRESS:PORT" },
		{ "rate", 'r', 0, G_OPTION_ARG_INT, &rate,
		    "Reads allowed a second", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;
	struct MHD_Daemon *d;

	ctx = g_option_context_new("- stand-in for the platform");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    listen == NULL) {
		fprintf(stderr, "teaselplatform: %s\n",
		    error != NULL ? error->message : "needs --listen");
		return 2;
	}
	values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	frozen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin_block_signals();
	if (standin_listen(&d, listen, CONNECTIONS, handle, NULL) !=
	    STANDIN_OK) {
		fprintf(
		    stderr, "teaselplatform: cannot listen on %s\n", listen);
		return 1;
	}
	standin_wait_signal();
	_exit(0);
}
