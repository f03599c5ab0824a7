/*
 * Plays the requests of customers over many VMs and a leader, in steps of
 * simulated time, and checks that each customer's requests stay within the
 * bound of its quota and how much of the quota is used.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "customers/quota_accounts.h"
#include "suite.h"

#define VMS 82
#define STEP_S 0.01
/* Interval of reports and of accounts. */
#define INTERVAL_STEPS 10
/* A message takes up to this many steps; one of LOST_ONE_OF is lost. */
#define DELAY_STEPS_MAX 20
#define LOST_ONE_OF 50
#define SLOTS (DELAY_STEPS_MAX + 1)
/* Bound of a quota: (rate x WINDOW_S + burst) x FACTOR + SLACK. */
#define WINDOW_S 5.0
#define FACTOR 1.1
#define SLACK 20.0
#define END_S 40.0
/* Time from which the use of the quota counts. */
#define SETTLE_S 5.0
#define SEEDS 6

static char *keys[] = { "k", NULL };
static const struct quota_bounds bounds = { WINDOW_S, FACTOR - 1, SLACK };

/* One case. Times of 0: it doesn't happen. */
struct row {
	const char *name;
	/** The quota. From lower_s on, the rate is lower_per_s. */
	double per_s, burst;
	double lower_s, lower_per_s;
	/** Requests as a factor of the rate, before and from surge_s on. */
	double demand, surge;
	double surge_s;
	/** No leader between these times. */
	double lost_from_s, lost_until_s;
	double lost_again_from_s, lost_again_until_s;
	/** The leader and the first cut_vms VMs don't hear each other. */
	unsigned int cut_vms;
	double cut_from_s, cut_until_s;
	/** All VMs are frozen between these times. */
	double frozen_from_s, frozen_until_s;
	/** All VMs restart then, and every restart_each_s after it. */
	double restart_s, restart_each_s;
	/** No VM ever hears another one. */
	bool deaf;
	/** Least share of what one token bucket admits that is sent. */
	double used;
};

/* Reports and accounts on their way. */
struct report {
	unsigned int sent, wanted;
};
struct news {
	bool sent, listed;
	uint64_t lease;
	struct rate_account account;
};

struct play {
	const struct row *row;
	GRand *random;
	struct metrics *metrics;
	double now_s;
	struct customers *vms[VMS];
	struct customers *leader_customers;
	struct quota_accounts *accounts;
	bool leading;
	/** Version of the leader's lease. */
	uint64_t lease;
	struct report reports[SLOTS][VMS];
	struct news news[SLOTS][VMS];
	/** Times of the requests that were sent (double). */
	GArray *sent;
	/** Requests that one token bucket admits, and its state. */
	unsigned int ideal;
	double ideal_level, ideal_s;
	/** VMs that get this second's requests. */
	unsigned int active[VMS];
	unsigned int active_count;
};

static bool within(const struct play *play, double from_s, double to_s)
{
	return play->now_s >= from_s && play->now_s < to_s;
}

static bool is_frozen(const struct play *play)
{
	return within(play, play->row->frozen_from_s,
		      play->row->frozen_until_s);
}

static bool has_leader(const struct play *play)
{
	const struct row *row = play->row;

	return !row->deaf && !is_frozen(play) &&
	       !within(play, row->lost_from_s, row->lost_until_s) &&
	       !within(play, row->lost_again_from_s, row->lost_again_until_s);
}

static bool is_cut(const struct play *play, unsigned int vm)
{
	return vm < play->row->cut_vms &&
	       within(play, play->row->cut_from_s, play->row->cut_until_s);
}

static double rate_of(const struct play *play)
{
	const struct row *row = play->row;

	return row->lower_s && play->now_s >= row->lower_s ? row->lower_per_s
							   : row->per_s;
}

static void set_config(const struct play *play, struct customers *customers)
{
	struct customer_config customer = {
		.name = "c",
		.api_keys = keys,
		.rate_per_s = rate_of(play),
		.burst = play->row->burst,
	};
	struct config config = {
		.version = rate_of(play) == play->row->per_s ? 1 : 2,
		.has_customers = true,
		.customers = &customer,
		.customer_count = 1,
	};

	customers_set_config(customers, &config);
}

