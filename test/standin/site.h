/**
 * A small deployment's platform in one process, for tests: the external store
 * with its change feed, and upstreams that accept key grants. It speaks the
 * platform's published protocol.
 */
#ifndef STANDIN_SITE_H
#define STANDIN_SITE_H

#include <glib.h>
#include <stdbool.h>

#include "net/http_server.h"
#include "net/loop.h"

struct site;

/** Starts the store's HTTP server on a free port and returns it. */
struct http_server *site_store_create(struct site *site);

/** Writes a row of a table with a JSON text as value. */
void site_put_row(struct site *site, const char *table, const char *key,
		  const char *json);
/** Removes a row of a table. */
void site_remove_row(struct site *site, const char *table, const char *key);

/** Writes the built-in configuration under a version number. */
void site_put_config(struct site *site, unsigned int version);

/** Starts an upstream; its index is the number of upstreams started before. */
void site_upstream_create(struct site *site, const char *service,
			  const char *zone, bool keyed);
/** Publishes an upstream as draining, or as ready again. */
void site_upstream_drain(struct site *site, unsigned int index, bool draining);
/** Restarts an upstream at its address: same id, new incarnation, no grants. */
void site_upstream_restart(struct site *site, unsigned int index);

/** Publishes another address for an upstream, such as a proxy's. */
void site_upstream_publish_address(struct site *site, unsigned int index,
				   const char *address);
/** Writes the address on which an upstream listens to text, a buffer of at
 * least ADDRESS_TEXT_SIZE bytes. */
void site_upstream_address(struct site *site, unsigned int index, char *text);

/** Returns how often upstreams executed requests with this request id. */
unsigned int site_run_count(struct site *site, const char *id);

struct site {
	struct loop loop;
	/** Table name to a GHashTable of key to row. */
	GHashTable *tables;
	/** Version of the last change to any table. */
	guint64 version;
	/** Feed requests that wait for a change. */
	GQueue watches;
	/** The store responds to all requests with 503. */
	bool store_down;
	GPtrArray *upstreams;
	/** Request id to number of executions. */
	GHashTable *runs;
	/** Grants of keys that another upstream still held. */
	unsigned int double_owners;
	/** POST requests without a Content-Length. */
	unsigned int bodies_missing;
	/** Repeated executions of requests that must run at most once. */
	unsigned int repeats;
};

#endif
