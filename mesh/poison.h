/*
 * Tracks poison requests, that is, requests that crash targets, by fingerprint.
 * Each crash has a globally unique id.  Crashes that several nodes observe thus
 * add up, and a crash that is reported more than once counts once.
 *
 * Times are monotonic ms.  A fingerprint with POISON_CRASHES_MAX crashes is in
 * quarantine.
 */
#ifndef POISON_H
#define POISON_H

#include "../base/base.h"

#define POISON_CRASHES_MAX   2	    /* crashes that quarantine a fingerprint */
#define POISON_QUARANTINE_MS 600000 /* for which crashes are remembered */

/* Ids of the crashes under one fingerprint, the oldest first. */
#define CRASHES_KEPT 4 /* ids; one more replaces the oldest */

struct crashes {
	int n;
	uint64_t ids[CRASHES_KEPT];
};

struct poison; /* opaque: see poison.c */

/* Creates an empty table, released by poison_free. */
struct poison *poison_new(void);
void poison_free(struct poison *);
/* Number of crashes under a fingerprint that no success has refuted. */
int poison_crash_count(struct poison *, uint64_t fingerprint, int64_t now);
/* Copies their ids out; returns the time at which they expire. */
int64_t poison_crash_ids(
    struct poison *, uint64_t fingerprint, struct crashes *, int64_t now);
/*
 * Adds crashes that expire at the time until, and returns how many were new.
 * Once a fingerprint is in quarantine, no more are added.
 */
int poison_add_crashes(struct poison *, uint64_t fingerprint,
    const struct crashes *, int64_t until, int64_t now);
/*
 * Records that a target ran the request successfully, which refutes the crashes
 * recorded so far: another request must have caused them.
 */
void poison_succeeded(struct poison *, uint64_t fingerprint, int64_t now);
/* Removes a fingerprint; returns 0 if it was not in the table. */
int poison_clear(struct poison *, uint64_t fingerprint);
/* Calls f for each fingerprint with at least that many crashes. */
void poison_each(struct poison *, int crashes, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t until),
    void *arg);
/* Appends the fingerprints in quarantine as a JSON array. */
void poison_print(struct poison *, GString *out, int64_t now);

/* Adds a crash id; returns 0 if it was present already. */
int crashes_add(struct crashes *, uint64_t id);

#endif
