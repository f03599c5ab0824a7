#include "entry/settings.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "base/address.h"
#include "base/error.h"

enum setting_type {
	SETTING_TEXT,
	SETTING_ADDRESS,
	SETTING_NUMBER,
};

/* One setting: its place in the file and its allowed values. */
struct setting {
	/** Names of the setting's group and key in the settings file. */
	const char *group;
	const char *key;
	enum setting_type type;
	/** Unit or format of the value, for messages. */
	const char *unit;
	/** Default value as text; NULL: the setting is required. */
	const char *default_value;
	/** Bounds of a number, both allowed. */
	double min, max;
	const char *help;
	/** Offset of the field in struct entry_settings. */
	size_t offset;
};

#define OFFSET(field) offsetof(struct entry_settings, field)

static const struct setting all_settings[] = {
	{ "vm", "name", SETTING_TEXT, "", NULL, 0, 0,
	  "name of this VM, unique among those of the system", OFFSET(vm) },
	{ "vm", "zone", SETTING_TEXT, "", NULL, 0, 0,
	  "availability zone of this VM", OFFSET(zone) },
	{ "vm", "link", SETTING_NUMBER, "Mbit/s", "1000", 0.1, 1000000,
	  "speed of this VM's network link", OFFSET(link_mbps) },
	{ "vm", "memory", SETTING_NUMBER, "MB", "256", 32, 1000000,
	  "memory that the process may use", OFFSET(memory_mb) },
	{ "vm", "descriptors", SETTING_NUMBER, "descriptors", "3075", 64,
	  10000000,
	  "descriptors that the process may open; callers' connections take "
	  "three quarters at most",
	  OFFSET(descriptors) },
	{ "vm", "copy_wait", SETTING_NUMBER, "seconds", "0", 0, 60,
	  "time for which a VM that starts waits for the leader's copies of "
	  "the "
	  "tables; 0 reads them from the store at once",
	  OFFSET(copy_wait_s) },
	{ "listen", "callers", SETTING_ADDRESS, "IPv4:port", NULL, 0, 0,
	  "where callers connect", OFFSET(callers) },
	{ "listen", "ready", SETTING_ADDRESS, "IPv4:port", NULL, 0, 0,
	  "where the balancer asks for readiness", OFFSET(ready) },
	{ "listen", "peers", SETTING_ADDRESS, "IPv4:port", NULL, 0, 0,
	  "where the system's other VMs send datagrams; the same port on all",
	  OFFSET(peers) },
	{ "listen", "metrics", SETTING_ADDRESS, "IPv4:port", NULL, 0, 0,
	  "where metrics are served", OFFSET(metrics) },
	{ "store", "address", SETTING_ADDRESS, "IPv4:port", NULL, 0, 0,
	  "the platform's table service", OFFSET(store) },
	{ "store", "apply", SETTING_NUMBER, "seconds", "2", 0.2, 3600,
	  "from a change in the store to its effect on every VM",
	  OFFSET(apply_s) },
	{ "stop", "grace", SETTING_NUMBER, "seconds", "6", 0.5, 3600,
	  "from a SIGTERM to the end of the process", OFFSET(stop_s) },
	{ "upstreams", "leave", SETTING_NUMBER, "seconds", "2", 0, 3600,
	  "from an upstream's notice to its last request", OFFSET(leave_s) },
	{ "upstreams", "cold_overshoot", SETTING_NUMBER, "factor", "1.5", 1,
	  100, "most requests of a cold upstream against its rate",
	  OFFSET(cold_overshoot) },
	{ "upstreams", "cold_slack", SETTING_NUMBER, "requests", "5", 0, 10000,
	  "requests of a cold upstream allowed beyond that",
	  OFFSET(cold_slack) },
	{ "retries", "ratio", SETTING_NUMBER, "share", "0.2", 0, 10,
	  "repeats allowed for each request", OFFSET(retry_ratio) },
	{ "retries", "window", SETTING_NUMBER, "seconds", "10", 0.1, 3600,
	  "span in which repeats are counted", OFFSET(retry_window_s) },
	{ "retries", "slack", SETTING_NUMBER, "requests", "64", 0, 100000,
	  "repeats allowed besides, by all VMs together", OFFSET(retry_slack) },
	{ "keys", "hold_max", SETTING_NUMBER, "seconds", "10", 0.5, 3600,
	  "longest time for which keys are given", OFFSET(hold_max_s) },
	{ "callers", "body_timeout", SETTING_NUMBER, "seconds", "600", 1, 86400,
	  "time for a request's body to be received", OFFSET(body_timeout_s) },
	{ "quotas", "window", SETTING_NUMBER, "seconds", "5", 0.5, 3600,
	  "span in which a customer's requests are counted against its quota",
	  OFFSET(quota_window_s) },
	{ "quotas", "overshoot", SETTING_NUMBER, "share", "0.1", 0, 10,
	  "requests allowed beyond rate and burst, as a share of them",
	  OFFSET(quota_overshoot) },
	{ "quotas", "slack", SETTING_NUMBER, "requests", "20", 0, 100000,
	  "requests allowed beyond that", OFFSET(quota_slack) },
	{ "log", "lines", SETTING_NUMBER, "lines a second", "500", 1, 100000,
	  "log lines beyond it are left out and counted", OFFSET(log_lines) },
};

