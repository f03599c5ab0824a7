/**
 * The fields of a profile as one table, from which declarations, the JSON form,
 * differences and the reference of fields are made.
 */
#ifndef PROFILE_PROFILE_FIELDS_H
#define PROFILE_PROFILE_FIELDS_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

enum field_type {
	/** uint32_t. */
	FIELD_COUNT,
	/** uint64_t, bytes. */
	FIELD_BYTES,
	/** int64_t microseconds, written in milliseconds. */
	FIELD_MS,
	/** bool, written "true" or "false". */
	FIELD_FLAG,
};

struct profile_field {
	const char *name;
	enum field_type type;
	/** Bounds and default, in the unit in which it is written. */
	int64_t min, max, fallback;
	size_t offset;
	const char *help;
};

/**
 * The table of fields.
 *
 * @return fields, ended by one with a NULL name
 */
const struct profile_field *profile_fields(void);

/**
 * Finds a field by its name.
 *
 * @return the field, or NULL
 */
const struct profile_field *profile_field_find(struct str name);

/** Reads a field in the unit in which it is written. */
int64_t profile_field_get(const struct profile_field *field,
			  const struct profile *profile);

/**
 * Sets a field in the unit in which it is written.
 *
 * @return false when the value is out of bounds; the profile stays as it was
 */
bool profile_field_set(const struct profile_field *field,
		       struct profile *profile, int64_t value);

/**
 * Reads a field's value from text.
 *
 * @return false when it is no value of this field
 */
bool profile_field_parse(const struct profile_field *field, struct str text,
			 int64_t *value);

/**
 * Writes a field's value as declarations hold it.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_field_format(const struct profile_field *field, int64_t value);

/**
 * Says which values a field takes.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_field_allowed(const struct profile_field *field);

/** Sets every field to its default; the name is left alone. */
void profile_defaults(struct profile *profile);

/**
 * Describes the fields as a Markdown table, for docs/profiles.md.
 *
 * @return the text; the caller frees it with g_free()
 */
char *profile_fields_markdown(void);

#endif
