/*
 * HTTP client for the target beside this node.  A pool of worker threads, at
 * most one for each slot of the target, takes exchanges from a queue.
 */
#ifndef TARGET_H
#define TARGET_H

#include "../base/base.h"
#include "../http/header.h"
#include "../mesh/mesh.h"

#define TARGET_ANSWER_MAX (8 * 1024 * 1024) /* limit of a body, in bytes */

/* A request to the target and its result. */
struct exchange_job {
	void *cookie; /* of the submitter; not used here */
	char *method, *path;
	struct http_header *headers;
	size_t nheaders;
	GBytes *body;
	int64_t deadline; /* ms, monotonic */
	int once;	  /* must reach the target at most once */
	/* set by the worker */
	enum exchange result;
	int too_large; /* the body exceeds TARGET_ANSWER_MAX */
	int status;
	struct http_header *out_headers;
	size_t nout;
	GBytes *out_body;
	int64_t latency_us;
};

/* An empty job; freeing one frees its strings, headers and bodies. */
struct exchange_job *exchange_job_new(void);
void exchange_job_free(struct exchange_job *);

struct target_pool; /* opaque: see pool.c */

/*
 * Creates a pool without workers.  done is called by a worker's thread, and
 * then owns the job.
 */
struct target_pool *target_pool_start(const char *host, int port,
    void (*done)(void *arg, struct exchange_job *), void *arg);
/* Starts workers until there are n, or TARGET_WORKERS_MAX. */
#define TARGET_WORKERS_MAX 64
void target_pool_grow(struct target_pool *, int n);
/* Queues a job, which the pool then owns. */
void target_pool_submit(struct target_pool *, struct exchange_job *);
/* Stops the workers after their current and queued jobs; frees the pool. */
void target_pool_stop(struct target_pool *);

#endif
