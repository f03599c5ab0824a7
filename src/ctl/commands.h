/**
 * Commands of auburnctl and their help text.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <stdbool.h>
#include <stdint.h>

#include "ctl/client.h"

/** Exit statuses of auburnctl. */
enum ctl_status {
	CTL_OK = 0,
	/** The input is invalid, or the daemon refused the command, for example
	 * because of a concurrent change. */
	CTL_REFUSED = 1,
	/** Invalid command line. */
	CTL_USAGE = 2,
	/** No daemon or no table could be reached; nothing was changed. */
	CTL_UNAVAILABLE = 3,
	/** The outcome of a change is unknown. */
	CTL_UNKNOWN = 4,
};

/** Values of the command-line options, described in main.c. */
struct ctl_settings {
	char *operators;
	char *routers;
	char *token;
	bool json;
	bool force;
	bool wait;
	bool watch;
	int64_t wait_ms;
	int64_t timeout_ms;
	char *author;
	char *note;
};

/** Context of one run of a command. */
struct ctl {
	const struct ctl_settings *settings;
	/** Client of the assigners (--operators). */
	struct client *client;
	/** Arguments after the command's name, ended by NULL. */
	char **args;
};

/** One command of auburnctl. */
struct command {
	/** Name, of one or two words. */
	const char *words;
	/** Names of the arguments, for the help. */
	const char *arguments;
	/** Number of arguments that the command requires. */
	int argument_count;
	/** Short description for the help. */
	const char *help;
	/** Runs the command and prints its result or error. */
	enum ctl_status (*run)(struct ctl *ctl);
};

/**
 * Finds the command whose name the arguments begin with.
 *
 * @param args ended by NULL
 * @param rest set to the arguments after the command's name
 * @return the command; NULL when no command has this name
 */
const struct command *command_find(char **args, char ***rest);

/**
 * Formats the list of commands and exit statuses.
 *
 * @return the text; freed with g_free()
 */
char *commands_help(void);

#endif
