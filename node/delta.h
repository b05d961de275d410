/* Deltas between two texts, and compressed whole texts, as zstd frames. */
#ifndef DELTA_H
#define DELTA_H

#include "node.h"

/*
 * Compresses text with base as the prefix that it refers to, or on its own if
 * base is NULL.  The caller owns the result, which is NULL if zstd fails.
 */
GBytes *delta_make(GBytes *base, GBytes *text);
/*
 * Decompresses a payload made by delta_make with the same base.  The caller
 * owns the result, which is NULL if the payload is malformed, does not give
 * exactly length bytes, or length is 0 or above BASE_SET_MAX.
 */
GBytes *delta_apply(GBytes *base, GBytes *payload, size_t length);

#endif
