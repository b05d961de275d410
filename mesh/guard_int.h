/* Parts of a guard: its memory of ids and its suspicion of poison. */
#ifndef GUARD_INT_H
#define GUARD_INT_H

#include "mesh.h"

/* ---- memory of ids that may run at most once ---- */

enum memory_state {
	MEMORY_FENCED,
	MEMORY_HELD,
	MEMORY_DONE
};

struct memory; /* opaque: see memory.c */

/* Ids born before since_wall_ms are not covered. */
struct memory *memory_new(int64_t since_wall_ms);
void memory_free(struct memory *);
/* State of an id, or MESH_ENOTFOUND. */
int memory_find(struct memory *, const char *id);
/* Records or changes an id's state; MESH_EFULL when there is no room. */
int memory_put(struct memory *, const char *id, enum memory_state, int64_t now);
/* Whether an id of that birth would still be remembered had it been seen. */
int memory_covers(const struct memory *, int64_t born_wall_ms, int64_t wall_ms);
/* Forgets ids that are older than the window and not held. */
void memory_expire(struct memory *, int64_t now);
int memory_count(const struct memory *);
/* A target left the set; see guard_note_removed. */
void memory_note_removed(
    struct memory *, const char *self, const char *target, int64_t wall_ms);
/* Whether an id may have run at a target that has left the set. */
int memory_lost(const struct memory *, const char *id, int64_t born_wall_ms);

#endif
