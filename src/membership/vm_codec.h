/**
 * Lists of VMs: the platform's JSON and the wire's VmList.
 */
#ifndef MEMBERSHIP_VM_CODEC_H
#define MEMBERSHIP_VM_CODEC_H

#include <glib.h>

#include "base/str.h"
#include "membership/vm_defs.h"
#include "wire/auburn.pb-c.h"

/** VMs that belong to the list. */
struct vm_list {
	struct vm *vms;
	size_t count;
	/** Names the entries that could not be read; NULL: none. */
	char *skipped;
};

/** Frees the VMs and their texts; the structure itself is the caller's. */
void vm_list_clear(struct vm_list *list);

/** Copies a VM; freed with vm_clear(). */
struct vm vm_copy(const struct vm *vm);

/** Frees the texts of a VM. */
void vm_clear(struct vm *vm);

/**
 * Reads the answer of GET /vms. An entry that can't be read is skipped and
 * named in the list, so that it does not cost the others.
 *
 * @param list filled on success; freed with vm_list_clear()
 * @param error AUBURN_ERROR_PROTOCOL: it is no list at all
 */
bool vm_list_parse(struct str json, struct vm_list *list, GError **error);

/**
 * Fills the wire's form. The message borrows the texts of the list and owns
 * the rest; freed with vm_list_wire_free().
 */
VmList *vm_list_to_wire(const struct vm_list *list, uint64_t version);

void vm_list_wire_free(VmList *message);

/**
 * Reads the wire's form.
 *
 * @param list filled on success; freed with vm_list_clear()
 * @param error AUBURN_ERROR_PROTOCOL
 */
bool vm_list_from_wire(const VmList *message, struct vm_list *list,
		       GError **error);

#endif
