#include "cluster_process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"

/* Pause between two checks of the condition in process_wait_until(). */
#define STEP_US (5 * US_PER_MS)
/* Most fields that read_fields() splits; /proc/PID/stat and /proc/PID/statm
 * have fewer. */
#define STAT_FIELDS 64
/* Indexes from 0 of fields in /proc/PID/stat, in clock ticks. */
#define FIELD_UTIME 13
#define FIELD_STIME 14
/* Index from 0 of a field in /proc/PID/statm, in pages. */
#define FIELD_RESIDENT 1
#define KIB 1024

struct process {
	char *name;
	char *log_path;
	/* Strings: the program and its arguments, ended by NULL. */
	GPtrArray *argv;
	/* Id of the latest start. */
	pid_t pid;
	/* Read end of the program's stdout; -1: none. */
	int stdout_fd;
	/* Whether the process was started and has not been reaped. */
	bool running;
	/* Wait status, once the process has ended. */
	int status;
	/* Maps each name in the "listening" line to its "IPv4:port". */
	GHashTable *addresses;
};

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

/* Runs in the child before exec: makes the kernel kill the child when its
 * parent ends, unblocks all signals and appends stderr to the log file. */
static void prepare_child(gpointer data)
{
	const struct process *process = data;
	sigset_t none;
	int log;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	log = open(process->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (log >= 0)
		dup2(log, STDERR_FILENO);
}

/* Starts the program, with a new pipe for its stdout. */
static bool spawn(struct process *process, GError **error)
{
	GError *cause = NULL;

	if (process->stdout_fd >= 0)
		close(process->stdout_fd);
	process->stdout_fd = -1;
	g_hash_table_remove_all(process->addresses);
	if (!g_spawn_async_with_pipes(NULL, (char **)process->argv->pdata, NULL,
				      G_SPAWN_DO_NOT_REAP_CHILD, prepare_child,
				      process, &process->pid, NULL,
				      &process->stdout_fd, NULL, &cause)) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "%s: %s", process->name, cause->message);
		g_error_free(cause);
		return false;
	}
	process->running = true;
	return true;
}

struct process *process_start(const char *name, const char *dir,
			      const char *const *argv, GError **error)
{
	struct process *process = g_new0(struct process, 1);
	const char *const *p;

	process->name = g_strdup(name);
	process->log_path = g_strdup_printf("%s/%s.log", dir, name);
	process->argv = g_ptr_array_new_with_free_func(g_free);
	for (p = argv; *p; p++)
		g_ptr_array_add(process->argv, g_strdup(*p));
	g_ptr_array_add(process->argv, NULL);
	process->stdout_fd = -1;
	process->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (spawn(process, error))
		return process;
	process_destroy(process);
	return NULL;
}

in_addr_t process_loopback_host(void)
{
	in_addr_t pid = (in_addr_t)getpid();

	return htonl(INADDR_LOOPBACK | (pid & 0x3fffff) << 2 | 2);
}

void process_destroy(struct process *process)
{
	if (!process)
		return;
	process_kill(process);
	if (process->stdout_fd >= 0)
		close(process->stdout_fd);
	g_hash_table_unref(process->addresses);
	g_ptr_array_unref(process->argv);
	g_free(process->log_path);
	g_free(process->name);
	g_free(process);
}

/* Stores the addresses of a line "listening NAME=ADDRESS ...". */
static void parse_addresses(struct process *process, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	char **p;

	for (p = words; *p; p++) {
		char *equals = strchr(*p, '=');

		if (!equals)
			continue;
		g_hash_table_replace(process->addresses,
				     g_strndup(*p, (gsize)(equals - *p)),
				     g_strdup(equals + 1));
	}
	g_strfreev(words);
}

/* Reads one byte. Returns false at end of file, on an error and at until_us. */
static bool read_byte(int fd, int64_t until_us, char *byte)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	int64_t left_us = until_us - now_us();

	if (left_us <= 0)
		return false;
	if (poll(&poll_fd, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
		return false;
	return read(fd, byte, 1) == 1;
}

/* Reads a line without its newline. Returns false like read_byte(). */
static bool read_line(int fd, int64_t until_us, GString *line)
{
	char byte;

	g_string_truncate(line, 0);
	while (read_byte(fd, until_us, &byte)) {
		if (byte == '\n')
			return true;
		g_string_append_c(line, byte);
	}
	return false;
}

bool process_wait_listening(struct process *process, int64_t timeout_us,
			    GError **error)
{
	int64_t until_us = now_us() + timeout_us;
	GString *line = g_string_new(NULL);
	bool found = false;

	while (!found && read_line(process->stdout_fd, until_us, line))
		found = g_str_has_prefix(line->str, "listening ");
	if (found)
		parse_addresses(process, line->str);
	else
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "%s ended, or did not print its \"listening\" "
			    "line in time",
			    process->name);
	g_string_free(line, TRUE);
	return found;
}

