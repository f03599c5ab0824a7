/*
 * holders: the targets and the clients of a small deployment, for a test of the
 * entry daemon. The targets own keys by grants, as the users' protocol says.
 * They are restarted one after the other: a target drains, ends and starts
 * again under its id. With TROUBLE set to anything but 0 some of them send a
 * second copy of some answers, late: where the answer to the connection's next
 * request is due.
 *
 * Usage: holders STORE SEED SECONDS CALLERS...
 * STORE is the address of standin-site, CALLERS are those of entry daemons.
 * Prints a record to standard output. Exits with 1 if a target was given a key
 * on which another one was at work, with 0 if not, and with 2 if the test could
 * not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define KEYS 65536
#define TARGETS 5
#define SLOTS 8
/* Requests that a target queues beyond its slots. */
#define QUEUE 8
#define CLIENTS 64
#define CLIENT_DEADLINE_MS 3000
/* Time that a request's work takes: between these, evenly. */
#define WORK_MIN_MS 50
#define WORK_MAX_MS 400
/* Longest time that a client waits between two requests. */
#define THINK_MS 600
/* Time from a target's notice to its end, and from its end to its start. */
#define DRAIN_S 2.5
#define DOWN_S 0.3
/* Releases of the targets' software: so many targets are restarted, with a
 * time between their notices. The next release follows after a pause. */
#define RELEASE_TARGETS 2
#define RELEASE_GAP_S 1.0
#define RELEASE_PAUSE_S 2.0
/* Dose of the second copies: share of the targets, share of their answers, and
 * length of one disruption, with a pause before the next one. */
#define COPY_TARGETS 0.6
#define COPY_ANSWERS 0.03
#define COPY_S 5.0
#define COPY_PAUSE_S 0.5
/* Keep-alive time that targets announce, in seconds. */
#define KEEP_ALIVE_S 10
/* Fewest answered requests and releases of a run that says anything. */
#define ANSWERED_MIN 500
#define RELEASES_MIN 20

/* A request at work at a target. */
struct work {
	int key;
	char id[40];
	/* End of the hold under which the work began. */
	double hold_until_s;
	/* The target's life that runs it. */
	unsigned int life;
	struct work *next;
};

struct target {
	char id[16];
	struct sockaddr_in address;
	int listener;
	/* Unix time of the last start, in ms. */
	long long born_ms;
	/* Number of starts; a connection ends with the life that took it. */
	unsigned int life;
	bool draining;
	/* Sends second copies while a disruption lasts. */
	bool faulty;
	/* Per key: end of the hold, whether requests may begin, and the highest
	 * fencing token. */
	double hold_until_s[KEYS];
	bool open[KEYS];
	unsigned long long fence[KEYS];
	unsigned int running, waiting;
	struct work *works;
	struct conn *conns;
};

/* One connection to a target. */
struct conn {
	struct target *target;
	unsigned int life;
	struct conn *next;
	int fd;
	char in[MESSAGE_BYTES];
	size_t len;
	/* Second copy of an answer that is still to be sent. */
	char copy[MESSAGE_BYTES];
	size_t copy_len;
};

struct client {
	pthread_t thread;
	struct sockaddr_in daemon;
	unsigned int number;
	unsigned int seed;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct target targets[TARGETS];
static struct sockaddr_in store;
static bool trouble;
static bool stopping;
static unsigned int seed;
/* Counters of the run. */
static unsigned int answered, copies, releases, grants, violations, wrong;

/* Writes a target's entry to the store. */
static void publish(const struct target *target)
{
	char body[512], call[64], host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &target->address.sin_addr, host, sizeof(host));
	snprintf(body, sizeof(body),
		 "{\"service\":\"holders\",\"address\":\"%s:%u\",\"zone\":"
		 "\"z1\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"cold_left_s\":0,\"seq\":1,\"born\":%lld}",
		 host, ntohs(target->address.sin_port), SLOTS,
		 target->draining ? "draining" : "ready", target->born_ms);
	snprintf(call, sizeof(call), "entry?id=%s", target->id);
	control(&store, call, body);
}

/* --- targets --- */

