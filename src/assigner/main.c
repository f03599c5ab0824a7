#include <signal.h>
#include <stdio.h>

#include "assigner/assigner.h"
#include "base/log.h"

static volatile sig_atomic_t stop;

static void on_signal(int number)
{
	(void)number;
	stop = 1;
}

static void catch_signals(void)
{
	struct sigaction action = { .sa_handler = on_signal };

	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv)
{
	static struct assigner_options options;
	struct assigner *a;
	GError *error = NULL;

	options_parse(&assigner_program, argc, argv, &options, NULL);
	log_setup(options.log_level, options.log_json);
	catch_signals();
	a = assigner_create(&options, &error);
	if (!a) {
		fprintf(stderr, "auburn-assigner: %s\n", error->message);
		return 1;
	}
	assigner_print_addresses(a);
	assigner_run(a, &stop);
	assigner_destroy(a);
	return 0;
}
