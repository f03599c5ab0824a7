/* Tests of load messages: their encoding, the numbers of upstreams that the VMs
 * agree on, and their size in fleets of different sizes. */
#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "entry/live_vms.h"
#include "entry/load_exchange.h"
#include "loads/load_columns.h"
#include "loads/load_index.h"
#include "manual_clock.h"
#include "suite.h"

/* --- encoding --- */

static void ratios_are_kept_within_the_error(void)
{
	int step;

	CU_ASSERT_EQUAL(load_ratio_decode(load_ratio_encode(0)), 0);
	/* From 0.02 to 900 in steps of 1.3%. */
	for (step = 0; step < 829; step++) {
		double ratio = 0.02 * pow(1.013, step);

		CU_ASSERT_TRUE(
			fabs(load_ratio_decode(load_ratio_encode(ratio)) /
				     ratio -
			     1) < LOAD_RATIO_ERROR);
	}
	CU_ASSERT_TRUE(load_ratio_decode(load_ratio_encode(1e-9)) > 0);
	CU_ASSERT_TRUE(load_ratio_decode(load_ratio_encode(1e9)) > 900);
}

static const struct load_entry samples[] = {
	{ 0 },
	{ .flights = 1 },
	{ .flights = 62, .answers = 1, .relative = 1, .work_factor = 1 },
	{ .flights = 63, .failures = 3 },
	{ .flights = 64, .answers = 255, .relative = 20, .work_factor = 0.5 },
	{ .flights = 255, .answers = 9, .relative = 0.1, .failures = 255 },
};

static void check_entry(const struct load_entry *got,
			const struct load_entry *expected)
{
	CU_ASSERT_EQUAL(got->flights, expected->flights);
	CU_ASSERT_EQUAL(got->answers, expected->answers);
	CU_ASSERT_EQUAL(got->failures, expected->failures);
	CU_ASSERT_DOUBLE_EQUAL(got->relative, expected->relative,
			       expected->relative * LOAD_RATIO_ERROR);
	CU_ASSERT_DOUBLE_EQUAL(got->work_factor, expected->work_factor,
			       expected->work_factor * LOAD_RATIO_ERROR);
}

static void totals_survive_encoding(void)
{
	struct load_entry got[G_N_ELEMENTS(samples)] = { 0 };
	GByteArray *flights =
		load_flights_encode(samples, G_N_ELEMENTS(samples));
	GByteArray *outcomes =
		load_outcomes_encode(samples, G_N_ELEMENTS(samples));
	size_t i;

	CU_ASSERT_TRUE(load_flights_decode(flights->data, flights->len, got,
					   G_N_ELEMENTS(got)));
	CU_ASSERT_TRUE(load_outcomes_decode(outcomes->data, outcomes->len, got,
					    G_N_ELEMENTS(got)));
	for (i = 0; i < G_N_ELEMENTS(samples); i++)
		check_entry(&got[i], &samples[i]);
	/* Guards against entries that are applied to other upstreams because
	 * the count differs, and against damaged bytes. */
	CU_ASSERT_FALSE(load_flights_decode(flights->data, flights->len, got,
					    G_N_ELEMENTS(got) - 1));
	for (i = 0; i < outcomes->len; i++)
		CU_ASSERT_FALSE(load_outcomes_decode(outcomes->data, i, got,
						     G_N_ELEMENTS(got)));
	g_byte_array_free(flights, TRUE);
	g_byte_array_free(outcomes, TRUE);
}

static void reports_survive_encoding(void)
{
	static const uint32_t numbers[] = { 70000, 0, 1, 127, 129, 16600 };
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(struct load_report_entry));
	GArray *got;
	GByteArray *bytes;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(samples); i++) {
		struct load_report_entry entry = { numbers[i], samples[i] };

		g_array_append_val(entries, entry);
	}
	bytes = load_report_encode(entries);
	got = load_report_decode(bytes->data, bytes->len);
	CU_ASSERT_PTR_NOT_NULL_FATAL(got);
	CU_ASSERT_EQUAL_FATAL(got->len, entries->len);
	for (i = 0; i < got->len; i++) {
		const struct load_report_entry *expected =
			&g_array_index(entries, struct load_report_entry, i);
		const struct load_report_entry *entry =
			&g_array_index(got, struct load_report_entry, i);

		CU_ASSERT_EQUAL(entry->number, expected->number);
		check_entry(&entry->load, &expected->load);
	}
	g_array_free(got, TRUE);
	got = load_report_decode(bytes->data, bytes->len - 1);
	CU_ASSERT_PTR_NULL(got);
	g_byte_array_free(bytes, TRUE);
	g_array_free(entries, TRUE);
}

