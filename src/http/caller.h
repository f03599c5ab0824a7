/**
 * HTTP server for callers, over libmicrohttpd: receives requests and sends the
 * answers. One thread owns a server and its requests.
 *
 * The callbacks in caller_ops run inside libmicrohttpd. They must only record
 * that a request needs attention; the owner handles it after
 * caller_server_run().
 */
#ifndef HTTP_CALLER_H
#define HTTP_CALLER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"
#include "http/body.h"
#include "http/headers.h"

/** A request body of up to this size is kept so that it can be resent. */
#define CALLER_KEEP_BYTES ((size_t)64 << 10)
/** Buffer size for a request body. */
#define CALLER_UPLOAD_BYTES ((size_t)256 << 10)
/** Maximum size of the request line and header fields together. */
#define CALLER_HEAD_BYTES ((size_t)32 << 10)
/** Buffer size for a request id and its NUL. */
#define CALLER_ID_SIZE 33

/** One request from a caller and the answer to it; freed by the server. */
struct caller;
struct caller_server;

/** Callbacks to the server's owner. */
struct caller_ops {
	/** The request line and header fields are complete. Also called for a
	 * malformed request, which the server then refuses. */
	void (*began)(void *ctx, struct caller *caller);
	/** Bytes of the request body arrived, or the body ended. */
	void (*uploaded)(void *ctx, struct caller *caller);
	/** Bytes of the answer were sent: its body buffer has room. */
	void (*drained)(void *ctx, struct caller *caller);
	/**
	 * The request is over; its struct caller is freed after this call.
	 *
	 * @param whole the answer was sent completely
	 */
	void (*ended)(void *ctx, struct caller *caller, bool whole);
};

/** Options of caller_server_create(). */
struct caller_server_options {
	/** Address to listen on. */
	struct sockaddr_in address;
	/** Maximum number of open connections. */
	unsigned int connections;
	/** Seconds without progress before a connection is closed. */
	unsigned int idle_s;
};

/**
 * Starts a server that listens on options->address.
 *
 * @param ops must outlive the server
 * @param ctx passed to every callback
 * @param error set to AUBURN_ERROR_UNAVAILABLE on failure
 * @return the server, for caller_server_destroy(); NULL on failure
 */
struct caller_server *
caller_server_create(const struct caller_server_options *options,
		     const struct caller_ops *ops, void *ctx, GError **error);

/** Closes every connection and frees the server. */
void caller_server_destroy(struct caller_server *server);

/** Returns the address that the server listens on. */
struct sockaddr_in caller_server_address(const struct caller_server *server);

/** Returns a descriptor that is readable when caller_server_run() is due. */
int caller_server_fd(const struct caller_server *server);

/** Returns the microseconds until caller_server_run() is due even if the
 * descriptor is not readable; -1 for never. */
int64_t caller_server_wait_us(const struct caller_server *server);

/** Reads requests and writes answers without blocking. */
void caller_server_run(struct caller_server *server);

/** Adds "Connection: close" to every answer from now on. */
void caller_server_disable_keepalive(struct caller_server *server);

/**
 * Stops listening and closes idle connections. Requests in progress continue;
 * their answers carry "Connection: close".
 */
void caller_server_quiesce(struct caller_server *server);

/** Returns the number of open connections. */
unsigned int caller_server_connections(const struct caller_server *server);

/** Returns the owner's pointer for this request; NULL until it is set. */
void *caller_data(const struct caller *caller);
/** Sets the owner's pointer for this request. */
void caller_set_data(struct caller *caller, void *data);

/** Returns the request method, such as "GET". */
struct str caller_method(const struct caller *caller);
/** Returns the request target exactly as in the request line. */
struct str caller_target(const struct caller *caller);
/** Returns the header fields without hop-by-hop and Auburn-* fields. */
const struct headers *caller_headers(const struct caller *caller);
/** Returns the length of the request body in bytes, or HEADERS_LENGTH_CHUNKED;
 * 0 without a body. */
int64_t caller_upload_length(const struct caller *caller);
/** Returns the buffer of the request body, owned by the request. The buffer is
 * marked as ended once the body arrived completely. */
struct body *caller_upload(const struct caller *caller);
/** Returns how many bytes of the request body arrived so far. */
uint64_t caller_uploaded_bytes(const struct caller *caller);
/** Returns the request id, sent to the caller as Auburn-Request-Id. */
const char *caller_id(const struct caller *caller);
/** Returns whether bytes of an answer may have been sent. */
bool caller_answer_begun(const struct caller *caller);
/** Returns whether an answer was set, even if sending has not started. */
bool caller_answered(const struct caller *caller);

/** Resumes receiving the request body after its buffer was read. */
void caller_resume_upload(struct caller *caller);

/**
 * Discards the rest of the request body, up to limit bytes; the connection is
 * closed when more arrive.
 */
void caller_discard_upload(struct caller *caller, uint64_t limit);

/**
 * Sets the answer, whose body is read as it is sent. Does nothing when there is
 * an answer already.
 *
 * @param status HTTP status code
 * @param headers end-to-end fields; copied
 * @param length body length in bytes, or HEADERS_LENGTH_CHUNKED
 * @param body source of the body; takes a reference
 */
void caller_answer(struct caller *caller, unsigned int status,
		   const struct headers *headers, int64_t length,
		   struct body *body);

/** Resumes sending after bytes were added to the answer's body or it ended. */
void caller_resume_answer(struct caller *caller);

/** Closes the connection without sending the answer, or the rest of it. */
void caller_abort(struct caller *caller);

/**
 * Answers with a refusal: the verdict in header fields and as a JSON body.
 * Replaces an answer whose sending has not started; does nothing after that.
 */
void caller_refuse(struct caller *caller, struct verdict verdict);

/** Returns whether the caller closed its connection or the connection failed.
 */
bool caller_disconnected(const struct caller *caller);

#endif
