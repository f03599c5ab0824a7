/**
 * Leader lease: one row of the store, renewed by conditional writes. The VM
 * that holds it is the leader. The holder measures the lease from before it
 * sent the write, other VMs from when they learned of the row's version, so the
 * lease expires at its holder before another VM can acquire it.
 */
#ifndef KEYS_LEASE_H
#define KEYS_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/loop.h"
#include "store/store.h"

/** Duration of the lease after each renewal, in seconds. */
#define LEASE_S 2.0

struct lease;

/** How the caller learns of changes of the lease. */
struct lease_ops {
	/** This VM acquired the lease. */
	void (*won)(void *ctx);
	/** This VM lost the lease and must not send orders any more; reason is
	 * a static text for the log. */
	void (*lost)(void *ctx, const char *reason);
	/** Another process wrote the row. The row names the leader VM and the
	 * address at which that VM receives datagrams; both texts are valid
	 * during the call only. */
	void (*learned)(void *ctx, const char *vm, const char *address);
	/** A renewal failed or is overdue; the lease has not expired yet. */
	void (*renewal_failing)(void *ctx);
	/** The row says that this VM, which stops, gave the lease up. */
	void (*released)(void *ctx);
};

/**
 * Creates the lease's state on this VM, which does not hold the lease at first.
 *
 * @param ops must outlive the lease
 * @param ctx passed to every operation
 * @param vm name of this VM; copied
 * @param address address at which this VM receives datagrams; copied
 * @return the state; the caller frees it with lease_destroy()
 */
struct lease *lease_create(const struct loop *loop, const struct store *store,
			   const struct lease_ops *ops, void *ctx,
			   const char *vm, const char *address);

/** Frees the state without giving the lease up; NULL is allowed. The store must
 * not answer a read or write of the lease afterwards. */
void lease_destroy(struct lease *lease);

/** Sets how many seconds longer than other VMs this VM waits before it tries to
 * acquire an expired lease; 0 by default. */
void lease_set_acquire_delay(struct lease *lease, double acquire_delay_s);

/** Returns the number of VMs that the last leader knew, according to the row;
 * 0: unknown. */
unsigned int lease_row_vms(const struct lease *lease);

/** Sets whether this VM has what it needs to lead; initially it has. A VM that
 * hasn't leaves a free lease to the others for a second. */
void lease_set_ready(struct lease *lease, bool ready);

/** Sets the number of VMs that compete for the lease. The more there are, the
 * fewer of them call the store when the holder is silent or the store doesn't
 * answer. */
void lease_set_vms(struct lease *lease, unsigned int vms);

/** Begins to compete for the lease at a random time within a fraction of a
 * second, because a whole fleet starts at once and nobody waits for it. */
void lease_begin(struct lease *lease);

/** Renews, acquires or reads the lease when due; call about every 50 ms. */
void lease_tick(struct lease *lease);

/** Reports a version of the row that another VM has observed. A version newer
 * than this VM knows ends this VM's lease, because another VM wrote the row. */
void lease_observe_version(struct lease *lease, uint64_t version);

/** Reports that the holder gave the lease up by a version of the row, which is
 * free as long as it has this version. */
void lease_observe_release(struct lease *lease, uint64_t version);

/** Sets whether this VM can reach the others at once if it leads; initially it
 * can. A VM that has just started can't, and leaves a free lease to those that
 * can for a moment. */
void lease_set_knows_fleet(struct lease *lease, bool knows_fleet);

/** Whether this VM holds the lease for at least for_s more seconds. */
bool lease_held(const struct lease *lease, double for_s);

/** Returns the seconds for which this VM still holds the lease; 0: it doesn't.
 */
double lease_left_s(const struct lease *lease);

/** Returns the last known version of the lease's row; 0 if none is known. */
uint64_t lease_version(const struct lease *lease);

/** Gives the lease up, so that another VM can acquire it at once. This VM does
 * not acquire it again. */
void lease_stop(struct lease *lease);

#endif
