/*
 * Rules of the fault proxy for traffic between groups of nodes.  They are set
 * by a script or over HTTP by the test driver.  Random choices come from one
 * generator with the seed of the script.
 */
#ifndef FAULT_H
#define FAULT_H

#include <pthread.h>

#include "../base/base.h"

enum rule_kind {
	RULE_CUT,	/* drops all traffic in that direction */
	RULE_LOSS,	/* value: percent of datagrams dropped */
	RULE_DUPLICATE, /* value: percent of datagrams sent twice */
	RULE_DELAY,	/* value: ms added in each direction */
	RULE_DISTANCE,	/* value: us added between nodes of different groups */
	RULE_REORDER,	/* value: percent of datagrams delayed past others */
	RULE_SILENT,	/* open connections carry nothing more */
	RULE_RESET,	/* open connections are reset */
	RULE_TRUNCATE,	/* open ones are closed amid the next block of data */
	RULE_HEAL,	/* removes all rules */
	RULE_COUNT
};

extern const char *const rule_names[]; /* NULL at the end */

#define FAULT_NAME_MAX	32 /* bytes of a node's or group's name */
#define FAULT_NODES_MAX 512
#define FAULT_RULES_MAX 64

/* A node behind the proxy. */
struct fault_node {
	char name[FAULT_NAME_MAX];
	char group[FAULT_NAME_MAX];
	char ip[FAULT_NAME_MAX];      /* of forward; source of its traffic */
	char listen[FAULT_NAME_MAX];  /* the proxy's address for it */
	char forward[FAULT_NAME_MAX]; /* the node's address */
};

struct fault_rule {
	enum rule_kind kind;
	char from[FAULT_NAME_MAX], to[FAULT_NAME_MAX]; /* "*": any */
	int value;
};

/* A rule of the script, applied once at its time. */
struct fault_step {
	int64_t at_ms; /* since the start */
	struct fault_rule rule;
	int done;
};

/* Used by the proxy's thread and by HTTP threads; guarded by lock. */
struct fault_table {
	pthread_mutex_t lock;
	struct fault_node nodes[FAULT_NODES_MAX];
	int nnodes;
	struct fault_rule rules[FAULT_RULES_MAX];
	int nrules;
	/* Rules for the connections open now, applied once. */
	struct fault_rule one_shot[FAULT_RULES_MAX];
	int one_shot_count;
	struct fault_step *steps;
	int nsteps;
	GRand *rand;
	int64_t passed, dropped; /* datagrams, blocks of streams */
};

/*
 * Reads nodes, seed and steps from a JSON file into the table, which need not
 * be initialized.  Returns -1 after errors, which it adds to the report.
 */
int fault_read_script(struct fault_table *, const char *path, struct report *);
/* Adds a rule, or removes all for RULE_HEAL; the lock must be held. */
void fault_apply(struct fault_table *, const struct fault_rule *);
/* Applies the steps whose time has come; the lock must be held. */
void fault_run_script(struct fault_table *, int64_t since_start_ms);
/* Index of the node with an IP, or -1. */
int fault_node_by_ip(const struct fault_table *, const char *ip);
/* Whether a rule applies between two nodes, by index; -1: unknown node. */
int fault_matches(
    const struct fault_table *, const struct fault_rule *, int from, int to);
/*
 * Value, at least 1, of the first rule of a kind that applies between two
 * nodes; 0 if there is none.
 */
int fault_value(const struct fault_table *, enum rule_kind, int from, int to);
/* Delay of traffic between two nodes, us. */
int fault_delay_us(const struct fault_table *, int from, int to);
/* 1 with the given probability in percent, else 0. */
int fault_chance(struct fault_table *, int percent);
/* Rule kind of a name, or -1. */
int fault_kind_by_name(const char *name);

#endif
