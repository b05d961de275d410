/*
 * Membership on the wire: who is there, and what every datagram says beside.
 * What is above learns of it by the events.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "config.h"
#include "node_int.h"

struct gossip_events {
	/* Load of the guard beside this node, percent. */
	int (*load)(struct node *);
	/* A member was heard; what it holds is in its place. */
	void (*heard)(struct node *, int member);
	/* A member sends a version. */
	void (*pushed)(struct node *, int member, const Wire__SetReply *);
	/* A guard tells of crashes or of a lifted quarantine, or asks. */
	void (*suspected)(struct node *, int member, const Wire__Suspect *);
	/* A rejection that the next datagram carries: 1, and where it is. */
	int (*rejection)(struct node *, const struct version_state *,
	    const struct version **, const char **reason, const char **by);
	/* The connection to a node was dropped, and what it held back. */
	void (*relinked)(struct node *, const char *name);
	/* This node's own state may have changed. */
	void (*own_state)(struct node *);
};

/* A VM list on its way to the loop. */
struct vm_line {
	char name[MESH_NAME_MAX + 1];
	char dc[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	int leaving;
};

struct vm_list {
	uint64_t index;
	GArray *lines; /* of struct vm_line */
};

/* ---- gossip.c ---- */

int gossip_open(struct node *);
void gossip_close(struct node *);
void gossip_receive(struct node *);
void gossip_tick(struct node *, int64_t now);
/* Sends one datagram to a member; push may be NULL. */
void gossip_send(
    struct node *, const struct member_send *, const struct config_delta *push);
/* Tells one guard of this node's service (a member), or all (-1). */
void gossip_suspect(struct node *, int member, Wire__Suspect *);
/* Takes a VM list over. */
void gossip_vms(struct node *, struct vm_list *);
/* Greets the node at an address, which need not be known. */
void gossip_greet(struct node *, const char *addr);

/* ---- join.c ---- */

void join_tick(struct node *, int64_t now);

#endif
