/*
 * Queueing models of overload, retry storms and cold starts. They use the real
 * admission, attempts, retry budget, pool and budget allocator, but no network.
 *
 * Prints: name case value unit baseline ratio. The ratio is value over
 * baseline. Baselines: a single FIFO queue for goodput, at most four tries
 * without a retry budget for the retry storm, routers without budget shares for
 * cold-overshoot, and the cold upstream's capacity for cold-served.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "bench_overload_parts/cold.h"
#include "request/admission.h"
#include "request/attempt.h"

/* Microseconds per millisecond. */
#define MS INT64_C(1000)
/* Requests that one upstream runs at once. */
#define SLOTS 3
#define UPSTREAMS 8
/* Mean time to serve a request: 1 ms and an exponential time of mean 4 ms. */
#define MEAN_US (5.0 * 1000.0)

static void print_line(const char *name, const char *label, double value,
		       const char *unit, double baseline)
{
	printf("%s %s %.3f %s %.3f %.3f\n", name, label, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0.0);
}

/* Draws from an exponential distribution. */
static double exponential(GRand *rng, double mean)
{
	return -mean * log(1.0 - g_rand_double(rng));
}

/* Overload model: one router dispatches to the slots of all upstreams. */

#define SERVERS (UPSTREAMS * SLOTS)
/* Simulated duration of a run of the overload model. */
#define RUN_US (10000 * MS)
#define CLASSES 3

/* A class of requests with the same profile. */
struct class
{
	const char *name;
	struct admission_class settings;
	/** Time from arrival to the deadline. */
	int64_t deadline_us;
	/** Fraction of the offered load. */
	double fraction;
};

static const struct class classes[CLASSES] = {
	{ "docks", { 0, 4, 200 }, 100 * MS, 0.4 },
	{ "lots", { 1, 1, 200 }, 100 * MS, 0.4 },
	{ "sanidad", { 9, 1, 1000 }, 2000 * MS, 0.2 },
};

struct request {
	/* Index in classes. */
	uint32_t class;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t started_us;
};

/* All slots; each is a server that runs one request at a time. */
struct server_group {
	/* The request that each server runs, NULL for none, and its end. */
	struct request *running[SERVERS];
	int64_t ends_us[SERVERS];
	GRand *rng;
	/* Requests answered within their deadline, by class. */
	uint32_t within_deadline[CLASSES];
};

/* Whether a server is free; admission_next() calls it with the group as ctx. */
static bool has_server(void *ctx, void *lane_owner)
{
	const struct server_group *server_group = ctx;
	int i;

	(void)lane_owner;
	for (i = 0; i < SERVERS; i++)
		if (!server_group->running[i])
			return true;
	return false;
}

/* Starts a request on a free server; there must be one. */
static void start_serving(struct server_group *server_group,
			  struct request *request, int64_t now)
{
	int i = 0;

	while (server_group->running[i])
		i++;
	request->started_us = now;
	server_group->running[i] = request;
	server_group->ends_us[i] =
		now + MS + (int64_t)exponential(server_group->rng, 4000.0);
}

/* Returns the server whose request ends first, or -1 when all are free. */
static int next_end(const struct server_group *server_group)
{
	int best = -1;
	int i;

	for (i = 0; i < SERVERS; i++)
		if (server_group->running[i] &&
		    (best < 0 ||
		     server_group->ends_us[i] < server_group->ends_us[best]))
			best = i;
	return best;
}

/* Returns a request of a random class that arrives now. */
static struct request *new_request(GRand *rng, int64_t now)
{
	struct request *request = g_new0(struct request, 1);
	double draw = g_rand_double(rng);

	while (request->class < CLASSES - 1 &&
	       draw >= classes[request->class].fraction)
		draw -= classes[request->class ++].fraction;
	request->arrived_us = now;
	request->deadline_us = now + classes[request->class].deadline_us;
	return request;
}

