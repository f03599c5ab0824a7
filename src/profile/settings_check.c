#include "profile/settings.h"

#define NAME_ALLOWED "1 to 63 lower-case letters, digits and \"-\""

/*
 * Fills a validation error, taking ownership of `allowed`. The error's section
 * is "KIND NAME", or KIND for a NULL name. Returns false.
 */
static bool fault_set(struct settings_fault *fault, const char *kind,
		      const char *name, const char *field, const char *value,
		      char *allowed)
{
	fault->section =
		name ? g_strdup_printf("%s %s", kind, name) : g_strdup(kind);
	fault->field = g_strdup(field);
	fault->value = g_strdup(value);
	fault->allowed = allowed;
	return false;
}

void settings_fault_clear(struct settings_fault *fault)
{
	g_free(fault->section);
	g_free(fault->field);
	g_free(fault->value);
	g_free(fault->allowed);
	*fault = (struct settings_fault){ 0 };
}

static bool check_name(const char *kind, const char *name,
		       struct settings_fault *fault)
{
	if (settings_name_valid(str_from(name)))
		return true;
	return fault_set(fault, kind, name, "name", name,
			 g_strdup(NAME_ALLOWED));
}

static bool check_profile(const struct profile *p, struct settings_fault *fault)
{
	if (!check_name("profile", p->name, fault))
		return false;
	if (p->once && p->idempotent)
		return fault_set(fault, "profile", p->name, "once", "true",
				 g_strdup("false with idempotent = true"));
	if (p->hedge && !p->idempotent)
		return fault_set(fault, "profile", p->name, "hedge", "true",
				 g_strdup("false without idempotent = true"));
	return true;
}

static char *profile_names(const struct settings *s)
{
	GString *out = g_string_new("one of:");
	size_t i;

	for (i = 0; i < s->profile_count; i++)
		g_string_append_printf(out, " %s", s->profiles[i].name);
	return g_string_free(out, FALSE);
}

static bool check_service(const struct settings *s,
			  const struct service *service,
			  struct settings_fault *fault)
{
	if (!check_name("service", service->name, fault))
		return false;
	if (!settings_name_valid(str_from(service->tenant)))
		return fault_set(fault, "service", service->name, "tenant",
				 service->tenant, g_strdup(NAME_ALLOWED));
	if (!service->profile)
		return fault_set(fault, "service", service->name, "profile", "",
				 profile_names(s));
	if (service->keyed && service->profile->hedge)
		return fault_set(
			fault, "service", service->name, "profile",
			service->profile->name,
			g_strdup("a profile without hedge: a key has no "
				 "second owner"));
	return true;
}

static bool check_duplicates(const struct settings *s,
			     struct settings_fault *fault)
{
	size_t i;

	/* A look-up finds the first element of a name, so any other is a
	 * duplicate. */
	for (i = 0; i < s->profile_count; i++) {
		const char *name = s->profiles[i].name;

		if (settings_profile(s, str_from(name)) != &s->profiles[i])
			return fault_set(fault, "profile", name, "name", name,
					 g_strdup("a unique profile name"));
	}
	for (i = 0; i < s->service_count; i++) {
		const char *name = s->services[i].name;

		if (settings_service(s, str_from(name)) != &s->services[i])
			return fault_set(fault, "service", name, "name", name,
					 g_strdup("a unique service name"));
	}
	return true;
}

static bool check_zones(const struct settings *s, struct settings_fault *fault)
{
	size_t i, in_service = 0;

	for (i = 0; i < s->zone_count; i++) {
		struct str zone = str_from(s->zones[i]);

		if (!check_name("zone", s->zones[i], fault))
			return false;
		in_service += !settings_zone_is_out(s, zone);
	}
	for (i = 0; i < s->zones_out_count; i++)
		if (!settings_has_zone(s, str_from(s->zones_out[i])))
			return fault_set(fault, "zone", s->zones_out[i], "name",
					 s->zones_out[i],
					 g_strdup("a declared zone"));
	if (!in_service)
		return fault_set(fault, "deployment", NULL, "zones", "none in",
				 g_strdup("at least one zone in service"));
	return true;
}

bool settings_check(const struct settings *s, struct settings_fault *fault)
{
	size_t i;

	if (!settings_name_valid(str_from(s->deployment)))
		return fault_set(fault, "deployment", NULL, "name",
				 s->deployment, g_strdup(NAME_ALLOWED));
	for (i = 0; i < s->profile_count; i++)
		if (!check_profile(&s->profiles[i], fault))
			return false;
	for (i = 0; i < s->service_count; i++)
		if (!check_service(s, &s->services[i], fault))
			return false;
	return check_duplicates(s, fault) && check_zones(s, fault);
}
