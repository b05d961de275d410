/* Internal to membership: the table that its parts share. */
#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include "member.h"

#define INDIRECT_PROBES_MAX 16 /* in flight for other nodes */

/* A probe on behalf of another node. */
struct indirect_probe {
	int requester, about;		 /* handles */
	uint32_t probe, requester_probe; /* numbers here and at the requester */
	int64_t until;			 /* timeout; unused if it has passed */
};

struct members {
	GPtrArray *all;	     /* of struct member, owned */
	GHashTable *by_name; /* to handle + 1 */
	GQueue *queue;	     /* of struct member_send */
	GRand *rand;
	char name[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	char dc[MESH_NAME_MAX + 1];
	enum member_state state; /* of this node: alive, leaving or left */
	uint64_t incarnation;	 /* of this node */
	uint32_t key;		 /* fingerprint of this node's key */
	uint64_t vm_list_index;	 /* of the list that set that state */
	int self_sends_left;  /* datagrams that still carry this node's state */
	uint32_t probe_count; /* probes sent so far, which numbers them */
	int probed;	      /* handle of the member under probe, or -1 */
	uint32_t probe;	      /* number of that probe */
	int helpers_asked;    /* 1: it has become an indirect probe */
	int64_t probe_until;  /* its timeout */
	int64_t next_probe;   /* time of the next probe */
	int64_t next_leave_send; /* time of the next announcement to leave */
	int64_t next_contact; /* time of the next attempts at first contact */
	int contact_cursor;   /* handle of the last such attempt */
	int64_t received_at;  /* time of the last datagram of any node */
	int probe_requested;  /* handle to probe out of turn, or -1 */
	int cursor;	      /* handle of the last one probed in turn */
	struct indirect_probe indirect_probes[INDIRECT_PROBES_MAX];
};

/* Adds a member at the end of the table. */
struct member *member_add(
    struct members *m, const char *name, const char *addr, const char *dc);
/* Queues a datagram. */
void member_queue_send(struct members *m, enum member_kind kind, int to,
    int about, uint32_t probe);
/* Changes a member's state, which is then sent as a rumour. */
void member_set_state(
    struct members *m, struct member *p, enum member_state s, int64_t now);

/* If this node is leaving, announces that to some members when it is due. */
void member_send_leaving(struct members *m, int64_t now);
/* Applies the state of this node according to the VM list. */
void member_apply_vm_state(struct members *m, const struct rumour *r);

#endif