/*
 * Starts queued requests while servers are free. Without admission (NULL),
 * takes them from fifo in order of arrival.
 */
static void start_queued(struct server_group *server_group,
			 struct admission *admission, GQueue *fifo, int64_t now)
{
	enum admission_decision decision;
	void *request;
	uint32_t lane;

	while (!admission && !g_queue_is_empty(fifo) &&
	       has_server(server_group, NULL))
		start_serving(server_group, g_queue_pop_head(fifo), now);
	while (admission && (decision = admission_next(
				     admission, has_server, server_group, now,
				     &request, &lane)) != ADMISSION_IDLE) {
		if (decision == ADMISSION_SEND)
			start_serving(server_group, request, now);
		else
			g_free(request);
	}
}

/* Ends the request of server i and frees it. */
static void finish_serving(struct server_group *server_group,
			   struct admission *admission, int i)
{
	struct request *request = server_group->running[i];
	int64_t now = server_group->ends_us[i];

	server_group->running[i] = NULL;
	if (now <= request->deadline_us)
		server_group->within_deadline[request->class]++;
	if (admission)
		admission_done(admission, request->class,
			       now - request->started_us);
	g_free(request);
}

/* Queues a request and frees the one that admission refuses, if any. */
static void enqueue(struct admission *admission, GQueue *fifo,
		    struct request *request, int64_t now)
{
	enum verdict_reason reason;
	void *refused = NULL;

	if (!admission)
		g_queue_push_tail(fifo, request);
	else
		admission_enqueue(admission, request->class,
				  request->deadline_us, request, now, &refused,
				  &reason);
	g_free(refused);
}

/*
 * Runs the model. Sets goodput, per class, to the answers within their deadline
 * per second.
 *
 * @param load offered load as a fraction of the servers' capacity
 * @param admit use admission; false: a FIFO queue
 */
static void run_overload(double load, bool admit, double *goodput)
{
	struct server_group server_group = { .rng = g_rand_new_with_seed(2) };
	GRand *arrivals = g_rand_new_with_seed(1);
	struct admission *admission = NULL;
	GQueue fifo = G_QUEUE_INIT;
	double gap = MEAN_US / (load * SERVERS);
	int64_t next = 0;
	int i;

	if (admit)
		admission = admission_create(SERVERS);
	for (i = 0; admit && i < CLASSES; i++)
		admission_add_lane(
			admission,
			admission_add_class(admission, &classes[i].settings),
			NULL);
	while (next < RUN_US) {
		int64_t now = next;

		i = next_end(&server_group);
		if (i >= 0 && server_group.ends_us[i] < next) {
			now = server_group.ends_us[i];
			finish_serving(&server_group, admission, i);
		} else {
			enqueue(admission, &fifo, new_request(arrivals, now),
				now);
			next += 1 + (int64_t)exponential(arrivals, gap);
		}
		start_queued(&server_group, admission, &fifo, now);
	}
	for (i = 0; i < CLASSES; i++)
		goodput[i] =
			server_group.within_deadline[i] * 1e6 / (double)RUN_US;
	admission_destroy(admission);
	g_queue_clear_full(&fifo, g_free);
	for (i = 0; i < SERVERS; i++)
		g_free(server_group.running[i]);
	g_rand_free(server_group.rng);
	g_rand_free(arrivals);
}

static void measure_overload(void)
{
	static const double loads[] = { 1.0, 2.0, 4.0 };
	char label[64];
	size_t i;
	int c;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		double within_deadline[CLASSES], base[CLASSES];
		double sum = 0, base_sum = 0;

		run_overload(loads[i], true, within_deadline);
		run_overload(loads[i], false, base);
		for (c = 0; c < CLASSES; c++) {
			g_snprintf(label, sizeof(label), "%.0fx/%s", loads[i],
				   classes[c].name);
			print_line("goodput", label, within_deadline[c], "1/s",
				   base[c]);
			sum += within_deadline[c];
			base_sum += base[c];
		}
		g_snprintf(label, sizeof(label), "%.0fx/all", loads[i]);
		print_line("goodput", label, sum, "1/s", base_sum);
	}
}

