/*
 * teaselctl why: reconstructs the course of one request from the logs of
 * nodes.  The lines with the request's id are sorted by time; the last decision
 * of the entry gives the cause of the outcome.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../mesh/call.h"
#include "ctl.h"

#define LINE_MAX_BYTES 4096

/* A log line with the request's id; it owns its strings. */
struct line {
	char *origin; /* prefix before the record, otherwise the file */
	char *time;
	char *event;
	char *text; /* the record from "event=" on */
	int order;  /* number in order of reading, for equal times */
};

/* What the logs contain about the request. */
struct course {
	const char *id;
	GPtrArray *lines; /* of struct line, owned */
	int ndropped;	  /* lines that the nodes report as dropped */
};

static char *get_field(const char *, const char *);
static void read_file(struct course *, FILE *, const char *);
static void add_line(struct course *, const char *, const char *);
static gint compare_times(gconstpointer, gconstpointer);
static const struct line *find_last(const struct course *, const char *);
static void print_cause(const struct course *);
static void print_refusal(const struct course *, const struct line *);
static void line_free(gpointer);

/* Sentences for the outcomes with which an entry refuses a request. */
static const struct {
	const char *outcome;
	const char *why;
} causes[] = {
	{ "busy", "every target that it was offered to had more work waiting "
		  "than could be done within the request's goal" },
	{ "no_target", "no listed target of its service could be used" },
	{ "out", "the targets it was offered to were draining or out" },
	{ "target_down",
	    "the targets it was offered to accepted no connection" },
	{ "deadline", "too little of its time was left to do the work" },
	{ "target_broke",
	    "a target closed the connection while it may have run" },
	{ "outcome_unknown", "the link to the node beside a target was lost "
			     "while it may have run" },
	{ "not_delivered",
	    "the nodes beside its targets accepted no connection" },
	{ "expired", "its deadline passed before a target answered" },
	{ "shed", "its targets shed it because of their load" },
	{ "quarantined", "it crashed targets before" },
	{ "restarted", "another target had replaced the one it was sent to" },
	{ "not_ready", "the node had no configuration yet" },
	{ "leaving", "the node was draining" },
	{ "no_route", "no route of the configuration in force matched it" },
};

/* Returns the value of a field KEY=VALUE, freed by the caller, or NULL. */
static char *
get_field(const char *text, const char *key)
{
	char *want = g_strconcat(" ", key, "=", NULL);
	const char *at = strstr(text, want);
	size_t skip = strlen(want);

	if (at == NULL && strncmp(text, want + 1, skip - 1) == 0) {
		at = text;
		skip--;
	}
	g_free(want);
	if (at == NULL)
		return NULL;
	at += skip;
	return g_strndup(at, strcspn(at, " \n"));
}

/* Frees a line; called by its array. */
static void
line_free(gpointer p)
{
	struct line *l = p;

	g_free(l->origin);
	g_free(l->time);
	g_free(l->event);
	g_free(l->text);
	g_free(l);
}

/*
 * Keeps a line that has the request's id, and counts the lines that a
 * "log-dropped" event reports.  Lines without an event or a time are skipped.
 */
static void
add_line(struct course *c, const char *origin, const char *text)
{
	const char *record = strstr(text, "time=");
	char *id, *event, *n;
	struct line *l;

	if ((event = get_field(text, "event")) == NULL)
		return;
	if (strcmp(event, "log-dropped") == 0 &&
	    (n = get_field(text, "lines")) != NULL) {
		c->ndropped += atoi(n);
		g_free(n);
	}
	id = get_field(text, "id");
	if (id == NULL || strcmp(id, c->id) != 0 || record == NULL) {
		g_free(id);
		g_free(event);
		return;
	}
	g_free(id);
	l = g_new0(struct line, 1);
	l->origin = record > text
			? g_strstrip(g_strndup(text, (gsize)(record - text)))
			: g_strdup(origin);
	l->time = get_field(record, "time");
	l->event = event;
	l->text = g_strchomp(g_strdup(strstr(text, "event=")));
	l->order = (int)c->lines->len;
	g_ptr_array_add(c->lines, l);
}

/* Reads a log; lines longer than LINE_MAX_BYTES are read in pieces. */
static void
read_file(struct course *c, FILE *f, const char *origin)
{
	char text[LINE_MAX_BYTES];

	while (fgets(text, sizeof(text), f) != NULL)
		add_line(c, origin, text);
}

