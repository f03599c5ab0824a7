#include "base/planted.h"

static enum planted current;

static const char *const names[PLANTED_COUNT] = {
	[PLANTED_NONE] = "none",
	[PLANTED_CLAIM_AFTER_SEND] = "claim after send",
	[PLANTED_CLAIM_UNREAD] = "claim not read back",
	[PLANTED_RETRY_MAY_HAVE_RUN] = "retry after may have run",
	[PLANTED_SAY_NOT_RUN] = "not run said after send",
	[PLANTED_TRUNCATED_COMPLETE] = "truncated passed as complete",
	[PLANTED_SHARE_FOREVER] = "share used after its end",
	[PLANTED_SHARE_PER_ROUTER] = "limit per router",
	[PLANTED_HOLDER_AT_ONCE] = "new holder does not wait",
	[PLANTED_INCARNATION_WARM] = "new incarnation warm",
	[PLANTED_BLAME_NEIGHBOURS] = "neighbours blamed",
	[PLANTED_NO_TRIALS] = "suspects side by side",
	[PLANTED_FORGET_DEATHS] = "deaths not counted",
	[PLANTED_IGNORE_LEAVING] = "leaving ignored",
	[PLANTED_REUSE_SUSPECT] = "suspect connection used",
	[PLANTED_PUBLISH_UNREAD] = "publish not read back",
	[PLANTED_SPREAD_REVERT] = "lower version taken over",
	[PLANTED_SPREAD_ALWAYS_VALID] = "settings always relied on",
	[PLANTED_VM_LIST_KILLS] = "list kills a VM",
	[PLANTED_VM_LIST_REVIVES] = "list revives a VM",
	[PLANTED_NO_INHERITED_WAIT] = "no wait for the last leader's grants",
	[PLANTED_FORGET_UNANSWERED] = "unanswered grants forgotten",
	[PLANTED_TOKEN_KEPT] = "token kept for another life",
	[PLANTED_CLOCK_STANDS_STILL] = "clock stands still in suspension",
};

void planted_set(enum planted fault)
{
	current = fault;
}

bool planted(enum planted fault)
{
	return current == fault;
}

const char *planted_name(enum planted fault)
{
	return names[fault];
}
