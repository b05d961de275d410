/* Internal to the guard: the memory that deduplicates request ids. */
#ifndef GUARD_INT_H
#define GUARD_INT_H

#include "mesh.h"

/*
 * ---- memory of the ids of requests that may run at most once ----
 *
 * An id is created (born) at the wall time born_wall_ms of its entry.
 */

enum memory_state {
	MEMORY_FENCED, /* did not run and must never run */
	MEMORY_HELD,   /* queued or running */
	MEMORY_DONE    /* ran, or may have run */
};

struct memory; /* opaque: see memory.c */

/*
 * Creates an empty memory, released by memory_free.  Ids created before
 * since_wall_ms are not covered, since they may have been seen before.
 */
struct memory *memory_new(int64_t since_wall_ms);
void memory_free(struct memory *);
/* State of an id (enum memory_state), or MESH_ENOTFOUND. */
int memory_find(struct memory *, const char *id);
/* Records or changes an id's state; MESH_EFULL at GUARD_IDS_MAX ids. */
int memory_put(struct memory *, const char *id, enum memory_state, int64_t now);
/*
 * Whether an id created at that time would still be in the memory if this
 * guard had ever seen it.
 */
int memory_covers(const struct memory *, int64_t born_wall_ms, int64_t wall_ms);
/* Drops ids older than GUARD_REMEMBER_MS that are not held. */
void memory_expire(struct memory *, int64_t now);
int memory_count(const struct memory *);
/* Records that a target left the set; see guard_target_removed. */
void memory_target_removed(
    struct memory *, const char *self, const char *target, int64_t wall_ms);
/* Whether an id may have run at a target that has left the set since. */
int memory_may_have_run_elsewhere(
    const struct memory *, const char *id, int64_t born_wall_ms);

#endif
