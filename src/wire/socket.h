/**
 * Wrappers for TCP sockets. Every descriptor is non-blocking and close-on-exec;
 * connections use TCP_NODELAY.
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
 * @param addr address to bind; port 0 picks a free port
 * @param error set to AUBURN_ERROR_UNAVAILABLE on failure
 * @return the descriptor, or -1
 */
int socket_listen(const struct sockaddr_in *addr, GError **error);

/**
 * Starts to connect. The socket becomes writable when connecting succeeded or
 * failed.
 *
 * @return the descriptor, or -1 when connecting fails at once
 */
int socket_connect(const struct sockaddr_in *addr);

/**
 * Accepts one pending connection.
 *
 * @return the descriptor, or -1 when none is pending or accepting fails
 */
int socket_accept(int listener);

/**
 * Reads the address that a socket is bound to.
 *
 * @param addr set on success
 * @return false on failure
 */
bool socket_address(int fd, struct sockaddr_in *addr);

/**
 * Sets after which time a connection counts as lost. If that fails, a loss is
 * only noticed later.
 *
 * @param user_timeout_ms time after which sent bytes that aren't acknowledged
 *        end the connection; 0 for the setting that the socket has
 * @param keepalive_s time without traffic before a keep-alive probe, whose
 *        failure ends the connection after the same time; 0 for no probes
 */
void socket_detect_loss(int fd, unsigned int user_timeout_ms,
			unsigned int keepalive_s);

/** Returns whether the peer has ended its sending direction or reset the
 * connection, also when bytes that came before are unread. */
bool socket_peer_ended(int fd);

/** Returns the number of bytes, and of the end of the sending direction, that
 * the peer's system has not acknowledged. */
size_t socket_unacknowledged(int fd);

/** Result of a read or write that would block or was interrupted. */
#define SOCKET_AGAIN (-1)
/** Result of a read or write on a closed or failed connection. */
#define SOCKET_CLOSED (-2)

/**
 * Reads up to size available bytes.
 *
 * @return the number of bytes, SOCKET_AGAIN or SOCKET_CLOSED
 */
ssize_t socket_read(int fd, void *buf, size_t size);

/**
 * Copies up to size available bytes without taking them from the socket.
 *
 * @return the number of bytes, SOCKET_AGAIN or SOCKET_CLOSED
 */
ssize_t socket_peek(int fd, void *buf, size_t size);

/**
 * Writes as many bytes as the socket accepts.
 *
 * @return the number of bytes, SOCKET_AGAIN or SOCKET_CLOSED
 */
ssize_t socket_write(int fd, const void *buf, size_t size);

#endif
