/**
 * HTTP calls of the platform stand-in: a table of rows, an object store and the
 * list of VMs, all in memory, with fault injection.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdint.h>

#include "common_http.h"

struct platform;

/**
 * Creates a platform without rows, objects and VMs.
 *
 * @param seed seed of the random choice of lost responses
 */
struct platform *platform_create(uint64_t seed);

void platform_destroy(struct platform *platform);

/** Handles a call to the platform (a standin_handler); ctx is the platform. */
enum MHD_Result platform_handle(void *ctx, const struct standin_call *call);

#endif
