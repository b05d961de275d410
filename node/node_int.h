/*
 * Shared inside the package.  Everything in struct node belongs to the loop
 * thread, but for the mailbox, the configuration store, the reader and the
 * counter of calls, which have their own locks.  Lock order: the reader's,
 * then the store's; neither is held while a mailbox is posted to.
 *
 * The parts lie in layers, and each includes the headers of those below it
 * only (tools/layers.sh): links and datagrams (link.h, gossip.h), spreading of
 * versions (spread.h), the guard's side (serve.h), the entry (entry.h), and
 * on top the loop with what operators see.  A request goes down from the
 * entry; what has to go up goes through a table of functions.
 */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>

#include "../caller/caller.h"
#include "../mesh/call.h"
#include "../mesh/member.h"
#include "../source/source.h"
#include "../upstream/target.h"
#include "config.h"
#include "link.h"
#include "mailbox.h"
#include "seal.h"
#include "span.h"

struct entry_replies;
struct gossip_events;

struct node {
	struct settings settings;
	struct fleet_keys keys;
	uint32_t prints[NODE_KEYS]; /* fingerprints of the keys */
	uint64_t boot;		    /* incarnation of this process: wall ms */
	struct mailbox mailbox;
	pthread_t thread;
	struct config_store *config;
	struct reader *reader;
	struct server *callers, *services, *operators;
	struct link *link;
	int udp;
	uint64_t datagrams;	    /* sent */
	unsigned char held_hash[8]; /* on each datagram */
	GHashTable *replays;	    /* sender to struct replay, owned */
	struct members *members;
	/* The parts, each known to its own files alone. */
	struct entry *entry;
	struct guard_side *guard;
	struct spread *spread;
	/* How a part reaches those above it. */
	const struct gossip_events *gossip_events;
	const struct entry_replies *entry_replies;
	struct spans spans;
	FILE *trace; /* of the guard's decisions, or NULL */
	GRand *rand;
	int listed;	 /* a VM list was read */
	int joins;	 /* greetings sent */
	int64_t join_at; /* when the next greeting is due */
	int firsts;	 /* first reads of the platform still under way */
	int firsts_good; /* of those ended, well */
	int64_t started_at;
	int ready;
	int out;     /* by the set, the VM list or a signal */
	int leaving; /* stopping */
	int64_t leave_by;
	int64_t idle_at;    /* a leaving node has been idle since, or 0 */
	int64_t duty_at;    /* when the reader's duty is looked at next */
	int64_t release_at; /* when idle links are looked for next */
	int64_t ticked_at;
};

#endif
