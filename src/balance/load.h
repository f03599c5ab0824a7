/**
 * What one VM believes of one upstream's load and speed, from its own requests
 * and from the reports in the upstream's answers. Answers the load of requests
 * in flight, of stragglers and of upstreams that fail part of their requests.
 * Times are seconds on one clock that the caller passes in.
 */
#ifndef BALANCE_LOAD_H
#define BALANCE_LOAD_H

#include <stdbool.h>

struct load {
	/** Requests that it runs at once. */
	unsigned int slots;
	/** Requests of this VM in flight. */
	unsigned int in_flight;
	/** Requests of other VMs there, when last reported. */
	double others;
	double others_s;
	/** How long work takes there by its own word; 1 is usual. */
	double work_factor;
	double work_factor_s;
	/** Smoothed time of answers against the route's usual time. */
	double slowness;
	/** Smoothed share of requests that failed. */
	double failures;
	/** Failures without an answer in between. */
	unsigned int consecutive_failures;
	/** It gets no request before. */
	double ejected_until_s;
	/** Since when requests are in flight without an answer. */
	double no_answer_since_s;
	/** Requests of this VM in flight, as last told to the others. */
	unsigned int reported_in_flight;
	/** What ended here since then. */
	unsigned int unreported_answers;
	unsigned int unreported_failures;
	double unreported_relative;
};

/** What all VMs together saw of an upstream lately. */
struct load_shared_stats {
	unsigned int answers;
	unsigned int failures;
	/** Mean time of the answers against their routes' usual time. */
	double relative;
	/** 0: not reported. */
	double work_factor;
};

struct load_report {
	unsigned int running;
	unsigned int waiting;
	/** 0: not reported. */
	unsigned int slots;
	/** 0: not reported. */
	double work_factor;
};

/** Sets what is believed of an upstream that nothing is known of. */
void load_init(struct load *load, unsigned int slots);

/** Notes a request sent. */
void load_start(struct load *load, double now_s);

/** Notes a report that came with an answer; before load_end(). */
void load_report(struct load *load, const struct load_report *report,
		 double now_s);

enum load_outcome {
	/** Answered; the time says how fast. */
	LOAD_ANSWERED,
	/** Refused: full. Says nothing about its speed. */
	LOAD_SHED,
	/** Answered with a failure, or with an answer that is of no use. */
	LOAD_FAILED,
	/** No connection, or the connection broke. */
	LOAD_UNREACHABLE,
	/** No answer in the caller's time. */
	LOAD_TIMED_OUT,
	/** This side gave up: says nothing. */
	LOAD_CANCELLED,
};

/**
 * Notes a request's end.
 *
 * @param relative time taken against the route's usual time; with
 *        LOAD_ANSWERED only
 */
void load_end(struct load *load, enum load_outcome outcome, double relative,
	      double now_s);

/** Takes how many requests of all VMs are there, this one's among them. */
void load_apply_total_in_flight(struct load *load, unsigned int in_flight,
				double now_s);

/** Takes what all VMs saw. */
void load_apply_shared_stats(struct load *load,
			     const struct load_shared_stats *stats,
			     double now_s);

/** Requests believed to be there now, running or waiting. */
double load_in_flight(const struct load *load, double now_s);

/**
 * Time that a request sent now is expected to take.
 *
 * @param work_s the route's usual time
 */
double load_expected_s(const struct load *load, double work_s, double now_s);

/** Whether it may get a request now, as far as failures say. */
bool load_usable(const struct load *load, double now_s);

#endif
