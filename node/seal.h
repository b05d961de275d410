/*
 * Sealed datagrams: encrypted and authenticated with a key of the fleet.  The
 * receiver's address is authenticated as well, so a datagram captured on its
 * way to one node is refused by every other.  Sequence numbers detect replays.
 */
#ifndef SEAL_H
#define SEAL_H

#include "node.h"

#define SEAL_MAX      1400 /* bytes of a datagram on the wire */
#define SEAL_OVERHEAD 40   /* bytes of the nonce and the tag */

/*
 * Seals len bytes for the node at address to.  Returns the number of bytes
 * written to out, which has room for SEAL_MAX, or NODE_EMALFORMED if the
 * datagram would be larger.
 */
int seal(const unsigned char *key, const char *to, const void *plain,
    size_t len, unsigned char *out);
/*
 * Opens a datagram; self is this node's address as the sender knows it.
 * Returns the number of bytes written to plain, which has room for SEAL_MAX, or
 * NODE_EMALFORMED if it is not authentic.
 */
int unseal(const unsigned char *key, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain);

/* As unseal, with any of the fleet's keys; *used is the index of the key. */
int unseal_any(const struct fleet_keys *, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain, int *used);

/* Returns a fingerprint that identifies a key without revealing it; never 0. */
uint32_t key_fingerprint(const unsigned char *key);

/* The replay window of one sender: the sequence numbers received from it. */
struct replay {
	uint64_t boot;	 /* incarnation of the sender's process */
	uint64_t newest; /* greatest number received */
	uint64_t window; /* bit i: newest - i was received */
};

/*
 * Adds a sequence number to the window.  Returns 1 if it is new, and 0 if it is
 * a duplicate, too old for the window, or of an earlier process.
 */
int replay_accept(struct replay *, uint64_t boot, uint64_t count);

#endif
