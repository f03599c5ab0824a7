#include "base/hash.h"
#include "router/dispatch.h"
#include "router/dispatch_internal.h"
#include "upstream/budget.h"

/* Most share requests collected for one service in one call. */
#define SHARE_REQUESTS_MAX 64
/* Candidates for hot keys that are counted for each service. */
#define HOT_KEYS_TRACKED 256
/*
 * Prefix of the id under which a share for a service's trial is requested,
 * followed by the service's name. The share allows one trial in all routers.
 */
#define TRIAL_PREFIX "trial/"

static guint hash_name(gconstpointer key)
{
	return (guint)hash_key(*(const struct str *)key);
}

static gboolean same_name(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

static void free_lane(void *data)
{
	struct lane *lane = data;

	g_free(lane->owner);
	g_free(lane);
}

static void free_service(void *data)
{
	struct service_state *service = data;

	pool_destroy(service->pool);
	retry_budget_destroy(service->shared.budget);
	hot_keys_destroy(service->hot);
	g_array_free(service->slices, TRUE);
	g_hash_table_destroy(service->lanes);
	if (service->trial_lane)
		free_lane(service->trial_lane);
	g_free(service->shared.name);
	g_free(service->profile);
	g_free(service);
}

struct dispatch *dispatch_create(const struct dispatch_options *options)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->options = *options;
	pthread_mutex_init(&dispatch->lock, NULL);
	dispatch->admission = admission_create(options->capacity);
	dispatch->classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dispatch->services = g_hash_table_new_full(hash_name, same_name, g_free,
						   free_service);
	dispatch->poison = poison_create();
	dispatch->reports =
		g_array_new(FALSE, FALSE, sizeof(struct queued_report));
	dispatch->seed = g_random_int();
	return dispatch;
}

void dispatch_destroy(struct dispatch *dispatch)
{
	if (!dispatch)
		return;
	g_hash_table_destroy(dispatch->services);
	g_hash_table_destroy(dispatch->classes);
	admission_destroy(dispatch->admission);
	poison_destroy(dispatch->poison);
	g_array_free(dispatch->reports, TRUE);
	pthread_mutex_destroy(&dispatch->lock);
	g_free(dispatch);
}

struct lane *dispatch_find_lane(struct service_state *service,
				const char *owner, bool trial)
{
	struct lane *lane = trial ? service->trial_lane
				  : g_hash_table_lookup(service->lanes, owner);

	/* A service has one trial lane. It waits for the upstream that the
	 * ticket queued last needs. */
	if (lane && trial && strcmp(lane->owner, owner) != 0) {
		g_free(lane->owner);
		lane->owner = g_strdup(owner);
	}
	if (lane)
		return lane;
	lane = g_new0(struct lane, 1);
	lane->service = service;
	lane->owner = g_strdup(owner);
	lane->trial = trial;
	lane->index = admission_add_lane(service->dispatch->admission,
					 service->class, lane);
	if (trial)
		service->trial_lane = lane;
	else
		g_hash_table_insert(service->lanes, lane->owner, lane);
	return lane;
}

/*
 * Returns the index of a profile's admission class, after adding the class or
 * updating its priority, weight and queue limit.
 */
static uint32_t find_class(struct dispatch *dispatch,
			   const struct profile *profile)
{
	struct admission_class class = {
		.priority = profile->priority,
		.weight = profile->weight,
		.queue_limit = profile->queue_limit,
	};
	void *known = g_hash_table_lookup(dispatch->classes, profile->name);
	uint32_t index;

	if (known) {
		index = GPOINTER_TO_UINT(known) - 1;
		admission_set_class(dispatch->admission, index, &class);
		return index;
	}
	index = admission_add_class(dispatch->admission, &class);
	g_hash_table_insert(dispatch->classes, g_strdup(profile->name),
			    GUINT_TO_POINTER(index + 1));
	return index;
}

/* Looks up the metrics that carry the service's tenant and profile as labels.
 */
