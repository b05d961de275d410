/* The stand-in for the store: its return from a copy, and the era it sends. */
#include <unistd.h>

#include "../standin/store.h"
#include "rig.h"
#include "test.h"

#define PORT_BASE  10000
#define PORT_SPAN  20000
#define PAGE	   2
#define TIMEOUT_MS 2000
#define STATUS_CUT 0 /* the connection ended without an answer */
#define PENDING	   (-1)

/* A store and two clients of it. */
struct fixture {
	struct event_base *base;
	struct store *store;
	struct client {
		struct fixture *fixture;
		struct http_client *http;
		int status;   /* of the last answer, or one of the above */
		char era[32]; /* the header, or "" */
		GString *body;
	} clients[2];
};

static void fixture_start(struct fixture *);
static void fixture_stop(struct fixture *);
static void on_answer(void *, int, const struct http_message *);
static void send_get(struct fixture *, int, const char *);
static void await_answer(struct fixture *, int);
static void get(struct fixture *, int, const char *);
static int has(const struct fixture *, int, const char *);

static void
fixture_start(struct fixture *w)
{
	char addr[ADDRESS_MAX];
	int i;

	memset(w, 0, sizeof(*w));
	w->base = event_base_new();
	g_snprintf(addr, sizeof(addr), "127.0.0.79:%d",
	    PORT_BASE + (int)(getpid() % PORT_SPAN));
	w->store = store_new(w->base, addr, PAGE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w->store);
	for (i = 0; i < 2; i++) {
		w->clients[i].fixture = w;
		w->clients[i].http = http_client_new(w->base, addr);
		w->clients[i].body = g_string_new(NULL);
	}
}

static void
fixture_stop(struct fixture *w)
{
	int i;

	for (i = 0; i < 2; i++) {
		http_client_free(w->clients[i].http);
		g_string_free(w->clients[i].body, TRUE);
	}
	store_free(w->store);
	event_base_free(w->base);
}

static void
on_answer(void *arg, int err, const struct http_message *m)
{
	struct client *c = arg;
	const char *era = m != NULL ? http_find(m, "Store-Era") : NULL;

	c->status = err == HTTP_OK && m != NULL ? m->status : STATUS_CUT;
	g_strlcpy(c->era, era != NULL ? era : "", sizeof(c->era));
	g_string_truncate(c->body, 0);
	if (m != NULL)
		g_string_append_len(
		    c->body, (const char *)m->body->data, m->body->len);
}

/* Sends a request without waiting for its answer. */
static void
send_get(struct fixture *w, int client, const char *path)
{
	w->clients[client].status = PENDING;
	http_client_get(w->clients[client].http, path, TIMEOUT_MS, on_answer,
	    &w->clients[client]);
	rig_loop(w->base, 50);
}

static void
await_answer(struct fixture *w, int client)
{
	int64_t deadline = base_now_ms() + 2 * TIMEOUT_MS;

	while (w->clients[client].status == PENDING && base_now_ms() < deadline)
		rig_loop(w->base, 10);
}

static void
get(struct fixture *w, int client, const char *path)
{
	send_get(w, client, path);
	await_answer(w, client);
}

/* Whether the body of a client's last answer contains a text. */
static int
has(const struct fixture *w, int client, const char *text)
{
	return strstr(w->clients[client].body->str, text) != NULL;
}

/* Answers of every status have the era, which is 1 before a restore. */
static void
every_answer_has_the_era(void)
{
	static const struct {
		const char *path;
		enum store_fault fault;
		int status;
	} cases[] = {
		{ "/kv-range?Prefix=", STORE_NO_FAULT, 200 },
		{ "/kv-watch?Prefix=&after=0&WaitMs=0", STORE_NO_FAULT, 410 },
		{ "/other", STORE_NO_FAULT, 404 },
		{ "/kv-range?Prefix=", STORE_LIMIT, 429 },
		{ "/kv-range?Prefix=", STORE_BUSY, 503 },
	};
	struct fixture w;
	size_t i;

	fixture_start(&w);
	store_put(w.store, "a", "1");
	store_compact(w.store);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		store_set_fault(w.store, cases[i].fault);
		get(&w, 0, cases[i].path);
		CU_ASSERT_EQUAL(w.clients[0].status, cases[i].status);
		CU_ASSERT_STRING_EQUAL(w.clients[0].era, "1");
	}
	fixture_stop(&w);
}

/* Items, removals and the revision go back; the next change has it again. */
static void
restore_takes_back_later_changes(void)
{
	struct fixture w;

	fixture_start(&w);
	store_put(w.store, "kept", "1");    /* revision 2 */
	store_put(w.store, "removed", "1"); /* 3 */
	store_save(w.store);
	store_put(w.store, "kept", "2");  /* 4 */
	store_put(w.store, "added", "1"); /* 5 */
	store_remove(w.store, "removed"); /* 6 */
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT(has(&w, 0, "\"AsOf\":6"));

	store_restore(w.store);
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "2");
	CU_ASSERT(has(&w, 0, "\"kept\",\"Revision\":2"));
	CU_ASSERT(has(&w, 0, "\"removed\",\"Revision\":3"));
	CU_ASSERT(!has(&w, 0, "\"added\""));
	CU_ASSERT(has(&w, 0, "\"AsOf\":3"));
	store_put(w.store, "kept", "3");
	get(&w, 0, "/kv-watch?Prefix=&after=3&WaitMs=0");
	CU_ASSERT(has(&w, 0, "\"kept\",\"Revision\":4"));
	CU_ASSERT(has(&w, 0, "\"AsOf\":4"));
	CU_ASSERT(!has(&w, 0, "\"added\""));

	/* The same copy serves again, and the era rises once more. */
	store_restore(w.store);
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "3");
	CU_ASSERT(has(&w, 0, "\"AsOf\":3"));
	fixture_stop(&w);
}

