/**
 * Limits that upstreams in need name in their answers: the requests per second
 * that one takes from all VMs together. Each VM reports what it sends and what
 * it would send; the leader keeps an account of each limited upstream, from
 * which every VM draws the requests that it may send. Times are seconds on one
 * clock, which the caller passes in.
 */
#ifndef BALANCE_UPSTREAM_LIMIT_H
#define BALANCE_UPSTREAM_LIMIT_H

#include <stdbool.h>

#include "balance/rate_account.h"

/** The leader's account of a limited upstream; zero-initialized: new. */
struct limit_account {
	/** Requests per second that the upstream takes. */
	double per_s;
	struct rate_account flow;
	/** When a VM last reported that an answer named the limit. */
	double named_s;
};

/** Records a limit that a VM reports from an answer. */
void limit_account_name(struct limit_account *account, double per_s,
			double now_s);

/**
 * Charges requests of a VM to the account.
 *
 * @param sent requests that the VM sent
 * @param wanted requests that the VM sent or did not admit
 */
void limit_account_charge(struct limit_account *account, unsigned int sent,
			  unsigned int wanted, double now_s);

/** Brings the account's figures up to date; call before reading them. */
void limit_account_update(struct limit_account *account, double now_s);

/** Returns whether no VM has reported the limit for so long that it is taken to
 * have ended. */
bool limit_account_expired(const struct limit_account *account, double now_s);

/** One upstream's limit as this VM knows it; zero-initialized: none. */
struct upstream_limit {
	/** The upstream names a limit. The other members matter only then,
	 * except those about reports. */
	bool limited;
	/** Requests per second from all VMs. */
	double per_s;
	/** When the limit began, as far as this VM knows, and when an answer
	 * to this VM last named it; 0: never. */
	double begun_s;
	double named_s;
	/** Copies of the account's figures, and when they arrived; 0: never. */
	double level;
	double wanted_per_s;
	double account_s;
	/** Requests that this VM sent and the account may not include yet. */
	unsigned int sent_since_account;
	/** Requests that this VM may send while it has no account, and when
	 * that number was last raised; 0: it isn't set yet. */
	double own_tokens;
	double own_tokens_s;
	/** Not reported to the leader yet: requests sent, requests wanted, and
	 * whether an answer named the limit or showed that it ended. */
	unsigned int unreported_sent;
	unsigned int unreported_wanted;
	bool unreported_named;
	bool unreported_end;
};

/**
 * Applies what an answer of the upstream says.
 *
 * @param per_s the limit that the answer names; negative: it names none, which
 *        ends the limit if the request was sent after this VM last learned of
 * it
 * @param sent_s when the request was sent
 * @return whether the limit began, changed or ended
 */
bool upstream_limit_apply_answer(struct upstream_limit *limit, double per_s,
				 double sent_s, double now_s);

/** Applies the leader's account. */
void upstream_limit_apply_account(struct upstream_limit *limit,
				  const struct limit_account *account,
				  double now_s);

/** Records that the leader has no account of the upstream: the limit has ended,
 * unless an answer named it a moment ago. */
void upstream_limit_no_account(struct upstream_limit *limit, double now_s);

/** What upstream_limit_admits() needs besides the limit. */
struct limit_draw {
	/** Number of live VMs. */
	unsigned int vms;
	/** Time between two messages with accounts, in seconds. */
	double interval_s;
	/** Random number from 0 up to, but not including, 1. */
	double random;
	/** The request has not been tried with this upstream before. */
	bool first;
};

/**
 * Decides whether a request may be sent to the upstream now.
 *
 * @return true always, if the upstream names no limit
 */
bool upstream_limit_admits(struct upstream_limit *limit,
			   const struct limit_draw *draw, double now_s);

/** Returns whether more requests come than the limit allows, so that one that
 * was not admitted should not wait. */
bool upstream_limit_exceeded(const struct upstream_limit *limit, double now_s);

/** Records that a request was sent. */
void upstream_limit_record_send(struct upstream_limit *limit);

#endif
