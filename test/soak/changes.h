/**
 * Configurations that the soak test writes to the store: routes that stay, a
 * route that moves between two services with each version, and routes that are
 * added, moved and dropped at random.
 */
#ifndef SOAK_CHANGES_H
#define SOAK_CHANGES_H

#include <glib.h>

#include "rules.h"

/** Indices of the routes. Those from CHANGES_RANDOM on come and go; the last
 * one is in no configuration. */
enum changes_route {
	CHANGES_PLAIN,
	CHANGES_ONCE,
	CHANGES_KEYED,
	CHANGES_MOVED,
	CHANGES_RANDOM,
	CHANGES_NEVER = RULES_ROUTES - 1,
};

/** Names of the services, ended by NULL. */
extern const char *const changes_services[];

/** Fills in the services of the configuration with which standin-site starts.
 */
void changes_first(struct rules_config *config);

/** Changes the services at random. */
void changes_next(struct rules_config *config, GRand *random);

/**
 * Returns the text of a configuration, which the caller frees.
 *
 * @param fillers number of further routes, which nobody calls; some versions
 *        have an invalid one, too
 */
char *changes_text(const struct rules_config *config, unsigned int version,
		   unsigned int fillers);

/** Returns a text for the store that can't be read as a configuration; the
 * caller frees it. */
char *changes_invalid_text(const struct rules_config *config,
			   unsigned int version);

/** Returns the first part of the path of a route, without slashes, which the
 * caller frees. */
char *changes_path(unsigned int route);

#endif
