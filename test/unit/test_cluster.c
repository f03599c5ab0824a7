/* Tests of a VM that leads the cluster, over a store whose answers the test
 * delivers: late, and after other leaders have written. */
#include <arpa/inet.h>
#include <string.h>

#include "base/event_log.h"
#include "entry/cluster_impl.h"
#include "manual_clock.h"
#include "platform/decode.h"
#include "suite.h"

#define TICK_S 0.05
#define ROWS_MAX 8
#define CALLS_MAX 8
#define SERVICE "keyed"
#define LEASE_TABLE "auburn_lease"
#define LEASE_KEY "leader"

/** A row of the fake store. */
struct fake_row {
	const char *table;
	char *key;
	GString *value;
	uint64_t version;
};

/** A call to the store that isn't answered yet. */
struct call {
	/** NULL: the entry is free. */
	store_done_fn done;
	void *ctx;
	const char *table;
	/** Key of the row to write, or of the first one to read. */
	char *key;
	/** Value to write; NULL: a read. */
	GString *value;
	uint64_t expect;
};

struct rig {
	struct manual_clock clock;
	struct loop loop;
	struct entry_settings settings;
	struct store store;
	struct store_era *era;
	struct event_log *log;
	struct metrics *metrics;
	struct roster *roster;
	struct byte_budget budget;
	struct links *links;
	struct crash_watch *crashes;
	struct customers *customers;
	struct watch_status *status;
	struct table_watch *watches[2];
	struct cluster *cluster;
	struct fake_row rows[ROWS_MAX];
	unsigned int row_count;
	uint64_t version;
	/** Most rows that one answer holds; 0: no limit. */
	size_t page_rows;
	struct call calls[CALLS_MAX];
	/** Calls to this table are not answered; NULL: all are. */
	const char *silent;
	/** Number of reads of the owner maps. */
	unsigned int map_reads;
	/** First owner map that this VM saved; NULL: none. */
	struct key_map *saved;
};

/* --- the store --- */

static struct fake_row *find_row(struct rig *rig, const char *table,
				 const char *key)
{
	unsigned int i;

	for (i = 0; i < rig->row_count; i++)
		if (!strcmp(rig->rows[i].table, table) &&
		    !strcmp(rig->rows[i].key, key))
			return &rig->rows[i];
	return NULL;
}

/* Writes a row as another process does. */
static void put_row(struct rig *rig, const char *table, const char *key,
		    const GString *value)
{
	struct fake_row *row = find_row(rig, table, key);

	if (!row) {
		CU_ASSERT_TRUE_FATAL(rig->row_count < ROWS_MAX);
		row = &rig->rows[rig->row_count++];
		row->table = table;
		row->key = g_strdup(key);
		row->value = g_string_new(NULL);
	}
	g_string_truncate(row->value, 0);
	g_string_append_len(row->value, value->str, (gssize)value->len);
	row->version = ++rig->version;
}

static struct call *add_call(struct rig *rig, const char *table,
			     store_done_fn done, void *ctx)
{
	unsigned int i = 0;

	while (i < CALLS_MAX && rig->calls[i].done)
		i++;
	CU_ASSERT_TRUE_FATAL(i < CALLS_MAX);
	rig->calls[i] = (struct call){ done, ctx, table, NULL, NULL, 0 };
	return &rig->calls[i];
}

static void fake_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	struct rig *rig = impl;

	add_call(rig, table, done, ctx)->key = g_strdup(from);
	rig->map_reads += !strcmp(table, KEY_TABLE);
}

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	struct call *call = add_call(impl, write->table, done, ctx);

	(void)timeout_s;
	call->key = g_strdup(write->key);
	call->expect = write->expect;
	call->value =
		g_string_new_len(write->value.data, (gssize)write->value.len);
}

static void fake_follow(void *impl, const char *table, uint64_t after,
			double wait_s, store_done_fn done, void *ctx)
{
	(void)impl;
	(void)table;
	(void)after;
	(void)wait_s;
	(void)done;
	(void)ctx;
}

static void fake_cancel(void *impl, void *ctx)
{
	(void)impl;
	(void)ctx;
}

static bool fake_receiving(void *impl, void *ctx)
{
	(void)impl;
	(void)ctx;
	return false;
}

