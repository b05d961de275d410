/*
 * Datagrams sealed with the fleet's key.  The receiver's address is part of
 * what is sealed, so that one meant for another node is worth nothing; counts
 * reveal replayed ones.
 */
#ifndef SEAL_H
#define SEAL_H

#include "node.h"

#define SEAL_MAX      1400 /* bytes of a datagram on the wire */
#define SEAL_OVERHEAD 40   /* bytes: nonce and tag */

/* Seals; returns the bytes written to out, which has SEAL_MAX. */
int seal(const unsigned char *key, const char *to, const void *plain,
    size_t len, unsigned char *out);
/* Opens; returns the bytes written to plain, or NODE_EGARBLED. */
int unseal(const unsigned char *key, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain);

/* Opens with any of the fleet's keys; *used is the index of the one that fits.
 */
int unseal_any(const struct fleet_keys *, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain, int *used);

/* Tells keys apart without telling them; never 0. */
uint32_t key_print(const unsigned char *key);

/* Counts seen from one sender. */
struct replay {
	uint64_t boot;
	uint64_t newest;
	uint64_t window; /* bit i: newest - i was seen */
};

/* Whether a count is new; remembers it. */
int replay_accept(struct replay *, uint64_t boot, uint64_t count);

#endif
