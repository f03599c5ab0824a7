/**
 * The limit that an upstream in need names in its answers: the requests per
 * second that it takes from all VMs together. This VM's view of it, and the
 * leader's account of what all VMs send. Times are seconds on one clock, which
 * the caller passes in.
 */
#ifndef BALANCE_UPSTREAM_LIMIT_H
#define BALANCE_UPSTREAM_LIMIT_H

#include <stdbool.h>

/** One upstream's limit as this VM knows it; zero-initialized: none. */
struct upstream_limit {
	/** Requests per second from all VMs; meaningful while limited. */
	double per_s;
	/** The upstream names a limit. */
	bool limited;
	/** When an answer to this VM last named the limit. */
	double named_s;
};

/**
 * Applies what an answer of the upstream says.
 *
 * @param per_s the limit that the answer names; negative: it names none, which
 *        ends the limit if the request was sent after the last answer that
 * named one
 * @param sent_s when the request was sent
 * @return whether the limit began, changed or ended
 */
bool upstream_limit_apply_answer(struct upstream_limit *limit, double per_s,
				 double sent_s, double now_s);

#endif
