/* Shared by what follows the store: taking what was read, feeding others. */
#ifndef FOLLOW_INT_H
#define FOLLOW_INT_H

#include "side.h"

struct feed {
	struct event *timer;
	char addr[ADDRESS_MAX]; /* of the feeder; empty: this node reads */
	int others;		/* nodes of the data centre */
	int rank;		/* of the feeder in the order */
	int64_t chosen_at;	/* 0: not yet */
	int64_t heard_at, told_at;
	int orphan; /* its feeder was lost, and no other has spoken yet */
	/* it reads and the store turns it away: others are asked */
	int helpless;
	guint helper; /* which of them */
	int64_t sighted_at, helped_at;
	int64_t started_at, glanced_at; /* at a list that may be old */
};

struct follow {
	struct event_base *base;
	const struct side_settings *settings;
	struct view *view;
	struct proxy *proxy;
	struct store_reader *reader;
	char *store;	    /* address that is read */
	GHashTable *held;   /* key to struct platform_item, as last read */
	GHashTable *unread; /* ids of targets whose entries say nothing */
	uint64_t held_at;   /* revision of the newest of them */
	int next_peer;	    /* of the settings, asked next in the dark */
	struct event *dark; /* when */
	int leaving;
	/*
	 * Another node tells that the own target is not listed any more.  It is
	 * believed once this node has read so itself: one that cannot is cut
	 * off with its target, whose reports are missing for that reason.
	 */
	int64_t verify_until;
	struct feed feed;
};

/* Appends items as nodes tell them, and reads them. */
void state_pack(const GPtrArray *items, uint64_t as_of, GString *out);
int state_unpack(const char *, size_t, struct platform_page *);

void feed_start(struct follow *);
void feed_stop(struct follow *);
void feed_heard(struct follow *, int blind, int is_word);
void feed_lost(struct follow *);

#endif
