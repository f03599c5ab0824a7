/**
 * Upstreams' side: one request to one upstream over libcurl. One thread owns a
 * pool and the exchanges in it.
 *
 * A request is sent once: when libcurl would send it again by itself, since a
 * reused connection turned out to be dead, the exchange ends instead.
 *
 * Operations are called from within libcurl. They only note that an exchange
 * wants attention; the owner acts on it after exchange_pool_run().
 */
#ifndef HTTP_EXCHANGE_H
#define HTTP_EXCHANGE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "http/body.h"
#include "http/headers.h"

/** Bytes of an answer held at most. */
#define EXCHANGE_BODY_BYTES ((size_t)256 << 10)

struct exchange;
struct exchange_pool;

struct exchange_ops {
	/** Status and fields are complete, or bytes of the body came. */
	void (*progressed)(void *ctx, struct exchange *exchange);
	/** It is over; see exchange_end(). */
	void (*ended)(void *ctx, struct exchange *exchange);
};

struct exchange_pool_options {
	/** Connections to one upstream at most. */
	long host_connections;
	/** Seconds for which an idle connection is kept. */
	long idle_s;
	/** Longest time to open a connection. */
	int64_t connect_us;
};

struct exchange_request {
	struct sockaddr_in address;
	struct str method;
	/** The request target as it is sent. */
	struct str target;
	/** End-to-end fields of the caller. */
	const struct headers *headers;
	/** Fields of this system. */
	const struct headers *own;
	/** Bytes of the upload, or HEADERS_LENGTH_CHUNKED; 0 for none. */
	int64_t upload_length;
	struct body *upload;
	/** A connection opened for it. */
	bool fresh;
	/**
	 * The incarnation that it is for. It is sent only over a connection
	 * over which that one answered before; a probe ("HEAD /") sees to that.
	 * Empty: any.
	 */
	struct str boot;
	/** It is not sent after this instant; INT64_MAX for none. */
	int64_t send_before_us;
};

enum exchange_end {
	EXCHANGE_RUNNING,
	/** The whole answer came. */
	EXCHANGE_COMPLETE,
	/** No connection: not a byte was sent. */
	EXCHANGE_NOT_CONNECTED,
	/** Not sent in time. */
	EXCHANGE_EXPIRED,
	/** Not sent: another incarnation answers there. */
	EXCHANGE_OTHER_INCARNATION,
	/** The connection broke when the request may have been sent. */
	EXCHANGE_RESET,
	/** The answer ended before its promised end, or has no stated end. */
	EXCHANGE_TRUNCATED,
};

/**
 * Creates a pool without connections.
 *
 * @param clock lives as long as the pool
 * @param ops lives as long as the pool
 */
struct exchange_pool *
exchange_pool_create(const struct exchange_pool_options *options,
		     const struct clock *clock, const struct exchange_ops *ops,
		     void *ctx);

/** Closes all connections and frees; exchanges must be gone. */
void exchange_pool_destroy(struct exchange_pool *pool);

/** A descriptor that is readable when exchange_pool_run() has work. */
int exchange_pool_fd(const struct exchange_pool *pool);

/** Microseconds until exchange_pool_run() must be called; -1 for never. */
int64_t exchange_pool_wait_us(const struct exchange_pool *pool);

/** Moves transfers on; never blocks. */
void exchange_pool_run(struct exchange_pool *pool);

/**
 * Starts a request.
 *
 * @param request headers are not kept; the upload gets a reference
 * @param data the owner's own pointer
 * @return the exchange; freed with exchange_destroy(), not from an operation
 */
struct exchange *exchange_start(struct exchange_pool *pool,
				const struct exchange_request *request,
				void *data);

/** Ends and frees; closes the connection when the answer is not complete. */
void exchange_destroy(struct exchange *exchange);

/** The owner's own pointer. */
void *exchange_data(const struct exchange *exchange);

/** How it ended, or EXCHANGE_RUNNING. */
enum exchange_end exchange_end(const struct exchange *exchange);

/** Whether bytes of the request may have been sent. */
bool exchange_sent(const struct exchange *exchange);

/** The answer's status once its head is complete; else 0. */
unsigned int exchange_status(const struct exchange *exchange);

/** The answer's fields as they came; the owner may strip them. */
struct headers *exchange_headers(const struct exchange *exchange);

/** Bytes of the answer's body, or HEADERS_LENGTH_CHUNKED. */
int64_t exchange_body_length(const struct exchange *exchange);

/** The answer's body; ended when the whole of it came. */
struct body *exchange_body(const struct exchange *exchange);

/** Instant of the last byte sent or received. */
int64_t exchange_progress_us(const struct exchange *exchange);

/** Whether it waits for room in the answer's body. */
bool exchange_paused(const struct exchange *exchange);

/** Whether it waits for bytes of the upload. */
bool exchange_waits_for_upload(const struct exchange *exchange);

/**
 * Goes on after the upload got bytes, or the answer's body got room. Not from
 * an operation.
 */
void exchange_resume(struct exchange *exchange);

/** Throws the answer's body away from now on. */
void exchange_discard_body(struct exchange *exchange);

#endif
