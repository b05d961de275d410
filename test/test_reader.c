/*
 * The reader of a fake source: parts that change while they are read, corrupt
 * texts, malformed heads, reads while inactive, the read budget.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "../source/source_int.h"
#include "test.h"

#define WAIT_US	  1000
#define WAITS_MAX 10000 /* of WAIT_US, until a wait fails */

struct source {
	int unused;
};

/* What the fake source answers; protected by lock. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *values; /* key to GBytes */
static uint64_t revision;
static int fail_error;
static int reads;
static GBytes *next_head; /* published as soon as a part was read */

static GBytes *last_text; /* the last text that was delivered */
static atomic_int heads, texts, firsts, lists, closes;
static atomic_int end_waits; /* blocking reads return at once */

static struct source *
fake_open(const char *host, int port)
{
	(void)host;
	(void)port;
	return g_new0(struct source, 1);
}

static void
fake_close(struct source *p)
{
	g_free(p);
	atomic_fetch_add(&closes, 1);
}

static int
fake_read(struct source *p, const char *key, uint64_t index, int wait_ms,
    GBytes **value, uint64_t *new_index)
{
	GBytes *b;
	int i, err = SOURCE_OK;

	(void)p;
	for (i = 0; index > 0 && i < wait_ms / 10 && revision == index &&
		    !atomic_load(&end_waits);
	     i++)
		usleep(10 * WAIT_US);
	pthread_mutex_lock(&lock);
	reads++;
	b = g_hash_table_lookup(values, key);
	*new_index = revision;
	if (fail_error != 0)
		err = fail_error;
	else if (b == NULL)
		err = SOURCE_ENOTFOUND;
	else
		*value = g_bytes_ref(b);
	if (next_head != NULL && g_str_has_prefix(key, SOURCE_KEY_PARTS)) {
		g_hash_table_insert(
		    values, g_strdup(SOURCE_KEY_HEAD), next_head);
		revision++;
		next_head = NULL;
	}
	pthread_mutex_unlock(&lock);
	return err;
}

static const struct source_ops fake = { "fake", fake_open, fake_close,
	fake_read };

static int
on_head(void *arg, const struct manifest *m)
{
	(void)arg;
	(void)m;
	atomic_fetch_add(&heads, 1);
	return 1;
}

static void
on_text(void *arg, const struct manifest *m, GBytes *text)
{
	(void)arg;
	(void)m;
	pthread_mutex_lock(&lock);
	if (last_text != NULL)
		g_bytes_unref(last_text);
	last_text = g_bytes_ref(text);
	pthread_mutex_unlock(&lock);
	atomic_fetch_add(&texts, 1);
}

static void
on_vms(void *arg, const struct json *list, uint64_t index)
{
	(void)arg;
	(void)list;
	(void)index;
	atomic_fetch_add(&lists, 1);
}

static void
on_first(void *arg, int err)
{
	(void)arg;
	(void)err;
	atomic_fetch_add(&firsts, 1);
}

static const struct source_reader_events events = { NULL, on_head, on_text,
	on_vms, on_first };

/* Waits until a count is reached; fails after WAITS_MAX. */
static void
wait_for(atomic_int *count, int n)
{
	int i;

	for (i = 0; i < WAITS_MAX && atomic_load(count) < n; i++)
		usleep(WAIT_US);
	CU_ASSERT(atomic_load(count) >= n);
}

/* Puts a text in two parts, corrupted on request; returns its head. */
static GBytes *
publish(const char *text, uint64_t number, int corrupt)
{
	struct manifest m = { .parts = 2, .bytes = (int)strlen(text) };
	GString *head = g_string_new(NULL);
	size_t half = strlen(text) / 2;
	char *copy = g_strdup(text);
	int i;

	m.version.number = number;
	version_hash(text, strlen(text), m.version.hash);
	if (corrupt)
		copy[half] ^= 1;
	pthread_mutex_lock(&lock);
	for (i = 0; i < 2; i++)
		g_hash_table_insert(values, manifest_part_key(&m, i),
		    i == 0 ? g_bytes_new(copy, half)
			   : g_bytes_new(copy + half, strlen(text) - half));
	pthread_mutex_unlock(&lock);
	g_free(copy);
	manifest_print(&m, head);
	return g_string_free_to_bytes(head);
}

static void
setup(void)
{
	values = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	revision = 1;
	fail_error = reads = 0;
	last_text = NULL;
	atomic_store(&closes, 0);
	atomic_store(&end_waits, 0);
	atomic_store(&heads, 0);
	atomic_store(&texts, 0);
	atomic_store(&firsts, 0);
}

/* Stops the reader and waits until its threads have ended. */
static void
teardown(struct reader *r)
{
	atomic_store(&end_waits, 1);
	reader_stop(r);
	wait_for(&closes, 2);
	usleep(10 * WAIT_US);
	g_hash_table_destroy(values);
	if (last_text != NULL)
		g_bytes_unref(last_text);
}

