#include "fence.h"

#include <glib.h>

struct fence {
	char *cell;
	char *boot;
	/** Whether the upstream enforces the protocol; see fence_create(). */
	bool fences;
	enum fence_fault fault;
	/** Start of this incarnation by the upstream's clock. */
	int64_t started_us;
	/** Ballot of the last accepted order, the lowest still accepted. */
	struct ballot promised;
	/** See fence_epoch(). */
	uint64_t epoch;
	/** A grant was accepted and not revoked; it may have expired. */
	bool has_grant;
	uint64_t grant_epoch;
	/** Expiry of the grant by the upstream's clock. */
	int64_t grant_ends_us;
	/** Key ranges of the grant; elements are struct hash_range. */
	GArray *ranges;
};

struct fence *fence_create(struct str cell, struct str boot, bool fences,
			   int64_t now_us)
{
	struct fence *f = g_new0(struct fence, 1);

	f->cell = str_dup(cell);
	f->fences = fences;
	f->ranges = g_array_new(FALSE, FALSE, sizeof(struct hash_range));
	fence_restart(f, boot, now_us);
	return f;
}

void fence_destroy(struct fence *f)
{
	if (!f)
		return;
	g_free(f->cell);
	g_free(f->boot);
	g_array_unref(f->ranges);
	g_free(f);
}

void fence_restart(struct fence *f, struct str boot, int64_t now_us)
{
	g_free(f->boot);
	f->boot = str_dup(boot);
	f->started_us = now_us;
	f->promised = (struct ballot){ 0 };
	f->epoch = 0;
	f->has_grant = false;
	f->grant_epoch = 0;
	f->grant_ends_us = 0;
	g_array_set_size(f->ranges, 0);
}

void fence_set_fault(struct fence *f, enum fence_fault fault)
{
	f->fault = fault;
}

static bool grant_live(const struct fence *f, int64_t now_us)
{
	return f->has_grant && (!f->fences || now_us < f->grant_ends_us);
}

static bool ballot_allowed(const struct fence *f, struct ballot ballot)
{
	return f->fault == FENCE_FAULT_IGNORE_BALLOT ||
	       ballot_compare(ballot, f->promised) >= 0;
}

static int64_t grant_end(const struct fence *f, const struct order *order,
			 int64_t now_us)
{
	if (f->fault == FENCE_FAULT_FROM_ARRIVAL)
		return now_us + order->duration_us;
	return order->anchor_us + order->duration_us;
}

static bool grant_allowed(const struct fence *f, const struct order *order,
			  int64_t now_us)
{
	if (!str_equal(order->boot, str_from(f->boot)))
		return false;
	if (order->epoch < f->epoch && f->fault != FENCE_FAULT_IGNORE_EPOCH)
		return false;
	if (grant_end(f, order, now_us) <= now_us)
		return false;
	/* A renewal carries no ranges: it keeps those of the same epoch. */
	return order->has_ranges ||
	       (grant_live(f, now_us) && f->grant_epoch == order->epoch);
}

static bool order_allowed(const struct fence *f, const struct order *order,
			  int64_t now_us)
{
	if (!str_equal(order->cell, str_from(f->cell)))
		return false;
	if (!f->fences)
		return true;
	if (!ballot_allowed(f, order->ballot))
		return false;
	return order->kind != ORDER_GRANT || grant_allowed(f, order, now_us);
}

static void store_grant(struct fence *f, const struct order *order,
			int64_t now_us)
{
	f->has_grant = true;
	f->grant_epoch = order->epoch;
	f->grant_ends_us = grant_end(f, order, now_us);
	if (!order->has_ranges)
		return;
	g_array_set_size(f->ranges, 0);
	if (order->range_count)
		g_array_append_vals(f->ranges, order->ranges,
				    (guint)order->range_count);
}

void fence_order(struct fence *f, const struct order *order, int64_t now_us,
		 struct order_reply *reply)
{
	bool accepted = order_allowed(f, order, now_us);

	if (accepted) {
		f->promised = order->ballot;
		if (order->epoch > f->epoch || !f->fences)
			f->epoch = order->epoch;
		if (order->kind == ORDER_GRANT)
			store_grant(f, order, now_us);
		else if (order->kind == ORDER_REVOKE)
			f->has_grant = false;
	}
	fence_report(f, now_us, reply);
	reply->accepted = accepted;
}

void fence_report(const struct fence *f, int64_t now_us,
		  struct order_reply *reply)
{
	*reply = (struct order_reply){
		.promised = f->promised,
		.epoch = f->epoch,
		.boot = str_from(f->boot),
		.clock_us = now_us,
		.up_us = now_us - f->started_us,
		.has_grant = grant_live(f, now_us),
	};
	if (!reply->has_grant)
		return;
	reply->grant_epoch = f->grant_epoch;
	reply->grant_left_us =
		f->fences ? f->grant_ends_us - now_us : INT64_MAX;
	reply->grant_digest = hash_ranges_digest(
		(const struct hash_range *)f->ranges->data, f->ranges->len);
}

bool fence_holds(const struct fence *f, uint64_t hash, int64_t now_us)
{
	guint i;

	if (!grant_live(f, now_us))
		return false;
	for (i = 0; i < f->ranges->len; i++) {
		const struct hash_range *r =
			&g_array_index(f->ranges, struct hash_range, i);

		if (r->first <= hash && hash <= r->last)
			return true;
	}
	return false;
}

bool fence_serves(const struct fence *f, uint64_t hash, uint64_t epoch,
		  int64_t now_us)
{
	return fence_holds(f, hash, now_us) &&
	       (!f->fences || f->grant_epoch >= epoch);
}

uint64_t fence_epoch(const struct fence *f)
{
	return f->epoch;
}

const struct hash_range *fence_ranges(const struct fence *f, int64_t now_us,
				      size_t *count)
{
	*count = grant_live(f, now_us) ? f->ranges->len : 0;
	return (const struct hash_range *)f->ranges->data;
}
