/**
 * Limits a customer's retries to a percentage of its successful requests. When
 * most of its requests fail, few are retried, so that retries don't amplify an
 * overload. Thread-safe and lock-free.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Most retries that a budget can hold; a new one holds that many. */
#define RETRY_BUDGET_MAX 10

/** The retry budget of one customer. */
struct retry_budget;

/** @return a new budget; free with retry_budget_destroy() */
struct retry_budget *retry_budget_create(void);

/** Frees a budget; NULL is allowed. */
void retry_budget_destroy(struct retry_budget *budget);

/**
 * Adds a part of a retry to the budget for an answered request.
 *
 * @param percent the part, in percent of one retry
 */
void retry_budget_success(struct retry_budget *budget, uint32_t percent);

/** Takes one retry from the budget. @return false when none is left */
bool retry_budget_take(struct retry_budget *budget);

#endif
