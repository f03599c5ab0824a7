/**
 * One HTTP request of a test, and all that is known of its answer.
 */
#ifndef CLUSTER_HTTP_H
#define CLUSTER_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What to send; members left 0 take what the comment says. */
struct http_request {
	/** "IPv4:port". */
	const char *address;
	/** Path and query. */
	const char *uri;
	/** NULL: GET, or POST when there is a body. */
	const char *method;
	/** Lines "Name: value", ended by NULL; NULL: none. */
	const char *const *headers;
	/** Text, or NULL for no body. */
	const char *body;
	/** 0: 10 seconds. */
	int64_t timeout_ms;
	/** Bytes a second that are read; 0: no limit. */
	int64_t bytes_per_second;
	/** Count the bytes of the body, but don't keep them. */
	bool discard;
};

struct http_answer {
	/** 0 when the transfer failed before an answer came. */
	long status;
	/** Whether the answer came whole. */
	bool whole;
	/** Why not; "" when it did. */
	char *failure;
	GString *body;
	uint64_t body_len;
	/** Lower-case name to value. */
	GHashTable *headers;
	/** From sending to the end, microseconds. */
	int64_t took_us;
};

/**
 * Sends a request on a connection of its own and waits for the answer.
 *
 * @return the answer; the caller frees it with http_answer_destroy()
 */
struct http_answer *http_send(const struct http_request *request);

void http_answer_destroy(struct http_answer *answer);

/** A header's value, "" when there is none. */
const char *http_header(const struct http_answer *answer, const char *name);

/** Sends and returns the status only; 0 when the answer was not whole. */
long http_status(const struct http_request *request);

struct http_task;

/**
 * Sends in the background; the request's texts must outlive the task.
 *
 * @return a task for http_join()
 */
struct http_task *http_start(const struct http_request *request);

/**
 * Waits for the end of a task and frees it.
 *
 * @return the answer; the caller frees it
 */
struct http_answer *http_join(struct http_task *task);

#endif
