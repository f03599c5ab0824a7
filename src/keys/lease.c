#include "keys/lease_impl.h"

#include <math.h>
#include <string.h>

#include "store/store_calls.h"
#include "wire/entry.pb-c.h"

/* Table and key of the lease's row in the store. */
#define LEASE_TABLE "auburn_lease"
#define LEASE_KEY "leader"
/* Time between renewals: two may fail before the lease expires. */
#define RENEW_S (LEASE_S / 4)
/* Delay before a failed read or write is repeated. */
#define RETRY_S (LEASE_S / 10)
/* Timeout of a renewal. Enough for a slow store, and the rest of the lease is
 * long enough for one more renewal. */
#define WRITE_TIMEOUT_S (LEASE_S * 0.6)
/* While this VM holds the lease, a read or write of the row without an answer
 * for this long is reported by renewal_failing(). */
#define OVERDUE_S (LEASE_S * 0.4)
/* VMs try to acquire the lease after random delays up to this long, drawn anew
 * for each holder. With many VMs the first delay is short, and the others learn
 * of the new holder before they try. The store handles writes one at a time. */
#define JITTER_S 0.5
/* The row is read when its version was not observed for this long. Heartbeats
 * normally report it within one renewal and one heartbeat interval. */
#define READ_AFTER_S (LEASE_S / 2)
/* Number of VMs, on average, that read the row so early: of a fleet in which
 * all are fit to lead, and of one in which none is. The others leave a leader
 * that they don't hear to these, and try to acquire its lease later by LATE_S.
 */
#define EARLY_FIT_VMS 120
#define EARLY_VMS 8
/* A VM is fit to lead when its acquire delay is at most this, in seconds. */
#define FIT_DELAY_S 0.05
#define EARLY_JITTER_S 0.25
#define LATE_S 0.5
/* Shortest interval between the calls of all VMs together, in seconds, while
 * the store doesn't answer, and the longest delay of one VM's retry. */
#define RETRY_VM_S 0.02
#define RETRY_MAX_S 5.0
/* Part of the interval of a VM's retries by which a VM that isn't fit to lead
 * acquires the lease later after an outage. */
#define LATE_RETRY_PART 0.25
/* Longest delay, in seconds, before a VM that has not read the row since it
 * started calls again. The delays double, and a random factor of 0.5 to 1.5
 * spreads them: hundreds of VMs that start at once overload the store. */
#define UNREAD_RETRY_MAX_S 2.0
/* A VM that is not ready to lead acquires the lease this much later. */
#define NOT_READY_S 1.0
/* So does one that doesn't know the other VMs: by more than the jitter of those
 * that do. */
#define UNKNOWN_FLEET_S 0.3
/* Without a leader, VMs that start at the same time read the row at random
 * times within START_READ_S, and the first ones try to acquire the lease within
 * START_JITTER_S: the later ones read who leads. */
#define START_READ_S 0.3
#define START_JITTER_S 0.02
/* Expiry, on the store's clock, that is written to give up the lease: a time
 * long past. */
#define EXPIRED_S 0.001

static bool is_fit(const struct lease *lease)
{
	return lease->acquire_delay_s <= FIT_DELAY_S;
}

void lease_draw_delays(struct lease *lease)
{
	double early_vms = is_fit(lease) ? EARLY_FIT_VMS : EARLY_VMS;

	lease->early = g_random_double() * lease->vms < early_vms;
	lease->jitter_s =
		g_random_double() * (lease->early ? EARLY_JITTER_S : JITTER_S);
}

struct lease *lease_create(const struct loop *loop, const struct store *store,
			   const struct lease_ops *ops, void *ctx,
			   const char *vm, const char *address)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->loop = loop;
	lease->store = *store;
	lease->ops = ops;
	lease->ctx = ctx;
	lease->vm = g_strdup(vm);
	lease->address = g_strdup(address);
	lease->attempt_prefix = g_strdup_printf("%s-%08x%08x-", vm,
						g_random_int(), g_random_int());
	lease->next_attempt = 1;
	lease->vms = 1;
	lease->ready = true;
	lease->knows_fleet = true;
	lease_draw_delays(lease);
	return lease;
}

