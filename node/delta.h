/* Differences between two texts, and whole texts, as zstd frames. */
#ifndef DELTA_H
#define DELTA_H

#include "node.h"

/* Compresses text with base as its prefix; base may be NULL. */
GBytes *delta_make(GBytes *base, GBytes *text);
/* Undoes it; NULL when the payload is not length bytes under that base. */
GBytes *delta_apply(GBytes *base, GBytes *payload, size_t length);

#endif
