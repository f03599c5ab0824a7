#include "entry/load_exchange.h"

#include <string.h>

#include "base/log.h"
#include "loads/load_columns.h"
#include "loads/load_index.h"
#include "wire/message_list.h"

#define PERCENT 100.0

/* The leader's sums of the outcomes that the VMs reported about one upstream
 * since they were last sent. */
struct outcome_totals {
	unsigned int answers;
	/** Sum over the answers of the response time divided by the route's
	 * usual one. */
	double relative_sum;
	unsigned int failures;
	/** Latest reported work factor (struct load); 0: none. */
	double work_factor;
};

struct load_exchange {
	const struct loop *loop;
	struct roster *roster;
	/** Numbers of upstreams in messages. */
	struct load_index *index;
	/** This VM does not know the leader's numbers. */
	bool wants_index;
	/** Sums of outcomes (struct outcome_totals) by the hash of the
	 * upstream's id. */
	GHashTable *totals;
	/**
	 * Requests in flight of each VM: VM name to a table from upstream hash
	 * to count.
	 */
	GHashTable *in_flight_by_vm;
};

static void free_vm_in_flight(gpointer data)
{
	g_hash_table_destroy(data);
}

struct load_exchange *load_exchange_create(const struct loop *loop,
					   struct roster *roster)
{
	struct load_exchange *exchange = g_new0(struct load_exchange, 1);

	exchange->loop = loop;
	exchange->roster = roster;
	exchange->index = load_index_create();
	exchange->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	exchange->in_flight_by_vm = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_vm_in_flight);
	return exchange;
}

void load_exchange_destroy(struct load_exchange *exchange)
{
	if (!exchange)
		return;
	load_index_destroy(exchange->index);
	g_hash_table_destroy(exchange->totals);
	g_hash_table_destroy(exchange->in_flight_by_vm);
	g_free(exchange);
}

/* A report that is being built. */
struct report {
	const struct load_exchange *exchange;
	/** Loads of numbered upstreams (struct load_report_entry). */
	GArray *entries;
	/** Messages of other upstreams (UpstreamLoad). */
	GPtrArray *others;
};

static void add_entry(struct report *report, uint32_t hash,
		      const struct load_entry *load)
{
	struct load_report_entry entry = {
		.number = load_index_number(report->exchange->index, hash),
		.load = *load,
	};
	UpstreamLoad *message;

	if (entry.number != LOAD_INDEX_NONE) {
		g_array_append_val(report->entries, entry);
		return;
	}
	message = g_new(UpstreamLoad, 1);
	upstream_load__init(message);
	message->upstream = hash;
	message->flights = load->flights;
	message->answers = load->answers;
	message->relative_percent =
		(uint32_t)(load->relative * load->answers * PERCENT);
	message->failures = load->failures;
	message->work_percent = (uint32_t)(load->work_factor * PERCENT);
	g_ptr_array_add(report->others, message);
}

/* Adds this VM's load on an upstream, unless there is none, and begins a new
 * count of outcomes. */
static void add_local_load(struct upstream *upstream, void *ctx)
{
	struct load *load = &upstream->load;
	struct load_entry entry = {
		.flights = load->in_flight,
		.answers = load->unreported_answers,
		.failures = load->unreported_failures,
		.work_factor = load->work_factor,
	};

	load->reported_in_flight = load->in_flight;
	if (!entry.flights && !entry.answers && !entry.failures)
		return;
	if (entry.answers)
		entry.relative = load->unreported_relative / entry.answers;
	load->unreported_answers = 0;
	load->unreported_relative = 0;
	load->unreported_failures = 0;
	add_entry(ctx, upstream_hash(upstream), &entry);
}

void load_exchange_fill_report(struct load_exchange *exchange, VmLoads *out)
{
	struct load_index_state state = load_index_state(exchange->index);
	struct report report = {
		.exchange = exchange,
		.entries = g_array_new(FALSE, FALSE,
				       sizeof(struct load_report_entry)),
		.others = g_ptr_array_new(),
	};
	GByteArray *bytes;

	roster_each_upstream(exchange->roster, add_local_load, &report);
	bytes = load_report_encode(report.entries);
	out->index_count = state.count;
	out->index_sum = state.sum;
	out->wants_index = exchange->wants_index;
	out->loads.len = bytes->len;
	out->loads.data = g_byte_array_free(bytes, FALSE);
	out->n_upstreams = report.others->len;
	out->upstreams =
		(UpstreamLoad **)g_ptr_array_free(report.others, FALSE);
	g_array_free(report.entries, TRUE);
}

void load_exchange_release_report(VmLoads *out)
{
	g_free(out->loads.data);
	message_list_free(out->upstreams, out->n_upstreams);
}

static struct outcome_totals *ensure_totals(struct load_exchange *exchange,
					    uint32_t upstream)
{
	struct outcome_totals *total = g_hash_table_lookup(
		exchange->totals, GUINT_TO_POINTER(upstream));

	if (total)
		return total;
	total = g_new0(struct outcome_totals, 1);
	g_hash_table_insert(exchange->totals, GUINT_TO_POINTER(upstream),
			    total);
	return total;
}

