/*
 * teaselsoak: injects random faults into real processes for a while, then ends
 * the faults and checks that the system recovers.  Violations are printed as
 * they are found; the exit status is 1 if there was any.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define EXIT_USAGE    2
#define TICK_MS	      10
#define START_S	      30 /* until every node serves, at most */
#define RECOVER_S     60 /* limit of each wait for a condition */
#define CHECK_MS      1000
#define LOST_MS	      1000
#define FINAL_WAIT_MS 2500 /* above REMAINING_MS: every request has ended */

static int seed = 1, seconds = 20, nnodes = 9, event_every_ms = 250, net = 77;
static int restore_every_ms;
static char *program, *dir;

static void on_tick(evutil_socket_t, short, void *);
static void on_stop(evutil_socket_t, short, void *);
static void run_loop_for(struct soak *, int);
static int wait_until(struct soak *, const char *, int (*)(struct soak *));
static int all_nodes_served(struct soak *);
static int none_ran_in_first_dc(struct soak *);
static int reads_moved(struct soak *);
static void check_healed(struct soak *);
static int run(struct soak *);

static const GOptionEntry options[] = {
	{ "seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of the random faults",
	    "N" },
	{ "seconds", 't', 0, G_OPTION_ARG_INT, &seconds,
	    "How long to inject faults", "N" },
	{ "nodes", 'n', 0, G_OPTION_ARG_INT, &nnodes,
	    "How many processes to run", "N" },
	{ "net", 0, 0, G_OPTION_ARG_INT, &net, "Addresses are 127.N.x.y", "N" },
	{ "every", 'e', 0, G_OPTION_ARG_INT, &event_every_ms,
	    "Mean time between two faults", "MS" },
	{ "restores", 'r', 0, G_OPTION_ARG_INT, &restore_every_ms,
	    "Mean time between two restores of the store; 0: none", "MS" },
	{ "program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
	    "The program to run", "FILE" },
	{ "dir", 'd', 0, G_OPTION_ARG_FILENAME, &dir,
	    "Existing directory for settings and logs", "DIR" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/*
 * A run has only this generator, s->rand, so that a seed reproduces all draws.
 */
int
soak_random_below(struct soak *s, int n)
{
	return n > 0 ? g_rand_int_range(s->rand, 0, n) : 0;
}

/* Called every TICK_MS on the event loop. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;
	int64_t now = base_now_ms();

	(void)fd;
	(void)what;
	fleet_tick(s, now);
	restore_tick(s, now);
	if (s->next_event != 0)
		faults_tick(s, now);
}

/* On SIGTERM or SIGINT, kills the processes that were started, then exits. */
static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fleet_stop(arg);
	exit(EXIT_USAGE);
}

/* Runs the event loop for ms. */
static void
run_loop_for(struct soak *s, int ms)
{
	struct timeval tv = { ms / BASE_MS_PER_S,
		ms % BASE_MS_PER_S * BASE_MS_PER_S };

	event_base_loopexit(s->base, &tv);
	event_base_dispatch(s->base);
}

/*
 * Waits until a condition holds, which is evaluated once a second over that
 * second.  It violates RECOVER not to hold within RECOVER_S.  The first call
 * only resets the counters that conditions read.
 */
static int
wait_until(struct soak *s, const char *what, int (*holds)(struct soak *))
{
	int64_t deadline = base_now_ms() + RECOVER_S * BASE_MS_PER_S;
	int64_t began = base_now_ms();

	holds(s);
	do {
		run_loop_for(s, CHECK_MS);
		if (holds(s)) {
			printf("%s after %d ms\n", what,
			    (int)(base_now_ms() - began));
			return 1;
		}
	} while (base_now_ms() < deadline);
	checker_violation(s, "RECOVER", "not within %d s: %s", RECOVER_S, what);
	return 0;
}

/* Whether every node answered a request with 200 in the last second. */
static int
all_nodes_served(struct soak *s)
{
	int i, ok = 1;

	for (i = 0; i < s->nnodes; i++)
		ok &= callers_take_served(s, i) > 0;
	return ok;
}

/* Whether no requests ran in the first data centre since the last call. */
static int
none_ran_in_first_dc(struct soak *s)
{
	int i, runs = 0;

	for (i = 0; i < s->nnodes; i++)
		if (strcmp(s->nodes[i].dc, s->nodes[0].dc) == 0)
			runs += soak_target_take_runs(s->nodes[i].target);
	return runs == 0;
}

/* Whether the read route ran at the configured service only, and ran at all. */
static int
reads_moved(struct soak *s)
{
	int other = s->read_runs[1 - s->read_service],
	    own = s->read_runs[s->read_service];

	s->read_runs[ALPHA] = s->read_runs[BETA] = 0;
	return other == 0 && own > 0;
}

/*
 * Without faults, a new configuration and a data centre that is taken out must
 * take effect on every node.
 */
static void
check_healed(struct soak *s)
{
	wait_until(s, "every node serves", all_nodes_served);
	if (s->restore.every_ms != 0)
		restore_lose_changes(s, LOST_MS, run_loop_for);
	operator_put_config(s, 1 - s->read_service);
	wait_until(s, "the read route leads to the other service", reads_moved);
	if (s->restore.every_ms != 0)
		restore_lose_changes(s, LOST_MS, run_loop_for);
	operator_set_out(s, s->nodes[0].dc, 1);
	if (wait_until(s, "no requests run in the data centre that is out",
		none_ran_in_first_dc)) {
		run_loop_for(s, CHECK_MS);
		if (!none_ran_in_first_dc(s))
			checker_violation(s, "EVAC",
			    "requests run in a data centre that is out");
	}
	operator_set_out(s, s->nodes[0].dc, 0);
	wait_until(s, "every node serves again", all_nodes_served);
}

/* Runs the test; returns the number of violations. */
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
	callers_start(s);
	probes_start(s);
	faults_begin(s);
	if (wait_until(s, "the fleet has started", all_nodes_served)) {
		s->next_event = base_now_ms();
		restore_begin(s);
		run_loop_for(s, seconds * BASE_MS_PER_S);
		s->next_event = 0;
		restore_end(s);
		faults_heal(s);
		check_healed(s);
	}
	s->closing = 1;
	run_loop_for(s, FINAL_WAIT_MS);
	checker_all_ended(s);
	event_free(tick);
	event_free(term);
	event_free(intr);
	callers_stop(s);
	probes_stop(s);
	return s->checker.violations;
}

