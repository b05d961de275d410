/* How other threads reach the loop. */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <glib.h>

#include "../base/base.h"
#include "../mesh/mesh.h"

enum event_kind {
	EVENT_CALL,	/* a caller's request: struct entry_call */
	EVENT_OPERATOR, /* an operator's request: struct server_request */
	EVENT_EXCHANGE, /* back from the target: struct exchange_job */
	EVENT_CONFIG,	/* the store decided over a version */
	EVENT_VMS,	/* a VM list was read: struct vm_list */
	EVENT_FIRST,	/* a first read of the platform has ended */
	EVENT_SETTINGS, /* read anew: struct settings */
	EVENT_STOP,	/* stop gracefully */
};

struct event {
	enum event_kind kind;
	void *p;
};

struct mailbox {
	GAsyncQueue *queue; /* of struct event */
	int fd;		    /* readable when the queue is not empty */
};

void mailbox_init(struct mailbox *);
void mailbox_destroy(struct mailbox *);
/* Posts from any thread. */
void mailbox_post(struct mailbox *, enum event_kind, void *);
/* Takes the next event; 0 when there is none. */
int mailbox_take(struct mailbox *, struct event *);

#endif
