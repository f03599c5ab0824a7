/**
 * A simulated fleet around the real request modules: routers, upstreams, the
 * budget holder (which grants routers shares of upstream connections) and the
 * platform's table, in simulated time. Faults come from the fuzz input.
 * oracle.c compares what upstreams executed with what callers were told.
 */
#ifndef WORLD_H
#define WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/admission.h"
#include "request/attempt.h"
#include "request/claim.h"
#include "request/poison.h"
#include "request/retry_budget.h"
#include "upstream/budget.h"
#include "upstream/connection.h"
#include "upstream/pool.h"

/** Microseconds in a millisecond. All times are in microseconds. */
#define MS INT64_C(1000)
#define ROUTERS 3
#define UPSTREAMS 4
/** Most copies that an upstream runs at once, and most that it queues. */
#define SLOTS 3
#define QUEUE_MAX 4
/** Size of the body of a whole reply. */
#define BODY_BYTES 1000
/** Time from a request's arrival at a router to its deadline. */
#define DEADLINE_US (700 * MS)
/** Time without a reply after which a connection in use counts as silent. */
#define STALL_US (100 * MS)
/** Time after an upstream began to leave from which routers must not send to
 * it. */
#define LEAVING_BOUND_US (3000 * MS)

/** Kind of a call: how it is routed and whether it may run twice. */
enum kind {
	/** Idempotent; may be sent to two upstreams at once. */
	KIND_READ,
	/** Idempotent; always goes to the upstream that owns the call's key. */
	KIND_KEYED,
	/** Not idempotent: a submission may run once at most. */
	KIND_PLAIN,
	/** Claimed in the table: may run once at most, over all submissions. */
	KIND_ONCE,
	/** Like KIND_READ, but crashes the upstream that runs it. */
	KIND_MARKED,
};

/** A crash of an upstream while a call was in flight on it. */
struct death {
	/** The call that caused the crash, or NULL for an injected fault. */
	struct call *culprit;
	/** When the router sent the call to this upstream, it knew of an
	 * earlier crash with the call in flight. */
	bool sent_knowing_crash;
};

/** A caller's unit of work, which may be submitted several times. */
struct call {
	/** Index in world.calls. */
	uint32_t index;
	enum kind kind;
	/** Identifies the call in crash reports. */
	uint64_t fingerprint;
	/** Number of times that upstreams began to run the call. */
	uint32_t executions;
	uint32_t submissions_left;
	/** Number of upstreams that the call crashed. */
	uint32_t crashes;
	/** Number of crashes by the call that routers may not have learned of,
	 * because of a fault; as many more are allowed. */
	uint32_t hidden_crashes;
	/** Whether each router knows of a crash with the call in flight. */
	bool knows_crash[ROUTERS];
	/** Crashes with the call in flight; those beyond 8 are not kept. */
	struct death deaths[8];
	uint32_t death_count;
};

/** A connection that a router opened to an upstream. */
struct connection {
	/** Index in world.connections. */
	uint64_t id;
	/** Index and incarnation of the router, then of the upstream; boot is 0
	 * until the connection is open. */
	uint32_t router, incarnation, upstream, boot;
	/** The network drops all traffic since silent_since_us. */
	bool silent;
	int64_t silent_since_us;
	/** The router closed the connection. */
	bool closed;
	/** The copy in flight on the connection, or NULL. */
	struct copy *current;
};

/** A copy of a request that one attempt sends to one upstream. */
struct copy {
	struct request *request;
	/** Index in request->copies. */
	uint32_t index;
	/** Index of the upstream that the copy goes to. */
	uint32_t upstream;
	struct connection *connection;
	/** Handles of the copy in the pool and in the poison module; poisoning
	 * is 0 until the copy is started. */
	struct pool_flight *flight;
	uint64_t poisoning;
	int64_t sent_us;
	/** The copy was written to its connection; its router still waits for
	 * it; it uses the router's share of the budget for suspect calls; see
	 * struct death. */
	bool sent, live, trial, sent_knowing_crash;
	/** Size of the body received. */
	uint32_t bytes;
};

/** One submission of a call to a router. */
struct request {
	struct call *call;
	/** Index and incarnation of the router. */
	uint32_t router, incarnation;
	int64_t deadline_us;
	struct admission_entry *entry;
	/** State of the request's copies; NULL until the request may be sent.
	 */
	struct attempt *attempt;
	/** The request's claim in the table; KIND_ONCE only, else NULL. */
	struct claim *claim;
	struct copy *copies[ATTEMPT_MAX];
	/** Index of the copy that needs an upstream, or ATTEMPT_NONE. */
	uint32_t pending;
	/** That copy is a second one, sent while the first is in flight. */
	bool pending_backup;
	/** A claim operation is in the router's batch. */
	bool in_batch;
	/** The request was admitted; has a verdict; its caller has the verdict.
	 */
	bool started, ended, replied;
	/** Earliest time of the reply to the caller. */
	int64_t reply_not_before_us;
	struct verdict verdict;
	/** Number of times that upstreams began to run the request. */
	uint32_t executions;
};

