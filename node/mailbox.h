/* Queue of events from other threads to the loop. */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <glib.h>

#include "../base/base.h"
#include "../mesh/mesh.h"

enum event_kind {
	EVENT_CALL,	     /* a caller's request: struct entry_call */
	EVENT_OPERATOR,	     /* an operator's request: struct server_request */
	EVENT_EXCHANGE_DONE, /* a completed exchange: struct exchange_job */
	EVENT_CONFIG,	     /* the store has processed a submission */
	EVENT_VM_LIST,	     /* a VM list was read: struct vm_list */
	EVENT_FIRST_READ, /* an initial read of the platform ended: its error */
	EVENT_SETTINGS,	  /* reloaded: struct settings */
	EVENT_STOP,	  /* stop gracefully */
};

struct event {
	enum event_kind kind;
	void *p; /* as stated above, else NULL; an error is an int */
};

struct mailbox {
	GAsyncQueue *queue; /* of struct event */
	int fd;		    /* readable when the queue is not empty */
};

void mailbox_init(struct mailbox *);
void mailbox_destroy(struct mailbox *);
/* Posts an event and wakes the loop; safe from any thread. */
void mailbox_post(struct mailbox *, enum event_kind, void *);
/* Takes the oldest event.  Returns 0 when there is none. */
int mailbox_pop(struct mailbox *, struct event *);

#endif
