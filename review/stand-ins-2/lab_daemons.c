/* The daemons, started as the deploy file does, and clients. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lab_internal.h"

#define DAEMONS_MAX 8
/* Listening addresses of a daemon. */
#define PORTS 4
/* Longest wait until the daemons serve. */
#define START_S 30.0

struct daemon {
	pid_t pid;
	bool ended;
	int status;
	char callers[32];
	char ready[32];
	char peers[32];
	char metrics[32];
	char *settings;
	char *log;
};

static struct daemon daemons[DAEMONS_MAX];
static unsigned int daemon_count;
static char *folder;

#define CONFIG                                                                 \
	"{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","      \
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","            \
	"\"service\",\"max_attempts\",\"split\"],\"rows\":["                   \
	"[\"plain\",\"app.example\",\"/plain/\",\"safe\",3,0.4,2,\"plain\",3," \
	"null],"                                                               \
	"[\"once\",\"app.example\",\"/once/\",\"unsafe\",3,0.5,1,\"plain\",2," \
	"null],"                                                               \
	"[\"keyed\",\"app.example\",\"/keyed/\",\"safe\",3,0.4,2,\"keyed\",3," \
	"null]]},\"services\":{\"columns\":[\"name\",\"health_path\","         \
	"\"max_conns\",\"cold_start_s\",\"cold_per_s\",\"sharded\","           \
	"\"warm_s\"],\"rows\":["                                               \
	"[\"plain\",\"/health\",130,3,5.2,null,null],"                         \
	"[\"keyed\",\"/health\",130,3,5.2,true,3]]},"                          \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,"   \
	"\"header_timeout_s\":5,\"idle_timeout_s\":15}}"

void config_put(void)
{
	store_put("op", "config", CONFIG);
}

/* Finds free ports; all are bound at the same time, so that they differ. */
static void choose_ports(struct daemon *d)
{
	char *texts[PORTS] = { d->callers, d->ready, d->peers, d->metrics };
	int fds[PORTS];
	int i;

	for (i = 0; i < PORTS; i++) {
		struct sockaddr_in address;

		fds[i] = net_listen(&address);
		net_format(&address, texts[i]);
	}
	for (i = 0; i < PORTS; i++)
		close(fds[i]);
}

/* Writes what platform/settings.template gives on a small deployment. */
static void write_settings(const struct daemon *d, unsigned int index)
{
	char *text = g_strdup_printf(
		"[vm]\nname = front-%u\nzone = z%u\nlink = 1000\n"
		"memory = 260\ncopy_wait = 0.7\n\n"
		"[listen]\ncallers = %s\nready = %s\npeers = %s\n"
		"metrics = %s\n\n[store]\naddress = %s\n\n"
		"[stop]\ngrace = 6\n\n"
		"[upstreams]\nleave = 2\ncold_overshoot = 1.5\n"
		"cold_slack = 5\n\n[retries]\nratio = 0.2\nwindow = 10\n"
		"slack = 64\n\n[keys]\nhold_max = 10\n",
		index + 1, index + 1, d->callers, d->ready, d->peers,
		d->metrics, store_address());

	if (!g_file_set_contents(d->settings, text, -1, NULL))
		lab_cannot_run("can't write %s", d->settings);
	g_free(text);
}

