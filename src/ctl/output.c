#include "ctl/output.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Most columns of a table; further members of a row are not printed. */
#define COLUMN_LIMIT 16

/* Formats a value as the text of a table cell; freed with g_free(). */
static char *cell_text(const json_t *value)
{
	char *json, *text;

	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_real(value))
		return g_strdup_printf("%.2f", json_real_value(value));
	if (!value || json_is_null(value))
		return g_strdup("-");
	json = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	text = g_strdup(json);
	free(json);
	return text;
}

/* Sets names to the column names of a table, the members of one of its rows.
 *
 * @return the number of columns */
static size_t columns_of(json_t *row, const char **names)
{
	const char *name;
	json_t *value;
	size_t count = 0;

	json_object_foreach (row, name, value)
		if (count < COLUMN_LIMIT)
			names[count++] = name;
	return count;
}

/* Returns the width of a column: the bytes of its longest text or its name. */
static int column_width(const json_t *rows, const char *name)
{
	size_t i, width = strlen(name);

	for (i = 0; i < json_array_size(rows); i++) {
		char *text = cell_text(
			json_object_get(json_array_get(rows, i), name));

		width = MAX(width, strlen(text));
		g_free(text);
	}
	return (int)width;
}

/* Prints a row, or the header if row is NULL. */
static void print_row(const json_t *row, const char *const *names,
		      const int *widths, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		char *text = row ? cell_text(json_object_get(row, names[i]))
				 : g_ascii_strup(names[i], -1);

		printf(i + 1 < count ? "%-*s  " : "%-*s\n",
		       i + 1 < count ? widths[i] : 0, text);
		g_free(text);
	}
}

void output_table(const char *title, const json_t *rows)
{
	const char *names[COLUMN_LIMIT];
	int widths[COLUMN_LIMIT];
	size_t i, count;

	if (!json_array_size(rows))
		return;
	count = columns_of(json_array_get(rows, 0), names);
	for (i = 0; i < count; i++)
		widths[i] = column_width(rows, names[i]);
	printf("\n%s\n", title);
	print_row(NULL, names, widths, count);
	for (i = 0; i < json_array_size(rows); i++)
		print_row(json_array_get(rows, i), names, widths, count);
}

void output_object(const json_t *object)
{
	const char *name;
	json_t *value;
	size_t width = 0;

	json_object_foreach ((json_t *)object, name, value)
		width = MAX(width, strlen(name));
	json_object_foreach ((json_t *)object, name, value) {
		char *text = cell_text(value);

		printf("%-*s  %s\n", (int)width, name, text);
		g_free(text);
	}
}
