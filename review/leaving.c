/*
 * leaving: two targets and the callers of a service, for a test of the entry
 * daemon. One target is full and rejects requests; the other one works on some.
 * A caller that has sent several requests on its connection leaves, and right
 * then the second target says in an answer that it leaves as well. Other
 * callers send requests for another service. With TROUBLE=0 the caller stays
 * until it has its answers.
 *
 * Usage: leaving STORE SECONDS CALLERS
 * STORE is the address of standin-site, CALLERS that of an entry daemon. Prints
 * a record to standard output. Exits with 1 if the daemon has ended, with 0 if
 * not, and with 2 if the test could not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define SLOTS 3
/* Time after which the full target rejects a request. */
#define REJECT_S 0.03
/* Requests of other callers at the second target, and of the caller that
 * leaves. */
#define OTHERS 6
#define PIPELINED 14
#define DEADLINE_MS 3000
/* Callers of another service. */
#define OTHER_CALLERS 8
/* Time for the store's changes to be known. */
#define CHANGE_S 0.8
/* Longest time that a request waits at the second target. */
#define HOLD_S 1.0
#define HELD_MAX 32
/* Fewest trials in which the caller left as described. */
#define TRIALS_MIN 5

/* A request that the second target works on. */
struct held {
	char id[40];
	int fd;
};

struct target {
	const char *id;
	struct sockaddr_in address;
	/* Rejects all requests. */
	bool full;
};

