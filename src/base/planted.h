/**
 * Planted faults: breaks of one rule each, switched on by tests to show that
 * the rule's check would see it. No program switches one on.
 */
#ifndef BASE_PLANTED_H
#define BASE_PLANTED_H

#include <stdbool.h>

enum planted {
	PLANTED_NONE,
	/** The request is sent before its claim is held. */
	PLANTED_CLAIM_AFTER_SEND,
	/** A lost answer to a claim's write counts as held. */
	PLANTED_CLAIM_UNREAD,
	/** Any request is sent again after it may have run. */
	PLANTED_RETRY_MAY_HAVE_RUN,
	/** A refusal says "not run" for what was sent. */
	PLANTED_SAY_NOT_RUN,
	/** An answer cut short ends cleanly. */
	PLANTED_TRUNCATED_COMPLETE,
	/** A share is used after its end. */
	PLANTED_SHARE_FOREVER,
	/** The limit holds for each router, not for the fleet. */
	PLANTED_SHARE_PER_ROUTER,
	/** A new holder does not wait out the shares of the last. */
	PLANTED_HOLDER_AT_ONCE,
	/** A new incarnation is as ready as the last. */
	PLANTED_INCARNATION_WARM,
	/** One death poisons all that were in flight. */
	PLANTED_BLAME_NEIGHBOURS,
	/** Suspects run side by side, like any request. */
	PLANTED_NO_TRIALS,
	/** Deaths are not counted. */
	PLANTED_FORGET_DEATHS,
	/** New work goes to upstreams that leave. */
	PLANTED_IGNORE_LEAVING,
	/** A suspect connection is used again. */
	PLANTED_REUSE_SUSPECT,
	/** A lost answer to a publish counts as accepted. */
	PLANTED_PUBLISH_UNREAD,
	/** The table's last answer wins, also when its version is lower. */
	PLANTED_SPREAD_REVERT,
	/** Settings are relied on without table or peers. */
	PLANTED_SPREAD_ALWAYS_VALID,
	/** A VM that the list lacks counts as lost. */
	PLANTED_VM_LIST_KILLS,
	/** A VM that the list has counts as alive. */
	PLANTED_VM_LIST_REVIVES,
	/** A new leader does not wait for grants of the last. */
	PLANTED_NO_INHERITED_WAIT,
	/** A grant without an answer counts as not given. */
	PLANTED_FORGET_UNANSWERED,
	/** Another life of an owner is given keys under the old token. */
	PLANTED_TOKEN_KEPT,
	/** A VM's clock stands still while it is suspended. */
	PLANTED_CLOCK_STANDS_STILL,
	PLANTED_COUNT
};

/** Switches one fault on, for all threads; for tests. */
void planted_set(enum planted fault);

/** Tells whether a fault is on. */
bool planted(enum planted fault);

/** The fault's name in reports of tests. */
const char *planted_name(enum planted fault);

#endif
