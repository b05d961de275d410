/*
 * teaselplatform: stand-in for the platform's configuration service and VM
 * list.  GET /kv/KEY reads a value; with ?index=N&wait=Nms it is a long poll
 * for an index other than N.  Operators set a value with PUT /kv/KEY.  POST
 * /fault?mode=MODE sets a fault; GET /count shows how often values were read.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define CONNECTIONS_MAX 4096
#define RATE_DEFAULT	2000 /* reads a second */
#define WAIT_MAX_MS	60000
#define SLOW_MS		8000
#define ENDLESS_BYTES	(64 * 1024 * 1024) /* bytes of an endless answer */
#define HISTORY_S	600
#define US_PER_MS	1000

enum fault {
	FAULT_NONE,
	FAULT_DOWN,	 /* connections are closed without an answer */
	FAULT_STALE,	 /* returns the values of when the fault was set */
	FAULT_MALFORMED, /* every seventh byte is corrupted */
	FAULT_TRUNCATED, /* the answer ends in the middle */
	FAULT_ENDLESS,	 /* an answer of ENDLESS_BYTES */
	FAULT_SLOW,	 /* answers SLOW_MS late */
	FAULT_OLDER,	 /* returns the previous value with its index */
	FAULT_SPLIT,	 /* the same for every second read */
};

static const char *const fault_names[] = { "none", "down", "stale", "garbled",
	"truncated", "endless", "slow", "back", "split", NULL };

