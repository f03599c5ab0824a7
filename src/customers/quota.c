#include "customers/quota.h"

#include <math.h>
#include <string.h>

/* Requests are admitted so that they use up the level of an account within this
 * time, in seconds. It is longer than the time in which the VMs learn of what
 * they all sent, which is up to 0.6 s with 82 VMs: an interval of reports, one
 * of accounts, and two messages. */
#define HORIZON_S 1.0
/* Time constant of the smoothed rate of wanted requests, in seconds. A longer
 * one notices a jump later, a shorter one takes the chance of a few requests
 * for one. */
#define WANTED_SMOOTH_S 0.3
/* Part of the allowed overshoot by which the level may exceed the burst. */
#define LEVEL_OVERSHOOT_PART 0.25
/* An account is listed while less is available than this many times what is
 * wanted, or while its level is below this part of the highest. */
#define FULL_WANTED_FACTOR 1.5
#define FULL_LEVEL_PART 0.5
/* Bounds of Retry-After, in seconds, and the range in which refused requests
 * are spread so that they don't return at once. */
#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 5.0
#define RETRY_SPREAD_S 0.5

/* Returns the number of requests that a bound allows beyond rate and burst. */
static double overshoot_of(const struct quota_limit *limit,
			   const struct quota_bounds *bounds)
{
	return bounds->overshoot *
		       (limit->per_s * bounds->window_s + limit->burst) +
	       bounds->slack;
}

static double part_s(const struct quota_bounds *bounds)
{
	return bounds->window_s / QUOTA_WINDOW_PARTS;
}

/* Forgets the requests that have left the window. */
static void log_advance(struct quota_log *log,
			const struct quota_bounds *bounds, double now_s)
{
	uint64_t part = (uint64_t)(now_s / part_s(bounds));

	if (part > log->part + QUOTA_WINDOW_PARTS) {
		memset(log->counts, 0, sizeof(log->counts));
		log->part = part;
	}
	while (log->part < part) {
		log->part++;
		log->counts[log->part % (QUOTA_WINDOW_PARTS + 1)] = 0;
	}
}

/* Returns the number of requests in the window that ends now. */
static unsigned int log_count(const struct quota_log *log,
			      const struct quota_bounds *bounds, double now_s)
{
	uint64_t part = (uint64_t)(now_s / part_s(bounds));
	unsigned int count = 0;
	uint64_t i;

	for (i = 0; i <= QUOTA_WINDOW_PARTS && i <= log->part; i++)
		if (log->part - i + QUOTA_WINDOW_PARTS >= part)
			count += log->counts[(log->part - i) %
					     (QUOTA_WINDOW_PARTS + 1)];
	return count;
}

/*
 * Decides without accounts. Each VM has slots of one request at equal distances
 * of the number of VMs divided by the rate, and may send as many requests in a
 * window as slots begin in it. The slots of all VMs are spread evenly, because
 * each VM has another phase, and follow from the time alone, so that a freeze
 * or a restart gains none.
 */
static bool share_admits(const struct quota *quota,
			 const struct quota_view *view, double now_s,
			 double *retry_after_s)
{
	unsigned int vms = view->vms ? view->vms : QUOTA_VMS_UNKNOWN;
	double distance_s = vms / quota->limit.per_s;
	double age_s = fmax(now_s - view->share_since_s, 0);
	double before_s = fmax(age_s - view->bounds.window_s, 0);
	double begun = floor(age_s / distance_s + quota->phase);
	double slots = begun - floor(before_s / distance_s + quota->phase);

	if (log_count(&quota->sent, &view->bounds, now_s) < slots)
		return true;
	*retry_after_s = (begun + 1 - quota->phase) * distance_s - age_s;
	return false;
}

/* Decides by the account: all requests share what is available. */
static bool account_admits(const struct quota *quota, double random,
			   double *retry_after_s)
{
	double level = quota->level - quota->sent_since_account;
	double per_s = quota->limit.per_s;

	if (rate_account_draw(level + per_s * HORIZON_S,
			      quota->wanted_per_s * HORIZON_S, random))
		return true;
	*retry_after_s = fmax(-level / per_s, 0) + random * RETRY_SPREAD_S;
	return false;
}

bool quota_admits(const struct quota *quota, const struct quota_view *view,
		  double random, double now_s, double *retry_after_s)
{
	bool admitted;

	if (quota->limit.per_s <= 0)
		return true;
	if (!view->has_accounts)
		admitted = share_admits(quota, view, now_s, retry_after_s);
	else if (!quota->listed)
		return true;
	else
		admitted = account_admits(quota, random, retry_after_s);
	if (!admitted)
		*retry_after_s =
			fmin(fmax(*retry_after_s, RETRY_MIN_S), RETRY_MAX_S);
	return admitted;
}

void quota_record_wanted(struct quota *quota)
{
	quota->unreported_wanted++;
}

void quota_record_send(struct quota *quota, const struct quota_view *view,
		       double now_s)
{
	uint16_t *count;

	log_advance(&quota->sent, &view->bounds, now_s);
	count = &quota->sent
			 .counts[quota->sent.part % (QUOTA_WINDOW_PARTS + 1)];
	if (*count < UINT16_MAX)
		++*count;
	quota->unreported_sent++;
	quota->sent_since_account++;
}

void quota_apply_account(struct quota *quota,
			 const struct rate_account *account)
{
	quota->listed = account != NULL;
	quota->sent_since_account = quota->unreported_sent;
	if (!account)
		return;
	quota->level = account->level;
	quota->wanted_per_s = account->wanted_per_s;
}

struct rate_terms quota_terms(const struct quota_limit *limit,
			      const struct quota_bounds *bounds, double share)
{
	return (struct rate_terms){
		.per_s = limit->per_s * share,
		/* What was sent earlier than a window ago doesn't count. */
		.level_min = -limit->per_s * bounds->window_s,
		.level_max = limit->burst +
			     overshoot_of(limit, bounds) * LEVEL_OVERSHOOT_PART,
		.smooth_s = WANTED_SMOOTH_S,
	};
}

bool quota_account_is_full(const struct rate_account *account,
			   const struct rate_terms *terms)
{
	return account->level >= terms->level_max * FULL_LEVEL_PART &&
	       account->level + terms->per_s * HORIZON_S >=
		       account->wanted_per_s * HORIZON_S * FULL_WANTED_FACTOR;
}