static void set_metrics(struct service_state *service,
			const struct service *config)
{
	struct metrics *metrics = service->dispatch->options.metrics;
	struct dispatch_service *shared = &service->shared;
	char *labels = g_strdup_printf(
		"tenant=\"%s\",service=\"%s\",class=\"%s\"", config->tenant,
		config->name, config->profile->name);
	int kind;

	for (kind = 0; kind <= VERDICT_RAN; kind++) {
		char *all = g_strdup_printf("%s,verdict=\"%s\"", labels,
					    verdict_kind_name(kind));

		shared->outcomes[kind] =
			metrics_counter(metrics, "auburn_requests_total", all,
					"Requests by what is known of them.");
		g_free(all);
	}
	shared->retries = metrics_counter(
		metrics, "auburn_retries_total", labels,
		"Copies after the first, without backup requests.");
	shared->backups = metrics_counter(metrics, "auburn_backups_total",
					  labels, "Backup requests sent.");
	shared->head_time = metrics_histogram(
		metrics, "auburn_first_byte_seconds", labels,
		"From a request's arrival to the first byte of its answer.");
	shared->whole_time = metrics_histogram(
		metrics, "auburn_request_seconds", labels,
		"From a request's arrival to the end of its answer.");
	shared->queue_time =
		metrics_histogram(metrics, "auburn_queue_seconds", labels,
				  "Time in the router's queue.");
	g_free(labels);
}

/* Adds a service, without a profile or upstreams. */
static struct service_state *new_service(struct dispatch *dispatch,
					 const struct service *config)
{
	struct service_state *service = g_new0(struct service_state, 1);
	struct pool_options options = {
		.zone = str_from(dispatch->options.zone),
		.router = str_from(dispatch->options.daemon),
		.slots = dispatch->options.slots,
		.keyed = config->keyed,
		.seed = dispatch->seed++,
	};
	struct str *key = g_new(struct str, 1);

	service->dispatch = dispatch;
	service->keyed = config->keyed;
	service->shared.name = g_strdup(config->name);
	service->shared.budget = retry_budget_create();
	service->pool = pool_create(&options);
	service->hot = hot_keys_create(HOT_KEYS_TRACKED);
	service->slices = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	service->lanes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lane);
	*key = str_from(service->shared.name);
	g_hash_table_insert(dispatch->services, key, service);
	return service;
}

/*
 * Applies a service's profile. A lane cannot change its admission class, so a
 * service that gets another profile also gets new lanes.
 */
static void set_profile(struct service_state *service,
			const struct service *config)
{
	service->class = find_class(service->dispatch, config->profile);
	if (!g_strcmp0(service->profile, config->profile->name))
		return;
	g_free(service->profile);
	service->profile = g_strdup(config->profile->name);
	/* The old lanes are not freed: tickets may still point to them. */
	g_hash_table_steal_all(service->lanes);
	service->trial_lane = NULL;
	set_metrics(service, config);
}

/* Makes the VMs of a view's service the members of the upstream pool. */
static void update_pool(struct service_state *service,
			const struct settings *settings,
			const struct view_service *view)
{
	struct pool_member *members =
		g_new0(struct pool_member, view->vms->len + 1);
	guint i;

	for (i = 0; i < view->vms->len; i++) {
		const struct vm *vm = g_ptr_array_index(view->vms, i);

		members[i].id = str_from(vm->id);
		members[i].zone = str_from(vm->zone);
		members[i].available = view_vm_accepts_work(settings, vm);
	}
	pool_update(service->pool, members, view->vms->len);
	g_free(members);
}

void dispatch_update(struct dispatch *dispatch, const struct view *view)
{
	GHashTableIter iter;
	void *name, *data;

	pthread_mutex_lock(&dispatch->lock);
	g_hash_table_iter_init(&iter, view->services);
	while (g_hash_table_iter_next(&iter, &name, &data)) {
		const struct view_service *found = data;
		struct service_state *service =
			g_hash_table_lookup(dispatch->services, name);

		if (!service)
			service = new_service(dispatch, found->service);
		set_profile(service, found->service);
		update_pool(service, view->settings, found);
	}
	dispatch_admit(dispatch, clock_now_us(dispatch->options.clock));
	pthread_mutex_unlock(&dispatch->lock);
}

/* A share request with a copy of the upstream's id, sent without the lock. */
struct queued_share_request {
	struct dispatch_share_request request;
	char upstream[DISPATCH_ID_SIZE];
};

