/**
 * Operator routes that return the outcome of a single request.
 */
#ifndef ROUTER_EXPLAIN_H
#define ROUTER_EXPLAIN_H

#include "operator/operator_server.h"

/** The routes, ended by an empty one. Their context is the router's
 * struct request_history. */
extern const struct operator_route explain_routes[];

#endif
