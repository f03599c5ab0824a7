/**
 * Fake upstreams, a VM list that lags behind them, and one daemon's VM table,
 * which is checked.
 */
#ifndef FUZZ_SETTINGS_VMS_H
#define FUZZ_SETTINGS_VMS_H

#include <glib.h>
#include <stdint.h>

struct oracle;
struct vms;

/** Creates the fakes; free them with vms_destroy(). Violations are recorded
 * with the oracle, which is borrowed. */
struct vms *vms_create(struct oracle *oracle);
void vms_destroy(struct vms *vms);

/** Makes one fake upstream die, start or leave, or cuts or restores its
 * connection; choice selects the upstream and the change. */
void vms_change(struct vms *vms, uint8_t choice);

/** Polls the upstreams, at random times applies an old list, and checks the VM
 * table. */
void vms_step(struct vms *vms, GRand *rng, int64_t now_us);

#endif
