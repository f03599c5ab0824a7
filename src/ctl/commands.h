/**
 * The commands of auburnctl as one table, from which its help is made.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <stdbool.h>
#include <stdint.h>

#include "ctl/client.h"

/** Exit statuses of auburnctl. */
enum ctl_status {
	CTL_OK = 0,
	/** Against the rules, or someone else was faster. */
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	/** No daemon or no table; nothing was changed. */
	CTL_UNAVAILABLE = 3,
	/** It may have been changed. */
	CTL_UNKNOWN = 4,
};

/** Values of the options. */
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

struct ctl {
	const struct ctl_settings *settings;
	struct client *client;
	/** Arguments after the command's words, ended by NULL. */
	char **args;
};

struct command {
	/** One or two words. */
	const char *words;
	const char *arguments;
	int argument_count;
	const char *help;
	enum ctl_status (*run)(struct ctl *ctl);
};

/**
 * Finds the command that the arguments begin with.
 *
 * @param args ended by NULL
 * @param rest set to the arguments after the command's words
 * @return the command, or NULL
 */
const struct command *command_find(char **args, char ***rest);

/**
 * Lists the commands.
 *
 * @return the text; freed with g_free()
 */
char *commands_help(void);

#endif
