/* Shared inside the package: one exchange over one session. */
#ifndef TARGET_INT_H
#define TARGET_INT_H

#include <neon/ne_session.h>

#include "target.h"

/* A worker's session with the target. */
struct target_session {
	ne_session *ne;
	int read_s; /* read timeout of the open connection */
};

/* Runs a job to its end on the session of the calling worker. */
void exchange_run(struct target_session *, struct exchange_job *);

#endif
