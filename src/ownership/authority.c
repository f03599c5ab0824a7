#include "ownership/authority.h"

/** The clocks of two processes differ in rate by less than 1/25, that is, 4%.
 */
#define CLOCK_RATE_PART 25

/** Returns one value of an upstream's record, for majority(). */
typedef int64_t (*value_fn)(const struct coordinator *c,
			    const struct cell_upstream *u);

/* Orders int64_t values for qsort(), the highest first. */
static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* Whether an upstream is left out of the majority: it is unlisted, and an
 * operator declared all unlisted upstreams gone, see
 * coordinator_ignore_unlisted(). */
static bool is_ignored(const struct coordinator *c,
		       const struct cell_upstream *u)
{
	return !u->listed && coordinator_now(c) < c->ignore_unlisted_until_us;
}

/* The highest value that a majority of the set reaches or exceeds. */
static int64_t majority_of_set(const struct coordinator *c,
			       const GPtrArray *set, value_fn value)
{
	int64_t *values = g_newa(int64_t, set->len + 1);
	size_t i, count = 0;

	for (i = 0; i < set->len; i++) {
		const struct cell_upstream *u = g_ptr_array_index(set, i);

		if (!is_ignored(c, u))
			values[count++] = value(c, u);
	}
	if (!count)
		return NEVER_US;
	qsort(values, count, sizeof(*values), compare_descending);
	return values[count / 2];
}

/* The highest value that a majority of the acceptors reaches. While the set of
 * acceptors changes, a majority of each set has to reach it. */
static int64_t majority(const struct coordinator *c, value_fn value)
{
	int64_t current = majority_of_set(c, c->acceptors, value);
	int64_t previous;

	if (!c->old_acceptors)
		return current;
	previous = majority_of_set(c, c->old_acceptors, value);
	return MIN(current, previous);
}

/* Whether an upstream knows a newer epoch than the row's. Such an upstream
 * can't confirm this row, as the newer one may be in use. */
static bool knows_newer_epoch(const struct coordinator *c,
			      const struct cell_upstream *u)
{
	return c->fault != COORDINATOR_FAULT_IGNORE_EPOCH && c->map &&
	       u->epoch > slice_map_epoch(c->map);
}

/* When authority that an upstream confirms begins: the sending time of the
 * newest order with which it accepted a ballot of this term. */
static int64_t value_accepted(const struct coordinator *c,
			      const struct cell_upstream *u)
{
	(void)c;
	return u->confirmed_us;
}

/* As value_accepted(), for an upstream that also confirms our row. */
static int64_t value_confirmed(const struct coordinator *c,
			       const struct cell_upstream *u)
{
	return knows_newer_epoch(c, u) ? NEVER_US : value_accepted(c, u);
}

/* As value_accepted(), for an upstream that accepted the current ballot. */
static int64_t value_current_ballot(const struct coordinator *c,
				    const struct cell_upstream *u)
{
	return ballot_compare(u->ballot, c->ballot) ? NEVER_US
						    : u->confirmed_us;
}

/* The highest epoch that an upstream is known to remember. */
static int64_t value_epoch(const struct coordinator *c,
			   const struct cell_upstream *u)
{
	(void)c;
	return u->confirmed_us == NEVER_US ? 0 : (int64_t)u->epoch;
}

/* 1 if an upstream confirms that no newer row is in use: it accepted the ballot
 * and would remember a newer epoch, as it has been up since before the row was
 * last read, even by the slowest clock. Else 0. */
static int64_t value_row_current(const struct coordinator *c,
				 const struct cell_upstream *u)
{
	int64_t up_us = u->up_us - u->up_us / CLOCK_RATE_PART;

	return ballot_compare(u->ballot, c->ballot) == 0 &&
	       !knows_newer_epoch(c, u) && u->confirmed_us != NEVER_US &&
	       c->row_read_us != NEVER_US &&
	       up_us > u->clock_at_us - c->row_read_us;
}

static int64_t ballot_until_us(const struct coordinator *c)
{
	/* While the row is read again, accepting the ballot is enough. */
	bool leading = c->phase == COORDINATOR_LEADING;
	int64_t confirmed_us =
		majority(c, leading ? value_confirmed : value_accepted);

	return confirmed_us == NEVER_US ? NEVER_US
					: confirmed_us + c->timing.authority_us;
}

static bool ballot_won(const struct coordinator *c, int64_t now)
{
	int64_t confirmed_us = majority(c, value_current_ballot);

	return confirmed_us != NEVER_US &&
	       now < confirmed_us + c->timing.authority_us;
}

static uint64_t ballot_settled_epoch(const struct coordinator *c)
{
	int64_t epoch = majority(c, value_epoch);

	return epoch > 0 ? (uint64_t)epoch : 0;
}

