/**
 * Settings of the entry daemon, read from a key file (groups, keys and values).
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** The settings; for their units and defaults see entry_settings_describe(). */
struct entry_settings {
	/** Name of this VM, unique in the system. */
	char *vm;
	/** Availability zone of this VM. */
	char *zone;
	/** Speed of this VM's network link, in Mbit/s. */
	double link_mbps;
	/** Memory that the process may use, in MB. */
	double memory_mb;
	/** Descriptors that the process may open. */
	double descriptors;
	/** Seconds that the body of a caller's request may take. */
	double body_timeout_s;
	/** Seconds for which a VM that starts waits for copies of the tables.
	 */
	double copy_wait_s;
	/** Listening address for callers. */
	struct sockaddr_in callers;
	/** Listening address of the readiness probe. */
	struct sockaddr_in ready;
	/** Address at which this VM receives datagrams of other VMs. */
	struct sockaddr_in peers;
	/** Address of the platform's table service. */
	struct sockaddr_in store;
	/** Seconds from a change in the store, such as a new configuration, by
	 * which it must be in force on every VM. */
	double apply_s;
	/** Listening address for metrics. */
	struct sockaddr_in metrics;
	/** Seconds from SIGTERM until the process must have exited. */
	double stop_s;
	/** Seconds from an upstream's announcement that it is draining until
	 * its last request. */
	double leave_s;
	/** Retry budget of a service: retry_ratio retries per request in a
	 * sliding window of retry_window_s, plus retry_slack retries in that
	 * window by all VMs together. */
	double retry_ratio;
	double retry_window_s;
	double retry_slack;
	/** Limit of requests from all VMs to a cold upstream: cold_overshoot
	 * times its declared rate, and cold_slack requests beyond that. The
	 * limit that this daemon keeps, in roster.c, is stricter and uses
	 * neither value. */
	double cold_overshoot;
	double cold_slack;
	/** Longest time, in seconds, for which a grant lets an owner hold keys.
	 */
	double hold_max_s;
	/** How strictly customers' quotas are kept, see struct quota_bounds. */
	double quota_window_s;
	double quota_overshoot;
	double quota_slack;
	/** Log lines per second; more are dropped and counted. */
	double log_lines;
};

/**
 * Reads and checks a settings file.
 *
 * @param error AUBURN_ERROR_INVALID; names file, key, value and allowed values
 * @return the settings, or NULL; freed with entry_settings_free()
 */
struct entry_settings *entry_settings_read(const char *path, GError **error);

/** Frees settings; NULL is allowed. */
void entry_settings_free(struct entry_settings *settings);

/** Appends one line of text per setting: key, unit, default and help. */
void entry_settings_describe(GString *out);

#endif