/* Whether second copies are being sent now. */
static bool copying(void)
{
	double since = now_s();

	while (since > COPY_S + COPY_PAUSE_S)
		since -= COPY_S + COPY_PAUSE_S;
	return trouble && since < COPY_S;
}

/* Sends an answer. extra holds more header lines, each with its line end. */
static bool answer(struct conn *conn, const struct message *request,
		   const char *status, const char *extra, const char *body)
{
	const struct target *target = conn->target;
	char out[MESSAGE_BYTES], id[40], id_line[64] = "";

	if (*field(request->head, "X-Request-Id", id, sizeof(id)))
		snprintf(id_line, sizeof(id_line), "X-Request-Id: %s\r\n", id);
	snprintf(out, sizeof(out),
		 "HTTP/1.1 %s\r\n%s%sX-Server-Load: %u,%u,%d,100\r\n"
		 "Keep-Alive: timeout=%d\r\nContent-Length: %zu\r\n\r\n%s",
		 status, id_line, extra, target->running, target->waiting,
		 SLOTS, KEEP_ALIVE_S, strlen(body), body);
	if (strstr(extra, "X-Server-Signature") && target->faulty &&
	    copying() &&
	    (double)rand_r(&seed) < COPY_ANSWERS * (double)RAND_MAX) {
		conn->copy_len = strlen(out);
		memcpy(conn->copy, out, conn->copy_len);
	}
	return send_all(conn->fd, out, strlen(out));
}

/* Records a violation if another target is at work on a key that a target is
 * being granted, and the hold of that work hasn't run out. */
static void check_others(const struct target *target, int from, int to)
{
	double now = now_s();
	int i;

	for (i = 0; i < TARGETS; i++) {
		const struct work *work;

		if (&targets[i] == target)
			continue;
		for (work = targets[i].works; work; work = work->next) {
			if (work->key < from || work->key > to ||
			    work->life != targets[i].life ||
			    work->hold_until_s <= now)
				continue;
			violations++;
			record("VIOLATION %s takes keys %d to %d while %s is "
			       "at work on key %d, request %s, hold left %.3f "
			       "s",
			       target->id, from, to, targets[i].id, work->key,
			       work->id, work->hold_until_s - now);
		}
	}
}

/* Numbers of a grant or release. */
struct order {
	int from, to;
	unsigned long long fence;
	double hold_s;
};

static double number(const char *body, const char *name)
{
	const char *at = strstr(body, name);

	return at ? strtod(at + strlen(name), NULL) : 0;
}

static void read_order(const char *body, struct order *order)
{
	order->from = (int)number(body, "\"from\":");
	order->to = (int)number(body, "\"to\":");
	order->fence = (unsigned long long)number(body, "\"fence\":");
	order->hold_s = number(body, "\"hold_s\":");
}

static bool valid(const struct order *order)
{
	return order->from >= 0 && order->from <= order->to && order->to < KEYS;
}

static bool take_grant(struct conn *conn, const struct message *request)
{
	struct target *target = conn->target;
	struct order order;
	bool fresh = false;
	double now = now_s();
	int k;

	read_order(request->body, &order);
	if (!valid(&order))
		return answer(conn, request, "400 Bad Request", "", "");
	for (k = order.from; k <= order.to; k++) {
		if (order.fence < target->fence[k])
			return answer(conn, request, "409 Conflict", "", "");
		fresh = fresh || !target->open[k] ||
			target->hold_until_s[k] <= now;
	}
	grants++;
	if (fresh) {
		record("%s takes keys %d to %d, fence %llu, hold %.1f s",
		       target->id, order.from, order.to, order.fence,
		       order.hold_s);
		check_others(target, order.from, order.to);
	}
	for (k = order.from; k <= order.to; k++) {
		target->fence[k] = order.fence;
		target->open[k] = true;
		target->hold_until_s[k] = now + order.hold_s;
	}
	return answer(conn, request, "200 OK", "", "");
}

static bool at_work_on(const struct target *target, int from, int to)
{
	const struct work *work;

	for (work = target->works; work; work = work->next)
		if (work->key >= from && work->key <= to)
			return true;
	return false;
}

