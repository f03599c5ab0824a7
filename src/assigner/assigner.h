/**
 * The assigner: hosts the cells, learns the settings and the VMs, and tells
 * routers and other assigners. One thread owns it and all its parts.
 */
#ifndef ASSIGNER_ASSIGNER_H
#define ASSIGNER_ASSIGNER_H

#include <glib.h>
#include <signal.h>

#include "assigner/options.h"

struct assigner;

/**
 * Opens the listening sockets.
 *
 * @param options lives as long as the assigner
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return a new assigner, or NULL
 */
struct assigner *assigner_create(const struct assigner_options *options,
				 GError **error);

/** Frees an assigner. */
void assigner_destroy(struct assigner *a);

/**
 * Prints the addresses it listens on as one line on standard output.
 */
void assigner_print_addresses(const struct assigner *a);

/**
 * Runs until it was asked to stop and its cells are handed over.
 *
 * @param stop set to nonzero, for example by a signal, to ask for the stop
 */
void assigner_run(struct assigner *a, const volatile sig_atomic_t *stop);

#endif
