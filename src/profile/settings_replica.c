#include "profile/settings_replica.h"

#include <glib.h>

#include "base/clock.h"
#include "base/planted.h"
#include "profile/settings.h"

/* The poll interval is multiplied by a random factor from this to 1. */
#define POLL_JITTER_MIN 0.75

struct settings_replica {
	const struct settings_replica_ops *ops;
	void *ctx;
	GRand *rng;
	/* The settings in force, and their JSON; NULL and "" before any came
	 * into force. */
	struct settings *settings;
	GString *json;
	/* Highest version that a peer reported, and the id of the last peer
	 * that reported that version. */
	uint64_t known_version;
	char *newest_peer;
	/* While the version in force is below known_version: until when new
	 * work may be taken. */
	int64_t behind_until_us;
	/* While behind: time of the next pull from newest_peer. */
	int64_t pull_due_us;
	/* A table read is in progress. */
	bool reading;
	/* Start of the latest table read. */
	int64_t read_started_us;
	/* Start of the last read that confirmed the version in force. */
	int64_t confirmed_us;
	/* Time of the next table read. */
	int64_t poll_due_us;
	/* Number of daemons that share the read budget. */
	size_t daemons;
	/* Until when contact with peers keeps the replica valid. */
	int64_t contact_until_us;
	/* See settings_replica_stale_reads(). */
	uint64_t stale_reads;
};

struct settings_replica *
settings_replica_create(const struct settings_replica_ops *ops, void *ctx,
			uint32_t seed, int64_t now_us)
{
	struct settings_replica *s = g_new0(struct settings_replica, 1);

	s->ops = ops;
	s->ctx = ctx;
	s->rng = g_rand_new_with_seed(seed);
	s->json = g_string_new(NULL);
	/* No read has confirmed the replica, so its validity is over. */
	s->confirmed_us = now_us - SETTINGS_REPLICA_READ_VALID_US;
	s->poll_due_us = now_us;
	return s;
}

void settings_replica_destroy(struct settings_replica *s)
{
	if (!s)
		return;
	settings_destroy(s->settings);
	g_string_free(s->json, TRUE);
	g_rand_free(s->rng);
	g_free(s->newest_peer);
	g_free(s);
}

const struct settings *
settings_replica_current(const struct settings_replica *s)
{
	return s->settings;
}

uint64_t settings_replica_version(const struct settings_replica *s)
{
	return s->settings ? s->settings->version : 0;
}

struct str settings_replica_json(const struct settings_replica *s)
{
	return (struct str){ s->json->str, s->json->len };
}

uint64_t settings_replica_stale_reads(const struct settings_replica *s)
{
	return s->stale_reads;
}

/* Tells whether a peer reported a higher version than the one in force. */
static bool is_behind(const struct settings_replica *s)
{
	return s->known_version > settings_replica_version(s);
}

int64_t settings_replica_valid_until(const struct settings_replica *s)
{
	int64_t until = MAX(s->confirmed_us + SETTINGS_REPLICA_READ_VALID_US,
			    s->contact_until_us);

	if (!s->settings)
		return 0;
	if (injected(INJECTED_SETTINGS_NEVER_STALE))
		return INT64_MAX;
	return is_behind(s) ? s->behind_until_us : until;
}

bool settings_replica_ready(const struct settings_replica *s, int64_t now_us,
			    const char **why)
{
	const char *reason = NULL;

	if (!s->settings)
		reason = "no settings so far";
	else if (now_us >= settings_replica_valid_until(s))
		reason = is_behind(s) ? "a newer version of the settings is "
					"known but not yet received"
				      : "neither the table nor half of the "
					"peers can be reached";
	if (reason && why)
		*why = reason;
	return !reason;
}

void settings_replica_set_contact(struct settings_replica *s, size_t daemons,
				  int64_t contact_until_us)
{
	s->daemons = daemons;
	s->contact_until_us = contact_until_us;
}

/* Returns the time to the next poll. With contact to peers, the daemons share
 * the read budget; without, each polls at the full rate. */
