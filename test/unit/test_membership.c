#include <arpa/inet.h>

#include "fleet.h"
#include "membership/capacity.h"
#include "membership/vm_codec.h"
#include "membership/vm_table.h"
#include "profile/settings.h"
#include "suite.h"

#define SECOND INT64_C(1000000)

#define VALID_ENTRY                                                            \
	"{\"id\":\"good\",\"service\":\"s\",\"zone\":\"z\",\"address\":"       \
	"\"1.2.3.4:5\",\"control\":\"1.2.3.4:6\",\"state\":\"live\"}"

static void malformed_vm_lists_are_refused(void)
{
	static const char *const cases[] = { "", "{}", "{\"vms\":3}", "[]" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct vm_list list;
		GError *error = NULL;

		CU_ASSERT_FALSE(
			vm_list_parse(str_from(cases[i]), &list, &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
}

/* A malformed entry is skipped, and the list's text names the entry's id and
 * the malformed field. The valid entries are kept. */
static void malformed_entries_are_skipped_and_named(void)
{
	static const struct {
		const char *entry;
		const char *id, *part;
	} cases[] = {
		{ "3", "\"\"", "bad id" },
		{ "{\"id\":\"a b\"}", "\"a b\"", "bad id" },
		{ "{\"id\":\"a\",\"service\":\"s\"}", "\"a\"", "bad zone" },
		{ "{\"id\":\"a\",\"service\":\"s\",\"zone\":\"z\","
		  "\"address\":\"here\"}",
		  "\"a\"", "bad address" },
		{ "{\"id\":\"a\",\"service\":\"s\",\"zone\":\"z\","
		  "\"address\":\"1.2.3.4:5\",\"control\":\"1.2.3.4:6\","
		  "\"state\":\"gone\"}",
		  "\"a\"", "bad state" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *json = g_strdup_printf("{\"vms\":[%s," VALID_ENTRY "]}",
					     cases[i].entry);
		struct vm_list list;

		CU_ASSERT_TRUE(vm_list_parse(str_from(json), &list, NULL));
		CU_ASSERT_EQUAL(list.count, 1);
		CU_ASSERT_STRING_EQUAL(list.vms[0].id, "good");
		CU_ASSERT_PTR_NOT_NULL(list.skipped);
		if (list.skipped) {
			CU_ASSERT_PTR_NOT_NULL(
				strstr(list.skipped, cases[i].id));
			CU_ASSERT_PTR_NOT_NULL(
				strstr(list.skipped, cases[i].part));
		}
		vm_list_clear(&list);
		g_free(json);
	}
}

static void vm_list_round_trips_over_the_wire(void)
{
	static const char json[] =
		"{\"vms\":[{\"id\":\"vm-1\",\"service\":\"lots\",\"zone\":"
		"\"machala\",\"address\":\"10.0.0.1:80\",\"control\":"
		"\"10.0.0.1:81\",\"state\":\"leaving\",\"fences\":false}]}";
	struct vm_list list, back;
	VmList *message;

	CU_ASSERT_TRUE(vm_list_parse(STR(json), &list, NULL));
	message = vm_list_to_wire(&list, 7);
	CU_ASSERT_TRUE(vm_list_from_wire(message, &back, NULL));
	CU_ASSERT_EQUAL(back.count, 1);
	CU_ASSERT_STRING_EQUAL(back.vms[0].zone, "machala");
	CU_ASSERT_TRUE(back.vms[0].leaving);
	CU_ASSERT_FALSE(back.vms[0].fences);
	CU_ASSERT_EQUAL(ntohs(back.vms[0].control.sin_port), 81);
	vm_list_wire_free(message);
	vm_list_clear(&back);
	vm_list_clear(&list);
}

static void capacity_counts_remaining_live_upstreams(void)
{
	static const struct {
		/* Load of each live upstream. */
		double load;
		/* Zone and VM that the change takes out of service. */
		const char *zone, *vm;
		bool fits;
	} cases[] = {
		{ 1.0, "a", "", true },	  { 1.2, "a", "", true },
		{ 1.3, "a", "", false },  { 2.0, "", "", true },
		{ 1.3, "", "v0", false }, { 0.0, "a", "v1", false },
	};
	struct service service = { .name = (char *)"s" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct settings *s = settings_create(STR("d"));
		struct capacity_vm vms[] = {
			{ "v0", "s", "a", 3, cases[i].load, true },
			{ "v1", "s", "b", 3, cases[i].load, true },
			{ "v2", "s", "b", 3, 9.0, false },
		};
		char *why = NULL;

		settings_set_zone_out(s, str_from(cases[i].zone), true);
		settings_set_vm_out(s, str_from(cases[i].vm), true);
		s->services = &service;
		s->service_count = 1;
		CU_ASSERT_EQUAL(capacity_fits(vms, 3, s, &why), cases[i].fits);
		CU_ASSERT_EQUAL(why != NULL, !cases[i].fits);
		g_free(why);
		s->services = NULL;
		s->service_count = 0;
		settings_destroy(s);
	}
}

static void run_for(struct fleet *f, int64_t us)
{
	int64_t end = fleet_now(f) + us;

	while (fleet_now(f) < end)
		fleet_step(f, SECOND / 20);
}

/* Each daemon keeps at most cases[].links links, knows all other daemons and is
 * in contact with a quorum. */
static void link_count_is_bounded_at_any_fleet_size(void)
{
	static const struct {
		/* Number of assigners, and most links that each may keep. */
		unsigned int assigners, links;
	} cases[] = { { 1, 0 }, { 2, 1 }, { 12, 11 }, { 13, 12 }, { 60, 9 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet_config config = { .assigners = cases[i].assigners,
					       .seed = 1,
					       .delay_us = 1000 };
		struct fleet *f = fleet_create(&config);
		unsigned int k;

		run_for(f, 20 * SECOND);
		for (k = 0; k < fleet_count(f); k++) {
			CU_ASSERT_TRUE(fleet_sent(f, k).links <=
				       cases[i].links);
			CU_ASSERT_EQUAL(peers_count(fleet_peers(f, k)),
					cases[i].assigners);
			CU_ASSERT_TRUE(peers_quorum_until(fleet_peers(f, k)) >
				       fleet_now(f));
		}
		fleet_destroy(f);
	}
}

/* A daemon has contact with a quorum when it reaches half of its peers: with
 * itself that is a majority of the assigners. */
static void quorum_needs_half_of_the_peers(void)
{
	static const struct {
		unsigned int assigners, killed;
		bool contact;
	} cases[] = {
		{ 2, 0, true },	 { 2, 1, false }, { 3, 1, true },
		{ 3, 2, false }, { 4, 1, true },  { 4, 2, false },
		{ 5, 2, true },	 { 5, 3, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet_config config = { .assigners = cases[i].assigners,
					       .seed = 1,
					       .delay_us = 1000 };
		struct fleet *f = fleet_create(&config);
		unsigned int k;

		run_for(f, 10 * SECOND);
		for (k = 0; k < cases[i].killed; k++)
			fleet_kill(f, k + 1);
		run_for(f, 5 * SECOND);
		CU_ASSERT_EQUAL(peers_quorum_until(fleet_peers(f, 0)) >
					fleet_now(f),
				cases[i].contact);
		fleet_destroy(f);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "malformed VM lists are refused",
		  malformed_vm_lists_are_refused },
		{ "malformed entries are skipped and named",
		  malformed_entries_are_skipped_and_named },
		{ "a VM list is the same after a round trip over the wire",
		  vm_list_round_trips_over_the_wire },
		{ "capacity counts only the remaining live upstreams",
		  capacity_counts_remaining_live_upstreams },
		{ "the number of links is bounded at any fleet size",
		  link_count_is_bounded_at_any_fleet_size },
		{ "a quorum needs contact with half of the peers",
		  quorum_needs_half_of_the_peers },
		{ 0 },
	};

	return suite_run("membership", cases);
}
