#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/address.h"
#include "base/log.h"
#include "request/request_history.h"
#include "router/control.h"
#include "router/router.h"
#include "router/worker.h"

#define PART "router"
/* Finished requests that the explain route can find. */
#define HISTORY_ENTRIES 4096
#define EXIT_FAILED 1

bool router_settings_fresh(const struct router *router, int64_t now_us)
{
	return now_us < atomic_load(&router->fresh_until_us);
}

/* Called by the dispatcher when share requests or crash reports are pending. */
static void wake_control(void *ctx)
{
	struct router *router = ctx;

	/* The dispatcher exists before the control thread's state does. */
	if (router->control)
		control_wake(router->control);
}

/* Creates what the workers and the control thread share. */
static void create_shared_state(struct router *router)
{
	struct dispatch_options options = {
		.zone = router->options.zone,
		.daemon = router->options.daemon,
		.capacity = (uint32_t)router->options.max_running,
		.slots = (uint32_t)router->options.upstream_slots,
		.clock = router->clock,
		.wake_control = wake_control,
		.ctx = router,
	};

	router->metrics = metrics_create();
	router->views = view_store_create();
	options.metrics = router->metrics;
	router->dispatch = dispatch_create(&options);
	router->request_history = request_history_create(HISTORY_ENTRIES);
}

/*
 * Replaces the listen option by the addresses that the first worker is bound
 * to. For port 0 the kernel chose a port, on which the other workers must
 * listen too.
 */
static void set_listen_to_bound(struct router *router)
{
	char *bound = worker_addresses(router->workers[0]);

	g_free(router->options.listen);
	router->options.listen = bound;
}

static bool create_workers(struct router *router, GError **error)
{
	int64_t i;

	router->workers = g_new0(struct worker *, router->options.workers);
	for (i = 0; i < router->options.workers; i++) {
		router->workers[i] = worker_create(router, error);
		if (!router->workers[i])
			return false;
		if (!i)
			set_listen_to_bound(router);
	}
	return true;
}

static void destroy_workers(struct router *router)
{
	int64_t i;

	for (i = 0; router->workers && i < router->options.workers; i++)
		worker_destroy(router->workers[i]);
	g_free(router->workers);
}

/* Prints the bound addresses to stdout, for the process that started the
 * router. */
static void print_addresses(const struct router *router)
{
	struct sockaddr_in addr;
	char text[ADDRESS_TEXT_SIZE];

	address_parse(str_from(router->options.operator_address), &addr);
	addr.sin_port = htons(control_operator_port(router->control));
	printf("listening callers=%s operator=%s\n", router->options.listen,
	       address_format(&addr, text));
	fflush(stdout);
}

/* Runs the router until a graceful shutdown is complete. @return exit status */
static int run(struct router *router)
{
	GError *error = NULL;
	int64_t i;

	router->control = control_create(router, &error);
	if (!router->control || !create_workers(router, &error)) {
		log_error(PART, "%s", error->message);
		g_clear_error(&error);
		return EXIT_FAILED;
	}
	for (i = 0; i < router->options.workers; i++)
		worker_start(router->workers[i]);
	print_addresses(router);
	control_run(router->control);
	return 0;
}

int main(int argc, char **argv)
{
	/* Static, as the control state and the workers keep pointers to it. */
	static struct router router;
	int status;

	options_parse(&router_program, argc, argv, &router.options, NULL);
	log_setup(router.options.log_level, router.options.log_json);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	router.clock = clock_system();
	create_shared_state(&router);
	status = run(&router);
	destroy_workers(&router);
	control_destroy(router.control);
	dispatch_destroy(router.dispatch);
	request_history_destroy(router.request_history);
	view_store_destroy(router.views);
	metrics_destroy(router.metrics);
	curl_global_cleanup();
	return status;
}
