/*
 * What an auburn-entry process tells of its picture of the store: in the lines
 * of requests and of decisions, and on the metrics address.
 */
#include <math.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster_entry.h"
#include "suite.h"

#define ENTRIES 2
#define GRACE_S 6
/* Longest wait for a line. */
#define LINE_WAIT_MS 3000
/* Age of a table, in milliseconds, that it doesn't reach in calm. */
#define OLD_MS 2500

static struct entry_rig rig;
/* What was read of each entry's log. */
static GString *logs[ENTRIES];

static void setup(void)
{
	unsigned int i;

	entry_rig_start(&rig, ENTRIES, GRACE_S);
	for (i = 0; i < ENTRIES; i++)
		logs[i] = g_string_new(NULL);
}

static void teardown(void)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++)
		g_string_free(logs[i], TRUE);
	entry_rig_stop(&rig);
}

/* Finds the first complete line of an entry's log that contains two texts, and
 * waits for it; returns NULL if none comes. The caller frees the line. */
static char *find_line(unsigned int index, const char *a, const char *b)
{
	struct pollfd p = {
		.fd = process_stdout(rig.entries[index].process),
		.events = POLLIN,
	};
	GString *log = logs[index];
	char buf[4096];

	for (;;) {
		char **lines = g_strsplit(log->str, "\n", -1);
		char *found = NULL;
		guint i;
		ssize_t n;

		for (i = 0; !found && lines[i] && lines[i + 1]; i++)
			if (strstr(lines[i], a) && strstr(lines[i], b))
				found = g_strdup(lines[i]);
		g_strfreev(lines);
		if (found || poll(&p, 1, LINE_WAIT_MS) <= 0)
			return found;
		n = read(p.fd, buf, sizeof(buf));
		if (n <= 0)
			return NULL;
		g_string_append_len(log, buf, n);
	}
}

/* Returns the number after a key of a line; NAN if there is none. */
static double value_of(const char *line, const char *key)
{
	char *text = g_strdup_printf(" %s=", key);
	const char *at = line ? strstr(line, text) : NULL;
	double value =
		at ? g_ascii_strtod(at + strlen(text), NULL) : (double)NAN;

	g_free(text);
	return value;
}

/* Fencing tokens of the store's first era start here. */
#define FENCE_LEAST 4294967296.0
#define FENCE_MOST (FENCE_LEAST + 1e9)

/* What a line has to hold: a number within bounds. */
struct field {
	const char *key;
	double least, most;
};

static void check_fields(const char *line, const struct field *fields)
{
	CU_ASSERT_PTR_NOT_NULL(line);
	for (; line && fields->key; fields++) {
		double value = value_of(line, fields->key);

		if (!(value >= fields->least && value <= fields->most))
			printf("%s out of bounds: %s\n", fields->key, line);
		CU_ASSERT_TRUE(value >= fields->least && value <= fields->most);
	}
}

/* Guards against a refusal that doesn't tell a late VM from an unknown route.
 */
static void lines_of_requests_tell_the_age_of_what_decided_them(void)
{
	static const struct {
		const char *uri, *event;
		struct field fields[8];
	} rows[] = {
		{ "/none/a",
		  "event=refused",
		  { { "status", 404, 404 },
		    { "config", 1, 100 },
		    { "routes", 1, 100 },
		    { "config_row", 1, 1000 },
		    { "newest_row", 1, 1000 },
		    { "config_age_ms", 0, 2000 },
		    { "leader_age_ms", 0, 2000 } } },
		{ "/keyed/a",
		  "event=answered",
		  { { "status", 200, 200 },
		    { "config", 1, 100 },
		    { "config_now", 1, 100 },
		    { "config_age_ms", 0, 2000 },
		    { "fence", FENCE_LEAST, FENCE_MOST },
		    { "map", 1, 1e12 },
		    { "map_age_ms", 0, 60000 } } },
		{ "/keyed/a",
		  "event=sent",
		  { { "row", 1, 1e6 },
		    { "row_age_ms", 0, 60000 },
		    { "upstreams_age_ms", 0, 2000 },
		    { "leaving_ms", -1, -1 },
		    { "fence", FENCE_LEAST, FENCE_MOST } } },
	};
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows) * ENTRIES; i++) {
		unsigned int row = i / ENTRIES, index = i % ENTRIES;
		struct http_answer *answer;
		char id[32], text[48];
		char *line;

		answer = entry_send(&rig.entries[index], rows[row].uri, NULL, 7,
				    NULL, id);
		http_answer_destroy(answer);
		g_snprintf(text, sizeof(text), "id=%s ", id);
		line = find_line(index, text, rows[row].event);
		check_fields(line, rows[row].fields);
		if (line && strstr(line, "status=404"))
			CU_ASSERT_PTR_NOT_NULL(
				strstr(line, " host=app.example "));
		g_free(line);
	}
	teardown();
}