void lease_destroy(struct lease *lease)
{
	if (!lease)
		return;
	g_free(lease->vm);
	g_free(lease->address);
	g_free(lease->attempt_prefix);
	g_free(lease);
}

void lease_set_acquire_delay(struct lease *lease, double acquire_delay_s)
{
	lease->acquire_delay_s = acquire_delay_s;
}

unsigned int lease_row_vms(const struct lease *lease)
{
	return lease->row_vms;
}

void lease_set_vms(struct lease *lease, unsigned int vms)
{
	lease->vms = vms;
}

void lease_begin(struct lease *lease)
{
	lease->jitter_s = g_random_double() * START_JITTER_S;
	lease->next_call_s =
		lease_now(lease) + g_random_double() * START_READ_S;
}

/* Returns the delay of the next call of a VM that has not read the row since it
 * started, 0 for others. */
static double unread_delay_s(const struct lease *lease)
{
	double delay_s;

	if (lease->version_seen_s || !lease->unread_failures)
		return 0;
	delay_s = ldexp(RETRY_S, (int)MIN(lease->unread_failures, 8) - 1);
	return MIN(delay_s, UNREAD_RETRY_MAX_S) * (0.5 + g_random_double());
}

/* Returns when to call again after a call without success. While no VM leads,
 * the VMs together call about as often as a few would. */
static double retry_at_s(const struct lease *lease)
{
	double delay_s = lease->vms * RETRY_VM_S * (0.5 + g_random_double());

	delay_s = MAX(delay_s, unread_delay_s(lease));
	if (lease->holding)
		delay_s = 0;
	return lease_now(lease) + CLAMP(delay_s, RETRY_S, RETRY_MAX_S);
}

bool lease_held(const struct lease *lease, double for_s)
{
	return lease->holding && lease_now(lease) + for_s < lease->held_until_s;
}

double lease_left_s(const struct lease *lease)
{
	return lease->holding ? fmax(lease->held_until_s - lease_now(lease), 0)
			      : 0;
}

uint64_t lease_version(const struct lease *lease)
{
	return lease->version;
}

static void write_row(struct lease *lease);

void lease_lose(struct lease *lease, const char *reason)
{
	if (!lease->holding)
		return;
	lease->holding = false;
	lease->ops->lost(lease->ctx, reason);
}

void lease_observe_version(struct lease *lease, uint64_t version)
{
	if (version <= lease->version)
		return;
	/* Another VM wrote the newer version: this VM's lease is over. */
	lease_lose(lease, "another VM leads");
	lease->version = version;
	lease->expect = version;
	lease->version_seen_s = lease_now(lease);
	lease->other_until_s = 0;
	lease_draw_delays(lease);
}

/* Returns the time, in seconds from the end of an outage, that a VM which isn't
 * fit to lead leaves to those that are. They call the store at their own times,
 * rarer with the number of VMs. */
static double late_after_outage_s(const struct lease *lease)
{
	double retry_s = MIN(lease->vms * RETRY_VM_S, RETRY_MAX_S);

	return MAX(LATE_S, retry_s * LATE_RETRY_PART);
}

/* Returns when this VM may try to acquire the lease, or 0 if unknown. */
static double acquire_at_s(const struct lease *lease)
{
	double at;

	if (!lease->version_seen_s)
		return 0;
	at = lease->version_seen_s + LEASE_S * CLOCK_FACTOR;
	if (lease->other_until_s && lease->other_until_s < at)
		at = lease->other_until_s;
	/* A lease of an earlier era lasts no longer; its row may be lost. */
	if (store_era_changed_s(lease->store.era))
		at = MAX(at, store_era_changed_s(lease->store.era) +
				     LEASE_S * CLOCK_FACTOR);
	if (at < lease->store_back_s)
		at = lease->store_back_s + late_after_outage_s(lease);
	else if (!lease->early)
		at += LATE_S;
	if (!lease->ready)
		at += NOT_READY_S;
	if (!lease->knows_fleet)
		at += UNKNOWN_FLEET_S;
	return at + lease->jitter_s + lease->acquire_delay_s;
}

