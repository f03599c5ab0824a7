/*
 * What the cluster logs and counts of its leader: whom this VM follows, on whom
 * it relies for changes of the tables, and which messages it ignores.
 */
#include <string.h>

#include "entry/cluster_impl.h"

/* Shortest time, in seconds, between lines about ignored heartbeats. */
#define IGNORED_LINE_S 1.0
#define MS_PER_S 1000.0
/* Largest age that is sent, in milliseconds. */
#define AGE_MAX_MS 1e9

void cluster_create_metrics(struct cluster *cluster)
{
	struct metrics *m = cluster->options.metrics;

	cluster->leads =
		metrics_gauge(m, "auburn_leads", "", "1 while this VM leads.");
	cluster->vms_alive = metrics_gauge(m, "auburn_vms", "",
					   "VMs of the system that are alive.");
	cluster->lease_left = metrics_gauge(
		m, "auburn_lease_left_ms", "",
		"Time until this VM's lease ends; 0 while it doesn't lead.");
	cluster->leading_for =
		metrics_gauge(m, "auburn_leading_ms", "",
			      "Time since this VM leads; 0 while it doesn't.");
	cluster->ignored = metrics_counter(
		m, "auburn_ignored_messages_total", "",
		"Messages of an earlier lease, which were ignored.");
}

double cluster_lease_left_s(void *ctx)
{
	const struct cluster *cluster = ctx;

	return lease_left_s(cluster->lease);
}

void cluster_update_metrics(struct cluster *cluster)
{
	double now = cluster_now(cluster);
	double leading_s = cluster->leading ? now - cluster->won_s : 0;

	counter_set(cluster->lease_left,
		    (uint64_t)(lease_left_s(cluster->lease) * MS_PER_S));
	counter_set(cluster->leading_for, (uint64_t)(leading_s * MS_PER_S));
}

/* Returns what this VM does for the others, as one word. */
static const char *role_of(const struct cluster *cluster)
{
	if (cluster->leading)
		return "leader";
	return cluster->is_backup ? "backup" : "follower";
}

/* Returns who tells this VM of changes of the tables, as one word. */
static enum watch_source source_of(const struct cluster *cluster,
				   enum table_watch_peers peers)
{
	if (cluster->leading || cluster->is_backup ||
	    peers == TABLE_WATCH_NO_PEERS)
		return WATCH_STORE;
	if (cluster_hears_leader(cluster))
		return WATCH_LEADER;
	return peers == TABLE_WATCH_PEERS_RELAY ? WATCH_BACKUP
						: WATCH_WAITING_BACKUP;
}

void cluster_update_status(struct cluster *cluster,
			   enum table_watch_peers peers)
{
	const struct row_versions *newest = &cluster->row_versions;
	struct watch_news news = {
		.role = role_of(cluster),
		.source = source_of(cluster, peers),
		.hears_leader = cluster_hears_leader(cluster),
		.missed_owners = cluster->heard_snapshot.missed,
		.newest_rows = { newest->operator_rows, newest->upstream_rows },
		.known_rows = { table_watch_version(
					cluster->options.operator_rows),
				table_watch_version(
					cluster->options.upstream_rows) },
		.heard_s = cluster->row_versions_heard_s,
		.told_s = { cluster->told_s[COPIED_OPERATOR_ROWS],
			    cluster->told_s[COPIED_UPSTREAM_ROWS] },
		.leader_heard_s = cluster->last_heartbeat_s,
	};

	watch_status_update(cluster->options.status, &news);
}

/* Returns an age as it is sent: in milliseconds, plus 1; 0: unknown. */
static uint32_t sent_age_ms(const struct cluster *cluster,
			    enum copied_table table)
{
	double age_s =
		watch_status_answer_age_s(cluster->options.status, table);

	return age_s < 0 ? 0 : (uint32_t)MIN(age_s * MS_PER_S, AGE_MAX_MS) + 1;
}

void cluster_fill_progress(const struct cluster *cluster, Progress *progress)
{
	progress->operator_rows =
		table_watch_row_version(cluster->options.operator_rows);
	progress->upstream_rows =
		table_watch_row_version(cluster->options.upstream_rows);
	progress->operator_age_ms = sent_age_ms(cluster, COPIED_OPERATOR_ROWS);
	progress->upstream_age_ms = sent_age_ms(cluster, COPIED_UPSTREAM_ROWS);
}

void cluster_note_published(const struct cluster *cluster)
{
	event_log_write(
		cluster->options.log, "info", "keys",
		"event=published map=%" PRIu64 " lease=%" PRIu64
		" lease_left_ms=%.0f hold_ms=%.0f",
		key_map_shown_version(cluster->map_base + cluster->map_number),
		store_version_own(lease_version(cluster->lease)),
		lease_left_s(cluster->lease) * MS_PER_S,
		cluster->hold_s * MS_PER_S);
}

void cluster_note_heartbeat(struct cluster *cluster, const LeaderBeat *beat)
{
	const char *before = cluster->followed;

	if (before && !strcmp(before, beat->vm))
		return;
	cluster->followed = g_intern_string(beat->vm);
	event_log_write(
		cluster->options.log, "info", "cluster",
		"event=follows leader=%.64s before=%s lease=%" PRIu64
		" heartbeat_ms=%.0f map=%" PRIu64,
		beat->vm, before ? before : "-", store_version_own(beat->lease),
		(cluster_now(cluster) - cluster->last_heartbeat_s) * MS_PER_S,
		key_map_shown_version(cluster->newest_map_version));
}

bool cluster_is_outdated(struct cluster *cluster, uint64_t lease,
			 const char *vm)
{
	double now = cluster_now(cluster);

	if (lease >= lease_version(cluster->lease))
		return false;
	counter_add(cluster->ignored, 1);
	/* The present leader's own may have been overtaken on their way. */
	if (!vm || (cluster->followed && !strcmp(vm, cluster->followed)) ||
	    now < cluster->ignored_logged_s + IGNORED_LINE_S)
		return true;
	cluster->ignored_logged_s = now;
	event_log_write(cluster->options.log, "warning", "cluster",
			"event=ignored_heartbeat vm=%.64s lease=%" PRIu64
			" known=%" PRIu64 " follows=%s",
			vm, store_version_own(lease),
			store_version_own(lease_version(cluster->lease)),
			cluster->followed ? cluster->followed : "-");
	return true;
}