static const struct store_ops store_ops = {
	.read = fake_read,
	.follow = fake_follow,
	.write = fake_write,
	.receiving = fake_receiving,
	.cancel = fake_cancel,
};

/* An answer of the store that is on its way. */
struct answer {
	struct store_result result;
	struct store_row rows[ROWS_MAX];
	store_done_fn done;
	void *ctx;
};

static void add_answer_row(struct answer *answer, const struct fake_row *row)
{
	struct store_row *out = &answer->rows[answer->result.row_count++];

	out->key = g_strdup(row->key);
	out->value = g_string_new_len(row->value->str, (gssize)row->value->len);
	out->version = row->version;
}

static void note_saved(struct rig *rig, const struct call *call)
{
	if (strcmp(call->key, SERVICE) != 0 || rig->saved)
		return;
	rig->saved = key_map_create();
	CU_ASSERT_TRUE(key_map_unpack(
		rig->saved, (struct str){ call->value->str, call->value->len },
		NULL));
}

static void carry_out_write(struct rig *rig, const struct call *call,
			    struct answer *answer)
{
	const struct fake_row *row = find_row(rig, call->table, call->key);

	if ((row ? row->version : 0) != call->expect) {
		answer->result.status = STORE_CONFLICT;
		if (row)
			add_answer_row(answer, row);
		return;
	}
	put_row(rig, call->table, call->key, call->value);
	note_saved(rig, call);
}

/* Reads rows, which the test wrote in the order of their keys. */
static void carry_out_read(struct rig *rig, const struct call *call,
			   struct answer *answer)
{
	unsigned int i;

	for (i = 0; i < rig->row_count; i++) {
		if (strcmp(rig->rows[i].table, call->table) != 0 ||
		    strcmp(rig->rows[i].key, call->key) < 0)
			continue;
		if (rig->page_rows &&
		    answer->result.row_count >= rig->page_rows)
			answer->result.more = true;
		else
			add_answer_row(answer, &rig->rows[i]);
	}
}

/* Carries out a call; its answer is still to be delivered. */
static void carry_out(struct rig *rig, struct call *call, struct answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->done = call->done;
	answer->ctx = call->ctx;
	if (call->value)
		carry_out_write(rig, call, answer);
	else
		carry_out_read(rig, call, answer);
	answer->result.rows = answer->rows;
	answer->result.version = rig->version;
	answer->result.now_s = loop_now(&rig->loop);
	g_free(call->key);
	if (call->value)
		g_string_free(call->value, TRUE);
	memset(call, 0, sizeof(*call));
}

static void deliver(struct answer *answer)
{
	size_t i;

	answer->done(answer->ctx, &answer->result);
	for (i = 0; i < answer->result.row_count; i++) {
		g_free(answer->rows[i].key);
		g_string_free(answer->rows[i].value, TRUE);
	}
}

static struct call *find_call(struct rig *rig, const char *table)
{
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++)
		if (rig->calls[i].done && !strcmp(rig->calls[i].table, table))
			return &rig->calls[i];
	return NULL;
}

/* --- the VM --- */

