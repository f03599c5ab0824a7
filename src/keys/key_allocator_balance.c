/*
 * Spreads the requests of a keyed service over its upstreams. Answers hot
 * ranges, which are cut where their load is, and upstreams that join.
 */
#include <math.h>

#include "keys/key_allocator_impl.h"

#define BALANCE_S 0.15
/* Owners are left alone while their loads differ by less of the mean. */
#define DIFFERENCE_PART 0.25
/* ... and by less than chance alone would make them differ. */
#define CHANCE_DEVIATIONS 2.0
/* Moves begun at once, and in progress. */
#define MOVES_MAX 12
/* A span is moved whole when that overshoots by this factor at most. */
#define WHOLE_FACTOR 1.25
/* Spans for each upstream at most; beyond it spans are not cut. */
#define SPANS_PER_UPSTREAM 6
/* Parts smaller than this part of an upstream's mean load stay. */
#define MOVE_MIN_PART 0.1

struct owner_load {
	const struct key_candidate *candidate;
	double requests;
	/** Those that were counted: chance makes them differ. */
	double counted;
	/** Requests for the weight. */
	double relative;
};

static int candidate_index(const struct key_allocator *key_allocator,
			   const char *id)
{
	size_t i;

	for (i = 0; i < key_allocator->candidate_count; i++)
		if (key_allocator->candidates[i].id == id)
			return (int)i;
	return -1;
}

/* The owner that a span has now, or will have. */
static const char *owner_to_be(const struct holding *holding)
{
	if (holding->phase == PHASE_HELD)
		return holding->span.owner;
	return holding->next_owner;
}

static struct owner_load *owner_loads(struct key_allocator *key_allocator)
{
	struct owner_load *loads =
		g_new0(struct owner_load, key_allocator->candidate_count);
	size_t c;
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++) {
		const struct holding *h = keeper_at(key_allocator, i);
		int at = candidate_index(key_allocator, owner_to_be(h));

		if (at < 0)
			continue;
		loads[at].requests += key_load_weighted(
			key_allocator->load, h->span.first, h->span.last);
		loads[at].counted += key_load_requests(
			key_allocator->load, h->span.first, h->span.last);
	}
	for (c = 0; c < key_allocator->candidate_count; c++) {
		loads[c].candidate = &key_allocator->candidates[c];
		loads[c].relative =
			loads[c].requests / loads[c].candidate->weight;
	}
	return loads;
}

const struct key_candidate *
key_allocator_least_loaded(struct key_allocator *key_allocator)
{
	struct owner_load *loads;
	size_t best = 0, i;

	if (!key_allocator->candidate_count)
		return NULL;
	loads = owner_loads(key_allocator);
	for (i = 1; i < key_allocator->candidate_count; i++)
		if (loads[i].relative < loads[best].relative)
			best = i;
	g_free(loads);
	return &key_allocator->candidates[best];
}

static bool can_move(const struct holding *holding)
{
	return holding->phase == PHASE_HELD && holding->granted &&
	       !holding->order && holding->span.owner;
}

/* Adjacent spans under one grant are one span. */
static void merge(struct key_allocator *key_allocator)
{
	guint i = 1;

	while (i < key_allocator->holdings->len) {
		struct holding *a = keeper_at(key_allocator, i - 1);
		struct holding *b = keeper_at(key_allocator, i);

		if (!can_move(a) || !can_move(b) ||
		    a->span.owner != b->span.owner ||
		    a->span.started_ms != b->span.started_ms ||
		    a->span.fence != b->span.fence) {
			i++;
			continue;
		}
		a->span.last = b->span.last;
		a->held_until_s = MAX(a->held_until_s, b->held_until_s);
		a->unanswered_until_s =
			MAX(a->unanswered_until_s, b->unanswered_until_s);
		a->next_order_s = MIN(a->next_order_s, b->next_order_s);
		g_array_remove_index(key_allocator->holdings, i);
	}
}

/* The owner's span with most load among those that can move. */
static int busiest_span(struct key_allocator *key_allocator, const char *owner,
			double *load)
{
	int best = -1;
	guint i;

	*load = 0;
	for (i = 0; i < key_allocator->holdings->len; i++) {
		const struct holding *h = keeper_at(key_allocator, i);
		double sum;

		if (!can_move(h) || h->span.owner != owner)
			continue;
		sum = key_load_weighted(key_allocator->load, h->span.first,
					h->span.last);
		if (sum > *load) {
			*load = sum;
			best = (int)i;
		}
	}
	return best;
}

/* Cuts the upper part off a span. @return its index */
static int cut_span(struct key_allocator *key_allocator, int at,
		    uint16_t upper_first)
{
	struct holding upper = *keeper_at(key_allocator, (guint)at);

	upper.span.first = upper_first;
	upper.handover = NULL;
	keeper_at(key_allocator, (guint)at)->span.last = upper_first - 1;
	g_array_insert_val(key_allocator->holdings, at + 1, upper);
	return at + 1;
}

static bool shift_load(struct key_allocator *key_allocator,
		       const struct owner_load *from,
		       const struct owner_load *to, double amount)
{
	double load;
	int at = busiest_span(key_allocator, from->candidate->id, &load);
	struct key_span span;
	bool may_cut = key_allocator->holdings->len <
		       SPANS_PER_UPSTREAM * key_allocator->candidate_count;

	if (at < 0)
		return false;
	span = keeper_at(key_allocator, (guint)at)->span;
	if (load > amount * WHOLE_FACTOR) {
		uint16_t first;

		if (!may_cut || span.last == span.first)
			return false;
		first = key_load_split_point(key_allocator->load, span.first,
					     span.last, amount);
		at = cut_span(key_allocator, at, first);
	}
	key_allocator_move(key_allocator, keeper_at(key_allocator, (guint)at),
			   to->candidate, "load");
	return true;
}

static unsigned int moves_in_progress(struct key_allocator *key_allocator)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++)
		count += keeper_at(key_allocator, i)->phase != PHASE_HELD;
	return count;
}

static bool balance_once(struct key_allocator *key_allocator)
{
	struct owner_load *loads = owner_loads(key_allocator);
	size_t high = 0, low = 0, i;
	double total = 0, weight = 0, mean, difference, amount;
	bool moved = false;

	for (i = 0; i < key_allocator->candidate_count; i++) {
		total += loads[i].requests;
		weight += loads[i].candidate->weight;
		if (loads[i].relative > loads[high].relative)
			high = i;
		if (loads[i].relative < loads[low].relative)
			low = i;
	}
	mean = total / weight;
	difference = loads[high].relative - loads[low].relative;
	amount = MIN(
		(loads[high].relative - mean) * loads[high].candidate->weight,
		(mean - loads[low].relative) * loads[low].candidate->weight);
	if (high != low && difference > DIFFERENCE_PART * mean &&
	    loads[high].requests - loads[low].requests >
		    CHANCE_DEVIATIONS *
			    sqrt(loads[high].counted + loads[low].counted) &&
	    amount > MOVE_MIN_PART * total /
			     (double)key_allocator->candidate_count)
		moved = shift_load(key_allocator, &loads[high], &loads[low],
				   amount);
	g_free(loads);
	return moved;
}

void key_allocator_balance(struct key_allocator *key_allocator, double now_s)
{
	unsigned int moves;

	if (now_s < key_allocator->balanced_s + BALANCE_S ||
	    key_allocator->candidate_count < 2)
		return;
	key_allocator->balanced_s = now_s;
	merge(key_allocator);
	for (moves = moves_in_progress(key_allocator); moves < MOVES_MAX;
	     moves++)
		if (!balance_once(key_allocator))
			return;
}
