#include "keys/lease.h"

#include <string.h>

#include "wire/entry.pb-c.h"

#define LEASE_TABLE "auburn_lease"
#define LEASE_KEY "leader"
/* Renewals a lease, so that two may fail. */
#define RENEW_S (LEASE_S / 4)
#define RETRY_S (LEASE_S / 10)
/* A slow store answers a renewal within this; what is left of the lease then
 * lasts for the next one. */
#define WRITE_TIMEOUT_S (LEASE_S * 0.6)
/* An answer that takes longer is a sign of trouble. */
#define TROUBLE_S (LEASE_S * 0.4)
/* Clocks of two VMs differ in speed by no more than this. */
#define CLOCK_FACTOR 1.02
/* Candidates begin at different moments, drawn anew for each holder: the first
 * of many begins soon, and is heard before the others try. The store handles
 * their writes one after the other. */
#define JITTER_S 0.5
/* A row that was not seen for so long is read: with beats it is seen every
 * renewal and a beat. */
#define LOOK_S (LEASE_S / 2)
/* On the store's clock: long ago. */
#define GIVEN_UP_S 0.001
/* Writes whose effect may still show. */
#define ATTEMPTS 16

struct attempt {
	uint32_t number;
	double sent_s;
};

struct lease {
	const struct loop *loop;
	struct store store;
	const struct lease_ops *ops;
	void *ctx;
	char *vm;
	char *address;
	/** Tells this process's writes from those of others. */
	char *prefix;
	uint32_t next_attempt;
	struct attempt attempts[ATTEMPTS];
	bool holding;
	double until_s;
	uint64_t version;
	/** When the version was learned; 0: never. */
	double seen_s;
	double jitter_s;
	double handicap_s;
	/** When the lease of others is over by what the row says; 0: unknown */
	double free_s;
	/** Added to this VM's clock: the store's clock, or a little more. */
	double store_ahead_s;
	bool store_clock_known;
	/** When the call in progress was sent. */
	double sent_s;
	bool busy;
	double next_s;
	bool troubled;
	bool stopped;
};

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
	lease->prefix = g_strdup_printf("%s-%08x%08x-", vm, g_random_int(),
					g_random_int());
	lease->next_attempt = 1;
	lease->jitter_s = g_random_double() * JITTER_S;
	return lease;
}

void lease_destroy(struct lease *lease)
{
	if (!lease)
		return;
	g_free(lease->vm);
	g_free(lease->address);
	g_free(lease->prefix);
	g_free(lease);
}

void lease_set_acquire_delay(struct lease *lease, double handicap_s)
{
	lease->handicap_s = handicap_s;
}

static double now_of(const struct lease *lease)
{
	return loop_now(lease->loop);
}

bool lease_held(const struct lease *lease, double for_s)
{
	return lease->holding && now_of(lease) + for_s < lease->until_s;
}

uint64_t lease_version(const struct lease *lease)
{
	return lease->version;
}

static void lose(struct lease *lease, const char *reason)
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
	/* A newer version is another VM's: this one's lease is over. */
	lose(lease, "another VM leads");
	lease->version = version;
	lease->seen_s = now_of(lease);
	lease->free_s = 0;
	lease->jitter_s = g_random_double() * JITTER_S;
}

static void hold(struct lease *lease, uint64_t version, double sent_s)
{
	lease->version = version;
	lease->seen_s = now_of(lease);
	lease->troubled = false;
	if (lease->stopped)
		return;
	if (sent_s + LEASE_S > lease->until_s)
		lease->until_s = sent_s + LEASE_S;
	if (lease->holding || now_of(lease) >= lease->until_s)
		return;
	lease->holding = true;
	lease->ops->won(lease->ctx);
}

/* @return when this process wrote the row, or 0: it did not */
static double own_write_s(const struct lease *lease, const char *attempt)
{
	size_t len = strlen(lease->prefix);
	uint32_t number;
	int i;

	if (strncmp(attempt, lease->prefix, len) != 0)
		return 0;
	number = (uint32_t)g_ascii_strtoull(attempt + len, NULL, 10);
	for (i = 0; i < ATTEMPTS; i++)
		if (lease->attempts[i].number == number)
			return lease->attempts[i].sent_s;
	return 0;
}

/* An answer was made after its call was sent: this never falls behind. */
static void take_clock(struct lease *lease, const struct store_result *result)
{
	if (result->now_s <= 0)
		return;
	lease->store_ahead_s = result->now_s - lease->sent_s;
	lease->store_clock_known = true;
}

/* When, on this VM's clock, the row's lease is over on the store's. */
static double free_at(const struct lease *lease, const LeaseRow *row,
		      double store_now_s)
{
	if (row->until_s <= 0 || store_now_s <= 0)
		return 0;
	return now_of(lease) + (row->until_s - store_now_s) +
	       LEASE_S * (CLOCK_FACTOR - 1);
}

