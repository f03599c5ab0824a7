/*
 * Measures, at several fleet sizes, how long a settings publication takes until
 * it is in force on every daemon, and the heartbeat traffic of each daemon.
 * Real state machines run over a fake network, so the results say nothing about
 * a real network.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "fleet.h"
#include "profile/profile_file.h"
#include "profile/settings.h"

/* Step of the simulated time. */
#define STEP_US INT64_C(20000)
/* Longest delay of a message, and of a table call each way. */
#define NETWORK_DELAY_US INT64_C(2000)
/* Time for the daemons to find each other, and duration of the measurement of
 * the steady state. */
#define JOIN_US INT64_C(60000000)
#define STEADY_US INT64_C(20000000)
/* Settings versions published, and longest wait for each. */
#define PUBLISHES 10
#define PUBLISH_LIMIT_US INT64_C(30000000)

/* Settings to publish; the weight makes each version differ. */
static const char settings_template[] =
	"[deployment]\nname = d\n"
	"[zone a]\n[zone b]\n[zone c]\n"
	"[profile p]\nweight = %u\n"
	"[service s]\ntenant = t\nprofile = p\n";

/* Prints a result as text and as JSON; size is the number of daemons. */
static void print_measure(const char *name, unsigned int size, double value,
			  const char *unit)
{
	printf("%-34s fleet=%-4u %10.2f %s\n", name, size, value, unit);
	printf("# {\"name\":\"%s\",\"case\":\"fleet=%u\",\"value\":%.3f,"
	       "\"unit\":\"%s\"}\n",
	       name, size, value, unit);
}

static void run_for(struct fleet *f, int64_t us)
{
	int64_t end = fleet_now(f) + us;

	while (fleet_now(f) < end)
		fleet_step(f, STEP_US);
}

/* Returns how many daemons have settings older than version. */
static unsigned int count_outdated(const struct fleet *f, uint64_t version)
{
	unsigned int i, count = 0;

	for (i = 0; i < fleet_count(f); i++)
		count += settings_replica_version(
				 fleet_settings_replica(f, i)) < version;
	return count;
}

/*
 * Publishes settings version n at a daemon. Returns the microseconds from the
 * operator's call until it is in force on every daemon. Waits for at most
 * PUBLISH_LIMIT_US.
 */
static int64_t publish_and_wait(struct fleet *f, unsigned int daemon,
				unsigned int n)
{
	const struct settings_replica *settings_replica =
		fleet_settings_replica(f, daemon);
	int64_t begun = fleet_now(f);
	char text[256], attempt[16];
	struct change change = { .kind = CHANGE_DECLARE };
	struct settings *s;

	g_snprintf(text, sizeof(text), settings_template, n + 1);
	g_snprintf(attempt, sizeof(attempt), "b%u", n);
	s = profile_file_parse("bench", str_from(text), NULL);
	if (!s)
		abort();
	change.declared = s;
	change.base_version = settings_replica_version(settings_replica);
	change.attempt = str_from(attempt);
	change.author = STR("bench");
	fleet_publish(f, daemon, &change);
	settings_destroy(s);
	while (count_outdated(f, n) && fleet_now(f) - begun < PUBLISH_LIMIT_US)
		fleet_step(f, STEP_US);
	return fleet_now(f) - begun;
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void measure_publish(struct fleet *f, unsigned int size)
{
	int64_t delays[PUBLISHES];
	size_t middle = PUBLISHES / 2;
	unsigned int n;

	for (n = 0; n < PUBLISHES; n++) {
		delays[n] = publish_and_wait(f, n % size, n + 1);
		run_for(f, 2000000);
	}
	qsort(delays, PUBLISHES, sizeof(delays[0]), compare);
	print_measure("publish_in_force_median", size,
		      (double)delays[middle] / 1000, "ms");
	print_measure("publish_in_force_max", size,
		      (double)delays[PUBLISHES - 1] / 1000, "ms");
}

/* Returns the traffic of each daemon; the caller frees it with g_free(). */
static struct fleet_sent *copy_traffic(const struct fleet *f)
{
	struct fleet_sent *sent = g_new0(struct fleet_sent, fleet_count(f));
	unsigned int i;

	for (i = 0; i < fleet_count(f); i++)
		sent[i] = fleet_sent(f, i);
	return sent;
}

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Measures traffic and CPU of the fleet's daemons in the steady state. */
static void measure_steady(struct fleet *f, unsigned int size)
{
	struct fleet_sent *before = copy_traffic(f);
	double cpu = cpu_seconds();
	struct fleet_sent *after;
	double seconds = (double)STEADY_US / 1e6;
	double messages = 0, bytes = 0, table_calls = 0, busiest_rate = 0;
	unsigned int i, links = 0;

	run_for(f, STEADY_US);
	cpu = cpu_seconds() - cpu;
	after = copy_traffic(f);
	for (i = 0; i < size; i++) {
		double rate =
			(double)(after[i].bytes - before[i].bytes) / seconds;

		messages += (double)(after[i].messages - before[i].messages);
		bytes += (double)(after[i].bytes - before[i].bytes);
		table_calls +=
			(double)(after[i].table_calls - before[i].table_calls);
		busiest_rate = MAX(busiest_rate, rate);
		links = MAX(links, after[i].links);
	}
	print_measure("heartbeat_messages_per_daemon", size,
		      messages / seconds / size, "1/s");
	print_measure("heartbeat_bytes_per_daemon", size,
		      bytes / seconds / size, "B/s");
	print_measure("heartbeat_bytes_busiest_daemon", size, busiest_rate,
		      "B/s");
	print_measure("links_busiest_daemon", size, links, "links");
	print_measure("table_reads_of_fleet", size, table_calls / seconds,
		      "1/s");
	print_measure("membership_cpu_per_daemon", size,
		      cpu / seconds / size * 100,
		      "% of a core, network fake included");
	g_free(before);
	g_free(after);
}

static void measure(unsigned int size)
{
	struct fleet_config config = { .assigners = size,
				       .seed = 1,
				       .delay_us = NETWORK_DELAY_US };
	struct fleet *f = fleet_create(&config);

	fleet_set_table_delay(f, NETWORK_DELAY_US);
	run_for(f, JOIN_US);
	measure_steady(f, size);
	measure_publish(f, size);
	fleet_destroy(f);
}

/* Measures all fleet sizes, or only the one given as argument. */
int main(int argc, char **argv)
{
	static const unsigned int sizes[] = { 12, 48, 120, 490 };
	size_t i;

	if (argc > 1) {
		measure((unsigned int)atoi(argv[1]));
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
