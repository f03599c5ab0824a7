#include "base/event_log.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines are dropped while this many bytes are queued. */
#define PENDING_MAX_BYTES ((gsize)1 << 20)
/* Share of the rate limit and of the queue that lines of bulk_part leave to
 * other lines. */
#define RESERVED_SHARE 0.25
/* How long event_log_destroy() waits for the last lines to be written, and how
 * long the writer thread waits at a time until a full pipe takes more bytes. */
#define SLOW_READER_WAIT_MS 1000
#define US_PER_S 1000000.0

struct event_log {
	int fd;
	/* Token bucket of the rate limit: one token per line. */
	double lines_per_s;
	double tokens;
	/* See struct event_log_options; NULL: none. */
	const char *bulk_part;
	/* When tokens were last added, by g_get_monotonic_time(). */
	gint64 refilled_us;
	/* Number of lines dropped so far. */
	uint64_t dropped;
	/* Those of them that are not of bulk_part. */
	uint64_t others_dropped;
	/* How many of these a line of the log has reported. */
	uint64_t dropped_reported;

	/* Writes the queued lines. */
	pthread_t thread;
	/* Guards the fields below; never held during a write(). */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/* Queued lines. */
	GString *pending;
	/* The thread must write the queued lines and end. */
	bool stopping;
	/* The thread must write the queued lines. */
	bool flush_requested;
};

/* Writes text in full, or up to the first error such as EPIPE. */
static void write_text(struct event_log *log, const char *text)
{
	size_t left = strlen(text);

	while (left) {
		ssize_t n = write(log->fd, text, left);

		if (n < 0 && errno == EAGAIN) {
			struct pollfd p = { .fd = log->fd, .events = POLLOUT };

			poll(&p, 1, SLOW_READER_WAIT_MS);
			continue;
		}
		if (n < 0 && errno != EINTR)
			return;
		if (n > 0) {
			text += n;
			left -= (size_t)n;
		}
	}
}

static void *writer_main(void *data)
{
	struct event_log *log = data;
	GString *block = g_string_new(NULL);
	bool stopping = false;

	while (!stopping) {
		GString *full;

		pthread_mutex_lock(&log->lock);
		while (!log->flush_requested && !log->stopping)
			pthread_cond_wait(&log->wake, &log->lock);
		log->flush_requested = false;
		stopping = log->stopping;
		full = log->pending;
		log->pending = block;
		pthread_mutex_unlock(&log->lock);
		if (full->len)
			write_text(log, full->str);
		g_string_truncate(full, 0);
		block = full;
	}
	g_string_free(block, TRUE);
	return NULL;
}

struct event_log *event_log_create(const struct event_log_options *options)
{
	struct event_log *log = g_new0(struct event_log, 1);

	log->fd = options->fd;
	log->lines_per_s = options->lines_per_s;
	log->bulk_part = options->bulk_part;
	log->tokens = log->lines_per_s;
	log->refilled_us = g_get_monotonic_time();
	log->pending = g_string_new(NULL);
	pthread_mutex_init(&log->lock, NULL);
	pthread_cond_init(&log->wake, NULL);
	if (pthread_create(&log->thread, NULL, writer_main, log))
		g_error("event log: can't start the writer thread");
	return log;
}

static void wake_writer(struct event_log *log, bool stopping)
{
	pthread_mutex_lock(&log->lock);
	log->flush_requested = true;
	log->stopping = log->stopping || stopping;
	pthread_cond_signal(&log->wake);
	pthread_mutex_unlock(&log->lock);
}

void event_log_destroy(struct event_log *log)
{
	struct timespec until;

	wake_writer(log, true);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += SLOW_READER_WAIT_MS / 1000;
	/*
	 * A stalled reader blocks the thread in write(). The log then leaks:
	 * the process is about to exit.
	 */
	if (pthread_timedjoin_np(log->thread, NULL, &until)) {
		pthread_detach(log->thread);
		return;
	}
	pthread_mutex_destroy(&log->lock);
	pthread_cond_destroy(&log->wake);
	g_string_free(log->pending, TRUE);
	g_free(log);
}

/* Returns the tokens that a line of bulk_part has to leave. */
static double reserved_tokens(const struct event_log *log)
{
	return MIN(log->lines_per_s * RESERVED_SHARE, log->lines_per_s - 1);
}

