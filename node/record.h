/*
 * Calls of the guard in mesh/, recorded: each function passes its arguments to
 * the guard and, if the settings name a trace file, appends the event and the
 * guard's decision as a line of JSON, which teaselreplay can replay.
 */
#ifndef RECORD_H
#define RECORD_H

#include "serve_int.h"

/*
 * Opens the trace file if the settings name one; call it after guard_new.
 * wall_ms and origin are those given to guard_new.
 */
void record_open(struct node *, int slots, int64_t wall_ms, uint64_t origin);
enum guard_verdict record_admit(struct node *, const struct guard_request *);
int record_next(
    struct node *, struct guard_request *, enum guard_verdict *, int64_t now);
void record_done(struct node *, const struct guard_request *, enum exchange,
    int64_t latency_us, int64_t now);
enum guard_verdict
record_fence(struct node *, const char *id, int fresh, int64_t born_wall_ms);
int record_cancel(struct node *, const struct pending_request *);
void record_out(struct node *, int out);
void record_removed(struct node *, const char *target);
void record_forget(struct node *);
void record_slots(struct node *, int slots);
void
record_suspect(struct node *, uint64_t fingerprint, const struct crashes *);
int record_release(struct node *, uint64_t fingerprint);

#endif
