/* Choice of a target by load, and rendezvous hashing. */
#include <string.h>

#include <xxhash.h>

#include "mesh.h"

#define CANDIDATES_MAX 256

static int
less_loaded(const struct candidate *, const int *, int, uint32_t, uint32_t);
static uint64_t weight(const char *, const char *);

/* Power of two choices: the less loaded of two random members of a list. */
static int
less_loaded(
    const struct candidate *c, const int *list, int n, uint32_t r1, uint32_t r2)
{
	int a, b;

	a = (int)(r1 % (uint32_t)n);
	if (n == 1)
		return list[a];
	b = (int)(r2 % (uint32_t)(n - 1));
	if (b >= a)
		b++;
	return c[list[a]].load <= c[list[b]].load ? list[a] : list[b];
}

/* Targets beyond CANDIDATES_MAX are ignored. */
int
pick_target(
    const struct candidate *c, int n, uint32_t r1, uint32_t r2, int64_t now)
{
	int local[CANDIDATES_MAX], any[CANDIDATES_MAX];
	int nlocal = 0, nany = 0, i, best;

	for (i = 0; i < n && nany < CANDIDATES_MAX; i++) {
		if (!c[i].usable || c[i].avoid_until > now)
			continue;
		any[nany++] = i;
		if (c[i].local)
			local[nlocal++] = i;
	}
	if (nlocal > 0) {
		best = less_loaded(c, local, nlocal, r1, r2);
		if (c[best].load < PICK_SPILL_LOAD)
			return best;
	}
	if (nany == 0)
		return MESH_ENOTFOUND;
	return less_loaded(c, any, nany, r1, r2);
}

/* Rendezvous weight of a name under a key. */
static uint64_t
weight(const char *key, const char *name)
{
	return XXH3_64bits_withSeed(
	    name, strlen(name), XXH3_64bits(key, strlen(key)));
}

/*
 * Targets may share a tag of 16 bits; pick_nth_home then orders them by index.
 */
uint16_t
pick_tag(const char *target)
{
	return (uint16_t)XXH3_64bits(target, strlen(target));
}

/* The maximum for a matching tag puts that target before all others. */
uint64_t
pick_home_weight(const char *id, const char *target)
{
	if (reqid_tag(id) == pick_tag(target))
		return UINT64_MAX;
	return weight(id, target);
}

/* Inserts each name into the list of those with the greatest weights so far. */
int
pick_rendezvous(
    const char *key, const char *const *names, int n, int *chosen, int want)
{
	uint64_t w, *weights;
	int i, j, got = 0;

	weights = g_new(uint64_t, MAX(want, 1));
	for (i = 0; i < n; i++) {
		w = weight(key, names[i]);
		for (j = got; j > 0 && weights[j - 1] < w; j--)
			if (j < want) {
				weights[j] = weights[j - 1];
				chosen[j] = chosen[j - 1];
			}
		if (j < want) {
			weights[j] = w;
			chosen[j] = i;
			got = MIN(got + 1, want);
		}
	}
	g_free(weights);
	return got;
}
