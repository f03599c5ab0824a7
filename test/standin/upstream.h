/**
 * State of the upstream stand-in, shared by its two HTTP servers: one on the
 * data address, for requests from routers, and one on the control address, for
 * orders, health checks and load reports, and for the calls of tests.
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
	/** Number of next responses whose connection is closed after half of
	 * the body. */
	int64_t truncate;
	/** Number of next executions after which the connection is closed
	 * without a response. */
	int64_t reset_after_run;
	/** Number of next responses that have only half of the body, under a
	 * Content-Length that matches it. */
	int64_t shorten;
	/** Number of next responses with wrong bytes in the body. */
	int64_t garble;
	/** Connections that were accepted up to this one, by number, stay open
	 * without a response; 0: none. */
	uint64_t silent_up_to;
	/** Health checks are answered with 503. */
	bool unhealthy;
	/** The reported load and state stay as they are while this is set. */
	bool freeze_reports;
};

/** State of the process, which stands for one upstream. */
struct upstream {
	/** Id of the VM that the upstream stands for. */
	const char *id;
	/** Name of the service, and of the cell whose orders are accepted. */
	const char *service;
	/** Incarnation id: unique to this start of the process. */
	char *boot;
	/** A request whose URI or body contains this text kills the process;
	 * empty: none does. */
	const char *crash_text;
	/** Time between two updates of the reported load, see
	 * reported_load. */
	int64_t load_lag_us;
	struct slots *slots;
	struct grants *grants;
	struct record *record;
	struct standin_server *data_server;
	struct standin_server *control_server;
	/** Guards the members below. */
	pthread_mutex_t lock;
	struct upstream_faults faults;
	/** The load that is reported now, and the load that replaces it from
	 * next_load_us on. */
	struct upstream_load reported_load, next_load;
	/** Monotonic clock; 0 until the first report. */
	int64_t next_load_us;
};

/**
 * Handles a request on the data address; ctx is the upstream. Query parameters
 * choose the execution and the response:
 *   bytes    length of the body, 64 by default
 *   chunked  1: send the body with chunked encoding
 *   status   status code, 200 by default
 *   run_us   execution time in microseconds; random by default
 */
enum MHD_Result upstream_data_handle(void *ctx,
				     const struct standin_call *call);

/** Handles a call on the control address; ctx is the upstream. POST /switch
 * sets faults, see apply_setting() and set_fault() in upstream_control.c. */
enum MHD_Result upstream_control_handle(void *ctx,
					const struct standin_call *call);

/**
 * If a fault silences a call's connection, blocks until the peer closes the
 * connection or the fault ends.
 *
 * @return whether the connection was silenced; then the caller must not respond
 */
bool upstream_wait_while_silent(struct upstream *upstream,
				const struct standin_call *call);

#endif
