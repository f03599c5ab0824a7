/**
 * Account of the requests that many VMs send together under a limit per second:
 * a token bucket, and how much is wanted. The leader keeps it from the VMs'
 * reports and sends its figures to them; each VM draws from them. Used for the
 * limits of upstreams and for the quotas of customers. Times are seconds on one
 * clock, which the caller passes in.
 */
#ifndef BALANCE_RATE_ACCOUNT_H
#define BALANCE_RATE_ACCOUNT_H

#include <stdbool.h>

/** What an account allows. */
struct rate_terms {
	/** Requests per second. */
	double per_s;
	/** Bounds of the level. */
	double level_min, level_max;
	/** Time constant of the smoothed rate of wanted requests, in seconds.
	 */
	double smooth_s;
};

/** An account; zero-initialized: new, with level 0. */
struct rate_account {
	/** Requests that may be sent now; negative after too many. */
	double level;
	/** When level was last raised by the rate; 0: never. */
	double level_s;
	/** Smoothed number per second of requests that were to be sent,
	 * whether admitted or not. */
	double wanted_per_s;
	/** Such requests since wanted_per_s was last updated, and when that
	 * was. */
	double wanted;
	double wanted_s;
};

/** Brings an account's figures up to date; call before reading them. */
void rate_account_update(struct rate_account *account,
			 const struct rate_terms *terms, double now_s);

/**
 * Charges requests of a VM.
 *
 * @param sent requests that the VM sent
 * @param wanted requests that the VM sent or did not admit
 */
void rate_account_charge(struct rate_account *account,
			 const struct rate_terms *terms, unsigned int sent,
			 unsigned int wanted, double now_s);

/**
 * Decides whether a VM may send a request, such that all requests share what is
 * available.
 *
 * @param available requests that may be sent within some time
 * @param wanted requests that all VMs want to send within that time
 * @param random from 0 up to, but not including, 1
 */
bool rate_account_draw(double available, double wanted, double random);

#endif
