/* Steps of a random walk: generated from a seed, shrunk, printed. */
#include <inttypes.h>
#include <string.h>

#include "walk_int.h"

static const char *const step_names[] = { "call", "resend", "deliver",
	"deliver_last", "drop", "next", "done", "time", "restart", "out",
	"dead" };

/* Relative frequency of each kind, by enum step_kind. */
static const int step_weights[STEP_KINDS] = { 8, 4, 20, 6, 3, 14, 12, 8, 1, 1,
	1 };

/*
 * Generates steps.  A seed names a walk in reports and tests, so the number and
 * order of calls of the generator must stay.
 */
void
walk_generate(uint32_t seed, struct walk_step *s, int n)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int i, k, total = 0, draw;

	for (k = 0; k < STEP_KINDS; k++)
		total += step_weights[k];
	for (i = 0; i < n; i++) {
		draw = g_rand_int_range(rand, 0, total);
		for (k = 0; draw >= step_weights[k]; k++)
			draw -= step_weights[k];
		s[i].kind = k;
		s[i].a = g_rand_int(rand);
		s[i].b = g_rand_int(rand);
	}
	g_rand_free(rand);
}

/*
 * Removes chunks of steps, of half the length first, down to single steps, as
 * long as the walk still fails without them.
 */
int
walk_shrink(struct walk_step *s, int n)
{
	struct walk_step *shorter = g_new(struct walk_step, n);
	char *failure;
	int i, chunk;

	for (chunk = n / 2; chunk > 0; chunk /= 2) {
		for (i = 0; i + chunk <= n;) {
			memcpy(shorter, s, (size_t)i * sizeof(*s));
			memcpy(shorter + i, s + i + chunk,
			    (size_t)(n - i - chunk) * sizeof(*s));
			failure = walk_run(shorter, n - chunk);
			if (failure != NULL) {
				n -= chunk;
				memcpy(s, shorter, (size_t)n * sizeof(*s));
			} else {
				i += chunk;
			}
			g_free(failure);
		}
	}
	g_free(shorter);
	return n;
}

/* Appends one line per step: its name and its two numbers. */
void
walk_print(const struct walk_step *s, int n, GString *out)
{
	int i;

	for (i = 0; i < n; i++)
		g_string_append_printf(out, "  %s %" PRIu32 " %" PRIu32 "\n",
		    step_names[s[i].kind], s[i].a, s[i].b);
}
