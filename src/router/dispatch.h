/**
 * The dispatcher: the state that a router's workers share. It holds the
 * admission queue, the upstream pools, the poison records (requests that crash
 * upstreams) and the request counts.
 *
 * Every call takes the instance's only lock for a short time. Lock order: the
 * dispatcher's lock, then a mailbox's; no other lock is taken under it.
 */
#ifndef ROUTER_DISPATCH_H
#define ROUTER_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/verdict.h"
#include "ownership/hot_keys.h"
#include "request/poison.h"
#include "request/retry_budget.h"
#include "router/mailbox.h"
#include "router/view.h"
#include "upstream/budget.h"
#include "upstream/pool.h"

/** Size of a buffer for an upstream's id or incarnation, NUL included. */
#define DISPATCH_ID_SIZE 72
/** Most hot keys in a load report of one service. */
#define DISPATCH_HOT_KEYS 32

/** The dispatcher of one router. */
struct dispatch;

/** The part of a service that workers use without the lock. Lives as long as
 * the dispatcher. */
struct dispatch_service {
	char *name;
	/** Limits retries to a percentage of the answered requests. */
	struct retry_budget *budget;
	/** Finished requests, by enum verdict_kind. */
	struct counter *outcomes[3];
	/** Copies after the first, without backup requests. */
	struct counter *retries;
	struct counter *backups;
	/** Time from the arrival of a request to the first byte of its answer.
	 */
	struct histogram *head_time;
	/** Time that a copy spends in the admission queue. */
	struct histogram *queue_time;
	/** Time from the arrival of a request to the end of its answer. */
	struct histogram *whole_time;
};

/** Options of dispatch_create(); strings must outlive the dispatcher. */
struct dispatch_options {
	/** Availability zone and id of this router. */
	const char *zone;
	const char *daemon;
	/** Most requests that may be admitted and not yet finished. */
	uint32_t capacity;
	/** Most requests that this router has in flight to one upstream. */
	uint32_t slots;
	struct metrics *metrics;
	const struct clock *clock;
	/** Wakes the control thread when a share request or a crash report is
	 * pending. Called under the lock; must not call the dispatcher. */
	void (*wake_control)(void *ctx);
	void *ctx;
};

/** Where a ticket is. */
enum ticket_state {
	/** The ticket is not queued and has no slot. */
	TICKET_IDLE,
	/** The ticket is in the admission queue. */
	TICKET_QUEUED,
	/** The ticket left the queue, with or without a slot; it was sent to
	 * the worker's mailbox and is not yet delivered. */
	TICKET_POSTED,
	/** The ticket was delivered and has a slot at an upstream. */
	TICKET_IN_FLIGHT,
};

/**
 * Represents one copy of a request in the admission queue, and its slot at an
 * upstream after that. Embedded in the copy. Times are on the monotonic clock.
 */
struct ticket {
	struct message message;
	/** Mailbox of the worker. The worker sets this and message.deliver. */
	struct mailbox *mailbox;
	struct dispatch_service *service;
	/** Id of the upstream that owns the request's key; "" for any. */
	char owner[DISPATCH_ID_SIZE];
	/** The request is suspected of crashing upstreams: it runs only as a
	 * trial. All routers together run one trial of a service at a time. */
	bool trial;
	/** Upstreams that earlier copies were sent to, by pool index. */
	uint32_t tried[POOL_TRIED_MAX];
	size_t tried_count;
	/** The ticket leaves the queue without a slot after this time. */
	int64_t deadline_us;
	/** Fingerprint of the request, from poison_fingerprint(). */
	uint64_t fingerprint;
	/** Set before delivery: REASON_NONE when the ticket has a slot, else
	 * the reason why it got none. */
	enum verdict_reason reason;
	/** Id of the upstream at which the ticket has a slot. */
	char upstream[DISPATCH_ID_SIZE];

	/** The dispatcher sets the fields below. On delivery the worker
	 * updates state. */
	enum ticket_state state;
	/** Place in the admission queue; NULL when not queued. */
	struct admission_entry *entry;
	/** NULL for a backup, which bypasses the queue. */
	struct lane *lane;
	/** The ticket counts against options.capacity. */
	bool admitted;
	/** When the ticket entered the queue. */
	int64_t enqueued_us;
	/** When the queue admitted the ticket. */
	int64_t admitted_us;
	/** Time from admission to the head of the answer; 0 without an answer.
	 */
	int64_t response_us;
	/** When the ticket got its slot. */
	int64_t started_us;
	/** The request in the pool's count of the upstream; NULL without a
	 * slot. */
	struct pool_flight *flight;
	/** The request must not be sent to the upstream after this time. */
	int64_t send_before_us;
	/** Handle from poison_begin(), while the ticket has a slot. */
	uint64_t poison_handle;
};

/** Creates an instance without services; free with dispatch_destroy(). */
struct dispatch *dispatch_create(const struct dispatch_options *options);

/** Frees an instance. No ticket may be queued or in flight. */
void dispatch_destroy(struct dispatch *dispatch);

