/*
 * auburn-entry: accepts callers' requests, forwards them to upstreams, and
 * takes part in electing the leader that assigns keys to upstreams. This file
 * only connects the modules and handles start and shutdown.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/address.h"
#include "base/log.h"
#include "customers/customers.h"
#include "entry/caller_limits.h"
#include "entry/cluster.h"
#include "entry/forward.h"
#include "entry/status_metrics.h"
#include "entry/table_watch.h"
#include "entry/watch_status.h"
#include "platform/decode.h"
#include "platform/table_store.h"
#include "store/store_calls.h"

/* Period of on_tick(), in seconds. */
#define TICK_S 0.05
/* Number of ticks between checks of the time limits of connections, upstream
 * entries and crash records. */
#define SLOW_TICKS 5
/* Time, in seconds from when this VM notices that the store is reachable again
 * after it failed all VMs, for which upstreams stay in the roster although
 * their entries lapsed meanwhile. Live upstreams register again within 2 s of
 * the store's return, which this VM may notice up to 0.6 s late. */
#define LAPSE_GRACE_S 1.4
/* Part of settings->apply_s for which a call to the store waits for a change.
 * If its connection went silent, the rest is for noticing that and for asking
 * again. */
#define POLL_PART 0.5
/* Time, in seconds from the stop signal, until which every request is accepted;
 * then idle connections are closed. By then the load balancer has seen that
 * this VM is not ready. */
#define STOP_ACCEPT_S 2.6
/* Time, in seconds, at the end of settings->stop_s that is reserved for the
 * exit itself: unanswered requests are refused before. */
#define STOP_RESERVE_S 0.4
/* Part of the memory that answers may take while they are received. An answer
 * that is complete is copied for its caller. */
#define ANSWERS_MEMORY_PART 0.25
#define BYTES_PER_MB (1024.0 * 1024.0)
/* Part of that reserve, in seconds, in which the last answers are sent. */
#define STOP_FLUSH_S 0.15

/* A VM that starts reads the lease first, which names the size of the fleet,
 * and the tables after this time, in seconds, at the latest if the store
 * doesn't answer. */
#define LEASE_READ_WAIT_S 0.25

/** The daemon's modules and state. */
struct entry_daemon {
	struct loop loop;
	struct entry_settings *settings;
	const char *settings_path;
	struct event_log *log;
	struct metrics *metrics;
	const struct directory_codec *directory;
	struct table_store *table_store;
	struct store_calls *store_calls;
	struct store_era *store_era;
	struct roster *roster;
	struct links *links;
	/** Limits the answers of upstreams that are being received, and shows
	 * their size. */
	struct byte_budget answers;
	struct counter *answer_bytes;
	struct counter *answer_bytes_peak;
	/** Limits what callers make the process hold. */
	struct caller_limits caller_limits;
	/** Metric: invalid routes of the configuration in force. */
	struct counter *invalid_routes;
	struct crash_watch *crashes;
	struct customers *customers;
	struct forward *forward;
	struct cluster *cluster;
	struct table_watch *operator_rows;
	struct table_watch *upstream_rows;
	struct watch_status *status;
	struct status_metrics *status_metrics;
	struct http_server *caller_server;
	struct http_server *readiness_server;
	struct http_server *metrics_server;
	/** Calls on_tick(). */
	ev_timer tick;
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;
	/** Number of calls of on_tick(). */
	unsigned int ticks;
	/** Loop time of the stop signal; 0: not shutting down. */
	double stop_started_s;
	/** In the shutdown: http_server_close_idle() was called on
	 * caller_server. */
	bool idle_closed;
	/** Loop time at which the store last became reachable again after it
	 * had failed all VMs; 0: it never did. */
	double store_back_s;
};

static double now_of(const struct entry_daemon *entry)
{
	return loop_now(&entry->loop);
}

/* --- changes of rows in the store --- */

