/*
 * Tests of the configuration store: a version is activated as a whole or not
 * at all and only if it is newer, and concurrent readers never see a set whose
 * routes and services belong to different versions.  Also run under
 * ThreadSanitizer.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "../node/config.h"
#include "../node/delta.h"
#include "test.h"

#define READERS	  4
#define VERSIONS  300
#define WAIT_US	  1000
#define WAITS_MAX 10000 /* waits for a decision until the test fails */

static struct config_store *store;
static atomic_int decisions;
static atomic_int stop;
static atomic_int inconsistent;

static void
on_decision(void *arg)
{
	(void)arg;
	atomic_fetch_add(&decisions, 1);
}

/* Makes the text of a set whose names and number of routes depend on n. */
static GBytes *
make_text(int n)
{
	GString *s = g_string_new(NULL);
	int i;

	g_string_append_printf(s,
	    "{\"format\": 1, \"data_centres\": {\"dc\": {\"state\": \"in\"}}, "
	    "\"services\": {\"s%d\": {\"slots\": 1, \"connections\": 1}}, "
	    "\"targets\": {\"t%d\": {\"service\": \"s%d\", "
	    "\"data_centre\": \"dc\", \"vm\": \"v%d\"}}, \"routes\": {",
	    n, n, n, n);
	for (i = 0; i <= n % 7; i++)
		g_string_append_printf(s,
		    "%s\"r%d\": {\"method\": \"GET\", \"path\": \"/%d\", "
		    "\"service\": \"s%d\", \"repeatable\": true, "
		    "\"deadline_ms\": 1000}",
		    i > 0 ? ", " : "", i, i, n);
	g_string_append(s, "}}");
	return g_string_free_to_bytes(s);
}

static struct version
version_of(uint64_t number, GBytes *text)
{
	struct version v = { .number = number };

	version_hash(
	    g_bytes_get_data(text, NULL), g_bytes_get_size(text), v.hash);
	return v;
}

/* Waits until the store has processed n submissions since the start. */
static void
wait_decisions(int n)
{
	int i;

	for (i = 0; i < WAITS_MAX && atomic_load(&decisions) < n; i++)
		usleep(WAIT_US);
	CU_ASSERT_EQUAL(atomic_load(&decisions), n);
}

static void
start_store(void)
{
	atomic_store(&decisions, 0);
	store = config_store_new(0, on_decision, NULL);
}

static uint64_t
held_number(void)
{
	struct version_state v;

	config_versions(store, &v);
	return v.held.number;
}

/* Submits a text under a number, and waits for the decision. */
static void
submit(uint64_t number, GBytes *text)
{
	struct version v = version_of(number, text);
	int before = atomic_load(&decisions);

	config_submit(store, &v, NULL, text, "test");
	wait_decisions(before + 1);
}

static void
only_newer_whole_and_valid_are_activated(void)
{
	GBytes *a = make_text(1), *b = make_text(2);
	GBytes *bad = g_bytes_new_static("{\"format\": 1}", 13);
	struct version mismatched = version_of(9, a);

	start_store();
	submit(2, a);
	CU_ASSERT_EQUAL(held_number(), 2);
	submit(1, b);
	CU_ASSERT_EQUAL(held_number(), 2);
	submit(3, bad);
	CU_ASSERT_EQUAL(held_number(), 2);
	/* The version's hash is that of another text. */
	config_submit(store, &mismatched, NULL, b, "test");
	wait_decisions(4);
	CU_ASSERT_EQUAL(held_number(), 2);
	submit(4, b);
	CU_ASSERT_EQUAL(held_number(), 4);
	config_store_free(store);
	g_bytes_unref(a);
	g_bytes_unref(b);
	g_bytes_unref(bad);
}

/* A delta is applied only if its base is held; else nothing changes. */
static void
delta_needs_its_base(void)
{
	GBytes *a = make_text(1), *b = make_text(2), *c = make_text(3);
	struct config_delta d = { .version = version_of(3, c),
		.has_base = 1,
		.length = g_bytes_get_size(c),
		.payload = delta_make(b, c) };
	struct version vb = version_of(2, b);

	memcpy(d.base, vb.hash, VERSION_HASH_LEN);
	start_store();
	submit(1, a);
	config_submit_delta(store, &d, "test");
	wait_decisions(2);
	CU_ASSERT_EQUAL(held_number(), 1);
	submit(2, b);
	config_submit_delta(store, &d, "test");
	wait_decisions(4);
	CU_ASSERT_EQUAL(held_number(), 3);
	config_store_free(store);
	g_bytes_unref(d.payload);
	g_bytes_unref(a);
	g_bytes_unref(b);
	g_bytes_unref(c);
}

/*
 * Reads the active configuration in a loop.  Counts routes that do not match
 * their service, and versions that go back.
 */
static void *
reader(void *arg)
{
	const struct config *c;
	const struct set_route *r;
	uint64_t last = 0;
	int i;

	(void)arg;
	while (!atomic_load(&stop)) {
		config_read_lock();
		c = config_get(store);
		for (i = 0; c != NULL && i < c->set->nroutes; i++) {
			r = &c->set->routes[i];
			if (strcmp(c->set->services[r->service].name,
				r->service_name) != 0)
				atomic_fetch_add(&inconsistent, 1);
		}
		if (c != NULL && c->version.number < last)
			atomic_fetch_add(&inconsistent, 1);
		if (c != NULL)
			last = c->version.number;
		config_read_unlock();
	}
	return NULL;
}

static void
readers_see_whole_sets_and_never_go_back(void)
{
	pthread_t t[READERS];
	struct version v;
	GBytes *text;
	int i;

	start_store();
	atomic_store(&stop, 0);
	for (i = 0; i < READERS; i++)
		pthread_create(&t[i], NULL, reader, NULL);
	for (i = 1; i <= VERSIONS; i++) {
		/* Every third is submitted under an older number. */
		text = make_text(i);
		v = version_of((uint64_t)(i % 3 == 0 ? i - 2 : i), text);
		config_submit(store, &v, NULL, text, "test");
		g_bytes_unref(text);
	}
	wait_decisions(VERSIONS);
	atomic_store(&stop, 1);
	for (i = 0; i < READERS; i++)
		pthread_join(t[i], NULL);
	CU_ASSERT_EQUAL(atomic_load(&inconsistent), 0);
	CU_ASSERT_EQUAL(held_number(), VERSIONS - 1);
	config_store_free(store);
}

static const struct test tests[] = {
	{ "only newer, whole and valid versions are activated",
	    only_newer_whole_and_valid_are_activated },
	{ "delta needs its base", delta_needs_its_base },
	{ "readers see whole sets and never go back",
	    readers_see_whole_sets_and_never_go_back },
};

TEST_MAIN("config", tests)
