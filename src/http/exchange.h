/**
 * HTTP client for upstreams, over libcurl. An exchange is one request to one
 * upstream and the answer to it. One thread owns a pool and its exchanges.
 *
 * A request is sent at most once. By itself, libcurl would resend it when a
 * reused connection turns out to be dead; here the exchange ends with
 * EXCHANGE_RESET instead.
 *
 * The callbacks in exchange_ops run inside libcurl. They must only record that
 * an exchange needs attention; the owner handles it after exchange_pool_run().
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

/** Buffer size for the body of an answer. */
#define EXCHANGE_BODY_BYTES ((size_t)256 << 10)

struct exchange;
struct exchange_pool;

/** Callbacks to the pool's owner. */
struct exchange_ops {
	/**
	 * Status and header fields are complete, bytes of the answer's body
	 * arrived, or bytes of the request body were read.
	 */
	void (*progressed)(void *ctx, struct exchange *exchange);
	/** The exchange is over; exchange_end() returns how it ended. */
	void (*ended)(void *ctx, struct exchange *exchange);
};

/** Options of exchange_pool_create(). */
struct exchange_pool_options {
	/** Maximum number of connections to one upstream. */
	long max_host_connections;
	/** Seconds for which an idle connection can be reused. */
	long idle_s;
	/** Timeout in microseconds for opening a connection, and for a probe
	 * (exchange_request.boot). */
	int64_t connect_us;
};

/** A request for exchange_start(). */
struct exchange_request {
	/** Address of the upstream. */
	struct sockaddr_in address;
	struct str method;
	/** The request target, sent unchanged. */
	struct str target;
	/** End-to-end header fields from the caller. */
	const struct headers *headers;
	/** Header fields that the router adds, such as Auburn-Attempt. */
	const struct headers *added_headers;
	/** Length of the request body in bytes, or HEADERS_LENGTH_CHUNKED; 0
	 * for no body. */
	int64_t upload_length;
	/** Buffer of the request body. */
	struct body *upload;
	/** Use a new connection for this request and close it afterwards. */
	bool own_connection;
	/**
	 * Id of the upstream incarnation (Auburn-Boot) that the request is for;
	 * empty for any. The request is sent only over a connection on which
	 * that incarnation answered before. If there is none, a probe
	 * ("HEAD /") on a new connection finds out which incarnation answers.
	 */
	struct str boot;
	/** The request is not sent at or after this time, in microseconds of
	 * the pool's clock; INT64_MAX for no limit. */
	int64_t send_before_us;
};

/** How an exchange ended. */
enum exchange_end {
	/** The exchange has not ended. */
	EXCHANGE_RUNNING,
	/** The complete answer arrived. */
	EXCHANGE_COMPLETE,
	/** No connection could be used, or the probe failed: no byte of the
	 * request was sent. */
	EXCHANGE_NOT_CONNECTED,
	/** The request was not sent: send_before_us had passed. */
	EXCHANGE_EXPIRED,
	/** The request was not sent: a different incarnation answered. */
	EXCHANGE_OTHER_INCARNATION,
	/** The connection broke after bytes of the request may have been sent
	 * and before a final status arrived. */
	EXCHANGE_RESET,
	/** The answer ended early, its header is malformed, or its body length
	 * can't be determined. */
	EXCHANGE_TRUNCATED,
};

/**
 * Creates a pool without connections.
 *
 * @param clock must outlive the pool
 * @param ops must outlive the pool
 * @param ctx passed to every callback
 */
struct exchange_pool *
exchange_pool_create(const struct exchange_pool_options *options,
		     const struct clock *clock, const struct exchange_ops *ops,
		     void *ctx);

/** Closes all connections and frees the pool. Destroy its exchanges first. */
void exchange_pool_destroy(struct exchange_pool *pool);

/** Returns a descriptor that is readable when exchange_pool_run() is due. */
int exchange_pool_fd(const struct exchange_pool *pool);

/** Returns the microseconds until exchange_pool_run() is due even if the
 * descriptor is not readable; -1 for never. */
int64_t exchange_pool_wait_us(const struct exchange_pool *pool);

/** Sends and receives what is possible without blocking. */
void exchange_pool_run(struct exchange_pool *pool);

/**
 * Starts a request.
 *
 * @param request copied; takes a reference to the upload
 * @param data the owner's pointer, for exchange_data()
 * @return the exchange, for exchange_destroy(), which must not be called from a
 *         callback
 */
struct exchange *exchange_start(struct exchange_pool *pool,
				const struct exchange_request *request,
				void *data);

/** Frees an exchange; closes its connection if the answer is incomplete.
 * Accepts NULL. */
void exchange_destroy(struct exchange *exchange);

/** Returns the owner's pointer. */
void *exchange_data(const struct exchange *exchange);

/** Returns how the exchange ended, or EXCHANGE_RUNNING. */
enum exchange_end exchange_end(const struct exchange *exchange);

/** Returns whether bytes of the request may have been sent. */
bool exchange_sent(const struct exchange *exchange);

/** Returns the HTTP status once the header fields are complete; else 0. */
unsigned int exchange_status(const struct exchange *exchange);

/** Returns the answer's header fields as received. The list belongs to the
 * exchange; its user may remove fields from it. */
struct headers *exchange_headers(const struct exchange *exchange);

/** Returns the length of the answer's body in bytes, or HEADERS_LENGTH_CHUNKED;
 * valid once exchange_status() is not 0. */
int64_t exchange_body_length(const struct exchange *exchange);

/** Returns the buffer of the answer's body, owned by the exchange. The buffer
 * is marked as ended once the body arrived completely. */
struct body *exchange_body(const struct exchange *exchange);

/** Returns when the exchange was last started or resumed, or bytes were last
 * sent or received, in microseconds of the pool's clock. */
int64_t exchange_progress_us(const struct exchange *exchange);

/** Returns whether receiving waits for room in the buffer of the answer's body.
 */
bool exchange_paused(const struct exchange *exchange);

/** Returns whether sending waits for bytes of the request body. */
bool exchange_waits_for_upload(const struct exchange *exchange);

/**
 * Resumes a paused exchange after bytes were added to the request body or half
 * of the answer's buffer is free. Must not be called from a callback.
 */
void exchange_resume(struct exchange *exchange);

/** Discards the rest of the answer's body. Must not be called from a callback.
 */
void exchange_discard_body(struct exchange *exchange);

#endif
