/* Parts of membership: its table, shared by probes and rumours. */
#ifndef MEMBER_INT_H
#define MEMBER_INT_H

#include "member.h"

#define HELPED_MAX 16 /* probes under way for others */

/* A probe made for another node. */
struct helped {
	int asker, about;
	uint32_t probe, theirs;
	int64_t until;
};

struct members {
	GPtrArray *all;	     /* of struct member, owned */
	GHashTable *by_name; /* to handle + 1 */
	GQueue *out;	     /* of struct member_send */
	GRand *rand;
	char name[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	char dc[MESH_NAME_MAX + 1];
	enum member_state state; /* of this node, as it tells */
	uint64_t incarnation;
	uint32_t key;	/* that this node uses */
	uint64_t index; /* of the VM list that last spoke of this node */
	int tell_self;
	uint32_t probes; /* begun */
	int probed;	 /* handle under probe, or -1 */
	uint32_t probe;
	int indirect; /* helpers were asked */
	int64_t probe_until;
	int64_t next_probe;
	int64_t next_tell;  /* of a node that leaves */
	int64_t next_greet; /* of members that were not heard yet */
	int greeted;	    /* the last of them, a handle */
	int64_t heard_at;
	int doubted; /* handle to probe next, or -1 */
	int cursor;  /* of the round through all members */
	struct helped helped[HELPED_MAX];
};

/* Adds a member, whose handle is the greatest. */
struct member *member_add(
    struct members *m, const char *name, const char *addr, const char *dc);
/* Queues a datagram. */
void member_push(struct members *m, enum member_kind kind, int to, int about,
    uint32_t probe);
/* Changes a member's state and makes it a rumour. */
void member_set_state(
    struct members *m, struct member *p, enum member_state s, int64_t now);

/* A node that leaves tells some others, now and then. */
void member_tell_leaving(struct members *m, int64_t now);
/* What the VM list says of this node itself. */
void member_listed_state(struct members *m, const struct rumour *r);

#endif