const char *process_address(const struct process *process, const char *name)
{
	const char *address = g_hash_table_lookup(process->addresses, name);

	return address ? address : "";
}

bool process_restart(struct process *process, GError **error)
{
	process_kill(process);
	return spawn(process, error);
}

void process_set_argument(struct process *process, const char *name,
			  const char *value)
{
	char *prefix = g_strdup_printf("--%s=", name);
	char *argument = g_strconcat(prefix, value, NULL);
	guint end = process->argv->len - 1;
	guint i;

	for (i = 1; i < end; i++)
		if (g_str_has_prefix(process->argv->pdata[i], prefix))
			break;
	if (i < end) {
		g_free(process->argv->pdata[i]);
		process->argv->pdata[i] = argument;
	} else {
		g_ptr_array_insert(process->argv, (gint)end, argument);
	}
	g_free(prefix);
}

/* Stores the wait status if the process has ended; flags as for waitpid(). */
static void reap(struct process *process, int flags)
{
	pid_t pid = process->pid;
	int status;

	if (process->running && waitpid(pid, &status, flags) == pid) {
		process->running = false;
		process->status = status;
	}
}

bool process_running(struct process *process)
{
	reap(process, WNOHANG);
	return process->running;
}

static void send_signal(struct process *process, int signal_number)
{
	if (process_running(process))
		kill(process->pid, signal_number);
}

void process_kill(struct process *process)
{
	send_signal(process, SIGKILL);
	reap(process, 0);
}

void process_freeze(struct process *process)
{
	siginfo_t info;

	send_signal(process, SIGSTOP);
	if (process->running)
		waitid(P_PID, (id_t)process->pid, &info, WSTOPPED | WNOWAIT);
}

void process_continue(struct process *process)
{
	send_signal(process, SIGCONT);
}

void process_terminate(struct process *process)
{
	send_signal(process, SIGTERM);
}

static bool has_ended(void *ctx)
{
	return !process_running(ctx);
}

bool process_wait_end(struct process *process, int64_t timeout_us, int *status)
{
	if (!process_wait_until(has_ended, process, timeout_us))
		return false;
	if (status)
		*status = process->status;
	return true;
}

int process_stdout(const struct process *process)
{
	return process->stdout_fd;
}

pid_t process_pid(const struct process *process)
{
	return process->pid;
}

const char *process_name(const struct process *process)
{
	return process->name;
}

/* Splits a file of /proc/PID at spaces; g_strfreev() frees the fields. The
 * fields of "stat" keep their positions, since none of this project's program
 * names contains a space. */
static char **read_fields(const struct process *process, const char *file)
{
	char *path = g_strdup_printf("/proc/%d/%s", (int)process->pid, file);
	char *text = NULL;
	char **fields;

	g_file_get_contents(path, &text, NULL, NULL);
	fields = g_strsplit(text ? text : "", " ", STAT_FIELDS);
	g_free(text);
	g_free(path);
	return fields;
}

int64_t process_cpu_us(const struct process *process)
{
	char **fields = read_fields(process, "stat");
	int64_t ticks = 0;

	if (g_strv_length(fields) > FIELD_STIME)
		ticks = g_ascii_strtoll(fields[FIELD_UTIME], NULL, 10) +
			g_ascii_strtoll(fields[FIELD_STIME], NULL, 10);
	g_strfreev(fields);
	return ticks * US_PER_SECOND / sysconf(_SC_CLK_TCK);
}

int64_t process_memory_kib(const struct process *process)
{
	char **fields = read_fields(process, "statm");
	int64_t pages = 0;

	if (g_strv_length(fields) > FIELD_RESIDENT)
		pages = g_ascii_strtoll(fields[FIELD_RESIDENT], NULL, 10);
	g_strfreev(fields);
	return pages * (sysconf(_SC_PAGESIZE) / KIB);
}

void process_print_log(const struct process *process, unsigned int lines)
{
	char *text = NULL;
	char **list;
	guint count, i;

	if (!g_file_get_contents(process->log_path, &text, NULL, NULL))
		return;
	list = g_strsplit(g_strchomp(text), "\n", -1);
	count = g_strv_length(list);
	printf("# -- log of %s\n", process->name);
	for (i = count > lines ? count - lines : 0; i < count; i++)
		printf("# %s\n", list[i]);
	g_strfreev(list);
	g_free(text);
}

void process_remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
}

bool process_wait_until(bool (*holds)(void *ctx), void *ctx, int64_t timeout_us)
{
	int64_t until_us = now_us() + timeout_us;

	while (!holds(ctx)) {
		if (now_us() >= until_us)
			return false;
		g_usleep(STEP_US);
	}
	return true;
}
