#include "profile/profile_fields.h"
#include "profile/settings.h"

static void diff_field(GString *out, const struct profile_field *field,
		       const struct profile *from, const struct profile *to)
{
	int64_t before = profile_field_get(field, from);
	int64_t after = profile_field_get(field, to);
	char *old_text, *new_text;

	if (before == after)
		return;
	old_text = profile_field_format(field, before);
	new_text = profile_field_format(field, after);
	g_string_append_printf(out, "~ profile %s %s: %s -> %s\n", to->name,
			       field->name, old_text, new_text);
	g_free(old_text);
	g_free(new_text);
}

static void diff_profiles(GString *out, const struct settings *from,
			  const struct settings *to)
{
	const struct profile_field *f;
	size_t i;

	for (i = 0; i < from->profile_count; i++)
		if (!settings_profile(to, str_from(from->profiles[i].name)))
			g_string_append_printf(out, "- profile %s\n",
					       from->profiles[i].name);
	for (i = 0; i < to->profile_count; i++) {
		const struct profile *p = &to->profiles[i];
		const struct profile *old =
			settings_profile(from, str_from(p->name));

		if (!old)
			g_string_append_printf(out, "+ profile %s\n", p->name);
		for (f = profile_fields(); old && f->name; f++)
			diff_field(out, f, old, p);
	}
}

static void diff_text(GString *out, const char *service, const char *field,
		      const char *from, const char *to)
{
	if (strcmp(from, to) != 0)
		g_string_append_printf(out, "~ service %s %s: %s -> %s\n",
				       service, field, from, to);
}

static void diff_services(GString *out, const struct settings *from,
			  const struct settings *to)
{
	size_t i;

	for (i = 0; i < from->service_count; i++)
		if (!settings_service(to, str_from(from->services[i].name)))
			g_string_append_printf(out, "- service %s\n",
					       from->services[i].name);
	for (i = 0; i < to->service_count; i++) {
		const struct service *s = &to->services[i];
		const struct service *old =
			settings_service(from, str_from(s->name));

		if (!old) {
			g_string_append_printf(out, "+ service %s\n", s->name);
			continue;
		}
		diff_text(out, s->name, "tenant", old->tenant, s->tenant);
		diff_text(out, s->name, "keyed", old->keyed ? "true" : "false",
			  s->keyed ? "true" : "false");
		diff_text(out, s->name, "profile", old->profile->name,
			  s->profile->name);
	}
}

static void diff_zones(GString *out, const struct settings *from,
		       const struct settings *to)
{
	size_t i;

	for (i = 0; i < from->zone_count; i++)
		if (!settings_has_zone(to, str_from(from->zones[i])))
			g_string_append_printf(out, "- zone %s\n",
					       from->zones[i]);
	for (i = 0; i < to->zone_count; i++)
		if (!settings_has_zone(from, str_from(to->zones[i])))
			g_string_append_printf(out, "+ zone %s\n",
					       to->zones[i]);
	for (i = 0; i < from->zones_out_count; i++)
		if (!settings_zone_is_out(to, str_from(from->zones_out[i])))
			g_string_append_printf(out, "~ zone %s: out -> in\n",
					       from->zones_out[i]);
	for (i = 0; i < to->zones_out_count; i++)
		if (!settings_zone_is_out(from, str_from(to->zones_out[i])))
			g_string_append_printf(out, "~ zone %s: in -> out\n",
					       to->zones_out[i]);
}

static void diff_vms(GString *out, const struct settings *from,
		     const struct settings *to)
{
	size_t i;

	for (i = 0; i < from->vms_out_count; i++)
		if (!settings_vm_is_out(to, str_from(from->vms_out[i])))
			g_string_append_printf(out, "~ vm %s: out -> in\n",
					       from->vms_out[i]);
	for (i = 0; i < to->vms_out_count; i++)
		if (!settings_vm_is_out(from, str_from(to->vms_out[i])))
			g_string_append_printf(out, "~ vm %s: in -> out\n",
					       to->vms_out[i]);
}

char *settings_diff(const struct settings *from, const struct settings *to)
{
	static const struct settings empty = { .deployment = (char *)"" };
	GString *out = g_string_new(NULL);

	if (!from)
		from = &empty;
	if (strcmp(from->deployment, to->deployment) != 0)
		g_string_append_printf(out, "~ deployment: %s -> %s\n",
				       from->deployment, to->deployment);
	diff_zones(out, from, to);
	diff_profiles(out, from, to);
	diff_services(out, from, to);
	diff_vms(out, from, to);
	return g_string_free(out, FALSE);
}
