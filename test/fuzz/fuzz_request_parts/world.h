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

#define MS INT64_C(1000)
#define ROUTERS 3
#define UPSTREAMS 4
#define SLOTS 3
#define QUEUE_MAX 4
#define BODY_BYTES 1000
#define DEADLINE_US (700 * MS)
#define STALL_US (100 * MS)
/** Routers must stop sending to a leaving upstream within this time. */
#define LEAVING_BOUND_US (3000 * MS)

/** Kind of a call: how it is routed and whether it may run twice. */
enum kind {
	KIND_READ,
	KIND_KEYED,
	KIND_PLAIN,
	KIND_ONCE,
	/** Crashes the upstream that runs it. */
	KIND_MARKED,
};

/** A crash of an upstream while a call was in flight on it. */
struct death {
	/** The call that caused the crash; NULL: an injected fault. */
	struct call *culprit;
	/** The sending router knew of an earlier crash under the call. */
	bool after_known;
};

/** A caller's unit of work, which may be submitted several times. */
struct call {
	uint32_t index;
	enum kind kind;
	uint64_t fingerprint;
	uint32_t executions;
	uint32_t submissions_left;
	/** Number of upstreams that the call crashed. */
	uint32_t crashes;
	/** Further crashes that are allowed because a fault hid one. */
	uint32_t hidden;
	/** Per router: it knows of a crash with the call in flight. */
	bool known[ROUTERS];
	struct death deaths[8];
	uint32_t death_count;
};

struct connection {
	uint64_t id;
	uint32_t router, life, upstream, boot;
	/** The network drops all traffic since silent_us. */
	bool silent;
	int64_t silent_us;
	/** The router closed it. */
	bool closed;
	/** The copy in flight on the connection, or NULL. */
	struct copy *current;
};

/** A copy of a request that one attempt sends to one upstream. */
struct copy {
	struct request *request;
	uint32_t index;
	uint32_t upstream;
	struct connection *connection;
	struct pool_flight *flight;
	uint64_t poisoning;
	int64_t sent_us;
	bool sent, live, trial, after_known;
	uint32_t bytes;
};

/** One submission of a call to a router. */
struct request {
	struct call *call;
	uint32_t router, life;
	int64_t deadline_us;
	struct admission_entry *entry;
	struct attempt *attempt;
	struct claim *claim;
	struct copy *copies[ATTEMPT_MAX];
	/** Index of the copy that needs an upstream, or ATTEMPT_NONE. */
	uint32_t pending;
	bool pending_backup;
	bool in_batch;
	bool started, ended, replied;
	/** Earliest time of the reply to the caller. */
	int64_t hold_us;
	struct verdict verdict;
	uint32_t executions;
};

struct fake_upstream {
	char id[4];
	uint32_t index, boot;
	bool up, leaving;
	int64_t leaving_us, frozen_us, slow_us, cold_us;
	uint32_t cold_limit;
	/** Cold since its start: routers must assume it unasked. */
	bool cold_start;
	GPtrArray *running;
	GQueue waiting;
};

struct fake_router {
	uint32_t index, life;
	bool up;
	int64_t paused_us;
	bool ticking;
	struct pool *pool;
	struct connection_set *connections[UPSTREAMS];
	/** When the router last detected a silent connection. */
	int64_t noticed_us[UPSTREAMS];
	struct admission *admission;
	uint32_t lane;
	struct poison *poison;
	struct retry_budget *budget;
	struct budget_share trial;
	struct claim_batch *batch;
	GPtrArray *batched;
	GPtrArray *requests;
	int64_t link_out_us, link_in_us;
};

