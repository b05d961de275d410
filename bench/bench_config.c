/*
 * Measures what a version of a large configuration costs a node of the users'
 * platform, by steps of its way from the store to the routes in force.  Prints
 * one JSON line for each number of routes, with the least times of RUNS in
 * microseconds: bench_config ROUTES...
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../proxy/link_int.h"
#include "../side/follow_int.h"

#define RUNS 15

enum step {
	STEP_PAGE,	     /* parse the store's answer */
	STEP_PACK,	     /* write an update for subscribers */
	STEP_COMPRESS,	     /* compress it with the last one as base */
	STEP_COMPRESS_WHOLE, /* the same for one that has no base */
	STEP_DECOMPRESS,     /* at a subscriber */
	STEP_UNPACK,	     /* the same */
	STEP_CHANGE,  /* decode: one route differs from the version before */
	STEP_WHOLE,   /* decode, without a version before */
	STEP_STAMP,   /* order it after a restore of the store */
	STEP_RELEASE, /* release a version of which nothing is shared */
	STEP_COUNT
};

static const char *const step_names[] = {
	[STEP_PAGE] = "page",
	[STEP_PACK] = "pack",
	[STEP_COMPRESS] = "compress",
	[STEP_COMPRESS_WHOLE] = "compress_whole",
	[STEP_DECOMPRESS] = "decompress",
	[STEP_UNPACK] = "unpack",
	[STEP_CHANGE] = "decode_change",
	[STEP_WHOLE] = "decode_whole",
	[STEP_STAMP] = "stamp",
	[STEP_RELEASE] = "release",
};

static int64_t times[STEP_COUNT], began;

static void start(void);
static void stop(enum step);
static char *make_config(int, int);
static char *make_page(const char *);
static GString *pack(const struct platform_page *);
static void measure(int);

/* Starts a measurement. */
static void
start(void)
{
	began = base_now_us();
}

/* Ends it, and keeps the least time of a step. */
static void
stop(enum step s)
{
	int64_t us = base_now_us() - began;

	if (times[s] < 0 || us < times[s])
		times[s] = us;
}

/* A configuration of three services; version 2 differs in one route. */
static char *
make_config(int routes, int version)
{
	GString *out = g_string_new(NULL);
	int i;

	g_string_printf(out,
	    "{\"Version\":%d,\"Services\":[{\"Name\":\"cuba95c\"},{\"Name\":"
	    "\"dahu38a\"},{\"Name\":\"govo32b\"}],\"VirtualHosts\":[{\"Host\":"
	    "\"jeka82.example\",\"PathRules\":[",
	    version);
	for (i = 0; i < routes; i++)
		g_string_append_printf(out,
		    "%s{\"Name\":\"r-%07x\",\"Prefix\":\"/%08x/\",\"Kind\":"
		    "\"idempotent\",\"TimeoutMs\":%d,\"TargetLatencyMs\":1000,"
		    "\"Priority\":0,\"Service\":\"dahu38a\",\"Attempts\":2}",
		    i > 0 ? "," : "", i * 1237, i * 7919,
		    version == 2 && i == routes / 2 ? 2000 : 1000);
	g_string_append(out, "]}]}");
	return g_string_free(out, FALSE);
}

/* The store's answer to a watch. */
static char *
make_page(const char *config)
{
	char *value = g_base64_encode((const guchar *)config, strlen(config)),
	     *page;

	page = g_strdup_printf("{\"events\":[{\"Key\":\"op/config\",\"Value\":"
			       "\"%s\",\"Revision\":9}],\"AsOf\":9}",
	    value);
	g_free(value);
	return page;
}

/* The update that a page leads to. */
static GString *
pack(const struct platform_page *p)
{
	GPtrArray *items = g_ptr_array_new();
	GString *out = g_string_new(NULL);

	g_ptr_array_add(
	    items, &g_array_index(p->items, struct platform_item, 0));
	state_pack(items, p->as_of, out);
	g_ptr_array_free(items, TRUE);
	return out;
}

/* Takes all steps for a change of one route. */
static void
measure(int routes)
{
	char *first = make_config(routes, 1), *second = make_config(routes, 2);
	char *first_page = make_page(first), *page_text = make_page(second);
	struct view_config *before, *c;
	struct platform_page page, told;
	struct report *rep = report_new();
	struct platform_decode *d;
	GBytes *value, *base, *delta, *full;
	GString *text;

	platform_page_parse(first_page, strlen(first_page), &page);
	text = pack(&page);
	base = g_string_free_to_bytes(text);
	value = g_array_index(page.items, struct platform_item, 0).value;
	start();
	before = platform_config_decode(value, rep);
	stop(STEP_WHOLE);
	platform_page_clear(&page);
	start();
	platform_page_parse(page_text, strlen(page_text), &page);
	stop(STEP_PAGE);
	start();
	text = pack(&page);
	stop(STEP_PACK);
	start();
	delta = feed_compress(text->str, text->len, base);
	stop(STEP_COMPRESS);
	start();
	full = feed_compress(text->str, text->len, NULL);
	stop(STEP_COMPRESS_WHOLE);
	g_bytes_unref(full);
	start();
	full = feed_decompress(g_bytes_get_data(delta, NULL),
	    g_bytes_get_size(delta), text->len, base);
	stop(STEP_DECOMPRESS);
	start();
	state_unpack(
	    g_bytes_get_data(full, NULL), g_bytes_get_size(full), &told);
	stop(STEP_UNPACK);
	value = g_array_index(told.items, struct platform_item, 0).value;
	start();
	d = platform_decode_start(value, before, rep);
	platform_decode_step(d, SIZE_MAX);
	c = platform_decode_end(d);
	stop(STEP_CHANGE);
	view_config_unref(c);
	start();
	platform_item_stamp(
	    &g_array_index(told.items, struct platform_item, 0));
	stop(STEP_STAMP);
	start();
	view_config_unref(before);
	stop(STEP_RELEASE);
	g_bytes_unref(full);
	g_bytes_unref(delta);
	g_bytes_unref(base);
	g_string_free(text, TRUE);
	platform_page_clear(&page);
	platform_page_clear(&told);
	report_free(rep);
	g_free(first);
	g_free(second);
	g_free(first_page);
	g_free(page_text);
}

int
main(int argc, char **argv)
{
	int i, k, s;

	for (i = 1; i < argc; i++) {
		for (s = 0; s < STEP_COUNT; s++)
			times[s] = -1;
		for (k = 0; k < RUNS; k++)
			measure(atoi(argv[i]));
		printf("{\"bench\":\"config\",\"routes\":%d", atoi(argv[i]));
		for (s = 0; s < STEP_COUNT; s++)
			printf(",\"%s_us\":%d", step_names[s], (int)times[s]);
		printf("}\n");
	}
	return 0;
}
