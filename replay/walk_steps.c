/* Steps of a random walk: made from a seed, shrunk, printed. */
#include <inttypes.h>
#include <string.h>

#include "walk_int.h"

static const char *const step_names[] = { "call", "resend", "deliver",
	"deliver_last", "drop", "next", "done", "time", "restart", "out",
	"dead" };

/* How often each kind comes. */
static const int step_weights[STEP_KINDS] = { 8, 4, 20, 6, 3, 14, 12, 8, 1, 1,
	1 };

/* Makes steps. */
void
walk_make(uint32_t seed, struct walk_step *s, int n)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int i, k, total = 0, dice;

	for (k = 0; k < STEP_KINDS; k++)
		total += step_weights[k];
	for (i = 0; i < n; i++) {
		dice = g_rand_int_range(rand, 0, total);
		for (k = 0; dice >= step_weights[k]; k++)
			dice -= step_weights[k];
		s[i].kind = k;
		s[i].a = g_rand_int(rand);
		s[i].b = g_rand_int(rand);
	}
	g_rand_free(rand);
}

/* Leaves out whatever is not needed for a failure. */
int
walk_shrink(struct walk_step *s, int n)
{
	struct walk_step *t = g_new(struct walk_step, n);
	char *broken;
	int i, piece;

	for (piece = n / 2; piece > 0; piece /= 2) {
		for (i = 0; i + piece <= n;) {
			memcpy(t, s, (size_t)i * sizeof(*s));
			memcpy(t + i, s + i + piece,
			    (size_t)(n - i - piece) * sizeof(*s));
			broken = walk_run(t, n - piece);
			if (broken != NULL) {
				n -= piece;
				memcpy(s, t, (size_t)n * sizeof(*s));
			} else {
				i += piece;
			}
			g_free(broken);
		}
	}
	g_free(t);
	return n;
}

/* One line a step. */
void
walk_print(const struct walk_step *s, int n, GString *out)
{
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(out, "  %s %" PRIu32 " %" PRIu32 "\n",
		    step_names[s[i].kind], s[i].a, s[i].b);
}
