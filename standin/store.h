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

#define STORE_DOORS 64 /* addresses of one store */

struct store;

/* Listens on ADDRESS:PORT; NULL when it cannot be listened on. */
struct store *store_new(struct event_base *, const char *addr, int page);
void store_free(struct store *);
void store_put(struct store *, const char *key, const char *value);
void store_remove(struct store *, const char *key);
/* Watches from before now get 410. */
void store_forget(struct store *);
/* The same, but watches that wait are refused first and get 410 next time. */
void store_forget_later(struct store *);
/* A further address of the same store: its door, or an error. */
int store_door(struct store *, const char *addr);
/* A fault at all doors, or at one: some nodes are refused, others served. */
void store_set_fault(struct store *, enum store_fault);
void store_set_door_fault(struct store *, int door, enum store_fault);
/* Lists that may be old show the store as it is now until told otherwise. */
void store_freeze_stale(struct store *);
/* Calls since the start; stale ones apart. */
int store_calls(const struct store *);
int store_stale_calls(const struct store *);

/* ---- store_put.c ---- */

/* What a target says of itself. */
struct store_target {
	const char *id, *service, *addr, *dc;
	const char *state;    /* "ready" or "draining" */
	int cold_ms;	      /* it stays cold so long */
	int64_t born_wall_ms; /* when it started */
};

/* Puts a target's entry, as its server would; removes it. */
void store_put_target(struct store *, const struct store_target *);
void store_remove_target(struct store *, const char *id);
/* Puts a configuration of one service and one route to it. */
void store_put_config(
    struct store *, int version, const char *service, const char *prefix);

/* A route of a larger configuration; half of a split one goes to other. */
struct store_route {
	const char *prefix, *service, *other; /* other NULL: no split */
	int repeatable;
};

/* Puts a configuration; the services end with NULL. */
void store_put_routes(struct store *, int version, const char *const *services,
    const struct store_route *, int nroutes);

#endif
