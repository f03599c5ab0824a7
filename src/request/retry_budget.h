/**
 * Limits the retries of one service's requests in one router to a percentage of
 * the answered requests. When most requests fail, few are retried, so that
 * retries don't amplify an overload. Thread-safe and lock-free.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Most retries that a budget can hold; a new budget holds that many. */
#define RETRY_BUDGET_MAX 10

/** The retry budget of one service in one router. */
struct retry_budget;

/** Creates a budget that holds RETRY_BUDGET_MAX retries. @return the budget;
 * free with retry_budget_destroy() */
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
