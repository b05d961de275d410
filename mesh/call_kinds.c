/* Detection of calls, by guards, and the record of it that entries keep. */
#include "call_kinds.h"
#include "../base/base.h"

#define SCORE_DIVISOR 8 /* a report has a weight of 1/8 */

static struct call_kind *find_kind(struct call_kinds *, uint32_t);
static void count_caller(struct call_kinds *, uint32_t);
static struct call_report *find_report(struct call_reports *, uint32_t);
static int is_listed(const uint32_t *, int, uint32_t);

/* Returns the record of a kind, or NULL. */
static struct call_kind *
find_kind(struct call_kinds *c, uint32_t kind)
{
	int i;

	for (i = 0; i < c->n; i++)
		if (c->kinds[i].kind == kind)
			return &c->kinds[i];
	return NULL;
}

/* Records which two services sent requests last. */
static void
count_caller(struct call_kinds *c, uint32_t caller)
{
	c->requests++;
	if (c->seen[0] > 0 && c->callers[0] != caller) {
		c->callers[1] = c->callers[0];
		c->seen[1] = c->seen[0];
	}
	c->callers[0] = caller;
	c->seen[0] = c->requests;
}

/* A request from another service's entry begins a new row. */
void
call_kinds_learn(struct call_kinds *c, uint32_t kind, const char *caller)
{
	uint32_t from = g_str_hash(caller);
	struct call_kind *k = find_kind(c, kind);

	count_caller(c, from);
	if (k == NULL) {
		if (c->n == CALL_KINDS_MAX)
			return;
		k = &c->kinds[c->n++];
		*k = (struct call_kind){ kind, from, 0, CALL_ROW };
	}
	if (k->caller != from) {
		k->caller = from;
		k->row = 0;
		k->needed = MIN(k->needed * 2, CALL_ROW_MAX);
	}
	k->row = MIN(k->row + 1, CALL_ROW_MAX);
}

/* The kind needs its row, and recent requests of another service. */
int
call_kinds_is_call(const struct call_kinds *c, uint32_t kind)
{
	const struct call_kind *k = find_kind((struct call_kinds *)c, kind);
	int other;

	if (k == NULL || k->row < k->needed)
		return 0;
	other = c->callers[0] == k->caller;
	return c->seen[other] > 0 &&
	       c->requests - c->seen[other] < CALL_OTHERS_RECENT;
}

/* Whether a kind is in the list. */
static int
is_listed(const uint32_t *kinds, int n, uint32_t kind)
{
	while (n-- > 0)
		if (kinds[n] == kind)
			return 1;
	return 0;
}

/* The order of the table does not matter. */
void
call_kinds_retain(struct call_kinds *c, const uint32_t *kinds, int n)
{
	int i = 0;

	while (i < c->n) {
		if (is_listed(kinds, n, c->kinds[i].kind))
			i++;
		else
			c->kinds[i] = c->kinds[--c->n];
	}
}

/* Returns the record of a kind, or NULL. */
static struct call_report *
find_report(struct call_reports *c, uint32_t kind)
{
	int i;

	for (i = 0; i < c->n; i++)
		if (c->kinds[i].kind == kind)
			return &c->kinds[i];
	return NULL;
}

/* Only kinds that were reported as calls are kept. */
void
call_reports_add(struct call_reports *c, uint32_t kind, int is_call)
{
	struct call_report *k = find_report(c, kind);

	if (k == NULL) {
		if (!is_call || c->n == CALL_KINDS_MAX)
			return;
		k = &c->kinds[c->n++];
		*k = (struct call_report){ kind, 0 };
	}
	k->score += ((is_call ? CALL_SCORE_MAX : 0) - k->score) / SCORE_DIVISOR;
}

/* The score is above one half after six reports in a row. */
int
call_reports_is_call(const struct call_reports *c, uint32_t kind)
{
	const struct call_report *k =
	    find_report((struct call_reports *)c, kind);

	return k != NULL && k->score > CALL_SCORE_MAX / 2;
}

/* The order of the table does not matter. */
void
call_reports_retain(struct call_reports *c, const uint32_t *kinds, int n)
{
	int i = 0;

	while (i < c->n) {
		if (is_listed(kinds, n, c->kinds[i].kind))
			i++;
		else
			c->kinds[i] = c->kinds[--c->n];
	}
}
