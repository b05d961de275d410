/* What goes wrong, and when: faults in series that overlap, by chance. */
#include <signal.h>

#include "soak.h"

#define PACE_MS 40 /* between two requests of a caller, about */

static void do_kill(struct soak *, struct soak_node *);
static void do_freeze(struct soak *, struct soak_node *);
static void do_term(struct soak *, struct soak_node *);
static void do_hangup(struct soak *, struct soak_node *);
static void do_edit(struct soak *, struct soak_node *);
static void do_herd(struct soak *, struct soak_node *);
static void do_roll(struct soak *, struct soak_node *);
static void do_pipe(struct soak *, struct soak_node *);
static void do_door(struct soak *, struct soak_node *);
static void do_store(struct soak *, struct soak_node *);
static void do_forget(struct soak *, struct soak_node *);
static void do_stale(struct soak *, struct soak_node *);
static void do_crash(struct soak *, struct soak_node *);
static void do_ill(struct soak *, struct soak_node *);
static void do_ill_all(struct soak *, struct soak_node *);
static void do_drain(struct soak *, struct soak_node *);
static void do_lapse(struct soak *, struct soak_node *);
static void do_swap(struct soak *, struct soak_node *);
static void do_configure(struct soak *, struct soak_node *);
static void do_evacuate(struct soak *, struct soak_node *);
static void do_burst(struct soak *, struct soak_node *);
static int some_ms(struct soak *);

/* What may go wrong, and how often beside the others. */
static const struct {
	const char *name;
	int weight;
	void (*run)(struct soak *, struct soak_node *);
} faults[] = {
	{ "node-kill", 4, do_kill },
	{ "node-freeze", 4, do_freeze },
	{ "node-term", 4, do_term },
	{ "settings-hangup", 2, do_hangup },
	{ "settings-edit", 2, do_edit },
	{ "herd-kill", 1, do_herd },
	{ "roll-term", 1, do_roll },
	{ "links", 6, do_pipe },
	{ "store-door", 4, do_door },
	{ "store-all", 2, do_store },
	{ "store-forget", 2, do_forget },
	{ "store-stale", 1, do_stale },
	{ "target-crash", 5, do_crash },
	{ "target-ill", 8, do_ill },
	{ "targets-ill", 2, do_ill_all },
	{ "target-drain", 3, do_drain },
	{ "target-lapse", 2, do_lapse },
	{ "target-swap", 2, do_swap },
	{ "configure", 4, do_configure },
	{ "evacuate", 2, do_evacuate },
	{ "burst", 3, do_burst },
};

/* A time that is mostly short, up to four seconds. */
static int
some_ms(struct soak *s)
{
	return 100 + soak_below(s, soak_below(s, 2) ? 800 : 4000);
}

static void
do_kill(struct soak *s, struct soak_node *n)
{
	node_kill(s, n, some_ms(s));
}

static void
do_freeze(struct soak *s, struct soak_node *n)
{
	node_freeze(s, n, some_ms(s));
}

static void
do_term(struct soak *s, struct soak_node *n)
{
	node_term(s, n);
}

static void
do_hangup(struct soak *s, struct soak_node *n)
{
	node_signal(s, n, SIGHUP);
}

static void
do_edit(struct soak *s, struct soak_node *n)
{
	node_write_settings(s, n);
}

static void
do_herd(struct soak *s, struct soak_node *n)
{
	int i, ms = some_ms(s);

	(void)n;
	for (i = 0; i < s->nnodes; i++)
		if (soak_below(s, 10) < 6)
			node_kill(s, &s->nodes[i], ms);
}

static void
do_roll(struct soak *s, struct soak_node *n)
{
	int i;

	for (i = 0; i < s->nnodes / 3; i++)
		node_term(s, &s->nodes[(n->i + i) % s->nnodes]);
}

static void
do_pipe(struct soak *s, struct soak_node *n)
{
	pipe_set(n->pipe, (enum pipe_rule)(1 + soak_below(s, PIPE_RULES - 1)));
	n->heal_pipe = base_now_ms() + some_ms(s);
}

static void
do_door(struct soak *s, struct soak_node *n)
{
	store_set_door_fault(s->store, n->door,
	    (enum store_fault)(1 + soak_below(s, STORE_FAULTS - 1)));
	n->heal_store = base_now_ms() + some_ms(s);
}

static void
do_store(struct soak *s, struct soak_node *n)
{
	enum store_fault f = 1 + soak_below(s, STORE_FAULTS - 1);
	int i, ms = some_ms(s);

	(void)n;
	for (i = 0; i < s->nnodes; i++) {
		store_set_door_fault(s->store, s->nodes[i].door, f);
		s->nodes[i].heal_store = base_now_ms() + ms;
	}
}

