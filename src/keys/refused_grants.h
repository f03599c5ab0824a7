/**
 * Grants that their owners don't know, or no longer: an owner answered a
 * request for a key that it does not hold it. Until the owner map names another
 * grant of the key, a request now and then finds out whether the owner has got
 * it meanwhile. All times are in seconds on one clock of the caller.
 */
#ifndef KEYS_REFUSED_GRANTS_H
#define KEYS_REFUSED_GRANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct refused_grants;

/** Creates an empty set; freed with refused_grants_destroy(). */
struct refused_grants *refused_grants_create(void);

/** Frees a set; NULL is allowed. */
void refused_grants_destroy(struct refused_grants *grants);

/**
 * Notes that an owner refused a request as it doesn't hold the key.
 *
 * @param fence fencing token of the grant by which the request was sent; it
 *        identifies the grant
 * @param sent_s when the request was sent
 * @return whether this is news: the request was sent after the last refusal
 *         was noted
 */
bool refused_grants_note(struct refused_grants *grants, uint64_t fence,
			 double sent_s, double now_s);

/** Notes that a request is sent by a grant: others wait for its answer. */
void refused_grants_sent(struct refused_grants *grants, uint64_t fence,
			 double now_s);

/** Notes that an owner ran a request by a grant: it holds the key, if the
 * request was sent after its last refusal. */
void refused_grants_ran(struct refused_grants *grants, uint64_t fence,
			double sent_s);

/** Returns the time until a request may be sent by a grant; 0: now. */
double refused_grants_wait_s(const struct refused_grants *grants,
			     uint64_t fence, double now_s);

#endif
