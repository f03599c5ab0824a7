#include "profile/profile_file.h"
#include "profile/publish.h"
#include "profile/settings.h"
#include "profile/settings_replica.h"
#include "suite.h"

#include <stdlib.h>

#define DECLARED "[deployment]\nname = a\n[zone y]\n[zone z]\n[profile p]\n"
#define CHANGED DECLARED "weight = 7\n"

/* A publication on a fake table that holds the row settings/current and its
 * history. Writes of the row return the statuses that a case sets. */
struct fixture {
	struct publish *publish;
	GHashTable *rows;
	/* Table's version of the row settings/current. */
	uint64_t version;
	/* Results of the first writes of settings/current; then TABLE_OK. */
	enum table_status write_status[4];
	size_t writes;
	/* The next write of settings/current takes effect whatever status it
	 * returns. */
	bool applies_next_write;
	/* Answers of the callbacks of the same names. */
	bool fits, in_contact;
	/* Key of the read or write in progress, or NULL. */
	char *read_key;
	char *write_key;
	uint64_t if_version;
	char *write_value;
	struct publish_result result;
	char *message;
	bool done;
};

static void on_read(void *ctx, struct str key)
{
	struct fixture *f = ctx;

	g_free(f->read_key);
	f->read_key = str_dup(key);
}

static void on_write(void *ctx, struct str key, uint64_t if_version,
		     struct str value)
{
	struct fixture *f = ctx;

	g_free(f->write_key);
	g_free(f->write_value);
	f->write_key = str_dup(key);
	f->write_value = str_dup(value);
	f->if_version = if_version;
}

static bool on_fits(void *ctx, const struct settings *after, char **why)
{
	const struct fixture *f = ctx;

	(void)after;
	*why = f->fits ? NULL : g_strdup("too full");
	return f->fits;
}

static bool on_in_contact(void *ctx)
{
	const struct fixture *f = ctx;

	return f->in_contact;
}

static void on_done(void *ctx, const struct publish_result *result)
{
	struct fixture *f = ctx;

	f->done = true;
	f->result = *result;
	g_free(f->message);
	f->message = g_strdup(result->message);
}

static const struct publish_ops ops = { on_read, on_write, on_fits,
					on_in_contact, on_done };

static struct fixture *fixture_create(void)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->fits = true;
	f->in_contact = true;
	return f;
}

static void fixture_destroy(struct fixture *f)
{
	g_hash_table_destroy(f->rows);
	g_free(f->read_key);
	g_free(f->write_key);
	g_free(f->write_value);
	g_free(f->message);
	g_free(f);
}

static void answer_read(struct fixture *f, int64_t now)
{
	char *key = g_steal_pointer(&f->read_key);
	const char *value = g_hash_table_lookup(f->rows, key);

	publish_on_read(f->publish, value ? TABLE_OK : TABLE_ABSENT, f->version,
			str_from(value), now);
	g_free(key);
}

static void answer_write(struct fixture *f, int64_t now)
{
	char *key = g_steal_pointer(&f->write_key);
	bool current = !strcmp(key, PUBLISH_KEY);
	uint64_t stored_version =
		current ? f->version
			: (uint64_t)g_hash_table_contains(f->rows, key);
	enum table_status status = TABLE_OK;
	bool apply;

	if (current && f->writes < G_N_ELEMENTS(f->write_status))
		status = f->write_status[f->writes++];
	apply = status == TABLE_OK || f->applies_next_write;
	if (current && f->applies_next_write)
		f->applies_next_write = false;
	if (apply && stored_version != f->if_version) {
		status = status == TABLE_OK ? TABLE_CONFLICT : status;
		apply = false;
	}
	if (apply) {
		g_hash_table_insert(f->rows, g_strdup(key),
				    g_strdup(f->write_value));
		f->version += current;
	}
	publish_on_written(f->publish, status, now);
	g_free(key);
}

/* Publishes a change with one tick per 100 ms, until its end. */
static void run_publication(struct fixture *f, const struct change *change)
{
	int64_t now = 0;

	f->done = false;
	f->publish = publish_create(change, &ops, f, now);
	while (!f->done) {
		now += 100000;
		publish_tick(f->publish, now);
		if (f->read_key)
			answer_read(f, now);
		if (f->write_key)
			answer_write(f, now);
	}
	publish_destroy(f->publish);
}

