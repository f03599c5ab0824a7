#include "router/view.h"

#include <pthread.h>

#include "base/hash.h"
#include "profile/settings.h"

/*
 * A part that several views can share: the settings, an owner map or the VM
 * list. Only the control thread changes the reference count, so the count need
 * not be atomic.
 */
struct part {
	/* References by views, and one by the store while it is in use. */
	unsigned int refs;
	/* Frees object. */
	GDestroyNotify free;
	/* struct settings, struct slice_map or struct vm_array. */
	void *object;
};

/* The VM list. */
struct vm_array {
	struct vm *vms;
	size_t count;
};

/* A view with its parts. The entry queues it for epoch reclamation. */
struct view_entry {
	ck_epoch_entry_t entry;
	struct view_store *store;
	struct view view;
	/* struct part, one reference to each part that the view points into.
	 */
	GPtrArray *parts;
};

struct view_reader {
	ck_epoch_record_t record;
	ck_epoch_section_t section;
	struct view_store *store;
	/* Number of read sections ended. Only order_after_readers() needs it.
	 */
	uint64_t sections_ended;
};

struct view_store {
	ck_epoch_t epoch;
	/* Epoch record of the writer, the control thread. */
	ck_epoch_record_t *writer;
	struct view_entry *current;
	/* Number of the newest view. */
	uint64_t sequence;
	/* The parts for the next view; NULL until received. */
	struct part *settings;
	struct part *vms;
	/* struct part of owner maps, by the service's name. */
	GHashTable *maps;
	pthread_mutex_t lock;
	/* struct view_reader; guarded by lock. */
	GPtrArray *readers;
};

static struct part *part_create(void *object, GDestroyNotify free_object)
{
	struct part *part = g_new0(struct part, 1);

	part->refs = 1;
	part->free = free_object;
	part->object = object;
	return part;
}

static struct part *part_ref(struct part *part)
{
	part->refs++;
	return part;
}

static void part_unref(void *data)
{
	struct part *part = data;

	if (!part || --part->refs)
		return;
	part->free(part->object);
	g_free(part);
}

static void free_settings(void *settings)
{
	settings_destroy(settings);
}

static void free_map(void *map)
{
	slice_map_destroy(map);
}

static void free_vms(void *data)
{
	struct vm_array *array = data;
	size_t i;

	for (i = 0; i < array->count; i++) {
		g_free(array->vms[i].id);
		g_free(array->vms[i].service);
		g_free(array->vms[i].zone);
		g_free(array->vms[i].boot);
	}
	g_free(array->vms);
	g_free(array);
}

static guint hash_name(gconstpointer key)
{
	return (guint)hash_key(*(const struct str *)key);
}

static gboolean same_name(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

static struct str *new_name(const char *text)
{
	struct str *name = g_new(struct str, 1);

	*name = str_from(text);
	return name;
}

static void free_service(void *data)
{
	struct view_service *service = data;

	g_ptr_array_free(service->vms, TRUE);
	g_free(service);
}

static void entry_free(struct view_entry *entry)
{
	g_hash_table_destroy(entry->view.services);
	g_hash_table_destroy(entry->view.vms);
	g_ptr_array_free(entry->parts, TRUE);
	g_free(entry);
}

CK_EPOCH_CONTAINER(struct view_entry, entry, entry_of)

/*
 * Shows the thread sanitizer that the readers are done before a view is freed.
 * The epochs already guarantee that order, but Concurrency Kit implements them
 * in assembly, which the sanitizer does not see. The acquire loads establish
 * the same order.
 */
static void order_after_readers(struct view_store *store)
{
	guint i;

	pthread_mutex_lock(&store->lock);
	for (i = 0; i < store->readers->len; i++) {
		struct view_reader *reader =
			g_ptr_array_index(store->readers, i);

		__atomic_load_n(&reader->sections_ended, __ATOMIC_ACQUIRE);
	}
	pthread_mutex_unlock(&store->lock);
}

/* Called by Concurrency Kit when no reader uses the view any more. */
static void entry_reclaim(ck_epoch_entry_t *data)
{
	struct view_entry *entry = entry_of(data);

	order_after_readers(entry->store);
	entry_free(entry);
}

/* Makes a view hold a part. Returns the part's object; NULL without a part. */
static const void *add_part(struct view_entry *entry, struct part *part)
{
	if (!part)
		return NULL;
	g_ptr_array_add(entry->parts, part_ref(part));
	return part->object;
}

/* Adds a service of the settings to a view, with its owner map. */
static void add_service(const struct view_store *store,
			struct view_entry *entry, const struct service *service)
{
	struct view_service *found = g_new0(struct view_service, 1);

	found->service = service;
	found->vms = g_ptr_array_new();
	if (service->keyed)
		found->map = add_part(
			entry, g_hash_table_lookup(store->maps, service->name));
	g_hash_table_insert(entry->view.services, new_name(service->name),
			    found);
}

/* Adds a VM to a view, and to its service if the settings have that service. */
static void add_vm(struct view_entry *entry, struct vm *vm)
{
	struct str service = str_from(vm->service);
	struct view_service *found =
		g_hash_table_lookup(entry->view.services, &service);

	g_hash_table_insert(entry->view.vms, new_name(vm->id), vm);
	if (found)
		g_ptr_array_add(found->vms, vm);
}

/* Builds a view of the store's current parts. */
static struct view_entry *build_view(struct view_store *store)
{
	struct view_entry *entry = g_new0(struct view_entry, 1);
	const struct vm_array *array;
	size_t i;

	entry->store = store;
	entry->parts = g_ptr_array_new_with_free_func(part_unref);
	entry->view.sequence = ++store->sequence;
	entry->view.services = g_hash_table_new_full(hash_name, same_name,
						     g_free, free_service);
	entry->view.vms =
		g_hash_table_new_full(hash_name, same_name, g_free, NULL);
	entry->view.settings = add_part(entry, store->settings);
	array = add_part(entry, store->vms);
	for (i = 0;
	     entry->view.settings && i < entry->view.settings->service_count;
	     i++)
		add_service(store, entry, &entry->view.settings->services[i]);
	for (i = 0; array && i < array->count; i++)
		add_vm(entry, &array->vms[i]);
	return entry;
}

struct view_store *view_store_create(void)
{
	struct view_store *store = g_new0(struct view_store, 1);

	ck_epoch_init(&store->epoch);
	store->writer =
		g_aligned_alloc0(1, sizeof(*store->writer), CK_MD_CACHELINE);
	ck_epoch_register(&store->epoch, store->writer, NULL);
	store->maps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    part_unref);
	store->readers = g_ptr_array_new_with_free_func(g_aligned_free);
	pthread_mutex_init(&store->lock, NULL);
	store->current = build_view(store);
	return store;
}

