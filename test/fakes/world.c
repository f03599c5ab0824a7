/* The simulated cell: its clocks, event queue, processes and heartbeats. */
#include "world_impl.h"

#define TICK_US COORDINATOR_TICK_US
/** Interval between two heartbeats of a daemon. */
#define HEARTBEAT_US (100 * US_PER_MS)
/** Shortest delay of a message, and the range of the random part added to it.
 */
#define BASE_DELAY_US 300
#define DELAY_SPREAD_US 1500

size_t world_zone(size_t upstream)
{
	return upstream % WORLD_ZONES;
}

int64_t world_clock_us(const struct world_clock *clock)
{
	int64_t passed = clock->w->now_us - clock->true_us;

	return clock->local_us + passed + passed * clock->ppm / 1000000;
}

void world_clock_set_rate(struct world_clock *clock, int ppm)
{
	clock->local_us = world_clock_us(clock);
	clock->true_us = clock->w->now_us;
	clock->ppm = CLAMP(ppm, -WORLD_MAX_DRIFT_PPM, WORLD_MAX_DRIFT_PPM);
}

/* Starts a process's clock at a random reading. */
static void clock_init(struct world *w, struct world_clock *clock)
{
	clock->w = w;
	clock->true_us = w->now_us;
	clock->local_us =
		US_PER_SECOND + g_rand_int_range(w->random, 0, 1 << 30);
}

static struct timespec daemon_monotonic(void *ctx)
{
	const struct world_daemon *d = ctx;
	int64_t us = world_clock_us(&d->time);

	return (struct timespec){ us / US_PER_SECOND,
				  (us % US_PER_SECOND) * NS_PER_US };
}

static const struct clock_ops clock_ops = {
	.monotonic = daemon_monotonic,
	.wall = daemon_monotonic,
};

static int compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct world_event *x = a, *y = b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void event_free(gpointer data)
{
	struct world_event *e = data;

	g_free(e->boot);
	g_free(e->ranges);
	if (e->row)
		g_bytes_unref(e->row);
	if (e->map)
		slice_map_destroy(e->map);
	g_free(e);
}

void world_postpone(struct world *w, struct world_event *e, int64_t at_us)
{
	e->at_us = at_us;
	e->seq = w->next_seq++;
	g_sequence_insert_sorted(w->events, e, compare_events, NULL);
}

struct world_event *world_schedule(struct world *w, int64_t delay_us,
				   void (*run)(struct world *,
					       struct world_event *))
{
	struct world_event *e = g_new0(struct world_event, 1);

	e->run = run;
	world_postpone(w, e, w->now_us + delay_us);
	return e;
}

int64_t world_delay_us(struct world *w)
{
	int64_t delay =
		BASE_DELAY_US + g_rand_int_range(w->random, 0, DELAY_SPREAD_US);

	if (w->delay_us > 0)
		delay += (int64_t)(g_rand_double(w->random) *
				   (double)w->delay_us);
	return delay;
}

bool world_chance(struct world *w, unsigned int percent)
{
	return percent &&
	       (unsigned int)g_rand_int_range(w->random, 0, 100) < percent;
}

void world_violate(struct world *w, const char *format, ...)
{
	va_list args;

	if (w->violation)
		return;
	va_start(args, format);
	w->violation = g_strdup_vprintf(format, args);
	va_end(args);
}

bool world_daemon_is_current(struct world *w, struct world_event *e)
{
	const struct world_daemon *d = &w->daemons[e->daemon];

	return d->alive && d->incarnation == e->daemon_incarnation;
}

static void run_tick(struct world *w, struct world_event *e)
{
	struct world_daemon *d = &w->daemons[e->daemon];
	struct world_event *next;

	if (!world_daemon_is_current(w, e))
		return;
	coordinator_tick(d->c);
	next = world_schedule(w, TICK_US, run_tick);
	next->daemon = e->daemon;
	next->daemon_incarnation = e->daemon_incarnation;
}

