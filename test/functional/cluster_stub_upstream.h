/**
 * A stub upstream on threads of the test process. It answers with exactly the
 * bytes that the test sets, and counts the requests that it gets.
 */
#ifndef CLUSTER_STUB_UPSTREAM_H
#define CLUSTER_STUB_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

struct stub_upstream;

/** The reply to a request that was read to its end. */
struct stub_reply {
	/** Bytes to send, from the status line on; NULL: none. */
	const char *bytes;
	/** Number of zero bytes to send after the bytes above. */
	uint64_t more;
	/** Time to wait before the reply. */
	int64_t delay_ms;
	/** Close the connection after the reply; else it takes more requests.
	 */
	bool close;
	/** Keep the connection open after the reply, without sending more,
	 * until the client closes it. */
	bool hang;
};

/** @return a listening upstream; stub_upstream_stop() frees it */
struct stub_upstream *stub_upstream_start(void);

void stub_upstream_stop(struct stub_upstream *stub);

/** Returns the "IPv4:port" on which the stub listens, owned by the stub. */
const char *stub_upstream_address(const struct stub_upstream *stub);

/** Sets the reply to later requests; its bytes are not copied. */
void stub_upstream_set_reply(struct stub_upstream *stub,
			     const struct stub_reply *reply);

/** Counts requests read to their end, but no control calls or probes. */
unsigned int stub_upstream_run_count(const struct stub_upstream *stub);

/** Counts connections accepted. */
unsigned int stub_upstream_connection_count(const struct stub_upstream *stub);

/** Counts connections that the client closed before the reply's end. */
unsigned int stub_upstream_cut_count(const struct stub_upstream *stub);

/** Counts control calls that cancel a request. */
unsigned int stub_upstream_cancel_count(const struct stub_upstream *stub);

/** Counts the bytes of all request bodies. */
uint64_t stub_upstream_body_bytes(const struct stub_upstream *stub);

/**
 * Copies the request line and headers of the latest request; "" before the
 * first.
 *
 * @return a text, freed with g_free()
 */
char *stub_upstream_last_head(struct stub_upstream *stub);

/** Sets the incarnation in answers to probes; the text is not copied. */
void stub_upstream_set_incarnation(struct stub_upstream *stub,
				   const char *boot);

#endif
