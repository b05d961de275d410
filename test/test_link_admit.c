/* Admission by bytes under simulated load: a target behind a slow link. */
#include "rig_link.h"
#include "test.h"

#define SHORT_KIND 2
#define LARGE_KIND 3

/* Learns a kind's size from some answers. */
static void
learn(struct sim *s, uint32_t kind, int bytes)
{
	struct link_request r = sim_request(s, kind);
	struct link_commit c = { 0 };
	int i;

	for (i = 0; i < 20; i++) {
		link_admit_commit(&s->la, &s->e, &r, &c, s->now);
		link_admit_settle(&s->la, &c, bytes);
	}
}

/*
 * Load: one and a half times what the link can bring, for 10 s.  Without a
 * limit by bytes every answer came late, after its target had done the work.
 */
static void
overload_is_refused(void)
{
	struct sim *s = sim_new(RATE);
	double before;

	sim_load(s, 1.5, 1000);
	before = s->sent;
	sim_load(s, 1.5, 10000);
	CU_ASSERT(sim_used_percent(s, before, 10000) > 90);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, 0), 0);
	CU_ASSERT(s->in_time > 100);
	CU_ASSERT(s->refused > 50);
	CU_ASSERT_EQUAL(s->njobs, s->in_time);
	sim_free(s);
}

/*
 * Load: a burst at an idle node.  Until the first answer is ready the link is
 * idle, though its bytes are committed: that time is not there to send them.
 */
static void
burst_at_idle_node_comes_in_time(void)
{
	struct sim *s = sim_new(RATE);
	int i;

	s->work_ms = 210;
	learn(s, KIND, MEAN_BYTES);
	for (i = 0; i < 40; i++)
		sim_offer(s);
	/* So many fit into the time after the first run. */
	CU_ASSERT(s->njobs >= 6);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, 0), 0);
	CU_ASSERT_EQUAL(s->in_time, s->njobs);
	sim_free(s);
}

/*
 * Guards against refusals whose Retry-After is too early, so that the caller is
 * refused again, or so late that the link is idle until it comes back.
 */
static void
refusal_says_when_there_is_room(void)
{
	struct link_request r;
	struct sim *s;
	int i, k, wait = 0;

	for (k = 0; k < 40; k++) {
		s = sim_new(RATE);
		sim_load(s, 1.5, 2000 + k * 37);
		while ((wait = sim_offer(s)) == 0)
			;
		for (i = 0; i < wait * 8 / 10 - 2; i++)
			sim_step(s);
		r = sim_request(s, KIND);
		CU_ASSERT(link_admit_check(&s->la, &s->e, &r, s->now) > 0);
		for (; i < wait; i++)
			sim_step(s);
		r = sim_request(s, KIND);
		CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
		sim_free(s);
	}
}

/* Load: answers of one kind whose sizes differ by six times. */
static void
varying_sizes_come_in_time(void)
{
	struct sim *s = sim_new(RATE);
	double before;

	s->min_bytes = MEAN_BYTES * 2 / 7;
	s->max_bytes = MEAN_BYTES * 12 / 7;
	sim_load(s, 1.5, 1000);
	before = s->sent;
	sim_load(s, 1.5, 10000);
	CU_ASSERT(sim_used_percent(s, before, 10000) > 90);
	sim_run_out(s);
	CU_ASSERT(sim_late(s, 0) * 50 <= s->in_time);
	sim_free(s);
}

/*
 * Wrong estimates: answers become six times as long, and later as short as they
 * were.  The estimates follow within some answers.
 */
static void
wrong_estimates_are_corrected(void)
{
	struct sim *s = sim_new(RATE);
	int first;

	s->min_bytes = s->max_bytes = MEAN_BYTES / 3;
	sim_load(s, 0.5, 2000);
	CU_ASSERT_EQUAL(link_admit_size(&s->la, KIND), MEAN_BYTES / 3);
	CU_ASSERT_EQUAL(sim_late(s, 0), 0);
	s->min_bytes = s->max_bytes = MEAN_BYTES * 2;
	sim_load(s, 1, 2000);
	first = s->njobs;
	sim_load(s, 1, 4000);
	CU_ASSERT_EQUAL(sim_late(s, first), 0);
	CU_ASSERT(link_admit_size(&s->la, KIND) > MEAN_BYTES * 19 / 10);
	s->min_bytes = s->max_bytes = MEAN_BYTES / 3;
	sim_load(s, 1.5, 4000);
	CU_ASSERT(link_admit_size(&s->la, KIND) < MEAN_BYTES / 2);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, first), 0);
	sim_free(s);
}