static void on_operator_row(void *ctx, const struct store_row *row)
{
	struct entry_daemon *entry = ctx;
	const struct directory_codec *d = entry->directory;
	struct str value = { row->value->str, row->value->len };
	GError *error = NULL;
	unsigned int invalid_routes, invalid_services, invalid_customers;
	struct config *config;
	uint64_t version;

	if (d->evacuated_zone(row->key))
		roster_set_zone_out(entry->roster, d->evacuated_zone(row->key),
				    true);
	if (!d->is_config(row->key))
		return;
	config = d->config(value, &error);
	if (!config) {
		log_error("config",
			  "ignored a new configuration, which can't be "
			  "decoded: %s",
			  error->message);
		g_clear_error(&error);
		return;
	}
	version = config->version;
	invalid_routes = config->invalid_routes;
	invalid_services = config->invalid_services;
	invalid_customers = config->invalid_customers;
	if (!roster_set_config(entry->roster, config)) {
		event_log_write(
			entry->log, "warning", "config",
			"event=ignored reason=not_newer version=%" PRIu64
			" in_force=%" PRIu64 " row=%" PRIu64,
			version, roster_config(entry->roster)->version,
			store_version_own(row->version));
		return;
	}
	http_server_set_limits(entry->caller_server,
			       &roster_config(entry->roster)->limits);
	watch_status_set_config_row(entry->status, row->version);
	counter_set(entry->invalid_routes, invalid_routes);
	event_log_write(entry->log,
			invalid_routes || invalid_services || invalid_customers
				? "warning"
				: "info",
			"config",
			"event=in_force version=%" PRIu64 " row=%" PRIu64
			" invalid_routes=%u invalid_services=%u"
			" invalid_customers=%u",
			version, store_version_own(row->version),
			invalid_routes, invalid_services, invalid_customers);
}

static void on_operator_removed(void *ctx, const char *key)
{
	struct entry_daemon *entry = ctx;
	const char *zone = entry->directory->evacuated_zone(key);

	if (zone)
		roster_set_zone_out(entry->roster, zone, false);
}

static void on_upstream_row(void *ctx, const struct store_row *row)
{
	struct entry_daemon *entry = ctx;
	struct str value = { row->value->str, row->value->len };
	struct upstream_entry read;
	GError *error = NULL;

	if (entry->directory->upstream(row->key, value, &read, &error)) {
		read.row_version = row->version;
		roster_put_upstream(entry->roster, &read);
		return;
	}
	/* The row replaced an earlier entry of this id, which is no longer
	 * valid. */
	log_warn("roster",
		 "upstream %s gets no requests, its entry in the store is "
		 "invalid: %s",
		 row->key, error->message);
	g_clear_error(&error);
	roster_remove_upstream(entry->roster, row->key, 0);
}

/* Removes an upstream whose entry disappeared: at once, or at the end of the
 * time that LAPSE_GRACE_S gives after the store was unreachable. */
static void on_upstream_removed(void *ctx, const char *key)
{
	struct entry_daemon *entry = ctx;
	double now = now_of(entry);
	double until_s =
		entry->store_back_s ? entry->store_back_s + LAPSE_GRACE_S : 0;

	if (until_s > now && roster_upstream(entry->roster, key))
		event_log_write(entry->log, "info", "roster",
				"event=lapsed upstream=%s stays_ms=%.0f", key,
				(until_s - now) * 1000);
	roster_remove_upstream(entry->roster, key, until_s);
}

static void on_rows_changed(void *ctx)
{
	struct entry_daemon *entry = ctx;

	cluster_send_row_changes(entry->cluster);
}

static void on_operator_answered(void *ctx, double asked_s)
{
	struct entry_daemon *entry = ctx;

	watch_status_answered(entry->status, COPIED_OPERATOR_ROWS, asked_s);
}

static void on_upstreams_answered(void *ctx, double asked_s)
{
	struct entry_daemon *entry = ctx;

	watch_status_answered(entry->status, COPIED_UPSTREAM_ROWS, asked_s);
}