static struct customers *create_customers(const struct play *play)
{
	struct customers *customers =
		customers_create(play->metrics, 2.5, &bounds, play->now_s);

	config_contact_tick(customers_contact(customers), play->now_s);
	set_config(play, customers);
	return customers;
}

static struct customer *customer_of(struct customers *customers)
{
	struct customer *customer;

	customers_identify(customers, STR("k"), true, 0, &customer);
	return customer;
}

/* Moves the demand to other VMs: a few of them get all of it, or all do. */
static void move_demand(struct play *play)
{
	unsigned int i;

	play->active_count =
		g_rand_boolean(play->random)
			? VMS
			: (unsigned int)g_rand_int_range(play->random, 3, VMS);
	for (i = 0; i < play->active_count; i++)
		play->active[i] =
			(unsigned int)g_rand_int_range(play->random, 0, VMS);
}

/* Counts a request that one token bucket for all VMs would admit. */
static void play_ideal(struct play *play)
{
	play->ideal_level =
		MIN(play->ideal_level +
			    rate_of(play) * (play->now_s - play->ideal_s),
		    MAX(play->row->burst, 1));
	play->ideal_s = play->now_s;
	if (play->ideal_level < 1)
		return;
	play->ideal_level--;
	play->ideal += play->now_s >= SETTLE_S;
}

static void play_request(struct play *play)
{
	unsigned int vm = play->active[g_rand_int_range(
		play->random, 0, (gint32)play->active_count)];
	struct customers *customers = play->vms[vm];
	struct customer *customer = customer_of(customers);
	double retry_after_s = 0;

	play_ideal(play);
	if (customers_admit(customers, customer, g_rand_double(play->random),
			    play->now_s, &retry_after_s)) {
		customers_record_send(customers, customer, play->now_s);
		g_array_append_val(play->sent, play->now_s);
	} else {
		CU_ASSERT_TRUE(retry_after_s > 0 && retry_after_s <= 5);
	}
}

/* Returns in which step from now a message arrives; 0 if it is lost. */
static unsigned int travel(struct play *play)
{
	if (!g_rand_int_range(play->random, 0, LOST_ONE_OF))
		return 0;
	return (unsigned int)g_rand_int_range(play->random, 1,
					      DELAY_STEPS_MAX + 1);
}

static void send_report(struct play *play, unsigned int vm, unsigned int step)
{
	struct quota *quota = &customer_of(play->vms[vm])->quota;
	unsigned int delay = travel(play);
	struct report *report = &play->reports[(step + delay) % SLOTS][vm];

	if (delay && has_leader(play) && !is_cut(play, vm)) {
		report->sent += quota->unreported_sent;
		report->wanted += quota->unreported_wanted;
	}
	quota->unreported_sent = 0;
	quota->unreported_wanted = 0;
}

static void copy_account(void *ctx, uint32_t customer,
			 const struct rate_account *account)
{
	struct news *news = ctx;

	(void)customer;
	news->listed = true;
	news->account = *account;
}

/* The leader sends its account to all VMs. */
static void send_accounts(struct play *play, unsigned int step)
{
	struct news news = { .sent = true, .lease = play->lease };
	unsigned int lost = 0, vm;

	if (play->now_s > play->row->cut_from_s + 2)
		for (vm = 0; vm < VMS; vm++)
			lost += is_cut(play, vm);
	quota_accounts_each_listed(play->accounts, 1 - lost / (double)VMS,
				   play->now_s, copy_account, &news);
	for (vm = 0; vm < VMS; vm++) {
		unsigned int delay = travel(play);

		if (delay && !is_cut(play, vm))
			play->news[(step + delay) % SLOTS][vm] = news;
	}
}