static void ignore_upstream(void *ctx, struct upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void ignore_refusal(void *ctx, const struct upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

static bool is_loaded(void *ctx)
{
	(void)ctx;
	return true;
}

static void ignore_crash(void *ctx, const struct crash *crash)
{
	(void)ctx;
	(void)crash;
}

static void ignore_request(void *ctx, uint64_t request)
{
	(void)ctx;
	(void)request;
}

static const struct roster_ops roster_ops = { ignore_upstream, ignore_change };
static const struct links_ops links_ops = { ignore_refusal };
static const struct table_watch_ops watch_ops = { 0 };

static void add_upstream(struct rig *rig, const char *id, uint16_t port)
{
	struct upstream_entry entry = {
		.id = g_strdup(id),
		.service = g_strdup(SERVICE),
		.zone = g_strdup("z1"),
		.slots = 3,
		.started_ms = 1,
	};

	entry.address.sin_family = AF_INET;
	entry.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	entry.address.sin_port = htons(port);
	roster_put_upstream(rig->roster, &entry);
}

static void configure_service(struct rig *rig)
{
	struct config *config = g_new0(struct config, 1);

	config->version = 1;
	config->service_count = 1;
	config->services = g_new0(struct service_config, 1);
	config->services[0].name = g_strdup(SERVICE);
	config->services[0].keyed = true;
	CU_ASSERT_TRUE(roster_set_config(rig->roster, config));
}

static void open_status(struct rig *rig)
{
	struct watch_status_options options = {
		.loop = &rig->loop,
		.log = rig->log,
		.metrics = rig->metrics,
		.operator_contact = customers_contact(rig->customers),
	};

	rig->status = watch_status_create(&options);
}

static void open_cluster(struct rig *rig)
{
	struct cluster_options options = {
		.loop = &rig->loop,
		.settings = &rig->settings,
		.roster = rig->roster,
		.links = rig->links,
		.protocol = platform_protocol(),
		.store = rig->store,
		.log = rig->log,
		.metrics = rig->metrics,
		.operator_rows = rig->watches[0],
		.upstream_rows = rig->watches[1],
		.roster_loaded = is_loaded,
		.routing_changed = ignore_change,
		.crashes = rig->crashes,
		.customers = rig->customers,
		.status = rig->status,
		.ctx = rig,
	};

	rig->cluster = cluster_create(&options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(rig->cluster);
}

static void setup(struct rig *rig)
{
	static const struct quota_bounds bounds = { 1, 1, 1 };
	struct event_log_options log = { .fd = 2, .lines_per_s = 1 };
	struct crash_watch_options crashes = {
		.loop = &rig->loop,
		.blamed = ignore_crash,
		.cleared = ignore_request,
		.refused = ignore_request,
	};

	memset(rig, 0, sizeof(*rig));
	manual_clock_init(&rig->clock);
	rig->loop.ev = ev_loop_new(EVFLAG_AUTO);
	rig->loop.clock = &rig->clock.clock;
	rig->settings.vm = (char *)"vm1";
	rig->settings.zone = (char *)"z1";
	rig->settings.link_mbps = 1000;
	rig->settings.apply_s = 2;
	rig->settings.leave_s = 2;
	rig->settings.hold_max_s = 6;
	rig->settings.peers.sin_family = AF_INET;
	rig->settings.peers.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->store.ops = &store_ops;
	rig->store.impl = rig;
	rig->log = event_log_create(&log);
	rig->metrics = metrics_create();
	rig->era = store_era_create(&rig->loop, NULL, rig->metrics);
	rig->store.era = rig->era;
	crashes.log = rig->log;
	crashes.metrics = rig->metrics;
	rig->crashes = crash_watch_create(&crashes);
	rig->customers = customers_create(rig->metrics, 2, &bounds,
					  loop_now(&rig->loop));
	rig->roster =
		roster_create(&rig->loop, &rig->settings, &roster_ops, rig);
	rig->budget.limit = (size_t)1 << 20;
	rig->links = links_create(&rig->loop, rig->roster, &rig->budget,
				  &links_ops, rig);
	rig->watches[0] = table_watch_create(&rig->loop, &rig->store, "op", 1,
					     &watch_ops, rig);
	rig->watches[1] = table_watch_create(&rig->loop, &rig->store, "servers",
					     1, &watch_ops, rig);
	open_status(rig);
	open_cluster(rig);
	add_upstream(rig, "a", 1);
	add_upstream(rig, "b", 2);
}

static void teardown(struct rig *rig)
{
	struct answer answer;
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (!rig->calls[i].done)
			continue;
		carry_out(rig, &rig->calls[i], &answer);
		deliver(&answer);
	}
	cluster_destroy(rig->cluster);
	watch_status_destroy(rig->status);
	table_watch_destroy(rig->watches[0]);
	table_watch_destroy(rig->watches[1]);
	links_destroy(rig->links);
	crash_watch_destroy(rig->crashes);
	roster_destroy(rig->roster);
	customers_destroy(rig->customers);
	store_era_destroy(rig->era);
	metrics_destroy(rig->metrics);
	event_log_destroy(rig->log);
	key_map_destroy(rig->saved);
	for (i = 0; i < rig->row_count; i++) {
		g_free(rig->rows[i].key);
		g_string_free(rig->rows[i].value, TRUE);
	}
	ev_loop_destroy(rig->loop.ev);
}

/* Answers all calls but those to the silent table, and runs the VM's timer. */
static void tick(struct rig *rig)
{
	struct answer answer;
	unsigned int i;

	manual_clock_advance(&rig->clock, TICK_S);
	for (i = 0; i < CALLS_MAX; i++) {
		if (!rig->calls[i].done ||
		    (rig->silent && !strcmp(rig->calls[i].table, rig->silent)))
			continue;
		carry_out(rig, &rig->calls[i], &answer);
		deliver(&answer);
	}
	cluster_tick(rig->cluster);
}

static void run(struct rig *rig, double span_s)
{
	double end = loop_now(&rig->loop) + span_s;

	while (loop_now(&rig->loop) < end)
		tick(rig);
}

static void run_until_leading(struct rig *rig)
{
	int i;

	for (i = 0; i < 200 && !rig->cluster->leading; i++)
		tick(rig);
	CU_ASSERT_TRUE_FATAL(rig->cluster->leading);
}

/* Writes the service's owner map as another leader does: all keys are one
 * upstream's. */
static void put_map(struct rig *rig, const char *owner, uint64_t fence)
{
	struct key_map *map = key_map_create();
	struct key_span *span = &g_array_index(map->spans, struct key_span, 0);
	GString *value;

	span->owner = g_intern_string(owner);
	span->started_ms = 1;
	span->fence = fence;
	map->fence = fence;
	value = key_map_pack(map, SERVICE, "another-1");
	put_row(rig, KEY_TABLE, SERVICE, value);
	g_string_free(value, TRUE);
	key_map_destroy(map);
}

/* Another VM leads and gives the lease up again. */
static void put_ended_lease(struct rig *rig)
{
	LeaseRow row = LEASE_ROW__INIT;
	GString *value = g_string_new(NULL);

	row.vm = (char *)"vm2";
	row.address = (char *)"127.0.0.1:9";
	row.attempt = (char *)"vm2-1";
	row.until_s = 0.001;
	g_string_set_size(value, lease_row__get_packed_size(&row));
	lease_row__pack(&row, (uint8_t *)value->str);
	put_row(rig, LEASE_TABLE, LEASE_KEY, value);
	g_string_free(value, TRUE);
}

/* Runs the VM until it has saved an owner map. All keys must still be the
 * upstream's that had them, under a higher fencing token. */
static void check_saved(struct rig *rig, const char *owner, uint64_t fence)
{
	int i;

	for (i = 0; i < 100 && !rig->saved; i++)
		tick(rig);
	CU_ASSERT_PTR_NOT_NULL_FATAL(rig->saved);
	CU_ASSERT_EQUAL(rig->saved->spans->len, 1);
	CU_ASSERT_PTR_EQUAL(key_map_find(rig->saved, 0)->owner,
			    g_intern_string(owner));
	CU_ASSERT_TRUE(key_map_find(rig->saved, 0)->fence > fence);
}

/* Guards against owners from a read of an earlier leadership, since which
 * another leader has moved the keys. */
static void maps_read_in_an_earlier_leadership_are_not_believed(void)
{
	struct answer late;
	struct call *call;
	struct rig rig;

	setup(&rig);
	configure_service(&rig);
	put_map(&rig, "a", 100);
	rig.silent = KEY_TABLE;
	run_until_leading(&rig);
	tick(&rig);
	call = find_call(&rig, KEY_TABLE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(call);
	carry_out(&rig, call, &late);
	put_ended_lease(&rig);
	put_map(&rig, "b", 200);
	while (rig.cluster->leading)
		tick(&rig);
	run_until_leading(&rig);
	deliver(&late);
	CU_ASSERT_FALSE(rig.cluster->maps_read);
	rig.silent = NULL;
	check_saved(&rig, "b", 200);
	CU_ASSERT_EQUAL(rig.map_reads, 2);
	teardown(&rig);
}

/* Guards against a leader that writes its owners over those of another one. */
static void owners_of_another_leader_are_not_overwritten(void)
{
	struct rig rig;

	setup(&rig);
	configure_service(&rig);
	put_map(&rig, "a", 100);
	run_until_leading(&rig);
	while (!rig.cluster->maps_read)
		tick(&rig);
	put_map(&rig, "b", 200);
	check_saved(&rig, "b", 200);
	teardown(&rig);
}

/* Guards against keys that are divided anew, with tokens from the start, when a
 * service comes back into the configuration. */
static void a_service_that_comes_back_keeps_its_owners(void)
{
	struct rig rig;

	setup(&rig);
	put_map(&rig, "b", 5000);
	run_until_leading(&rig);
	run(&rig, 1);
	CU_ASSERT_TRUE(rig.cluster->maps_read);
	configure_service(&rig);
	check_saved(&rig, "b", 5000);
	teardown(&rig);
}

/* Guards against services whose owner maps come after those that fit in one
 * answer, and which got new owners for lack of a map. */
static void owner_maps_are_read_to_the_last(void)
{
	GString *other = g_string_new("");
	struct rig rig;

	setup(&rig);
	configure_service(&rig);
	rig.page_rows = 1;
	put_row(&rig, KEY_TABLE, "another", other);
	put_map(&rig, "b", 5000);
	run_until_leading(&rig);
	check_saved(&rig, "b", 5000);
	CU_ASSERT_EQUAL(rig.map_reads, 2);
	g_string_free(other, TRUE);
	teardown(&rig);
}

/* The store comes back from a copy without any owner map. */
static void lose_maps(struct rig *rig, uint64_t era)
{
	struct fake_row *row = find_row(rig, KEY_TABLE, SERVICE);

	CU_ASSERT_PTR_NOT_NULL_FATAL(row);
	if (!row)
		return;
	g_free(row->key);
	g_string_free(row->value, TRUE);
	*row = rig->rows[--rig->row_count];
	rig->version = store_version(era, store_version_own(rig->version));
	row = find_row(rig, LEASE_TABLE, LEASE_KEY);
	CU_ASSERT_PTR_NOT_NULL_FATAL(row);
	if (row)
		row->version = rig->version;
	store_era_observe(rig->era, era, "test");
}

/* Guards against a leader that takes a service whose map the store lost for a
 * new one: it renewed no grant while upstreams came and went. */
static void a_lost_map_is_saved_while_upstreams_join(void)
{
	struct rig rig;
	uint16_t i;

	setup(&rig);
	rig.version = store_version(1, 100);
	store_era_observe(rig.era, 1, "test");
	configure_service(&rig);
	run_until_leading(&rig);
	run(&rig, 3);
	CU_ASSERT_PTR_NOT_NULL(rig.saved);
	lose_maps(&rig, 2);
	for (i = 0; i < 6; i++) {
		char *id = g_strdup_printf("c%u", i);

		add_upstream(&rig, id, 10 + i);
		run(&rig, 0.5);
		g_free(id);
	}
	CU_ASSERT_TRUE(rig.cluster->leading);
	CU_ASSERT_PTR_NOT_NULL(find_row(&rig, KEY_TABLE, SERVICE));
	teardown(&rig);
}

/* Guards against a leader that saves, before the grants of earlier leaders have
 * ended, a map without owners: the next leader granted the keys at once. */
static void unknown_owners_are_not_saved_as_none(void)
{
	struct rig rig;

	setup(&rig);
	rig.version = store_version(2, 100);
	store_era_observe(rig.era, 2, "test");
	configure_service(&rig);
	put_map(&rig, "a", 100);
	run_until_leading(&rig);
	run(&rig, 5);
	CU_ASSERT_TRUE(rig.cluster->maps_read);
	CU_ASSERT_PTR_NULL(rig.saved);
	run(&rig, 5);
	CU_ASSERT_PTR_NOT_NULL_FATAL(rig.saved);
	CU_ASSERT_TRUE(rig.saved && rig.saved->era == 2);
	CU_ASSERT_TRUE(rig.saved && key_map_find(rig.saved, 0)->owner);
	teardown(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "maps read in an earlier leadership are not believed",
		  maps_read_in_an_earlier_leadership_are_not_believed },
		{ "owners of another leader are not overwritten",
		  owners_of_another_leader_are_not_overwritten },
		{ "a service that comes back keeps its owners",
		  a_service_that_comes_back_keeps_its_owners },
		{ "owner maps are read to the last",
		  owner_maps_are_read_to_the_last },
		{ "a lost map is saved while upstreams join",
		  a_lost_map_is_saved_while_upstreams_join },
		{ "unknown owners are not saved as none",
		  unknown_owners_are_not_saved_as_none },
		{ 0 },
	};

	return suite_run("cluster", cases);
}