static int
last_text_is(const char *text)
{
	int same;

	pthread_mutex_lock(&lock);
	same =
	    last_text != NULL && g_bytes_get_size(last_text) == strlen(text) &&
	    memcmp(g_bytes_get_data(last_text, NULL), text, strlen(text)) == 0;
	pthread_mutex_unlock(&lock);
	return same;
}

static void
parts_of_two_sets_never_mix(void)
{
	struct reader *r;
	GBytes *head;

	setup();
	head = publish("the first text", 1, 0);
	g_hash_table_insert(values, g_strdup(SOURCE_KEY_HEAD), head);
	next_head = publish("the second one", 2, 0);
	r = reader_start(&fake, "127.0.0.1", 1, 6000, 0, &events);
	reader_set_active(r, 1);
	wait_for(&texts, 2);
	CU_ASSERT(last_text_is("the second one"));
	teardown(r);
}

static void
corrupt_text_is_not_delivered(void)
{
	struct reader *r;
	GBytes *head;

	setup();
	head = publish("the first text", 1, 1);
	g_hash_table_insert(values, g_strdup(SOURCE_KEY_HEAD), head);
	r = reader_start(&fake, "127.0.0.1", 1, 6000, 0, &events);
	wait_for(&firsts, 2);
	CU_ASSERT_EQUAL(atomic_load(&texts), 0);
	CU_ASSERT_EQUAL(reader_error(r), SOURCE_EMALFORMED);
	teardown(r);
}

static void
inactive_reader_reads_once(void)
{
	struct reader *r;
	int before;

	setup();
	g_hash_table_insert(
	    values, g_strdup(SOURCE_KEY_HEAD), publish("some text", 1, 0));
	g_hash_table_insert(values, g_strdup(SOURCE_KEY_VMS),
	    g_bytes_new_static("{\"vms\": []}", 11));
	r = reader_start(&fake, "127.0.0.1", 1, 6000, 0, &events);
	wait_for(&firsts, 2);
	pthread_mutex_lock(&lock);
	before = reads;
	revision++;
	pthread_mutex_unlock(&lock);
	usleep(200 * WAIT_US);
	CU_ASSERT_EQUAL(reads, before);
	teardown(r);
}

/*
 * Guards against polling at the full read budget, and without an error, if the
 * service returns from blocking reads at once.
 */
static void
early_return_of_wait_is_a_failure(void)
{
	struct reader *r;

	setup();
	g_hash_table_insert(
	    values, g_strdup(SOURCE_KEY_HEAD), publish("some text", 1, 0));
	atomic_store(&end_waits, 1);
	r = reader_start(&fake, "127.0.0.1", 1, 6000, 0, &events);
	reader_set_active(r, 1);
	wait_for(&texts, 1);
	usleep(1000 * WAIT_US);
	CU_ASSERT_EQUAL(reader_error(r), SOURCE_EEARLY);
	/* The budget is 6 reads at once and 100 a second. */
	pthread_mutex_lock(&lock);
	CU_ASSERT(reads < 50);
	pthread_mutex_unlock(&lock);
	teardown(r);
}

static void
malformed_head_is_rejected(void)
{
	static const char *const bad[] = { "", "{", "[]", "{\"version\": 1}",
		"{\"version\": -1, \"hash\": \"00\", \"parts\": 1, \"bytes\": "
		"1}",
		"{\"version\": 1, \"hash\": "
		"\"00000000000000000000000000000000\", \"parts\": 9, "
		"\"bytes\": 1}",
		"{\"version\": 1, \"hash\": "
		"\"00000000000000000000000000000000\", \"parts\": 1, "
		"\"bytes\": 99999999}" };
	struct manifest m;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		CU_ASSERT_EQUAL(manifest_parse(bad[i], strlen(bad[i]), &m),
		    SOURCE_EMALFORMED);
}

static void
budget_and_jitter_are_bounded(void)
{
	struct read_budget b;
	int64_t wait;
	int n = 0;

	read_budget_init(&b, 60, 0);
	while ((wait = read_budget_take(&b, 0)) == 0)
		n++;
	CU_ASSERT(n >= 1 && n <= 10);
	CU_ASSERT(wait >= 900 && wait <= 1100);
	CU_ASSERT_EQUAL(read_budget_take(&b, wait), 0);
	CU_ASSERT_EQUAL(backoff_ms(0, 250, 15000, 0.0), 0);
	CU_ASSERT_EQUAL(backoff_ms(40, 250, 15000, 0.5), 7500);
}

static const struct test tests[] = {
	{ "parts of two sets never mix", parts_of_two_sets_never_mix },
	{ "corrupt text is not delivered", corrupt_text_is_not_delivered },
	{ "inactive reader reads once", inactive_reader_reads_once },
	{ "early return of wait is a failure",
	    early_return_of_wait_is_a_failure },
	{ "malformed head is rejected", malformed_head_is_rejected },
	{ "budget and jitter are bounded", budget_and_jitter_are_bounded },
};

TEST_MAIN("reader", tests)
