/**
 * Callers' side: requests as they come in over libmicrohttpd, and the answers
 * to them. One thread owns a server and the callers in it.
 *
 * Operations are called from within libmicrohttpd. They only note that a caller
 * wants attention; the owner acts on it after caller_server_run().
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

/** Bytes of an upload that are kept so that it can be sent again. */
#define CALLER_KEEP_BYTES ((size_t)64 << 10)
/** Bytes of an upload held at most. */
#define CALLER_UPLOAD_BYTES ((size_t)256 << 10)
/** Longest request line and header fields together. */
#define CALLER_HEAD_BYTES ((size_t)32 << 10)
/** Room for a request id and its NUL. */
#define CALLER_ID_SIZE 33

/** One request of a caller and its answer. */
struct caller;
struct caller_server;

struct caller_ops {
	/** The head is complete. */
	void (*began)(void *ctx, struct caller *caller);
	/** Bytes of the upload came, or it ended. */
	void (*uploaded)(void *ctx, struct caller *caller);
	/** Bytes of the answer went out: its body has room. */
	void (*drained)(void *ctx, struct caller *caller);
	/**
	 * The request is over; the caller is freed after this call.
	 * whole: the answer went out to its end.
	 */
	void (*ended)(void *ctx, struct caller *caller, bool whole);
};

struct caller_server_options {
	struct sockaddr_in address;
	/** Connections at most. */
	unsigned int connections;
	/** Seconds after which a connection without progress is closed. */
	unsigned int idle_s;
};

/**
 * Starts listening.
 *
 * @param ops lives as long as the server
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return the server, or NULL
 */
struct caller_server *
caller_server_create(const struct caller_server_options *options,
		     const struct caller_ops *ops, void *ctx, GError **error);

/** Closes every connection and frees. */
void caller_server_destroy(struct caller_server *server);

/** The address that it listens on. */
struct sockaddr_in caller_server_address(const struct caller_server *server);

/** A descriptor that is readable when caller_server_run() has work. */
int caller_server_fd(const struct caller_server *server);

/** Microseconds until caller_server_run() must be called; -1 for never. */
int64_t caller_server_wait_us(const struct caller_server *server);

/** Reads requests and writes answers; never blocks. */
void caller_server_run(struct caller_server *server);

/** Answers tell callers from now on to close their connections. */
void caller_server_disable_keepalive(struct caller_server *server);

/** Stops listening and closes connections that carry no request. */
void caller_server_quiesce(struct caller_server *server);

/** Connections open. */
unsigned int caller_server_connections(const struct caller_server *server);

/** The owner's own pointer. */
void *caller_data(const struct caller *caller);
void caller_set_data(struct caller *caller, void *data);

struct str caller_method(const struct caller *caller);
/** The request target as it stands in the request line. */
struct str caller_target(const struct caller *caller);
/** The fields, without those that end here. */
const struct headers *caller_headers(const struct caller *caller);
/** Bytes of the upload, or HEADERS_LENGTH_CHUNKED; 0 when there is none. */
int64_t caller_upload_length(const struct caller *caller);
/** The upload; ended when all of it came. */
struct body *caller_upload(const struct caller *caller);
/** Bytes of the upload that came so far. */
uint64_t caller_uploaded(const struct caller *caller);
/** The id that names the request everywhere. */
const char *caller_id(const struct caller *caller);
/** Whether bytes of an answer may have gone out. */
bool caller_answer_begun(const struct caller *caller);
/** Whether an answer was given, be it not begun yet. */
bool caller_answered(const struct caller *caller);

/** Takes more of the upload after it was read. */
void caller_resume_upload(struct caller *caller);

/**
 * Throws away what is still to come of the upload, up to limit bytes; beyond
 * them the connection is closed.
 */
void caller_discard_upload(struct caller *caller, uint64_t limit);

/**
 * Begins the answer.
 *
 * @param headers end-to-end fields; not kept
 * @param length bytes of the body, or HEADERS_LENGTH_CHUNKED
 * @param body where the bytes come from; takes a reference
 */
void caller_answer(struct caller *caller, unsigned int status,
		   const struct headers *headers, int64_t length,
		   struct body *body);

/** More bytes are in the answer's body, or it ended. */
void caller_resume_answer(struct caller *caller);

/** Breaks the transfer: the connection closes before the answer's end. */
void caller_abort(struct caller *caller);

/**
 * Refuses with the verdict in header fields and as JSON, in place of an answer
 * that was not begun yet.
 */
void caller_refuse(struct caller *caller, struct verdict verdict);

/**
 * Looks whether the caller closed its connection while it waits.
 */
bool caller_disconnected(const struct caller *caller);

#endif
