#include "ownership/grants.h"

#include "ownership/authority.h"
#include "ownership/slice_states.h"

/** Orders to an upstream that does not reply are sent at an interval longer by
 * this factor. */
#define LOST_RENEW_FACTOR 2
/** The next order to an upstream waits this long for the reply to the previous
 * one: an older order that arrives after a newer one undoes it for a while. */
#define REPLY_WAIT_US (50 * US_PER_MS)
/** Pause before the next order to an upstream that refused the last one. */
#define REFUSED_RETRY_US (20 * US_PER_MS)

static uint32_t owner_index(const struct coordinator *c,
			    const struct cell_upstream *u)
{
	return slice_map_owner_index(c->map, str_from(u->id));
}

/* The ranges that an upstream should hold: its slices that are safe to grant,
 * adjacent ones merged. Returns an array of struct hash_range. */
static GArray *wanted_ranges(const struct coordinator *c,
			     const struct cell_upstream *u)
{
	GArray *ranges = g_array_new(FALSE, FALSE, sizeof(struct hash_range));
	uint32_t owner = owner_index(c, u);
	bool previous_wanted = false;
	size_t i;

	for (i = 0; owner != SLICE_NO_OWNER && i < slice_map_count(c->map);
	     i++) {
		const struct slice *s = slice_map_at(c->map, i);
		struct hash_range range = { s->first, s->last };
		bool wanted = s->owner == owner && slice_state_at(c, i)->safe;

		if (wanted && previous_wanted)
			g_array_index(ranges, struct hash_range,
				      ranges->len - 1)
				.last = s->last;
		else if (wanted)
			g_array_append_val(ranges, range);
		previous_wanted = wanted;
	}
	return ranges;
}

static uint64_t ranges_digest(const GArray *ranges)
{
	return hash_ranges_digest((const struct hash_range *)ranges->data,
				  ranges->len);
}

/* Whether an upstream's last reported grant has these ranges and this epoch. */
static bool holds_exactly(const struct coordinator *c,
			  const struct cell_upstream *u, const GArray *ranges)
{
	return u->held && u->held_epoch == slice_map_epoch(c->map) &&
	       u->held_digest == ranges_digest(ranges);
}

bool grants_held(const struct coordinator *c, const struct cell_upstream *u)
{
	GArray *ranges = wanted_ranges(c, u);
	bool held = !ranges->len || holds_exactly(c, u, ranges);

	g_array_unref(ranges);
	return held;
}

static void send_order(struct coordinator *c, struct cell_upstream *u,
		       struct order *order, int64_t now)
{
	struct sent_order *sent =
		&u->sent_orders[u->orders_sent++ % SENT_ORDERS_KEPT];
	int64_t interval = c->timing.renew_us;

	order->cell = str_from(c->cell);
	order->ballot = c->ballot;
	order->epoch = slice_map_epoch(c->map);
	sent->request = c->next_request++;
	sent->ballot = c->ballot;
	sent->sent_us = now;
	if (!upstream_reachable(c, u, now))
		interval *= LOST_RENEW_FACTOR;
	u->awaiting_reply = true;
	u->next_order_us = now + interval;
	c->ops->send_order(c->ctx, sent->request, str_from(u->id), order);
}

static void send_prepare(struct coordinator *c, struct cell_upstream *u,
			 int64_t now)
{
	struct order order = { .kind = ORDER_PREPARE };

	send_order(c, u, &order, now);
}

static void send_grant(struct coordinator *c, struct cell_upstream *u,
		       const GArray *ranges, bool renewal, int64_t now)
{
	struct order order = {
		.kind = ORDER_GRANT,
		.boot = str_from(u->boot),
		.anchor_us = u->clock_us,
		.duration_us = c->timing.grant_us,
		.has_ranges = !renewal,
		.ranges = (const struct hash_range *)ranges->data,
		.range_count = ranges->len,
	};

	u->held_until_us =
		MAX(u->held_until_us, u->clock_at_us + c->timing.grant_us +
					      coordinator_margin(c));
	send_order(c, u, &order, now);
}

/* Whether this daemon may send a grant that the upstream would accept and that
 * would still last for at least half its length. */
static bool can_grant(const struct coordinator *c,
		      const struct cell_upstream *u, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING || !u->boot ||
	    !authority_held(c, now))
		return false;
	if (c->unfenced)
		return true;
	return authority_counts(c, u->up_us) &&
	       now < u->clock_at_us + c->timing.grant_us / 2;
}

/* Sends the order that is due to an upstream: a grant, which renews or changes
 * the ranges held. If there is nothing to grant or granting is not allowed, a
 * prepare, so that the upstream reports its state. */
static void send_due(struct coordinator *c, struct cell_upstream *u,
		     int64_t now)
{
	GArray *ranges = wanted_ranges(c, u);
	bool exact = holds_exactly(c, u, ranges);
	bool idle = !ranges->len && (!u->held || exact);

	if (idle || !can_grant(c, u, now) || (c->unfenced && exact))
		send_prepare(c, u, now);
	else
		send_grant(c, u, ranges, exact, now);
	g_array_unref(ranges);
}

/* Whether orders are sent to an upstream: to owners in the row, and while
 * leading also to listed upstreams that may join it. */
static bool wants_orders(const struct coordinator *c,
			 const struct cell_upstream *u)
{
	if (c->unfenced && c->phase != COORDINATOR_LEADING)
		return false;
	return owner_index(c, u) != SLICE_NO_OWNER ||
	       (u->listed && (u->fences || c->unfenced) &&
		c->phase == COORDINATOR_LEADING);
}

void grants_make_all_due(struct coordinator *c)
{
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		u->next_order_us = NEVER_US;
	}
}

