/**
 * How many retries a tenant may send: a share of its successes. When most of
 * its requests fail, so few are retried that retries add no load to speak of.
 * Safe for use by any number of threads; takes no lock.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Retries that can be saved up, and that a new budget holds. */
#define RETRY_BUDGET_MAX 10

struct retry_budget;

/** @return a new budget; free with retry_budget_destroy() */
struct retry_budget *retry_budget_create(void);

/** Frees a budget; NULL is allowed. */
void retry_budget_destroy(struct retry_budget *budget);

/**
 * Notes an answered request.
 *
 * @param percent of a retry that it earns
 */
void retry_budget_success(struct retry_budget *budget, uint32_t percent);

/** Takes one retry. @return false when there is none */
bool retry_budget_take(struct retry_budget *budget);

#endif
