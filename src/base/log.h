/**
 * Structured logging through GLib. Each part of the program logs short
 * sentences under its own fixed prefix, for example "router: ready".
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

/**
 * Installs the log writer. Call once, before other threads start.
 *
 * @param level least severe level to print: "error", "warning", "info",
 *        "debug"
 * @param json one JSON object a line instead of text
 */
void log_setup(const char *level, bool json);

/** Logs one sentence; part is the fixed prefix. */
void log_write(GLogLevelFlags level, const char *part, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define log_error(part, ...) log_write(G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)
#define log_warn(part, ...) log_write(G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_info(part, ...) log_write(G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_write(G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
