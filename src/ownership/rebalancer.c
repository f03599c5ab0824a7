#include "ownership/rebalancer.h"

#include <math.h>

/** Weight of the newest window in the moving average of requests. */
#define SMOOTHING 0.6
/** Moves begin when the most loaded owner exceeds START_RATIO times the owners'
 * mean load, and end when it is below STOP_RATIO times the mean. */
#define START_RATIO 1.2
#define STOP_RATIO 1.08
/** An owner with less than the fraction FILL_START of the owners' mean number
 * of slices and of their mean load is new or came back: it gets slices at once,
 * until its load is FILL_STOP of the mean. */
#define FILL_START 0.6
#define FILL_STOP 0.9
/** A key with this fraction of an owner's mean load gets its own slice. */
#define HOT_KEY_PART 0.08
/** A slice with this fraction of an owner's mean load is split in half. */
#define SPLIT_PART 0.4
/** Adjacent slices of one owner are merged if their load together is below this
 * fraction of the mean load of a slice. */
#define MERGE_PART 0.5
/** This fraction of the total load is added in equal parts to the weights of
 * all slices, for the memory that a slice takes. */
#define BASE_PART 0.05
/** A window with fewer requests than this is ignored: too few to show an
 * imbalance. */
#define MIN_REQUESTS 100
/** Maximum number of hot keys that are tracked. */
#define HOT_KEYS_MAX 64
/** Maximum number of slices that are split in one plan. */
#define MAX_SPLITS 16
/** Slices are split only up to this number per owner, on average. */
#define MAX_SLICES_PER_OWNER 64
/** Slices are merged only down to this number per owner, on average. */
#define MIN_SLICES_PER_OWNER 8

/** A hot key that is tracked. */
struct hot_rate {
	uint64_t hash;
	/** The key's requests so far in the current window, and the moving
	 * average of its requests per window. */
	double window, rate;
};

struct rebalancer {
	/** The cell's current row; NULL before the first one. */
	struct slice_map *map;
	/** Requests so far in the current window: a double per slice of the
	 * map. */
	GArray *window;
	/** Moving average of requests per window: a double per slice of the
	 * map. This is a slice's load. */
	GArray *rates;
	/** The hot keys that are tracked, as struct hot_rate. */
	GArray *hot;
	/** When the current window ends; 0 before the first window. */
	int64_t window_ends_us;
	/** Consecutive windows with uneven_windows load. */
	unsigned int uneven_windows;
	/** Moves have begun and the load is not even yet. */
	bool balancing;
	/** A window ended since the last plan. */
	bool window_ended;
	/** Number of moves that are allowed now. Grows with time, up to
	 * REBALANCER_MOVED_PERCENT of the slices. */
	double moves_left;
	/** When moves_left last grew; INT64_MIN before the first time. */
	int64_t refilled_us;
};

struct rebalancer *rebalancer_create(void)
{
	struct rebalancer *r = g_new0(struct rebalancer, 1);

	r->window = g_array_new(FALSE, TRUE, sizeof(double));
	r->rates = g_array_new(FALSE, TRUE, sizeof(double));
	r->hot = g_array_new(FALSE, TRUE, sizeof(struct hot_rate));
	r->refilled_us = INT64_MIN;
	return r;
}

void rebalancer_destroy(struct rebalancer *r)
{
	if (!r)
		return;
	slice_map_destroy(r->map);
	g_array_unref(r->window);
	g_array_unref(r->rates);
	g_array_unref(r->hot);
	g_free(r);
}

static double *rate_at(GArray *rates, size_t i)
{
	return &g_array_index(rates, double, i);
}

static struct hot_rate *hot_at(const struct rebalancer *r, size_t i)
{
	return &g_array_index(r->hot, struct hot_rate, i);
}

/* The number of hashes in a slice. */
static double width(const struct slice *s)
{
	return (double)(s->last - s->first) + 1;
}

static const struct hot_rate *hot_find(const struct rebalancer *r,
				       uint64_t hash)
{
	size_t i;

	for (i = 0; i < r->hot->len; i++)
		if (hot_at(r, i)->hash == hash)
			return hot_at(r, i);
	return NULL;
}

/* Load of the tracked hot keys inside a slice. */
static double hot_load_inside(const struct rebalancer *r, const struct slice *s)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < r->hot->len; i++)
		if (s->first <= hot_at(r, i)->hash &&
		    hot_at(r, i)->hash <= s->last)
			sum += hot_at(r, i)->rate;
	return sum;
}

