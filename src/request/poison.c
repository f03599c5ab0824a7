#include "request/poison.h"

#include <glib.h>

#include "base/hash.h"
#include "base/planted.h"

/* A request with this many deaths is refused; more are not counted. */
#define DEATHS_MAX 2

/* An incarnation of an upstream. Both strings are NULL for a crashed one that
 * isn't known. */
struct incarnation {
	char *upstream;
	char *boot;
};

/* The deaths of one request. */
struct record {
	uint64_t fingerprint;
	struct incarnation crashed[DEATHS_MAX];
	uint32_t deaths;
	/** When the last death was recorded. */
	int64_t last_death_us;
};

/* One copy of a request in flight. */
struct flight {
	uint64_t handle;
	uint64_t fingerprint;
	char *upstream;
	char *boot;
};

struct poison {
	/** Records by fingerprint. */
	GHashTable *records;
	/** Requests in flight, by handle. */
	GHashTable *flights;
	/** The handle given out last. */
	uint64_t last_handle;
	/** The request that ended last: reports borrow its strings. */
	struct flight *last_ended;
};

static void incarnation_clear(struct incarnation *crashed)
{
	g_clear_pointer(&crashed->upstream, g_free);
	g_clear_pointer(&crashed->boot, g_free);
}

static void record_free(gpointer data)
{
	struct record *r = data;
	uint32_t i;

	for (i = 0; i < DEATHS_MAX; i++)
		incarnation_clear(&r->crashed[i]);
	g_free(r);
}

static void flight_free(gpointer data)
{
	struct flight *flight = data;

	if (!flight)
		return;
	g_free(flight->upstream);
	g_free(flight->boot);
	g_free(flight);
}

struct poison *poison_create(void)
{
	struct poison *poison = g_new0(struct poison, 1);

	poison->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, record_free);
	poison->flights = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, flight_free);
	return poison;
}

void poison_destroy(struct poison *poison)
{
	if (!poison)
		return;
	flight_free(poison->last_ended);
	g_hash_table_destroy(poison->records);
	g_hash_table_destroy(poison->flights);
	g_free(poison);
}

uint64_t poison_fingerprint(struct str service, struct str method,
			    struct str path, struct str body)
{
	uint64_t hash = hash_key(service);

	hash = hash_seeded(method, hash);
	hash = hash_seeded(path, hash);
	return hash_seeded(body, hash);
}

/* Finds a request's record; removes and doesn't return an expired one. */
static struct record *find_record(struct poison *poison, uint64_t fingerprint,
				  int64_t now_us)
{
	struct record *r = g_hash_table_lookup(poison->records, &fingerprint);

	if (!r)
		return NULL;
	if (now_us < r->last_death_us + POISON_KEEP_US)
		return r;
	g_hash_table_remove(poison->records, &fingerprint);
	return NULL;
}

enum poison_check poison_check(struct poison *poison, uint64_t fingerprint,
			       int64_t now_us)
{
	const struct record *r = find_record(poison, fingerprint, now_us);

	if (!r || injected(INJECTED_CRASHES_NOT_COUNTED))
		return POISON_CLEAR;
	if (r->deaths >= DEATHS_MAX || injected(INJECTED_POISON_ALL_IN_FLIGHT))
		return POISON_POISONED;
	return injected(INJECTED_SUSPECTS_CONCURRENT) ? POISON_CLEAR
						      : POISON_SUSPECT;
}

uint64_t poison_begin(struct poison *poison, uint64_t fingerprint,
		      struct str upstream, struct str boot)
{
	struct flight *flight = g_new0(struct flight, 1);

	flight->handle = ++poison->last_handle;
	flight->fingerprint = fingerprint;
	flight->upstream = str_dup(upstream);
	flight->boot = str_dup(boot);
	g_hash_table_insert(poison->flights, &flight->handle, flight);
	return flight->handle;
}

/* Makes room for one more record when all are in use: removes the oldest one
 * with the fewest deaths. */
static void evict_oldest(struct poison *poison)
{
	const struct record *oldest = NULL;
	const struct record *r;
	GHashTableIter iter;

	if (g_hash_table_size(poison->records) < POISON_MAX)
		return;
	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&r))
		if (!oldest || r->deaths < oldest->deaths ||
		    (r->deaths == oldest->deaths &&
		     r->last_death_us < oldest->last_death_us))
			oldest = r;
	if (oldest)
		g_hash_table_remove(poison->records, &oldest->fingerprint);
}

/* Finds a request's record, or adds one without deaths. */
static struct record *ensure_record(struct poison *poison, uint64_t fingerprint,
				    int64_t now_us)
{
	struct record *r = find_record(poison, fingerprint, now_us);

	if (r)
		return r;
	evict_oldest(poison);
	r = g_new0(struct record, 1);
	r->fingerprint = fingerprint;
	g_hash_table_insert(poison->records, &r->fingerprint, r);
	return r;
}

static bool incarnation_matches(const struct incarnation *crashed,
				struct str upstream, struct str boot)
{
	return crashed->upstream &&
	       str_equal(str_from(crashed->upstream), upstream) &&
	       str_equal(str_from(crashed->boot), boot);
}

/* Counts the death of an incarnation, unless it is counted already or there are
 * DEATHS_MAX. */
