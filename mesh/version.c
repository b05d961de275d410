/* Versions of the set: identity, order, and the decision over an offer. */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "mesh.h"

/* Orders two versions by number, then by hash. */
int
version_cmp(const struct version *a, const struct version *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return memcmp(a->hash, b->hash, VERSION_HASH_LEN);
}

/* BLAKE2b of a text. */
void
version_hash(const char *text, size_t len, unsigned char *hash)
{
	crypto_generichash(
	    hash, VERSION_HASH_LEN, (const unsigned char *)text, len, NULL, 0);
}

/* Prints a hash in full. */
void
hash_to_hex(const unsigned char *hash, char *hex)
{
	sodium_bin2hex(hex, HASH_HEX_LEN, hash, VERSION_HASH_LEN);
}

/* Reads a hash in full. */
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

/* Prints a version for people. */
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
 * Decides over an offered version.  Two sets under one number come from two
 * operators who started from one base; the greater hash wins on every node,
 * whatever the order of arrival, and the loser is kept for the status.
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

/* Puts a version in force; never one that is not newer. */
int
version_take(struct version_state *st, const struct version *v)
{
	if (version_cmp(v, &st->held) <= 0)
		return MESH_EOLDER;
	if (st->held.number == v->number)
		st->conflict = st->held;
	st->held = *v;
	return MESH_OK;
}

/* Remembers the newest version that was rejected, with its first reason. */
void
version_reject(
    struct version_state *st, const struct version *v, const char *reason)
{
	if (version_cmp(v, &st->rejected) < 0)
		return;
	st->rejected = *v;
	g_strlcpy(st->reason, reason, sizeof(st->reason));
}

/* Remembers the newest version that another node rejected. */
void
version_told(struct version_state *st, const struct version *v,
    const char *reason, const char *by)
{
	if (v->number <= st->held.number || version_cmp(v, &st->told) <= 0)
		return;
	st->told = *v;
	g_strlcpy(st->told_reason, reason, sizeof(st->told_reason));
	g_strlcpy(st->told_by, by, sizeof(st->told_by));
}

/* This node's own rejection, or a newer one it was told of. */
const struct version *
version_rejected(
    const struct version_state *st, const char **reason, const char **by)
{
	int own = version_cmp(&st->rejected, &st->told) >= 0;
	const struct version *v = own ? &st->rejected : &st->told;

	*reason = own ? st->reason : st->told_reason;
	*by = own ? "" : st->told_by;
	return v->number > st->held.number ? v : NULL;
}
