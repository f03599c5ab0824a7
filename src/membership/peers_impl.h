/**
 * State of struct peers and helpers, for the files peers*.c only.
 */
#ifndef MEMBERSHIP_PEERS_IMPL_H
#define MEMBERSHIP_PEERS_IMPL_H

#include <glib.h>

#include "membership/peers.h"

/** Membership record of another daemon. */
struct member {
	char *id;
	enum peer_role role;
	struct sockaddr_in address;
	char *incarnation;
	/** Version of the settings that the member has. */
	uint64_t settings_version;
	/** Last contact of any daemon with the member, on this daemon's clock.
	 */
	int64_t seen_us;
	/** Last heartbeat from the member on a link of this daemon; 0: none. */
	int64_t last_heartbeat_us;
	/** When connecting to the member failed, or its link closed or got no
	 * heartbeats; 0: never. */
	int64_t failed_us;
	/** No heartbeat for lost_us. */
	bool lost;
	/** The member has announced its shutdown. */
	bool left;
	/** Number of further heartbeats that carry this member before unchanged
	 * members. */
	unsigned int urgent_heartbeats;
	/** The overlay wants a link to the member; since when, or 0. */
	bool wanted;
	int64_t wanted_us;
	/** peers_ops.keep() was called for the member's address. */
	bool kept;
	uint64_t ring_position[PEERS_RINGS];
};

struct peer_link {
	void *link;
	bool outgoing;
	/** Owned by peers.members; a member with a link is not removed. */
	struct member *member;
	/** Latest clock reading received from the other side. */
	int64_t their_sent_us;
	/** Latest own clock reading that the other side echoed. */
	int64_t echoed_us;
	/** Until when the settings are valid, as the other side's heartbeats
	 * say. */
	int64_t settings_valid_until_us;
	/** Time of the next heartbeat, if this side opened the link. */
	int64_t beat_due_us;
};

struct seed {
	struct sockaddr_in address;
	bool kept;
	/** The daemon at this address is or was a member. */
	bool found;
};

struct peers {
	char *id;
	char *incarnation;
	enum peer_role role;
	struct sockaddr_in address;
	struct seed *seeds;
	size_t seed_count;
	int64_t heartbeat_us, lost_us, forget_us;
	const struct peers_ops *ops;
	void *ctx;
	GRand *rng;
	uint64_t ring_position[PEERS_RINGS];
	/** struct member, by id. */
	GHashTable *by_id;
	GPtrArray *members;
	/** struct peer_link. */
	GPtrArray *links;
	/** Index of the next unchanged member to put into a heartbeat. */
	guint next_gossip;
	uint64_t settings_version, vms_version;
	int64_t valid_until_us;
	bool leaving;
	/** Time of the last tick. */
	int64_t ticked_us;
	/** Time of the next choice of links. */
	int64_t choose_due_us;
};

/** Compares IP number and port. */
bool address_equal(const struct sockaddr_in *a, const struct sockaddr_in *b);

/** Computes the position of an id on each ring. */
void ring_positions(const char *id, uint64_t positions[PEERS_RINGS]);

struct member *member_find(const struct peers *peers, struct str id);

/** Finds a member by id or adds a member with seen_us 0. */
struct member *member_find_or_add(struct peers *peers, struct str id,
				  enum peer_role role);

/** Removes and frees a member that has no link. */
void member_remove(struct peers *peers, struct member *member);

/** Describes a member to users; borrows the member's texts. */
struct peer member_view(const struct peers *peers, const struct member *member,
			int64_t now_us);

/** Any link to a member, or NULL. */
struct peer_link *member_link(const struct peers *peers,
			      const struct member *member);

/** Makes the next heartbeats carry this member, which has changed. */
void member_mark_changed(struct member *member);

/**
 * Adds descriptions of members to a heartbeat: changed ones first, then one
 * other. Routers add none.
 *
 * @param to role of the receiver
 * @param texts storage that the beat points to
 */
void gossip_fill(struct peers *peers, struct beat *beat, enum peer_role to,
		 char texts[PEERS_GOSSIP_LIMIT][128], int64_t now_us);

/** Merges a member's description from a heartbeat into the members. */
void gossip_merge(struct peers *peers, struct str text, int64_t now_us);

/** Chooses the members to link to; calls peers_ops.keep() and forget(). */
void overlay_choose_links(struct peers *peers, int64_t now_us);

/** Whether the assigners are few enough for a full mesh of links. */
bool overlay_is_mesh(const struct peers *peers);

#endif
