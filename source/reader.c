/*
 * Watches the source with two threads, one for the head and one for the VM
 * list.  Each reads once when the node starts, and goes on only while the
 * reader is active.
 *
 * Lock order: the reader's lock is taken last, and is never held during a read
 * or a callback.
 */
#include <pthread.h>
#include <string.h>

#include "source_int.h"

#define WAIT_MS	       20000 /* wait of a blocking read */
#define MIN_WAIT_MS    1000 /* a service may cap the wait, but not below this */
#define BACKOFF_MS     250  /* base of the pause after failures */
#define BACKOFF_MAX_MS 15000
#define FIRST_ATTEMPTS 2 /* failed reads until the first read is given up */
#define WATCHES	       2 /* keys that are watched */

/* One watched key. */
struct watch {
	const char *key;
	int (*handle)(struct watch *, GBytes *);
	struct reader *reader;
	struct source *source;
	pthread_t thread;
	GRand *rand;
	uint64_t index;	    /* of the next blocking read; 0: do not block */
	uint64_t max_index; /* greatest index received */
	int64_t sent_at;    /* ms; when the last read began */
	int failures;	    /* in a row */
	int first_done;	    /* the first read has succeeded or was given up */
	int logged_error;   /* error logged last, 0 after a success */
};

struct reader {
	const struct source_ops *ops;
	struct source_reader_events ev;
	int spread_ms;
	pthread_mutex_t lock; /* protects the fields below */
	pthread_cond_t changed;
	struct read_budget budget;
	int active;
	int stopping;
	int running; /* threads that have not ended */
	int error;   /* result of the last read of the head */
	struct watch watches[WATCHES];
};

static int handle_head(struct watch *, GBytes *);
static int handle_vms(struct watch *, GBytes *);
static int fetch_parts(struct watch *, const struct manifest *);
static int wait_active(struct watch *);
static int sleep_ms(struct reader *, int64_t);
static int wait_budget(struct reader *);
static int
read_key(struct watch *, const char *, uint64_t, int, GBytes **, uint64_t *);
static int read_once(struct watch *);
static void record_result(struct watch *, int);
static void *watch_main(void *);
static void watch_loop(struct watch *);
static void watch_end(struct watch *);
static int is_stopping(struct reader *);

/* Sleeps for ms; returns SOURCE_ESTOPPED as soon as the reader stops. */
static int
sleep_ms(struct reader *r, int64_t ms)
{
	struct timespec ts;
	int64_t until = base_now_ms() + ms;
	int stopping;

	ts.tv_sec = until / BASE_MS_PER_S;
	ts.tv_nsec = until % BASE_MS_PER_S * 1000000;
	pthread_mutex_lock(&r->lock);
	while (!r->stopping && base_now_ms() < until)
		pthread_cond_timedwait(&r->changed, &r->lock, &ts);
	stopping = r->stopping;
	pthread_mutex_unlock(&r->lock);
	return stopping ? SOURCE_ESTOPPED : SOURCE_OK;
}

/* Blocks while the reader is inactive, unless the first read is not done. */
static int
wait_active(struct watch *w)
{
	struct reader *r = w->reader;
	int stopping;

	pthread_mutex_lock(&r->lock);
	while (!r->stopping && !r->active && w->first_done)
		pthread_cond_wait(&r->changed, &r->lock);
	stopping = r->stopping;
	pthread_mutex_unlock(&r->lock);
	return stopping ? SOURCE_ESTOPPED : SOURCE_OK;
}

/* Takes a read from the node's budget, and sleeps until there is one. */
static int
wait_budget(struct reader *r)
{
	int64_t ms;

	for (;;) {
		pthread_mutex_lock(&r->lock);
		ms = read_budget_take(&r->budget, base_now_ms());
		pthread_mutex_unlock(&r->lock);
		if (ms == 0)
			return SOURCE_OK;
		counter_add(CTR_SOURCE_DEFERRED, 1);
		if (sleep_ms(r, ms) != SOURCE_OK)
			return SOURCE_ESTOPPED;
	}
}

/* Reads a key of the service, subject to the read budget. */
static int
read_key(struct watch *w, const char *key, uint64_t index, int wait_ms,
    GBytes **value, uint64_t *new_index)
{
	if (wait_budget(w->reader) != SOURCE_OK)
		return SOURCE_ESTOPPED;
	counter_add(CTR_SOURCE_READS, 1);
	w->sent_at = base_now_ms();
	return w->reader->ops->read(
	    w->source, key, index, wait_ms, value, new_index);
}

