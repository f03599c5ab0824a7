/**
 * standin-platform: serves the platform's table, objects and list of VMs over
 * HTTP, for tests. Prints "listening http=IPv4:port" and runs until SIGTERM
 * or SIGINT.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/options.h"
#include "platform.h"

struct settings {
	char *listen;
	int64_t seed;
};

static const struct option_spec options[] = {
	{ .name = "listen",
	  .type = OPTION_ADDRESS,
	  .fallback = "127.0.0.1:0",
	  .help = "address to serve on; port 0 takes a free one",
	  .offset = offsetof(struct settings, listen) },
	{ .name = "seed",
	  .type = OPTION_INT,
	  .fallback = "1",
	  .min = 0,
	  .max = UINT32_MAX,
	  .help = "seed of the random choice of lost responses",
	  .offset = offsetof(struct settings, seed) },
	{ 0 },
};

int main(int argc, char **argv)
{
	static const struct program program = {
		.name = "standin-platform",
		.about = "Stands in for the platform in tests.",
		.options = options
	};
	/* Static because the strings are used until the process ends. */
	static struct settings settings;
	struct standin_server *server;
	struct platform *platform;
	GError *error = NULL;

	options_parse(&program, argc, argv, &settings, NULL);
	standin_signals_block();
	log_setup("info", false);
	platform = platform_create((uint64_t)settings.seed);
	server = standin_server_create(settings.listen, STANDIN_CONNECTIONS,
				       platform_handle, platform, &error);
	if (!server) {
		log_error("platform", "%s", error->message);
		return EXIT_FAILURE;
	}
	printf("listening http=%s\n", standin_server_address(server));
	fflush(stdout);
	standin_signals_wait();
	standin_server_destroy(server);
	platform_destroy(platform);
	return EXIT_SUCCESS;
}