/* Adds a VM's load on one upstream.
 *
 * @param flights the VM's requests in flight by upstream, which is updated */
static void apply_vm_load(struct load_exchange *exchange, GHashTable *flights,
			  uint32_t upstream, const struct load_entry *load)
{
	struct outcome_totals *total;

	if (load->flights)
		g_hash_table_insert(flights, GUINT_TO_POINTER(upstream),
				    GUINT_TO_POINTER(load->flights));
	if (!load->answers && !load->failures)
		return;
	total = ensure_totals(exchange, upstream);
	total->answers += load->answers;
	total->relative_sum += load->relative * load->answers;
	total->failures += load->failures;
	if (load->work_factor > 0)
		total->work_factor = load->work_factor;
}

/* Applies the loads of numbered upstreams, if the VM uses the same numbers. */
static void apply_numbered(struct load_exchange *exchange, GHashTable *flights,
			   const VmLoads *report)
{
	struct load_index_state state = { report->index_count,
					  report->index_sum };
	GArray *entries;
	guint i;

	if (!load_index_knows(exchange->index, &state))
		return;
	entries = load_report_decode(report->loads.data, report->loads.len);
	for (i = 0; entries && i < entries->len; i++) {
		const struct load_report_entry *entry =
			&g_array_index(entries, struct load_report_entry, i);

		if (entry->number < state.count)
			apply_vm_load(exchange, flights,
				      load_index_upstream(exchange->index,
							  entry->number),
				      &entry->load);
	}
	if (entries)
		g_array_free(entries, TRUE);
}

void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const VmLoads *report)
{
	/* A report lists all requests in flight, so a lost one has no lasting
	 * effect. */
	GHashTable *flights = g_hash_table_new(NULL, NULL);
	size_t i;

	apply_numbered(exchange, flights, report);
	for (i = 0; i < report->n_upstreams; i++) {
		const UpstreamLoad *from = report->upstreams[i];
		struct load_entry load = {
			.flights = from->flights,
			.answers = from->answers,
			.failures = from->failures,
			.work_factor = from->work_percent / PERCENT,
		};

		if (from->answers)
			load.relative = from->relative_percent / PERCENT /
					from->answers;
		apply_vm_load(exchange, flights, from->upstream, &load);
	}
	g_hash_table_insert(exchange->in_flight_by_vm, g_strdup(report->vm),
			    flights);
}

void load_exchange_remove_vm(struct load_exchange *exchange, const char *vm)
{
	g_hash_table_remove(exchange->in_flight_by_vm, vm);
}

/* Returns the number of all VMs' requests in flight by upstream hash; the
 * caller frees the table. */
static GHashTable *sum_in_flight(const struct load_exchange *exchange)
{
	GHashTable *sums = g_hash_table_new(NULL, NULL);
	GHashTableIter iter, inner;
	gpointer flights, upstream, count;

	g_hash_table_iter_init(&iter, exchange->in_flight_by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &flights)) {
		g_hash_table_iter_init(&inner, flights);
		while (g_hash_table_iter_next(&inner, &upstream, &count)) {
			guint sum = GPOINTER_TO_UINT(
				g_hash_table_lookup(sums, upstream));

			sum += GPOINTER_TO_UINT(count);
			g_hash_table_insert(sums, upstream,
					    GUINT_TO_POINTER(sum));
		}
	}
	return sums;
}

/* Sets an entry for each number to the load of all VMs. */
static void fill_flights(const struct load_exchange *exchange,
			 struct load_entry *entries)
{
	GHashTable *sums = sum_in_flight(exchange);
	GHashTableIter iter;
	gpointer upstream, count;

	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &upstream, &count)) {
		uint32_t number = load_index_number(exchange->index,
						    GPOINTER_TO_UINT(upstream));

		if (number != LOAD_INDEX_NONE)
			entries[number].flights = GPOINTER_TO_UINT(count);
	}
	g_hash_table_destroy(sums);
}

/* Moves the sums of outcomes into the entries; new sums begin at 0. */
static void move_outcomes(struct load_exchange *exchange,
			  struct load_entry *entries)
{
	GHashTableIter iter;
	gpointer upstream, value;

	g_hash_table_iter_init(&iter, exchange->totals);
	while (g_hash_table_iter_next(&iter, &upstream, &value)) {
		const struct outcome_totals *total = value;
		uint32_t number = load_index_number(exchange->index,
						    GPOINTER_TO_UINT(upstream));
		struct load_entry *entry;

		if (number == LOAD_INDEX_NONE)
			continue;
		entry = &entries[number];
		entry->answers = total->answers;
		entry->failures = total->failures;
		entry->work_factor = total->work_factor;
		if (total->answers)
			entry->relative = total->relative_sum / total->answers;
	}
	g_hash_table_remove_all(exchange->totals);
}

static void add_hash(struct upstream *upstream, void *ctx)
{
	uint32_t hash = upstream_hash(upstream);

	g_array_append_val((GArray *)ctx, hash);
}