struct fake_upstream {
	char id[4];
	/** boot: incarnation, from 1. */
	uint32_t index, boot;
	bool up, leaving;
	int64_t leaving_since_us, frozen_until_us, slow_until_us, cold_until_us;
	/** Most copies that the upstream accepts at once while it is cold. */
	uint32_t cold_limit;
	/** The upstream is cold because it restarted: routers must treat a new
	 * incarnation as cold without being told. */
	bool cold_start;
	/** struct copy that the upstream runs, and that it has queued. */
	GPtrArray *running;
	GQueue waiting;
};

/** A router: the real request modules and the requests in them. */
struct fake_router {
	uint32_t index, incarnation;
	bool up;
	int64_t paused_until_us;
	/** A tick is scheduled. */
	bool ticking;
	struct pool *pool;
	struct connection_set *connections[UPSTREAMS];
	/** When the router last detected a silent connection. */
	int64_t silence_detected_us[UPSTREAMS];
	struct admission *admission;
	/** The only lane of admission. */
	uint32_t lane;
	struct poison *poison;
	struct retry_budget *budget;
	/** The router's share of the fleet's budget for suspect calls, which
	 * run one at a time. */
	struct budget_share trial;
	struct claim_batch *batch;
	/** struct request with a claim operation in the batch. */
	GPtrArray *batched;
	/** struct request whose caller has no verdict yet, or with a claim
	 * operation pending. */
	GPtrArray *requests;
	/** Arrival of the last message to the budget holder, and of the last
	 * reply from it; messages of each direction stay in order. */
	int64_t last_sent_arrival_us, last_reply_arrival_us;
};

struct world {
	int64_t now;
	/** Next number for an event or a claim. */
	uint64_t sequence;
	/** Numbers of events that were run, of requests that arrived at
	 * routers, and of those whose caller got a verdict. */
	uint64_t steps, submitted, finished;
	GRand *rng;
	/** struct event, in the order in which they run. */
	GSequence *events;
	/** Memory that is freed with the world; see world_new(). */
	GPtrArray *allocations;
	/** struct connection and struct call, by index. */
	GPtrArray *connections;
	GPtrArray *calls;
	struct fake_upstream upstreams[UPSTREAMS];
	struct fake_router routers[ROUTERS];
	/** The budget holder's state: a budget for each upstream, then the one
	 * for suspect calls. */
	struct budget_allocator *holders[UPSTREAMS + 1];
	uint32_t holder_incarnation;
	bool holder_up;
	/** The platform's table: struct row by key. */
	GHashTable *table;
	/** Until when the table fails all batches, and until when it loses the
	 * replies of some. */
	int64_t table_down_until_us, table_lossy_until_us;
	/** Crash reports known to the assigners; a router copies them when it
	 * starts. */
	struct poison *assigner_poison;
	/** Number of KIND_MARKED calls submitted. */
	uint32_t marked_calls;
	/** The input ended: callers resubmit no calls. */
	bool draining;
	/** Name of the first broken rule, or NULL. */
	const char *violation;
};

/** A callback at a simulated time. */
struct event {
	int64_t at;
	/** Orders events that run at the same time. */
	uint64_t sequence;
	void (*run)(struct world *w, struct event *event);
	/** Arguments; the callback defines their meaning. */
	void *a, *b;
	uint64_t n, m;
};

/** Schedules a callback, which gets a, b, n and m in the event. */
void world_at(struct world *w, int64_t at,
	      void (*run)(struct world *w, struct event *event), void *a,
	      void *b, uint64_t n, uint64_t m);

/** Schedules a copy of the running event for a later time. */
void world_requeue(struct world *w, const struct event *event, int64_t at);

/** Runs events up to a time, or to the first violation. */
void world_run(struct world *w, int64_t until);

/** Allocates zeroed memory that lives as long as the world. */
void *world_new(struct world *w, size_t size);

/** Returns a random number within [low, high]. */
int64_t world_random(struct world *w, int64_t low, int64_t high);

/** Returns a random one-way network delay in microseconds, long in 1 of 40
 * cases. */
int64_t world_delay(struct world *w);

/** Records a broken rule, which ends the run; only the first is kept. The name
 * is not copied. */
