/**
 * Changes and queries that several commands share.
 */
#ifndef CTL_CHANGE_H
#define CTL_CHANGE_H

#include <jansson.h>

#include "ctl/commands.h"
#include "profile/profile_defs.h"

/**
 * Reads declarations; prints what is wrong.
 *
 * @return new settings, or NULL
 */
struct settings *change_load(const char *path);

/**
 * Gets the settings in force.
 *
 * @param current set to new settings, or NULL when nothing is published
 */
enum ctl_status change_current(struct ctl *ctl, struct settings **current);

/**
 * What publishing a file would change; what is out stays out.
 *
 * @param current NULL when nothing is published
 * @return the text; freed with g_free()
 */
char *change_diff(const struct settings *current, struct settings *next);

/**
 * Queries; prints what went wrong.
 *
 * @param answer set on CTL_OK; freed with json_decref()
 */
enum ctl_status change_get(struct ctl *ctl, const char *path, json_t **answer);

/** Posts a change with an attempt id and prints its outcome. */
enum ctl_status change_post(struct ctl *ctl, const char *path,
			    const char *query);

/** The command `publish FILE`. */
enum ctl_status change_publish(struct ctl *ctl);

/** Prints JSON on one line. */
void change_print_json(const json_t *value);

#endif
