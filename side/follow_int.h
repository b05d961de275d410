/* Shared by what follows the store: taking what was read, feeding others. */
#ifndef FOLLOW_INT_H
#define FOLLOW_INT_H

#include "side.h"

/*
 * The age of what is known at which other nodes are asked to read, in ms.  An
 * answer of the store comes every 1200; a target that leaves, or a version, has
 * to be known everywhere within 2000.
 */
#define FOLLOW_STALE_MS	 1600
#define FOLLOW_SILENT_MS 1200 /* a node says something every 400 */
#define FOLLOW_AGAIN_MS	 3000 /* between two looks whether another is first */
#define FOLLOW_RETURN_MS 8000 /* then the first in the order is tried again */
#define FOLLOW_RANKS_MAX 3    /* nodes that are tried in the order */

#define HELPERS (PROXY_SLOTS - PROXY_HELPERS)

/* A node that this one is subscribed to. */
struct publisher {
	char addr[ADDRESS_MAX]; /* of its target; empty: none */
	int64_t heard_at;
	int64_t known_at; /* until when it held all changes */
};

struct feed {
	struct event *timer;
	struct publisher publisher; /* none: this node reads */
	int others;		    /* nodes of the data centre */
	int rank;		    /* of the publisher in the order */
	int64_t chosen_at;	    /* 0: not yet */
	int64_t told_at, told_known_at;
	int orphan; /* its publisher was lost, and no other has news yet */
	int64_t started_at, glanced_at; /* at a list that may be old */
};

/* What a node does that reads for others, in case the store is silent. */
struct relay {
	struct event *timer;	 /* when what is known will be stale */
	int64_t since;		 /* known as it began to, or 0 */
	struct publisher backup; /* in another data centre */
	guint backup_turn;
	int64_t backup_at; /* chosen */
	struct publisher helpers[HELPERS];
	guint helper_turn;
	int helper_rounds;
	int64_t round_at, round_until;
	int isolated; /* neither the store nor a node has answered */
};

/* A node that may read for others, in their order. */
struct candidate_node {
	const char *addr;
	uint64_t weight;
};

struct follow {
	struct event_base *base;
	const struct side_settings *settings;
	struct view *view;
	struct proxy *proxy;
	struct store_reader *reader;
	char *store;	     /* address that is read */
	GHashTable *held;    /* key to struct platform_item, as last read */
	GHashTable *unread;  /* ids of targets whose entries say nothing */
	uint64_t held_at;    /* revision of the newest of them */
	uint64_t reader_id;  /* of this process, among all that read */
	uint64_t nanswers;   /* of the store to it */
	int64_t answered_at; /* the last of them */
	GHashTable *answers; /* reader to its newest answer, as heard */
	int next_peer;	     /* of the settings, asked next in the dark */
	struct event *dark;  /* when */
	int leaving;
	/*
	 * Another node tells that the own target is not listed any more.  It is
	 * believed once this node has read so itself: one that cannot is cut
	 * off with its target, whose reports are missing for that reason.
	 */
	int64_t verify_until;
	struct feed feed;
	struct relay relay;
};

/* Appends items as nodes tell them, and reads them. */
void state_pack(const GPtrArray *items, uint64_t as_of, GString *out);
int state_unpack(const char *, size_t, struct platform_page *);

/* All changes until then are held by an answer; 0 if that was known. */
int follow_known(struct follow *, int64_t at, uint64_t reader, uint64_t answer);
/* Whether changes may have been missed for longer than is usual. */
int follow_is_stale(const struct follow *);

/* feed.c: which node reads for this one */
void feed_start(struct follow *);
void feed_stop(struct follow *);
void feed_look_now(struct follow *);
void feed_heard(struct follow *, const struct proxy_news *);
void feed_lost(struct follow *);
/* What is known has changed: those that are subscribed hear of it. */
void feed_known(struct follow *);
/* Tells them how old it is. */
void feed_tell(struct follow *, int64_t now);
/* The nodes of a data centre in the order in which they read; owned. */
GArray *feed_order(struct follow *, const char *dc);

/* relay.c: news for those who read for others and get no answer */
void relay_start(struct follow *);
void relay_stop(struct follow *);
void relay_look(struct follow *, int64_t now);
/* is_new: by an answer of the store that was not known before. */
void relay_heard(
    struct follow *, enum proxy_slot, const struct proxy_news *, int is_new);
void relay_lost(struct follow *, enum proxy_slot);

#endif
