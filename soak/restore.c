/*
 * The fault "restore": the store is down for a moment and comes back from a
 * copy some seconds old.  Targets and the operator then write again what it has
 * lost.  Its random draws are its own, as the seeds of other faults were found
 * without it.
 */
#include "soak.h"

#define AGE_MAX_MS	5000 /* of the copy when the store goes down */
#define DOWN_MAX_MS	2000
#define REPORT_MAX_MS	2000 /* until every target has registered again */
#define OPERATOR_MAX_MS 1500 /* until the operator has written again */
#define LAPSE_MS	4500 /* three reports of a target */
#define AGAIN_ONE_IN	3    /* restores soon followed by one more */
#define AGAIN_MAX_MS	3000
#define LATE_MAX_MS	1000 /* until answers that are held back are sent */

static int below(struct soak *, int);
static void save(struct soak *, int64_t);
static void go_down(struct soak *, int64_t);
static void come_back(struct soak *, int64_t);
static void remove_gone(struct soak *);

/*
 * What nodes are answered while the store is down; without a fault, answers are
 * written but arrive only after the restore.
 */
static const enum store_fault down_faults[] = { STORE_SILENT, STORE_BUSY,
	STORE_DOWN, STORE_NO_FAULT };
/* Keys that the answers held back are about. */
static const char *const late_prefixes[] = { "", "op/", "servers/" };

/* A random number from 0 to n - 1. */
static int
below(struct soak *s, int n)
{
	return g_rand_int_range(s->restore.rand, 0, n);
}

/* Keeps a copy. */
static void
save(struct soak *s, int64_t now)
{
	struct restore *r = &s->restore;

	store_save(s->store);
	operator_saved(s);
	g_ptr_array_set_size(r->gone, 0);
	r->has_copy = 1;
	r->save_at = 0;
	r->down_at = now + 1 + below(s, AGE_MAX_MS);
}

/* Half of the time the operator writes a version that is lost at once. */
static void
go_down(struct soak *s, int64_t now)
{
	struct restore *r = &s->restore;
	enum store_fault fault =
	    down_faults[below(s, G_N_ELEMENTS(down_faults))];
	int i;

	if (below(s, 2))
		operator_put_config(s, below(s, SERVICES));
	r->down_at = 0;
	r->back_at = now + 1 + below(s, DOWN_MAX_MS);
	if (r->late_at != 0)
		store_send_delayed(s->store);
	r->late_at = 0;
	if (fault == STORE_NO_FAULT) {
		store_delay_answers(s->store,
		    late_prefixes[below(s, G_N_ELEMENTS(late_prefixes))]);
		r->late_at = r->back_at + below(s, LATE_MAX_MS);
	}
	for (i = 0; i < s->nnodes; i++) {
		store_set_address_fault(
		    s->store, s->nodes[i].store_address, fault);
		s->nodes[i].heal_store_at = MAX(r->back_at, r->late_at);
	}
	printf("%" G_GINT64_FORMAT " restore fault=%s down_ms=%d late_ms=%d\n",
	    base_wall_ms(), store_fault_names[fault], (int)(r->back_at - now),
	    r->late_at != 0 ? (int)(r->late_at - r->back_at) : 0);
}

/* Faults of the addresses end with the next fleet_tick(). */
static void
come_back(struct soak *s, int64_t now)
{
	struct restore *r = &s->restore;
	int i;

	store_restore(s->store);
	operator_restored(s);
	s->store_calm_at = now;
	for (i = 0; i < s->nnodes; i++)
		soak_target_report_in(
		    s->nodes[i].target, below(s, REPORT_MAX_MS));
	r->back_at = 0;
	r->operator_at = now + below(s, OPERATOR_MAX_MS);
	r->lapse_at = now + LAPSE_MS;
	r->change = below(s, 2);
	if (below(s, AGAIN_ONE_IN) == 0)
		r->down_at = now + 1 + below(s, AGAIN_MAX_MS);
	else
		r->save_at = now + 1 + below(s, 2 * r->every_ms);
	s->events++;
	printf("%" G_GINT64_FORMAT " restored\n", base_wall_ms());
}

/* Entries of targets that are gone lapse once more. */
static void
remove_gone(struct soak *s)
{
	guint i;

	for (i = 0; i < s->restore.gone->len; i++)
		store_remove_target(
		    s->store, g_ptr_array_index(s->restore.gone, i));
}

/* every_ms: mean time between two restores; 0: none, until it is set. */
void
restore_init(struct soak *s, int seed, int every_ms)
{
	struct restore *r = &s->restore;

	r->rand = g_rand_new_with_seed((guint32)seed);
	r->gone = g_ptr_array_new_with_free_func(g_free);
	r->every_ms = every_ms;
}

/* Called once the store is no longer used. */
void
restore_destroy(struct soak *s)
{
	g_rand_free(s->restore.rand);
	g_ptr_array_free(s->restore.gone, TRUE);
}

/* The first copy is kept at once. */
void
restore_begin(struct soak *s)
{
	if (s->restore.every_ms != 0)
		s->restore.save_at = base_now_ms();
}

/* A store that is down comes back at once. */
void
restore_end(struct soak *s)
{
	struct restore *r = &s->restore;
	int64_t now = base_now_ms();

	if (r->back_at != 0)
		come_back(s, now);
	if (r->late_at != 0)
		store_send_delayed(s->store);
	r->save_at = r->down_at = r->late_at = 0;
}

/* Takes the steps that are due. */
void
restore_tick(struct soak *s, int64_t now)
{
	struct restore *r = &s->restore;

	if (r->operator_at != 0 && now >= r->operator_at) {
		r->operator_at = 0;
		operator_write_again(s);
		if (r->change)
			operator_put_config(s, below(s, SERVICES));
	}
	if (r->lapse_at != 0 && now >= r->lapse_at) {
		r->lapse_at = 0;
		remove_gone(s);
	}
	if (r->save_at != 0 && now >= r->save_at)
		save(s, now);
	if (r->down_at != 0 && now >= r->down_at)
		go_down(s, now);
	if (r->back_at != 0 && now >= r->back_at)
		come_back(s, now);
	if (r->late_at != 0 && now >= r->late_at) {
		r->late_at = 0;
		store_send_delayed(s->store);
	}
}

/* Remembers a target whose entry is removed, as a copy may still have it. */
void
restore_target_gone(struct soak *s, const char *id)
{
	if (s->restore.has_copy)
		g_ptr_array_add(s->restore.gone, g_strdup(id));
}

/*
 * The store loses a version, and that a data centre was out for a moment, and
 * has again what the operator wants.  What is written next has revisions that
 * the store gave out before.
 */
void
restore_lose_changes(
    struct soak *s, int lost_ms, void (*run)(struct soak *, int))
{
	store_save(s->store);
	operator_saved(s);
	run(s, lost_ms);
	operator_put_config(s, s->read_service);
	operator_set_out(s, s->nodes[0].dc, 1);
	operator_set_out(s, s->nodes[0].dc, 0);
	run(s, lost_ms);
	come_back(s, base_now_ms());
	s->restore.save_at = s->restore.down_at = 0;
	s->restore.operator_at = 0;
	operator_write_again(s);
}
