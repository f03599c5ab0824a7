#include "entry/roster.h"

#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "entry/live_vms.h"

/* Number of VMs that send to one cold upstream. Each of them limits its own
 * rate, so that together they stay within the upstream's rate. */
#define COLD_SENDERS 4
/* Share of the limits on all VMs together that the VMs use: retries,
 * connections and the rate of a cold upstream. The margin covers moments in
 * which the VMs' lists of live VMs differ. */
#define SHARE_USED 0.85
/* Number of VMs that is assumed until the leader's list of live VMs arrives. */
#define VMS_UNKNOWN 16
/* This VM's connections to one upstream: the smallest limit, and the limit if
 * the configuration sets none. */
#define CONNECTIONS_MIN 4
#define CONNECTIONS_DEFAULT 64
/* Share of settings->leave_s in which an owner that is draining, or whose zone
 * is out of service, still gets its keys' requests. */
#define LEAVING_SERVES_SHARE 0.6
/* Time, in seconds, in which writes of an upstream's earlier incarnation may be
 * applied together. Upstreams register about every second. */
#define LATE_WRITES_S 0.5

struct roster {
	const struct loop *loop;
	const struct entry_settings *settings;
	const struct roster_ops *ops;
	void *ctx;
	struct config *config;
	/** Services by name (struct service). */
	GHashTable *services;
	/** Upstreams by id (struct upstream). */
	GHashTable *upstreams;
	/**
	 * Loop time (double) at which a zone was taken out of service, by zone
	 * name.
	 */
	GHashTable *zones_out;
	/** Number of live VMs, or VMS_UNKNOWN. */
	unsigned int vm_count;
	/** Highest number of live VMs that a leader named within the window of
	 * retries, and when it was named last; 0: none was. */
	unsigned int vms_peak;
	double vms_peak_s;
	/** When this VM may have begun to retry requests: at the start of this
	 * process, or of one before it. */
	double retries_since_s;
	/** Names of the live VMs; NULL until they are known. */
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
	refused_grants_destroy(service->refused_grants);
	g_free(service->config.name);
	g_free(service->name);
	g_free(service);
}

struct roster *roster_create(const struct loop *loop,
			     const struct entry_settings *settings,
			     const struct roster_ops *ops, void *ctx)
{
	struct roster *roster = g_new0(struct roster, 1);

	roster->loop = loop;
	roster->settings = settings;
	roster->ops = ops;
	roster->ctx = ctx;
	roster->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_service);
	roster->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_upstream);
	roster->zones_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roster->vm_count = VMS_UNKNOWN;
	roster->retries_since_s = loop_now(loop);
	/* In the first start there was no process before. */
	if (settings->copy_wait_s > 0)
		roster->retries_since_s -= settings->retry_window_s;
	return roster;
}

void roster_destroy(struct roster *roster)
{
	if (!roster)
		return;
	g_hash_table_destroy(roster->upstreams);
	g_hash_table_destroy(roster->services);
	g_hash_table_destroy(roster->zones_out);
	if (roster->vm_names)
		g_ptr_array_free(roster->vm_names, TRUE);
	config_free(roster->config);
	g_free(roster);
}

const struct config *roster_config(const struct roster *roster)
{
	return roster->config;
}

struct service *roster_service(const struct roster *roster, const char *name)
{
	return g_hash_table_lookup(roster->services, name);
}

/* This VM's part of the retries that all VMs together may send in addition to
 * the retry ratio; 0 until their number is known. A new leader that knows only
 * some VMs at first must not have all of them share as if they were few. */
static double retry_slack(const struct roster *roster)
{
	if (!roster->vms_peak)
		return 0;
	return roster->settings->retry_slack / roster->vms_peak * SHARE_USED;
}

static void note_vms_peak(struct roster *roster, unsigned int vms)
{
	double now = loop_now(roster->loop);

	if (vms < roster->vms_peak &&
	    now < roster->vms_peak_s + roster->settings->retry_window_s)
		return;
	roster->vms_peak = vms;
	roster->vms_peak_s = now;
}

