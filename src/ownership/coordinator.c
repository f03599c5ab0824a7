#include "ownership/coordinator.h"

#include "base/hash.h"
#include "ownership/authority.h"
#include "ownership/coordinator_impl.h"
#include "ownership/election.h"
#include "ownership/grants.h"
#include "ownership/row.h"
#include "ownership/slice_states.h"

/** A daemon that hands over for a shutdown waits at most this long for a
 * successor. */
#define HANDOVER_US (2 * US_PER_SECOND)

/** How long coordinator_ignore_unlisted() has effect. */
#define IGNORE_UNLISTED_US (60 * US_PER_SECOND)
/** The record of a peer without heartbeats is dropped after this time. */
#define PEER_EXPIRY_US (60 * US_PER_SECOND)

struct coordinator_timing coordinator_timing_default(void)
{
	return (struct coordinator_timing){
		.authority_us = COORDINATOR_AUTHORITY_US,
		.grant_us = COORDINATOR_GRANT_US,
		.margin_us = COORDINATOR_MARGIN_US,
		.renew_us = COORDINATOR_RENEW_US,
		.lost_us = COORDINATOR_LOST_US,
		.table_timeout_us = COORDINATOR_TABLE_TIMEOUT_US,
		.read_us = 5 * US_PER_SECOND,
		.owner_lost_us = 600 * US_PER_MS,
		.stable_us = 3 * US_PER_SECOND,
		.gone_us = 30 * US_PER_SECOND,
		.prefer_us = 10 * US_PER_SECOND,
	};
}

/* The daemon number in this process's ballots, see struct ballot. */
static uint64_t daemon_number(const struct coordinator_config *config)
{
	uint64_t hash =
		hash_seeded(config->incarnation, hash_key(config->daemon));

	return hash >> (64 - BALLOT_DAEMON_BITS);
}

static void upstream_free(gpointer data)
{
	struct cell_upstream *u = data;

	g_free(u->id);
	g_free(u->zone);
	g_free(u->boot);
	g_free(u);
}

static void init_instants(struct coordinator *c)
{
	c->created_us = coordinator_now(c);
	c->no_candidacy_before_us = c->created_us;
	c->leader_seen_us = NEVER_US;
	c->backoff_us = ELECTION_BACKOFF_MIN_US;
	c->won_us = NEVER_US;
	c->own_read_us = NEVER_US;
	c->read_sent_us = NEVER_US;
	c->retry_read_us = NEVER_US;
	c->row_read_us = NEVER_US;
	c->known_epoch_us = NEVER_US;
	c->ignore_unlisted_until_us = NEVER_US;
	c->table_up = true;
}

struct coordinator *coordinator_create(const struct coordinator_config *config,
				       const struct clock *clock,
				       const struct coordinator_ops *ops,
				       void *ctx)
{
	struct coordinator *c = g_new0(struct coordinator, 1);

	c->cell = str_dup(config->cell);
	c->daemon = str_dup(config->daemon);
	c->incarnation = str_dup(config->incarnation);
	c->daemon_number = daemon_number(config);
	c->slices_per_owner = config->slices_per_owner;
	c->timing =
		config->timing ? *config->timing : coordinator_timing_default();
	c->fault = config->fault;
	c->clock = clock;
	c->ops = ops;
	c->ctx = ctx;
	c->random = g_rand_new_with_seed(config->seed);
	c->next_request = 1;
	c->next_attempt = 1;
	c->leader = g_strdup("");
	c->peers = g_ptr_array_new_with_free_func(election_peer_free);
	c->states = g_array_new(FALSE, TRUE, sizeof(struct slice_state));
	c->acceptors = g_ptr_array_new();
	c->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	c->rebalancer = rebalancer_create();
	init_instants(c);
	return c;
}

void coordinator_destroy(struct coordinator *c)
{
	if (!c)
		return;
	row_drop_write(c);
	slice_map_destroy(c->map);
	g_clear_pointer(&c->old_acceptors, g_ptr_array_unref);
	g_ptr_array_unref(c->acceptors);
	g_array_unref(c->states);
	g_ptr_array_unref(c->upstreams);
	g_ptr_array_unref(c->peers);
	rebalancer_destroy(c->rebalancer);
	g_rand_free(c->random);
	g_free(c->leader);
	g_free(c->cell);
	g_free(c->daemon);
	g_free(c->incarnation);
	g_free(c);
}

