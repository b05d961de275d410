/*
 * Stand-in for the store of the users' platform: items by key with revisions,
 * lists in pages, watches, history that is forgotten, and faults.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "../http/http.h"

enum store_fault {
	STORE_WELL,
	STORE_DOWN,    /* connections are closed without an answer */
	STORE_BUSY,    /* 503 */
	STORE_LIMIT,   /* 429 */
	STORE_SILENT,  /* no answer */
	STORE_GARBLED, /* an answer that is no JSON */
	STORE_FAULTS
};

extern const char *const store_fault_names[];

struct store;

/* Listens on ADDRESS:PORT; NULL when it cannot be listened on. */
struct store *store_new(struct event_base *, const char *addr, int page);
void store_free(struct store *);
void store_put(struct store *, const char *key, const char *value);
void store_remove(struct store *, const char *key);
/* Watches from before now get 410. */
void store_forget(struct store *);
void store_set_fault(struct store *, enum store_fault);
/* Lists that may be old show the store as it is now until told otherwise. */
void store_freeze_stale(struct store *);
/* Calls since the start; stale ones apart. */
int store_calls(const struct store *);
int store_stale_calls(const struct store *);
/* Puts a target's entry, as its server would. */
void store_put_target(struct store *, const char *id, const char *service,
    const char *addr, const char *zone, const char *state, int cold_ms);
/* Puts a configuration of one service and one route to it. */
void store_put_config(
    struct store *, int version, const char *service, const char *prefix);

#endif
