/**
 * Sends orders to the cell's upstreams and handles their replies. A prepare
 * asks an upstream to accept the ballot; a grant leases slices to it.
 */
#ifndef OWNERSHIP_GRANTS_H
#define OWNERSHIP_GRANTS_H

#include "ownership/coordinator_impl.h"

/** Sends the orders that are due in the current phase. */
void grants_step(struct coordinator *c, int64_t now);

/** Makes an order to every upstream due at once. */
void grants_make_all_due(struct coordinator *c);

/** Handles an upstream's reply to an order. */
void grants_on_reply(struct coordinator *c, uint64_t request,
		     const struct order_reply *reply);

/** Handles the failure of an order that got no reply. */
void grants_on_no_reply(struct coordinator *c, uint64_t request);

/** Whether the upstream's newest reply shows exactly the grant that it should
 * hold now. True for an upstream that should hold none. */
bool grants_held(const struct coordinator *c, const struct cell_upstream *u);

#endif
