#include "balance/upstream_limit.h"

#include <math.h>

/* An upstream that takes nothing still gets this many requests per second,
 * because only an answer tells that its limit has ended. */
#define PER_S_MIN 0.25
/* An account may hold the requests of this time, in seconds, and at least
 * LEVEL_MIN. Requests come unevenly, and the rate is kept over seconds. */
#define LEVEL_S 0.6
#define LEVEL_MIN 1.0
/* Time constant of the smoothed rate of wanted requests, in seconds. */
#define WANTED_SMOOTH_S 0.5
/* Requests are admitted so that they use up the level in this many intervals
 * between two messages. A VM learns what the others sent after one or two. */
#define HORIZON_INTERVALS 4.0
/* Requests that are not admitted may wait while fewer than this many times the
 * limit are wanted. */
#define EXCEEDED_FACTOR 1.25
/* An account that is older, in seconds, is not used: the leader is lost. */
#define ACCOUNT_FRESH_S 1.0
/* Time after the last answer that named a limit, in seconds: until the account
 * must exist on the leader, and until the leader drops it. */
#define NAMED_KEEP_S 1.0
#define ACCOUNT_KEEP_S 10.0

static double rate_of(double per_s)
{
	return fmax(per_s, PER_S_MIN);
}

/* Returns what an account allows. */
static struct rate_terms terms_of(const struct limit_account *account)
{
	double rate = rate_of(account->per_s);

	return (struct rate_terms){
		.per_s = rate,
		.level_min = -HUGE_VAL,
		.level_max = fmax(rate * LEVEL_S, LEVEL_MIN),
		.smooth_s = WANTED_SMOOTH_S,
	};
}

void limit_account_name(struct limit_account *account, double per_s,
			double now_s)
{
	limit_account_update(account, now_s);
	/* A new account admits nothing until it knows how much is wanted. */
	if (!account->named_s)
		account->flow.level -= rate_of(per_s) * WANTED_SMOOTH_S;
	account->per_s = per_s;
	account->named_s = now_s;
}

void limit_account_charge(struct limit_account *account, unsigned int sent,
			  unsigned int wanted, double now_s)
{
	struct rate_terms terms = terms_of(account);

	rate_account_charge(&account->flow, &terms, sent, wanted, now_s);
}

void limit_account_update(struct limit_account *account, double now_s)
{
	struct rate_terms terms = terms_of(account);

	rate_account_update(&account->flow, &terms, now_s);
}

bool limit_account_expired(const struct limit_account *account, double now_s)
{
	return now_s > account->named_s + ACCOUNT_KEEP_S;
}

/* Starts the limit on this VM. */
static void begin_limit(struct upstream_limit *limit, double now_s)
{
	limit->limited = true;
	limit->begun_s = now_s;
	limit->account_s = 0;
	limit->sent_since_account = 0;
	limit->own_tokens_s = 0;
}

bool upstream_limit_apply_answer(struct upstream_limit *limit, double per_s,
				 double sent_s, double now_s)
{
	bool changed;

	if (per_s >= 0) {
		changed = !limit->limited || limit->per_s != per_s;
		if (!limit->limited)
			begin_limit(limit, now_s);
		limit->per_s = per_s;
		limit->named_s = now_s;
		limit->unreported_named = true;
		limit->unreported_end = false;
		return changed;
	}
	/* An answer that was overtaken by one that names the limit says nothing
	 * about its end. */
	if (!limit->limited || sent_s <= fmax(limit->named_s, limit->begun_s))
		return false;
	limit->limited = false;
	limit->unreported_named = false;
	limit->unreported_end = true;
	return true;
}

void upstream_limit_apply_account(struct upstream_limit *limit,
				  const struct limit_account *account,
				  double now_s)
{
	if (limit->unreported_end)
		return;
	if (!limit->limited)
		begin_limit(limit, now_s);
	limit->per_s = account->per_s;
	limit->level = account->flow.level;
	limit->wanted_per_s = account->flow.wanted_per_s;
	limit->account_s = now_s;
	limit->sent_since_account = limit->unreported_sent;
	limit->own_tokens_s = 0;
}

void upstream_limit_no_account(struct upstream_limit *limit, double now_s)
{
	if (limit->limited && now_s > limit->named_s + NAMED_KEEP_S)
		limit->limited = false;
}

static bool has_account(const struct upstream_limit *limit, double now_s)
{
	return limit->account_s && now_s < limit->account_s + ACCOUNT_FRESH_S;
}

/* Decides by the account: the requests that all VMs want within the horizon
 * share the level. */
static bool draw_from_account(const struct upstream_limit *limit,
			      const struct limit_draw *draw)
{
	double level = limit->level - limit->sent_since_account;
	double wanted =
		limit->wanted_per_s * HORIZON_INTERVALS * draw->interval_s;

	return rate_account_draw(level, wanted, draw->random);
}

/* Decides without an account: this VM's equal share of the rate. */
static bool take_own_token(struct upstream_limit *limit,
			   const struct limit_draw *draw, double now_s)
{
	double rate = rate_of(limit->per_s) / draw->vms;

	/* A random start keeps the VMs from sending at the same time. */
	if (!limit->own_tokens_s) {
		limit->own_tokens = draw->random;
		limit->own_tokens_s = now_s;
	}
	limit->own_tokens = fmin(
		limit->own_tokens + rate * (now_s - limit->own_tokens_s), 1);
	limit->own_tokens_s = now_s;
	return limit->own_tokens >= 1;
}

bool upstream_limit_admits(struct upstream_limit *limit,
			   const struct limit_draw *draw, double now_s)
{
	if (!limit->limited)
		return true;
	if (draw->first)
		limit->unreported_wanted++;
	if (has_account(limit, now_s))
		return draw_from_account(limit, draw);
	return take_own_token(limit, draw, now_s);
}

bool upstream_limit_exceeded(const struct upstream_limit *limit, double now_s)
{
	return limit->limited &&
	       (!has_account(limit, now_s) ||
		limit->wanted_per_s > EXCEEDED_FACTOR * rate_of(limit->per_s));
}

void upstream_limit_record_send(struct upstream_limit *limit)
{
	if (!limit->limited)
		return;
	limit->unreported_sent++;
	limit->sent_since_account++;
	limit->own_tokens -= 1;
}
