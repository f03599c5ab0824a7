/**
 * VMs that the leader no longer hears and that didn't say that they stop. They
 * may serve callers as before, so that the leader leaves them their shares of
 * the quotas. Times are seconds on one clock, which the caller passes in.
 */
#ifndef CUSTOMERS_LOST_VMS_H
#define CUSTOMERS_LOST_VMS_H

struct lost_vms;

/** Creates an empty set. */
struct lost_vms *lost_vms_create(void);
/** Frees the set; NULL is allowed. */
void lost_vms_destroy(struct lost_vms *lost);

/** Begins anew, because this VM begins to lead.
 *
 * @param count VMs that the previous leader had lost, as far as is known */
void lost_vms_begin(struct lost_vms *lost, unsigned int count, double now_s);

/** Records that a VM was lost. */
void lost_vms_add(struct lost_vms *lost, const char *name, double now_s);
/** Records that a VM was heard again, or that it stops. */
void lost_vms_remove(struct lost_vms *lost, const char *name);

/** Returns the number of lost VMs, without those that have been lost for so
 * long that they are taken to be gone. */
unsigned int lost_vms_count(struct lost_vms *lost, double now_s);

#endif
