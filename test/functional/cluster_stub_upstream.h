/**
 * A stub upstream on threads of the test process. It answers with exactly the
 * bytes that the test sets, and counts the requests that it gets.
 */
#ifndef CLUSTER_STUB_UPSTREAM_H
#define CLUSTER_STUB_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

/** A running stub upstream. Its functions may be called from any thread. */
struct stub_upstream;

/** The reply to a request that was read to its end. */
struct stub_reply {
	/** Bytes to send, from the status line on; NULL: none. */
	const char *bytes;
	/** Number of zero bytes to send after the bytes above. */
	uint64_t zero_bytes;
	/** Time to wait before the reply is sent. */
	int64_t delay_ms;
	/** Close the connection after the reply; otherwise the stub reads more
	 * requests from it. */
	bool close;
	/** Keep the connection open after the reply, without sending more,
	 * until the client closes it. */
	bool hang;
};

/** Returns a listening upstream; stub_upstream_stop() frees it. */
struct stub_upstream *stub_upstream_start(void);

void stub_upstream_stop(struct stub_upstream *stub);

/** Returns the "IPv4:port" on which the stub listens, owned by the stub. */
const char *stub_upstream_address(const struct stub_upstream *stub);

/** Sets the reply to later requests; its bytes are not copied. */
void stub_upstream_set_reply(struct stub_upstream *stub,
			     const struct stub_reply *reply);

/** Counts requests read to their end, except control calls and probes. */
unsigned int stub_upstream_run_count(const struct stub_upstream *stub);

/** Counts connections accepted. */
unsigned int stub_upstream_connection_count(const struct stub_upstream *stub);

/** Counts connections that the client closed before the reply's end, or while
 * the stub kept them open after it. */
unsigned int stub_upstream_disconnect_count(const struct stub_upstream *stub);

/** Counts control calls that cancel a request. */
unsigned int stub_upstream_cancel_count(const struct stub_upstream *stub);

/** Counts the bytes of all request bodies, without the framing of chunks. */
uint64_t stub_upstream_body_bytes(const struct stub_upstream *stub);

/**
 * Returns a copy of the request line and headers of the latest request that is
 * no control call or probe.
 *
 * @return a text, freed with g_free(); "" before the first request
 */
char *stub_upstream_last_head(struct stub_upstream *stub);

/** Sets the incarnation id in answers to probes; the text is not copied. */
void stub_upstream_set_incarnation(struct stub_upstream *stub,
				   const char *boot);

#endif
