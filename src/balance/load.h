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

struct load {
	/** Requests that the upstream executes concurrently. */
	unsigned int slots;
	/** This VM's requests in flight. */
	unsigned int in_flight;
	/**
	 * Other VMs' requests in flight when they were last reported, and when
	 * that was.
	 */
	double others;
	double others_s;
	/**
	 * Factor on the usual execution time that the upstream reports itself
	 * (1 is usual), and when it was reported.
	 */
	double work_factor;
	double work_factor_s;
	/** Smoothed ratio of response times to the route's usual time. */
	double slowness;
	/** Smoothed share of requests that failed, 0 to 1. */
	double failures;
	/** Ejections since the last answer. */
	unsigned int consecutive_failures;
	/** The upstream is ejected, and gets no requests, until this time. */
	double ejected_until_s;
	/** Time since which requests are in flight without any answer. */
	double no_answer_since_s;
	/** This VM's requests in flight as last reported to the leader. */
	unsigned int reported_in_flight;
	/**
	 * Outcomes on this VM that were not reported yet; the last is the sum
	 * of the answers' relative response times.
	 */
	unsigned int unreported_answers;
	unsigned int unreported_failures;
	double unreported_relative;
};

/** What all VMs together observed of an upstream since the last update. */
struct load_shared_stats {
	unsigned int answers;
	unsigned int failures;
	/** Mean ratio of response times to the routes' usual times. */
	double relative;
	/** 0: not reported. */
	double work_factor;
};

/** Load that an upstream reported with an answer. */
struct load_report {
	unsigned int running;
	unsigned int waiting;
	/** 0: not reported. */
	unsigned int slots;
	/** 0: not reported. */
	double work_factor;
};

/**
 * Initializes the estimate for an upstream without any observations.
 *
 * @param slots number of concurrent requests that it declares; 0: unknown
 */
void load_init(struct load *load, unsigned int slots);

/** Records that a request was sent. */
void load_start(struct load *load, double now_s);

/**
 * Applies a load report that came with an answer; to be called before
 * load_end().
 */
void load_report(struct load *load, const struct load_report *report,
		 double now_s);

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
 * @param relative ratio of its response time to the route's usual time; used
 *        with LOAD_ANSWERED only
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
 * Returns the expected response time of a request that is sent now.
 *
 * @param work_s the route's usual time
 */
double load_expected_s(const struct load *load, double work_s, double now_s);

/**
 * Whether the upstream may get a request now: it is not ejected, and after an
 * ejection it gets one trial request at a time.
 */
bool load_usable(const struct load *load, double now_s);

#endif
