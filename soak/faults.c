/*
 * The schedule of faults: one at a time at random intervals, of a random kind
 * on a random node.  Most last for a while, so that they overlap.
 *
 * The order of the random draws must not change, since a seed in soak/seeds
 * stands for one sequence of faults.
 */
#include <signal.h>

#include "soak.h"

#define PAUSE_MS 40 /* mean, between two requests of a caller */

static void do_kill(struct soak *, struct soak_node *);
static void do_freeze(struct soak *, struct soak_node *);
static void do_term(struct soak *, struct soak_node *);
static void do_hangup(struct soak *, struct soak_node *);
static void do_rewrite_settings(struct soak *, struct soak_node *);
static void do_kill_many(struct soak *, struct soak_node *);
static void do_rolling_stop(struct soak *, struct soak_node *);
static void do_link_fault(struct soak *, struct soak_node *);
static void do_store_address(struct soak *, struct soak_node *);
static void do_store_all(struct soak *, struct soak_node *);
static void do_compact(struct soak *, struct soak_node *);
static void do_stale_lists(struct soak *, struct soak_node *);
static void do_target_crash(struct soak *, struct soak_node *);
static void do_target_fault(struct soak *, struct soak_node *);
static void do_service_fault(struct soak *, struct soak_node *);
static void do_target_drain(struct soak *, struct soak_node *);
static void do_target_expire(struct soak *, struct soak_node *);
static void do_target_change_service(struct soak *, struct soak_node *);
static void do_configure(struct soak *, struct soak_node *);
static void do_dc_in_or_out(struct soak *, struct soak_node *);
static void do_change_rate(struct soak *, struct soak_node *);
static int random_ms(struct soak *);

/* The kinds of faults with their relative frequencies. */
static const struct {
	const char *name;
	int weight;
	void (*run)(struct soak *, struct soak_node *);
} fault_kinds[] = {
	{ "node-kill", 4, do_kill },
	{ "node-freeze", 4, do_freeze },
	{ "node-term", 4, do_term },
	{ "settings-hangup", 2, do_hangup },
	{ "settings-edit", 2, do_rewrite_settings },
	{ "herd-kill", 1, do_kill_many },
	{ "roll-term", 1, do_rolling_stop },
	{ "links", 6, do_link_fault },
	{ "store-door", 4, do_store_address },
	{ "store-all", 2, do_store_all },
	{ "store-forget", 2, do_compact },
	{ "store-stale", 1, do_stale_lists },
	{ "target-crash", 5, do_target_crash },
	{ "target-ill", 8, do_target_fault },
	{ "targets-ill", 2, do_service_fault },
	{ "target-drain", 3, do_target_drain },
	{ "target-lapse", 2, do_target_expire },
	{ "target-swap", 2, do_target_change_service },
	{ "configure", 4, do_configure },
	{ "evacuate", 2, do_dc_in_or_out },
	{ "burst", 3, do_change_rate },
};

/* A duration: half of them below 0.9 s, the others below 4.1 s. */
static int
random_ms(struct soak *s)
{
	return 100 + soak_random_below(s, soak_random_below(s, 2) ? 800 : 4000);
}

/* Kills a node with SIGKILL; it restarts after a random time. */
static void
do_kill(struct soak *s, struct soak_node *n)
{
	node_kill(s, n, random_ms(s));
}

/*
 * Stops a node with SIGSTOP: its connections stay open, but it does not
 * respond.
 */
static void
do_freeze(struct soak *s, struct soak_node *n)
{
	node_freeze(s, n, random_ms(s));
}

/* Ends a node with SIGTERM, so that it drains. */
static void
do_term(struct soak *s, struct soak_node *n)
{
	node_term(s, n);
}

/* Sends SIGHUP, on which a node reads its settings file again. */
static void
do_hangup(struct soak *s, struct soak_node *n)
{
	node_signal(s, n, SIGHUP);
}

/* Replaces the settings file by one with the same text. */
static void
do_rewrite_settings(struct soak *s, struct soak_node *n)
{
	node_write_settings(s, n);
}

/* Kills most nodes; all restart at the same time and then recover together. */
static void
do_kill_many(struct soak *s, struct soak_node *n)
{
	int i, ms = random_ms(s);

	(void)n;
	for (i = 0; i < s->nnodes; i++)
		if (soak_random_below(s, 10) < 6)
			node_kill(s, &s->nodes[i], ms);
}

/* Stops a third of the nodes, as an update of the program does. */
static void
do_rolling_stop(struct soak *s, struct soak_node *n)
{
	int i;

	for (i = 0; i < s->nnodes / 3; i++)
		node_term(s, &s->nodes[(n->i + i) % s->nnodes]);
}

/* Sets a random fault on the links that other nodes open to a node. */
static void
do_link_fault(struct soak *s, struct soak_node *n)
{
	link_proxy_set_fault(n->link_proxy,
	    (enum link_fault)(1 + soak_random_below(s, LINK_FAULTS - 1)));
	n->heal_links_at = base_now_ms() + random_ms(s);
}

/* Sets a random fault on the store's address that one node uses. */
static void
do_store_address(struct soak *s, struct soak_node *n)
{
	store_set_address_fault(s->store, n->store_address,
	    (enum store_fault)(1 + soak_random_below(s, STORE_FAULTS - 1)));
	n->heal_store_at = base_now_ms() + random_ms(s);
}

