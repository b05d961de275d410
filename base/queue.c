/*
 * GLib's queues between threads, with annotations for the thread sanitizer,
 * which does not see the synchronisation in a library built without it.
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

/* The calling code releases it with g_async_queue_unref. */
GAsyncQueue *
queue_new(void)
{
	return g_async_queue_new();
}

/* The item's address identifies it to the sanitizer. */
void
queue_push(GAsyncQueue *q, void *item)
{
	base_tsan_release(item);
	g_async_queue_push(q, item);
}

/* Blocks until another thread pushes an item. */
void *
queue_pop(GAsyncQueue *q)
{
	void *item = g_async_queue_pop(q);

	base_tsan_acquire(item);
	return item;
}

/* For threads that must not block, such as those of an event loop. */
void *
queue_try_pop(GAsyncQueue *q)
{
	void *item = g_async_queue_try_pop(q);

	if (item != NULL)
		base_tsan_acquire(item);
	return item;
}

/* Called before the step by which the library orders the two threads. */
void
base_tsan_release(void *address)
{
	RELEASE(address);
}

/* Called after that step, before the data is used. */
void
base_tsan_acquire(void *address)
{
	ACQUIRE(address);
}
