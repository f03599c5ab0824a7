/**
 * The state that a router's workers share: the admission queue, the upstream
 * pools, the poison records (requests that crash upstreams) and request counts.
 *
 * Every call takes the one lock of the instance for a short time. Lock order:
 * dispatch, then a mailbox; no other lock is taken under this one.
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

struct dispatch;

/** The part of a service that workers use without the lock. Lives as long as
 * the dispatch. */
struct dispatch_service {
	char *name;
	struct retry_budget *budget;
	/** Finished requests, by enum verdict_kind. */
	struct counter *outcomes[3];
	struct counter *retries;
	struct counter *backups;
	/** From arrival to the first byte of the answer. */
	struct histogram *head_time;
	struct histogram *queue_time;
	/** From arrival to the end of the answer. */
	struct histogram *whole_time;
};

struct dispatch_options {
	const char *zone;
	const char *daemon;
	/** Most requests admitted from the queue at the same time. */
	uint32_t capacity;
	/** Most requests in flight to one upstream. */
	uint32_t slots;
	struct metrics *metrics;
	const struct clock *clock;
	/** Wakes the control thread when a share request or a crash report is
	 * pending. Called under the lock; must not call the dispatch. */
	void (*wake_control)(void *ctx);
	void *ctx;
};

enum ticket_state {
	TICKET_IDLE,
	/** In the admission queue. */
	TICKET_QUEUED,
	/** Sent to the mailbox, not yet delivered. */
	TICKET_POSTED,
	/** Delivered with a slot at an upstream. */
	TICKET_IN_FLIGHT,
};

/** The wait of one copy of a request for a slot at an upstream, then the slot.
 * Embedded in the copy. */
struct ticket {
	struct message message;
	/** Mailbox of the worker; set by the worker, as message.deliver is. */
	struct mailbox *mailbox;
	struct dispatch_service *service;
	/** Id of the upstream that owns the request's key; "" for any. */
	char owner[DISPATCH_ID_SIZE];
	/** The request is suspected of crashing upstreams: it runs only as the
	 * fleet's one trial for the service. */
	bool trial;
	/** Upstreams that earlier copies were sent to, by pool index. */
	uint32_t tried[POOL_TRIED_MAX];
	size_t tried_count;
	int64_t deadline_us;
	/** From poison_fingerprint(). */
	uint64_t fingerprint;
	/** Set on delivery: REASON_NONE when it has a slot, else why not. */
	enum verdict_reason reason;
	/** Id of the upstream whose slot it has. */
	char upstream[DISPATCH_ID_SIZE];

	/** The fields below are set by the dispatch. On delivery the worker
	 * updates state. */
	enum ticket_state state;
	struct admission_entry *entry;
	struct lane *lane;
	/** Counts against options.capacity. */
	bool admitted;
	int64_t offered_us;
	int64_t admitted_us;
	/** From admission to the head of the answer; 0 without an answer. */
	int64_t took_us;
	int64_t started_us;
	struct pool_flight *flight;
	/** The request must not be sent to the upstream after this time. */
	int64_t send_before_us;
	/** Handle from poison_begin(). */
	uint64_t poison;
};

/** Creates an instance without services. */
struct dispatch *dispatch_create(const struct dispatch_options *options);

/** Frees an instance. No ticket may be queued or in flight. */
void dispatch_destroy(struct dispatch *dispatch);

/** Applies a view's services, profiles and VMs. For the control thread. */
void dispatch_update(struct dispatch *dispatch, const struct view *view);

/** Finds a service. @return NULL when it is not known */
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
 * @return false when no upstream that was not tried yet has a free slot, or
 *         when backup requests are not allowed now
 */
bool dispatch_try_backup(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Removes a ticket from the queue.
 *
 * @return false when it was already sent to the mailbox and will be delivered
 */
bool dispatch_withdraw(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Records that the head of the answer arrived for a ticket with a slot.
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

/** Tells whether a request may be sent, only as a trial, or not at all. */
enum poison_check dispatch_check_poison(struct dispatch *dispatch,
					uint64_t fingerprint);

/**
 * Counts a request for the load report.
 *
 * @param hash hash of the request's key
 * @param epoch epoch of the owner map; a new epoch resets the slice counts
 * @param slice index of the key's slice among the map's slices
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
	struct budget_request ask;
};

typedef void (*dispatch_share_request_fn)(
	void *ctx, const struct dispatch_share_request *ask);

/** Calls ask for every share request that is due; without the lock. */
void dispatch_request_shares(struct dispatch *dispatch,
			     dispatch_share_request_fn ask, void *ctx);

/**
 * Applies a share that an assigner granted.
 *
 * @param upstream id of the upstream, or "trial/SERVICE" for the share that
 *        allows the service's one trial
 * @param boot incarnation of the upstream that the share holds for
 * @param asked_us when it was requested, by this router's clock
 * @param count requests that may be in flight under the share
 * @param duration_us how long it holds, from asked_us
 */
void dispatch_apply_share(struct dispatch *dispatch, struct str upstream,
			  struct str boot, int64_t asked_us, uint32_t count,
			  int64_t duration_us);

/** Applies a crash report that another process sent. */
void dispatch_apply_poison(struct dispatch *dispatch,
			   const struct poison_report *report);

/** Calls tell for every crash report since the last call; without the lock. */
void dispatch_report_poison(struct dispatch *dispatch,
			    void (*tell)(void *ctx,
					 const struct poison_report *report),
			    void *ctx);

/** The load on one keyed service since the last report. */
struct dispatch_load {
	const char *service;
	uint64_t requests;
	/** Epoch of the owner map that slices refers to. */
	uint64_t epoch;
	/** Requests by slice. */
	const uint64_t *slices;
	size_t slice_count;
	const struct hot_key *hot;
	size_t hot_count;
};

/** Calls tell with the load of every keyed service that had requests, under the
 * lock, and resets the counts. */
void dispatch_report_load(struct dispatch *dispatch,
			  void (*tell)(void *ctx,
				       const struct dispatch_load *load),
			  void *ctx);

/** Appends the state of all upstreams in the Prometheus text format. */
void dispatch_render(struct dispatch *dispatch, GString *out);

/** Returns the number of requests admitted and not yet finished. */
uint32_t dispatch_running(struct dispatch *dispatch);

#endif
