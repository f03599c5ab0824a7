/**
 * Declarations shared by caller.c (requests) and caller_server.c (connections).
 */
#ifndef HTTP_CALLER_INTERNAL_H
#define HTTP_CALLER_INTERNAL_H

#include <microhttpd.h>

#include "http/caller.h"

/** An open connection of a caller. */
struct connection {
	GList link;
	int fd;
	/** A request is in progress on the connection. */
	bool busy;
};

struct caller_server {
	struct MHD_Daemon *daemon;
	const struct caller_ops *ops;
	void *ctx;
	struct sockaddr_in address;
	int epoll_fd;
	/** Open connections: struct connection. */
	GQueue connections;
	/** Requests in progress: struct caller. */
	GQueue callers;
	GRand *random;
	/** A connection was resumed: MHD must run without waiting. */
	bool resumed;
	/** Answers carry "Connection: close". */
	bool closing;
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
	GList link;
	struct caller_server *server;
	struct MHD_Connection *mhd;
	/** The owner's pointer. */
	void *data;
	enum caller_stage stage;
	char id[CALLER_ID_SIZE];
	char *target;
	char *method;
	struct headers *headers;
	/** Length of the request body, or HEADERS_LENGTH_CHUNKED. */
	int64_t upload_length;
	/** Buffer of the request body. */
	struct body *upload;
	/** Number of bytes of the request body received so far. */
	uint64_t uploaded;
	/** When discarding: how many more body bytes may be discarded. */
	uint64_t discard_left;
	/** The rest of the request body is discarded. */
	bool discarding;
	/** The connection is suspended in MHD. */
	bool suspended;
	/** The connection is to be closed without a complete answer. */
	bool aborted;
	/** Answer that was not passed to MHD yet; else NULL. */
	struct MHD_Response *response;
	unsigned int status;
	/** Source of the answer's body; NULL without an answer, or for a
	 * refusal. */
	struct body *answer;
};

/** Creates a request whose request line was just read. */
struct caller *caller_create(struct caller_server *server,
			     struct MHD_Connection *mhd, const char *target);

/** Frees a request. */
void caller_free(struct caller *caller);

/**
 * Handles a call of MHD's access handler. MHD makes several calls for each
 * request: for the head, for each part of the body, and for the end.
 *
 * @param size number of bytes at data; set to the number of unread ones
 */
enum MHD_Result caller_handle(struct caller *caller, const char *method,
			      const char *version, const char *data,
			      size_t *size);

/** Resumes the request's connection in MHD if it is suspended. */
void caller_resume(struct caller *caller);

#endif
