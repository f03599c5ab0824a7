/**
 * Declarations that operators keep in version control: one GLib key file per
 * deployment with sections [deployment], [zone NAME], [profile NAME] and
 * [service NAME]. A file with any error yields nothing.
 */
#ifndef PROFILE_PROFILE_FILE_H
#define PROFILE_PROFILE_FILE_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

/** Largest file that is read, in bytes. */
#define PROFILE_FILE_LIMIT ((size_t)1024 * 1024)

/**
 * Reads declarations from text.
 *
 * @param file the name used in messages
 * @param text the content
 * @param error AUBURN_ERROR_INVALID: "FILE:LINE: [section] field: bad value
 *        "VALUE": allowed: ..."
 * @return new settings of version 0, freed with settings_destroy(); NULL on
 *         error
 */
struct settings *profile_file_parse(const char *file, struct str text,
				    GError **error);

/**
 * Reads declarations from a file.
 *
 * @param error as for profile_file_parse(), or AUBURN_ERROR_NOT_FOUND when the
 *        file can't be read
 */
struct settings *profile_file_load(const char *path, GError **error);

#endif