/* Adds a share request to those that are sent after the lock is released. */
static void add_share_request(struct service_state *service,
			      struct str upstream,
			      const struct budget_request *budget, GArray *due)
{
	struct queued_share_request queued = {
		.request = { .service = service->shared.name,
			     .budget = *budget }
	};

	g_snprintf(queued.upstream, sizeof(queued.upstream), "%.*s",
		   STR_ARG(upstream));
	g_array_append_val(due, queued);
}

/*
 * Adds a request for the trial share when a trial waits or runs and the
 * interval since the last request has passed.
 */
static void add_trial_request(struct service_state *service, int64_t now_us,
			      GArray *due)
{
	struct budget_request budget = { .wanted = service->trial_wanted,
					 .in_use = service->trial_running,
					 .asked_us = now_us };
	char name[DISPATCH_ID_SIZE];

	if ((!service->trial_wanted && !service->trial_running) ||
	    now_us < service->trial_requested_us + BUDGET_REQUEST_INTERVAL_US)
		return;
	service->trial_wanted = false;
	service->trial_requested_us = now_us;
	g_snprintf(name, sizeof(name), TRIAL_PREFIX "%s", service->shared.name);
	add_share_request(service, str_from(name), &budget, due);
}

/* Adds all share requests of a service that are due. */
static void collect_share_requests(struct service_state *service,
				   int64_t now_us, GArray *due)
{
	struct pool_share_request wanted[SHARE_REQUESTS_MAX];
	size_t i, n = pool_due_share_requests(service->pool, now_us, wanted,
					      SHARE_REQUESTS_MAX);

	for (i = 0; i < n; i++)
		add_share_request(service,
				  pool_id(service->pool, wanted[i].upstream),
				  &wanted[i].ask, due);
	add_trial_request(service, now_us, due);
}

void dispatch_request_shares(struct dispatch *dispatch,
			     dispatch_share_request_fn send, void *ctx)
{
	GArray *due =
		g_array_new(FALSE, FALSE, sizeof(struct queued_share_request));
	GHashTableIter iter;
	int64_t now_us;
	void *data;
	guint i;

	pthread_mutex_lock(&dispatch->lock);
	now_us = clock_now_us(dispatch->options.clock);
	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		collect_share_requests(data, now_us, due);
	pthread_mutex_unlock(&dispatch->lock);
	for (i = 0; i < due->len; i++) {
		struct queued_share_request *queued =
			&g_array_index(due, struct queued_share_request, i);

		queued->request.upstream = str_from(queued->upstream);
		send(ctx, &queued->request);
	}
	g_array_free(due, TRUE);
}

/* Applies the share that allows a trial of the service with this name. */
static void apply_trial_share(struct dispatch *dispatch, struct str name,
			      int64_t asked_us, uint32_t count,
			      int64_t duration_us)
{
	struct service_state *service =
		g_hash_table_lookup(dispatch->services, &name);

	if (service && count)
		service->trial_until_us = asked_us + duration_us;
}

void dispatch_apply_share(struct dispatch *dispatch, struct str upstream,
			  struct str boot, int64_t asked_us, uint32_t count,
			  int64_t duration_us)
{
	GHashTableIter iter;
	void *data;

	pthread_mutex_lock(&dispatch->lock);
	if (str_has_prefix(upstream, STR(TRIAL_PREFIX))) {
		upstream.data += strlen(TRIAL_PREFIX);
		upstream.len -= strlen(TRIAL_PREFIX);
		apply_trial_share(dispatch, upstream, asked_us, count,
				  duration_us);
	} else {
		g_hash_table_iter_init(&iter, dispatch->services);
		while (g_hash_table_iter_next(&iter, NULL, &data)) {
			struct pool *pool =
				((struct service_state *)data)->pool;
			uint32_t index = pool_find(pool, upstream);

			if (index != POOL_NONE)
				pool_apply_share(pool, index, boot, asked_us,
						 count, duration_us);
		}
	}
	dispatch_admit(dispatch, clock_now_us(dispatch->options.clock));
	pthread_mutex_unlock(&dispatch->lock);
}