/* Publishes declarations that are based on a version. */
static void declare(struct fixture *f, const char *text, uint64_t base)
{
	struct settings *s = profile_file_parse("t", str_from(text), NULL);
	char *attempt = g_strdup_printf("a%u", g_random_int());
	struct change change = { .kind = CHANGE_DECLARE,
				 .declared = s,
				 .base_version = base,
				 .attempt = str_from(attempt),
				 .author = STR("ana"),
				 .note = STR("why") };

	if (!s)
		abort();
	run_publication(f, &change);
	g_free(attempt);
	settings_destroy(s);
}

/* Publishes a change that takes a zone out of service or back in. */
static void publish_zone(struct fixture *f, const char *name, bool out,
			 bool force)
{
	char *attempt = g_uuid_string_random();
	struct change change = { .kind = CHANGE_ZONE,
				 .target = str_from(name),
				 .out = out,
				 .force = force,
				 .attempt = str_from(attempt) };

	run_publication(f, &change);
	g_free(attempt);
}

static void versions_grow_and_conflicts_are_reported(void)
{
	struct fixture *f = fixture_create();

	declare(f, DECLARED, 0);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_ACCEPTED);
	CU_ASSERT_EQUAL(f->result.version, 1);
	declare(f, DECLARED, 1);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_UNCHANGED);
	declare(f, CHANGED, 1);
	CU_ASSERT_EQUAL(f->result.version, 2);
	declare(f, DECLARED, 1);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_CONFLICT);
	CU_ASSERT_EQUAL(f->result.version, 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(f->message, "version 2 by ana"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f->message, "weight: 100 -> 7"));
	CU_ASSERT_TRUE(g_hash_table_contains(f->rows, "settings/history/1"));
	fixture_destroy(f);
}

static void a_rollback_publishes_a_new_version(void)
{
	struct fixture *f = fixture_create();
	struct change change = { .kind = CHANGE_ROLLBACK,
				 .to_version = 1,
				 .attempt = STR("r") };
	struct settings *s;

	declare(f, DECLARED, 0);
	declare(f, CHANGED, 1);
	publish_zone(f, "z", true, false);
	run_publication(f, &change);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_ACCEPTED);
	CU_ASSERT_EQUAL(f->result.version, 4);
	s = settings_parse(str_from(g_hash_table_lookup(f->rows, PUBLISH_KEY)),
			   NULL);
	if (!s)
		abort();
	CU_ASSERT_EQUAL(s->profiles[0].weight, 100);
	CU_ASSERT_TRUE(settings_zone_is_out(s, STR("z")));
	settings_destroy(s);
	/* A repeated request is answered with the outcome of the first. */
	run_publication(f, &change);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_ACCEPTED);
	CU_ASSERT_EQUAL(f->result.version, 4);
	CU_ASSERT_EQUAL(f->version, 4);
	change.to_version = 9;
	change.attempt = STR("r2");
	run_publication(f, &change);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_REFUSED);
	fixture_destroy(f);
}

static void zones_are_taken_out_by_the_rules(void)
{
	static const struct {
		const char *zone;
		bool out, force, fits, contact;
		enum publish_outcome outcome;
		const char *message;
	} cases[] = {
		{ "q", true, false, true, true, PUBLISH_REFUSED, "no such" },
		{ "y", false, false, true, true, PUBLISH_UNCHANGED,
		  "no change from the current" },
		{ "y", true, false, false, true, PUBLISH_REFUSED, "too full" },
		{ "y", true, false, true, false, PUBLISH_REFUSED, "contact" },
		{ "y", true, true, false, false, PUBLISH_ACCEPTED, "" },
		{ "z", true, true, true, true, PUBLISH_REFUSED, "last zone" },
		{ "y", false, false, false, true, PUBLISH_ACCEPTED, "" },
	};
	struct fixture *f = fixture_create();
	size_t i;

	publish_zone(f, "y", true, false);
	CU_ASSERT_EQUAL(f->result.outcome, PUBLISH_REFUSED);
	declare(f, DECLARED, 0);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->fits = cases[i].fits;
		f->in_contact = cases[i].contact;
		publish_zone(f, cases[i].zone, cases[i].out, cases[i].force);
		CU_ASSERT_EQUAL(f->result.outcome, cases[i].outcome);
		CU_ASSERT_PTR_NOT_NULL(strstr(f->message, cases[i].message));
	}
	fixture_destroy(f);
}