/* Estimates the load of a slice of a new map from the slices of the old map
 * that it overlaps: the load of its hot keys, and of the other load of each old
 * slice a part in proportion to the width of the overlap. */
static double estimate_rate(const struct rebalancer *r, const struct slice *s)
{
	double sum = hot_load_inside(r, s);
	size_t i;

	for (i = slice_map_index(r->map, s->first); i < slice_map_count(r->map);
	     i++) {
		const struct slice *old = slice_map_at(r->map, i);
		struct slice overlap = {
			.first = MAX(old->first, s->first),
			.last = MIN(old->last, s->last),
		};
		double rest;

		if (old->first > s->last)
			break;
		rest = *rate_at(r->rates, i) - hot_load_inside(r, old);
		sum += MAX(rest, 0) * (width(&overlap) / width(old));
	}
	return sum;
}

void rebalancer_set_map(struct rebalancer *r, struct slice_map *map)
{
	GArray *rates = g_array_new(FALSE, TRUE, sizeof(double));
	size_t i, n = slice_map_count(map);

	g_array_set_size(rates, (guint)n);
	for (i = 0; r->map && i < n; i++)
		*rate_at(rates, i) = estimate_rate(r, slice_map_at(map, i));
	slice_map_destroy(r->map);
	r->map = slice_map_ref(map);
	g_array_unref(r->rates);
	r->rates = rates;
	/* The window's counts refer to slices of the old map. */
	g_array_set_size(r->window, 0);
	g_array_set_size(r->window, (guint)n);
}

static void add_hot_key(struct rebalancer *r, const struct hot_key *key)
{
	struct hot_rate *known = (struct hot_rate *)hot_find(r, key->hash);
	struct hot_rate added = { .hash = key->hash };
	/* The lower bound of the true count, so that an overestimated key is
	 * not moved for nothing. */
	double count = (double)(key->count - key->error);

	if (known)
		known->window += count;
	else if (r->hot->len < HOT_KEYS_MAX) {
		added.window = count;
		g_array_append_val(r->hot, added);
	}
}

void rebalancer_add_load(struct rebalancer *r,
			 const struct coordinator_load *load)
{
	size_t i;

	if (!r->map)
		return;
	for (i = 0; i < load->hot_count; i++)
		add_hot_key(r, &load->hot[i]);
	if (load->epoch != slice_map_epoch(r->map) ||
	    load->slice_count != slice_map_count(r->map))
		return;
	for (i = 0; i < load->slice_count; i++)
		*rate_at(r->window, i) += (double)load->slices[i];
}

/* Adds the requests of a window to a moving average and sets them to 0. */
static void smooth(double *rate, double *window)
{
	*rate = SMOOTHING * *window + (1 - SMOOTHING) * *rate;
	*window = 0;
}

/* Adds the window's requests to the moving averages, and drops hot keys that
 * have become idle. */
static void end_window(struct rebalancer *r)
{
	double total = 0, known = 0;
	size_t i;

	for (i = 0; i < r->window->len; i++) {
		total += *rate_at(r->window, i);
		known += *rate_at(r->rates, i);
	}
	/* A window with less than half of the average requests is ignored: it
	 * was probably cut short by a new map. */
	if (total >= MIN_REQUESTS && total > known / 2)
		for (i = 0; i < r->window->len; i++)
			smooth(rate_at(r->rates, i), rate_at(r->window, i));
	for (i = 0; i < r->window->len; i++)
		*rate_at(r->window, i) = 0;
	for (i = r->hot->len; i-- > 0;) {
		smooth(&hot_at(r, i)->rate, &hot_at(r, i)->window);
		if (hot_at(r, i)->rate < 1)
			g_array_remove_index_fast(r->hot, (guint)i);
	}
	r->window_ended = true;
}

void rebalancer_tick(struct rebalancer *r, int64_t now_us)
{
	if (!r->map || now_us < r->window_ends_us)
		return;
	if (r->window_ends_us)
		end_window(r);
	r->window_ends_us = now_us + REBALANCER_WINDOW_US;
}