static void on_loaded(void *ctx)
{
	struct entry_daemon *entry = ctx;

	forward_dispatch_soon(entry->forward);
}

static void on_reachability_changed(void *ctx, const char *table,
				    bool unreachable, double call_s)
{
	struct entry_daemon *entry = ctx;

	event_log_write(
		entry->log, unreachable ? "warning" : "info", "store",
		"event=%s table=%s call_ms=%.0f role=%s source=%s",
		unreachable ? "contact_lost" : "contact_regained", table,
		call_s * 1000, watch_status_news(entry->status)->role,
		watch_source_name(watch_status_news(entry->status)->source));
	/* A store that served other VMs took the entries of upstreams too. */
	if (!unreachable && table_watch_was_quiet(entry->upstream_rows))
		entry->store_back_s = now_of(entry);
}

static const struct table_watch_ops operator_ops = {
	.catch_up_by_snapshot = true,
	.row = on_operator_row,
	.removed = on_operator_removed,
	.changed = on_rows_changed,
	.answered = on_operator_answered,
	.loaded = on_loaded,
	.reachability_changed = on_reachability_changed,
};

static const struct table_watch_ops upstream_ops = {
	.row = on_upstream_row,
	.removed = on_upstream_removed,
	.changed = on_rows_changed,
	.answered = on_upstreams_answered,
	.loaded = on_loaded,
	.reachability_changed = on_reachability_changed,
};

/* --- callers, readiness, metrics --- */

static void on_caller_request(void *ctx, struct http_request *request)
{
	struct entry_daemon *entry = ctx;

	forward_request(entry->forward, request);
}

static void on_caller_gone(void *ctx, struct http_request *request)
{
	struct entry_daemon *entry = ctx;

	forward_caller_gone(entry->forward, request);
}

static const struct http_server_ops caller_ops = {
	.request = on_caller_request,
	.gone = on_caller_gone,
};

/* Whether callers may send requests to this VM, for the readiness probe. */
static bool is_ready(const struct entry_daemon *entry)
{
	return !entry->stop_started_s && roster_config(entry->roster) &&
	       table_watch_loaded(entry->upstream_rows);
}

static void on_ready_request(void *ctx, struct http_request *request)
{
	struct http_answer answer = {
		.status = is_ready(ctx) ? 200 : 503,
	};

	http_request_answer(request, &answer);
}

static void on_metrics_request(void *ctx, struct http_request *request)
{
	struct entry_daemon *entry = ctx;
	char *text;
	struct http_answer answer = { .status = 200 };

	counter_set(entry->answer_bytes, entry->answers.used);
	counter_set(entry->answer_bytes_peak, entry->answers.peak);
	caller_limits_update_metrics(&entry->caller_limits,
				     entry->caller_server);
	status_metrics_update(entry->status_metrics);
	cluster_update_metrics(entry->cluster);
	text = metrics_render(entry->metrics);
	answer.body = str_from(text);
	http_request_answer(request, &answer);
	g_free(text);
}

/* Requests for readiness and metrics are answered at once, so there is nothing
 * to drop when such a caller closes its connection. */
static void on_gone(void *ctx, struct http_request *request)
{
	(void)ctx;
	(void)request;
}

static const struct http_server_ops ready_ops = {
	.request = on_ready_request,
	.gone = on_gone,
};

static const struct http_server_ops metrics_ops = {
	.request = on_metrics_request,
	.gone = on_gone,
};

/* --- calls between modules --- */

static void close_idle(void *ctx, struct upstream *upstream)
{
	struct entry_daemon *entry = ctx;

	links_close_idle(entry->links, upstream);
}

static void roster_changed(void *ctx)
{
	struct entry_daemon *entry = ctx;

	if (roster_config(entry->roster))
		customers_set_config(entry->customers,
				     roster_config(entry->roster));
	if (entry->forward)
		forward_dispatch_soon(entry->forward);
}

