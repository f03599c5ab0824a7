/**
 * Shared by caller.c (requests) and caller_server.c (connections).
 */
#ifndef HTTP_CALLER_INTERNAL_H
#define HTTP_CALLER_INTERNAL_H

#include <microhttpd.h>

#include "http/caller.h"

/** One open connection. */
struct connection {
	GList link;
	int fd;
	/** It carries a request. */
	bool busy;
};

struct caller_server {
	struct MHD_Daemon *daemon;
	const struct caller_ops *ops;
	void *ctx;
	struct sockaddr_in address;
	int epoll_fd;
	/** struct connection, open ones. */
	GQueue connections;
	/** struct caller, requests in progress. */
	GQueue callers;
	GRand *random;
	/** A connection was resumed: the daemon has to run. */
	bool resumed;
	bool closing;
};

/** How far MHD has come with a request. */
enum caller_stage {
	CALLER_LINE,
	CALLER_UPLOADING,
	CALLER_WAITING,
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
	/** Bytes of the upload still to be thrown away, when discarding. */
	uint64_t discard_left;
	bool discarding;
	bool suspended;
	bool broken;
	/** Built, and not yet handed over to MHD. */
	struct MHD_Response *response;
	unsigned int status;
	struct body *answer;
};

/** Creates the request whose line was just read. */
struct caller *caller_create(struct caller_server *server,
			     struct MHD_Connection *mhd, const char *target);

/** Frees a request. */
void caller_free(struct caller *caller);

/** MHD's access handler. */
enum MHD_Result caller_handle(struct caller *caller, const char *method,
			      const char *version, const char *data,
			      size_t *size);

/** Lets MHD go on with a connection that waits. */
void caller_resume(struct caller *caller);

#endif
