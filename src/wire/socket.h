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
 * @return the descriptor, or -1 with errno set when connecting fails at once
 */
int socket_connect(const struct sockaddr_in *addr);

/**
 * Returns whether an errno of socket_connect() or socket_accept() says that the
 * process or its machine lacks a descriptor, a port or memory for a socket.
 */
bool socket_lacks_resource(int error);

/**
 * Accepts one pending connection, without a limit on the time for which sent
 * bytes may be unacknowledged.
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

/** User timeout of connections between the project's own processes. */
#define SOCKET_USER_TIMEOUT_MS 2000

/** After which time a connection counts as lost. */
struct socket_loss {
	/** Time after which sent bytes that aren't taken end the connection; 0
	 * for the setting that the socket has. It also ends the connection of a
	 * live peer whose receive window is closed for that long. */
	unsigned int user_timeout_ms;
	/** Time without traffic before a keep-alive probe, and between probes;
	 * 0 for no probes. */
	unsigned int keepalive_s;
	/** Number of unanswered probes that end the connection. */
	unsigned int probes;
};

/** Sets when a connection counts as lost. If that fails, a loss is only noticed
 * later. */
void socket_detect_loss(int fd, const struct socket_loss *loss);

/**
 * Returns whether sent bytes, or probes of a closed receive window, have gone
 * without any acknowledgement for a time. A live peer that doesn't read
 * acknowledges the probes.
 */
bool socket_peer_lost(int fd, unsigned int timeout_ms);

/**
 * Sets the size of a socket's receive buffer. A listening socket passes it on
 * to the connections that it accepts. If that fails, the system's size stays.
 *
 * @param bytes bytes of data; the system reserves as much for its own
 */
void socket_set_receive_buffer(int fd, size_t bytes);

/**
 * Limits the bytes that a socket accepts for sending and has not sent yet; what
 * was sent and isn't acknowledged doesn't count. A listening socket passes the
 * limit on. If that fails, the system's limit stays.
 */
void socket_set_unsent_limit(int fd, size_t bytes);

/**
 * Makes close() reset the connection and discard unsent bytes. Otherwise the
 * kernel would retransmit them, and after a network partition they could arrive
 * when the request has long been given up.
 */
void socket_set_abortive(int fd);

/** Returns whether the connection was reset, or has failed. */
bool socket_is_reset(int fd);

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
