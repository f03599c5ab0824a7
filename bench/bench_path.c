/*
 * The whole path as real processes on loopback: what one router adds to
 * latency and costs, time without service after losses, and what control
 * costs. Prints: name case value unit baseline ratio. The baseline of router-*
 * is the same load sent directly to the same stand-ins, that of the others
 * their target or, for memory, the state before.
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
	/* All parts, or the one that is named. */
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		if (argc < 2 || !strcmp(argv[1], parts[i].name))
			parts[i].run();
	curl_global_cleanup();
	return 0;
}
