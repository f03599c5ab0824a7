/**
 * Gives the keys of one service to upstreams, for the VM that leads: renews
 * what is held, moves keys away from upstreams that leave, are lost or have too
 * much, and never gives a key that an earlier holder may still hold.
 *
 * A state machine without I/O: orders go out through its operations, and what
 * became of them comes back through keeper_*() calls. Who owns what is decided
 * by the saved map alone; an owner is given keys only after the map that names
 * it was saved.
 */
#ifndef KEYS_KEEPER_H
#define KEYS_KEEPER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "keys/key_load.h"
#include "keys/key_map.h"

struct key_allocator;

enum owner_state {
	/** Listed and to be given keys. */
	OWNER_AVAILABLE,
	/** Still there, but its keys are to go elsewhere. */
	OWNER_LEAVING,
	/** Not listed, or out of reach: it may hold its keys nevertheless. */
	OWNER_UNREACHABLE,
	/** Another life runs under its id. It holds what that life was given:
	 * entries lag behind, so grants may have reached either. */
	OWNER_RESTARTED,
	/** Another upstream runs at its address: what it held is lost. */
	OWNER_ENDED,
};

/** An upstream that may be given keys. */
struct key_candidate {
	/** Interned. */
	const char *id;
	int64_t started_ms;
	/** Requests that it bears, against other candidates. */
	double weight;
};

/** An order to an upstream about one span. */
struct key_order {
	uint32_t id;
	const char *owner;
	uint16_t first;
	uint16_t last;
	uint64_t fence;
	double hold_s;
	/** NULL: none. */
	const char *handover;
	/** A token that was not sent before: any life may be given it. Others
	 * go only over the connection by which the owner took its keys. */
	bool fresh;
};

enum order_result {
	ORDER_DONE,
	/** The upstream knows a higher fencing token. */
	ORDER_FENCED,
	/** Not sent: it has no effect. */
	ORDER_NOT_SENT,
	/** No answer: it may take effect, also later. */
	ORDER_UNKNOWN,
};

struct key_allocator_ops {
	enum owner_state (*owner_state)(void *ctx, const char *id,
					int64_t started_ms);
	/** Both are followed by key_allocator_order_done(). */
	void (*grant)(void *ctx, const struct key_order *order);
	void (*release)(void *ctx, const struct key_order *order);
	/** Followed by key_allocator_save_done(). */
	void (*save)(void *ctx, const struct key_map *map);
	/** Who can be asked for which keys changed. */
	void (*changed)(void *ctx);
	/** For the log: why a span moves. */
	void (*note)(void *ctx, const struct key_span *span, const char *to,
		     const char *reason);
};

/**
 * Begins to lead.
 *
 * @param map as last saved; copied
 * @param inherited_until_s until when grants of earlier leaders may hold
 */
struct key_allocator *key_allocator_create(const struct key_allocator_ops *ops,
					   void *ctx, const struct key_map *map,
					   double inherited_until_s);
void key_allocator_destroy(struct key_allocator *key_allocator);

/**
 * Gives the orders that are due.
 *
 * @param hold_s for how long keys are given now
 */
void key_allocator_tick(struct key_allocator *key_allocator, double now_s,
			double hold_s, const struct key_candidate *candidates,
			size_t count);

/** Gives every owner its keys again at once, for hold_s. */
void key_allocator_renew_all(struct key_allocator *key_allocator, double now_s,
			     double hold_s);

/** What became of an order. @param handover of a release, or NULL */
void key_allocator_order_done(struct key_allocator *key_allocator,
			      uint32_t order, enum order_result result,
			      const char *handover, double now_s);

/** What became of a save. */
void key_allocator_save_done(struct key_allocator *key_allocator, bool ok,
			     uint64_t version, double now_s);

/**
 * Notes that the connection to an owner broke, or that a new one is opened:
 * another life may answer by the next, so that the owner gets its keys under a
 * new token.
 *
 * @param id interned
 */
void key_allocator_owner_disconnected(struct key_allocator *key_allocator,
				      const char *id);
void key_allocator_owner_reconnecting(struct key_allocator *key_allocator,
				      const char *id);

/** Whether a tick would go on with a move at once. */
bool key_allocator_has_work(const struct key_allocator *key_allocator);

/** Counts a request for a key. */
void key_allocator_count_request(struct key_allocator *key_allocator,
				 uint16_t key);

/** Fills in who can be asked: spans being moved have no owner. */
void key_allocator_served_map(const struct key_allocator *key_allocator,
			      struct key_map *map, double now_s);

/** Spans that no upstream can be asked for now. */
unsigned int
key_allocator_unserved_spans(const struct key_allocator *key_allocator);

#endif