/* Retry storm model: a fraction of the upstreams fails every request. */

#define STORM_REQUESTS 20000
#define UNCONDITIONAL_TRIES 4

/* Copies sent to upstreams, and requests that were answered. */
struct storm_counts {
	uint32_t sends, answered;
};

/* Runs one request through the attempt state machine and the retry budget. Each
 * copy goes to a random upstream and fails when its index is below failing. */
static void send_with_budget(struct storm_counts *storm_counts,
			     struct retry_budget *budget, GRand *rng,
			     uint32_t failing)
{
	struct attempt_options options = {
		.idempotent = true,
		.deadline_us = 1000 * MS,
		.budget = budget,
		.retry_percent = 10,
	};
	struct attempt *attempt = attempt_create(&options);
	struct attempt_action action;

	while ((action = attempt_next(attempt, 0)).kind == ATTEMPT_SEND) {
		struct attempt_event event = { .kind = ATTEMPT_SENT,
					       .copy = action.copy };

		storm_counts->sends++;
		attempt_event(attempt, &event, 0);
		event.kind = ATTEMPT_RESET_AFTER_SEND;
		if ((uint32_t)g_rand_int_range(rng, 0, UPSTREAMS) >= failing) {
			event.kind = ATTEMPT_HEAD;
			attempt_event(attempt, &event, 0);
			attempt_next(attempt, 0);
			event.kind = ATTEMPT_BODY_DONE;
		}
		attempt_event(attempt, &event, 0);
	}
	storm_counts->answered += action.kind == ATTEMPT_FINISH;
	attempt_destroy(attempt);
}

/* Runs one request that is sent again until it is answered, up to a limit. */
static void send_unconditionally(struct storm_counts *storm_counts, GRand *rng,
				 uint32_t failing)
{
	int tries;

	for (tries = 0; tries < UNCONDITIONAL_TRIES; tries++) {
		storm_counts->sends++;
		if ((uint32_t)g_rand_int_range(rng, 0, UPSTREAMS) >= failing) {
			storm_counts->answered++;
			return;
		}
	}
}

/* Measures the retry storm; failing is the number of upstreams that fail. */
static void measure_storm(uint32_t failing, const char *label)
{
	struct retry_budget *budget = retry_budget_create();
	GRand *rng = g_rand_new_with_seed(3);
	struct storm_counts storm_counts = { 0 };
	struct storm_counts unconditional = { 0 };
	int i;

	for (i = 0; i < STORM_REQUESTS; i++) {
		send_with_budget(&storm_counts, budget, rng, failing);
		send_unconditionally(&unconditional, rng, failing);
	}
	print_line("storm-sends", label,
		   (double)storm_counts.sends / STORM_REQUESTS, "per-request",
		   (double)unconditional.sends / STORM_REQUESTS);
	print_line("storm-answered", label,
		   100.0 * storm_counts.answered / STORM_REQUESTS, "%",
		   100.0 * unconditional.answered / STORM_REQUESTS);
	retry_budget_destroy(budget);
	g_rand_free(rng);
}

static void measure_cold_start(void)
{
	struct cold_result with = cold_run(true);
	struct cold_result without = cold_run(false);

	print_line("cold-overshoot", "12-routers/limit-2",
		   (double)MAX(with.max_concurrent, COLD_LIMIT) - COLD_LIMIT,
		   "requests", (double)without.max_concurrent - COLD_LIMIT);
	print_line("cold-served", "12-routers/limit-2",
		   with.served * 1e6 / (double)COLD_US, "1/s",
		   COLD_LIMIT * 1e6 / MEAN_US);
}

int main(void)
{
	measure_overload();
	measure_storm(UPSTREAMS / 2, "half-failing");
	measure_storm(UPSTREAMS, "all-failing");
	measure_cold_start();
	return 0;
}
