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
	void *data;
	enum caller_stage stage;
	char id[CALLER_ID_SIZE];
	char *target;
	char *method;
	struct headers *headers;
	int64_t upload_length;
	struct body *upload;
	uint64_t uploaded;
	/** When discarding: how many more body bytes may be discarded. */
	uint64_t discard_left;
	bool discarding;
	bool suspended;
	bool broken;
	/** Answer that was not passed to MHD yet; else NULL. */
	struct MHD_Response *response;
	unsigned int status;
	struct body *answer;
};

/** Creates a request whose request line was just read. */
struct caller *caller_create(struct caller_server *server,
			     struct MHD_Connection *mhd, const char *target);

/** Frees a request. */
void caller_free(struct caller *caller);

/** MHD access handler; MHD calls it repeatedly for each request. */
enum MHD_Result caller_handle(struct caller *caller, const char *method,
			      const char *version, const char *data,
			      size_t *size);

/** Resumes the request's connection in MHD if it is suspended. */
void caller_resume(struct caller *caller);

#endif
