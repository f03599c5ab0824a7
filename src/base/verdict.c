#include "base/verdict.h"

#include <string.h>

struct reason_row {
	const char *name;
	unsigned int status;
};

static const struct reason_row reasons[REASON_COUNT] = {
	[REASON_NONE] = { "none", 200 },
	[REASON_BAD_REQUEST] = { "bad-request", 400 },
	[REASON_TOO_LARGE] = { "too-large", 413 },
	[REASON_UNKNOWN_SERVICE] = { "unknown-service", 404 },
	[REASON_NO_SETTINGS] = { "no-settings", 503 },
	[REASON_NO_OWNER] = { "no-owner", 503 },
	[REASON_NOT_OWNER] = { "not-owner", 503 },
	[REASON_NO_UPSTREAM] = { "no-upstream", 503 },
	[REASON_CONNECT_FAILED] = { "connect-failed", 503 },
	[REASON_RESET_BEFORE_SEND] = { "reset-before-send", 503 },
	[REASON_RESET_AFTER_SEND] = { "reset-after-send", 502 },
	[REASON_UPSTREAM_SHED] = { "upstream-shed", 503 },
	[REASON_UPSTREAM_COLD] = { "upstream-cold", 503 },
	[REASON_QUEUE_FULL] = { "queue-full", 503 },
	[REASON_OVERLOAD] = { "overload", 503 },
	[REASON_DEADLINE_IN_QUEUE] = { "deadline-in-queue", 503 },
	[REASON_DEADLINE_RUNNING] = { "deadline-running", 504 },
	[REASON_STALLED] = { "stalled", 504 },
	[REASON_TRUNCATED] = { "truncated", 502 },
	[REASON_CLAIM_UNAVAILABLE] = { "claim-unavailable", 503 },
	[REASON_CLAIM_IN_PROGRESS] = { "claim-in-progress", 409 },
	[REASON_OUTCOME_UNKNOWN] = { "outcome-unknown", 409 },
	[REASON_POISONED] = { "poisoned", 422 },
	[REASON_SHUTTING_DOWN] = { "shutting-down", 503 },
	[REASON_CANCELLED] = { "cancelled", 499 },
};

const char *verdict_kind_name(enum verdict_kind kind)
{
	switch (kind) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_MAY_HAVE_RUN:
		return "may-have-run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may-have-run";
}

const char *verdict_reason_name(enum verdict_reason reason)
{
	return reasons[reason].name;
}

unsigned int verdict_status(struct verdict verdict)
{
	return reasons[verdict.reason].status;
}

bool verdict_reason_parse(const char *name, enum verdict_reason *reason)
{
	int i;

	for (i = 0; i < REASON_COUNT; i++) {
		if (strcmp(reasons[i].name, name) != 0)
			continue;
		*reason = (enum verdict_reason)i;
		return true;
	}
	return false;
}
