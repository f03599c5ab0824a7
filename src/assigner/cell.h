/**
 * One cell on one assigner. A cell is the ownership state of one service. This
 * file joins the cell's coordinator (a state machine without I/O) with its
 * calls to the platform's table and to upstreams. While this daemon has
 * authority (a majority of the upstreams accepted its ballot), the cell also
 * holds the upstreams' budgets of concurrent requests.
 */
#ifndef ASSIGNER_CELL_H
#define ASSIGNER_CELL_H

#include "base/clock.h"
#include "membership/vm_defs.h"
#include "ownership/coordinator.h"
#include "platform/http_client.h"
#include "platform/table.h"
#include "upstream/budget.h"

/** Ownership state of one service on this assigner. */
struct cell;

/** What a cell uses of its daemon. Must outlive the cell. */
struct cell_env {
	const struct clock *clock;
	struct http_client *http;
	struct table *table;
	/** Id of this daemon. */
	struct str daemon;
	/** Id of this process, new at each start of the daemon. */
	struct str incarnation;
	/** Number of key ranges of each upstream in a cell's first owner map.
	 */
	size_t slices_per_owner;
	/** Sends an owner map just written to the table to other daemons. */
	void (*send_map)(void *ctx, struct slice_map *map);
	/** Called for a VM's valid reply to an order that was sent at begun_us
	 * on this daemon's clock. */
	void (*on_order_reply)(void *ctx, struct str vm,
			       const struct order_reply *reply,
			       int64_t begun_us);
	/** Passed to send_map() and on_order_reply(). */
	void *ctx;
};

/**
 * Creates a cell that is not coordinated by this daemon yet.
 *
 * @param env not copied; must outlive the cell
 * @param name the service's name; copied
 * @param keyed whether key ranges have owners; false: the cell has no key
 *        ranges and any upstream may run a request
 */
struct cell *cell_create(const struct cell_env *env, struct str name,
			 bool keyed);

/** Frees a cell; NULL is ignored. Results of calls in flight are dropped. */
void cell_destroy(struct cell *cell);

/** Returns the service's name, owned by the cell. */
struct str cell_name(const struct cell *cell);

/** Tells whether the cell maps key ranges to owners. */
bool cell_is_keyed(const struct cell *cell);

/** Returns the cell's coordinator, owned by the cell. */
struct coordinator *cell_coordinator(struct cell *cell);

/** Runs the coordinator's timers and updates the budgets; call at least every
 * COORDINATOR_TICK_US. */
void cell_tick(struct cell *cell);

/** An upstream of the cell. */
struct cell_member {
	const struct vm *vm;
	/** The settings take the VM or its zone out of service. */
	bool out;
};

/** Replaces the list of the cell's upstreams. The list and its VMs are needed
 * during the call only. */
void cell_set_members(struct cell *cell, const struct cell_member *members,
		      size_t count);

/**
 * Grants a router a share of an upstream's budget of concurrent requests.
 *
 * @param upstream id of a VM, or "trial/..." for the requests of this service
 *        that are suspected of crashing upstreams
 * @param request the router's running requests and those it wants to send
 * @param grant set when true is returned
 * @return false when this daemon has no authority over the cell or does not
 *         know the upstream; no reply must be sent then
 */
bool cell_request_share(struct cell *cell, struct str upstream,
			struct str router, const struct budget_request *request,
			struct budget_grant *grant);

/** Reads how many orders the cell has sent to upstreams since its creation, and
 * how many valid replies came; for metrics. */
void cell_counts(const struct cell *cell, uint64_t *orders, uint64_t *replies);

#endif
