/**
 * One caller's request on its way through the router. It belongs to one
 * worker's thread.
 */
#ifndef ROUTER_REQUEST_H
#define ROUTER_REQUEST_H

#include <stdbool.h>

#include "http/caller.h"
#include "http/exchange.h"

struct request;
struct worker;

/** Takes over a caller whose head is complete; refuses it at once or later. */
void request_create(struct worker *worker, struct caller *caller);

/** Notes that something happened; request_advance() follows. */
void request_touch(struct request *request);

/** Notes that something happened on an exchange of a request. */
void request_exchange_touched(struct exchange *exchange);

/** Notes that the caller is gone, with the whole answer or without. */
void request_caller_ended(struct request *request, bool whole);

/** Moves on as far as possible; may free the request. */
void request_advance(struct request *request);

/** Lets time pass. */
void request_tick(struct request *request);

#endif