/* A value with the one before it. */
struct value {
	GBytes *current, *previous;
	uint64_t index, previous_index;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *values;	 /* key to struct value */
static GHashTable *stale_values; /* key to struct value, while stale */
static uint64_t revision;
static enum fault fault;
static int rate = RATE_DEFAULT;
static int64_t reads, refused, peak, current_second, reads_in_second;
static int64_t per_second[HISTORY_S];

static struct value *value_copy(const struct value *);
static int count_read(void);
static struct value wait_value(const char *, uint64_t, int);
static enum MHD_Result put_value(struct standin_request *, const char *);
static enum MHD_Result get_value(struct standin_request *, const char *);
static enum MHD_Result
send_value(struct standin_request *, const struct value *, enum fault);
static ssize_t send_endless(void *, uint64_t, char *, size_t);
static ssize_t send_truncated(void *, uint64_t, char *, size_t);
static enum MHD_Result set_fault(struct standin_request *);
static enum MHD_Result show_counts(struct standin_request *);
static enum MHD_Result handle(void *, struct standin_request *);

/* Copies a value; the bytes are shared by reference. */
static struct value *
value_copy(const struct value *val)
{
	struct value *c;

	c = g_new(struct value, 1);
	*c = *val;
	if (c->current != NULL)
		g_bytes_ref(c->current);
	if (c->previous != NULL)
		g_bytes_ref(c->previous);
	return c;
}

/* Counts a read; returns 0 above the rate limit.  The lock must be held. */
static int
count_read(void)
{
	int64_t s = base_now_ms() / BASE_MS_PER_S;

	reads++;
	if (s != current_second) {
		current_second = s;
		reads_in_second = 0;
	}
	reads_in_second++;
	per_second[s % HISTORY_S] = reads_in_second;
	peak = MAX(peak, reads_in_second);
	if (reads_in_second <= rate)
		return 1;
	refused++;
	return 0;
}

/* Handles PUT /kv/KEY: sets a value and wakes the long polls. */
static enum MHD_Result
put_value(struct standin_request *req, const char *key)
{
	struct value *old, *new;
	char text[32];

	pthread_mutex_lock(&lock);
	new = g_new0(struct value, 1);
	new->current = g_bytes_new(req->body->data, req->body->len);
	new->index = ++revision;
	if ((old = g_hash_table_lookup(values, key)) != NULL) {
		new->previous = g_bytes_ref(old->current);
		new->previous_index = old->index;
	}
	g_hash_table_insert(values, g_strdup(key), new);
	snprintf(text, sizeof(text), "%" PRIu64 "\n", revision);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return standin_answer_text(req, MHD_HTTP_OK, text);
}

/*
 * Waits until a key has another index than the one given, and returns its value
 * with a reference, as the fault has it.  An index of 0 and any fault return at
 * once.  The lock must be held.
 */
static struct value
wait_value(const char *key, uint64_t index, int wait_ms)
{
	struct value *val, result = { 0 };
	struct timespec ts;
	int64_t until;

	clock_gettime(CLOCK_REALTIME, &ts);
	until = base_wall_ms() + MIN(wait_ms, WAIT_MAX_MS);
	ts.tv_sec = until / BASE_MS_PER_S;
	ts.tv_nsec = until % BASE_MS_PER_S * 1000000;
	for (;;) {
		val = g_hash_table_lookup(
		    fault == FAULT_STALE ? stale_values : values, key);
		if (val != NULL && val->index != index)
			break;
		if (index == 0 || fault != FAULT_NONE)
			break;
		if (pthread_cond_timedwait(&changed, &lock, &ts) != 0) {
			val = g_hash_table_lookup(values, key);
			break;
		}
	}
	if (val == NULL)
		return result;
	if ((fault == FAULT_OLDER ||
		(fault == FAULT_SPLIT && reads % 2 == 0)) &&
	    val->previous != NULL) {
		result.current = g_bytes_ref(val->previous);
		result.index = val->previous_index;
		return result;
	}
	result.current = g_bytes_ref(val->current);
	result.index = val->index;
	return result;
}

/* Body of spaces, longer than any reader may accept. */
static ssize_t
send_endless(void *arg, uint64_t pos, char *buf, size_t max)
{
	(void)arg;
	if (pos > ENDLESS_BYTES)
		return MHD_CONTENT_READER_END_OF_STREAM;
	memset(buf, ' ', max);
	return (ssize_t)max;
}

/* Body that ends before the announced length. */
static ssize_t
send_truncated(void *arg, uint64_t pos, char *buf, size_t max)
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

/* Sends a value whole, corrupted, endless or truncated. */
static enum MHD_Result
send_value(struct standin_request *req, const struct value *val, enum fault f)
{
	struct MHD_Response *r;
	enum MHD_Result ok;
	char index[32];
	gsize len;
	char *data;

	len = g_bytes_get_size(val->current);
	data = g_memdup2(g_bytes_get_data(val->current, NULL), len);
	if (f == FAULT_MALFORMED)
		for (gsize i = 0; i < len; i += 7)
			data[i] ^= 0x55;
	if (f == FAULT_ENDLESS)
		r = MHD_create_response_from_callback(
		    MHD_SIZE_UNKNOWN, BASE_SET_MAX, send_endless, NULL, NULL);
	else if (f == FAULT_TRUNCATED)
		r = MHD_create_response_from_callback(
		    len, len, send_truncated, val->current, NULL);
	else
		r = MHD_create_response_from_buffer(
		    len, data, MHD_RESPMEM_MUST_COPY);
	snprintf(index, sizeof(index), "%" PRIu64, val->index);
	MHD_add_response_header(r, "X-Index", index);
	ok = MHD_queue_response(req->conn, MHD_HTTP_OK, r);
	MHD_destroy_response(r);
	g_free(data);
	return ok;
}

/* Handles GET /kv/KEY. */
static enum MHD_Result
get_value(struct standin_request *req, const char *key)
{
	const char *index = standin_query(req, "index");
	const char *wait = standin_query(req, "wait");
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
		return standin_answer_text(
		    req, MHD_HTTP_TOO_MANY_REQUESTS, "over the rate\n");
	if (val.current == NULL)
		return standin_answer_text(
		    req, MHD_HTTP_NOT_FOUND, "no such key\n");
	if (f == FAULT_SLOW)
		usleep(SLOW_MS * US_PER_MS);
	return send_value(req, &val, f);
}

/* Handles POST /fault; the present values are kept for FAULT_STALE. */
static enum MHD_Result
set_fault(struct standin_request *req)
{
	const char *mode = standin_query(req, "mode");
	GHashTableIter it;
	gpointer key, val;
	int i;

	for (i = 0; mode != NULL && fault_names[i] != NULL; i++)
		if (strcmp(fault_names[i], mode) == 0)
			break;
	if (mode == NULL || fault_names[i] == NULL)
		return standin_answer_text(
		    req, MHD_HTTP_BAD_REQUEST, "no such mode\n");
	pthread_mutex_lock(&lock);
	fault = (enum fault)i;
	g_hash_table_remove_all(stale_values);
	g_hash_table_iter_init(&it, values);
	while (g_hash_table_iter_next(&it, &key, &val))
		g_hash_table_insert(
		    stale_values, g_strdup(key), value_copy(val));
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return standin_answer_text(req, MHD_HTTP_OK, "ok\n");
}

/* Handles GET /count; with ?reset the counts start again. */
static enum MHD_Result
show_counts(struct standin_request *req)
{
	char text[160];
	int64_t now = base_now_ms() / BASE_MS_PER_S, minute = 0, i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < 60; i++)
		if (now - i > current_second - HISTORY_S &&
		    now - i <= current_second)
			minute += per_second[(now - i) % HISTORY_S];
	snprintf(text, sizeof(text),
	    "{\"reads\": %" PRId64 ", \"refused\": %" PRId64
	    ", \"peak_per_second\": %" PRId64 ", \"last_minute\": %" PRId64
	    "}\n",
	    reads, refused, peak, minute);
	if (standin_query(req, "reset") != NULL) {
		reads = refused = peak = 0;
		memset(per_second, 0, sizeof(per_second));
	}
	pthread_mutex_unlock(&lock);
	return standin_answer_text(req, MHD_HTTP_OK, text);
}

/* Handles a request, on the thread of its connection. */
static enum MHD_Result
handle(void *arg, struct standin_request *req)
{
	(void)arg;
	if (strncmp(req->path, "/kv/", 4) == 0)
		return strcmp(req->method, "PUT") == 0
			   ? put_value(req, req->path + 4)
			   : get_value(req, req->path + 4);
	if (strcmp(req->path, "/fault") == 0)
		return set_fault(req);
	if (strcmp(req->path, "/count") == 0)
		return show_counts(req);
	return standin_answer_text(req, MHD_HTTP_NOT_FOUND, "no such page\n");
}

/* Serves until a signal; exits without joining connection threads. */
int
main(int argc, char **argv)
{
	static char *listen;
	const GOptionEntry options[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &listen,
		    "Address to listen on", "ADDRESS:PORT" },
		{ "rate", 'r', 0, G_OPTION_ARG_INT, &rate,
		    "Reads allowed a second; 429 above", "N" },
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
	stale_values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin_block_signals();
	if (standin_listen(&d, listen, CONNECTIONS_MAX, handle, NULL) !=
	    STANDIN_OK) {
		fprintf(
		    stderr, "teaselplatform: cannot listen on %s\n", listen);
		return 1;
	}
	standin_wait_signal();
	_exit(0);
}