/* Sets the same fault on the store's addresses of all nodes. */
static void
do_store_all(struct soak *s, struct soak_node *n)
{
	enum store_fault f = 1 + soak_random_below(s, STORE_FAULTS - 1);
	int i, ms = random_ms(s);

	(void)n;
	for (i = 0; i < s->nnodes; i++) {
		store_set_address_fault(s->store, s->nodes[i].store_address, f);
		s->nodes[i].heal_store_at = base_now_ms() + ms;
	}
}

/* Drops the store's history, so that watches must list again. */
static void
do_compact(struct soak *s, struct soak_node *n)
{
	(void)n;
	s->store_calm_at = base_now_ms();
	store_compact(s->store);
}

/* From now on reads that allow stale data return the store's present state. */
static void
do_stale_lists(struct soak *s, struct soak_node *n)
{
	(void)n;
	store_freeze_stale(s->store);
}

/* In two of three cases the target restarts under a new id. */
static void
do_target_crash(struct soak *s, struct soak_node *n)
{
	soak_target_crash(n->target, random_ms(s), soak_random_below(s, 3) > 0);
}

/* Sets a random fault on one target. */
static void
do_target_fault(struct soak *s, struct soak_node *n)
{
	soak_target_set_fault(n->target,
	    (enum target_fault)soak_random_below(s, TARGET_FAULTS),
	    base_now_ms() + random_ms(s));
}

/* Sets the same fault on all targets of a service. */
static void
do_service_fault(struct soak *s, struct soak_node *n)
{
	enum target_fault fault = soak_random_below(s, TARGET_FAULTS);
	int64_t until = base_now_ms() + random_ms(s);
	int i;

	for (i = 0; i < s->nnodes; i++)
		if (soak_target_service(s->nodes[i].target) ==
		    soak_target_service(n->target))
			soak_target_set_fault(s->nodes[i].target, fault, until);
}

/* Lets a target drain, stop and restart. */
static void
do_target_drain(struct soak *s, struct soak_node *n)
{
	soak_target_drain(n->target, random_ms(s));
}

/* Removes a target's entry from the store, though the target runs. */
static void
do_target_expire(struct soak *s, struct soak_node *n)
{
	soak_target_expire(n->target, random_ms(s));
}

/* Restarts a target as one of the other service, at its old address. */
static void
do_target_change_service(struct soak *s, struct soak_node *n)
{
	soak_target_change_service(n->target, random_ms(s));
}

/* Publishes a configuration whose read route leads to a random service. */
static void
do_configure(struct soak *s, struct soak_node *n)
{
	(void)n;
	operator_put_config(s, soak_random_below(s, SERVICES));
}

/* Takes a data centre out, or in again, as operators do. */
static void
do_dc_in_or_out(struct soak *s, struct soak_node *n)
{
	operator_set_out(s, n->dc, soak_random_below(s, 2));
}

/* Divides the callers' pauses by five, or makes them normal again. */
static void
do_change_rate(struct soak *s, struct soak_node *n)
{
	(void)n;
	callers_set_pause(s, soak_random_below(s, 2) ? PAUSE_MS / 5 : PAUSE_MS);
}

/*
 * Sets the callers' normal pause before the event loop runs; faults start when
 * next_event is set.
 */
void
faults_begin(struct soak *s)
{
	callers_set_pause(s, PAUSE_MS);
}

/*
 * The draws here and in the faults follow the seed, so their order must not
 * change.
 */
void
faults_tick(struct soak *s, int64_t now)
{
	struct soak_node *n;
	size_t i;
	int sum = 0, pick;

	while (now >= s->next_event) {
		s->next_event +=
		    1 + soak_random_below(s, 2 * s->event_every_ms);
		for (i = 0, sum = 0; i < G_N_ELEMENTS(fault_kinds); i++)
			sum += fault_kinds[i].weight;
		pick = soak_random_below(s, sum);
		for (i = 0; pick >= fault_kinds[i].weight; i++)
			pick -= fault_kinds[i].weight;
		n = &s->nodes[soak_random_below(s, s->nnodes)];
		printf("%" G_GINT64_FORMAT " %s node=%d\n", base_wall_ms(),
		    fault_kinds[i].name, n->i);
		fault_kinds[i].run(s, n);
		s->events++;
	}
}

/*
 * Ends faults through the next fleet_tick(), and removes the operators' entries
 * of all three data centres.
 */
void
faults_heal(struct soak *s)
{
	int64_t now = base_now_ms();
	int i, k;

	for (i = 0; i < s->nnodes; i++) {
		s->nodes[i].heal_links_at = s->nodes[i].heal_store_at = now;
		if (s->nodes[i].resume_at != 0)
			s->nodes[i].resume_at = now;
		for (k = 0; k < TARGET_FAULTS; k++)
			soak_target_set_fault(
			    s->nodes[i].target, (enum target_fault)k, now);
		if (i < SOAK_DCS)
			operator_set_out(s, s->nodes[i].dc, 0);
	}
	/*
	 * Targets that changed their service may all have the same one by now;
	 * both must exist for the checks that follow.
	 */
	for (i = 1; i < s->nnodes; i++)
		if (soak_target_next_service(s->nodes[i].target) !=
		    soak_target_next_service(s->nodes[0].target))
			break;
	if (i == s->nnodes)
		soak_target_change_service(s->nodes[0].target, 0);
	callers_set_pause(s, PAUSE_MS);
}
