#include "base/clock.h"
#include "membership/peers_impl.h"

/* Interval at which the links are chosen anew. */
#define CHOOSE_US (US_PER_SECOND / 2)
/* This time between two ticks means that this daemon itself was paused. */
#define PAUSE_US US_PER_SECOND
/* Lost routers are forgotten sooner than assigners, as there are many. */
#define ROUTER_FORGET_US (600 * US_PER_SECOND)
/* Members that announced their shutdown are forgotten after this time. */
#define LEFT_FORGET_US (300 * US_PER_SECOND)

static int64_t or_default(int64_t value, int64_t fallback)
{
	return value ? value : fallback;
}

static void copy_seeds(struct peers *p, const struct peers_config *config)
{
	size_t i;

	p->seeds = g_new0(struct seed, config->seed_count + 1);
	for (i = 0; i < config->seed_count; i++) {
		if (config->role == PEER_ASSIGNER &&
		    address_equal(&config->seeds[i], &config->address))
			continue;
		p->seeds[p->seed_count++].address = config->seeds[i];
	}
}

struct peers *peers_create(const struct peers_config *config,
			   const struct peers_ops *ops, void *ctx,
			   int64_t now_us)
{
	struct peers *p = g_new0(struct peers, 1);

	p->id = g_strdup(config->id);
	p->incarnation = g_strdup(config->incarnation);
	p->role = config->role;
	p->address = config->address;
	p->heartbeat_us = or_default(config->heartbeat_us, PEERS_HEARTBEAT_US);
	p->lost_us = or_default(config->lost_us, PEERS_LOST_US);
	p->forget_us = or_default(config->forget_us, PEERS_FORGET_US);
	p->ops = ops;
	p->ctx = ctx;
	p->rng = g_rand_new_with_seed(config->seed);
	p->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	p->members = g_ptr_array_new();
	p->links = g_ptr_array_new_with_free_func(g_free);
	p->ticked_us = now_us;
	ring_positions(p->id, p->ring_position);
	copy_seeds(p, config);
	return p;
}

void peers_destroy(struct peers *p)
{
	guint i;

	if (!p)
		return;
	for (i = 0; i < p->members->len; i++) {
		struct member *m = g_ptr_array_index(p->members, i);

		g_free(m->incarnation);
		g_free(m->id);
		g_free(m);
	}
	g_hash_table_destroy(p->by_id);
	g_ptr_array_free(p->members, TRUE);
	g_ptr_array_free(p->links, TRUE);
	g_rand_free(p->rng);
	g_free(p->seeds);
	g_free(p->incarnation);
	g_free(p->id);
	g_free(p);
}

/* Returns for how many milliseconds this daemon's settings are still valid, at
 * most PEERS_CONTACT_VALID_US. */
static uint32_t valid_ms(const struct peers *p, int64_t now_us)
{
	int64_t left_us = p->valid_until_us - now_us;

	return (uint32_t)(CLAMP(left_us, 0, PEERS_CONTACT_VALID_US) /
			  US_PER_MS);
}

static void send_peer_heartbeat(struct peers *p, struct peer_link *l,
				int64_t now_us)
{
	char texts[PEERS_GOSSIP_LIMIT][128];
	struct beat beat = {
		.daemon = str_from(p->id),
		.incarnation = str_from(p->incarnation),
		.role = p->role,
		.settings_version = p->settings_version,
		.vms_version = p->vms_version,
		.leaving = p->leaving,
		.valid_ms = valid_ms(p, now_us),
		.sent_us = now_us,
		.echo_us = l->their_sent_us,
	};

	gossip_fill(p, &beat, l->member->role, texts, now_us);
	p->ops->send(p->ctx, l->link, &beat);
}

void peers_set_local(struct peers *p, uint64_t settings_version,
		     uint64_t vms_version, int64_t valid_until_us, bool leaving,
		     int64_t now_us)
{
	bool at_once = settings_version != p->settings_version ||
		       leaving != p->leaving;
	guint i;

	p->settings_version = settings_version;
	p->vms_version = vms_version;
	p->valid_until_us = valid_until_us;
	p->leaving = leaving;
	for (i = 0; at_once && i < p->links->len; i++)
		send_peer_heartbeat(p, g_ptr_array_index(p->links, i), now_us);
}

static struct peer_link *find_link(const struct peers *p, const void *link)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		struct peer_link *l = g_ptr_array_index(p->links, i);

		if (l->link == link)
			return l;
	}
	return NULL;
}

static void notify(struct peers *p, enum peer_event event,
		   const struct member *m, int64_t now_us)
{
	struct peer view = member_view(p, m, now_us);

	p->ops->event(p->ctx, event, &view);
}

/* Records that a Hello or a heartbeat came from the member, and reports whether
 * the member joined, restarted or returned. */
