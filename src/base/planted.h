/**
 * Fault injection for tests. Each fault makes the code break one invariant;
 * tests enable a fault to show that their check of the invariant detects it.
 * Production programs never enable one.
 */
#ifndef BASE_PLANTED_H
#define BASE_PLANTED_H

#include <stdbool.h>

enum injected {
	/** No fault is enabled. */
	INJECTED_NONE,
	/** A request is sent before its claim (request/claim.h) is held. */
	INJECTED_CLAIM_AFTER_SEND,
	/** A claim counts as held when the answer to its write was lost. */
	INJECTED_CLAIM_WRITE_ASSUMED,
	/** A non-idempotent request is retried although it may have run. */
	INJECTED_RETRY_MAY_HAVE_RUN,
	/** A refusal says "not-run" although the request was sent. */
	INJECTED_FALSE_NOT_RUN,
	/** A truncated answer is passed on as complete. */
	INJECTED_TRUNCATED_COMPLETE,
	/** A router uses an expired share of a cold upstream's limit. */
	INJECTED_SHARE_NEVER_EXPIRES,
	/** A cold upstream's limit applies per router, not to all together. */
	INJECTED_LIMIT_PER_ROUTER,
	/**
	 * A new holder of a cold upstream's limit does not wait until the
	 * shares that the previous holder handed out have expired.
	 */
	INJECTED_NEW_HOLDER_NO_WAIT,
	/** A new incarnation of an upstream is not treated as cold. */
	INJECTED_NEW_INCARNATION_WARM,
	/** One crash marks all requests in flight as poison. */
	INJECTED_POISON_ALL_IN_FLIGHT,
	/** Suspected poison requests run concurrently, not one at a time. */
	INJECTED_SUSPECTS_CONCURRENT,
	/** Upstream crashes are not counted against a request. */
	INJECTED_CRASHES_NOT_COUNTED,
	/** New requests go to upstreams that are leaving. */
	INJECTED_IGNORE_LEAVING,
	/** A connection known to be suspect is reused. */
	INJECTED_REUSE_SUSPECT_CONNECTION,
	/** Settings count as published when the write's answer was lost. */
	INJECTED_PUBLISH_ASSUMED,
	/** Settings from the store apply even if their version is lower. */
	INJECTED_SETTINGS_REVERT,
	/** Settings stay valid without contact with the store or peers. */
	INJECTED_SETTINGS_NEVER_STALE,
	/** A VM missing from the platform's VM list counts as lost. */
	INJECTED_UNLISTED_VM_LOST,
	/** A VM present in the platform's VM list counts as alive. */
	INJECTED_LISTED_VM_ALIVE,
	/** A new leader does not wait for the last leader's grants to end. */
	INJECTED_NO_WAIT_FOR_OLD_GRANTS,
	/** A grant that was not acknowledged counts as not given. */
	INJECTED_FORGET_UNANSWERED_GRANT,
	/** A restarted owner gets keys under its old fencing token. */
	INJECTED_FENCING_TOKEN_REUSED,
	/** A VM's monotonic clock stops while the VM is suspended. */
	INJECTED_CLOCK_STOPS_IN_SUSPEND,
	INJECTED_COUNT
};

/** Enables one fault, in all threads, in place of the previous one. */
void fault_inject(enum injected fault);

/** Returns whether a fault is enabled. */
bool injected(enum injected fault);

/** Returns the fault's name in test reports. */
const char *fault_name(enum injected fault);

#endif
