/* Mailbox: a queue of events with an eventfd that wakes the loop. */
#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "mailbox.h"

/* Creates an empty mailbox. */
void
mailbox_init(struct mailbox *m)
{
	m->queue = queue_new();
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

/* Releases a mailbox. */
void
mailbox_destroy(struct mailbox *m)
{
	g_async_queue_unref(m->queue);
	close(m->fd);
}

/* Posts an event and wakes the loop. */
void
mailbox_post(struct mailbox *m, enum event_kind kind, void *p)
{
	struct event *e;
	uint64_t one = 1;

	e = g_new(struct event, 1);
	e->kind = kind;
	e->p = p;
	queue_push(m->queue, e);
	/* EAGAIN: the counter is at its maximum, so fd is readable already. */
	if (write(m->fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		base_log(G_LOG_LEVEL_WARNING, "mailbox", "error=%d", errno);
}

/*
 * Takes an event.  When the queue is empty, the counter is reset and the queue
 * tried again, so that an event posted in between is not missed.
 */
int
mailbox_pop(struct mailbox *m, struct event *out)
{
	struct event *e;
	uint64_t n;

	if ((e = queue_try_pop(m->queue)) == NULL) {
		if (read(m->fd, &n, sizeof(n)) < 0)
			return 0;
		if ((e = queue_try_pop(m->queue)) == NULL)
			return 0;
	}
	*out = *e;
	g_free(e);
	return 1;
}
