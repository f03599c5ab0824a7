/**
 * Quota of one customer over all VMs: a rate and a burst. The leader keeps an
 * account of it, from which all VMs draw. A VM without a fresh account spends
 * its share of the rate. Decides without I/O; times are seconds on one clock,
 * which the caller passes in.
 */
#ifndef CUSTOMERS_QUOTA_H
#define CUSTOMERS_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/rate_account.h"

/** Number of VMs that is assumed until it is known: the bound then holds for as
 * many. */
#define QUOTA_VMS_UNKNOWN 512
/** Parts of the window in which a VM counts its requests, and one more for the
 * current part. */
#define QUOTA_WINDOW_PARTS 20

/** How strictly quotas are kept: within any window_s, no more than
 * (rate x window_s + burst) x (1 + overshoot) + slack requests. */
struct quota_bounds {
	double window_s;
	double overshoot;
	double slack;
};

/** A customer's quota. */
struct quota_limit {
	/** Requests per second; 0: no limit. */
	double per_s;
	/** Requests beyond that in any time. */
	double burst;
};

/** A VM's requests within the last window; zero-initialized: none. */
struct quota_log {
	uint16_t counts[QUOTA_WINDOW_PARTS + 1];
	/** Number of the current part, counted from time 0. */
	uint64_t part;
};

/** A customer's quota as one VM knows it; zero-initialized: no limit. */
struct quota {
	struct quota_limit limit;
	/** Copies of the leader's figures, if the leader listed the quota;
	 * otherwise its account is well filled. */
	bool listed;
	double level;
	double wanted_per_s;
	/** Requests that this VM sent and the account may not include yet. */
	unsigned int sent_since_account;
	/** Not reported to the leader yet: requests that were sent, and those
	 * that were to be sent. */
	unsigned int unreported_sent;
	unsigned int unreported_wanted;
	/** Position of this VM's share among those of all VMs, from 0 up to,
	 * but not including, 1; random. */
	double phase;
	struct quota_log sent;
};

/** What all quotas of a VM have in common. */
struct quota_view {
	struct quota_bounds bounds;
	/** The leader's accounts are fresh. */
	bool has_accounts;
	/** Since when they aren't. */
	double share_since_s;
	/** Number of VMs that share the rates; 0: unknown. */
	unsigned int vms;
};

/**
 * Decides whether a request may be sent.
 *
 * @param random from 0 up to, but not including, 1
 * @param retry_after_s set to the time until there is probably room, if the
 *        request isn't admitted
 */
bool quota_admits(const struct quota *quota, const struct quota_view *view,
		  double random, double now_s, double *retry_after_s);

/** Counts a request that is to be sent, whether it is admitted or not. */
void quota_record_wanted(struct quota *quota);

/** Counts a request that was sent. */
void quota_record_send(struct quota *quota, const struct quota_view *view,
		       double now_s);

/** Applies the leader's account.
 *
 * @param account NULL if the leader didn't list it */
void quota_apply_account(struct quota *quota,
			 const struct rate_account *account);

/**
 * Returns what an account allows.
 *
 * @param share share of the rate that the VMs which the leader hears may spend;
 *        the others may spend the rest
 */
struct rate_terms quota_terms(const struct quota_limit *limit,
			      const struct quota_bounds *bounds, double share);

/** Returns whether an account is so well filled that VMs need not know it. */
bool quota_account_is_full(const struct rate_account *account,
			   const struct rate_terms *terms);

#endif
