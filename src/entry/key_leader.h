/**
 * Assigns the keys of one keyed service to its upstreams; runs on the leader
 * VM. Connects the key allocator, a state machine without I/O, to the store
 * (owner map), to the roster (candidates) and to the upstreams (grants and
 * releases).
 */
#ifndef ENTRY_KEY_LEADER_H
#define ENTRY_KEY_LEADER_H

#include "base/event_log.h"
#include "entry/orders.h"
#include "store/store.h"

/** Store table of the owner maps; a row's key is the service's name. */
#define KEY_TABLE "auburn_keys"

struct key_leader;

/** Options of a key leader, which copies them. */
struct key_leader_options {
	struct loop *loop;
	const struct roster *roster;
	struct store store;
	struct orders *orders;
	struct event_log *log;
	/** Whether this VM's lease lasts long enough to send a grant or
	 * release. */
	bool (*may_send_orders)(void *ctx);
	/** Returns the seconds for which this VM still holds the lease. */
	double (*lease_left_s)(void *ctx);
	/** Called when the result of key_leader_copy_served_map() changed. */
	void (*changed)(void *ctx);
	/** Called when the stored owner map turns out to be another leader's:
	 * owners that this key leader doesn't know may hold keys. From then on
	 * may_send_orders() must return false for it. */
	void (*superseded)(void *ctx);
	void *ctx;
};

/**
 * Starts leading a service.
 *
 * @param service lives as long as the roster
 * @param row the service's saved owner map, or NULL if there is none
 * @param inherited_until_s loop time until which grants of earlier leaders may
 *        still be held
 * @return freed with key_leader_destroy()
 */
struct key_leader *key_leader_create(const struct key_leader_options *options,
				     struct service *service,
				     const struct store_row *row,
				     double inherited_until_s);

/**
 * Stops leading; NULL is allowed. The leader's orders must have been cancelled
 * before. The memory is freed at once, or when a pending write is answered.
 */
void key_leader_destroy(struct key_leader *leader);

/**
 * Sends the grants and releases that are due, balances the keys between owners
 * and saves a changed owner map. To be called about every 50 ms.
 *
 * @param hold_s how long, in seconds, an owner may hold granted keys; 0: as in
 *        the previous call
 */
void key_leader_tick(struct key_leader *leader, double hold_s);

/** Grants every owner its keys again for hold_s from now. */
void key_leader_renew_all(struct key_leader *leader, double hold_s);

/** Records that the grant connection to an owner broke; id is the upstream's.
 */
void key_leader_owner_disconnected(struct key_leader *leader, const char *id);

/** Records that a new grant connection to an owner is being opened. Another
 * incarnation may answer on it, so the owner's next grants get new fencing
 * tokens. */
void key_leader_owner_reconnecting(struct key_leader *leader, const char *id);

/** See key_allocator_owner_doubted(). */
void key_leader_owner_doubted(struct key_leader *leader, const char *id);

/** Counts a request for a key; the counts are used to balance owners. */
void key_leader_count_request(struct key_leader *leader, uint16_t key);

/** Copies the owner map that requests are routed by into map. Key ranges being
 * moved have no owner in it. */
void key_leader_copy_served_map(const struct key_leader *leader,
				struct key_map *map);

/** Returns the service that was passed to key_leader_create(). */
struct service *key_leader_service(const struct key_leader *leader);

#endif
