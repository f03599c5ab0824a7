/* Record, time and result of a case. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lab_internal.h"

static FILE *record;
static GMutex record_mutex;
static bool trouble = true;
static unsigned int broken;
static double begun_s;

static double clock_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double lab_now(void)
{
	return clock_s() - begun_s;
}

void lab_sleep(double s)
{
	g_usleep((gulong)(s * G_USEC_PER_SEC));
}

void lab_begin(const char *folder)
{
	const char *text = getenv("TROUBLE");
	char *path = g_build_filename(folder, "record.txt", NULL);

	begun_s = clock_s();
	trouble = !text || strcmp(text, "0") != 0;
	record = fopen(path, "w");
	g_free(path);
	if (!record) {
		fprintf(stderr, "can't write record.txt in %s\n", folder);
		exit(2);
	}
	lab_record("disruption: %s", trouble ? "played" : "left out");
}

bool lab_trouble(void)
{
	return trouble;
}

static void G_GNUC_PRINTF(2, 0)
	write_line(const char *mark, const char *format, va_list args)
{
	char *text = g_strdup_vprintf(format, args);

	g_mutex_lock(&record_mutex);
	fprintf(record, "%8.3f %s%s\n", lab_now(), mark, text);
	fflush(record);
	g_mutex_unlock(&record_mutex);
	g_free(text);
}

void lab_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("", format, args);
	va_end(args);
}

void lab_broken(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("BROKEN ", format, args);
	va_end(args);
	broken++;
}

void lab_cannot_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("can't run: ", format, args);
	va_end(args);
	daemons_stop();
	exit(2);
}

int lab_end(void)
{
	daemons_stop();
	lab_record("result: %s", broken ? "broken" : "held");
	return broken ? 1 : 0;
}
