/*
 * What the fault proxy does to traffic between groups of nodes.  Rules are
 * set by a script or by the driver; every choice by chance comes from a seed.
 */
#ifndef FAULT_H
#define FAULT_H

#include <pthread.h>

#include "../base/base.h"

enum rule_kind {
	RULE_CUT,	/* nothing passes, in that direction */
	RULE_LOSS,	/* value: percent of datagrams dropped */
	RULE_DUPLICATE, /* value: percent of datagrams sent twice */
	RULE_DELAY,	/* value: ms added in each direction */
	RULE_DISTANCE,	/* value: us added between nodes of different groups */
	RULE_REORDER,	/* value: percent of datagrams held back a while */
	RULE_SILENT,	/* connections open now carry nothing more */
	RULE_RESET,	/* connections open now are reset */
	RULE_TRUNCATE,	/* they are closed amid what comes next */
	RULE_HEAL,	/* takes all rules away */
	RULE_COUNT
};

extern const char *const rule_names[];

#define FAULT_NAME_MAX 32 /* bytes of a node's or group's name */
#define FAULT_NODES    512
#define FAULT_RULES    64

/* A node behind the proxy. */
struct fault_node {
	char name[FAULT_NAME_MAX];
	char group[FAULT_NAME_MAX];
	char ip[FAULT_NAME_MAX]; /* its own, by which its traffic is known */
	char listen[FAULT_NAME_MAX];  /* the proxy's address for it */
	char forward[FAULT_NAME_MAX]; /* the node's address */
};

struct fault_rule {
	enum rule_kind kind;
	char from[FAULT_NAME_MAX], to[FAULT_NAME_MAX]; /* "*": any */
	int value;
};

/* A step of the script. */
struct fault_step {
	int64_t at_ms; /* since the start */
	struct fault_rule rule;
	int done;
};

/* Shared by the proxy's thread and the driver's; guarded by lock. */
struct fault_table {
	pthread_mutex_t lock;
	struct fault_node nodes[FAULT_NODES];
	int nnodes;
	struct fault_rule rules[FAULT_RULES];
	int nrules;
	struct fault_rule once[FAULT_RULES]; /* for connections open now */
	int nonce;
	struct fault_step *steps;
	int nsteps;
	GRand *rand;
	int64_t passed, dropped; /* datagrams and blocks */
};

/* Reads the nodes and the script; problems go into the report. */
int fault_read(struct fault_table *, const char *path, struct report *);
/* Adds a rule, or heals. */
void fault_apply(struct fault_table *, const struct fault_rule *);
/* Does the steps whose time has come. */
void fault_script(struct fault_table *, int64_t since_start_ms);
/* Node by its own IP, or -1. */
int fault_node_by_ip(const struct fault_table *, const char *ip);
/* Whether a rule is meant for a direction; nodes are indexes, -1: unknown. */
int fault_matches(
    const struct fault_table *, const struct fault_rule *, int from, int to);
/* Value of the first rule of a kind for a direction, or 0. */
int fault_value(const struct fault_table *, enum rule_kind, int from, int to);
/* Time by which traffic in a direction is held back, us. */
int fault_delay_us(const struct fault_table *, int from, int to);
/* Throws the dice: 1 with the given percentage. */
int fault_chance(struct fault_table *, int percent);
/* Rule kind by name, or -1. */
int fault_kind(const char *name);

#endif
