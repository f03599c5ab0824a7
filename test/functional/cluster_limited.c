#include "cluster_limited.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "base/address.h"

/* The crowd's run ends when nothing moves for so long. */
#define STILL_MS 1000
/* Time between two observations of the daemon while a crowd runs. */
#define WATCH_PAUSE_US 5000
/* Shadow memory and quarantine of the sanitizers multiply the resident set, so
 * that its bounds are not checked then. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define RESIDENT_MEASURED false
#else
#define RESIDENT_MEASURED true
#endif

/* As standin-site's own configuration, but for the limits, one more route, and
 * the route for uploads, which leads to an upstream of its own. Connections may
 * be idle for longer than a test waits for what their bytes keep out. */
#define CONFIG_VERSION 9
static const char config_format[] =
	"{\"version\":\"r%u\",\"routes\":{\"columns\":[\"name\",\"host\","
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\","
	"\"max_attempts\",\"split\"],\"rows\":["
	"[\"more\",\"app.example\",\"%s\",\"safe\",9,0.5,1,\"plain\",2,"
	"null],"
	"[\"plain\",\"app.example\",\"/plain/\",\"safe\",9,0.5,1,\"plain\",2,"
	"null],"
	"[\"upload\",\"app.example\",\"/upload/\",\"upload\",10,0.5,1,"
	"\"other\",2,null],"
	"[\"keyed\",\"app.example\",\"/keyed/\",\"safe\",3,0.5,1,\"keyed\",2,"
	"null]]},\"services\":{\"columns\":[\"name\",\"health_path\","
	"\"max_conns\",\"cold_start_s\",\"cold_per_s\",\"sharded\","
	"\"warm_s\"],\"rows\":["
	"[\"plain\",\"/health\",130,3,5.2,null,null],"
	"[\"other\",\"/health\",130,3,5.2,null,null],"
	"[\"keyed\",\"/health\",130,3,5.2,true,3]]},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
	"\"header_timeout_s\":3,\"idle_timeout_s\":60}}";

struct entry_rig limited_rig;

/* Observes the daemon on a thread while a crowd runs. */
struct usage_watch {
	GThread *thread;
	const struct process *process;
	/* Local address of callers' connections as in /proc/net/tcp. */
	char callers[16];
	/* Set to end the thread. */
	gint stop;
	/* Highest number of descriptors seen, and highest sum of the resident
	 * set and the bytes that the system holds for callers. */
	unsigned int most_open;
	int64_t footprint_kib;
};

/* Returns the peak of a process's resident set, in KiB; -1 on an error. */
static int64_t resident_peak_kib(const struct process *process)
{
	static const char label[] = "VmHWM:";
	char *path =
		g_strdup_printf("/proc/%d/status", (int)process_pid(process));
	char *text = NULL;
	const char *at = NULL;
	int64_t kib = -1;

	if (g_file_get_contents(path, &text, NULL, NULL))
		at = strstr(text, label);
	if (at)
		kib = g_ascii_strtoll(at + strlen(label), NULL, 10);
	g_free(text);
	g_free(path);
	return kib;
}

/* Writes an address as /proc/net/tcp does. */
static void format_local(char *buf, size_t size, const char *text)
{
	struct sockaddr_in address = { 0 };

	address_parse(str_from(text), &address);
	g_snprintf(buf, size, "%08X:%04X",
		   (unsigned int)address.sin_addr.s_addr,
		   (unsigned int)ntohs(address.sin_port));
}

/* Returns the bytes that the system holds for a local address: received and not
 * read, or sent and not acknowledged. */
static int64_t held_by_system(const char *local)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	char line[256];
	int64_t sum = 0;

	while (file && fgets(line, sizeof(line), file)) {
		char address[16];
		unsigned int unsent, unread;

		/* Number, local and remote address, state, bytes to send and
		 * to read; a listening socket has its backlog there. */
		if (sscanf(line, " %*u: %15s %*s %*x %x:%x", address, &unsent,
			   &unread) == 3 &&
		    !strcmp(address, local) && !strstr(line, " 0A "))
			sum += (int64_t)unsent + unread;
	}
	if (file)
		fclose(file);
	return sum;
}

static unsigned int count_open(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	DIR *dir = opendir(path);
	const struct dirent *entry;
	unsigned int count = 0;

	while (dir && (entry = readdir(dir)))
		count += entry->d_name[0] != '.';
	if (dir)
		closedir(dir);
	g_free(path);
	return count;
}

static gpointer watch_usage(gpointer data)
{
	struct usage_watch *watch = data;

	do {
		unsigned int count = count_open(process_pid(watch->process));
		int64_t footprint = process_memory_kib(watch->process) +
				    held_by_system(watch->callers) / 1024;

		watch->most_open = MAX(watch->most_open, count);
		watch->footprint_kib = MAX(watch->footprint_kib, footprint);
		g_usleep(WATCH_PAUSE_US);
	} while (!g_atomic_int_get(&watch->stop));
	return NULL;
}

