/**
 * Which of several upstreams are slow, judged by their answers and by the age
 * of what they have not answered yet. Their own reports are not used: they
 * look well while an unseen neighbour takes the processor.
 */
#ifndef UPSTREAM_STRAGGLER_H
#define UPSTREAM_STRAGGLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Expected time against the median from which an upstream is slow. */
#define STRAGGLER_RATIO 3
/** Answers by which an upstream is known well enough to be set aside. */
#define STRAGGLER_SAMPLES 4
/** First wait between probes of a slow upstream; doubles up to the maximum. */
#define STRAGGLER_PROBE_US INT64_C(100000)
#define STRAGGLER_PROBE_MAX_US INT64_C(3200000)

/** What is known of one upstream. Plain data; zero: nothing. */
struct straggler {
	/** Mean time to the first byte; 0: unknown. */
	int64_t mean_us;
	uint32_t samples;
	/** Set aside: gets probes only. */
	bool slow;
	/** When the next probe may be sent, and the wait after that. */
	int64_t probe_us;
	int64_t probe_wait_us;
};

/** Takes an answer's time. */
void straggler_answer(struct straggler *s, int64_t took_us);

/** Takes a time that the answer had not come after: raises only. */
void straggler_no_answer(struct straggler *s, int64_t age_us);

/** The mean as it would be if a request of this age were answered now. */
int64_t straggler_fold(int64_t mean_us, int64_t age_us);

/** Whether a slow upstream is due for a probe. Notes it as sent if so. */
bool straggler_probe(struct straggler *s, int64_t now_us);

/**
 * Decides which upstreams are slow. At most a third of them is; the slowest
 * are.
 *
 * @param all upstreams that take new work
 * @param expected_us expected time of each; 0: unknown
 * @param now_us the first probe is due STRAGGLER_PROBE_US after
 */
void straggler_judge(struct straggler *const *all, const int64_t *expected_us,
		     size_t count, int64_t now_us);

/** A quantile of a stream of times, estimated in constant space. */
struct quantile {
	int64_t value_us;
	uint32_t samples;
};

/** Takes one time. @param percent which quantile, such as 95 */
void quantile_add(struct quantile *q, int64_t time_us, int percent);

#endif