static int64_t poll_interval_us(struct settings_replica *s, int64_t now_us)
{
	int64_t shared = (int64_t)s->daemons * US_PER_SECOND /
			 SETTINGS_REPLICA_READS_PER_SECOND;
	int64_t interval = SETTINGS_REPLICA_POLL_US;

	if (now_us < s->contact_until_us && shared > interval)
		interval = shared;
	return (int64_t)((double)interval *
			 g_rand_double_range(s->rng, POLL_JITTER_MIN, 1));
}

/* Asks the peer that reported the highest version for its settings. */
static void send_pull(struct settings_replica *s, int64_t now_us)
{
	s->pull_due_us = now_us + SETTINGS_REPLICA_PULL_RETRY_US;
	s->ops->pull(s->ctx, str_from(s->newest_peer));
}

void settings_replica_tick(struct settings_replica *s, int64_t now_us)
{
	if (is_behind(s) && now_us >= s->pull_due_us)
		send_pull(s, now_us);
	if (s->reading || now_us < s->poll_due_us)
		return;
	s->reading = true;
	s->read_started_us = now_us;
	s->poll_due_us = now_us + poll_interval_us(s, now_us);
	s->ops->read_table(s->ctx);
}

void settings_replica_on_peer_version(struct settings_replica *s,
				      struct str daemon, uint64_t version,
				      int64_t now_us)
{
	bool was_behind = is_behind(s);

	if (version <= settings_replica_version(s) ||
	    version < s->known_version)
		return;
	if (!was_behind) {
		/* The heartbeat that reports a newer version must not extend
		 * the validity of the old one. */
		s->behind_until_us =
			MIN(settings_replica_valid_until(s),
			    now_us + SETTINGS_REPLICA_BEHIND_GRACE_US);
		s->pull_due_us = now_us;
	}
	s->known_version = version;
	g_free(s->newest_peer);
	s->newest_peer = str_dup(daemon);
	if (now_us >= s->pull_due_us)
		send_pull(s, now_us);
}

void settings_replica_on_pull(struct settings_replica *s, struct str daemon)
{
	if (s->settings)
		s->ops->send(s->ctx, daemon, settings_replica_version(s),
			     settings_replica_json(s));
}

/* Puts settings into force if their version is higher, else frees them. */
static void adopt(struct settings_replica *s, struct settings *offered,
		  struct str body)
{
	if (offered->version <= settings_replica_version(s) &&
	    !injected(INJECTED_SETTINGS_REVERT)) {
		settings_destroy(offered);
		return;
	}
	settings_destroy(s->settings);
	s->settings = offered;
	g_string_truncate(s->json, 0);
	g_string_append_len(s->json, body.data, (gssize)body.len);
	s->ops->in_force(s->ctx, s->settings);
}

bool settings_replica_on_peer_settings(struct settings_replica *s,
				       struct str body, int64_t now_us)
{
	struct settings *offered;

	if (str_equal(body, settings_replica_json(s)))
		return true;
	offered = settings_parse(body, NULL);
	if (!offered)
		return false;
	adopt(s, offered, body);
	if (is_behind(s))
		s->pull_due_us = now_us;
	return true;
}

/* Adopts the table's row. Returns whether it proves that the version in force
 * was the newest one at the start of the read. */
static bool adopt_row(struct settings_replica *s, struct str body)
{
	struct settings *row;
	uint64_t version;

	if (s->settings && str_equal(body, settings_replica_json(s)))
		return true;
	row = settings_parse(body, NULL);
	if (!row)
		return false;
	version = row->version;
	adopt(s, row, body);
	return version == settings_replica_version(s);
}

void settings_replica_on_table_read(struct settings_replica *s,
				    enum table_status status, struct str body,
				    int64_t now_us)
{
	int64_t started_us = s->read_started_us;
	bool confirmed;

	(void)now_us;
	s->reading = false;
	if (status != TABLE_OK && status != TABLE_ABSENT)
		return;
	confirmed = status == TABLE_OK ? adopt_row(s, body) : !s->settings;
	if (confirmed)
		s->confirmed_us = MAX(s->confirmed_us, started_us);
	else
		s->stale_reads++;
}
