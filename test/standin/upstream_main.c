/**
 * standin-upstream: an upstream server with admission limits, key range grants
 * and fault injection, for tests. Prints the line
 *   listening data=IPv4:port control=IPv4:port
 * After SIGTERM or SIGINT it rejects new requests, finishes those in flight and
 * ends.
 */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/options.h"
#include "upstream.h"

/* Longest wait for in-flight requests at shutdown. */
#define STOP_LIMIT_US (120 * US_PER_SECOND)
/* Upper bound of the options that are numbers. */
#define NUMBER_MAX 1000000000

/* The options below; fields have the options' units. */
struct settings {
	char *data, *control, *id, *service, *crash_text, *record;
	bool fences;
	int64_t slots, queue, connections, service_us, seed;
	int64_t cold_ms, cold_limit, cold_percent, load_lag_ms;
};

#define NUMBER(field, text, value, least, what)                                \
	{                                                                      \
		.name = (text), .type = OPTION_INT, .fallback = (value),       \
		.min = (least), .max = NUMBER_MAX, .help = (what),             \
		.offset = offsetof(struct settings, field)                     \
	}

static const struct option_spec options[] = {
	{ .name = "data",
	  .type = OPTION_ADDRESS,
	  .fallback = "127.0.0.1:0",
	  .help = "address for requests; port 0 takes a free one",
	  .offset = offsetof(struct settings, data) },
	{ .name = "control",
	  .type = OPTION_ADDRESS,
	  .fallback = "127.0.0.1:0",
	  .help = "address for orders; port 0 takes a free one",
	  .offset = offsetof(struct settings, control) },
	{ .name = "fences",
	  .type = OPTION_BOOL,
	  .fallback = "true",
	  .help = "check the sender of orders, and let grants expire",
	  .offset = offsetof(struct settings, fences) },
	{ .name = "id",
	  .type = OPTION_TEXT,
	  .fallback = "upstream",
	  .help = "id of its VM",
	  .offset = offsetof(struct settings, id) },
	{ .name = "service",
	  .type = OPTION_TEXT,
	  .fallback = "tallies",
	  .help = "service that it runs; its grants' cell",
	  .offset = offsetof(struct settings, service) },
	{ .name = "crash-mark",
	  .type = OPTION_TEXT,
	  .fallback = "crash-now",
	  .help = "a request that contains this text kills the process",
	  .offset = offsetof(struct settings, crash_text) },
	{ .name = "record",
	  .type = OPTION_TEXT,
	  .fallback = "",
	  .help = "log file to append executions and grants to",
	  .offset = offsetof(struct settings, record) },
	NUMBER(slots, "slots", "3", 1, "requests run at once"),
	NUMBER(queue, "queue", "16", 0, "requests queued for a slot"),
	NUMBER(connections, "connections", "130", 1,
	       "limit of open connections"),
	NUMBER(service_us, "service-us", "1000", 0,
	       "mean execution time, microseconds"),
	NUMBER(seed, "seed", "1", 0, "seed of the random execution times"),
	NUMBER(cold_ms, "cold-ms", "0", 0,
	       "cold time after the start, milliseconds"),
	NUMBER(cold_limit, "cold-limit", "1", 0,
	       "requests admitted at once while cold"),
	NUMBER(cold_percent, "cold-percent", "300", 1,
	       "execution time while cold, percent of normal"),
	NUMBER(load_lag_ms, "load-lag-ms", "500", 0,
	       "lag of reported load and health, milliseconds"),
	{ 0 },
};

/* Returns the incarnation id of this process; the caller frees it. */
static char *new_incarnation(const char *id)
{
	return g_strdup_printf("%s-%x-%" G_GINT64_MODIFIER "x", id,
			       (unsigned int)getpid(),
			       clock_wall_us(clock_system()));
}

static struct slots *new_slots(const struct settings *settings)
{
	struct slot_limits limits = {
		.slots = (unsigned int)settings->slots,
		.queue = (unsigned int)settings->queue,
		.cold_limit = (unsigned int)settings->cold_limit,
		.cold_us = settings->cold_ms * US_PER_MS,
		.cold_factor = (double)settings->cold_percent / 100,
		.service_us = settings->service_us,
		.seed = (uint64_t)settings->seed,
	};

	return slots_create(&limits);
}

/* Initializes the upstream and starts its servers; sets error on failure. */
static void init_upstream(struct upstream *upstream,
			  const struct settings *settings, GError **error)
{
	upstream->id = settings->id;
	upstream->service = settings->service;
	upstream->crash_text = settings->crash_text;
	upstream->boot = new_incarnation(settings->id);
	upstream->load_lag_us = settings->load_lag_ms * US_PER_MS;
	pthread_mutex_init(&upstream->lock, NULL);
	upstream->record = record_create(settings->record, error);
	if (!upstream->record)
		return;
	upstream->slots = new_slots(settings);
	upstream->grants = grants_create(settings->service, upstream->boot,
					 settings->fences, upstream->record);
	upstream->data_server = standin_server_create(
		settings->data, (unsigned int)settings->connections,
		upstream_data_handle, upstream, error);
	if (!upstream->data_server)
		return;
	upstream->control_server =
		standin_server_create(settings->control, STANDIN_CONNECTIONS,
				      upstream_control_handle, upstream, error);
}

int main(int argc, char **argv)
{
	static const struct program program = {
		.name = "standin-upstream",
		.about = "Stands in for an upstream in tests.",
		.options = options
	};
	/* Static because the strings are used until the process ends. */
	static struct settings settings;
	struct upstream upstream = { 0 };
	GError *error = NULL;

	options_parse(&program, argc, argv, &settings, NULL);
	standin_signals_block();
	log_setup("info", false);
	init_upstream(&upstream, &settings, &error);
	if (error) {
		log_error("upstream", "%s", error->message);
		return EXIT_FAILURE;
	}
	printf("listening data=%s control=%s\n",
	       standin_server_address(upstream.data_server),
	       standin_server_address(upstream.control_server));
	fflush(stdout);
	standin_signals_wait();
	slots_drain(upstream.slots);
	standin_server_wait_idle(upstream.data_server, STOP_LIMIT_US);
	standin_server_destroy(upstream.data_server);
	standin_server_destroy(upstream.control_server);
	grants_destroy(upstream.grants);
	slots_destroy(upstream.slots);
	record_destroy(upstream.record);
	g_free(upstream.boot);
	return EXIT_SUCCESS;
}
