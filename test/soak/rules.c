#include "rules.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "rules_impl.h"

/* Violations of a rule that are reported one by one. */
#define REPORTS_MAX 5

struct rules *rules_create(const char *const *services, int64_t start_us)
{
	struct rules *rules = g_new0(struct rules, 1);

	rules->services = services;
	rules->start_us = start_us;
	rules->disruptions =
		g_array_new(FALSE, FALSE, sizeof(struct disruption));
	rules->configs = g_array_new(FALSE, FALSE, sizeof(struct rules_config));
	rules->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	rules->entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	rules->grants = g_array_new(FALSE, FALSE, sizeof(struct grant));
	rules->requests = g_ptr_array_new_with_free_func(g_free);
	return rules;
}

void rules_destroy(struct rules *rules)
{
	g_array_free(rules->disruptions, TRUE);
	g_array_free(rules->configs, TRUE);
	g_array_free(rules->arrivals, TRUE);
	g_array_free(rules->entries, TRUE);
	g_array_free(rules->grants, TRUE);
	g_ptr_array_free(rules->requests, TRUE);
	g_free(rules);
}

static struct disruption *find_open(const struct rules *rules,
				    enum rules_disruption kind,
				    unsigned int place)
{
	guint i;

	for (i = 0; i < rules->disruptions->len; i++) {
		struct disruption *d = &g_array_index(rules->disruptions,
						      struct disruption, i);

		if (d->kind == kind && d->place == place &&
		    d->until_us == INT64_MAX)
			return d;
	}
	return NULL;
}

static void add_disruption(struct rules *rules, enum rules_disruption kind,
			   unsigned int place, int64_t now_us)
{
	struct disruption d = { kind, place, now_us, INT64_MAX };

	if (!find_open(rules, kind, place))
		g_array_append_val(rules->disruptions, d);
}

static void end_disruption(struct rules *rules, enum rules_disruption kind,
			   unsigned int place, int64_t now_us)
{
	struct disruption *d = find_open(rules, kind, place);

	if (d)
		d->until_us = now_us;
}

void rules_begin(struct rules *rules, enum rules_disruption kind,
		 unsigned int place)
{
	add_disruption(rules, kind, place, g_get_monotonic_time());
}

void rules_end(struct rules *rules, enum rules_disruption kind,
	       unsigned int place)
{
	end_disruption(rules, kind, place, g_get_monotonic_time());
}

void rules_pulse(struct rules *rules, enum rules_disruption kind,
		 unsigned int place)
{
	int64_t now_us = g_get_monotonic_time();
	struct disruption d = { kind, place, now_us, now_us };

	g_array_append_val(rules->disruptions, d);
}

void rules_add_config(struct rules *rules, const struct rules_config *config)
{
	g_array_append_vals(rules->configs, config, 1);
}

void rules_add_request(struct rules *rules, const struct rules_request *request)
{
	g_ptr_array_add(rules->requests, g_memdup2(request, sizeof(*request)));
}

/* --- what happened --- */

int rules_service(const struct rules *rules, const char *name)
{
	int i;

	for (i = 0; rules->services[i]; i++)
		if (!strcmp(rules->services[i], name))
			return i;
	return RULES_NO_ROUTE;
}

