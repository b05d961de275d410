/*
 * Forecast of the time until a target answers a request, and the choice among
 * targets by it.  An entry combines what guards reported, the age of these
 * reports, what it has sent since, and the answer times that it measured.  Does
 * no I/O and reads no clock: now is the current monotonic time in ms.
 */
#ifndef FORECAST_H
#define FORECAST_H

#include "../base/base.h"

#define FORECAST_KINDS	    64 /* kinds of requests with their own means */
#define FORECAST_PRIORITIES 4  /* less urgent ones share the last */
#define FORECAST_AREAS	    8  /* data centres; further ones share the last */
#define FORECAST_NEAR	    0  /* area of the entry's own data centre */

/* What a guard expects of the next request of a kind and priority. */
struct target_estimate {
	int work_ms; /* run time at the target; 0: not known */
	int wait_ms; /* until it would start */
	int link_ms; /* until a long answer could leave on the VM's link */
	int is_call; /* the kind is sent by targets, not by callers */
};

/* A report of a guard, with an answer or a refusal. */
struct forecast_report {
	uint32_t kind;
	int priority;
	int load; /* percent of the target's slots, queue included */
	struct target_estimate estimate;
};

/* What an entry knows of one target.  Zeroed: never heard of. */
struct forecast_target {
	int64_t reported_at; /* ms, or 0 */
	double load;	     /* share of its slots; above 1 with a queue */
	double wait_ms[FORECAST_PRIORITIES];
	double link_ms;	   /* of long answers */
	double slowness;   /* run times relative to the service's; 0: unknown */
	int inflight;	   /* sent from here and not answered */
	int inflight_then; /* the same when the report arrived */
	/* answer times, exponential averages, and when last measured */
	double measured_ms, told_ms;
	int64_t measured_at;
};

/* Means of one kind of request over the targets of a service. */
struct forecast_kind {
	uint32_t kind;
	double work_ms;	   /* run time; 0: not known */
	double bytes;	   /* of answers; 0: not known */
	int is_call;	   /* as guards report */
	uint64_t last_use; /* by the count of uses */
};

/* Means over the targets of a service in one data centre. */
struct forecast_area {
	int64_t reported_at; /* ms, or 0 */
	double load;
	double wait_ms[FORECAST_PRIORITIES];
	double excess_ms; /* of measured over forecast answer times */
};

/* What an entry knows of the targets of one service.  Starts zeroed. */
struct forecast_service {
	struct forecast_kind kinds[FORECAST_KINDS];
	int nkinds;
	uint64_t uses; /* counts uses of the kinds */
	struct forecast_area areas[FORECAST_AREAS];
};

/* One request for which targets are compared. */
struct forecast_query {
	int64_t now;
	int priority;
	double work_ms;	  /* mean run time of its kind */
	double goal_ms;	  /* left until its latency goal; below 0: it passed */
	double margin_ms; /* by which another data centre must be faster */
	int is_long;	  /* its answer waits for the target's link */
	/* by area: assumed of targets without a recent report, and the delay */
	double load[FORECAST_AREAS], wait_ms[FORECAST_AREAS];
	double delay_ms[FORECAST_AREAS];
};

/* The forecast for one target, in ms, and the numbers that it results from. */
struct forecast {
	int area;
	double run_ms, wait_ms, link_ms, delay_ms;
	double crowd_ms; /* added for a target that is nearly full */
	double total_ms; /* sum of these, by which targets are compared */
	double told_ms;	 /* run and wait as reported, to measure against */
	double load;	 /* share of the slots in use */
	double factor;	 /* measured by reported time, applied to both */
	double fresh;	 /* weight of the target's own report, 0 to 1 */
	double capacity; /* weight in a random choice */
};

/* Adds a request to the count of those sent and not answered, or removes it. */
void forecast_sent(struct forecast_target *);
void forecast_ended(struct forecast_target *);
/* Sets load and waits of a target from a report, without any averages. */
void forecast_refresh(
    struct forecast_target *, const struct forecast_report *, int64_t now);
/* Applies a report; call it after forecast_ended for the request it came with.
 */
void forecast_reported(struct forecast_service *, int area,
    struct forecast_target *, const struct forecast_report *, int64_t now);
/* Records an answer's time from the offer, next to what was told before it. */
void forecast_measured(struct forecast_service *, int area,
    struct forecast_target *, double measured_ms, double told_ms, int64_t now);
/*
 * Records that an answer has not come after so many ms, more than was told; it
 * may never come, and then nothing else is measured.
 */
void forecast_overdue(
    struct forecast_target *, double at_least_ms, double told_ms, int64_t now);
/* Records the size of an answer. */
void
forecast_answer_size(struct forecast_service *, uint32_t kind, double bytes);
/* Whether targets, not callers, send requests of this kind. */
int forecast_is_call(const struct forecast_service *, uint32_t kind);
/*
 * Prepares the comparison of targets for a request with the latency goal of its
 * route and the time left until it.
 */
void forecast_query(struct forecast_query *, const struct forecast_service *,
    uint32_t kind, int priority, int goal_ms, int64_t goal_left_ms,
    int64_t now);
/* Forecasts the answer of one target with so many slots. */
void forecast_target(const struct forecast_query *,
    const struct forecast_target *, int area, int slots, struct forecast *);
/*
 * Chooses one of n forecasts by a random number of at least 0 and below 1;
 * returns its index, or -1 if n is 0.
 */
int forecast_choose(const struct forecast_query *, const struct forecast *,
    int n, double random);

#endif