/* Counts above what a byte holds keep their ratio: the share of failures
 * decides whether an upstream gets requests. */
static void large_counts_keep_their_share(void)
{
	struct load_entry entry = { .answers = 900, .failures = 100 }, got;
	GByteArray *bytes = load_outcomes_encode(&entry, 1);

	CU_ASSERT_TRUE(load_outcomes_decode(bytes->data, bytes->len, &got, 1));
	CU_ASSERT_DOUBLE_EQUAL((double)got.failures / got.answers, 1 / 9.0,
			       0.005);
	g_byte_array_free(bytes, TRUE);
}

/* --- numbers of upstreams --- */

/* Returns an array of the hashes from first to last. */
static GArray *hashes(uint32_t first, uint32_t last)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (; first <= last; first++)
		g_array_append_val(out, first);
	return out;
}

static void update(struct load_index *index, uint32_t first, uint32_t last,
		   double now_s)
{
	GArray *all = hashes(first, last);

	load_index_update(index, all, now_s);
	g_array_free(all, TRUE);
}

static bool follow(struct load_index *vm, const struct load_index *leader,
		   double now_s)
{
	struct load_index_state state = load_index_state(leader);
	size_t count;
	const uint32_t *recent = load_index_recent(leader, now_s, &count);

	return load_index_follow(vm, &state, recent, count);
}

static bool adopt(struct load_index *vm, const struct load_index *leader,
		  uint32_t first, uint32_t last)
{
	struct load_index_state state = load_index_state(leader);
	GArray *all = hashes(first, last);
	bool adopted = load_index_adopt(vm, &state, all);

	g_array_free(all, TRUE);
	return adopted;
}

static void vms_learn_the_numbers(void)
{
	struct load_index *leader = load_index_create();
	struct load_index *vm = load_index_create();
	struct load_index_state state;
	const GArray *all;

	update(leader, 10, 20, 100);
	CU_ASSERT_FALSE(follow(vm, leader, 100));
	/* A VM that knows other upstreams can't tell the numbers. */
	CU_ASSERT_FALSE(adopt(vm, leader, 10, 19));
	CU_ASSERT_FALSE(adopt(vm, leader, 11, 21));
	CU_ASSERT_TRUE(adopt(vm, leader, 10, 20));
	/* New upstreams, of which two messages get lost. */
	update(leader, 5, 20, 101);
	update(leader, 5, 22, 102);
	CU_ASSERT_TRUE(follow(vm, leader, 104));
	CU_ASSERT_EQUAL(load_index_number(vm, 5), 11);
	CU_ASSERT_EQUAL(load_index_number(vm, 22), 17);
	CU_ASSERT_EQUAL(load_index_upstream(vm, 16), 21);
	/* A VM that missed all messages needs the list. */
	update(leader, 5, 23, 110);
	update(leader, 5, 24, 120);
	CU_ASSERT_FALSE(follow(vm, leader, 120));
	all = load_index_all(leader);
	load_index_replace(vm, (const uint32_t *)(void *)all->data, all->len);
	CU_ASSERT_TRUE(follow(vm, leader, 130));
	/* The VM leads next: the numbers stay. */
	update(vm, 5, 25, 131);
	CU_ASSERT_TRUE(follow(leader, vm, 131));
	CU_ASSERT_EQUAL(load_index_number(leader, 5), 11);
	state = load_index_state(leader);
	CU_ASSERT_TRUE(load_index_knows(vm, &state));
	load_index_destroy(leader);
	load_index_destroy(vm);
}

/* Guards against numbers that grow for ever with upstreams that come and go,
 * and against messages that repeat all of them. */
static void unused_numbers_are_given_up(void)
{
	struct load_index *leader = load_index_create();
	struct load_index *vm = load_index_create();
	uint32_t first;
	size_t recent;

	for (first = 0; first < 5000; first++) {
		double now_s = 100 + first;

		update(leader, first, first + 99, now_s);
		load_index_recent(leader, now_s, &recent);
		CU_ASSERT_TRUE(recent < 8);
		CU_ASSERT_TRUE(load_index_state(leader).count <= 183);
		CU_ASSERT_TRUE(follow(vm, leader, now_s) ||
			       adopt(vm, leader, first, first + 99));
		CU_ASSERT_EQUAL(load_index_number(vm, first),
				load_index_number(leader, first));
	}
	load_index_destroy(leader);
	load_index_destroy(vm);
}

/* --- the exchange between VMs --- */

/* Requests per second of a VM, of which each takes about 0.23 s. */
#define REQUESTS_PER_S 35
#define IN_FLIGHT 8
#define ROUNDS 40

struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct entry_settings settings;
	struct roster *roster;
	struct load_exchange *exchange;
	/** The roster's upstreams. */
	GPtrArray *upstreams;
	GRand *random;
};

