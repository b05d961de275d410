/* teaselsoak: faults at random against real processes, and what must hold. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define EXIT_USAGE 2
#define TICK_MS	   10
#define START_S	   30 /* until every node serves, at most */
#define END_S	   60 /* for everything that is asked of a healed fleet */
#define WATCH_MS   1000
#define REST_MS	   2500 /* what a caller waits for is over by then */

static int seed = 1, seconds = 20, nnodes = 9, chance = 250, net = 77;
static char *program, *dir;

static void on_tick(evutil_socket_t, short, void *);
static void on_stop(evutil_socket_t, short, void *);
static void run_for(struct soak *, int);
static int until(struct soak *, const char *, int (*)(struct soak *));
static int all_serve(struct soak *);
static int none_runs_out(struct soak *);
static int reads_moved(struct soak *);
static void check_healed(struct soak *);
static int run(struct soak *);

static const GOptionEntry options[] = {
	{ "seed", 's', 0, G_OPTION_ARG_INT, &seed, "What is random follows it",
	    "N" },
	{ "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Of faults", "N" },
	{ "nodes", 'n', 0, G_OPTION_ARG_INT, &nnodes, "Processes", "N" },
	{ "net", 0, 0, G_OPTION_ARG_INT, &net, "Addresses are 127.N.x.y", "N" },
	{ "every", 'e', 0, G_OPTION_ARG_INT, &chance,
	    "A fault in so many ms, on average", "MS" },
	{ "program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
	    "The program to run", "FILE" },
	{ "dir", 'd', 0, G_OPTION_ARG_FILENAME, &dir,
	    "For settings and logs; it must exist", "DIR" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

int
soak_below(struct soak *s, int n)
{
	return n > 0 ? g_rand_int_range(s->rand, 0, n) : 0;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	int64_t now = base_now_ms();

	(void)fd;
	(void)what;
	fleet_tick(s, now);
	if (s->next_event != 0)
		plan_tick(s, now);
}

/* Told to end: what was started is ended first. */
static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fleet_stop(arg);
	exit(EXIT_USAGE);
}

/* Lets time pass. */
static void
run_for(struct soak *s, int ms)
{
	struct timeval tv = { ms / BASE_MS_PER_S,
		ms % BASE_MS_PER_S * BASE_MS_PER_S };

	event_base_loopexit(s->base, &tv);
	event_base_dispatch(s->base);
}

/* Waits until something holds for a second; it has to within END_S. */
static int
until(struct soak *s, const char *what, int (*holds)(struct soak *))
{
	int64_t deadline = base_now_ms() + END_S * BASE_MS_PER_S;
	int64_t began = base_now_ms();

	holds(s);
	do {
		run_for(s, WATCH_MS);
		if (holds(s)) {
			printf("%s after %d ms\n", what,
			    (int)(base_now_ms() - began));
			return 1;
		}
	} while (base_now_ms() < deadline);
	judge_broken(s, "RECOVER", "not in %d s: %s", END_S, what);
	return 0;
}

/* Whether callers of every node were served in the last second. */
static int
all_serve(struct soak *s)
{
	int i, ok = 1;

	for (i = 0; i < s->nnodes; i++)
		ok &= front_served(s, i) > 0;
	return ok;
}

/* Whether no target of the first data centre ran anything. */
static int
none_runs_out(struct soak *s)
{
	int i, here = 0;

	for (i = 0; i < s->nnodes; i++)
		if (strcmp(s->nodes[i].dc, s->nodes[0].dc) == 0)
			here += back_runs(s->nodes[i].back);
	return here == 0;
}

/* Whether reading runs where the configuration says only. */
static int
reads_moved(struct soak *s)
{
	int other = s->read_runs[1 - s->reads], own = s->read_runs[s->reads];

	s->read_runs[ALPHA] = s->read_runs[BETA] = 0;
	return other == 0 && own > 0;
}

/* What operators ask of a fleet that nothing disturbs any more. */
static void
check_healed(struct soak *s)
{
	char *key = g_strdup_printf("op/evacuate/%s", s->nodes[0].dc);

	until(s, "every node serves", all_serve);
	plan_configure(s, 1 - s->reads);
	until(s, "reading has moved to the other service", reads_moved);
	store_put(s->store, key, "{}");
	if (until(s, "nothing runs in the data centre taken out",
		none_runs_out)) {
		run_for(s, WATCH_MS);
		if (!none_runs_out(s))
			judge_broken(
			    s, "EVAC", "work returns before it is let");
	}
	store_remove(s->store, key);
	until(s, "every node serves again", all_serve);
	g_free(key);
}

/* Faults for a while, then a fleet that heals, then an end to everything. */
static int
run(struct soak *s)
{
	struct event *tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
	struct event *term = evsignal_new(s->base, SIGTERM, on_stop, s);
	struct event *intr = evsignal_new(s->base, SIGINT, on_stop, s);
	struct timeval tv = { 0, TICK_MS * BASE_MS_PER_S };

	event_add(tick, &tv);
	event_add(term, NULL);
	event_add(intr, NULL);
	front_start(s);
	plan_begin(s);
	if (until(s, "the fleet has started", all_serve)) {
		s->next_event = base_now_ms();
		run_for(s, seconds * BASE_MS_PER_S);
		s->next_event = 0;
		plan_heal(s);
		check_healed(s);
	}
	s->closing = 1;
	run_for(s, REST_MS);
	judge_all(s);
	event_free(tick);
	event_free(term);
	event_free(intr);
	front_stop(s);
	return s->judge.broken;
}

int
main(int argc, char **argv)
{
	struct soak s = { 0 };
	GOptionContext *ctx;
	GError *error = NULL;
	int broken;

	ctx = g_option_context_new("- a randomized fault soak of teaselside");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    program == NULL || dir == NULL || nnodes < 3 ||
	    nnodes > SOAK_NODES_MAX) {
		fprintf(stderr, "teaselsoak: %s\n",
		    error != NULL ? error->message
				  : "needs --program, --dir, 3 nodes or more");
		return EXIT_USAGE;
	}
	g_option_context_free(ctx);
	signal(SIGPIPE, SIG_IGN);
	base_log_init("teaselsoak");
	s.base = event_base_new();
	s.rand = g_rand_new_with_seed((guint32)seed);
	s.nnodes = nnodes;
	s.net = net;
	s.program = program;
	s.dir = dir;
	s.chance = chance;
	judge_init(&s.judge);
	if (fleet_start(&s) != 0) {
		fprintf(stderr, "teaselsoak: an address is taken\n");
		return EXIT_USAGE;
	}
	plan_configure(&s, ALPHA);
	broken = run(&s);
	fleet_stop(&s);
	printf("{\"seed\": %d, \"faults\": %d, \"sent\": %d, \"served\": %d, "
	       "\"refused\": %d, \"failed\": %d, \"cut\": %d, "
	       "\"crashers_ended\": %d, "
	       "\"broken\": %d}\n",
	    seed, s.events, s.judge.counts[SEEN_SENT],
	    s.judge.counts[SEEN_SERVED], s.judge.counts[SEEN_REFUSED],
	    s.judge.counts[SEEN_FAILED], s.judge.counts[SEEN_CUT],
	    s.judge.crashers_ended, broken);
	judge_destroy(&s.judge);
	event_base_free(s.base);
	g_rand_free(s.rand);
	return broken > 0;
}
