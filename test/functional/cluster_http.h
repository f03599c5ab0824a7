/**
 * HTTP client for tests: sends one request and returns its answer.
 */
#ifndef CLUSTER_HTTP_H
#define CLUSTER_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A request to send. Members that are 0 or NULL have the default stated. */
struct http_request {
	/** "IPv4:port". */
	const char *address;
	/** Path and query. */
	const char *uri;
	/** Method; NULL: GET, or POST when there is a body. */
	const char *method;
	/** Lines "Name: value", ended by NULL; NULL: none. */
	const char *const *headers;
	/** Body, ended by a zero byte; NULL: none. */
	const char *body;
	/** Time limit for the whole transfer; 0: 10 seconds. */
	int64_t timeout_ms;
	/** Limit of the rate at which the answer is read; 0: none. */
	int64_t bytes_per_second;
	/** Count the bytes of the answer's body, but don't keep them. */
	bool discard;
};

/** The answer to a request, or the reason why none came. */
struct http_answer {
	/** HTTP status; 0 when the transfer failed before an answer came. */
	long status;
	/** Whether the answer was received to its end. */
	bool whole;
	/** libcurl's error text when the answer wasn't whole; else "". */
	char *failure;
	/** Bytes of the body received; empty when they were discarded. */
	GString *body;
	/** Number of bytes received of the body, including discarded ones. */
	uint64_t body_len;
	/** Maps each header's name in lower case to its value. */
	GHashTable *headers;
	/** From sending to the end of the answer, in microseconds. */
	int64_t took_us;
};

/**
 * Sends a request on a connection of its own and waits for the answer.
 *
 * @return the answer; the caller frees it with http_answer_destroy()
 */
struct http_answer *http_send(const struct http_request *request);

void http_answer_destroy(struct http_answer *answer);

/** Returns a header's value, owned by the answer; "" when it is absent. */
const char *http_header(const struct http_answer *answer, const char *name);

/** Sends a request and returns the status; 0 when the answer wasn't whole. */
long http_status(const struct http_request *request);

/** A request that is sent on a thread of its own. */
struct http_task;

/**
 * Sends a request in the background. The texts of the request are not copied
 * and must outlive the task.
 *
 * @return a task for http_join()
 */
struct http_task *http_start(const struct http_request *request);

/**
 * Waits for the end of a task and frees the task.
 *
 * @return the answer; the caller frees it with http_answer_destroy()
 */
struct http_answer *http_join(struct http_task *task);

#endif
