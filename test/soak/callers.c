#include "callers.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/address.h"
#include "changes.h"

#define ENTRIES_MAX 16
/* Longest wait for the next bytes of a response. */
#define ANSWER_TIMEOUT_S 5
/* Size of the buffer for a response. */
#define ANSWER_BYTES 65536
/* How often the body of a response 200 repeats the request id, as in
 * test/standin/site_upstream.c. */
#define LONG_BODY_IDS 400

/* A request whose execution is checked at the end. */
struct unresolved_request {
	char id[32];
	/** The response said that the request was not executed. Otherwise there
	 * was no response. */
	bool not_executed;
};

/* One thread with its connections. */
struct caller {
	struct callers *callers;
	/** Index among the callers, a part of the request ids. */
	unsigned int index;
	GRand *random;
	/** Socket of the connection to each entry daemon, or -1. */
	int conns[ENTRIES_MAX];
	/** Number of requests sent, a part of the request ids. */
	unsigned int sent;
	struct callers_result result;
	/** Array of struct unresolved_request. */
	GArray *unresolved;
	/** Array of struct rules_request: all requests. */
	GArray *requests;
	GThread *thread;
};

struct callers {
	const char *const *addresses;
	unsigned int entries;
	struct callers_load load;
	/** Tells the threads to end. */
	atomic_bool stop;
	/** Array of the callers, as many as load.threads. */
	struct caller *list;
};

/* A response while it is received and checked. */
struct answer {
	/** Bytes received so far, and their number. */
	char text[ANSWER_BYTES];
	size_t len;
	/** Length of the head with its blank line, 0 until it is complete, and
	 * length of the body according to the head. */
	size_t head_len, body_len;
	int status;
};

/* Returns a connected socket with a receive timeout, or -1. */
static int connect_to(const char *text)
{
	struct timeval wait = { .tv_sec = ANSWER_TIMEOUT_S };
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!address_parse(str_from(text), &address) ||
	    connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return fd;
}

/* Parses a response's head once it is complete: sets the status and the
 * lengths.
 *
 * @return false when the head is incomplete */
static bool read_head(struct answer *answer)
{
	const char *end, *length;

	answer->text[answer->len] = '\0';
	end = strstr(answer->text, "\r\n\r\n");
	if (!end)
		return false;
	answer->head_len = (size_t)(end - answer->text) + 4;
	answer->status = atoi(answer->text + strlen("HTTP/1.1 "));
	length = strcasestr(answer->text, "content-length: ");
	if (length && length < end)
		answer->body_len =
			strtoul(length + strlen("content-length: "), NULL, 10);
	return true;
}

/* Receives one response.
 *
 * @return false when the connection ended or timed out before the response was
 *         complete */
static bool receive(int fd, struct answer *answer)
{
	answer->len = answer->head_len = answer->body_len = 0;
	while (!answer->head_len ||
	       answer->len < answer->head_len + answer->body_len) {
		ssize_t n = recv(fd, answer->text + answer->len,
				 ANSWER_BYTES - 1 - answer->len, 0);

		if (n <= 0)
			return false;
		answer->len += (size_t)n;
		if (!answer->head_len && !read_head(answer))
			answer->head_len = 0;
	}
	return true;
}

/* Returns whether a response is valid: no bytes follow its body, and a response
 * 200 has a signature header and a body with the request id exactly
 * LONG_BODY_IDS times. */
static bool is_valid_answer(const struct answer *answer, const char *id)
{
	size_t expected = LONG_BODY_IDS * (strlen(id) + 1);
	const char *at;
	int count = 0;

	if (answer->len != answer->head_len + answer->body_len)
		return false;
	if (answer->status != 200)
		return true;
	if (answer->body_len < expected || !strstr(answer->text, id) ||
	    !strcasestr(answer->text, "x-server-signature: "))
		return false;
	at = answer->text + answer->head_len;
	while ((at = strstr(at, id))) {
		at += strlen(id);
		count++;
	}
	return count == LONG_BODY_IDS;
}

static void add_unresolved(struct caller *caller, const char *id,
			   bool not_executed)
{
	struct unresolved_request request = { .not_executed = not_executed };

	g_strlcpy(request.id, id, sizeof(request.id));
	g_array_append_val(caller->unresolved, request);
}

