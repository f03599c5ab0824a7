#include "entry/fleet.h"

#include <string.h>

#include "base/hash.h"
#include "base/log.h"

/* VMs that send to one cold upstream. Each of them paces itself, so that all
 * together stay within the upstream's rate. */
#define COLD_SENDERS 4
/* Part of the rate and of the connections that is used: lists of live VMs
 * differ for moments. */
#define SHARE_USED 0.85
/* Assumed as long as the number of VMs is not known. */
#define VMS_UNKNOWN 16
#define CONNECTIONS_MIN 4
#define CONNECTIONS_DEFAULT 64
/* Part of the leaving time in which an owner still gets its keys' requests. */
#define LEAVING_SERVES 0.6

struct fleet {
	const struct loop *loop;
	const struct entry_settings *settings;
	const struct fleet_ops *ops;
	void *ctx;
	struct config *config;
	GHashTable *services;
	GHashTable *upstreams;
	/** Instant since when a zone is out, by name. */
	GHashTable *zones_out;
	unsigned int vms;
	/** Names of live VMs; NULL when not known. */
	GPtrArray *vm_names;
};

struct upstream *upstream_ref(struct upstream *upstream)
{
	upstream->references++;
	return upstream;
}

void upstream_unref(struct upstream *upstream)
{
	if (--upstream->references)
		return;
	upstream_entry_clear(&upstream->entry);
	g_free(upstream);
}

static void free_upstream(gpointer data)
{
	upstream_unref(data);
}

static void free_service(gpointer data)
{
	struct service *service = data;

	g_ptr_array_free(service->upstreams, TRUE);
	g_array_free(service->requested_keys, TRUE);
	key_map_destroy(service->keys);
	g_free(service->config.name);
	g_free(service->name);
	g_free(service);
}

struct fleet *fleet_create(const struct loop *loop,
			   const struct entry_settings *settings,
			   const struct fleet_ops *ops, void *ctx)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->loop = loop;
	fleet->settings = settings;
	fleet->ops = ops;
	fleet->ctx = ctx;
	fleet->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	fleet->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_upstream);
	fleet->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->vms = VMS_UNKNOWN;
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	g_hash_table_destroy(fleet->upstreams);
	g_hash_table_destroy(fleet->services);
	g_hash_table_destroy(fleet->zones_out);
	if (fleet->vm_names)
		g_ptr_array_free(fleet->vm_names, TRUE);
	config_free(fleet->config);
	g_free(fleet);
}

const struct config *fleet_config(const struct fleet *fleet)
{
	return fleet->config;
}

struct service *fleet_service(const struct fleet *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->services, name);
}

static double retry_slack(const struct fleet *fleet)
{
	return fleet->settings->retry_slack / fleet->vms * SHARE_USED;
}

static struct service *ensure_service(struct fleet *fleet, const char *name)
{
	struct service *service = fleet_service(fleet, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	service->keys = key_map_create();
	service->requested_keys = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	g_queue_init(&service->waiting);
	retry_window_init(&service->retries, fleet->settings->retry_window_s,
			  fleet->settings->retry_ratio * SHARE_USED,
			  retry_slack(fleet));
	g_hash_table_insert(fleet->services, service->name, service);
	return service;
}

static void take_service(struct fleet *fleet,
			 const struct service_config *config)
{
	struct service *service = ensure_service(fleet, config->name);

	g_free(service->config.name);
	service->config = *config;
	service->config.name = g_strdup(config->name);
	service->configured = true;
}

bool fleet_set_config(struct fleet *fleet, struct config *config)
{
	size_t i;

	if (fleet->config && config->version <= fleet->config->version) {
		config_free(config);
		return false;
	}
	config_free(fleet->config);
	fleet->config = config;
	for (i = 0; i < config->service_count; i++)
		take_service(fleet, &config->services[i]);
	fleet->ops->changed(fleet->ctx);
	return true;
}

struct upstream *fleet_upstream(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->upstreams, id);
}