static void run_peer(struct world *w, struct world_event *e)
{
	if (world_daemon_is_current(w, e))
		coordinator_on_peer(w->daemons[e->daemon].c, &e->peer);
}

static const struct str daemon_names[WORLD_MAX_DAEMONS] = {
	{ "d0", 2 }, { "d1", 2 }, { "d2", 2 }, { "d3", 2 },
	{ "d4", 2 }, { "d5", 2 }, { "d6", 2 }, { "d7", 2 },
	{ "d8", 2 }, { "d9", 2 }, { "da", 2 }, { "db", 2 },
};

/* Returns a constant string equal to a daemon's name, for events that may run
 * after the string's owner was killed; "" for a name of no daemon. */
static struct str daemon_name(struct str name)
{
	size_t i;

	for (i = 0; i < WORLD_MAX_DAEMONS; i++)
		if (str_equal(daemon_names[i], name))
			return daemon_names[i];
	return STR("");
}

static void send_heartbeat(struct world *w, const struct world_daemon *d,
			   size_t to)
{
	struct world_event *e;

	if (to == d->index || d->peer_cut[to] || world_chance(w, w->lost))
		return;
	w->counts.heartbeats++;
	e = world_schedule(w, world_delay_us(w), run_peer);
	e->daemon = to;
	e->daemon_incarnation = w->daemons[to].incarnation;
	coordinator_heartbeat(d->c, &e->peer);
	e->peer.daemon = daemon_name(e->peer.daemon);
	e->peer.coordinator = daemon_name(e->peer.coordinator);
}

static void run_heartbeat(struct world *w, struct world_event *e)
{
	struct world_event *next;
	size_t i;

	if (!world_daemon_is_current(w, e))
		return;
	for (i = 0; i < w->config.daemons; i++)
		send_heartbeat(w, &w->daemons[e->daemon], i);
	next = world_schedule(w, HEARTBEAT_US, run_heartbeat);
	next->daemon = e->daemon;
	next->daemon_incarnation = e->daemon_incarnation;
}

static const char *const upstream_names[WORLD_MAX_UPSTREAMS] = {
	"u00", "u01", "u02", "u03", "u04", "u05", "u06", "u07",
	"u08", "u09", "u10", "u11", "u12", "u13", "u14", "u15",
	"u16", "u17", "u18", "u19", "u20", "u21", "u22", "u23",
};

void world_send_upstream_list(struct world_daemon *d)
{
	struct coordinator_upstream list[WORLD_MAX_UPSTREAMS];
	struct world *w = d->w;
	size_t i, count = 0;

	for (i = 0; i < w->config.upstreams; i++) {
		if (!w->upstreams[i].listed)
			continue;
		list[count++] = (struct coordinator_upstream){
			.id = str_from(upstream_names[i]),
			.zone = STR("z"),
			.fences = !w->config.unfenced,
			.leaving = w->upstreams[i].leaving,
			.out = d->known_zone_out[world_zone(i)],
		};
	}
	coordinator_set_upstreams(d->c, list, count);
}

void world_start_daemon(struct world *w, size_t index)
{
	struct world_daemon *d = &w->daemons[index];
	char *incarnation = g_strdup_printf("i%u", ++d->incarnation);
	struct coordinator_config config = {
		.cell = STR("cell"),
		.daemon = daemon_names[index],
		.incarnation = str_from(incarnation),
		.slices_per_owner = w->config.slices_per_owner,
		.fault = w->config.fault,
		.seed = g_rand_int(w->random),
	};
	struct world_event *e;

	d->alive = true;
	d->published_epoch = 0;
	d->frozen_until_us = 0;
	memcpy(d->known_zone_out, w->zone_out, sizeof(d->known_zone_out));
	d->c = coordinator_create(&config, &d->clock, &world_ops, d);
	world_send_upstream_list(d);
	e = world_schedule(w, g_rand_int_range(w->random, 0, TICK_US),
			   run_tick);
	e->daemon = index;
	e->daemon_incarnation = d->incarnation;
	e = world_schedule(w, g_rand_int_range(w->random, 0, HEARTBEAT_US),
			   run_heartbeat);
	e->daemon = index;
	e->daemon_incarnation = d->incarnation;
	g_free(incarnation);
}

