/*
 * The program that stands beside a target on the users' platform: its
 * settings, what it follows of the platform's store, its stop.
 */
#ifndef SIDE_H
#define SIDE_H

#include "../platform/platform.h"

/* Errors of this package. */
enum side_err {
	SIDE_OK = 0,
	SIDE_ESETTINGS = -901, /* the settings were refused */
};

struct side_settings {
	struct proxy_settings proxy;
	char *store;   /* address of the platform's store */
	char *metrics; /* address for metrics */
	char *log;     /* lowest level shown */
	char **peers;  /* nodes to ask while the store is away, or NULL */
	int beat_ms;   /* between two reports of a target to the store */
};

/* Reads settings; every problem goes into the report, and s owns nothing. */
int
side_settings_read(const char *path, struct side_settings *, struct report *);
void side_settings_free(struct side_settings *);

/* ---- reading the store ---- */

/*
 * What a reader read: news, or a whole list of a part with what is in it.
 * Targets that a whole list does not name are gone if exact is set.
 */
struct reader_calls {
	void *arg;
	void (*items)(void *arg, const struct platform_page *);
	void (*listed)(void *arg, enum platform_part, GHashTable *names,
	    uint64_t as_of, int exact);
	/* A call failed. */
	void (*lost)(void *arg);
	/* A part was read; there may be no news of it. */
	void (*alive)(void *arg, enum platform_part);
	/* Whether a reader that does not watch still has to read a list. */
	int (*is_needed)(void *arg);
};

struct store_reader; /* opaque: see reader.c */

struct store_reader *store_reader_new(
    struct event_base *, const char *store, const struct reader_calls *);
void store_reader_free(struct store_reader *);
/*
 * Watches the store from now on, or only when it is asked to.  One of many that
 * do so for the same reason (others: how many, 0: it does so for itself) begins
 * a while later and asks a failing store less often.  So does one that
 * helps a node which the store does not answer; what its first list lacks is
 * not believed to be gone.
 */
void store_reader_watch(struct store_reader *, int on, int others, int helps);
int store_reader_watches(const struct store_reader *);
/* Until when all changes were read, in ms, or 0. */
int64_t store_reader_known_at(const struct store_reader *);
/* Reads the list of targets once more, as it may be old; without watching. */
void store_reader_glance(struct store_reader *);
/* Another store from now on. */
void store_reader_move(struct store_reader *, const char *store);

/* ---- following the store, or a node that reads it ---- */

struct follow; /* opaque: see follow.c */

struct follow *follow_start(struct event_base *, const struct side_settings *,
    struct view *, struct proxy *);
void follow_stop(struct follow *);
/* The settings changed in place. */
void follow_settings_changed(struct follow *);
/* The node leaves: those it feeds turn to others. */
void follow_leave(struct follow *);

#endif
