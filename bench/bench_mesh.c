/*
 * Measures what a node holds and computes by itself: the check of a set, the
 * size of differences, the memory of ids, the cost of decisions.  One JSON
 * line on standard output: bench_mesh SET.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "../mesh/mesh.h"
#include "../node/delta.h"
#include "../node/seal.h"

#define CHECKS	  20
#define IDS	  200000
#define DECISIONS 200000
#define SEALS	  20000
#define MANY	  50 /* targets changed in the larger difference */

static int by_value(const void *, const void *);
static int64_t check_us(const char *, size_t);
static GBytes *flip(GBytes *, int);
static double id_bytes(void);
static double decision_us(void);
static double seal_us(void);

/* Orders two times. */
static int
by_value(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Median time of a whole check. */
static int64_t
check_us(const char *text, size_t len)
{
	int64_t us[CHECKS], began;
	struct report *rep;
	int i;

	for (i = 0; i < CHECKS; i++) {
		rep = report_new();
		began = base_now_us();
		set_free(set_parse(text, len, rep));
		us[i] = base_now_us() - began;
		report_free(rep);
	}
	qsort(us, CHECKS, sizeof(us[0]), by_value);
	return us[CHECKS / 2];
}

/* The text with the first n targets out. */
static GBytes *
flip(GBytes *text, int n)
{
	struct report *rep = report_new();
	GBytes *cur = g_bytes_ref(text), *next;
	GString *out;
	char name[MESH_NAME_MAX];
	gsize len;
	const char *data;
	int i;

	for (i = 0; i < n; i++) {
		data = g_bytes_get_data(cur, &len);
		out = g_string_new(NULL);
		snprintf(name, sizeof(name), "target-%04d", i);
		set_edit_state(data, len, "targets", name, SET_OUT, out, rep);
		next = g_string_free_to_bytes(out);
		g_bytes_unref(cur);
		cur = next;
	}
	report_free(rep);
	return cur;
}

/* Bytes of the heap that one remembered id takes. */
static double
id_bytes(void)
{
	struct guard *g = guard_new(1, 0, 0);
	struct guard_request r = { .once = 1, .fresh = 1 };
	size_t before = mallinfo2().uordblks;
	int i;

	guard_set_out(g, 1);
	for (i = 0; i < IDS; i++) {
		snprintf(r.id, sizeof(r.id), "%032x", i);
		r.deadline = 1000;
		guard_admit(g, &r, 0, 100000);
	}
	return (double)(mallinfo2().uordblks - before) / guard_remembered(g);
}

/* Time of one admission, handing out and return. */
static double
decision_us(void)
{
	struct guard *g = guard_new(12, 0, 0);
	struct guard_request r = { .once = 0, .deadline = 1000000 };
	enum guard_verdict v;
	int64_t began = base_now_us();
	int i;

	for (i = 0; i < DECISIONS; i++) {
		guard_admit(g, &r, i / 100, 100000);
		if (guard_next(g, &r, &v, i / 100))
			guard_done(g, &r, EXCHANGE_OK, 2000, i / 100);
	}
	return (double)(base_now_us() - began) / DECISIONS;
}

/* Time to seal and open a datagram of 100 bytes. */
static double
seal_us(void)
{
	static const unsigned char key[NODE_KEY_LEN];
	unsigned char plain[SEAL_MAX] = { 0 }, out[SEAL_MAX];
	int64_t began = base_now_us();
	int i, n;

	for (i = 0; i < SEALS; i++) {
		n = seal(key, "127.0.0.1:1", plain, 100, out);
		unseal(key, "127.0.0.1:1", out, (size_t)n, plain);
	}
	return (double)(base_now_us() - began) / SEALS;
}

/* Reads the set and measures one thing after the other. */
int
main(int argc, char **argv)
{
	GBytes *text, *one, *many, *d_one, *d_many, *d_full;
	char *buf;
	size_t len;
	int64_t began, one_us;

	if (argc != 2 ||
	    base_read_file(argv[1], BASE_SET_MAX, &buf, &len) != BASE_OK) {
		fprintf(stderr, "usage: bench_mesh SET\n");
		return 2;
	}
	text = g_bytes_new_take(buf, len);
	one = flip(text, 1);
	many = flip(text, MANY);
	began = base_now_us();
	d_one = delta_make(text, one);
	one_us = base_now_us() - began;
	d_many = delta_make(text, many);
	d_full = delta_make(NULL, text);
	printf("{\"bench\": \"mesh\", \"set_bytes\": %zu, "
	       "\"check_us_p50\": %" PRId64 ", \"delta_one_bytes\": %zu, "
	       "\"delta_one_us\": %" PRId64 ", \"delta_%d_bytes\": %zu, "
	       "\"full_bytes\": %zu, \"bytes_per_id\": %.1f, "
	       "\"decision_us\": %.2f, \"seal_open_us\": %.2f}\n",
	    len, check_us(buf, len), g_bytes_get_size(d_one), one_us, MANY,
	    g_bytes_get_size(d_many), g_bytes_get_size(d_full), id_bytes(),
	    decision_us(), seal_us());
	return 0;
}
