/* The event queue, random numbers and memory of the simulation. */
#include "fuzz_request_parts/world.h"

static gint compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)ctx;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

static void insert(struct world *w, const struct event *values)
{
	struct event *event = g_new(struct event, 1);

	*event = *values;
	g_sequence_insert_sorted(w->events, event, compare_events, NULL);
}

void world_at(struct world *w, int64_t at,
	      void (*run)(struct world *w, struct event *event), void *a,
	      void *b, uint64_t n, uint64_t m)
{
	struct event event = { at, w->sequence++, run, a, b, n, m };

	insert(w, &event);
}

/* Keeps the sequence number: events postponed to the same time run in the order
 * in which they were first scheduled. */
void world_requeue(struct world *w, const struct event *event, int64_t at)
{
	struct event again = *event;

	again.at = at;
	insert(w, &again);
}

void world_run(struct world *w, int64_t until)
{
	while (!w->violation && !g_sequence_is_empty(w->events)) {
		GSequenceIter *iter = g_sequence_get_begin_iter(w->events);
		struct event *event = g_sequence_get(iter);

		if (event->at > until)
			break;
		w->now = MAX(w->now, event->at);
		w->steps++;
		event->run(w, event);
		g_sequence_remove(iter);
	}
	w->now = MAX(w->now, until);
}

void *world_new(struct world *w, size_t size)
{
	void *memory = g_malloc0(size);

	g_ptr_array_add(w->allocations, memory);
	return memory;
}

int64_t world_random(struct world *w, int64_t low, int64_t high)
{
	return low + (int64_t)(g_rand_int(w->rng) % (uint64_t)(high - low + 1));
}

int64_t world_delay(struct world *w)
{
	if (!world_random(w, 0, 39))
		return world_random(w, 5 * MS, 30 * MS);
	return world_random(w, MS / 2, 3 * MS);
}

void world_violate(struct world *w, const char *rule)
{
	if (!w->violation)
		w->violation = rule;
}
