#include "platform_vms.h"

#include <glib.h>
#include <string.h>

/* Number of snapshots in the history; the oldest are dropped. */
#define SNAPSHOTS_KEPT 64

/* The list from one change to the next. */
struct vm_snapshot {
	/* Time of the change that led to this list; monotonic clock. */
	int64_t at_us;
	/* JSON array of the VMs. */
	json_t *vms;
};

struct vm_list {
	/* Elements are struct vm_snapshot, oldest first; never empty. */
	GQueue snapshots;
};

/* Adds a snapshot; takes over the reference to vms. */
static void push_snapshot(struct vm_list *list, json_t *vms, int64_t at_us)
{
	struct vm_snapshot *vm_snapshot = g_new0(struct vm_snapshot, 1);

	vm_snapshot->at_us = at_us;
	vm_snapshot->vms = vms;
	g_queue_push_tail(&list->snapshots, vm_snapshot);
}

static void free_snapshot(gpointer data)
{
	struct vm_snapshot *vm_snapshot = data;

	json_decref(vm_snapshot->vms);
	g_free(vm_snapshot);
}

struct vm_list *vm_list_create(void)
{
	struct vm_list *list = g_new0(struct vm_list, 1);

	g_queue_init(&list->snapshots);
	push_snapshot(list, json_array(), INT64_MIN);
	return list;
}

void vm_list_destroy(struct vm_list *list)
{
	g_queue_clear_full(&list->snapshots, free_snapshot);
	g_free(list);
}

/* Returns a text member of a VM, or "" when the VM has none of this name. */
static const char *text_of(const json_t *vm, const char *name)
{
	const char *text = json_string_value(json_object_get(vm, name));

	return text ? text : "";
}

static void remove_vm(json_t *vms, const char *id)
{
	size_t i;

	for (i = json_array_size(vms); i > 0; i--)
		if (!strcmp(text_of(json_array_get(vms, i - 1), "id"), id))
			json_array_remove(vms, i - 1);
}

void vm_list_register(struct vm_list *list, const json_t *vms, bool replace,
		      int64_t now_us)
{
	const struct vm_snapshot *last = g_queue_peek_tail(&list->snapshots);
	json_t *next = replace ? json_array() : json_copy(last->vms);
	size_t i;

	for (i = 0; i < json_array_size(vms); i++) {
		json_t *vm = json_array_get(vms, i);

		remove_vm(next, text_of(vm, "id"));
		if (strcmp(text_of(vm, "state"), "gone") != 0)
			json_array_append_new(next, json_deep_copy(vm));
	}
	push_snapshot(list, next, now_us);
	if (list->snapshots.length > SNAPSHOTS_KEPT)
		free_snapshot(g_queue_pop_head(&list->snapshots));
}

json_t *vm_list_at(struct vm_list *list, int64_t at_us)
{
	const GList *node = list->snapshots.tail;
	const struct vm_snapshot *vm_snapshot = node->data;

	while (node->prev && vm_snapshot->at_us > at_us) {
		node = node->prev;
		vm_snapshot = node->data;
	}
	return json_pack("{s:O}", "vms", vm_snapshot->vms);
}
