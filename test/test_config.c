/*
 * The configuration store: whole or not at all, only newer, under readers
 * that never see a route without its service.  Run under thread sanitizer.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "../node/config.h"
#include "../node/delta.h"
#include "test.h"

#define READERS	 4
#define VERSIONS 300
#define WAIT_US	 1000
#define PATIENCE 10000 /* waits, until a decision counts as lost */

static struct config_store *store;
static atomic_int decisions;
static atomic_int stop;
static atomic_int broken;

static void
decided(void *arg)
{
	(void)arg;
	atomic_fetch_add(&decisions, 1);
}

/* A set whose names and number of routes follow from a number. */
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

/* Waits until the store has decided n times in all. */
static void
wait_decisions(int n)
{
	int i;

	for (i = 0; i < PATIENCE && atomic_load(&decisions) < n; i++)
		usleep(WAIT_US);
	CU_ASSERT_EQUAL(atomic_load(&decisions), n);
}

static void
begin(void)
{
	atomic_store(&decisions, 0);
	store = config_store_new(0, decided, NULL);
}

static uint64_t
held(void)
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
only_newer_whole_and_checked(void)
{
	GBytes *a = make_text(1), *b = make_text(2);
	GBytes *bad = g_bytes_new_static("{\"format\": 1}", 13);
	struct version wrong = version_of(9, a);

	begin();
	submit(2, a);
	CU_ASSERT_EQUAL(held(), 2);
	submit(1, b);
	CU_ASSERT_EQUAL(held(), 2);
	submit(3, bad);
	CU_ASSERT_EQUAL(held(), 2);
	/* A hash that is not the text's. */
	config_submit(store, &wrong, NULL, b, "test");
	wait_decisions(4);
	CU_ASSERT_EQUAL(held(), 2);
	submit(4, b);
	CU_ASSERT_EQUAL(held(), 4);
	config_store_free(store);
	g_bytes_unref(a);
	g_bytes_unref(b);
	g_bytes_unref(bad);
}

/* A difference needs its base; without it nothing changes. */
static void
difference_needs_its_base(void)
{
	GBytes *a = make_text(1), *b = make_text(2), *c = make_text(3);
	struct config_delta d = { .version = version_of(3, c),
		.has_base = 1,
		.length = g_bytes_get_size(c),
		.payload = delta_make(b, c) };
	struct version vb = version_of(2, b);

	memcpy(d.base, vb.hash, VERSION_HASH_LEN);
	begin();
	submit(1, a);
	config_submit_delta(store, &d, "test");
	wait_decisions(2);
	CU_ASSERT_EQUAL(held(), 1);
	submit(2, b);
	config_submit_delta(store, &d, "test");
	wait_decisions(4);
	CU_ASSERT_EQUAL(held(), 3);
	config_store_free(store);
	g_bytes_unref(d.payload);
	g_bytes_unref(a);
	g_bytes_unref(b);
	g_bytes_unref(c);
}

/* Reads without pause; counts whatever does not fit together. */
static void *
reader(void *arg)
{
	const struct config *c;
	const struct set_route *r;
	uint64_t last = 0;
	int i;

	(void)arg;
	while (!atomic_load(&stop)) {
		config_lock();
		c = config_get(store);
		for (i = 0; c != NULL && i < c->set->nroutes; i++) {
			r = &c->set->routes[i];
			if (strcmp(c->set->services[r->service].name,
				r->service_name) != 0)
				atomic_fetch_add(&broken, 1);
		}
		if (c != NULL && c->version.number < last)
			atomic_fetch_add(&broken, 1);
		if (c != NULL)
			last = c->version.number;
		config_unlock();
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

	begin();
	atomic_store(&stop, 0);
	for (i = 0; i < READERS; i++)
		pthread_create(&t[i], NULL, reader, NULL);
	for (i = 1; i <= VERSIONS; i++) {
		/* Every third comes out of order. */
		text = make_text(i);
		v = version_of((uint64_t)(i % 3 == 0 ? i - 2 : i), text);
		config_submit(store, &v, NULL, text, "test");
		g_bytes_unref(text);
	}
	wait_decisions(VERSIONS);
	atomic_store(&stop, 1);
	for (i = 0; i < READERS; i++)
		pthread_join(t[i], NULL);
	CU_ASSERT_EQUAL(atomic_load(&broken), 0);
	CU_ASSERT_EQUAL(held(), VERSIONS - 1);
	config_store_free(store);
}

static const struct test tests[] = {
	{ "only newer, whole and checked", only_newer_whole_and_checked },
	{ "difference needs its base", difference_needs_its_base },
	{ "readers see whole sets and never go back",
	    readers_see_whole_sets_and_never_go_back },
};

TEST_MAIN("config", tests)
