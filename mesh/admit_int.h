/* Shared by the parts of admission control. */
#ifndef ADMIT_INT_H
#define ADMIT_INT_H

#include "admit.h"

/* admit.c: the table of kinds */
/* The estimates of a kind; adds it if it is not there. */
struct admit_kind *admit_kind_get(struct admit *, uint32_t kind);
/* The same without adding it: NULL if it is not there. */
const struct admit_kind *admit_kind_find(const struct admit *, uint32_t kind);
/* Whether most runs of a kind fail. */
int admit_is_failing(const struct admit *, uint32_t kind);

/* admit_reserve.c: slots for kinds that use little of the target */
/* Whether a kind used so little lately that it may use the reserve. */
int admit_is_small(const struct admit *, uint32_t kind);
/* Whether another run may be started from the reserve. */
int admit_reserve_has_room(const struct admit *);
/*
 * Index of the queued request to start next.  Counts it as started from the
 * reserve if it is of a small kind and the reserve has room.
 */
guint admit_reserve_pick(struct admit *);
/* A run of a kind has ended that held its slot for so long. */
void admit_reserve_ended(struct admit *, struct admit_kind *, int64_t held_us);

#endif
