#include "router/worker.h"

#include <sys/epoll.h>
#include <unistd.h>

#include "base/address.h"
#include "base/log.h"
#include "router/request.h"

/* Interval at which timeouts of requests are checked. */
#define TICK_US (INT64_C(10) * US_PER_MS)
/* Most descriptors that one wait reports as ready. */
#define EVENTS_MAX 16
/* How long an idle connection to an upstream can be reused, in seconds. */
#define KEEP_IDLE_S 5L
/*
 * How long connections to an upstream are not reused after one of them failed
 * or stalled. Longer than KEEP_IDLE_S, so that every connection that was idle
 * at that time has been closed.
 */
#define NO_REUSE_US (INT64_C(7) * US_PER_SECOND)
/* Timeout of connecting to an upstream. */
#define CONNECT_US (INT64_C(500) * US_PER_MS)

/* A command that another thread sends to a worker. */
struct command {
	struct message message;
	struct worker *worker;
};

/* A caller sent the complete head of a request. */
static void on_began(void *ctx, struct caller *caller)
{
	request_create(ctx, caller);
}

static void on_caller_progress(void *ctx, struct caller *caller)
{
	(void)ctx;
	if (caller_data(caller))
		request_schedule(caller_data(caller));
}

static void on_ended(void *ctx, struct caller *caller, bool whole)
{
	(void)ctx;
	if (caller_data(caller))
		request_caller_ended(caller_data(caller), whole);
}

static const struct caller_ops caller_ops = {
	.began = on_began,
	.uploaded = on_caller_progress,
	.drained = on_caller_progress,
	.ended = on_ended,
};

static void on_exchange(void *ctx, struct exchange *exchange)
{
	(void)ctx;
	request_exchange_changed(exchange);
}

static const struct exchange_ops exchange_ops = {
	.progressed = on_exchange,
	.ended = on_exchange,
};

static void add_to_epoll(struct worker *worker, int fd)
{
	struct epoll_event event = { .events = EPOLLIN };

	epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

/* Creates the server for one listen address. */
static bool listen_on(struct worker *worker, const char *text, GError **error)
{
	const struct router_options *options = &worker->router->options;
	struct caller_server_options server_options = {
		.connections = (unsigned int)options->max_connections,
		.idle_s = (unsigned int)options->idle_s,
	};
	struct caller_server *server;

	address_parse(str_from(text), &server_options.address);
	server = caller_server_create(&server_options, &caller_ops, worker,
				      error);
	if (!server)
		return false;
	g_ptr_array_add(worker->servers, server);
	add_to_epoll(worker, caller_server_fd(server));
	return true;
}

static bool listen_on_all(struct worker *worker, GError **error)
{
	char **addresses = g_strsplit(worker->router->options.listen, ",", -1);
	bool ok = true;
	char **p;

	for (p = addresses; *p && ok; p++)
		ok = listen_on(worker, *p, error);
	g_strfreev(addresses);
	return ok;
}

static void free_server(void *server)
{
	caller_server_destroy(server);
}

struct worker *worker_create(struct router *router, GError **error)
{
	struct worker *worker = g_new0(struct worker, 1);
	const struct router_options *options = &router->options;
	struct exchange_pool_options exchange_options = {
		.max_host_connections = (long)MAX(
			options->upstream_connections / options->workers, 1),
		.idle_s = KEEP_IDLE_S,
		.connect_us = CONNECT_US,
	};

	worker->router = router;
	worker->mailbox = mailbox_create();
	worker->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	worker->servers = g_ptr_array_new_with_free_func(free_server);
	worker->no_reuse_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	worker->exchanges = exchange_pool_create(
		&exchange_options, router->clock, &exchange_ops, worker);
	add_to_epoll(worker, mailbox_fd(worker->mailbox));
	add_to_epoll(worker, exchange_pool_fd(worker->exchanges));
	if (listen_on_all(worker, error))
		return worker;
	worker_destroy(worker);
	return NULL;
}

void worker_destroy(struct worker *worker)
{
	if (!worker)
		return;
	if (worker->started)
		pthread_join(worker->thread, NULL);
	g_ptr_array_free(worker->servers, TRUE);
	exchange_pool_destroy(worker->exchanges);
	g_hash_table_destroy(worker->no_reuse_until);
	mailbox_destroy(worker->mailbox);
	close(worker->epoll_fd);
	g_free(worker);
}

char *worker_addresses(const struct worker *worker)
{
	GString *out = g_string_new(NULL);
	char text[ADDRESS_TEXT_SIZE];
	guint i;

	for (i = 0; i < worker->servers->len; i++) {
		struct sockaddr_in addr = caller_server_address(
			g_ptr_array_index(worker->servers, i));

		g_string_append_printf(out, "%s%s", i ? "," : "",
				       address_format(&addr, text));
	}
	return g_string_free(out, FALSE);
}

/* Returns the shorter of two waits; a negative wait has no limit. */
static int64_t shorter_wait(int64_t a_us, int64_t b_us)
{
	if (a_us < 0 || b_us < 0)
		return MAX(a_us, b_us);
	return MIN(a_us, b_us);
}

/* Returns the time to wait for events in microseconds; negative: no limit. */
static int64_t wait_us(const struct worker *worker)
{
	int64_t us = exchange_pool_wait_us(worker->exchanges);
	guint i;

	for (i = 0; i < worker->servers->len; i++)
		us = shorter_wait(us, caller_server_wait_us(g_ptr_array_index(
					      worker->servers, i)));
	if (worker->requests.length || worker->quiesced)
		us = shorter_wait(us, MAX(worker->tick_us - worker->now_us, 0));
	return us;
}

static void wait_for_work(struct worker *worker)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t us = wait_us(worker);
	/* Round up, so that the wait does not end just before the due time. */
	int ms = us < 0 ? -1 : (int)((us + US_PER_MS - 1) / US_PER_MS);

	epoll_wait(worker->epoll_fd, events, EVENTS_MAX, ms);
}