/* Orders lines by time; the format of log times sorts as text. */
static gint
compare_times(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;
	int n = strcmp(x->time, y->time);

	return n != 0 ? n : x->order - y->order;
}

/* Returns the last line of an event, or NULL; the lines are sorted. */
static const struct line *
find_last(const struct course *c, const char *event)
{
	const struct line *l;
	guint i;

	for (i = c->lines->len; i > 0; i--) {
		l = g_ptr_array_index(c->lines, i - 1);
		if (strcmp(l->event, event) == 0)
			return l;
	}
	return NULL;
}

/*
 * Prints the sentence for a refusal by the entry.  If a guard refused the
 * request as well, the load and waiting time of the last such decision follow.
 */
static void
print_refusal(const struct course *c, const struct line *refused)
{
	const struct line *guard_line = find_last(c, "gate-refused");
	char *outcome = get_field(refused->text, "outcome");
	char *status = get_field(refused->text, "status");
	char *version = get_field(refused->text, "version");
	char *load =
	    guard_line != NULL ? get_field(guard_line->text, "load") : NULL;
	char *wait =
	    guard_line != NULL ? get_field(guard_line->text, "wait_ms") : NULL;
	const char *why = "the log does not say why";
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(causes); i++)
		if (outcome != NULL && strcmp(causes[i].outcome, outcome) == 0)
			why = causes[i].why;
	printf("cause: refused with %s, as %s",
	    status != NULL ? status : "a status", why);
	if (load != NULL && wait != NULL)
		printf(" (the last one at %s%% of its slots, %s ms to wait)",
		    load, wait);
	if (version != NULL)
		printf("; configuration version %s", version);
	printf(".\n");
	g_free(outcome);
	g_free(status);
	g_free(version);
	g_free(load);
	g_free(wait);
}

/* Prints one sentence with the cause of the outcome. */
static void
print_cause(const struct course *c)
{
	const struct line *l;
	char *a, *b;

	if (c->lines->len == 0) {
		printf("cause: not known; no line has this id, and %d lines "
		       "were left out of these logs.\n",
		    c->ndropped);
	} else if ((l = find_last(c, "answered")) != NULL) {
		a = get_field(l->text, "status");
		b = get_field(l->text, "took_ms");
		printf("cause: a target answered with %s; the caller had it "
		       "after %s ms.\n",
		    a, b);
		g_free(a);
		g_free(b);
	} else if ((l = find_last(c, "refused")) != NULL) {
		print_refusal(c, l);
	} else if ((l = find_last(c, "cancelled")) != NULL) {
		a = get_field(l->text, "took_ms");
		printf("cause: its caller closed the connection after %s "
		       "ms.\n",
		    a);
		g_free(a);
	} else {
		printf("cause: not known; the entry's last line is missing, "
		       "and %d lines were left out of these logs.\n",
		    c->ndropped);
	}
}

/* why ID [LOG ...]: reads the logs, or standard input without any. */
int
ctl_why(int argc, char **argv)
{
	struct course c = { 0 };
	const struct line *l;
	FILE *f;
	guint i;
	int code = CTL_OK;

	if ((code = ctl_parse_options(
		 NULL, "ID [LOG ...]", &argc, &argv, 1, G_MAXINT)) != CTL_OK)
		return code;
	c.id = argv[1];
	c.lines = g_ptr_array_new_with_free_func(line_free);
	if (argc == 2)
		read_file(&c, stdin, "-");
	for (i = 2; i < (guint)argc; i++) {
		if ((f = fopen(argv[i], "r")) == NULL) {
			fprintf(
			    stderr, "teaselctl: %s cannot be read\n", argv[i]);
			code = CTL_USAGE;
			continue;
		}
		read_file(&c, f, argv[i]);
		fclose(f);
	}
	g_ptr_array_sort(c.lines, compare_times);
	for (i = 0; i < c.lines->len; i++) {
		l = g_ptr_array_index(c.lines, i);
		printf("%s %s %s\n", l->time, l->origin, l->text);
	}
	print_cause(&c);
	if (code == CTL_OK && c.lines->len == 0)
		code = CTL_REFUSED;
	g_ptr_array_free(c.lines, TRUE);
	return code;
}