void coordinator_event(struct coordinator *c, const char *format, ...)
{
	va_list args;
	char *clause, *text;

	va_start(args, format);
	clause = g_strdup_vprintf(format, args);
	va_end(args);
	text = g_strdup_printf("cell %s: %s", c->cell, clause);
	c->ops->event(c->ctx, text);
	g_free(text);
	g_free(clause);
}

void coordinator_raise_known_epoch(struct coordinator *c, uint64_t epoch)
{
	if (epoch <= c->known_epoch)
		return;
	c->known_epoch = epoch;
	c->known_epoch_us = coordinator_now(c);
}

struct cell_upstream *coordinator_upstream(struct coordinator *c, struct str id)
{
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		if (str_equal(str_from(u->id), id))
			return u;
	}
	return NULL;
}

struct cell_upstream *coordinator_upstream_add(struct coordinator *c,
					       struct str id)
{
	struct cell_upstream *u = coordinator_upstream(c, id);

	if (u)
		return u;
	u = g_new0(struct cell_upstream, 1);
	u->id = str_dup(id);
	u->zone = g_strdup("");
	u->fences = true;
	u->listed_us = coordinator_now(c);
	u->next_order_us = NEVER_US;
	u->clock_at_us = NEVER_US / 2;
	u->answered_sent_us = NEVER_US;
	u->last_seen_us = NEVER_US;
	u->confirmed_us = NEVER_US;
	u->grant_ok_us = NEVER_US;
	u->held_until_us =
		c->won_us == NEVER_US
			? NEVER_US
			: authority_of(c)->grants_end_us(c, c->won_us);
	g_ptr_array_add(c->upstreams, u);
	return u;
}

bool upstream_reachable(const struct coordinator *c,
			const struct cell_upstream *u, int64_t now)
{
	return u->last_seen_us != NEVER_US &&
	       now < u->last_seen_us + c->timing.owner_lost_us;
}

bool upstream_lost(const struct coordinator *c, const struct cell_upstream *u,
		   int64_t now)
{
	int64_t last_reply = MAX(u->last_seen_us, c->lead_us);
	int64_t last_ok = MAX(u->grant_ok_us, c->lead_us);

	return now >= last_reply + c->timing.owner_lost_us ||
	       now >= last_ok + 2 * c->timing.grant_us;
}

bool upstream_in_service(const struct coordinator *c,
			 const struct cell_upstream *u)
{
	return !u->leaving && !u->out &&
	       (u->listed ||
		coordinator_now(c) < u->listed_us + c->timing.gone_us);
}

void coordinator_tick(struct coordinator *c)
{
	coordinator_step(c);
}

void coordinator_on_row(struct coordinator *c, uint64_t request,
			enum table_status status, uint64_t version,
			struct str row)
{
	coordinator_check_authority(c, coordinator_now(c));
	row_on_read(c, request, status, version, row);
	coordinator_step(c);
}

void coordinator_on_written(struct coordinator *c, uint64_t request,
			    enum table_status status, uint64_t version)
{
	coordinator_check_authority(c, coordinator_now(c));
	row_on_written(c, request, status, version);
	coordinator_step(c);
}

void coordinator_on_reply(struct coordinator *c, uint64_t request,
			  const struct order_reply *reply)
{
	coordinator_check_authority(c, coordinator_now(c));
	grants_on_reply(c, request, reply);
	coordinator_step(c);
}

void coordinator_on_no_reply(struct coordinator *c, uint64_t request)
{
	coordinator_check_authority(c, coordinator_now(c));
	grants_on_no_reply(c, request);
	coordinator_step(c);
}

static void update_upstream(struct coordinator *c,
			    const struct coordinator_upstream *in, int64_t now)
{
	struct cell_upstream *u = coordinator_upstream_add(c, in->id);

	if (!str_equal(str_from(u->zone), in->zone)) {
		g_free(u->zone);
		u->zone = str_dup(in->zone);
	}
	u->listed = true;
	u->listed_us = now;
	u->fences = in->fences;
	u->leaving = in->leaving;
	u->out = in->out;
}

