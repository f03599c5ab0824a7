/**
 * What a router knows of settings, VMs and maps at one moment. A view does not
 * change; the control thread builds a new one and swaps the pointer, workers
 * read under Concurrency Kit's epochs and take no lock.
 */
#ifndef ROUTER_VIEW_H
#define ROUTER_VIEW_H

#include <ck_epoch.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "membership/vm_defs.h"
#include "ownership/slice_map.h"
#include "profile/profile_defs.h"

struct view_service {
	const struct service *service;
	/** Of a keyed service; NULL as long as there is none. */
	const struct slice_map *map;
	/** const struct vm *, this service's. */
	GPtrArray *vms;
};

struct view {
	/** Grows with every view. */
	uint64_t sequence;
	/** NULL as long as there are none. */
	const struct settings *settings;
	/** struct view_service by struct str. */
	GHashTable *services;
	/** const struct vm by struct str. */
	GHashTable *vms;
};

/** The current view and its readers. */
struct view_store;
/** One reading thread. */
struct view_reader;

/** Creates a store that holds an empty view. */
struct view_store *view_store_create(void);

/** Frees the store and all views; its readers must be gone. */
void view_store_destroy(struct view_store *store);

/**
 * Registers the calling thread.
 *
 * @return a reader, owned by the store
 */
struct view_reader *view_reader_create(struct view_store *store);

/** Enters a section; views read in it live until its end. */
const struct view *view_enter(struct view_reader *reader);

/** The newest view; within a section. */
const struct view *view_current(const struct view_reader *reader);

/** Leaves the section. */
void view_leave(struct view_reader *reader);

/** Finds a service. @return NULL when there is none */
const struct view_service *view_service(const struct view *view,
					struct str name);

/** Finds a VM. @return NULL when there is none */
const struct vm *view_vm(const struct view *view, struct str id);

/** Whether a VM gets new work: neither leaving nor taken out. */
bool view_gives_work(const struct settings *settings, const struct vm *vm);

/*
 * The writer's part: one thread, the control thread.
 */

/** Takes over settings of a higher version. @return false: not higher */
bool view_store_settings(struct view_store *store, struct settings *settings);

/** Takes over a map of a higher epoch. @return false: not higher */
bool view_store_map(struct view_store *store, struct slice_map *map);

/**
 * Takes over a list of VMs.
 *
 * @param vms the array and its texts now belong to the store
 */
void view_store_vms(struct view_store *store, struct vm *vms, size_t count);

/**
 * Builds a view of what was taken over and publishes it.
 *
 * @return the new view; valid for the writer until the next publication
 */
const struct view *view_store_publish(struct view_store *store);

/** Frees views that no reader can hold any more; call now and then. */
void view_store_reclaim(struct view_store *store);

/** The epoch of a cell's map, 0 when there is none. */
uint64_t view_store_epoch(const struct view_store *store, struct str cell);

/** The version of the settings, 0 when there are none. */
uint64_t view_store_version(const struct view_store *store);

#endif