/* Returns whether a status says that the request was not executed. */
static bool says_not_executed(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Checks a response and counts it by its result; once says whether the request
 * must run at most once. */
static void check_answer(struct caller *caller, const struct answer *answer,
			 const char *id, bool once)
{
	struct callers_result *result = &caller->result;

	if (!is_valid_answer(answer, id)) {
		result->wrong++;
		fprintf(stderr,
			"wrong response to request %s; its head: %.*s\n", id,
			(int)answer->head_len, answer->text);
	} else if (answer->status == 200) {
		result->served++;
	} else if (says_not_executed(answer->status)) {
		result->refused++;
		if (once)
			add_unresolved(caller, id, true);
	} else {
		result->failed++;
	}
}

static void close_connection(struct caller *caller, unsigned int entry)
{
	close(caller->conns[entry]);
	caller->conns[entry] = -1;
}

/* Returns a random route: each of those that stay as often as all others
 * together. */
static unsigned int random_route(GRand *random)
{
	unsigned int route = g_rand_int(random) % (CHANGES_RANDOM + 1);

	return route < CHANGES_RANDOM
		       ? route
		       : (unsigned int)g_rand_int_range(random, CHANGES_RANDOM,
							RULES_ROUTES);
}

/* Records a request and the response, which is NULL if there was none. */
static void record_request(struct caller *caller, struct rules_request *request,
			   const struct answer *answer)
{
	request->ended_us = g_get_monotonic_time();
	request->status = answer ? answer->status : 0;
	request->own =
		answer && !strcasestr(answer->text, "\r\nx-server-signature: ");
	g_array_append_vals(caller->requests, request, 1);
}

/* Sends a request for a random route to a random entry daemon and checks the
 * response. Sends none when the daemon accepts no connection. */
static void send_request(struct caller *caller, struct answer *answer)
{
	unsigned int route = random_route(caller->random);
	unsigned int entry =
		g_rand_int(caller->random) % caller->callers->entries;
	struct rules_request request = { .vm = entry, .route = route };
	char *path, text[512];
	const char *id = request.id;
	bool once = route == CHANGES_ONCE;
	int *fd = &caller->conns[entry];

	if (*fd < 0)
		*fd = connect_to(caller->callers->addresses[entry]);
	if (*fd < 0)
		return;
	g_snprintf(request.id, sizeof(request.id), "v%uc%ur%06u", entry,
		   caller->index, caller->sent++);
	path = changes_path(route);
	g_snprintf(text, sizeof(text),
		   "%s /%s/long/work-ms-%u HTTP/1.1\r\nHost: app.example\r\n"
		   "X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
		   "X-Shard-Key: %u\r\nContent-Length: %s\r\n\r\n%s",
		   once ? "POST" : "GET", path, g_rand_int(caller->random) % 20,
		   id, g_rand_int(caller->random) % 65536, once ? "4" : "0",
		   once ? "body" : "");
	g_free(path);
	request.sent_us = g_get_monotonic_time();
	if (send(*fd, text, strlen(text), MSG_NOSIGNAL) < 0 ||
	    !receive(*fd, answer)) {
		record_request(caller, &request, NULL);
		caller->result.unanswered++;
		add_unresolved(caller, id, false);
		close_connection(caller, entry);
		return;
	}
	record_request(caller, &request, answer);
	check_answer(caller, answer, id, once);
	if (strcasestr(answer->text, "connection: close"))
		close_connection(caller, entry);
}

static gpointer run_caller(gpointer data)
{
	struct caller *caller = data;
	struct answer *answer = g_new0(struct answer, 1);
	unsigned int i;

	while (!atomic_load(&caller->callers->stop)) {
		send_request(caller, answer);
		g_usleep(caller->callers->load.pause_us);
	}
	for (i = 0; i < caller->callers->entries; i++)
		if (caller->conns[i] >= 0)
			close_connection(caller, i);
	g_free(answer);
	return NULL;
}

struct callers *callers_start(const char *const *addresses,
			      unsigned int entries,
			      const struct callers_load *load, uint32_t seed)
{
	struct callers *callers = g_new0(struct callers, 1);
	unsigned int i;

	callers->addresses = addresses;
	callers->entries = entries;
	callers->load = *load;
	callers->list = g_new0(struct caller, load->threads);
	for (i = 0; i < load->threads; i++) {
		struct caller *caller = &callers->list[i];

		caller->callers = callers;
		caller->index = i;
		caller->random = g_rand_new_with_seed(seed + i);
		memset(caller->conns, -1, sizeof(caller->conns));
		caller->unresolved = g_array_new(
			FALSE, FALSE, sizeof(struct unresolved_request));
		caller->requests =
			g_array_new(FALSE, FALSE, sizeof(struct rules_request));
		caller->thread = g_thread_new("caller", run_caller, caller);
	}
	return callers;
}

struct callers_result callers_stop(struct callers *callers)
{
	struct callers_result sum = { 0 };
	unsigned int i;

	atomic_store(&callers->stop, true);
	for (i = 0; i < callers->load.threads; i++) {
		struct caller *caller = &callers->list[i];

		g_thread_join(caller->thread);
		sum.served += caller->result.served;
		sum.refused += caller->result.refused;
		sum.failed += caller->result.failed;
		sum.unanswered += caller->result.unanswered;
		sum.wrong += caller->result.wrong;
	}
	return sum;
}

void callers_each_unresolved(const struct callers *callers,
			     void (*fn)(const char *id, bool not_executed,
					void *ctx),
			     void *ctx)
{
	unsigned int i;
	guint j;

	for (i = 0; i < callers->load.threads; i++)
		for (j = 0; j < callers->list[i].unresolved->len; j++) {
			const struct unresolved_request *request =
				&g_array_index(callers->list[i].unresolved,
					       struct unresolved_request, j);

			fn(request->id, request->not_executed, ctx);
		}
}

void callers_record(const struct callers *callers, struct rules *rules)
{
	unsigned int i;
	guint j;

	for (i = 0; i < callers->load.threads; i++)
		for (j = 0; j < callers->list[i].requests->len; j++)
			rules_add_request(
				rules, &g_array_index(callers->list[i].requests,
						      struct rules_request, j));
}

void callers_free(struct callers *callers)
{
	unsigned int i;

	for (i = 0; i < callers->load.threads; i++) {
		g_rand_free(callers->list[i].random);
		g_array_free(callers->list[i].unresolved, TRUE);
		g_array_free(callers->list[i].requests, TRUE);
	}
	g_free(callers->list);
	g_free(callers);
}
