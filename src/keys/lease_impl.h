/**
 * Definitions that the files of the lease share: lease.c decides when to read,
 * write and acquire it, lease_row.c what a row of the store says.
 */
#ifndef KEYS_LEASE_IMPL_H
#define KEYS_LEASE_IMPL_H

#include "keys/lease.h"

/* The clocks of two VMs differ in speed by at most this factor. */
#define CLOCK_FACTOR 1.02
/* Number of recent writes that are remembered: a write without an answer may
 * still take effect, and the row then shows its attempt id. */
#define ATTEMPTS_MAX 16

/** A write of the row by this process. */
struct attempt {
	/** Last part of the attempt id, which counts this process's writes. */
	uint32_t number;
	/** When the write was sent, and the newest era known then. */
	double sent_s;
	uint64_t era;
};

/** Times are in seconds of this VM's loop clock unless said otherwise. */
struct lease {
	const struct loop *loop;
	struct store store;
	const struct lease_ops *ops;
	void *ctx;
	char *vm;
	char *address;
	/** Prefix of attempt ids, unique to this process. */
	char *attempt_prefix;
	/** Number of the next write. */
	uint32_t next_attempt;
	/** The newest writes; write n is at index n modulo ATTEMPTS_MAX. */
	struct attempt attempts[ATTEMPTS_MAX];
	/** This VM has acquired the lease and not lost it. */
	bool holding;
	/** Expiry of the lease while this VM holds it. */
	double held_until_s;
	/** The newest version of the row that this VM knows. */
	uint64_t version;
	/** The version that the row must have for this VM's next write; 0: it
	 * must not exist. It differs from version when the store lost rows. */
	uint64_t expect;
	/** The last version that was lower than one known before; 0: none was.
	 */
	uint64_t older_version;
	/** When version was first observed; 0 if no version was. */
	double version_seen_s;
	/** Random and configured delays before acquiring the lease. */
	double jitter_s;
	double acquire_delay_s;
	/** Expiry of another VM's lease according to the row; 0 if unknown. */
	double other_until_s;
	/** The store's clock minus this VM's, too high by at most the latency
	 * of a call. */
	double store_ahead_s;
	/** When the store's clock was compared with this VM's; 0: never. In
	 * which era. */
	double store_clock_seen_s;
	uint64_t store_clock_era;
	/** When the call in progress was sent. */
	double sent_s;
	/** A read or write of the row has no answer yet. */
	bool call_in_progress;
	/** Earliest time of the next read or write. */
	double next_call_s;
	/** Number of VMs that compete for the lease, and that number in the
	 * row. */
	unsigned int vms;
	unsigned int row_vms;
	/** Calls that failed since this VM started, until one succeeds. */
	unsigned int unread_failures;
	/** This VM has what it needs to lead. */
	bool ready;
	/** This VM knows the others. */
	bool knows_fleet;
	/** This VM is among the EARLY_VMS for the row's present version. */
	bool early;
	/** The store did not answer the last call. */
	bool store_away;
	/** When the store answered again after that; 0 if it always did. */
	double store_back_s;
	/** renewal_failing() was called since the last successful renewal. */
	bool renewal_failing;
	/** lease_stop() was called. */
	bool stopped;
	/** In lease_stop() this VM held the lease and a write was not answered
	 * yet: the lease is to be given up after that. */
	bool release_due;
};

/** Returns the loop's time, in seconds. */
static inline double lease_now(const struct lease *lease)
{
	return loop_now(lease->loop);
}

/** Returns the newest era of the store that this VM knows. */
uint64_t lease_current_era(const struct lease *lease);

/** Draws what this VM does when the present holder doesn't renew its lease. */
void lease_draw_delays(struct lease *lease);

/** Ends this VM's lease, if it holds one; reason as in struct lease_ops. */
void lease_lose(struct lease *lease, const char *reason);

/** Updates the offset of the store's clock from an answer. The offset is never
 * too low, because the store reads its clock after the call was sent. */
void lease_update_store_clock(struct lease *lease,
			      const struct store_result *result);

/** Returns the end of a lease that begins now, on the store's clock, or 0 when
 * that is unknown. It is never too early, however much faster the store's clock
 * may have run since it was read. */
double lease_until_s(const struct lease *lease, double now_s);

/** Handles a successful write of the row by this VM.
 *
 * @param era the newest one that was known when the write was sent */
void lease_record_own_write(struct lease *lease, uint64_t version,
			    double sent_s, uint64_t era);

/** Handles the row as read from the store, or as returned by a write that met a
 * conflict; store_now_s is the store's clock at the answer, or 0. */
void lease_handle_row(struct lease *lease, const struct store_row *row,
		      double store_now_s);

/** Handles that the store has no row.
 *
 * @param store_version newest version of the store */
void lease_handle_no_row(struct lease *lease, uint64_t store_version);

#endif