static struct service *ensure_service(struct roster *roster, const char *name)
{
	struct service *service = roster_service(roster, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	service->keys = key_map_create();
	service->refused_grants = refused_grants_create();
	service->requested_keys = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	g_queue_init(&service->queue);
	retry_window_init(&service->retries, roster->settings->retry_window_s,
			  roster->settings->retry_ratio * SHARE_USED,
			  retry_slack(roster), roster->retries_since_s);
	g_hash_table_insert(roster->services, service->name, service);
	return service;
}

static void apply_service_config(struct roster *roster,
				 const struct service_config *config)
{
	struct service *service = ensure_service(roster, config->name);

	g_free(service->config.name);
	service->config = *config;
	service->config.name = g_strdup(config->name);
	service->configured = true;
}

bool roster_set_config(struct roster *roster, struct config *config)
{
	size_t i;

	if (roster->config && config->version <= roster->config->version) {
		config_free(config);
		return false;
	}
	config_free(roster->config);
	roster->config = config;
	for (i = 0; i < config->service_count; i++)
		apply_service_config(roster, &config->services[i]);
	roster->ops->changed(roster->ctx);
	return true;
}

struct upstream *roster_upstream(const struct roster *roster, const char *id)
{
	return g_hash_table_lookup(roster->upstreams, id);
}

static void remove_upstream(struct roster *roster, struct upstream *upstream)
{
	log_info("roster", "removed upstream %s of service %s",
		 upstream->entry.id, upstream->service->name);
	upstream->removed = true;
	roster->ops->close_idle(roster->ctx, upstream);
	g_ptr_array_remove_fast(upstream->service->upstreams, upstream);
	g_hash_table_remove(roster->upstreams, upstream->entry.id);
}

/* Adds an upstream; moves the contents of entry, which is zeroed. */
static void add_upstream(struct roster *roster, struct upstream_entry *entry)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->references = 1;
	upstream->entry = *entry;
	memset(entry, 0, sizeof(*entry));
	upstream->service = ensure_service(roster, upstream->entry.service);
	g_queue_init(&upstream->idle_links);
	load_init(&upstream->load, upstream->entry.slots);
	g_ptr_array_add(upstream->service->upstreams, upstream_ref(upstream));
	g_hash_table_insert(roster->upstreams, g_strdup(upstream->entry.id),
			    upstream);
	log_info("roster",
		 "added upstream %s of service %s in zone %s, cold for %.1f s",
		 upstream->entry.id, upstream->service->name,
		 upstream->entry.zone, upstream->entry.cold_remaining_s);
}

/* Whether an entry is of the same incarnation as an upstream, with the same
 * service, zone and address. */
static bool same_incarnation(const struct upstream *upstream,
			     const struct upstream_entry *entry)
{
	return upstream->entry.started_ms == entry->started_ms &&
	       !strcmp(upstream->entry.service, entry->service) &&
	       !strcmp(upstream->entry.zone, entry->zone) &&
	       !memcmp(&upstream->entry.address, &entry->address,
		       sizeof(entry->address));
}

/* Applies what may change within an incarnation: whether the upstream is
 * draining or cold, and its slots. */
static void apply_entry_state(const struct roster *roster,
			      struct upstream *upstream,
			      const struct upstream_entry *entry)
{
	double now = loop_now(roster->loop);

	upstream->remove_at_s = 0;
	upstream->earlier_since_s = 0;
	if (entry->leaving && !upstream->leaving_since_s)
		upstream->leaving_since_s = now;
	else if (!entry->leaving && !upstream->said_leaving)
		upstream->leaving_since_s = 0;
	upstream->cold_until_s =
		entry->cold_remaining_s > 0 ? now + entry->cold_remaining_s : 0;
	upstream->listed_s = now;
	upstream->entry.row_version = entry->row_version;
	upstream->entry.leaving = entry->leaving;
	upstream->entry.slots = entry->slots;
}

bool upstream_is_foreign(const struct roster *roster,
			 const struct upstream *upstream)
{
	return roster->config &&
	       !config_service(roster->config, upstream->entry.service);
}

/* Whether an entry of an earlier incarnation may be a late write. The clocks of
 * machines differ, so an incarnation that registers again lives, whatever its
 * start is. */
