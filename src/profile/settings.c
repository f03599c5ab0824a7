#include "profile/settings.h"

#include "profile/profile_fields.h"

static void entry_clear(struct settings_entry *entry)
{
	g_free(entry->attempt);
	g_free(entry->author);
	g_free(entry->note);
}

static struct settings_entry entry_copy(const struct settings_entry *entry)
{
	return (struct settings_entry){
		.version = entry->version,
		.attempt = g_strdup(entry->attempt),
		.author = g_strdup(entry->author),
		.note = g_strdup(entry->note),
		.published_s = entry->published_s,
	};
}

struct settings *settings_create(struct str deployment)
{
	struct settings *s = g_new0(struct settings, 1);

	s->deployment = str_dup(deployment);
	return s;
}

static void free_names(char **names, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		g_free(names[i]);
	g_free(names);
}

void settings_destroy(struct settings *s)
{
	size_t i;

	if (!s)
		return;
	for (i = 0; i < s->profile_count; i++)
		g_free(s->profiles[i].name);
	for (i = 0; i < s->service_count; i++) {
		g_free(s->services[i].name);
		g_free(s->services[i].tenant);
	}
	for (i = 0; i < s->recent_count; i++)
		entry_clear(&s->recent[i]);
	g_free(s->profiles);
	g_free(s->services);
	g_free(s->recent);
	free_names(s->zones, s->zone_count);
	free_names(s->zones_out, s->zones_out_count);
	free_names(s->vms_out, s->vms_out_count);
	g_free(s->deployment);
	g_free(s);
}

static char **copy_names(char *const *names, size_t count)
{
	char **copy = g_new0(char *, count + 1);
	size_t i;

	for (i = 0; i < count; i++)
		copy[i] = g_strdup(names[i]);
	return copy;
}

/* Call this after copying the profiles: each copied service points to a copied
 * profile. */
static void copy_services(struct settings *to, const struct settings *from)
{
	size_t i;

	to->service_count = from->service_count;
	to->services = g_new0(struct service, from->service_count + 1);
	for (i = 0; i < from->service_count; i++) {
		const struct service *service = &from->services[i];

		to->services[i] = (struct service){
			.name = g_strdup(service->name),
			.tenant = g_strdup(service->tenant),
			.keyed = service->keyed,
			.profile = to->profiles +
				   (service->profile - from->profiles),
		};
	}
}

struct settings *settings_copy(const struct settings *from)
{
	struct settings *to = settings_create(str_from(from->deployment));
	size_t i;

	to->version = from->version;
	to->profile_count = from->profile_count;
	to->profiles = g_new0(struct profile, from->profile_count + 1);
	for (i = 0; i < from->profile_count; i++) {
		to->profiles[i] = from->profiles[i];
		to->profiles[i].name = g_strdup(from->profiles[i].name);
	}
	copy_services(to, from);
	to->recent_count = from->recent_count;
	to->recent = g_new0(struct settings_entry, from->recent_count + 1);
	for (i = 0; i < from->recent_count; i++)
		to->recent[i] = entry_copy(&from->recent[i]);
	to->zones = copy_names(from->zones, from->zone_count);
	to->zone_count = from->zone_count;
	to->zones_out = copy_names(from->zones_out, from->zones_out_count);
	to->zones_out_count = from->zones_out_count;
	to->vms_out = copy_names(from->vms_out, from->vms_out_count);
	to->vms_out_count = from->vms_out_count;
	return to;
}

bool settings_name_valid(struct str name)
{
	size_t i;

	if (!name.len || name.len > SETTINGS_NAME_LIMIT)
		return false;
	for (i = 0; i < name.len; i++) {
		char c = name.data[i];

		if (!g_ascii_islower(c) && !g_ascii_isdigit(c) && c != '-')
			return false;
	}
	return name.data[0] != '-';
}

bool settings_vm_id_valid(struct str id)
{
	size_t i;

	if (!id.len || id.len > SETTINGS_NAME_LIMIT)
		return false;
	for (i = 0; i < id.len; i++)
		if (!g_ascii_isalnum(id.data[i]) && id.data[i] != '-' &&
		    id.data[i] != '.' && id.data[i] != '_')
			return false;
	return true;
}