static void add_death(struct record *r, struct str upstream, struct str boot,
		      int64_t now_us)
{
	uint32_t i;

	r->last_death_us = now_us;
	for (i = 0; i < r->deaths; i++)
		if (incarnation_matches(&r->crashed[i], upstream, boot))
			return;
	if (r->deaths >= DEATHS_MAX)
		return;
	r->crashed[r->deaths].upstream = str_dup(upstream);
	r->crashed[r->deaths].boot = str_dup(boot);
	r->deaths++;
}

/* Revokes the death on an incarnation. @return false when none is counted */
static bool remove_death(struct record *r, struct str upstream, struct str boot)
{
	uint32_t i;

	for (i = 0; i < r->deaths; i++) {
		if (!incarnation_matches(&r->crashed[i], upstream, boot))
			continue;
		incarnation_clear(&r->crashed[i]);
		r->crashed[i] = r->crashed[--r->deaths];
		r->crashed[r->deaths] = (struct incarnation){ 0 };
		return true;
	}
	return false;
}

/* Counts a death for a request whose connection broke. @return true, as there
 * is always a report to send */
static bool handle_broken(struct poison *poison, const struct flight *flight,
			  int64_t now_us, struct poison_report *report)
{
	struct str upstream = str_from(flight->upstream);
	struct str boot = str_from(flight->boot);
	struct record *r = ensure_record(poison, flight->fingerprint, now_us);

	add_death(r, upstream, boot, now_us);
	*report = (struct poison_report){
		.fingerprint = flight->fingerprint,
		.upstream = upstream,
		.boot = boot,
		.deaths = r->deaths,
	};
	return true;
}

/* Clears a suspect that was answered. A poisoned request stays poisoned.
 * @return whether there is a report to send */
static bool handle_answered(struct poison *poison, uint64_t fingerprint,
			    int64_t now_us, struct poison_report *report)
{
	const struct record *r = find_record(poison, fingerprint, now_us);

	if (!r || r->deaths >= DEATHS_MAX)
		return false;
	g_hash_table_remove(poison->records, &fingerprint);
	*report = (struct poison_report){ .fingerprint = fingerprint };
	return true;
}

bool poison_end(struct poison *poison, uint64_t handle, enum poison_end end,
		int64_t now_us, struct poison_report *report)
{
	struct flight *flight = g_hash_table_lookup(poison->flights, &handle);

	if (!flight)
		return false;
	g_hash_table_steal(poison->flights, &handle);
	flight_free(poison->last_ended);
	poison->last_ended = flight;
	if (end == POISON_CONNECTION_BROKEN)
		return handle_broken(poison, flight, now_us, report);
	if (end == POISON_ANSWERED)
		return handle_answered(poison, flight->fingerprint, now_us,
				       report);
	return false;
}

size_t poison_revoke_deaths(struct poison *poison, struct str upstream,
			    struct str boot, int64_t sent_us,
			    struct poison_report *reports, size_t max)
{
	GHashTableIter iter;
	struct record *r;
	size_t count = 0;

	g_hash_table_iter_init(&iter, poison->records);
	while (count < max &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&r)) {
		if (sent_us <= r->last_death_us ||
		    !remove_death(r, upstream, boot))
			continue;
		reports[count++] = (struct poison_report){
			.fingerprint = r->fingerprint,
			.upstream = upstream,
			.boot = boot,
		};
		if (!r->deaths)
			g_hash_table_iter_remove(&iter);
	}
	return count;
}

size_t poison_list_reports(const struct poison *poison, int64_t now_us,
			   struct poison_report *reports, size_t max)
{
	const struct record *r;
	GHashTableIter iter;
	size_t count = 0;
	uint32_t i;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&r)) {
		if (now_us >= r->last_death_us + POISON_KEEP_US)
			continue;
		for (i = 0; i < r->deaths && count < max; i++)
			reports[count++] = (struct poison_report){
				.fingerprint = r->fingerprint,
				.upstream = str_from(r->crashed[i].upstream),
				.boot = str_from(r->crashed[i].boot),
				.deaths = r->deaths,
			};
	}
	return count;
}

/* Counts deaths that the sender of a report knows of and that were never
 * reported to this process by name, so that their incarnations are unknown.
 * They matter only when they make the request poisoned, as a single death is
 * always reported by name. */
static void count_unnamed_deaths(struct record *r, uint32_t deaths)
{
	if (deaths >= DEATHS_MAX)
		r->deaths = DEATHS_MAX;
}

/* Applies a report of a death. @return whether it changed the record */
static bool add_reported_death(struct poison *poison,
			       const struct poison_report *report,
			       int64_t now_us)
{
	struct record *r = ensure_record(poison, report->fingerprint, now_us);
	uint32_t known = r->deaths;

	add_death(r, report->upstream, report->boot, now_us);
	count_unnamed_deaths(r, report->deaths);
	return r->deaths != known;
}

bool poison_apply_report(struct poison *poison,
			 const struct poison_report *report, int64_t now_us)
{
	struct record *r;
	uint32_t known;

	if (report->deaths)
		return add_reported_death(poison, report, now_us);
	r = find_record(poison, report->fingerprint, now_us);
	if (!r)
		return false;
	known = r->deaths;
	if (report->upstream.len)
		remove_death(r, report->upstream, report->boot);
	else if (r->deaths < DEATHS_MAX)
		r->deaths = 0;
	if (r->deaths == known)
		return false;
	if (!r->deaths)
		g_hash_table_remove(poison->records, &report->fingerprint);
	return true;
}
