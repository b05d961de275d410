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
	char *store;	/* address of the platform's store */
	char *metrics;	/* address for metrics */
	char *log;	/* lowest level shown */
	char **peers;	/* nodes to ask while the store is away, or NULL */
	int beat_ms;	/* between two reports of a target to the store */
};

/* Reads settings; every problem goes into the report, and s owns nothing. */
int side_settings_read(
    const char *path, struct side_settings *, struct report *);
void side_settings_free(struct side_settings *);

/* ---- following the store ---- */

struct follow; /* opaque: see follow.c */

struct follow *follow_start(struct event_base *, const struct side_settings *,
    struct view *, struct proxy *);
void follow_stop(struct follow *);
/* Another store from now on. */
void follow_move(struct follow *, const char *addr);

#endif
