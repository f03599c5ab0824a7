/**
 * What a router's operator address tells of single requests.
 */
#ifndef ROUTER_EXPLAIN_H
#define ROUTER_EXPLAIN_H

#include "operator/operator_server.h"

/** The table; its context is a struct request_history. */
extern const struct operator_route explain_routes[];

#endif
