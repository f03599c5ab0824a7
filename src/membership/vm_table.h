/**
 * Table of the upstreams' VMs. Combines the platform's VM list, which lags,
 * with the VMs' own replies. The list adds VMs and marks those that are
 * draining. Whether a VM is live or lost depends on its own replies only.
 */
#ifndef MEMBERSHIP_VM_TABLE_H
#define MEMBERSHIP_VM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "membership/vm_defs.h"

/** A VM that has not replied for this long is lost. */
#define VM_LOST_US INT64_C(1000000)
/** A VM that was neither listed nor has replied for this long is removed. */
#define VM_DROP_US INT64_C(30000000)

enum vm_state {
	/** The VM was listed but has never replied. It gets orders but no
	 * requests. */
	VM_NEW,
	/** The VM replies to orders. */
	VM_LIVE,
	/** The VM replies and is draining. It gets no new requests. */
	VM_LEAVING,
	/** The VM has replied before, but not for VM_LOST_US. */
	VM_LOST,
};

/** VMs by id, with their states. */
struct vm_table;

/** Creates an empty table; freed with vm_table_destroy(). */
struct vm_table *vm_table_create(void);

/** Frees a table and its VMs; NULL is ignored. */
void vm_table_destroy(struct vm_table *table);

/**
 * Merges the platform's VM list into the table. VMs missing from the list are
 * marked unlisted and stay in the table; see VM_DROP_US.
 *
 * @param vms copied
 */
void vm_table_apply_list(struct vm_table *table, const struct vm *vms,
			 size_t count, int64_t now_us);

/**
 * Records a VM's reply to an order.
 *
 * @param boot the VM's incarnation; a new one ends a previous draining
 * @param draining the VM said that it is draining
 * @param begun_us when the order was sent, on this daemon's clock
 * @return false when the VM is not in the table
 */
bool vm_table_record_answer(struct vm_table *table, struct str id,
			    struct str boot, bool draining, int64_t begun_us);

/** Sets a VM's limit of concurrent requests from all routers; 0: none. */
void vm_table_set_limit(struct vm_table *table, struct str id, uint32_t limit);

/** Removes unlisted VMs after VM_DROP_US without a reply. Increments the
 * version when a VM is removed or its state changes. */
void vm_table_tick(struct vm_table *table, int64_t now_us);

/** Returns the version of the table, which increases when a VM or its state
 * changes. A change that comes with time, such as the loss of a VM, counts from
 * the next vm_table_tick() on. */
uint64_t vm_table_version(const struct vm_table *table);

/** Returns the number of VMs in the table, in any state. */
size_t vm_table_count(const struct vm_table *table);

/**
 * Returns the VM at an index, in the order of ids; owned by the table.
 *
 * @param index less than vm_table_count()
 * @param state set to the VM's state; may be NULL
 */
const struct vm *vm_table_at(const struct vm_table *table, size_t index,
			     int64_t now_us, enum vm_state *state);

/** Finds a VM by its id; NULL when there is none. Owned by the table. The VM's
 * state is stored in *state, unless that is NULL. */
const struct vm *vm_table_find(const struct vm_table *table, struct str id,
			       int64_t now_us, enum vm_state *state);

/** Returns the name of a state for users: "new", "live", "leaving" or "lost".
 */
const char *vm_state_name(enum vm_state state);

#endif
