/**
 * Parts of auburnctl's commands: read declarations, query the API of an
 * assigner, send a change and report its outcome.
 */
#ifndef CTL_CHANGE_H
#define CTL_CHANGE_H

#include <jansson.h>

#include "ctl/commands.h"
#include "profile/profile_defs.h"

/**
 * Reads a file of declarations. Prints the error if the file is invalid.
 *
 * @return new settings, freed with settings_destroy(); NULL on an error
 */
struct settings *change_load(const char *path);

/**
 * Fetches the settings in force from an assigner. Prints the error if the call
 * fails.
 *
 * @param current set to new settings, freed with settings_destroy(); NULL when
 *        nothing is published or the call fails
 */
enum ctl_status change_current(struct ctl *ctl, struct settings **current);

/**
 * Lists what publishing settings would change. Zones and VMs that are out of
 * service stay so and are copied into next.
 *
 * @param current NULL when nothing is published
 * @param next the settings to publish
 * @return the text; freed with g_free()
 */
char *change_diff(const struct settings *current, struct settings *next);

/**
 * Sends a GET request; prints the error if it fails.
 *
 * @param path path and query, URL-escaped
 * @param json set to the JSON of the answer on CTL_OK, else to NULL;
 *        freed with json_decref()
 */
enum ctl_status change_get(struct ctl *ctl, const char *path, json_t **json);

/**
 * Sends a change by POST with a unique change id and prints its outcome. With
 * --wait, also waits until the change is in force.
 *
 * @param query parameters besides author, note and force, URL-escaped, or NULL
 */
enum ctl_status change_post(struct ctl *ctl, const char *path,
			    const char *query);

/**
 * Runs the command `publish FILE`: prints what changes and publishes the
 * declarations. The daemon refuses them if other settings were published in
 * between.
 */
enum ctl_status change_publish(struct ctl *ctl);

/** Prints a JSON value on one line of stdout. */
void change_print_json(const json_t *value);

#endif
