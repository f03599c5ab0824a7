#include <jansson.h>

#include "base/error.h"
#include "profile/profile_fields.h"
#include "profile/settings.h"

/* Most elements accepted in a list of profiles, services or names. LIST_ALLOWED
 * states the number. */
#define LIST_LIMIT 4096
#define LIST_ALLOWED "allowed: a list of at most 4096"
/* States SETTINGS_RECENT_LIMIT. */
#define RECENT_ALLOWED "allowed: a list of at most 32 objects"

/* Sets an error that names a place in the JSON and what is wrong there or
 * allowed. Returns false. */
static bool set_invalid(GError **error, const char *where, const char *what)
{
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "settings: %s: %s", where, what);
	return false;
}

/* Reads a text member of an object into a new string, "" when absent. */
static bool read_text(const json_t *object, const char *name, char **out,
		      GError **error)
{
	const json_t *value = json_object_get(object, name);

	if (value && !json_is_string(value))
		return set_invalid(error, name, "allowed: text");
	*out = g_strdup(value ? json_string_value(value) : "");
	return true;
}

/* Reads a list of zones or VM ids. All are checked by the wider rule of VM ids;
 * settings_check() applies the stricter rule of zones. */
static bool read_names(const json_t *root, const char *name, char ***names,
		       size_t *count, GError **error)
{
	const json_t *list = json_object_get(root, name);
	size_t i, n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > LIST_LIMIT)
		return set_invalid(error, name, LIST_ALLOWED " names");
	*names = g_new0(char *, n + 1);
	for (i = 0; i < n; i++) {
		const char *text = json_string_value(json_array_get(list, i));

		if (!settings_vm_id_valid(str_from(text)))
			return set_invalid(error, name,
					   "allowed: a list of names");
		(*names)[(*count)++] = g_strdup(text);
	}
	return true;
}

/* Reads a field of a profile, which keeps its default when absent. */
static bool read_field(const struct profile_field *field, const json_t *object,
		       struct profile *profile, GError **error)
{
	const json_t *value = json_object_get(object, field->name);
	bool ok = false;
	char *where, *allowed;

	if (!value)
		return true;
	if (field->type == FIELD_FLAG && json_is_boolean(value))
		ok = profile_field_set(field, profile, json_is_true(value));
	else if (field->type != FIELD_FLAG && json_is_integer(value))
		ok = profile_field_set(field, profile,
				       json_integer_value(value));
	if (ok)
		return true;
	allowed = profile_field_allowed(field);
	where = g_strdup_printf("[profile %s] %s: bad value: allowed",
				profile->name, field->name);
	set_invalid(error, where, allowed);
	g_free(where);
	g_free(allowed);
	return false;
}

static bool read_profile(const json_t *object, struct profile *profile,
			 GError **error)
{
	const struct profile_field *f;

	profile_defaults(profile);
	if (!json_is_object(object))
		return set_invalid(error, "profiles", "allowed: objects");
	if (!read_text(object, "name", &profile->name, error))
		return false;
	for (f = profile_fields(); f->name; f++)
		if (!read_field(f, object, profile, error))
			return false;
	return true;
}

static bool read_profiles(const json_t *root, struct settings *s,
			  GError **error)
{
	const json_t *list = json_object_get(root, "profiles");
	size_t i, n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > LIST_LIMIT)
		return set_invalid(error, "profiles", LIST_ALLOWED " objects");
	s->profiles = g_new0(struct profile, n + 1);
	for (i = 0; i < n; i++) {
		s->profile_count = i + 1;
		if (!read_profile(json_array_get(list, i), &s->profiles[i],
				  error))
			return false;
	}
	return true;
}

static bool read_service(const json_t *object, const struct settings *s,
			 struct service *service, GError **error)
{
	const char *profile =
		json_string_value(json_object_get(object, "profile"));
	const json_t *keyed = json_object_get(object, "keyed");

	if (!json_is_object(object))
		return set_invalid(error, "services", "allowed: objects");
	if (!read_text(object, "name", &service->name, error) ||
	    !read_text(object, "tenant", &service->tenant, error))
		return false;
	if (keyed && !json_is_boolean(keyed))
		return set_invalid(error, "keyed", "allowed: true, false");
	service->keyed = json_is_true(keyed);
	/* NULL for an unknown profile, which settings_check() rejects. */
	service->profile = settings_profile(s, str_from(profile));
	return true;
}

static bool read_services(const json_t *root, struct settings *s,
			  GError **error)
{
	const json_t *list = json_object_get(root, "services");
	size_t i, n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > LIST_LIMIT)
		return set_invalid(error, "services", LIST_ALLOWED " objects");
	s->services = g_new0(struct service, n + 1);
	for (i = 0; i < n; i++) {
		s->service_count = i + 1;
		if (!read_service(json_array_get(list, i), s, &s->services[i],
				  error))
			return false;
	}
	return true;
}

