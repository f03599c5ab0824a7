/**
 * Detects stragglers: upstreams that are slow compared with the others, by the
 * times of their answers and the ages of requests not answered yet. The
 * upstreams' own load reports are not used, as they look normal while another
 * VM on the same host takes the processor.
 */
#ifndef UPSTREAM_STRAGGLER_H
#define UPSTREAM_STRAGGLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An upstream is slow when its expected time is at least this multiple of the
 * median. */
#define STRAGGLER_RATIO 3
/** Fewest answers of an upstream before it can be classified as slow. */
#define STRAGGLER_SAMPLES 4
/** First wait between probes of a slow upstream; doubles up to the maximum. */
#define STRAGGLER_PROBE_US INT64_C(100000)
#define STRAGGLER_PROBE_MAX_US INT64_C(3200000)

/** Response times of one upstream, and whether they make it a straggler. Plain
 * data; all zero for an upstream that has not answered yet. */
struct straggler_state {
	/** Moving average of the time to the first byte; 0: unknown. */
	int64_t mean_us;
	/** Number of answers so far. */
	uint32_t samples;
	/** The upstream is slow and gets probe requests only. */
	bool slow;
	/** When the next probe of a slow upstream may be sent. */
	int64_t probe_us;
	/** Present wait between probes; doubles with each probe. */
	int64_t probe_wait_us;
};

/** Adds the time of an answer to the mean. */
void straggler_add_answer(struct straggler_state *s, int64_t took_us);

/** Raises the mean for a request that was given up at this age, without an
 * answer. */
void straggler_add_unanswered(struct straggler_state *s, int64_t age_us);

/** Returns the mean as it would be if a request of this age were answered now;
 * never less than mean_us. */
int64_t straggler_raise_mean(int64_t mean_us, int64_t age_us);

/** Tells whether a probe of a slow upstream is due. If so, the caller sends it,
 * and the next one is scheduled. */
bool straggler_start_probe(struct straggler_state *s, int64_t now_us);

/**
 * Classifies upstreams as slow or not. At most a third of them, the slowest,
 * become slow.
 *
 * @param all upstreams that take new requests
 * @param expected_us expected time of each; 0: unknown
 * @param now_us present time; a newly slow upstream's first probe is due
 *        STRAGGLER_PROBE_US later
 */
void straggler_classify(struct straggler_state *const *all,
			const int64_t *expected_us, size_t count,
			int64_t now_us);

/** A quantile of a stream of times, estimated in constant space. */
struct quantile {
	/** The estimate; 0 before the first time was added. */
	int64_t value_us;
	/** Number of times added. */
	uint32_t samples;
};

/** Adds one time. @param percent the quantile to estimate, such as 95 */
void quantile_add(struct quantile *q, int64_t time_us, int percent);

#endif
