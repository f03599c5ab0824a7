/* Calls of the simulated coordinators to the table, the upstreams and their
 * peers: message delays and losses, and the fake table. */
#include "world_impl.h"

/** Delay of a table call each way, in addition to the network delay. */
#define TABLE_DELAY_US (3 * US_PER_MS)
/** Longest extra delay of a late write. */
#define WRITE_LATE_US (4 * US_PER_SECOND)
/** Time until a coordinator learns that a killed upstream refused its
 * connection. */
#define REFUSED_US (1 * US_PER_MS)
/** Sizes in bytes as JSON over HTTP of an order without its ranges, of a reply,
 * and of one range. */
#define ORDER_BYTES 230
#define REPLY_BYTES 420
#define RANGE_BYTES 40

/* Schedules a reply to the daemon that sent e. */
static struct world_event *
schedule_reply(struct world *w, const struct world_event *e, int64_t delay_us,
	       void (*run)(struct world *, struct world_event *))
{
	struct world_event *a = world_schedule(w, delay_us, run);

	a->daemon = e->daemon;
	a->daemon_incarnation = e->daemon_incarnation;
	a->request = e->request;
	return a;
}

/* Schedules the arrival of a daemon's request. */
static struct world_event *
schedule_from_daemon(struct world_daemon *d, int64_t delay_us, uint64_t request,
		     void (*run)(struct world *, struct world_event *))
{
	struct world_event *e = world_schedule(d->w, delay_us, run);

	e->daemon = d->index;
	e->daemon_incarnation = d->incarnation;
	e->request = request;
	return e;
}

static int64_t table_delay_us(struct world *w)
{
	return TABLE_DELAY_US + world_delay_us(w) + w->table_slow_us;
}

static void deliver_row(struct world *w, struct world_event *e)
{
	struct str row = { 0 };
	gsize len = 0;

	if (!world_daemon_is_current(w, e))
		return;
	if (e->row) {
		row.data = g_bytes_get_data(e->row, &len);
		row.len = len;
	}
	coordinator_on_row(w->daemons[e->daemon].c, e->request, e->status,
			   e->version, row);
}

/* Returns whether a daemon's call reaches the table. */
static bool table_reached(struct world *w, size_t daemon)
{
	return !w->table_down && !w->daemons[daemon].table_cut;
}

static void reach_table_read(struct world *w, struct world_event *e)
{
	struct world_event *a;

	e->daemon_incarnation = e->sender_incarnation;
	w->counts.table_reads++;
	/* Half of the calls that fail get no reply. */
	if (!table_reached(w, e->daemon) && world_chance(w, 50))
		return;
	a = schedule_reply(w, e, table_delay_us(w), deliver_row);
	a->status = TABLE_UNAVAILABLE;
	if (!table_reached(w, e->daemon))
		return;
	a->status = w->row ? TABLE_OK : TABLE_ABSENT;
	a->version = w->version;
	a->row = w->row ? g_bytes_ref(w->row) : NULL;
}

static void op_read_row(void *ctx, uint64_t request)
{
	struct world_daemon *d = ctx;
	struct world_event *e = schedule_from_daemon(d, table_delay_us(d->w),
						     request, reach_table_read);

	e->sender_incarnation = e->daemon_incarnation;
	e->daemon_incarnation = 0;
}

static void deliver_written(struct world *w, struct world_event *e)
{
	if (world_daemon_is_current(w, e))
		coordinator_on_written(w->daemons[e->daemon].c, e->request,
				       e->status, e->version);
}

/* Returns the number of slices that changed owner in a map's own epoch. */
static size_t count_moved(const struct slice_map *before,
			  const struct slice_map *after)
{
	size_t i, moved = 0;

	for (i = 0; before && i < slice_map_count(after); i++)
		moved +=
			slice_map_at(after, i)->epoch == slice_map_epoch(after);
	return moved;
}

static void apply_write(struct world *w, GBytes *row)
{
	gsize len;
	const char *data = g_bytes_get_data(row, &len);
	struct slice_map *map =
		slice_map_decode((struct str){ data, len }, NULL);
	uint64_t *epoch = g_new(uint64_t, 1);

	*epoch = slice_map_epoch(map);
	if (w->row_map && *epoch != slice_map_epoch(w->row_map) + 1)
		world_violate(w, "an epoch written to the table is not the "
				 "previous one plus 1");
	w->counts.moved += count_moved(w->row_map, map);
	slice_map_destroy(w->row_map);
	w->row_map = map;
	if (w->row)
		g_bytes_unref(w->row);
	w->row = g_bytes_ref(row);
	w->version++;
	g_hash_table_insert(w->history, epoch, g_bytes_ref(row));
}

static void reach_table_write(struct world *w, struct world_event *e)
{
	struct world_event *a;
	bool applied;

	e->daemon_incarnation = e->sender_incarnation;
	w->counts.table_writes++;
	/* A late write counts as sent before the partition: only an outage
	 * stops it. */
	if (w->table_down ||
	    (w->daemons[e->daemon].table_cut && !e->late_write)) {
		if (world_chance(w, 50)) {
			a = schedule_reply(w, e, table_delay_us(w),
					   deliver_written);
			a->status = TABLE_UNAVAILABLE;
		}
		return;
	}
	applied = e->version == w->version;
	if (applied)
		apply_write(w, e->row);
	if (e->late_write || world_chance(w, w->write_lost)) {
		if (world_chance(w, 50))
			schedule_reply(w, e, table_delay_us(w), deliver_written)
				->status = TABLE_UNKNOWN;
		return;
	}
	a = schedule_reply(w, e, table_delay_us(w), deliver_written);
	a->status = applied ? TABLE_OK : TABLE_CONFLICT;
	a->version = w->version;
}

