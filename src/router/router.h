/**
 * Options and state that all threads of a router share.
 */
#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/options.h"
#include "router/dispatch.h"
#include "router/view.h"

/** Command-line options of auburn-router; router_program describes them. */
struct router_options {
	char *daemon;
	char *zone;
	char *listen;
	char *operator_address;
	char *operator_token;
	char *assigners;
	char *platform;
	char *log_level;
	bool log_json;
	int64_t workers;
	int64_t max_running;
	int64_t max_connections;
	int64_t idle_s;
	int64_t drain_ms;
	int64_t settings_max_age_ms;
	int64_t owner_wait_ms;
	int64_t heartbeat_ms;
	int64_t upstream_slots;
	int64_t upstream_connections;
};

/** Name, help text and options of auburn-router. */
extern const struct program router_program;

struct control;
struct worker;

/** The state that all threads of a router share. */
struct router {
	/** listen is replaced by the bound addresses, with the actual ports. */
	struct router_options options;
	const struct clock *clock;
	struct metrics *metrics;
	/** The settings, owner maps and VM list in use. */
	struct view_store *views;
	/** Admits requests and chooses their upstreams. */
	struct dispatch *dispatch;
	/** Outcomes of recent requests, for operators. */
	struct request_history *request_history;
	/** State of the control thread; NULL until it was created. */
	struct control *control;
	/** The options.workers workers. */
	struct worker **workers;
	/** Time of the monotonic clock until which the settings count as
	 * current, as assigners confirmed; 0 before the first confirmation. */
	_Atomic int64_t fresh_until_us;
	/** Set when a graceful shutdown begins; not read. */
	_Atomic bool draining;
};

/** Tells whether the settings count as current. If not, new requests are
 * refused. */
bool router_settings_fresh(const struct router *router, int64_t now_us);

#endif
