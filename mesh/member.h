/*
 * Membership: probes with incarnations, suspicion and indirect probes, in the
 * manner of SWIM (Das, Gupta, Motivala, 2002).  A VM list, which lags, says
 * whom to look for; probes say who is there.  Bytes a node are constant: one
 * probe a period, a bounded number of rumours on each datagram; beside that,
 * a node that begins probes each member, as a guard's incarnation and key
 * are known from its own datagrams only.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "mesh.h"

enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* takes no new work, still answers */
	MEMBER_SUSPECT, /* silent, may refute */
	MEMBER_DEAD,	/* silent for long; probed now and then */
	MEMBER_LEFT,	/* has said goodbye, or is gone from the VM list */
};

enum member_kind {
	KIND_PROBE,
	KIND_ACK,
	KIND_PROBE_FOR, /* asks to probe a third node */
	KIND_ACK_FOR,	/* that third node answered */
	KIND_TELL,	/* news only; nothing is answered */
	KIND_LISTED,	/* what the VM list says of the receiver */
	KIND_PUSH,	/* a new set */
	KIND_HAVE,	/* answers a push: what is held now */
	KIND_JOIN,	/* a node that starts greets one it may not know */
	KIND_WELCOME,	/* answers it: some members that are alive */
};

#define MEMBER_PERIOD_MS   2000 /* between two probes of a node */
#define MEMBER_DIRECT_MS   400	/* a direct probe is answered within */
#define MEMBER_INDIRECT_MS 800	/* an indirect probe is answered within */
#define MEMBER_SUSPECT_MS  6000 /* a suspect may refute for so long */
#define MEMBER_SILENCE_MS  (3 * MEMBER_PERIOD_MS) /* then suspect oneself */
#define MEMBER_HELPERS	   3 /* nodes asked for an indirect probe */
#define MEMBER_RUMOURS	   6 /* on one datagram */
#define MEMBER_DEAD_EVERY  4 /* each n-th probe goes to one held dead */

struct member {
	char name[MESH_NAME_MAX + 1];
	char dc[MESH_NAME_MAX + 1];
	char addr[ADDRESS_MAX];
	enum member_state state;
	int listed;	  /* in the VM list as last read */
	int heard;	  /* something came from it since this node began */
	int greetings;	  /* probes for not having been heard */
	int64_t greet_at; /* when the next of them is due */
	uint64_t incarnation;
	uint64_t boot;	 /* of its last datagram */
	uint32_t key;	 /* fingerprint of the key it uses, 0 if not known */
	uint64_t number; /* of the version it holds, 0 if not known */
	unsigned char hash[8];
	int load; /* percent, as last told */
	int64_t suspect_until;
	int64_t since; /* of the last change of state */
	int tell;      /* datagrams that still carry news of it */
};

/* A datagram that should be sent. */
struct member_send {
	enum member_kind kind;
	int to;	   /* handle */
	int about; /* handle for KIND_PROBE_FOR and KIND_ACK_FOR; for
		    * KIND_LISTED 1 if the receiver leaves */
	uint32_t probe;
};

struct rumour {
	const char *name, *addr, *dc;
	enum member_state state;
	uint64_t incarnation;
	uint64_t index; /* of the VM list it was read from, else 0 */
	uint32_t key;	/* fingerprint of the key it uses, 0 if not known */
};

struct members; /* opaque: see member.c */

struct members *members_new(const char *name, const char *addr, const char *dc,
    uint64_t boot, uint32_t seed);
void members_free(struct members *);
int members_count(const struct members *);
/* The member of a handle; valid until the next member is added. */
struct member *member_at(struct members *, int);
/* Handle by name, or MESH_ENOTFOUND. */
int member_find(struct members *, const char *name);
/* Fingerprint of the key that this node uses, told with its rumours. */
void members_use_key(struct members *, uint32_t key);
/* This node's own incarnation now. */
uint64_t members_incarnation(const struct members *);
/* What this node says of itself: alive, leaving or left. */
enum member_state members_state(const struct members *);
/* Whether this node has heard nobody for too long. */
int members_isolated(const struct members *, int64_t now);
/* A node that new work may be sent to. */
int member_usable(const struct member *);

/*
 * One line of the VM list.  Begin a list with members_list_begin; members
 * that are in no later line count as gone from it after members_list_end.
 */
void members_list_begin(struct members *);
void members_list(struct members *, const char *name, const char *addr,
    const char *dc, int leaving, uint64_t index);
void members_list_end(struct members *);

/* Time passes: a probe begins, times out, a suspect is held dead. */
void members_tick(struct members *, int64_t now);
/* The node slept: answers of that time cannot have come. */
void members_paused(struct members *, int64_t now);
/* A datagram came from a node: it is alive.  Returns its handle. */
int members_heard(
    struct members *, const struct rumour *from, uint64_t boot, int64_t now);
/* An answer to a probe. */
void members_ack(struct members *, int from, uint32_t probe, int64_t now);
/* Another node asks to probe a third. */
void members_probe_for(
    struct members *, int from, int about, uint32_t probe, int64_t now);
/* News of a node, itself included. */
void members_rumour(struct members *, const struct rumour *, int64_t now);
/* A request to a node stayed without sign of life: probe it next. */
void members_doubt(struct members *, int);
/* This node leaves: everybody is told. */
void members_leave(struct members *);
/* Next datagram to send, 0 when there is none. */
int members_send(struct members *, struct member_send *);
/* Rumours for the next datagram; returns how many. */
int members_rumours(struct members *, struct rumour *, int max);
/* How many datagrams carry a rumour until nearly all have heard it. */
int members_tell_count(const struct members *);
/* Some usable members, from a place by chance; returns how many. */
int members_sample(struct members *, struct rumour *, int max);

#endif
