/**
 * What the head of a response states about the bytes behind it and about its
 * connection.
 */
#ifndef NET_RESPONSE_HEAD_H
#define NET_RESPONSE_HEAD_H

#include <stdbool.h>

#include "http/headers.h"

/**
 * Returns whether a response ends with its head, whatever length it states (RFC
 * 9112, section 6.3).
 *
 * @param head_only the request's method was HEAD
 */
bool response_ends_with_head(unsigned int status, bool head_only);

/**
 * Reads how long the server keeps an idle connection open.
 *
 * @param idle_s time in seconds; unchanged if the response doesn't state it
 */
void response_keep_alive(const struct headers *headers, double *idle_s);

#endif
