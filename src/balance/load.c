#include "balance/load.h"

#include <math.h>
#include <string.h>

/* The reported number of other VMs' requests is used unchanged for this long;
 * then it decays exponentially, as those requests end. */
#define OTHERS_FRESH_S 0.15
#define OTHERS_DECAY_S 0.25
/* Decay time of the reported work factor, which changes many times a second. */
#define FACTOR_DECAY_S 0.2
/* Weight of one answer in the smoothed values: about the last ten count. */
#define SLOWNESS_WEIGHT 0.15
#define FAILURE_WEIGHT 0.1
/* Weight of one answer that any VM received. All VMs together receive about ten
 * times as many as one VM. */
#define SHARED_WEIGHT 0.02
/* Largest ratio of a response time to the usual one that is taken into
 * account. */
#define SLOWNESS_MAX 20.0
/* Cost of a failure for its caller, as a multiple of the usual response
 * time. */
#define FAILURE_COST 4.0
/* First and longest ejection after connection failures; the time doubles with
 * each failure. */
#define EJECT_FIRST_S 0.15
#define EJECT_MAX_S 2.0
#define EJECT_DOUBLINGS_MAX 6
/* An answer is overdue after this multiple of the expected response time. */
#define OVERDUE_FACTOR 2.5

void load_init(struct load *load, unsigned int slots)
{
	memset(load, 0, sizeof(*load));
	load->slots = slots ? slots : 1;
	load->work_factor = 1;
	load->slowness = 1;
}

void load_start(struct load *load, double now_s)
{
	if (!load->in_flight)
		load->no_answer_since_s = now_s;
	load->in_flight++;
}

void load_report(struct load *load, const struct load_report *report,
		 double now_s)
{
	double at_upstream = (double)report->running + report->waiting;

	/* The request whose answer carries the report has ended at the
	 * upstream. */
	double own = load->in_flight > 0 ? load->in_flight - 1.0 : 0;

	load->others = at_upstream > own ? at_upstream - own : 0;
	load->others_s = now_s;
	if (report->slots)
		load->slots = report->slots;
	if (report->work_factor > 0) {
		load->work_factor = report->work_factor;
		load->work_factor_s = now_s;
	}
}

/* Moves a moving average toward a sample. */
static void smooth(double *value, double sample, double weight)
{
	*value += weight * (sample - *value);
}

/* Ejects the upstream for a time that doubles with each failure in a row. */
static void eject(struct load *load, double now_s)
{
	unsigned int doublings = load->consecutive_failures;
	double eject_s;

	if (doublings > EJECT_DOUBLINGS_MAX)
		doublings = EJECT_DOUBLINGS_MAX;
	eject_s = EJECT_FIRST_S * (double)(1U << doublings);
	load->ejected_until_s =
		now_s + (eject_s < EJECT_MAX_S ? eject_s : EJECT_MAX_S);
	load->consecutive_failures++;
}

void load_end(struct load *load, enum load_outcome outcome, double relative,
	      double now_s)
{
	if (load->in_flight)
		load->in_flight--;
	if (outcome == LOAD_ANSWERED) {
		load->unreported_answers++;
		load->unreported_relative += fmin(relative, SLOWNESS_MAX);
	} else if (outcome != LOAD_CANCELLED) {
		load->unreported_failures++;
	}
	switch (outcome) {
	case LOAD_ANSWERED:
		smooth(&load->slowness, fmin(relative, SLOWNESS_MAX),
		       SLOWNESS_WEIGHT);
		smooth(&load->failures, 0, FAILURE_WEIGHT);
		load->consecutive_failures = 0;
		load->ejected_until_s = 0;
		load->no_answer_since_s = now_s;
		break;
	case LOAD_SHED:
	case LOAD_FAILED:
		load->no_answer_since_s = now_s;
		smooth(&load->failures, 1, FAILURE_WEIGHT);
		break;
	case LOAD_UNREACHABLE:
		smooth(&load->failures, 1, FAILURE_WEIGHT);
		eject(load, now_s);
		break;
	case LOAD_TIMED_OUT:
		smooth(&load->failures, 1, FAILURE_WEIGHT);
		if (now_s - load->no_answer_since_s > EJECT_FIRST_S)
			eject(load, now_s);
		break;
	case LOAD_CANCELLED:
		break;
	}
}

/* Returns the combined weight of several samples of the given weight. */
static double combined_weight(double weight, unsigned int samples)
{
	return 1 - pow(1 - weight, samples);
}

void load_apply_total_in_flight(struct load *load, unsigned int in_flight,
				double now_s)
{
	unsigned int reported = load->reported_in_flight;

	load->others = in_flight > reported ? in_flight - reported : 0;
	load->others_s = now_s;
}

void load_apply_shared_stats(struct load *load,
			     const struct load_shared_stats *stats,
			     double now_s)
{
	unsigned int ended = stats->answers + stats->failures;

	if (stats->work_factor > 0) {
		load->work_factor = stats->work_factor;
		load->work_factor_s = now_s;
	}
	if (stats->answers)
		smooth(&load->slowness, stats->relative,
		       combined_weight(SHARED_WEIGHT, stats->answers));
	if (ended)
		smooth(&load->failures, (double)stats->failures / ended,
		       combined_weight(SHARED_WEIGHT, ended));
}

double load_in_flight(const struct load *load, double now_s)
{
	double age = fmax(now_s - load->others_s - OTHERS_FRESH_S, 0);

	return load->in_flight + load->others * exp(-age / OTHERS_DECAY_S);
}

double load_response_s(const struct load *load, double work_s, double now_s)
{
	double age = now_s - load->work_factor_s;
	double factor =
		1 + (load->work_factor - 1) * exp(-age / FACTOR_DECAY_S);
	double single_s = work_s * load->slowness * factor;
	double ahead = load_in_flight(load, now_s) + 1 - load->slots;
	double overdue_s =
		load->in_flight ? now_s - load->no_answer_since_s : 0;
	double expected = single_s;

	if (ahead > 0)
		expected += single_s * ahead / load->slots;
	if (overdue_s > OVERDUE_FACTOR * single_s)
		expected += overdue_s;
	return expected;
}

double load_expected_s(const struct load *load, double work_s, double now_s)
{
	return load_response_s(load, work_s, now_s) *
	       (1 + FAILURE_COST * load->failures);
}

bool load_usable(const struct load *load, double now_s)
{
	if (now_s < load->ejected_until_s)
		return false;
	/* After an ejection, one request at a time tries the upstream. */
	return !load->consecutive_failures || !load->in_flight;
}
