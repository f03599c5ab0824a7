/**
 * Operations on one version of the settings: JSON codec, validation, look-ups,
 * edits and the diff of two versions.
 */
#ifndef PROFILE_SETTINGS_H
#define PROFILE_SETTINGS_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

/**
 * Most history entries that a version of the settings carries. RECENT_ALLOWED
 * in settings_json.c states the number.
 */
#define SETTINGS_RECENT_LIMIT 32

/** Longest name of a deployment, zone, profile, service, customer or VM. */
#define SETTINGS_NAME_LIMIT 63

/** A validation error: an invalid value and its place in the declarations. */
struct settings_fault {
	/** Section in a file of declarations, without brackets, such as
	 * "profile lots". */
	char *section;
	char *field;
	char *value;
	/** Description of the valid values. */
	char *allowed;
};

/**
 * Parses and validates the JSON form.
 *
 * @param json value of the row settings/current; not kept
 * @param error AUBURN_ERROR_INVALID; names section, field, value and what is
 *        allowed
 * @return new settings, freed with settings_destroy(); NULL on error
 */
struct settings *settings_parse(struct str json, GError **error);

/**
 * Encodes settings as JSON.
 *
 * @return the text; the caller frees it with free()
 */
char *settings_encode(const struct settings *settings);

/** Creates empty settings with version 0; freed with settings_destroy(). */
struct settings *settings_create(struct str deployment);

/** Makes a deep copy; freed with settings_destroy(). */
struct settings *settings_copy(const struct settings *settings);

/** Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings);

/**
 * Validates names and the rules between fields.
 *
 * @param fault set to the first error, and then freed with
 *        settings_fault_clear(); unchanged without an error
 * @return false on an error
 */
bool settings_check(const struct settings *settings,
		    struct settings_fault *fault);

/** Frees the texts of a validation error. */
void settings_fault_clear(struct settings_fault *fault);

/**
 * Tells whether a name is valid: 1 to 63 lower-case letters, digits and "-",
 * not beginning with "-".
 */
bool settings_name_valid(struct str name);

/**
 * Tells whether a VM's id is valid: 1 to 63 letters, digits, "-", "." and "_".
 */
bool settings_vm_id_valid(struct str id);

/**
 * Finds a service by its name.
 *
 * @return the service, owned by the settings, or NULL
 */
const struct service *settings_service(const struct settings *settings,
				       struct str name);

/**
 * Finds a profile by its name.
 *
 * @return the profile, owned by the settings, or NULL
 */
const struct profile *settings_profile(const struct settings *settings,
				       struct str name);

/** Tells whether a zone is declared. */
bool settings_has_zone(const struct settings *settings, struct str zone);

/** Tells whether a zone is out of service. */
bool settings_zone_is_out(const struct settings *settings, struct str zone);

/** Tells whether a VM is out of service by its id, whatever its zone. */
bool settings_vm_is_out(const struct settings *settings, struct str vm);

/** Tells whether a VM is out of service, by its id or by its zone. */
bool settings_is_out(const struct settings *settings, struct str zone,
		     struct str vm);

/**
 * Takes a zone out of service or back in.
 *
 * @param out true: out of service; false: back in
 * @return false when it already was in that state
 */
bool settings_set_zone_out(struct settings *settings, struct str zone,
			   bool out);

/**
 * Takes a VM out of service or back in.
 *
 * @param out true: out of service; false: back in
 * @return false when it already was in that state
 */
bool settings_set_vm_out(struct settings *settings, struct str vm, bool out);

/**
 * Copies from other settings which zones and VMs are out of service, except
 * for zones that these settings don't declare.
 */
void settings_inherit_out_lists(struct settings *settings,
				const struct settings *from);

/**
 * Replaces the history entries by those of the replaced version and a new one.
 * The oldest entries beyond SETTINGS_RECENT_LIMIT are dropped.
 *
 * @param before the version that this one replaces, or NULL
 * @param entry copied, except for its version, which is that of the settings
 */
void settings_append_entry(struct settings *settings,
			   const struct settings *before,
			   const struct settings_entry *entry);

/**
 * Finds the history entry of a version.
 *
 * @return the entry, or NULL when it is not among the recent ones
 */
const struct settings_entry *settings_entry(const struct settings *settings,
					    uint64_t version);

/**
 * Lists the differences between two versions, one per line:
 * "+ zone jambeli", "~ profile lots weight: 10 -> 20".
 *
 * @param from NULL means empty settings
 * @return the text, empty when there are none; the caller frees it with
 *         g_free()
 */
char *settings_diff(const struct settings *from, const struct settings *to);

#endif
