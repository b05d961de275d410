/*
 * Requests that crash targets, by fingerprint.  Each crash has an id of its
 * own, so that what several nodes saw adds up and nothing counts twice,
 * whichever way it is told.
 */
#ifndef POISON_H
#define POISON_H

#include "../base/base.h"

#define POISON_CRASHES_MAX   2	    /* crashes that quarantine a fingerprint */
#define POISON_QUARANTINE_MS 600000 /* a crash is remembered so long */

/* Crashes under one fingerprint, by their ids; the oldest first. */
#define CRASHES_KEPT 4 /* ids; beyond, the oldest is forgotten */

struct crashes {
	int n;
	uint64_t ids[CRASHES_KEPT];
};

struct poison; /* opaque: see poison.c */

struct poison *poison_new(void);
void poison_free(struct poison *);
/* Crashes that count under a fingerprint. */
int poison_crashes(struct poison *, uint64_t fingerprint, int64_t now);
/* The ids of these; returns the time at which they are forgotten. */
int64_t poison_get(
    struct poison *, uint64_t fingerprint, struct crashes *, int64_t now);
/*
 * Adds crashes that are remembered until a time; returns how many were new.  Of
 * a fingerprint that is quarantined nothing is.
 */
int poison_add(struct poison *, uint64_t fingerprint, const struct crashes *,
    int64_t until, int64_t now);
/* A target ran it to a good end: no crash so far was its fault. */
void poison_succeeded(struct poison *, uint64_t fingerprint, int64_t now);
/* Forgets a fingerprint; 0 when it was not suspected. */
int poison_clear(struct poison *, uint64_t fingerprint);
/* Calls f for each fingerprint under which at least so many crashes count. */
void poison_each(struct poison *, int crashes, int64_t now,
    void (*f)(void *, uint64_t, const struct crashes *, int64_t until),
    void *arg);
void poison_print(struct poison *, GString *out, int64_t now);

/* Adds one id; 0 when it is there already. */
int crashes_add(struct crashes *, uint64_t id);

#endif
