#include "oracle.h"

#include <stdio.h>

/* Most daemons of a fleet that can be checked. */
#define DAEMON_LIMIT 16
/* Tolerance of time limits: the state is checked only once per step. */
#define STEP_LEEWAY_US INT64_C(200000)

/* The state of one daemon at the last check. */
struct daemon_view {
	unsigned int incarnation;
	/* Settings version in force. */
	uint64_t version;
	/* Last time at which the daemon could not reach the table. */
	int64_t table_unreachable_at;
};

struct oracle {
	const struct fleet *fleet;
	/* int64_t by version - 1: when an operator was told that the version
	 * is accepted; 0 if none was. */
	GArray *accepted_at;
	/* Ids of changes that were reported as not written. */
	GHashTable *refused;
	/* Ids of changes that the table has written. */
	GHashTable *applied;
	struct daemon_view views[DAEMON_LIMIT];
	/* int64_t: times of oracle_record_fault(), ascending. */
	GArray *fault_times;
	/* Last incarnation that a daemon reported of a peer, both texts; by
	 * "index.incarnation/peer" of the daemon and the peer's id. */
	GHashTable *incarnations;
	/* See oracle_accepted(), oracle_tolerated() and oracle_rule(). */
	unsigned int accepted, tolerated;
	const char *rule;
};

void oracle_violate(struct oracle *o, const char *rule, const char *detail)
{
	if (o->rule)
		return;
	o->rule = rule;
	printf("# rule violated: %s: %s\n", rule, detail);
}

const char *oracle_rule(const struct oracle *o)
{
	return o->rule;
}

struct oracle *oracle_create(void)
{
	struct oracle *o = g_new0(struct oracle, 1);

	o->accepted_at = g_array_new(FALSE, TRUE, sizeof(int64_t));
	o->fault_times = g_array_new(FALSE, TRUE, sizeof(int64_t));
	o->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->applied =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return o;
}

void oracle_destroy(struct oracle *o)
{
	g_array_free(o->accepted_at, TRUE);
	g_array_free(o->fault_times, TRUE);
	g_hash_table_destroy(o->refused);
	g_hash_table_destroy(o->applied);
	g_hash_table_destroy(o->incarnations);
	g_free(o);
}

void oracle_watch(struct oracle *o, const struct fleet *fleet)
{
	o->fleet = fleet;
}

void oracle_record_fault(struct oracle *o)
{
	int64_t now = fleet_now(o->fleet);

	g_array_append_val(o->fault_times, now);
}

unsigned int oracle_accepted(const struct oracle *o)
{
	return o->accepted;
}

unsigned int oracle_tolerated(const struct oracle *o)
{
	return o->tolerated;
}

static void on_version_written(void *ctx, uint64_t version, const char *attempt)
{
	struct oracle *o = ctx;

	if (version != o->accepted_at->len + 1)
		oracle_violate(o, "versions grow by one", attempt);
	if (g_hash_table_contains(o->refused, attempt))
		oracle_violate(
			o, "a change reported as not written is never written",
			attempt);
	if (!g_hash_table_add(o->applied, g_strdup(attempt)))
		oracle_violate(o, "a change is written once", attempt);
	g_array_set_size(o->accepted_at, (guint)version);
}

static void on_accepted(struct oracle *o, const char *attempt, uint64_t version)
{
	const struct fleet_version *row;
	int64_t *accepted_at;

	if (!version || version > fleet_table_version(o->fleet)) {
		oracle_violate(o, "accepted means that the table holds it",
			       attempt);
		return;
	}
	row = fleet_table_at(o->fleet, version);
	if (strcmp(row->attempt, attempt) != 0)
		oracle_violate(o, "accepted means that the table holds it",
			       attempt);
	accepted_at = &g_array_index(o->accepted_at, int64_t, version - 1);
	if (!*accepted_at)
		*accepted_at = fleet_now(o->fleet);
	o->accepted++;
}

static void on_publish_ended(void *ctx, unsigned int daemon,
			     const char *attempt,
			     const struct publish_result *result)
{
	struct oracle *o = ctx;

	(void)daemon;
	if (result->outcome == PUBLISH_ACCEPTED) {
		on_accepted(o, attempt, result->version);
		return;
	}
	if (result->outcome == PUBLISH_UNKNOWN)
		return;
	if (g_hash_table_contains(o->applied, attempt))
		oracle_violate(
			o, "a change reported as not written is never written",
			attempt);
	g_hash_table_add(o->refused, g_strdup(attempt));
}

/* Checks that a daemon reports a peer as restarted only with a new incarnation,
 * and as returned only with the same incarnation. */
static void on_event(void *ctx, unsigned int daemon, enum peer_event event,
		     const struct peer *peer)
{
	struct oracle *o = ctx;
	char *key =
		g_strdup_printf("%u.%u/%s", daemon,
				fleet_incarnation(o->fleet, daemon), peer->id);
	const char *last = g_hash_table_lookup(o->incarnations, key);
	bool same = last && !strcmp(last, peer->incarnation);

	if (event == PEER_RESTARTED && same)
		oracle_violate(o, "a restart has a new incarnation", key);
	if (event == PEER_RETURNED && last && !same)
		oracle_violate(o, "a peer that returns has its old incarnation",
			       key);
	if (event == PEER_LOST || event == PEER_LEFT)
		g_free(key);
	else
		g_hash_table_insert(o->incarnations, key,
				    g_strdup(peer->incarnation));
}