/* Reads the parts of a set and delivers the text if its hash matches. */
static int
fetch_parts(struct watch *w, const struct manifest *m)
{
	unsigned char hash[VERSION_HASH_LEN];
	GByteArray *text;
	GBytes *part, *whole;
	uint64_t index;
	char *key;
	int i, err = SOURCE_OK;

	text = g_byte_array_new();
	for (i = 0; i < m->parts && err == SOURCE_OK; i++) {
		key = manifest_part_key(m, i);
		err = read_key(w, key, 0, 0, &part, &index);
		g_free(key);
		if (err != SOURCE_OK)
			break;
		g_byte_array_append(text, g_bytes_get_data(part, NULL),
		    (guint)g_bytes_get_size(part));
		g_bytes_unref(part);
		if (text->len > (guint)m->bytes)
			err = SOURCE_ELARGE;
	}
	whole = g_byte_array_free_to_bytes(text);
	if (err == SOURCE_OK) {
		version_hash(g_bytes_get_data(whole, NULL),
		    g_bytes_get_size(whole), hash);
		if (memcmp(hash, m->version.hash, VERSION_HASH_LEN) != 0)
			err = SOURCE_EMALFORMED;
	}
	if (err == SOURCE_OK)
		w->reader->ev.text(w->reader->ev.arg, m, whole);
	g_bytes_unref(whole);
	return err;
}

/* Parses a head and fetches its set if the callback asks for it. */
static int
handle_head(struct watch *w, GBytes *value)
{
	struct reader *r = w->reader;
	struct manifest m;
	gsize len;
	const char *text = g_bytes_get_data(value, &len);
	int err;

	if ((err = manifest_parse(text, len, &m)) != SOURCE_OK)
		return err;
	err = r->ev.head(r->ev.arg, &m);
	if (err <= 0)
		return err;
	return fetch_parts(w, &m);
}

/* Parses a VM list and delivers it. */
static int
handle_vms(struct watch *w, GBytes *value)
{
	struct report *rep;
	struct json *j;
	gsize len;
	const char *text = g_bytes_get_data(value, &len);
	int err = SOURCE_EMALFORMED;

	rep = report_new();
	j = json_parse(text, len, rep);
	if (json_get(j, "vms") != NULL) {
		w->reader->ev.vms(
		    w->reader->ev.arg, json_get(j, "vms"), w->index);
		err = SOURCE_OK;
	}
	json_free(j);
	report_free(rep);
	return err;
}

/* Records the result of a read; an error is logged when it changes. */
static void
record_result(struct watch *w, int err)
{
	struct reader *r = w->reader;

	if (err == SOURCE_OK) {
		w->failures = 0;
		if (w->logged_error != 0)
			base_log(G_LOG_LEVEL_MESSAGE, "source_read",
			    "key=%s state=recovered", w->key);
		w->logged_error = 0;
	} else {
		w->failures++;
		counter_add(CTR_SOURCE_FAILURES, 1);
		if (err == SOURCE_EOLDER)
			counter_add(CTR_SOURCE_OLDER, 1);
		if (err != w->logged_error)
			base_log(G_LOG_LEVEL_WARNING, "source_read",
			    "key=%s error=\"%s\"", w->key,
			    source_strerror(err));
		w->logged_error = err;
	}
	if (w->handle == handle_head) {
		pthread_mutex_lock(&r->lock);
		r->error = err;
		pthread_mutex_unlock(&r->lock);
	}
}

/*
 * Reads the watched key once.  An index below an earlier one means that the
 * service has gone back to an older state.  A head is handled all the same, as
 * it contains its version; a VM list has no version, so an older one is
 * ignored.  If a blocking read returns at once without a change, that is an
 * error, so that the service is polled with backoff.
 */
static int
read_once(struct watch *w)
{
	GBytes *value = NULL;
	uint64_t index;
	int err;

	err = read_key(
	    w, w->key, w->index, w->index > 0 ? WAIT_MS : 0, &value, &index);
	if (err != SOURCE_OK) {
		w->index = 0;
		return err;
	}
	if (is_stopping(w->reader)) {
		g_bytes_unref(value);
		return SOURCE_ESTOPPED;
	}
	if (w->index > 0 && index == w->index) {
		/* The wait ended without a change. */
		err = base_now_ms() - w->sent_at < MIN_WAIT_MS ? SOURCE_EEARLY
							       : SOURCE_OK;
	} else if (index < w->max_index && w->handle == handle_vms) {
		err = SOURCE_EOLDER;
	} else {
		w->max_index = index;
		w->index = index;
		err = w->handle(w, value);
	}
	if (err != SOURCE_OK && err != SOURCE_EEARLY)
		w->index = 0;
	g_bytes_unref(value);
	return err;
}

