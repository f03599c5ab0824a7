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
	void *ctx;
	int epoll_fd;
	/** When libcurl's timer is due; -1 for never. */
	int64_t due_us;
	/** Reusable easy handles: CURL *. */
	GPtrArray *idle;
	int64_t connect_us;
	long idle_s;
	/** The incarnation that answered on each open connection. */
	struct verified_conns *verified_conns;
	/** Number of connections opened for one request only; names them. */
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
	/** The request was not sent because send_before_us had passed. */
	bool late;
	/** The current transfer is a probe, not the request. */
	bool probing;
	/**
	 * libcurl chose a connection on which the wanted incarnation has not
	 * answered, so the request was not sent.
	 */
	bool unverified;
	unsigned int probes;
	/** The answer's header is malformed or its body length unknown. */
	bool unusable;
};

/** Returns an easy handle with the options common to all exchanges. */
CURL *exchange_pool_take(struct exchange_pool *pool);

/** Returns a handle to the pool. */
void exchange_pool_put(struct exchange_pool *pool, CURL *easy);

/** Handles the end of a transfer: of the probe or of the request. */
void exchange_finish(struct exchange *exchange, CURLcode code);

#endif
