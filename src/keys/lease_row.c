/*
 * What the lease's row says: whose it is, when it ends, and whether the store
 * restored it from an older copy.
 */
#include <string.h>

#include "keys/lease_impl.h"
#include "wire/entry.pb-c.h"

uint64_t lease_current_era(const struct lease *lease)
{
	return MAX(store_era_current(lease->store.era),
		   store_version_era(lease->version));
}

void lease_record_own_write(struct lease *lease, uint64_t version,
			    double sent_s, uint64_t era)
{
	lease->version = version;
	lease->expect = version;
	lease->version_seen_s = lease_now(lease);
	lease->renewal_failing = false;
	if (lease->stopped)
		return;
	/* In another era the condition may have been met by chance, while
	 * another VM leads. Such a write renews, but acquires nothing. */
	if (!lease_held(lease, 0) && era != store_version_era(version))
		return;
	if (sent_s + LEASE_S > lease->held_until_s)
		lease->held_until_s = sent_s + LEASE_S;
	if (lease->holding || lease_now(lease) >= lease->held_until_s)
		return;
	lease->holding = true;
	lease->ops->won(lease->ctx);
}

/* Finds the write of this process with an attempt id, or NULL if another
 * process wrote it, or long ago. */
static const struct attempt *find_attempt(const struct lease *lease,
					  const char *attempt)
{
	size_t len = strlen(lease->attempt_prefix);
	uint32_t number;
	int i;

	if (strncmp(attempt, lease->attempt_prefix, len) != 0)
		return NULL;
	number = (uint32_t)g_ascii_strtoull(attempt + len, NULL, 10);
	for (i = 0; i < ATTEMPTS_MAX; i++)
		if (lease->attempts[i].number == number)
			return &lease->attempts[i];
	return NULL;
}

void lease_update_store_clock(struct lease *lease,
			      const struct store_result *result)
{
	if (result->now_s <= 0)
		return;
	lease->store_ahead_s = result->now_s - lease->sent_s;
	lease->store_clock_seen_s = lease->sent_s;
	lease->store_clock_era = store_version_era(result->version);
}

double lease_until_s(const struct lease *lease, double now_s)
{
	double seen_s = lease->store_clock_seen_s;

	if (!seen_s || lease->store_clock_era != lease_current_era(lease))
		return 0;
	return now_s + lease->store_ahead_s + LEASE_S +
	       (now_s - seen_s) * (CLOCK_FACTOR - 1);
}

/* Converts the row's expiry from the store's clock to this VM's clock.
 *
 * @return the time, or 0 when it is unknown */
static double expiry_s(const struct lease *lease, const LeaseRow *row,
		       double store_now_s)
{
	if (row->until_s <= 0 || store_now_s <= 0)
		return 0;
	return lease_now(lease) + (row->until_s - store_now_s) +
	       LEASE_S * (CLOCK_FACTOR - 1);
}

/* Whether the store restored a row from an older copy, or a VM wrote it that
 * didn't know the present era: it doesn't say who leads. A store that shows no
 * era is known by a version that goes back. */
static bool is_restored(const struct lease *lease, const struct store_row *row,
			const LeaseRow *message)
{
	return message->era < store_version_era(row->version) ||
	       row->version < lease->version ||
	       (lease->older_version && row->version == lease->older_version);
}

/* Notes the version of the row in the store. */
static void note_version(struct lease *lease, uint64_t version)
{
	lease->expect = version;
	if (version == lease->version)
		return;
	if (version < lease->version)
		lease->older_version = version;
	lease->version = version;
	lease->version_seen_s = lease_now(lease);
	lease_draw_delays(lease);
}

/* Handles a row that another process wrote. */
static void handle_other_row(struct lease *lease, const struct store_row *row,
			     const LeaseRow *message, double store_now_s)
{
	bool restored = is_restored(lease, row, message);
	bool started = lease->version_seen_s == 0;

	/* This VM's lease has not ended: it writes the row again. */
	if (restored && lease->holding) {
		lease->version = row->version;
		lease->expect = row->version;
		lease->next_call_s = lease_now(lease);
		return;
	}
	lease->row_vms = message->vms;
	/* A VM that starts learns how many compete. */
	if (lease->vms == 1 && lease->row_vms)
		lease->vms = lease->row_vms;
	note_version(lease, row->version);
	lease_lose(lease, "another VM leads");
	lease->other_until_s =
		restored ? 0 : expiry_s(lease, message, store_now_s);
	if (!restored || started)
		lease->ops->learned(lease->ctx, message->vm, message->address);
}

void lease_handle_row(struct lease *lease, const struct store_row *row,
		      double store_now_s)
{
	LeaseRow *message = lease_row__unpack(NULL, row->value->len,
					      (const uint8_t *)row->value->str);
	const struct attempt *own;

	if (!message) {
		note_version(lease, row->version);
		lease_lose(lease, "another VM leads");
		return;
	}
	own = find_attempt(lease, message->attempt);
	if (own && lease->holding && is_restored(lease, row, message))
		lease->next_call_s = lease_now(lease);
	if (own)
		lease_record_own_write(lease, row->version, own->sent_s,
				       own->era);
	else
		handle_other_row(lease, row, message, store_now_s);
	lease_row__free_unpacked(message, NULL);
}

void lease_handle_no_row(struct lease *lease, uint64_t store_version)
{
	lease->expect = 0;
	if (lease->version_seen_s)
		return;
	lease->version_seen_s = lease_now(lease);
	/* There never was a leader: no lease has to expire. Later on the store
	 * may have lost the row of one. */
	if (store_version_era(store_version) <= STORE_FIRST_ERA_MAX)
		lease->version_seen_s -= LEASE_S * CLOCK_FACTOR;
}