static bool ballot_row_current(const struct coordinator *c)
{
	if (!c->map)
		return false;
	if (c->fault == COORDINATOR_FAULT_IGNORE_EPOCH)
		return true;
	if (c->row_read_us != NEVER_US && c->row_read_us >= c->won_us)
		return true;
	return majority(c, value_row_current) > 0;
}

static int64_t ballot_grants_end_us(const struct coordinator *c, int64_t won_us)
{
	if (c->fault == COORDINATOR_FAULT_SKIP_WAIT)
		return won_us;
	return won_us + c->timing.authority_us + c->timing.grant_us +
	       coordinator_margin(c);
}

static const struct authority_ops ballot_ops = {
	.until_us = ballot_until_us,
	.won = ballot_won,
	.settled_epoch = ballot_settled_epoch,
	.row_current = ballot_row_current,
	.grants_end_us = ballot_grants_end_us,
};

/* A read that returned our own row confirms authority: the row's attempt names
 * the process that wrote it. */
static int64_t table_until_us(const struct coordinator *c)
{
	return c->own_read_us == NEVER_US
		       ? NEVER_US
		       : c->own_read_us + c->timing.authority_us;
}

/* The ballot wins once a full period of authority has passed since our row was
 * written: by then the authority of the previous coordinator has expired. */
static bool table_won(const struct coordinator *c, int64_t now)
{
	return c->own_read_us != NEVER_US && c->won_us != NEVER_US &&
	       now >= c->won_us;
}

static uint64_t table_settled_epoch(const struct coordinator *c)
{
	return c->map ? slice_map_epoch(c->map) : 0;
}

static bool table_row_current(const struct coordinator *c)
{
	return c->map && c->own_read_us != NEVER_US;
}

/* Upstreams that don't check grants serve their slices without a time limit, so
 * their grants never expire. */
static int64_t table_grants_end_us(const struct coordinator *c, int64_t won_us)
{
	(void)c;
	(void)won_us;
	return INT64_MAX;
}

static const struct authority_ops table_ops = {
	.until_us = table_until_us,
	.won = table_won,
	.settled_epoch = table_settled_epoch,
	.row_current = table_row_current,
	.grants_end_us = table_grants_end_us,
};

const struct authority_ops *authority_of(const struct coordinator *c)
{
	return c->unfenced ? &table_ops : &ballot_ops;
}

bool authority_held(const struct coordinator *c, int64_t now)
{
	int64_t until;

	if (c->phase != COORDINATOR_LEADING && c->phase != COORDINATOR_READING)
		return false;
	if (c->fault == COORDINATOR_FAULT_NO_EXPIRY)
		return true;
	until = authority_of(c)->until_us(c);
	return until != NEVER_US && now < until;
}

bool authority_counts(const struct coordinator *c, int64_t up_us)
{
	if (c->fault == COORDINATOR_FAULT_COUNT_RESTARTED)
		return true;
	return up_us >= c->timing.authority_us + coordinator_margin(c);
}

size_t authority_accepted(const struct coordinator *c, int64_t now)
{
	size_t i, count = 0;

	for (i = 0; i < c->acceptors->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->acceptors, i);

		count += u->confirmed_us != NEVER_US &&
			 now < u->confirmed_us + c->timing.authority_us;
	}
	return count;
}

bool authority_refused(const struct coordinator *c)
{
	size_t i, refused = 0;

	for (i = 0; i < c->acceptors->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->acceptors, i);

		refused += u->refused;
	}
	return refused >= (c->acceptors->len + 1) / 2;
}

void authority_new_ballot(struct coordinator *c)
{
	size_t i;

	c->highest_number++;
	c->ballot.number = c->highest_number;
	c->ballot.daemon = c->daemon_number;
	c->won = false;
	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		u->refused = false;
		u->next_order_us = NEVER_US;
	}
}

void authority_reset(struct coordinator *c)
{
	size_t i;

	c->won = false;
	c->won_us = NEVER_US;
	c->own_read_us = NEVER_US;
	c->ballot = (struct ballot){ 0 };
	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		u->ballot = (struct ballot){ 0 };
		u->confirmed_us = NEVER_US;
		u->epoch = 0;
		u->refused = false;
		u->released_epoch = 0;
		u->awaiting_reply = false;
	}
}

void authority_won(struct coordinator *c, int64_t now)
{
	int64_t end = authority_of(c)->grants_end_us(c, now);
	size_t i;

	c->won = true;
	c->won_us = now;
	for (i = 0; i < c->upstreams->len; i++) {
		struct cell_upstream *u = g_ptr_array_index(c->upstreams, i);

		u->released_epoch = 0;
		u->held_until_us = MAX(u->held_until_us, end);
		if (c->fault == COORDINATOR_FAULT_SKIP_WAIT)
			u->held_until_us = end;
	}
}