static void record_contact(struct peers *p, struct member *m,
			   struct str incarnation, int64_t now_us)
{
	bool same = str_equal(str_from(m->incarnation), incarnation);
	bool first = !*m->incarnation;
	bool was_lost = m->lost;

	m->lost = false;
	m->seen_us = now_us;
	m->last_heartbeat_us = now_us;
	if (!same) {
		g_free(m->incarnation);
		m->incarnation = str_dup(incarnation);
		m->left = false;
		member_mark_changed(m);
	}
	if (first)
		notify(p, PEER_JOINED, m, now_us);
	else if (!same)
		notify(p, PEER_RESTARTED, m, now_us);
	else if (was_lost)
		notify(p, PEER_RETURNED, m, now_us);
}

/* Sets a member's address and removes other, unlinked members that have the
 * same address: the daemon that listens there now has replaced them. */
static void set_address(struct peers *p, struct member *m,
			const struct sockaddr_in *address)
{
	guint i;

	if (!address->sin_port || m->role != PEER_ASSIGNER)
		return;
	for (i = p->members->len; i > 0; i--) {
		struct member *other = g_ptr_array_index(p->members, i - 1);

		if (other == m || !address_equal(&other->address, address) ||
		    member_link(p, other))
			continue;
		other->kept = false;
		member_remove(p, other);
	}
	if (m->kept && !address_equal(&m->address, address)) {
		p->ops->drop_link(p->ctx, &m->address);
		m->kept = false;
	}
	m->address = *address;
}

void peers_on_hello(struct peers *p, void *link, bool outgoing,
		    struct str daemon, struct str incarnation,
		    enum peer_role role, const struct sockaddr_in *address,
		    int64_t now_us)
{
	struct peer_link *l = find_link(p, link);
	struct member *m;

	if (str_equal(daemon, str_from(p->id)) || !daemon.len)
		return;
	m = member_find_or_add(p, daemon, role);
	if (!l) {
		l = g_new0(struct peer_link, 1);
		l->link = link;
		g_ptr_array_add(p->links, l);
	}
	l->outgoing = outgoing;
	l->member = m;
	set_address(p, m, address);
	record_contact(p, m, incarnation, now_us);
	l->beat_due_us = now_us + p->heartbeat_us;
	send_peer_heartbeat(p, l, now_us);
	p->choose_due_us = now_us;
}

static void apply_heartbeat(struct peers *p, struct peer_link *l,
			    const struct beat *beat, int64_t now_us)
{
	struct member *m = l->member;
	int64_t contact_us = beat->echo_us;

	l->their_sent_us = MAX(l->their_sent_us, beat->sent_us);
	if (contact_us && contact_us <= now_us) {
		int64_t until = contact_us + beat->valid_ms * US_PER_MS;

		l->echoed_us = MAX(l->echoed_us, contact_us);
		l->settings_valid_until_us =
			MAX(l->settings_valid_until_us, until);
	}
	if (m->settings_version != beat->settings_version)
		member_mark_changed(m);
	m->settings_version = beat->settings_version;
	if (beat->leaving && !m->left) {
		m->left = true;
		member_mark_changed(m);
		notify(p, PEER_LEFT, m, now_us);
	}
}

void peers_on_heartbeat(struct peers *p, void *link, const struct beat *beat,
			int64_t now_us)
{
	struct peer_link *l = find_link(p, link);
	size_t i;

	if (!l || !str_equal(beat->daemon, str_from(l->member->id)))
		return;
	record_contact(p, l->member, beat->incarnation, now_us);
	apply_heartbeat(p, l, beat, now_us);
	for (i = 0; i < beat->gossip_count; i++)
		gossip_merge(p, beat->gossip[i], now_us);
	if (!l->outgoing)
		send_peer_heartbeat(p, l, now_us);
}

void peers_on_link_closed(struct peers *p, void *link, int64_t now_us)
{
	struct peer_link *l = find_link(p, link);

	if (!l)
		return;
	if (l->outgoing)
		l->member->failed_us = now_us;
	g_ptr_array_remove_fast(p->links, l);
	p->choose_due_us = now_us;
}

static void send_due_heartbeats(struct peers *p, int64_t now_us)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		struct peer_link *l = g_ptr_array_index(p->links, i);

		if (!l->outgoing || now_us < l->beat_due_us)
			continue;
		l->beat_due_us = now_us + p->heartbeat_us;
		send_peer_heartbeat(p, l, now_us);
	}
}

static int64_t forget_after_us(const struct peers *p, const struct member *m)
{
	if (m->left)
		return LEFT_FORGET_US;
	return m->role == PEER_ROUTER ? ROUTER_FORGET_US : p->forget_us;
}

/* Detects that a member became lost, and removes a member that was not seen for
 * long. */
