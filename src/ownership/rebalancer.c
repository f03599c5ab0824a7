#include "ownership/rebalancer.h"

#include <math.h>

/** Weight of the newest window against those before. */
#define SMOOTHING 0.6
/** The hottest owner's load over the mean at which moves begin and end. */
#define START_RATIO 1.2
#define STOP_RATIO 1.08
/** An owner below this part of the mean, in slices and in load, came back or
 * is new: it is filled at once, up to the other part. */
#define FILL_START 0.6
#define FILL_STOP 0.9
/** A key with this part of an owner's mean load gets its own slice. */
#define HOT_PART 0.08
/** A slice with this part of an owner's mean load is halved. */
#define LARGE_PART 0.4
/** Neighbours that together bring this part of an even slice are joined. */
#define COLD_PART 0.5
/** Share of the load that is spread over slices evenly, for their room. */
#define BASE_PART 0.05
/** Below this many requests in a window counts say nothing. */
#define MIN_REQUESTS 100
/** Hot keys remembered. */
#define HOT_KEPT 64
/** Most splits in one plan. */
#define MAX_SPLITS 16
/** More slices than this for an owner are not made. */
#define MAX_SLICES_PER_OWNER 64

struct hot_rate {
	uint64_t hash;
	double window, rate;
};

struct rebalancer {
	struct slice_map *map;
	/** double, parallel to the map's slices. */
	GArray *window;
	GArray *rates;
	/** struct hot_rate. */
	GArray *hot;
	int64_t window_ends_us;
	/** Windows in a row in which the load was uneven. */
	unsigned int uneven;
	bool balancing;
	bool fresh;
	/** Moves that are allowed now; refilled over time. */
	double budget;
	int64_t budget_us;
};

struct rebalancer *rebalancer_create(void)
{
	struct rebalancer *r = g_new0(struct rebalancer, 1);

