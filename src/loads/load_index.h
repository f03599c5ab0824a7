/**
 * Numbers of the upstreams in load messages, agreed on by all VMs, so that a
 * message need not name each upstream. The leader numbers new upstreams and
 * tells the VMs; a new leader goes on with the numbers that it knows. A sum
 * over the upstreams shows whether two VMs use the same numbers. Does no I/O.
 */
#ifndef LOADS_LOAD_INDEX_H
#define LOADS_LOAD_INDEX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Returned for an upstream without a number. */
#define LOAD_INDEX_NONE UINT32_MAX

struct load_index;

/** A state of the numbers, as stated in messages. */
struct load_index_state {
	/** Number of numbered upstreams. */
	uint32_t count;
	/** Sum over these upstreams in their order. */
	uint32_t sum;
};

/** Creates an index without numbers. */
struct load_index *load_index_create(void);
/** Frees an index; NULL is allowed. */
void load_index_destroy(struct load_index *index);

/** Returns the current state. */
struct load_index_state load_index_state(const struct load_index *index);

/** Whether another VM's numbers are the first of this VM's. */
bool load_index_knows(const struct load_index *index,
		      const struct load_index_state *state);

/** Returns an upstream's number, or LOAD_INDEX_NONE.
 *
 * @param upstream hash of the upstream's id */
uint32_t load_index_number(const struct load_index *index, uint32_t upstream);

/** Returns the hash of the upstream with a number below the state's count. */
uint32_t load_index_upstream(const struct load_index *index, uint32_t number);

/**
 * As leader, numbers the upstreams that have no number yet. Numbers everything
 * anew if most numbers are of upstreams that no longer exist.
 *
 * @param upstreams hashes of all upstreams (uint32_t); sorted by the call
 */
void load_index_update(struct load_index *index, GArray *upstreams,
		       double now_s);

/**
 * Returns the upstreams that were numbered lately, which messages repeat so
 * that a lost one costs nothing.
 *
 * @param count set to their number; they are the last ones of the index
 * @return their hashes, valid until the next update
 */
const uint32_t *load_index_recent(const struct load_index *index, double now_s,
				  size_t *count);

/**
 * Takes over the leader's numbers from a message with its state and its lately
 * numbered upstreams.
 *
 * @return false if this VM doesn't know the upstreams that were numbered before
 */
bool load_index_follow(struct load_index *index,
		       const struct load_index_state *state,
		       const uint32_t *recent, size_t recent_count);

/**
 * Takes over the leader's numbers if the leader has numbered the same upstreams
 * that this VM knows, in the order of their hashes.
 *
 * @param upstreams hashes of all upstreams (uint32_t); sorted by the call
 * @return false if they differ, so that this VM needs the leader's whole list
 */
bool load_index_adopt(struct load_index *index,
		      const struct load_index_state *state, GArray *upstreams);

/** Replaces the numbers by the leader's whole list. */
void load_index_replace(struct load_index *index, const uint32_t *upstreams,
			size_t count);

/** Returns all numbered upstreams (uint32_t), owned by the index. */
const GArray *load_index_all(const struct load_index *index);

#endif