static void deliver(struct play *play, unsigned int slot)
{
	unsigned int vm;

	for (vm = 0; vm < VMS; vm++) {
		struct report *report = &play->reports[slot][vm];
		struct news *news = &play->news[slot][vm];
		struct customer *customer = customer_of(play->vms[vm]);

		if (play->leading && (report->sent || report->wanted))
			quota_accounts_charge(play->accounts, customer->hash,
					      report->sent, report->wanted,
					      play->now_s);
		memset(report, 0, sizeof(*report));
		if (news->sent) {
			const struct quota_news quota_news = {
				.term = news->lease,
				.vms = VMS,
				.interval_s = INTERVAL_STEPS * STEP_S,
			};

			customers_apply_accounts(play->vms[vm], &quota_news,
						 play->now_s);
			if (news->listed)
				customers_apply_account(play->vms[vm],
							customer->hash,
							&news->account);
		}
		memset(news, 0, sizeof(*news));
	}
}

static void restart_vms(struct play *play)
{
	unsigned int vm;

	for (vm = 0; vm < VMS; vm++) {
		customers_destroy(play->vms[vm]);
		play->vms[vm] = create_customers(play);
	}
}

static bool restarts_now(const struct play *play, unsigned int step)
{
	const struct row *row = play->row;
	unsigned int first = (unsigned int)(row->restart_s / STEP_S);
	unsigned int each = (unsigned int)(row->restart_each_s / STEP_S);

	return row->restart_s &&
	       (step == first ||
		(each && step > first && (step - first) % each == 0));
}

static void run_step(struct play *play, unsigned int step)
{
	unsigned int vm;

	if (restarts_now(play, step))
		restart_vms(play);
	if (step % (unsigned int)(1 / STEP_S) == 0)
		move_demand(play);
	if (has_leader(play) && !play->leading) {
		quota_accounts_begin(play->accounts);
		play->lease++;
	}
	play->leading = has_leader(play);
	set_config(play, play->leader_customers);
	deliver(play, step % SLOTS);
	for (vm = 0; vm < VMS; vm++) {
		config_contact_tick(customers_contact(play->vms[vm]),
				    play->now_s);
		set_config(play, play->vms[vm]);
		if (step % INTERVAL_STEPS == vm % INTERVAL_STEPS)
			send_report(play, vm, step);
	}
	if (play->leading && step % INTERVAL_STEPS == 0)
		send_accounts(play, step);
}

static void run(struct play *play)
{
	const struct row *row = play->row;
	double next_request_s = 0;
	unsigned int step;

	for (step = 0; play->now_s < END_S; step++) {
		bool surge = row->surge_s && play->now_s >= row->surge_s;
		double demand = row->per_s * (surge ? row->surge : row->demand);

		play->now_s = step * STEP_S;
		/* Callers of a frozen VM wait; what it reads when it resumes
		 * came while it was frozen. */
		if (is_frozen(play))
			continue;
		run_step(play, step);
		while (next_request_s <= play->now_s) {
			play_request(play);
			next_request_s -=
				log(1 - g_rand_double(play->random)) / demand;
		}
	}
}

/* Returns the bound of the requests in a window that begins at a time. */
static double bound_at(const struct row *row, double at_s)
{
	bool lower = row->lower_s && at_s >= row->lower_s + WINDOW_S;
	double per_s = lower ? row->lower_per_s : row->per_s;

	return (per_s * WINDOW_S + row->burst) * FACTOR + SLACK;
}

/* Returns the largest number of requests in a window, relative to its bound. */
static double most_in_window(const struct play *play)
{
	double most = 0;
	guint first = 0, i;

	for (i = 0; i < play->sent->len; i++) {
		double at = g_array_index(play->sent, double, i);
		double begin;

		while (g_array_index(play->sent, double, first) < at - WINDOW_S)
			first++;
		begin = g_array_index(play->sent, double, first);
		most = MAX(most, (i - first + 1) / bound_at(play->row, begin));
	}
	return most;
}

/* Returns the sent requests as a share of the ideal ones. */
static double share_used(const struct play *play)
{
	unsigned int i, sent = 0;

	for (i = 0; i < play->sent->len; i++)
		sent += g_array_index(play->sent, double, i) >= SETTLE_S;
	return sent / (double)play->ideal;
}

