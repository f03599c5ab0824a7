/**
 * A request's way: route, choice of an upstream, waiting, sending, sending
 * again, answer or refusal. One thread owns it.
 */
#ifndef ENTRY_FORWARD_H
#define ENTRY_FORWARD_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "directory/protocol.h"
#include "entry/links.h"
#include "entry/roster.h"
#include "net/http_server.h"

struct forward;

struct forward_options {
	struct loop *loop;
	const struct entry_settings *settings;
	struct roster *roster;
	struct links *links;
	const struct protocol *protocol;
	struct event_log *log;
	struct metrics *metrics;
	/** A request was in flight when its upstream was lost. */
	void (*crashed)(void *ctx, uint64_t fingerprint, const char *upstream);
	void *ctx;
};

struct forward *forward_create(const struct forward_options *options);

/** Ends all requests without an answer, and frees. */
void forward_destroy(struct forward *forward);

/** Takes a whole request; its answer follows now or later. */
void forward_request(struct forward *forward, struct http_request *request);

/** The caller of a request is gone. */
void forward_gone(struct forward *forward, struct http_request *request);

/**
 * This VM stops.
 *
 * @param accept_s until when requests are taken
 * @param end_s when the process ends: a request that is given up by then is
 *        taken nevertheless
 */
void forward_stop(struct forward *forward, double accept_s, double end_s);

/** Answers all requests that are still here: the process ends. */
void forward_end(struct forward *forward);

/** Looks again for upstreams for requests that wait. */
void forward_pump(struct forward *forward);

/** Notes that an upstream was lost under a request, seen here or elsewhere. */
void forward_note_crash(struct forward *forward, uint64_t fingerprint,
			const char *upstream);

/** Several times a second. */
void forward_tick(struct forward *forward);

#endif
