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

/** Creates the fakes; violations are recorded with the oracle. */
struct vms *vms_create(struct oracle *oracle);
void vms_destroy(struct vms *vms);

/** Lets one fake upstream die, start, leave, or toggles its connection. */
void vms_change(struct vms *vms, uint8_t choice);

/** Polls the upstreams, at random times applies an old list, and checks. */
void vms_step(struct vms *vms, GRand *rng, int64_t now_us);

#endif
