/**
 * Shared by exchange.c (one request) and exchange_pool.c (connections).
 */
#ifndef HTTP_EXCHANGE_INTERNAL_H
#define HTTP_EXCHANGE_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "http/exchange.h"
#include "http/verified_conns.h"

/** Room for a URL by IP number. */
#define EXCHANGE_URL_SIZE 64

struct exchange_pool {
	CURLM *multi;
	const struct clock *clock;
	const struct exchange_ops *ops;
	void *ctx;
	int epoll_fd;
	/** When libcurl wants to be called; -1 for never. */
	int64_t due_us;
	/** CURL *, handles that can be used again. */
	GPtrArray *idle;
	int64_t connect_us;
	long idle_s;
	/** Which connections reach which incarnation. */
	struct verified_conns *verified_conns;
	/** Counts connections opened for one request. */
	uint64_t fresh_count;
};

struct exchange {
	struct exchange_pool *pool;
	CURL *easy;
	struct curl_slist *lines;
	void *data;
	struct curl_slist *connect_to;
	char *method;
	char *target;
	char *boot;
	struct sockaddr_in address;
	int64_t upload_length;
	int64_t send_before_us;
	struct headers *headers;
	struct body *upload;
	struct body *body;
	enum exchange_end end;
	unsigned int status;
	int64_t length;
	int64_t progress_us;
	bool head_done;
	bool sent;
	bool body_paused;
	bool upload_paused;
	bool discarding;
	bool fresh;
	/** It was too late to send it. */
	bool late;
	/** What runs now is the probe of a connection. */
	bool probing;
	/** The connection at hand was not proved. */
	bool unverified;
	unsigned int probes;
	/** The answer can't be passed on. */
	bool unusable;
};

/** A handle with the options that all exchanges share. */
CURL *exchange_pool_take(struct exchange_pool *pool);

/** Gives a handle back. */
void exchange_pool_put(struct exchange_pool *pool, CURL *easy);

/** Notes how libcurl ended a transfer. */
void exchange_finish(struct exchange *exchange, CURLcode code);

#endif
