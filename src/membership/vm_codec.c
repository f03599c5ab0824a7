#include "membership/vm_codec.h"

#include <jansson.h>

#include "base/address.h"
#include "base/error.h"
#include "profile/settings.h"

/* Most entries that the platform's list of VMs may have. */
#define COUNT_LIMIT 100000
/* Most skipped entries that are named in vm_list.skipped. */
#define NAMED_LIMIT 10

void vm_clear(struct vm *vm)
{
	g_free(vm->id);
	g_free(vm->service);
	g_free(vm->zone);
	g_free(vm->boot);
	*vm = (struct vm){ 0 };
}

struct vm vm_copy(const struct vm *vm)
{
	struct vm copy = *vm;

	copy.id = g_strdup(vm->id);
	copy.service = g_strdup(vm->service);
	copy.zone = g_strdup(vm->zone);
	copy.boot = g_strdup(vm->boot ? vm->boot : "");
	return copy;
}

void vm_list_clear(struct vm_list *list)
{
	size_t i;

	for (i = 0; i < list->count; i++)
		vm_clear(&list->vms[i]);
	g_free(list->vms);
	g_free(list->skipped);
	*list = (struct vm_list){ 0 };
}

static bool set_entry_error(GError **error, size_t index, const char *field)
{
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
		    "list of VMs: entry %zu: bad %s", index, field);
	return false;
}

/* Validates the texts of an entry, which stand in the order of `names`, and
 * sets a VM's fields from them. The index of the entry is for the error
 * message. */
static bool set_vm_fields(struct vm *vm, size_t index,
			  const char *const texts[5], GError **error)
{
	static const char *const names[] = { "id", "service", "zone", "address",
					     "control" };
	size_t i;

	for (i = 0; i < 3; i++)
		if (!settings_vm_id_valid(str_from(texts[i])))
			return set_entry_error(error, index, names[i]);
	if (!address_parse(str_from(texts[3]), &vm->address))
		return set_entry_error(error, index, names[3]);
	if (!address_parse(str_from(texts[4]), &vm->control))
		return set_entry_error(error, index, names[4]);
	vm->id = g_strdup(texts[0]);
	vm->service = g_strdup(texts[1]);
	vm->zone = g_strdup(texts[2]);
	return true;
}

/* Returns a text member of an object, owned by the object; "" when absent. */
static const char *text_at(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static bool parse_vm(const json_t *object, size_t index, struct vm *vm,
		     GError **error)
{
	const char *const texts[5] = {
		text_at(object, "id"),	    text_at(object, "service"),
		text_at(object, "zone"),    text_at(object, "address"),
		text_at(object, "control"),
	};
	const char *state = text_at(object, "state");
	const json_t *fences = json_object_get(object, "fences");

	if (!set_vm_fields(vm, index, texts, error))
		return false;
	vm->boot = g_strdup("");
	vm->leaving = !strcmp(state, "leaving");
	vm->fences = !fences || json_is_true(fences);
	if (!vm->leaving && strcmp(state, "live") != 0)
		return set_entry_error(error, index, "state");
	return true;
}

static void append_skipped(struct vm_list *list, const json_t *row,
			   const GError *problem)
{
	char *before = list->skipped;

	list->skipped = g_strdup_printf(
		"%s%s\"%.*s\": %s", before ? before : "", before ? "; " : "",
		SETTINGS_NAME_LIMIT, text_at(row, "id"), problem->message);
	g_free(before);
}

static bool parse_vms(const json_t *rows, struct vm_list *list, GError **error)
{
	size_t i, n = json_array_size(rows), skipped = 0;

	if (!json_is_array(rows) || n > COUNT_LIMIT) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "list of VMs: \"vms\" is not an array of at "
			    "most " G_STRINGIFY(COUNT_LIMIT) " entries");
		return false;
	}
	list->vms = g_new0(struct vm, n + 1);
	for (i = 0; i < n; i++) {
		const json_t *row = json_array_get(rows, i);
		struct vm *vm = &list->vms[list->count];
		GError *problem = NULL;

		if (parse_vm(row, i, vm, &problem)) {
			list->count++;
			continue;
		}
		vm_clear(vm);
		if (skipped++ < NAMED_LIMIT)
			append_skipped(list, row, problem);
		g_error_free(problem);
	}
	return true;
}

bool vm_list_parse(struct str json, struct vm_list *list, GError **error)
{
	json_error_t problem;
	json_t *root =
		json_loadb(json.data ? json.data : "", json.len, 0, &problem);
	bool ok;

	*list = (struct vm_list){ 0 };
	if (!root) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "list of VMs: not JSON: %s", problem.text);
		return false;
	}
	ok = parse_vms(json_object_get(root, "vms"), list, error);
	if (!ok)
		vm_list_clear(list);
	json_decref(root);
	return ok;
}

static Vm *vm_to_wire(const struct vm *vm)
{
	Vm *out = g_new(Vm, 1);
	char text[ADDRESS_TEXT_SIZE];

	vm__init(out);
	out->id = vm->id;
	out->service = vm->service;
	out->zone = vm->zone;
	out->boot = vm->boot;
	out->address = g_strdup(address_format(&vm->address, text));
	out->control = g_strdup(address_format(&vm->control, text));
	out->leaving = vm->leaving;
	out->fences = vm->fences;
	out->limit = vm->limit;
	return out;
}

VmList *vm_list_to_wire(const struct vm_list *list, uint64_t version)
{
	VmList *message = g_new(VmList, 1);
	size_t i;

	vm_list__init(message);
	message->version = version;
	message->n_vms = list->count;
	message->vms = g_new0(Vm *, list->count + 1);
	for (i = 0; i < list->count; i++)
		message->vms[i] = vm_to_wire(&list->vms[i]);
	return message;
}

void vm_list_wire_free(VmList *message)
{
	size_t i;

	for (i = 0; i < message->n_vms; i++) {
		g_free(message->vms[i]->address);
		g_free(message->vms[i]->control);
		g_free(message->vms[i]);
	}
	g_free(message->vms);
	g_free(message);
}

bool vm_list_from_wire(const VmList *message, struct vm_list *list,
		       GError **error)
{
	size_t i;

	*list = (struct vm_list){ 0 };
	list->vms = g_new0(struct vm, message->n_vms + 1);
	for (i = 0; i < message->n_vms; i++) {
		const Vm *in = message->vms[i];
		const char *const texts[5] = { in->id, in->service, in->zone,
					       in->address, in->control };
		struct vm *vm = &list->vms[i];

		list->count = i + 1;
		if (!set_vm_fields(vm, i, texts, error)) {
			vm_list_clear(list);
			return false;
		}
		vm->boot = g_strdup(in->boot);
		vm->leaving = in->leaving;
		vm->fences = in->fences;
		vm->limit = in->limit;
	}
	return true;
}