void dispatch_queue_report(struct dispatch *dispatch,
			   const struct poison_report *report)
{
	struct queued_report copy = { .report = *report };

	g_snprintf(copy.upstream, sizeof(copy.upstream), "%.*s",
		   STR_ARG(report->upstream));
	g_snprintf(copy.boot, sizeof(copy.boot), "%.*s", STR_ARG(report->boot));
	g_array_append_val(dispatch->reports, copy);
	/* The control thread sends the report to the assigners. */
	dispatch->options.wake_control(dispatch->options.ctx);
}

void dispatch_apply_crash_report(struct dispatch *dispatch,
				 const struct poison_report *report)
{
	pthread_mutex_lock(&dispatch->lock);
	poison_apply_report(dispatch->poison, report,
			    clock_now_us(dispatch->options.clock));
	pthread_mutex_unlock(&dispatch->lock);
}

void dispatch_report_crashes(struct dispatch *dispatch,
			     void (*send)(void *ctx,
					  const struct poison_report *report),
			     void *ctx)
{
	GArray *reports;
	guint i;

	pthread_mutex_lock(&dispatch->lock);
	reports = dispatch->reports;
	dispatch->reports =
		g_array_new(FALSE, FALSE, sizeof(struct queued_report));
	pthread_mutex_unlock(&dispatch->lock);
	for (i = 0; i < reports->len; i++) {
		struct queued_report *report =
			&g_array_index(reports, struct queued_report, i);

		report->report.upstream = str_from(report->upstream);
		report->report.boot = str_from(report->boot);
		send(ctx, &report->report);
	}
	g_array_free(reports, TRUE);
}

/* Reports the load of one service and resets its counts. */
static void report_service_load(struct service_state *service,
				void (*send)(void *ctx,
					     const struct dispatch_load *load),
				void *ctx)
{
	struct hot_key hot[DISPATCH_HOT_KEYS];
	struct dispatch_load load = {
		.service = service->shared.name,
		.requests = service->requests,
		.epoch = service->map_epoch,
		.slices = (const uint64_t *)service->slices->data,
		.slice_count = service->slices->len,
		.hot = hot,
		.hot_count = hot_keys_top(service->hot, hot, DISPATCH_HOT_KEYS),
	};

	send(ctx, &load);
	hot_keys_reset(service->hot);
	service->requests = 0;
	memset(service->slices->data, 0,
	       service->slices->len * sizeof(uint64_t));
}

void dispatch_report_load(struct dispatch *dispatch,
			  void (*send)(void *ctx,
				       const struct dispatch_load *load),
			  void *ctx)
{
	GHashTableIter iter;
	void *data;

	pthread_mutex_lock(&dispatch->lock);
	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		struct service_state *service = data;

		if (service->keyed && service->requests)
			report_service_load(service, send, ctx);
	}
	pthread_mutex_unlock(&dispatch->lock);
}

/* Appends the gauges of one upstream of a service. */
static void render_upstream(GString *out, const char *service,
			    const struct pool_upstream_status *status)
{
	const struct {
		const char *name;
		int64_t value;
	} gauges[] = {
		{ "auburn_upstream_in_flight", status->in_flight },
		{ "auburn_upstream_available", status->available },
		{ "auburn_upstream_cold", status->cold },
		{ "auburn_upstream_slow", status->slow },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(gauges); i++)
		g_string_append_printf(out,
				       "%s{service=\"%s\",upstream=\"%.*s\"} "
				       "%" G_GINT64_FORMAT "\n",
				       gauges[i].name, service,
				       STR_ARG(status->id), gauges[i].value);
}

void dispatch_render(struct dispatch *dispatch, GString *out)
{
	struct pool_upstream_status status;
	GHashTableIter iter;
	void *data;
	int64_t now_us;
	size_t i;

	pthread_mutex_lock(&dispatch->lock);
	now_us = clock_now_us(dispatch->options.clock);
	g_hash_table_iter_init(&iter, dispatch->services);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		struct service_state *service = data;

		for (i = 0; pool_status(service->pool, i, now_us, &status); i++)
			render_upstream(out, service->shared.name, &status);
	}
	pthread_mutex_unlock(&dispatch->lock);
}
