/**
 * One HTTP/1.1 connection to a server, with one request on it at a time. A
 * request is written to one connection once; sending it again is its owner's
 * decision.
 */
#ifndef NET_HTTP_CHANNEL_H
#define NET_HTTP_CHANNEL_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "http/headers.h"
#include "net/loop.h"

struct http_channel;

/** An answer as it came. */
struct http_reply {
	unsigned int status;
	struct headers *headers;
	GString *body;
};

enum http_channel_end {
	/** No connection: not a byte was sent. */
	HTTP_CHANNEL_NOT_CONNECTED,
	/** The port refused the connection. */
	HTTP_CHANNEL_REFUSED,
	/** Broken before the first byte was sent. */
	HTTP_CHANNEL_UNSENT,
	/** Broken when the request may have been sent, before its answer. */
	HTTP_CHANNEL_RESET,
	/** The answer broke off or could not be read. */
	HTTP_CHANNEL_BROKEN,
};

struct http_channel_ops {
	/**
	 * A whole answer came.
	 *
	 * @return false when it belongs to another request: the next is awaited
	 */
	bool (*reply)(void *ctx, struct http_channel *client,
		      const struct http_reply *reply);
	/** The connection ended; the owner destroys the client. */
	void (*ended)(void *ctx, struct http_channel *client,
		      enum http_channel_end end);
};

struct http_channel_options {
	/** Longest time in which sent bytes stay unacknowledged; 0: no limit */
	unsigned int user_timeout_ms;
	/** Seconds without traffic before a probe, and between probes. */
	unsigned int keepalive_s;
	/** Bytes of an answer's body at most. */
	size_t body_bytes;
};

/**
 * Begins to connect.
 *
 * @param ops lives as long as the client
 * @return the client; ended() follows from the loop when it fails
 */
struct http_channel *
http_channel_create(struct loop *loop, const struct sockaddr_in *address,
		    const struct http_channel_options *options,
		    const struct http_channel_ops *ops, void *ctx);

/** Closes and frees; allowed from within an operation. */
void http_channel_destroy(struct http_channel *client);

/**
 * Sends a request on a connection without one.
 *
 * @param message head and body; copied
 * @param head_only the answer has no body, as to HEAD
 */
void http_channel_send(struct http_channel *client, struct str message,
		       bool head_only);

/** Whether it can take a request: open, idle, nothing unread. */
bool http_channel_reusable(const struct http_channel *client);

/** Whether bytes of the request may have been sent. */
bool http_channel_may_have_sent(const struct http_channel *client);

/** Loop time at which bytes of the current answer last came; 0: none did. */
double http_channel_last_byte_s(const struct http_channel *client);

/** Loop time since when it is idle. */
double http_channel_idle_since(const struct http_channel *client);

/** Seconds for which the server keeps it idle, by its own word; 0: unknown */
double http_channel_server_idle_s(const struct http_channel *client);

#endif
