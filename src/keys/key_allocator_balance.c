/*
 * Balances the load of a keyed service between its upstreams: moves key ranges
 * to upstreams with less load or that have just joined, and splits hot ranges.
 * Answers the load of hot keys: a part of all requests on few adjacent keys,
 * among them single keys that are asked for more often than one upstream can
 * serve.
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
/* Maximum number of moves in progress that balancing started: a part of the
 * upstreams, and at least MOVES_MIN. A range has no owner while it moves, so
 * moving more at once would leave more requests waiting. */
#define MOVES_PART 0.25
#define MOVES_MIN 12
/* A key range is moved whole when its load is at most this many times the load
 * to move; otherwise it is split. */
#define WHOLE_FACTOR 1.25
/* Key ranges per upstream, on average, above which none is split. */
#define SPANS_PER_UPSTREAM 6
/* Smallest load to move, as a fraction of an upstream's mean load. */
#define MOVE_MIN_PART 0.1
/* Recent requests that an owner must have got before load is taken from it.
 * With fewer, nobody waits, and a range that moves when the store fails stays
 * without owner until the store is back. */
#define OBSERVED_MIN 8.0
/* An upstream with less than this part of the mean load has joined or come
 * back: it gets keys whatever the others' load. */
#define JOINED_PART 0.25
/* A single key with more than this multiple of an upstream's mean load occupies
 * its owner alone: the owner's other keys move away. */
#define DOMINANT_FACTOR 1.0
/* Times that the mean load is computed anew without dominant keys, which raise
 * it and so hide lesser ones. */
#define MEAN_ROUNDS 3

/** The load of one candidate. */
struct owner_load {
	const struct key_candidate *candidate;
	/** Sum of key_load_estimate() over the candidate's key ranges: recent
	 * requests and a share for idle keys. */
	double requests;
	/** Recent requests alone: the part that varies by chance. */
	double observed;
	/** Load of the candidate's busiest range of a single key; 0 if it has
	 * none. */
	double single_key;
	/** The single key is dominant (DOMINANT_FACTOR). */
	bool dominated;
	/** No range of the candidate can be moved in this round. */
	bool stuck;
};

/** The load of one key range. */
struct span_load {
	double estimate;
	double observed;
	/** Index of the present or next owner's load, or -1. */
	int owner;
};

/** The loads of all candidates and key ranges during a tick. */
struct balance {
	/** In the order of the candidates (struct owner_load). */
	struct owner_load *owners;
	size_t count;
	/** In the order of the key ranges (struct span_load). */
	GArray *spans;
	/** Mean load per unit of weight, without dominant keys. */
	double mean;
	/** Index plus one of each candidate by its interned id. */
	GHashTable *index;
};

/* Returns the index of a candidate by its interned id, or -1. */
static int candidate_index(const struct balance *balance, const char *id)
{
	return id ? GPOINTER_TO_INT(g_hash_table_lookup(balance->index, id)) - 1
		  : -1;
}

/* Returns the owner, or the next owner while the key range is moved. */
static const char *current_or_next_owner(const struct span_state *state)
{
	if (state->phase == PHASE_HELD)
		return state->span.owner;
	return state->next_owner;
}

static struct span_load *span_load_at(const struct balance *balance, guint i)
{
	return &g_array_index(balance->spans, struct span_load, i);
}

static double weighted(const struct owner_load *owner)
{
	return owner->requests / owner->candidate->weight;
}

/* Adds a key range's load to its owner's, or takes it away.
 *
 * @param sign 1 or -1 */
static void add_to_owner(struct balance *balance, const struct span_load *load,
			 int sign)
{
	struct owner_load *owner;

	if (load->owner < 0)
		return;
	owner = &balance->owners[load->owner];
	owner->requests += sign * load->estimate;
	owner->observed += sign * load->observed;
}

static struct span_load measure_span(const struct key_allocator *allocator,
				     const struct span_state *state, int owner)
{
	struct span_load load = {
		.estimate = key_load_estimate(
			allocator->load, state->span.first, state->span.last),
		.observed = key_load_requests(
			allocator->load, state->span.first, state->span.last),
		.owner = owner,
	};

	return load;
}

/* Computes the mean load without dominant keys, and which owners these
 * dominate. */
static void compute_mean(struct balance *balance)
{
	int round;
	size_t i;

	for (round = 0; round < MEAN_ROUNDS; round++) {
		double requests = 0, weight = 0;

		for (i = 0; i < balance->count; i++) {
			const struct owner_load *owner = &balance->owners[i];

			requests += owner->requests;
			if (owner->dominated)
				requests -= owner->single_key;
			else
				weight += owner->candidate->weight;
		}
		balance->mean = weight > 0 ? requests / weight : 0;
		for (i = 0; i < balance->count; i++) {
			struct owner_load *owner = &balance->owners[i];

			owner->dominated = owner->single_key >
					   DOMINANT_FACTOR * balance->mean *
						   owner->candidate->weight;
		}
	}
}

