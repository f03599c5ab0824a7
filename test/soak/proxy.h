/**
 * A TCP proxy on the loopback that harms what passes through it. One thread
 * serves all proxies of the process.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <netinet/in.h>
#include <stdbool.h>

struct proxy;

enum proxy_mode {
	PROXY_PASS,
	/** Nothing passes; connections stay open. */
	PROXY_SILENT,
	/** What callers send is held up; answers pass. */
	PROXY_CUT_REQUESTS,
	/** Answers are held up; what callers send passes. */
	PROXY_CUT_ANSWERS,
};

/** Starts a proxy of an address. It lives as long as the process. */
struct proxy *proxy_create(const struct sockaddr_in *to);

/** Where it listens. */
struct sockaddr_in proxy_address(const struct proxy *proxy);

/** Changes what passes from now on. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

/** Holds all bytes up for a time; 0: for none. */
void proxy_set_delay(struct proxy *proxy, int delay_ms);

/** Resets all connections through it. */
void proxy_reset(struct proxy *proxy);

#endif