static bool may_be_late(const struct roster *roster, struct upstream *upstream,
			const struct upstream_entry *entry)
{
	double now = loop_now(roster->loop);
	bool again = upstream->earlier_since_s &&
		     upstream->earlier_started_ms == entry->started_ms;

	if (again && entry->seq > upstream->earlier_seq &&
	    now >= upstream->earlier_since_s + LATE_WRITES_S)
		return false;
	if (!again) {
		upstream->earlier_since_s = now;
		log_warn(
			"roster",
			"ignored the entry of upstream %s: a later incarnation "
			"is registered",
			entry->id);
	}
	upstream->earlier_started_ms = entry->started_ms;
	upstream->earlier_seq = entry->seq;
	return true;
}

void roster_put_upstream(struct roster *roster, struct upstream_entry *entry)
{
	struct upstream *upstream = roster_upstream(roster, entry->id);
	struct upstream_entry state = *entry;

	if (upstream && !upstream_is_foreign(roster, upstream) &&
	    upstream->entry.started_ms > entry->started_ms &&
	    may_be_late(roster, upstream, entry)) {
		upstream_entry_clear(entry);
		return;
	}
	if (upstream && !same_incarnation(upstream, entry)) {
		remove_upstream(roster, upstream);
		upstream = NULL;
	}
	if (!upstream) {
		char *id = g_strdup(entry->id);

		add_upstream(roster, entry);
		upstream = roster_upstream(roster, id);
		g_free(id);
	}
	if (state.leaving != upstream->entry.leaving)
		log_info("roster", "upstream %s %s", upstream->entry.id,
			 state.leaving ? "is draining"
				       : "is no longer draining");
	apply_entry_state(roster, upstream, &state);
	upstream_entry_clear(entry);
	roster->ops->changed(roster->ctx);
}

bool roster_set_leaving(struct roster *roster, struct upstream *upstream)
{
	if (upstream->said_leaving)
		return false;
	upstream->said_leaving = true;
	if (!upstream->leaving_since_s)
		upstream->leaving_since_s = loop_now(roster->loop);
	roster->ops->changed(roster->ctx);
	return true;
}

void roster_remove_upstream(struct roster *roster, const char *id,
			    double remove_at_s)
{
	struct upstream *upstream = roster_upstream(roster, id);

	if (!upstream)
		return;
	if (remove_at_s > loop_now(roster->loop)) {
		if (!upstream->remove_at_s)
			upstream->remove_at_s = remove_at_s;
		return;
	}
	remove_upstream(roster, upstream);
	roster->ops->changed(roster->ctx);
}

void roster_tick(struct roster *roster)
{
	double now = loop_now(roster->loop);
	GList *list = g_hash_table_get_values(roster->upstreams);
	bool changed = false;
	GList *at;

	for (at = list; at; at = at->next) {
		struct upstream *upstream = at->data;

		if (!upstream->remove_at_s || now < upstream->remove_at_s)
			continue;
		remove_upstream(roster, upstream);
		changed = true;
	}
	g_list_free(list);
	if (changed)
		roster->ops->changed(roster->ctx);
}

void roster_set_zone_out(struct roster *roster, const char *zone, bool out)
{
	if (out == roster_zone_is_out(roster, zone))
		return;
	log_info("roster", "availability zone %s is %s service", zone,
		 out ? "out of" : "back in");
	if (out) {
		double *since = g_new(double, 1);

		*since = loop_now(roster->loop);
		g_hash_table_insert(roster->zones_out, g_strdup(zone), since);
	} else {
		g_hash_table_remove(roster->zones_out, zone);
	}
	roster->ops->changed(roster->ctx);
}

bool roster_zone_is_out(const struct roster *roster, const char *zone)
{
	return g_hash_table_contains(roster->zones_out, zone);
}

void roster_each_service(struct roster *roster,
			 void (*visit)(struct service *service, void *ctx),
			 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, ctx);
}

void roster_each_upstream(struct roster *roster,
			  void (*visit)(struct upstream *upstream, void *ctx),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, ctx);
}

static void set_retry_slack(struct service *service, void *ctx)
{
	service->retries.slack = retry_slack(ctx);
}