/*
 * Returns 0, 1 if a rule was violated, or 2 for wrong usage or if the store has
 * no address to listen on.
 */
int
main(int argc, char **argv)
{
	struct soak s = { 0 };
	GOptionContext *ctx;
	GError *error = NULL;
	int violations;

	ctx = g_option_context_new("- a randomized fault soak of teaselside");
	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error) ||
	    program == NULL || dir == NULL || nnodes < 3 ||
	    nnodes > SOAK_NODES_MAX) {
		fprintf(stderr, "teaselsoak: %s\n",
		    error != NULL ? error->message
				  : "--program and --dir are required, and "
				    "--nodes must be 3 to 48");
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
	s.event_every_ms = event_every_ms;
	checker_init(&s.checker);
	restore_init(&s, seed, restore_every_ms);
	if (fleet_start(&s) != 0) {
		fprintf(stderr, "teaselsoak: cannot bind address\n");
		return EXIT_USAGE;
	}
	operator_put_config(&s, ALPHA);
	violations = run(&s);
	fleet_stop(&s);
	printf("{\"seed\": %d, \"faults\": %d, \"sent\": %d, \"served\": %d, "
	       "\"refused\": %d, \"failed\": %d, \"cut\": %d, "
	       "\"crashers_ended\": %d, \"probes\": %d, "
	       "\"broken\": %d}\n",
	    seed, s.events, s.checker.counts[COUNT_SENT],
	    s.checker.counts[COUNT_SERVED], s.checker.counts[COUNT_REFUSED],
	    s.checker.counts[COUNT_FAILED],
	    s.checker.counts[COUNT_DISCONNECTED], s.checker.crash_count,
	    s.checker.probes, violations);
	checker_destroy(&s.checker);
	restore_destroy(&s);
	event_base_free(s.base);
	g_rand_free(s.rand);
	return violations > 0;
}