static void ignore_upstream(void *ctx, struct upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

static const struct roster_ops roster_ops = {
	.close_idle = ignore_upstream,
	.changed = ignore_change,
};

static void append_upstream(struct upstream *upstream, void *ctx)
{
	g_ptr_array_add(ctx, upstream);
}

static void add_upstream(struct fixture *f, unsigned int number)
{
	struct upstream_entry entry = {
		.id = g_strdup_printf("upstream-%u", number),
		.service = g_strdup("service"),
		.zone = g_strdup("zone"),
		.slots = 4,
		.started_ms = 1,
	};

	entry.address.sin_family = AF_INET;
	entry.address.sin_addr.s_addr = htonl(0x0a000000 + number);
	entry.address.sin_port = htons(80);
	roster_put_upstream(f->roster, &entry);
	g_ptr_array_set_size(f->upstreams, 0);
	roster_each_upstream(f->roster, append_upstream, f->upstreams);
}

static void setup(struct fixture *f, unsigned int upstreams)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	manual_clock_advance(&f->clock, 1000);
	f->loop.clock = &f->clock.clock;
	f->settings.vm = "vm";
	f->settings.zone = "zone";
	f->settings.retry_window_s = 10;
	f->roster = roster_create(&f->loop, &f->settings, &roster_ops, f);
	f->exchange = load_exchange_create(&f->loop, f->roster);
	f->upstreams = g_ptr_array_new();
	f->random = g_rand_new_with_seed(upstreams);
	for (i = 0; i < upstreams; i++)
		add_upstream(f, i);
}

static void teardown(struct fixture *f)
{
	load_exchange_destroy(f->exchange);
	roster_destroy(f->roster);
	g_ptr_array_free(f->upstreams, TRUE);
	g_rand_free(f->random);
}

static struct upstream *random_upstream(struct fixture *f)
{
	return f->upstreams->pdata[g_rand_int_range(f->random, 0,
						    (gint32)f->upstreams->len)];
}

/* Lets requests of a VM end. */
static void end_requests(struct fixture *f, double interval_s)
{
	unsigned int count = (unsigned int)(REQUESTS_PER_S * interval_s +
					    g_rand_double(f->random));

	for (; count; count--) {
		struct load *load = &random_upstream(f)->load;

		load->work_factor = 0.5 + 1.2 * g_rand_double(f->random);
		load_start(load, 0);
		load_end(load,
			 g_rand_double(f->random) < 0.02 ? LOAD_FAILED
							 : LOAD_ANSWERED,
			 0.5 + 2 * g_rand_double(f->random), 0);
	}
}

/* Applies the report of a VM with random load. Returns its size in bytes. */
static size_t play_report(struct fixture *f, unsigned int vm, double interval_s)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmLoads report = VM_LOADS__INIT;
	struct load *busy[IN_FLIGHT];
	char name[16];
	size_t size;
	unsigned int i;

	end_requests(f, interval_s);
	for (i = 0; i < IN_FLIGHT; i++) {
		busy[i] = &random_upstream(f)->load;
		load_start(busy[i], 0);
	}
	g_snprintf(name, sizeof(name), "vm-%u", vm);
	report.vm = name;
	load_exchange_fill_report(f->exchange, &report);
	message.kind_case = PEER_MESSAGE__KIND_VM_LOADS;
	message.vm_loads = &report;
	size = peer_message__get_packed_size(&message);
	load_exchange_apply_vm_report(f->exchange, &report);
	load_exchange_release_report(&report);
	for (i = 0; i < IN_FLIGHT; i++)
		load_end(busy[i], LOAD_CANCELLED, 0, 0);
	return size;
}

static size_t totals_size(LeaderLoads *loads)
{
	PeerMessage message = PEER_MESSAGE__INIT;

	message.kind_case = PEER_MESSAGE__KIND_LEADER_LOADS;
	message.leader_loads = loads;
	return peer_message__get_packed_size(&message);
}

/* Fleets, and the most bytes per second that a VM sends with its reports and
 * receives with the totals (docs/design/control-traffic.md). */
static const struct {
	unsigned int vms, upstreams;
	double report_budget, totals_budget;
} budgets[] = {
	{ 83, 368, 800, 5000 },
	{ 300, 3001, 400, 7500 },
};

