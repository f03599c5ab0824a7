/**
 * HTTP calls of the platform stand-in: a table of rows, an object store and the
 * list of VMs, all in memory, with fault injection. The programs under test
 * make the first four calls, tests the others:
 *   GET /table?prefix=P           rows whose keys begin with P
 *   GET, PUT, DELETE /table/KEY   one row, /objects/KEY one object; writes take
 *                                 If-Match or If-None-Match
 *   POST /batch                   operations on rows, applied in order
 *   GET /vms                      list of VMs
 *   POST /standin/vms             registers VMs
 *   GET /standin/stats            counters
 *   POST /switch                  fault settings, see faults_configure()
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdint.h>

#include "common_http.h"

struct platform;

/**
 * Creates a platform without rows, objects and VMs; platform_destroy() frees
 * it.
 *
 * @param seed seed of the random choice of lost responses
 */
struct platform *platform_create(uint64_t seed);

void platform_destroy(struct platform *platform);

/** Handles a call to the platform (a standin_handler); ctx is the platform. */
enum MHD_Result platform_handle(void *ctx, const struct standin_call *call);

#endif
