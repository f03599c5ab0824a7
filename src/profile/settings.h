/**
 * One version of the settings: its JSON form, its rules, its lookups and its
 * differences from another version.
 */
#ifndef PROFILE_SETTINGS_H
#define PROFILE_SETTINGS_H

#include <glib.h>

#include "base/str.h"
#include "profile/profile_defs.h"

/** Versions remembered inside the settings themselves. */
#define SETTINGS_RECENT_LIMIT 32

/** Longest name of a deployment, zone, profile, service, tenant or VM. */
#define SETTINGS_NAME_LIMIT 63

/** What is wrong, and where in the declarations it stands. */
struct settings_fault {
	/** As in a declarations file: "profile lots". */
	char *section;
	char *field;
	char *value;
	char *allowed;
};

/**
 * Reads and checks the JSON form.
 *
 * @param json the body kept under settings/current; not kept
 * @param error AUBURN_ERROR_INVALID; names section, field, value and what is
 *        allowed
 * @return new settings, freed with settings_destroy(); NULL on error
 */
struct settings *settings_parse(struct str json, GError **error);

/**
 * Writes the JSON form.
 *
 * @return the text; the caller frees it with g_free()
 */
char *settings_encode(const struct settings *settings);

/** New settings without content, version 0. */
struct settings *settings_create(struct str deployment);

/** Copies all of it. */
struct settings *settings_copy(const struct settings *settings);

/** Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings);

/**
 * Checks the rules between fields.
 *
 * @param fault filled on a broken rule; freed with settings_fault_clear()
 * @return false when a rule is broken
 */
bool settings_check(const struct settings *settings,
		    struct settings_fault *fault);

/** Frees the texts of a fault. */
void settings_fault_clear(struct settings_fault *fault);

/** Tells whether a name can be used: lower-case letters, digits, "-". */
bool settings_name_valid(struct str name);

/** Tells whether a text can be a VM's id: letters, digits, "-", ".", "_". */
bool settings_vm_id_valid(struct str id);

/**
 * Finds a service.
 *
 * @return the service, owned by the settings, or NULL
 */
const struct service *settings_service(const struct settings *settings,
				       struct str name);

/**
 * Finds a profile.
 *
 * @return the profile, owned by the settings, or NULL
 */
const struct profile *settings_profile(const struct settings *settings,
				       struct str name);

/** Tells whether a zone is declared. */
bool settings_has_zone(const struct settings *settings, struct str zone);

/** Tells whether a zone was taken out. */
bool settings_zone_is_out(const struct settings *settings, struct str zone);

/** Tells whether a VM was taken out by its id. */
bool settings_vm_is_out(const struct settings *settings, struct str vm);

/** Tells whether a VM is out of service, by its id or by its zone. */
bool settings_is_out(const struct settings *settings, struct str zone,
		     struct str vm);

/**
 * Takes a zone out or in.
 *
 * @return false when it already was as asked
 */
bool settings_set_zone_out(struct settings *settings, struct str zone,
			   bool out);

/**
 * Takes a VM out or in.
 *
 * @return false when it already was as asked
 */
bool settings_set_vm_out(struct settings *settings, struct str vm, bool out);

/** Takes over which zones and VMs are out; undeclared zones are dropped. */
void settings_inherit_out_lists(struct settings *settings,
				const struct settings *from);

/**
 * Appends the entry of this version, after those of the version before.
 *
 * @param before the version that this one replaces, or NULL
 * @param entry copied; its version becomes that of the settings
 */
void settings_append_entry(struct settings *settings,
			   const struct settings *before,
			   const struct settings_entry *entry);

/**
 * Finds who wrote a version.
 *
 * @return the entry, or NULL when it is too old to be remembered
 */
const struct settings_entry *settings_entry(const struct settings *settings,
					    uint64_t version);

/**
 * Says what changes from one version to another, a change a line:
 * "+ zone jambeli", "~ profile lots weight: 10 -> 20".
 *
 * @param from NULL: everything is new
 * @return the text, empty when both are equal; freed with g_free()
 */
char *settings_diff(const struct settings *from, const struct settings *to);

#endif
