/* Nodes whose views follow a stand-in for the platform's store. */
#ifndef RIG_FOLLOW_H
#define RIG_FOLLOW_H

#include "../side/side.h"
#include "../standin/store.h"
#include "rig.h"

#define FOLLOW_RIG_NODES 3    /* started by follow_rig_start() */
#define FOLLOW_REPORT_MS 1500 /* interval of the targets' reports */

struct follow_rig {
	struct rig rig;
	struct store *store;
	char store_addr[ADDRESS_MAX];
	/* A second address of the store, at which it may stop answering. */
	int address_id; /* of it, for store_set_address_fault() */
	char second_addr[ADDRESS_MAX];
	struct side_settings settings[RIG_NODES_MAX];
	struct follow *follows[RIG_NODES_MAX];
};

/*
 * Starts all nodes in one data centre, lists their targets as ready and runs
 * until the nodes have read the lists.
 */
void follow_rig_start(struct follow_rig *);
/* The same with a number of nodes, assigned to the data centres in turn. */
void follow_rig_start_in(
    struct follow_rig *, int nodes, const char *const *dcs, int ndcs);
/* Stores the nodes of a data centre by rank; returns their number. */
int follow_rig_order(struct follow_rig *, const char *dc, int *nodes);
/*
 * Lists n targets that rank after the node before (-1: from rank 0 on) and
 * before the node after.  Their nodes accept connections and never answer.  The
 * caller closes the n listening sockets stored in fds.
 */
void follow_rig_list_silent(
    struct follow_rig *, int before, int after, int *fds, int n);
/* A node uses the store's second address from now on. */
void follow_rig_use_second_addr(struct follow_rig *, int node);
void follow_rig_stop(struct follow_rig *);
/* Starts the follower of a node. */
void follow_rig_start_node(struct follow_rig *, int node);
/* Lists a node's target in a state, "ready" or "draining". */
void follow_rig_put_target(struct follow_rig *, int node, const char *state);
/* Version of the configuration that a node has in force, or 0. */
uint64_t follow_rig_config_version(struct follow_rig *, int node);
/* Removes everything from a node's view. */
void follow_rig_clear_view(struct rig_node *);

#endif