static struct balance *balance_create(struct key_allocator *allocator)
{
	struct balance *balance = g_new0(struct balance, 1);
	size_t c;
	guint i;

	balance->count = allocator->candidate_count;
	balance->owners = g_new0(struct owner_load, balance->count);
	balance->index = g_hash_table_new(NULL, NULL);
	balance->spans = g_array_new(FALSE, FALSE, sizeof(struct span_load));
	for (c = 0; c < balance->count; c++) {
		const struct key_candidate *candidate =
			&allocator->candidates[c];

		balance->owners[c].candidate = candidate;
		g_hash_table_insert(balance->index, (gpointer)candidate->id,
				    GINT_TO_POINTER((int)c + 1));
	}
	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = span_state_at(allocator, i);
		int at = candidate_index(balance, current_or_next_owner(state));
		struct span_load load = measure_span(allocator, state, at);

		g_array_append_val(balance->spans, load);
		add_to_owner(balance, &load, 1);
		if (at >= 0 && state->span.first == state->span.last)
			balance->owners[at].single_key = MAX(
				balance->owners[at].single_key, load.estimate);
	}
	compute_mean(balance);
	return balance;
}

static void balance_free(struct balance *balance)
{
	g_free(balance->owners);
	g_array_free(balance->spans, TRUE);
	g_hash_table_destroy(balance->index);
	g_free(balance);
}

/* Returns the index of the candidate with the lowest load in proportion to its
 * weight; one that a single key dominates only if all are. There must be a
 * candidate. */
static size_t lowest_owner(const struct balance *balance)
{
	size_t best = 0, i;

	for (i = 1; i < balance->count; i++) {
		const struct owner_load *owner = &balance->owners[i];
		const struct owner_load *least = &balance->owners[best];

		if (owner->dominated != least->dominated
			    ? least->dominated
			    : weighted(owner) < weighted(least))
			best = i;
	}
	return best;
}

const struct key_candidate *
key_allocator_choose_owner(struct key_allocator *allocator,
			   const struct span_state *state)
{
	struct balance *balance;
	struct span_load load;

	if (!allocator->candidate_count)
		return NULL;
	if (!allocator->balance)
		allocator->balance = balance_create(allocator);
	balance = allocator->balance;
	load = measure_span(allocator, state, (int)lowest_owner(balance));
	add_to_owner(balance, &load, 1);
	return balance->owners[load.owner].candidate;
}

void key_allocator_forget_loads(struct key_allocator *allocator)
{
	if (allocator->balance)
		balance_free(allocator->balance);
	allocator->balance = NULL;
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

/* Finds an owner's key range with the most load among those that can move and
 * that have at most the given load or can be split.
 *
 * @return the index of the key range, or -1 if none fits */
static int busiest_span(struct key_allocator *allocator, int owner, double most,
			bool may_split)
{
	const struct balance *balance = allocator->balance;
	int best = -1;
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = span_state_at(allocator, i);
		const struct span_load *load = span_load_at(balance, i);

		if (load->owner != owner || !can_move(state))
			continue;
		if (load->estimate > most &&
		    (!may_split || state->span.first == state->span.last))
			continue;
		if (best < 0 ||
		    load->estimate >
			    span_load_at(balance, (guint)best)->estimate)
			best = (int)i;
	}
	return best;
}

/* Splits a key range in two, which are both held by its owner.
 *
 * @return the index of the upper part */
static int split_span(struct key_allocator *allocator, int at,
		      uint16_t upper_first)
{
	GArray *loads = allocator->balance->spans;
	struct span_state upper = *span_state_at(allocator, (guint)at);
	struct span_load load;
	int owner = span_load_at(allocator->balance, (guint)at)->owner;

	upper.span.first = upper_first;
	upper.handover = NULL;
	span_state_at(allocator, (guint)at)->span.last = upper_first - 1;
	g_array_insert_val(allocator->span_states, at + 1, upper);
	load = measure_span(allocator, &upper, owner);
	g_array_insert_val(loads, at + 1, load);
	*span_load_at(allocator->balance, (guint)at) = measure_span(
		allocator, span_state_at(allocator, (guint)at), owner);
	return at + 1;
}

