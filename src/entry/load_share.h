/**
 * What VMs tell each other of upstreams' load by way of the leader: requests in
 * flight, how fast answers come, failures. A VM alone sees few answers of each
 * upstream; all together see all.
 */
#ifndef ENTRY_LOAD_SHARE_H
#define ENTRY_LOAD_SHARE_H

#include "entry/roster.h"
#include "wire/entry.pb-c.h"

struct load_share;

struct load_share *load_share_create(const struct loop *loop,
				     struct roster *roster);
void load_share_destroy(struct load_share *share);

/**
 * Lists what happened on this VM since the last call.
 *
 * @return messages of UpstreamLoad; the caller frees the array
 */
GPtrArray *load_share_own(struct load_share *share);

/** The leader takes a VM's list. */
void load_share_take(struct load_share *share, const char *vm,
		     UpstreamLoad *const *loads, size_t count);

/** The leader forgets a VM. */
void load_share_forget(struct load_share *share, const char *vm);

/**
 * Lists what all VMs together told the leader.
 *
 * @param outcomes also what ended since they were last asked for
 * @return a message but for the lease; freed with leader_loads_free()
 */
LeaderLoads *load_share_totals(struct load_share *share, bool outcomes);
void leader_loads_free(LeaderLoads *loads);

/** A VM takes the leader's list. */
void load_share_apply(struct load_share *share, const LeaderLoads *loads);

#endif
