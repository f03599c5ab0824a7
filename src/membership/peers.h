/**
 * Group membership of the daemons (routers and assigners): which links to keep,
 * heartbeats, failure detection, and which version of the settings each daemon
 * has. Does no I/O itself: struct peers_ops does.
 *
 * Up to PEERS_MESH_LIMIT assigners form a full mesh of links. Above that, each
 * assigner keeps a link to its successor on each of PEERS_RINGS rings. A ring
 * orders the assigners by a hash of their ids, with a seed for each ring. So an
 * assigner has about 2 * PEERS_RINGS links at any fleet size, and a message
 * reaches all assigners in a few hops. A router keeps links to
 * PEERS_ROUTER_LINKS assigners.
 *
 * The side that opened a link sends a heartbeat at an interval; the other side
 * replies to each. A heartbeat echoes the receiver's own clock reading, and the
 * age of a contact is counted from that reading. So a daemon that was paused
 * doesn't take old heartbeats in its socket buffers for fresh contact.
 *
 * Instants are microseconds on this daemon's monotonic clock, whose present
 * reading the caller passes as now_us.
 */
#ifndef MEMBERSHIP_PEERS_H
#define MEMBERSHIP_PEERS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Most assigners that form a full mesh. */
#define PEERS_MESH_LIMIT 13
/** Number of rings that the assigners form above PEERS_MESH_LIMIT. */
#define PEERS_RINGS 4
/** Number of assigners that a router keeps links to. */
#define PEERS_ROUTER_LINKS 3
/** Most members described in one heartbeat. */
#define PEERS_GOSSIP_LIMIT 8

enum peer_role {
	PEER_ROUTER,
	PEER_ASSIGNER,
};

/** A heartbeat, with the fields of the wire's Heartbeat message. */
struct beat {
	/** Id of the sender. */
	struct str daemon;
	/** Id of the sender's process, new at each start of the daemon. */
	struct str incarnation;
	enum peer_role role;
	/** Version of the settings that the sender has; 0 without settings. */
	uint64_t settings_version;
	/** Version of the sender's VM table; see vm_table_version(). */
	uint64_t vms_version;
	/** The sender is shutting down. */
	bool leaving;
	/** Milliseconds for which the sender's settings are still valid. */
	uint32_t valid_ms;
	/** Reading of the sender's clock when it sent this heartbeat. */
	int64_t sent_us;
	/** Latest sent_us that the sender received from the receiver, thus a
	 * reading of the receiver's clock; 0 before the first. */
	int64_t echo_us;
	/** Members that the sender knows, each as the text
	 * "ID ROLE ADDRESS SETTINGS_VERSION AGE_MS". ROLE is a (assigner) or
	 * r (router), in upper case when the member has shut down. */
	struct str gossip[PEERS_GOSSIP_LIMIT];
	size_t gossip_count;
};

enum peer_event {
	/** First direct contact with the daemon. */
	PEER_JOINED,
	/** The daemon has a new incarnation. */
	PEER_RESTARTED,
	/** No heartbeat has come from the daemon for peers_config.lost_us. */
	PEER_LOST,
	/** The same incarnation is in contact again after PEER_LOST. */
	PEER_RETURNED,
	/** The daemon announced its shutdown. */
	PEER_LEFT,
};

/** A daemon's membership record, as shown to users. */
struct peer {
	const char *id;
	enum peer_role role;
	/** Address where an assigner listens; port 0 when unknown, and for a
	 * router. */
	struct sockaddr_in address;
	/** Id of the peer's process; "" until this daemon has had a link to
	 * the peer. */
	const char *incarnation;
	uint64_t settings_version;
	/** Microseconds since any daemon was last in contact with the peer. */
	int64_t age_us;
	/** This daemon has an open link to the peer. */
	bool linked;
};

/** Actions that the user of peers carries out. */
struct peers_ops {
	/** Opens a link to an address and reopens the link whenever it closes,
	 * until drop_link(). */
	void (*keep_link)(void *ctx, const struct sockaddr_in *address);
	/** Stops keeping the link to an address. */
	void (*drop_link)(void *ctx, const struct sockaddr_in *address);
	/** Sends a heartbeat on a link; the beat is valid during the call. */
	void (*send)(void *ctx, void *link, const struct beat *beat);
	/** Reports a change in a daemon's membership. */
	void (*event)(void *ctx, enum peer_event event,
		      const struct peer *peer);
};

