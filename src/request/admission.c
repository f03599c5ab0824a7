#include "request/admission.h"

#include <glib.h>

/* Virtual time that an admitted request costs a class of weight 1; a class of
 * weight w pays 1/w of it. */
#define VIRTUAL_TIME_UNIT 1000000.0
/* Divisor of the moving averages: a new value has the weight 1/8. */
#define MEAN_DIVISOR 8
/* Number of priorities, 0 to 9. */
#define PRIORITY_COUNT 10
/* Percent of the capacity that a class loses per priority number. */
#define PRIORITY_STEP_PERCENT 5

struct lane {
	uint32_t class;
	void *owner;
	/** Waiting entries, sorted by deadline. */
	GSequence *entries;
	/** Mean time between two admissions while entries wait; 0 before the
	 * first two. */
	int64_t mean_interval_us;
	/** Time of the last admission since the lane was last empty; 0 when
	 * there was none. */
	int64_t last_admitted_us;
	/** Mean time from admission to the answer's first byte; 0 before the
	 * first answer. Refusals lower it, see decay_mean_response(). */
	int64_t mean_response_us;
};

struct class
{
	struct admission_class settings;
	uint32_t waiting;
	uint32_t running;
	/** Virtual time of weighted fair queuing: of the classes of a priority,
	 * the one with the lowest value goes first. */
	double virtual_time;
};

struct admission_entry {
	uint32_t lane;
	int64_t deadline_us;
	void *request;
	/** Place of the entry in its lane's entries. */
	GSequenceIter *position;
};

struct admission {
	/** Most admitted requests that may run at once. */
	uint32_t capacity;
	/** Admitted requests that have not ended. */
	uint32_t running;
	/** Requests admitted so far; wraps around. */
	uint32_t admitted;
	GArray *classes;
	GArray *lanes;
	/** Virtual time of each priority: that of the class whose request was
	 * admitted last. A class that was idle starts from at least that. */
	double virtual_times[PRIORITY_COUNT];
};

struct admission *admission_create(uint32_t capacity)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->capacity = capacity;
	admission->classes = g_array_new(FALSE, TRUE, sizeof(struct class));
	admission->lanes = g_array_new(FALSE, TRUE, sizeof(struct lane));
	return admission;
}

static struct class *class_at(const struct admission *admission, uint32_t i)
{
	return &g_array_index(admission->classes, struct class, i);
}

static struct lane *lane_at(const struct admission *admission, uint32_t i)
{
	return &g_array_index(admission->lanes, struct lane, i);
}

void admission_destroy(struct admission *admission)
{
	uint32_t i;

	if (!admission)
		return;
	for (i = 0; i < admission->lanes->len; i++)
		g_sequence_free(lane_at(admission, i)->entries);
	g_array_free(admission->lanes, TRUE);
	g_array_free(admission->classes, TRUE);
	g_free(admission);
}

static struct admission_class
clamp_settings(const struct admission_class *settings)
{
	struct admission_class class = *settings;

	class.priority = MIN(class.priority, PRIORITY_COUNT - 1);
	class.weight = MAX(class.weight, 1);
	return class;
}

uint32_t admission_add_class(struct admission *admission,
			     const struct admission_class *class)
{
	struct class new = { .settings = clamp_settings(class) };

	g_array_append_val(admission->classes, new);
	return admission->classes->len - 1;
}

void admission_set_class(struct admission *admission, uint32_t class,
			 const struct admission_class *settings)
{
	class_at(admission, class)->settings = clamp_settings(settings);
}

uint32_t admission_add_lane(struct admission *admission, uint32_t class,
			    void *owner)
{
	struct lane lane = {
		.class = class,
		.owner = owner,
		.entries = g_sequence_new(g_free),
	};

	g_array_append_val(admission->lanes, lane);
	return admission->lanes->len - 1;
}

static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct admission_entry *x = a;
	const struct admission_entry *y = b;

	(void)ctx;
	return (x->deadline_us > y->deadline_us) -
	       (x->deadline_us < y->deadline_us);
}

/* Takes an entry out of its lane and frees it. */
static void remove_entry(struct admission *admission,
			 struct admission_entry *entry)
{
	struct lane *lane = lane_at(admission, entry->lane);

	class_at(admission, lane->class)->waiting--;
	/* Frees the entry as well. */
	g_sequence_remove(entry->position);
	if (g_sequence_is_empty(lane->entries))
		lane->last_admitted_us = 0;
}

