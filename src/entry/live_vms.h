/**
 * The live VMs: their names, their addresses for datagrams, and when each was
 * last heard of. Also states how often VMs have to be heard of in a fleet of a
 * given size. Times are loop times in seconds.
 */
#ifndef ENTRY_LIVE_VMS_H
#define ENTRY_LIVE_VMS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/** A live VM. */
struct live_vm {
	char *name;
	/** Address at which the VM receives datagrams. */
	struct sockaddr_in address;
	/** The VM's zone; "": unknown. Interned, because there are few. */
	const char *zone;
	/** When the VM was last heard of. */
	double last_seen_s;
};

struct live_vms;

/** Creates an empty set. */
struct live_vms *live_vms_create(void);

/** Frees the set; NULL is allowed. */
void live_vms_destroy(struct live_vms *live);

/**
 * Records that a VM is alive, its address and its zone.
 *
 * @param zone copied; "": unknown
 * @return whether the VM was not in the set before
 */
bool live_vms_record(struct live_vms *live, const char *name,
		     const struct sockaddr_in *address, const char *zone,
		     double now_s);

/** Records that a VM sent a message without its address. A VM that isn't in the
 * set stays out of it. */
void live_vms_touch(struct live_vms *live, const char *name, double now_s);

/** Counts all VMs as heard of now. */
void live_vms_touch_all(struct live_vms *live, double now_s);

/** Removes a VM that said that it stops. */
void live_vms_remove(struct live_vms *live, const char *name);

/**
 * Removes the VMs that weren't heard of for live_vms_timeout_s().
 *
 * @param removed called for each of them, before it is freed
 * @return whether any VM was removed
 */
bool live_vms_expire(struct live_vms *live, double now_s,
		     void (*removed)(void *ctx, const struct live_vm *vm),
		     void *ctx);

/** Finds a VM by name; returns NULL if it isn't in the set. */
const struct live_vm *live_vms_find(const struct live_vms *live,
				    const char *name);

/** Returns the number of VMs. */
unsigned int live_vms_count(const struct live_vms *live);

/** Calls visit() for each VM, in no particular order. */
void live_vms_each(const struct live_vms *live,
		   void (*visit)(const struct live_vm *vm, void *ctx),
		   void *ctx);

/** Returns the interval, in seconds, of each VM's reports with its address and
 * requested keys in a fleet of so many VMs. */
double live_vms_report_interval_s(unsigned int vms);

/** Returns the interval, in seconds, of the reports of a VM that doesn't hear
 * the leader: the leader may not know it. */
double live_vms_unheard_report_interval_s(unsigned int vms);

/** Returns the interval, in seconds, of each VM's load reports, which show as
 * well that it is alive. */
double live_vms_load_interval_s(unsigned int vms);

/** Returns the longest time, in seconds, for which a VM that starts leaves the
 * tables to be sent by the leader before it reads them. VMs draw their times at
 * random, so that a large fleet which starts at once does not overload the
 * store. */
double live_vms_start_wait_s(unsigned int vms);

/** Returns the time, in seconds, without a message after which a VM doesn't
 * count as alive. */
double live_vms_timeout_s(unsigned int vms);

#endif
