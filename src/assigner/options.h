/**
 * Command-line options of auburn-assigner.
 */
#ifndef ASSIGNER_OPTIONS_H
#define ASSIGNER_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/options.h"

/** Values of the options; the help texts in options.c describe each. */
struct assigner_options {
	char *daemon;
	char *zone;
	char *listen;
	char *operator_listen;
	char *operator_token;
	char *platform;
	char *peers;
	char *log_level;
	bool log_json;
	int64_t table_timeout_ms;
	int64_t vms_poll_ms;
	int64_t slices_per_owner;
};

/** Option table of the program, for options_parse(). */
extern const struct program assigner_program;

#endif
