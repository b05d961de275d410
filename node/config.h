/*
 * The configuration store of a node.  A dedicated thread decodes, verifies
 * and validates each submitted version of the configuration set and activates
 * it by a single pointer swap.  Readers access the active configuration under
 * RCU, so they see either all of a new version or none of it.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "../mesh/mesh.h"
#include "node.h"

/*
 * An active configuration: a validated set and where it came from.  Immutable
 * once it is visible to readers.
 */
struct config {
	struct set *set;
	struct version version;
	unsigned char parent[VERSION_HASH_LEN]; /* hash of the set that this
						 * one was edited from */
	int has_parent;				/* 1: parent is valid */
	int64_t applied_wall_ms;
	char source[MESH_NAME_MAX + 1]; /* "platform" or a peer's name */
};

/*
 * A version as nodes send it to each other: a zstd frame that holds the whole
 * text of the set, or its delta against a base text that the receiver holds.
 */
struct config_delta {
	struct version version;
	unsigned char parent[VERSION_HASH_LEN];
	int has_parent;
	unsigned char base[VERSION_HASH_LEN]; /* hash of the base text */
	int has_base;	 /* 0: the payload is the whole text */
	size_t length;	 /* bytes of the text after decompression */
	GBytes *payload; /* owned */
};

#define CONFIG_BASES_MAX 4 /* texts kept as bases of deltas */

struct config_store; /* opaque: see config.c */

/*
 * Starts the store and its thread.  With full_sets, config_encode never
 * builds a delta.  The store's thread calls changed after each submission it
 * has processed, whether or not that became active.
 */
struct config_store *
config_store_new(int full_sets, void (*changed)(void *arg), void *arg);
/*
 * Stops the thread once it has processed everything that was submitted, and
 * releases the store.  No reader may be inside a read-side section.
 */
void config_store_free(struct config_store *);
/* Begin and end an RCU read-side section; sections may nest. */
void config_read_lock(void);
void config_read_unlock(void);
/*
 * Returns the active configuration, or NULL if no version was accepted yet.
 * The result is owned by the store and valid until the end of the caller's
 * read-side section.
 */
const struct config *config_get(const struct config_store *);
/*
 * Copies the version state: the version held, the last one rejected and the
 * last conflict.
 */
void config_versions(struct config_store *, struct version_state *);
/*
 * Records that another node, whose name is by, rejected a version.  The
 * rejection is shown in the status and gossiped on; whether this node rejects
 * the version as well is up to its own validation.
 */
void config_record_rejection(struct config_store *, const struct version *,
    const char *reason, const char *by);
/*
 * Decides whether an offered version is wanted.  A conflict (another set
 * under the number of the version held) is recorded; one that the offered set
 * loses is counted and logged once.
 */
enum offer_verdict config_offer(struct config_store *, const struct version *);
/*
 * Queues the whole text of a version for the store's thread.  A reference to
 * text is taken; parent is the hash of the parent set, or NULL.
 */
void config_submit(struct config_store *, const struct version *,
    const unsigned char *parent, GBytes *text, const char *source);
/*
 * Queues a version that a peer sent, whole or as a delta.  A reference to the
 * payload is taken; source is the peer's name.
 */
void config_submit_delta(
    struct config_store *, const struct config_delta *, const char *source);
/*
 * Encodes the active version for a receiver that holds texts with the given
 * hashes: as a delta if one of them is a base held here, else whole.  Returns
 * NODE_OK, or NODE_EBASE if no version is active.  The caller owns the
 * payload of out.
 */
int config_encode(struct config_store *,
    const unsigned char (*bases)[VERSION_HASH_LEN], int nbases,
    struct config_delta *out);
/*
 * Writes the hashes of the texts held, newest first, to bases, which has room
 * for CONFIG_BASES_MAX.  Returns their number.
 */
int
config_bases(struct config_store *, unsigned char (*bases)[VERSION_HASH_LEN]);
/*
 * Appends the active version with its age and source, and the last rejection,
 * conflict and unusable submission, as members of a JSON object.
 */
void config_status(struct config_store *, GString *out);

#endif
