/**
 * Command-line flags and environment variables from one table. Each option
 * has a flag --name and a variable AUBURN_NAME; the flag goes first. --help,
 * --version, --check and --settings-table come with every program.
 */
#ifndef BASE_OPTIONS_H
#define BASE_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum option_type {
	/** char *, any text. */
	OPTION_TEXT,
	/** int64_t within [min, max]. */
	OPTION_INT,
	/** bool: "true" or "false"; a bare flag means true. */
	OPTION_BOOL,
	/** char *, one of choices. */
	OPTION_CHOICE,
	/** char *, "IPv4:port". */
	OPTION_ADDRESS,
	/** char *, "IPv4:port" separated by commas. */
	OPTION_ADDRESSES,
};

struct option_spec {
	const char *name;
	enum option_type type;
	/** Default as text; NULL: the option must be given. */
	const char *fallback;
	int64_t min, max;
	/** For OPTION_CHOICE: values, ended by NULL. */
	const char *const *choices;
	const char *help;
	/** Place of the value in the program's settings structure. */
	size_t offset;
};

struct program {
	const char *name;
	/** One sentence for --help. */
	const char *about;
	/** Usage of positional arguments, or NULL for none. */
	const char *arguments;
	/** Ended by an option with a NULL name. */
	const struct option_spec *options;
};

/**
 * Reads flags and environment variables into a settings structure. Prints and
 * exits for --help, --version and --settings-table, and with status 2 after a
 * clear message on a bad value. With --check it exits with 0 when all values
 * are valid.
 *
 * @param program what the program is
 * @param settings structure filled by the options' offsets; texts live as long
 *        as the process
 * @param rest set to the positional arguments, ended by NULL; may be NULL
 */
void options_parse(const struct program *program, int argc, char **argv,
		   void *settings, char ***rest);

/**
 * Checks and stores one value.
 *
 * @param option the option
 * @param text its value
 * @param settings the settings structure
 * @param error names the option, the value and what is allowed
 * @return false on a bad value
 */
bool options_set(const struct option_spec *option, const char *text,
		 void *settings, GError **error);

/**
 * Describes the options as a Markdown table, for docs/settings.md.
 *
 * @return the text; the caller frees it with g_free()
 */
char *options_markdown(const struct program *program);

#endif
