/**
 * The thin layer over TCP sockets: every descriptor is non-blocking, closed on
 * exec and without delay of small segments.
 */
#ifndef WIRE_SOCKET_H
#define WIRE_SOCKET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/types.h>

/**
 * Opens a listening socket.
 *
 * @param addr where; port 0 takes a free one
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return the descriptor, or -1
 */
int socket_listen(const struct sockaddr_in *addr, GError **error);

/**
 * Begins to connect; the socket turns writable when that ended.
 *
 * @return the descriptor, or -1
 */
int socket_connect(const struct sockaddr_in *addr);

/**
 * Takes one waiting connection.
 *
 * @return the descriptor, or -1 when none waits
 */
int socket_accept(int listener);

/**
 * The address a socket is bound to.
 *
 * @param addr set on success
 * @return false on failure
 */
bool socket_address(int fd, struct sockaddr_in *addr);

/** What a read or write came to when it moved no byte. */
#define SOCKET_AGAIN (-1)
#define SOCKET_CLOSED (-2)

/**
 * Reads what is there.
 *
 * @return number of bytes, SOCKET_AGAIN or SOCKET_CLOSED
 */
ssize_t socket_read(int fd, void *buf, size_t size);

/**
 * Writes as much as fits.
 *
 * @return number of bytes, SOCKET_AGAIN or SOCKET_CLOSED
 */
ssize_t socket_write(int fd, const void *buf, size_t size);

#endif