/* Failure: the link is half as fast as its setting, which is then measured. */
static void
slow_link_is_not_overcommitted(void)
{
	struct sim *s = sim_new(RATE);
	double before;
	int i, first;

	sim_load(s, 1.5, 2000);
	s->speed = 0.5;
	sim_load(s, 1.5, 200);
	egress_meter(&s->e, 0, 0, s->now * US);
	for (i = 0; i < 2; i++) {
		sim_load(s, 1.5, 100);
		egress_meter(&s->e, (size_t)(RATE * 0.5 / 10),
		    (size_t)(RATE / 10), s->now * US);
	}
	CU_ASSERT(egress_rate(&s->e) < RATE / 2);
	s->speed = 1;
	/* What was admitted before the rate was known is late. */
	sim_load(s, 3, 2000);
	first = s->njobs;
	before = s->sent;
	sim_load(s, 3, 4000);
	CU_ASSERT(sim_used_percent(s, before, 4000) > 90);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, first), 0);
	sim_free(s);
}

/*
 * Failures: a job that ends in any way while it is queued, runs or sends.  A
 * commitment that stays is capacity that is lost until the process ends.
 */
static void
commitments_end_with_their_jobs(void)
{
	static const struct {
		int64_t begins, length; /* begins: bytes of its head, or -1 */
		size_t arrived;
		int64_t size; /* passed to link_admit_settle */
	} cases[] = {
		{ -1, 0, 0, 500 },	  /* answered whole */
		{ -1, 0, 0, -1 },	  /* cancelled, refused or broken */
		{ 200, 50000, 50000, 0 }, /* streamed */
		{ 200, -1, 50000, 0 },	  /* without a length */
		{ 200, -1, 500000, 0 },	  /* longer than expected */
		{ 200, 50000, 70000, -1 },
		{ 200, 50000, 100, -1 }, /* broke off, or link lost */
		{ 200, 50000, 0, -1 },
		{ 200, -1, 500000, -1 },
	};
	struct link_commit c[G_N_ELEMENTS(cases)] = { 0 };
	struct sim *s = sim_new(RATE);
	struct link_request r;
	size_t i;
	int k, times;

	r = sim_request(s, KIND);
	for (times = 0; times < 3; times++) {
		for (i = 0; i < G_N_ELEMENTS(cases); i++)
			link_admit_commit(&s->la, &s->e, &r, &c[i], s->now);
		CU_ASSERT(link_admit_committed(&s->la) > 0);
		for (i = 0; i < G_N_ELEMENTS(cases); i++) {
			if (cases[i].begins >= 0)
				link_admit_begin(&s->la, &c[i],
				    (size_t)cases[i].begins, cases[i].length,
				    s->now);
			link_admit_arrived(&s->la, &c[i], cases[i].arrived);
			/* The second call must do nothing. */
			for (k = 0; k < 2; k++)
				link_admit_settle(&s->la, &c[i], cases[i].size);
		}
		CU_ASSERT_EQUAL(link_admit_committed(&s->la), 0);
		CU_ASSERT_EQUAL(s->la.open, 0);
		CU_ASSERT_EQUAL(s->la.begun, 0);
		CU_ASSERT_EQUAL(s->la.kinds[0].open, 0);
		CU_ASSERT_EQUAL(s->la.kinds[0].trials, 0);
		s->now += 10;
		CU_ASSERT_EQUAL(
		    link_admit_wait_ms(&s->la, &s->e, KIND, s->now), 0);
	}
	sim_free(s);
}

/*
 * Load: downloads beyond the link, and short answers besides.  Those are sent
 * first, so that a full link is no reason to refuse them.
 */
static void
short_answers_pass(void)
{
	struct sim *s = sim_new(RATE);
	struct link_request r;

	learn(s, SHORT_KIND, 1000);
	sim_load(s, 2, 3000);
	while (sim_offer(s) == 0)
		;
	r = sim_request(s, SHORT_KIND);
	r.goal = s->now + 150;
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	CU_ASSERT(link_admit_wait_ms(&s->la, &s->e, KIND, s->now) > 300);
	CU_ASSERT(link_admit_wait_ms(&s->la, &s->e, SHORT_KIND, s->now) < 5);
	/* A long answer that is more urgent, or for which a call waits. */
	r = sim_request(s, KIND);
	CU_ASSERT(link_admit_check(&s->la, &s->e, &r, s->now) > 0);
	r.priority = 1;
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	r.priority = 2;
	r.is_call = 1;
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	sim_free(s);
}

