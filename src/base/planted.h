/**
 * Planted faults: breaks of one rule each, switched on by tests to show that
 * the rule's check would see it. No program switches one on.
 */
#ifndef BASE_PLANTED_H
#define BASE_PLANTED_H

#include <stdbool.h>

enum injected {
	INJECTED_NONE,
	/** The request is sent before its claim is held. */
	INJECTED_CLAIM_AFTER_SEND,
	/** A lost answer to a claim's write counts as held. */
	INJECTED_CLAIM_WRITE_ASSUMED,
	/** Any request is sent again after it may have run. */
	INJECTED_RETRY_MAY_HAVE_RUN,
	/** A refusal says "not run" for what was sent. */
	INJECTED_FALSE_NOT_RUN,
	/** An answer cut short ends cleanly. */
	INJECTED_TRUNCATED_COMPLETE,
	/** A share is used after its end. */
	INJECTED_SHARE_NEVER_EXPIRES,
	/** The limit holds for each router, not for the fleet. */
	INJECTED_LIMIT_PER_ROUTER,
	/** A new holder does not wait out the shares of the last. */
	INJECTED_NEW_HOLDER_NO_WAIT,
	/** A new incarnation is as ready as the last. */
	INJECTED_NEW_INCARNATION_WARM,
	/** One death poisons all that were in flight. */
	INJECTED_POISON_ALL_IN_FLIGHT,
	/** Suspects run side by side, like any request. */
	INJECTED_SUSPECTS_CONCURRENT,
	/** Deaths are not counted. */
	INJECTED_CRASHES_NOT_COUNTED,
	/** New work goes to upstreams that leave. */
	INJECTED_IGNORE_LEAVING,
	/** A suspect connection is used again. */
	INJECTED_REUSE_SUSPECT_CONNECTION,
	/** A lost answer to a publish counts as accepted. */
	INJECTED_PUBLISH_ASSUMED,
	/** The table's last answer wins, also when its version is lower. */
	INJECTED_SETTINGS_REVERT,
	/** Settings are relied on without table or peers. */
	INJECTED_SETTINGS_NEVER_STALE,
	/** A VM that the list lacks counts as lost. */
	INJECTED_UNLISTED_VM_LOST,
	/** A VM that the list has counts as alive. */
	INJECTED_LISTED_VM_ALIVE,
	/** A new leader does not wait for grants of the last. */
	INJECTED_NO_WAIT_FOR_OLD_GRANTS,
	/** A grant without an answer counts as not given. */
	INJECTED_FORGET_UNANSWERED_GRANT,
	/** Another life of an owner is given keys under the old token. */
	INJECTED_FENCING_TOKEN_REUSED,
	/** A VM's clock stands still while it is suspended. */
	INJECTED_CLOCK_STOPS_IN_SUSPEND,
	INJECTED_COUNT
};

/** Switches one fault on, for all threads; for tests. */
void fault_inject(enum injected fault);

/** Tells whether a fault is on. */
bool injected(enum injected fault);

/** The fault's name in reports of tests. */
const char *fault_name(enum injected fault);

#endif