static void on_upstream_refused(void *ctx, const struct upstream *upstream)
{
	struct entry_daemon *entry = ctx;

	crash_watch_refused(entry->crashes, upstream->entry.id);
}

static const struct links_ops links_ops = {
	.refused = on_upstream_refused,
};

static bool close_idle_upstream(void *ctx)
{
	return links_close_longest_idle(ctx);
}

static const struct descriptors_ops descriptors_ops = {
	.close_idle_upstream = close_idle_upstream,
};

static const struct roster_ops roster_ops = {
	.close_idle = close_idle,
	.changed = roster_changed,
};

static void on_local_crash(void *ctx, const struct crash *crash)
{
	struct entry_daemon *entry = ctx;

	crash_exchange_add_crash(cluster_crash_exchange(entry->cluster), crash);
}

static void on_cleared_request(void *ctx, uint64_t request)
{
	struct entry_daemon *entry = ctx;

	crash_exchange_add_cleared(cluster_crash_exchange(entry->cluster),
				   request);
}

static void on_refused_request(void *ctx, uint64_t request)
{
	struct entry_daemon *entry = ctx;

	crash_exchange_add_refused(cluster_crash_exchange(entry->cluster),
				   request);
}

static void on_said_leaving(void *ctx)
{
	struct entry_daemon *entry = ctx;

	cluster_report_soon(entry->cluster);
}

static bool roster_loaded(void *ctx)
{
	struct entry_daemon *entry = ctx;

	return roster_config(entry->roster) &&
	       table_watch_loaded(entry->upstream_rows);
}

/* --- start and shutdown --- */

/* Returns the seconds from the stop signal until unanswered requests are
 * refused. */
static double refuse_after_s(const struct entry_daemon *entry)
{
	return entry->settings->stop_s - STOP_RESERVE_S;
}

/* Does what is due in the graceful shutdown; ends the event loop when all
 * callers' connections are closed or the time is up. */
static void tick_stop(struct entry_daemon *entry)
{
	double since = now_of(entry) - entry->stop_started_s;

	if (!entry->idle_closed && since > STOP_ACCEPT_S) {
		entry->idle_closed = true;
		http_server_close_idle(entry->caller_server);
	}
	if (since > refuse_after_s(entry))
		forward_refuse_all(entry->forward);
	if ((entry->idle_closed &&
	     !http_server_requests(entry->caller_server) &&
	     !http_server_connections(entry->caller_server)) ||
	    since > refuse_after_s(entry) + STOP_FLUSH_S)
		ev_break(entry->loop.ev, EVBREAK_ALL);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct entry_daemon *entry = timer->data;

	(void)loop;
	(void)events;
	cluster_tick(entry->cluster);
	event_log_flush(entry->log);
	if (entry->stop_started_s)
		tick_stop(entry);
	if (++entry->ticks % SLOW_TICKS)
		return;
	roster_tick(entry->roster);
	forward_tick(entry->forward);
	crash_watch_tick(entry->crashes);
	links_tick(entry->links);
	caller_limits_tick(&entry->caller_limits);
	http_server_tick(entry->caller_server);
	http_server_tick(entry->readiness_server);
	http_server_tick(entry->metrics_server);
}

/* SIGTERM, SIGINT: begins the graceful shutdown. */
static void on_terminate(struct ev_loop *loop, ev_signal *signal, int events)
{
	struct entry_daemon *entry = signal->data;

	(void)loop;
	(void)events;
	if (entry->stop_started_s)
		return;
	event_log_write(entry->log, "info", "entry",
			"event=stopping requests=%u connections=%u",
			http_server_requests(entry->caller_server),
			http_server_connections(entry->caller_server));
	entry->stop_started_s = now_of(entry);
	http_server_drain(entry->caller_server);
	forward_begin_shutdown(entry->forward,
			       entry->stop_started_s + STOP_ACCEPT_S,
			       entry->stop_started_s + refuse_after_s(entry));
	cluster_stop(entry->cluster);
}

