/*
 * The target beside this node, over HTTP.  A pool of workers, at most as many
 * as the target has slots, takes exchanges from a queue.
 */
#ifndef TARGET_H
#define TARGET_H

#include "../base/base.h"
#include "../http/header.h"
#include "../mesh/mesh.h"

#define TARGET_ANSWER_MAX (8 * 1024 * 1024) /* bytes of an answer's body */

/* One request to the target and what came of it. */
struct exchange_job {
	void *cookie; /* of the layer above */
	char *method, *path;
	struct http_header *headers;
	size_t nheaders;
	GBytes *body;
	int64_t deadline;
	int once; /* 1: must reach the target at most once */
	/* filled by the worker */
	enum exchange result;
	int too_large; /* the answer exceeds its bound */
	int status;
	struct http_header *out_headers;
	size_t nout;
	GBytes *out_body;
	int64_t latency_us;
};

struct exchange_job *exchange_job_new(void);
void exchange_job_free(struct exchange_job *);

struct target_pool; /* opaque: see pool.c */

/* done is called by a worker's thread and takes the job over. */
struct target_pool *target_pool_start(const char *host, int port,
    void (*done)(void *arg, struct exchange_job *), void *arg);
/* Makes sure of at least n workers, up to TARGET_WORKERS_MAX. */
#define TARGET_WORKERS_MAX 64
void target_pool_grow(struct target_pool *, int n);
/* Takes the job over. */
void target_pool_submit(struct target_pool *, struct exchange_job *);
/* Ends the workers after what they run, and releases the pool. */
void target_pool_stop(struct target_pool *);

#endif