/* Starts to move a key range. */
static void start_move(struct key_allocator *allocator, int at, int to)
{
	struct balance *balance = allocator->balance;
	struct span_load *load = span_load_at(balance, (guint)at);
	struct span_state *state = span_state_at(allocator, (guint)at);

	add_to_owner(balance, load, -1);
	load->owner = to;
	add_to_owner(balance, load, 1);
	key_allocator_move(allocator, state, balance->owners[to].candidate,
			   "load");
	state->for_balance = true;
}

/* Starts to move a key range with about the given load between two owners, and
 * splits the range before if it has too much load.
 *
 * @return false when no key range fits */
static bool shift_load(struct key_allocator *allocator, int from, int to,
		       double amount)
{
	double most = amount * WHOLE_FACTOR;
	bool may_split = allocator->span_states->len <
			 SPANS_PER_UPSTREAM * allocator->candidate_count;
	int at = busiest_span(allocator, from, most, may_split);
	struct key_span span;

	if (at < 0)
		return false;
	span = span_state_at(allocator, (guint)at)->span;
	if (span_load_at(allocator->balance, (guint)at)->estimate > most)
		at = split_span(allocator, at,
				key_load_split_point(allocator->load,
						     span.first, span.last,
						     amount));
	start_move(allocator, at, to);
	return true;
}

/* Number of moves in progress that balancing started. */
static unsigned int moves_in_progress(struct key_allocator *allocator)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = span_state_at(allocator, i);

		count += state->for_balance &&
			 (state->phase == PHASE_RELEASING ||
			  state->phase == PHASE_SAVING);
	}
	return count;
}

/* Returns the standard deviation of an owner's weighted load. */
static double deviation(const struct owner_load *load)
{
	return sqrt(load->observed) / load->candidate->weight;
}

/* Returns the load by which an owner exceeds the mean: all but the dominant
 * key, if there is one. */
static double excess(const struct balance *balance,
		     const struct owner_load *owner)
{
	if (owner->dominated)
		return owner->requests - owner->single_key;
	return owner->requests - balance->mean * owner->candidate->weight;
}

/* Returns the index of the owner with the most load in proportion to its weight
 * among those that have load to move; -1 if there is none. */
static int highest_owner(const struct balance *balance)
{
	int best = -1;
	size_t i;

	for (i = 0; i < balance->count; i++) {
		const struct owner_load *owner = &balance->owners[i];

		if (owner->stuck || excess(balance, owner) <= 0)
			continue;
		if (best < 0 ||
		    weighted(owner) > weighted(&balance->owners[best]))
			best = (int)i;
	}
	return best;
}

/* Whether moving load between two owners is worth it. */
static bool is_worth_moving(const struct balance *balance,
			    const struct owner_load *most,
			    const struct owner_load *least)
{
	double noise =
		NOISE_DEVIATIONS * hypot(deviation(most), deviation(least));

	if (most->observed < OBSERVED_MIN &&
	    weighted(least) > JOINED_PART * balance->mean)
		return false;
	return weighted(most) - weighted(least) > noise;
}

/* Starts one move from the most to the least loaded owner, or from the next
 * one if nothing of the former can be moved.
 *
 * @return false when the loads are balanced or nothing can be moved */
static bool balance_once(struct key_allocator *allocator)
{
	struct balance *balance = allocator->balance;
	int low = (int)lowest_owner(balance);
	const struct owner_load *least = &balance->owners[low];
	double least_move =
		MOVE_MIN_PART * balance->mean * least->candidate->weight;
	int high;

	while ((high = highest_owner(balance)) >= 0) {
		struct owner_load *most = &balance->owners[high];
		double difference = weighted(most) - weighted(least);
		double amount = MIN(excess(balance, most),
				    balance->mean * least->candidate->weight -
					    least->requests);

		if (high == low || difference <= IMBALANCE_PART * balance->mean)
			return false;
		if (is_worth_moving(balance, most, least) &&
		    amount > least_move &&
		    shift_load(allocator, high, low, amount))
			return true;
		most->stuck = true;
	}
	return false;
}

void key_allocator_balance(struct key_allocator *allocator, double now_s)
{
	unsigned int moves, most;

	if (now_s < allocator->balanced_s + BALANCE_S ||
	    allocator->candidate_count < 2)
		return;
	allocator->balanced_s = now_s;
	key_allocator_forget_loads(allocator);
	merge(allocator);
	allocator->balance = balance_create(allocator);
	most = (unsigned int)MAX(
		MOVES_MIN, MOVES_PART * (double)allocator->candidate_count);
	for (moves = moves_in_progress(allocator); moves < most; moves++)
		if (!balance_once(allocator))
			break;
}
