/**
 * Structured log lines that never block their writer: a bounded queue, emptied
 * by a thread of its own. What does not fit, or goes beyond the rate, is left
 * out and counted; the count is logged when there is room again.
 *
 * A line reads: time=... level=... part=... event=... key=value ...
 */
#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

struct event_log;

struct event_log_options {
	/** Where lines go. */
	int fd;
	/** Lines a second at most, and as many at once. */
	unsigned int lines_per_s;
};

/** Starts the thread. @return the log; ended with event_log_destroy() */
struct event_log *event_log_create(const struct event_log_options *options);

/** Writes what waits, for a second at most, and frees. */
void event_log_destroy(struct event_log *log);

/**
 * Appends a line.
 *
 * @param format "event=... key=value ..."; one thread at a time
 */
void event_log_write(struct event_log *log, const char *level, const char *part,
		     const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Wakes the thread when lines wait; to be called several times a second. */
void event_log_flush(struct event_log *log);

/** Lines left out so far. */
uint64_t event_log_dropped(const struct event_log *log);

/** Sends GLib's log and log_error() and its kin here. */
void event_log_install_glib_writer(struct event_log *log);

#endif