/* SIGHUP: checks the settings file and logs the result. No setting can change
 * while the process runs. */
static void on_reload(struct ev_loop *loop, ev_signal *signal, int events)
{
	struct entry_daemon *entry = signal->data;
	GError *error = NULL;
	struct entry_settings *settings =
		entry_settings_read(entry->settings_path, &error);

	(void)loop;
	(void)events;
	if (!settings) {
		event_log_write(entry->log, "error", "entry",
				"event=reload_refused error=\"%s\"",
				error->message);
		g_clear_error(&error);
		return;
	}
	event_log_write(entry->log, "info", "entry",
			"event=reloaded settings=%s", entry->settings_path);
	entry_settings_free(settings);
}

static bool open_servers(struct entry_daemon *entry, GError **error)
{
	const struct entry_settings *s = entry->settings;

	entry->caller_server = http_server_create(&entry->loop, &s->callers,
						  &caller_ops, entry, error);
	if (!entry->caller_server)
		return false;
	http_server_set_budget(entry->caller_server,
			       &entry->caller_limits.budget);
	entry->readiness_server = http_server_create(&entry->loop, &s->ready,
						     &ready_ops, entry, error);
	if (!entry->readiness_server)
		return false;
	http_server_set_budget(entry->readiness_server,
			       &entry->caller_limits.readiness);
	entry->metrics_server = http_server_create(&entry->loop, &s->metrics,
						   &metrics_ops, entry, error);
	if (!entry->metrics_server)
		return false;
	http_server_set_budget(entry->metrics_server,
			       &entry->caller_limits.operators);
	return true;
}

static bool open_cluster(struct entry_daemon *entry, const struct store *store,
			 GError **error)
{
	struct cluster_options options = {
		.loop = &entry->loop,
		.settings = entry->settings,
		.roster = entry->roster,
		.links = entry->links,
		.protocol = platform_protocol(),
		.store = *store,
		.log = entry->log,
		.metrics = entry->metrics,
		.operator_rows = entry->operator_rows,
		.upstream_rows = entry->upstream_rows,
		.roster_loaded = roster_loaded,
		.routing_changed = roster_changed,
		.crashes = entry->crashes,
		.customers = entry->customers,
		.status = entry->status,
		.ctx = entry,
	};

	entry->cluster = cluster_create(&options, error);
	return entry->cluster != NULL;
}

static void create_answer_budget(struct entry_daemon *entry)
{
	entry->answers.limit = (size_t)(entry->settings->memory_mb *
					BYTES_PER_MB * ANSWERS_MEMORY_PART);
	entry->answer_bytes =
		metrics_gauge(entry->metrics, "auburn_answer_bytes", "",
			      "Bytes of answers that are being received, and "
			      "of error answers that are kept during a retry.");
	entry->answer_bytes_peak =
		metrics_gauge(entry->metrics, "auburn_answer_bytes_peak", "",
			      "Highest value of auburn_answer_bytes.");
}

static void create_customers(struct entry_daemon *entry)
{
	const struct quota_bounds bounds = {
		.window_s = entry->settings->quota_window_s,
		.overshoot = entry->settings->quota_overshoot,
		.slack = entry->settings->quota_slack,
	};

	entry->customers =
		customers_create(entry->metrics, entry->settings->apply_s,
				 &bounds, now_of(entry));
	config_contact_tick(customers_contact(entry->customers), now_of(entry));
}

static void create_status(struct entry_daemon *entry)
{
	struct watch_status_options options = {
		.loop = &entry->loop,
		.log = entry->log,
		.metrics = entry->metrics,
		.operator_contact = customers_contact(entry->customers),
	};

	entry->status = watch_status_create(&options);
}

