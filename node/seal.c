/* Sealed datagrams (XChaCha20-Poly1305) and replay detection. */
#include <string.h>

#include <sodium.h>

#include "seal.h"

#define NONCE_LEN crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define TAG_LEN	  crypto_aead_xchacha20poly1305_ietf_ABYTES

G_STATIC_ASSERT(NONCE_LEN + TAG_LEN == SEAL_OVERHEAD);

/* The nonce is random and precedes the ciphertext. */
int
seal(const unsigned char *key, const char *to, const void *plain, size_t len,
    unsigned char *out)
{
	unsigned long long n;

	if (len + SEAL_OVERHEAD > SEAL_MAX)
		return NODE_EMALFORMED;
	randombytes_buf(out, NONCE_LEN);
	crypto_aead_xchacha20poly1305_ietf_encrypt(out + NONCE_LEN, &n, plain,
	    len, (const unsigned char *)to, strlen(to), NULL, out, key);
	return (int)(n + NONCE_LEN);
}

/* The receiver's address is authenticated: other nodes refuse the datagram. */
int
unseal(const unsigned char *key, const char *self, const unsigned char *sealed,
    size_t len, unsigned char *plain)
{
	unsigned long long n;

	if (len < SEAL_OVERHEAD || len > SEAL_MAX)
		return NODE_EMALFORMED;
	if (crypto_aead_xchacha20poly1305_ietf_decrypt(plain, &n, NULL,
		sealed + NONCE_LEN, len - NONCE_LEN,
		(const unsigned char *)self, strlen(self), sealed, key) != 0)
		return NODE_EMALFORMED;
	return (int)n;
}

/* Tries each of the fleet's keys; used is the index of the one that fits. */
int
unseal_any(const struct fleet_keys *keys, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain, int *used)
{
	int size = NODE_EMALFORMED;

	for (*used = 0; *used < keys->count; (*used)++) {
		size = unseal(keys->key[*used], self, sealed, len, plain);
		if (size >= 0)
			break;
	}
	return size;
}

/* A hash of the key, never 0, as 0 means that none is known. */
uint32_t
key_fingerprint(const unsigned char *key)
{
	unsigned char hash[crypto_generichash_BYTES_MIN];
	uint32_t fingerprint;

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)"print",
	    5, key, NODE_KEY_LEN);
	memcpy(&fingerprint, hash, sizeof(fingerprint));
	return fingerprint | 1;
}

/* A sliding window of 64 sequence numbers, as in IPsec (RFC 4303, 3.4.3). */
int
replay_accept(struct replay *r, uint64_t boot, uint64_t count)
{
	uint64_t distance;

	if (boot < r->boot)
		return 0;
	if (boot > r->boot) {
		*r = (struct replay){ boot, count, 1 };
		return 1;
	}
	if (count > r->newest) {
		distance = count - r->newest;
		r->window = distance < 64 ? r->window << distance : 0;
		r->window |= 1;
		r->newest = count;
		return 1;
	}
	distance = r->newest - count;
	if (distance >= 64 || (r->window >> distance & 1) != 0)
		return 0;
	r->window |= (uint64_t)1 << distance;
	return 1;
}
