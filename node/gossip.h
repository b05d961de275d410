/*
 * The datagrams of the gossip protocol (UDP): probes and rumours of the
 * membership module, and the configuration version, load, rejections and
 * suspects that they carry besides.  The layers above are called through
 * struct gossip_events.  All functions are called by the loop thread.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "config.h"
#include "node_int.h"

/* Functions of the layers above. */
struct gossip_events {
	/* Returns the load of this node's guard in percent of its limit. */
	int (*load)(struct node *);
	/*
	 * A datagram of a member was handled; the version that it reports is
	 * stored in its struct member.
	 */
	void (*received)(struct node *, int member);
	/* A member pushed a version. */
	void (*push)(struct node *, int member, const Wire__SetReply *);
	/*
	 * A guard reports crashes under a fingerprint or the release of one
	 * from quarantine, or requests the crashes that this node knows.
	 */
	void (*suspect)(struct node *, int member, const Wire__Suspect *);
	/*
	 * Returns 1 if the next datagram is to carry a rejection, and points
	 * the arguments at it; they point into the version state.
	 */
	int (*rejection)(struct node *, const struct version_state *,
	    const struct version **, const char **reason, const char **by);
	/*
	 * The link to a node was closed because its key changed, and messages
	 * queued on it are lost.
	 */
	void (*link_replaced)(struct node *, const char *name);
	/* This node's own membership state may have changed. */
	void (*own_state_changed)(struct node *);
};

/* One entry of a VM list. */
struct vm_line {
	char name[MESH_NAME_MAX + 1];
	char dc[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	int leaving; /* 1: the list shows the VM as leaving */
};

/* A VM list that a reader's thread hands to the loop thread. */
struct vm_list {
	uint64_t index; /* of the source, grows with each change */
	GArray *lines;	/* of struct vm_line */
};

/* ---- gossip.c ---- */

/* Opens the UDP socket at the listen address; NODE_OK or NODE_ELISTEN. */
int gossip_open(struct node *);
void gossip_close(struct node *);
/* Handles the datagrams that have arrived, up to a batch. */
void gossip_receive(struct node *);
/* Runs the timers of membership and sends the datagrams that are due. */
void gossip_tick(struct node *, int64_t now);
/*
 * Sends one datagram to a member.  push is the version that it carries, or
 * NULL.  A datagram that cannot be sent counts as lost: the protocol tolerates
 * that.
 */
void gossip_send(
    struct node *, const struct member_send *, const struct config_delta *push);
/*
 * Sends a message about crashes to a member, or with -1 to the guards of all
 * targets of this node's service.
 */
void gossip_send_suspect(struct node *, int member, Wire__Suspect *);
/* Applies a VM list to the membership and releases it. */
void gossip_vms(struct node *, struct vm_list *);
/* Sends a join request to an address, which need not be a member's. */
void gossip_join(struct node *, const char *addr);

/* ---- join.c ---- */

/* Sends a join request if one is due. */
void join_tick(struct node *, int64_t now);

#endif
