/*
 * Reserve of a target's slots.  While one kind of requests overloads a target,
 * those that wait longest are served, and a kind with few requests or a short
 * time limit is hardly served at all, although it needs next to nothing.  So
 * kinds that used little of the target go ahead of others of their priority,
 * as long as this takes no more than a small part of the slots.
 */
#include "admit_int.h"

/* The reserve is one slot in so many, and the same part of the slot time. */
#define RESERVE_DIVISOR 8
/* A kind is small if it took no more than one part in so many of that time. */
#define SMALL_DIVISOR 8
/* Slot time of each slot after which earlier runs count half. */
#define WINDOW_US 2000000

static int64_t used_us(const struct admit *, uint32_t);

/* Recent slot time of a kind; 0 if it is not known. */
static int64_t
used_us(const struct admit *a, uint32_t kind)
{
	const struct admit_kind *k = admit_kind_find(a, kind);

	return k != NULL ? k->used_us : 0;
}

/* Before the first run has ended, all kinds are small. */
int
admit_is_small(const struct admit *a, uint32_t kind)
{
	return used_us(a, kind) * SMALL_DIVISOR <= a->used_us;
}

/*
 * Bounded by number, since the run times of new kinds are not known, and by
 * time, since one slot may be most of what a cold target has.
 */
int
admit_reserve_has_room(const struct admit *a)
{
	int most = CLAMP(a->slots / RESERVE_DIVISOR, 1, ADMIT_KINDS / 2);

	return a->reserved < most &&
	       a->reserved_us * RESERVE_DIVISOR <= a->used_us;
}

/* Of small kinds, the one that used least comes first. */
guint
admit_reserve_pick(struct admit *a)
{
	const struct admit_request *first =
	    &g_array_index(a->waiting, struct admit_request, 0);
	const struct admit_request *r;
	int64_t used, least = 0;
	guint i, best = a->waiting->len;

	if (!admit_reserve_has_room(a))
		return 0;
	for (i = 0; i < a->waiting->len; i++) {
		r = &g_array_index(a->waiting, struct admit_request, i);
		if (r->priority != first->priority ||
		    admit_is_failing(a, r->kind))
			break;
		used = used_us(a, r->kind);
		if (admit_is_small(a, r->kind) &&
		    (best == a->waiting->len || used < least)) {
			best = i;
			least = used;
		}
	}
	if (best == a->waiting->len)
		return 0;
	r = &g_array_index(a->waiting, struct admit_request, best);
	admit_kind_get(a, r->kind)->reserved++;
	a->reserved++;
	return best;
}

/* Which of a kind's runs was started from the reserve does not matter. */
void
admit_reserve_ended(struct admit *a, struct admit_kind *k, int64_t held_us)
{
	int i;

	k->used_us += held_us;
	a->used_us += held_us;
	if (k->reserved > 0) {
		k->reserved--;
		a->reserved--;
		a->reserved_us += held_us;
	}
	if (a->used_us <= (int64_t)a->slots * WINDOW_US)
		return;
	a->used_us /= 2;
	a->reserved_us /= 2;
	for (i = 0; i < a->nkinds; i++)
		a->kinds[i].used_us /= 2;
}
