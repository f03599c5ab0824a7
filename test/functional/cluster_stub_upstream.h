/**
 * An upstream of a test, in the test's own process, that answers with exactly
 * the bytes that the test wants, and keeps what it was sent.
 */
#ifndef CLUSTER_STUB_UPSTREAM_H
#define CLUSTER_STUB_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

struct stub_upstream;

/** What it does with a request that it has read to its end. */
struct stub_reply {
	/** Bytes to send, status line and all; NULL: none. */
	const char *bytes;
	/** Zero bytes to send after them. */
	uint64_t more;
	/** Wait before the reply. */
	int64_t delay_ms;
	/** Close after the reply; else it waits for the next request. */
	bool close;
	/** Answer nothing more, and don't close, until the other side does. */
	bool hang;
};

/** @return an upstream that listens; stub_upstream_stop() frees it */
struct stub_upstream *stub_upstream_start(void);

void stub_upstream_stop(struct stub_upstream *stub);

/** Where it listens: "IPv4:port". */
const char *stub_upstream_address(const struct stub_upstream *stub);

/** How it replies from now on; bytes are not copied. */
void stub_upstream_reply(struct stub_upstream *stub,
			 const struct stub_reply *reply);

/** Requests read to their end, without those to /control/. */
unsigned int stub_upstream_runs(const struct stub_upstream *stub);

/** Connections accepted. */
unsigned int stub_upstream_connections(const struct stub_upstream *stub);

/** Connections that the other side closed while a reply was due. */
unsigned int stub_upstream_cut(const struct stub_upstream *stub);

/** Orders to cancel that came. */
unsigned int stub_upstream_cancels(const struct stub_upstream *stub);

/** Bytes of all requests' bodies. */
uint64_t stub_upstream_bodies(const struct stub_upstream *stub);

/** The last request's head. @return the text; freed with g_free() */
char *stub_upstream_head(struct stub_upstream *stub);

/** The incarnation that probes are told from now on; not copied. */
void stub_upstream_boot(struct stub_upstream *stub, const char *boot);

#endif
