#include "profile/settings_replica.h"

#include <glib.h>

#include "base/clock.h"
#include "base/planted.h"
#include "profile/settings.h"

#define PART_OF_POLL_MIN 0.75

struct settings_replica {
	const struct settings_replica_ops *ops;
	void *ctx;
	GRand *rng;
	struct settings *settings;
	GString *json;
	/* Highest version that any daemon said it has, and one that has it. */
	uint64_t known_version;
	char *holder;
	/* Until when the old version may be used while behind. */
	int64_t behind_until_us;
	int64_t pull_due_us;
	/* Start of the read in progress and of the last that succeeded. */
	bool reading;
	int64_t read_begun_us;
	int64_t confirmed_us;
	int64_t poll_due_us;
	size_t daemons;
	int64_t reach_until_us;
	uint64_t regressions;
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
	g_free(s->holder);
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
	return s->regressions;
}

static bool is_behind(const struct settings_replica *s)
{
	return s->known_version > settings_replica_version(s);
}

int64_t settings_replica_valid_until(const struct settings_replica *s)
{
	int64_t until = MAX(s->confirmed_us + SETTINGS_REPLICA_READ_VALID_US,
			    s->reach_until_us);

	if (!s->settings)
		return 0;
	if (planted(PLANTED_SPREAD_ALWAYS_VALID))
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
					"known and was not received"
				      : "neither the table nor half of the "
					"peers can be reached";
	if (reason && why)
		*why = reason;
	return !reason;
}

void settings_replica_set_contact(struct settings_replica *s, size_t daemons,
				  int64_t reach_until_us)
{
	s->daemons = daemons;
	s->reach_until_us = reach_until_us;
}

static int64_t poll_interval_us(struct settings_replica *s, int64_t now_us)
{
	int64_t shared = (int64_t)s->daemons * US_PER_SECOND /
			 SETTINGS_REPLICA_READS_PER_SECOND;
	int64_t interval = SETTINGS_REPLICA_POLL_US;

	if (now_us < s->reach_until_us && shared > interval)
		interval = shared;
	return (int64_t)((double)interval *
			 g_rand_double_range(s->rng, PART_OF_POLL_MIN, 1));
}

static void pull(struct settings_replica *s, int64_t now_us)
{
	s->pull_due_us = now_us + SETTINGS_REPLICA_PULL_RETRY_US;
	s->ops->pull(s->ctx, str_from(s->holder));
}

void settings_replica_tick(struct settings_replica *s, int64_t now_us)
{
	if (is_behind(s) && now_us >= s->pull_due_us)
		pull(s, now_us);
	if (s->reading || now_us < s->poll_due_us)
		return;
	s->reading = true;
	s->read_begun_us = now_us;
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
		/* Contact that tells of a newer version does not make the
		 * old one last longer. */
		s->behind_until_us =
			MIN(settings_replica_valid_until(s),
			    now_us + SETTINGS_REPLICA_BEHIND_GRACE_US);
		s->pull_due_us = now_us;
	}
	s->known_version = version;
	g_free(s->holder);
	s->holder = str_dup(daemon);
	if (now_us >= s->pull_due_us)
		pull(s, now_us);
}

void settings_replica_on_pull(struct settings_replica *s, struct str daemon)
{
	if (s->settings)
		s->ops->send(s->ctx, daemon, settings_replica_version(s),
			     settings_replica_json(s));
}

/* Takes over what is higher than the version held. */
static void take(struct settings_replica *s, struct settings *offered,
		 struct str body)
{
	if (offered->version <= settings_replica_version(s) &&
	    !planted(PLANTED_SPREAD_REVERT)) {
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
	take(s, offered, body);
	if (is_behind(s))
		s->pull_due_us = now_us;
	return true;
}

/* Takes the row over. Returns whether it proves that nothing newer than the
 * version held existed at the start of the read. */
static bool take_row(struct settings_replica *s, struct str body)
{
	struct settings *row;
	uint64_t version;

	if (s->settings && str_equal(body, settings_replica_json(s)))
		return true;
	row = settings_parse(body, NULL);
	if (!row)
		return false;
	version = row->version;
	take(s, row, body);
	return version == settings_replica_version(s);
}

void settings_replica_on_table_read(struct settings_replica *s,
				    enum table_status status, struct str body,
				    int64_t now_us)
{
	int64_t begun_us = s->read_begun_us;
	bool confirmed;

	(void)now_us;
	s->reading = false;
	if (status != TABLE_OK && status != TABLE_ABSENT)
		return;
	confirmed = status == TABLE_OK ? take_row(s, body) : !s->settings;
	if (confirmed)
		s->confirmed_us = MAX(s->confirmed_us, begun_us);
	else
		s->regressions++;
}
