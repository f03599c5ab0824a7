/*
 * Overlay network: chooses which daemons this one links to, a full mesh or
 * neighbours on rings as described in peers.h.
 */
#include "base/clock.h"
#include "membership/peers_impl.h"

/* In a full mesh the daemon with the lower id opens the link. The other daemon
 * opens a link if there is none after this time. */
#define OPEN_WAIT_US US_PER_SECOND
/* Time limit for opening a link. */
#define CONNECT_US (3 * US_PER_SECOND)
/* A member whose link failed is chosen again after this time. */
#define RETRY_US (30 * US_PER_SECOND)
/* Unlinked members that no daemon was in contact with for longer than this are
 * not chosen. */
#define NEIGHBOUR_AGE_US (120 * US_PER_SECOND)

/* Tells whether a member is an assigner that can be connected to. */
static bool is_candidate(const struct member *m)
{
	return m->role == PEER_ASSIGNER && !m->left && m->address.sin_port;
}

bool overlay_is_mesh(const struct peers *peers)
{
	size_t count = 1;
	guint i;

	for (i = 0; i < peers->members->len; i++)
		count += is_candidate(g_ptr_array_index(peers->members, i));
	return count <= PEERS_MESH_LIMIT;
}

/* Tells whether a member may be chosen as neighbour: it is linked, or was seen
 * lately and has not failed since. */
static bool is_usable(const struct peers *peers, const struct member *m,
		      int64_t now_us)
{
	if (!is_candidate(m))
		return false;
	if (member_link(peers, m))
		return true;
	if (now_us - m->seen_us >= NEIGHBOUR_AGE_US)
		return false;
	return !m->failed_us || m->seen_us > m->failed_us ||
	       now_us - m->failed_us >= RETRY_US;
}

/* Returns the first usable member after a position on a ring, or NULL. The
 * positions wrap around. */
static struct member *successor(const struct peers *peers, size_t ring,
				uint64_t position, int64_t now_us)
{
	struct member *best = NULL;
	uint64_t best_distance = UINT64_MAX;
	guint i;

	for (i = 0; i < peers->members->len; i++) {
		struct member *m = g_ptr_array_index(peers->members, i);
		uint64_t distance = m->ring_position[ring] - position - 1;

		if (distance >= best_distance || !is_usable(peers, m, now_us))
			continue;
		best = m;
		best_distance = distance;
	}
	return best;
}

static void choose_ring_neighbours(struct peers *peers, int64_t now_us)
{
	size_t ring;

	for (ring = 0; ring < PEERS_RINGS; ring++) {
		struct member *m = successor(
			peers, ring, peers->ring_position[ring], now_us);

		if (m)
			m->wanted = true;
	}
}

/* A router links to the assigners that follow its own position on the first
 * ring, which spreads the routers over the assigners. */
static void choose_router_links(struct peers *peers, int64_t now_us)
{
	uint64_t position = peers->ring_position[0];
	size_t i;

	for (i = 0; i < PEERS_ROUTER_LINKS; i++) {
		struct member *m = successor(peers, 0, position, now_us);

		if (!m)
			return;
		m->wanted = true;
		position = m->ring_position[0];
	}
}

static void choose_all_assigners(struct peers *peers)
{
	guint i;

	for (i = 0; i < peers->members->len; i++) {
		struct member *m = g_ptr_array_index(peers->members, i);

		if (is_candidate(m))
			m->wanted = true;
	}
}

static bool has_incoming(const struct peers *peers, const struct member *m)
{
	guint i;

	for (i = 0; i < peers->links->len; i++) {
		const struct peer_link *l = g_ptr_array_index(peers->links, i);

		if (l->member == m && !l->outgoing)
			return true;
	}
	return false;
}

/* Tells whether this daemon should open, or keep open, a link to a wanted
 * member. Of two links in opposite directions, only the one that the daemon
 * with the lower id opened is kept. */
static bool should_open(const struct peers *peers, const struct member *m,
			int64_t now_us)
{
	bool lower = strcmp(peers->id, m->id) < 0;

	if (has_incoming(peers, m))
		return m->kept && lower;
	if (m->kept || peers->role == PEER_ROUTER || !overlay_is_mesh(peers))
		return true;
	return lower || now_us - m->wanted_us >= OPEN_WAIT_US;
}

/* Keeps or forgets the link to a member, as the overlay wants. Records a
 * failure when the link doesn't open within CONNECT_US. */
static void update_link(struct peers *peers, struct member *m, int64_t now_us)
{
	bool open;

	if (!m->wanted)
		m->wanted_us = 0;
	else if (!m->wanted_us)
		m->wanted_us = now_us;
	open = m->wanted && should_open(peers, m, now_us);
	if (open && !m->kept)
		peers->ops->keep_link(peers->ctx, &m->address);
	else if (!open && m->kept)
		peers->ops->drop_link(peers->ctx, &m->address);
	m->kept = open;
	if (m->kept && !member_link(peers, m) &&
	    now_us - MAX(m->wanted_us, m->failed_us) >= CONNECT_US)
		m->failed_us = now_us;
}

static struct member *find_by_address(const struct peers *peers,
				      const struct sockaddr_in *address)
{
	guint i;

	for (i = 0; i < peers->members->len; i++) {
		struct member *m = g_ptr_array_index(peers->members, i);

		if (address_equal(&m->address, address))
			return m;
	}
	return NULL;
}

/* Keeps a link to a seed until a member with its address is known. */
static void update_seed_link(struct peers *peers, struct seed *seed)
{
	struct member *m = find_by_address(peers, &seed->address);

	seed->found = seed->found || m;
	if (!m && !seed->kept) {
		peers->ops->keep_link(peers->ctx, &seed->address);
		seed->kept = true;
	} else if (m && seed->kept) {
		/* The link kept to the seed's address now counts as the
		 * member's. */
		seed->kept = false;
		m->kept = true;
	}
}

void overlay_choose_links(struct peers *peers, int64_t now_us)
{
	guint i;
	size_t k;

	for (k = 0; k < peers->seed_count; k++)
		update_seed_link(peers, &peers->seeds[k]);
	for (i = 0; i < peers->members->len; i++) {
		struct member *m = g_ptr_array_index(peers->members, i);

		m->wanted = false;
	}
	if (peers->role == PEER_ROUTER)
		choose_router_links(peers, now_us);
	else if (overlay_is_mesh(peers))
		choose_all_assigners(peers);
	else
		choose_ring_neighbours(peers, now_us);
	for (i = 0; i < peers->members->len; i++)
		update_link(peers, g_ptr_array_index(peers->members, i),
			    now_us);
}
