/*
 * Tests of the forwarder with its roster and its connections, over sockets of
 * one event loop: callers, the daemon's server and upstreams. Guards against
 * work that frees what a function further up the call stack still uses, which
 * the address sanitizer reports.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "customers/customers.h"
#include "entry/forward.h"
#include "platform/decode.h"
#include "suite.h"

#define SERVICE "pair"
#define KEYED "keyed"
#define HELD_MAX 64
/* Requests that one connection may have in progress: the server reads no more,
 * and so doesn't notice that the caller leaves. */
#define PIPELINED 16

/* Two routes of one service, which differ in priority only, and one of a keyed
 * service. */
#define ROUTE(name, priority, service)                                         \
	"[\"" name "\",\"app.example\",\"/" name                               \
	"/\",\"safe\",3,0.5," priority ",\"" service "\",3,null]"
static const char config_text[] =
	"{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\","
	"\"max_attempts\",\"split\"],\"rows\":[" ROUTE(
		"urgent", "1",
		SERVICE) "," ROUTE("later", "2",
				   SERVICE) "," ROUTE("owned", "2",
						      KEYED) "]},"
							     "\"services\":{"
							     "\"columns\":["
							     "\"name\","
							     "\"health_path\","
							     "\"max_conns\","
							     "\"cold_start_s\","
							     "\"cold_per_s\","
							     "\"sharded\","
							     "\"warm_s\"],"
							     "\"rows\":[["
							     "\"" SERVICE
							     "\",\"/"
							     "health\",130,3,5."
							     "2,"
							     "false,3],["
							     "\"" KEYED "\",\"/"
							     "health\",130,3,5."
							     "2,true,3]]},"
							     "\"limits\":{"
							     "\"max_header_"
							     "bytes\":"
							     "4096,\"max_body_"
							     "bytes\":100000,"
							     "\"header_timeout_"
							     "s\":3,\"idle_"
							     "timeout_s\":15}}";

/* An upstream: rejects all requests, as it is full or doesn't hold their keys,
 * or holds them until the test answers. */
struct target {
	struct rig *rig;
	const char *id;
	bool full;
	bool keyless;
	struct http_server *server;
};

struct rig {
	struct loop loop;
	struct entry_settings settings;
	struct roster *roster;
	struct byte_budget answers;
	struct links *links;
	struct metrics *metrics;
	struct event_log *log;
	struct crash_watch *crashes;
	struct customers *customers;
	struct forward *forward;
	struct http_server *callers;
	struct target targets[2];
	/** Requests at the upstream that holds them, oldest first. */
	struct http_request *held[HELD_MAX];
	unsigned int held_count;
	/** Number of times that an answer said that its upstream leaves. */
	unsigned int leaving;
	/** Requests that reached an upstream. */
	unsigned int reached;
	/** What happens to the upstreams once one was chosen for a request, or
	 * NULL. */
	void (*after_choice)(struct rig *rig);
};

static void answer(struct http_request *request, unsigned int status,
		   const char *field)
{
	struct headers *headers = headers_create();
	const struct header *id =
		headers_find(request->headers, STR("x-request-id"));
	struct http_answer out = { .status = status, .headers = headers };

	headers_add(headers, STR("X-Request-Id"), id->value);
	headers_add_line(headers, str_from(field));
	if (status == 200)
		headers_add_line(headers, STR("X-Server-Signature: s"));
	http_request_answer(request, &out);
	headers_destroy(headers);
}

static void on_target_request(void *ctx, struct http_request *request)
{
	struct target *target = ctx;
	struct rig *rig = target->rig;

	rig->reached++;
	if (target->full)
		answer(request, 503, "X-Not-Executed: 1");
	else if (target->keyless)
		answer(request, 421, "X-Not-Executed: 1");
	else
		rig->held[rig->held_count++] = request;
}

static void remove_held(struct rig *rig, unsigned int i)
{
	memmove(&rig->held[i], &rig->held[i + 1],
		(--rig->held_count - i) * sizeof(struct http_request *));
}

static void on_target_gone(void *ctx, struct http_request *request)
{
	struct rig *rig = ((struct target *)ctx)->rig;
	unsigned int i;

	for (i = rig->held_count; i-- > 0;)
		if (rig->held[i] == request)
			remove_held(rig, i);
}

static const struct http_server_ops target_ops = { on_target_request,
						   on_target_gone };

static void on_caller_request(void *ctx, struct http_request *request)
{
	struct rig *rig = ctx;

	forward_request(rig->forward, request);
	if (rig->after_choice)
		rig->after_choice(rig);
}