/* Lowers a lane's mean response time after a refusal that was based on it. If
 * all requests were refused, no answer could show that the upstream is faster
 * by now. */
static void decay_mean_response(struct lane *lane)
{
	lane->mean_response_us -= lane->mean_response_us / MEAN_DIVISOR;
}

/* Tells whether an entry's answer would begin before its deadline, at the
 * lane's recent pace of admission and mean response time. */
static bool can_meet_deadline(struct lane *lane, struct admission_entry *entry,
			      int64_t now_us)
{
	GSequenceIter *position = g_sequence_search(lane->entries, entry,
						    compare_deadlines, NULL);
	int64_t ahead = g_sequence_iter_get_position(position);
	int64_t wait_us = lane->last_admitted_us
				  ? (ahead + 1) * lane->mean_interval_us
				  : 0;

	return now_us + wait_us + lane->mean_response_us <= entry->deadline_us;
}

/* Finds the waiting entry of a class with the latest deadline. */
static struct admission_entry *find_latest(struct admission *admission,
					   uint32_t class)
{
	struct admission_entry *latest = NULL;
	uint32_t i;

	for (i = 0; i < admission->lanes->len; i++) {
		struct lane *lane = lane_at(admission, i);
		struct admission_entry *last;

		if (lane->class != class || g_sequence_is_empty(lane->entries))
			continue;
		last = g_sequence_get(g_sequence_iter_prev(
			g_sequence_get_end_iter(lane->entries)));
		if (!latest || last->deadline_us > latest->deadline_us)
			latest = last;
	}
	return latest;
}

/* Evicts the entry with the latest deadline from a full class, if that deadline
 * is later than the new request's. @return false when nothing was evicted */
static bool evict_latest(struct admission *admission, uint32_t class,
			 int64_t deadline_us, void **refused)
{
	struct admission_entry *latest = find_latest(admission, class);

	if (!latest || latest->deadline_us <= deadline_us)
		return false;
	*refused = latest->request;
	remove_entry(admission, latest);
	return true;
}

/* Adds a copy of an entry to its lane. */
static struct admission_entry *
insert_entry(struct admission *admission, const struct admission_entry *values)
{
	struct lane *lane = lane_at(admission, values->lane);
	struct class *class = class_at(admission, lane->class);
	struct admission_entry *entry = g_new(struct admission_entry, 1);
	double virtual_time =
		admission->virtual_times[class->settings.priority];

	/* An idle class gains no credit for the time that it was idle. */
	if (!class->waiting)
		class->virtual_time = MAX(class->virtual_time, virtual_time);
	*entry = *values;
	entry->position = g_sequence_insert_sorted(lane->entries, entry,
						   compare_deadlines, NULL);
	class->waiting++;
	return entry;
}

struct admission_entry *admission_enqueue(struct admission *admission,
					  uint32_t lane, int64_t deadline_us,
					  void *request, int64_t now_us,
					  void **refused,
					  enum verdict_reason *reason)
{
	struct admission_entry entry = {
		.lane = lane,
		.deadline_us = deadline_us,
		.request = request,
	};
	uint32_t index = lane_at(admission, lane)->class;
	struct class *class = class_at(admission, index);

	*refused = NULL;
	*reason = REASON_OVERLOAD;
	if (!can_meet_deadline(lane_at(admission, lane), &entry, now_us)) {
		decay_mean_response(lane_at(admission, lane));
		*refused = request;
		return NULL;
	}
	*reason = REASON_QUEUE_FULL;
	if (class->waiting >= class->settings.queue_limit &&
	    !evict_latest(admission, index, deadline_us, refused)) {
		*refused = request;
		return NULL;
	}
	return insert_entry(admission, &entry);
}

void admission_cancel(struct admission *admission,
		      struct admission_entry *entry)
{
	remove_entry(admission, entry);
}

/* Returns how many requests of a class may run at once, at least 1. */
static uint32_t class_capacity(const struct admission *admission,
			       const struct class *class)
{
	uint32_t percent =
		100 - PRIORITY_STEP_PERCENT * class->settings.priority;

	return MAX(1, admission->capacity * percent / 100);
}

/* Tells whether a is admitted before b: by priority (reversed when the lowest
 * one goes first), then by their classes' virtual time, then by deadline. */
