/**
 * The list of VMs as the platform shows it: what was registered some time ago.
 * Not thread safe.
 */
#ifndef PLATFORM_VMS_H
#define PLATFORM_VMS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct vm_list;

struct vm_list *vm_list_create(void);
void vm_list_destroy(struct vm_list *list);

/**
 * Registers VMs. A VM replaces the one of the same id; "state" "gone" removes
 * it.
 *
 * @param vms array of VMs
 * @param replace forget all others
 * @param now_us when the change was made
 */
void vm_list_register(struct vm_list *list, const json_t *vms, bool replace,
		      int64_t now_us);

/**
 * The list as it stood some time ago.
 *
 * @param at_us the instant
 * @return {"vms": [...]}, a new reference
 */
json_t *vm_list_at(struct vm_list *list, int64_t at_us);

#endif
