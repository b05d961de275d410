/*
 * teaselctl why: the course of one request, from the logs of nodes.  Lines of
 * one id are put in the order of their times; the last decision of the entry
 * gives the cause.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../mesh/call.h"
#include "ctl.h"

#define LINE_MAX_BYTES 4096

/* One line that is about the request. */
struct line {
	char *where; /* the file, or what stands before the record */
	char *time;
	char *event;
	char *text; /* the record from its event on */
	int order;  /* as read, for equal times */
};

/* What was found. */
struct course {
	const char *id;
	GPtrArray *lines; /* of struct line */
	int left_out;	  /* lines that nodes left out of their logs */
};

static char *field(const char *, const char *);
static void read_file(struct course *, FILE *, const char *);
static void take_line(struct course *, const char *, const char *);
static gint by_time(gconstpointer, gconstpointer);
static const struct line *last_of(const struct course *, const char *);
static void print_cause(const struct course *);
static void print_refusal(const struct course *, const struct line *);
static void line_free(gpointer);

/* Sentences for what an entry said last. */
static const struct {
	const char *outcome;
	const char *why;
} causes[] = {
	{ "busy", "every target that it was offered to had more work waiting "
		  "than could be done within the request's goal" },
	{ "no_target", "no listed target of its service could be used" },
	{ "out", "the targets it was offered to were leaving or out" },
	{ "target_down", "the targets it was offered to took no connection" },
	{ "deadline", "too little of its time was left to do the work" },
	{ "target_broke", "a target broke off while it may have run" },
	{ "outcome_unknown", "the link to the node beside a target was lost "
			     "while it may have run" },
	{ "not_delivered", "the nodes beside its targets took no connection" },
	{ "expired", "its time was over before a target answered" },
	{ "shed", "targets refused it for load" },
	{ "quarantined", "it crashed targets before" },
	{ "restarted", "another target stood where it was sent" },
	{ "not_ready", "the node had no configuration yet" },
	{ "leaving", "the node was leaving" },
	{ "no_route", "no route of the configuration in force matched it" },
};

/* Value of a field KEY=VALUE, owned by the caller, or NULL. */
static char *
field(const char *text, const char *key)
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

static void
line_free(gpointer p)
{
	struct line *l = p;

	g_free(l->where);
	g_free(l->time);
	g_free(l->event);
	g_free(l->text);
	g_free(l);
}

/* Keeps a line that is about the request. */
static void
take_line(struct course *c, const char *where, const char *text)
{
	const char *record = strstr(text, "time=");
	char *id, *event, *n;
	struct line *l;

	if ((event = field(text, "event")) == NULL)
		return;
	if (strcmp(event, "log-dropped") == 0 &&
	    (n = field(text, "lines")) != NULL) {
		c->left_out += atoi(n);
		g_free(n);
	}
	id = field(text, "id");
	if (id == NULL || strcmp(id, c->id) != 0 || record == NULL) {
		g_free(id);
		g_free(event);
		return;
	}
	g_free(id);
	l = g_new0(struct line, 1);
	l->where = record > text
		       ? g_strstrip(g_strndup(text, (gsize)(record - text)))
		       : g_strdup(where);
	l->time = field(record, "time");
	l->event = event;
	l->text = g_strchomp(g_strdup(strstr(text, "event=")));
	l->order = (int)c->lines->len;
	g_ptr_array_add(c->lines, l);
}

static void
read_file(struct course *c, FILE *f, const char *where)
{
	char text[LINE_MAX_BYTES];

	while (fgets(text, sizeof(text), f) != NULL)
		take_line(c, where, text);
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;
	int n = strcmp(x->time, y->time);

	return n != 0 ? n : x->order - y->order;
}

/* The last line of an event, or NULL. */
static const struct line *
last_of(const struct course *c, const char *event)
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

/* The sentence for a refusal, with the inputs of the last gate's decision. */
static void
print_refusal(const struct course *c, const struct line *refused)
{
	const struct line *gate = last_of(c, "gate-refused");
	char *outcome = field(refused->text, "outcome");
	char *status = field(refused->text, "status");
	char *version = field(refused->text, "version");
	char *load = gate != NULL ? field(gate->text, "load") : NULL;
	char *wait = gate != NULL ? field(gate->text, "wait_ms") : NULL;
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

/* One sentence with the cause. */
static void
print_cause(const struct course *c)
{
	const struct line *l;
	char *a, *b;

	if (c->lines->len == 0) {
		printf("cause: not known; no line has this id, and %d lines "
		       "were left out of these logs.\n",
		    c->left_out);
	} else if ((l = last_of(c, "answered")) != NULL) {
		a = field(l->text, "status");
		b = field(l->text, "took_ms");
		printf("cause: a target answered with %s; the caller had it "
		       "after %s ms.\n",
		    a, b);
		g_free(a);
		g_free(b);
	} else if ((l = last_of(c, "refused")) != NULL) {
		print_refusal(c, l);
	} else if ((l = last_of(c, "cancelled")) != NULL) {
		a = field(l->text, "took_ms");
		printf("cause: its caller left after %s ms.\n", a);
		g_free(a);
	} else {
		printf("cause: not known; the entry's last line is missing, "
		       "and %d lines were left out of these logs.\n",
		    c->left_out);
	}
}

/* Shows the course of a request. */
int
ctl_why(int argc, char **argv)
{
	struct course c = { 0 };
	const struct line *l;
	FILE *f;
	guint i;
	int code = CTL_OK;

	if ((code = ctl_options(
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
	g_ptr_array_sort(c.lines, by_time);
	for (i = 0; i < c.lines->len; i++) {
		l = g_ptr_array_index(c.lines, i);
		printf("%s %s %s\n", l->time, l->where, l->text);
	}
	print_cause(&c);
	if (code == CTL_OK && c.lines->len == 0)
		code = CTL_REFUSED;
	g_ptr_array_free(c.lines, TRUE);
	return code;
}
