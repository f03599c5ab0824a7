#include "base/options.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/error.h"

/* Keys by which argp identifies the options; those of the program's own options
 * count up from FIRST_KEY. The keys are not printable characters, so that argp
 * offers no short forms of the options. */
#define FIRST_KEY 0x1000
#define KEY_CHECK 0x0f00
#define KEY_TABLE 0x0f01
/* Exit status for an invalid or missing value. */
#define EXIT_INVALID_VALUE 2

/* State of options_parse(), passed to parse_key(). */
struct parse_state {
	const struct program *program;
	void *settings;
	/* Positional arguments; the strings belong to argv. */
	GPtrArray *positional;
	/* For each option: whether it was set by a flag. */
	bool *set_by_flag;
	/* --check was given. */
	bool check;
};

static void *option_value(const struct option_spec *option, void *settings)
{
	return (char *)settings + option->offset;
}

/* Sets the error for an invalid value. @return false */
static bool set_invalid_value_error(const struct option_spec *option,
				    const char *text, const char *allowed,
				    GError **error)
{
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "--%s: bad value \"%s\": allowed: %s", option->name, text,
		    allowed);
	return false;
}

static bool set_int(const struct option_spec *option, const char *text,
		    int64_t *out, GError **error)
{
	char allowed[96];
	char *end;
	int64_t value;

	errno = 0;
	value = g_ascii_strtoll(text, &end, 10);
	if (!*text || *end || errno || value < option->min ||
	    value > option->max) {
		g_snprintf(allowed, sizeof(allowed),
			   "a whole number from %" G_GINT64_FORMAT
			   " to %" G_GINT64_FORMAT,
			   option->min, option->max);
		return set_invalid_value_error(option, text, allowed, error);
	}
	*out = value;
	return true;
}

static bool set_bool(const struct option_spec *option, const char *text,
		     bool *out, GError **error)
{
	if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0)
		return set_invalid_value_error(option, text, "true, false",
					       error);
	*out = !strcmp(text, "true");
	return true;
}

static bool set_choice(const struct option_spec *option, const char *text,
		       char **out, GError **error)
{
	char *allowed;

	if (!g_strv_contains(option->choices, text)) {
		allowed = g_strjoinv(", ", (char **)option->choices);
		set_invalid_value_error(option, text, allowed, error);
		g_free(allowed);
		return false;
	}
	*out = g_strdup(text);
	return true;
}

/* Stores the value of an OPTION_ADDRESS or OPTION_ADDRESSES. */
static bool set_addresses(const struct option_spec *option, const char *text,
			  char **out, GError **error)
{
	char **parts = g_strsplit(text, ",", -1);
	struct sockaddr_in addr;
	bool ok = true;
	char **p;

	for (p = parts; *p && ok; p++)
		ok = address_parse(str_from(*p), &addr);
	if (option->type == OPTION_ADDRESS && g_strv_length(parts) > 1)
		ok = false;
	g_strfreev(parts);
	if (!ok)
		return set_invalid_value_error(
			option, text,
			option->type == OPTION_ADDRESS
				? "IPv4:port"
				: "IPv4:port,IPv4:port,...",
			error);
	*out = g_strdup(text);
	return true;
}

bool options_set(const struct option_spec *option, const char *text,
		 void *settings, GError **error)
{
	void *value = option_value(option, settings);

	switch (option->type) {
	case OPTION_TEXT:
		*(char **)value = g_strdup(text);
		return true;
	case OPTION_INT:
		return set_int(option, text, value, error);
	case OPTION_BOOL:
		return set_bool(option, text, value, error);
	case OPTION_CHOICE:
		return set_choice(option, text, value, error);
	case OPTION_ADDRESS:
	case OPTION_ADDRESSES:
		if (!*text) {
			*(char **)value = g_strdup("");
			return true;
		}
		return set_addresses(option, text, value, error);
	}
	return false;
}

static size_t count_options(const struct program *program)
{
	size_t n = 0;

	while (program->options[n].name)
		n++;
	return n;
}

/* Returns the name of an option's environment variable; the caller frees it. */
static char *variable_name(const struct option_spec *option)
{
	char *name = g_ascii_strup(option->name, -1);
	char *full;

	g_strdelimit(name, "-", '_');
	full = g_strconcat("AUBURN_", name, NULL);
	g_free(name);
	return full;
}

/* Describes the values that an option allows, in buf if needed. */
static const char *allowed_text(const struct option_spec *option, char *buf,
				size_t size)
{
	char *joined;

	switch (option->type) {
	case OPTION_INT:
		g_snprintf(buf, size, "%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT,
			   option->min, option->max);
		return buf;
	case OPTION_BOOL:
		return "true, false";
	case OPTION_CHOICE:
		joined = g_strjoinv(", ", (char **)option->choices);
		g_strlcpy(buf, joined, size);
		g_free(joined);
		return buf;
	case OPTION_ADDRESS:
		return "IPv4:port";
	case OPTION_ADDRESSES:
		return "IPv4:port,...";
	case OPTION_TEXT:
		break;
	}
	return "text";
}

