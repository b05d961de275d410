/* Reads traces line by line and compares the decisions with the expected. */
#include <stdlib.h>
#include <string.h>

#include "replay.h"

#define TRACE_MAX     (16 * 1024 * 1024) /* bytes of a trace */
#define TRACE_VERSION 1

static const struct replay_module *const modules[] = { &replay_guard,
	&replay_call, &replay_version };

static const struct replay_module *find_module(const char *);
static struct json *parse_line(const char *, size_t);
static int replay_lines(const struct replay_module *, void *, char **,
    const char *, GString *, int *, int *);

/* Finds the module that a trace names; NULL when there is none. */
static const struct replay_module *
find_module(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(modules); i++)
		if (strcmp(modules[i]->name, name) == 0)
			return modules[i];
	return NULL;
}

/* Reads "crashes" and "crash_ids"; used for traces of calls and of guards. */
void
replay_read_crashes(const struct json *j, struct crashes *c)
{
	const char *ids = json_str(j, "crash_ids", "");
	char *end;
	uint64_t id;
	int i, n = (int)json_int(j, "crashes", 0);

	for (i = 1; i <= n; i++)
		crashes_add(c, (uint64_t)i);
	for (;;) {
		id = strtoull(ids, &end, 16);
		if (end == ids)
			return;
		crashes_add(c, id);
		ids = end;
	}
}

/* Parses one line; NULL when it is not a JSON object. */
static struct json *
parse_line(const char *text, size_t len)
{
	struct report *rep = report_new();
	struct json *j = json_parse(text, len, rep);

	report_free(rep);
	if (j != NULL && j->type != JSON_OBJECT) {
		json_free(j);
		return NULL;
	}
	return j;
}

/*
 * Replays all lines after the first; empty lines and those that begin with
 * "/" are skipped.  Goes on after a decision that differs, but stops at a line
 * with an invalid event.
 */
static int
replay_lines(const struct replay_module *m, void *state, char **lines,
    const char *path, GString *out, int *events, int *checked)
{
	char decision[REPLAY_DECISION_MAX];
	const char *want;
	struct json *j;
	int i, err = REPLAY_OK;

	for (i = 1; lines[i] != NULL; i++) {
		if (lines[i][0] == '\0' || lines[i][0] == '/')
			continue;
		decision[0] = '\0';
		j = parse_line(lines[i], strlen(lines[i]));
		if (j == NULL ||
		    m->apply_event(state, j, decision) != REPLAY_OK) {
			g_string_append_printf(out,
			    "%s:%d: unknown or invalid event\n", path, i + 1);
			json_free(j);
			return REPLAY_EFORMAT;
		}
		(*events)++;
		want = json_str(j, "expect", NULL);
		*checked += want != NULL;
		if (want != NULL && strcmp(want, decision) != 0) {
			g_string_append_printf(out,
			    "%s:%d: expected \"%s\", got \"%s\"\n", path, i + 1,
			    want, decision);
			err = REPLAY_EDIFFERS;
		}
		json_free(j);
	}
	return err;
}

/* Replays one trace through the module that its first line names. */
int
replay_file(const char *path, GString *out, int *events, int *checked)
{
	const struct replay_module *m = NULL;
	struct json *head;
	void *state;
	char *text, **lines;
	size_t len;
	int err;

	if (base_read_file(path, TRACE_MAX, &text, &len) != BASE_OK) {
		g_string_append_printf(out, "%s: cannot be read\n", path);
		return REPLAY_EREAD;
	}
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	head = lines[0] != NULL ? parse_line(lines[0], strlen(lines[0])) : NULL;
	if (json_int(head, "trace", 0) == TRACE_VERSION)
		m = find_module(json_str(head, "module", ""));
	if (m == NULL) {
		g_string_append_printf(out, "%s:1: not a trace\n", path);
		err = REPLAY_EFORMAT;
	} else {
		state = m->state_new(head);
		err = replay_lines(m, state, lines, path, out, events, checked);
		m->state_free(state);
	}
	json_free(head);
	g_strfreev(lines);
	return err;
}
