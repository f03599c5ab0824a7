/**
 * Limits the bytes that the connections of one process hold together, so that
 * no peer can exhaust its memory.
 */
#ifndef NET_BYTE_BUDGET_H
#define NET_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/** The bytes that all holders together may hold. */
struct byte_budget {
	/** Limit on the sum. */
	size_t limit;
	/** The sum, and the highest it has been. */
	size_t used;
	size_t peak;
};

/**
 * Takes bytes for a holder. When the sum reaches the limit, holders of a large
 * part of it are refused first, the others only beyond that.
 *
 * @param held bytes that the holder has already
 * @param len bytes that it needs besides
 * @return false when the holder must give up
 */
bool byte_budget_take(struct byte_budget *budget, size_t held, size_t len);

/** Gives a holder's bytes back. */
void byte_budget_return(struct byte_budget *budget, size_t held);

#endif
