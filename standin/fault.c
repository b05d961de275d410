/* Rules of the fault proxy: reading, application and matching. */
#include <string.h>

#include "fault.h"

#define SCRIPT_MAX 1048576 /* bytes */
#define US_PER_MS  1000

static void
read_node(struct fault_table *, const struct json *, struct report *);
static void
read_step(const struct json *, struct fault_step *, struct report *);
static int name_matches(const struct fault_table *, const char *, int);

const char *const rule_names[] = { "cut", "loss", "duplicate", "delay",
	"distance", "reorder", "silent", "reset", "truncate", "heal", NULL };

/* Used for scripts and control requests. */
int
fault_kind_by_name(const char *name)
{
	int i;

	for (i = 0; rule_names[i] != NULL; i++)
		if (strcmp(rule_names[i], name) == 0)
			return i;
	return -1;
}

/* Adds a node of the script to the table; its IP is that of forward. */
static void
read_node(struct fault_table *t, const struct json *j, struct report *rep)
{
	struct fault_node *n = &t->nodes[t->nnodes];

	if (t->nnodes == FAULT_NODES_MAX) {
		report_error(rep, j->line, "script", "", "too many nodes");
		return;
	}
	g_strlcpy(n->name, json_str(j, "name", ""), FAULT_NAME_MAX);
	g_strlcpy(n->group, json_str(j, "group", ""), FAULT_NAME_MAX);
	g_strlcpy(n->listen, json_str(j, "listen", ""), FAULT_NAME_MAX);
	g_strlcpy(n->forward, json_str(j, "forward", ""), FAULT_NAME_MAX);
	g_strlcpy(n->ip, n->forward, FAULT_NAME_MAX);
	n->ip[strcspn(n->ip, ":")] = '\0';
	if (n->name[0] == '\0' || n->listen[0] == '\0' || n->forward[0] == '\0')
		report_error(rep, j->line, "node", n->name,
		    "needs name, listen and forward");
	t->nnodes++;
}

/* Reads a step of the script; from and to are "*" if missing. */
static void
read_step(const struct json *j, struct fault_step *s, struct report *rep)
{
	int kind = fault_kind_by_name(json_str(j, "do", ""));

	if (kind < 0)
		report_error(rep, j->line, "step", json_str(j, "do", ""),
		    "unknown kind of fault");
	s->at_ms = json_int(j, "at_ms", 0);
	s->rule.kind = (enum rule_kind)MAX(kind, 0);
	s->rule.value = (int)json_int(j, "value", 0);
	g_strlcpy(s->rule.from, json_str(j, "from", "*"), FAULT_NAME_MAX);
	g_strlcpy(s->rule.to, json_str(j, "to", "*"), FAULT_NAME_MAX);
}

/* Counts the steps first, so that they are allocated at once. */
int
fault_read_script(struct fault_table *t, const char *path, struct report *rep)
{
	const struct json *list, *j;
	struct json *root;
	char *text;
	size_t len;

	memset(t, 0, sizeof(*t));
	pthread_mutex_init(&t->lock, NULL);
	if (base_read_file(path, SCRIPT_MAX, &text, &len) != BASE_OK) {
		report_error(rep, 0, "file", "", "cannot be read");
		return -1;
	}
	root = json_parse(text, len, rep);
	g_free(text);
	if (root == NULL)
		return -1;
	t->rand = g_rand_new_with_seed((guint32)json_int(root, "seed", 1));
	list = json_get(root, "nodes");
	for (j = list != NULL ? list->child : NULL; j != NULL; j = j->next)
		read_node(t, j, rep);
	list = json_get(root, "script");
	for (j = list != NULL ? list->child : NULL; j != NULL; j = j->next)
		t->nsteps++;
	t->steps = g_new0(struct fault_step, MAX(t->nsteps, 1));
	t->nsteps = 0;
	for (j = list != NULL ? list->child : NULL; j != NULL; j = j->next)
		read_step(j, &t->steps[t->nsteps++], rep);
	json_free(root);
	return rep->errors > 0 ? -1 : 0;
}

/* Kinds from RULE_SILENT on act once, on the connections open now. */
void
fault_apply(struct fault_table *t, const struct fault_rule *r)
{
	if (r->kind == RULE_HEAL) {
		t->nrules = 0;
		return;
	}
	if (r->kind >= RULE_SILENT) {
		if (t->one_shot_count < FAULT_RULES_MAX)
			t->one_shot[t->one_shot_count++] = *r;
	} else if (t->nrules < FAULT_RULES_MAX) {
		t->rules[t->nrules++] = *r;
	}
}

/* Called in each round of the forwarding thread. */
void
fault_run_script(struct fault_table *t, int64_t ms)
{
	int i;

	for (i = 0; i < t->nsteps; i++) {
		if (t->steps[i].done || t->steps[i].at_ms > ms)
			continue;
		t->steps[i].done = 1;
		fault_apply(t, &t->steps[i].rule);
	}
}

/* Identifies the sender of traffic. */
int
fault_node_by_ip(const struct fault_table *t, const char *ip)
{
	int i;

	for (i = 0; i < t->nnodes; i++)
		if (strcmp(t->nodes[i].ip, ip) == 0)
			return i;
	return -1;
}

/* Whether a name is that of a node or of its group, or "*". */
static int
name_matches(const struct fault_table *t, const char *name, int node)
{
	if (strcmp(name, "*") == 0)
		return 1;
	return node >= 0 && (strcmp(name, t->nodes[node].name) == 0 ||
				strcmp(name, t->nodes[node].group) == 0);
}

/*
 * RULE_CUT and RULE_DISTANCE do not apply within a group: a group that is cut
 * from all others stays whole, and its nodes are close to each other.
 */
int
fault_matches(
    const struct fault_table *t, const struct fault_rule *r, int from, int to)
{
	if (!name_matches(t, r->from, from) || !name_matches(t, r->to, to))
		return 0;
	return (r->kind != RULE_CUT && r->kind != RULE_DISTANCE) || from < 0 ||
	       to < 0 || strcmp(t->nodes[from].group, t->nodes[to].group) != 0;
}

/* At least 1, so that a rule without a value applies as well. */
int
fault_value(const struct fault_table *t, enum rule_kind kind, int from, int to)
{
	int i;

	for (i = 0; i < t->nrules; i++)
		if (t->rules[i].kind == kind &&
		    fault_matches(t, &t->rules[i], from, to))
			return MAX(t->rules[i].value, 1);
	return 0;
}

/* Sums RULE_DELAY (ms) and RULE_DISTANCE (us). */
int
fault_delay_us(const struct fault_table *t, int from, int to)
{
	return fault_value(t, RULE_DELAY, from, to) * US_PER_MS +
	       fault_value(t, RULE_DISTANCE, from, to);
}

/* Draws from the script's generator, so that a run can be repeated. */
int
fault_chance(struct fault_table *t, int percent)
{
	return percent > 0 && g_rand_int_range(t->rand, 0, 100) < percent;
}
