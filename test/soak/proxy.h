/**
 * TCP proxies on loopback addresses that inject network faults. One thread
 * serves all proxies of the process about every 2 milliseconds; changes of a
 * proxy take effect then.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <netinet/in.h>
#include <stdbool.h>

struct proxy;

/** What a proxy does with the bytes that it receives. */
enum proxy_mode {
	/** Forward bytes in both directions. */
	PROXY_PASS,
	/** Forward no bytes and accept no connections; open connections stay
	 * open. */
	PROXY_SILENT,
	/** Leave bytes from the client unread, but forward those from the
	 * server. */
	PROXY_CUT_REQUESTS,
	/** Leave bytes from the server unread, but forward those from the
	 * client. */
	PROXY_CUT_ANSWERS,
};

/**
 * Starts a proxy that listens on a free loopback port and forwards connections
 * to an address. Ends the process when no socket can be opened.
 *
 * @return the proxy, which is never freed
 */
struct proxy *proxy_create(const struct sockaddr_in *to);

/** Returns the address on which a proxy listens. */
struct sockaddr_in proxy_address(const struct proxy *proxy);

/** Changes the mode of all connections, open and new. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

/** Delays bytes that the proxy receives from now on, in both directions, by
 * delay_ms; 0: no delay. */
void proxy_set_delay(struct proxy *proxy, int delay_ms);

/** Resets all open connections of a proxy, once. */
void proxy_reset(struct proxy *proxy);

/** Forwards only the first bytes of what the server sends next on each open
 * connection, and then no more on it; new connections work. */
void proxy_halve(struct proxy *proxy);

/** Returns whether proxy_halve() has ended a connection since the last call. */
bool proxy_take_halved(struct proxy *proxy);

/** Forwards no more bytes on the open connections of a proxy, for good and
 * without closing them; new connections work. */
void proxy_forget(struct proxy *proxy);

#endif
