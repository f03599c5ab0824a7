/**
 * The platform's list of VMs with its history, so that it can be served with a
 * lag. Not thread safe.
 */
#ifndef PLATFORM_VMS_H
#define PLATFORM_VMS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct vm_list;

/** Creates an empty list; vm_list_destroy() frees it. */
struct vm_list *vm_list_create(void);
void vm_list_destroy(struct vm_list *list);

/**
 * Adds VMs to the list. A VM replaces the one with the same "id", if any. A VM
 * whose "state" is "gone" is removed instead.
 *
 * @param vms JSON array of VMs
 * @param replace whether to drop the VMs that are not in vms
 * @param now_us time of the change, monotonic clock, microseconds
 */
void vm_list_register(struct vm_list *list, const json_t *vms, bool replace,
		      int64_t now_us);

/**
 * Returns the list as it was at a past time, or the oldest list that the
 * history still has. The history holds the lists of the last 64 changes.
 *
 * @param at_us the past time; monotonic clock, microseconds
 * @return {"vms": [...]}, a new reference
 */
json_t *vm_list_at(struct vm_list *list, int64_t at_us);

#endif
