#include "membership/capacity.h"

#include <glib.h>

#include "profile/settings.h"

/* Load of a service's live upstreams, and slots of those that remain. */
struct usage {
	double load;
	double slots;
};

static bool remains(const struct capacity_vm *vm, const struct settings *after)
{
	return !settings_is_out(after, str_from(vm->zone), str_from(vm->id));
}

static struct usage sum_service_usage(const struct capacity_vm *vms,
				      size_t count, const char *service,
				      const struct settings *after)
{
	struct usage usage = { 0 };
	size_t i;

	for (i = 0; i < count; i++) {
		const struct capacity_vm *vm = &vms[i];

		if (!vm->live || strcmp(vm->service, service) != 0)
			continue;
		usage.load += vm->load;
		if (remains(vm, after))
			usage.slots += vm->slots;
	}
	return usage;
}

static bool has_live_vm(const struct capacity_vm *vms, size_t count,
			const char *service)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (vms[i].live && !strcmp(vms[i].service, service))
			return true;
	return false;
}

bool capacity_fits(const struct capacity_vm *vms, size_t count,
		   const struct settings *after, char **why)
{
	size_t i;

	for (i = 0; i < after->service_count; i++) {
		const char *service = after->services[i].name;
		struct usage usage =
			sum_service_usage(vms, count, service, after);
		double usable = usage.slots * CAPACITY_USE_PERCENT / 100;

		if (!has_live_vm(vms, count, service))
			continue;
		if (usage.slots > 0 && usage.load <= usable)
			continue;
		*why = g_strdup_printf(
			"service %s: %.1f concurrent requests now, but %.0f "
			"slots would remain, of which %.1f may be in use",
			service, usage.load, usage.slots, usable);
		return false;
	}
	return true;
}