/* Reads an event of an upstream: an arrival, its entry or its keys. */
static void read_upstream_event(struct rules *rules, GHashTable *by_id,
				int64_t at_us, const char *text)
{
	struct arrival arrival = { .at_us = at_us };
	struct entry entry = { .at_us = at_us };
	struct grant grant = { .at_us = at_us };
	char service[32], id[64];
	int flag = 0;

	if (sscanf(text, "arrive %u %31s %63s %d %d", &arrival.upstream,
		   service, id, &arrival.key, &flag) == 5) {
		arrival.request = g_hash_table_lookup(by_id, id);
		arrival.service = rules_service(rules, service);
		arrival.executed = flag;
		g_array_append_val(rules->arrivals, arrival);
	} else if (sscanf(text, "entry %u %d", &entry.upstream, &flag) == 2) {
		entry.leaving = flag;
		g_array_append_val(rules->entries, entry);
	} else if (sscanf(text,
			  "grant %u %d %d %" G_GUINT64_FORMAT
			  " %" G_GINT64_FORMAT,
			  &grant.upstream, &grant.from, &grant.to, &grant.fence,
			  &grant.hold_us) == 5) {
		grant.kind = GRANT;
		g_array_append_val(rules->grants, grant);
	} else if (sscanf(text, "release %u %d %d", &grant.upstream,
			  &grant.from, &grant.to) == 3) {
		grant.kind = RELEASE;
		g_array_append_val(rules->grants, grant);
	} else if (sscanf(text, "start %u", &grant.upstream) == 1 ||
		   sscanf(text, "end %u", &grant.upstream) == 1) {
		grant.kind = START;
		grant.to = KEYS - 1;
		g_array_append_val(rules->grants, grant);
	}
}

/* Reads the events that standin-site wrote. */
static void read_events(struct rules *rules, const char *path)
{
	GHashTable *by_id = g_hash_table_new(g_str_hash, g_str_equal);
	FILE *file = fopen(path, "r");
	char line[256];
	guint i;

	if (!file)
		g_error("cannot read %s", path);
	for (i = 0; i < rules->requests->len; i++) {
		struct rules_request *request = rules->requests->pdata[i];

		g_hash_table_insert(by_id, request->id, request);
	}
	while (fgets(line, sizeof(line), file)) {
		char *text;
		int64_t at_us = g_ascii_strtoll(line, &text, 10);

		text = g_strstrip(text);
		if (!strcmp(text, "store 1"))
			add_disruption(rules, RULES_STORE, 0, at_us);
		else if (!strcmp(text, "store 0") ||
			 g_str_has_prefix(text, "restored "))
			end_disruption(rules, RULES_STORE, 0, at_us);
		else
			read_upstream_event(rules, by_id, at_us, text);
	}
	fclose(file);
	g_hash_table_destroy(by_id);
}

bool rules_disrupted(const struct rules *rules, enum rules_disruption kind,
		     unsigned int place, int64_t from_us, int64_t until_us)
{
	guint i;

	for (i = 0; i < rules->disruptions->len; i++) {
		const struct disruption *d = &g_array_index(
			rules->disruptions, struct disruption, i);

		if (d->kind == kind && d->place == place &&
		    d->from_us <= until_us && d->until_us >= from_us)
			return true;
	}
	return false;
}

bool rules_in_touch(const struct rules *rules, unsigned int vm, int64_t from_us,
		    int64_t until_us)
{
	enum rules_disruption kind;

	from_us -= STABLE_WINDOW_US;
	if (from_us < rules->start_us)
		return false;
	for (kind = RULES_STOPPED; kind <= RULES_PEER_LINK; kind++)
		if (rules_disrupted(rules, kind, vm, from_us, until_us))
			return false;
	return !rules_disrupted(rules, RULES_STORE, 0, from_us, until_us);
}

void rules_violation(struct rules *rules, const char *format, ...)
{
	va_list args;
	char *text;

	if (rules->violations++ >= REPORTS_MAX)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	rules->report(text, rules->ctx);
	g_free(text);
}

static const struct rule {
	const char *name;
	void (*check)(struct rules *rules);
} rule_table[] = {
	{ "CONFIG", rules_check_config },
	{ "DENIED", rules_check_denied },
	{ "DRAIN", rules_check_drain },
	{ "OWNER", rules_check_owner },
};

struct rules_counts rules_check(struct rules *rules, const char *events,
				rules_report_fn report, void *ctx)
{
	size_t i;

	rules->report = report;
	rules->ctx = ctx;
	read_events(rules, events);
	for (i = 0; i < G_N_ELEMENTS(rule_table); i++) {
		char *text;

		rules->violations = 0;
		rule_table[i].check(rules);
		if (rules->violations <= REPORTS_MAX)
			continue;
		text = g_strdup_printf("%s: %u violations", rule_table[i].name,
				       rules->violations);
		report(text, ctx);
		g_free(text);
	}
	return rules->counts;
}
