/*
 * Records of the other daemons, and gossip: descriptions of members in
 * heartbeats, from which a daemon learns of those that it has no link to.
 */
#include <stdio.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/hash.h"
#include "membership/peers_impl.h"

/* Number of heartbeats that carry a changed member before unchanged ones. */
#define GOSSIP_URGENT_HEARTBEATS 6
/* Unchanged members that each heartbeat carries. */
#define GOSSIP_ROUTINE 1
/* Members that no daemon was in contact with for longer than this are not
 * gossiped. */
#define GOSSIP_MAX_AGE_US (120 * US_PER_SECOND)

bool address_equal(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

void ring_positions(const char *id, uint64_t positions[PEERS_RINGS])
{
	size_t i;

	for (i = 0; i < PEERS_RINGS; i++)
		positions[i] = hash_seeded(str_from(id), i + 1);
}

struct member *member_find(const struct peers *peers, struct str id)
{
	char *key = str_dup(id);
	struct member *m = g_hash_table_lookup(peers->by_id, key);

	g_free(key);
	return m;
}

struct member *member_find_or_add(struct peers *peers, struct str id,
				  enum peer_role role)
{
	struct member *m = member_find(peers, id);

	if (m)
		return m;
	m = g_new0(struct member, 1);
	m->id = str_dup(id);
	m->role = role;
	m->incarnation = g_strdup("");
	ring_positions(m->id, m->ring_position);
	member_mark_changed(m);
	g_hash_table_insert(peers->by_id, m->id, m);
	g_ptr_array_add(peers->members, m);
	return m;
}

void member_remove(struct peers *peers, struct member *m)
{
	if (m->kept)
		peers->ops->drop_link(peers->ctx, &m->address);
	g_hash_table_remove(peers->by_id, m->id);
	g_ptr_array_remove_fast(peers->members, m);
	g_free(m->incarnation);
	g_free(m->id);
	g_free(m);
}

struct peer_link *member_link(const struct peers *peers, const struct member *m)
{
	guint i;

	for (i = 0; i < peers->links->len; i++) {
		struct peer_link *l = g_ptr_array_index(peers->links, i);

		if (l->member == m)
			return l;
	}
	return NULL;
}

struct peer member_view(const struct peers *peers, const struct member *m,
			int64_t now_us)
{
	return (struct peer){
		.id = m->id,
		.role = m->role,
		.address = m->address,
		.incarnation = m->incarnation,
		.settings_version = m->settings_version,
		.age_us = now_us - m->seen_us,
		.linked = member_link(peers, m) != NULL,
	};
}

void member_mark_changed(struct member *m)
{
	m->urgent_heartbeats = GOSSIP_URGENT_HEARTBEATS;
}

/* Tells whether heartbeats to a daemon of role `to` carry a member. A router is
 * told of assigners only, and not of those that have shut down. */
static bool should_gossip(const struct member *m, enum peer_role to,
			  int64_t now_us)
{
	if (to == PEER_ROUTER && (m->role == PEER_ROUTER || m->left))
		return false;
	return m->seen_us && now_us - m->seen_us < GOSSIP_MAX_AGE_US;
}

static void add_gossip(struct beat *beat, const struct member *m,
		       char texts[PEERS_GOSSIP_LIMIT][128], int64_t now_us)
{
	char address[ADDRESS_TEXT_SIZE];
	char role = m->role == PEER_ASSIGNER ? 'a' : 'r';
	size_t i = beat->gossip_count++;

	g_snprintf(texts[i], 128,
		   "%s %c %s %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT, m->id,
		   m->left ? g_ascii_toupper(role) : role,
		   address_format(&m->address, address), m->settings_version,
		   (now_us - m->seen_us) / US_PER_MS);
	beat->gossip[i] = str_from(texts[i]);
}

void gossip_fill(struct peers *peers, struct beat *beat, enum peer_role to,
		 char texts[PEERS_GOSSIP_LIMIT][128], int64_t now_us)
{
	guint i, n = peers->members->len;
	size_t limit;

	if (peers->role == PEER_ROUTER)
		return;
	for (i = 0; i < n && beat->gossip_count < PEERS_GOSSIP_LIMIT; i++) {
		struct member *m = g_ptr_array_index(peers->members, i);

		if (!m->urgent_heartbeats || !should_gossip(m, to, now_us))
			continue;
		m->urgent_heartbeats--;
		add_gossip(beat, m, texts, now_us);
	}
	limit = MIN(beat->gossip_count + GOSSIP_ROUTINE, PEERS_GOSSIP_LIMIT);
	for (i = 0; i < n && beat->gossip_count < limit; i++) {
		const struct member *m = g_ptr_array_index(
			peers->members, peers->next_gossip++ % n);

		if (should_gossip(m, to, now_us))
			add_gossip(beat, m, texts, now_us);
	}
}

/* A member's description, parsed from a heartbeat; see struct beat. */
struct gossip {
	char id[64];
	char role;
	char address[ADDRESS_TEXT_SIZE];
	uint64_t settings_version;
	int64_t age_us;
	struct sockaddr_in addr;
};

static bool gossip_parse(struct str text, struct gossip *t)
{
	char *copy = str_dup(text);
	char **parts = g_strsplit(copy, " ", 6);
	bool ok = g_strv_length(parts) == 5 && *parts[0] &&
		  strlen(parts[0]) < sizeof(t->id) && *parts[1] &&
		  strchr("arAR", *parts[1]) && !parts[1][1] &&
		  address_parse(str_from(parts[2]), &t->addr);

	if (ok) {
		g_strlcpy(t->id, parts[0], sizeof(t->id));
		t->role = *parts[1];
		t->settings_version = g_ascii_strtoull(parts[3], NULL, 10);
		t->age_us = g_ascii_strtoll(parts[4], NULL, 10) * US_PER_MS;
		ok = t->age_us >= 0 && t->age_us < GOSSIP_MAX_AGE_US;
	}
	g_strfreev(parts);
	g_free(copy);
	return ok;
}

/* Tells whether a description is newer than the member's record. A daemon that
 * has announced its shutdown returns by its own Hello only, not by gossip. */
static bool is_newer(const struct peers *peers, const struct member *m,
		     const struct gossip *t, int64_t seen_us)
{
	if (member_link(peers, m) || m->left)
		return false;
	return g_ascii_isupper(t->role) || seen_us > m->seen_us;
}

void gossip_merge(struct peers *peers, struct str text, int64_t now_us)
{
	struct gossip t = { 0 };
	struct member *m;
	int64_t seen_us;
	bool known;

	if (!gossip_parse(text, &t) || !strcmp(t.id, peers->id))
		return;
	seen_us = now_us - t.age_us;
	known = member_find(peers, str_from(t.id)) != NULL;
	if (!known && g_ascii_isupper(t.role))
		return;
	m = member_find_or_add(peers, str_from(t.id),
			       g_ascii_tolower(t.role) == 'a' ? PEER_ASSIGNER
							      : PEER_ROUTER);
	if (!is_newer(peers, m, &t, seen_us))
		return;
	if (g_ascii_isupper(t.role) ||
	    t.settings_version != m->settings_version)
		member_mark_changed(m);
	m->left = g_ascii_isupper(t.role);
	m->settings_version = t.settings_version;
	m->seen_us = MAX(m->seen_us, seen_us);
	if (!m->kept)
		m->address = t.addr;
}