/* Called as a watch's thread ends; the last thread releases the reader. */
static void
watch_end(struct watch *w)
{
	struct reader *r = w->reader;
	int remaining;

	r->ops->close(w->source);
	g_rand_free(w->rand);
	pthread_mutex_lock(&r->lock);
	remaining = --r->running;
	pthread_mutex_unlock(&r->lock);
	if (remaining > 0)
		return;
	pthread_cond_destroy(&r->changed);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

/* Whether the reader is stopping and must make no more callbacks. */
static int
is_stopping(struct reader *r)
{
	int stopping;

	pthread_mutex_lock(&r->lock);
	stopping = r->stopping;
	pthread_mutex_unlock(&r->lock);
	return stopping;
}

/* Start routine of a watch's thread; detached, so nobody joins it. */
static void *
watch_main(void *arg)
{
	watch_loop(arg);
	watch_end(arg);
	return NULL;
}

/* Reads the watched key until the reader stops, with backoff on errors. */
static void
watch_loop(struct watch *w)
{
	struct reader *r = w->reader;
	int64_t pause;
	int err;

	if (sleep_ms(r, (int64_t)(r->spread_ms * g_rand_double(w->rand))) !=
	    SOURCE_OK)
		return;
	while (wait_active(w) == SOURCE_OK) {
		err = read_once(w);
		if (err == SOURCE_ESTOPPED)
			break;
		record_result(w, err);
		if (!w->first_done &&
		    (err == SOURCE_OK || w->failures >= FIRST_ATTEMPTS)) {
			w->first_done = 1;
			r->ev.first(r->ev.arg, err);
		}
		if (err == SOURCE_OK)
			continue;
		pause = backoff_ms(w->failures, BACKOFF_MS, BACKOFF_MAX_MS,
		    g_rand_double(w->rand));
		if (sleep_ms(r, pause) != SOURCE_OK)
			break;
	}
}

/* Creates the reader and starts its threads. */
struct reader *
reader_start(const struct source_ops *ops, const char *host, int port,
    int reads_per_min, int spread_ms, const struct source_reader_events *ev)
{
	static const struct {
		const char *key;
		int (*handle)(struct watch *, GBytes *);
	} keys[WATCHES] = {
		{ SOURCE_KEY_HEAD, handle_head },
		{ SOURCE_KEY_VMS, handle_vms },
	};
	pthread_condattr_t attr;
	struct reader *r;
	int i;

	r = g_new0(struct reader, 1);
	r->ops = ops;
	r->ev = *ev;
	r->spread_ms = spread_ms;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->changed, &attr);
	pthread_condattr_destroy(&attr);
	read_budget_init(&r->budget, reads_per_min, base_now_ms());
	for (i = 0; i < WATCHES; i++) {
		r->watches[i].key = keys[i].key;
		r->watches[i].handle = keys[i].handle;
		r->watches[i].reader = r;
		r->watches[i].rand = g_rand_new();
		r->watches[i].source = ops->open(host, port);
		r->running++;
	}
	for (i = 0; i < WATCHES; i++) {
		pthread_create(
		    &r->watches[i].thread, NULL, watch_main, &r->watches[i]);
		pthread_detach(r->watches[i].thread);
	}
	return r;
}

/* Makes the reader active or inactive; wakes its threads. */
void
reader_set_active(struct reader *r, int on)
{
	pthread_mutex_lock(&r->lock);
	if (r->active != on) {
		r->active = on;
		pthread_cond_broadcast(&r->changed);
	}
	pthread_mutex_unlock(&r->lock);
}

/* Whether the reader is active; called from any thread. */
int
reader_is_active(struct reader *r)
{
	int on;

	pthread_mutex_lock(&r->lock);
	on = r->active;
	pthread_mutex_unlock(&r->lock);
	return on;
}

/* Result of the last read of the head; called from any thread. */
int
reader_error(struct reader *r)
{
	int err;

	pthread_mutex_lock(&r->lock);
	err = r->error;
	pthread_mutex_unlock(&r->lock);
	return err;
}

/* Stops the threads without waiting for them. */
void
reader_stop(struct reader *r)
{
	pthread_mutex_lock(&r->lock);
	r->stopping = 1;
	pthread_cond_broadcast(&r->changed);
	pthread_mutex_unlock(&r->lock);
}
