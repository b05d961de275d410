/* Internal interface of the egress scheduler. */
#ifndef EGRESS_INT_H
#define EGRESS_INT_H

#include "egress.h"

#define US_PER_S  1000000.0
#define US_PER_MS 1000

/* The frame of a class that is sent next, or NULL. */
struct egress_frame *
egress_first(const struct egress *, enum egress_class, int64_t now);
/* Whether a frame can no longer arrive by its goal. */
int
egress_is_late(const struct egress *, const struct egress_frame *, int64_t now);
/* Whether a class has a frame that its peer can be sent. */
int egress_has_eligible(const struct egress *, enum egress_class);

#endif
