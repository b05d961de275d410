/*
 * teaselside, the node that runs beside a target on the users' platform: its
 * settings, the reader of the platform's store, and the follower, which keeps
 * the node's view up to date from the store or from another node.
 */
#ifndef SIDE_H
#define SIDE_H

#include "../platform/platform.h"

/* Errors of this package. */
enum side_err {
	SIDE_OK = 0,
	SIDE_ESETTINGS = -901, /* the settings file is unreadable or invalid */
};

struct side_settings {
	struct proxy_settings proxy;
	char *store;   /* address of the platform's store */
	char *metrics; /* address of the metrics server, or NULL: none */
	char *log;     /* lowest log level that is written, or NULL */
	char **peers;  /* nodes asked for state while it is unknown, or NULL */
	int beat_ms;   /* interval at which a target reports to the store */
};

/*
 * Reads and checks a settings file.  Every problem is added to the report.  On
 * SIDE_ESETTINGS the settings own no memory; otherwise the caller releases them
 * with side_settings_free().
 */
int
side_settings_read(const char *path, struct side_settings *, struct report *);
void side_settings_free(struct side_settings *);

/* ---- reading the store ---- */

/* A list of a part that was read to its end. */
struct store_list {
	enum platform_part part;
	GHashTable *names;	    /* of the items on all its pages */
	struct view_revision as_of; /* of its first page */
	/* Items that are not among the names have been removed, */
	int exact;
	int own_exact; /* and so has the target beside this node. */
	/*
	 * It also holds what was written again after the store was restored
	 * and entered its era.
	 */
	int settled;
};

/*
 * Callbacks of a store reader, made from the event loop.  The arguments belong
 * to the reader and are valid only during the call.
 */
struct store_reader_calls {
	void *arg;
	/* Items arrived, from a page of a list or from a watch. */
	void (*items)(void *arg, const struct platform_page *);
	/* The last page of a list was read. */
	void (*listed)(void *arg, const struct store_list *);
	/* A request to the store failed. */
	void (*failed)(void *arg);
	/* The store answered a request for a part, perhaps without changes. */
	void (*answered)(void *arg, enum platform_part);
	/*
	 * Whether a reader that does not watch still needs its first list, so
	 * that a failed request is retried.
	 */
	int (*is_needed)(void *arg);
};

struct store_reader; /* opaque: see store_reader.c */

/*
 * Creates a reader and lists both parts of the store once.  These lists may be
 * stale.  It does not watch until store_reader_watch() is called.  Targets
 * report to the store every report_ms.
 */
struct store_reader *store_reader_new(struct event_base *, const char *store,
    int report_ms, const struct store_reader_calls *);
void store_reader_free(struct store_reader *);
/*
 * Starts (on != 0) or stops watching the store.  If many nodes read the store
 * for themselves because none can read for them, nwatchers is how many: the
 * reader then starts after a random delay and retries a failing store less
 * often.  Otherwise nwatchers is 0.  If helping is set when it starts, it reads
 * on behalf of a node that the store does not answer, and then retries less
 * often, too.
 */
void
store_reader_watch(struct store_reader *, int on, int nwatchers, int helping);
/*
 * Sets the time in ms that the VM's link takes for a configuration: watches end
 * earlier by as much, so that one that is on its way does not look like a store
 * that does not answer.
 */
void store_reader_set_transfer(struct store_reader *, int ms);
int store_reader_is_watching(const struct store_reader *);
/*
 * Time in ms of base_now_ms() up to which every change of both parts has been
 * read, or 0.
 */
int64_t store_reader_synced_at(const struct store_reader *);
/*
 * Lists the targets once more, possibly stale, without watching.  Does nothing
 * if the reader watches, or if a request for the targets is in flight or about
 * to be retried.
 */
void store_reader_relist(struct store_reader *);
/*
 * Lists both parts once more, exactly, while it watches: once what was lost in
 * an outage or a restore of the store is written again.
 */
void store_reader_recheck(struct store_reader *);
/* Lists the targets once more, as soon as the list decides what was removed. */
void store_reader_await_targets(struct store_reader *);
/* The store has answered another node at a time of base_now_ms(). */
void store_reader_saw_answer(struct store_reader *, int64_t at);
void store_reader_set_interval(struct store_reader *, int report_ms);
/* Another node has read in an era of the store. */
void store_reader_saw_era(struct store_reader *, uint64_t era);
/* Lists and watches the store at another address from now on. */
void store_reader_set_store(struct store_reader *, const char *store);

/*
 * Answers /where?host=HOST&path=PATH with what proxy_explain says.  Returns the
 * HTTP status, or 0 if the path is another one.
 */
int side_where(struct proxy *, const char *path, GString *out);

/* ---- following the store, or a node that reads it ---- */

struct follow; /* opaque: see follow.c */

/*
 * Starts to keep the view up to date.  The event base, the settings, the view
 * and the proxy belong to the caller and must outlive the follower.
 */
struct follow *follow_start(struct event_base *, const struct side_settings *,
    struct view *, struct proxy *);
void follow_stop(struct follow *);
/* Applies settings that the caller has changed in place. */
void follow_settings_changed(struct follow *);
/* Unsubscribes all subscribers, as this node is about to stop. */
void follow_drain(struct follow *);

#endif