void lease_observe_release(struct lease *lease, uint64_t version)
{
	if (version < lease->version)
		return;
	lease_observe_version(lease, version);
	lease->other_until_s = lease_now(lease);
	if (!lease->store_away)
		lease->next_call_s =
			MIN(lease->next_call_s, acquire_at_s(lease));
}

void lease_set_knows_fleet(struct lease *lease, bool knows_fleet)
{
	lease->knows_fleet = knows_fleet;
}

/* Notes whether the store answered a call. */
static void set_store_away(struct lease *lease, bool away)
{
	/* A lease that ran out in an outage would be acquired by the first VM
	 * that calls after it. A VM that isn't fit leaves it to the others. */
	if (lease->store_away && !away && !is_fit(lease))
		lease->store_back_s = lease_now(lease);
	lease->store_away = away;
}

/* Finds the lease's row in an answer of the store, or NULL. */
static const struct store_row *find_row(const struct store_result *result)
{
	size_t i;

	for (i = 0; i < result->row_count; i++)
		if (!strcmp(result->rows[i].key, LEASE_KEY))
			return &result->rows[i];
	return NULL;
}

static void on_read(void *ctx, const struct store_result *result)
{
	struct lease *lease = ctx;
	const struct store_row *row;

	lease->call_in_progress = false;
	if (result->status != STORE_OK)
		lease->unread_failures++;
	lease->next_call_s = retry_at_s(lease);
	set_store_away(lease, result->status != STORE_OK);
	if (result->status != STORE_OK)
		return;
	lease_update_store_clock(lease, result);
	row = find_row(result);
	if (row) {
		lease_handle_row(lease, row, result->now_s);
		if (!lease->holding)
			lease->next_call_s =
				MIN(lease_now(lease) + READ_AFTER_S,
				    MAX(acquire_at_s(lease), 0));
	} else {
		lease_handle_no_row(lease, result->version);
		if (!lease->holding)
			lease->next_call_s = acquire_at_s(lease);
	}
}

static void read_row(struct lease *lease)
{
	lease->call_in_progress = true;
	lease->sent_s = lease_now(lease);
	store_calls_count(lease->store.calls, LEASE_TABLE, "read");
	lease->store.ops->read(lease->store.impl, LEASE_TABLE, "", on_read,
			       lease);
}

/* Tells the caller that renewals fail, once until a renewal succeeds. */
static void report_renewal_failing(struct lease *lease)
{
	if (!lease->holding || lease->renewal_failing)
		return;
	lease->renewal_failing = true;
	lease->ops->renewal_failing(lease->ctx);
}

static void on_written(void *ctx, const struct store_result *result)
{
	struct lease *lease = ctx;
	uint32_t number = lease->next_attempt - 1;
	const struct attempt *attempt = &lease->attempts[number % ATTEMPTS_MAX];
	const struct store_row *row = find_row(result);

	lease->call_in_progress = false;
	lease->next_call_s = retry_at_s(lease);
	set_store_away(lease, result->status != STORE_OK &&
				      result->status != STORE_CONFLICT);
	switch (result->status) {
	case STORE_OK:
		lease_update_store_clock(lease, result);
		lease_record_own_write(lease, result->version, attempt->sent_s,
				       attempt->era);
		lease->next_call_s = attempt->sent_s + RENEW_S;
		if (lease->stopped && !lease->release_due &&
		    attempt->era == store_version_era(result->version))
			lease->ops->released(lease->ctx);
		break;
	case STORE_CONFLICT:
		lease->next_call_s = lease_now(lease) + RETRY_S;
		lease_update_store_clock(lease, result);
		if (row) {
			lease_handle_row(lease, row, result->now_s);
		} else if (lease->holding &&
			   store_version_era(result->version) >
				   store_version_era(lease->expect)) {
			lease_handle_no_row(lease, result->version);
			lease->next_call_s = lease_now(lease);
		} else {
			read_row(lease);
		}
		break;
	default:
		report_renewal_failing(lease);
		break;
	}
	if (lease->release_due && !lease->call_in_progress) {
		lease->release_due = false;
		write_row(lease);
	}
}

