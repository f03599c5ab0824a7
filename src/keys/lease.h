/**
 * Which VM leads: a lease in one row of the store, renewed by writes under a
 * condition. The holder counts its lease from before it sent the write; others
 * count from when they learned of the row's version. So the lease is over for
 * its holder before anyone else can take it.
 */
#ifndef KEYS_LEASE_H
#define KEYS_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/loop.h"
#include "store/store.h"

/** How long a lease lasts. */
#define LEASE_S 2.0

struct lease;

struct lease_ops {
	void (*won)(void *ctx);
	/** No more orders from here. */
	void (*lost)(void *ctx, const char *reason);
	/** The row was read or written: who leads, as far as it says. */
	void (*learned)(void *ctx, const char *vm, const char *address);
	/** A renewal failed or is overdue, while the lease still runs. */
	void (*troubled)(void *ctx);
};

/**
 * Creates one that holds nothing.
 *
 * @param vm name of this VM
 * @param address where it gets datagrams
 */
struct lease *lease_create(const struct loop *loop, const struct store *store,
			   const struct lease_ops *ops, void *ctx,
			   const char *vm, const char *address);
void lease_destroy(struct lease *lease);

/** Lets this VM wait so many seconds longer than others before it takes a lease
 * that is free. */
void lease_set_acquire_delay(struct lease *lease, double handicap_s);

/** To be called every 50 ms or so. */
void lease_tick(struct lease *lease);

/** Notes a version of the row that another VM told of. */
void lease_observe_version(struct lease *lease, uint64_t version);

/** Whether this VM leads, for at least so many seconds more. */
bool lease_held(const struct lease *lease, double for_s);

/** Version of the row that is held, or last seen. */
uint64_t lease_version(const struct lease *lease);

/** Gives the lease up, so that another VM takes it at once. */
void lease_stop(struct lease *lease);

#endif