/* Whether a slice can't be granted because an upstream may still hold it. */
static bool blocks_slice(const struct coordinator *c,
			 const struct cell_upstream *u)
{
	size_t i;

	for (i = 0; i < c->states->len; i++)
		if (slice_state_at(c, i)->holder == u)
			return true;
	return false;
}

static bool in_set(const GPtrArray *set, struct cell_upstream *u)
{
	return set && g_ptr_array_find((GPtrArray *)set, u, NULL);
}

/* Frees the records of upstreams and peers that are gone. An upstream that no
 * row lists can't hold a grant: remove_owner() in moves.c checked it before the
 * upstream was dropped from its last row. */
static void free_gone_records(struct coordinator *c, int64_t now)
{
	size_t i;

	for (i = c->upstreams->len; i-- > 0;) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		if (!u->listed && now >= u->listed_us + c->timing.gone_us &&
		    now >= u->held_until_us && !in_set(c->acceptors, u) &&
		    !in_set(c->old_acceptors, u) && !blocks_slice(c, u))
			g_ptr_array_remove_index(c->upstreams, (guint)i);
	}
	for (i = c->peers->len; i-- > 0;) {
		const struct peer *p = g_ptr_array_index(c->peers, i);

		if (now >= p->last_seen_us + PEER_EXPIRY_US)
			g_ptr_array_remove_index(c->peers, (guint)i);
	}
}

void coordinator_set_upstreams(struct coordinator *c,
			       const struct coordinator_upstream *upstreams,
			       size_t count)
{
	int64_t now = coordinator_now(c);
	size_t i;

	coordinator_check_authority(c, now);
	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		if (u->listed)
			u->listed_us = now;
		u->listed = false;
	}
	for (i = 0; i < count; i++)
		update_upstream(c, &upstreams[i], now);
	free_gone_records(c, now);
	c->next_plan_us = now;
	coordinator_step(c);
}

void coordinator_on_peer(struct coordinator *c,
			 const struct coordinator_peer *peer)
{
	coordinator_check_authority(c, coordinator_now(c));
	election_on_peer(c, peer);
	coordinator_step(c);
}

void coordinator_on_map(struct coordinator *c, struct slice_map *map)
{
	coordinator_check_authority(c, coordinator_now(c));
	coordinator_raise_known_epoch(c, slice_map_epoch(map));
	row_adopt(c, map, 0, false);
	coordinator_step(c);
}

void coordinator_on_epoch(struct coordinator *c, uint64_t epoch)
{
	coordinator_check_authority(c, coordinator_now(c));
	coordinator_raise_known_epoch(c, epoch);
	coordinator_step(c);
}

void coordinator_on_load(struct coordinator *c,
			 const struct coordinator_load *load)
{
	rebalancer_add_load(c->rebalancer, load);
}

void coordinator_ignore_unlisted(struct coordinator *c)
{
	c->ignore_unlisted_until_us = coordinator_now(c) + IGNORE_UNLISTED_US;
	coordinator_event(c, "unlisted upstreams do not count towards the "
			     "majority for one minute");
	coordinator_step(c);
}

void coordinator_hand_over(struct coordinator *c)
{
	if (c->phase == COORDINATOR_RESIGNED)
		return;
	election_follow(c, "handed over for shutdown");
	c->phase = COORDINATOR_RESIGNED;
	c->resigned_us = coordinator_now(c);
}

bool coordinator_handed_over(const struct coordinator *c)
{
	int64_t now = coordinator_now(c);

	if (c->phase != COORDINATOR_RESIGNED)
		return false;
	return c->leader_seen_us >= c->resigned_us ||
	       election_no_live_peer(c, now) ||
	       now >= c->resigned_us + HANDOVER_US;
}

bool coordinator_has_authority(struct coordinator *c)
{
	return c->phase == COORDINATOR_LEADING &&
	       authority_held(c, coordinator_now(c));
}

int64_t coordinator_authority_left_us(struct coordinator *c)
{
	int64_t now = coordinator_now(c);

	if (!coordinator_has_authority(c))
		return 0;
	return MAX(authority_of(c)->until_us(c) - now, 0);
}
