/*
 * teaselreplay: replays traces and compares the decisions with those that they
 * expect, or runs random walks from seeds and checks the invariants.
 */
#include <stdio.h>

#include "replay.h"

#define STEPS_DEFAULT 400 /* of one walk */
#define STEPS_MAX     100000

static int replay_all(int, char **);
static int walk_seeds(int, int, int);

/* Replays every trace; fails also when no decision was compared at all. */
static int
replay_all(int n, char **paths)
{
	GString *out = g_string_new(NULL);
	int i, events = 0, checked = 0, failed = 0;

	for (i = 0; i < n; i++)
		failed +=
		    replay_file(paths[i], out, &events, &checked) != REPLAY_OK;
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	printf("traces: %d passed, %d failed; %d events, %d decisions "
	       "compared\n",
	    n - failed, failed, events, checked);
	return failed > 0 || checked == 0;
}

/* Runs a walk per seed; the first that fails is shrunk and printed. */
static int
walk_seeds(int first, int count, int steps)
{
	struct walk_step *s = g_new(struct walk_step, steps);
	GString *out = g_string_new(NULL);
	char *broken;
	int seed, n;

	for (seed = first; seed < first + count; seed++) {
		walk_generate((uint32_t)seed, s, steps);
		broken = walk_run(s, steps);
		if (broken == NULL)
			continue;
		printf("seed %d: %s\n", seed, broken);
		g_free(broken);
		n = walk_shrink(s, steps);
		broken = walk_run(s, n);
		walk_print(s, n, out);
		printf("shrunk to %d steps: %s\n%s", n, broken, out->str);
		g_free(broken);
		break;
	}
	printf("walks: %d of %d seeds hold, %d steps each\n", seed - first,
	    count, steps);
	g_string_free(out, TRUE);
	g_free(s);
	return seed < first + count;
}

/* Exit code 0: all passed, 1: a trace or walk failed, 2: usage. */
int
main(int argc, char **argv)
{
	static int walks, seed = 1, steps = STEPS_DEFAULT;
	const GOptionEntry options[] = {
		{ "walk", 'w', 0, G_OPTION_ARG_INT, &walks,
		    "Run random walks from this many seeds", "N" },
		{ "seed", 's', 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
		{ "steps", 0, 0, G_OPTION_ARG_INT, &steps, "Steps of a walk",
		    "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx;
	GError *error = NULL;

	ctx = g_option_context_new("[TRACE ...] - replay recorded decisions");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    (walks == 0 && argc < 2) || steps < 1 || steps > STEPS_MAX) {
		fprintf(stderr, "teaselreplay: %s\n",
		    error != NULL ? error->message : "needs traces or --walk");
		return 2;
	}
	g_option_context_free(ctx);
	if (walks > 0)
		return walk_seeds(seed, walks, steps);
	return replay_all(argc - 1, argv + 1);
}