void roster_set_vms(struct roster *roster, unsigned int vms, const char **names)
{
	unsigned int i;

	if (roster->vm_names)
		g_ptr_array_free(roster->vm_names, TRUE);
	roster->vm_names = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < vms; i++)
		g_ptr_array_add(roster->vm_names, g_strdup(names[i]));
	roster->vm_count = vms ? vms : 1;
	note_vms_peak(roster, roster->vm_count);
	roster_each_service(roster, set_retry_slack, roster);
}

unsigned int roster_vm_count(const struct roster *roster)
{
	return roster->vm_count;
}

double roster_load_interval_s(const struct roster *roster)
{
	return live_vms_load_interval_s(roster->vm_count);
}

bool upstream_takes_work(const struct roster *roster,
			 const struct upstream *upstream)
{
	return !upstream->removed && !upstream->replaced &&
	       !upstream->leaving_since_s &&
	       !roster_zone_is_out(roster, upstream->entry.zone);
}

bool upstream_serves_keys(const struct roster *roster,
			  const struct upstream *upstream)
{
	double now = loop_now(roster->loop);
	double serving_s = roster->settings->leave_s * LEAVING_SERVES_SHARE;
	const double *out;

	if (upstream->removed || upstream->replaced)
		return false;
	if (upstream->leaving_since_s &&
	    now > upstream->leaving_since_s + serving_s)
		return false;
	out = g_hash_table_lookup(roster->zones_out, upstream->entry.zone);
	return !out || now < *out + serving_s;
}

static unsigned int cold_senders(const struct roster *roster)
{
	return MIN(roster->vm_count, COLD_SENDERS);
}

/* Whether this VM may send to a cold upstream: the first VMs in the order of a
 * hash of the VM's name and the upstream's id may. */
static bool is_cold_sender(const struct roster *roster,
			   const struct upstream *upstream)
{
	uint64_t seed = hash_key(str_from(upstream->entry.id));
	uint64_t own = hash_seeded(str_from(roster->settings->vm), seed);
	unsigned int before = 0;
	guint i;

	if (!roster->vm_names)
		return false;
	for (i = 0; i < roster->vm_names->len; i++)
		if (hash_seeded(str_from(roster->vm_names->pdata[i]), seed) <
		    own)
			before++;
	return before < cold_senders(roster);
}

bool upstream_cold_admits(const struct roster *roster,
			  const struct upstream *upstream)
{
	double now = loop_now(roster->loop);

	if (now >= upstream->cold_until_s)
		return true;
	return now >= upstream->cold_next_send_s &&
	       is_cold_sender(roster, upstream);
}

void upstream_record_send(const struct roster *roster,
			  struct upstream *upstream)
{
	double now = loop_now(roster->loop);
	double rate = upstream->service->config.cold_per_s * SHARE_USED;

	upstream_limit_record_send(&upstream->limit);
	if (now < upstream->cold_until_s)
		upstream->cold_next_send_s =
			now + (rate > 0 ? cold_senders(roster) / rate : 1);
}

bool upstream_paused(const struct roster *roster,
		     const struct upstream *upstream)
{
	return loop_now(roster->loop) < upstream->paused_until_s;
}

uint32_t upstream_hash(const struct upstream *upstream)
{
	return (uint32_t)hash_key(str_from(upstream->entry.id));
}

bool upstream_within_limit(const struct roster *roster,
			   struct upstream *upstream, double random, bool first)
{
	struct limit_draw draw = {
		.vms = roster->vm_count,
		.interval_s = roster_load_interval_s(roster),
		.random = random,
		.first = first,
	};

	return upstream_limit_admits(&upstream->limit, &draw,
				     loop_now(roster->loop));
}

void service_record_key(struct service *service, uint16_t key)
{
	if (service->requested_keys->len < REQUESTED_KEYS_MAX)
		g_array_append_val(service->requested_keys, key);
}

unsigned int upstream_connection_limit(const struct roster *roster,
				       const struct upstream *upstream)
{
	unsigned int limit = upstream->service->config.max_connections;

	if (!limit)
		return CONNECTIONS_DEFAULT;
	limit = (unsigned int)(limit * SHARE_USED / roster->vm_count);
	return limit > CONNECTIONS_MIN ? limit : CONNECTIONS_MIN;
}
