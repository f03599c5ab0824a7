#include "entry/status_metrics.h"

#define MS_PER_S 1000.0

/* The metrics of one table. */
struct table_metrics {
	struct counter *row;
	struct counter *newest_row;
	struct counter *age;
	struct counter *unreachable;
	struct counter *snapshots;
	struct counter *catch_ups;
	struct counter *gaps;
	struct counter *given_up;
	struct counter *older_rows;
	struct counter *kept_rows;
	struct counter *restored_rows;
};

struct status_metrics {
	struct status_metrics_options options;
	/* When the metrics were created, in seconds. */
	double created_s;
	struct table_metrics tables[COPIED_TABLES];
	struct counter *sources[WATCH_SOURCES];
	struct counter *config;
	struct counter *config_row;
	struct counter *upstreams;
	struct counter *leader_age;
	struct counter *sharing_vms;
};

static void create_table(struct metrics *m, const char *name,
			 struct table_metrics *table)
{
	char *labels = g_strdup_printf("table=\"%s\"", name);

	table->row = metrics_gauge(m, "auburn_table_row", labels,
				   "Newest row version that this VM knows.");
	table->newest_row =
		metrics_gauge(m, "auburn_table_newest_row", labels,
			      "Newest row version that any VM knows.");
	table->age = metrics_gauge(
		m, "auburn_table_age_ms", labels,
		"Time since the table was last known to be the newest, or "
		"since the start.");
	table->unreachable =
		metrics_gauge(m, "auburn_store_unreachable", labels,
			      "1 while the store doesn't answer.");
	table->snapshots = metrics_counter(m, "auburn_table_reads_total",
					   labels, "Reads of the whole table.");
	table->catch_ups =
		metrics_counter(m, "auburn_table_catch_ups_total", labels,
				"Calls for changes that were not relayed.");
	table->gaps = metrics_counter(
		m, "auburn_table_gaps_total", labels,
		"Relayed changes that did not follow those known.");
	table->given_up = metrics_counter(
		m, "auburn_table_calls_given_up_total", labels,
		"Calls that were taken for lost before they timed out.");
	table->older_rows = metrics_counter(
		m, "auburn_table_older_rows_total", labels,
		"Rows that were ignored, because a newer one is known.");
	table->kept_rows =
		metrics_counter(m, "auburn_table_kept_rows_total", labels,
				"Rows that were kept though the store, back "
				"from an older copy, had lost them.");
	table->restored_rows = metrics_counter(
		m, "auburn_table_restored_rows_total", labels,
		"Rows of an older copy of the store that were ignored.");
	g_free(labels);
}

struct status_metrics *
status_metrics_create(const struct status_metrics_options *options)
{
	struct status_metrics *metrics = g_new0(struct status_metrics, 1);
	struct metrics *m = options->metrics;
	int i;

	metrics->options = *options;
	metrics->created_s = loop_now(options->loop);
	create_table(m, "operators", &metrics->tables[COPIED_OPERATOR_ROWS]);
	create_table(m, "upstreams", &metrics->tables[COPIED_UPSTREAM_ROWS]);
	for (i = 0; i < WATCH_SOURCES; i++) {
		char *labels =
			g_strdup_printf("source=\"%s\"", watch_source_name(i));

		metrics->sources[i] = metrics_gauge(
			m, "auburn_relies_on", labels,
			"1 for who tells this VM of changes of the tables.");
		g_free(labels);
	}
	metrics->config = metrics_gauge(m, "auburn_config_version", "",
					"Version of the configuration in "
					"force; 0: none.");
	metrics->config_row = metrics_gauge(
		m, "auburn_config_row", "",
		"Row version of the configuration in force; 0: none.");
	metrics->upstreams = metrics_gauge(m, "auburn_upstreams", "",
					   "Upstreams that this VM knows.");
	metrics->sharing_vms = metrics_gauge(
		m, "auburn_sharing_vms", "",
		"VMs among which this VM divides what all may do together; an "
		"assumed number until it hears a leader.");
	metrics->leader_age =
		metrics_gauge(m, "auburn_heartbeat_age_ms", "",
			      "Time since the leader's last heartbeat.");
	return metrics;
}

void status_metrics_destroy(struct status_metrics *metrics)
{
	g_free(metrics);
}

static void update_table(struct status_metrics *metrics,
			 enum copied_table table)
{
	const struct watch_news *news =
		watch_status_news(metrics->options.status);
	const struct table_watch *watch = metrics->options.watches[table];
	const struct table_watch_counts *counts = table_watch_counts(watch);
	struct table_metrics *to = &metrics->tables[table];
	double age_s = watch_status_age_s(metrics->options.status, table);

	if (age_s < 0)
		age_s = loop_now(metrics->options.loop) - metrics->created_s;
	counter_set(to->row, store_version_own(table_watch_row_version(watch)));
	counter_set(to->newest_row,
		    store_version_own(news->newest_rows[table]));
	counter_set(to->age, (uint64_t)(age_s * MS_PER_S));
	counter_set(to->unreachable, table_watch_unreachable(watch));
	counter_set(to->snapshots, counts->snapshots);
	counter_set(to->catch_ups, counts->catch_ups);
	counter_set(to->gaps, counts->gaps);
	counter_set(to->given_up, counts->given_up);
	counter_set(to->older_rows, counts->older_rows);
	counter_set(to->kept_rows, counts->kept_rows);
	counter_set(to->restored_rows, counts->restored_rows);
}

static void count_upstream(struct upstream *upstream, void *ctx)
{
	(void)upstream;
	++*(unsigned int *)ctx;
}

/* Sets the gauges of the owners of one service. */
static void update_service(struct service *service, void *ctx)
{
	struct status_metrics *metrics = ctx;
	struct metrics *m = metrics->options.metrics;
	double now = loop_now(metrics->options.loop);
	char *name, *labels;

	if (!service->config.keyed)
		return;
	name = metrics_escape(service->name);
	labels = g_strdup_printf("service=\"%s\"", name);
	counter_set(metrics_gauge(m, "auburn_key_map_version", labels,
				  "Version of the owners in use."),
		    key_map_shown_version(service->keys->version));
	if (service->keys_updated_s)
		counter_set(
			metrics_gauge(m, "auburn_key_map_age_ms", labels,
				      "Time since owners that the leader "
				      "sent were applied."),
			(uint64_t)((now - service->keys_updated_s) * MS_PER_S));
	g_free(labels);
	g_free(name);
}

void status_metrics_update(struct status_metrics *metrics)
{
	const struct status_metrics_options *options = &metrics->options;
	const struct config *config = roster_config(options->roster);
	const struct watch_news *news = watch_status_news(options->status);
	unsigned int upstreams = 0;
	int i;

	update_table(metrics, COPIED_OPERATOR_ROWS);
	update_table(metrics, COPIED_UPSTREAM_ROWS);
	for (i = 0; i < WATCH_SOURCES; i++)
		counter_set(metrics->sources[i],
			    news->source == (enum watch_source)i);
	roster_each_upstream(options->roster, count_upstream, &upstreams);
	counter_set(metrics->config, config ? config->version : 0);
	counter_set(
		metrics->config_row,
		store_version_own(watch_status_config_row(options->status)));
	counter_set(metrics->upstreams, upstreams);
	counter_set(metrics->sharing_vms, roster_vm_count(options->roster));
	counter_set(metrics->leader_age,
		    (uint64_t)(watch_status_leader_age_s(options->status) *
			       MS_PER_S));
	roster_each_service(options->roster, update_service, metrics);
}
