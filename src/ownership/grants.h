/**
 * Orders to the cell's upstreams: prepares, grants and their answers, and when
 * a slice may be granted to its owner.
 */
#ifndef OWNERSHIP_GRANTS_H
#define OWNERSHIP_GRANTS_H

#include "ownership/coordinator_impl.h"

/** Sends the orders that are due in the present phase. */
void grants_step(struct coordinator *c, int64_t now);

/** Makes an order to every upstream due at once. */
void grants_send_all_now(struct coordinator *c);

/** An upstream's answer. */
void grants_on_reply(struct coordinator *c, uint64_t request,
		     const struct order_reply *reply);

/** No answer will come. */
void grants_on_no_reply(struct coordinator *c, uint64_t request);

/**
 * Works out what is known of the slices of a row that replaces the present one.
 *
 * @param own this daemon made it from the present row
 */
void grants_carry_over(struct coordinator *c, const struct slice_map *next,
		       bool own);

/** What is known of a slice. */
struct slice_state *grants_state(const struct coordinator *c, size_t slice);

/** An upstream can't hold a slice that changed owner at an epoch. */
bool grants_released(const struct coordinator *c, const struct cell_upstream *u,
		     uint64_t epoch, int64_t now);

/** The upstream reported the grant that it is to hold. */
bool grants_held(const struct coordinator *c, const struct cell_upstream *u);

#endif
