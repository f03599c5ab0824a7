/**
 * Parses command-line flags and environment variables from one option table.
 * Each option has a flag --name and a variable AUBURN_NAME; the flag takes
 * precedence. Every program also accepts --help, --version, --check and
 * --settings-table.
 */
#ifndef BASE_OPTIONS_H
#define BASE_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Types of options: the C type of the value and what it may be. */
enum option_type {
	/** char *, any text. */
	OPTION_TEXT,
	/** int64_t within [min, max]. */
	OPTION_INT,
	/** bool: "true" or "false"; a bare flag means true. */
	OPTION_BOOL,
	/** char *, one of the option's choices. */
	OPTION_CHOICE,
	/** char *, "IPv4:port" or empty. */
	OPTION_ADDRESS,
	/** char *, a comma-separated list of "IPv4:port"; may be empty. */
	OPTION_ADDRESSES,
};

/** One option of a program. */
struct option_spec {
	/** Name of the flag, without "--". */
	const char *name;
	enum option_type type;
	/** Default value as text; NULL when the option is required. */
	const char *fallback;
	/** For OPTION_INT: allowed range, both ends included. */
	int64_t min, max;
	/** For OPTION_CHOICE: allowed values, NULL-terminated. */
	const char *const *choices;
	/** Short description for --help and the table of settings. */
	const char *help;
	/** Offset of the value in the program's settings structure. */
	size_t offset;
};

/** A program, as its help and messages show it, and its options. */
struct program {
	const char *name;
	/** One sentence for --help. */
	const char *about;
	/** Usage of positional arguments, or NULL for none. */
	const char *arguments;
	/** Terminated by an option with a NULL name. */
	const struct option_spec *options;
};

/**
 * Parses flags and environment variables into a settings structure. Exits after
 * printing for --help, --version and --settings-table; exits with status 2 and
 * a message on an invalid or missing value; with --check exits with 0 when all
 * values are valid.
 *
 * @param program name, help text and options of the program
 * @param settings structure that the options' offsets refer to; its strings are
 *        never freed
 * @param rest set to the positional arguments, NULL-terminated; the caller
 *        frees the array with g_free(), its strings belong to argv. May be NULL
 */
void options_parse(const struct program *program, int argc, char **argv,
		   void *settings, char ***rest);

/**
 * Validates one value and stores it in a settings structure.
 *
 * @param error AUBURN_ERROR_INVALID; the message names the option, the
 *        value and the allowed values
 * @return false on an invalid value
 */
bool options_set(const struct option_spec *option, const char *text,
		 void *settings, GError **error);

/**
 * Renders the options as a Markdown table, for docs/settings.md.
 *
 * @return the text; the caller frees it with g_free()
 */
char *options_markdown(const struct program *program);

#endif
