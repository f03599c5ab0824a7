/**
 * Body of a caller's request. The connections to upstreams that send it refer
 * to it instead of copying it, so that a large body is held once.
 */
#ifndef NET_CALLER_BODY_H
#define NET_CALLER_BODY_H

#include <glib.h>

#include "net/caller_budget.h"

/** A body with a count of references. */
struct caller_body {
	GString *bytes;
	unsigned int references;
	/** Number of bytes taken from the budget, and the budget; NULL: none.
	 */
	size_t held;
	struct caller_budget *budget;
};

/** Returns an empty body with one reference.
 *
 * @param budget must outlive the body; may be NULL */
struct caller_body *caller_body_create(struct caller_budget *budget);

/** Adds a reference and returns the body. */
struct caller_body *caller_body_ref(struct caller_body *body);

/** Drops a reference; the last one frees the body and returns its bytes to the
 * budget. Accepts NULL. */
void caller_body_unref(struct caller_body *body);

#endif
