/**
 * An immutable snapshot of settings, VMs and owner maps. For each change the
 * control thread builds a new view and swaps the pointer to it. Workers read
 * without a lock, inside sections of Concurrency Kit's epoch reclamation.
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

/** A service with its owner map and VMs. */
struct view_service {
	const struct service *service;
	/** Owner map of a keyed service; NULL for other services and before the
	 * first map was received. */
	const struct slice_map *map;
	/** const struct vm, the VMs of this service. */
	GPtrArray *vms;
};

/** One snapshot. A reader may use it until its read section ends. */
struct view {
	/** Number of this view; each new view has the next higher one. */
	uint64_t sequence;
	/** NULL until settings were received. */
	const struct settings *settings;
	/** struct view_service by its name, a struct str. */
	GHashTable *services;
	/** const struct vm by its id, a struct str. */
	GHashTable *vms;
};

/** Holds the current view, the parts it is built from, and its readers. */
struct view_store;
/** The registration of one reading thread. */
struct view_reader;

/** Creates a store that holds an empty view; free with view_store_destroy(). */
struct view_store *view_store_create(void);

/** Frees the store, its views and its readers, whose threads must have ended.
 */
void view_store_destroy(struct view_store *store);

/**
 * Registers the calling thread as a reader.
 *
 * @return the registration, owned by the store; for the calling thread only
 */
struct view_reader *view_reader_create(struct view_store *store);

/** Begins a read section. @return the current view, valid until its end */
const struct view *view_enter(struct view_reader *reader);

/** Returns the current view. Call within a read section. */
const struct view *view_current(const struct view_reader *reader);

/** Ends the read section. The reader must not use its views any more. */
void view_leave(struct view_reader *reader);

/** Finds a service by its name. @return NULL when it is not known */
const struct view_service *view_service(const struct view *view,
					struct str name);

/** Finds a VM by its id. @return NULL when it is not known */
const struct vm *view_vm(const struct view *view, struct str id);

/** Tells whether a VM gets new requests: it is not shutting down, and the
 * settings take neither the VM nor its zone out of service. */
bool view_vm_accepts_work(const struct settings *settings, const struct vm *vm);

/*
 * The functions below are for the one writer, the control thread.
 */

/**
 * Replaces the settings for the next view.
 *
 * @param settings owned by the store if the result is true, else by the caller
 * @return false when their version is not higher than the stored one
 */
bool view_store_set_settings(struct view_store *store,
			     struct settings *settings);

/**
 * Replaces the owner map of one service for the next view.
 *
 * @param map owned by the store if the result is true, else by the caller
 * @return false when its epoch is not higher than the stored one
 */
bool view_store_set_map(struct view_store *store, struct slice_map *map);

/**
 * Replaces the list of VMs for the next view.
 *
 * @param vms the array and its texts; owned by the store from now on
 */
void view_store_set_vms(struct view_store *store, struct vm *vms, size_t count);

/**
 * Builds a view of the stored settings, maps and VMs and makes it current.
 *
 * @return the new view; valid for the writer until the next publication
 */
const struct view *view_store_publish(struct view_store *store);

/** Frees old views that no reader can still use. Call periodically. */
void view_store_reclaim(struct view_store *store);

/** Returns the epoch of a service's owner map, 0 when there is none. */
uint64_t view_store_map_epoch(const struct view_store *store,
			      struct str service);

/** Returns the version of the settings, 0 when there are none. */
uint64_t view_store_settings_version(const struct view_store *store);

#endif
