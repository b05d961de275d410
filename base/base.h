/*
 * Plumbing shared by every package: clock, log, counters, JSON with comments
 * and the table-driven reading of checked fields.
 */
#ifndef BASE_H
#define BASE_H

#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>

#include <glib.h>

/* Errors of this package; every function below returns 0 or one of these. */
enum base_err {
	BASE_OK = 0,
	BASE_EREAD = -101,    /* a file cannot be opened or read */
	BASE_ESIZE = -102,    /* a file or value is larger than allowed */
	BASE_EPARSE = -103,   /* text is not the JSON that was expected */
	BASE_EINVAL = -104,   /* a value has the wrong type or range */
	BASE_EADDRESS = -105, /* not an IPv4 address and a port */
};

#define BASE_MS_PER_S 1000
#define BASE_SET_MAX  (1024 * 1024) /* bytes in a set or settings file */

/* Monotonic time in ms; deadlines everywhere are values of this clock. */
int64_t base_now_ms(void);
/* Monotonic time in microseconds, for latencies. */
int64_t base_now_us(void);
/* Wall time in ms since 1970, for identifiers that carry their birth. */
int64_t base_wall_ms(void);
/* Name of an error number of any package's number range. */
const char *base_strerror(int err);

/* ---- addresses ---- */

#define ADDRESS_MAX 24 /* bytes of an IPv4 address, a port and a NUL */

/* Splits ADDRESS:PORT; host has ADDRESS_MAX bytes. */
int address_split(const char *addr, char *host, int *port);
/* The same, for a socket. */
int address_resolve(const char *addr, struct sockaddr_in *);

/* ---- files ---- */

/* What tells one state of a file from another. */
struct file_mark {
	int64_t changed_ns, size;
	uint64_t inode;
};

/* Whether a file differs from its mark, which is renewed; 0 if it is gone. */
int file_changed(const char *path, struct file_mark *);

/* ---- log ---- */

/* Sends GLib's log to standard error, one line a record. */
void base_log_init(const char *program);
/*
 * Sends it to standard output instead, for a process whose reader may be slow:
 * writing never waits, and lines above bytes_per_s are left out, those of
 * lesser levels first.  What was left out is counted and said each second.
 */
