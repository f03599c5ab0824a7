/* Faults of the simulated cell and changes by its operator. */
#include "world_impl.h"

/** Longest delay until a daemon learns of a change of zones or VMs. */
#define LIST_LAG_US (500 * US_PER_MS)

void world_freeze_daemon(struct world *w, size_t daemon, int64_t us)
{
	struct world_daemon *d = &w->daemons[daemon];

	d->frozen_until_us = MAX(d->frozen_until_us, w->now_us + us);
	if (!w->config.paused_clock)
		return;
	/* Models a VM whose clock does not advance during a suspension. */
	d->time.local_us -= us;
}

void world_freeze_upstream(struct world *w, size_t upstream, int64_t us)
{
	struct world_upstream *u = &w->upstreams[upstream];

	u->frozen_until_us = MAX(u->frozen_until_us, w->now_us + us);
}

static void run_daemon_start(struct world *w, struct world_event *e)
{
	if (!w->daemons[e->daemon].alive)
		world_start_daemon(w, e->daemon);
}

void world_kill_daemon(struct world *w, size_t daemon, int64_t down_us)
{
	struct world_daemon *d = &w->daemons[daemon];

	if (d->alive)
		coordinator_destroy(d->c);
	d->c = NULL;
	d->alive = false;
	world_schedule(w, down_us, run_daemon_start)->daemon = daemon;
}

static void run_upstream_start(struct world *w, struct world_event *e)
{
	if (!w->upstreams[e->upstream].alive)
		world_start_upstream(w, e->upstream);
}

void world_kill_upstream(struct world *w, size_t upstream, int64_t down_us)
{
	struct world_upstream *u = &w->upstreams[upstream];

	u->alive = false;
	/* A grant ends with the process that held it. */
	fence_restart(u->fence, STR("down"), world_clock_us(&u->time));
	world_schedule(w, down_us, run_upstream_start)->upstream = upstream;
}

void world_partition_upstream(struct world *w, size_t daemon, size_t upstream,
			      bool cut)
{
	w->daemons[daemon].upstream_cut[upstream] = cut;
}

void world_partition_peers(struct world *w, size_t a, size_t b, bool cut)
{
	w->daemons[a].peer_cut[b] = cut;
	w->daemons[b].peer_cut[a] = cut;
}

void world_partition_table(struct world *w, size_t daemon, bool cut)
{
	w->daemons[daemon].table_cut = cut;
}

void world_set_table_outage(struct world *w, bool down)
{
	w->table_down = down;
}

void world_table_slow(struct world *w, int64_t us)
{
	w->table_slow_us = us;
}

void world_table_faults(struct world *w, unsigned int lost, unsigned int late)
{
	w->write_lost = lost;
	w->write_late = late;
}

void world_network(struct world *w, unsigned int lost, unsigned int duplicated,
		   int64_t delay_us)
{
	w->lost = lost;
	w->duplicated = duplicated;
	w->delay_us = delay_us;
}

void world_drift_daemon(struct world *w, size_t daemon, int ppm)
{
	world_clock_set_rate(&w->daemons[daemon].time, ppm);
}

void world_drift_upstream(struct world *w, size_t upstream, int ppm)
{
	world_clock_set_rate(&w->upstreams[upstream].time, ppm);
}

/* A daemon learns the present state of the zones and VMs. */
static void run_list(struct world *w, struct world_event *e)
{
	struct world_daemon *d = &w->daemons[e->daemon];

	if (!world_daemon_is_current(w, e))
		return;
	memcpy(d->known_zone_out, w->zone_out, sizeof(d->known_zone_out));
	world_send_upstream_list(d);
}

static void schedule_list_updates(struct world *w)
{
	size_t i;

	for (i = 0; i < w->config.daemons; i++) {
		struct world_event *e = world_schedule(
			w, g_rand_int_range(w->random, 0, LIST_LAG_US),
			run_list);

		e->daemon = i;
		e->daemon_incarnation = w->daemons[i].incarnation;
	}
}

void world_zone_out(struct world *w, size_t zone, bool out)
{
	w->zone_out[zone] = out;
	schedule_list_updates(w);
}

void world_set_leaving(struct world *w, size_t upstream, bool leaving)
{
	w->upstreams[upstream].leaving = leaving;
	schedule_list_updates(w);
}

void world_set_listed(struct world *w, size_t upstream, bool listed)
{
	w->upstreams[upstream].listed = listed;
	schedule_list_updates(w);
}

static void run_daemon_restart(struct world *w, struct world_event *e)
{
	if (world_daemon_is_current(w, e))
		world_kill_daemon(w, e->daemon, 10 * US_PER_MS);
}

void world_hand_over(struct world *w, size_t daemon)
{
	struct world_daemon *d = &w->daemons[daemon];
	struct world_event *e;

	if (!d->alive)
		return;
	coordinator_hand_over(d->c);
	e = world_schedule(w, US_PER_SECOND, run_daemon_restart);
	e->daemon = daemon;
	e->daemon_incarnation = d->incarnation;
}

void world_clear_faults(struct world *w)
{
	size_t i;

	for (i = 0; i < w->config.daemons; i++) {
		struct world_daemon *d = &w->daemons[i];

		d->table_cut = false;
		memset(d->upstream_cut, 0, sizeof(d->upstream_cut));
		memset(d->peer_cut, 0, sizeof(d->peer_cut));
	}
	for (i = 0; i < w->config.upstreams; i++) {
		w->upstreams[i].listed = true;
		w->upstreams[i].leaving = false;
	}
	memset(w->zone_out, 0, sizeof(w->zone_out));
	w->table_down = false;
	w->table_slow_us = 0;
	world_table_faults(w, 0, 0);
	world_network(w, 0, 0, 0);
	schedule_list_updates(w);
}