const struct service *settings_service(const struct settings *s,
				       struct str name)
{
	size_t i;

	for (i = 0; i < s->service_count; i++)
		if (str_equal(str_from(s->services[i].name), name))
			return &s->services[i];
	return NULL;
}

const struct profile *settings_profile(const struct settings *s,
				       struct str name)
{
	size_t i;

	for (i = 0; i < s->profile_count; i++)
		if (str_equal(str_from(s->profiles[i].name), name))
			return &s->profiles[i];
	return NULL;
}

/* Returns the index of a name in an array, or count when absent. */
static size_t find_name(char *const *names, size_t count, struct str name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (str_equal(str_from(names[i]), name))
			break;
	return i;
}

bool settings_has_zone(const struct settings *s, struct str zone)
{
	return find_name(s->zones, s->zone_count, zone) < s->zone_count;
}

bool settings_zone_is_out(const struct settings *s, struct str zone)
{
	return find_name(s->zones_out, s->zones_out_count, zone) <
	       s->zones_out_count;
}

bool settings_vm_is_out(const struct settings *s, struct str vm)
{
	return find_name(s->vms_out, s->vms_out_count, vm) < s->vms_out_count;
}

bool settings_is_out(const struct settings *s, struct str zone, struct str vm)
{
	return settings_zone_is_out(s, zone) || settings_vm_is_out(s, vm);
}

/* Adds a name to an array or removes it. Returns false when the array is right
 * already. */
static bool set_member(char ***names, size_t *count, struct str name,
		       bool member)
{
	size_t i = find_name(*names, *count, name);

	if ((i < *count) == member)
		return false;
	if (member) {
		*names = g_renew(char *, *names, *count + 1);
		(*names)[(*count)++] = str_dup(name);
		return true;
	}
	g_free((*names)[i]);
	(*names)[i] = (*names)[--*count];
	return true;
}

bool settings_set_zone_out(struct settings *s, struct str zone, bool out)
{
	return set_member(&s->zones_out, &s->zones_out_count, zone, out);
}

bool settings_set_vm_out(struct settings *s, struct str vm, bool out)
{
	return set_member(&s->vms_out, &s->vms_out_count, vm, out);
}

void settings_inherit_out_lists(struct settings *s, const struct settings *from)
{
	size_t i;

	free_names(s->zones_out, s->zones_out_count);
	free_names(s->vms_out, s->vms_out_count);
	s->zones_out = NULL;
	s->zones_out_count = 0;
	for (i = 0; i < from->zones_out_count; i++) {
		struct str zone = str_from(from->zones_out[i]);

		if (settings_has_zone(s, zone))
			settings_set_zone_out(s, zone, true);
	}
	s->vms_out = copy_names(from->vms_out, from->vms_out_count);
	s->vms_out_count = from->vms_out_count;
}

void settings_append_entry(struct settings *s, const struct settings *before,
			   const struct settings_entry *entry)
{
	size_t old_count = before ? before->recent_count : 0;
	size_t skip = old_count >= SETTINGS_RECENT_LIMIT
			      ? old_count - SETTINGS_RECENT_LIMIT + 1
			      : 0;
	struct settings_entry *recent =
		g_new0(struct settings_entry, old_count - skip + 1);
	size_t i;

	for (i = skip; i < old_count; i++)
		recent[i - skip] = entry_copy(&before->recent[i]);
	recent[old_count - skip] = entry_copy(entry);
	recent[old_count - skip].version = s->version;
	for (i = 0; i < s->recent_count; i++)
		entry_clear(&s->recent[i]);
	g_free(s->recent);
	s->recent = recent;
	s->recent_count = old_count - skip + 1;
}

const struct settings_entry *settings_entry(const struct settings *s,
					    uint64_t version)
{
	size_t i;

	for (i = 0; i < s->recent_count; i++)
		if (s->recent[i].version == version)
			return &s->recent[i];
	return NULL;
}
