/*
 * Requests whose attempt sent nothing: the connection to the only upstream is
 * still being opened when the caller's time is up.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster_entry.h"
#include "suite.h"

#define GRACE_S 6
/* Connections that fill the backlog of a socket that accepts none. */
#define FILLERS 4

static struct entry_rig rig;

/* A port on which new connections get no answer. */
struct silent_port {
	int listener;
	int fillers[FILLERS];
	char address[32];
};

static void open_silent_port(struct silent_port *port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);
	struct sockaddr *at = (struct sockaddr *)&address;
	int i;

	port->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	CU_ASSERT_EQUAL_FATAL(bind(port->listener, at, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(port->listener, 0), 0);
	CU_ASSERT_EQUAL_FATAL(getsockname(port->listener, at, &len), 0);
	g_snprintf(port->address, sizeof(port->address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	for (i = 0; i < FILLERS; i++) {
		port->fillers[i] = socket(
			AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		(void)connect(port->fillers[i], at, len);
	}
}

static void close_silent_port(const struct silent_port *port)
{
	int i;

	for (i = 0; i < FILLERS; i++)
		close(port->fillers[i]);
	close(port->listener);
}

/* Replaces the upstreams of the service "plain" by one at an address. */
static void put_only_upstream(const char *address)
{
	char *body = g_strdup_printf(
		"{\"service\":\"plain\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
		"\"cold_left_s\":0.0,\"seq\":1,\"born\":4000000000000}",
		address);

	entry_rig_command(&rig, "/control/entry?id=t-9", body);
	entry_rig_command(&rig, "/control/lapse?id=0", NULL);
	entry_rig_command(&rig, "/control/lapse?id=1", NULL);
	g_free(body);
}

static struct http_answer *send_once(void)
{
	static const char *const headers[] = {
		"Host: app.example",
		"X-Deadline-Ms: 600",
		"X-Request-Id: unsent-1",
		NULL,
	};
	struct http_request request = {
		.address = rig.entries[0].callers,
		.uri = "/once/a",
		.headers = headers,
		.body = "x",
	};

	return http_send(&request);
}

/* Guards against 504 for a request of which no byte was sent: the caller may
 * not send a request that runs at most once again after 504, but may after
 * 503. */
static void an_unsent_request_is_refused_with_503(void)
{
	struct silent_port port;
	struct http_answer *answer;

	entry_rig_start(&rig, 1, GRACE_S);
	open_silent_port(&port);
	put_only_upstream(port.address);
	g_usleep(G_USEC_PER_SEC);
	answer = send_once();
	CU_ASSERT_EQUAL(answer->status, 503);
	CU_ASSERT_STRING_NOT_EQUAL(http_header(answer, "retry-after"), "");
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, "unsent-1"), 0);
	printf("# status=%ld took_ms=%ld\n", answer->status,
	       (long)(answer->took_us / 1000));
	http_answer_destroy(answer);
	close_silent_port(&port);
	entry_rig_stop(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an unsent request is refused with 503",
		  an_unsent_request_is_refused_with_503 },
		{ 0 },
	};

	return suite_run("entry_unsent", cases);
}