void world_violate(struct world *w, const char *rule);

/* upstream.c */
void upstream_init(struct world *w, uint32_t index);
void upstream_clear(struct fake_upstream *u);
/** Event: a copy arrives at its upstream; a: struct copy. */
void upstream_arrive(struct world *w, struct event *event);
/**
 * Kills an upstream, which restarts later.
 *
 * @param lost whether its connections go silent instead of being reset
 * @param culprit the call that crashed the upstream, or NULL for an injected
 *        fault
 */
void upstream_die(struct world *w, struct fake_upstream *u, bool lost,
		  struct call *culprit);
/**
 * Reads an upstream's load and limit for the budget holder.
 *
 * @param boot set to the incarnation; room for 16 bytes
 * @return false when the upstream does not answer
 */
bool upstream_read(struct world *w, const struct fake_upstream *u, char *boot,
		   struct budget_reading *reading);
/** Makes an upstream start leaving, or stop if it is leaving, and sends routers
 * the new list. */
void upstream_leave(struct world *w, struct fake_upstream *u);
/** Returns whether an upstream limits its load to cold_limit now. */
bool upstream_is_cold(const struct world *w, const struct fake_upstream *u);

/* platform.c */
/** Sends a router's request for a share of an upstream's budget to the budget
 * holder; upstream is UPSTREAMS for the budget for suspect calls. */
void platform_ask(struct world *w, struct fake_router *r, uint32_t upstream,
		  const struct budget_request *ask, int64_t asked_us);
/** Stops the budget holder; a new one with no state starts later. */
void platform_lose_holder(struct world *w);
/** Sends a router's pending batch of claim operations to the table. */
void platform_batch(struct world *w, struct fake_router *r);

/* router.c */
/** Starts a router's next incarnation, with no requests. */
void router_start(struct world *w, struct fake_router *r);
/** Stops a router, and frees its modules and the state of its requests. */
void router_stop(struct fake_router *r);
/** Kills a router with its requests; it restarts later. */
void router_kill(struct world *w, struct fake_router *r);
/** Submits a call to a router as a new request. The call is lost while the
 * router is down. */
void router_submit(struct world *w, struct fake_router *r, struct call *call);
/** Sends a router the upstream list; it gets the list as it is on arrival. */
void router_list(struct world *w, struct fake_router *r);
/** Returns whether a router is paused; if so, postpones the running event. */
bool router_paused(struct world *w, struct fake_router *r, struct event *event);
/** Schedules the router's work for now, and its ticks. */
void router_wake(struct world *w, struct fake_router *r);
/** Sends a crash report to the other routers and the assigners. */
void router_report(struct world *w, struct fake_router *r,
		   const struct poison_report *report);

/* copy.c */
/** Tries to choose an upstream for a request's pending copy and send the copy.
 * If no upstream can take it now, a first copy or a retry stays pending, and a
 * backup is given up. */
void copy_dispatch(struct world *w, struct request *request);
/** Ends a live copy on the router's side and tells the pool and the poison
 * module how. */
void copy_end(struct world *w, struct copy *copy, enum pool_outcome_kind how,
	      enum poison_end poison);
/** Event: a router receives a reply; a: struct connection, b: the struct
 * request that it answers or NULL, n: enum answer, m: size of the body in
 * bytes. */
void copy_answer(struct world *w, struct event *event);
/** Closes a router's connections that are silent or too old. */
void copy_check_connections(struct world *w, struct fake_router *r);

/** What a router receives on a connection. */
enum answer {
	ANSWER_HEAD,
	ANSWER_BODY,
	/** A body that ends early. */
	ANSWER_TRUNCATED,
	/** Refused: the queue is full, the upstream is cold, or it is leaving.
	 */
	ANSWER_SHED,
	ANSWER_COLD,
	ANSWER_LEAVING,
	/** The connection was reset. */
	ANSWER_RESET,
};

/* oracle.c: each function is called when what it is named after happens, and
 * checks the rules for that. */
/** An upstream begins to run a copy. */
void oracle_executed(struct world *w, struct copy *copy);
/** A copy arrives at an upstream that is up. */
void oracle_received(struct world *w, const struct fake_upstream *u,
		     const struct copy *copy);
/** A call crashes the upstream that runs it. */
void oracle_crashed(struct world *w, struct call *call);
/** A router writes a copy to its connection. */
void oracle_sent(struct world *w, const struct copy *copy);
/** A caller gets a request's verdict; whole: with a whole reply. */
void oracle_check_reply(struct world *w, struct request *request, bool whole);
/** The run ended: every request must have ended. */
void oracle_end(struct world *w);

#endif