/* Stops new work on the keys at once, and answers when the work that was
 * running on them has ended. */
static bool take_release(struct conn *conn, const struct message *request)
{
	struct target *target = conn->target;
	struct order order;
	int k;

	read_order(request->body, &order);
	if (!valid(&order))
		return answer(conn, request, "400 Bad Request", "", "");
	releases++;
	record("%s is to release keys %d to %d, fence %llu%s", target->id,
	       order.from, order.to, order.fence,
	       at_work_on(target, order.from, order.to) ? ", at work on some"
							: "");
	for (k = order.from; k <= order.to; k++) {
		target->open[k] = false;
		if (order.fence > target->fence[k])
			target->fence[k] = order.fence;
	}
	while (conn->life == target->life &&
	       at_work_on(target, order.from, order.to))
		pthread_cond_wait(&changed, &lock);
	if (conn->life != target->life)
		return false;
	record("%s has released keys %d to %d", target->id, order.from,
	       order.to);
	return answer(conn, request, "200 OK",
		      "X-Handover: 5c0e7a21d94b36f8\r\n", "");
}

static bool holds(const struct target *target, int key)
{
	return target->open[key] && target->hold_until_s[key] > now_s();
}

/* Waits for a time, or until the peer closes the connection.
 *
 * @return false when it did */
static bool wait_while_open(int fd, int ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

	return poll(&poll_fd, 1, ms) == 0;
}

static void remove_work(struct target *target, const struct work *work)
{
	struct work **at = &target->works;

	while (*at != work)
		at = &(*at)->next;
	*at = work->next;
}

/* Runs a request that has a slot: the lock is released meanwhile. */
static bool run(struct conn *conn, const struct message *request, int key)
{
	struct target *target = conn->target;
	struct work work = {
		.key = key,
		.life = target->life,
		.next = target->works,
	};
	int ms = WORK_MIN_MS + rand_r(&seed) % (WORK_MAX_MS - WORK_MIN_MS);
	bool open;

	field(request->head, "X-Request-Id", work.id, sizeof(work.id));
	work.hold_until_s = target->hold_until_s[key];
	target->works = &work;
	pthread_mutex_unlock(&lock);
	open = wait_while_open(conn->fd, ms);
	pthread_mutex_lock(&lock);
	/* A renewal during the work extends the hold. */
	if (target->hold_until_s[key] > work.hold_until_s)
		work.hold_until_s = target->hold_until_s[key];
	remove_work(target, &work);
	pthread_cond_broadcast(&changed);
	if (!open || conn->life != target->life)
		return false;
	if (work.hold_until_s < now_s())
		return answer(conn, request, "500 Internal Server Error",
			      "X-Server-Signature: s\r\n", "");
	return answer(conn, request, "200 OK", "X-Server-Signature: s\r\n",
		      work.id);
}

/* Queues a request, runs it or rejects it. */
static bool take_request(struct conn *conn, const struct message *request)
{
	static const char not_run[] = "X-Not-Executed: 1\r\n";
	struct target *target = conn->target;
	char text[24];
	bool ok;
	int key = atoi(field(request->head, "X-Shard-Key", text, sizeof(text)));

	if (key < 0 || key >= KEYS)
		return answer(conn, request, "400 Bad Request", not_run, "");
	if (!holds(target, key))
		return answer(conn, request, "421 Misdirected Request", not_run,
			      "");
	if (target->waiting >= QUEUE)
		return answer(conn, request, "503 Service Unavailable", not_run,
			      "");
	target->waiting++;
	while (target->running >= SLOTS && conn->life == target->life)
		pthread_cond_wait(&changed, &lock);
	target->waiting--;
	if (conn->life != target->life)
		return false;
	if (!holds(target, key))
		return answer(conn, request, "421 Misdirected Request", not_run,
			      "");
	target->running++;
	ok = run(conn, request, key);
	target->running--;
	pthread_cond_broadcast(&changed);
	return ok;
}

