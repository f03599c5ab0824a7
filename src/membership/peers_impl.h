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
	/** Address where an assigner listens; port 0 when unknown, and for a
	 * router. */
	struct sockaddr_in address;
	/** Id of the member's process; "" until this daemon has had a link to
	 * the member. */
	char *incarnation;
	/** Version of the settings that the member has. */
	uint64_t settings_version;
	/** Time of the last contact of any daemon with the member, as far as
	 * this daemon knows, on this daemon's clock; 0: never. */
	int64_t seen_us;
	/** Time of the member's last Hello or heartbeat on a link of this
	 * daemon, moved forward by the length of this daemon's own pauses
	 * since; 0: never. */
	int64_t last_heartbeat_us;
	/** When connecting to the member last failed, or a link that this
	 * daemon opened to the member closed, or the member became lost; 0:
	 * never. */
	int64_t failed_us;
	/** No heartbeat has come from the member for peers.lost_us. */
	bool lost;
	/** The member has announced its shutdown. */
	bool left;
	/** Number of further heartbeats that carry this member before unchanged
	 * members. */
	unsigned int urgent_heartbeats;
	/** overlay_choose_links() chose the member to link to. */
	bool wanted;
	/** Since when the member has been wanted; 0 when it is not. */
	int64_t wanted_us;
	/** peers_ops.keep_link() was called for the member's address. */
	bool kept;
	/** Position of the member on each ring; see ring_positions(). */
	uint64_t ring_position[PEERS_RINGS];
};

/** An open link to another daemon, from the daemon's Hello on. */
struct peer_link {
	/** The handle that peers_on_hello() got. */
	void *link;
	/** This daemon opened the link. */
	bool outgoing;
	/** The daemon at the other end. Owned by peers.members; a member with a
	 * link is not removed. */
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

/** Configured address of an assigner, for the first links. */
struct seed {
	struct sockaddr_in address;
	/** peers_ops.keep_link() was called for the address, and the link
	 * does not count as a member's yet. */
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
	/** Position of this daemon on each ring; see ring_positions(). */
	uint64_t ring_position[PEERS_RINGS];
	/** Id -> struct member *, for each of the members. */
	GHashTable *by_id;
	/** struct member *, owned: all other daemons known. */
	GPtrArray *members;
	/** struct peer_link *, owned by the array. */
	GPtrArray *links;
	/** Index of the next unchanged member to put into a heartbeat. */
	guint next_gossip;
	/** State of this daemon, as peers_set_local() last set it. */
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

/** Computes the position of a daemon's id on each ring: a hash of the id with
 * a seed for each ring. */
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

/** Returns the first open link to a member, or NULL. */
struct peer_link *member_link(const struct peers *peers,
			      const struct member *member);

/** Makes the next heartbeats to other daemons carry this member, whose record
 * has changed. */
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

/** Chooses the members to link to; calls peers_ops.keep_link() and
 * drop_link(). */
void overlay_choose_links(struct peers *peers, int64_t now_us);

/** Tells whether the assigners are few enough for a full mesh of links. */
bool overlay_is_mesh(const struct peers *peers);

#endif