static void write_row(struct lease *lease)
{
	LeaseRow message = LEASE_ROW__INIT;
	uint32_t number = lease->next_attempt++;
	/* One reading for the row and for this VM: a pause in between would let
	 * others acquire the lease while this VM holds it. */
	double now = lease_now(lease);
	struct store_write write = {
		.table = LEASE_TABLE,
		.key = LEASE_KEY,
		.expect = lease->expect,
	};
	GString *value;

	message.vm = lease->vm;
	message.address = lease->address;
	message.vms = lease->vms;
	message.era = lease_current_era(lease);
	message.attempt =
		g_strdup_printf("%s%u", lease->attempt_prefix, number);
	if (lease->stopped)
		message.until_s = EXPIRED_S;
	else
		message.until_s = lease_until_s(lease, now);
	value = g_string_new(NULL);
	g_string_set_size(value, lease_row__get_packed_size(&message));
	lease_row__pack(&message, (uint8_t *)value->str);
	g_free(message.attempt);
	write.value = (struct str){ value->str, value->len };
	lease->call_in_progress = true;
	lease->attempts[number % ATTEMPTS_MAX].number = number;
	lease->attempts[number % ATTEMPTS_MAX].sent_s = now;
	lease->attempts[number % ATTEMPTS_MAX].era = message.era;
	lease->sent_s = now;
	store_calls_count(lease->store.calls, LEASE_TABLE,
			  lease->stopped   ? "release"
			  : lease->holding ? "renew"
					   : "acquire");
	lease->store.ops->write(lease->store.impl, &write, WRITE_TIMEOUT_S,
				on_written, lease);
	g_string_free(value, TRUE);
}

/* Whether this VM knows the row's version from an earlier era only. Another VM
 * may have written the row since, by the same version. */
static bool is_version_void(const struct lease *lease)
{
	return store_version_era(lease->expect) < lease_current_era(lease) &&
	       lease->expect;
}

void lease_tick(struct lease *lease)
{
	double now = lease_now(lease);
	bool awaits_store = lease->store_away && !is_fit(lease);
	bool acquires = !awaits_store && acquire_at_s(lease) > 0 &&
			now > acquire_at_s(lease);

	if (lease->holding && now >= lease->held_until_s)
		lease_lose(lease, "the lease could not be renewed in time");
	if (lease->call_in_progress && now > lease->sent_s + OVERDUE_S)
		report_renewal_failing(lease);
	if (lease->call_in_progress || now < lease->next_call_s ||
	    lease->stopped)
		return;
	if (lease->holding || (acquires && !is_version_void(lease)))
		write_row(lease);
	else if (acquires || awaits_store || !lease->version_seen_s ||
		 (lease->early && now > lease->version_seen_s + READ_AFTER_S))
		read_row(lease);
}

void lease_set_ready(struct lease *lease, bool ready)
{
	if (lease->ready == ready)
		return;
	lease->ready = ready;
	/* It may acquire the lease earlier than it planned. */
	if (ready && !lease->store_away && acquire_at_s(lease) > 0)
		lease->next_call_s =
			MIN(lease->next_call_s, acquire_at_s(lease));
}

void lease_stop(struct lease *lease)
{
	bool held = lease->holding;

	lease->stopped = true;
	lease_lose(lease, "this VM stops");
	lease->release_due = held && lease->call_in_progress;
	if (held && !lease->call_in_progress)
		write_row(lease);
}
