/*
 * auburnctl: command line client for operators.
 */
#include <stddef.h>
#include <stdio.h>

#include "base/options.h"
#include "ctl/commands.h"

/* Offset of an option's value in struct ctl_settings. */
#define AT(member) offsetof(struct ctl_settings, member)

static const struct option_spec options[] = {
	{ .name = "operators",
	  .type = OPTION_ADDRESSES,
	  .fallback = "127.0.0.1:7102",
	  .help = "operator addresses of assigners, tried in order",
	  .offset = AT(operators) },
	{ .name = "routers",
	  .type = OPTION_ADDRESSES,
	  .fallback = "",
	  .help = "operator addresses of routers, for explain request",
	  .offset = AT(routers) },
	{ .name = "token",
	  .type = OPTION_TEXT,
	  .fallback = "",
	  .help = "bearer token; better by its variable than by the flag",
	  .offset = AT(token) },
	{ .name = "json",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "print JSON",
	  .offset = AT(json) },
	{ .name = "force",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "skip the checks of capacity and of contact with the peers",
	  .offset = AT(force) },
	{ .name = "wait",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "after a change, wait until it is in force everywhere",
	  .offset = AT(wait) },
	{ .name = "wait-ms",
	  .type = OPTION_INT,
	  .fallback = "15000",
	  .min = 0,
	  .max = 600000,
	  .help = "longest wait of --wait in milliseconds",
	  .offset = AT(wait_ms) },
	{ .name = "watch",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "repeat status until interrupted",
	  .offset = AT(watch) },
	{ .name = "timeout-ms",
	  .type = OPTION_INT,
	  .fallback = "10000",
	  .min = 100,
	  .max = 600000,
	  .help = "longest wait for one daemon's answer in milliseconds",
	  .offset = AT(timeout_ms) },
	{ .name = "author",
	  .type = OPTION_TEXT,
	  .fallback = "",
	  .help = "who makes a change; empty: the user's name",
	  .offset = AT(author) },
	{ .name = "note",
	  .type = OPTION_TEXT,
	  .fallback = "",
	  .help = "why a change is made, for the history",
	  .offset = AT(note) },
	{ 0 },
};

/* Prints a problem of the command line and the list of commands. */
static enum ctl_status usage(const char *problem)
{
	char *text = commands_help();

	fprintf(stderr, "auburnctl: %s\n%s", problem, text);
	g_free(text);
	return CTL_USAGE;
}

static enum ctl_status run(const struct ctl_settings *settings, char **args)
{
	struct ctl ctl = { .settings = settings };
	const struct command *command = command_find(args, &ctl.args);
	enum ctl_status status;

	if (!command)
		return usage(*args ? "unknown command" : "no command given");
	if ((int)g_strv_length(ctl.args) != command->argument_count)
		return usage("wrong number of arguments");
	ctl.client = client_create(settings->operators, settings->token,
				   settings->timeout_ms);
	status = command->run(&ctl);
	client_destroy(ctl.client);
	return status;
}

int main(int argc, char **argv)
{
	static const struct program program = {
		.name = "auburnctl",
		.about = "Publishes settings and takes zones and VMs out and "
			 "in. `auburnctl help` lists the commands.",
		.arguments = "COMMAND [ARGUMENT...]",
		.options = options
	};
	static struct ctl_settings settings;
	enum ctl_status status;
	char **rest;

	options_parse(&program, argc, argv, &settings, &rest);
	status = run(&settings, rest);
	g_free(rest);
	return (int)status;
}
