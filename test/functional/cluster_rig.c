#include "cluster_rig.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/clock.h"

/* Time limit for a program to listen, and for the router to become ready. */
#define START_LIMIT_US (20 * US_PER_SECOND)
/* Silence after which rig_send_raw() stops reading. */
#define RAW_WAIT_MS 300
/* Size of an argument list: the program, its arguments and the final NULL. */
#define ARGUMENTS_MAX 32

static const char profile_format[] =
	"{\"name\":\"%s\",\"weight\":100,\"priority\":1,\"deadline_ms\":%d,"
	"\"queue_limit\":100,\"stall_ms\":%d,\"retry_percent\":10,"
	"\"body_limit\":%d,\"idempotent\":%s,\"once\":%s,\"hedge\":false}";

static const char *const services[] = { "reads", "writes", "lots", "keys" };

static char *profile_json(const char *name, bool idempotent, bool once)
{
	return g_strdup_printf(profile_format, name, RIG_DEADLINE_MS,
			       RIG_STALL_MS, RIG_BODY_LIMIT,
			       idempotent ? "true" : "false",
			       once ? "true" : "false");
}

void rig_set_settings(struct rig *rig, uint64_t version, const char *zones_out)
{
	char *read = profile_json("read", true, false);
	char *write = profile_json("write", false, false);
	char *once = profile_json("once", false, true);
	char *json = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"deployment\":\"rig\","
		"\"zones\":[\"zone-0\",\"zone-1\"],\"zones_out\":%s,"
		"\"vms_out\":[],\"profiles\":[%s,%s,%s],\"services\":["
		"{\"name\":\"reads\",\"tenant\":\"t\",\"keyed\":false,"
		"\"profile\":\"read\"},"
		"{\"name\":\"writes\",\"tenant\":\"t\",\"keyed\":false,"
		"\"profile\":\"write\"},"
		"{\"name\":\"lots\",\"tenant\":\"t\",\"keyed\":false,"
		"\"profile\":\"once\"},"
		"{\"name\":\"keys\",\"tenant\":\"t\",\"keyed\":true,"
		"\"profile\":\"read\"}],\"recent\":[]}",
		version, zones_out, read, write, once);

	stub_assigner_set_settings(rig->assigner, version, json);
	g_free(json);
	g_free(read);
	g_free(write);
	g_free(once);
}

void rig_use_upstreams(struct rig *rig, unsigned int count)
{
	static const char *const ids[][RIG_UPSTREAMS] = {
		{ "reads-0", "reads-1" },
		{ "writes-0", "writes-1" },
		{ "lots-0", "lots-1" },
		{ "keys-0", "keys-1" },
	};
	static const char *const zones[RIG_UPSTREAMS] = { "zone-0", "zone-1" };
	struct stub_vm vms[G_N_ELEMENTS(services) * RIG_UPSTREAMS + 1];
	size_t i, j, n = 0;

	for (i = 0; i < G_N_ELEMENTS(services); i++)
		for (j = 0; j < count; j++)
			vms[n++] = (struct stub_vm){
				.id = ids[i][j],
				.service = services[i],
				.zone = zones[j],
				.address = stub_upstream_address(
					rig->upstreams[j]),
			};
	vms[n] = (struct stub_vm){ 0 };
	stub_assigner_set_vms(rig->assigner, vms);
}

/* Starts a program and waits until it listens; aborts the test on failure. */
static struct process *start_program(struct rig *rig, const char *program,
				     const char *const *arguments)
{
	const char *argv[ARGUMENTS_MAX];
	char *path = g_strdup_printf("%s/%s", PROGRAM_DIR, program);
	struct process *process;
	size_t n = 0;

	argv[n++] = path;
	while (arguments && *arguments && n < ARGUMENTS_MAX - 1)
		argv[n++] = *arguments++;
	argv[n] = NULL;
	process = process_start(program, rig->folder, argv, NULL);
	g_free(path);
	if (!process || !process_wait_listening(process, START_LIMIT_US, NULL))
		g_error("%s did not start or did not listen in time", program);
	return process;
}

/* Starts the router with the arguments that connect it to the rig, then more,
 * which may be NULL. */
static void start_router(struct rig *rig, const char *const *more)
{
	const char *argv[ARGUMENTS_MAX];
	char *assigner = g_strdup_printf("--assigners=%s",
					 stub_assigner_address(rig->assigner));
	char *platform = g_strdup_printf(
		"--platform=%s", process_address(rig->platform, "http"));
	size_t n = 0;

	argv[n++] = "--daemon=router-0";
	argv[n++] = "--zone=zone-0";
	argv[n++] = "--listen=127.0.0.1:0";
	argv[n++] = "--operator-listen=127.0.0.1:0";
	argv[n++] = "--heartbeat-ms=20";
	argv[n++] = "--drain-ms=200";
	argv[n++] = assigner;
	argv[n++] = platform;
	while (more && *more)
		argv[n++] = *more++;
	argv[n] = NULL;
	rig->router = start_program(rig, "auburn-router", argv);
	g_free(assigner);
	g_free(platform);
}

