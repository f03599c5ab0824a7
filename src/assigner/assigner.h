/**
 * The auburn-assigner daemon. It hosts one cell for each service: the election
 * of the service's coordinator and the service's map of key ranges to owners.
 * The daemon reads the settings and the list of VMs from the platform, sends
 * settings and maps to routers and other assigners, and the list to routers.
 * One thread owns the assigner and all its parts.
 */
#ifndef ASSIGNER_ASSIGNER_H
#define ASSIGNER_ASSIGNER_H

#include <glib.h>
#include <signal.h>

#include "assigner/options.h"

/** State of the daemon. */
struct assigner;

/**
 * Creates an assigner and opens its listening sockets.
 *
 * @param options not copied; must outlive the assigner
 * @param error AUBURN_ERROR_UNAVAILABLE when a socket can't be opened
 * @return a new assigner, freed with assigner_destroy(), or NULL
 */
struct assigner *assigner_create(const struct assigner_options *options,
				 GError **error);

/** Frees an assigner and closes its sockets. NULL is ignored. */
void assigner_destroy(struct assigner *a);

/**
 * Prints the addresses that the assigner listens on, with the ports in use,
 * as one line on standard output.
 */
void assigner_print_addresses(const struct assigner *a);

/**
 * Runs the event loop until a stop is requested. Then hands the coordination
 * of its cells over to other assigners, which takes up to 3 seconds, and
 * returns.
 *
 * @param stop polled at each turn of the loop; nonzero, set for example by a
 *        signal handler, requests the stop
 */
void assigner_run(struct assigner *a, const volatile sig_atomic_t *stop);

#endif
