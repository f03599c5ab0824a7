#include "router/control.h"

#include <signal.h>
#include <stdio.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"
#include "base/log.h"
#include "router/control_internal.h"
#include "router/explain.h"
#include "router/worker.h"

#define PART "control"
/* Longest wait of the control loop for events: bounds how late what falls due
 * during the wait, such as a heartbeat, is handled. */
#define WAIT_US (INT64_C(20) * US_PER_MS)
/* Timeout of a call to the platform's table. */
#define TABLE_TIMEOUT_US US_PER_SECOND

/* Tells /ready whether callers may use this router; sets *why when not. */
static bool is_ready(void *ctx, const char **why)
{
	const struct control *control = ctx;
	const struct router *router = control->router;

	if (control->stage != SHUTDOWN_NONE) {
		*why = "shutting down";
		return false;
	}
	if (!router_settings_fresh(router, clock_now_us(router->clock))) {
		*why = "no assigner has confirmed the settings recently";
		return false;
	}
	return true;
}

/* Appends all metrics of the router for /metrics. */
static void render_metrics(void *ctx, GString *out)
{
	const struct control *control = ctx;
	char *text = metrics_render(control->router->metrics);

	g_string_append(out, text);
	g_free(text);
	dispatch_render(control->router->dispatch, out);
}

static const struct common_ops common_ops = {
	.ready = is_ready,
	.metrics = render_metrics,
};

/* Mounts the routes and starts to serve the operator address. */
static bool start_operator(struct control *control, GError **error)
{
	const struct router_options *options = &control->router->options;
	struct operator_config config = {
		.token = options->operator_token,
		.mounts = control->mounts,
	};

	address_parse(str_from(options->operator_address), &config.address);
	control->common = (struct common_routes){
		.ops = &common_ops,
		.ctx = control,
		.mounts = control->mounts,
	};
	control->mounts[0] = (struct operator_mount){
		.routes = common_routes,
		.ctx = &control->common,
	};
	control->mounts[1] = (struct operator_mount){
		.routes = explain_routes,
		.ctx = control->router->request_history,
	};
	control->operator_server = operator_server_create(&config, error);
	return control->operator_server != NULL;
}

/*
 * Blocks SIGTERM and SIGINT in this thread and in those that it starts later.
 * Returns a descriptor from which the control loop reads them.
 */
static int block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

static void deliver_wake(struct message *message)
{
	struct control *control =
		(struct control *)((char *)message -
				   offsetof(struct control, wake));

	atomic_store(&control->wake_sent, false);
	control_send_pending(control);
}

void control_wake(struct control *control)
{
	if (atomic_exchange(&control->wake_sent, true))
		return;
	mailbox_send(control->mailbox, &control->wake);
}

struct control *control_create(struct router *router, GError **error)
{
	struct control *control = g_new0(struct control, 1);

	control->router = router;
	control->mailbox = mailbox_create();
	control->wake.deliver = deliver_wake;
	control->http = http_client_create();
	control->signal_fd = block_signals();
	control->incarnation = g_uuid_string_random();
	if (*router->options.platform)
		control->table =
			table_create(control->http, router->options.platform,
				     TABLE_TIMEOUT_US);
	mailbox_set_receiver(control->mailbox);
	control_links_start(control);
	if (start_operator(control, error))
		return control;
	control_destroy(control);
	return NULL;
}

void control_destroy(struct control *control)
{
	if (!control)
		return;
	control_links_stop(control);
	control_platform_stop(control);
	if (control->operator_server)
		operator_server_destroy(control->operator_server);
	http_client_destroy(control->http);
	if (control->table)
		table_destroy(control->table);
	mailbox_destroy(control->mailbox);
	close(control->signal_fd);
	g_free(control->incarnation);
	g_free(control);
}

uint16_t control_operator_port(const struct control *control)
{
	return operator_server_port(control->operator_server);
}

static void for_each_worker(const struct control *control,
			    void (*action)(struct worker *worker))
{
	int64_t i;

	for (i = 0; i < control->router->options.workers; i++)
		action(control->router->workers[i]);
}

static bool workers_finished(const struct control *control)
{
	int64_t i;

	for (i = 0; i < control->router->options.workers; i++)
		if (!worker_finished(control->router->workers[i]))
			return false;
	return true;
}

/* Begins the graceful shutdown on the first SIGTERM or SIGINT. */
static void read_signals(struct control *control, int64_t now_us)
{
	struct signalfd_siginfo info;

	while (read(control->signal_fd, &info, sizeof(info)) ==
	       (ssize_t)sizeof(info)) {
		if (control->stage != SHUTDOWN_NONE)
			continue;
		log_info(PART,
			 "graceful shutdown begins, %u requests in flight",
			 dispatch_running(control->router->dispatch));
		control->stage = SHUTDOWN_LEAVING;
		control->drain_us =
			now_us + control->router->options.drain_ms * US_PER_MS;
		atomic_store(&control->router->draining, true);
		for_each_worker(control, worker_announce_close);
	}
}

/* Enters the next stage of the shutdown when the current one is complete. */
static void advance_shutdown(struct control *control, int64_t now_us)
{
	if (control->stage == SHUTDOWN_LEAVING && now_us >= control->drain_us) {
		control->stage = SHUTDOWN_DRAINING;
		for_each_worker(control, worker_quiesce);
	}
	if (control->stage == SHUTDOWN_DRAINING && workers_finished(control))
		control->stage = SHUTDOWN_DONE;
}

/* Waits for an event, but not past due_us and not longer than WAIT_US. */
static void wait_for_work(struct control *control, int64_t due_us)
{
	const int fds[] = { hub_fd(control->hub), control->signal_fd,
			    mailbox_fd(control->mailbox),
			    operator_server_fd(control->operator_server) };
	int64_t left_us = due_us - clock_now_us(control->router->clock);
	int operator_ms = operator_server_timeout_ms(control->operator_server);
	int64_t wait_us = CLAMP(left_us, 0, WAIT_US);

	if (operator_ms >= 0)
		wait_us = MIN(wait_us, operator_ms * US_PER_MS);
	http_client_wait(control->http, fds, G_N_ELEMENTS(fds), wait_us);
}

void control_run(struct control *control)
{
	int64_t due_us = 0;

	while (control->stage != SHUTDOWN_DONE) {
		int64_t now_us;

		wait_for_work(control, due_us);
		now_us = clock_now_us(control->router->clock);
		read_signals(control, now_us);
		hub_run(control->hub);
		mailbox_deliver(control->mailbox);
		http_client_run(control->http);
		operator_server_run(control->operator_server);
		control_links_tick(control, now_us);
		due_us = control_platform_tick(control, now_us);
		view_store_reclaim(control->router->views);
		advance_shutdown(control, now_us);
	}
	log_info(PART, "stopped after a graceful shutdown");
}
