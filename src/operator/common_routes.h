/**
 * Routes that every daemon has: /, /health, /ready and /metrics.
 */
#ifndef OPERATOR_COMMON_ROUTES_H
#define OPERATOR_COMMON_ROUTES_H

#include <glib.h>
#include <stdbool.h>

#include "operator/operator_server.h"

/** What the common routes ask their daemon. */
struct common_ops {
	/**
	 * Tells whether new work may come.
	 *
	 * @param why set to a short constant text when not
	 */
	bool (*ready)(void *ctx, const char **why);
	/** Appends all metrics in Prometheus' text format. */
	void (*metrics)(void *ctx, GString *out);
};

/** Context of the common routes. */
struct common_routes {
	const struct common_ops *ops;
	void *ctx;
	/** The mounts of the server, for the help text. */
	const struct operator_mount *mounts;
};

/** The table; its context is a struct common_routes. */
extern const struct operator_route common_routes[];

#endif