/* Returns the value of a metric of an entry daemon; NAN if it is missing. */
static double metric_of(const struct entry *entry, const char *name)
{
	struct http_request request = { .address = entry->metrics,
					.uri = "/metrics" };
	struct http_answer *answer = http_send(&request);
	char *text = g_strdup_printf("\n%s ", name);
	const char *at = strstr(answer->body->str, text);
	double value =
		at ? g_ascii_strtod(at + strlen(text), NULL) : (double)NAN;

	g_free(text);
	http_answer_destroy(answer);
	return value;
}

/* Guards against a metrics address that doesn't tell which VM is late. */
static void metrics_tell_how_recent_the_tables_are(void)
{
	static const struct field fields[] = {
		{ "auburn_config_version", 1, 100 },
		{ "auburn_config_row", 1, 1000 },
		{ "auburn_table_row{table=\"operators\"}", 1, 1000 },
		{ "auburn_table_newest_row{table=\"upstreams\"}", 1, 1000 },
		{ "auburn_table_age_ms{table=\"operators\"}", 0, 2000 },
		{ "auburn_table_age_ms{table=\"upstreams\"}", 0, 2000 },
		{ "auburn_table_reads_total{table=\"operators\"}", 0, 100 },
		{ "auburn_table_gaps_total{table=\"upstreams\"}", 0, 100 },
		{ "auburn_store_unreachable{table=\"operators\"}", 0, 0 },
		{ "auburn_relies_on{source=\"store\"}", 0, 1 },
		{ "auburn_upstreams", 4, 8 },
		{ "auburn_key_map_version{service=\"keyed\"}", 1, 1e12 },
		{ "auburn_key_map_age_ms{service=\"keyed\"}", 0, 60000 },
		{ "auburn_lease_left_ms", 0, 60000 },
		{ "auburn_heartbeat_age_ms", 0, 2000 },
		{ "auburn_ignored_messages_total", 0, 1000 },
		{ "auburn_late_ticks_total", 0, 1000 },
	};
	double leaders = 0;
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(fields) * ENTRIES; i++) {
		const struct field *field = &fields[i / ENTRIES];
		double value = metric_of(&rig.entries[i % ENTRIES], field->key);

		if (!(value >= field->least && value <= field->most))
			printf("%s is %g\n", field->key, value);
		CU_ASSERT_TRUE(value >= field->least && value <= field->most);
	}
	for (i = 0; i < ENTRIES; i++)
		leaders +=
			metric_of(&rig.entries[i], "auburn_lease_left_ms") > 0;
	CU_ASSERT_EQUAL(leaders, 1);
	teardown();
}

/* Guards against owners of which no line says when they got their keys. */
static void a_leader_logs_its_grants(void)
{
	static const struct field fields[] = {
		{ "fence", FENCE_LEAST, FENCE_MOST },
		{ "first", 0, 0 },
		{ "handover", 0, 0 },
		{ "hold_ms", 1, 60000 },
		{ "lease_left_ms", 1, 60000 },
		{ 0 },
	};
	unsigned int leader;
	char *line;

	setup();
	leader = metric_of(&rig.entries[1], "auburn_lease_left_ms") > 0;
	line = find_line(leader, " first=0 ", "event=grant service=keyed");
	check_fields(line, fields);
	g_free(line);
	teardown();
}

static bool has_old_table(void *ctx)
{
	return metric_of(ctx, "auburn_table_age_ms{table=\"operators\"}") >
	       OLD_MS;
}

/* Guards against VMs that confirm to each other what none has from the store.
 */
static void tables_grow_old_in_an_outage_of_the_store(void)
{
	unsigned int i;

	setup();
	entry_rig_command(&rig, "/control/down?id=1", NULL);
	for (i = 0; i < ENTRIES; i++)
		CU_ASSERT_TRUE(process_wait_until(
			has_old_table, &rig.entries[i], RIG_WAIT_US));
	teardown();
}

/* Guards against a late VM whose log doesn't say so. */
static void a_vm_that_stands_still_says_for_how_long(void)
{
	char *line;

	setup();
	process_freeze(rig.entries[1].process);
	g_usleep(G_USEC_PER_SEC);
	process_continue(rig.entries[1].process);
	line = find_line(1, "part=entry", "event=late_tick");
	CU_ASSERT_TRUE(value_of(line, "late_ms") > 800);
	CU_ASSERT_TRUE(value_of(line, "used_ms") < 300);
	g_free(line);
	teardown();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "lines of requests tell the age of what decided them",
		  lines_of_requests_tell_the_age_of_what_decided_them },
		{ "metrics tell how recent the tables are",
		  metrics_tell_how_recent_the_tables_are },
		{ "a leader logs its grants", a_leader_logs_its_grants },
		{ "tables grow old in an outage of the store",
		  tables_grow_old_in_an_outage_of_the_store },
		{ "a VM that stands still says for how long",
		  a_vm_that_stands_still_says_for_how_long },
		{ 0 },
	};

	return suite_run("entry-status", cases);
}
