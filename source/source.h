/*
 * Reads the platform's configuration service, which can be read and watched but
 * not written: the published sets, and a list of VMs that lags behind.  Users
 * whose service has another protocol provide another struct source_ops.
 */
#ifndef SOURCE_H
#define SOURCE_H

#include "../base/base.h"
#include "../mesh/mesh.h"

/* Errors of this package. */
enum source_err {
	SOURCE_OK = 0,
	SOURCE_EDOWN = -301, /* no connection, or it broke; other HTTP errors */
	SOURCE_ETIMEOUT = -302,	  /* no complete answer in time */
	SOURCE_ENOTFOUND = -303,  /* no such key */
	SOURCE_ELARGE = -304,	  /* a value exceeds its maximum size */
	SOURCE_EMALFORMED = -305, /* malformed, or its hash is wrong */
	SOURCE_EOLDER = -306,	  /* an index or version below an earlier one */
	SOURCE_EBUDGET = -307,	  /* this node's read budget is exhausted */
	SOURCE_ERATELIMIT = -308, /* the service limited the rate of reads */
	SOURCE_ESTOPPED = -309,	  /* the reader is stopping */
	SOURCE_EEARLY = -310, /* a blocking read returned at once, unchanged */
};

#define SOURCE_VALUE_MAX (1024 * 1024) /* bytes in one value */
#define SOURCE_PARTS_MAX 8	       /* parts of a set, one value each */
#define SOURCE_KEY_HEAD	 "teaselstep/head"
#define SOURCE_KEY_PARTS "teaselstep/parts"
#define SOURCE_KEY_VMS	 "vms"

struct source; /* opaque: one connection */

/*
 * The protocol of a configuration service.  A read with index 0 returns at
 * once.  With the index of an earlier answer it blocks until the value changes
 * or wait_ms pass.
 */
struct source_ops {
	const char *name;
	struct source *(*open)(const char *host, int port);
	void (*close)(struct source *);
	/*
	 * Reads a key.  Returns SOURCE_OK and a value that the caller releases,
	 * or an error and a NULL value.
	 */
	int (*read)(struct source *, const char *key, uint64_t index,
	    int wait_ms, GBytes **value, uint64_t *new_index);
};

extern const struct source_ops source_http;

/* The head of a published set.  The keys of its parts contain its hash. */
struct manifest {
	struct version version;
	unsigned char parent[VERSION_HASH_LEN]; /* hash of its parent set */
	int has_parent;
	int parts;
	int bytes; /* of all parts */
};

/* Parses a head; returns SOURCE_OK or SOURCE_EMALFORMED. */
int manifest_parse(const char *text, size_t len, struct manifest *);
/* Appends a head as JSON. */
void manifest_print(const struct manifest *, GString *out);
/* Key of a part of a set, from 0; freed by the caller. */
char *manifest_part_key(const struct manifest *, int part);

/* Callbacks of a reader, made from its threads. */
struct source_reader_events {
	void *arg;
	/* A head was read.  Returns 1 to fetch its set, 0, or an error. */
	int (*head)(void *arg, const struct manifest *);
	/* The text of such a set, hash checked; reference it to keep it. */
	void (*text)(void *arg, const struct manifest *, GBytes *text);
	/* A VM list was read; the list is valid during the call. */
	void (*vms)(void *arg, const struct json *list, uint64_t index);
	/* Once per key: its first read succeeded or was given up. */
	void (*first)(void *arg, int err);
};

struct reader; /* opaque: see reader.c */

/*
 * Starts the threads that watch the head and the VM list.  Each thread reads
 * once, after a random part of spread_ms, and then only while the reader is
 * active.  reads_per_min is the read budget of all threads together.
 */
struct reader *
reader_start(const struct source_ops *, const char *host, int port,
    int reads_per_min, int spread_ms, const struct source_reader_events *);
/* Makes the reader active or inactive. */
void reader_set_active(struct reader *, int on);
int reader_is_active(struct reader *);
/*
 * Stops the threads; the last one releases the reader.  A thread that is
 * blocked in a read ends after it, but makes no more callbacks.
 */
void reader_stop(struct reader *);
/* Result of the last read of the head: SOURCE_OK or an error. */
int reader_error(struct reader *);
/* Text of an error of this package. */
const char *source_strerror(int err);

#endif
