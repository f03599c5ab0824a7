#include "entry/load_exchange.h"

#include <math.h>

#include "wire/message_list.h"

#define PERCENT 100.0

/* The leader's sums of the outcomes that the VMs reported about one upstream
 * since they were last sent. */
struct outcome_totals {
	/** Hash of the upstream's id. */
	uint32_t upstream;
	/** Number of answers. */
	uint32_t answers;
	/** Sum over the answers of the response time, in percent of the route's
	 * usual one. */
	uint32_t relative_percent;
	/** Number of failures. */
	uint32_t failures;
	/** Latest reported work factor (struct load), in percent. */
	uint32_t work_percent;
};

struct load_exchange {
	const struct loop *loop;
	struct roster *roster;
	/** Sums of outcomes (struct outcome_totals) by the hash of the
	 * upstream's id. */
	GHashTable *totals;
	/**
	 * Requests in flight of each VM: VM name to a table from upstream hash
	 * to count.
	 */
	GHashTable *in_flight_by_vm;
	/**
	 * The roster's upstreams by the hash of their ids; built anew for each
	 * message that is applied.
	 */
	GHashTable *upstreams;
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
	exchange->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	exchange->in_flight_by_vm = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_vm_in_flight);
	exchange->upstreams = g_hash_table_new(NULL, NULL);
	return exchange;
}

void load_exchange_destroy(struct load_exchange *exchange)
{
	if (!exchange)
		return;
	g_hash_table_destroy(exchange->totals);
	g_hash_table_destroy(exchange->in_flight_by_vm);
	g_hash_table_destroy(exchange->upstreams);
	g_free(exchange);
}

/* Appends a copy of a message. */
static void append_message(GPtrArray *out, const UpstreamLoad *from)
{
	UpstreamLoad *message = g_new(UpstreamLoad, 1);

	*message = *from;
	g_ptr_array_add(out, message);
}

/* Appends a message with this VM's load on an upstream, unless there is none,
 * and begins a new count of outcomes. */
static void add_local_load(struct upstream *upstream, void *ctx)
{
	struct load *load = &upstream->load;
	UpstreamLoad message = UPSTREAM_LOAD__INIT;

	load->reported_in_flight = load->in_flight;
	if (!load->in_flight && !load->unreported_answers &&
	    !load->unreported_failures)
		return;
	message.upstream = upstream_hash(upstream);
	message.flights = load->in_flight;
	message.answers = load->unreported_answers;
	message.relative_percent =
		(uint32_t)(load->unreported_relative * PERCENT);
	message.failures = load->unreported_failures;
	message.work_percent = (uint32_t)(load->work_factor * PERCENT);
	load->unreported_answers = 0;
	load->unreported_relative = 0;
	load->unreported_failures = 0;
	append_message(ctx, &message);
}

GPtrArray *load_exchange_local_report(struct load_exchange *exchange)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	roster_each_upstream(exchange->roster, add_local_load, out);
	return out;
}

static struct outcome_totals *ensure_totals(struct load_exchange *exchange,
					    uint32_t upstream)
{
	struct outcome_totals *total = g_hash_table_lookup(
		exchange->totals, GUINT_TO_POINTER(upstream));

	if (total)
		return total;
	total = g_new0(struct outcome_totals, 1);
	total->upstream = upstream;
	g_hash_table_insert(exchange->totals, GUINT_TO_POINTER(upstream),
			    total);
	return total;
}

