#include "base/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Least severe level that is printed. */
static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;
/* Messages are printed as JSON objects. */
static bool as_json;

struct level_name {
	const char *name;
	GLogLevelFlags level;
};

static const struct level_name levels[] = {
	{ "error", G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

static const char *level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++)
		if (level & levels[i].level)
			return levels[i].name;
	return "error";
}

/* Returns the text of a log field, or "" without such a field. */
static const char *field_text(const GLogField *fields, gsize count,
			      const char *key)
{
	gsize i;

	for (i = 0; i < count; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static void print_json(const char *time, const char *level, const char *part,
		       const char *message)
{
	json_t *line = json_pack("{ssssssss}", "time", time, "level", level,
				 "part", part, "message", message);
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	fprintf(stderr, "%s\n", text ? text : "{}");
	free(text);
	json_decref(line);
}

/* GLogWriterFunc: prints a message to stderr. */
static GLogWriterOutput write_entry(GLogLevelFlags level,
				    const GLogField *fields, gsize count,
				    gpointer data)
{
	const char *message = field_text(fields, count, "MESSAGE");
	const char *part = field_text(fields, count, "AUBURN_PART");
	GDateTime *now;
	char *time;

	(void)data;
	/* Levels are bit flags: a greater value is less severe. */
	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	if (as_json)
		print_json(time, level_name(level), part, message);
	else
		fprintf(stderr, "%s %-7s %s: %s\n", time, level_name(level),
			part, message);
	g_free(time);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void log_setup(const char *level, bool json)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++)
		if (!strcmp(levels[i].name, level))
			threshold = levels[i].level;
	as_json = json;
	g_log_set_writer_func(write_entry, NULL, NULL);
}

void log_write(GLogLevelFlags level, const char *part, const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_log_structured(part, level, "AUBURN_PART", part, "MESSAGE", "%s",
			 message);
	g_free(message);
}
