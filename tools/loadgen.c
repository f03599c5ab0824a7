/**
 * loadgen: sends open-loop load to routers and checks every answer. Prints a
 * report to stdout when all requests have ended.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/options.h"
#include "loadgen_run.h"

#define PERCENT 100.0

/* Values of the command-line options; their help texts describe them. */
struct settings {
	char *targets, *mix, *events, *upstreams;
	int64_t rate, seconds, keys, zipf_percent, shift_seconds;
	int64_t open_limit, timeout_ms, resend_percent, seed;
	bool json;
};

/* An entry of options[] for an integer in [least, most]. */
#define NUMBER(field, text, value, least, most, what)                          \
	{                                                                      \
		.name = (text), .type = OPTION_INT, .fallback = (value),       \
		.min = (least), .max = (most), .help = (what),                 \
		.offset = offsetof(struct settings, field)                     \
	}

static const struct option_spec options[] = {
	{ .name = "targets",
	  .type = OPTION_ADDRESSES,
	  .help = "callers' addresses of the routers",
	  .offset = offsetof(struct settings, targets) },
	{ .name = "mix",
	  .type = OPTION_TEXT,
	  .fallback = "tallies=1",
	  .help = "SERVICE=WEIGHT[:post][:once][:bytes=N][:body=N]"
		  "[:run_us=N][:speed=N],...",
	  .offset = offsetof(struct settings, mix) },
	{ .name = "events",
	  .type = OPTION_TEXT,
	  .fallback = "",
	  .help = "file for one line a request",
	  .offset = offsetof(struct settings, events) },
	{ .name = "upstreams",
	  .type = OPTION_ADDRESSES,
	  .fallback = "",
	  .help = "control addresses of upstream stand-ins, to count "
		  "duplicates",
	  .offset = offsetof(struct settings, upstreams) },
	{ .name = "json",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "report as one JSON object",
	  .offset = offsetof(struct settings, json) },
	NUMBER(rate, "rate", "100", 1, 1000000, "requests a second"),
	NUMBER(seconds, "seconds", "10", 1, 86400, "how long requests arrive"),
	NUMBER(keys, "keys", "1000", 1, 10000000, "number of keys"),
	NUMBER(zipf_percent, "zipf-percent", "100", 0, 300,
	       "Zipf exponent of the keys, in hundredths"),
	NUMBER(shift_seconds, "shift-seconds", "0", 0, 86400,
	       "time after which other keys are the hottest; 0: never"),
	NUMBER(open_limit, "open-limit", "1000", 1, 100000,
	       "requests open at once"),
	NUMBER(timeout_ms, "timeout-ms", "10000", 1, 3600000,
	       "time after which a caller gives up"),
	NUMBER(resend_percent, "resend-percent", "0", 0, 100,
	       "share of work with an idempotency key that is sent twice"),
	NUMBER(seed, "seed", "1", 0, UINT32_MAX, "seed of arrivals and keys"),
	{ 0 },
};

/* libcurl write callback; ctx is the GString to append to. */
static size_t append_text(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

/*
 * Reads how often an upstream stand-in ran each request. Returns a new
 * reference, or NULL when the answer can't be read.
 */
static json_t *fetch_executions(const char *address)
{
	char *url = g_strdup_printf("http://%s/standin/executions", address);
	GString *text = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	json_t *counts = NULL;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_text);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (curl_easy_perform(easy) == CURLE_OK)
		counts = json_loadb(text->str, text->len, 0, NULL);
	curl_easy_cleanup(easy);
	g_string_free(text, TRUE);
	g_free(url);
	return counts;
}

/* Adds the executions that the stand-ins counted to the report. */
static void add_executions(const char *addresses, struct report *report)
{
	char **list = g_strsplit(addresses, ",", -1);
	char **p;

	for (p = list; *p && **p; p++) {
		json_t *counts = fetch_executions(*p);

		if (!counts)
			log_warn("loadgen",
				 "can't read http://%s/standin/executions; "
				 "duplicates there aren't counted",
				 *p);
		report_add_executions(report, counts);
		json_decref(counts);
	}
	g_strfreev(list);
}

static void print_report(const struct settings *settings, struct report *report,
			 double seconds)
{
	json_t *object;

	if (!settings->json) {
		report_print(report, seconds);
		return;
	}
	object = report_json(report, seconds);
	json_dumpf(object, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(object);
}

/* Returns the plan without its mix. free_plan() frees targets and keys. */
static struct load_plan make_plan(const struct settings *settings)
{
	return (struct load_plan){
		.targets = g_strsplit(settings->targets, ",", -1),
		.keys = key_distribution_create((unsigned int)settings->keys,
						(double)settings->zipf_percent /
							PERCENT),
		.rate = (double)settings->rate,
		.seconds = (double)settings->seconds,
		.shift_seconds = (double)settings->shift_seconds,
		.open_limit = (unsigned int)settings->open_limit,
		.timeout_ms = settings->timeout_ms,
		.resend_percent = (unsigned int)settings->resend_percent,
		.seed = (uint64_t)settings->seed,
	};
}

static void free_plan(struct load_plan *plan, struct mix *mix)
{
	g_strfreev(plan->targets);
	key_distribution_destroy((struct key_distribution *)plan->keys);
	mix_destroy(mix);
}

int main(int argc, char **argv)
{
	static const struct program program = {
		.name = "loadgen",
		.about = "Sends load to routers and checks every answer.",
		.options = options
	};
	/* Static, because its strings are used until the process ends. */
	static struct settings settings;
	struct load_plan plan;
	struct report *report;
	struct mix *mix;
	GError *error = NULL;
	double seconds;

	options_parse(&program, argc, argv, &settings, NULL);
	log_setup("info", false);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	mix = mix_parse(settings.mix, &error);
	report = mix ? report_create(settings.events, &error) : NULL;
	if (!report) {
		log_error("loadgen", "%s", error->message);
		return EXIT_FAILURE;
	}
	plan = make_plan(&settings);
	plan.mix = mix;
	seconds = load_run(&plan, report);
	add_executions(settings.upstreams, report);
	print_report(&settings, report, seconds);
	report_destroy(report);
	free_plan(&plan, mix);
	curl_global_cleanup();
	return EXIT_SUCCESS;
}