/* An open watch is cut; one from a lost revision is answered 410 at once. */
static void
restore_cuts_watches(void)
{
	struct fixture w;

	fixture_start(&w);
	store_put(w.store, "a", "1"); /* revision 2 */
	store_save(w.store);
	store_put(w.store, "a", "2"); /* 3 */
	send_get(&w, 0, "/kv-watch?Prefix=&after=3&WaitMs=1500");
	CU_ASSERT_EQUAL(w.clients[0].status, PENDING);
	store_restore(w.store);
	await_answer(&w, 0);
	CU_ASSERT_EQUAL(w.clients[0].status, STATUS_CUT);
	get(&w, 0, "/kv-watch?Prefix=&after=3&WaitMs=1500");
	CU_ASSERT_EQUAL(w.clients[0].status, 410);
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "2");
	/* Once that revision was given out again, a watch from it waits. */
	store_put(w.store, "a", "3");
	send_get(&w, 0, "/kv-watch?Prefix=&after=3&WaitMs=300");
	CU_ASSERT_EQUAL(w.clients[0].status, PENDING);
	await_answer(&w, 0);
	CU_ASSERT_EQUAL(w.clients[0].status, 200);
	fixture_stop(&w);
}

/* A test chooses the era, another text, or no header. */
static void
the_header_can_be_chosen(void)
{
	struct fixture w;

	fixture_start(&w);
	store_set_era(w.store, 40);
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "40");
	store_set_era_text(w.store, "no number");
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "no number");
	store_set_era_text(w.store, "");
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "");
	store_save(w.store);
	store_restore(w.store);
	store_set_era_text(w.store, NULL);
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "41");
	fixture_stop(&w);
}

/*
 * A delayed answer arrives with the items and the era of the time when it was
 * written, after another client has seen the next era.  A client that has
 * given up gets none.
 */
static void
an_answer_of_the_old_era_arrives_late(void)
{
	struct fixture w;

	fixture_start(&w);
	store_save(w.store);
	store_put(w.store, "servers/a", "1");
	store_delay_answers(w.store, "servers/");
	send_get(&w, 0, "/kv-range?Prefix=servers/");
	CU_ASSERT_EQUAL(store_delayed(w.store), 1);
	store_restore(w.store);
	get(&w, 1, "/kv-range?Prefix=op/");
	CU_ASSERT_STRING_EQUAL(w.clients[1].era, "2");
	CU_ASSERT_EQUAL(w.clients[0].status, PENDING);
	store_send_delayed(w.store);
	await_answer(&w, 0);
	CU_ASSERT_EQUAL(w.clients[0].status, 200);
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "1");
	CU_ASSERT(has(&w, 0, "\"servers/a\""));

	store_delay_answers(w.store, "servers/");
	get(&w, 0, "/kv-range?Prefix=servers/");
	CU_ASSERT_EQUAL(w.clients[0].status, STATUS_CUT);
	rig_loop(w.base, 50);
	CU_ASSERT_EQUAL(store_delayed(w.store), 0);
	store_send_delayed(w.store);
	get(&w, 0, "/kv-range?Prefix=servers/");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "2");
	fixture_stop(&w);
}

/* Two pages of one list have different eras and items. */
static void
restore_between_two_pages(void)
{
	struct fixture w;

	fixture_start(&w);
	store_put(w.store, "c", "1");
	store_put(w.store, "d", "1");
	store_save(w.store);
	store_put(w.store, "a", "1");
	store_put(w.store, "b", "1");
	store_put(w.store, "e", "1");
	store_restore_after_page(w.store);
	get(&w, 0, "/kv-range?Prefix=");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "1");
	CU_ASSERT(has(&w, 0, "\"a\""));
	CU_ASSERT(has(&w, 0, "\"b\""));
	CU_ASSERT(has(&w, 0, "\"HasMore\":true"));
	get(&w, 0, "/kv-range?Prefix=&after=b");
	CU_ASSERT_STRING_EQUAL(w.clients[0].era, "2");
	CU_ASSERT(has(&w, 0, "\"c\""));
	CU_ASSERT(has(&w, 0, "\"d\""));
	CU_ASSERT(has(&w, 0, "\"HasMore\":false"));
	fixture_stop(&w);
}

static const struct test tests[] = {
	{ "every answer has the era", every_answer_has_the_era },
	{ "restore takes back later changes",
	    restore_takes_back_later_changes },
	{ "restore cuts watches", restore_cuts_watches },
	{ "the header can be chosen", the_header_can_be_chosen },
	{ "an answer of the old era arrives late",
	    an_answer_of_the_old_era_arrives_late },
	{ "restore between two pages", restore_between_two_pages },
};

TEST_MAIN("store", tests)