/** Applies a view's services, profiles and VMs. For the control thread. */
void dispatch_update(struct dispatch *dispatch, const struct view *view);

/** Finds a service by its name. @return NULL when it is not known */
struct dispatch_service *dispatch_service(struct dispatch *dispatch,
					  struct str name);

/**
 * Queues a ticket. It is delivered to its mailbox exactly once, with a slot at
 * an upstream or with the reason why it got none, unless dispatch_withdraw()
 * removes it first.
 */
void dispatch_enqueue(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Takes a slot for a backup request, bypassing the queue.
 *
 * @return false when every upstream with a free slot was tried already, or
 *         when cancelled copies already take too much of the upstreams' time,
 *         see pool_backup_allowed()
 */
bool dispatch_try_backup(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Removes a ticket from the queue.
 *
 * @return false when the ticket was already sent to the mailbox and will be
 *         delivered
 */
bool dispatch_withdraw(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Records that the head of the answer arrived for a ticket with a slot, and
 * revokes the crash reports that this answer disproves.
 *
 * @param boot incarnation that the upstream named in the answer
 */
void dispatch_answer_begun(struct dispatch *dispatch, struct ticket *ticket,
			   struct str boot);

/**
 * Releases a ticket's slot at the upstream and its place in the admission
 * limit.
 *
 * @param poison what the end of the exchange says about the request: whether it
 *        may have crashed the upstream
 */
void dispatch_finish(struct dispatch *dispatch, struct ticket *ticket,
		     enum pool_outcome_kind outcome, enum poison_end poison);

/**
 * Admits queued requests that have become admissible with time, such as a probe
 * of a slow upstream, and fails those past their deadline.
 */
void dispatch_tick(struct dispatch *dispatch);

/**
 * Returns the time without an answer after which to send a backup request: the
 * 95th percentile of the service's answer times.
 *
 * @return microseconds; INT64_MAX when too few answers are known
 */
int64_t dispatch_backup_delay(struct dispatch *dispatch,
			      struct dispatch_service *service);

/** Tells whether a request may be sent normally, only as a trial, or not at
 * all. */
enum poison_check dispatch_check_poison(struct dispatch *dispatch,
					uint64_t fingerprint);

/**
 * Counts a request for the load report.
 *
 * @param hash hash of the request's key
 * @param epoch epoch of the owner map; a new epoch resets the slice counts
 * @param slice index of the key's slice among the map's slices
 * @param slices number of slices in the map
 */
void dispatch_count_key(struct dispatch *dispatch,
			struct dispatch_service *service, uint64_t hash,
			uint64_t epoch, size_t slice, size_t slices);

/*
 * The functions below are for the control thread.
 */

/** A request to the assigners for a share of an upstream's budget. */
struct dispatch_share_request {
	const char *service;
	struct str upstream;
	struct budget_request budget;
};

/** @param request valid during the call only */
typedef void (*dispatch_share_request_fn)(
	void *ctx, const struct dispatch_share_request *request);

/** Calls send for every share request that is due, without the lock. */
void dispatch_request_shares(struct dispatch *dispatch,
			     dispatch_share_request_fn send, void *ctx);

/**
 * Applies a share that an assigner granted.
 *
 * @param upstream id of the upstream, or "trial/SERVICE" for the share that
 *        allows a trial of the service
 * @param boot incarnation of the upstream that the share is valid for
 * @param asked_us when the share was requested, by this router's monotonic
 *        clock
 * @param count requests that may be in flight under the share
 * @param duration_us how long the share is valid, from asked_us
 */
void dispatch_apply_share(struct dispatch *dispatch, struct str upstream,
			  struct str boot, int64_t asked_us, uint32_t count,
			  int64_t duration_us);

/** Applies a crash report that another process sent. */
void dispatch_apply_crash_report(struct dispatch *dispatch,
				 const struct poison_report *report);

/**
 * Calls send for every crash report queued since the last call, without the
 * lock. A report is valid during its call only.
 */
void dispatch_report_crashes(struct dispatch *dispatch,
			     void (*send)(void *ctx,
					  const struct poison_report *report),
			     void *ctx);

/** The load on one keyed service since the last load report. */
struct dispatch_load {
	const char *service;
	uint64_t requests;
	/** Epoch of the owner map that the slice counts refer to. */
	uint64_t epoch;
	/** Requests by slice. */
	const uint64_t *slices;
	size_t slice_count;
	/** The keys with the most requests, at most DISPATCH_HOT_KEYS. */
	const struct hot_key *hot;
	size_t hot_count;
};

/**
 * Calls send, under the lock, with the load of every keyed service that had
 * requests, and resets the counts. A load is valid during its call only.
 */
void dispatch_report_load(struct dispatch *dispatch,
			  void (*send)(void *ctx,
				       const struct dispatch_load *load),
			  void *ctx);

/** Appends gauges of all upstreams' state in the Prometheus text format. */
void dispatch_render(struct dispatch *dispatch, GString *out);

/** Returns the number of requests admitted and not yet finished. */
uint32_t dispatch_running(struct dispatch *dispatch);

#endif