	r->window = g_array_new(FALSE, TRUE, sizeof(double));
	r->rates = g_array_new(FALSE, TRUE, sizeof(double));
	r->hot = g_array_new(FALSE, TRUE, sizeof(struct hot_rate));
	r->budget_us = INT64_MIN;
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

/* Load of the hot keys inside a slice that are known one by one. */
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

/* The rate of a new slice from those of the old ones that it overlaps: hot
 * keys one by one, the rest by width. */
static double carry_rate(const struct rebalancer *r, const struct slice *s)
{
	double sum = hot_load_inside(r, s);
	size_t i;

	for (i = slice_map_index(r->map, s->first); i < slice_map_count(r->map);
	     i++) {
		const struct slice *old = slice_map_at(r->map, i);
		struct slice both = {
			.first = MAX(old->first, s->first),
			.last = MIN(old->last, s->last),
		};
		double rest;

		if (old->first > s->last)
			break;
		rest = *rate_at(r->rates, i) - hot_load_inside(r, old);
		sum += MAX(rest, 0) * (width(&both) / width(old));
	}
	return sum;
}

void rebalancer_set_map(struct rebalancer *r, struct slice_map *map)
{
	GArray *rates = g_array_new(FALSE, TRUE, sizeof(double));
	size_t i, n = slice_map_count(map);

	g_array_set_size(rates, (guint)n);
	for (i = 0; r->map && i < n; i++)
		*rate_at(rates, i) = carry_rate(r, slice_map_at(map, i));
	slice_map_destroy(r->map);
	r->map = slice_map_ref(map);
	g_array_unref(r->rates);
	r->rates = rates;
	/* Counts by slice of the old row no longer fit. */
	g_array_set_size(r->window, 0);
	g_array_set_size(r->window, (guint)n);
}

static void add_hot(struct rebalancer *r, const struct hot_key *key)
{
	struct hot_rate *known = (struct hot_rate *)hot_find(r, key->hash);
	struct hot_rate fresh = { .hash = key->hash };
	/* The true count lies between; the lower bound moves nobody. */
	double count = (double)(key->count - key->error);

	if (known)
		known->window += count;
	else if (r->hot->len < HOT_KEPT) {
		fresh.window = count;
		g_array_append_val(r->hot, fresh);
	}
}

void rebalancer_add_load(struct rebalancer *r,
			 const struct coordinator_load *load)
{
	size_t i;

	if (!r->map)
		return;
	for (i = 0; i < load->hot_count; i++)
		add_hot(r, &load->hot[i]);
	if (load->epoch != slice_map_epoch(r->map) ||
	    load->slice_count != slice_map_count(r->map))
		return;
	for (i = 0; i < load->slice_count; i++)
		*rate_at(r->window, i) += (double)load->slices[i];
}

static void smooth(double *rate, double *window)
{
	*rate = SMOOTHING * *window + (1 - SMOOTHING) * *rate;
	*window = 0;
}

static void end_window(struct rebalancer *r)
{
	double total = 0, known = 0;
	size_t i;

	for (i = 0; i < r->window->len; i++) {
		total += *rate_at(r->window, i);
		known += *rate_at(r->rates, i);
	}
	/* A window cut short by a new row is left out. */
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
	r->fresh = true;
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
	double total = 0, room;

	for (i = 0; i < n; i++)
		total += *rate_at(r->rates, i);
	/* Without load every slice weighs the same. */
	room = total > 0 ? total * BASE_PART : (double)n;
	for (i = 0; i < n; i++)
		weights[i] = *rate_at(r->rates, i) + room / (double)n;
	return weights;
}

void rebalancer_moved(struct rebalancer *r, size_t slices, int64_t now_us)
{
	double most = (double)slice_map_count(r->map) *
		      REBALANCER_MOVED_PERCENT / 100;

	if (r->budget_us == INT64_MIN)
		r->budget = most;
	else
		r->budget += most * (double)(now_us - r->budget_us) /
			     (60.0 * (double)US_PER_SECOND);
	r->budget_us = now_us;
	r->budget = MIN(r->budget, most) - (double)slices;
}

static bool budget_left(const struct rebalancer *r, const struct row_plan *plan)
{
	return r->budget - (double)plan->moved >= 1;
}

static size_t plan_find(const struct row_plan *plan, uint64_t hash)
{
	size_t i = 0;

	while (row_plan_slice(plan, i)->slice.last < hash)
		i++;
	return i;
}

/* Gives a hot key a slice of its own. */
static void isolate(struct row_plan *plan, const struct hot_rate *hot)
{
	size_t i = plan_find(plan, hot->hash);
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

static bool may_add_slices(const struct row_plan *plan)
{
	return plan->slices->len + 2 <
	       (size_t)plan->owners->len * MAX_SLICES_PER_OWNER;
}

static void split_large(struct rebalancer *r, struct row_plan *plan,
			double mean)
{
	size_t i, splits = 0;

	for (i = 0; i < r->hot->len && splits < MAX_SPLITS; i++) {
		if (hot_at(r, i)->rate < HOT_PART * mean ||
		    !may_add_slices(plan))
			continue;
		isolate(plan, hot_at(r, i));
		splits++;
	}
	for (i = 0; i < plan->slices->len && splits < MAX_SPLITS; i++) {
		struct plan_slice s = *row_plan_slice(plan, i);

		if (s.weight < LARGE_PART * mean ||
		    s.slice.first == s.slice.last || !may_add_slices(plan))
			continue;
		row_plan_split(plan, i,
			       s.slice.first +
				       (s.slice.last - s.slice.first) / 2 + 1,
			       s.weight / 2);
		splits++;
	}
}

static bool can_merge(const struct row_plan *plan, size_t i, double even)
{
	const struct plan_slice *a = row_plan_slice(plan, i);
	const struct plan_slice *b = row_plan_slice(plan, i + 1);

	return a->slice.owner == b->slice.owner &&
	       a->slice.owner != SLICE_NO_OWNER &&
	       a->weight + b->weight < COLD_PART * even;
}

/* Joins neighbours that have cooled, down to the first row's number. */
static void merge_cold(struct row_plan *plan, size_t wanted, double total)
{
	double even = total / (double)wanted;
	size_t i;

	for (i = 0; i + 1 < plan->slices->len && plan->slices->len > wanted;)
		if (can_merge(plan, i, even))
			row_plan_merge(plan, i);
		else
			i++;
}

/* The slice whose move from one owner to another helps most: the heaviest that
 * does not make the other one hotter than this one was. */
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

static void level(struct rebalancer *r, struct row_plan *plan, double mean)
{
	while (budget_left(r, plan)) {
		uint32_t hot = row_plan_most_loaded(plan);
		uint32_t cold = row_plan_least_loaded(plan);

		if (row_plan_owner(plan, hot)->load <= STOP_RATIO * mean)
			return;
		if (!move_one(plan, hot, cold))
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

static bool is_empty(const struct row_plan *plan, uint32_t owner, double mean)
{
	double even = (double)plan->slices->len / (double)plan->owners->len;

	return (double)slices_of(plan, owner) < FILL_START * even &&
	       row_plan_owner(plan, owner)->load < FILL_START * mean;
}

/* An upstream that came back, or is new, gets its share. */
static void fill(struct rebalancer *r, struct row_plan *plan, double mean)
{
	uint32_t cold = row_plan_least_loaded(plan);

	if (!is_empty(plan, cold, mean))
		return;
	while (budget_left(r, plan) &&
	       row_plan_owner(plan, cold)->load < FILL_STOP * mean) {
		uint32_t hot = row_plan_most_loaded(plan);
		double lacks = mean - row_plan_owner(plan, cold)->load;
		size_t slice = heaviest_slice(plan, hot, lacks);

		if (slice == SIZE_MAX)
			return;
		row_plan_move(plan, slice, cold);
	}
}

static bool is_uneven(const struct row_plan *plan, double mean, double ratio)
{
	return row_plan_owner(plan, row_plan_most_loaded(plan))->load >
	       ratio * mean;
}

/* Moves begin after two uneven windows and go on until the load is even. */
static void note_balance(struct rebalancer *r, const struct row_plan *plan,
			 double mean)
{
	if (is_uneven(plan, mean, START_RATIO))
		r->uneven++;
	else
		r->uneven = 0;
	if (r->uneven >= 2)
		r->balancing = true;
	else if (!is_uneven(plan, mean, STOP_RATIO))
		r->balancing = false;
}

void rebalancer_plan(struct rebalancer *r, struct row_plan *plan,
		     int64_t now_us)
{
	double mean = row_plan_mean(plan);
	size_t wanted = (size_t)plan->owners->len * 8;

	if (row_plan_least_loaded(plan) == SLICE_NO_OWNER || mean <= 0)
		return;
	rebalancer_moved(r, 0, now_us);
	fill(r, plan, mean);
	if (!r->fresh)
		return;
	r->fresh = false;
	note_balance(r, plan, mean);
	if (r->balancing) {
		split_large(r, plan, mean);
		level(r, plan, mean);
	}
	merge_cold(plan, wanted, mean * (double)plan->owners->len);
}