static void create_status_metrics(struct entry_daemon *entry)
{
	struct status_metrics_options options = {
		.loop = &entry->loop,
		.metrics = entry->metrics,
		.roster = entry->roster,
		.status = entry->status,
		.watches = { entry->operator_rows, entry->upstream_rows },
	};

	entry->status_metrics = status_metrics_create(&options);
	table_watch_set_log(entry->operator_rows, entry->log);
	table_watch_set_log(entry->upstream_rows, entry->log);
}

/* Creates all modules and starts them; entry_close() frees them, also after a
 * failure. */
static bool entry_open(struct entry_daemon *entry, GError **error)
{
	struct crash_watch_options crashes = { 0 };
	struct forward_options forward = { 0 };
	struct store store;
	double copy_wait_s;

	entry->metrics = metrics_create();
	entry->invalid_routes =
		metrics_gauge(entry->metrics, "auburn_invalid_routes", "",
			      "Routes of the configuration in force with an "
			      "invalid value.");
	caller_limits_init(&entry->caller_limits, entry->settings, entry->log,
			   entry->metrics);
	entry->loop.descriptors = entry->caller_limits.descriptors;
	entry->directory = platform_directory();
	entry->table_store =
		table_store_create(&entry->loop, &entry->settings->store);
	entry->store_era =
		store_era_create(&entry->loop, entry->log, entry->metrics);
	table_store_set_era(entry->table_store, entry->store_era);
	store = table_store_interface(entry->table_store);
	entry->store_calls = store_calls_create(entry->metrics);
	store.calls = entry->store_calls;
	create_customers(entry);
	create_status(entry);
	entry->roster = roster_create(&entry->loop, entry->settings,
				      &roster_ops, entry);
	create_answer_budget(entry);
	entry->links = links_create(&entry->loop, entry->roster,
				    &entry->answers, &links_ops, entry);
	descriptors_set_ops(entry->loop.descriptors, &descriptors_ops,
			    entry->links);
	crashes.loop = &entry->loop;
	crashes.log = entry->log;
	crashes.metrics = entry->metrics;
	crashes.blamed = on_local_crash;
	crashes.cleared = on_cleared_request;
	crashes.refused = on_refused_request;
	crashes.ctx = entry;
	entry->crashes = crash_watch_create(&crashes);
	forward.loop = &entry->loop;
	forward.settings = entry->settings;
	forward.roster = entry->roster;
	forward.links = entry->links;
	forward.protocol = platform_protocol();
	forward.log = entry->log;
	forward.metrics = entry->metrics;
	forward.answers = &entry->answers;
	forward.crashes = entry->crashes;
	forward.customers = entry->customers;
	forward.status = entry->status;
	forward.said_leaving = on_said_leaving;
	forward.ctx = entry;
	entry->forward = forward_create(&forward);
	entry->operator_rows = table_watch_create(
		&entry->loop, &store, entry->directory->operator_table,
		entry->settings->apply_s * POLL_PART, &operator_ops, entry);
	entry->upstream_rows = table_watch_create(
		&entry->loop, &store, entry->directory->upstream_table,
		entry->settings->apply_s * POLL_PART, &upstream_ops, entry);
	create_status_metrics(entry);
	if (!open_servers(entry, error) || !open_cluster(entry, &store, error))
		return false;
	copy_wait_s = MAX(entry->settings->copy_wait_s, LEASE_READ_WAIT_S);
	table_watch_start(entry->operator_rows, copy_wait_s);
	table_watch_start(entry->upstream_rows, copy_wait_s);
	/* Reads the lease at once. */
	cluster_tick(entry->cluster);
	return true;
}

static void entry_close(struct entry_daemon *entry)
{
	http_server_destroy(entry->caller_server);
	http_server_destroy(entry->readiness_server);
	http_server_destroy(entry->metrics_server);
	table_watch_destroy(entry->operator_rows);
	table_watch_destroy(entry->upstream_rows);
	table_store_destroy(entry->table_store);
	cluster_destroy(entry->cluster);
	store_calls_destroy(entry->store_calls);
	store_era_destroy(entry->store_era);
	links_destroy(entry->links);
	forward_destroy(entry->forward);
	crash_watch_destroy(entry->crashes);
	roster_destroy(entry->roster);
	status_metrics_destroy(entry->status_metrics);
	watch_status_destroy(entry->status);
	customers_destroy(entry->customers);
	caller_limits_clear(&entry->caller_limits);
	metrics_destroy(entry->metrics);
}

