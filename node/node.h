/*
 * A node: the one process beside a target.  Its loop thread owns membership,
 * links, calls and the guard; other threads reach it through a mailbox.
 */
#ifndef NODE_H
#define NODE_H

#include "../base/base.h"

/* Errors of this package. */
enum node_err {
	NODE_OK = 0,
	NODE_ESETTINGS = -501,	  /* the settings were refused */
	NODE_ELISTEN = -502,	  /* an address cannot be listened on */
	NODE_EKEY = -503,	  /* the key file cannot be used */
	NODE_EUNREACHABLE = -504, /* no link to that node */
	NODE_EGARBLED = -505,	  /* a message that cannot be understood */
	NODE_EBASE = -506,	  /* a difference to a set not held here */
};

/* What a node learns from its settings file; see teaselstep-node(5). */
struct settings {
	char *name; /* of the VM */
	char *data_centre;
	char *listen;	 /* address of the node, for TCP and UDP */
	char *advertise; /* address that others use, if it is another */
	char *callers;	 /* address for callers from outside */
	char *services;	 /* address for the target beside the node */
	char *operators; /* address for operators */
	char *target;	 /* address of the target */
	char *platform;	 /* address of the configuration service */
	char *key_file;
	char *log;
	char **peers; /* addresses to join by; NULL, or ends with NULL */
	char *record; /* file for a trace of the guard, or NULL */
	int readers;  /* nodes a data centre that watch the source */
	int source_reads_per_min;
	int start_spread_ms; /* first reads are spread over this time */
	int calls_max;	     /* calls in flight at the entry */
	int body_max;	     /* bytes of a caller's body */
	int drain_ms;	     /* a stop waits so long for what runs */
	int link_idle_ms;    /* an unused link to a node is dropped after */
	/* baselines to measure against */
	int every_node_reads;
	int full_sets;
	int no_slow_start;
	int no_retry_budget;
};

/* Reads settings; every problem goes into the report, and s owns nothing. */
int settings_read(const char *path, struct settings *, struct report *);
void settings_free(struct settings *);
/*
 * Takes over from fresh what can change while a node runs.  Appends the keys
 * that changed to taken, and those that need a restart to kept.
 */
void settings_change(
    struct settings *, struct settings *fresh, GString *taken, GString *kept);

#define NODE_KEY_LEN 32 /* bytes of a key of the fleet */
#define NODE_KEYS    2	/* while one is replaced by another */

/* Keys of the fleet: the first is used, all are accepted. */
struct fleet_keys {
	unsigned char key[NODE_KEYS][NODE_KEY_LEN];
	int count;
};

/* Reads the fleet's keys: one or two lines of 64 hexadecimal digits. */
int node_keys_read(const char *path, struct fleet_keys *);

struct node; /* opaque: see node_int.h */

/*
 * Starts a node, which takes the settings over.  On error nothing is left
 * running, and the settings are released.
 */
int
node_start(struct node **, const struct settings *, const struct fleet_keys *);
/* Hands over settings that were read anew. */
void node_settings(struct node *, const struct settings *);
/* Stops gracefully: refuses new work, finishes what runs, tells peers. */
void node_stop(struct node *);

#endif
