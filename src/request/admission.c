#include "request/admission.h"

#include <glib.h>

/* Weights divide this: a class's turn moves it back by its part. */
#define TURN_UNITS 1000000.0
/* Means move by one part in this many with each new value. */
#define MEAN_PARTS 8
#define PRIORITY_COUNT 10
/* Percent of the capacity that each step of priority costs. */
#define PRIORITY_STEP_PERCENT 5

struct lane {
	uint32_t class;
	void *owner;
	/** Entries by deadline. */
	GSequence *entries;
	/** Mean time between two let through while others wait; 0: unknown. */
	int64_t gap_us;
	/** When the last was let through while others waited; 0: none. */
	int64_t last_us;
	/** Mean time from let through to the answer's first byte. */
	int64_t took_us;
};

struct class
{
	struct admission_class settings;
	uint32_t waiting;
	uint32_t running;
	/** The class with the lowest goes first within its priority. */
	double turn;
};

struct admission_entry {
	uint32_t lane;
	int64_t deadline_us;
	void *request;
	GSequenceIter *place;
};

struct admission {
	uint32_t capacity;
	uint32_t running;
	uint32_t let_through;
	GArray *classes;
	GArray *lanes;
	double turns[PRIORITY_COUNT];
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

static struct admission_class checked(const struct admission_class *settings)
{
	struct admission_class class = *settings;

	class.priority = MIN(class.priority, PRIORITY_COUNT - 1);
	class.weight = MAX(class.weight, 1);
	return class;
}

uint32_t admission_add_class(struct admission *admission,
			     const struct admission_class *class)
{
	struct class new = { .settings = checked(class) };

	g_array_append_val(admission->classes, new);
	return admission->classes->len - 1;
}

void admission_set_class(struct admission *admission, uint32_t class,
			 const struct admission_class *settings)
{
	class_at(admission, class)->settings = checked(settings);
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

static void remove_entry(struct admission *admission,
			 struct admission_entry *entry)
{
	struct lane *lane = lane_at(admission, entry->lane);

	class_at(admission, lane->class)->waiting--;
	/* Frees the entry, too. */
	g_sequence_remove(entry->place);
	if (g_sequence_is_empty(lane->entries))
		lane->last_us = 0;
}

/* The expected time falls with each refusal that rests on it: else nothing
 * would be let through that could show it to be shorter by now. */
static void forget_some(struct lane *lane)
{
	lane->took_us -= lane->took_us / MEAN_PARTS;
}

/* Whether by the pace of its lane it would begin and be answered in time. */
static bool can_make_it(struct lane *lane, struct admission_entry *entry,
			int64_t now_us)
{
	GSequenceIter *place = g_sequence_search(lane->entries, entry,
						 compare_deadlines, NULL);
	int64_t ahead = g_sequence_iter_get_position(place);
	int64_t wait_us = lane->last_us ? (ahead + 1) * lane->gap_us : 0;

	return now_us + wait_us + lane->took_us <= entry->deadline_us;
}

/* The waiting entry of a class with the latest deadline. */
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

/* Makes room in a full class. @return false: the new one has to go */
static bool make_room(struct admission *admission, uint32_t class,
		      int64_t deadline_us, void **refused)
{
	struct admission_entry *latest = find_latest(admission, class);

	if (!latest || latest->deadline_us <= deadline_us)
		return false;
	*refused = latest->request;
	remove_entry(admission, latest);
	return true;
}

static struct admission_entry *insert(struct admission *admission,
				      const struct admission_entry *values)
{
	struct lane *lane = lane_at(admission, values->lane);
	struct class *class = class_at(admission, lane->class);
	struct admission_entry *entry = g_new(struct admission_entry, 1);
	double turn = admission->turns[class->settings.priority];

	/* A class that had nothing waiting saves up no turns. */
	if (!class->waiting)
		class->turn = MAX(class->turn, turn);
	*entry = *values;
	entry->place = g_sequence_insert_sorted(lane->entries, entry,
						compare_deadlines, NULL);
	class->waiting++;
	return entry;
}

struct admission_entry *admission_offer(struct admission *admission,
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
	if (!can_make_it(lane_at(admission, lane), &entry, now_us)) {
		forget_some(lane_at(admission, lane));
		*refused = request;
		return NULL;
	}
	*reason = REASON_QUEUE_FULL;
	if (class->waiting >= class->settings.queue_limit &&
	    !make_room(admission, index, deadline_us, refused)) {
		*refused = request;
		return NULL;
	}
	return insert(admission, &entry);
}

void admission_withdraw(struct admission *admission,
			struct admission_entry *entry)
{
	remove_entry(admission, entry);
}

static uint32_t class_capacity(const struct admission *admission,
			       const struct class *class)
{
	uint32_t percent =
		100 - PRIORITY_STEP_PERCENT * class->settings.priority;

	return MAX(1, admission->capacity * percent / 100);
}

/* Whether a goes before b: by priority, then by turn, then by deadline. */
static bool goes_before(const struct admission *admission,
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
		return x->turn < y->turn;
	return a->deadline_us < b->deadline_us;
}

static struct admission_entry *lane_head(const struct lane *lane)
{
	if (g_sequence_is_empty(lane->entries))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(lane->entries));
}

static struct admission_entry *choose(struct admission *admission,
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
		if (best && !goes_before(admission, head, best, lowest_first))
			continue;
		if (ready(ctx, lane->owner))
			best = head;
	}
	return best;
}

/* A waiting request that can't be answered in time any more. */
static struct admission_entry *find_late(struct admission *admission,
					 int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < admission->lanes->len; i++) {
		const struct lane *lane = lane_at(admission, i);
		struct admission_entry *head = lane_head(lane);

		if (head && now_us + lane->took_us > head->deadline_us)
			return head;
	}
	return NULL;
}

static int64_t mean_with(int64_t mean, int64_t value)
{
	return mean ? mean + (value - mean) / MEAN_PARTS : MAX(value, 1);
}

/* Counts a request as past the queue and moves its class back in turn. */
static void let_through(struct admission *admission,
			const struct admission_entry *entry, int64_t now_us)
{
	struct lane *lane = lane_at(admission, entry->lane);
	struct class *class = class_at(admission, lane->class);

	if (lane->last_us)
		lane->gap_us = mean_with(lane->gap_us, now_us - lane->last_us);
	lane->last_us = MAX(now_us, 1);
	admission->turns[class->settings.priority] = class->turn;
	class->turn += TURN_UNITS / class->settings.weight;
	class->running++;
	admission->running++;
	admission->let_through++;
}

enum admission_turn admission_next(struct admission *admission,
				   admission_ready_fn ready, void *ctx,
				   int64_t now_us, void **request,
				   uint32_t *lane)
{
	struct admission_entry *entry = find_late(admission, now_us);
	enum admission_turn turn = ADMISSION_LATE;

	if (!entry) {
		bool low = admission->let_through % ADMISSION_LOW_EVERY ==
			   ADMISSION_LOW_EVERY - 1;

		if (admission->running >= admission->capacity)
			return ADMISSION_IDLE;
		entry = choose(admission, ready, ctx, low);
		if (!entry)
			return ADMISSION_IDLE;
		turn = ADMISSION_GO;
		let_through(admission, entry, now_us);
	} else {
		forget_some(lane_at(admission, entry->lane));
	}
	*request = entry->request;
	*lane = entry->lane;
	remove_entry(admission, entry);
	return turn;
}

void admission_done(struct admission *admission, uint32_t lane, int64_t took_us)
{
	struct lane *l = lane_at(admission, lane);

	if (took_us > 0)
		l->took_us = mean_with(l->took_us, took_us);
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
