#include "base/planted.h"

/* The enabled fault. */
static enum injected current;

static const char *const names[INJECTED_COUNT] = {
	[INJECTED_NONE] = "none",
	[INJECTED_CLAIM_AFTER_SEND] = "claim after send",
	[INJECTED_CLAIM_WRITE_ASSUMED] = "claim not read back",
	[INJECTED_RETRY_MAY_HAVE_RUN] = "retry after may have run",
	[INJECTED_FALSE_NOT_RUN] = "not run said after send",
	[INJECTED_TRUNCATED_COMPLETE] = "truncated passed as complete",
	[INJECTED_SHARE_NEVER_EXPIRES] = "share used after its end",
	[INJECTED_LIMIT_PER_ROUTER] = "limit per router",
	[INJECTED_NEW_HOLDER_NO_WAIT] = "new holder does not wait",
	[INJECTED_NEW_INCARNATION_WARM] = "new incarnation warm",
	[INJECTED_POISON_ALL_IN_FLIGHT] = "neighbours blamed",
	[INJECTED_SUSPECTS_CONCURRENT] = "suspects side by side",
	[INJECTED_CRASHES_NOT_COUNTED] = "deaths not counted",
	[INJECTED_IGNORE_LEAVING] = "leaving ignored",
	[INJECTED_REUSE_SUSPECT_CONNECTION] = "suspect connection used",
	[INJECTED_PUBLISH_ASSUMED] = "publish not read back",
	[INJECTED_SETTINGS_REVERT] = "lower version taken over",
	[INJECTED_SETTINGS_NEVER_STALE] = "settings always relied on",
	[INJECTED_UNLISTED_VM_LOST] = "list kills a VM",
	[INJECTED_LISTED_VM_ALIVE] = "list revives a VM",
	[INJECTED_NO_WAIT_FOR_OLD_GRANTS] =
		"no wait for the last leader's grants",
	[INJECTED_FORGET_UNANSWERED_GRANT] = "unanswered grants forgotten",
	[INJECTED_FENCING_TOKEN_REUSED] = "token kept for another life",
	[INJECTED_CLOCK_STOPS_IN_SUSPEND] = "clock stands still in suspension",
};

void fault_inject(enum injected fault)
{
	current = fault;
}

bool injected(enum injected fault)
{
	return current == fault;
}

const char *fault_name(enum injected fault)
{
	return names[fault];
}