static void run_daemon(const struct daemon *d)
{
	char *const argv[] = { (char *)"target/auburn-entry",
			       (char *)"--settings", d->settings, NULL };
	int fd = open(d->log, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	if (fd < 0 || dup2(fd, STDOUT_FILENO) < 0 ||
	    dup2(fd, STDERR_FILENO) < 0)
		_exit(127);
	execv(argv[0], argv);
	_exit(127);
}

static void start_daemon(unsigned int index)
{
	struct daemon *d = &daemons[index];

	d->ended = false;
	choose_ports(d);
	write_settings(d, index);
	d->pid = fork();
	if (d->pid < 0)
		lab_cannot_run("can't start a daemon");
	if (!d->pid)
		run_daemon(d);
	lab_record("daemon %u serves callers at %s", index, d->callers);
}

static int get(const char *address, const char *path, char **body)
{
	GString *out = g_string_new(NULL);
	struct message answer;
	struct stream stream;
	int status = 0;

	stream_init(&stream, net_connect(address));
	g_string_printf(out, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	if (stream.fd >= 0 && net_write(stream.fd, out) &&
	    message_read(&stream, &answer)) {
		status = answer.status;
		if (body)
			*body = g_strdup(answer.body->str);
		message_clear(&answer);
	}
	stream_close(&stream, false);
	g_string_free(out, TRUE);
	return status;
}

static bool serves(const struct daemon *d, bool keyed)
{
	int key;

	if (get(d->ready, "/ready", NULL) != 200 ||
	    client_get(d, "/once/start", "start", -1, NULL) != 200)
		return false;
	for (key = 0; keyed && key < LAB_KEYS; key += 8191)
		if (client_get(d, "/keyed/start", "start", key, NULL) != 200)
			return false;
	return true;
}

void daemons_start(unsigned int count, bool keyed)
{
	char how[64];
	unsigned int i;

	folder = g_dir_make_tmp("review-XXXXXX", NULL);
	for (i = 0; i < count; i++) {
		daemons[i].settings =
			g_strdup_printf("%s/boot-%u.toml", folder, i);
		daemons[i].log = g_strdup_printf("%s/log-%u.txt", folder, i);
		start_daemon(i);
		daemon_count++;
	}
	for (i = 0; i < count; i++)
		while (!serves(&daemons[i], keyed)) {
			if (lab_now() > START_S)
				lab_cannot_run("daemon %u does not serve", i);
			/* Another socket may have taken one of its ports. */
			if (daemon_ended(&daemons[i], how))
				start_daemon(i);
			lab_sleep(0.1);
		}
	lab_record("all daemons serve");
}

struct daemon *daemon_at(unsigned int index)
{
	return &daemons[index];
}

const char *daemon_callers(const struct daemon *daemon)
{
	return daemon->callers;
}

struct daemon *daemon_leader(void)
{
	unsigned int i;

	for (i = 0; i < daemon_count; i++) {
		char *text = NULL;
		bool leads;

		get(daemons[i].metrics, "/metrics", &text);
		leads = text && strstr(text, "\nauburn_leads 1");
		g_free(text);
		if (leads) {
			lab_record("daemon %u leads", i);
			return &daemons[i];
		}
	}
	lab_cannot_run("no daemon leads");
}

void daemon_signal(struct daemon *daemon, int signal)
{
	lab_record("daemon %d gets signal %d", (int)(daemon - daemons), signal);
	kill(daemon->pid, signal);
}

bool daemon_ended(struct daemon *daemon, char how[64])
{
	if (!daemon->ended &&
	    waitpid(daemon->pid, &daemon->status, WNOHANG) == daemon->pid)
		daemon->ended = true;
	if (!daemon->ended)
		return false;
	if (WIFSIGNALED(daemon->status))
		g_snprintf(how, 64, "killed by signal %d",
			   WTERMSIG(daemon->status));
	else
		g_snprintf(how, 64, "exit status %d",
			   WEXITSTATUS(daemon->status));
	return true;
}

/* Copies the daemons' logs beside the record if the variable LOGS names a
 * folder. */
static void keep_log(const struct daemon *d)
{
	const char *to = getenv("LOGS");
	char *name, *path, *text = NULL;
	gsize len;

	if (!to || !g_file_get_contents(d->log, &text, &len, NULL))
		return;
	name = g_path_get_basename(d->log);
	path = g_build_filename(to, name, NULL);
	(void)g_file_set_contents(path, text, (gssize)len, NULL);
	g_free(name);
	g_free(path);
	g_free(text);
}

void daemons_stop(void)
{
	unsigned int i;

	for (i = 0; i < daemon_count; i++) {
		struct daemon *d = &daemons[i];

		if (!d->ended) {
			kill(d->pid, SIGKILL);
			waitpid(d->pid, &d->status, 0);
			d->ended = true;
		}
		keep_log(d);
		unlink(d->settings);
		unlink(d->log);
	}
	if (folder)
		rmdir(folder);
}

bool client_send(struct stream *stream, const char *method, const char *path,
		 const char *id, int key, const char *extra)
{
	GString *out = g_string_new(NULL);
	bool ok;

	g_string_printf(out,
			"%s %s HTTP/1.1\r\nHost: app.example\r\n"
			"X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s",
			method, path, id, extra);
	if (key >= 0)
		g_string_append_printf(out, "X-Shard-Key: %d\r\n", key);
	g_string_append(out, "\r\n");
	ok = net_write(stream->fd, out);
	g_string_free(out, TRUE);
	return ok;
}

int client_get(const struct daemon *daemon, const char *path, const char *id,
	       int key, char **body)
{
	struct message answer;
	struct stream stream;
	int status = 0;

	stream_init(&stream, net_connect(daemon->callers));
	if (stream.fd >= 0 && client_send(&stream, "GET", path, id, key, "") &&
	    message_read(&stream, &answer)) {
		status = answer.status;
		if (body)
			*body = g_strdup(answer.body->str);
		message_clear(&answer);
	}
	stream_close(&stream, false);
	return status;
}