/* Whether the next order must still wait for the reply to the previous one. */
static bool waits_for_reply(const struct cell_upstream *u, int64_t now)
{
	const struct sent_order *last =
		&u->sent_orders[(u->orders_sent - 1) % SENT_ORDERS_KEPT];

	return u->awaiting_reply && now < last->sent_us + REPLY_WAIT_US;
}

void grants_step(struct coordinator *c, int64_t now)
{
	size_t i;

	if (c->phase == COORDINATOR_LEADING)
		slice_states_update(c, now);
	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		if (now >= u->next_order_us && !waits_for_reply(u, now) &&
		    wants_orders(c, u))
			send_due(c, u, now);
	}
}

/* Finds an order by its request id, and the upstream that it was sent to.
 *
 * Returns NULL if the order is too old to be remembered. */
static const struct sent_order *find_sent_order(struct coordinator *c,
						uint64_t request,
						struct cell_upstream **found)
{
	size_t i, k;

	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		for (k = 0; k < SENT_ORDERS_KEPT; k++) {
			if (u->sent_orders[k].request != request)
				continue;
			*found = u;
			return &u->sent_orders[k];
		}
	}
	return NULL;
}

/* Handles the first reply of an upstream's new incarnation. */
static void set_incarnation(const struct coordinator *c,
			    struct cell_upstream *u, struct str boot)
{
	g_free(u->boot);
	u->boot = str_dup(boot);
	/* The restart lost the upstream's ballot, epochs and grant. */
	u->released_epoch = 0;
	u->held = false;
	if (c->fault == COORDINATOR_FAULT_COUNT_RESTARTED)
		return;
	u->ballot = (struct ballot){ 0 };
	u->confirmed_us = NEVER_US;
	u->epoch = 0;
}

/* Records the upstream's state as its newest reply reports it. */
static void record_state(struct coordinator *c, struct cell_upstream *u,
			 const struct order_reply *reply, int64_t now)
{
	u->clock_us = reply->clock_us;
	u->clock_at_us = now;
	u->up_us = reply->up_us;
	u->held = reply->has_grant;
	u->held_epoch = reply->grant_epoch;
	u->held_digest = reply->grant_digest;
	u->awaiting_reply = false;
	u->refused = ballot_compare(reply->promised, c->ballot) > 0;
}

/* Whether an order was sent in the current term. */
static bool sent_in_term(const struct coordinator *c,
			 const struct sent_order *sent)
{
	return c->phase != COORDINATOR_FOLLOWING &&
	       c->phase != COORDINATOR_RESIGNED && c->ballot.number &&
	       sent->ballot.number >= c->term_number;
}

/* Records what a reply that accepts our ballot confirms: authority, the
 * upstream's epoch, and the epoch below which the upstream holds no grant. */
static void record_promise(struct coordinator *c, struct cell_upstream *u,
			   const struct sent_order *sent,
			   const struct order_reply *reply)
{
	uint64_t released = reply->has_grant
				    ? MIN(reply->epoch, reply->grant_epoch)
				    : reply->epoch;

	if (!sent_in_term(c, sent) ||
	    ballot_compare(reply->promised, sent->ballot))
		return;
	if (c->won && !ballot_compare(sent->ballot, c->ballot) &&
	    sent->sent_us >= c->won_us)
		u->released_epoch = MAX(u->released_epoch, released);
	if (!authority_counts(c, reply->up_us))
		return;
	if (ballot_compare(sent->ballot, u->ballot) > 0)
		u->ballot = sent->ballot;
	u->confirmed_us = MAX(u->confirmed_us, sent->sent_us);
	u->epoch = MAX(u->epoch, reply->epoch);
}

/* Makes the next order due earlier if the upstream does not hold the grant that
 * it should; accepted is whether it accepted the last order. */
static void resend_if_grant_differs(struct coordinator *c,
				    struct cell_upstream *u, bool accepted,
				    int64_t now)
{
	if (!can_grant(c, u, now) || grants_held(c, u))
		return;
	if (accepted)
		u->next_order_us = NEVER_US;
	else
		u->next_order_us =
			MIN(u->next_order_us, now + REFUSED_RETRY_US);
}

void grants_on_reply(struct coordinator *c, uint64_t request,
		     const struct order_reply *reply)
{
	struct cell_upstream *u = NULL;
	const struct sent_order *sent = find_sent_order(c, request, &u);
	int64_t now = coordinator_now(c);
	bool newest;

	if (!sent || !c->map)
		return;
	newest = sent->sent_us >= u->answered_sent_us;
	if (!u->boot || !str_equal(str_from(u->boot), reply->boot)) {
		if (!newest)
			return;
		set_incarnation(c, u, reply->boot);
		u->reachable_us = now;
	}
	if (!upstream_reachable(c, u, now))
		u->reachable_us = now;
	u->last_seen_us = now;
	c->highest_number = MAX(c->highest_number, reply->promised.number);
	if (c->fault != COORDINATOR_FAULT_IGNORE_EPOCH)
		coordinator_raise_known_epoch(c, reply->epoch);
	if (newest) {
		u->answered_sent_us = sent->sent_us;
		record_state(c, u, reply, now);
	}
	record_promise(c, u, sent, reply);
	slice_states_confirm(c, u, reply);
	if (newest && grants_held(c, u))
		u->grant_ok_us = now;
	resend_if_grant_differs(c, u, reply->accepted, now);
}

void grants_on_no_reply(struct coordinator *c, uint64_t request)
{
	struct cell_upstream *u = NULL;

	if (find_sent_order(c, request, &u))
		u->awaiting_reply = false;
}