void base_log_bounded(const char *program, int bytes_per_s);
/* Sets the lowest level shown; returns BASE_EINVAL for an unknown name. */
int base_log_level(const char *name);
/* Writes one record: an event name, then details as printf text. */
void base_log(GLogLevelFlags level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* ---- counters ---- */

enum counter {
	CTR_CALLS,	      /* calls accepted from callers */
	CTR_ANSWERED,	      /* answers passed on whole */
	CTR_ANSWERS_CUT,      /* long answers that broke off */
	CTR_REFUSED_NOT_RUN,  /* refusals that say "not run" */
	CTR_REFUSED_UNKNOWN,  /* refusals that say "outcome unknown" */
	CTR_FORWARDS,	      /* sendings from entry to guard */
	CTR_RETRIES,	      /* sendings after a first one */
	CTR_RETRY_DENIED,     /* retries that the budget denied */
	CTR_FENCES,	      /* fences asked of a guard */
	CTR_LATE_ANSWERS,     /* answers that found no waiting call */
	CTR_GUARD_RUNS,	      /* requests handed to the target */
	CTR_GUARD_QUEUED,     /* requests that waited for a slot */
	CTR_GUARD_REFUSED,    /* requests the guard refused */
	CTR_GUARD_DUPLICATES, /* sendings of an id already held */
	CTR_GUARD_EXPIRED,    /* requests whose deadline passed in the queue */
	CTR_TARGET_FAILURES,  /* exchanges with the target that broke */
	CTR_TARGET_CRASHES,   /* crashes of the target that were noticed */
	CTR_QUARANTINED,      /* requests refused as poison */
	CTR_SOURCE_READS,     /* calls to the configuration service */
	CTR_SOURCE_FAILURES,  /* of these, failed or unusable */
	CTR_UNREAD,	      /* parts of what the source says not understood */
	CTR_SOURCE_OLDER,     /* of these, older than the version held */
	CTR_SOURCE_DEFERRED,  /* reads put off by the node's own budget */
	CTR_APPLIED,	      /* versions applied */
	CTR_REJECTED,	      /* versions rejected by the check */
	CTR_CONFLICTS,	      /* two sets under one version number */
	CTR_PUSHES,	      /* versions pushed to a peer */
	CTR_FETCHES,	      /* versions fetched from a peer */
	CTR_FULL_SETS,	      /* of the versions sent, without a shared base */
	CTR_LINKS_RELEASED,   /* connections to nodes dropped as idle */
	CTR_DATAGRAMS_SENT,
	CTR_DATAGRAMS_RECEIVED,
	CTR_DATAGRAMS_REFUSED,	/* not sealed by the fleet, or replayed */
	CTR_CONTROL_BYTES_SENT, /* datagrams and configuration messages */
	CTR_CONTROL_BYTES_RECEIVED,
	CTR_SPREAD_BYTES_SENT, /* of these, for configuration changes */
	CTR_SUSPECTED,	       /* peers that became suspect */
	CTR_LINK_BYTES,	       /* sent on links of the data path */
	CTR_LOG_DROPPED,       /* lines of the log left out */
	CTR_PROBES,	       /* status checks of the target */
	CTR_PAUSES,	       /* gaps between two ticks of the node */
	CTR_COUNT
};

/* Adds to a counter; safe from any thread. */
void counter_add(enum counter c, int64_t n);
/* Reads a counter. */
int64_t counter_get(enum counter c);
/* Appends all counters in the Prometheus text format. */
void counter_print(GString *out);

/* ---- histograms of times ---- */

enum histogram {
	HIST_ANSWER, /* from a request to its target's answer, at its entry */
	HIST_FIRST_BYTE,    /* from a request to the head of a long answer */
	HIST_GATE_WAIT,	    /* from an offer until the target got it */
	HIST_KNOWLEDGE_AGE, /* of what a gate knew when it sent */
	HIST_COUNT
};

/* Counts a time; safe from any thread. */
void histogram_add(enum histogram, int64_t ms);
/* Appends all histograms in the Prometheus text format. */
void histogram_print(GString *out);

/* ---- queues between threads ---- */

GAsyncQueue *queue_new(void);
/* The item belongs to whoever takes it. */
void queue_push(GAsyncQueue *, void *item);
/* The oldest item; queue_pop waits for one, the other returns NULL. */
void *queue_pop(GAsyncQueue *);
void *queue_try_pop(GAsyncQueue *);
/* Orderings that libraries establish, told to the thread sanitizer. */
void base_publish(void *address);
void base_observe(void *address);

/* ---- report of problems found in a file ---- */

struct report_entry {
	int line;
	int warning; /* 1: does not refuse the file */
	char *kind;  /* of the object, as "route" */
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
void report_error(struct report *, int line, const char *kind, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
void report_warn(struct report *, int line, const char *kind, const char *name,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
/* Sorts by line and appends `FILE:LINE: KIND "NAME": message` lines. */
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

/* One value with the line it stands on; a tree owned by its root. */
struct json {
	enum json_type type;
	int line;
	size_t end;  /* offset in the text just past the value's token */
	char *key;   /* set for members of an object */
	char *str;   /* JSON_STRING */
	int64_t num; /* JSON_BOOL, JSON_INT */
	double real; /* JSON_REAL */
	struct json *child, *last, *next, *parent;
};

/*
 * Parses text with comments.  Syntax errors, duplicate keys, NUL bytes and
 * nesting deeper than 16 go into the report; NULL on any of them.
 */
struct json *json_parse(const char *text, size_t len, struct report *);
void json_free(struct json *);
/* Member of an object by key, or NULL. */
const struct json *json_get(const struct json *, const char *key);
/* String or integer member, or the default when absent or of other type. */
const char *json_str(const struct json *, const char *key, const char *dflt);
int64_t json_int(const struct json *, const char *key, int64_t dflt);
const char *json_type_name(enum json_type);
/* Appends a JSON string literal. */
void json_quote(GString *out, const char *s);

/* ---- checked fields ---- */

enum field_type {
	FIELD_NAME, /* char *, printable, 1 to max bytes */
	FIELD_LIST, /* char **, ends with NULL, of at most max strings */
	FIELD_INT,  /* int, min to max */
	FIELD_REAL, /* double, min to max */
	FIELD_BOOL, /* int, 0 or 1 */
	FIELD_ENUM, /* int, index into names */
};

struct field {
	const char *key;
	enum field_type type;
	size_t offset; /* of the member in the struct that is filled */
	int64_t min, max;
	const char *const *names; /* NULL-terminated, FIELD_ENUM */
	int required;
};

/*
 * Fills a struct from an object by a table that ends with a NULL key.  All
 * problems go into the report; strings are owned by the struct.
 */
int fields_read(const struct json *obj, const struct field *tab, void *out,
    struct report *, const char *kind, const char *name);
/* Reports the value of a key that is no IPv4 address and port; NULL is none. */
void field_address(const struct json *obj, const char *key, const char *value,
    struct report *);
/* Whether a name may be used: 1 to max bytes, no control characters. */
int name_valid(const char *s, size_t max);
/* The candidate nearest to s by edit distance of at most 2, or NULL. */
const char *name_nearest(const char *s, const char *const *cand, size_t n);

/* Reads a whole file of at most max bytes; the text is owned by the caller. */
int base_read_file(const char *path, size_t max, char **text, size_t *len);

#endif
