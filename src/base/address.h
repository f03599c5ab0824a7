/**
 * Socket addresses by IP number.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/str.h"

/** Room for "255.255.255.255:65535" and its NUL. */
#define ADDRESS_TEXT_SIZE 22

/**
 * Reads "IPv4:port".
 *
 * @param text the address
 * @param addr set on success
 * @return false when the text is no such address
 */
bool address_parse(struct str text, struct sockaddr_in *addr);

/**
 * Writes "IPv4:port".
 *
 * @param buf at least ADDRESS_TEXT_SIZE bytes
 * @return buf
 */
char *address_format(const struct sockaddr_in *addr, char *buf);

#endif
