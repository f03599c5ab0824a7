/**
 * Settings of the entry daemon: a key file, and a flag for each of its keys.
 * One table says name, type, unit, default, bounds and help of each.
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

struct entry_settings {
	char *vm;
	char *zone;
	/** Of this VM's network link, in Mbit/s. */
	double link_mbps;
	struct sockaddr_in callers;
	struct sockaddr_in ready;
	struct sockaddr_in peers;
	struct sockaddr_in store;
	struct sockaddr_in metrics;
	/** From a SIGTERM to a SIGKILL. */
	double stop_s;
	/** From an upstream's notice to the last request that it may get. */
	double leave_s;
	/** Repeats of requests allowed: share, window and slack of all VMs. */
	double retry_ratio;
	double retry_window_s;
	double retry_slack;
	/** Most requests of a cold upstream in a second, from all VMs. */
	double cold_overshoot;
	double cold_slack;
	/** Longest time for which keys are given. */
	double hold_max_s;
	/** Lines a second that the log takes. */
	double log_lines;
};

/**
 * Reads a settings file.
 *
 * @param error AUBURN_ERROR_INVALID with file, key, value and what is allowed
 * @return the settings, or NULL; freed with entry_settings_free()
 */
struct entry_settings *entry_settings_read(const char *path, GError **error);

/** Frees settings; NULL is allowed. */
void entry_settings_free(struct entry_settings *settings);

/** Appends a line for each setting. */
void entry_settings_describe(GString *out);

#endif