static void on_caller_gone(void *ctx, struct http_request *request)
{
	forward_caller_gone(((struct rig *)ctx)->forward, request);
}

static const struct http_server_ops caller_ops = { on_caller_request,
						   on_caller_gone };

static void on_close_idle(void *ctx, struct upstream *upstream)
{
	links_close_idle(((struct rig *)ctx)->links, upstream);
}

static void on_changed(void *ctx)
{
	struct rig *rig = ctx;

	if (rig->forward)
		forward_dispatch_soon(rig->forward);
}

static const struct roster_ops roster_ops = { on_close_idle, on_changed };

static void on_refused(void *ctx, const struct upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

static const struct links_ops links_ops = { on_refused };

static void on_crash(void *ctx, const struct crash *crash)
{
	(void)ctx;
	(void)crash;
}

static void on_fingerprint(void *ctx, uint64_t request)
{
	(void)ctx;
	(void)request;
}

static void on_leaving(void *ctx)
{
	((struct rig *)ctx)->leaving++;
}

static struct http_server *listen_on_loopback(struct rig *rig,
					      const struct http_server_ops *ops,
					      void *ctx)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct http_server *server;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server = http_server_create(&rig->loop, &address, ops, ctx, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	return server;
}

static void start_target(struct rig *rig, struct target *target, const char *id,
			 const char *service)
{
	struct upstream_entry entry = {
		.id = g_strdup(id),
		.service = g_strdup(service),
		.zone = g_strdup("z1"),
		.slots = 1,
		.started_ms = 1,
	};

	target->rig = rig;
	target->id = id;
	target->server = listen_on_loopback(rig, &target_ops, target);
	entry.address = http_server_address(target->server);
	roster_put_upstream(rig->roster, &entry);
}

static void setup(struct rig *rig)
{
	struct event_log_options log = { .fd = open("/dev/null", O_WRONLY),
					 .lines_per_s = 1 };
	struct crash_watch_options crashes = { .blamed = on_crash,
					       .cleared = on_fingerprint,
					       .refused = on_fingerprint };
	struct forward_options forward = { .said_leaving = on_leaving };
	const struct quota_bounds bounds = { .window_s = 5 };

	memset(rig, 0, sizeof(*rig));
	signal(SIGPIPE, SIG_IGN);
	rig->loop.ev = ev_loop_new(EVFLAG_AUTO);
	rig->loop.clock = clock_system();
	rig->settings.zone = (char *)"z1";
	rig->settings.retry_window_s = 10;
	rig->settings.retry_ratio = 1000;
	rig->settings.leave_s = 2;
	rig->answers.limit = (size_t)1 << 20;
	rig->metrics = metrics_create();
	rig->log = event_log_create(&log);
	rig->roster =
		roster_create(&rig->loop, &rig->settings, &roster_ops, rig);
	rig->links = links_create(&rig->loop, rig->roster, &rig->answers,
				  &links_ops, rig);
	crashes.loop = &rig->loop;
	crashes.log = rig->log;
	crashes.metrics = rig->metrics;
	rig->crashes = crash_watch_create(&crashes);
	forward.loop = &rig->loop;
	forward.settings = &rig->settings;
	forward.roster = rig->roster;
	forward.links = rig->links;
	forward.protocol = platform_protocol();
	forward.log = rig->log;
	forward.metrics = rig->metrics;
	forward.answers = &rig->answers;
	forward.crashes = rig->crashes;
	rig->customers = customers_create(rig->metrics, 2.5, &bounds,
					  loop_now(&rig->loop));
	forward.customers = rig->customers;
	forward.ctx = rig;
	rig->forward = forward_create(&forward);
	rig->callers = listen_on_loopback(rig, &caller_ops, rig);
	CU_ASSERT_TRUE_FATAL(roster_set_config(
		rig->roster,
		platform_directory()->config(str_from(config_text), NULL)));
	rig->targets[0].full = true;
	start_target(rig, &rig->targets[0], "p-full", SERVICE);
	start_target(rig, &rig->targets[1], "p-busy", SERVICE);
}

static void teardown(struct rig *rig)
{
	http_server_destroy(rig->callers);
	links_destroy(rig->links);
	http_server_destroy(rig->targets[0].server);
	http_server_destroy(rig->targets[1].server);
	forward_destroy(rig->forward);
	customers_destroy(rig->customers);
	crash_watch_destroy(rig->crashes);
	roster_destroy(rig->roster);
	event_log_destroy(rig->log);
	metrics_destroy(rig->metrics);
	ev_loop_destroy(rig->loop.ev);
}

/* Runs the event loop for a short time. */
static void run_loop(struct rig *rig)
{
	double end = loop_now(&rig->loop) + 0.03;

	while (loop_now(&rig->loop) < end) {
		ev_run(rig->loop.ev, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	http_server_tick(rig->callers);
}

static int connect_caller(struct rig *rig)
{
	struct sockaddr_in address = http_server_address(rig->callers);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_request(int fd, const char *route, const char *id)
{
	char *text = g_strdup_printf("GET /%s/x HTTP/1.1\r\n"
				     "Host: app.example\r\n"
				     "X-Shard-Key: 7\r\n"
				     "X-Request-Id: %s\r\n"
				     "X-Deadline-Ms: 3000\r\n\r\n",
				     route, id);

	CU_ASSERT_EQUAL(send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
	g_free(text);
}

static unsigned int queued(const struct rig *rig)
{
	return roster_service(rig->roster, SERVICE)->queue.length;
}

/* Finds a request that the upstream holds; returns -1 if it isn't there. */
static int find_held(const struct rig *rig, const char *id)
{
	unsigned int i;

	for (i = 0; i < rig->held_count; i++) {
		const struct header *h = headers_find(rig->held[i]->headers,
						      STR("x-request-id"));

		if (str_equal(h->value, str_from(id)))
			return (int)i;
	}
	return -1;
}

static void answer_held(struct rig *rig, unsigned int i, const char *field)
{
	struct http_request *request = rig->held[i];

	remove_held(rig, i);
	answer(request, 200, field);
}

/* Sends requests until the upstream that works takes no more, so that the last
 * one is queued. */
static void fill(struct rig *rig, int fd)
{
	unsigned int i;

	for (i = 0; i < PIPELINED && !queued(rig); i++) {
		send_request(fd, "later", "other");
		run_loop(rig);
	}
	CU_ASSERT_TRUE_FATAL(queued(rig) && rig->held_count);
}

/*
 * Guards against a queue that is tried again while an answer is being handled:
 * the answer says that its upstream leaves, so that a queued request of the
 * same connection is refused; writing the refusal to the caller, which has
 * left, closes the connection and frees the attempt whose answer it is.
 */
static void an_answer_is_handled_whole_when_its_caller_leaves(void)
{
	struct rig rig;
	int other, caller, i;
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setup(&rig);
	other = connect_caller(&rig);
	caller = connect_caller(&rig);
	fill(&rig, other);
	/* The first one waits at the end of the queue, behind the others. */
	send_request(caller, "later", "first");
	send_request(caller, "urgent", "second");
	for (i = 2; i < PIPELINED; i++)
		send_request(caller, "later", "more");
	run_loop(&rig);
	for (i = 0; i < PIPELINED && find_held(&rig, "second") < 0; i++) {
		answer_held(&rig, 0, "X-A: b");
		run_loop(&rig);
	}
	CU_ASSERT_TRUE_FATAL(find_held(&rig, "second") >= 0);
	CU_ASSERT_TRUE_FATAL(find_held(&rig, "first") < 0);
	setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(caller);
	answer_held(&rig, (unsigned int)find_held(&rig, "second"),
		    "Server-Leaving: 1");
	run_loop(&rig);
	CU_ASSERT_EQUAL(rig.leaving, 1);
	/* No upstream is left for what was queued. */
	CU_ASSERT_EQUAL(queued(&rig), 0);
	CU_ASSERT_EQUAL(http_server_connections(rig.callers), 1);
	close(other);
	run_loop(&rig);
	CU_ASSERT_EQUAL(http_server_connections(rig.callers), 0);
	teardown(&rig);
}

/* A caller's time limit, and whether an upstream that stays silent in it counts
 * as failing. */
struct patience_case {
	const char *deadline_ms;
	bool counts;
};

/* Guards against callers who wait for less time than answers take, and so make
 * healthy upstreams look like failing ones. */
static void impatient_callers_say_nothing_about_an_upstream(void)
{
	/* Answers are assumed to take 150 ms until some are known. */
	static const struct patience_case rows[] = {
		{ "1", false },
		{ "20", false },
		{ "120", false },
		{ "260", true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct upstream *upstream;
		struct rig rig;
		unsigned int wait;
		char *text;
		int caller;

		setup(&rig);
		caller = connect_caller(&rig);
		text = g_strdup_printf("GET /later/x HTTP/1.1\r\n"
				       "Host: app.example\r\n"
				       "X-Request-Id: impatient\r\n"
				       "X-Deadline-Ms: %s\r\n\r\n",
				       rows[i].deadline_ms);
		CU_ASSERT_EQUAL(send(caller, text, strlen(text), 0),
				(ssize_t)strlen(text));
		for (wait = 0; wait < 20; wait++)
			run_loop(&rig);
		upstream = roster_upstream(rig.roster, "p-busy");
		CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
		CU_ASSERT_EQUAL(upstream->load.failures > 0, rows[i].counts);
		CU_ASSERT_EQUAL(upstream->load.ejected_until_s > 0,
				rows[i].counts);
		g_free(text);
		close(caller);
		run_loop(&rig);
		teardown(&rig);
	}
}

/* Guards against a report to the leader that fits in no datagram, since callers
 * sent many requests since the last one. */
static void the_keys_of_a_report_are_limited(void)
{
	struct service *service;
	struct rig rig;
	unsigned int i;

	setup(&rig);
	service = roster_service(rig.roster, SERVICE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(service);
	for (i = 0; i < 100000; i++)
		service_record_key(service, (uint16_t)i);
	CU_ASSERT_EQUAL(service->requested_keys->len, REQUESTED_KEYS_MAX);
	teardown(&rig);
}

static void set_leaving(struct rig *rig)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(rig->targets); i++)
		roster_set_leaving(
			rig->roster,
			roster_upstream(rig->roster, rig->targets[i].id));
}

static void evacuate(struct rig *rig)
{
	roster_set_zone_out(rig->roster, "z1", true);
}

static void remove_all(struct rig *rig)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(rig->targets); i++)
		roster_remove_upstream(rig->roster, rig->targets[i].id, 0);
}

/* Guards against requests that reach an upstream long after it began to leave,
 * because their connections took long to open. */
static void a_request_is_not_sent_once_its_upstream_leaves(void)
{
	static void (*const events[])(
		struct rig * rig) = { set_leaving, evacuate, remove_all };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++) {
		struct rig rig;
		char buf[256] = "";
		int caller;

		setup(&rig);
		rig.after_choice = events[i];
		caller = connect_caller(&rig);
		send_request(caller, "later", "one");
		run_loop(&rig);
		CU_ASSERT_EQUAL(rig.reached, 0);
		CU_ASSERT_TRUE(
			recv(caller, buf, sizeof(buf) - 1, MSG_DONTWAIT) > 0);
		CU_ASSERT_TRUE(g_str_has_prefix(buf, "HTTP/1.1 503 "));
		close(caller);
		run_loop(&rig);
		teardown(&rig);
	}
}

/* Sets the owner of all keys. */
static void set_owner(struct rig *rig, const char *id, uint64_t fence)
{
	struct service *service = roster_service(rig->roster, KEYED);
	struct key_span *span =
		&g_array_index(service->keys->spans, struct key_span, 0);

	span->owner = g_intern_string(id);
	span->started_ms = 1;
	span->fence = fence;
	forward_dispatch_soon(rig->forward);
}

/* Guards against repeats that pile up: each request for a key whose owner lost
 * its grant was sent to it up to four times. */
static void an_owner_without_the_grant_is_asked_seldom(void)
{
	struct target owner = { .keyless = true };
	struct rig rig;
	unsigned int i;
	int caller;

	setup(&rig);
	start_target(&rig, &owner, "p-owner", KEYED);
	set_owner(&rig, "p-owner", 5);
	caller = connect_caller(&rig);
	send_request(caller, "owned", "first");
	run_loop(&rig);
	CU_ASSERT_EQUAL(rig.reached, 1);
	for (i = 0; i < 4; i++)
		send_request(caller, "owned", "other");
	run_loop(&rig);
	run_loop(&rig);
	CU_ASSERT_EQUAL(rig.reached, 1);
	owner.keyless = false;
	set_owner(&rig, "p-owner", 6);
	run_loop(&rig);
	CU_ASSERT_EQUAL(rig.held_count, 5);
	close(caller);
	run_loop(&rig);
	http_server_destroy(owner.server);
	teardown(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an answer is handled whole when its caller leaves",
		  an_answer_is_handled_whole_when_its_caller_leaves },
		{ "an owner without the grant is asked seldom",
		  an_owner_without_the_grant_is_asked_seldom },
		{ "the keys of a report are limited",
		  the_keys_of_a_report_are_limited },
		{ "impatient callers say nothing about an upstream",
		  impatient_callers_say_nothing_about_an_upstream },
		{ "a request is not sent once its upstream leaves",
		  a_request_is_not_sent_once_its_upstream_leaves },
		{ 0 },
	};

	return suite_run("forward", cases);
}
