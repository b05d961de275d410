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
/* As guard_admit; times are now. */
enum guard_verdict record_admit(struct node *, const struct guard_request *);
/* As guard_next: 0 when no request can be taken from the queue. */
int record_next(
    struct node *, struct guard_request *, enum guard_verdict *, int64_t now);
/* As guard_done; latency in microseconds, now in monotonic ms. */
void record_done(struct node *, const struct guard_request *, enum exchange,
    int64_t latency_us, int64_t now);
/* As guard_fence; born_wall_ms is when the id was created. */
enum guard_verdict
record_fence(struct node *, const char *id, int fresh, int64_t born_wall_ms);
/* As guard_cancel: 0 when the request was not in the queue. */
int record_cancel(struct node *, const struct pending_request *);
/* As guard_set_out: 1 refuses all new requests. */
void record_out(struct node *, int out);
/* As guard_target_removed; target is the name of the one that left. */
void record_removed(struct node *, const char *target);
/* As guard_reset_ids: ids created until now are unknown afterwards. */
void record_forget(struct node *);
/* As limit_set_slots. */
void record_slots(struct node *, int slots);
/* As guard_add_crashes: adds crashes reported by another guard. */
void
record_suspect(struct node *, uint64_t fingerprint, const struct crashes *);
/* As guard_release: 0 when the fingerprint was not quarantined. */
int record_release(struct node *, uint64_t fingerprint);

#endif
