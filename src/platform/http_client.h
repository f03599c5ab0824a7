/**
 * Non-blocking HTTP client for calls to the platform's service and for control
 * calls to upstreams. One thread owns a client and waits in http_client_wait().
 * Bodies are held in memory. A call whose reply body exceeds 32 MiB fails.
 */
#ifndef PLATFORM_HTTP_CLIENT_H
#define PLATFORM_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct http_client;

/** How a call ended. */
enum http_result {
	/** A complete reply arrived, with any status. */
	HTTP_ANSWERED,
	/** The server has certainly received no byte of the request. */
	HTTP_NOT_SENT,
	/** No complete reply arrived; the server may have run the request. */
	HTTP_OUTCOME_UNKNOWN,
};

/** A request to send. */
struct http_call {
	/** "GET", "PUT", "POST" or "DELETE". */
	const char *method;
	const char *url;
	/** The request body; empty for none. */
	struct str body;
	/** Extra header lines, ended by NULL; or NULL for none. */
	const char *const *headers;
	/** Time limit of the whole call. */
	int64_t timeout_us;
	/**
	 * Use a new connection, for this call only. Needed for calls that must
	 * not run twice: libcurl repeats a call by itself when a reused
	 * connection turns out to be closed.
	 */
	bool own_connection;
};

/** The result of a call and the reply to it. */
struct http_answer {
	enum http_result result;
	/** HTTP status of the reply; valid with HTTP_ANSWERED. */
	unsigned int status;
	/** Value of the ETag header as a number; 0 without one. */
	uint64_t etag;
	/** The reply's body; valid during the callback. */
	struct str body;
};

/** Receives the result of a call. */
typedef void (*http_done_fn)(void *ctx, const struct http_answer *answer);

/** Creates a client, to be freed with http_client_destroy(). */
struct http_client *http_client_create(void);

/**
 * Ends all calls in flight with HTTP_OUTCOME_UNKNOWN, for a shutdown. Calls
 * started afterwards end at once with HTTP_NOT_SENT.
 */
void http_client_abort_all(struct http_client *client);

/** Frees a client. Calls in flight are dropped without their callback. */
void http_client_destroy(struct http_client *client);

/**
 * Starts a call. done is called exactly once: from http_client_run(), from
 * http_client_abort_all(), or at once when all calls were aborted before.
 *
 * @param call copied, with its body
 * @param ctx passed to done
 */
void http_client_start(struct http_client *client, const struct http_call *call,
		       http_done_fn done, void *ctx);

/**
 * Waits until a transfer can make progress, an extra descriptor is readable or
 * the timeout is over.
 *
 * @param extra_fds descriptors to wait on for reading; those after the 8th are
 *        ignored
 * @param count number of extra descriptors
 * @param timeout_us rounded down to milliseconds
 */
void http_client_wait(struct http_client *client, const int *extra_fds,
		      unsigned int count, int64_t timeout_us);

/** Advances all transfers and runs the callbacks of those that ended, without
 * blocking. */
void http_client_run(struct http_client *client);

/** Reports the number of ended calls and the bytes that they sent and received,
 * headers included. Aborted calls are not counted. */
void http_client_counts(const struct http_client *client, uint64_t *calls,
			uint64_t *sent, uint64_t *received);

#endif
