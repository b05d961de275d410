/* Parts of the stand-in store; see store.h. */
#ifndef STANDIN_STORE_INT_H
#define STANDIN_STORE_INT_H

#include "standin.h"
#include "store.h"

struct item {
	char *key;
	char *value; /* NULL in the history: removed */
	uint64_t revision;
};

/* An open watch: a request that is answered at the next change. */
struct watch {
	struct store *store;
	const struct store_address *store_address; /* that received it */
	struct http_exchange *exchange;
	char *prefix;
	uint64_t after;
	struct event *timer;
};

/* An address that the store listens on, with a fault of its own. */
struct store_address {
	struct store *store;
	struct http_server *server;
	enum store_fault fault;
};

/* What the store has been told, and what a restore takes back. */
struct store_data {
	GArray *history; /* of struct item, every change */
	GTree *items;	 /* key to struct item */
	uint64_t revision, compacted_revision;
};

struct store {
	struct event_base *base;
	struct store_address addresses[STORE_ADDRESSES_MAX];
	int naddresses;
	struct http_limits limits;
	struct store_data data, copy; /* copy.items is NULL: none was kept */
	GPtrArray *stale_items;	      /* copies for stale lists, or NULL */
	GPtrArray *watches;
	int page, calls, stale_calls;
	uint64_t era;
	char *era_text;		/* in place of the era, or NULL */
	char *delayed_prefix;	/* answers about it are kept back, or NULL */
	GQueue delayed;		/* of struct delayed_answer */
	int restore_after_page; /* restore after a page that is not the last */
};

/* ---- store_data.c ---- */

struct item *item_copy(const struct item *);
/* Releases an item of a tree or an array. */
void item_free(gpointer);
/* Starts without items at revision 1. */
void store_data_init(struct store_data *);
void store_data_copy(struct store_data *, const struct store_data *);
void store_data_clear(struct store_data *);

/* ---- store_era.c ---- */

/*
 * Answers a request about the keys with a prefix, now or, if such answers are
 * delayed, later.  The header with the era is that of now.
 */
void store_reply(struct store *, struct http_exchange *, const char *prefix,
    int status, const char *body);
/* The client of a delayed answer has disconnected. */
void store_drop_delayed(struct store *, const struct http_exchange *);
/* Called after each page of a list; more: another one follows. */
void store_page_sent(struct store *, int more);

#endif
