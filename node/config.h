/*
 * The accepted configuration of a node.  One thread of its own decodes,
 * verifies, checks and puts new versions in force by a single pointer swap;
 * readers see it under RCU, whole or not at all.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "../mesh/mesh.h"
#include "node.h"

/* What is in force.  Never changed once published. */
struct config {
	struct set *set;
	struct version version;
	unsigned char parent[VERSION_HASH_LEN];
	int has_parent;
	int64_t applied_wall_ms;
	char source[MESH_NAME_MAX + 1]; /* "platform", or the peer's name */
};

/* A version as it travels: whole, or as a difference to a base. */
struct config_delta {
	struct version version;
	unsigned char parent[VERSION_HASH_LEN];
	int has_parent;
	unsigned char base[VERSION_HASH_LEN];
	int has_base;
	size_t length;	 /* bytes of the text it stands for */
	GBytes *payload; /* owned */
};

#define CONFIG_HELD 4 /* texts kept as bases of differences */

struct config_store; /* opaque: see config.c */

/* changed is called by the store's thread after each decision it made. */
struct config_store *
config_store_new(int full_sets, void (*changed)(void *arg), void *arg);
void config_store_free(struct config_store *);
/* What is in force, or NULL; only between config_lock and config_unlock. */
void config_lock(void);
void config_unlock(void);
const struct config *config_get(const struct config_store *);
/* Copies what is remembered of versions. */
void config_versions(struct config_store *, struct version_state *);
/* Another node says that it rejected a version. */
void config_told(struct config_store *, const struct version *,
    const char *reason, const char *by);
/* Decides over an offer, remembering conflicts. */
enum offer_verdict config_offer(struct config_store *, const struct version *);
/* Hands a text that came from the platform to the store's thread. */
void config_submit(struct config_store *, const struct version *,
    const unsigned char *parent, GBytes *text, const char *source);
/* Hands a difference that came from a peer to it; payload is referenced. */
void config_submit_delta(
    struct config_store *, const struct config_delta *, const char *source);
/*
 * Builds the newest version for somebody who holds the given bases; NODE_EBASE
 * when nothing is in force.  payload of out is owned by the caller.
 */
int config_encode(struct config_store *,
    const unsigned char (*bases)[VERSION_HASH_LEN], int nbases,
    struct config_delta *out);
/* Hashes of the texts held, newest first; returns how many. */
int
config_bases(struct config_store *, unsigned char (*bases)[VERSION_HASH_LEN]);
/* Appends versions, age, source and rejections as JSON members. */
void config_status(struct config_store *, GString *out);

#endif
