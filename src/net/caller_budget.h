/**
 * Limits the bytes and the connections that callers make one process hold, and
 * decides whose bytes are given up when the limit is reached. Does no I/O; loop
 * times are passed in. docs/design/client-limits.md has the reasons.
 */
#ifndef NET_CALLER_BUDGET_H
#define NET_CALLER_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/descriptors.h"

/** What a caller's connection holds bytes for. */
enum caller_state {
	/** Nothing: there is no request. */
	CALLER_IDLE,
	/** A request that is being received and hasn't run. */
	CALLER_RECEIVING,
	/** Requests that were received and are not answered yet. */
	CALLER_RUNNING,
	/** Answers that the caller hasn't read yet. */
	CALLER_SENDING,
};

/** The bytes that one connection holds. */
struct caller_holder {
	enum caller_state state;
	/** Number of bytes held. */
	size_t held;
	/** Loop time of the last progress: when the state changed, or when
	 * enough bytes were received or sent. */
	double progress_s;
	/** Bytes received or sent since then. */
	size_t moved;
	/** Element of caller_budget.holders. */
	GList link;
};

/** Why a caller was refused or its connection closed. */
enum caller_refusal {
	/** A request had to give way, and was answered with 503. */
	CALLER_REFUSED_MEMORY,
	/** Answers that were not read had to give way, or an answer did not
	 * fit; the connection was closed. */
	CALLER_CLOSED_MEMORY,
	/** There were too many connections, and the new one, or one whose
	 * request made no progress, got 503. */
	CALLER_REFUSED_CONNECTIONS,
	/** There were too many connections, and an idle one was closed. */
	CALLER_CLOSED_IDLE,
	/** There were too many connections, and one whose answers were not read
	 * was closed. */
	CALLER_CLOSED_UNREAD,
	/** No descriptor was left to accept a connection with. */
	CALLER_NO_DESCRIPTOR,
	CALLER_REFUSALS,
};

/** Callbacks to the budget's owner. */
struct caller_budget_ops {
	/** Frees what a holder in the state CALLER_RECEIVING or CALLER_SENDING
	 * holds, and calls caller_budget_return() for it. Must not call back
	 * into code that handles requests. */
	void (*evict)(struct caller_holder *holder);
	/** Returns whether closing the connection ends no request that is
	 * complete or that may have arrived. */
	bool (*may_close)(const struct caller_holder *holder);
};

/** The bytes and connections that all callers together may hold. */
struct caller_budget {
	/** Limit on the sum of bytes, and the part of it that only holders of
	 * little may use. */
	size_t limit;
	size_t reserve;
	/** The sum, and the highest it has been. */
	size_t used;
	size_t peak;
	/** Highest sum since fell() was called last. */
	size_t high;
	/** Bytes given back since then while the sum was above half of the
	 * limit. */
	size_t turnover;
	/** pressed() was called with true last. */
	bool is_pressed;
	/** Limit on the number of connections; 0: none. */
	unsigned int connections;
	/** What they count as in the loop's account of descriptors. */
	enum descriptor_use use;
	/** Limit on the sum of the connections' receive buffers, and on that of
	 * the bytes which the system holds unsent, as far as a connection's
	 * part doesn't get too small; 0: the system's sizes. */
	size_t system_bytes;
	/** Time for the body of a request to be received, in seconds; 0: no
	 * limit. */
	double body_timeout_s;
	/** All holders: struct caller_holder. */
	GQueue holders;
	const struct caller_budget_ops *ops;
	/** Number of times each refusal happened. */
	uint64_t refusals[CALLER_REFUSALS];
	/** Called after each, or NULL.
	 *
	 * @param held bytes that the caller held */
	void (*refused)(void *ctx, enum caller_refusal refusal, size_t held);
	/** Called with true when the sum rises above a quarter of the limit,
	 * and with false when it has fallen below an eighth again; or NULL.
	 * Must not use the budget. */
	void (*pressed)(void *ctx, bool pressed);
	/** Called when the sum has fallen by an eighth of the limit from a
	 * value above half of it, and when as much was given back and taken by
	 * others above that; or NULL. Must not use the budget. */
	void (*fell)(void *ctx);
	void *ctx;
};

/** Adds a holder without bytes. */
void caller_budget_join(struct caller_budget *budget,
			struct caller_holder *holder, double now);

/** Removes a holder, which must have returned its bytes. */
void caller_budget_leave(struct caller_budget *budget,
			 struct caller_holder *holder);

/**
 * Takes bytes for a holder. If the limit is reached, holders of much that make
 * no progress are evicted first, in the order of what they hold. For an answer,
 * and for a holder of little, requests of much that are being received are
 * evicted as well, and then holders of little that make no progress.
 *
 * @param answer the bytes are those of an answer
 * @return false when the holder must be refused
 */
bool caller_budget_take(struct caller_budget *budget,
			struct caller_holder *holder, size_t len, bool answer,
			double now);

/** Takes bytes for a holder, also beyond the limit. */
void caller_budget_add(struct caller_budget *budget,
		       struct caller_holder *holder, size_t len);

/**
 * Returns whether a holder could take bytes, after evicting others as
 * caller_budget_take() does, but takes none.
 */
bool caller_budget_has_room(struct caller_budget *budget,
			    struct caller_holder *holder, size_t len,
			    double now);

/**
 * Chooses a connection to close when there are too many: the one that has made
 * no progress for longest, among those that are idle; if there are none, among
 * those that send a request; then among those that don't read answers.
 *
 * @return NULL if none can be closed
 */
struct caller_holder *
caller_budget_choose_connection(const struct caller_budget *budget, double now);

/** Gives bytes of a holder back. */
void caller_budget_return(struct caller_budget *budget,
			  struct caller_holder *holder, size_t len);

/** Takes bytes out of a holder's account that others go on using; they are
 * given back with caller_budget_return() and no holder. */
void caller_budget_detach(struct caller_holder *holder, size_t len);

/** Records that a holder received or sent bytes. */
void caller_budget_progress(struct caller_holder *holder, size_t len,
			    double now);

/** Sets the state of a holder; a change counts as progress. */
void caller_budget_set_state(struct caller_holder *holder,
			     enum caller_state state, double now);

/** Counts and reports a refusal. */
void caller_budget_refuse(struct caller_budget *budget,
			  enum caller_refusal refusal, size_t held);

#endif
