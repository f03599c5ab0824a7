/* The rules CONFIG, DENIED and DRAIN. */
#include "rules_impl.h"

/* From the acknowledgement of a change to its effect. */
#define CONFIG_APPLY_US ((int64_t)2 * G_USEC_PER_SEC)
#define DRAIN_US ((int64_t)2 * G_USEC_PER_SEC)
/* From the first effect of a version at a VM to the last one of another. */
#define ROLLBACK_SLACK_US ((int64_t)G_USEC_PER_SEC / 4)
/* Refusals of routes of all configurations that VMs that aren't in touch may
 * send. */
#define DENIED_OUT_OF_TOUCH 10

/* What a VM has done with a request: handed it to a service or refused it. */
struct outcome {
	const struct rules_request *request;
	int service;
	int64_t at_us;
};

/* The oldest version that a VM can have had when it had an effect. */
struct effect {
	/** When it was seen, and when its request was sent. */
	int64_t at_us, sent_us;
	guint version;
};

/* --- CONFIG --- */

static const struct rules_config *config_at(const struct rules *rules, guint i)
{
	return &g_array_index(rules->configs, struct rules_config, i);
}

/* Returns the oldest version from one on that was sent before an outcome and
 * allows it, or the number of versions. */
static guint allowed_by(const struct rules *rules,
			const struct outcome *outcome, guint from)
{
	guint i;

	for (i = from; i < rules->configs->len; i++) {
		const struct rules_config *config = config_at(rules, i);

		if (config->sent_us > outcome->at_us)
			break;
		if (config->services[outcome->request->route] ==
		    outcome->service)
			return i;
	}
	return rules->configs->len;
}

/* Returns the oldest version that may be in force at a VM in touch. */
static guint oldest_in_force(const struct rules *rules, int64_t at_us)
{
	guint i = rules->configs->len;

	while (i > 0 &&
	       config_at(rules, i - 1)->acked_us > at_us - CONFIG_APPLY_US)
		i--;
	return i ? i - 1 : 0;
}

static int compare_outcomes(gconstpointer a, gconstpointer b)
{
	const struct outcome *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Returns an array of struct outcome, in the order of time. */
static GArray *list_outcomes(const struct rules *rules)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	guint i;

	for (i = 0; i < rules->arrivals->len; i++) {
		const struct arrival *a =
			&g_array_index(rules->arrivals, struct arrival, i);
		struct outcome o = { a->request, a->service, a->at_us };

		if (a->request && a->executed)
			g_array_append_val(list, o);
	}
	for (i = 0; i < rules->requests->len; i++) {
		const struct rules_request *r = rules->requests->pdata[i];
		struct outcome o = { r, RULES_NO_ROUTE, r->ended_us };

		if (r->status == 404 && r->own)
			g_array_append_val(list, o);
	}
	g_array_sort(list, compare_outcomes);
	return list;
}

/* Returns the newest version that had an effect at a VM before a moment, in the
 * life of its process at that moment. */
static guint known_version(const struct rules *rules, const GArray *effects,
			   unsigned int vm, int64_t at_us)
{
	int64_t born_us = 0;
	guint i, version = 0;

	for (i = 0; i < rules->disruptions->len; i++) {
		const struct disruption *d = &g_array_index(
			rules->disruptions, struct disruption, i);

		if (d->kind == RULES_STOPPED && d->place == vm &&
		    d->from_us <= at_us)
			born_us = MAX(born_us, MIN(d->until_us, at_us));
	}
	for (i = 0; i < effects->len; i++) {
		const struct effect *e =
			&g_array_index(effects, struct effect, i);

		if (e->sent_us >= born_us &&
		    e->at_us < at_us - ROLLBACK_SLACK_US)
			version = MAX(version, e->version);
	}
	return version;
}

/* Checks an outcome, and records the effect of a version. */
static void check_outcome(struct rules *rules, GArray *effects,
			  const struct outcome *o)
{
	const struct rules_request *r = o->request;
	guint known = known_version(rules, effects, r->vm, r->sent_us);
	bool bound = rules_in_touch(rules, r->vm, r->sent_us, o->at_us);
	guint due = bound ? oldest_in_force(rules, r->sent_us) : 0;
	guint version = allowed_by(rules, o, MAX(known, due));
	struct effect effect = { o->at_us, r->sent_us, version };

	rules->counts.all++;
	rules->counts.in_touch += bound;
	if (version == rules->configs->len) {
		version = allowed_by(rules, o, 0);
		rules_violation(
			rules,
			"CONFIG: VM %u %s%s request %s on route %u, sent %.3f "
			"handled %.3f, as version %d allows; due was %u, "
			"known %u",
			r->vm,
			o->service < 0 ? "refused"
				       : rules->services[o->service],
			o->service < 0 ? "" : " ran", r->id, r->route,
			(double)r->sent_us / G_USEC_PER_SEC,
			(double)o->at_us / G_USEC_PER_SEC,
			version == rules->configs->len ? -1 : (int)version, due,
			known);
		return;
	}
	if (o->service >= 0 && version > known)
		g_array_append_val(effects, effect);
}

