/*
 * Queues between threads: GLib's, told to the thread sanitizer, which cannot
 * see into a library that it did not build.
 */
#include "base.h"

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define RELEASE(p) __tsan_release(p)
#define ACQUIRE(p) __tsan_acquire(p)
#else
#define RELEASE(p) ((void)(p))
#define ACQUIRE(p) ((void)(p))
#endif

/* Creates an empty queue. */
GAsyncQueue *
queue_new(void)
{
	return g_async_queue_new();
}

/* Appends an item, whose owner is then whoever takes it. */
void
queue_push(GAsyncQueue *q, void *item)
{
	base_publish(item);
	g_async_queue_push(q, item);
}

/* Takes the oldest item, waiting for one. */
void *
queue_pop(GAsyncQueue *q)
{
	void *item = g_async_queue_pop(q);

	base_observe(item);
	return item;
}

/* Takes the oldest item, or NULL. */
void *
queue_try_pop(GAsyncQueue *q)
{
	void *item = g_async_queue_try_pop(q);

	if (item != NULL)
		base_observe(item);
	return item;
}

/* What was written before is ordered before what observes the address. */
void
base_publish(void *address)
{
	RELEASE(address);
}

/* What was written before the address was published is seen from here on. */
void
base_observe(void *address)
{
	ACQUIRE(address);
}
