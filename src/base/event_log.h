/**
 * Asynchronous structured log. Callers append lines to a bounded queue and
 * never block; a background thread writes the queue out. Lines beyond the
 * queue's size or the rate limit are dropped and counted; the count is logged
 * once there is room again.
 *
 * Line format: time=... level=... part=... event=... key=value ...
 */
#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

/** A log with its queue and writer thread. */
struct event_log;

/** Settings of a log. */
struct event_log_options {
	/** Descriptor that lines are written to; the log doesn't close it. */
	int fd;
	/** Rate limit in lines per second; also the burst size. */
	unsigned int lines_per_s;
	/** Part of the program whose lines are dropped first: they leave a
	 * share of the limit and of the queue to those of other parts. Must
	 * outlive the log; NULL: none. */
	const char *bulk_part;
};

/**
 * Creates a log and starts its writer thread.
 *
 * @return the log; freed with event_log_destroy()
 */
struct event_log *event_log_create(const struct event_log_options *options);

/**
 * Writes queued lines for up to one second, stops the thread and frees the log.
 */
void event_log_destroy(struct event_log *log);

/**
 * Queues a line. Not thread-safe: call from one thread at a time.
 *
 * @param level "error", "warning" or "info"
 * @param part name of the part of the program that logs the line
 * @param format "event=... key=value ...", without a line feed
 */
void event_log_write(struct event_log *log, const char *level, const char *part,
		     const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Wakes the writer thread if lines are queued. Call it several times a second:
 * event_log_write() does not wake the thread. */
void event_log_flush(struct event_log *log);

/** Returns the number of lines dropped so far, of all parts. */
uint64_t event_log_dropped(const struct event_log *log);

/** Routes GLib messages, and thus log_error() etc. (log.h), to this log. */
void event_log_install_glib_writer(struct event_log *log);

#endif