void rules_check_config(struct rules *rules)
{
	GArray *effects[RULES_VMS];
	GArray *outcomes = list_outcomes(rules);
	guint i;

	for (i = 0; i < RULES_VMS; i++)
		effects[i] = g_array_new(FALSE, FALSE, sizeof(struct effect));
	for (i = 0; i < outcomes->len; i++) {
		const struct outcome *o =
			&g_array_index(outcomes, struct outcome, i);

		check_outcome(rules, effects[o->request->vm], o);
	}
	for (i = 0; i < RULES_VMS; i++)
		g_array_free(effects[i], TRUE);
	g_array_free(outcomes, TRUE);
}

/* --- DENIED --- */

static bool in_all_configs(const struct rules *rules, unsigned int route)
{
	guint i;

	for (i = 0; i < rules->configs->len; i++)
		if (config_at(rules, i)->services[route] == RULES_NO_ROUTE)
			return false;
	return true;
}

/* Checks that no proper request gets a status 3xx or 4xx of the VM's own. That
 * of a route that some configuration lacks is left to rules_check_config(). */
void rules_check_denied(struct rules *rules)
{
	unsigned int out_of_touch = 0;
	guint i;

	for (i = 0; i < rules->requests->len; i++) {
		const struct rules_request *r = rules->requests->pdata[i];
		bool always = in_all_configs(rules, r->route);

		if (!r->own || r->status < 300 || r->status >= 500 ||
		    r->status == 408 || r->status == 421 || r->status == 429 ||
		    (r->status == 404 && !always))
			continue;
		if (!rules_in_touch(rules, r->vm, r->sent_us, r->ended_us) &&
		    ++out_of_touch <= DENIED_OUT_OF_TOUCH)
			continue;
		rules_violation(
			rules,
			"DENIED: VM %u answered request %s on route %u, sent "
			"%.3f, with status %d",
			r->vm, r->id, r->route,
			(double)r->sent_us / G_USEC_PER_SEC, r->status);
	}
}

/* --- DRAIN --- */

/* Returns since when an upstream's entry says that it leaves or is gone; 0: it
 * doesn't. */
static int64_t leaving_since(const struct rules *rules, unsigned int upstream,
			     int64_t at_us)
{
	int64_t since_us = 0;
	guint i;

	for (i = 0; i < rules->entries->len; i++) {
		const struct entry *entry =
			&g_array_index(rules->entries, struct entry, i);

		if (entry->upstream != upstream || entry->at_us > at_us)
			continue;
		if (!entry->leaving)
			since_us = 0;
		else if (!since_us)
			since_us = entry->at_us;
	}
	return since_us;
}

/* Returns whether the links to the upstream may have held up a request. */
static bool is_held_up(const struct rules *rules, const struct arrival *a)
{
	int64_t from_us = a->at_us - STABLE_WINDOW_US;

	return rules_disrupted(rules, RULES_UPSTREAM_LINK, a->upstream, from_us,
			       a->at_us) ||
	       rules_disrupted(rules, RULES_UPSTREAM_DELAY, a->upstream,
			       from_us, a->at_us);
}

void rules_check_drain(struct rules *rules)
{
	guint i;

	for (i = 0; i < rules->arrivals->len; i++) {
		const struct arrival *a =
			&g_array_index(rules->arrivals, struct arrival, i);
		int64_t since_us = leaving_since(rules, a->upstream, a->at_us);

		if (!a->request || !since_us ||
		    a->at_us <= since_us + DRAIN_US ||
		    rules_disrupted(rules, RULES_STORE, 0,
				    since_us - STABLE_WINDOW_US, since_us) ||
		    is_held_up(rules, a) ||
		    !rules_in_touch(rules, a->request->vm, a->request->sent_us,
				    a->at_us))
			continue;
		rules_violation(
			rules,
			"DRAIN: VM %u sent request %s to upstream %u at "
			"%.3f, which leaves since %.3f",
			a->request->vm, a->request->id, a->upstream,
			(double)a->at_us / G_USEC_PER_SEC,
			(double)since_us / G_USEC_PER_SEC);
	}
}
