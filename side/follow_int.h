/*
 * Shared by the parts of the follower: applying what was read (follow.c,
 * config_apply.c), the items that are held (held.c), choosing the publisher of
 * this node (feed.c), and finding another source when the store does not answer
 * a publisher (relay.c).
 */
#ifndef FOLLOW_INT_H
#define FOLLOW_INT_H

#include "side.h"

/*
 * Age in ms at which a node's view counts as stale.  The store answers every
 * 1200 ms, and a target that leaves, or a new version, has to reach all nodes
 * within 2000 ms.
 */
#define FOLLOW_STALE_MS	   1600
#define FOLLOW_TIMEOUT_MS  1200 /* without a message; nodes send every 400 */
#define FOLLOW_RECHECK_MS  3000 /* between checks for a publisher of rank 0 */
#define FOLLOW_FAILBACK_MS 8000 /* until the node of rank 0 is tried again */
#define FOLLOW_RANKS_MAX   3	/* nodes tried before this one reads itself */
#define FOLLOW_RANK_RELAY  (-1) /* a node that passes on what rank 0 sends */

/* Versions of the configuration that a publisher and its subscribers differ. */
#define HELD_BASES_MAX 4

/* Nodes asked at the same time to read on behalf of this one. */
#define RELAY_HELPERS (PROXY_SLOT_COUNT - PROXY_SLOT_HELPERS)

/* A node that this one is subscribed to.  Times are in ms of base_now_ms(). */
struct publisher {
	char addr[ADDRESS_MAX]; /* of its target; empty: none */
	int64_t received_at;	/* last message from it */
	int64_t synced_at;	/* it has applied all changes up to then */
};

/* The choice of this node's publisher.  Times are in ms of base_now_ms(). */
struct feed {
	struct event *timer;
	struct publisher publisher; /* none: this node reads the store */
	struct publisher first;	    /* tried while the publisher is kept */
	int ncandidates;	    /* nodes of the data centre */
	/* Of the publisher among the candidates, or FOLLOW_RANK_RELAY. */
	int rank;
	int first_rank;	   /* of the first choice: 0 or FOLLOW_RANK_RELAY */
	int64_t chosen_at; /* when it was chosen; 0: not yet */
	/* The last update to subscribers, and the view's synced_at in it. */
	int64_t published_at, published_up_to;
	int reads_meanwhile; /* reads the store until a publisher is fresh */
	int64_t started_at, relisted_at; /* latter: targets listed again */
	int64_t check_due_at; /* the periodic check; 0: not yet scheduled */
};

/*
 * The other sources of a node that reads the store for others, used when the
 * store does not answer it, and of a subscriber whose publisher is behind.
 * Times are in ms of base_now_ms().
 */
struct relay {
	struct event *timer; /* fires when the view becomes stale */
	int64_t sync_floor;  /* view's synced_at at its start; 0: inactive */
	struct publisher backup; /* in another data centre */
	guint backup_attempt;	 /* selects the data centre and the rank */
	int64_t backup_chosen_at;
	int64_t behind_until; /* of a subscriber whose view was stale */
	struct publisher helpers[RELAY_HELPERS];
	guint next_helper; /* index among the candidates, modulo their number */
	int helper_rounds; /* since help was last not needed */
	int64_t round_started_at, round_deadline;
	int isolated; /* neither the store nor a node answered in a round */
};

/* A node that may read the store for its data centre. */
struct candidate_node {
	const char *addr; /* of its target; borrowed */
	uint64_t weight;  /* hash of addr: the lowest has rank 0 */
};

/* Configurations that were received and are not in force yet. */
struct config_apply {
	struct event *timer; /* takes the next step */
	GQueue waiting;	     /* of struct config_arrival, newest first */
	/* The one that is being decoded, or NULL, and its decoder. */
	struct config_arrival *current;
	struct platform_decode *decode;
	struct report *report;
	int64_t began_us; /* when it was begun */
	int steps;
	uint64_t received; /* number of configurations */
	int superseded;	   /* not begun, since the last one in force */
};

