#include "membership/vm_table.h"

#include <glib.h>

#include "base/address.h"
#include "base/planted.h"
#include "membership/vm_codec.h"

/* A VM of the table. */
struct entry {
	struct vm vm;
	/* The VM is in the platform's latest list. */
	bool listed;
	/* The list or the VM's own reply said that the VM is draining. Stays
	 * true until a new incarnation replies or the VM's endpoint changes. */
	bool leaving;
	/* Last time the VM was listed. */
	int64_t listed_us;
	/* When the latest order that the VM replied to was sent. */
	int64_t answered_us;
	/* The VM has replied at its present address. */
	bool answered;
	/* State of the VM when the table's version was last updated for it. */
	enum vm_state published_state;
};

struct vm_table {
	/* struct entry *, sorted by id. */
	GPtrArray *entries;
	uint64_t version;
};

static void entry_free(gpointer data)
{
	struct entry *e = data;

	vm_clear(&e->vm);
	g_free(e);
}

struct vm_table *vm_table_create(void)
{
	struct vm_table *t = g_new0(struct vm_table, 1);

	t->entries = g_ptr_array_new_with_free_func(entry_free);
	t->version = 1;
	return t;
}

void vm_table_destroy(struct vm_table *t)
{
	if (!t)
		return;
	g_ptr_array_free(t->entries, TRUE);
	g_free(t);
}

static int compare_id(struct str a, const char *b)
{
	size_t len = strlen(b);
	int order = memcmp(a.data, b, MIN(a.len, len));

	if (order)
		return order;
	return a.len < len ? -1 : a.len > len;
}