double *rebalancer_weights(const struct rebalancer *r)
{
	size_t i, n = slice_map_count(r->map);
	double *weights = g_new(double, n);
	double total = 0, base;

	for (i = 0; i < n; i++)
		total += *rate_at(r->rates, i);
	/* Without load all slices have the same weight. */
	base = total > 0 ? total * BASE_PART : (double)n;
	for (i = 0; i < n; i++)
		weights[i] = *rate_at(r->rates, i) + base / (double)n;
	return weights;
}

void rebalancer_moved(struct rebalancer *r, size_t slices, int64_t now_us)
{
	double most = (double)slice_map_count(r->map) *
		      REBALANCER_MOVED_PERCENT / 100;

	if (r->refilled_us == INT64_MIN)
		r->moves_left = most;
	else
		r->moves_left += most * (double)(now_us - r->refilled_us) /
				 (60.0 * (double)US_PER_SECOND);
	r->refilled_us = now_us;
	r->moves_left = MIN(r->moves_left, most) - (double)slices;
}

/* Whether the limit of moves allows the plan another move. */
static bool may_move_more(const struct rebalancer *r,
			  const struct row_plan *plan)
{
	return r->moves_left - (double)plan->moved >= 1;
}

/* The index of the planned slice that holds a hash. */
static size_t find_slice(const struct row_plan *plan, uint64_t hash)
{
	size_t i = 0;

	while (row_plan_slice(plan, i)->slice.last < hash)
		i++;
	return i;
}

/* Splits the slice of a hot key so that one slice holds only this key. */
static void isolate_hot_key(struct row_plan *plan, const struct hot_rate *hot)
{
	size_t i = find_slice(plan, hot->hash);
	struct plan_slice s = *row_plan_slice(plan, i);
	double rest = MAX(s.weight - hot->rate, 0);
	double after = 0;

	if (s.slice.first == s.slice.last)
		return;
	if (hot->hash < s.slice.last) {
		after = rest *
			((double)(s.slice.last - hot->hash) / width(&s.slice));
		row_plan_split(plan, i, hot->hash + 1, after);
	}
	if (hot->hash > s.slice.first)
		row_plan_split(plan, i, hot->hash,
			       MIN(hot->rate, s.weight - after));
}

/* Whether the plan has room for the two slices that a split can add. */
static bool may_add_slices(const struct row_plan *plan)
{
	return plan->slices->len + 2 <
	       (size_t)plan->owners->len * MAX_SLICES_PER_OWNER;
}

/* Isolates hot keys and halves large slices. */
static void split_large(struct rebalancer *r, struct row_plan *plan,
			double mean)
{
	size_t i, splits = 0;

	for (i = 0; i < r->hot->len && splits < MAX_SPLITS; i++) {
		if (hot_at(r, i)->rate < HOT_KEY_PART * mean ||
		    !may_add_slices(plan))
			continue;
		isolate_hot_key(plan, hot_at(r, i));
		splits++;
	}
	for (i = 0; i < plan->slices->len && splits < MAX_SPLITS; i++) {
		struct plan_slice s = *row_plan_slice(plan, i);

		if (s.weight < SPLIT_PART * mean ||
		    s.slice.first == s.slice.last || !may_add_slices(plan))
			continue;
		row_plan_split(plan, i,
			       s.slice.first +
				       (s.slice.last - s.slice.first) / 2 + 1,
			       s.weight / 2);
		splits++;
	}
}

/* Whether slice i and the next one have one owner and little load; mean_slice
 * is the mean load of a slice. */
static bool can_merge(const struct row_plan *plan, size_t i, double mean_slice)
{
	const struct plan_slice *a = row_plan_slice(plan, i);
	const struct plan_slice *b = row_plan_slice(plan, i + 1);

	return a->slice.owner == b->slice.owner &&
	       a->slice.owner != SLICE_NO_OWNER &&
	       a->weight + b->weight < MERGE_PART * mean_slice;
}

/* Merges adjacent slices with little load until the wanted number of slices is
 * left; total is the load of all slices. */
static void merge_slices(struct row_plan *plan, size_t wanted, double total)
{
	double mean_slice = total / (double)wanted;
	size_t i;

	for (i = 0; i + 1 < plan->slices->len && plan->slices->len > wanted;)
		if (can_merge(plan, i, mean_slice))
			row_plan_merge(plan, i);
		else
			i++;
}

/* The index of an owner's heaviest slice among those that weigh at most the
 * given limit, so that the new owner does not become the most loaded one.
 *
 * Returns SIZE_MAX if there is none. */