/* The row as it stands in the store. */
static void take_row(struct lease *lease, const struct store_row *row,
		     double store_now_s)
{
	LeaseRow *message = lease_row__unpack(NULL, row->value->len,
					      (const uint8_t *)row->value->str);
	double sent_s = message ? own_write_s(lease, message->attempt) : 0;

	if (sent_s > 0) {
		hold(lease, row->version, sent_s);
	} else {
		if (row->version != lease->version) {
			lease->version = row->version;
			lease->seen_s = now_of(lease);
			lease->jitter_s = g_random_double() * JITTER_S;
		}
		lose(lease, "another VM leads");
		if (message)
			lease->free_s = free_at(lease, message, store_now_s);
		if (message)
			lease->ops->learned(lease->ctx, message->vm,
					    message->address);
	}
	if (message)
		lease_row__free_unpacked(message, NULL);
}

/* When this VM may try to take the lease; 0: not known. */
static double take_at(const struct lease *lease)
{
	double at;

	if (!lease->seen_s)
		return 0;
	at = lease->seen_s + LEASE_S * CLOCK_FACTOR;
	if (lease->free_s && lease->free_s < at)
		at = lease->free_s;
	return at + lease->jitter_s + lease->handicap_s;
}

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

	lease->busy = false;
	lease->next_s = now_of(lease) + RETRY_S;
	if (result->status != STORE_OK)
		return;
	take_clock(lease, result);
	row = find_row(result);
	if (row) {
		take_row(lease, row, result->now_s);
		if (!lease->holding)
			lease->next_s = MIN(now_of(lease) + LOOK_S,
					    MAX(take_at(lease), 0));
	} else if (!lease->seen_s) {
		lease->version = 0;
		/* Nobody ever led: there is nothing to wait for. */
		lease->seen_s = now_of(lease) - LEASE_S * CLOCK_FACTOR;
		lease->next_s = take_at(lease);
	}
}

static void read_row(struct lease *lease)
{
	lease->busy = true;
	lease->sent_s = now_of(lease);
	lease->store.ops->read(lease->store.impl, LEASE_TABLE, "", on_read,
			       lease);
}

static void set_troubled(struct lease *lease)
{
	if (!lease->holding || lease->troubled)
		return;
	lease->troubled = true;
	lease->ops->troubled(lease->ctx);
}

static void on_written(void *ctx, const struct store_result *result)
{
	struct lease *lease = ctx;
	uint32_t number = lease->next_attempt - 1;
	double sent_s = lease->attempts[number % ATTEMPTS].sent_s;
	const struct store_row *row = find_row(result);

	lease->busy = false;
	lease->next_s = now_of(lease) + RETRY_S;
	switch (result->status) {
	case STORE_OK:
		take_clock(lease, result);
		hold(lease, result->version, sent_s);
		lease->next_s = sent_s + RENEW_S;
		break;
	case STORE_CONFLICT:
		take_clock(lease, result);
		if (row)
			take_row(lease, row, result->now_s);
		else
			read_row(lease);
		break;
	default:
		set_troubled(lease);
		break;
	}
}

static void write_row(struct lease *lease)
{
	LeaseRow message = LEASE_ROW__INIT;
	uint32_t number = lease->next_attempt++;
	struct store_write write = {
		.table = LEASE_TABLE,
		.key = LEASE_KEY,
		.expect = lease->version,
	};
	GString *value;

	message.vm = lease->vm;
	message.address = lease->address;
	message.attempt = g_strdup_printf("%s%u", lease->prefix, number);
	if (lease->stopped)
		message.until_s = GIVEN_UP_S;
	else if (lease->store_clock_known)
		message.until_s =
			now_of(lease) + lease->store_ahead_s + LEASE_S;
	value = g_string_new(NULL);
	g_string_set_size(value, lease_row__get_packed_size(&message));
	lease_row__pack(&message, (uint8_t *)value->str);
	g_free(message.attempt);
	write.value = (struct str){ value->str, value->len };
	lease->busy = true;
	lease->attempts[number % ATTEMPTS].number = number;
	lease->attempts[number % ATTEMPTS].sent_s = now_of(lease);
	lease->sent_s = now_of(lease);
	lease->store.ops->write(lease->store.impl, &write, WRITE_TIMEOUT_S,
				on_written, lease);
	g_string_free(value, TRUE);
}

void lease_tick(struct lease *lease)
{
	double now = now_of(lease);

	if (lease->holding && now >= lease->until_s)
		lose(lease, "it could not be renewed in time");
	if (lease->busy && now > lease->sent_s + TROUBLE_S)
		set_troubled(lease);
	if (lease->busy || now < lease->next_s || lease->stopped)
		return;
	if (lease->holding || (take_at(lease) > 0 && now > take_at(lease)))
		write_row(lease);
	else if (!lease->seen_s || now > lease->seen_s + LOOK_S)
		read_row(lease);
}

void lease_stop(struct lease *lease)
{
	bool held = lease->holding;

	lease->stopped = true;
	lose(lease, "this VM stops");
	if (held && !lease->busy)
		write_row(lease);
}