/* Returns the index of the first entry whose id is not less than `id`. */
static guint lower_bound(const struct vm_table *t, struct str id)
{
	guint low = 0, high = t->entries->len;

	while (low < high) {
		guint mid = (low + high) / 2;
		const struct entry *e = g_ptr_array_index(t->entries, mid);

		if (compare_id(id, e->vm.id) > 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct entry *find_entry(const struct vm_table *t, struct str id)
{
	guint i = lower_bound(t, id);
	struct entry *e;

	if (i >= t->entries->len)
		return NULL;
	e = g_ptr_array_index(t->entries, i);
	return str_equal(str_from(e->vm.id), id) ? e : NULL;
}

static enum vm_state entry_state(const struct entry *e, int64_t now_us)
{
	if (injected(INJECTED_UNLISTED_VM_LOST) && !e->listed)
		return VM_LOST;
	if (injected(INJECTED_LISTED_VM_ALIVE) && e->listed)
		return VM_LIVE;
	if (!e->answered)
		return VM_NEW;
	if (now_us - e->answered_us >= VM_LOST_US)
		return VM_LOST;
	return e->leaving ? VM_LEAVING : VM_LIVE;
}

static bool same_endpoint(const struct vm *a, const struct vm *b)
{
	char address[2][ADDRESS_TEXT_SIZE], control[2][ADDRESS_TEXT_SIZE];

	address_format(&a->address, address[0]);
	address_format(&b->address, address[1]);
	address_format(&a->control, control[0]);
	address_format(&b->control, control[1]);
	return !strcmp(address[0], address[1]) &&
	       !strcmp(control[0], control[1]) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->service, b->service) && a->fences == b->fences;
}

static void add_entry(struct vm_table *t, const struct vm *vm, int64_t now_us)
{
	struct entry *e = g_new0(struct entry, 1);

	e->vm = vm_copy(vm);
	e->listed = true;
	e->leaving = vm->leaving;
	e->listed_us = now_us;
	g_ptr_array_insert(t->entries, (gint)lower_bound(t, str_from(vm->id)),
			   e);
	t->version++;
}

/* Replaces an entry's VM when the listed VM has other addresses, another zone
 * or service, or fences where it didn't before or the reverse. Does so only
 * while the VM doesn't reply at its known address: the list lags behind the
 * replies.
 */
static void update_endpoint(struct vm_table *t, struct entry *e,
			    const struct vm *vm, int64_t now_us)
{
	if (same_endpoint(&e->vm, vm) || entry_state(e, now_us) == VM_LIVE ||
	    entry_state(e, now_us) == VM_LEAVING)
		return;
	vm_clear(&e->vm);
	e->vm = vm_copy(vm);
	e->answered = false;
	e->leaving = vm->leaving;
	t->version++;
}

static void apply_listed_vm(struct vm_table *t, const struct vm *vm,
			    int64_t now_us)
{
	struct entry *e = find_entry(t, str_from(vm->id));

	if (!e) {
		add_entry(t, vm, now_us);
		return;
	}
	e->listed = true;
	e->listed_us = now_us;
	update_endpoint(t, e, vm, now_us);
	if (vm->leaving && !e->leaving) {
		e->leaving = true;
		t->version++;
	}
}

void vm_table_apply_list(struct vm_table *t, const struct vm *vms, size_t count,
			 int64_t now_us)
{
	size_t i;

	for (i = 0; i < t->entries->len; i++) {
		struct entry *e = g_ptr_array_index(t->entries, i);

		e->listed = false;
	}
	for (i = 0; i < count; i++)
		apply_listed_vm(t, &vms[i], now_us);
}

bool vm_table_record_answer(struct vm_table *t, struct str id, struct str boot,
			    bool draining, int64_t begun_us)
{
	struct entry *e = find_entry(t, id);

	if (!e)
		return false;
	if (!str_equal(str_from(e->vm.boot), boot)) {
		/* Only the previous incarnation was draining. */
		if (*e->vm.boot)
			e->leaving = false;
		g_free(e->vm.boot);
		e->vm.boot = str_dup(boot);
		t->version++;
	}
	if (draining && !e->leaving) {
		e->leaving = true;
		t->version++;
	}
	if (!e->answered || begun_us > e->answered_us)
		e->answered_us = begun_us;
	e->answered = true;
	return true;
}

void vm_table_set_limit(struct vm_table *t, struct str id, uint32_t limit)
{
	struct entry *e = find_entry(t, id);

	if (!e || e->vm.limit == limit)
		return;
	e->vm.limit = limit;
	t->version++;
}

static bool is_expired(const struct entry *e, int64_t now_us)
{
	return !e->listed && now_us - e->listed_us >= VM_DROP_US &&
	       (!e->answered || now_us - e->answered_us >= VM_DROP_US);
}

void vm_table_tick(struct vm_table *t, int64_t now_us)
{
	guint i;

	for (i = t->entries->len; i > 0; i--) {
		struct entry *e = g_ptr_array_index(t->entries, i - 1);
		enum vm_state state = entry_state(e, now_us);

		if (is_expired(e, now_us)) {
			g_ptr_array_remove_index(t->entries, i - 1);
			t->version++;
		} else if (state != e->published_state) {
			e->published_state = state;
			t->version++;
		}
	}
}

uint64_t vm_table_version(const struct vm_table *t)
{
	return t->version;
}

size_t vm_table_count(const struct vm_table *t)
{
	return t->entries->len;
}

static const struct vm *entry_vm(struct entry *e, int64_t now_us,
				 enum vm_state *state)
{
	if (state)
		*state = entry_state(e, now_us);
	e->vm.leaving = e->leaving;
	return &e->vm;
}

const struct vm *vm_table_at(const struct vm_table *t, size_t index,
			     int64_t now_us, enum vm_state *state)
{
	return entry_vm(g_ptr_array_index(t->entries, index), now_us, state);
}

const struct vm *vm_table_find(const struct vm_table *t, struct str id,
			       int64_t now_us, enum vm_state *state)
{
	struct entry *e = find_entry(t, id);

	return e ? entry_vm(e, now_us, state) : NULL;
}

const char *vm_state_name(enum vm_state state)
{
	static const char *const names[] = {
		[VM_NEW] = "new",
		[VM_LIVE] = "live",
		[VM_LEAVING] = "leaving",
		[VM_LOST] = "lost",
	};

	return names[state];
}
