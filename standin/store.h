/*
 * Stand-in for the store of the users' platform: items by key with revisions,
 * paged lists, watches, compaction of the history, a return from a copy, and
 * faults.  It serves on the loop of its event_base, and all functions must be
 * called on that thread.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "../http/http.h"

enum store_fault {
	STORE_NO_FAULT,	 /* no fault */
	STORE_DOWN,	 /* 200 with an empty body */
	STORE_BUSY,	 /* 503 */
	STORE_LIMIT,	 /* 429 */
	STORE_SILENT,	 /* no answer */
	STORE_MALFORMED, /* 200 with a body that is not JSON */
	STORE_FAULTS
};

/* By enum store_fault, NULL at the end. */
extern const char *const store_fault_names[];

#define STORE_ADDRESSES_MAX 64 /* most addresses of one store */

struct store;

/*
 * Listens on ADDRESS:PORT; lists have at most the given items in a page.
 * Returns NULL when the address cannot be listened on.  The caller frees it.
 */
struct store *store_new(struct event_base *, const char *addr, int page);
void store_free(struct store *);
/* Sets an item, or removes one, with the next revision. */
void store_put(struct store *, const char *key, const char *value);
void store_remove(struct store *, const char *key);
/* Compacts the history: watches from an older revision are answered 410. */
void store_compact(struct store *);
/* The same, but open watches are answered 503, and 410 when repeated. */
void store_compact_later(struct store *);
/*
 * Listens on a further address of the same store.  Returns the index of the
 * address, or STANDIN_ELISTEN.  The address of store_new() has index 0.
 */
int store_add_address(struct store *, const char *addr);
/*
 * Sets the fault of all addresses, or of one by its index, so that some nodes
 * are refused while others are served.
 */
void store_set_fault(struct store *, enum store_fault);
void store_set_address_fault(struct store *, int address, enum store_fault);
/*
 * From now on lists that allow stale data return the present items, whatever
 * changes later, until the next call.
 */
void store_freeze_stale(struct store *);
/* Requests since the start: without and with stale data allowed. */
int store_calls(const struct store *);
int store_stale_calls(const struct store *);

/* ---- a store that comes back from a copy ---- */

/* Keeps a copy of all items, the revision and the history. */
void store_save(struct store *);
/*
 * Comes back from the copy: later changes are lost, revisions go back and are
 * given out again, and the era rises by one.  Open watches are cut; one from a
 * revision that the store does not have is answered 410.  Nothing happens if
 * no copy was kept.
 */
void store_restore(struct store *);
/* Comes back right after the next page of a list that another one follows. */
void store_restore_after_page(struct store *);
/* All answers have the header Store-Era; the first era is 1. */
void store_set_era(struct store *, uint64_t era);
/* Sends a text in place of the era; "": no header; NULL: the era again. */
void store_set_era_text(struct store *, const char *text);
/*
 * From now on answers about keys with this prefix are written, with the items
 * and the era of that moment, but not sent until store_send_delayed().
 */
void store_delay_answers(struct store *, const char *prefix);
void store_send_delayed(struct store *);
/* How many answers are delayed. */
int store_delayed(const struct store *);

/* ---- entries of targets and configurations ---- */

/* The entry by which a target announces itself. */
struct store_target {
	const char *id, *service, *addr, *dc;
	const char *state;    /* "ready" or "draining" */
	int cold_ms;	      /* time until it is warm */
	int64_t born_wall_ms; /* start time, wall clock ms */
};

/* Sets a target's entry as its server does, or removes it. */
void store_put_target(struct store *, const struct store_target *);
void store_remove_target(struct store *, const char *id);
/* Sets a configuration with one service and one route to it. */
void store_put_config(
    struct store *, int version, const char *service, const char *prefix);

/* A route of a larger configuration. */
struct store_route {
	/* Half of the requests go to other, unless it is NULL. */
	const char *prefix, *service, *other;
	int repeatable; /* requests may be retried */
};

/* Sets a configuration; the list of services ends with NULL. */
void store_put_routes(struct store *, int version, const char *const *services,
    const struct store_route *, int nroutes);

#endif
