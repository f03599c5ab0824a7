/**
 * Allocates the key ranges of one service to upstreams. Runs on the leader VM:
 * it renews grants, moves keys away from upstreams that are draining, lost or
 * overloaded, and never grants a key that a previous owner may still hold.
 *
 * A state machine without I/O: it issues orders (grants and releases) through
 * struct key_allocator_ops, and the caller reports their results through
 * key_allocator_*() calls. The saved map alone decides ownership: keys are
 * granted to an owner only after the map that names it was saved.
 *
 * All times are in seconds on one monotonic clock of the caller.
 */
#ifndef KEYS_KEY_ALLOCATOR_H
#define KEYS_KEY_ALLOCATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "keys/key_load.h"
#include "keys/key_map.h"

struct key_allocator;

/** State of one incarnation of an upstream that owns keys, as far as the caller
 * knows it. */
enum owner_state {
	/** The owner is listed and may be granted keys. */
	OWNER_AVAILABLE,
	/** The owner drains: it can be reached, but its keys must move away. */
	OWNER_LEAVING,
	/** The owner is not listed, or can't be reached. It may still hold its
	 * keys. */
	OWNER_UNREACHABLE,
	/** The owner's id is listed with another incarnation. The list lags, so
	 * grants may have reached either incarnation: the keys may still be
	 * held. */
	OWNER_RESTARTED,
	/** Another upstream runs at the owner's address, so the owner's process
	 * has ended and holds no keys. */
	OWNER_ENDED,
};

/** An upstream that may be granted keys. */
struct key_candidate {
	/** Id of the upstream, interned. */
	const char *id;
	/** Start time of the upstream's process, in ms; differs between
	 * incarnations. */
	int64_t started_ms;
	/** Capacity relative to the other candidates. */
	double weight;
};

/** A grant or release of one key range, for one upstream. */
struct key_order {
	/** Id for key_allocator_order_done(); never 0. */
	uint32_t id;
	/** Id of the upstream that gets the order, interned. */
	const char *owner;
	/** First and last key of the range, both inside it. */
	uint16_t first;
	uint16_t last;
	/** Fencing token: the upstream rejects orders with a lower one. */
	uint64_t fence;
	/** Duration of the grant; 0 for a release. */
	double hold_s;
	/** For a grant: the hand-over token that the previous owner returned
	 * with its release; NULL if there is none. */
	const char *handover;
	/** For a grant: the fencing token was never sent before, so any
	 * incarnation of the upstream may receive it. Otherwise the order may
	 * only use the connection on which the owner acknowledged its keys. */
	bool fresh;
};

/** Outcome of an order. */
enum order_result {
	/** The upstream carried the order out. */
	ORDER_DONE,
	/** The upstream rejected the order: it knows a higher fencing token. */
	ORDER_FENCED,
	/** The order was not sent and has no effect. */
	ORDER_NOT_SENT,
	/** No answer came: the order may take effect, now or later. */
	ORDER_UNKNOWN,
};

/** Operations that the caller provides to an allocator. */
struct key_allocator_ops {
	/** Returns the state of an upstream's incarnation, given by its id and
	 * the start time of its process. */
	enum owner_state (*owner_state)(void *ctx, const char *id,
					int64_t started_ms);
	/** Send an order, which is valid during the call only;
	 * key_allocator_order_done() reports its result. */
	void (*grant)(void *ctx, const struct key_order *order);
	void (*release)(void *ctx, const struct key_order *order);
	/** Saves the map, which is valid during the call only;
	 * key_allocator_save_done() reports the result. */
	void (*save)(void *ctx, const struct key_map *map);
	/** The result of key_allocator_served_map() changed. */
	void (*changed)(void *ctx);
	/** Logs why a key range moves or gets a new fencing token; to is the id
	 * of the next owner, or "-" when none is chosen yet. */
	void (*note)(void *ctx, const struct key_span *span, const char *to,
		     const char *reason);
};

/** What a new leader knows of the owners. */
struct key_inheritance {
	/** The last saved map. */
	const struct key_map *map;
	/** When the last grant of earlier leaders expires. */
	double until_s;
	/** The map may be an older one, so that its owners may have been
	 * replaced: no key is granted and no map saved until then. */
	bool owners_unknown;
	/** Lower bound of the fencing tokens: all that were issued by leaders
	 * whose maps are lost are lower. */
	uint64_t fence_min;
};

/**
 * Creates an allocator when this VM becomes the leader.
 *
 * @param ops must outlive the allocator
 * @param ctx passed to every operation
 * @param inherited copied
 * @return the allocator; the caller frees it with key_allocator_destroy()
 */
struct key_allocator *
key_allocator_create(const struct key_allocator_ops *ops, void *ctx,
		     const struct key_inheritance *inherited);

/** Frees an allocator without releasing any keys; NULL is allowed. */
void key_allocator_destroy(struct key_allocator *allocator);

/**
 * Issues the orders that are due, balances load and saves a changed map.
 *
 * @param hold_s duration of grants issued now
 * @param candidates the upstreams that may be granted keys; not kept
 * @param count number of candidates
 */
void key_allocator_tick(struct key_allocator *allocator, double now_s,
			double hold_s, const struct key_candidate *candidates,
			size_t count);

/** Renews the grants of all owners now, each for hold_s seconds. */
void key_allocator_renew_all(struct key_allocator *allocator, double now_s,
			     double hold_s);

/**
 * Reports the result of an order to the allocator.
 *
 * @param order id of the order
 * @param handover the hand-over token that a release returned, or NULL
 */
void key_allocator_order_done(struct key_allocator *allocator, uint32_t order,
			      enum order_result result, const char *handover,
			      double now_s);

/**
 * Reports the result of a save to the allocator, which repeats a failed one.
 *
 * @param ok whether the map was saved
 * @param version the saved row's version; not used
 */
void key_allocator_save_done(struct key_allocator *allocator, bool ok,
			     uint64_t version, double now_s);

/**
 * Report that the connection to an owner broke, or that a new one is being
 * opened. Another incarnation may answer on the new connection, so the owner's
 * next grants get new fencing tokens.
 *
 * @param id the owner's id, interned
 */
void key_allocator_owner_disconnected(struct key_allocator *allocator,
				      const char *id);
void key_allocator_owner_reconnecting(struct key_allocator *allocator,
				      const char *id);

/**
 * Reports that answers to an owner's grants were perhaps those to earlier
 * ones: what it was granted may have taken effect as late as now, so that it
 * holds its keys for the duration of the grants from now on.
 *
 * @param id the owner's id, interned
 */
void key_allocator_owner_doubted(struct key_allocator *allocator,
				 const char *id, double now_s);

/** Has the map saved again, because the saved one was lost. */
void key_allocator_save_again(struct key_allocator *allocator);

/** Whether a map change waits to be saved by the next tick. */
bool key_allocator_needs_save(const struct key_allocator *allocator);

/** Counts a request for a key, for load balancing. */
void key_allocator_count_request(struct key_allocator *allocator, uint16_t key);

/** Returns the number of requests per second for all keys together, as counted
 * lately. */
double key_allocator_requests_per_s(const struct key_allocator *allocator);

/** Fills in the map that requests are routed by. In it, key ranges that are
 * being moved have an expected wait instead of an owner. The version is left as
 * it is. */
void key_allocator_served_map(const struct key_allocator *allocator,
			      struct key_map *map, double now_s);

/** Number of key ranges that no upstream serves now. */
unsigned int
key_allocator_unserved_spans(const struct key_allocator *allocator);

#endif
