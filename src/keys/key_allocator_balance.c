/*
 * Balances the load of a keyed service between its upstreams: moves key ranges
 * to upstreams with less load or that have just joined, and splits hot ranges.
 */
#include <math.h>

#include "keys/key_allocator_impl.h"

/* Time between two balancing rounds. */
#define BALANCE_S 0.15
/* Nothing is moved while the highest and the lowest load differ by less than
 * the fraction IMBALANCE_PART of the mean, or by fewer than NOISE_DEVIATIONS
 * standard deviations, because such a difference may be chance. */
#define IMBALANCE_PART 0.25
#define NOISE_DEVIATIONS 2.0
/* Maximum number of moves in progress. */
#define MOVES_MAX 12
/* A key range is moved whole when its load is at most this many times the load
 * to move; otherwise it is split. */
#define WHOLE_FACTOR 1.25
/* Key ranges per upstream, on average, above which none is split. */
#define SPANS_PER_UPSTREAM 6
/* Smallest load to move, as a fraction of an upstream's mean load. */
#define MOVE_MIN_PART 0.1

/** The load of one candidate. */
struct owner_load {
	const struct key_candidate *candidate;
	/** Sum of key_load_estimate() over the candidate's key ranges: recent
	 * requests and a share for idle keys. */
	double requests;
	/** Recent requests alone: the part that varies by chance. */
	double observed;
	/** The field requests, divided by the candidate's weight. */
	double weighted_load;
};

/* Returns the index of a candidate by its interned id, or -1. */
static int candidate_index(const struct key_allocator *allocator,
			   const char *id)
{
	size_t i;

	for (i = 0; i < allocator->candidate_count; i++)
		if (allocator->candidates[i].id == id)
			return (int)i;
	return -1;
}

/* Returns the owner, or the next owner while the key range is moved. */
static const char *current_or_next_owner(const struct span_state *state)
{
	if (state->phase == PHASE_HELD)
		return state->span.owner;
	return state->next_owner;
}

/* Computes the load of each candidate, in their order; key ranges in a move
 * count for the next owner. The caller frees the array with g_free(). */
static struct owner_load *owner_loads(struct key_allocator *allocator)
{
	struct owner_load *loads =
		g_new0(struct owner_load, allocator->candidate_count);
	size_t c;
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = span_state_at(allocator, i);
		int at = candidate_index(allocator,
					 current_or_next_owner(state));

		if (at < 0)
			continue;
		loads[at].requests += key_load_estimate(
			allocator->load, state->span.first, state->span.last);
		loads[at].observed += key_load_requests(
			allocator->load, state->span.first, state->span.last);
	}
	for (c = 0; c < allocator->candidate_count; c++) {
		loads[c].candidate = &allocator->candidates[c];
		loads[c].weighted_load =
			loads[c].requests / loads[c].candidate->weight;
	}
	return loads;
}

const struct key_candidate *
key_allocator_least_loaded(struct key_allocator *allocator)
{
	struct owner_load *loads;
	size_t best = 0, i;

	if (!allocator->candidate_count)
		return NULL;
	loads = owner_loads(allocator);
	for (i = 1; i < allocator->candidate_count; i++)
		if (loads[i].weighted_load < loads[best].weighted_load)
			best = i;
	g_free(loads);
	return &allocator->candidates[best];
}

/* Whether a key range is held by its owner and no order for it is in progress.
 */
static bool can_move(const struct span_state *state)
{
	return state->phase == PHASE_HELD && state->granted && !state->order &&
	       state->span.owner;
}

/* Merges adjacent key ranges that one owner holds under the same token. */
static void merge(struct key_allocator *allocator)
{
	guint i = 1;

	while (i < allocator->span_states->len) {
		struct span_state *a = span_state_at(allocator, i - 1);
		struct span_state *b = span_state_at(allocator, i);

		if (!can_move(a) || !can_move(b) ||
		    a->span.owner != b->span.owner ||
		    a->span.started_ms != b->span.started_ms ||
		    a->span.fence != b->span.fence) {
			i++;
			continue;
		}
		a->span.last = b->span.last;
		a->granted_until_s =
			MAX(a->granted_until_s, b->granted_until_s);
		a->unconfirmed_until_s =
			MAX(a->unconfirmed_until_s, b->unconfirmed_until_s);
		a->next_order_s = MIN(a->next_order_s, b->next_order_s);
		g_array_remove_index(allocator->span_states, i);
	}
}