struct world {
	int64_t now;
	uint64_t sequence, steps, submitted, finished;
	GRand *rng;
	GSequence *events;
	GPtrArray *garbage;
	GPtrArray *connections;
	GPtrArray *calls;
	struct fake_upstream upstreams[UPSTREAMS];
	struct fake_router routers[ROUTERS];
	/** One budget per upstream; the last one is for trials. */
	struct budget_allocator *holders[UPSTREAMS + 1];
	uint32_t holder_life;
	bool holder_up;
	GHashTable *table;
	int64_t table_down_us, table_lossy_us;
	/** Crash reports known to the assigners; starting routers copy them. */
	struct poison *assigner_poison;
	uint32_t marked;
	/** The input ended: callers resubmit no calls. */
	bool draining;
	/** The first broken rule; NULL: none. */
	const char *violation;
};

struct event {
	int64_t at;
	uint64_t sequence;
	void (*run)(struct world *w, struct event *event);
	void *a, *b;
	uint64_t n, m;
};

/** Schedules an event; run gets the other arguments in it. */
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

/** Returns a random one-way network delay, long in 1 of 40 cases. */
int64_t world_delay(struct world *w);

/** Records a broken rule, which ends the run; only the first is kept. */
void world_violate(struct world *w, const char *rule);

/* upstream.c */
void upstream_init(struct world *w, uint32_t index);
void upstream_clear(struct fake_upstream *u);
/** A request arrives on a connection. */
void upstream_arrive(struct world *w, struct event *event);
/**
 * Kills an upstream, which restarts later.
 *
 * @param lost true: its connections go silent; false: they are reset
 * @param culprit call that crashed it; NULL: an injected fault
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
/** Starts or ends an upstream's leaving and sends routers the new list. */
void upstream_leave(struct world *w, struct fake_upstream *u);
bool upstream_is_cold(const struct world *w, const struct fake_upstream *u);

/* platform.c */
/** Sends a router's request for a share of an upstream's budget. */
void platform_ask(struct world *w, struct fake_router *r, uint32_t upstream,
		  const struct budget_request *ask, int64_t asked_us);
/** Stops the budget holder; a new one with no state starts later. */
void platform_lose_holder(struct world *w);
/** Sends a router's pending batch of claim operations to the table. */
void platform_batch(struct world *w, struct fake_router *r);

/* router.c */
void router_start(struct world *w, struct fake_router *r);
void router_stop(struct fake_router *r);
/** Kills a router with its requests; it restarts later. */
void router_kill(struct world *w, struct fake_router *r);
void router_submit(struct world *w, struct fake_router *r, struct call *call);
/** Sends a router the upstream list; it is read on arrival. */
void router_list(struct world *w, struct fake_router *r);
/** Returns whether a router is paused; if so, postpones the running event. */
bool router_paused(struct world *w, struct fake_router *r, struct event *event);
/** Schedules the router's work for now, and its ticks. */
void router_wake(struct world *w, struct fake_router *r);
/** Sends a crash report to the other routers and the assigners. */
void router_report(struct world *w, struct fake_router *r,
		   const struct poison_report *report);

/* copy.c */
/** Tries to choose an upstream for a request's pending copy and send it. */
void copy_place(struct world *w, struct request *request);
/** Ends a copy on the router's side. */
void copy_end(struct world *w, struct copy *copy, enum pool_outcome_kind how,
	      enum poison_end poison);
/** Event: a router receives a reply; n: enum answer, m: bytes. */
void copy_answer(struct world *w, struct event *event);
/** Closes a router's connections that are silent or too old. */
void copy_check_connections(struct world *w, struct fake_router *r);

enum answer {
	ANSWER_HEAD,
	ANSWER_BODY,
	ANSWER_TRUNCATED,
	ANSWER_SHED,
	ANSWER_COLD,
	ANSWER_LEAVING,
	ANSWER_RESET,
};

/* oracle.c: each is called at an event and checks the rules for it. */
void oracle_executed(struct world *w, struct copy *copy);
void oracle_received(struct world *w, const struct fake_upstream *u,
		     const struct copy *copy);
void oracle_crashed(struct world *w, struct call *call);
void oracle_sent(struct world *w, const struct copy *copy);
void oracle_check_reply(struct world *w, struct request *request, bool whole);
void oracle_end(struct world *w);

#endif