struct conn {
	const struct target *target;
	int fd;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct target full_target = { .id = "p-full", .full = true };
static struct target busy_target = { .id = "p-busy" };
static struct held held[HELD_MAX];
static unsigned int held_count;
/* Number of the trial, and whether its first request was rejected. */
static unsigned int trial;
static bool first_rejected;
static struct sockaddr_in store, callers;
static bool stopping;
/* Requests of the other callers that were answered, and those whose connection
 * ended instead. */
static unsigned int answers, unanswered;

static void publish(const struct target *target, const char *state)
{
	char body[512], call[64], host[INET_ADDRSTRLEN];
	static long long born_ms;

	if (!strcmp(state, "ready"))
		born_ms = unix_ms();
	inet_ntop(AF_INET, &target->address.sin_addr, host, sizeof(host));
	snprintf(body, sizeof(body),
		 "{\"service\":\"pair\",\"address\":\"%s:%u\",\"zone\":\"z1\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"cold_left_s\":0,\"seq\":1,\"born\":%lld}",
		 host, ntohs(target->address.sin_port), SLOTS, state, born_ms);
	snprintf(call, sizeof(call), "entry?id=%s", target->id);
	control(&store, call, body);
}

/* --- targets --- */

static void send_answer(int fd, const char *status, const char *id,
			const char *extra, const char *body)
{
	char out[MESSAGE_BYTES];

	snprintf(out, sizeof(out),
		 "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %zu\r\n"
		 "\r\n%s",
		 status, id, extra, strlen(body), body);
	send_all(fd, out, strlen(out));
}

/* Rejects a request of the full target. */
static void reject(int fd, const char *id)
{
	char first[40];

	sleep_s(REJECT_S);
	send_answer(fd, "503 Service Unavailable", id, "X-Not-Executed: 1\r\n",
		    "");
	pthread_mutex_lock(&lock);
	snprintf(first, sizeof(first), "t%u-0", trial);
	first_rejected = first_rejected || !strcmp(id, first);
	pthread_mutex_unlock(&lock);
	record("p-full rejects %s, not executed", id);
}

/* Removes a held request; returns its connection, or -1. */
static int take_held(const char *id)
{
	unsigned int i;
	int fd;

	for (i = 0; i < held_count; i++) {
		if (strcmp(held[i].id, id) != 0)
			continue;
		fd = held[i].fd;
		held[i] = held[--held_count];
		return fd;
	}
	return -1;
}

/* Answers a held request of the second target, which leaves. */
static void finish(const char *id)
{
	int fd;

	pthread_mutex_lock(&lock);
	fd = take_held(id);
	pthread_mutex_unlock(&lock);
	if (fd < 0)
		return;
	send_answer(fd, "200 OK", id,
		    "X-Server-Signature: s\r\nServer-Leaving: 1\r\n", id);
	record("p-busy answers %s and says that it leaves", id);
}

static void hold(int fd, const char *id)
{
	record("p-busy works on %s", id);
	pthread_mutex_lock(&lock);
	if (held_count < HELD_MAX) {
		snprintf(held[held_count].id, sizeof(held->id), "%s", id);
		held[held_count++].fd = fd;
	}
	pthread_mutex_unlock(&lock);
}

static void *serve(void *arg)
{
	struct conn *conn = arg;
	char in[MESSAGE_BYTES], id[40];
	size_t len = 0;
	struct message request;
	unsigned int i;

	while (read_message(conn->fd, in, &len, &request)) {
		field(request.head, "X-Request-Id", id, sizeof(id));
		if (conn->target->full)
			reject(conn->fd, id);
		else
			hold(conn->fd, id);
	}
	pthread_mutex_lock(&lock);
	for (i = held_count; i > 0; i--)
		if (held[i - 1].fd == conn->fd)
			held[i - 1] = held[--held_count];
	pthread_mutex_unlock(&lock);
	close(conn->fd);
	free(conn);
	return NULL;
}

struct listener {
	const struct target *target;
	int fd;
};

static void *accept_all(void *arg)
{
	struct listener *listener = arg;
	int fd;

	while ((fd = accept(listener->fd, NULL, NULL)) >= 0) {
		struct conn *conn = calloc(1, sizeof(*conn));

		if (!conn)
			fail("out of memory");
		conn->target = listener->target;
		conn->fd = fd;
		start_thread(serve, conn);
	}
	free(listener);
	return NULL;
}

static void start_target(struct target *target)
{
	struct listener *listener = calloc(1, sizeof(*listener));

	if (!listener)
		fail("out of memory");
	listener->target = target;
	listener->fd = listen_on(&target->address);
	start_thread(accept_all, listener);
}

/* --- callers --- */

static bool send_request(int fd, const char *path, const char *id)
{
	char out[512];

	snprintf(out, sizeof(out),
		 "GET %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\n"
		 "X-Deadline-Ms: %d\r\n\r\n",
		 path, id, DEADLINE_MS);
	return send_all(fd, out, strlen(out));
}

/* Sends one request after the other until the end of the run. */
static void *ask_others(void *arg)
{
	char in[MESSAGE_BYTES], id[40];
	struct message reply;
	unsigned int n = 0;
	size_t len = 0;
	unsigned int kept = 0;
	int fd = -1;

	while (!stopping) {
		if (fd < 0) {
			fd = connect_to(&callers);
			len = 0;
			kept = 0;
		}
		if (fd < 0) {
			sleep_s(0.1);
			continue;
		}
		snprintf(id, sizeof(id), "b%ld-%u", (long)(size_t)arg, n++);
		if (!send_request(fd, "/plain/work-ms-20", id) ||
		    !read_message(fd, in, &len, &reply)) {
			if (kept && !stopping) {
				record("a caller's kept connection ended "
				       "without an answer to %s",
				       id);
				__atomic_add_fetch(&unanswered, 1,
						   __ATOMIC_RELAXED);
			}
			close(fd);
			fd = -1;
			continue;
		}
		kept++;
		__atomic_add_fetch(&answers, 1, __ATOMIC_RELAXED);
	}
	return NULL;
}

/* Waits until the second target works on a number of requests. */
static bool wait_for_held(unsigned int count)
{
	double until_s = now_s() + HOLD_S;

	while (now_s() < until_s) {
		bool reached;

		pthread_mutex_lock(&lock);
		reached = held_count >= count;
		pthread_mutex_unlock(&lock);
		if (reached)
			return true;
		sleep_s(0.005);
	}
	return false;
}

/* Finds a request of the trial, other than the first, that the second target
 * works on while the first one was rejected by the full one. */
static bool find_later(char *id, size_t size)
{
	double until_s = now_s() + HOLD_S / 2;
	char prefix[24], first[24];

	snprintf(prefix, sizeof(prefix), "t%u-", trial);
	snprintf(first, sizeof(first), "t%u-0", trial);
	while (now_s() < until_s) {
		unsigned int i;
		bool found = false;

		pthread_mutex_lock(&lock);
		for (i = 0; i < held_count; i++) {
			if (!strcmp(held[i].id, first))
				until_s = 0;
			if (strncmp(held[i].id, prefix, strlen(prefix)) != 0)
				continue;
			snprintf(id, size, "%s", held[i].id);
			found = true;
		}
		found = found && first_rejected && until_s > 0;
		pthread_mutex_unlock(&lock);
		if (found)
			return true;
		sleep_s(0.002);
	}
	return false;
}

/* Answers all requests that the second target works on. */
static void finish_all(void)
{
	char id[40];

	for (;;) {
		pthread_mutex_lock(&lock);
		if (held_count)
			snprintf(id, sizeof(id), "%s", held[0].id);
		pthread_mutex_unlock(&lock);
		if (!held_count)
			return;
		finish(id);
	}
}

static void close_with_reset(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Plays one trial; returns whether the caller left as described. */
static bool play(bool trouble)
{
	int others[OTHERS], caller;
	char id[40], out[MESSAGE_BYTES] = "";
	unsigned int i;
	bool found;

	pthread_mutex_lock(&lock);
	trial++;
	first_rejected = false;
	pthread_mutex_unlock(&lock);
	/* Both start again under their ids. */
	publish(&full_target, "ready");
	publish(&busy_target, "ready");
	sleep_s(CHANGE_S);
	for (i = 0; i < OTHERS; i++) {
		snprintf(id, sizeof(id), "o%u-%u", trial, i);
		others[i] = connect_to(&callers);
		if (others[i] < 0 || !send_request(others[i], "/pair/x", id))
			return false;
	}
	found = wait_for_held(OTHERS);
	caller = connect_to(&callers);
	for (i = 0; i < PIPELINED; i++)
		snprintf(out + strlen(out), sizeof(out) - strlen(out),
			 "GET /pair/x HTTP/1.1\r\nHost: app.example\r\n"
			 "X-Request-Id: t%u-%u\r\nX-Deadline-Ms: %d\r\n\r\n",
			 trial, i, DEADLINE_MS);
	found = found && caller >= 0 && send_all(caller, out, strlen(out)) &&
		find_later(id, sizeof(id));
	if (found) {
		record("trial %u: the caller %s, p-busy answers %s", trial,
		       trouble ? "leaves" : "stays", id);
		if (trouble)
			close_with_reset(caller);
		finish(id);
		sleep_s(0.1);
	}
	finish_all();
	if (!found || !trouble) {
		sleep_s(0.1);
		close(caller);
	}
	for (i = 0; i < OTHERS; i++)
		close(others[i]);
	return found;
}

/* Whether the entry daemon accepts connections. */
static bool daemon_runs(void)
{
	int fd = connect_to(&callers);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static const char config[] =
	"{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\","
	"\"max_attempts\",\"split\"],\"rows\":[[\"pair\",\"app.example\","
	"\"/pair/\",\"safe\",3,0.3,1,\"pair\",3,null],[\"plain\","
	"\"app.example\",\"/plain/\",\"safe\",3,0.5,1,\"plain\",2,null]]},"
	"\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\","
	"\"cold_start_s\",\"cold_per_s\",\"sharded\",\"warm_s\"],\"rows\":[["
	"\"pair\",\"/health\",130,3,5.2,null,null],[\"plain\",\"/health\",130,"
	"3,5.2,null,null]]},\"limits\":{\"max_header_bytes\":4096,"
	"\"max_body_bytes\":100000,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15}}";

int main(int argc, char **argv)
{
	const char *setting = getenv("TROUBLE");
	bool trouble = !setting || strcmp(setting, "0") != 0;
	bool runs = true;
	unsigned int left = 0;
	double end_s;
	long i;

	signal(SIGPIPE, SIG_IGN);
	now_s();
	if (argc < 4)
		fail("usage: leaving STORE SECONDS CALLERS");
	parse_address(argv[1], &store);
	end_s = strtod(argv[2], NULL);
	parse_address(argv[3], &callers);
	control(&store, "config", config);
	start_target(&full_target);
	start_target(&busy_target);
	publish(&full_target, "ready");
	publish(&busy_target, "ready");
	sleep_s(1);
	for (i = 0; i < OTHER_CALLERS; i++)
		start_thread(ask_others, (void *)(size_t)i);
	while (runs && now_s() < end_s) {
		left += play(trouble);
		runs = daemon_runs();
	}
	stopping = true;
	record("trouble %d: %u trials, in %u of them the caller %s; the entry "
	       "daemon %s; other callers: %u requests answered, %u connections "
	       "ended without an answer",
	       trouble, trial, left, trouble ? "left" : "stayed",
	       runs ? "runs" : "has ended", answers, unanswered);
	fflush(stdout);
	if (!runs)
		_exit(1);
	_exit(left < TRIALS_MIN ? 2 : 0);
}