char *options_markdown(const struct program *program)
{
	GString *out = g_string_new(NULL);
	const struct option_spec *option;
	char buf[160];

	g_string_append_printf(out, "## %s\n\n%s\n\n", program->name,
			       program->about);
	g_string_append(out, "| flag | variable | allowed | default | what |\n"
			     "| --- | --- | --- | --- | --- |\n");
	for (option = program->options; option->name; option++) {
		char *variable = variable_name(option);

		g_string_append_printf(
			out, "| `--%s` | `%s` | %s | %s | %s |\n", option->name,
			variable, allowed_text(option, buf, sizeof(buf)),
			!option->fallback   ? "(must be given)"
			: *option->fallback ? option->fallback
					    : "(empty)",
			option->help);
		g_free(variable);
	}
	return g_string_free(out, FALSE);
}

/* argp callback: handles one flag or positional argument. */
static error_t parse_key(int key, char *arg, struct argp_state *state)
{
	struct parse_state *s = state->input;
	GError *error = NULL;
	size_t i;

	if (key == KEY_CHECK) {
		s->check = true;
		return 0;
	}
	if (key == KEY_TABLE) {
		char *text = options_markdown(s->program);

		fputs(text, stdout);
		g_free(text);
		exit(0);
	}
	if (key == ARGP_KEY_ARG) {
		if (!s->program->arguments)
			argp_error(state, "unexpected argument \"%s\"", arg);
		g_ptr_array_add(s->positional, arg);
		return 0;
	}
	if (key < FIRST_KEY ||
	    (size_t)(key - FIRST_KEY) >= count_options(s->program))
		return ARGP_ERR_UNKNOWN;
	i = (size_t)(key - FIRST_KEY);
	if (!options_set(&s->program->options[i], arg ? arg : "true",
			 s->settings, &error))
		argp_failure(state, EXIT_INVALID_VALUE, 0, "%s",
			     error->message);
	s->set_by_flag[i] = true;
	return 0;
}

static void exit_invalid_value(const struct program *program, GError *error)
{
	fprintf(stderr, "%s: %s\n", program->name, error->message);
	exit(EXIT_INVALID_VALUE);
}

/* Sets the options that no flag has set, from the environment or to their
 * defaults. */
static void apply_environment_and_defaults(const struct program *program,
					   const bool *set_by_flag,
					   void *settings)
{
	size_t i, n = count_options(program);

	for (i = 0; i < n; i++) {
		const struct option_spec *option = &program->options[i];
		char *variable;
		const char *text;
		GError *error = NULL;

		if (set_by_flag[i])
			continue;
		variable = variable_name(option);
		text = getenv(variable);
		if (!text)
			text = option->fallback;
		if (!text) {
			fprintf(stderr, "%s: --%s (or %s) must be given\n",
				program->name, option->name, variable);
			exit(EXIT_INVALID_VALUE);
		}
		if (!options_set(option, text, settings, &error))
			exit_invalid_value(program, error);
		g_free(variable);
	}
}

/* Returns argp's table of the options; the caller frees it with g_free(). */
static struct argp_option *create_argp_options(const struct program *program)
{
	size_t i, n = count_options(program);
	struct argp_option *table = g_new0(struct argp_option, n + 3);

	for (i = 0; i < n; i++) {
		const struct option_spec *option = &program->options[i];

		table[i].name = option->name;
		table[i].key = FIRST_KEY + (int)i;
		table[i].arg = option->type == OPTION_INT    ? "N"
			       : option->type == OPTION_BOOL ? "BOOL"
							     : "VALUE";
		table[i].flags =
			option->type == OPTION_BOOL ? OPTION_ARG_OPTIONAL : 0;
		table[i].doc = option->help;
	}
	table[n] = (struct argp_option){ .name = "check",
					 .key = KEY_CHECK,
					 .doc = "check the settings and exit" };
	table[n + 1] = (struct argp_option){
		.name = "settings-table",
		.key = KEY_TABLE,
		.doc = "print the options as a Markdown table and exit"
	};
	return table;
}

static void print_version(FILE *stream, struct argp_state *state)
{
	const struct parse_state *s = state->input;

	fprintf(stream, "%s %s\n", s->program->name, AUBURN_VERSION);
}

void options_parse(const struct program *program, int argc, char **argv,
		   void *settings, char ***rest)
{
	struct argp_option *table = create_argp_options(program);
	struct argp argp = { .options = table,
			     .parser = parse_key,
			     .args_doc = program->arguments,
			     .doc = program->about };
	struct parse_state state = { .program = program,
				     .settings = settings,
				     .positional = g_ptr_array_new() };

	state.set_by_flag = g_new0(bool, count_options(program) + 1);
	argp_program_version_hook = print_version;
	argp_err_exit_status = EXIT_INVALID_VALUE;
	argp_parse(&argp, argc, argv, 0, NULL, &state);
	apply_environment_and_defaults(program, state.set_by_flag, settings);
	if (state.check) {
		printf("%s: settings are valid\n", program->name);
		exit(0);
	}
	g_ptr_array_add(state.positional, NULL);
	if (rest)
		*rest = (char **)g_ptr_array_free(state.positional, FALSE);
	else
		g_ptr_array_free(state.positional, TRUE);
	g_free(state.set_by_flag);
	g_free(table);
}
