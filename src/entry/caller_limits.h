/**
 * The entry daemon's limits on what callers make it hold: derives them from the
 * settings, logs refusals and shows the amounts held as metrics.
 */
#ifndef ENTRY_CALLER_LIMITS_H
#define ENTRY_CALLER_LIMITS_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "entry/settings.h"
#include "net/caller_budget.h"
#include "net/http_server.h"

/** The budgets with their metrics; its members are private. */
struct caller_limits {
	/** Of callers' connections, and of those for readiness and metrics. */
	struct caller_budget budget;
	struct caller_budget readiness;
	struct caller_budget operators;
	struct descriptors *descriptors;
	/** The connections to upstreams were at their limit at the last tick.
	 */
	bool upstreams_full;
	struct counter *open[DESCRIPTOR_USES];
	struct event_log *log;
	struct counter *bytes;
	struct counter *bytes_peak;
	struct counter *connections;
	struct counter *full_turns;
	struct counter *buffer_bytes;
	struct counter *refusals[CALLER_REFUSALS];
};

/** Sets the limits up; the object must not be moved afterwards. */
void caller_limits_init(struct caller_limits *limits,
			const struct entry_settings *settings,
			struct event_log *log, struct metrics *metrics);

/** Frees the account of descriptors. */
void caller_limits_clear(struct caller_limits *limits);

/** Logs when connections to upstreams reach their limit; to be called a few
 * times a second. */
void caller_limits_tick(struct caller_limits *limits);

/** Updates the metrics before they are shown.
 *
 * @param server where callers connect */
void caller_limits_update_metrics(struct caller_limits *limits,
				  const struct http_server *server);

#endif
