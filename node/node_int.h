/*
 * Internal to the package.  Only the loop thread accesses struct node, except
 * for the mailbox, the configuration store, the reader and the counter of
 * calls, which have their own locks.  Lock order: the reader's, then the
 * store's; neither is held while an event is posted to a mailbox.
 *
 * The modules form layers, and each includes only the headers of the layers
 * below it (checked by tools/layers.sh).  From the bottom: links and datagrams
 * (link.h, gossip.h), distribution of versions (spread.h), the guard
 * (serve.h), the entry (entry.h), and the loop and the operators' pages.  A
 * request is passed down from the entry by function calls; calls in the other
 * direction go through tables of functions.
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
	uint32_t key_fingerprints[NODE_KEYS]; /* fingerprints of the keys */
	uint64_t boot; /* this process's incarnation: its start, wall ms */
	struct mailbox mailbox;
	pthread_t thread;
	struct config_store *config;
	struct reader *reader;
	struct server *callers, *services, *operators;
	struct link *link;
	int udp;
	uint64_t datagrams;	      /* sent; sequence number of the last */
	unsigned char hash_prefix[8]; /* of the held version, for datagrams */
	GHashTable
	    *replay_windows; /* sender's name to struct replay, both owned */
	struct members *members;
	/* State of the modules, private to their files. */
	struct entry *entry;
	struct node_guard *guard;
	struct spread *spread;
	/* Calls from a module to a layer above it. */
	const struct gossip_events *gossip_events;
	const struct entry_replies *entry_replies;
	struct spans spans;
	FILE *trace; /* of the guard's decisions, or NULL */
	GRand *rand;
	int listed;	   /* 1: a VM list was applied */
	int join_requests; /* join requests sent */
	int64_t join_at;   /* when the next is due */
	int first_reads;   /* first reads of the platform that have not ended */
	int first_reads_ok; /* first reads that succeeded */
	int64_t started_at;
	int ready; /* 1: accepts callers' requests; accessed atomically */
	int out;   /* 1: admits no new requests, because of the set, the VM list
		    * or a signal */
	int leaving;		 /* 1: draining, because of a signal */
	int64_t leave_by;	 /* end of the drain timeout */
	int64_t idle_at;	 /* a draining node is idle since, or 0 */
	int64_t reader_check_at; /* when update_reader runs next */
	int64_t link_check_at;	 /* when close_idle_links runs next */
	int64_t ticked_at;	 /* time of the last tick */
};

#endif
