#include "entry/live_vms.h"

/* Interval of a VM's reports, at least, and in seconds per VM. It grows with
 * the number of VMs so that the leader's work does not. */
#define REPORT_S 0.1
#define REPORT_VM_S 0.008
/* Interval of the reports of a VM that doesn't hear the leader, at most. */
#define UNHEARD_REPORT_S 0.5
/* Interval of a VM's load reports, at least, and in seconds per VM: twenty a
 * second from each VM while there are few VMs, and 830 a second from all VMs
 * together when there are many. This keeps the leader's work for these reports
 * below a hundredth of a core. */
#define LOAD_INTERVAL_S 0.05
#define LOAD_INTERVAL_VM_S 0.0012
/* Time without a message after which a VM does not count as alive: at least,
 * and in intervals of its load reports, of which some may be lost. */
#define TIMEOUT_S 2.0
#define TIMEOUT_INTERVALS 3.2

/* Seconds per VM beyond START_AT_ONCE_VMS over which the reads of all tables by
 * the VMs of a fleet are spread. Up to so many VMs, the store serves all at
 * once: 100 VMs were back after 0.5 s, 300 not within 30 s. */
#define START_VM_S 0.02
#define START_AT_ONCE_VMS 100

struct live_vms {
	/** VMs (struct live_vm) by name. */
	GHashTable *by_name;
};

static void free_vm(gpointer data)
{
	struct live_vm *vm = data;

	g_free(vm->name);
	g_free(vm);
}

struct live_vms *live_vms_create(void)
{
	struct live_vms *live = g_new0(struct live_vms, 1);

	live->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
	return live;
}

void live_vms_destroy(struct live_vms *live)
{
	if (!live)
		return;
	g_hash_table_destroy(live->by_name);
	g_free(live);
}

bool live_vms_record(struct live_vms *live, const char *name,
		     const struct sockaddr_in *address, const char *zone,
		     double now_s)
{
	struct live_vm *vm = g_hash_table_lookup(live->by_name, name);
	bool added = !vm;

	if (added) {
		vm = g_new0(struct live_vm, 1);
		vm->name = g_strdup(name);
		g_hash_table_insert(live->by_name, vm->name, vm);
	}
	vm->address = *address;
	vm->zone = g_intern_string(zone);
	vm->last_seen_s = now_s;
	return added;
}

void live_vms_touch(struct live_vms *live, const char *name, double now_s)
{
	struct live_vm *vm = g_hash_table_lookup(live->by_name, name);

	if (vm)
		vm->last_seen_s = now_s;
}

void live_vms_touch_all(struct live_vms *live, double now_s)
{
	GHashTableIter iter;
	gpointer vm;

	g_hash_table_iter_init(&iter, live->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &vm))
		((struct live_vm *)vm)->last_seen_s = now_s;
}

void live_vms_remove(struct live_vms *live, const char *name)
{
	g_hash_table_remove(live->by_name, name);
}

bool live_vms_expire(struct live_vms *live, double now_s,
		     void (*removed)(void *ctx, const struct live_vm *vm),
		     void *ctx)
{
	double timeout_s = live_vms_timeout_s(live_vms_count(live));
	bool any = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, live->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct live_vm *vm = value;

		if (now_s < vm->last_seen_s + timeout_s)
			continue;
		removed(ctx, vm);
		g_hash_table_iter_remove(&iter);
		any = true;
	}
	return any;
}

const struct live_vm *live_vms_find(const struct live_vms *live,
				    const char *name)
{
	return g_hash_table_lookup(live->by_name, name);
}

unsigned int live_vms_count(const struct live_vms *live)
{
	return g_hash_table_size(live->by_name);
}

void live_vms_each(const struct live_vms *live,
		   void (*visit)(const struct live_vm *vm, void *ctx),
		   void *ctx)
{
	GHashTableIter iter;
	gpointer vm;

	g_hash_table_iter_init(&iter, live->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &vm))
		visit(vm, ctx);
}

double live_vms_report_interval_s(unsigned int vms)
{
	return MAX(REPORT_S, vms * REPORT_VM_S);
}

double live_vms_unheard_report_interval_s(unsigned int vms)
{
	return MIN(live_vms_report_interval_s(vms), UNHEARD_REPORT_S);
}

double live_vms_load_interval_s(unsigned int vms)
{
	return MAX(LOAD_INTERVAL_S, vms * LOAD_INTERVAL_VM_S);
}

double live_vms_start_wait_s(unsigned int vms)
{
	return vms > START_AT_ONCE_VMS ? (vms - START_AT_ONCE_VMS) * START_VM_S
				       : 0;
}

double live_vms_timeout_s(unsigned int vms)
{
	return MAX(TIMEOUT_S,
		   live_vms_load_interval_s(vms) * TIMEOUT_INTERVALS);
}