static void run_row(const struct row *row, unsigned int seed)
{
	struct play *play = g_new0(struct play, 1);
	double most, used;
	unsigned int vm;

	play->row = row;
	play->random = g_rand_new_with_seed(seed);
	g_random_set_seed(seed);
	play->metrics = metrics_create();
	play->sent = g_array_new(FALSE, FALSE, sizeof(double));
	for (vm = 0; vm < VMS; vm++)
		play->vms[vm] = create_customers(play);
	play->leader_customers = create_customers(play);
	play->accounts = quota_accounts_create(play->leader_customers);
	run(play);
	most = most_in_window(play);
	used = share_used(play);
	if (most > 1 || used < row->used || g_getenv("VERBOSE"))
		printf("# %s: rate %.0f, seed %u: %.2f of the bound, used "
		       "%.3f\n",
		       row->name, row->per_s, seed, most, used);
	CU_ASSERT_TRUE(most <= 1);
	CU_ASSERT_TRUE(used >= row->used);
	for (vm = 0; vm < VMS; vm++)
		customers_destroy(play->vms[vm]);
	customers_destroy(play->leader_customers);
	quota_accounts_destroy(play->accounts);
	metrics_destroy(play->metrics);
	g_array_free(play->sent, TRUE);
	g_rand_free(play->random);
	g_free(play);
}

static void run_rows(const struct row *rows, size_t count)
{
	unsigned int seed;
	size_t i;

	for (i = 0; i < count; i++)
		for (seed = 1; seed <= SEEDS; seed++)
			run_row(&rows[i], seed);
}

/* Guards against shares of VMs that refuse requests within the quota, and
 * against a sum of the VMs over it. */