struct follow {
	struct event_base *base;
	const struct side_settings *settings;
	struct view *view;
	struct proxy *proxy;
	struct store_reader *reader;
	char *store;	      /* address that is read */
	GHashTable *held;     /* key to struct platform_item, as last read */
	GHashTable *unparsed; /* ids of targets with malformed entries */
	/* Greatest of the held items, or of the era that was read last. */
	struct view_revision held_revision;
	/* Last large values, newest first; the oldest may be gone from held. */
	struct proxy_base bases[HELD_BASES_MAX];
	uint64_t reader_id;  /* random; identifies this process's answers */
	uint64_t answer_seq; /* number of this reader's last answer */
	int64_t answered_at; /* ms of that answer */
	GHashTable *answers; /* reader id to its newest answer */
	int next_peer;	     /* index of the next of settings->peers */
	struct event *bootstrap_timer; /* asks it for its state */
	int draining;		       /* the node is about to stop */
	/* Of the own target, told by a node and not verified; 0: none. */
	struct view_revision own_removal;
	struct config_apply config_apply;
	struct feed feed;
	struct relay relay;
};

/* Appends items in the format in which nodes send them (state.proto). */
void
state_pack(const GPtrArray *items, struct view_revision as_of, GString *out);
/*
 * Decodes such items.  Returns PLATFORM_OK and a page that the caller releases
 * with platform_page_clear(), or PLATFORM_EMALFORMED and leaves the page as it
 * is.
 */
int state_unpack(const char *, size_t, struct platform_page *);

/* held.c: the items held, and their order */
enum item_order {
	ITEM_OLDER,
	ITEM_SAME,     /* and nothing new is known of it */
	ITEM_CONFIRMS, /* the same; now known to be current in a later era */
	ITEM_NEWER,
};
/*
 * Orders an item and the one held under its key.  It depends on nothing but
 * the two items.
 */
enum item_order
item_order(const struct platform_item *, const struct platform_item *held);
/* The same for an item and what the node holds; logs an older item. */
enum item_order
follow_order(const struct follow *, const struct platform_item *);
/* Holds an item if it is newer or confirms the held one. */
enum item_order follow_hold(struct follow *, const struct platform_item *);
/* Stamp of what a held removal removed; zeros for another item. */
struct platform_stamp
follow_removed(const struct follow *, const struct platform_item *);
/*
 * Appends a removal of each held item that a complete list lacks.  Returns
 * whether it leaves out the own target, as the list is not exact for that.
 */
int follow_add_missing(
    const struct follow *, const struct store_list *, GArray *removals);
/* Whether items of an earlier era are held that the list names or lacks. */
int follow_is_unsettled(const struct follow *, const struct store_list *);

/*
 * config_apply.c: decodes configurations in steps, between which the event loop
 * handles everything else
 */
void config_apply_start(struct follow *);
void config_apply_stop(struct follow *);
/* A new configuration was received; it is decoded in later passes. */
void config_apply_add(struct follow *, const struct platform_item *);
/* Whether a configuration is not in force yet. */
int config_apply_is_pending(const struct follow *);

/* settle.c: whether an item that a list lacks was removed.  Times in ms. */
struct settle {
	int expiry_ms; /* shortest outage that expires an entry */
	/* Last answers of the store: to any node, to this one. */
	int64_t answered_at, own_answered_at;
	int64_t asked_at; /* this node's last request that failed was sent */
	/* Lists are complete from then on: but for the own target, for it. */
	int64_t complete_at, own_complete_at;
};
void settle_init(struct settle *, int64_t now);
/* Sets the interval of the targets' reports to the store. */
void settle_set_interval(struct settle *, int report_ms);
/* The store has answered a node; one that comes after an outage begins anew. */
void settle_answered(struct settle *, int64_t at);
void settle_own_answered(struct settle *, int64_t now);
void settle_begin(struct settle *, int64_t now);
/* A request of this node that was sent at asked_at has failed. */
void settle_failed(struct settle *, int64_t asked_at);
/* Whether lists are complete: for other targets, for the own one. */
int settle_is_complete(const struct settle *, int64_t now);
int settle_is_own_complete(const struct settle *, int64_t now);
/*
 * Times from which they are in an era whose first answer came at since: for
 * other targets, for all, and for all with no request having failed lately.
 */
int64_t settle_era_at(const struct settle *, int64_t since);
int64_t settle_all_at(const struct settle *, int64_t since);
int64_t settle_calm_at(const struct settle *, int64_t since);

/* pause.c: pauses between requests to the store */

/*
 * Between two watches of the targets.  It is part of the 2000 ms after which a
 * leaving target must not get any requests.
 */
