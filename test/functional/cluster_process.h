/**
 * Child processes of a test: started, waited for, frozen and killed by pid.
 * None outlives its parent, even one that is killed.
 */
#ifndef CLUSTER_PROCESS_H
#define CLUSTER_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct process;

/**
 * Starts a program.
 *
 * @param name names its log file
 * @param dir folder of the log file, for what it prints on stderr
 * @param argv program and arguments, ended by NULL; copied for restarts
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return a new process, or NULL
 */
struct process *process_start(const char *name, const char *dir,
			      const char *const *argv, GError **error);

/** Kills the process when it runs, and frees. */
void process_destroy(struct process *process);

/**
 * Waits for the line "listening NAME=ADDRESS ..." on stdout.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return false when it did not come in time
 */
bool process_wait_listening(struct process *process, int64_t timeout_us,
			    GError **error);

/**
 * An address of the "listening" line.
 *
 * @return "IPv4:port", "" when there is none; it belongs to the process
 */
const char *process_address(const struct process *process, const char *name);

/** Starts it again, with the same arguments, after it has ended. */
bool process_restart(struct process *process, GError **error);

/**
 * Sets an argument "--name=value" for the next start; it takes the place of
 * one of the same name.
 */
void process_set_argument(struct process *process, const char *name,
			  const char *value);

/** Kills with SIGKILL and waits for its end. */
void process_kill(struct process *process);

/** Sends SIGSTOP and waits until it has stopped. */
void process_freeze(struct process *process);

/** Sends SIGCONT. */
void process_continue(struct process *process);

/** Sends SIGTERM. */
void process_terminate(struct process *process);

/**
 * Waits for its end.
 *
 * @param status set to the wait status; may be NULL
 * @return false when it still runs after the time
 */
bool process_wait_end(struct process *process, int64_t timeout_us, int *status);

/** Whether it has not ended. */
bool process_running(struct process *process);

/** What it prints, after the "listening" line; read by the caller. */
int process_stdout(const struct process *process);

pid_t process_pid(const struct process *process);

const char *process_name(const struct process *process);

/** Processor time used so far, all threads, in microseconds. */
int64_t process_cpu_us(const struct process *process);

/** Resident memory, in KiB. */
int64_t process_memory_kib(const struct process *process);

/** Prints the last lines of its log to stdout. */
void process_print_log(const struct process *process, unsigned int lines);

/** Removes a folder and the files in it. */
void process_remove_folder(const char *folder);

/**
 * Waits until a condition holds.
 *
 * @param holds the condition; called every few milliseconds
 * @return false when it did not hold in time
 */
bool process_wait_until(bool (*holds)(void *ctx), void *ctx,
			int64_t timeout_us);

#endif