static void watch_signals(struct entry_daemon *entry)
{
	struct ev_loop *ev = entry->loop.ev;

	ev_signal_init(&entry->terminate, on_terminate, SIGTERM);
	ev_signal_init(&entry->interrupt, on_terminate, SIGINT);
	ev_signal_init(&entry->reload, on_reload, SIGHUP);
	entry->terminate.data = entry;
	entry->interrupt.data = entry;
	entry->reload.data = entry;
	ev_signal_start(ev, &entry->terminate);
	ev_signal_start(ev, &entry->interrupt);
	ev_signal_start(ev, &entry->reload);
	ev_timer_init(&entry->tick, on_tick, TICK_S, TICK_S);
	entry->tick.data = entry;
	ev_timer_start(ev, &entry->tick);
}

/* Runs the daemon until it has shut down; returns its exit status. */
static int run(struct entry_daemon *entry)
{
	struct event_log_options log = {
		.fd = STDOUT_FILENO,
		.lines_per_s = (unsigned int)entry->settings->log_lines,
		.bulk_part = "request",
	};
	GError *error = NULL;
	int status = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	entry->log = event_log_create(&log);
	event_log_install_glib_writer(entry->log);
	entry->loop.ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	entry->loop.clock = clock_system();
	if (entry_open(entry, &error)) {
		watch_signals(entry);
		event_log_write(entry->log, "info", "entry",
				"event=started vm=%s zone=%s version=%s",
				entry->settings->vm, entry->settings->zone,
				AUBURN_VERSION);
		ev_run(entry->loop.ev, 0);
		event_log_write(entry->log, "info", "entry",
				"event=stopped requests=%u",
				http_server_requests(entry->caller_server));
	} else {
		event_log_write(entry->log, "error", "entry",
				"event=not_started error=\"%s\"",
				error->message);
		g_clear_error(&error);
		status = EXIT_FAILURE;
	}
	entry_close(entry);
	event_log_destroy(entry->log);
	return status;
}

/* --- command line --- */

struct arguments {
	/** Path of the settings file, or NULL. */
	const char *settings;
	/** Only check the settings. */
	bool check;
	/** Only print the list of settings. */
	bool describe;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "the settings file", 0 },
	{ "check-settings", 'c', NULL, 0, "check the settings and exit", 0 },
	{ "list-settings", 'l', NULL, 0, "list the settings and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings = arg;
		return 0;
	case 'c':
		arguments->check = true;
		return 0;
	case 'l':
		arguments->describe = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Accepts callers' requests and forwards them to upstreams.",
};

const char *argp_program_version = "auburn-entry " AUBURN_VERSION;

int main(int argc, char **argv)
{
	struct arguments arguments = {
		.settings = g_getenv("AUBURN_SETTINGS"),
	};
	struct entry_daemon entry = { 0 };
	GError *error = NULL;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.describe) {
		GString *text = g_string_new(NULL);

		entry_settings_describe(text);
		fputs(text->str, stdout);
		g_string_free(text, TRUE);
		return EXIT_SUCCESS;
	}
	if (!arguments.settings) {
		fputs("auburn-entry: --settings FILE is missing\n", stderr);
		return EXIT_FAILURE;
	}
	entry.settings = entry_settings_read(arguments.settings, &error);
	if (!entry.settings) {
		fprintf(stderr, "auburn-entry: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	entry.settings_path = arguments.settings;
	status = arguments.check ? EXIT_SUCCESS : run(&entry);
	entry_settings_free(entry.settings);
	return status;
}
