/**
 * HTTP/1.1 client connection with one request in flight at a time. A channel
 * never repeats a request: whether to send it again on another channel is for
 * its owner to decide. Loop times are those of loop_now().
 */
#ifndef NET_HTTP_CHANNEL_H
#define NET_HTTP_CHANNEL_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "http/headers.h"
#include "net/byte_budget.h"
#include "net/caller_body.h"
#include "net/descriptors.h"
#include "net/loop.h"

struct http_channel;

/** A response as received; its body without chunked encoding. */
struct http_reply {
	unsigned int status;
	struct headers *headers;
	GString *body;
};

/** How a connection ended. */
enum http_channel_end {
	/** The connection could not be opened, or it ended while no request was
	 * in flight. */
	HTTP_CHANNEL_NOT_CONNECTED,
	/** The server's port refused the connection. */
	HTTP_CHANNEL_REFUSED,
	/** The connection ended before the first byte of the request was sent.
	 */
	HTTP_CHANNEL_UNSENT,
	/** The connection ended before the first byte of the response, when
	 * bytes of the request may have been sent. */
	HTTP_CHANNEL_RESET,
	/** The response was incomplete or invalid. */
	HTTP_CHANNEL_BROKEN,
	/** This process could not open a socket: it has no descriptor, port or
	 * kernel memory left. Says nothing about the server. */
	HTTP_CHANNEL_NO_SOCKET,
	/** The owner's may_send() withdrew the request before the first byte
	 * was sent. */
	HTTP_CHANNEL_WITHDRAWN,
};

/** Callbacks to the channel's owner, called by the event loop. */
struct http_channel_ops {
	/**
	 * Receives a complete response.
	 *
	 * @param reply owned by the channel; valid during the call
	 * @return false when the reply belongs to an earlier request; the
	 *         channel then waits for the next response
	 */
	bool (*reply)(void *ctx, struct http_channel *channel,
		      const struct http_reply *reply);
	/** The connection is closed; the owner must destroy the channel. */
	void (*ended)(void *ctx, struct http_channel *channel,
		      enum http_channel_end end);
	/**
	 * Called when connecting has succeeded, before the first byte of the
	 * request that waits for it: whether what the owner knew when it sent
	 * the request still holds. Must not destroy the channel. NULL: it does.
	 *
	 * @return false to end the connection with HTTP_CHANNEL_WITHDRAWN
	 */
	bool (*may_send)(void *ctx, struct http_channel *channel);
};

/** Options of http_channel_create(). */
struct http_channel_options {
	/** Milliseconds after which sent bytes that are not acknowledged end
	 * the connection; 0 for the system's default. */
	unsigned int user_timeout_ms;
	/** Seconds without traffic before a TCP keep-alive probe, and between
	 * probes; 0 for no probes. */
	unsigned int keepalive_s;
	/** Maximum size of a response body, in bytes; a longer one ends the
	 * connection with HTTP_CHANNEL_BROKEN. */
	size_t body_bytes;
	/** What the connection counts as in the loop's account of descriptors.
	 */
	enum descriptor_use use;
	/** Budget for the bodies that are being received, or NULL; exceeding it
	 * has the same effect. Must outlive the channel. */
	struct byte_budget *budget;
};

/**
 * Creates a channel and starts to connect.
 *
 * @param options copied
 * @param ops must outlive the channel
 * @param ctx passed to every callback
 * @return the channel, for http_channel_destroy(); if connecting fails, the
 * event loop calls ended()
 */
struct http_channel *
http_channel_create(struct loop *loop, const struct sockaddr_in *address,
		    const struct http_channel_options *options,
		    const struct http_channel_ops *ops, void *ctx);

/** Closes the connection without calling ended() and frees the channel. May be
 * called from within a callback. Accepts NULL. */
void http_channel_destroy(struct http_channel *channel);

/**
 * Sends a request, or queues it until the channel is connected. No other
 * request may be in flight on the channel. The event loop reports failures by
 * calling ended().
 *
 * @param message head and body; copied
 * @param head_only the response has no body, as for HEAD
 */
void http_channel_send(struct http_channel *channel, struct str message,
		       bool head_only);

/**
 * Sends a request as http_channel_send() does, with a body that isn't copied.
 *
 * @param head copied
 * @param body the channel keeps a reference until it is sent; NULL: none
 */
void http_channel_send_body(struct http_channel *channel, struct str head,
			    struct caller_body *body, bool head_only);

/** Returns whether the connection is still being opened. */
bool http_channel_connecting(const struct http_channel *channel);

/** Returns whether another request can be sent: the channel is connected and
 * idle, and the server keeps the connection open. */
bool http_channel_reusable(const struct http_channel *channel);

/** Returns whether bytes were received that belong to no response to a request
 * on this channel: behind a complete response, or while no request was in
 * flight. Such a channel is not reusable. */
bool http_channel_has_surplus(const struct http_channel *channel);

/** Returns whether bytes of the current request may have been sent. */
bool http_channel_may_have_sent(const struct http_channel *channel);

/** Returns whether the connection ended because a response's body was larger
 * than options.body_bytes. */
bool http_channel_reply_too_large(const struct http_channel *channel);

/** Returns the loop time at which bytes of the current response were last
 * received; 0 if none were. */
double http_channel_last_byte_s(const struct http_channel *channel);

/** Returns the loop time at which the channel was created or its last response
 * was complete. */
double http_channel_idle_since_s(const struct http_channel *channel);

/** Returns for how many seconds the server keeps an idle connection open, as
 * its last Keep-Alive header field stated; 0 if unknown. */
double http_channel_server_idle_s(const struct http_channel *channel);

#endif
