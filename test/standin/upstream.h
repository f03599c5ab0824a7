/**
 * What both addresses of the upstream stand-in share.
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

/** Faults told by POST /switch. */
struct upstream_faults {
	/** Answers to be cut in half, and runs whose answer is never sent. */
	int64_t truncate, reset_after_run;
	/** Answers that are too short but look whole, and wrong answers. */
	int64_t shorten, garble;
	/** Connections up to this number got silent. */
	uint64_t silent_up_to;
	bool unhealthy;
	/** Load and health show what they showed when this was set. */
	bool freeze_reports;
};

struct upstream {
	const char *id;
	const char *service;
	/** Incarnation: changes with every start. */
	char *boot;
	/** A request whose address or body holds this kills the process. */
	const char *crash_mark;
	int64_t load_lag_us;
	struct slots *slots;
	struct grants *grants;
	struct record *record;
	struct standin_server *data;
	struct standin_server *control;
	/** Guards what follows. */
	pthread_mutex_t lock;
	struct upstream_faults faults;
	/** Reports of load: the one shown, and the one shown next. */
	struct upstream_load shown, next;
	int64_t next_us;
};

/** Answers on the data address; ctx is the upstream. */
enum MHD_Result upstream_data_handle(void *ctx,
				     const struct standin_call *call);

/** Answers on the control address; ctx is the upstream. */
enum MHD_Result upstream_control_handle(void *ctx,
					const struct standin_call *call);

/**
 * Blocks while the connection of a call is a silent one: until its other end
 * closes it.
 *
 * @return true when it was silent; then nothing may be answered
 */
bool upstream_wait_while_silent(struct upstream *upstream,
				const struct standin_call *call);

#endif
