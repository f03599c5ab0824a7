#include "measure.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Longest wait for loadgen's exit after its report. */
#define LOAD_LIMIT_US (60 * US_PER_SECOND)

void measure_print(const char *name, const char *label, double value,
		   const char *unit, double baseline)
{
	printf("%s %s %.3f %s %.3f %.3f\n", name, label, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0.0);
	fflush(stdout);
}

json_t *measure_load(struct cluster *cluster, const char *targets,
		     const char *const *arguments)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	struct process *load;
	json_t *report;

	g_ptr_array_add(args, g_strdup(PROGRAM_DIR "/loadgen"));
	g_ptr_array_add(args, g_strdup_printf("--targets=%s", targets));
	g_ptr_array_add(args, g_strdup("--json"));
	for (; *arguments; arguments++)
		g_ptr_array_add(args, g_strdup(*arguments));
	g_ptr_array_add(args, NULL);
	load = process_start("loadgen", cluster_folder(cluster),
			     (const char *const *)args->pdata, NULL);
	report = load ? json_loadfd(process_stdout(load), 0, NULL) : NULL;
	if (!report || !process_wait_end(load, LOAD_LIMIT_US, NULL)) {
		printf("# loadgen gave no JSON report or did not exit in "
		       "time\n");
		exit(EXIT_FAILURE);
	}
	process_destroy(load);
	g_ptr_array_unref(args);
	return report;
}

double measure_latency(const json_t *report, const char *member)
{
	const json_t *latency = json_object_get(report, "latency");

	return json_number_value(
		json_object_get(json_object_get(latency, "all"), member));
}

double measure_metric(const struct process *daemon, const char *prefix)
{
	struct http_request request = {
		.address = cluster_operator_address(daemon), .uri = "/metrics"
	};
	struct http_answer *answer = http_send(&request);
	char **lines = g_strsplit(answer->body->str, "\n", -1);
	double sum = 0;
	char **p;

	for (p = lines; *p; p++) {
		const char *space = strrchr(*p, ' ');

		if (g_str_has_prefix(*p, prefix) && space)
			sum += g_ascii_strtod(space + 1, NULL);
	}
	g_strfreev(lines);
	http_answer_destroy(answer);
	return sum;
}

int measure_find_coordinator(struct cluster *cluster, const char *cell)
{
	char *name =
		g_strdup_printf("auburn_assigner_authority{cell=\"%s\"}", cell);
	unsigned int i;
	int found = -1;

	for (i = 0; found < 0 && i < cluster_pair_count(cluster); i++)
		if (measure_metric(cluster_assigner(cluster, i), name) > 0)
			found = (int)i;
	g_free(name);
	return found;
}
