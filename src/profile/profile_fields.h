/**
 * Table of the fields of a profile. The parser of declarations, the JSON
 * codec, settings_diff() and the generated reference are driven by this table.
 */
#ifndef PROFILE_PROFILE_FIELDS_H
#define PROFILE_PROFILE_FIELDS_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

/** C type of a field, with its text form where that differs. */
enum field_type {
	/** uint32_t. */
	FIELD_COUNT,
	/** uint64_t, in bytes. */
	FIELD_BYTES,
	/** int64_t, in microseconds; text and JSON hold milliseconds. */
	FIELD_MS,
	/** bool; text holds "true" or "false". */
	FIELD_FLAG,
};

/** Description of one field of struct profile. */
struct profile_field {
	/** Name in declarations and in JSON. */
	const char *name;
	enum field_type type;
	/** Inclusive bounds and default, in the unit of the text form. */
	int64_t min, max, fallback;
	/** Offset of the member within struct profile, in bytes. */
	size_t offset;
	/** Description of the field in docs/profiles.md. */
	const char *help;
};

/**
 * Returns the table of fields.
 *
 * @return the fields; the last one has a NULL name
 */
const struct profile_field *profile_fields(void);

/**
 * Finds a field by its name.
 *
 * @return the field, or NULL
 */
const struct profile_field *profile_field_find(struct str name);

/** Returns a profile's value of a field, in the unit of the text form. */
int64_t profile_field_get(const struct profile_field *field,
			  const struct profile *profile);

/**
 * Sets a field of a profile.
 *
 * @param value in the unit of the text form
 * @return false when the value is out of bounds; the profile is unchanged
 */
bool profile_field_set(const struct profile_field *field,
		       struct profile *profile, int64_t value);

/**
 * Parses the text form of a field's value.
 *
 * @param value set to the value, in the unit of the text form; undefined on
 *        false
 * @return false when the text is malformed or out of bounds
 */
bool profile_field_parse(const struct profile_field *field, struct str text,
			 int64_t *value);

/**
 * Formats a field's value as in a file of declarations.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_field_format(const struct profile_field *field, int64_t value);

/**
 * Describes the values that a field accepts, for error messages.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_field_allowed(const struct profile_field *field);

/** Sets every field but the name to its default. */
void profile_defaults(struct profile *profile);

/**
 * Formats the table of fields as Markdown, for docs/profiles.md.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_fields_markdown(void);

#endif