void world_start_upstream(struct world *w, size_t index)
{
	struct world_upstream *u = &w->upstreams[index];
	char *boot = g_strdup_printf("b%zu-%u", index, ++u->incarnation);
	int64_t now = world_clock_us(&u->time);

	u->alive = true;
	u->frozen_until_us = 0;
	if (!u->fence)
		u->fence = fence_create(STR("cell"), str_from(boot),
					!w->config.unfenced, now);
	else
		fence_restart(u->fence, str_from(boot), now);
	fence_set_fault(u->fence, w->config.fence_fault);
	g_free(boot);
}

static void unref_bytes(gpointer data)
{
	g_bytes_unref(data);
}

struct world *world_create(const struct world_config *config)
{
	struct world *w = g_new0(struct world, 1);
	size_t i;

	w->config = *config;
	w->events = g_sequence_new(event_free);
	w->random = g_rand_new_with_seed(config->seed);
	w->history = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   unref_bytes);
	for (i = 0; i < config->upstreams; i++) {
		clock_init(w, &w->upstreams[i].time);
		w->upstreams[i].listed = true;
		world_start_upstream(w, i);
	}
	for (i = 0; i < config->daemons; i++) {
		struct world_daemon *d = &w->daemons[i];

		d->w = w;
		d->index = i;
		d->clock = (struct clock){ &clock_ops, d };
		clock_init(w, &d->time);
		world_start_daemon(w, i);
	}
	return w;
}

void world_destroy(struct world *w)
{
	size_t i;

	for (i = 0; i < w->config.daemons; i++)
		coordinator_destroy(w->daemons[i].c);
	for (i = 0; i < w->config.upstreams; i++)
		fence_destroy(w->upstreams[i].fence);
	g_sequence_free(w->events);
	g_hash_table_unref(w->history);
	if (w->row)
		g_bytes_unref(w->row);
	slice_map_destroy(w->row_map);
	slice_map_destroy(w->published.map);
	g_rand_free(w->random);
	g_free(w->violation);
	g_free(w);
}

/* Returns the time until which an event's daemon is frozen, or 0 if the event's
 * incarnation no longer runs. */
static int64_t frozen_until(const struct world *w, const struct world_event *e)
{
	const struct world_daemon *d = &w->daemons[e->daemon];

	return d->alive && d->incarnation == e->daemon_incarnation
		       ? d->frozen_until_us
		       : 0;
}

/* Runs an event, or postpones it until its frozen daemon resumes. */
static void run_event(struct world *w, GSequenceIter *iter)
{
	struct world_event *e = g_sequence_get(iter);

	w->now_us = MAX(w->now_us, e->at_us);
	if (e->daemon_incarnation && w->now_us < frozen_until(w, e)) {
		e->at_us = frozen_until(w, e);
		e->seq = w->next_seq++;
		g_sequence_sort_changed(iter, compare_events, NULL);
		return;
	}
	w->counts.events++;
	e->run(w, e);
	g_sequence_remove(iter);
}

void world_run(struct world *w, int64_t us)
{
	int64_t end = w->now_us + us;

	while (!w->violation) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		const struct world_event *e;

		if (g_sequence_iter_is_end(first))
			break;
		e = g_sequence_get(first);
		if (e->at_us > end)
			break;
		run_event(w, first);
	}
	w->now_us = end;
}

bool world_run_until_served(struct world *w, int64_t most_us)
{
	int64_t end = w->now_us + most_us;

	while (!w->violation && w->now_us < end) {
		if (world_served_share(w) >= 1)
			return true;
		world_run(w, 10 * US_PER_MS);
	}
	return !w->violation && world_served_share(w) >= 1;
}
