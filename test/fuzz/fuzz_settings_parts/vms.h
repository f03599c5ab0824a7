/**
 * Fake upstreams behind a lagging list, and one daemon's table of VMs.
 */
#ifndef FUZZ_SETTINGS_VMS_H
#define FUZZ_SETTINGS_VMS_H

#include <glib.h>
#include <stdint.h>

struct oracle;
struct vms;

/** What is broken is noted with the oracle. */
struct vms *vms_create(struct oracle *oracle);
void vms_destroy(struct vms *vms);

/** Lets one fake upstream die, start, leave, or be cut off, by chance. */
void vms_change(struct vms *vms, uint8_t choice);

/** Asks the upstreams, takes an old list over by chance, and checks. */
void vms_step(struct vms *vms, GRand *rng, int64_t now_us);

#endif