void view_store_destroy(struct view_store *store)
{
	if (!store)
		return;
	ck_epoch_barrier(store->writer);
	entry_free(store->current);
	part_unref(store->settings);
	part_unref(store->vms);
	g_hash_table_destroy(store->maps);
	g_ptr_array_free(store->readers, TRUE);
	g_aligned_free(store->writer);
	pthread_mutex_destroy(&store->lock);
	g_free(store);
}

struct view_reader *view_reader_create(struct view_store *store)
{
	struct view_reader *reader =
		g_aligned_alloc0(1, sizeof(*reader), CK_MD_CACHELINE);

	reader->store = store;
	ck_epoch_register(&store->epoch, &reader->record, NULL);
	pthread_mutex_lock(&store->lock);
	g_ptr_array_add(store->readers, reader);
	pthread_mutex_unlock(&store->lock);
	return reader;
}

const struct view *view_enter(struct view_reader *reader)
{
	ck_epoch_begin(&reader->record, &reader->section);
	return view_current(reader);
}

const struct view *view_current(const struct view_reader *reader)
{
	const struct view_entry *entry =
		__atomic_load_n(&reader->store->current, __ATOMIC_ACQUIRE);

	return &entry->view;
}

void view_leave(struct view_reader *reader)
{
	__atomic_store_n(&reader->sections_ended, reader->sections_ended + 1,
			 __ATOMIC_RELEASE);
	ck_epoch_end(&reader->record, &reader->section);
}

const struct view_service *view_service(const struct view *view,
					struct str name)
{
	return g_hash_table_lookup(view->services, &name);
}

const struct vm *view_vm(const struct view *view, struct str id)
{
	return g_hash_table_lookup(view->vms, &id);
}

bool view_vm_accepts_work(const struct settings *settings, const struct vm *vm)
{
	return !vm->leaving &&
	       !settings_is_out(settings, str_from(vm->zone), str_from(vm->id));
}

bool view_store_set_settings(struct view_store *store,
			     struct settings *settings)
{
	if (settings->version <= view_store_settings_version(store))
		return false;
	part_unref(store->settings);
	store->settings = part_create(settings, free_settings);
	return true;
}

bool view_store_set_map(struct view_store *store, struct slice_map *map)
{
	struct str cell = slice_map_cell(map);

	if (slice_map_epoch(map) <= view_store_map_epoch(store, cell))
		return false;
	g_hash_table_replace(store->maps, str_dup(cell),
			     part_create(map, free_map));
	return true;
}

void view_store_set_vms(struct view_store *store, struct vm *vms, size_t count)
{
	struct vm_array *array = g_new0(struct vm_array, 1);

	array->vms = vms;
	array->count = count;
	part_unref(store->vms);
	store->vms = part_create(array, free_vms);
}

const struct view *view_store_publish(struct view_store *store)
{
	struct view_entry *old = store->current;
	struct view_entry *entry = build_view(store);

	__atomic_store_n(&store->current, entry, __ATOMIC_RELEASE);
	ck_epoch_call(store->writer, &old->entry, entry_reclaim);
	view_store_reclaim(store);
	return &entry->view;
}

void view_store_reclaim(struct view_store *store)
{
	ck_epoch_poll(store->writer);
}

uint64_t view_store_map_epoch(const struct view_store *store,
			      struct str service)
{
	char *name = str_dup(service);
	const struct part *map = g_hash_table_lookup(store->maps, name);

	g_free(name);
	return map ? slice_map_epoch(map->object) : 0;
}

uint64_t view_store_settings_version(const struct view_store *store)
{
	const struct settings *settings =
		store->settings ? store->settings->object : NULL;

	return settings ? settings->version : 0;
}
