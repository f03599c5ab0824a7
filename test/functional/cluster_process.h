/**
 * Child processes of a test: start, wait, suspend and kill. The kernel kills
 * them when the test process ends, however it ends.
 */
#ifndef CLUSTER_PROCESS_H
#define CLUSTER_PROCESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** A program with its arguments; it can be restarted. */
struct process;

/**
 * Starts a program.
 *
 * @param name names its log file
 * @param dir folder of the log file NAME.log, which gets the program's stderr
 * @param argv program and arguments, ended by NULL; copied for restarts
 * @param error AUBURN_ERROR_UNAVAILABLE when the program can't be run
 * @return a new process, freed with process_destroy(); NULL on error
 */
struct process *process_start(const char *name, const char *dir,
			      const char *const *argv, GError **error);

/**
 * Returns a loopback address derived from the id of the calling process, in
 * network byte order. Ports that are free there are not taken by tests that run
 * at the same time, or by their connections.
 */
in_addr_t process_loopback_host(void);

/** Kills the process if it runs, and frees it. */
void process_destroy(struct process *process);

/**
 * Waits for the line "listening NAME=ADDRESS ..." on the process's stdout.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE when false is returned
 * @return false when the process ended or the line did not come in time
 */
bool process_wait_listening(struct process *process, int64_t timeout_us,
			    GError **error);

/**
 * Returns an address of the "listening" line.
 *
 * @param name name of the address in that line, such as "operator"
 * @return "IPv4:port", owned by the process; "" when there is none
 */
const char *process_address(const struct process *process, const char *name);

/**
 * Kills the process if it runs, and starts it again with its arguments.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE when the program can't be run
 * @return false when it could not be started
 */
bool process_restart(struct process *process, GError **error);

/**
 * Sets an argument "--name=value" for the next start, in place of an argument
 * of the same name, if any.
 */
void process_set_argument(struct process *process, const char *name,
			  const char *value);

/** Sends SIGKILL and waits until the process has ended. */
void process_kill(struct process *process);

/** Sends SIGSTOP and waits until the process is stopped. */
void process_freeze(struct process *process);

/** Sends SIGCONT, which resumes a stopped process. */
void process_continue(struct process *process);

/** Sends SIGTERM without waiting for the process to end. */
void process_terminate(struct process *process);

/**
 * Waits until the process has ended.
 *
 * @param status set to the wait status, as of waitpid(); may be NULL
 * @return false when the process still runs after timeout_us
 */
bool process_wait_end(struct process *process, int64_t timeout_us, int *status);

/** Whether the process has not ended; a stopped one counts as running. */
bool process_running(struct process *process);

/**
 * Returns a file descriptor from which the process's stdout is read, from where
 * process_wait_listening() stopped reading; it is owned by the process.
 */
int process_stdout(const struct process *process);

pid_t process_pid(const struct process *process);

const char *process_name(const struct process *process);

/** Returns the CPU time used so far by all threads, in microseconds; 0 when the
 * process has been reaped. */
int64_t process_cpu_us(const struct process *process);

/** Returns the resident set size, in KiB; 0 when the process has ended. */
int64_t process_memory_kib(const struct process *process);

/** Prints the last lines of the process's log file to stdout. */
void process_print_log(const struct process *process, unsigned int lines);

/** Removes a folder and the files in it; it must have no subfolders. */
void process_remove_folder(const char *folder);

/**
 * Waits until a condition holds.
 *
 * @param holds returns the condition; called every 5 milliseconds
 * @return false when it did not hold within timeout_us
 */
bool process_wait_until(bool (*holds)(void *ctx), void *ctx,
			int64_t timeout_us);

#endif