static bool read_entry(const json_t *object, struct settings_entry *entry,
		       GError **error)
{
	entry->version = (uint64_t)json_integer_value(
		json_object_get(object, "version"));
	entry->published_s =
		json_integer_value(json_object_get(object, "published"));
	return read_text(object, "attempt", &entry->attempt, error) &&
	       read_text(object, "author", &entry->author, error) &&
	       read_text(object, "note", &entry->note, error);
}

static bool read_recent(const json_t *root, struct settings *s, GError **error)
{
	const json_t *list = json_object_get(root, "recent");
	size_t i, n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > SETTINGS_RECENT_LIMIT)
		return set_invalid(error, "recent", RECENT_ALLOWED);
	s->recent = g_new0(struct settings_entry, n + 1);
	for (i = 0; i < n; i++) {
		s->recent_count = i + 1;
		if (!read_entry(json_array_get(list, i), &s->recent[i], error))
			return false;
	}
	return true;
}

static bool read_settings(const json_t *root, struct settings *s,
			  GError **error)
{
	json_int_t version =
		json_integer_value(json_object_get(root, "version"));

	if (!json_is_object(root) || version < 0)
		return set_invalid(error, "version",
				   "allowed: an object with a version");
	s->version = (uint64_t)version;
	g_free(s->deployment);
	s->deployment = NULL;
	return read_text(root, "deployment", &s->deployment, error) &&
	       read_profiles(root, s, error) && read_services(root, s, error) &&
	       read_recent(root, s, error) &&
	       read_names(root, "zones", &s->zones, &s->zone_count, error) &&
	       read_names(root, "zones_out", &s->zones_out, &s->zones_out_count,
			  error) &&
	       read_names(root, "vms_out", &s->vms_out, &s->vms_out_count,
			  error);
}

static bool check_rules(const struct settings *s, GError **error)
{
	struct settings_fault fault = { 0 };

	if (settings_check(s, &fault))
		return true;
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "settings: [%s] %s: bad value \"%s\": allowed: %s",
		    fault.section, fault.field, fault.value, fault.allowed);
	settings_fault_clear(&fault);
	return false;
}

struct settings *settings_parse(struct str json, GError **error)
{
	json_error_t problem;
	json_t *root = json_loadb(json.data ? json.data : "", json.len,
				  JSON_REJECT_DUPLICATES, &problem);
	struct settings *s;

	if (!root) {
		set_invalid(error, "not JSON", problem.text);
		return NULL;
	}
	s = settings_create(STR(""));
	if (!read_settings(root, s, error) || !check_rules(s, error)) {
		settings_destroy(s);
		s = NULL;
	}
	json_decref(root);
	return s;
}

static json_t *write_names(char *const *names, size_t count)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(list, json_string(names[i]));
	return list;
}

static json_t *write_profile(const struct profile *profile)
{
	json_t *object = json_object();
	const struct profile_field *f;

	json_object_set_new(object, "name", json_string(profile->name));
	for (f = profile_fields(); f->name; f++) {
		int64_t value = profile_field_get(f, profile);

		json_object_set_new(object, f->name,
				    f->type == FIELD_FLAG
					    ? json_boolean(value)
					    : json_integer(value));
	}
	return object;
}

static json_t *write_service(const struct service *service)
{
	return json_pack("{s:s, s:s, s:b, s:s}", "name", service->name,
			 "tenant", service->tenant, "keyed",
			 (int)service->keyed, "profile",
			 service->profile ? service->profile->name : "");
}

static json_t *write_entry(const struct settings_entry *entry)
{
	return json_pack("{s:I, s:s, s:s, s:s, s:I}", "version",
			 (json_int_t)entry->version, "attempt", entry->attempt,
			 "author", entry->author, "note", entry->note,
			 "published", (json_int_t)entry->published_s);
}

char *settings_encode(const struct settings *s)
{
	json_t *root = json_object();
	json_t *profiles = json_array();
	json_t *services = json_array();
	json_t *recent = json_array();
	char *text;
	size_t i;

	for (i = 0; i < s->profile_count; i++)
		json_array_append_new(profiles, write_profile(&s->profiles[i]));
	for (i = 0; i < s->service_count; i++)
		json_array_append_new(services, write_service(&s->services[i]));
	for (i = 0; i < s->recent_count; i++)
		json_array_append_new(recent, write_entry(&s->recent[i]));
	json_object_set_new(root, "version",
			    json_integer((json_int_t)s->version));
	json_object_set_new(root, "deployment", json_string(s->deployment));
	json_object_set_new(root, "zones",
			    write_names(s->zones, s->zone_count));
	json_object_set_new(root, "zones_out",
			    write_names(s->zones_out, s->zones_out_count));
	json_object_set_new(root, "vms_out",
			    write_names(s->vms_out, s->vms_out_count));
	json_object_set_new(root, "profiles", profiles);
	json_object_set_new(root, "services", services);
	json_object_set_new(root, "recent", recent);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
