/**
 * One VM's estimate of the load and speed of one upstream, from its own
 * requests, from the load reports in the upstream's answers, and from what
 * other VMs observed. It takes into account requests in flight, slow upstreams,
 * and upstreams that fail a part of their requests. Times are seconds on one
 * clock, which the caller passes in.
 */
#ifndef BALANCE_LOAD_H
#define BALANCE_LOAD_H

#include <stdbool.h>

/** The estimate for one upstream. */
struct load {
	/** Requests that the upstream executes concurrently. */
	unsigned int slots;
	/** This VM's requests in flight. */
	unsigned int in_flight;
	/** Other VMs' requests in flight, as last reported. */
	double others;
	/** When others was reported. */
	double others_s;
	/**
	 * The upstream's current execution time as a multiple of its usual one,
	 * as the upstream last reported it to this VM or another one.
	 */
	double work_factor;
	/** When work_factor was reported. */
	double work_factor_s;
	/** Smoothed ratio of response times to the route's usual time; 1 is
	 * usual. */
	double slowness;
	/** Smoothed share of requests that failed, 0 to 1. */
	double failures;
	/** Ejections since the last answer. */
	unsigned int consecutive_failures;
	/** The upstream is ejected, and gets no requests, until this time. */
	double ejected_until_s;
	/** Since when requests have been in flight without any answer. */
	double no_answer_since_s;
	/** Number of this VM's requests in flight that this VM last reported to
	 * the leader. */
	unsigned int reported_in_flight;
	/** Answers and failures on this VM since its last report to the leader.
	 */
	unsigned int unreported_answers;
	unsigned int unreported_failures;
	/** Sum, over these answers, of the ratio of the response time to the
	 * route's usual time. */
	double unreported_relative;
};

/** What all VMs together observed of an upstream since the last call of
 * load_apply_shared_stats(). */
struct load_shared_stats {
	unsigned int answers;
	unsigned int failures;
	/** Mean ratio of response times to the routes' usual times. */
	double relative;
	/** See load.work_factor; 0: not reported. */
	double work_factor;
};

/** Load that an upstream reported with an answer. */
struct load_report {
	/** Requests that the upstream executes. */
	unsigned int running;
	/** Requests in the upstream's queue. */
	unsigned int waiting;
	/** Requests that the upstream can execute concurrently; 0: not
	 * reported. */
	unsigned int slots;
	/** See load.work_factor; 0: not reported. */
	double work_factor;
};

/**
 * Initializes the estimate for an upstream without any observations.
 *
 * @param slots number of requests that the upstream executes concurrently; 0:
 *        unknown, counts as 1
 */
void load_init(struct load *load, unsigned int slots);

/** Records that this VM sent a request. */
void load_start(struct load *load, double now_s);

/**
 * Applies a load report that came with an answer. Call it before load_end():
 * the answered request must still count as in flight.
 */
void load_report(struct load *load, const struct load_report *report,
		 double now_s);

/** How a request ended. */
enum load_outcome {
	/** Answered; the response time counts. */
	LOAD_ANSWERED,
	/**
	 * Refused because the upstream was full; says nothing about its speed.
	 */
	LOAD_SHED,
	/** Answered with an error or an unusable answer. */
	LOAD_FAILED,
	/** The connection failed or broke. */
	LOAD_UNREACHABLE,
	/** No answer within the caller's time limit. */
	LOAD_TIMED_OUT,
	/** Cancelled by this VM; says nothing about the upstream. */
	LOAD_CANCELLED,
};

/**
 * Records the end of a request.
 *
 * @param relative ratio of the request's response time, less the time in the
 *        upstream's queue, to the route's usual time; used with LOAD_ANSWERED
 *        only
 */
void load_end(struct load *load, enum load_outcome outcome, double relative,
	      double now_s);

/**
 * Applies the number of requests that all VMs, including this one, have in
 * flight.
 */
void load_apply_total_in_flight(struct load *load, unsigned int in_flight,
				double now_s);

/** Applies what all VMs together observed. */
void load_apply_shared_stats(struct load *load,
			     const struct load_shared_stats *stats,
			     double now_s);

/**
 * Returns the estimated number of requests at the upstream, running or queued.
 */
double load_in_flight(const struct load *load, double now_s);

/**
 * Returns the expected response time of one more request at the upstream, in
 * seconds, whether it succeeds or not.
 *
 * @param work_s usual response time of the request's route, in seconds
 */
double load_response_s(const struct load *load, double work_s, double now_s);

/**
 * Returns the expected response time of a request that is sent now.
 *
 * @param work_s the route's usual response time
 * @return seconds, raised for an upstream that fails a part of its requests
 */
double load_expected_s(const struct load *load, double work_s, double now_s);

/**
 * Returns whether the upstream may get a request now: it is not ejected, and
 * after an ejection it gets one trial request at a time until it answers.
 */
bool load_usable(const struct load *load, double now_s);

#endif