static void lost_answers_are_read_back(void)
{
	static const struct {
		enum table_status status[4];
		bool applies_next_write;
		enum publish_outcome outcome;
		uint64_t version;
	} cases[] = {
		{ { TABLE_UNKNOWN }, true, PUBLISH_ACCEPTED, 1 },
		{ { TABLE_UNKNOWN }, false, PUBLISH_ACCEPTED, 1 },
		{ { TABLE_UNAVAILABLE, TABLE_UNKNOWN },
		  false,
		  PUBLISH_ACCEPTED,
		  1 },
		{ { TABLE_CONFLICT }, true, PUBLISH_ACCEPTED, 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = fixture_create();

		memcpy(f->write_status, cases[i].status,
		       sizeof(f->write_status));
		f->applies_next_write = cases[i].applies_next_write;
		declare(f, DECLARED, 0);
		CU_ASSERT_EQUAL(f->result.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(f->result.version, cases[i].version);
		CU_ASSERT_EQUAL(f->version, 1);
		fixture_destroy(f);
	}
}

/* Counts of the callbacks that a replica made, and the last version that it put
 * into force. */
struct replica_calls {
	int reads, pulls, sends;
	uint64_t in_force;
};

static void count_read(void *ctx)
{
	((struct replica_calls *)ctx)->reads++;
}

static void count_pull(void *ctx, struct str daemon)
{
	(void)daemon;
	((struct replica_calls *)ctx)->pulls++;
}

static void count_send(void *ctx, struct str daemon, uint64_t version,
		       struct str body)
{
	(void)daemon;
	(void)version;
	(void)body;
	((struct replica_calls *)ctx)->sends++;
}

static void record_in_force(void *ctx, const struct settings *s)
{
	((struct replica_calls *)ctx)->in_force = s->version;
}

static char *json_of(uint64_t version)
{
	struct settings *s = profile_file_parse("t", STR(DECLARED), NULL);
	char *json;

	if (!s)
		abort();
	s->version = version;
	json = settings_encode(s);
	settings_destroy(s);
	return json;
}

static void settings_in_force_never_go_back(void)
{
	static const struct settings_replica_ops settings_replica_ops = {
		count_read, count_pull, count_send, record_in_force
	};
	struct replica_calls calls = { 0 };
	struct settings_replica *s = settings_replica_create(
		&settings_replica_ops, &calls, 1, 1000000);
	char *v2 = json_of(2), *v3 = json_of(3);
	const char *why = "";

	settings_replica_tick(s, 1000000);
	CU_ASSERT_EQUAL(calls.reads, 1);
	CU_ASSERT_FALSE(settings_replica_ready(s, 1000000, &why));
	CU_ASSERT_STRING_EQUAL(why, "no settings so far");
	settings_replica_on_table_read(s, TABLE_OK, str_from(v3), 1100000);
	CU_ASSERT_EQUAL(calls.in_force, 3);
	CU_ASSERT_TRUE(settings_replica_ready(s, 1100000, NULL));
	/* The validity counts from the start of the read, not from its end. */
	CU_ASSERT_EQUAL(settings_replica_valid_until(s),
			1000000 + SETTINGS_REPLICA_READ_VALID_US);
	CU_ASSERT_TRUE(
		settings_replica_on_peer_settings(s, str_from(v2), 1200000));
	CU_ASSERT_FALSE(
		settings_replica_on_peer_settings(s, STR("{"), 1200000));
	CU_ASSERT_EQUAL(settings_replica_version(s), 3);
	settings_replica_on_peer_version(s, STR("b"), 4, 1200000);
	CU_ASSERT_EQUAL(calls.pulls, 1);
	/* Contact doesn't extend the validity of a version known to be old. */
	settings_replica_set_contact(s, 12, INT64_MAX);
	CU_ASSERT_EQUAL(settings_replica_valid_until(s),
			1200000 + SETTINGS_REPLICA_BEHIND_GRACE_US);
	settings_replica_tick(s, 1200000 + SETTINGS_REPLICA_PULL_RETRY_US);
	CU_ASSERT_EQUAL(calls.pulls, 2);
	settings_replica_on_table_read(s, TABLE_UNAVAILABLE, STR(""), 1700000);
	CU_ASSERT_FALSE(settings_replica_ready(s, 1800000, &why));
	settings_replica_destroy(s);
	g_free(v2);
	g_free(v3);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "versions grow and conflicts are reported",
		  versions_grow_and_conflicts_are_reported },
		{ "a rollback publishes a new version",
		  a_rollback_publishes_a_new_version },
		{ "zones are taken out by the rules",
		  zones_are_taken_out_by_the_rules },
		{ "lost answers are read back", lost_answers_are_read_back },
		{ "settings in force never go back",
		  settings_in_force_never_go_back },
		{ 0 },
	};

	return suite_run("publish", cases);
}
