/* Suspicion of requests that crash targets, by fingerprint. */
#ifndef POISON_H
#define POISON_H

#include "../base/base.h"

struct poison; /* opaque: see poison.c */

struct poison *poison_new(void);
void poison_free(struct poison *);
/* Crashes counted under a fingerprint. */
int poison_crashes(struct poison *, uint64_t fingerprint, int64_t now);
/* Raises the count to at least crashes. */
void
poison_raise(struct poison *, uint64_t fingerprint, int crashes, int64_t now);
/* Forgets a fingerprint; 0 when it was not suspected. */
int poison_clear(struct poison *, uint64_t fingerprint);
void poison_print(struct poison *, GString *out, int64_t now);

#endif
