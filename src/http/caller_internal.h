/**
 * Declarations shared by caller.c (requests) and caller_server.c (connections).
 * MHD is libmicrohttpd.
 */
#ifndef HTTP_CALLER_INTERNAL_H
#define HTTP_CALLER_INTERNAL_H

#include <microhttpd.h>

#include "http/caller.h"

/** An open connection of a caller. */
struct connection {
	/** Element of caller_server.connections. */
	GList link;
	/** The connection's socket, owned by MHD. */
	int fd;
	/** A request is in progress on the connection. */
	bool busy;
};

struct caller_server {
	struct MHD_Daemon *daemon;
	const struct caller_ops *ops;
	/** The owner's pointer, passed to ops. */
	void *ctx;
	/** Address that the server listens on. */
	struct sockaddr_in address;
	/** MHD's epoll descriptor. */
	int epoll_fd;
	/** Open connections: struct connection. */
	GQueue connections;
	/** Requests in progress: struct caller. */
	GQueue callers;
	/** Source of the request ids. */
	GRand *random;
	/** A connection was resumed: MHD must run without waiting. */
	bool resumed;
	/** Answers carry "Connection: close". */
	bool keepalive_disabled;
};

/** Progress of a request in MHD. */
enum caller_stage {
	/** Only the request line was read. */
	CALLER_LINE,
	/** The request body is being received. */
	CALLER_UPLOADING,
	/** The request is complete and has no answer yet. */
	CALLER_WAITING,
	/** The answer was passed to MHD. */
	CALLER_ANSWERING,
};

struct caller {
	/** Element of caller_server.callers. */
	GList link;
	struct caller_server *server;
	struct MHD_Connection *mhd;
	/** The owner's pointer for this request. */
	void *data;
	enum caller_stage stage;
	/** The request id, sent to the caller as Auburn-Request-Id. */
	char id[CALLER_ID_SIZE];
	/** The request target exactly as in the request line. */
	char *target;
	char *method;
	/** Header fields of the request without those of headers_strip(). */
	struct headers *headers;
	/** Length of the request body in bytes, or HEADERS_LENGTH_CHUNKED. */
	int64_t upload_length;
	/** Buffer of the request body. */
	struct body *upload;
	/** Number of bytes of the request body received so far. */
	uint64_t uploaded;
	/** Number of further bytes of the request body that may be discarded;
	 * valid when discarding is set. */
	uint64_t discard_left;
	/** The rest of the request body is discarded. */
	bool discarding;
	/** The connection is suspended in MHD. */
	bool suspended;
	/** The connection is to be closed without a complete answer. */
	bool aborted;
	/** Answer that was not passed to MHD yet; else NULL. */
	struct MHD_Response *response;
	/** HTTP status code of the answer or refusal. */
	unsigned int status;
	/** Source of the answer's body; NULL until caller_answer() sets it. A
	 * refusal doesn't use it. */
	struct body *answer;
};

/** Creates a request whose request line was just read. */
struct caller *caller_create(struct caller_server *server,
			     struct MHD_Connection *mhd, const char *target);

/** Frees a request with its unsent answer. */
void caller_free(struct caller *caller);

/**
 * Handles a call of MHD's access handler. MHD makes several calls for each
 * request: for the head, for each part of the body, and for the end.
 *
 * @param data bytes of the request body
 * @param size number of bytes at data; set to the number of unread ones
 * @return MHD_NO to make MHD close the connection
 */
enum MHD_Result caller_handle(struct caller *caller, const char *method,
			      const char *version, const char *data,
			      size_t *size);

/** Resumes the request's connection in MHD if it is suspended. */
void caller_resume(struct caller *caller);

#endif