static void drop_upstream(struct fleet *fleet, struct upstream *upstream)
{
	log_info("fleet", "upstream %s of %s is gone", upstream->entry.id,
		 upstream->service->name);
	upstream->gone = true;
	fleet->ops->close_idle(fleet->ctx, upstream);
	g_ptr_array_remove_fast(upstream->service->upstreams, upstream);
	g_hash_table_remove(fleet->upstreams, upstream->entry.id);
}

static void add_upstream(struct fleet *fleet, struct upstream_entry *entry)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->references = 1;
	upstream->entry = *entry;
	memset(entry, 0, sizeof(*entry));
	upstream->service = ensure_service(fleet, upstream->entry.service);
	g_queue_init(&upstream->idle);
	g_queue_init(&upstream->control_idle);
	load_init(&upstream->load, upstream->entry.slots);
	g_ptr_array_add(upstream->service->upstreams, upstream_ref(upstream));
	g_hash_table_insert(fleet->upstreams, g_strdup(upstream->entry.id),
			    upstream);
	log_info("fleet", "upstream %s of %s in %s is listed, cold for %.1f s",
		 upstream->entry.id, upstream->service->name,
		 upstream->entry.zone, upstream->entry.cold_left_s);
}

static bool same_life(const struct upstream *upstream,
		      const struct upstream_entry *entry)
{
	return upstream->entry.started_ms == entry->started_ms &&
	       !strcmp(upstream->entry.service, entry->service) &&
	       !strcmp(upstream->entry.zone, entry->zone) &&
	       !memcmp(&upstream->entry.address, &entry->address,
		       sizeof(entry->address));
}

static void take_state(const struct fleet *fleet, struct upstream *upstream,
		       const struct upstream_entry *entry)
{
	double now = loop_now(fleet->loop);

	upstream->lapse_s = 0;
	if (entry->leaving && !upstream->leaving_since_s)
		upstream->leaving_since_s = now;
	else if (!entry->leaving)
		upstream->leaving_since_s = 0;
	upstream->cold_until_s =
		entry->cold_left_s > 0 ? now + entry->cold_left_s : 0;
	upstream->entry.leaving = entry->leaving;
	upstream->entry.slots = entry->slots;
}

void fleet_put_upstream(struct fleet *fleet, struct upstream_entry *entry)
{
	struct upstream *upstream = fleet_upstream(fleet, entry->id);
	struct upstream_entry state = *entry;

	if (upstream && upstream->entry.started_ms > entry->started_ms) {
		log_warn("fleet", "an entry of %s is of an earlier life",
			 entry->id);
		upstream_entry_clear(entry);
		return;
	}
	if (upstream && !same_life(upstream, entry)) {
		drop_upstream(fleet, upstream);
		upstream = NULL;
	}
	if (!upstream) {
		char *id = g_strdup(entry->id);

		add_upstream(fleet, entry);
		upstream = fleet_upstream(fleet, id);
		g_free(id);
	}
	if (state.leaving != upstream->entry.leaving)
		log_info("fleet", "upstream %s %s", upstream->entry.id,
			 state.leaving ? "is leaving" : "stays");
	take_state(fleet, upstream, &state);
	upstream_entry_clear(entry);
	fleet->ops->changed(fleet->ctx);
}

void fleet_remove_upstream(struct fleet *fleet, const char *id, double lapse_s)
{
	struct upstream *upstream = fleet_upstream(fleet, id);

	if (!upstream)
		return;
	if (lapse_s > loop_now(fleet->loop)) {
		if (!upstream->lapse_s)
			upstream->lapse_s = lapse_s;
		return;
	}
	drop_upstream(fleet, upstream);
	fleet->ops->changed(fleet->ctx);
}

void fleet_tick(struct fleet *fleet)
{
	double now = loop_now(fleet->loop);
	GList *list = g_hash_table_get_values(fleet->upstreams);
	bool changed = false;
	GList *at;

	for (at = list; at; at = at->next) {
		struct upstream *upstream = at->data;

		if (!upstream->lapse_s || now < upstream->lapse_s)
			continue;
		drop_upstream(fleet, upstream);
		changed = true;
	}
	g_list_free(list);
	if (changed)
		fleet->ops->changed(fleet->ctx);
}