#define PAUSE_TARGETS_MS 800

struct pause {
	int failures; /* in a row, before this one */
	int err;      /* of the request, enum platform_err */
	int helping;  /* it was asked for another node */
	int64_t max_ms, retry_after_ms;
};
int64_t pause_min_ms(void);
/*
 * The longest pause if that many nodes read for themselves (0: few do), or if a
 * list is awaited that decides whether an item was removed.
 */
int64_t pause_max_ms(int nwatchers, int awaited);
/* The pause until a failed request is retried; it is drawn at random. */
int64_t pause_next_ms(const struct pause *);
/*
 * How long a watch of a part waits, before which it may have paused, where the
 * transfer of a configuration takes transfer_ms.
 */
int pause_watch_ms(enum platform_part, int paused, int transfer_ms);

/* verify.c: the removal of the own target, as another node tells of it */
int verify_is_own(const struct follow *, const struct platform_item *);
/* Whether this node has to read the store to decide the question. */
int verify_is_pending(const struct follow *);
void verify_begin(struct follow *, const struct platform_item *);
/* The question may be decided: an item was applied, the targets listed. */
void verify_on_applied(struct follow *, const struct platform_item *);
void verify_on_listed(struct follow *, const struct store_list *);

/*
 * publish.c: the state that this node sends to others.  The functions with a
 * void pointer are callbacks of struct proxy_state_calls, with the follower as
 * argument.
 */
void held_list(void *, GArray *digests);
void held_list_bases(void *, GArray *bases);
void held_write(void *, const struct proxy_held *, GString *out);
/* Keeps the value of a new item as a base if it is large. */
void held_keep_base(struct follow *, const struct platform_item *);
void held_clear_bases(struct follow *);
/* Replaces the entries in an array by all items held; it borrows them. */
void held_list_items(const struct follow *, GPtrArray *items);

/*
 * Records that all changes up to a time (ms) have been applied, according to
 * an answer of the store to a reader.  Returns 0 if the answer was recorded
 * before.
 */
int follow_record_answer(
    struct follow *, int64_t at, uint64_t reader, uint64_t answer);
/* Whether the view is older than FOLLOW_STALE_MS. */
int follow_is_stale(const struct follow *);

/*
 * rank.c: the nodes of a data centre in the order of their ranks.  The caller
 * frees the array of struct candidate_node; its addresses are borrowed from the
 * view and the settings, and are valid until either changes.
 */
GArray *rank_candidates(struct follow *, const char *dc);
/* Rank of this node among candidates, and in its own data centre. */
guint rank_own(const struct follow *, const GArray *candidates);
guint rank_in_own_dc(struct follow *);
/*
 * Address of the relay that passes updates on to the node of rank own, or NULL
 * if that is to subscribe to the node of rank 0.
 */
const char *rank_relay(const GArray *candidates, guint own);

/* feed.c: chooses the node that reads the store for this one */
void feed_start(struct follow *);
void feed_stop(struct follow *);
/* Runs the periodic check in this iteration of the event loop. */
void feed_check_now(struct follow *);
/* The publisher sent an update; its link was lost. */
void feed_on_update(struct follow *, const struct proxy_update *);
void feed_on_lost(struct follow *);
/* The same for the node of rank 0, if it is tried. */
void feed_on_first_update(struct follow *, const struct proxy_update *);
void feed_on_first_lost(struct follow *);
/* The view's synced_at advanced: publishes it if it advanced by enough. */
void feed_on_synced(struct follow *);
/* Publishes the age of the view, without items, to all subscribers. */
void feed_publish_age(struct follow *, int64_t now);
/* relay.c: other sources, for nodes whose publisher or store does not serve */
void relay_start(struct follow *);
void relay_stop(struct follow *);
/* The periodic check of the backup and the helpers. */
void relay_check(struct follow *, int64_t now);
/* Whether this node is behind and there is no other data centre. */
int relay_lacks_backup(const struct follow *);
/*
 * The backup or a helper sent an update; is_new if it stems from an answer of
 * the store that was not recorded before.
 */
void relay_on_update(
    struct follow *, enum proxy_slot, const struct proxy_update *, int is_new);
/* The link to the backup or to a helper was lost. */
void relay_on_lost(struct follow *, enum proxy_slot);

#endif
