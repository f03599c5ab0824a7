/**
 * Daemons that know of each other: which links to keep, heartbeats, loss, and
 * what version of the settings each daemon has.
 *
 * Up to PEERS_MESH_LIMIT assigners are all linked to one another. Above that,
 * each keeps a link to its successor on PEERS_RINGS rings, which order the
 * assigners by differently seeded hashes of their ids: each has about
 * 2 * PEERS_RINGS links at any fleet size, and a message reaches all in a few
 * hops. A router keeps links to PEERS_ROUTER_LINKS assigners.
 *
 * The side that opened a link sends a heartbeat at an interval, the other side
 * answers each. A heartbeat echoes the receiver's own clock reading, and
 * contact counts from that: what a frozen daemon finds in its buffers is old
 * when it wakes.
 */
#ifndef MEMBERSHIP_PEERS_H
#define MEMBERSHIP_PEERS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Most assigners that are all linked to one another. */
#define PEERS_MESH_LIMIT 13
#define PEERS_RINGS 4
#define PEERS_ROUTER_LINKS 3
/** Most members told in one heartbeat. */
#define PEERS_GOSSIP_LIMIT 8

enum peer_role {
	PEER_ROUTER,
	PEER_ASSIGNER,
};

/** A heartbeat as the wire's Heartbeat carries it. */
struct beat {
	struct str daemon;
	struct str incarnation;
	enum peer_role role;
	uint64_t settings_version;
	uint64_t vms_version;
	bool leaving;
	/** The sender's settings can be relied on for this long, in ms. */
	uint32_t valid_ms;
	/** The sender's clock at the send. */
	int64_t sent_us;
	/** Latest sent_us that the sender had from the receiver, or 0. */
	int64_t echo_us;
	/** Members the sender knows, each as peers_member_format() writes. */
	struct str told[PEERS_GOSSIP_LIMIT];
	size_t gossip_count;
};

enum peer_event {
	/** First contact with this daemon. */
	PEER_JOINED,
	/** The daemon has a new incarnation. */
	PEER_RESTARTED,
	/** No contact for too long. */
	PEER_LOST,
	/** Contact again with the incarnation that was lost. */
	PEER_RETURNED,
	/** It said that it leaves. */
	PEER_LEFT,
};

/** What is known of a daemon. */
struct peer {
	const char *id;
	enum peer_role role;
	/** Where assigners listen; port 0 when unknown. */
	struct sockaddr_in address;
	/** "" without a direct link so far. */
	const char *incarnation;
	uint64_t settings_version;
	/** Microseconds since someone was in contact with it. */
	int64_t age_us;
	/** Has an open link to this daemon. */
	bool linked;
};

struct peers_ops {
	/** Keeps a link to an address from now on. */
	void (*keep)(void *ctx, const struct sockaddr_in *address);
	/** Stops keeping a link. */
	void (*forget)(void *ctx, const struct sockaddr_in *address);
	/** Sends a heartbeat; the beat is valid during the call. */
	void (*send)(void *ctx, void *link, const struct beat *beat);
	void (*event)(void *ctx, enum peer_event event,
		      const struct peer *peer);
};

struct peers_config {
	const char *id;
	const char *incarnation;
	enum peer_role role;
	/** Where this daemon listens for links; not read for routers. */
	struct sockaddr_in address;
	/** Assigners to start from. */
	const struct sockaddr_in *seeds;
	size_t seed_count;
	/** Zero: the default of each. */
	int64_t heartbeat_us;
	int64_t lost_us;
	int64_t forget_us;
	uint32_t seed;
};

#define PEERS_HEARTBEAT_US INT64_C(500000)
#define PEERS_LOST_US INT64_C(2000000)
/** A lost peer counts as one for this long, so that a cut does not shrink
 * what half of the peers means. */
#define PEERS_FORGET_US (INT64_C(7200) * 1000000)
/** Contact counts for this long from the echoed clock reading. */
#define PEERS_CONTACT_VALID_US INT64_C(2000000)

struct peers;

/**
 * Creates the state of one daemon.
 *
 * @param config copied
 * @param ops lives as long as the peers
 */
struct peers *peers_create(const struct peers_config *config,
			   const struct peers_ops *ops, void *ctx,
			   int64_t now_us);

void peers_destroy(struct peers *peers);

/**
 * Says what the next heartbeats carry. A new version is told at once.
 *
 * @param valid_until_us until when the settings can be relied on; each
 *        heartbeat tells what is left at its own send, so that a daemon that
 *        was paused does not tell what held before
 */
void peers_set_local(struct peers *peers, uint64_t settings_version,
		     uint64_t vms_version, int64_t valid_until_us, bool leaving,
		     int64_t now_us);

/**
 * A link introduced itself.
 *
 * @param link the user's own handle, unique among open links
 * @param outgoing this side opened it
 * @param address where an assigner listens; port 0 for a router
 */
void peers_on_hello(struct peers *peers, void *link, bool outgoing,
		    struct str daemon, struct str incarnation,
		    enum peer_role role, const struct sockaddr_in *address,
		    int64_t now_us);

/** A heartbeat came on a link. */
void peers_heard(struct peers *peers, void *link, const struct beat *beat,
		 int64_t now_us);

/** A link is gone. */
void peers_on_link_closed(struct peers *peers, void *link, int64_t now_us);

/** Sends what is due, detects loss and chooses links; call every 100 ms. */
void peers_tick(struct peers *peers, int64_t now_us);

/**
 * Until when this daemon is in contact with at least half of its peers: all
 * other assigners up to PEERS_MESH_LIMIT, its neighbours above that.
 *
 * @return an instant, maybe in the past; INT64_MAX without any peer
 */
int64_t peers_quorum_until(const struct peers *peers);

/**
 * Until when the settings of this router can be relied on, by what its
 * assigners said.
 */
int64_t peers_settings_valid_until(const struct peers *peers);

/** Daemons known and not forgotten, this one included. */
size_t peers_count(const struct peers *peers);

/** Links that this daemon wants to keep. */
size_t peers_wanted_links(const struct peers *peers);

/** Calls visit for every daemon known, this one not included. */
void peers_each(const struct peers *peers, int64_t now_us,
		void (*visit)(void *ctx, const struct peer *peer), void *ctx);

/**
 * Finds the open link to a daemon.
 *
 * @return the link, or NULL
 */
void *peers_link(const struct peers *peers, struct str daemon);

#endif
