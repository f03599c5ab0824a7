/**
 * A simulated fleet around the real request modules: routers, upstreams, the
 * holder of budgets and the platform's table, on one simulated clock. Faults
 * come from the fuzz input; oracle.c checks what upstreams ran against what
 * callers were told.
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
/** A leaving upstream gets nothing sent later than this. */
#define LEAVING_BOUND_US (3000 * MS)

enum kind {
	KIND_READ,
	KIND_KEYED,
	KIND_PLAIN,
	KIND_ONCE,
	/** Crashes the upstream that runs it. */
	KIND_MARKED,
};

/** An upstream's death while a call was in flight on it. */
struct death {
	/** The call that caused it; NULL: a fault of its own. */
	struct call *culprit;
	/** The copy was sent by a router that knew of an earlier death. */
	bool after_known;
};

/** A caller's piece of work, which may be submitted several times. */
struct call {
	uint32_t index;
	enum kind kind;
	uint64_t fingerprint;
	uint32_t executions;
	uint32_t submissions_left;
	/** Upstreams that it crashed. */
	uint32_t crashes;
	/** Crashes beyond two that faults may hide from the routers. */
	uint32_t hidden;
	/** Routers that know of a death under it. */
	bool known[ROUTERS];
	struct death deaths[8];
	uint32_t death_count;
};

struct connection {
	uint64_t id;
	uint32_t router, life, upstream, boot;
	bool silent;
	int64_t silent_us;
	/** The router closed it. */
	bool closed;
	/** Whose answer is awaited on it. */
	struct copy *current;
};

/** One attempt's copy of a request. */
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
	/** Copy to be placed, or ATTEMPT_NONE. */
	uint32_t pending;
	bool pending_backup;
	bool in_batch;
	bool started, ended, told;
	/** When its answer may be given. */
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
	/** It is cold since its start, which routers must take for granted. */
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
	/** When a silent connection was last noticed. */
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
	/** Budgets of the upstreams, and of trials. */
	struct budget_holder *holders[UPSTREAMS + 1];
	uint32_t holder_life;
	bool holder_up;
	GHashTable *table;
	int64_t table_down_us, table_lossy_us;
	/** What the assigners know of crashes, for routers that start. */
	struct poison *assigner_poison;
	uint32_t marked;
	/** The input ended: callers try nothing again. */
	bool draining;
	/** The rule broken; NULL: none. */
	const char *violation;
};

struct event {
	int64_t at;
	uint64_t sequence;
	void (*run)(struct world *w, struct event *event);
	void *a, *b;
	uint64_t n, m;
};

/** Schedules an event. */
void world_at(struct world *w, int64_t at,
	      void (*run)(struct world *w, struct event *event), void *a,
	      void *b, uint64_t n, uint64_t m);

/** Repeats the event being run at a later time. */
void world_requeue(struct world *w, const struct event *event, int64_t at);

/** Runs events up to a time, or to the first violation. */
void world_run(struct world *w, int64_t until);

/** Allocates zeroed memory that lives as long as the world. */
void *world_new(struct world *w, size_t size);

/** A random number within [low, high]. */
int64_t world_random(struct world *w, int64_t low, int64_t high);

/** A one-way delay; now and then a long one. */
int64_t world_delay(struct world *w);

/** Notes a broken rule; nothing runs after it. */
void world_violate(struct world *w, const char *rule);

/* upstream.c */
void upstream_init(struct world *w, uint32_t index);
void upstream_clear(struct fake_upstream *u);
/** A request arrives on a connection. */
void upstream_arrive(struct world *w, struct event *event);
/** It dies; its connections are reset, or silent when lost is set. */
void upstream_die(struct world *w, struct fake_upstream *u, bool lost,
		  struct call *culprit);
/** Reads it for the holder. @return false when it does not answer */
bool upstream_read(struct world *w, const struct fake_upstream *u, char *boot,
		   struct budget_reading *reading);
void upstream_leave(struct world *w, struct fake_upstream *u);
bool upstream_is_cold(const struct world *w, const struct fake_upstream *u);

/* platform.c */
void platform_ask(struct world *w, struct fake_router *r, uint32_t upstream,
		  const struct budget_ask *ask, int64_t asked_us);
void platform_lose_holder(struct world *w);
void platform_batch(struct world *w, struct fake_router *r);

/* router.c */
void router_start(struct world *w, struct fake_router *r);
void router_stop(struct fake_router *r);
void router_kill(struct world *w, struct fake_router *r);
void router_submit(struct world *w, struct fake_router *r, struct call *call);
void router_list(struct world *w, struct fake_router *r);
bool router_paused(struct world *w, struct fake_router *r, struct event *event);
void router_wake(struct world *w, struct fake_router *r);
void router_report(struct world *w, struct fake_router *r,
		   const struct poison_report *report);

/* copy.c */
/** Tries to place and send the pending copy of a request. */
void copy_place(struct world *w, struct request *request);
/** Ends a copy on the router's side. */
void copy_end(struct world *w, struct copy *copy, enum pool_outcome_kind how,
	      enum poison_end poison);
/** What arrives at the router on a connection; n: enum answer, m: bytes. */
void copy_answer(struct world *w, struct event *event);
/** Finds connections that are silent or too old. */
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

/* oracle.c */
void oracle_executed(struct world *w, struct copy *copy);
void oracle_received(struct world *w, const struct fake_upstream *u,
		     const struct copy *copy);
void oracle_crashed(struct world *w, struct call *call);
void oracle_sent(struct world *w, const struct copy *copy);
void oracle_told(struct world *w, struct request *request, bool whole);
void oracle_end(struct world *w);

#endif