const struct fleet_ops oracle_ops = { on_version_written, on_publish_ended,
				      on_event };

/* Checks that the settings in force are those of the table's version. */
static void check_content(struct oracle *o,
			  const struct settings_replica *settings_replica)
{
	uint64_t version = settings_replica_version(settings_replica);
	const struct fleet_version *row;

	if (!version)
		return;
	if (version > fleet_table_version(o->fleet)) {
		oracle_violate(o, "settings in force are in the table",
			       "ahead");
		return;
	}
	row = fleet_table_at(o->fleet, version);
	if (!str_equal(settings_replica_json(settings_replica),
		       str_from(row->json)))
		oracle_violate(o, "settings in force are in the table",
			       "other content");
}

/* Checks that the settings version of a daemon's incarnation never goes back.
 * Returns whether the version changed. */
static bool check_grows(struct oracle *o, unsigned int i,
			const struct settings_replica *settings_replica)
{
	struct daemon_view *view = &o->views[i];
	unsigned int incarnation = fleet_incarnation(o->fleet, i);
	bool changed;

	if (view->incarnation != incarnation)
		*view = (struct daemon_view){ .incarnation = incarnation };
	if (settings_replica_version(settings_replica) < view->version)
		oracle_violate(o, "a version never goes back", "");
	changed = settings_replica_version(settings_replica) != view->version;
	view->version = settings_replica_version(settings_replica);
	if (!fleet_table_reachable(o->fleet, i))
		view->table_unreachable_at = fleet_now(o->fleet);
	return changed;
}

/* Returns the highest version that all daemons must have by now, or 0 if there
 * is none, and sets the time at which it was accepted. */
static uint64_t due_version(const struct oracle *o, int64_t *accepted_at)
{
	int64_t bound =
		fleet_now(o->fleet) - ORACLE_IN_FORCE_US - STEP_LEEWAY_US;
	guint i;

	for (i = o->accepted_at->len; i > 0; i--) {
		*accepted_at = g_array_index(o->accepted_at, int64_t, i - 1);
		if (*accepted_at && *accepted_at <= bound)
			return i;
	}
	return 0;
}

/* Returns whether a fault began close to the time at which a version was
 * accepted. */
static bool fault_was_near(const struct oracle *o, int64_t accepted_at)
{
	guint i;

	for (i = 0; i < o->fault_times->len; i++) {
		int64_t at = g_array_index(o->fault_times, int64_t, i);

		if (at >= accepted_at - PEERS_CONTACT_VALID_US -
				    STEP_LEEWAY_US &&
		    at <= accepted_at + PEERS_CONTACT_VALID_US)
			return true;
	}
	return false;
}

/* Checks that a daemon that takes new work has the version that is due. A
 * daemon that can't read the table may miss a version accepted close to a
 * fault. */
static void check_in_force(struct oracle *o, unsigned int i,
			   const struct settings_replica *settings_replica)
{
	int64_t now = fleet_now(o->fleet);
	int64_t accepted_at = 0;
	uint64_t due = due_version(o, &accepted_at);
	char detail[128];

	if (settings_replica_version(settings_replica) >= due ||
	    !settings_replica_ready(settings_replica, now, NULL))
		return;
	if (o->views[i].table_unreachable_at >= accepted_at &&
	    fault_was_near(o, accepted_at)) {
		o->tolerated++;
		return;
	}
	g_snprintf(detail, sizeof(detail),
		   "daemon %u has %" G_GUINT64_FORMAT
		   " and takes work %" G_GINT64_FORMAT
		   " ms after %" G_GUINT64_FORMAT,
		   i, settings_replica_version(settings_replica),
		   (now - accepted_at) / 1000, due);
	oracle_violate(o, "in force on all that take work", detail);
}

void oracle_check(struct oracle *o)
{
	unsigned int i;

	for (i = 0; i < fleet_count(o->fleet); i++) {
		const struct settings_replica *settings_replica =
			fleet_settings_replica(o->fleet, i);

		if (!settings_replica)
			continue;
		if (check_grows(o, i, settings_replica))
			check_content(o, settings_replica);
		/* A frozen process takes no work. */
		if (!fleet_frozen_or_killed(o->fleet, i))
			check_in_force(o, i, settings_replica);
	}
}

void oracle_check_settled(struct oracle *o)
{
	unsigned int i;
	char detail[64];

	if (fleet_publishes_running(o->fleet))
		oracle_violate(o, "every publish ends", "");
	for (i = 0; i < fleet_count(o->fleet); i++) {
		const struct settings_replica *settings_replica =
			fleet_settings_replica(o->fleet, i);

		g_snprintf(detail, sizeof(detail), "daemon %u", i);
		if (settings_replica_version(settings_replica) !=
		    fleet_table_version(o->fleet))
			oracle_violate(o, "in force everywhere", detail);
		if (settings_replica_version(settings_replica) &&
		    !settings_replica_ready(settings_replica,
					    fleet_now(o->fleet), NULL))
			oracle_violate(o, "settled daemons take work", detail);
	}
}
