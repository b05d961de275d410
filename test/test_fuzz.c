/*
 * Parsers of external input, run on randomly mutated valid texts from a fixed
 * seed.  `make sanitize` runs this under the address and undefined-behaviour
 * sanitizers.
 */
#include "../mesh/mesh.h"
#include "../node/delta.h"
#include "../node/seal.h"
#include "../node/wire.pb-c.h"
#include "../source/source.h"
#include "test.h"

#define SEED	    20261204
#define ROUNDS	    20000
#define EDITS_MAX   6  /* of one text */
#define INSERTS_MAX 64 /* bytes that mutation may add */
#define WIRE_MAX    512

static const char set_text[] =
    "{ /* c */ \"format\": 1, \"rules\": 1, \"data_centres\": { \"a\": "
    "{ \"state\": \"in\" }, \"b\": { \"state\": \"out\" } }, \"services\": "
    "{ \"s\": { \"slots\": 2, \"connections\": 3 } }, \"targets\": { \"t\": "
    "{ \"service\": \"s\", \"data_centre\": \"a\", \"vm\": \"v\", "
    "\"state\": \"in\" } }, \"routes\": { \"r\": { \"method\": \"GET\", "
    "\"path\": \"/p/\", \"service\": \"s\", \"repeatable\": true, "
    "\"deadline_ms\": 100, \"priority\": \"low\", \"from\": \"any\" } } }";

static const char head_text[] =
    "{\"version\": 17, \"hash\": \"00112233445566778899aabbccddeeff\", "
    "\"parent\": \"00112233445566778899aabbccddeeff\", \"parts\": 2, "
    "\"bytes\": 1000}";

static GRand *rng;

/*
 * Returns a copy of a text with some bytes overwritten, deleted, inserted or
 * copied from elsewhere in it, and updates len.  The calling code frees it.
 */
static char *
mutate(const char *text, size_t *len)
{
	char *buf = g_malloc0(*len + INSERTS_MAX + 1);
	size_t n = *len, at, k;
	int i, edits = g_rand_int_range(rng, 1, EDITS_MAX + 1);

	memcpy(buf, text, n);
	for (i = 0; i < edits && n > 1; i++) {
		at = (size_t)g_rand_int_range(rng, 0, (gint32)n);
		switch (g_rand_int_range(rng, 0, 4)) {
		case 0:
			buf[at] = (char)g_rand_int_range(rng, 0, 256);
			break;
		case 1:
			memmove(buf + at, buf + at + 1, n - at - 1);
			n--;
			break;
		case 2:
			if (n < *len + INSERTS_MAX) {
				memmove(buf + at + 1, buf + at, n - at);
				n++;
			}
			break;
		default:
			k = (size_t)g_rand_int_range(rng, 0, (gint32)n);
			buf[at] = buf[k];
			break;
		}
	}
	buf[n] = '\0';
	*len = n;
	return buf;
}

/* The indices of an accepted set are within its tables. */
static void
check_set(const struct set *s)
{
	int i;

	for (i = 0; i < s->nroutes; i++)
		CU_ASSERT(s->routes[i].service >= 0 &&
			  s->routes[i].service < s->nservices);
	for (i = 0; i < s->ntargets; i++)
		CU_ASSERT(s->targets[i].dc >= 0 && s->targets[i].dc < s->ndcs);
}

static void
mutated_sets(void)
{
	struct report *rep;
	struct set *s;
	GString *out;
	char *text;
	size_t len;
	int i, accepted = 0;

	rng = g_rand_new_with_seed(SEED);
	for (i = 0; i < ROUNDS; i++) {
		len = sizeof(set_text) - 1;
		text = mutate(set_text, &len);
		rep = report_new();
		if ((s = set_parse(text, len, rep)) != NULL) {
			accepted++;
			check_set(s);
			set_free(s);
		} else {
			CU_ASSERT(rep->errors > 0);
		}
		out = g_string_new(NULL);
		report_print(rep, "x", out);
		set_edit_state(text, len, "targets", "t", SET_OUT, out, rep);
		g_string_free(out, TRUE);
		report_free(rep);
		g_free(text);
	}
	/* With fewer, the texts would be mutated too much to be validated. */
	CU_ASSERT(accepted > 10);
	g_rand_free(rng);
}

static void
mutated_heads(void)
{
	struct manifest m;
	char *text;
	size_t len;
	int i;

	rng = g_rand_new_with_seed(SEED);
	for (i = 0; i < ROUNDS; i++) {
		len = sizeof(head_text) - 1;
		text = mutate(head_text, &len);
		if (manifest_parse(text, len, &m) == SOURCE_OK)
			CU_ASSERT(m.parts > 0 && m.parts <= SOURCE_PARTS_MAX);
		g_free(text);
	}
	g_rand_free(rng);
}

static void
mutated_messages(void)
{
	Wire__Envelope env = WIRE__ENVELOPE__INIT, *e;
	Wire__Fence f = WIRE__FENCE__INIT;
	Wire__Datagram d = WIRE__DATAGRAM__INIT, *p;
	uint8_t packed[WIRE_MAX];
	char *buf;
	size_t len, flen, dlen;
	int i;

	f.id = "0195d1c0-0000-7000-8000-000000000000";
	f.target = "t";
	env.body_case = WIRE__ENVELOPE__BODY_FENCE;
	env.fence = &f;
	d.from = "vm-01";
	d.address = "127.0.0.1:7400";
	rng = g_rand_new_with_seed(SEED);
	flen = wire__envelope__get_packed_size(&env);
	dlen = wire__datagram__get_packed_size(&d);
	for (i = 0; i < ROUNDS; i++) {
		wire__envelope__pack(&env, packed);
		len = flen;
		buf = mutate((char *)packed, &len);
		e = wire__envelope__unpack(NULL, len, (uint8_t *)buf);
		if (e != NULL)
			wire__envelope__free_unpacked(e, NULL);
		g_free(buf);
		wire__datagram__pack(&d, packed);
		len = dlen;
		buf = mutate((char *)packed, &len);
		p = wire__datagram__unpack(NULL, len, (uint8_t *)buf);
		if (p != NULL)
			wire__datagram__free_unpacked(p, NULL);
		g_free(buf);
	}
	g_rand_free(rng);
}

/* A mutated delta gives another text or an error, but does not crash. */
static void
mutated_deltas(void)
{
	GBytes *base = g_bytes_new_static(set_text, sizeof(set_text) - 1);
	GBytes *text = g_bytes_new_static(head_text, sizeof(head_text) - 1);
	GBytes *delta = delta_make(base, text), *payload, *out;
	size_t len;
	char *buf;
	int i;

	rng = g_rand_new_with_seed(SEED);
	for (i = 0; i < ROUNDS; i++) {
		len = g_bytes_get_size(delta);
		buf = mutate(g_bytes_get_data(delta, NULL), &len);
		payload = g_bytes_new_take(buf, len);
		out = delta_apply(base, payload, sizeof(head_text) - 1);
		if (out != NULL)
			g_bytes_unref(out);
		g_bytes_unref(payload);
	}
	out = delta_apply(base, delta, sizeof(head_text) - 1);
	CU_ASSERT(out != NULL && g_bytes_equal(out, text));
	g_bytes_unref(out);
	g_bytes_unref(delta);
	g_bytes_unref(base);
	g_bytes_unref(text);
	g_rand_free(rng);
}

static const struct test tests[] = {
	{ "mutated sets", mutated_sets },
	{ "mutated heads", mutated_heads },
	{ "mutated messages", mutated_messages },
	{ "mutated deltas", mutated_deltas },
};

TEST_MAIN("fuzz", tests)
