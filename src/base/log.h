/**
 * Logging through GLib's structured log. Every message carries the name of the
 * program part that logs it, for example "router: ready".
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

/**
 * Installs a GLib log writer that prints to stderr. Call once, before other
 * threads start.
 *
 * @param level least severe level to print: "error", "warning", "info",
 *        "debug"
 * @param json print one JSON object per line instead of text
 */
void log_setup(const char *level, bool json);

/** Logs a message; part names the part of the program that logs it. */
void log_write(GLogLevelFlags level, const char *part, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define log_error(part, ...) log_write(G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)
#define log_warn(part, ...) log_write(G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_info(part, ...) log_write(G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_write(G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
