/**
 * HTTP API of an assigner for operators: publish settings, take zones and VMs
 * out of service, query the status.
 *
 * PUT and POST of changes answer {"outcome", "version", "message",
 * "force_helps"} with 200 accepted or unchanged, 409 conflict, 422 refused, 503
 * unavailable (nothing was written), 504 unknown outcome. The Idempotency-Key
 * header is the unique id of the change: a request that is repeated with it, at
 * any assigner, is answered with the outcome of the first.
 *
 * Thread rule: all calls on the thread that owns the operator server.
 */
#ifndef OPERATOR_API_H
#define OPERATOR_API_H

#include <jansson.h>

#include "base/clock.h"
#include "membership/peers.h"
#include "operator/operator_server.h"
#include "platform/table.h"
#include "profile/profile_defs.h"

/** Daemons without contact for this long are listed as silent and not counted
 * in the answer to GET /api/v1/in-force. */
#define API_SILENT_US INT64_C(30000000)

/** What the API needs from its daemon. */
struct api_ops {
	/** Starts to read a row, as table_get() does. */
	void (*table_get)(void *ctx, struct str key, table_done_fn done,
			  void *done_ctx);
	/** Starts a conditional write of a row, as table_put() does. */
	void (*table_put)(void *ctx, struct str key, uint64_t if_version,
			  struct str value, table_done_fn done, void *done_ctx);
	/** Returns the settings in force as JSON; empty when there are none.
	 * Borrowed until the settings change. */
	struct str (*settings)(void *ctx);
	/**
	 * Tells whether the upstreams that the settings `after` leave in
	 * service can carry the present load; see publish_ops.fits.
	 */
	bool (*fits)(void *ctx, const struct settings *after, char **why);
	/** Tells whether this daemon is in contact with half of its peers. */
	bool (*in_contact)(void *ctx);
	/** Calls visit for each known daemon, this one included. */
	void (*members)(void *ctx,
			void (*visit)(void *visit_ctx, const struct peer *peer),
			void *visit_ctx);
	/** Adds "vms", "cells" and further members to the status object. */
	void (*status)(void *ctx, json_t *out);
	/**
	 * Records an operator's assertion that the upstreams of a service
	 * that are not listed any more have ended for good, see
	 * coordinator_ignore_unlisted().
	 *
	 * @return false when there is no such service
	 */
	bool (*force_cell)(void *ctx, struct str service);
	/**
	 * Explains which upstream owns a key: fills an object with the members
	 * "slice", "owner", "epoch" and "why".
	 *
	 * @return false when there is no such keyed service
	 */
	bool (*explain_key)(void *ctx, struct str service, struct str key,
			    json_t *out);
	/**
	 * Called when this daemon has published settings. The callee passes
	 * them to settings_replica_on_peer_settings(), so that heartbeats
	 * report the new version to peers at once. May be NULL.
	 *
	 * @param json the settings, valid during the call
	 */
	void (*published)(void *ctx, struct str json);
};

/** The API of one daemon with its calls in progress. */
struct api;

/**
 * Creates the API.
 *
 * @param ops must outlive the API
 * @param ctx passed to every function of ops
 * @param clock must outlive the API
 * @return a new API; free with api_destroy()
 */
struct api *api_create(const struct api_ops *ops, void *ctx,
		       const struct clock *clock);

/** Frees the API; no table call may be in progress. */
void api_destroy(struct api *api);

/** Advances the changes in progress; call every 100 ms. */
void api_tick(struct api *api);

/** Returns the number of changes and row reads in progress. */
size_t api_pending(const struct api *api);

/** The routes, ended by a NULL method; their context is a struct api. */
extern const struct operator_route api_routes[];

#endif
