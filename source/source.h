/*
 * The platform's side: a configuration service that can only be read and
 * watched, and a lagging list of VMs.  Users whose protocol differs provide
 * another table of functions.
 */
#ifndef SOURCE_H
#define SOURCE_H

#include "../base/base.h"
#include "../mesh/mesh.h"

/* Errors of this package. */
enum source_err {
	SOURCE_OK = 0,
	SOURCE_EDOWN = -301,	/* no connection, or it broke */
	SOURCE_ESLOW = -302,	/* not answered within the deadline */
	SOURCE_EABSENT = -303,	/* no such key */
	SOURCE_ELARGE = -304,	/* a value above its bound */
	SOURCE_EGARBLED = -305, /* a value that cannot be understood */
	SOURCE_EOLDER = -306,	/* an index or version below one seen */
	SOURCE_EBUDGET = -307,	/* this node's own budget of reads is spent */
	SOURCE_ELIMIT = -308,	/* the service refused for its rate */
	SOURCE_ESTOPPED = -309, /* the reader is being stopped */
	SOURCE_EEARLY = -310, /* a wait that ended at once, without a change */
};

#define SOURCE_VALUE_MAX (1024 * 1024) /* bytes in one value */
#define SOURCE_PARTS_MAX 8	       /* values that hold one set */
#define SOURCE_HEAD	 "teaselstep/head"
#define SOURCE_PART	 "teaselstep/parts"
#define SOURCE_VMS	 "vms"

struct source; /* opaque: one connection's state */

/*
 * How a platform is read.  A read with index 0 answers at once; with the index
 * of an earlier answer it waits until the value changes or wait_ms pass.
 */
struct source_ops {
	const char *name;
	struct source *(*open)(const char *host, int port);
	void (*close)(struct source *);
	/* Reads a key; value is owned by the caller.  0 or an error. */
	int (*read)(struct source *, const char *key, uint64_t index,
	    int wait_ms, GBytes **value, uint64_t *new_index);
};

extern const struct source_ops source_http;

/* The head of a published set, which names its parts by content. */
struct manifest {
	struct version version;
	unsigned char
	    parent[VERSION_HASH_LEN]; /* of the set it was made from */
	int has_parent;
	int parts;
	int bytes;
};

int manifest_parse(const char *text, size_t len, struct manifest *);
void manifest_print(const struct manifest *, GString *out);
/* Key of a part of a set; owned by the caller. */
char *manifest_part_key(const struct manifest *, int part);

/* Calls of a reader, from its own threads. */
struct reader_events {
	void *arg;
	/* A head was read; 1 if its text is wanted, 0 if not, or an error. */
	int (*head)(void *arg, const struct manifest *);
	/* The text of a wanted head was read and fits its hash. */
	void (*text)(void *arg, const struct manifest *, GBytes *text);
	/* A VM list was read. */
	void (*vms)(void *arg, const struct json *list, uint64_t index);
	/* A first read came to its end, well or not; once for each key. */
	void (*first)(void *arg, int err);
};

struct reader; /* opaque: see reader.c */

/*
 * Starts the threads that watch the head and the VM list.  Each reads once,
 * after a random part of spread_ms, and then only while on duty.
 */
struct reader *reader_start(const struct source_ops *, const char *host,
    int port, int reads_per_min, int spread_ms, const struct reader_events *);
/* Puts the reader on or off duty. */
void reader_duty(struct reader *, int on);
int reader_on_duty(struct reader *);
/*
 * Stops the threads; the last one releases the reader.  One that waits for the
 * service goes on until its read ends, but calls nobody any more.
 */
void reader_stop(struct reader *);
/* Last error of the head's watch, 0 when it was read well. */
int reader_error(struct reader *);
const char *source_strerror(int err);

#endif
