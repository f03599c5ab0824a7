/**
 * What a router's workers share: the queue, the pools of upstreams, poisoned
 * requests and counts. Every call takes the one lock of the instance for a
 * short time. Lock order: dispatch, then a mailbox; nothing else is taken
 * inside.
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

/** Room for an upstream's id or incarnation and its NUL. */
#define DISPATCH_ID_SIZE 72
/** Hot keys told to assigners for each service. */
#define DISPATCH_HOT_KEYS 32

struct dispatch;

/** A service as the workers share it; lives as long as the dispatch. */
struct dispatch_service {
	char *name;
	struct retry_budget *budget;
	struct counter *outcomes[3];
	struct counter *retries;
	struct counter *backups;
	struct histogram *head_time;
	struct histogram *queue_time;
	struct histogram *whole_time;
};

struct dispatch_options {
	const char *zone;
	const char *daemon;
	/** Requests past the queue at once. */
	uint32_t capacity;
	/** Requests that one upstream runs at once. */
	uint32_t slots;
	struct metrics *metrics;
	const struct clock *clock;
	/** Called under the lock when shares are wanted. */
	void (*shares_wanted)(void *ctx);
	void *ctx;
};

enum ticket_state {
	TICKET_IDLE,
	/** Waits for its turn. */
	TICKET_QUEUED,
	/** On its way to the mailbox. */
	TICKET_SENT,
	/** Has a flight. */
	TICKET_FLYING,
};

/** One copy of a request on its way to a place at an upstream. */
struct ticket {
	struct message message;
	/** Where it is delivered; set by the owner, as message.deliver. */
	struct mailbox *mailbox;
	struct dispatch_service *service;
	/** Owner of the request's key, or "" for any upstream. */
	char owner[DISPATCH_ID_SIZE];
	/** Only while it is a suspect's trial. */
	bool trial;
	uint32_t tried[POOL_TRIED_MAX];
	size_t tried_count;
	int64_t deadline_us;
	uint64_t fingerprint;
	/** Set on delivery: REASON_NONE when it has a flight. */
	enum verdict_reason reason;
	char upstream[DISPATCH_ID_SIZE];

	/** The dispatch's own. */
	enum ticket_state state;
	struct admission_entry *entry;
	struct lane *lane;
	bool admitted;
	int64_t offered_us;
	int64_t admitted_us;
	int64_t took_us;
	int64_t started_us;
	struct pool_flight *flight;
	/** Not to be sent after this. */
	int64_t send_before_us;
	uint64_t poison;
};

/** Creates an instance without services. */
struct dispatch *dispatch_create(const struct dispatch_options *options);

/** Frees it; no ticket may be in it. */
void dispatch_destroy(struct dispatch *dispatch);

/** Takes over services, profiles and VMs; by the control thread. */
void dispatch_update(struct dispatch *dispatch, const struct view *view);

/** Finds a service. @return NULL when none is known */
struct dispatch_service *dispatch_service(struct dispatch *dispatch,
					  struct str name);

/**
 * Queues a ticket. It is delivered with a flight or with a reason, exactly
 * once, unless dispatch_withdraw() takes it back before.
 */
void dispatch_offer(struct dispatch *dispatch, struct ticket *ticket);

/**
 * Looks for a place beside the queue, for a backup request.
 *
 * @return false when there is none
 */
bool dispatch_backup(struct dispatch *dispatch, struct ticket *ticket);

/** @return false when the ticket is on its way to the mailbox */
bool dispatch_withdraw(struct dispatch *dispatch, struct ticket *ticket);

/** Notes the head of the answer to a ticket with a flight. */
void dispatch_head(struct dispatch *dispatch, struct ticket *ticket,
		   struct str boot);

/**
 * Ends a ticket's flight and gives its places back.
 *
 * @param poison what its end says about the request
 */
void dispatch_finish(struct dispatch *dispatch, struct ticket *ticket,
		     enum pool_outcome_kind outcome, enum poison_end poison);

/** Lets time pass: late requests, probes. */
void dispatch_tick(struct dispatch *dispatch);

/** When a backup request is worth its load. */
int64_t dispatch_backup_delay(struct dispatch *dispatch,
			      struct dispatch_service *service);

/** What to do with a request before it is sent. */
enum poison_check dispatch_poison(struct dispatch *dispatch,
				  uint64_t fingerprint);

/** Counts a request for a key. */
void dispatch_count_key(struct dispatch *dispatch,
			struct dispatch_service *service, uint64_t hash,
			uint64_t epoch, size_t slice, size_t slices);

/*
 * For the control thread.
 */

struct dispatch_ask {
	const char *service;
	struct str upstream;
	struct budget_ask ask;
};

typedef void (*dispatch_ask_fn)(void *ctx, const struct dispatch_ask *ask);

/** Calls ask for every share to ask for now. */
void dispatch_ask_shares(struct dispatch *dispatch, dispatch_ask_fn ask,
			 void *ctx);

/** Takes an assigner's answer. */
void dispatch_take_share(struct dispatch *dispatch, struct str upstream,
			 struct str boot, int64_t asked_us, uint32_t count,
			 int64_t duration_us);

/** Takes another process's report of a death. */
void dispatch_take_poison(struct dispatch *dispatch,
			  const struct poison_report *report);

/** Calls tell for every report of a death since the last call. */
void dispatch_tell_poison(struct dispatch *dispatch,
			  void (*tell)(void *ctx,
				       const struct poison_report *report),
			  void *ctx);

struct dispatch_load {
	const char *service;
	uint64_t requests;
	uint64_t epoch;
	const uint64_t *slices;
	size_t slice_count;
	const struct hot_key *hot;
	size_t hot_count;
};

/** Calls tell for every keyed service's counts and starts them again. */
void dispatch_tell_load(struct dispatch *dispatch,
			void (*tell)(void *ctx,
				     const struct dispatch_load *load),
			void *ctx);

/** Appends the upstreams' state in Prometheus' text format. */
void dispatch_render(struct dispatch *dispatch, GString *out);

/** Requests past the queue. */
uint32_t dispatch_running(struct dispatch *dispatch);

#endif