/*
 * Load: urgent long answers beyond the link, and others besides.  The urgent
 * ones do not wait for the others, but must not all be late either.
 */
static void
urgent_answers_come_in_time(void)
{
	struct sim *s = sim_new(RATE);
	int first;

	sim_load(s, 1.5, 3000);
	while (sim_offer(s) == 0)
		;
	s->priority = 1;
	first = s->njobs;
	CU_ASSERT_EQUAL(sim_offer(s), 0);
	sim_load(s, 1.5, 4000);
	CU_ASSERT(s->njobs - first > 40);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, first), 0);
	sim_free(s);
}

/* Load: short answers alone can fill a link, and are refused beyond it. */
static void
short_answers_are_bounded(void)
{
	struct sim *s = sim_new(RATE);
	struct link_commit c[100] = { 0 };
	struct link_request r;
	int i;

	learn(s, SHORT_KIND, 20000);
	r = sim_request(s, SHORT_KIND);
	for (i = 0; i < 100; i++) {
		if (link_admit_check(&s->la, &s->e, &r, s->now) > 0)
			break;
		link_admit_commit(&s->la, &s->e, &r, &c[i], s->now);
	}
	CU_ASSERT(i * 20000 > RATE * 0.5);
	CU_ASSERT(i * 20000 < RATE * 0.9);
	sim_free(s);
}

/* A link whose rate is not known refuses nothing, and commits nothing. */
static void
no_rate_admits_everything(void)
{
	struct sim *s = sim_new(0);
	int i;

	for (i = 0; i < 1000; i++)
		CU_ASSERT_EQUAL(sim_offer(s), 0);
	CU_ASSERT_EQUAL(link_admit_committed(&s->la), 0);
	CU_ASSERT_EQUAL(s->la.nkinds, 0);
	CU_ASSERT_EQUAL(link_admit_wait_ms(&s->la, &s->e, KIND, s->now), 0);
	sim_free(s);
}

/*
 * Failure: a process that has just started knows no sizes, under full load.  It
 * must neither admit without bound nor refuse until it knows them.
 */
static void
fresh_process_learns(void)
{
	struct sim *s = sim_new(RATE);
	int i, first;

	for (i = 0; i < 200; i++)
		sim_offer(s);
	CU_ASSERT(s->njobs > 0);
	CU_ASSERT(s->njobs < 50);
	sim_load(s, 1.5, 3000);
	first = s->njobs;
	sim_load(s, 1.5, 3000);
	sim_run_out(s);
	CU_ASSERT_EQUAL(sim_late(s, first), 0);
	CU_ASSERT(s->in_time > 50);
	sim_free(s);
}

/*
 * Guards against a kind that is never admitted: its size is not known, and
 * the link is full of others.
 */
static void
unknown_kind_is_tried(void)
{
	struct sim *s = sim_new(RATE);
	struct link_commit c = { 0 };
	struct link_request r;

	sim_load(s, 2, 3000);
	while (sim_offer(s) == 0)
		;
	r = sim_request(s, SHORT_KIND);
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	link_admit_commit(&s->la, &s->e, &r, &c, s->now);
	CU_ASSERT(link_admit_check(&s->la, &s->e, &r, s->now) > 0);
	/* The first one ended without an answer: the next one is tried. */
	link_admit_settle(&s->la, &c, -1);
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	link_admit_commit(&s->la, &s->e, &r, &c, s->now);
	link_admit_settle(&s->la, &c, 1000);
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	sim_free(s);
}

/*
 * Guards against a request that is given up as its goal has passed, although
 * the link is free and its time limit has not passed; and against late ones
 * that take the link from others.
 */
static void
late_request_gets_a_free_link(void)
{
	struct sim *s = sim_new(RATE);
	struct link_request r;
	int i, wait;

	learn(s, KIND, MEAN_BYTES);
	r = sim_request(s, KIND);
	r.goal = s->now - 10;
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(sim_offer(s), 0);
	wait = link_admit_check(&s->la, &s->e, &r, s->now);
	CU_ASSERT(wait > 0);
	for (i = 0; i < wait; i++)
		sim_step(s);
	r = sim_request(s, KIND);
	r.goal = s->now - 10;
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	/* Its time limit could not be met, while others are admitted. */
	CU_ASSERT_EQUAL(sim_offer(s), 0);
	r.ready = s->now + 1000;
	r.deadline = s->now + 1010;
	CU_ASSERT(link_admit_check(&s->la, &s->e, &r, s->now) > 0);
	sim_free(s);
}