static void messages_keep_their_budgets(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(budgets); i++) {
		unsigned int vms = budgets[i].vms, vm, round;
		double interval_s = live_vms_load_interval_s(vms);
		double since_outcomes_s = 0;
		size_t reports = 0, totals = 0;
		struct fixture f;

		setup(&f, budgets[i].upstreams);
		leader_loads_free(load_exchange_totals(f.exchange, false));
		for (round = 0; round < ROUNDS; round++) {
			LeaderLoads *loads;

			for (vm = 0; vm < vms; vm++)
				reports += play_report(&f, vm, interval_s);
			since_outcomes_s += interval_s;
			loads = load_exchange_totals(
				f.exchange, since_outcomes_s >= vms * 0.004);
			if (loads->outcomes.len)
				since_outcomes_s = 0;
			totals += totals_size(loads);
			leader_loads_free(loads);
		}
		printf("# %u VMs, %u upstreams: a VM's reports %.0f B/s, "
		       "totals %.0f B/s\n",
		       vms, budgets[i].upstreams,
		       (double)reports / ROUNDS / vms / interval_s,
		       (double)totals / ROUNDS / interval_s);
		CU_ASSERT_TRUE((double)reports / ROUNDS / vms / interval_s <
			       budgets[i].report_budget);
		CU_ASSERT_TRUE((double)totals / ROUNDS / interval_s <
			       budgets[i].totals_budget);
		teardown(&f);
	}
}

/* Sends the report of a VM, which may be the leader, and the totals back. */
static void exchange(struct fixture *leader, struct fixture *vm)
{
	char leader_name[] = "leader", vm_name[] = "vm";
	VmLoads report = VM_LOADS__INIT;
	LeaderLoads *loads;

	report.vm = vm == leader ? leader_name : vm_name;
	load_exchange_fill_report(vm->exchange, &report);
	load_exchange_apply_vm_report(leader->exchange, &report);
	if (report.wants_index) {
		LoadIndex index = LOAD_INDEX__INIT;

		load_exchange_fill_index(leader->exchange, &index);
		load_exchange_apply_index(vm->exchange, &index);
	}
	load_exchange_release_report(&report);
	loads = load_exchange_totals(leader->exchange, true);
	load_exchange_apply_totals(vm->exchange, loads);
	leader_loads_free(loads);
}

static struct load *load_of(struct fixture *f, const char *upstream)
{
	return &roster_upstream(f->roster, upstream)->load;
}

/* The VM knows other upstreams than the leader. Each applies what concerns the
 * upstreams that it knows, and never to another one. */
static void a_vm_with_other_upstreams_gets_its_loads(void)
{
	struct fixture leader, vm;

	setup(&leader, 40);
	setup(&vm, 40);
	add_upstream(&vm, 1000);
	add_upstream(&leader, 2000);
	load_start(load_of(&vm, "upstream-7"), 0);
	load_start(load_of(&vm, "upstream-1000"), 0);
	load_start(load_of(&leader, "upstream-7"), 0);
	exchange(&leader, &leader);
	/* The VM does not know the leader's numbers, and asks for them. */
	exchange(&leader, &vm);
	CU_ASSERT_EQUAL(load_of(&vm, "upstream-7")->others_s, 0);
	exchange(&leader, &vm);
	CU_ASSERT_EQUAL(load_of(&vm, "upstream-7")->others, 1);
	CU_ASSERT_EQUAL(load_of(&vm, "upstream-7")->others_s,
			loop_now(&vm.loop));
	load_end(load_of(&vm, "upstream-7"), LOAD_ANSWERED, 3, 0);
	load_start(load_of(&vm, "upstream-8"), 0);
	exchange(&leader, &vm);
	exchange(&leader, &leader);
	CU_ASSERT_EQUAL(load_of(&leader, "upstream-7")->others, 0);
	CU_ASSERT_EQUAL(load_of(&leader, "upstream-8")->others, 1);
	CU_ASSERT_EQUAL(load_of(&leader, "upstream-9")->others, 0);
	CU_ASSERT_EQUAL(load_of(&leader, "upstream-2000")->others, 0);
	/* The answer of upstream-7 was slow. */
	CU_ASSERT_TRUE(load_of(&vm, "upstream-7")->slowness > 1);
	CU_ASSERT_EQUAL(load_of(&vm, "upstream-9")->slowness, 1);
	teardown(&leader);
	teardown(&vm);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "ratios are kept within the error",
		  ratios_are_kept_within_the_error },
		{ "totals survive encoding", totals_survive_encoding },
		{ "reports survive encoding", reports_survive_encoding },
		{ "large counts keep their share",
		  large_counts_keep_their_share },
		{ "VMs learn the numbers", vms_learn_the_numbers },
		{ "unused numbers are given up", unused_numbers_are_given_up },
		{ "messages keep their budgets", messages_keep_their_budgets },
		{ "a VM with other upstreams gets its loads",
		  a_vm_with_other_upstreams_gets_its_loads },
		{ 0 },
	};

	return suite_run("loads", cases);
}