/* Finds an owner's key range with the most load among those that can move, and
 * sets load to its load.
 *
 * @return the index of the key range, or -1 if none can move */
static int busiest_span(struct key_allocator *allocator, const char *owner,
			double *load)
{
	int best = -1;
	guint i;

	*load = 0;
	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = span_state_at(allocator, i);
		double sum;

		if (!can_move(state) || state->span.owner != owner)
			continue;
		sum = key_load_estimate(allocator->load, state->span.first,
					state->span.last);
		if (sum > *load) {
			*load = sum;
			best = (int)i;
		}
	}
	return best;
}

/* Splits a key range in two, which are both held by its owner.
 *
 * @return the index of the upper part */
static int split_span(struct key_allocator *allocator, int at,
		      uint16_t upper_first)
{
	struct span_state upper = *span_state_at(allocator, (guint)at);

	upper.span.first = upper_first;
	upper.handover = NULL;
	span_state_at(allocator, (guint)at)->span.last = upper_first - 1;
	g_array_insert_val(allocator->span_states, at + 1, upper);
	return at + 1;
}

/* Starts to move a key range with about the given load between two owners, and
 * splits the range before if it has too much load.
 *
 * @return false when no key range fits */
static bool shift_load(struct key_allocator *allocator,
		       const struct owner_load *from,
		       const struct owner_load *to, double amount)
{
	double load;
	int at = busiest_span(allocator, from->candidate->id, &load);
	struct key_span span;
	bool may_split = allocator->span_states->len <
			 SPANS_PER_UPSTREAM * allocator->candidate_count;

	if (at < 0)
		return false;
	span = span_state_at(allocator, (guint)at)->span;
	if (load > amount * WHOLE_FACTOR) {
		uint16_t first;

		if (!may_split || span.last == span.first)
			return false;
		first = key_load_split_point(allocator->load, span.first,
					     span.last, amount);
		at = split_span(allocator, at, first);
	}
	key_allocator_move(allocator, span_state_at(allocator, (guint)at),
			   to->candidate, "load");
	return true;
}

static unsigned int moves_in_progress(struct key_allocator *allocator)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < allocator->span_states->len; i++)
		count += span_state_at(allocator, i)->phase != PHASE_HELD;
	return count;
}

/* Returns the standard deviation of an owner's weighted load. */
static double deviation(const struct owner_load *load)
{
	return sqrt(load->observed) / load->candidate->weight;
}

/* Starts one move from the most to the least loaded owner.
 *
 * @return false when the loads are balanced or nothing can be moved */
static bool balance_once(struct key_allocator *allocator)
{
	struct owner_load *loads = owner_loads(allocator);
	size_t high = 0, low = 0, i;
	double total = 0, weight = 0, mean, difference, amount;
	bool moved = false;

	for (i = 0; i < allocator->candidate_count; i++) {
		total += loads[i].requests;
		weight += loads[i].candidate->weight;
		if (loads[i].weighted_load > loads[high].weighted_load)
			high = i;
		if (loads[i].weighted_load < loads[low].weighted_load)
			low = i;
	}
	mean = total / weight;
	difference = loads[high].weighted_load - loads[low].weighted_load;
	amount = MIN((loads[high].weighted_load - mean) *
			     loads[high].candidate->weight,
		     (mean - loads[low].weighted_load) *
			     loads[low].candidate->weight);
	if (high != low && difference > IMBALANCE_PART * mean &&
	    difference > NOISE_DEVIATIONS * hypot(deviation(&loads[high]),
						  deviation(&loads[low])) &&
	    amount > MOVE_MIN_PART * total / (double)allocator->candidate_count)
		moved = shift_load(allocator, &loads[high], &loads[low],
				   amount);
	g_free(loads);
	return moved;
}

void key_allocator_balance(struct key_allocator *allocator, double now_s)
{
	unsigned int moves;

	if (now_s < allocator->balanced_s + BALANCE_S ||
	    allocator->candidate_count < 2)
		return;
	allocator->balanced_s = now_s;
	merge(allocator);
	for (moves = moves_in_progress(allocator); moves < MOVES_MAX; moves++)
		if (!balance_once(allocator))
			return;
}
