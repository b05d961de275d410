/*
 * Requests that crash targets, between the guards of a service: a crash is told
 * several times, as datagrams get lost and links are cut, and a guard that
 * starts asks the others for what they know.
 */
#include <string.h>

#include "gossip.h"
#include "record.h"

#define TOLD_MAX 64 /* fingerprints told again; others are told once */

/* Before a crash is told, or the others are asked, once more, ms. */
static const int pauses_ms[] = { 1000, 3000, 12000 };

/* A crash that was seen here, to be told again. */
struct told {
	uint64_t fingerprint;
	int64_t next_at;
	guint tells;
};

/* What guard_each_crash needs to answer a question. */
struct asker {
	struct node *node;
	int member;
};

static void tell(struct node *, int, uint64_t, const struct crashes *);
static void tell_known(struct node *, uint64_t);
static void ask(struct node *);
static void answer_one(void *, uint64_t, const struct crashes *, int64_t);

/* Prepares; nothing is known. */
void
suspect_init(struct node *n)
{
	n->guard->told = g_array_new(FALSE, FALSE, sizeof(struct told));
}

/* Releases it. */
void
suspect_destroy(struct node *n)
{
	g_array_free(n->guard->told, TRUE);
}

/* Tells one guard of the service, or all (-1). */
static void
tell(struct node *n, int member, uint64_t fp, const struct crashes *c)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;

	w.fingerprint = fp;
	w.crashes = (uint64_t *)c->ids;
	w.n_crashes = (size_t)c->n;
	gossip_suspect(n, member, &w);
}

/* Tells all guards what counts under a fingerprint, if anything does. */
static void
tell_known(struct node *n, uint64_t fp)
{
	struct crashes c;

	guard_crash_ids(n->guard->guard, fp, &c, base_now_ms());
	if (c.n > 0)
		tell(n, -1, fp, &c);
}

/* An exchange broke here: what counts now is told, now and again. */
void
suspect_broken(struct node *n, uint64_t fp)
{
	struct told t = { fp, base_now_ms() + pauses_ms[0], 0 };

	if (guard_crashes(n->guard->guard, fp, base_now_ms()) == 0)
		return;
	tell_known(n, fp);
	if (n->guard->told->len < TOLD_MAX)
		g_array_append_val(n->guard->told, t);
}

/* The others are asked. */
static void
ask(struct node *n)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;

	w.ask = 1;
	gossip_suspect(n, -1, &w);
}

/* Time passes. */
void
suspect_tick(struct node *n, int64_t now)
{
	struct guard_side *g = n->guard;
	struct told *t;
	guint i = 0;

	if (g->guard == NULL)
		return;
	if (g->asks <= G_N_ELEMENTS(pauses_ms) && now >= g->ask_at) {
		ask(n);
		if (g->asks < G_N_ELEMENTS(pauses_ms))
			g->ask_at = now + pauses_ms[g->asks];
		g->asks++;
	}
	while (i < g->told->len) {
		t = &g_array_index(g->told, struct told, i);
		if (now < t->next_at) {
			i++;
			continue;
		}
		tell_known(n, t->fingerprint);
		if (++t->tells < G_N_ELEMENTS(pauses_ms))
			t->next_at = now + pauses_ms[t->tells];
		else
			g_array_remove_index_fast(g->told, i);
	}
}

/* Answers a question. */
static void
answer_one(void *arg, uint64_t fp, const struct crashes *c, int64_t until)
{
	const struct asker *a = arg;

	(void)until;
	tell(a->node, a->member, fp, c);
}

/* Another guard tells of crashes or of a release, or asks. */
void
suspect_told(struct node *n, int member, const Wire__Suspect *s)
{
	struct asker a = { n, member };
	struct crashes c = { 0 };
	size_t i;

	if (n->guard->guard == NULL)
		return;
	if (s->ask) {
		guard_each_crash(
		    n->guard->guard, base_now_ms(), answer_one, &a);
		return;
	}
	if (s->released) {
		record_release(n, s->fingerprint);
		return;
	}
	for (i = 0; i < s->n_crashes; i++)
		crashes_add(&c, s->crashes[i]);
	record_suspect(n, s->fingerprint, &c);
}

/* Lifts a quarantine, here and at the other guards of the service. */
int
suspect_release(struct node *n, uint64_t fingerprint)
{
	Wire__Suspect w = WIRE__SUSPECT__INIT;
	int had = 0;

	if (n->guard->guard != NULL)
		had = record_release(n, fingerprint);
	w.fingerprint = fingerprint;
	w.released = 1;
	gossip_suspect(n, -1, &w);
	return had;
}
