/**
 * What the leading VM does for one keyed service: binds the key_allocator to
 * the store, to the roster and to orders.
 */
#ifndef ENTRY_KEY_LEADER_H
#define ENTRY_KEY_LEADER_H

#include "base/event_log.h"
#include "entry/orders.h"
#include "store/store.h"

/** Rows of this table are the maps, by service. */
#define KEY_TABLE "auburn_keys"

struct key_leader;

struct key_leader_options {
	struct loop *loop;
	const struct roster *roster;
	struct store store;
	struct orders *orders;
	struct event_log *log;
	/** Whether orders may be given now. */
	bool (*may_order)(void *ctx);
	/** Who can be asked for which keys changed. */
	void (*changed)(void *ctx);
	void *ctx;
};

/**
 * Begins to lead.
 *
 * @param service lives as long as the roster
 * @param row the service's row, or NULL: there is none
 */
struct key_leader *key_leader_create(const struct key_leader_options *options,
				     struct service *service,
				     const struct store_row *row,
				     double inherited_until_s);

/** Frees once the last write is answered; its orders were broken off. */
void key_leader_destroy(struct key_leader *leader);

/** Gives the orders that are due; keys are given for hold_s. */
void key_leader_tick(struct key_leader *leader, double hold_s);

/** Gives every owner its keys again for hold_s. */
void key_leader_renew_all(struct key_leader *leader, double hold_s);

/** Notes that the connection for an owner's orders broke. */
void key_leader_owner_broken(struct key_leader *leader, const char *id);

/** Notes that a new connection for an owner's orders is opened. */
void key_leader_owner_reconnects(struct key_leader *leader, const char *id);

/** Counts a request for a key. */
void key_leader_count(struct key_leader *leader, uint16_t key);

/** Fills in who can be asked. */
void key_leader_served_map(const struct key_leader *leader,
			   struct key_map *map);

struct service *key_leader_service(const struct key_leader *leader);

#endif