/* Takes a token for one line. @return false when the rate limit is reached */
static bool take_token(struct event_log *log, bool is_bulk)
{
	gint64 now_us = g_get_monotonic_time();

	log->tokens += (double)(now_us - log->refilled_us) / US_PER_S *
		       log->lines_per_s;
	log->refilled_us = now_us;
	if (log->tokens > log->lines_per_s)
		log->tokens = log->lines_per_s;
	if (log->tokens < 1 + (is_bulk ? reserved_tokens(log) : 0))
		return false;
	log->tokens--;
	return true;
}

/* Queues a copy of a line and frees the line.
 *
 * @return false when the queue is full */
static bool enqueue(struct event_log *log, char *line, bool is_bulk)
{
	double share = is_bulk ? 1 - RESERVED_SHARE : 1;
	gsize max = (gsize)((double)PENDING_MAX_BYTES * share);
	bool room;

	pthread_mutex_lock(&log->lock);
	room = log->pending->len < max;
	if (room)
		g_string_append(log->pending, line);
	pthread_mutex_unlock(&log->lock);
	g_free(line);
	return room;
}

/* Formats the fields that each line begins with; the caller frees the text. */
static char *line_head(const char *level, const char *part)
{
	gint64 now_us = g_get_real_time();

	return g_strdup_printf("time=%" G_GINT64_FORMAT
			       ".%06d level=%s part=%s ",
			       now_us / G_USEC_PER_SEC,
			       (int)(now_us % G_USEC_PER_SEC), level, part);
}

/* Queues a line with the number of lines dropped since the last such line. */
static void report_dropped(struct event_log *log)
{
	uint64_t count = log->dropped - log->dropped_reported;
	char *head, *line;

	if (!count)
		return;
	head = line_head("warning", "log");
	line = g_strdup_printf("%sevent=left_out lines=%" G_GUINT64_FORMAT
			       " others=%" G_GUINT64_FORMAT "\n",
			       head, count, log->others_dropped);
	g_free(head);
	/* It must not use up the room of the lines that it is about. */
	if (!enqueue(log, line, true))
		return;
	log->dropped_reported = log->dropped;
	log->others_dropped = 0;
}

static void count_dropped(struct event_log *log, bool is_bulk)
{
	log->dropped++;
	if (!is_bulk)
		log->others_dropped++;
}

void event_log_write(struct event_log *log, const char *level, const char *part,
		     const char *format, ...)
{
	bool is_bulk = log->bulk_part && !strcmp(part, log->bulk_part);
	char *head, *text, *line;
	va_list args;

	if (!take_token(log, is_bulk)) {
		count_dropped(log, is_bulk);
		return;
	}
	report_dropped(log);
	head = line_head(level, part);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strconcat(head, text, "\n", NULL);
	g_free(head);
	g_free(text);
	if (!enqueue(log, line, is_bulk))
		count_dropped(log, is_bulk);
}

void event_log_flush(struct event_log *log)
{
	bool has_lines;

	pthread_mutex_lock(&log->lock);
	has_lines = log->pending->len > 0;
	pthread_mutex_unlock(&log->lock);
	if (has_lines)
		wake_writer(log, false);
}

uint64_t event_log_dropped(const struct event_log *log)
{
	return log->dropped;
}

/* GLogWriterFunc: queues a GLib message as a line of the log. */
static GLogWriterOutput glib_writer(GLogLevelFlags level,
				    const GLogField *fields, gsize count,
				    gpointer data)
{
	const char *message = "";
	const char *part = "glib";
	char *quoted;
	gsize i;

	/* Debug messages are not logged. */
	if (level & (G_LOG_LEVEL_DEBUG | G_LOG_LEVEL_INFO) &&
	    !(level & G_LOG_LEVEL_INFO))
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, "MESSAGE"))
			message = fields[i].value;
		else if (!strcmp(fields[i].key, "AUBURN_PART"))
			part = fields[i].value;
	}
	quoted = g_strescape(message, NULL);
	event_log_write(data,
			level & G_LOG_LEVEL_INFO      ? "info"
			: level & G_LOG_LEVEL_WARNING ? "warning"
						      : "error",
			part, "event=note text=\"%s\"", quoted);
	g_free(quoted);
	return G_LOG_WRITER_HANDLED;
}

void event_log_install_glib_writer(struct event_log *log)
{
	g_log_set_writer_func(glib_writer, log, NULL);
}
