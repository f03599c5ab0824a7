/**
 * The upstreams' VMs: the platform's lagging list combined with what is seen
 * directly. The list adds VMs and says that they leave; whether a VM is alive
 * is decided by its own answers only.
 */
#ifndef MEMBERSHIP_VM_TABLE_H
#define MEMBERSHIP_VM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "membership/vm_defs.h"

/** Without an answer for this long a VM is lost. */
#define VM_LOST_US INT64_C(1000000)
/** A VM that is neither listed nor answers for this long is dropped. */
#define VM_DROP_US INT64_C(30000000)

enum vm_state {
	/** Listed, never answered: to be asked, gets no work. */
	VM_NEW,
	/** Answers. */
	VM_LIVE,
	/** Answers and leaves: no new work. */
	VM_LEAVING,
	/** Answered once and does so no more. */
	VM_LOST,
};

struct vm_table;

struct vm_table *vm_table_create(void);

void vm_table_destroy(struct vm_table *table);

/**
 * Takes in a list from the platform.
 *
 * @param vms copied
 */
void vm_table_apply_list(struct vm_table *table, const struct vm *vms,
			 size_t count, int64_t now_us);

/**
 * A VM answered.
 *
 * @param boot its incarnation
 * @param draining it said that it leaves
 * @param begun_us start of the exchange on this daemon's clock
 * @return false when there is no such VM
 */
bool vm_table_record_answer(struct vm_table *table, struct str id,
			    struct str boot, bool draining, int64_t begun_us);

/** Sets the fleet's limit of concurrent requests to a VM; 0: none. */
void vm_table_set_limit(struct vm_table *table, struct str id, uint32_t limit);

/** Drops VMs that are long gone. */
void vm_table_tick(struct vm_table *table, int64_t now_us);

/** Grows whenever a VM or its state changes. */
uint64_t vm_table_version(const struct vm_table *table);

size_t vm_table_count(const struct vm_table *table);

/**
 * The VM at an index, in the order of ids.
 *
 * @param state set to its state; may be NULL
 */
const struct vm *vm_table_at(const struct vm_table *table, size_t index,
			     int64_t now_us, enum vm_state *state);

/** Finds a VM by its id; NULL when there is none. */
const struct vm *vm_table_find(const struct vm_table *table, struct str id,
			       int64_t now_us, enum vm_state *state);

/** "new", "live", "leaving" or "lost". */
const char *vm_state_name(enum vm_state state);

#endif
