/*
 * Worker threads that run exchanges with the target.  The queue has its own
 * lock, which is never acquired while another lock is held.
 */
#include <pthread.h>

#include "target_int.h"

#define WORKER_STACK_BYTES (256 * 1024)
#define CONNECT_TIMEOUT_S  1

struct target_pool {
	char *host;
	int port;
	void (*done)(void *, struct exchange_job *);
	void *arg;
	GAsyncQueue *jobs; /* of struct exchange_job; method NULL: stop */
	pthread_t workers[TARGET_WORKERS_MAX];
	int nworkers;
};

static void *worker_main(void *);

/* Creates a pool without workers; host is copied, arg borrowed. */
struct target_pool *
target_pool_start(const char *host, int port,
    void (*done)(void *, struct exchange_job *), void *arg)
{
	struct target_pool *p;

	p = g_new0(struct target_pool, 1);
	p->host = g_strdup(host);
	p->port = port;
	p->done = done;
	p->arg = arg;
	p->jobs = queue_new();
	return p;
}

/* Thread of a worker, which has its own session. */
static void *
worker_main(void *arg)
{
	struct target_pool *p = arg;
	struct exchange_job *j;
	struct target_session s = { .read_s = 0 };

	s.ne = ne_session_create("http", p->host, (unsigned int)p->port);
	ne_set_connect_timeout(s.ne, CONNECT_TIMEOUT_S);
	for (;;) {
		j = queue_pop(p->jobs);
		if (j->method == NULL)
			break;
		exchange_run(&s, j);
		p->done(p->arg, j);
	}
	exchange_job_free(j);
	ne_session_destroy(s.ne);
	return NULL;
}

/* Starts workers until there are n, or as many as can be created. */
void
target_pool_grow(struct target_pool *p, int n)
{
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK_BYTES);
	while (p->nworkers < MIN(n, TARGET_WORKERS_MAX)) {
		if (pthread_create(
			&p->workers[p->nworkers], &attr, worker_main, p) != 0)
			break;
		p->nworkers++;
	}
	pthread_attr_destroy(&attr);
}

/* Queues a job, which the pool then owns; any thread may call it. */
void
target_pool_submit(struct target_pool *p, struct exchange_job *j)
{
	queue_push(p->jobs, j);
}

/* Sends each worker a stop job, and waits for all to finish. */
void
target_pool_stop(struct target_pool *p)
{
	int i;

	for (i = 0; i < p->nworkers; i++)
		queue_push(p->jobs, exchange_job_new());
	for (i = 0; i < p->nworkers; i++)
		pthread_join(p->workers[i], NULL);
	g_async_queue_unref(p->jobs);
	g_free(p->host);
	g_free(p);
}
