/**
 * Declarations shared by exchange.c (one request) and exchange_pool.c
 * (connections).
 */
#ifndef HTTP_EXCHANGE_INTERNAL_H
#define HTTP_EXCHANGE_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "http/exchange.h"
#include "http/verified_conns.h"

/** Buffer size for a URL with a numeric address. */
#define EXCHANGE_URL_SIZE 64

struct exchange_pool {
	CURLM *multi;
	const struct clock *clock;
	const struct exchange_ops *ops;
	/** The owner's pointer, passed to ops. */
	void *ctx;
	/** Epoll set of the sockets that libcurl waits for. */
	int epoll_fd;
	/** When libcurl's timer is due, in microseconds of the clock; -1 for
	 * never. */
	int64_t timer_due_us;
	/** Reusable easy handles: CURL *. */
	GPtrArray *idle_handles;
	/** Copied from the fields of struct exchange_pool_options. */
	int64_t connect_us;
	long idle_s;
	/** Which incarnation of an upstream answered on each open connection.
	 */
	struct verified_conns *verified_conns;
	/** Number of requests so far that use a connection of their own; makes
	 * the host names unique that keep libcurl from sharing it. */
	uint64_t own_connection_count;
};

struct exchange {
	struct exchange_pool *pool;
	/** libcurl's handle for the transfers of this exchange. */
	CURL *easy;
	/** Header lines of the request. */
	struct curl_slist *lines;
	/** The owner's pointer. */
	void *data;
	/** Value of CURLOPT_CONNECT_TO, or NULL; owned by the exchange. */
	struct curl_slist *connect_to;
	char *method;
	char *target;
	/** Id of the wanted incarnation; empty for any. */
	char *boot;
	struct sockaddr_in address;
	int64_t upload_length;
	int64_t send_before_us;
	/** Header fields of the answer, or of the answer to a probe. */
	struct headers *headers;
	/** Buffers of the request body and of the answer's body. */
	struct body *upload;
	struct body *body;
	enum exchange_end end;
	unsigned int status;
	/** Length of the answer's body, or HEADERS_LENGTH_CHUNKED. */
	int64_t length;
	/** Time for exchange_progress_us(). */
	int64_t progress_us;
	/** Status and header fields of the answer are complete. */
	bool head_done;
	/** Bytes of the request may have been sent. */
	bool sent;
	/** Receiving waits for room in body. */
	bool body_paused;
	/** Sending waits for bytes in upload. */
	bool upload_paused;
	/** The rest of the answer's body is discarded. */
	bool discarding;
	/** The request uses a connection of its own. */
	bool own_connection;
	/** The request was not sent because send_before_us had passed. */
	bool expired;
	/** The current transfer is a probe, not the request. */
	bool probing;
	/**
	 * libcurl chose a connection on which the wanted incarnation has not
	 * answered, so the request was not sent.
	 */
	bool unverified;
	/** Number of probes started for this request. */
	unsigned int probes;
	/** The answer's header is malformed or its body length unknown. */
	bool unusable;
};

/** Returns an easy handle with the options common to all exchanges; give it
 * back with exchange_pool_put_handle(). */
CURL *exchange_pool_get_handle(struct exchange_pool *pool);

/** Returns a handle to the pool. */
void exchange_pool_put_handle(struct exchange_pool *pool, CURL *easy);

/**
 * Handles the end of a transfer: of the probe or of the request.
 *
 * @param code libcurl's result of the transfer
 */
void exchange_finish(struct exchange *exchange, CURLcode code);

#endif
