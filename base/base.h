/*
 * Utilities shared by every package: clocks, the log, counters, histograms,
 * queues, JSON with comments and validated fields of JSON objects.
 *
 * Terms used below: a caller's request enters the mesh at a node, its entry.
 * The entry forwards it to the guard, the node or module beside a target that
 * admits requests to it.
 */
#ifndef BASE_H
#define BASE_H

#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>

#include <glib.h>

/* Errors of this package.  Functions that can fail return BASE_OK or these. */
enum base_err {
	BASE_OK = 0,
	BASE_EREAD = -101,    /* a file cannot be opened or read */
	BASE_ESIZE = -102,    /* a file or value exceeds its limit */
	BASE_EPARSE = -103,   /* text is not the expected JSON */
	BASE_EINVAL = -104,   /* a value has the wrong type or range */
	BASE_EADDRESS = -105, /* not an IPv4 address and a port */
};

#define BASE_MS_PER_S 1000
#define BASE_SET_MAX  (1024 * 1024) /* bytes in a set or settings file */

/* Monotonic time in ms.  All deadlines are on this clock. */
int64_t base_now_ms(void);
/* Monotonic time in microseconds, to measure latencies. */
int64_t base_now_us(void);
/* Wall time in ms since 1970, for identifiers that hold a creation time. */
int64_t base_wall_ms(void);
/* Returns the message of an error number of this or another package. */
const char *base_strerror(int err);

/* ---- addresses ---- */

#define ADDRESS_MAX 24 /* bytes of an IPv4 address, a port and a NUL */

/*
 * Splits ADDRESS:PORT into an IPv4 address, copied to host of ADDRESS_MAX
 * bytes, and a port from 1 to 65535.  Returns BASE_EADDRESS if it is neither.
 */
int address_split(const char *addr, char *host, int *port);
/* Converts ADDRESS:PORT to a socket address; returns BASE_EADDRESS likewise. */
int address_resolve(const char *addr, struct sockaddr_in *);

/* ---- files ---- */

/* Attributes that differ when a file was modified or replaced. */
struct file_stamp {
	int64_t changed_ns, size;
	uint64_t inode;
};

/*
 * Returns whether a file changed since the stamp was taken, and updates the
 * stamp.  Returns 0, without an update, if the file does not exist.
 */
int file_changed(const char *path, struct file_stamp *);

/* ---- log ---- */

/* Writes GLib's log to standard error, one line per record. */
void base_log_init(const char *program);
/*
 * Writes the log to standard output without blocking, so that a slow reader
 * does not delay the process.  Lines above a rate of bytes_per_s are dropped,
 * those of G_LOG_LEVEL_INFO and G_LOG_LEVEL_DEBUG above half of it.  Dropped
 * lines are counted, and their number is logged in a later second.
 */
void base_log_bounded(const char *program, int bytes_per_s);
/*
 * Sets the lowest level that is logged: "error", "warning", "info" or "debug".
 * Returns BASE_EINVAL for another name.
 */
