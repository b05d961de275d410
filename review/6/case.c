/*
 * A request that crashes its servers, and healthy requests of another host with
 * the same method and path.
 */
#include "../stand-2/stand.h"

#define LENGTH_MS 50000
#define STEP_MS	  50
#define PATH	  "/common/status"

static int crashes;	 /* servers that the request crashed */
static int64_t third_at; /* of the third crash */
static int late;	 /* arrivals of what was sent ContactMs after it */
static GHashTable *sent; /* id of each attempt of it to its time */

static int
on_run(struct server *s, const struct http_message *m)
{
	struct stand *st = server_machine(s)->stand;
	const char *id = http_find(m, platform_headers.id);
	const int64_t *at;

	if (id == NULL || (at = g_hash_table_lookup(sent, id)) == NULL)
		return 40;
	if (third_at != 0 && *at > third_at + CONTACT_MS)
		late++;
	if (!st->trouble)
		return 40;
	if (++crashes == 3)
		third_at = base_now_ms();
	return -1;
}

int
main(int argc, char **argv)
{
	static const char *const services[] = { "beam-catalog", "order-desk",
		NULL };
	const struct stand_calls calls = { on_run, NULL };
	GString *config = g_string_new(NULL);
	struct attempt *a;
	struct stand s;
	int64_t *at;
	char path[32];
	/* For comparison: the healthy requests have a path of their own. */
	const char *other = getenv("OTHER_PATH");
	int t, n = 0;

	sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stand_config_head(config, 7, services);
	g_string_append(config,
	    "\"VirtualHosts\":[{\"Host\":\"jepu9.example\",\"PathRules\":["
	    "{\"Name\":\"r-1\",\"Prefix\":\"/common/\",\"Kind\":\"idempotent\","
	    "\"TimeoutMs\":1000,\"TargetLatencyMs\":300,\"Priority\":2,"
	    "\"Service\":\"beam-catalog\",\"Attempts\":2}]},"
	    "{\"Host\":\"hulo84.example\",\"PathRules\":["
	    "{\"Name\":\"r-2\",\"Prefix\":\"/common/\",\"Kind\":\"idempotent\","
	    "\"TimeoutMs\":1000,\"TargetLatencyMs\":300,\"Priority\":2,"
	    "\"Service\":\"order-desk\",\"Attempts\":2}]}]}");
	stand_start(&s, argc, argv, 6, services, config->str, &calls);
	for (t = 0; t < LENGTH_MS; t += STEP_MS) {
		/* Each machine's clients: four a second on each host. */
		if (t % 250 == 0)
			for (n = 0; n < s.nmachines; n++) {
				g_snprintf(
				    path, sizeof(path), "/common/n%d", t + n);
				stand_send(&s, n, "GET", "jepu9.example", path,
				    0, 1000, "-healthy");
				stand_send(&s, n, "GET", "hulo84.example",
				    other != NULL ? other : PATH, 0, 1000,
				    "-healthy");
			}
		/* The crashing request comes again, at any machine. */
		if (t >= 2000 && t % 1000 == 100) {
			n = t / 1000 % s.nmachines;
			a = stand_send(&s, n, "GET", "jepu9.example", PATH, 0,
			    1000, "crasher");
			if (a != NULL) {
				at = g_new(int64_t, 1);
				*at = a->sent_at;
				g_hash_table_insert(sent, g_strdup(a->id), at);
			}
		}
		stand_run(&s, STEP_MS);
	}
	stand_run(&s, 1500);
	stand_stop(&s);
	stand_note(&s,
	    "the request crashed %d servers; %d arrivals of what was sent "
	    "ContactMs after the third crash, more than 3 break BUDGET",
	    crashes, late);
	printf("crashes=%d late=%d\n", crashes, late);
	return late > 3 ? CASE_BROKEN : CASE_HELD;
}
