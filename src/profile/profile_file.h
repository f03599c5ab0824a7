/**
 * Parser of declarations, the files in which operators write settings: one
 * GLib key file per deployment with sections [deployment], [zone NAME],
 * [profile NAME] and [service NAME]. A file with any error is rejected whole.
 */
#ifndef PROFILE_PROFILE_FILE_H
#define PROFILE_PROFILE_FILE_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

/** Largest file that is accepted, in bytes. */
#define PROFILE_FILE_LIMIT ((size_t)1024 * 1024)

/**
 * Parses declarations.
 *
 * @param file file name for error messages
 * @param text content of the file
 * @param error AUBURN_ERROR_INVALID: "FILE:LINE: [section] field: bad value
 *        "VALUE": allowed: ..."
 * @return new settings with version 0, freed with settings_destroy(); NULL on
 *         error
 */
struct settings *profile_file_parse(const char *file, struct str text,
				    GError **error);

/**
 * Reads and parses a file of declarations.
 *
 * @param error as for profile_file_parse(), or AUBURN_ERROR_NOT_FOUND when the
 *        file can't be read
 */
struct settings *profile_file_load(const char *path, GError **error);

#endif