static void
do_forget(struct soak *s, struct soak_node *n)
{
	(void)n;
	store_forget(s->store);
}

static void
do_stale(struct soak *s, struct soak_node *n)
{
	(void)n;
	store_freeze_stale(s->store);
}

static void
do_crash(struct soak *s, struct soak_node *n)
{
	back_crash(n->back, some_ms(s), soak_below(s, 3) > 0);
}

static void
do_ill(struct soak *s, struct soak_node *n)
{
	back_ill(
	    n->back, (enum ill)soak_below(s, ILLS), base_now_ms() + some_ms(s));
}

static void
do_ill_all(struct soak *s, struct soak_node *n)
{
	enum ill ill = soak_below(s, ILLS);
	int64_t until = base_now_ms() + some_ms(s);
	int i;

	for (i = 0; i < s->nnodes; i++)
		if (back_service(s->nodes[i].back) == back_service(n->back))
			back_ill(s->nodes[i].back, ill, until);
}

static void
do_drain(struct soak *s, struct soak_node *n)
{
	back_drain(n->back, some_ms(s));
}

static void
do_lapse(struct soak *s, struct soak_node *n)
{
	back_lapse(n->back, some_ms(s));
}

static void
do_swap(struct soak *s, struct soak_node *n)
{
	back_swap(n->back, some_ms(s));
}

static void
do_configure(struct soak *s, struct soak_node *n)
{
	(void)n;
	plan_configure(s, soak_below(s, SERVICES));
}

static void
do_evacuate(struct soak *s, struct soak_node *n)
{
	char *key = g_strdup_printf("op/evacuate/%s", n->dc);

	if (soak_below(s, 2))
		store_put(s->store, key, "{}");
	else
		store_remove(s->store, key);
	g_free(key);
}

static void
do_burst(struct soak *s, struct soak_node *n)
{
	(void)n;
	front_pace(s, soak_below(s, 2) ? PACE_MS / 5 : PACE_MS);
}

/* Puts the next configuration. */
void
plan_configure(struct soak *s, int reads)
{
	const struct store_route routes[ROUTES] = {
		{ "/read/", soak_services[reads], NULL, 1 },
		{ "/write/", soak_services[BETA], NULL, 0 },
		{ "/split/", soak_services[ALPHA], soak_services[BETA], 1 },
	};

	s->reads = reads;
	s->version += 1 + soak_below(s, 3);
	store_put_routes(s->store, s->version, soak_services, routes, ROUTES);
}

void
plan_begin(struct soak *s)
{
	front_pace(s, PACE_MS);
}

/* Lets the next things go wrong. */
void
plan_tick(struct soak *s, int64_t now)
{
	struct soak_node *n;
	size_t i;
	int sum = 0, at;

	while (now >= s->next_event) {
		s->next_event += 1 + soak_below(s, 2 * s->chance);
		for (i = 0, sum = 0; i < G_N_ELEMENTS(faults); i++)
			sum += faults[i].weight;
		at = soak_below(s, sum);
		for (i = 0; at >= faults[i].weight; i++)
			at -= faults[i].weight;
		n = &s->nodes[soak_below(s, s->nnodes)];
		printf("%" G_GINT64_FORMAT " %s node=%d\n", base_wall_ms(),
		    faults[i].name, n->i);
		faults[i].run(s, n);
		s->events++;
	}
}

/* Ends every fault. */
void
plan_heal(struct soak *s)
{
	int64_t now = base_now_ms();
	int i, k;

	for (i = 0; i < s->nnodes; i++) {
		s->nodes[i].heal_pipe = s->nodes[i].heal_store = now;
		if (s->nodes[i].thaw != 0)
			s->nodes[i].thaw = now;
		for (k = 0; k < ILLS; k++)
			back_ill(s->nodes[i].back, (enum ill)k, now);
		if (i < 3) {
			char *key =
			    g_strdup_printf("op/evacuate/%s", s->nodes[i].dc);

			store_remove(s->store, key);
			g_free(key);
		}
	}
	/* Targets may all have become of one service. */
	for (i = 1; i < s->nnodes; i++)
		if (back_service_due(s->nodes[i].back) !=
		    back_service_due(s->nodes[0].back))
			break;
	if (i == s->nnodes)
		back_swap(s->nodes[0].back, 0);
	front_pace(s, PACE_MS);
}
