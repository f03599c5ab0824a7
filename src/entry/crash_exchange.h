/**
 * Makes all VMs block the same requests. Each VM reports the crashes that it
 * recognized to the leader. The leader counts them, lists all blocked requests
 * in every heartbeat and keeps the list in the store, so that a VM that starts
 * or was out of reach learns them, and so does the next leader. Not
 * thread-safe.
 */
#ifndef ENTRY_CRASH_EXCHANGE_H
#define ENTRY_CRASH_EXCHANGE_H

#include "entry/crash_watch.h"
#include "store/store.h"
#include "wire/entry.pb-c.h"

/** Key of the row with the blocked requests, in the table of owner maps. The
 * names of services, which are the other keys there, have no slash. */
#define BLOCKED_KEY "/blocked-requests"

struct crash_exchange;

/** What the pointers refer to must outlive the exchange. */
struct crash_exchange_options {
	const struct loop *loop;
	struct store store;
	struct crash_watch *crashes;
	/** Called when there is something that the other VMs should learn
	 * soon. */
	void (*changed)(void *ctx);
	void *ctx;
};

/** Creates an exchange; freed with crash_exchange_destroy(). */
struct crash_exchange *
crash_exchange_create(const struct crash_exchange_options *options);

/** Frees the exchange; NULL is allowed. The store must be gone, or no save may
 * be in progress. */
void crash_exchange_destroy(struct crash_exchange *exchange);

/** Reports a crash that this VM recognized. */
void crash_exchange_add_crash(struct crash_exchange *exchange,
			      const struct crash *crash);

/** Reports that an answer cleared a blamed request. */
void crash_exchange_add_cleared(struct crash_exchange *exchange,
				uint64_t request);

/** Reports that a blocked request came again. */
void crash_exchange_add_refused(struct crash_exchange *exchange,
				uint64_t request);

/** Reports everything once more: there is a new leader. */
void crash_exchange_resend(struct crash_exchange *exchange);

/** Returns whether there is anything to report. */
bool crash_exchange_has_reports(const struct crash_exchange *exchange);

/**
 * Adds to a report what the leader may not know yet.
 *
 * @param report crash_exchange_release_report() frees what is added
 */
void crash_exchange_fill_report(const struct crash_exchange *exchange,
				VmReport *report);
void crash_exchange_release_report(VmReport *report);

/**
 * Adds the blocked requests, and those that were cleared lately, to a
 * heartbeat.
 *
 * @param beat crash_exchange_release_beat() frees what is added
 */
void crash_exchange_fill_beat(const struct crash_exchange *exchange,
			      LeaderBeat *beat);
void crash_exchange_release_beat(LeaderBeat *beat);

/** Applies the report of another VM. */
void crash_exchange_apply_report(struct crash_exchange *exchange,
				 const VmReport *report);

/** Applies a heartbeat of the leader. */
void crash_exchange_apply_beat(struct crash_exchange *exchange,
			       const LeaderBeat *beat);

/** Applies the row with the blocked requests, unless it was applied before. */
void crash_exchange_load(struct crash_exchange *exchange,
			 const struct store_row *row);

/** As leader, saves the blocked requests if they changed; called often. */
void crash_exchange_save(struct crash_exchange *exchange);

#endif