static void check_member(struct peers *p, struct member *m, int64_t now_us)
{
	if (m->last_heartbeat_us && !m->lost &&
	    now_us - m->last_heartbeat_us >= p->lost_us &&
	    (member_link(p, m) || now_us - m->seen_us >= p->lost_us)) {
		m->lost = true;
		m->failed_us = now_us;
		if (!m->left)
			notify(p, PEER_LOST, m, now_us);
	}
	if (!member_link(p, m) && now_us - m->seen_us >= forget_after_us(p, m))
		member_remove(p, m);
}

/* After a pause of this daemon, moves the times of the last heartbeats forward
 * by its length. The other daemons may have sent heartbeats that this daemon
 * could not read, so the pause doesn't count as their silence. */
static void discount_own_pause(struct peers *p, int64_t pause_us)
{
	guint i;

	for (i = 0; i < p->members->len; i++) {
		struct member *m = g_ptr_array_index(p->members, i);

		if (m->last_heartbeat_us)
			m->last_heartbeat_us += pause_us;
	}
}

void peers_tick(struct peers *p, int64_t now_us)
{
	guint i;

	if (now_us - p->ticked_us >= PAUSE_US)
		discount_own_pause(p, now_us - p->ticked_us);
	p->ticked_us = now_us;
	send_due_heartbeats(p, now_us);
	for (i = p->members->len; i > 0; i--)
		check_member(p, g_ptr_array_index(p->members, i - 1), now_us);
	if (now_us < p->choose_due_us)
		return;
	p->choose_due_us = now_us + CHOOSE_US;
	overlay_choose_links(p, now_us);
}

static gint later_first(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x > y ? -1 : x < y;
}

/* Returns the latest reading of this daemon's clock that the member echoed on
 * any link; 0 without any. */
static int64_t contact_us(const struct peers *p, const struct member *m)
{
	int64_t latest = 0;
	guint i;

	for (i = 0; i < p->links->len; i++) {
		const struct peer_link *l = g_ptr_array_index(p->links, i);

		if (l->member == m)
			latest = MAX(latest, l->echoed_us);
	}
	return latest;
}

/* Returns the number of seeds whose address no member has had. They count as
 * peers without contact in the quorum. */
static size_t unreached_seeds(const struct peers *p)
{
	size_t i, count = 0;

	for (i = 0; i < p->seed_count; i++)
		count += !p->seeds[i].found;
	return count;
}

int64_t peers_quorum_until(const struct peers *p)
{
	GArray *contacts = g_array_new(FALSE, FALSE, sizeof(int64_t));
	bool mesh = overlay_is_mesh(p);
	size_t others, needed;
	int64_t until = 0;
	guint i;

	for (i = 0; i < p->members->len; i++) {
		const struct member *m = g_ptr_array_index(p->members, i);
		int64_t contact = contact_us(p, m);

		if (m->role != PEER_ASSIGNER || m->left ||
		    (!mesh && !m->wanted && !contact))
			continue;
		g_array_append_val(contacts, contact);
	}
	others = contacts->len + unreached_seeds(p);
	needed = (others + 1) / 2;
	g_array_sort(contacts, later_first);
	if (!needed)
		until = INT64_MAX;
	else if (needed <= contacts->len)
		until = g_array_index(contacts, int64_t, needed - 1);
	if (until && needed)
		until += PEERS_CONTACT_VALID_US;
	g_array_free(contacts, TRUE);
	return until;
}

int64_t peers_settings_valid_until(const struct peers *p)
{
	int64_t until = 0;
	guint i;

	for (i = 0; i < p->links->len; i++) {
		const struct peer_link *l = g_ptr_array_index(p->links, i);

		if (l->member->role == PEER_ASSIGNER)
			until = MAX(until, l->settings_valid_until_us);
	}
	return until;
}

size_t peers_count(const struct peers *p)
{
	return p->members->len + 1;
}

size_t peers_wanted_links(const struct peers *p)
{
	size_t count = 0;
	guint i;

	for (i = 0; i < p->members->len; i++) {
		const struct member *m = g_ptr_array_index(p->members, i);

		count += m->wanted;
	}
	return count;
}

void peers_each(const struct peers *p, int64_t now_us,
		void (*visit)(void *ctx, const struct peer *peer), void *ctx)
{
	guint i;

	for (i = 0; i < p->members->len; i++) {
		const struct member *m = g_ptr_array_index(p->members, i);
		struct peer view = member_view(p, m, now_us);

		visit(ctx, &view);
	}
}

void *peers_link(const struct peers *p, struct str daemon)
{
	const struct member *m = member_find(p, daemon);
	const struct peer_link *l = m ? member_link(p, m) : NULL;

	return l ? l->link : NULL;
}
