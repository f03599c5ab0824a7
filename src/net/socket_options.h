/**
 * Options of the sockets of client connections.
 */
#ifndef NET_SOCKET_OPTIONS_H
#define NET_SOCKET_OPTIONS_H

/**
 * Makes close() reset the connection and discard unsent bytes. Otherwise the
 * kernel would retransmit them, and after a network partition they could arrive
 * when the request has long been given up.
 */
void socket_set_abortive(int fd);

/**
 * Sets after which time a silent connection ends. If an option can't be set, a
 * lost connection is only detected later.
 *
 * @param user_timeout_ms milliseconds after which sent bytes that are not
 *        acknowledged end the connection; 0 for the system's default
 * @param keepalive_s seconds without traffic before a TCP keep-alive probe, and
 *        between probes; 0 for no probes
 */
void socket_set_timeouts(int fd, unsigned int user_timeout_ms,
			 unsigned int keepalive_s);

#endif
