/* Sealing of datagrams (XChaCha20-Poly1305) and notice of replays. */
#include <string.h>

#include <sodium.h>

#include "seal.h"

#define NONCE crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define TAG   crypto_aead_xchacha20poly1305_ietf_ABYTES

G_STATIC_ASSERT(NONCE + TAG == SEAL_OVERHEAD);

/* Seals a datagram under a random nonce. */
int
seal(const unsigned char *key, const char *to, const void *plain, size_t len,
    unsigned char *out)
{
	unsigned long long n;

	if (len + SEAL_OVERHEAD > SEAL_MAX)
		return NODE_EGARBLED;
	randombytes_buf(out, NONCE);
	crypto_aead_xchacha20poly1305_ietf_encrypt(out + NONCE, &n, plain, len,
	    (const unsigned char *)to, strlen(to), NULL, out, key);
	return (int)(n + NONCE);
}

/* Opens a datagram. */
int
unseal(const unsigned char *key, const char *self, const unsigned char *sealed,
    size_t len, unsigned char *plain)
{
	unsigned long long n;

	if (len < SEAL_OVERHEAD || len > SEAL_MAX)
		return NODE_EGARBLED;
	if (crypto_aead_xchacha20poly1305_ietf_decrypt(plain, &n, NULL,
		sealed + NONCE, len - NONCE, (const unsigned char *)self,
		strlen(self), sealed, key) != 0)
		return NODE_EGARBLED;
	return (int)n;
}

/* Tries one key after the other. */
int
unseal_any(const struct fleet_keys *keys, const char *self,
    const unsigned char *sealed, size_t len, unsigned char *plain, int *used)
{
	int size = NODE_EGARBLED;

	for (*used = 0; *used < keys->count; (*used)++) {
		size = unseal(keys->key[*used], self, sealed, len, plain);
		if (size >= 0)
			break;
	}
	return size;
}

/* Fingerprint of a key. */
uint32_t
key_print(const unsigned char *key)
{
	unsigned char hash[crypto_generichash_BYTES_MIN];
	uint32_t print;

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)"print",
	    5, key, NODE_KEY_LEN);
	memcpy(&print, hash, sizeof(print));
	return print | 1;
}

/* A sliding window over counts, as IPsec's (RFC 4303, 3.4.3). */
int
replay_accept(struct replay *r, uint64_t boot, uint64_t count)
{
	uint64_t behind;

	if (boot < r->boot)
		return 0;
	if (boot > r->boot) {
		*r = (struct replay){ boot, count, 1 };
		return 1;
	}
	if (count > r->newest) {
		behind = count - r->newest;
		r->window = behind < 64 ? r->window << behind : 0;
		r->window |= 1;
		r->newest = count;
		return 1;
	}
	behind = r->newest - count;
	if (behind >= 64 || (r->window >> behind & 1) != 0)
		return 0;
	r->window |= (uint64_t)1 << behind;
	return 1;
}
