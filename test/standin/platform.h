/**
 * The platform's services in one process: table, objects and list of VMs,
 * with switches that make them fail.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdint.h>

#include "common_http.h"

struct platform;

/**
 * Creates an empty platform.
 *
 * @param seed seeds the choice of lost answers
 */
struct platform *platform_create(uint64_t seed);

void platform_destroy(struct platform *platform);

/** A standin_handler; ctx is the platform. */
enum MHD_Result platform_handle(void *ctx, const struct standin_call *call);

#endif
