/**
 * Account of the descriptors that one process opens, by use. Callers'
 * connections and the connections to upstreams that their requests open leave a
 * part for the system's own: the store, other VMs, orders to upstreams,
 * readiness and metrics. Does no I/O. docs/design/client-limits.md
 */
#ifndef NET_DESCRIPTORS_H
#define NET_DESCRIPTORS_H

#include <stdbool.h>

/** What a descriptor is open for. */
enum descriptor_use {
	/** The system's own calls; never refused. */
	DESCRIPTOR_SYSTEM,
	/** Connections of callers. */
	DESCRIPTOR_CALLER,
	/** Connections to upstreams for callers' requests. */
	DESCRIPTOR_UPSTREAM,
	DESCRIPTOR_USES,
};

/** An account. */
struct descriptors;

/** Callbacks of an account. */
struct descriptors_ops {
	/** Closes the connection to an upstream that has been idle longest;
	 * returns false if none is idle. */
	bool (*close_idle_upstream)(void *ctx);
};

/**
 * Creates an account in which nothing is open.
 *
 * @param limit number of descriptors that the process may open
 * @return the account, freed with descriptors_destroy()
 */
struct descriptors *descriptors_create(unsigned int limit);

/** Frees an account; NULL is allowed. */
void descriptors_destroy(struct descriptors *descriptors);

/** Sets the callbacks.
 *
 * @param ops must outlive the account or be replaced by NULL
 * @param ctx passed to the callbacks */
void descriptors_set_ops(struct descriptors *descriptors,
			 const struct descriptors_ops *ops, void *ctx);

/**
 * Returns whether a descriptor may be opened for a use. For a caller, an idle
 * connection to an upstream is closed if that makes room. Without an account,
 * NULL, there is always room.
 */
bool descriptors_have_room(struct descriptors *descriptors,
			   enum descriptor_use use);

/** Records that a descriptor was opened; NULL is allowed. */
void descriptors_opened(struct descriptors *descriptors,
			enum descriptor_use use);

/** Records that a descriptor was closed; NULL is allowed. */
void descriptors_closed(struct descriptors *descriptors,
			enum descriptor_use use);

/** Returns the number of open descriptors of a use. */
unsigned int descriptors_open(const struct descriptors *descriptors,
			      enum descriptor_use use);

/** Returns how many descriptors of a use may be open now. */
unsigned int descriptors_limit(const struct descriptors *descriptors,
			       enum descriptor_use use);
#endif
