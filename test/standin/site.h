/**
 * A small stand-in of the platform in one process: the store with its feed,
 * and upstreams that take grants. It speaks the platform's published protocol.
 */
#ifndef STANDIN_SITE_H
#define STANDIN_SITE_H

#include <glib.h>
#include <stdbool.h>

#include "net/http_server.h"
#include "net/loop.h"

struct site;

/** Starts the store. @return its server */
struct http_server *site_store_create(struct site *site);

/** Writes or removes a row, as operators and upstreams do. */
void site_put_row(struct site *site, const char *table, const char *key,
		  const char *json);
void site_remove_row(struct site *site, const char *table, const char *key);

/** Writes the configuration as a version. */
void site_put_config(struct site *site, unsigned int version);

/** Upstreams, by number. */
void site_upstream_create(struct site *site, const char *service,
			  const char *zone, bool keyed);
/** Its entry says that it leaves, or that it takes work again. */
void site_upstream_drain(struct site *site, unsigned int index, bool leaves);
/** Its process ends, and another life starts at once under the same id. */
void site_upstream_restart(struct site *site, unsigned int index);

/** Names another address for it in its entry: that of a proxy. */
void site_upstream_publish_address(struct site *site, unsigned int index,
				   const char *address);
/** Its address as it listens. */
void site_upstream_address(struct site *site, unsigned int index, char *text);

/** Runs of a request id at all upstreams. */
unsigned int site_run_count(struct site *site, const char *id);

struct site {
	struct loop loop;
	/** "table" to table of rows. */
	GHashTable *tables;
	guint64 version;
	/** Calls that wait for changes. */
	GQueue waiting;
	bool down;
	GPtrArray *targets;
	/** Runs by request id. */
	GHashTable *runs;
	/** Grants of keys that another upstream held. */
	unsigned int double_owners;
	/** Posts that declared no body. */
	unsigned int bodies_missing;
	/** Runs of requests that must not repeat, beyond the first. */
	unsigned int repeats;
};

#endif