/** Identity of this daemon, first links and intervals. */
struct peers_config {
	/** Id of this daemon, unique among the daemons. */
	const char *id;
	/** Id of this process, new at each start of the daemon. */
	const char *incarnation;
	enum peer_role role;
	/** Where this daemon listens for links; not read for routers. */
	struct sockaddr_in address;
	/** Addresses of some assigners, for the first links. */
	const struct sockaddr_in *seeds;
	size_t seed_count;
	/** Intervals; zero means PEERS_HEARTBEAT_US, PEERS_LOST_US and
	 * PEERS_FORGET_US. */
	int64_t heartbeat_us;
	int64_t lost_us;
	int64_t forget_us;
	/** Seed of the random number generator. */
	uint32_t seed;
};

/** Interval between two heartbeats on a link. */
#define PEERS_HEARTBEAT_US INT64_C(500000)
/** A peer that has sent no heartbeat for this long is lost. */
#define PEERS_LOST_US INT64_C(2000000)
/** A lost assigner counts toward the quorum for this long, so that a network
 * partition doesn't lower the number of peers that makes a quorum. */
#define PEERS_FORGET_US (INT64_C(7200) * 1000000)
/** A contact is valid for this long after the echoed clock reading. */
#define PEERS_CONTACT_VALID_US INT64_C(2000000)

/** Membership state of one daemon. */
struct peers;

/**
 * Creates the membership state of one daemon.
 *
 * @param config copied, with its texts and seeds
 * @param ops not copied; must outlive the peers
 * @param ctx passed to each of ops
 * @return freed with peers_destroy()
 */
struct peers *peers_create(const struct peers_config *config,
			   const struct peers_ops *ops, void *ctx,
			   int64_t now_us);

/** Frees the membership state, without calls of ops. NULL is ignored. */
void peers_destroy(struct peers *peers);

/**
 * Sets this daemon's state, which its next heartbeats carry. A change of
 * settings_version or leaving sends a heartbeat on every link at once.
 *
 * @param valid_until_us instant until which the settings are valid; each
 *        heartbeat carries the time left when it is sent, so that a daemon
 *        that was paused doesn't announce a validity that has run out
 */
void peers_set_local(struct peers *peers, uint64_t settings_version,
		     uint64_t vms_version, int64_t valid_until_us, bool leaving,
		     int64_t now_us);

/**
 * Applies the Hello of the daemon at the other end of a link. A Hello without
 * an id, or with this daemon's own id, is ignored.
 *
 * @param link the user's handle, unique among open links
 * @param outgoing this side opened the link
 * @param address where the other daemon listens; port 0 for a router
 */
void peers_on_hello(struct peers *peers, void *link, bool outgoing,
		    struct str daemon, struct str incarnation,
		    enum peer_role role, const struct sockaddr_in *address,
		    int64_t now_us);

/** Applies a heartbeat received on a link; replies on incoming links. Ignores
 * a heartbeat that comes before the link's Hello or names another daemon. */
void peers_on_heartbeat(struct peers *peers, void *link,
			const struct beat *beat, int64_t now_us);

/** Removes a closed link. */
void peers_on_link_closed(struct peers *peers, void *link, int64_t now_us);

/** Sends due heartbeats, detects losses, chooses links; call every 100 ms. */
void peers_tick(struct peers *peers, int64_t now_us);

/**
 * Returns the instant until which this daemon is in contact with at least half
 * of its peers, which makes a majority together with itself. Peers are all
 * other assigners in a full mesh, and the linked neighbours above that.
 *
 * @return the instant, possibly in the past; 0 before the first quorum;
 *         INT64_MAX without any peer
 */
int64_t peers_quorum_until(const struct peers *peers);

/**
 * Returns the instant until which this router's settings are valid: the latest
 * one given by the heartbeats of its linked assigners, or 0 without any.
 */
int64_t peers_settings_valid_until(const struct peers *peers);

/** Returns the number of daemons known and not forgotten, this one included.
 */
size_t peers_count(const struct peers *peers);

/** Returns the number of daemons that this one has chosen to link to, whether
 * the links are open or not. */
size_t peers_wanted_links(const struct peers *peers);

/** Calls visit for every known daemon but this one. */
void peers_each(const struct peers *peers, int64_t now_us,
		void (*visit)(void *ctx, const struct peer *peer), void *ctx);

/**
 * Finds the open link to a daemon.
 *
 * @return the handle given to peers_on_hello(), or NULL
 */
void *peers_link(const struct peers *peers, struct str daemon);

#endif
