#include "platform_vms.h"

#include <glib.h>
#include <string.h>

/* Older states than these are not kept. */
#define STATES_KEPT 64

struct state {
	int64_t at_us;
	json_t *vms;
};

struct vm_list {
	/* Oldest first; never empty. */
	GQueue states;
};

static void push_state(struct vm_list *list, json_t *vms, int64_t at_us)
{
	struct state *state = g_new0(struct state, 1);

	state->at_us = at_us;
	state->vms = vms;
	g_queue_push_tail(&list->states, state);
}

static void free_state(gpointer data)
{
	struct state *state = data;

	json_decref(state->vms);
	g_free(state);
}

struct vm_list *vm_list_create(void)
{
	struct vm_list *list = g_new0(struct vm_list, 1);

	g_queue_init(&list->states);
	push_state(list, json_array(), INT64_MIN);
	return list;
}

void vm_list_destroy(struct vm_list *list)
{
	g_queue_clear_full(&list->states, free_state);
	g_free(list);
}

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
	const struct state *last = g_queue_peek_tail(&list->states);
	json_t *next = replace ? json_array() : json_copy(last->vms);
	size_t i;

	for (i = 0; i < json_array_size(vms); i++) {
		json_t *vm = json_array_get(vms, i);

		remove_vm(next, text_of(vm, "id"));
		if (strcmp(text_of(vm, "state"), "gone") != 0)
			json_array_append_new(next, json_deep_copy(vm));
	}
	push_state(list, next, now_us);
	if (list->states.length > STATES_KEPT)
		free_state(g_queue_pop_head(&list->states));
}

json_t *vm_list_at(struct vm_list *list, int64_t at_us)
{
	const GList *node = list->states.tail;
	const struct state *state = node->data;

	while (node->prev && state->at_us > at_us) {
		node = node->prev;
		state = node->data;
	}
	return json_pack("{s:O}", "vms", state->vms);
}
