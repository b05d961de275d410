/* Versions of the set: identity, order, and verdicts on offered versions. */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "mesh.h"

/* memcmp orders the hashes alike on every machine. */
int
version_cmp(const struct version *a, const struct version *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return memcmp(a->hash, b->hash, VERSION_HASH_LEN);
}

/* BLAKE2b without a key, over the text byte by byte as published. */
void
version_hash(const char *text, size_t len, unsigned char *hash)
{
	crypto_generichash(
	    hash, VERSION_HASH_LEN, (const unsigned char *)text, len, NULL, 0);
}

/* hex has room for HASH_HEX_LEN bytes, with the final NUL. */
void
hash_to_hex(const unsigned char *hash, char *hex)
{
	sodium_bin2hex(hex, HASH_HEX_LEN, hash, VERSION_HASH_LEN);
}

/* On an error, the hash may have been partly written. */
int
hash_from_hex(const char *hex, unsigned char *hash)
{
	size_t n;

	if (strlen(hex) != HASH_HEX_LEN - 1 ||
	    sodium_hex2bin(hash, VERSION_HASH_LEN, hex, strlen(hex), NULL, &n,
		NULL) != 0 ||
	    n != VERSION_HASH_LEN)
		return MESH_EHASH;
	return MESH_OK;
}

/* For logs and status reports; "none" is static, not in buf. */
const char *
version_str(const struct version *v, char *buf)
{
	if (v->number == 0)
		return "none";
	snprintf(buf, VERSION_STR_LEN, "%llu-%02x%02x%02x%02x",
	    (unsigned long long)v->number, v->hash[0], v->hash[1], v->hash[2],
	    v->hash[3]);
	return buf;
}

/*
 * Two sets have the same number if two operators edited the same version at
 * the same time.  The greater hash wins on every node, whatever the order of
 * arrival, and the losing version is kept for status reports.
 */
enum offer_verdict
version_offer(struct version_state *st, const struct version *v)
{
	int c = version_cmp(v, &st->held);

	if (v->number == 0 || c == 0 || v->number < st->held.number)
		return OFFER_OLDER;
	if (c < 0) {
		st->conflict = *v;
		return OFFER_CONFLICT_LOSES;
	}
	if (version_cmp(v, &st->rejected) == 0)
		return OFFER_REJECTED;
	if (v->number == st->held.number)
		return OFFER_CONFLICT_WINS;
	return OFFER_FETCH;
}

/* Refuses a version that is not newer, so the version never goes back. */
int
version_accept(struct version_state *st, const struct version *v)
{
	if (version_cmp(v, &st->held) <= 0)
		return MESH_EOLDER;
	if (st->held.number == v->number)
		st->conflict = st->held;
	st->held = *v;
	return MESH_OK;
}

/* Keeps only the newest rejected version. */
void
version_reject(
    struct version_state *st, const struct version *v, const char *reason)
{
	if (version_cmp(v, &st->rejected) < 0)
		return;
	st->rejected = *v;
	g_strlcpy(st->reason, reason, sizeof(st->reason));
}

/* Keeps only the newest version that is also newer than the one held. */
void
version_peer_rejected(struct version_state *st, const struct version *v,
    const char *reason, const char *by)
{
	if (v->number <= st->held.number ||
	    version_cmp(v, &st->peer_rejected) <= 0)
		return;
	st->peer_rejected = *v;
	g_strlcpy(st->peer_reason, reason, sizeof(st->peer_reason));
	g_strlcpy(st->peer_name, by, sizeof(st->peer_name));
}

/* This node's own rejection takes precedence unless a peer's is newer. */
const struct version *
version_rejected(
    const struct version_state *st, const char **reason, const char **by)
{
	int own = version_cmp(&st->rejected, &st->peer_rejected) >= 0;
	const struct version *v = own ? &st->rejected : &st->peer_rejected;

	*reason = own ? st->reason : st->peer_reason;
	*by = own ? "" : st->peer_name;
	return v->number > st->held.number ? v : NULL;
}
