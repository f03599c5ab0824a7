/**
 * Whether this VM knows the newest configuration. A VM that was cut off or
 * frozen holds an earlier one, in which an API key may be valid that has been
 * removed since. Times are seconds on one clock, which the caller passes in and
 * which continues while the VM is suspended.
 */
#ifndef CUSTOMERS_CONFIG_CONTACT_H
#define CUSTOMERS_CONFIG_CONTACT_H

#include <stdbool.h>

/** What is known about the configuration; zero-initialized: nothing. */
struct config_contact {
	/** When the configuration was last known to be the newest; 0: never. */
	double confirmed_s;
	/** When the store last answered this VM itself; 0: never. */
	double answered_s;
	/** When config_contact_tick() was last called; 0: never. */
	double tick_s;
	/** When the first tick after a time without any came; 0: never. */
	double resumed_s;
};

/** Records that the process runs; to be called about every 50 ms. */
void config_contact_tick(struct config_contact *contact, double now_s);

/**
 * Records that the store answered.
 *
 * @param asked_s when the store was asked. Ignored if the process was frozen
 *        since, because the answer may be as old
 */
void config_contact_store_answered(struct config_contact *contact,
				   double asked_s, double now_s);

/**
 * Records that another VM, which watches the store or relies on one that does,
 * knows no newer configuration.
 *
 * @param heard_s when its message arrived. Ignored if that was before the
 *        process resumed or a moment later, because the message may have been
 *        in the socket's buffer while the process was frozen
 */
void config_contact_peer_heard(struct config_contact *contact, double heard_s);

/**
 * Records that another VM tells when the store answered it, and knows no newer
 * configuration.
 *
 * @param heard_s see config_contact_peer_heard()
 * @param answered_s when the store answered that VM; 0: unknown
 */
void config_contact_peer_told(struct config_contact *contact, double heard_s,
			      double answered_s);

/**
 * Returns whether a message that arrived at heard_s is as recent as that: the
 * process isn't frozen, and the message was not in the socket's buffer while it
 * was.
 */
bool config_contact_trusts(const struct config_contact *contact, double heard_s,
			   double now_s);

/** Returns the seconds since the configuration was last known to be the newest;
 * -1: it never was. */
double config_contact_age_s(const struct config_contact *contact, double now_s);

/** Returns the seconds since the store answered this VM itself; -1: never. */
double config_contact_answer_age_s(const struct config_contact *contact,
				   double now_s);

/** Returns whether the configuration was the newest at most age_s ago. */
bool config_contact_is_current(const struct config_contact *contact,
			       double age_s, double now_s);

#endif
