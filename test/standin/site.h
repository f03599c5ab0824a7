/**
 * A small deployment's platform in one process, for tests of the entry daemon:
 * the external store with its change feed, and upstreams that accept key
 * grants. It speaks the platform's published protocol. One thread runs it all
 * on one event loop.
 */
#ifndef STANDIN_SITE_H
#define STANDIN_SITE_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "net/http_server.h"
#include "net/loop.h"

struct site;

/** Starts the store's HTTP server on a free loopback port and returns it. Ends
 * the process when the server can't be started. */
struct http_server *site_store_create(struct site *site);

/** Writes a row of a table with a JSON text as value, and answers the feed
 * requests that wait for a change of the table. */
void site_put_row(struct site *site, const char *table, const char *key,
		  const char *json);
/** Removes a row of a table, which the feed reports as a change. */
void site_remove_row(struct site *site, const char *table, const char *key);

/** Writes a row of a table, or removes it.
 *
 * @param value in Base64; NULL removes the row */
void site_write_row(struct site *site, const char *table, const char *key,
		    const char *value);

/** Empties all tables, answers the feed requests that wait with 503, and sets
 * the version to 0. */
void site_store_clear(struct site *site);
/** Sets a row to a state that it had at the present version. */
void site_store_load(struct site *site, const char *table, const char *key,
		     const char *value);

/** The changes of all rows. */
struct site_history;

/** Creates a history without changes. */
struct site_history *site_history_create(void);
/** Notes a change at the present version; value is as in site_write_row(). */
void site_history_note(struct site *site, const char *table, const char *key,
		       const char *value);
/** Has the store come back as it was some time ago, in a new era. What the
 * operator and the upstreams wrote since is written again later. */
void site_restore(struct site *site, double age_s);
/** Writes again what is due after site_restore(). */
void site_restore_tick(struct site *site);

/**
 * Starts an upstream and publishes it: writes its entry to the store's table
 * "servers". Its index is the number of upstreams started before it. Ends the
 * process when its server can't be started.
 *
 * @param service service that it runs; not copied
 * @param zone not copied
 * @param keyed whether it only executes requests whose key it was granted
 */
void site_upstream_create(struct site *site, const char *service,
			  const char *zone, bool keyed);
/** Publishes an upstream as draining, or as ready again. */
void site_upstream_drain(struct site *site, unsigned int index, bool draining);
/** Removes an upstream's entry; the upstream runs on and keeps its grants. */
void site_upstream_lapse(struct site *site, unsigned int index);
/** Restarts an upstream at its address: same id, new incarnation, no grants. */
void site_upstream_restart(struct site *site, unsigned int index);

/** Ends an upstream's process; it starts again some seconds later. */
void site_upstream_crash(struct site *site, unsigned int index);
/** Ends an upstream for good, and removes its entry. */
void site_upstream_end(struct site *site, unsigned int index);
/** Starts an upstream, as site_upstream_create(), at the address of one that
 * has ended. */
void site_upstream_replace(struct site *site, unsigned int index,
			   const char *service, bool keyed);

/** Sets the limit that an upstream names in its answers, in requests per
 * second; negative: none. */
void site_upstream_limit(struct site *site, unsigned int index, double per_s);

/** Has an upstream say in all its answers that it leaves. */
void site_upstream_say_leaving(struct site *site, unsigned int index);

/** Has an upstream refuse its next request with status 503 and a Retry-After.
 *
 * @param text value of the header field */
void site_upstream_pause(struct site *site, unsigned int index,
			 const char *text);

/** Publishes an address for an upstream other than the one on which it listens,
 * such as a proxy's. */
void site_upstream_publish_address(struct site *site, unsigned int index,
				   const char *address);
/** Writes the address on which an upstream listens to text, a buffer of at
 * least ADDRESS_TEXT_SIZE bytes. */
void site_upstream_address(struct site *site, unsigned int index, char *text);

/** Appends a line to the file of events, if there is one: the monotonic clock
 * in microseconds, and a kind with its arguments. test/soak/rules.c reads it.
 */
__attribute__((format(printf, 2, 3))) void site_event(const struct site *site,
						      const char *format, ...);

/** Returns how often all upstreams together executed requests with this id. */
unsigned int site_run_count(struct site *site, const char *id);

/** The store, its upstreams and the counters of violations. */
struct site {
	/** The event loop of the store and the upstreams. */
	struct loop loop;
	/** Maps a table's name to its rows: a GHashTable from key to struct row
	 * of site_store.c. */
	GHashTable *tables;
	/** Version of the last change to any table. */
	guint64 version;
	/** Era of the store, which all its answers show; it starts at 1. */
	guint64 era;
	struct site_history *history;
	/** Feed requests that wait for a change: elements are struct watch of
	 * site_store.c. */
	GQueue watches;
	/** Time, in seconds, by which the store answers daemons late, and the
	 * answers that wait: elements are struct late_answer of site_store.c.
	 */
	double answer_delay_s;
	GQueue late_answers;
	/** File of events, see site_event(); NULL: none is written. */
	FILE *events;
	/** The store responds with 503 to all but the tests' control calls. */
	bool store_down;
	/** Array of struct upstream of site_upstream.c, by index. */
	GPtrArray *upstreams;
	/** Maps a request id to its number of executions. */
	GHashTable *runs;
	/** Maps a request id to the fields about its customer, as an upstream
	 * received them last: "customer=NAME authorization=VALUE", with "-" for
	 * a field that is missing. */
	GHashTable *customers;
	/** Number of grants of keys that another upstream still held. */
	unsigned int double_owners;
	/** Number of requests that an upstream got over its named limit. */
	unsigned int over_limit;
	/** Requests that reached an upstream LEAVING_S after it said that it
	 * leaves, and those that reached one in the pause that it asked for. */
	unsigned int after_leaving, while_paused;
	/** Number of crashes of upstreams that a request caused. */
	unsigned int crashes;
	/** Number of POST requests without a Content-Length. */
	unsigned int bodies_missing;
	/** Number of repeated executions of requests that must run at most
	 * once. */
	unsigned int repeats;
};

#endif