static void a_quota_is_kept_and_used(void)
{
	static const struct row rows[] = {
		{ "half", 29, 29, .demand = 0.5, .used = 0.99 },
		{ "usual", 29, 29, .demand = 18.0 / 29, .used = 0.99 },
		{ "near", 29, 29, .demand = 0.95, .used = 0.95 },
		{ "full", 29, 29, .demand = 1, .used = 0.95 },
		{ "over", 29, 29, .demand = 1.5, .used = 0.95 },
		{ "three", 29, 29, .demand = 3, .used = 0.95 },
		{ "eight", 29, 29, .demand = 8, .used = 0.95 },
		{ "usual", 233, 233, .demand = 146.0 / 233, .used = 0.99 },
		{ "near", 233, 233, .demand = 0.95, .used = 0.95 },
		{ "three", 233, 233, .demand = 3, .used = 0.95 },
		{ "eight", 233, 233, .demand = 8, .used = 0.95 },
		{ "tiny", 2, 2, .demand = 0.6, .used = 0.95 },
		{ "tiny eight", 2, 2, .demand = 8, .used = 0.95 },
		{ "no burst", 29, 0, .demand = 0.6, .used = 0.95 },
		{ "no burst eight", 29, 0, .demand = 8, .used = 0.95 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against an overshoot before the VMs learn that more comes. */
static void a_jump_stays_within_the_bound(void)
{
	static const struct row rows[] = {
		{ "jump", 29, 29, .demand = 0.62, .surge = 3, .surge_s = 15,
		  .used = 0.9 },
		{ "jump", 29, 29, .demand = 0.62, .surge = 5, .surge_s = 15.5,
		  .used = 0.9 },
		{ "jump", 233, 233, .demand = 0.62, .surge = 5, .surge_s = 15,
		  .used = 0.9 },
		{ "jump", 233, 233, .demand = 0.62, .surge = 3, .surge_s = 15,
		  .used = 0.9 },
		{ "jump", 29, 29, .demand = 0.1, .surge = 8, .surge_s = 15,
		  .used = 0.9 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against VMs that together exceed a quota because they hear nobody. */
static void vms_that_hear_nobody_keep_the_bound(void)
{
	static const struct row rows[] = {
		{ "deaf", 29, 29, .demand = 8, .deaf = true },
		{ "deaf", 233, 233, .demand = 8, .deaf = true },
		{ "deaf restarts", 29, 29, .demand = 8, .deaf = true,
		  .restart_s = 2, .restart_each_s = 1.7 },
		{ "leader lost", 29, 29, .demand = 0.62, .lost_from_s = 10,
		  .lost_until_s = 13, .used = 0.9 },
		{ "leader lost", 29, 29, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 30 },
		{ "leader lost", 233, 233, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 30 },
		{ "leader lost", 5, 5, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 30 },
		{ "leader lost in a jump", 233, 233, .demand = 0.62, .surge = 5,
		  .surge_s = 10, .lost_from_s = 10, .lost_until_s = 16 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against a new leader whose empty accounts count as full. */
static void a_new_leader_keeps_the_bound(void)
{
	static const struct row rows[] = {
		{ "new leader", 29, 29, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 10.1 },
		{ "new leader", 233, 233, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 13 },
		{ "twice", 29, 29, .demand = 8, .lost_from_s = 10,
		  .lost_until_s = 12.5, .lost_again_from_s = 13,
		  .lost_again_until_s = 15.5 },
		{ "twice", 233, 233, .demand = 3, .lost_from_s = 10,
		  .lost_until_s = 12.5, .lost_again_from_s = 13.6,
		  .lost_again_until_s = 15.5 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against requests that VMs gain by a freeze or a restart. */
static void frozen_and_restarted_vms_keep_the_bound(void)
{
	static const struct row rows[] = {
		{ "frozen", 29, 29, .demand = 3, .frozen_from_s = 10,
		  .frozen_until_s = 14 },
		{ "frozen, deaf", 29, 29, .demand = 8, .deaf = true,
		  .frozen_from_s = 10, .frozen_until_s = 20 },
		{ "restart", 29, 29, .demand = 8, .restart_s = 10 },
		{ "restarts", 29, 29, .demand = 8, .restart_s = 10,
		  .restart_each_s = 2.3 },
		{ "restarts", 233, 233, .demand = 8, .restart_s = 10,
		  .restart_each_s = 2.3 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against two groups of VMs that each spend the whole rate. */
static void vms_that_are_cut_off_spend_their_share(void)
{
	static const struct row rows[] = {
		{ "half cut off", 29, 29, .demand = 8, .cut_vms = 41,
		  .cut_from_s = 10, .cut_until_s = 30 },
		/* The leader hears nobody, and its account fills, until all
		 * hear it again. */
		{ "all cut off", 233, 233, .demand = 8, .cut_vms = VMS,
		  .cut_from_s = 10, .cut_until_s = 30 },
		{ "few cut off", 29, 29, .demand = 0.62, .cut_vms = 4,
		  .cut_from_s = 10, .cut_until_s = 30, .used = 0.95 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against a lowered limit that is not binding one window later. */
static void a_lowered_limit_is_binding(void)
{
	static const struct row rows[] = {
		{ "lowered", 233, 29, .lower_s = 20, .lower_per_s = 29,
		  .demand = 3 },
		{ "lowered", 233, 29, .lower_s = 20, .lower_per_s = 29,
		  .demand = 3, .deaf = true },
		{ "lowered", 29, 29, .lower_s = 20, .lower_per_s = 1,
		  .demand = 0.62 },
	};

	run_rows(rows, G_N_ELEMENTS(rows));
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a quota is kept and used", a_quota_is_kept_and_used },
		{ "a jump stays within the bound",
		  a_jump_stays_within_the_bound },
		{ "VMs that hear nobody keep the bound",
		  vms_that_hear_nobody_keep_the_bound },
		{ "a new leader keeps the bound",
		  a_new_leader_keeps_the_bound },
		{ "frozen and restarted VMs keep the bound",
		  frozen_and_restarted_vms_keep_the_bound },
		{ "VMs that are cut off spend their share",
		  vms_that_are_cut_off_spend_their_share },
		{ "a lowered limit is binding", a_lowered_limit_is_binding },
		{ 0 },
	};

	return suite_run("quota", cases);
}
