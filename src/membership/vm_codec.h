/**
 * Reads VM lists from the platform's JSON; converts them to and from the wire's
 * VmList message.
 */
#ifndef MEMBERSHIP_VM_CODEC_H
#define MEMBERSHIP_VM_CODEC_H

#include <glib.h>

#include "base/str.h"
#include "membership/vm_defs.h"
#include "wire/auburn.pb-c.h"

/** A list of VMs, which the list owns. */
struct vm_list {
	struct vm *vms;
	size_t count;
	/** Text for a log that names the first malformed entries, each by its
	 * id and with the reason; NULL when there are none. */
	char *skipped;
};

/** Frees the VMs and their texts; the structure itself is the caller's. */
void vm_list_clear(struct vm_list *list);

/** Copies a VM with its texts; freed with vm_clear(). */
struct vm vm_copy(const struct vm *vm);

/** Frees the texts of a VM and zeroes it. */
void vm_clear(struct vm *vm);

/**
 * Parses the platform's answer to GET /vms. Malformed entries are skipped, and
 * the first of them named in list->skipped; the others are kept.
 *
 * @param list filled on success; freed with vm_list_clear()
 * @param error AUBURN_ERROR_PROTOCOL when the text is no JSON or has no array
 *        "vms", or the array is too long
 */
bool vm_list_parse(struct str json, struct vm_list *list, GError **error);

/**
 * Creates a VmList message; freed with vm_list_wire_free(). The message points
 * to texts of the list, so the list must outlive the message.
 *
 * @param version version of the VM table that the list was made from
 */
VmList *vm_list_to_wire(const struct vm_list *list, uint64_t version);

/** Frees a message of vm_list_to_wire(). */
void vm_list_wire_free(VmList *message);

/**
 * Reads a VmList message.
 *
 * @param list filled on success; freed with vm_list_clear()
 * @param error AUBURN_ERROR_PROTOCOL when any entry is malformed
 */
bool vm_list_from_wire(const VmList *message, struct vm_list *list,
		       GError **error);

#endif