static void op_write_row(void *ctx, uint64_t request, uint64_t version,
			 GBytes *row)
{
	struct world_daemon *d = ctx;
	int64_t delay = table_delay_us(d->w);
	bool late = world_chance(d->w, d->w->write_late);
	struct world_event *e;

	if (late)
		delay += (int64_t)(g_rand_double(d->w->random) *
				   (double)WRITE_LATE_US);
	e = schedule_from_daemon(d, delay, request, reach_table_write);
	e->sender_incarnation = e->daemon_incarnation;
	e->daemon_incarnation = 0;
	e->version = version;
	e->row = g_bytes_ref(row);
	e->late_write = late;
}

static void deliver_reply(struct world *w, struct world_event *e)
{
	if (!world_daemon_is_current(w, e))
		return;
	e->reply.boot = str_from(e->boot);
	coordinator_on_reply(w->daemons[e->daemon].c, e->request, &e->reply);
}

static void deliver_no_reply(struct world *w, struct world_event *e)
{
	if (world_daemon_is_current(w, e))
		coordinator_on_no_reply(w->daemons[e->daemon].c, e->request);
}

static void send_reply(struct world *w, const struct world_event *e,
		       const struct order_reply *reply)
{
	struct world_event *a;

	if (w->daemons[e->daemon].upstream_cut[e->upstream] ||
	    world_chance(w, w->lost))
		return;
	w->counts.replies++;
	w->counts.reply_bytes += REPLY_BYTES;
	a = schedule_reply(w, e, world_delay_us(w), deliver_reply);
	a->reply = *reply;
	a->boot = str_dup(reply->boot);
}

static void reach_upstream(struct world *w, struct world_event *e)
{
	struct world_upstream *u = &w->upstreams[e->upstream];
	struct order_reply reply;

	if (u->alive && w->now_us < u->frozen_until_us) {
		struct world_event *later = g_memdup2(e, sizeof(*e));

		e->boot = NULL;
		e->ranges = NULL;
		world_postpone(w, later, u->frozen_until_us);
		return;
	}
	e->daemon_incarnation = e->sender_incarnation;
	if (!u->alive) {
		schedule_reply(w, e, REFUSED_US, deliver_no_reply);
		return;
	}
	e->order.cell = STR("cell");
	e->order.boot = str_from(e->boot);
	e->order.ranges = e->ranges;
	fence_order(u->fence, &e->order, world_clock_us(&u->time), &reply);
	if (reply.accepted)
		world_check_grant(w, e->upstream, &e->order);
	send_reply(w, e, &reply);
}

/* Schedules the arrival of one copy of an order at an upstream. */
static void send_copy(struct world_daemon *d, uint64_t request, size_t upstream,
		      const struct order *order)
{
	struct world_event *e = schedule_from_daemon(d, world_delay_us(d->w),
						     request, reach_upstream);

	e->sender_incarnation = e->daemon_incarnation;
	e->daemon_incarnation = 0;
	e->upstream = upstream;
	e->order = *order;
	e->boot = str_dup(order->boot);
	e->ranges =
		order->range_count
			? g_memdup2(order->ranges,
				    order->range_count * sizeof(*order->ranges))
			: NULL;
}

/* Returns the index of the upstream with an id such as "u07". */
static size_t upstream_index(struct str id)
{
	return (size_t)(id.data[1] - '0') * 10 + (size_t)(id.data[2] - '0');
}

static void op_send_order(void *ctx, uint64_t request, struct str upstream,
			  const struct order *order)
{
	struct world_daemon *d = ctx;
	struct world *w = d->w;
	size_t to = upstream_index(upstream);

	w->counts.orders++;
	w->counts.order_bytes += ORDER_BYTES;
	if (order->has_ranges)
		w->counts.order_bytes += RANGE_BYTES * order->range_count;
	if (d->upstream_cut[to] || world_chance(w, w->lost))
		return;
	send_copy(d, request, to, order);
	if (world_chance(w, w->duplicated))
		send_copy(d, request, to, order);
}

static void deliver_map(struct world *w, struct world_event *e)
{
	if (world_daemon_is_current(w, e))
		coordinator_on_map(w->daemons[e->daemon].c, e->map);
}

static void op_publish(void *ctx, struct slice_map *map)
{
	struct world_daemon *d = ctx;
	struct world *w = d->w;
	size_t i;

	w->counts.published++;
	world_check_published(w, d, map);
	for (i = 0; i < w->config.daemons; i++) {
		struct world_event *e;

		if (i == d->index || d->peer_cut[i] || world_chance(w, w->lost))
			continue;
		e = world_schedule(w, world_delay_us(w), deliver_map);
		e->daemon = i;
		e->daemon_incarnation = w->daemons[i].incarnation;
		e->map = slice_map_ref(map);
	}
}

static void op_event(void *ctx, const char *text)
{
	const struct world_daemon *d = ctx;

	if (g_getenv("WORLD_VERBOSE"))
		g_printerr("%10.3f d%zu %s\n",
			   (double)d->w->now_us / (double)US_PER_SECOND,
			   d->index, text);
}

const struct coordinator_ops world_ops = {
	.read_row = op_read_row,
	.write_row = op_write_row,
	.send_order = op_send_order,
	.publish = op_publish,
	.event = op_event,
};
