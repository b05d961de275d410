/*
 * Group membership and failure detection by gossip, after SWIM (Das, Gupta,
 * Motivala, 2002): direct and indirect probes, suspicion, incarnations.  The VM
 * list, which lags behind, names the nodes to contact; probes determine which
 * of them are alive.
 *
 * The traffic of a node does not depend on the number of members: it sends one
 * probe per period, and each datagram carries a bounded number of rumours.  In
 * addition, a node that starts probes every member, since it learns the
 * incarnation and key of a guard only from the guard's own datagrams.
 *
 * This module does no I/O: received datagrams are passed in, and datagrams to
 * send are queued until members_next_send returns them.  Times are monotonic
 * ms.  A handle is the index of a member; members are never removed.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "mesh.h"

/* State of a node.  The numbers are sent on the wire; greater is worse. */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* accepts no new requests, still replies */
	MEMBER_SUSPECT, /* did not reply to probes; may refute */
	MEMBER_DEAD,	/* did not refute in time; probed less often */
	MEMBER_LEFT,	/* announced its departure, or dead and unlisted */
};

/* Type of a datagram.  The numbers are sent on the wire. */
enum member_kind {
	KIND_PROBE,
	KIND_ACK,
	KIND_PROBE_FOR, /* request to probe a third node */
	KIND_ACK_FOR,	/* reply to it: the third node has acknowledged */
	KIND_RUMOURS,	/* rumours only; not acknowledged */
	KIND_VM_STATE,	/* the receiver's state according to the VM list */
	KIND_PUSH,	/* announces a new set */
	KIND_HAVE,	/* reply to a push: the version held now */
	KIND_JOIN,	/* first contact by a node that starts */
	KIND_WELCOME,	/* reply to it: a sample of members that are alive */
};

#define MEMBER_PERIOD_MS   2000 /* between two probes by a node */
#define MEMBER_DIRECT_MS   400	/* timeout of a direct probe */
#define MEMBER_INDIRECT_MS 800	/* timeout of an indirect probe */
#define MEMBER_SUSPECT_MS  6000 /* for which a suspect may refute */
#define MEMBER_ISOLATED_MS (3 * MEMBER_PERIOD_MS) /* without any datagram */
#define MEMBER_HELPERS	   3 /* nodes asked for an indirect probe */
#define MEMBER_RUMOURS	   6 /* on one datagram at most */
#define MEMBER_DEAD_EVERY  4 /* every n-th probe goes to a dead node */

struct member {
	char name[MESH_NAME_MAX + 1];
	char dc[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	enum member_state state;
	int listed;	    /* 1: in the VM list as last read */
	int contacted;	    /* 1: has sent a datagram since this node started */
	int contact_tries;  /* probes sent to make first contact */
	int64_t contact_at; /* when the next of these is due */
	uint64_t incarnation;
	uint64_t boot;	 /* identifies its process, from its last datagram */
	uint32_t key;	 /* fingerprint of the key it uses, 0 if not known */
	uint64_t number; /* number of the version it holds, 0 if not known */
	unsigned char hash[8]; /* first bytes of that version's hash */
	int load;	       /* percent, from its last datagram */
	int64_t suspect_until;
	int64_t since;	/* time of the last change of state */
	int sends_left; /* datagrams that still carry it as a rumour */
};

/* A datagram to send. */
struct member_send {
	enum member_kind kind;
	int to;		/* handle */
	int about;	/* handle for KIND_PROBE_FOR and KIND_ACK_FOR; for
			 * KIND_VM_STATE 1 if the receiver is leaving */
	uint32_t probe; /* number of the probe; index of the VM list */
};

/* The state of a node as one node reports it to another. */
struct rumour {
	const char *name, *addr, *dc;
	enum member_state state;
	uint64_t incarnation;
	uint64_t index; /* of the VM list that the state is from, otherwise 0 */
	uint32_t key;	/* fingerprint of the key it uses, 0 if not known */
};

struct members; /* opaque: see member.c */

/*
 * Creates a table without members, released by members_free.  Name, address
 * and data centre are this node's own.  Boot, the start time of the process,
 * is its first incarnation; seed initialises the random numbers.
 */
struct members *members_new(const char *name, const char *addr, const char *dc,
    uint64_t boot, uint32_t seed);
void members_free(struct members *);
/* Number of members of any state, not counting this node. */
int members_count(const struct members *);
/* The member with a handle, owned by the table. */
struct member *member_at(struct members *, int);
/* Handle by name, or MESH_ENOTFOUND. */
int member_find(struct members *, const char *name);
/* Sets the fingerprint of this node's key, sent with rumours of itself. */
void members_set_key(struct members *, uint32_t key);
/* This node's current incarnation. */
uint64_t members_incarnation(const struct members *);
/* This node's own state: alive, leaving or left. */
enum member_state members_state(const struct members *);
/*
 * Whether this node has received no datagram for MEMBER_ISOLATED_MS, so that it
 * is probably cut off itself and must not suspect others.
 */
int members_isolated(const struct members *, int64_t now);
/* Whether new requests may be sent to a member. */
int member_usable(const struct member *);

/*
 * Update the table from the VM list: members_list_begin, then members_list_add
 * for each line, then members_list_end.  A member that is in no line since the
 * last members_list_begin is not listed.  Index is the version of the list.
 */
void members_list_begin(struct members *);
void members_list_add(struct members *, const char *name, const char *addr,
    const char *dc, int leaving, uint64_t index);
void members_list_end(struct members *);

/* Starts probes that are due, handles timeouts, and expires suspects. */
void members_tick(struct members *, int64_t now);
/*
 * Resets the timeouts after the process was paused, for instance with its VM,
 * since replies during that time were lost.
 */
void members_paused(struct members *, int64_t now);
/*
 * Records that a node sent a datagram, with the state that it reports of
 * itself.  Adds the node if it is unknown; returns its handle.
 */
int members_receive(
    struct members *, const struct rumour *from, uint64_t boot, int64_t now);
/* Handles an acknowledgement from a node of the probe with that number. */
void members_ack(struct members *, int from, uint32_t probe, int64_t now);
/*
 * Handles the request of a node to probe another one on its behalf.  Probe is
 * the requester's number, which is returned with KIND_ACK_FOR.
 */
void members_probe_for(
    struct members *, int from, int about, uint32_t probe, int64_t now);
/* Handles a rumour of any node, this one included. */
void members_apply_rumour(struct members *, const struct rumour *, int64_t now);
/* Probes a member out of turn, as it did not reply to a request. */
void members_probe_next(struct members *, int);
/* Announces the departure of this node, now and in later ticks. */
void members_leave(struct members *);
/* Removes the next datagram from the queue; returns 0 if there is none. */
int members_next_send(struct members *, struct member_send *);
/*
 * Fills in the rumours for the next datagram and returns their number.  Their
 * strings belong to the table.
 */
int members_pick_rumours(struct members *, struct rumour *, int max);
/* Number of datagrams that must carry a rumour to reach nearly all nodes. */
int members_rumour_sends(const struct members *);
/*
 * Fills in some usable members, beginning at a random one, and returns their
 * number.  Their strings belong to the table.
 */
int members_sample(struct members *, struct rumour *, int max);

#endif