void fleet_set_zone_out(struct fleet *fleet, const char *zone, bool out)
{
	if (out == fleet_zone_is_out(fleet, zone))
		return;
	log_info("fleet", "availability zone %s is taken %s", zone,
		 out ? "out" : "back in");
	if (out) {
		double *since = g_new(double, 1);

		*since = loop_now(fleet->loop);
		g_hash_table_insert(fleet->zones_out, g_strdup(zone), since);
	} else {
		g_hash_table_remove(fleet->zones_out, zone);
	}
	fleet->ops->changed(fleet->ctx);
}

bool fleet_zone_is_out(const struct fleet *fleet, const char *zone)
{
	return g_hash_table_contains(fleet->zones_out, zone);
}

void fleet_each_service(struct fleet *fleet,
			void (*visit)(struct service *service, void *ctx),
			void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, ctx);
}

void fleet_each_upstream(struct fleet *fleet,
			 void (*visit)(struct upstream *upstream, void *ctx),
			 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, ctx);
}

static void set_slack(struct service *service, void *ctx)
{
	service->retries.slack = retry_slack(ctx);
}

void fleet_set_vms(struct fleet *fleet, unsigned int vms, const char **names)
{
	unsigned int i;

	if (fleet->vm_names)
		g_ptr_array_free(fleet->vm_names, TRUE);
	fleet->vm_names = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < vms; i++)
		g_ptr_array_add(fleet->vm_names, g_strdup(names[i]));
	fleet->vms = vms ? vms : 1;
	fleet_each_service(fleet, set_slack, fleet);
}

unsigned int fleet_vms(const struct fleet *fleet)
{
	return fleet->vms;
}

bool upstream_takes_work(const struct fleet *fleet,
			 const struct upstream *upstream)
{
	return !upstream->gone && !upstream->replaced &&
	       !upstream->leaving_since_s &&
	       !fleet_zone_is_out(fleet, upstream->entry.zone);
}

bool upstream_serves_keys(const struct fleet *fleet,
			  const struct upstream *upstream)
{
	double now = loop_now(fleet->loop);
	double span = fleet->settings->leave_s * LEAVING_SERVES;
	const double *out;

	if (upstream->gone || upstream->replaced)
		return false;
	if (upstream->leaving_since_s && now > upstream->leaving_since_s + span)
		return false;
	out = g_hash_table_lookup(fleet->zones_out, upstream->entry.zone);
	return !out || now < *out + span;
}

static unsigned int cold_senders(const struct fleet *fleet)
{
	return MIN(fleet->vms, COLD_SENDERS);
}

/* Whether this VM is among the senders: the first by a hash of both names. */
static bool is_cold_sender(const struct fleet *fleet,
			   const struct upstream *upstream)
{
	uint64_t seed = hash_key(str_from(upstream->entry.id));
	uint64_t own = hash_seeded(str_from(fleet->settings->vm), seed);
	unsigned int before = 0;
	guint i;

	if (!fleet->vm_names)
		return false;
	for (i = 0; i < fleet->vm_names->len; i++)
		if (hash_seeded(str_from(fleet->vm_names->pdata[i]), seed) <
		    own)
			before++;
	return before < cold_senders(fleet);
}

bool upstream_cold_admits(const struct fleet *fleet,
			  const struct upstream *upstream)
{
	double now = loop_now(fleet->loop);

	if (now >= upstream->cold_until_s)
		return true;
	return now >= upstream->cold_next_s && is_cold_sender(fleet, upstream);
}

void upstream_cold_sent(const struct fleet *fleet, struct upstream *upstream)
{
	double now = loop_now(fleet->loop);
	double rate = upstream->service->config.cold_per_s * SHARE_USED;

	if (now < upstream->cold_until_s)
		upstream->cold_next_s =
			now + (rate > 0 ? cold_senders(fleet) / rate : 1);
}

unsigned int upstream_connection_limit(const struct fleet *fleet,
				       const struct upstream *upstream)
{
	unsigned int limit = upstream->service->config.max_connections;

	if (!limit)
		return CONNECTIONS_DEFAULT;
	limit = (unsigned int)(limit * SHARE_USED / fleet->vms);
	return limit > CONNECTIONS_MIN ? limit : CONNECTIONS_MIN;
}
