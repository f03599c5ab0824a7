/**
 * One cell as an assigner hosts it: the coordinator, its calls to the table and
 * to upstreams, and the budgets of the upstreams while it has authority.
 */
#ifndef ASSIGNER_CELL_H
#define ASSIGNER_CELL_H

#include "base/clock.h"
#include "membership/vm_defs.h"
#include "ownership/coordinator.h"
#include "platform/http_client.h"
#include "platform/table.h"
#include "upstream/budget.h"

struct cell;

/** What a cell needs of its daemon; outlives the cell. */
struct cell_env {
	const struct clock *clock;
	struct http_client *http;
	struct table *table;
	struct str daemon;
	struct str incarnation;
	size_t slices_per_owner;
	/** A newer row is in the table: tell routers and other assigners. */
	void (*publish)(void *ctx, struct slice_map *map);
	/** A VM answered an order that was sent at begun_us. */
	void (*answered)(void *ctx, struct str vm,
			 const struct order_reply *reply, int64_t begun_us);
	void *ctx;
};

/**
 * Creates a cell that follows.
 *
 * @param env kept, not copied
 * @param name the service's name; copied
 * @param keyed false: a cell without slices
 */
struct cell *cell_create(const struct cell_env *env, struct str name,
			 bool keyed);

/** Frees a cell. Calls in progress end without effect. */
void cell_destroy(struct cell *cell);

/** The service's name. */
struct str cell_name(const struct cell *cell);

/** Whether the cell has slices. */
bool cell_is_keyed(const struct cell *cell);

/** The state machine, for inputs that need nothing else. */
struct coordinator *cell_coordinator(struct cell *cell);

/** Lets time pass. */
void cell_tick(struct cell *cell);

/** An upstream of the cell: its VM and whether operators took it out. */
struct cell_member {
	const struct vm *vm;
	bool out;
};

/** Replaces the cell's upstreams. */
void cell_set_members(struct cell *cell, const struct cell_member *members,
		      size_t count);

/**
 * Answers a router's request for a share of an upstream's budget.
 *
 * @param upstream id of a VM, or BUDGET_TRIAL for suspects of this service
 * @param grant set when this daemon has authority over the cell
 * @return false without authority: say nothing
 */
bool cell_request_share(struct cell *cell, struct str upstream,
			struct str router, const struct budget_ask *ask,
			struct budget_grant *grant);

/** Orders sent to upstreams and answers that came, for metrics. */
void cell_counts(const struct cell *cell, uint64_t *orders, uint64_t *replies);

#endif
