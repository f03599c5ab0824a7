/*
 * Measures the whole request path with real processes on loopback: the latency
 * and cost that one router adds, how long keys are unserved after losses, and
 * the cost of control traffic.
 *
 * Prints: name case value unit baseline ratio. The ratio is value over
 * baseline, 0 without a baseline. Baselines: for router-answered and the
 * latencies the same load sent directly to the same stand-in upstreams, for
 * router-memory the value before the download, for router-download the size
 * asked for; for other measures the target value.
 */
#include <curl/curl.h>
#include <string.h>

#include "bench_path_parts/measure.h"

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {
		{ "router", measure_router },
		{ "unserved", measure_unserved },
		{ "control", measure_control },
	};
	size_t i;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	/* Runs all parts, or only the part named by the argument. */
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		if (argc < 2 || !strcmp(argv[1], parts[i].name))
			parts[i].run();
	curl_global_cleanup();
	return 0;
}