static bool precedes(const struct admission *admission,
		     const struct admission_entry *a,
		     const struct admission_entry *b, bool lowest_first)
{
	const struct class *x =
		class_at(admission, lane_at(admission, a->lane)->class);
	const struct class *y =
		class_at(admission, lane_at(admission, b->lane)->class);

	if (x->settings.priority != y->settings.priority)
		return (x->settings.priority < y->settings.priority) !=
		       lowest_first;
	if (x != y)
		return x->virtual_time < y->virtual_time;
	return a->deadline_us < b->deadline_us;
}

/* Returns a lane's entry with the earliest deadline, NULL when none waits. */
static struct admission_entry *lane_head(const struct lane *lane)
{
	if (g_sequence_is_empty(lane->entries))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(lane->entries));
}

/* Finds the entry to admit next among the heads of the lanes whose class is
 * below its capacity and whose destination is ready. */
static struct admission_entry *choose_entry(struct admission *admission,
					    admission_ready_fn ready, void *ctx,
					    bool lowest_first)
{
	struct admission_entry *best = NULL;
	uint32_t i;

	for (i = 0; i < admission->lanes->len; i++) {
		const struct lane *lane = lane_at(admission, i);
		const struct class *class = class_at(admission, lane->class);
		struct admission_entry *head = lane_head(lane);

		if (!head || class->running >= class_capacity(admission, class))
			continue;
		if (best && !precedes(admission, head, best, lowest_first))
			continue;
		if (ready(ctx, lane->owner))
			best = head;
	}
	return best;
}

/* Finds a waiting entry whose answer couldn't begin before its deadline even if
 * it were admitted now. Looks only at the earliest deadline of each lane. */
static struct admission_entry *find_expired(struct admission *admission,
					    int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < admission->lanes->len; i++) {
		const struct lane *lane = lane_at(admission, i);
		struct admission_entry *head = lane_head(lane);

		if (head && now_us + lane->mean_response_us > head->deadline_us)
			return head;
	}
	return NULL;
}

/* Returns a moving average with a new value taken in. A mean of 0 stands for no
 * value yet, so the first value counts as at least 1. */
static int64_t moving_average(int64_t mean, int64_t value)
{
	return mean ? mean + (value - mean) / MEAN_DIVISOR : MAX(value, 1);
}

/* Counts a request as running and advances its class's virtual time. */
static void count_admitted(struct admission *admission,
			   const struct admission_entry *entry, int64_t now_us)
{
	struct lane *lane = lane_at(admission, entry->lane);
	struct class *class = class_at(admission, lane->class);

	if (lane->last_admitted_us)
		lane->mean_interval_us =
			moving_average(lane->mean_interval_us,
				       now_us - lane->last_admitted_us);
	lane->last_admitted_us = MAX(now_us, 1);
	admission->virtual_times[class->settings.priority] =
		class->virtual_time;
	class->virtual_time += VIRTUAL_TIME_UNIT / class->settings.weight;
	class->running++;
	admission->running++;
	admission->admitted++;
}

enum admission_decision admission_next(struct admission *admission,
				       admission_ready_fn ready, void *ctx,
				       int64_t now_us, void **request,
				       uint32_t *lane)
{
	struct admission_entry *entry = find_expired(admission, now_us);
	enum admission_decision decision = ADMISSION_EXPIRED;

	if (!entry) {
		bool low = admission->admitted % ADMISSION_LOW_EVERY ==
			   ADMISSION_LOW_EVERY - 1;

		if (admission->running >= admission->capacity)
			return ADMISSION_IDLE;
		entry = choose_entry(admission, ready, ctx, low);
		if (!entry)
			return ADMISSION_IDLE;
		decision = ADMISSION_SEND;
		count_admitted(admission, entry, now_us);
	} else {
		decay_mean_response(lane_at(admission, entry->lane));
	}
	*request = entry->request;
	*lane = entry->lane;
	remove_entry(admission, entry);
	return decision;
}

void admission_done(struct admission *admission, uint32_t lane,
		    int64_t response_us)
{
	struct lane *l = lane_at(admission, lane);

	if (response_us > 0)
		l->mean_response_us =
			moving_average(l->mean_response_us, response_us);
	class_at(admission, l->class)->running--;
	admission->running--;
}

uint32_t admission_waiting(const struct admission *admission, uint32_t class)
{
	return class_at(admission, class)->waiting;
}

uint32_t admission_running(const struct admission *admission)
{
	return admission->running;
}