/*
 * Failures: callers that read nothing keep streams in the scheduler, and one
 * downloads more than the link can bring by any goal.  Neither may keep others
 * from a link that is idle.
 */
static void
readers_that_wait_do_not_count(void)
{
	struct sim *s = sim_new(RATE);
	struct link_request r = sim_request(s, LARGE_KIND);
	struct link_commit c = { 0 };
	int i;

	learn(s, KIND, MEAN_BYTES);
	learn(s, LARGE_KIND, 1000 * MEAN_BYTES);
	link_admit_commit(&s->la, &s->e, &r, &c, s->now);
	link_admit_begin(&s->la, &c, 200, 1000 * MEAN_BYTES, s->now);
	CU_ASSERT(link_admit_committed(&s->la) <= RATE * GOAL_MS / 1000);
	/* The target sends as much as is read ahead, and the caller stops. */
	link_admit_arrived(&s->la, &c, 12 * MEAN_BYTES);
	egress_add_bulk(&s->e, &s->peer, 12 * MEAN_BYTES);
	for (i = 0; i < 200; i++)
		sim_step(s);
	CU_ASSERT_EQUAL(sim_offer(s), 0);
	CU_ASSERT_EQUAL(sim_offer(s), 0);
	link_admit_settle(&s->la, &c, -1);
	sim_free(s);
}

/*
 * Guards against a kind whose expected size is too large for its time limit: it
 * is tried while the link is idle, so that the estimate can fall.
 */
static void
too_large_estimate_is_corrected(void)
{
	struct sim *s = sim_new(RATE);
	struct link_request r;

	learn(s, KIND, 100 * MEAN_BYTES);
	r = sim_request(s, KIND);
	CU_ASSERT_EQUAL(link_admit_check(&s->la, &s->e, &r, s->now), 0);
	CU_ASSERT_EQUAL(sim_offer(s), 0);
	CU_ASSERT(sim_offer(s) > 0);
	sim_load(s, 0.5, 20000);
	CU_ASSERT(link_admit_size(&s->la, KIND) < 2 * MEAN_BYTES);
	sim_free(s);
}

/*
 * Guards against answers that are refused, or fill the link, by the sizes of
 * others: past LINK_ADMIT_KINDS kinds, one that was added shared an estimate.
 * The commitment that is open meanwhile keeps its kind.
 */
static void
sizes_survive_many_routes(void)
{
	struct sim *s = sim_new(RATE);
	struct link_request r = sim_request(s, SHORT_KIND);
	struct link_commit open = { 0 };
	uint32_t kind;

	link_admit_commit(&s->la, &s->e, &r, &open, s->now);
	for (kind = 100; kind < 100 + 10 * LINK_ADMIT_KINDS; kind++) {
		learn(s, LARGE_KIND, 90000);
		learn(s, kind, 500);
	}
	CU_ASSERT_EQUAL(link_admit_size(&s->la, LARGE_KIND), 90000);
	CU_ASSERT_EQUAL(link_admit_size(&s->la, kind - 1), 500);
	link_admit_settle(&s->la, &open, 700);
	CU_ASSERT_EQUAL(link_admit_size(&s->la, SHORT_KIND), 700);
	CU_ASSERT_EQUAL(link_admit_committed(&s->la), 0);
	sim_free(s);
}

static const struct test tests[] = {
	{ "overload is refused", overload_is_refused },
	{ "burst at idle node comes in time",
	    burst_at_idle_node_comes_in_time },
	{ "refusal says when there is room", refusal_says_when_there_is_room },
	{ "varying sizes come in time", varying_sizes_come_in_time },
	{ "wrong estimates are corrected", wrong_estimates_are_corrected },
	{ "slow link is not overcommitted", slow_link_is_not_overcommitted },
	{ "commitments end with their jobs", commitments_end_with_their_jobs },
	{ "short answers pass", short_answers_pass },
	{ "urgent answers come in time", urgent_answers_come_in_time },
	{ "short answers are bounded", short_answers_are_bounded },
	{ "no rate admits everything", no_rate_admits_everything },
	{ "fresh process learns", fresh_process_learns },
	{ "unknown kind is tried", unknown_kind_is_tried },
	{ "late request gets a free link", late_request_gets_a_free_link },
	{ "readers that wait do not count", readers_that_wait_do_not_count },
	{ "too large estimate is corrected", too_large_estimate_is_corrected },
	{ "sizes survive many routes", sizes_survive_many_routes },
};

TEST_MAIN("link_admit", tests)