int base_log_level(const char *name);
/* Logs a record: an event name and a formatted message of KEY=VALUE pairs. */
void base_log(GLogLevelFlags level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* ---- counters ---- */

enum counter {
	CTR_CALLS,	       /* calls accepted from callers */
	CTR_ANSWERED,	       /* complete answers returned to callers */
	CTR_ANSWERS_TRUNCATED, /* streamed answers that ended early */
	CTR_ANSWERS_OVERDUE,   /* answers after the time limit of the call */
	CTR_REFUSED_NOT_RUN,   /* calls refused as "not run" */
	CTR_REFUSED_UNKNOWN,   /* calls refused as "outcome unknown" */
	CTR_FORWARDS,	       /* requests sent from an entry to a guard */
	CTR_FORWARDS_FAR,      /* of these, to another data centre */
	CTR_RETRIES,	       /* sends of a request after the first */
	CTR_RETRY_DENIED,      /* retries denied by the retry budget */
	CTR_RETRY_RESERVE,     /* retries of calls from their reserve */
	CTR_FENCES,	       /* queries to a guard that also block the id */
	CTR_ASKS,	     /* questions to a guard if a request was started */
	CTR_LATE_ANSWERS,    /* answers for which no call waits */
	CTR_GUARD_RUNS,	     /* requests sent to the target */
	CTR_GUARD_QUEUED,    /* requests that waited for a slot */
	CTR_GUARD_REFUSED,   /* requests the guard refused */
	CTR_GUARD_LINK_FULL, /* of them, because the link is full */
	CTR_GUARD_CALLEES,   /* of them, parents whose calls would fail */
	CTR_GUARD_UNMEASURED, /* of them, for load, of kinds without samples */
	CTR_PUBLISHER_SLOW,   /* times that a publisher was late */
	CTR_PUBLISHER_BEHIND, /* times that a view became stale */
	CTR_GUARD_REVOKED,    /* of them, queued, as their entry asked */
	CTR_GUARD_DUPLICATES, /* requests whose id the guard already holds */
	CTR_GUARD_EXPIRED,    /* requests whose deadline passed in the queue */
	CTR_TARGET_FAILURES,  /* failed exchanges with the target */
	CTR_TARGET_CRASHES,   /* crashes of the target that were detected */
	CTR_QUARANTINED,      /* requests refused as they may crash targets */
	CTR_SOURCE_READS,     /* reads of the configuration service */
	CTR_SOURCE_FAILURES,  /* reads that failed or gave unusable data */
	CTR_SOURCE_UNPARSED,  /* parts of the data that could not be decoded */
	CTR_SOURCE_OLDER,     /* failed reads: older than the held version */
	CTR_SOURCE_DEFERRED,  /* reads delayed by the node's read budget */
	CTR_APPLIED,	      /* versions applied */
	CTR_REJECTED,	      /* versions rejected by validation */
	CTR_CONFIG_PARSED,    /* bytes of configurations that were parsed */
	CTR_CONFLICTS,	      /* differing sets with one version number */
	CTR_PUSHES,	      /* versions pushed to a peer */
	CTR_FETCHES,	      /* versions fetched from a peer */
	CTR_FULL_SETS,	      /* versions sent whole, not as a delta */
	CTR_LINKS_RELEASED,   /* idle connections to nodes closed */
	CTR_DATAGRAMS_SENT,
	CTR_DATAGRAMS_RECEIVED,
	CTR_DATAGRAMS_REFUSED,	/* not authentic, or replayed */
	CTR_CONTROL_BYTES_SENT, /* datagrams and configuration messages */
	CTR_CONTROL_BYTES_RECEIVED,
	CTR_CONFIG_BYTES_SENT, /* control bytes for configuration changes */
	CTR_SUSPECTED,	       /* peers that became suspect */
	CTR_LINK_BYTES,	       /* sent on links of the data path */
	CTR_EGRESS_CONTROL,    /* of these, by class of the egress scheduler */
	CTR_EGRESS_STATE,
	CTR_EGRESS_SHORT,
	CTR_EGRESS_REQUEST,
	CTR_EGRESS_BULK,
	CTR_LOG_DROPPED,   /* lines dropped from the log */
	CTR_HEALTH_CHECKS, /* health checks of the target */
	CTR_PAUSES,	   /* ticks of the node's loop that came late */
	CTR_COUNT
};

/* Adds to a counter; thread-safe. */
void counter_add(enum counter c, int64_t n);
/* Returns a counter's value; thread-safe. */
int64_t counter_get(enum counter c);
/* Appends all counters in the Prometheus text format. */
void counter_print(GString *out);

/* ---- histograms of times ---- */

enum histogram {
	HIST_ANSWER, /* at the entry: from a request to its target's answer */
	HIST_FIRST_BYTE,  /* at the entry: to the head of a streamed answer */
	HIST_GUARD_WAIT,  /* at the guard: from an offer until it is sent */
	HIST_STATE_AGE,	  /* staleness of the guard's state as it sends */
	HIST_EGRESS_WAIT, /* of frames that waited for their turn on a link */
	HIST_OVERDUE, /* at the entry: answers after the limit, by how much */
	HIST_LOOP_DELAY,   /* of a periodic timer of the event loop */
	HIST_CONFIG_APPLY, /* from a version's arrival until it is in force */
	HIST_COUNT
};

/* Adds a duration in ms to a histogram; thread-safe. */
void histogram_add(enum histogram, int64_t ms);
/* Appends all histograms in the Prometheus text format. */
void histogram_print(GString *out);

/* ---- queues between threads ---- */

GAsyncQueue *queue_new(void);
/* Appends an item; the thread that pops it owns it. */
void queue_push(GAsyncQueue *, void *item);
/* Remove the oldest item.  queue_pop blocks; queue_try_pop may return NULL. */
void *queue_pop(GAsyncQueue *);
void *queue_try_pop(GAsyncQueue *);
/*
 * Declare to the thread sanitizer a happens-before relation that a library
 * establishes: writes before base_tsan_release are visible after
 * base_tsan_acquire of the same address.  Without the sanitizer they do
 * nothing.
 */
void base_tsan_release(void *address);
void base_tsan_acquire(void *address);

/* ---- report of the errors and warnings found in a file ---- */

struct report_entry {
	int line;
	int warning; /* 1: the file is still accepted */
	char *kind;  /* of the object, e.g. "route" */
	char *name;  /* of the object */
	char *message;
};

struct report {
	GPtrArray *entries; /* of struct report_entry, owned */
	int errors;
	int warnings;
};

struct report *report_new(void);
void report_free(struct report *);
/* Add an entry; the strings are copied, the name with characters escaped. */
void report_error(struct report *, int line, const char *kind, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
void report_warn(struct report *, int line, const char *kind, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
/* Sorts the entries by line; appends `FILE:LINE: KIND "NAME": message` each. */
void report_print(struct report *, const char *file, GString *out);

/* ---- JSON ---- */

enum json_type {
	JSON_NULL,
	JSON_BOOL,
	JSON_INT,
	JSON_REAL,
	JSON_STRING,
	JSON_ARRAY,
	JSON_OBJECT
};

/* A value and its line in the text.  A tree is owned by its root. */
struct json {
	enum json_type type;
	int line;
	size_t end;  /* offset after its token: of a container, the bracket */
	char *key;   /* set for members of an object */
	char *str;   /* JSON_STRING */
	int64_t num; /* JSON_BOOL, JSON_INT */
	double real; /* JSON_REAL */
	struct json *child, *last, *next, *parent;
};

/*
 * Parses JSON with comments.  Syntax errors, duplicate keys, NUL bytes, more
 * than 200000 values and nesting deeper than 16 are reported, and the result
 * is NULL.
 */
struct json *json_parse(const char *text, size_t len, struct report *);
void json_free(struct json *);
/* Returns a member of an object, or NULL if it or the object is absent. */
const struct json *json_get(const struct json *, const char *key);
/* Return a member, or the default if it is absent or of another type. */
const char *json_str(const struct json *, const char *key, const char *dflt);
int64_t json_int(const struct json *, const char *key, int64_t dflt);
/* Returns a type's name as used in messages, e.g. "an integer". */
const char *json_type_name(enum json_type);
/* Appends a string literal with the characters escaped that JSON requires. */
void json_quote(GString *out, const char *s);

/* ---- validated fields ---- */

enum field_type {
	FIELD_NAME, /* char *, 1 to max bytes, no control characters */
	FIELD_LIST, /* char **, NULL-terminated, at most max strings */
	FIELD_INT,  /* int, min to max */
	FIELD_REAL, /* double, min to max */
	FIELD_BOOL, /* int, 0 or 1 */
	FIELD_ENUM, /* int, index into names */
};

struct field {
	const char *key;
	enum field_type type;
	size_t offset; /* of the member in the struct */
	int64_t min, max;
	const char *const *names; /* NULL-terminated, FIELD_ENUM */
	int required;
};

/*
 * Fills a struct from an object by a table that ends with a NULL key.  Unknown
 * keys, invalid values and missing required keys are reported under the kind
 * and name, and the result is BASE_EINVAL.  Strings are owned by the struct
 * and replace those it held.
 */
int fields_read(const struct json *obj, const struct field *tab, void *out,
    struct report *, const char *kind, const char *name);
/*
 * Reports an error if value, as read from the key of obj, is not an IPv4
 * address and port.  A NULL value or an absent key is accepted.
 */
void field_address(const struct json *obj, const char *key, const char *value,
    struct report *);
/* Returns whether a name has 1 to max bytes and no control characters. */
int name_valid(const char *s, size_t max);
/* Returns the candidate nearest to s within edit distance 2, or NULL. */
const char *name_nearest(const char *s, const char *const *cand, size_t n);

/*
 * Reads a file of at most max bytes into a NUL-terminated buffer, which the
 * calling code frees.  Returns BASE_EREAD or BASE_ESIZE on failure.
 */
int base_read_file(const char *path, size_t max, char **text, size_t *len);

#endif
