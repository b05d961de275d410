/* Homes of an id: all targets of a service, in descending order of weight. */
#include "mesh.h"

/* Targets of equal weight are ordered by index. */
int
pick_nth_home(const char *id, const char *const *names, int n, int k)
{
	uint64_t w, best_w, last_w = UINT64_MAX;
	int i, best = MESH_ENOTFOUND, last = -1;

	for (; k >= 0; k--) {
		best = MESH_ENOTFOUND;
		best_w = 0;
		for (i = 0; i < n; i++) {
			w = pick_home_weight(id, names[i]);
			if (w > last_w || (w == last_w && i <= last))
				continue;
			if (best < 0 || w > best_w) {
				best = i;
				best_w = w;
			}
		}
		if (best < 0)
			return MESH_ENOTFOUND;
		last_w = best_w;
		last = best;
	}
	return best;
}