static size_t heaviest_slice(const struct row_plan *plan, uint32_t from,
			     double most)
{
	size_t i, best = SIZE_MAX;
	double weight = 0;

	for (i = 0; i < plan->slices->len; i++) {
		const struct plan_slice *s = row_plan_slice(plan, i);

		if (s->slice.owner != from || s->weight > most ||
		    s->weight <= weight)
			continue;
		best = i;
		weight = s->weight;
	}
	return best;
}

/* Moves one slice between two owners: the heaviest that does not leave the new
 * owner with more load than the old one keeps, or else the heaviest that leaves
 * the new owner with less load than the old one had.
 *
 * Returns false if no slice fits. */
static bool move_one(struct row_plan *plan, uint32_t from, uint32_t to)
{
	double gap = row_plan_owner(plan, from)->load -
		     row_plan_owner(plan, to)->load;
	size_t slice = heaviest_slice(plan, from, gap / 2);

	if (slice == SIZE_MAX)
		slice = heaviest_slice(plan, from, gap * 0.9);
	if (slice == SIZE_MAX)
		return false;
	row_plan_move(plan, slice, to);
	return true;
}

/* Moves slices from the most to the least loaded owner until load is even. */
static void even_out_load(struct rebalancer *r, struct row_plan *plan,
			  double mean)
{
	while (may_move_more(r, plan)) {
		uint32_t from = row_plan_most_loaded(plan);
		uint32_t to = row_plan_least_loaded(plan);

		if (row_plan_owner(plan, from)->load <= STOP_RATIO * mean)
			return;
		if (!move_one(plan, from, to))
			return;
	}
}

static size_t slices_of(const struct row_plan *plan, uint32_t owner)
{
	size_t i, count = 0;

	for (i = 0; i < plan->slices->len; i++)
		count += row_plan_slice(plan, i)->slice.owner == owner;
	return count;
}

/* Whether an owner has far fewer slices and far less load than the mean. */
static bool is_underloaded(const struct row_plan *plan, uint32_t owner,
			   double mean)
{
	double mean_slices =
		(double)plan->slices->len / (double)plan->owners->len;

	return (double)slices_of(plan, owner) < FILL_START * mean_slices &&
	       row_plan_owner(plan, owner)->load < FILL_START * mean;
}

/* Moves slices to an upstream that is new or came back. */
static void fill_underloaded(struct rebalancer *r, struct row_plan *plan,
			     double mean)
{
	uint32_t to = row_plan_least_loaded(plan);

	if (!is_underloaded(plan, to, mean))
		return;
	while (may_move_more(r, plan) &&
	       row_plan_owner(plan, to)->load < FILL_STOP * mean) {
		uint32_t from = row_plan_most_loaded(plan);
		double missing = mean - row_plan_owner(plan, to)->load;
		size_t slice = heaviest_slice(plan, from, missing);

		if (slice == SIZE_MAX)
			return;
		row_plan_move(plan, slice, to);
	}
}

/* Whether the most loaded owner exceeds a multiple of the mean load. */
static bool is_uneven(const struct row_plan *plan, double mean, double ratio)
{
	return row_plan_owner(plan, row_plan_most_loaded(plan))->load >
	       ratio * mean;
}

/* Moves begin after two uneven_windows windows in a row and end when load is
 * even. */
static void update_balancing(struct rebalancer *r, const struct row_plan *plan,
			     double mean)
{
	if (is_uneven(plan, mean, START_RATIO))
		r->uneven_windows++;
	else
		r->uneven_windows = 0;
	if (r->uneven_windows >= 2)
		r->balancing = true;
	else if (!is_uneven(plan, mean, STOP_RATIO))
		r->balancing = false;
}

void rebalancer_plan(struct rebalancer *r, struct row_plan *plan,
		     int64_t now_us)
{
	double mean = row_plan_mean(plan);
	size_t wanted = (size_t)plan->owners->len * MIN_SLICES_PER_OWNER;

	if (row_plan_least_loaded(plan) == SLICE_NO_OWNER || mean <= 0)
		return;
	rebalancer_moved(r, 0, now_us);
	fill_underloaded(r, plan, mean);
	if (!r->window_ended)
		return;
	r->window_ended = false;
	update_balancing(r, plan, mean);
	if (r->balancing) {
		split_large(r, plan, mean);
		even_out_load(r, plan, mean);
	}
	merge_slices(plan, wanted, mean * (double)plan->owners->len);
}
