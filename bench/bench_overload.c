/*
 * Queueing models of overload, retry storms and cold starts. They use the real
 * admission, attempts, retry budget, pool and budget holder, but no network.
 *
 * Prints: name case value unit baseline ratio. Baselines: a single FIFO queue
 * for goodput, four unconditional tries for the retry storm, and round robin
 * without budget shares for the cold start.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "bench_overload_parts/cold.h"
#include "request/admission.h"
#include "request/attempt.h"

#define MS INT64_C(1000)
#define SLOTS 3
#define UPSTREAMS 8
#define MEAN_US (5.0 * 1000.0)

static void print_line(const char *name, const char *where, double value,
		       const char *unit, double baseline)
{
	printf("%s %s %.3f %s %.3f %.3f\n", name, where, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0.0);
}

static double exponential(GRand *rng, double mean)
{
	return -mean * log(1.0 - g_rand_double(rng));
}

/* Overload model: one router dispatches to the slots of all upstreams. */

#define SERVERS (UPSTREAMS * SLOTS)
#define RUN_US (10000 * MS)
#define CLASSES 3

struct class
{
	const char *name;
	struct admission_class settings;
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
	uint32_t class;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t began_us;
};

/* The servers: the request that each runs, and when it ends. */
struct server_group {
	struct request *running[SERVERS];
	int64_t ends_us[SERVERS];
	GRand *rng;
	uint32_t good[CLASSES];
};

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

static void serve(struct server_group *server_group, struct request *request,
		  int64_t now)
{
	int i = 0;

	while (server_group->running[i])
		i++;
	request->began_us = now;
	server_group->running[i] = request;
	server_group->ends_us[i] =
		now + MS + (int64_t)exponential(server_group->rng, 4000.0);
}

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
 * Starts queued requests while servers are free. Without admission, takes them
 * from fifo in order of arrival.
 */
static void start_queued(struct server_group *server_group,
			 struct admission *admission, GQueue *fifo, int64_t now)
{
	enum admission_decision turn;
	void *request;
	uint32_t lane;

	while (!admission && !g_queue_is_empty(fifo) &&
	       has_server(server_group, NULL))
		serve(server_group, g_queue_pop_head(fifo), now);
	while (admission &&
	       (turn = admission_next(admission, has_server, server_group, now,
				      &request, &lane)) != ADMISSION_IDLE) {
		if (turn == ADMISSION_SEND)
			serve(server_group, request, now);
		else
			g_free(request);
	}
}

static void end_one(struct server_group *server_group,
		    struct admission *admission, int i)
{
	struct request *request = server_group->running[i];
	int64_t now = server_group->ends_us[i];

	server_group->running[i] = NULL;
	if (now <= request->deadline_us)
		server_group->good[request->class]++;
	if (admission)
		admission_done(admission, request->class,
			       now - request->began_us);
	g_free(request);
}

static void offer(struct admission *admission, GQueue *fifo,
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
			end_one(&server_group, admission, i);
		} else {
			offer(admission, &fifo, new_request(arrivals, now),
			      now);
			next += 1 + (int64_t)exponential(arrivals, gap);
		}
		start_queued(&server_group, admission, &fifo, now);
	}
	for (i = 0; i < CLASSES; i++)
		goodput[i] = server_group.good[i] * 1e6 / (double)RUN_US;
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
	char where[64];
	size_t i;
	int c;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		double good[CLASSES], base[CLASSES];
		double sum = 0, base_sum = 0;

		run_overload(loads[i], true, good);
		run_overload(loads[i], false, base);
		for (c = 0; c < CLASSES; c++) {
			g_snprintf(where, sizeof(where), "%.0fx/%s", loads[i],
				   classes[c].name);
			print_line("goodput", where, good[c], "1/s", base[c]);
			sum += good[c];
			base_sum += base[c];
		}
		g_snprintf(where, sizeof(where), "%.0fx/all", loads[i]);
		print_line("goodput", where, sum, "1/s", base_sum);
	}
}

/* Retry storm model: a fraction of the upstreams fails every request. */

#define STORM_REQUESTS 20000
#define BLIND_TRIES 4

struct storm {
	uint32_t sends, answered;
};

/* Runs one request; each of its copies goes to a random upstream. */
static void storm_request(struct storm *storm, struct retry_budget *budget,
			  GRand *rng, uint32_t failing)
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

		storm->sends++;
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
	storm->answered += action.kind == ATTEMPT_FINISH;
	attempt_destroy(attempt);
}

static void blind_request(struct storm *storm, GRand *rng, uint32_t failing)
{
	int tries;

	for (tries = 0; tries < BLIND_TRIES; tries++) {
		storm->sends++;
		if ((uint32_t)g_rand_int_range(rng, 0, UPSTREAMS) >= failing) {
			storm->answered++;
			return;
		}
	}
}

static void measure_storm(uint32_t failing, const char *where)
{
	struct retry_budget *budget = retry_budget_create();
	GRand *rng = g_rand_new_with_seed(3);
	struct storm storm = { 0 };
	struct storm blind = { 0 };
	int i;

	for (i = 0; i < STORM_REQUESTS; i++) {
		storm_request(&storm, budget, rng, failing);
		blind_request(&blind, rng, failing);
	}
	print_line("storm-sends", where, (double)storm.sends / STORM_REQUESTS,
		   "per-request", (double)blind.sends / STORM_REQUESTS);
	print_line("storm-answered", where,
		   100.0 * storm.answered / STORM_REQUESTS, "%",
		   100.0 * blind.answered / STORM_REQUESTS);
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
