/**
 * Small HTTP calls without blocking, for the platform's service and for orders
 * to upstreams. One thread owns a client; it waits in http_client_wait().
 */
#ifndef PLATFORM_HTTP_CLIENT_H
#define PLATFORM_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct http_client;

enum http_result {
	/** An answer came. */
	HTTP_ANSWERED,
	/** Certain: the other side got no byte of the call. */
	HTTP_NOT_SENT,
	/** It may have been carried out; no whole answer came. */
	HTTP_LOST,
};

struct http_call {
	/** "GET", "PUT", "POST" or "DELETE". */
	const char *method;
	const char *url;
	struct str body;
	/** Extra header lines, or NULL; ended by NULL. */
	const char *const *headers;
	int64_t timeout_us;
	/**
	 * A call on a connection of its own. Needed where a second run of the
	 * call does harm: libcurl repeats a call by itself when a reused
	 * connection turns out to be dead.
	 */
	bool fresh;
};

struct http_answer {
	enum http_result result;
	unsigned int status;
	/** Value of ETag as a number, or 0. */
	uint64_t etag;
	/** Valid during the callback. */
	struct str body;
};

typedef void (*http_done_fn)(void *ctx, const struct http_answer *answer);

/** Creates a client. */
struct http_client *http_client_create(void);

/**
 * Ends all calls in progress as HTTP_LOST, before a stop. A call that is
 * started afterwards ends at once as HTTP_NOT_SENT.
 */
void http_client_abort_all(struct http_client *client);

/** Drops all calls in progress without calling back, and frees. */
void http_client_destroy(struct http_client *client);

/**
 * Starts a call; done is called from http_client_run(), exactly once.
 *
 * @param call not kept
 */
void http_client_start(struct http_client *client, const struct http_call *call,
		       http_done_fn done, void *ctx);

/**
 * Waits until a transfer or an extra descriptor is ready.
 *
 * @param extra_fds descriptors to wait on for reading
 * @param count their number
 * @param timeout_us longest wait
 */
void http_client_wait(struct http_client *client, const int *extra_fds,
		      unsigned int count, int64_t timeout_us);

/** Moves transfers on and calls back for those that ended; never blocks. */
void http_client_run(struct http_client *client);

/** Bytes sent and received by calls that ended, headers included. */
void http_client_counts(const struct http_client *client, uint64_t *calls,
			uint64_t *sent, uint64_t *received);

#endif
