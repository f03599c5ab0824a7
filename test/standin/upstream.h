/**
 * State of the upstream stand-in, shared by its two HTTP servers: the data
 * address for routed requests and the control address for orders.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common_http.h"
#include "upstream_grants.h"
#include "upstream_record.h"
#include "upstream_slots.h"

/** Injected faults, set with POST /switch on the control address. */
struct upstream_faults {
	/** Number of next responses to cut off half way. */
	int64_t truncate;
	/** Number of next executions after which the connection is closed
	 * without a response. */
	int64_t reset_after_run;
	/** Number of next responses with half the body but a matching length,
	 * and with a wrong body. */
	int64_t shorten, garble;
	/** Connections up to this number neither read nor respond. */
	uint64_t silent_up_to;
	bool unhealthy;
	/** Load reports and health are not updated while this is set. */
	bool freeze_reports;
};

struct upstream {
	const char *id;
	const char *service;
	/** Incarnation id: unique to this start of the process. */
	char *boot;
	/** A request whose URI or body contains this text kills the process;
	 * empty: none does. */
	const char *crash_text;
	/** Time between two updates of the reported load. */
	int64_t load_lag_us;
	struct slots *slots;
	struct grants *grants;
	struct record *record;
	struct standin_server *data;
	struct standin_server *control;
	/** Guards the members below. */
	pthread_mutex_t lock;
	struct upstream_faults faults;
	/** The load that is reported now, and the load that replaces it at
	 * next_load_us. */
	struct upstream_load reported_load, next_load;
	int64_t next_load_us;
};

/** Handles a request on the data address; ctx is the upstream. */
enum MHD_Result upstream_data_handle(void *ctx,
				     const struct standin_call *call);

/** Handles a call on the control address; ctx is the upstream. */
enum MHD_Result upstream_control_handle(void *ctx,
					const struct standin_call *call);

/**
 * If a call's connection is silenced by a fault, blocks until the peer closes
 * it or the fault ends.
 *
 * @return whether the connection was silenced; then the caller must not respond
 */
bool upstream_wait_while_silent(struct upstream *upstream,
				const struct standin_call *call);

#endif