void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const char *vm, UpstreamLoad *const *loads,
				   size_t count)
{
	/* A report lists all requests in flight, so a lost one has no lasting
	 * effect. */
	GHashTable *flights = g_hash_table_new(NULL, NULL);
	size_t i;

	for (i = 0; i < count; i++) {
		const UpstreamLoad *load = loads[i];
		struct outcome_totals *total;

		if (load->flights)
			g_hash_table_insert(flights,
					    GUINT_TO_POINTER(load->upstream),
					    GUINT_TO_POINTER(load->flights));
		if (!load->answers && !load->failures)
			continue;
		total = ensure_totals(exchange, load->upstream);
		total->answers += load->answers;
		total->relative_percent += load->relative_percent;
		total->failures += load->failures;
		total->work_percent = load->work_percent;
	}
	g_hash_table_insert(exchange->in_flight_by_vm, g_strdup(vm), flights);
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

static void fill_in_flight(const struct load_exchange *exchange,
			   LeaderLoads *out)
{
	GHashTable *sums = sum_in_flight(exchange);
	guint size = g_hash_table_size(sums);
	GHashTableIter iter;
	gpointer upstream, count;

	out->busy = g_new(uint32_t, size);
	out->flights.data = g_malloc(size);
	out->flights.len = size;
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &upstream, &count)) {
		out->flights.data[out->n_busy] =
			(uint8_t)MIN(GPOINTER_TO_UINT(count), UINT8_MAX);
		out->busy[out->n_busy++] = GPOINTER_TO_UINT(upstream);
	}
	g_hash_table_destroy(sums);
}

/* Moves the sums of outcomes into a message; new sums begin at 0. */
static void fill_outcomes(struct load_exchange *exchange, LeaderLoads *out)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, exchange->totals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct outcome_totals *total = value;
		UpstreamLoad message = UPSTREAM_LOAD__INIT;

		message.upstream = total->upstream;
		message.answers = total->answers;
		message.relative_percent = total->relative_percent;
		message.failures = total->failures;
		message.work_percent = total->work_percent;
		append_message(list, &message);
	}
	g_hash_table_remove_all(exchange->totals);
	out->n_upstreams = list->len;
	out->upstreams = (UpstreamLoad **)g_ptr_array_free(list, FALSE);
}

LeaderLoads *load_exchange_totals(struct load_exchange *exchange, bool outcomes)
{
	LeaderLoads *out = g_new(LeaderLoads, 1);

	leader_loads__init(out);
	fill_in_flight(exchange, out);
	if (outcomes)
		fill_outcomes(exchange, out);
	return out;
}

void leader_loads_free(LeaderLoads *loads)
{
	message_list_free(loads->upstreams, loads->n_upstreams);
	g_free(loads->busy);
	g_free(loads->flights.data);
	g_free(loads);
}

static void index_upstream(struct upstream *upstream, void *ctx)
{
	g_hash_table_insert(ctx, GUINT_TO_POINTER(upstream_hash(upstream)),
			    upstream);
}

/* Sets the number of other VMs' requests in flight to 0, because the message
 * omits upstreams without any. */
static void reset_other_vms(struct upstream *upstream, void *now_s)
{
	upstream->load.others = 0;
	upstream->load.others_s = *(double *)now_s;
}

static struct upstream *find_upstream(const struct load_exchange *exchange,
				      uint32_t hash)
{
	return g_hash_table_lookup(exchange->upstreams, GUINT_TO_POINTER(hash));
}

static void apply_outcomes(struct load_exchange *exchange,
			   const UpstreamLoad *from, double now)
{
	struct upstream *upstream = find_upstream(exchange, from->upstream);
	struct load_shared_stats stats = {
		.answers = from->answers,
		.failures = from->failures,
		.work_factor = from->work_percent / PERCENT,
	};

	if (!upstream)
		return;
	if (from->answers)
		stats.relative =
			from->relative_percent / PERCENT / from->answers;
	load_apply_shared_stats(&upstream->load, &stats, now);
}

void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads)
{
	double now = loop_now(exchange->loop);
	size_t i;

	g_hash_table_remove_all(exchange->upstreams);
	roster_each_upstream(exchange->roster, index_upstream,
			     exchange->upstreams);
	roster_each_upstream(exchange->roster, reset_other_vms, &now);
	for (i = 0; i < loads->n_busy && i < loads->flights.len; i++) {
		struct upstream *upstream =
			find_upstream(exchange, loads->busy[i]);

		if (upstream)
			load_apply_total_in_flight(&upstream->load,
						   loads->flights.data[i], now);
	}
	for (i = 0; i < loads->n_upstreams; i++)
		apply_outcomes(exchange, loads->upstreams[i], now);
}