static void usage_watch_start(struct usage_watch *watch)
{
	const struct entry *entry = &limited_rig.entries[0];

	watch->process = entry->process;
	format_local(watch->callers, sizeof(watch->callers), entry->callers);
	watch->thread = g_thread_new("usage", watch_usage, watch);
}

static void usage_watch_end(struct usage_watch *watch)
{
	g_atomic_int_set(&watch->stop, 1);
	g_thread_join(watch->thread);
}

long limited_send_largest(void)
{
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 9000",
				  "X-Request-Id: largest", NULL };
	char *body = g_strnfill(LIMITED_BODY_BYTES, 'b');
	struct http_request request = {
		.address = limited_rig.entries[0].callers,
		.uri = "/upload/largest",
		.headers = headers,
		.body = body,
	};
	long status = http_status(&request);

	g_free(body);
	return status;
}

bool limited_serves_largest(void *ctx)
{
	(void)ctx;
	return limited_send_largest() == 200;
}

bool limited_serves_upload(void *ctx)
{
	char id[32];
	struct http_answer *answer = entry_send(
		&limited_rig.entries[0], "/upload/a", NULL, 100, "small", id);
	long status = answer->status;

	(void)ctx;
	http_answer_destroy(answer);
	return status == 200;
}

bool limited_serves_ordinary(void *ctx)
{
	(void)ctx;
	return entry_status(&limited_rig.entries[0], "/keyed/a", 100) == 200;
}

void limited_put_config(unsigned int version, const char *prefix)
{
	char *text = g_strdup_printf(config_format, version, prefix);

	entry_rig_command(&limited_rig, "/control/config", text);
	g_free(text);
}

bool limited_start(unsigned int daemons)
{
	static char vm_settings[64];

	g_snprintf(vm_settings, sizeof(vm_settings),
		   "memory = %d\ndescriptors = %d\n", LIMITED_MEMORY_MB,
		   LIMITED_DESCRIPTORS);
	limited_rig.vm_settings = vm_settings;
	entry_rig_start(&limited_rig, daemons, 6);
	limited_put_config(CONFIG_VERSION, "/other/");
	return process_wait_until(limited_serves_upload, NULL, RIG_WAIT_US);
}

void limited_stop(void)
{
	entry_rig_stop(&limited_rig);
}

bool limited_is_resident_bounded(const char *name, unsigned int daemon)
{
	int64_t peak = resident_peak_kib(limited_rig.entries[daemon].process);

	printf("# %s: resident peak %" G_GINT64_FORMAT " KiB of "
	       "%" G_GINT64_FORMAT "\n",
	       name, peak, LIMITED_RESIDENT_KIB);
	return !RESIDENT_MEASURED || (peak > 0 && peak <= LIMITED_RESIDENT_KIB);
}

/* Prints the highest sum of the resident set and the system's bytes; returns
 * whether it is within the bound on the resident set. */
static bool is_footprint_bounded(const char *name,
				 const struct usage_watch *watch)
{
	printf("# %s: resident and held by the system %" G_GINT64_FORMAT
	       " KiB of "
	       "%" G_GINT64_FORMAT "\n",
	       name, watch->footprint_kib, LIMITED_RESIDENT_KIB);
	return !RESIDENT_MEASURED ||
	       watch->footprint_kib <= LIMITED_RESIDENT_KIB;
}

void limited_run_crowd(const char *name, struct crowd *crowd,
		       bool largest_beside, struct limited_result *result)
{
	struct process *process = limited_rig.entries[0].process;
	struct usage_watch watch = { 0 };

	usage_watch_start(&watch);
	crowd_run(crowd, STILL_MS);
	result->serves_beside =
		process_wait_until(limited_serves_ordinary, NULL, RIG_WAIT_US);
	result->serves_largest_beside =
		!largest_beside ||
		process_wait_until(limited_serves_largest, NULL, RIG_WAIT_US);
	usage_watch_end(&watch);
	result->most_open = watch.most_open;
	result->footprint_bounded = is_footprint_bounded(name, &watch);
	printf("# %s: sent %" G_GUINT64_FORMAT " MB, %u descriptors of %d, "
	       "%u connections left open, 200: %u 408: %u 413: %u 503: %u\n",
	       name, crowd_sent_bytes(crowd) >> 20, result->most_open,
	       LIMITED_OPEN, crowd_open(crowd), crowd_status_count(crowd, 200),
	       crowd_status_count(crowd, 408), crowd_status_count(crowd, 413),
	       crowd_status_count(crowd, 503));
	result->resident_bounded = limited_is_resident_bounded(name, 0);
	crowd_destroy(crowd);
	result->serves_largest_after =
		process_wait_until(limited_serves_largest, NULL, RIG_WAIT_US);
	result->lives = process_running(process);
}
