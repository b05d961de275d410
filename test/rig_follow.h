/* A mesh whose nodes follow a stand-in for the platform's store. */
#ifndef RIG_FOLLOW_H
#define RIG_FOLLOW_H

#include "../side/side.h"
#include "../standin/store.h"
#include "rig.h"

#define FOLLOW_RIG_NODES 3 /* unless a test says how many */

struct follow_rig {
	struct rig rig;
	struct store *store;
	char store_addr[ADDRESS_MAX];
	int door; /* of the store, for nodes that it may stop answering */
	char door_addr[ADDRESS_MAX];
	struct side_settings settings[RIG_NODES];
	struct follow *follows[RIG_NODES];
};

/* All nodes in one data centre; all targets listed; time to read them. */
void follow_rig_start(struct follow_rig *);
/* The same with so many nodes, dealt to the data centres in turn. */
void follow_rig_start_in(
    struct follow_rig *, int nodes, const char *const *dcs, int ndcs);
/* The nodes of a data centre in the order in which they read; returns how many.
 */
int follow_rig_order(struct follow_rig *, const char *dc, int *nodes);
/*
 * Lists targets between two nodes in the order (before -1: none goes before);
 * whoever stands beside them takes connections and says nothing.  The caller
 * closes fds.
 */
void follow_rig_list_silent(
    struct follow_rig *, int before, int after, int *fds, int n);
/* A node reaches the store by its door from now on. */
void follow_rig_by_door(struct follow_rig *, int node);
void follow_rig_stop(struct follow_rig *);
/* A node begins to follow the store. */
void follow_rig_one(struct follow_rig *, int node);
/* Lists a node's target in a state. */
void follow_rig_target(struct follow_rig *, int node, const char *state);
/* Version of the configuration that a node has, or 0. */
uint64_t follow_rig_version(struct follow_rig *, int node);
/* Empties a node's view. */
void follow_rig_forget(struct rig_node *);

#endif