static bool dispatch(struct conn *conn, const struct message *request)
{
	char expect[32], extra[96];

	field(request->head, "X-Expect-Instance", expect, sizeof(expect));
	if (*expect && strcmp(expect, conn->target->id) != 0) {
		snprintf(extra, sizeof(extra),
			 "X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n",
			 conn->target->id);
		return answer(conn, request, "421 Misdirected Request", extra,
			      "");
	}
	if (!strncmp(request->head, "POST /grant ", 12))
		return take_grant(conn, request);
	if (!strncmp(request->head, "POST /release ", 14))
		return take_release(conn, request);
	return take_request(conn, request);
}

/* Sends the second copy that is due, if any, before the answer to the next
 * request. */
static bool send_copy(struct conn *conn, const struct message *request)
{
	size_t len = conn->copy_len;
	char id[40];

	if (!len)
		return true;
	conn->copy_len = 0;
	copies++;
	record("%s sends a second copy of the answer to request %s where the "
	       "answer to \"%.*s\" is due",
	       conn->target->id,
	       field(conn->copy, "X-Request-Id", id, sizeof(id)),
	       (int)strcspn(request->head, "\r"), request->head);
	return send_all(conn->fd, conn->copy, len);
}

static void *serve(void *arg)
{
	struct conn *conn = arg, **at;
	struct message request;
	bool ok = true;

	while (ok && read_message(conn->fd, conn->in, &conn->len, &request)) {
		pthread_mutex_lock(&lock);
		ok = conn->life == conn->target->life &&
		     send_copy(conn, &request) && dispatch(conn, &request);
		pthread_mutex_unlock(&lock);
	}
	pthread_mutex_lock(&lock);
	for (at = &conn->target->conns; *at != conn; at = &(*at)->next)
		;
	*at = conn->next;
	pthread_mutex_unlock(&lock);
	close(conn->fd);
	free(conn);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct target *target = arg;
	int listener = target->listener;

	for (;;) {
		struct conn *conn;
		int one = 1;
		int fd = accept(listener, NULL, NULL);

		if (fd < 0) {
			close(listener);
			return NULL;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		conn = calloc(1, sizeof(*conn));
		if (!conn)
			fail("out of memory");
		conn->target = target;
		conn->fd = fd;
		pthread_mutex_lock(&lock);
		conn->life = target->life;
		conn->next = target->conns;
		target->conns = conn;
		pthread_mutex_unlock(&lock);
		start_thread(serve, conn);
	}
}

/* Begins a life of a target, on the same port as an earlier one. */
static void start_target(struct target *target)
{
	target->listener = listen_on(&target->address);
	target->draining = false;
	target->born_ms = unix_ms();
	record("%s has started", target->id);
	start_thread(accept_all, target);
	publish(target);
}

/* Ends a target's process: its connections close, and it forgets everything. */
static void end_target(struct target *target)
{
	struct conn *conn;

	pthread_mutex_lock(&lock);
	shutdown(target->listener, SHUT_RDWR);
	target->life++;
	for (conn = target->conns; conn; conn = conn->next)
		shutdown(conn->fd, SHUT_RDWR);
	memset(target->hold_until_s, 0, sizeof(target->hold_until_s));
	memset(target->open, 0, sizeof(target->open));
	memset(target->fence, 0, sizeof(target->fence));
	pthread_cond_broadcast(&changed);
	record("%s has ended", target->id);
	pthread_mutex_unlock(&lock);
}

/* Drains and restarts one target. */
static void *replace(void *arg)
{
	struct target *target = arg;

	pthread_mutex_lock(&lock);
	target->draining = true;
	record("%s is draining", target->id);
	pthread_mutex_unlock(&lock);
	publish(target);
	sleep_s(DRAIN_S);
	end_target(target);
	sleep_s(DOWN_S);
	start_target(target);
	return NULL;
}

/* --- clients --- */

/* Sends one request and reads its answer; false when the connection has ended.
 */
static bool ask(const struct client *client, int fd, int key, const char *id)
{
	char out[512], in[MESSAGE_BYTES], text[40];
	struct message reply;
	size_t len = 0;
	bool own;

	snprintf(out, sizeof(out),
		 "GET /holders/%s HTTP/1.1\r\nHost: app.example\r\n"
		 "X-Request-Id: %s\r\nX-Shard-Key: %d\r\n"
		 "X-Deadline-Ms: %d\r\n\r\n",
		 id, id, key, CLIENT_DEADLINE_MS);
	if (!send_all(fd, out, strlen(out)) ||
	    !read_message(fd, in, &len, &reply)) {
		record("client %u: %s key %d: connection ended", client->number,
		       id, key);
		return false;
	}
	own = !strncmp(reply.head, "HTTP/1.1 200", 12);
	record("client %u: %s key %d: %.3s", client->number, id, key,
	       reply.head + 9);
	pthread_mutex_lock(&lock);
	answered += own;
	if (own && strcmp(reply.body, id) != 0) {
		wrong++;
		record("VIOLATION %s got another request's answer", id);
	}
	pthread_mutex_unlock(&lock);
	return strcasecmp(field(reply.head, "Connection", text, sizeof(text)),
			  "close") != 0;
}

static void *be_client(void *arg)
{
	struct client *client = arg;
	unsigned int n = 0;
	int fd = -1;

	while (!stopping) {
		char id[40];

		if (fd < 0)
			fd = connect_to(&client->daemon);
		if (fd < 0) {
			sleep_s(0.1);
			continue;
		}
		snprintf(id, sizeof(id), "c%u-%u", client->number, n++);
		if (!ask(client, fd, rand_r(&client->seed) % KEYS, id)) {
			close(fd);
			fd = -1;
		}
		sleep_s(rand_r(&client->seed) % THINK_MS / 1000.0);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static const char config[] =
	"{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\","
	"\"max_attempts\",\"split\"],\"rows\":[[\"holders\",\"app.example\","
	"\"/holders/\",\"safe\",3,0.5,1,\"holders\",2,null]]},\"services\":{"
	"\"columns\":[\"name\",\"health_path\",\"max_conns\",\"cold_start_s\","
	"\"cold_per_s\",\"sharded\",\"warm_s\"],\"rows\":[[\"holders\","
	"\"/health\",130,3,5.2,true,3]]},\"limits\":{\"max_header_bytes\":4096,"
	"\"max_body_bytes\":100000,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15}}";

int main(int argc, char **argv)
{
	static struct client clients[CLIENTS];
	const char *setting = getenv("TROUBLE");
	double seconds;
	unsigned int i, turn = 0;

	signal(SIGPIPE, SIG_IGN);
	now_s();
	if (argc < 5)
		fail("usage: holders STORE SEED SECONDS CALLERS...");
	trouble = !setting || strcmp(setting, "0") != 0;
	parse_address(argv[1], &store);
	seed = (unsigned int)strtoul(argv[2], NULL, 10);
	seconds = strtod(argv[3], NULL);
	control(&store, "config", config);
	for (i = 0; i < TARGETS; i++) {
		snprintf(targets[i].id, sizeof(targets[i].id), "h-%u", i);
		targets[i].faulty = i < (unsigned int)(TARGETS * COPY_TARGETS);
		start_target(&targets[i]);
	}
	/* Keys are granted when the list of targets has been the same for a
	 * while. */
	sleep_s(4);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i;
		clients[i].seed = seed * CLIENTS + i;
		parse_address(argv[4 + i % (unsigned int)(argc - 4)],
			      &clients[i].daemon);
		if (pthread_create(&clients[i].thread, NULL, be_client,
				   &clients[i]))
			fail("a thread can't be started");
	}
	sleep_s(2);
	while (now_s() < seconds) {
		start_thread(replace, &targets[turn++ % TARGETS]);
		sleep_s(turn % RELEASE_TARGETS ? RELEASE_GAP_S
					       : RELEASE_PAUSE_S);
	}
	stopping = true;
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i].thread, NULL);
	pthread_mutex_lock(&lock);
	record("seed %s, trouble %d: %u requests answered, %u grants, %u "
	       "releases, %u second copies, %u violations of OWNER, %u wrong "
	       "answers",
	       argv[2], trouble, answered, grants, releases, copies, violations,
	       wrong);
	fflush(stdout);
	if (violations || wrong)
		_exit(1);
	_exit(answered < ANSWERED_MIN || releases < RELEASES_MIN ? 2 : 0);
}
