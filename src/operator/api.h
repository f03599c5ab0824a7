/**
 * The operators' API of an assigner: settings, zones, VMs, status.
 *
 * PUT and POST answer {"outcome", "version", "message", "force_helps"} with
 * 200 accepted or unchanged, 409 conflict, 422 refused, 503 unavailable
 * (nothing was written), 504 unknown outcome. The Idempotency-Key of a request
 * is the attempt id: the same request sent again to any assigner finds the
 * first one's outcome.
 *
 * Thread rule: that of the operator server.
 */
#ifndef OPERATOR_API_H
#define OPERATOR_API_H

#include <jansson.h>

#include "base/clock.h"
#include "membership/peers.h"
#include "operator/operator_server.h"
#include "platform/table.h"
#include "profile/profile_defs.h"

/** Daemons silent for longer are listed and not counted. */
#define API_SILENT_US INT64_C(30000000)

struct api_ops {
	/** As table_get(). */
	void (*table_get)(void *ctx, struct str key, table_done_fn done,
			  void *done_ctx);
	/** As table_put(). */
	void (*table_put)(void *ctx, struct str key, uint64_t if_version,
			  struct str value, table_done_fn done, void *done_ctx);
	/** Settings in force in this daemon as JSON, empty before any. */
	struct str (*settings)(void *ctx);
	/** As publish_ops.fits. */
	bool (*fits)(void *ctx, const struct settings *after, char **why);
	/** As publish_ops.in_contact. */
	bool (*in_contact)(void *ctx);
	/** Calls visit for every daemon known, this one included. */
	void (*members)(void *ctx,
			void (*visit)(void *visit_ctx, const struct peer *peer),
			void *visit_ctx);
	/** Adds "vms", "cells" and what else there is to an object. */
	void (*status)(void *ctx, json_t *out);
	/**
	 * Operators' word that unlisted upstreams of a cell are gone for good,
	 * see coordinator_force().
	 *
	 * @return false when there is no such service
	 */
	bool (*force_cell)(void *ctx, struct str service);
	/**
	 * Fills an object: slice, owner, epoch, why.
	 *
	 * @return false when there is no such keyed service
	 */
	bool (*explain_key)(void *ctx, struct str service, struct str key,
			    json_t *out);
	/**
	 * This daemon published settings; settings_replica_on_peer_settings()
	 * takes them, so that the others learn of them at once. May be NULL.
	 */
	void (*published)(void *ctx, struct str json);
};

struct api;

/**
 * Creates the API.
 *
 * @param ops lives as long as the API
 * @param clock lives as long as the API
 */
struct api *api_create(const struct api_ops *ops, void *ctx,
		       const struct clock *clock);

/** Frees; table calls in progress must have ended. */
void api_destroy(struct api *api);

/** Moves changes on; call every 100 ms. */
void api_tick(struct api *api);

/** Changes in progress. */
size_t api_pending(const struct api *api);

/** The table of routes; its context is a struct api. */
extern const struct operator_route api_routes[];

#endif