static void run_callers(struct worker *worker)
{
	guint i;

	for (i = 0; i < worker->servers->len; i++)
		caller_server_run(g_ptr_array_index(worker->servers, i));
}

/* Advances scheduled requests and delivers messages until neither is left. */
static void advance_scheduled(struct worker *worker)
{
	GList *link;

	do {
		while ((link = g_queue_pop_head_link(&worker->scheduled)))
			request_advance(link->data);
	} while (mailbox_deliver(worker->mailbox));
}

/* Checks the timeouts of all requests, every TICK_US. */
static void tick(struct worker *worker)
{
	GList *link = worker->requests.head;

	if (worker->now_us < worker->tick_us)
		return;
	worker->tick_us = worker->now_us + TICK_US;
	if (link)
		dispatch_tick(worker->router->dispatch);
	while (link) {
		struct request *request = link->data;

		link = link->next;
		request_tick(request);
	}
}

/* Tells whether a caller server has work to do without waiting for an event. */
static bool callers_ready(const struct worker *worker)
{
	guint i;

	for (i = 0; i < worker->servers->len; i++)
		if (caller_server_wait_us(
			    g_ptr_array_index(worker->servers, i)) == 0)
			return true;
	return false;
}

/* Runs one iteration of the event loop, within one read section of the view. */
static void run_iteration(struct worker *worker)
{
	worker->view = view_enter(worker->reader);
	worker->now_us = clock_now_us(worker->router->clock);
	run_callers(worker);
	advance_scheduled(worker);
	exchange_pool_run(worker->exchanges);
	advance_scheduled(worker);
	tick(worker);
	advance_scheduled(worker);
	/* Send the answers that are ready before the next wait. */
	if (callers_ready(worker)) {
		run_callers(worker);
		advance_scheduled(worker);
	}
	worker->view = NULL;
	view_leave(worker->reader);
}

/* Tells whether the thread has to go on: the worker still listens, or requests
 * or callers' connections are left. */
static bool has_work(const struct worker *worker)
{
	guint i;

	if (!worker->quiesced || worker->requests.length)
		return true;
	for (i = 0; i < worker->servers->len; i++)
		if (caller_server_connections(
			    g_ptr_array_index(worker->servers, i)))
			return true;
	return false;
}

/* The thread of a worker. */
static void *run(void *data)
{
	struct worker *worker = data;

	mailbox_set_receiver(worker->mailbox);
	worker->reader = view_reader_create(worker->router->views);
	while (has_work(worker)) {
		worker->now_us = clock_now_us(worker->router->clock);
		wait_for_work(worker);
		run_iteration(worker);
	}
	atomic_store(&worker->finished, true);
	return NULL;
}

void worker_start(struct worker *worker)
{
	worker->started = !pthread_create(&worker->thread, NULL, run, worker);
	if (!worker->started)
		log_error("worker",
			  "cannot create the thread of a worker: connections "
			  "to its sockets are accepted but not served");
}

bool worker_finished(const struct worker *worker)
{
	return atomic_load(&worker->finished);
}

static void deliver_announce_close(struct message *message)
{
	struct command *command = (struct command *)message;
	guint i;

	for (i = 0; i < command->worker->servers->len; i++)
		caller_server_disable_keepalive(
			g_ptr_array_index(command->worker->servers, i));
	g_free(command);
}

static void deliver_quiesce(struct message *message)
{
	struct command *command = (struct command *)message;
	guint i;

	for (i = 0; i < command->worker->servers->len; i++)
		caller_server_quiesce(
			g_ptr_array_index(command->worker->servers, i));
	command->worker->quiesced = true;
	g_free(command);
}

static void send_command(struct worker *worker,
			 void (*deliver)(struct message *message))
{
	struct command *command = g_new0(struct command, 1);

	command->message.deliver = deliver;
	command->worker = worker;
	mailbox_send(worker->mailbox, &command->message);
}

void worker_announce_close(struct worker *worker)
{
	send_command(worker, deliver_announce_close);
}

void worker_quiesce(struct worker *worker)
{
	send_command(worker, deliver_quiesce);
}

void worker_stop_reuse(struct worker *worker, const char *upstream)
{
	int64_t *until_us = g_new(int64_t, 1);

	*until_us = worker->now_us + NO_REUSE_US;
	g_hash_table_replace(worker->no_reuse_until, g_strdup(upstream),
			     until_us);
}

bool worker_reuse_stopped(const struct worker *worker, const char *upstream)
{
	const int64_t *until_us =
		g_hash_table_lookup(worker->no_reuse_until, upstream);

	return until_us && worker->now_us < *until_us;
}
