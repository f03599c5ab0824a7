/**
 * A caller's request, from its complete head to the end of the answer. A
 * request belongs to one worker and is used in that worker's thread only.
 */
#ifndef ROUTER_REQUEST_H
#define ROUTER_REQUEST_H

#include <stdbool.h>

#include "http/caller.h"
#include "http/exchange.h"

struct request;
struct worker;

/**
 * Creates the request of a caller whose head is complete. Refuses the request
 * at once when its head is invalid, its service is unknown or the settings are
 * out of date. The request frees itself in request_advance().
 */
void request_create(struct worker *worker, struct caller *caller);

/** Schedules a request: its worker will call request_advance() soon. */
void request_schedule(struct request *request);

/** Schedules the request whose exchange with an upstream made progress. */
void request_exchange_changed(struct exchange *exchange);

/**
 * Detaches the request from its caller, whose connection or exchange has ended.
 *
 * @param whole the answer was sent to the caller completely; not used
 */
void request_caller_ended(struct request *request, bool whole);

/** Advances a request as far as possible without waiting. May free it. */
void request_advance(struct request *request);

/** Checks a request's timeouts and whether its caller is still connected, and
 * schedules the request. */
void request_tick(struct request *request);

#endif
