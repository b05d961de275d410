/* Internal interface of the package: one exchange on a worker's session. */
#ifndef TARGET_INT_H
#define TARGET_INT_H

#include <neon/ne_session.h>

#include "target.h"

/* A worker's HTTP session with the target. */
struct target_session {
	ne_session *ne;
	int read_s; /* read timeout of the open connection, in seconds */
};

/* Runs a job on the worker's session, and sets its result. */
void exchange_run(struct target_session *, struct exchange_job *);

#endif
