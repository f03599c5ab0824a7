/**
 * Operator routes of every daemon: /, /health, /ready and /metrics.
 */
#ifndef OPERATOR_COMMON_ROUTES_H
#define OPERATOR_COMMON_ROUTES_H

#include <glib.h>
#include <stdbool.h>

#include "operator/operator_server.h"

/** What the common routes need from their daemon. */
struct common_ops {
	/**
	 * Tells whether the daemon takes new work.
	 *
	 * @param why set to a short constant text on false
	 */
	bool (*ready)(void *ctx, const char **why);
	/** Appends all metrics in the Prometheus text format. */
	void (*metrics)(void *ctx, GString *out);
};

/** Context of the common routes. */
struct common_routes {
	const struct common_ops *ops;
	/** Context of ops. */
	void *ctx;
	/** All mounts of the server, listed at /. */
	const struct operator_mount *mounts;
};

/** The routes, ended by a NULL method; their context is a struct
 * common_routes. */
extern const struct operator_route common_routes[];

#endif
