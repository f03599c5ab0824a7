/**
 * Parses and formats numeric IPv4 socket addresses.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/str.h"

/** Buffer size for "255.255.255.255:65535" and the NUL. */
#define ADDRESS_TEXT_SIZE 22

/**
 * Parses "IPv4:port".
 *
 * @param text the address; need not be NUL-terminated
 * @param addr set on success
 * @return false when the text is not a numeric address with a port
 */
bool address_parse(struct str text, struct sockaddr_in *addr);

/**
 * Formats an address as "IPv4:port".
 *
 * @param buf at least ADDRESS_TEXT_SIZE bytes
 * @return buf
 */
char *address_format(const struct sockaddr_in *addr, char *buf);

#endif
