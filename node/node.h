/*
 * A node: the process of the mesh that runs on a VM beside its target.  Its
 * loop thread owns membership, links, calls and the guard; other threads
 * communicate with it through a mailbox.
 */
#ifndef NODE_H
#define NODE_H

#include "../base/base.h"

/* Errors of this package. */
enum node_err {
	NODE_OK = 0,
	NODE_ESETTINGS = -501,	  /* invalid settings */
	NODE_ELISTEN = -502,	  /* cannot listen on an address */
	NODE_EKEY = -503,	  /* the key file cannot be used */
	NODE_EUNREACHABLE = -504, /* cannot send to that node */
	NODE_EMALFORMED = -505,	  /* malformed or unauthentic message */
	NODE_EBASE = -506,	  /* no configuration is active */
};

/* The settings file of a node; see teaselstep-node(5). */
struct settings {
	char *name; /* of the VM */
	char *data_centre;
	char *listen;	 /* address of the node, for TCP and UDP */
	char *advertise; /* its address for other nodes; listen by default */
	char *callers;	 /* listen address for callers outside the mesh */
	char *services;	 /* listen address for calls of the target */
	char *operators; /* listen address for operators */
	char *target;	 /* address of the target */
	char *platform;	 /* address of the configuration service */
	char *key_file;
	char *log;
	char **peers; /* addresses for joining; NULL, or ends with NULL */
	char *record; /* file for a trace of the guard's decisions, or NULL */
	int readers;  /* nodes of a data centre that watch the source */
	int source_reads_per_min;
	int start_spread_ms; /* first reads wait a random part of this */
	int calls_max;	     /* limit of calls in flight at the entry */
	int body_max;	     /* limit of a request's body, bytes */
	int drain_ms;	     /* drain timeout: a stop waits so long for calls */
	int link_idle_ms;    /* an unused link is closed after this time */
	/* turn off a mechanism, as a baseline for measurements */
	int every_node_reads;
	int full_sets;
	int no_slow_start;
	int no_retry_budget;
};

/*
 * Reads a settings file.  Returns NODE_OK, and then the caller releases the
 * settings with settings_free.  Otherwise returns NODE_ESETTINGS; the report
 * has every problem, and there is nothing to release.
 */
int settings_read(const char *path, struct settings *, struct report *);
void settings_free(struct settings *);
/*
 * Swaps the values of keys that can change while a node runs with those of
 * fresh.  Appends the names of these keys to applied, and those of changed keys
 * that need a restart to restart, separated by commas.
 */
void settings_apply(struct settings *, struct settings *fresh, GString *applied,
    GString *restart);

#define NODE_KEY_LEN 32 /* bytes of a key of the fleet */
#define NODE_KEYS    2	/* two, during a key rotation */

/* Keys of the fleet.  The node uses the first, and accepts all of them. */
struct fleet_keys {
	unsigned char key[NODE_KEYS][NODE_KEY_LEN];
	int count;
};

/*
 * Reads the fleet's keys: one or two lines of 64 hexadecimal digits.  Returns
 * NODE_OK or NODE_EKEY.
 */
int node_keys_read(const char *path, struct fleet_keys *);

struct node; /* opaque: see node_int.h */

/*
 * Starts a node and takes ownership of the settings.  Returns NODE_OK or
 * NODE_ELISTEN; on error nothing is left running, and the settings are
 * released.
 */
int
node_start(struct node **, const struct settings *, const struct fleet_keys *);
/* Queues reloaded settings and takes ownership of what they own. */
void node_reload(struct node *, const struct settings *);
/*
 * Stops a node gracefully and releases it: refuses new work, informs the
 * members and drains.  Blocks until then, or until the drain timeout.
 */
void node_stop(struct node *);

#endif
