/**
 * Recorded run and its judgement, shared by rules.c and the files that check
 * one rule each.
 */
#ifndef SOAK_RULES_IMPL_H
#define SOAK_RULES_IMPL_H

#include <glib.h>

#include "rules.h"

/** A VM is in touch when nothing disrupted it or the store for this time. */
#define STABLE_WINDOW_US ((int64_t)3 * G_USEC_PER_SEC)
/** Keys are the numbers below this one. */
#define KEYS 65536

struct disruption {
	enum rules_disruption kind;
	unsigned int place;
	int64_t from_us, until_us;
};

/** A request that reached an upstream. */
struct arrival {
	const struct rules_request *request;
	unsigned int upstream;
	int service, key;
	int64_t at_us;
	bool executed;
};

/** An upstream's entry in the store from a moment on. */
struct entry {
	unsigned int upstream;
	int64_t at_us;
	bool leaving;
};

enum grant_kind { GRANT, RELEASE, START };

/** A change of the keys that an upstream holds. */
struct grant {
	enum grant_kind kind;
	unsigned int upstream;
	int from, to;
	guint64 fence;
	int64_t at_us, hold_us;
};

struct rules {
	const char *const *services;
	int64_t start_us;
	/** Arrays of struct disruption, rules_config, arrival, entry, grant and
	 * of pointers to struct rules_request. */
	GArray *disruptions, *configs, *arrivals, *entries, *grants;
	GPtrArray *requests;
	rules_report_fn report;
	void *ctx;
	/** What was executed or refused with 404, and how much of that by VMs
	 * in touch. */
	struct rules_counts counts;
	/** Violations of the rule that is being checked. */
	unsigned int violations;
};

/** Returns the index of a service, or RULES_NO_ROUTE. */
int rules_service(const struct rules *rules, const char *name);

/** Returns whether a disruption acted at any moment of a span. */
bool rules_disrupted(const struct rules *rules, enum rules_disruption kind,
		     unsigned int place, int64_t from_us, int64_t until_us);

/** Returns whether a VM is in touch at all moments of a span. */
bool rules_in_touch(const struct rules *rules, unsigned int vm, int64_t from_us,
		    int64_t until_us);

/** Counts a violation, and reports the first ones of a rule. */
__attribute__((format(printf, 2, 3))) void
rules_violation(struct rules *rules, const char *format, ...);

void rules_check_config(struct rules *rules);
void rules_check_denied(struct rules *rules);
void rules_check_drain(struct rules *rules);
void rules_check_owner(struct rules *rules);

#endif
