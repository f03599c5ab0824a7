/**
 * Inside of the peers: shared by the files peers*.c only.
 */
#ifndef MEMBERSHIP_PEERS_IMPL_H
#define MEMBERSHIP_PEERS_IMPL_H

#include <glib.h>

#include "membership/peers.h"

/** What is known of one daemon. */
struct member {
	char *id;
	enum peer_role role;
	struct sockaddr_in address;
	char *incarnation;
	uint64_t version;
	/** Last contact that anyone had with it, on this daemon's clock. */
	int64_t seen_us;
	/** Last heartbeat that came on a link of this daemon; 0: none. */
	int64_t heard_us;
	/** When a link to it could not be had or fell silent; 0: never. */
	int64_t failed_us;
	bool lost;
	bool left;
	/** Heartbeats that still tell of it before others. */
	unsigned int news;
	/** The overlay wants a link to it, since when, and asked for one. */
	bool wanted;
	int64_t wanted_us;
	bool kept;
	uint64_t ring_position[PEERS_RINGS];
};

struct peer_link {
	void *link;
	bool outgoing;
	/** Borrowed from the members, which keep what has a link. */
	struct member *member;
	/** Latest clock reading of the other side. */
	int64_t their_sent_us;
	/** Latest own clock reading that came back. */
	int64_t echoed_us;
	/** Until when the other side's word lets one rely on the settings. */
	int64_t settings_valid_until_us;
	int64_t beat_due_us;
};

struct seed {
	struct sockaddr_in address;
	bool kept;
	/** The daemon behind it is or was a member. */
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
	/** Next member to tell of without news. */
	guint next_gossip;
	uint64_t settings_version, vms_version;
	int64_t valid_until_us;
	bool leaving;
	int64_t ticked_us;
	int64_t choose_due_us;
};

/** Compares IP number and port. */
bool address_equal(const struct sockaddr_in *a, const struct sockaddr_in *b);

/** Places of an id on the rings. */
void ring_positions(const char *id, uint64_t places[PEERS_RINGS]);

struct member *member_find(const struct peers *peers, struct str id);

/** Finds or adds; seen_us is left alone. */
struct member *member_get(struct peers *peers, struct str id,
			  enum peer_role role);

/** Drops a member that has no link. */
void member_remove(struct peers *peers, struct member *member);

struct peer member_view(const struct peers *peers, const struct member *member,
			int64_t now_us);

/** Any link to a member, or NULL. */
struct peer_link *member_link(const struct peers *peers,
			      const struct member *member);

/** Marks it as worth telling. */
void member_mark_changed(struct member *member);

/** Fills what a heartbeat tells of members to a receiver. */
void gossip_fill(struct peers *peers, struct beat *beat, enum peer_role to,
		 char texts[PEERS_GOSSIP_LIMIT][128], int64_t now_us);

/** Takes in what a heartbeat told of one member. */
void gossip_merge(struct peers *peers, struct str text, int64_t now_us);

/** Chooses links, keeps and forgets them. */
void overlay_choose_links(struct peers *peers, int64_t now_us);

/** Whether all assigners are to be linked. */
bool overlay_is_mesh(const struct peers *peers);

#endif