/* Returns the hashes (uint32_t) of all upstreams that this VM knows; the caller
 * frees the array. */
static GArray *roster_hashes(const struct load_exchange *exchange)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	roster_each_upstream(exchange->roster, add_hash, hashes);
	return hashes;
}

/* Numbers new upstreams, and states the numbers in a message. */
static void fill_index_state(struct load_exchange *exchange, LeaderLoads *out)
{
	double now = loop_now(exchange->loop);
	GArray *hashes = roster_hashes(exchange);
	struct load_index_state state;
	const uint32_t *recent;

	load_index_update(exchange->index, hashes, now);
	g_array_free(hashes, TRUE);
	state = load_index_state(exchange->index);
	out->index_count = state.count;
	out->index_sum = state.sum;
	recent = load_index_recent(exchange->index, now, &out->n_index_recent);
	out->index_recent =
		g_memdup2(recent, out->n_index_recent * sizeof(*recent));
}

static ProtobufCBinaryData take_bytes(GByteArray *bytes)
{
	ProtobufCBinaryData out = { .len = bytes->len };

	out.data = g_byte_array_free(bytes, FALSE);
	return out;
}

LeaderLoads *load_exchange_totals(struct load_exchange *exchange, bool outcomes)
{
	LeaderLoads *out = g_new(LeaderLoads, 1);
	struct load_entry *entries;

	leader_loads__init(out);
	fill_index_state(exchange, out);
	entries = g_new0(struct load_entry, out->index_count);
	fill_flights(exchange, entries);
	out->flights =
		take_bytes(load_flights_encode(entries, out->index_count));
	if (outcomes) {
		move_outcomes(exchange, entries);
		out->outcomes = take_bytes(
			load_outcomes_encode(entries, out->index_count));
	}
	g_free(entries);
	return out;
}

void leader_loads_free(LeaderLoads *loads)
{
	g_free(loads->index_recent);
	g_free(loads->flights.data);
	g_free(loads->outcomes.data);
	g_free(loads);
}

/* Loads by number, while they are applied to the upstreams. */
struct application {
	struct load_exchange *exchange;
	const struct load_entry *entries;
	bool has_outcomes;
	double now_s;
};

static void apply_outcomes(struct load *load, const struct load_entry *entry,
			   double now_s)
{
	struct load_shared_stats stats = {
		.answers = entry->answers,
		.failures = entry->failures,
		.relative = entry->relative,
		.work_factor = entry->work_factor,
	};

	load_apply_shared_stats(load, &stats, now_s);
}

static void apply_entry(struct upstream *upstream, void *ctx)
{
	const struct application *application = ctx;
	uint32_t number = load_index_number(application->exchange->index,
					    upstream_hash(upstream));
	const struct load_entry *entry;

	/* The leader does not know the upstream: no VM reported it. */
	if (number == LOAD_INDEX_NONE) {
		upstream->load.others = 0;
		upstream->load.others_s = application->now_s;
		return;
	}
	entry = &application->entries[number];
	load_apply_total_in_flight(&upstream->load, entry->flights,
				   application->now_s);
	if (application->has_outcomes)
		apply_outcomes(&upstream->load, entry, application->now_s);
}

/* Takes over the leader's numbers; returns false if this VM does not know
 * them. */
static bool follow_index(struct load_exchange *exchange,
			 const LeaderLoads *loads)
{
	struct load_index_state state = { loads->index_count,
					  loads->index_sum };
	GArray *hashes;
	bool known =
		load_index_follow(exchange->index, &state, loads->index_recent,
				  loads->n_index_recent);

	if (!known) {
		hashes = roster_hashes(exchange);
		known = load_index_adopt(exchange->index, &state, hashes);
		g_array_free(hashes, TRUE);
	}
	exchange->wants_index = !known;
	return known;
}

void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads)
{
	struct application application = {
		.exchange = exchange,
		.has_outcomes = loads->outcomes.len > 0,
		.now_s = loop_now(exchange->loop),
	};
	struct load_entry *entries;

	if (!follow_index(exchange, loads))
		return;
	entries = g_new0(struct load_entry, loads->index_count);
	application.entries = entries;
	if (!load_flights_decode(loads->flights.data, loads->flights.len,
				 entries, loads->index_count) ||
	    (application.has_outcomes &&
	     !load_outcomes_decode(loads->outcomes.data, loads->outcomes.len,
				   entries, loads->index_count)))
		log_warn("peers", "ignored load totals that can't be decoded");
	else
		roster_each_upstream(exchange->roster, apply_entry,
				     &application);
	g_free(entries);
}

void load_exchange_fill_index(const struct load_exchange *exchange,
			      LoadIndex *out)
{
	const GArray *all = load_index_all(exchange->index);

	out->n_upstreams = all->len;
	out->upstreams = (uint32_t *)(void *)all->data;
}

void load_exchange_apply_index(struct load_exchange *exchange,
			       const LoadIndex *message)
{
	if (!exchange->wants_index)
		return;
	load_index_replace(exchange->index, message->upstreams,
			   message->n_upstreams);
	exchange->wants_index = false;
}