/* Sets an error that names the file, the setting, its value and what is
 * allowed. Returns false. */
static bool invalid(GError **error, const char *path, const struct setting *s,
		    const char *value, const char *allowed)
{
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "%s: [%s] %s = \"%s\": expected %s", path, s->group, s->key,
		    value, allowed);
	return false;
}

static bool parse_number(struct entry_settings *settings, const char *path,
			 const struct setting *s, const char *value,
			 GError **error)
{
	char *end;
	double number = g_ascii_strtod(value, &end);
	char *allowed;

	if (end != value && !*end && isfinite(number) && number >= s->min &&
	    number <= s->max) {
		memcpy((char *)settings + s->offset, &number, sizeof(number));
		return true;
	}
	allowed = g_strdup_printf("%g to %g %s", s->min, s->max, s->unit);
	invalid(error, path, s, value, allowed);
	g_free(allowed);
	return false;
}

static bool parse_value(struct entry_settings *settings, const char *path,
			const struct setting *s, const char *value,
			GError **error)
{
	void *field = (char *)settings + s->offset;

	switch (s->type) {
	case SETTING_TEXT:
		if (!*value)
			return invalid(error, path, s, value,
				       "a name that is not empty");
		*(char **)field = g_strdup(value);
		return true;
	case SETTING_ADDRESS:
		if (!address_parse(str_from(value), field))
			return invalid(error, path, s, value, "IPv4:port");
		return true;
	case SETTING_NUMBER:
		return parse_number(settings, path, s, value, error);
	}
	return false;
}

static bool read_setting(struct entry_settings *settings, const char *path,
			 GKeyFile *file, const struct setting *s,
			 GError **error)
{
	char *value = g_key_file_get_value(file, s->group, s->key, NULL);
	bool ok;

	if (value)
		g_strstrip(value);
	if (!value && !s->default_value)
		return invalid(error, path, s, "",
			       "a value, but the setting is missing");
	ok = parse_value(settings, path, s, value ? value : s->default_value,
			 error);
	g_free(value);
	return ok;
}

struct entry_settings *entry_settings_read(const char *path, GError **error)
{
	struct entry_settings *settings = g_new0(struct entry_settings, 1);
	GKeyFile *file = g_key_file_new();
	GError *detail = NULL;
	bool ok = true;
	size_t i;

	if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &detail)) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID, "%s: %s",
			    path, detail->message);
		g_error_free(detail);
		ok = false;
	}
	for (i = 0; ok && i < G_N_ELEMENTS(all_settings); i++)
		ok = read_setting(settings, path, file, &all_settings[i],
				  error);
	g_key_file_free(file);
	if (ok)
		return settings;
	entry_settings_free(settings);
	return NULL;
}

void entry_settings_free(struct entry_settings *settings)
{
	if (!settings)
		return;
	g_free(settings->vm);
	g_free(settings->zone);
	g_free(settings);
}

void entry_settings_describe(GString *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all_settings); i++) {
		const struct setting *s = &all_settings[i];

		g_string_append_printf(
			out, "[%s] %s (%s%s%s): %s\n", s->group, s->key,
			s->unit, s->default_value ? ", default " : "",
			s->default_value ? s->default_value : "", s->help);
	}
}
