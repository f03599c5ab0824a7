/* The rule OWNER. */
#include "rules_impl.h"

/* Grants that arrive so soon after their sender was resumed or a link works
 * again don't count. */
#define THAW_US ((int64_t)3 * G_USEC_PER_SEC / 10)

/* Longest time for which two upstreams may hold a key. */
#define OVERLAP_US ((int64_t)G_USEC_PER_SEC / 2)

/* The last holder of a key. */
struct holder {
	int upstream;
	guint64 fence;
	int64_t until_us;
	/** The holder before, which still held the key when it moved; -1: none.
	 * Since when and until when it holds the key, too, and which of the two
	 * have begun a request on it since: bit 0 the holder, bit 1 the one
	 * before. */
	int other;
	int64_t moved_us, other_until_us;
	unsigned int begun;
};

/* Returns whether a grant may have been held up on its way. */
static bool is_late_grant(const struct rules *rules, const struct grant *grant)
{
	guint i;

	for (i = 0; i < rules->disruptions->len; i++) {
		const struct disruption *d = &g_array_index(
			rules->disruptions, struct disruption, i);

		if ((d->kind == RULES_FROZEN ||
		     ((d->kind == RULES_UPSTREAM_LINK ||
		       d->kind == RULES_UPSTREAM_DELAY) &&
		      d->place == grant->upstream)) &&
		    d->until_us <= grant->at_us &&
		    d->until_us >= grant->at_us - THAW_US)
			return true;
	}
	return false;
}

/* Ends the time in which two upstreams hold a key, if there is one.
 *
 * @return whether it was too long */
static bool end_overlap(struct holder *h, int64_t now_us)
{
	int64_t end_us = MIN(now_us, MIN(h->until_us, h->other_until_us));
	bool overlap = h->other >= 0;

	h->other = -1;
	return overlap && end_us > h->moved_us + OVERLAP_US;
}

/* Carries out a grant of one key.
 *
 * @return false when its fencing token isn't above that of another holder */
static bool grant_key(struct holder *h, const struct grant *grant)
{
	bool moved = h->upstream != (int)grant->upstream;
	bool rises =
		grant->fence > h->fence || (!moved && grant->fence == h->fence);

	if (moved) {
		h->other = h->until_us > grant->at_us ? h->upstream : -1;
		h->other_until_us = h->until_us;
		h->moved_us = grant->at_us;
		h->begun = 0;
		h->upstream = (int)grant->upstream;
	}
	h->until_us = grant->at_us + grant->hold_us;
	h->fence = MAX(h->fence, grant->fence);
	return rises;
}

static void report_overlap(struct rules *rules, int64_t until_us)
{
	rules_violation(rules,
			"OWNER: two upstreams held the same keys for over "
			"half a second, until %.3f at the latest",
			(double)until_us / G_USEC_PER_SEC);
}

static void apply_grant(struct rules *rules, struct holder *holders,
			const struct grant *grant)
{
	bool late = is_late_grant(rules, grant);
	bool rises = true, overlap = false;
	int k;

	for (k = grant->from; k <= grant->to; k++) {
		struct holder *h = &holders[k];
		bool holds = h->upstream == (int)grant->upstream;

		if (grant->kind == GRANT
			    ? !holds
			    : holds || h->other == (int)grant->upstream)
			overlap = end_overlap(h, grant->at_us) || overlap;
		if (grant->kind == GRANT)
			rises = grant_key(h, grant) && rises;
		else if (holds)
			h->until_us = 0;
		/* A new life takes the key with a higher token. */
		if (grant->kind == START && holds)
			h->upstream = -1;
		if (late)
			h->other = -1;
	}
	if (overlap)
		report_overlap(rules, grant->at_us);
	if (!rises && !late)
		rules_violation(
			rules,
			"OWNER: upstream %u got keys %d to %d at %.3f with "
			"fencing token %" G_GUINT64_FORMAT
			", which isn't above those of others",
			grant->upstream, grant->from, grant->to,
			(double)grant->at_us / G_USEC_PER_SEC, grant->fence);
}

static void begin_on_key(struct rules *rules, struct holder *h,
			 const struct arrival *a)
{
	if (h->other < 0 || h->other_until_us < a->at_us)
		return;
	if (h->upstream == (int)a->upstream)
		h->begun |= 1;
	else if (h->other == (int)a->upstream)
		h->begun |= 2;
	if (h->begun != 3)
		return;
	h->other = -1;
	rules_violation(
		rules,
		"OWNER: upstream %u began request %s at %.3f on key %d, "
		"which another holds and began requests on, too",
		a->upstream, a->request ? a->request->id : "?",
		(double)a->at_us / G_USEC_PER_SEC, a->key);
}

void rules_check_owner(struct rules *rules)
{
	struct holder *holders = g_new0(struct holder, KEYS);
	int keyed = rules_service(rules, "keyed");
	int64_t end_us = g_get_monotonic_time();
	bool overlap = false;
	guint i, next = 0;

	for (i = 0; i < KEYS; i++)
		holders[i].upstream = holders[i].other = -1;
	for (i = 0; i < rules->arrivals->len; i++) {
		const struct arrival *a =
			&g_array_index(rules->arrivals, struct arrival, i);

		while (next < rules->grants->len &&
		       g_array_index(rules->grants, struct grant, next).at_us <=
			       a->at_us)
			apply_grant(rules, holders,
				    &g_array_index(rules->grants, struct grant,
						   next++));
		if (a->service == keyed && a->executed)
			begin_on_key(rules, &holders[a->key], a);
	}
	for (i = 0; i < KEYS && !overlap; i++)
		overlap = end_overlap(&holders[i], end_us);
	if (overlap)
		report_overlap(rules, end_us);
	g_free(holders);
}