/* Returns whether the router at ctx reports that it is ready for requests. */
static bool is_ready(void *ctx)
{
	struct http_request request = {
		.address = process_address(ctx, "operator"),
		.uri = "/ready",
	};

	return http_status(&request) == 200;
}

struct rig *rig_start(const char *const *arguments)
{
	struct rig *rig = g_new0(struct rig, 1);
	int i;

	rig->folder = g_dir_make_tmp("auburn-rig-XXXXXX", NULL);
	rig->assigner = stub_assigner_start();
	for (i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i] = stub_upstream_start();
	rig_set_settings(rig, 1, "[]");
	rig_use_upstreams(rig, RIG_UPSTREAMS);
	stub_assigner_set_owner(rig->assigner, "keys", 1, "keys-0");
	rig->platform = start_program(rig, "standin-platform", NULL);
	start_router(rig, arguments);
	if (!process_wait_until(is_ready, rig->router, START_LIMIT_US))
		g_error("the router did not become ready in time");
	return rig;
}

void rig_stop(struct rig *rig)
{
	int i;

	process_destroy(rig->router);
	process_destroy(rig->platform);
	stub_assigner_stop(rig->assigner);
	for (i = 0; i < RIG_UPSTREAMS; i++)
		stub_upstream_stop(rig->upstreams[i]);
	process_remove_folder(rig->folder);
	g_free(rig->folder);
	g_free(rig);
}

const char *rig_caller_address(const struct rig *rig)
{
	return process_address(rig->router, "callers");
}

void rig_set_reply(struct rig *rig, const struct stub_reply *reply)
{
	int i;

	for (i = 0; i < RIG_UPSTREAMS; i++)
		stub_upstream_set_reply(rig->upstreams[i], reply);
}

void rig_set_incarnation(struct rig *rig, const char *boot)
{
	int i;

	for (i = 0; i < RIG_UPSTREAMS; i++)
		stub_upstream_set_incarnation(rig->upstreams[i], boot);
	stub_assigner_set_incarnation(rig->assigner, boot);
}

unsigned int rig_run_count(const struct rig *rig)
{
	unsigned int runs = 0;
	int i;

	for (i = 0; i < RIG_UPSTREAMS; i++)
		runs += stub_upstream_run_count(rig->upstreams[i]);
	return runs;
}

uint64_t rig_body_bytes(const struct rig *rig)
{
	uint64_t bytes = 0;
	int i;

	for (i = 0; i < RIG_UPSTREAMS; i++)
		bytes += stub_upstream_body_bytes(rig->upstreams[i]);
	return bytes;
}

struct http_answer *rig_send(const struct rig *rig, const char *method,
			     const char *uri, const char *body)
{
	struct http_request request = {
		.address = rig_caller_address(rig),
		.uri = uri,
		.method = method,
		.body = body,
	};

	return http_send(&request);
}

static int connect_to(const char *text)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address_parse(str_from(text), &addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		g_error("can't connect to the router at %s", text);
	return fd;
}

char *rig_send_raw(const struct rig *rig, const char *bytes, size_t len)
{
	return rig_send_raw_wait(rig, bytes, len, RAW_WAIT_MS);
}

char *rig_send_raw_wait(const struct rig *rig, const char *bytes, size_t len,
			int wait_ms)
{
	GString *in = g_string_new(NULL);
	int fd = connect_to(rig_caller_address(rig));
	struct pollfd wait = { .fd = fd, .events = POLLIN };
	char buf[4096];

	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		bytes += n;
		len -= (size_t)n;
	}
	while (poll(&wait, 1, wait_ms) == 1) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			break;
		g_string_append_len(in, buf, n);
	}
	close(fd);
	return g_string_free(in, FALSE);
}

bool rig_is_refusal(const struct http_answer *answer, long status,
		    const char *verdict, const char *reason)
{
	bool same = answer->status == status &&
		    !strcmp(http_header(answer, "auburn-verdict"), verdict) &&
		    !strcmp(http_header(answer, "auburn-reason"), reason) &&
		    strstr(answer->body->str, verdict) != NULL;

	if (!same)
		printf("# got status %ld, verdict \"%s\", reason \"%s\", "
		       "transfer error \"%s\"\n",
		       answer->status, http_header(answer, "auburn-verdict"),
		       http_header(answer, "auburn-reason"), answer->failure);
	return same;
}
