#include "entry/crash_exchange.h"

#include <string.h>

#include "base/log.h"
#include "entry/key_leader.h"
#include "store/store_calls.h"
#include "wire/message_list.h"

/* Reports: how many are kept, for how many seconds each is sent again, and for
 * how many seconds it is kept to tell a new leader. */
#define REPORTS_MAX 256
#define RESEND_S 3.0
#define KEEP_S 60.0
/* Most blocked requests in a message. */
#define BLOCKED_MAX 64
/* Shortest time between two saves, and timeout of a save, in seconds. */
#define SAVE_INTERVAL_S 0.5
#define SAVE_TIMEOUT_S 2.0
#define MS_PER_S 1000.0

/** What a report says about a request. */
enum report_kind {
	/** An upstream crashed under it. */
	REPORT_CRASH,
	/** It was answered. */
	REPORT_CLEARED,
	/** It is blocked and came again. */
	REPORT_REFUSED,
	/** It is blocked, but the leader's last heartbeat did not list it. */
	REPORT_BLOCKED,
};

/** Something to tell the leader or, as leader, the other VMs. */
struct report {
	enum report_kind kind;
	/** The crash, with an interned upstream id. Only the request is set
	 * unless kind is REPORT_CRASH. */
	struct crash crash;
	/** Until when the report is sent. */
	double send_until_s;
	/** When the report was added. */
	double added_s;
};

struct crash_exchange {
	struct crash_exchange_options options;
	/** Reports (struct report), oldest first. */
	GArray *reports;
	/** Version of the row of blocked requests as last read or written. */
	uint64_t row_version;
	/** Era of the store at the last save. */
	uint64_t saved_era;
	/** Value of the row as last read or written; empty: none. */
	GArray *saved;
	/** A save has not been answered yet. */
	bool saving;
	/** The requests of the save in progress. */
	GArray *saving_requests;
	/** Earliest loop time of the next save. */
	double next_save_s;
};

static double now_of(const struct crash_exchange *exchange)
{
	return loop_now(exchange->options.loop);
}

struct crash_exchange *
crash_exchange_create(const struct crash_exchange_options *options)
{
	struct crash_exchange *exchange = g_new0(struct crash_exchange, 1);

	exchange->options = *options;
	exchange->reports = g_array_new(FALSE, FALSE, sizeof(struct report));
	exchange->saved = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	exchange->saving_requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return exchange;
}

void crash_exchange_destroy(struct crash_exchange *exchange)
{
	if (!exchange)
		return;
	g_array_free(exchange->reports, TRUE);
	g_array_free(exchange->saved, TRUE);
	g_array_free(exchange->saving_requests, TRUE);
	g_free(exchange);
}

/* --- reports --- */

/* Removes reports that are too old to be kept. */
static void expire_reports(struct crash_exchange *exchange)
{
	double now = now_of(exchange);
	guint i;

	for (i = exchange->reports->len; i > 0; i--) {
		const struct report *report =
			&g_array_index(exchange->reports, struct report, i - 1);
		double keep_s =
			report->kind == REPORT_CRASH ? KEEP_S : RESEND_S;

		if (now > report->added_s + keep_s)
			g_array_remove_index(exchange->reports, i - 1);
	}
}

/* Returns whether there is a report of a kind about a request.
 *
 * @param crash with an interned upstream id */
static bool has_report(const struct crash_exchange *exchange,
		       enum report_kind kind, const struct crash *crash)
{
	guint i;

	for (i = 0; i < exchange->reports->len; i++) {
		const struct report *report =
			&g_array_index(exchange->reports, struct report, i);

		if (report->kind == kind &&
		    report->crash.request == crash->request &&
		    report->crash.upstream == crash->upstream &&
		    report->crash.started_ms == crash->started_ms)
			return true;
	}
	return false;
}

/* Adds a report, unless there is the same already. */
static void add_report(struct crash_exchange *exchange, enum report_kind kind,
		       const struct crash *crash)
{
	double now = now_of(exchange);
	struct report report = {
		.kind = kind,
		.crash = *crash,
		.send_until_s = now + RESEND_S,
		.added_s = now,
	};

	report.crash.upstream = g_intern_string(crash->upstream);
	expire_reports(exchange);
	if (has_report(exchange, kind, &report.crash))
		return;
	if (exchange->reports->len >= REPORTS_MAX)
		g_array_remove_index(exchange->reports, 0);
	g_array_append_val(exchange->reports, report);
	exchange->options.changed(exchange->options.ctx);
}

static void add_request_report(struct crash_exchange *exchange,
			       enum report_kind kind, uint64_t request)
{
	struct crash crash = { .request = request };

	add_report(exchange, kind, &crash);
}

void crash_exchange_add_crash(struct crash_exchange *exchange,
			      const struct crash *crash)
{
	add_report(exchange, REPORT_CRASH, crash);
}

void crash_exchange_add_cleared(struct crash_exchange *exchange,
				uint64_t request)
{
	add_request_report(exchange, REPORT_CLEARED, request);
}

void crash_exchange_add_refused(struct crash_exchange *exchange,
				uint64_t request)
{
	add_request_report(exchange, REPORT_REFUSED, request);
}

void crash_exchange_resend(struct crash_exchange *exchange)
{
	guint i;

	expire_reports(exchange);
	for (i = 0; i < exchange->reports->len; i++)
		g_array_index(exchange->reports, struct report, i)
			.send_until_s = now_of(exchange) + RESEND_S;
}

/* Whether a report of the given kind is still to be sent. */
static bool is_due(const struct crash_exchange *exchange,
		   const struct report *report, enum report_kind kind)
{
	return report->kind == kind && now_of(exchange) < report->send_until_s;
}

bool crash_exchange_has_reports(const struct crash_exchange *exchange)
{
	guint i;

	for (i = 0; i < exchange->reports->len; i++)
		if (now_of(exchange) <
		    g_array_index(exchange->reports, struct report, i)
			    .send_until_s)
			return true;
	return false;
}

/* --- messages --- */

static void *append_message(GPtrArray *messages, size_t size)
{
	void *message = g_malloc0(size);

	g_ptr_array_add(messages, message);
	return message;
}

/* Builds messages (Crash) for the reported crashes.
 *
 * @param count set to their number
 * @return the messages, freed with message_list_free() */
static Crash **crash_messages(const struct crash_exchange *exchange,
			      size_t *count)
{
	GPtrArray *messages = g_ptr_array_new();
	guint i;

	for (i = 0; i < exchange->reports->len; i++) {
		const struct report *report =
			&g_array_index(exchange->reports, struct report, i);
		Crash *message;

		if (!is_due(exchange, report, REPORT_CRASH))
			continue;
		message = append_message(messages, sizeof(*message));
		crash__init(message);
		message->request = report->crash.request;
		message->upstream = (char *)report->crash.upstream;
		message->started_ms = report->crash.started_ms;
	}
	*count = messages->len;
	return (Crash **)g_ptr_array_free(messages, FALSE);
}

static void add_blocked_message(void *ctx, uint64_t request, double left_s)
{
	GPtrArray *messages = ctx;
	BlockedRequest *message;

	if (messages->len >= BLOCKED_MAX)
		return;
	message = append_message(messages, sizeof(*message));
	blocked_request__init(message);
	message->request = request;
	message->left_ms = (uint32_t)(left_s * MS_PER_S);
}

/* Builds messages (BlockedRequest) for all blocked requests, like
 * crash_messages(). */
static BlockedRequest **blocked_messages(const struct crash_exchange *exchange,
					 size_t *count)
{
	GPtrArray *messages = g_ptr_array_new();

	crash_watch_each_blocked(exchange->options.crashes, add_blocked_message,
				 messages);
	*count = messages->len;
	return (BlockedRequest **)g_ptr_array_free(messages, FALSE);
}

/* Builds messages (BlockedRequest) for the blocked requests that are reported,
 * like crash_messages(). */
static BlockedRequest **reported_blocks(const struct crash_exchange *exchange,
					size_t *count)
{
	size_t blocked, i;
	BlockedRequest **messages = blocked_messages(exchange, &blocked);

	*count = 0;
	for (i = 0; i < blocked; i++) {
		struct crash crash = { .request = messages[i]->request };

		if (has_report(exchange, REPORT_BLOCKED, &crash))
			messages[(*count)++] = messages[i];
		else
			g_free(messages[i]);
	}
	return messages;
}

/* Returns the fingerprints of the reported requests of a kind; the caller frees
 * them. */
static uint64_t *reported_requests(const struct crash_exchange *exchange,
				   enum report_kind kind, size_t *count)
{
	GArray *requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	guint i;

	for (i = 0; i < exchange->reports->len; i++) {
		const struct report *report =
			&g_array_index(exchange->reports, struct report, i);

		if (is_due(exchange, report, kind))
			g_array_append_val(requests, report->crash.request);
	}
	*count = requests->len;
	return (uint64_t *)(void *)g_array_free(requests, FALSE);
}

void crash_exchange_fill_report(const struct crash_exchange *exchange,
				VmReport *report)
{
	report->crashes = crash_messages(exchange, &report->n_crashes);
	report->blocked = reported_blocks(exchange, &report->n_blocked);
	report->cleared =
		reported_requests(exchange, REPORT_CLEARED, &report->n_cleared);
	report->refused =
		reported_requests(exchange, REPORT_REFUSED, &report->n_refused);
}

void crash_exchange_release_report(VmReport *report)
{
	message_list_free(report->crashes, report->n_crashes);
	message_list_free(report->blocked, report->n_blocked);
	g_free(report->cleared);
	g_free(report->refused);
}

void crash_exchange_fill_beat(const struct crash_exchange *exchange,
			      LeaderBeat *beat)
{
	beat->blocked = blocked_messages(exchange, &beat->n_blocked);
	beat->cleared =
		reported_requests(exchange, REPORT_CLEARED, &beat->n_cleared);
}

void crash_exchange_release_beat(LeaderBeat *beat)
{
	message_list_free(beat->blocked, beat->n_blocked);
	g_free(beat->cleared);
}

/* Applies a crash that another VM reports. An answer outweighs crashes that are
 * reported around the same time: some report may have been on its way. */
static void learn_crash(struct crash_exchange *exchange, const Crash *message)
{
	struct crash cleared = { .request = message->request };
	struct crash crash = {
		.request = message->request,
		.upstream = message->upstream,
		.started_ms = message->started_ms,
	};

	if (has_report(exchange, REPORT_CLEARED, &cleared) ||
	    !crash_watch_learn(exchange->options.crashes, &crash))
		return;
	crash_exchange_add_crash(exchange, &crash);
}

static void learn_cleared(struct crash_exchange *exchange, uint64_t request)
{
	if (crash_watch_clear(exchange->options.crashes, request))
		crash_exchange_add_cleared(exchange, request);
}

/* Applies a block that another VM or the store reports; returns whether it is
 * news. */
static bool learn_block(struct crash_exchange *exchange,
			const BlockedRequest *blocked)
{
	struct crash cleared = { .request = blocked->request };

	return !has_report(exchange, REPORT_CLEARED, &cleared) &&
	       crash_watch_learn_block(exchange->options.crashes,
				       blocked->request,
				       blocked->left_ms / MS_PER_S);
}

void crash_exchange_apply_report(struct crash_exchange *exchange,
				 const VmReport *report)
{
	size_t i;

	expire_reports(exchange);
	for (i = 0; i < report->n_cleared; i++)
		learn_cleared(exchange, report->cleared[i]);
	for (i = 0; i < report->n_crashes; i++)
		learn_crash(exchange, report->crashes[i]);
	for (i = 0; i < report->n_blocked; i++)
		if (learn_block(exchange, report->blocked[i]))
			exchange->options.changed(exchange->options.ctx);
	for (i = 0; i < report->n_refused; i++)
		crash_watch_renew_block(exchange->options.crashes,
					report->refused[i]);
}

/* A heartbeat and the exchange that compares its blocked requests with those of
 * this VM. */
struct comparison {
	struct crash_exchange *exchange;
	const LeaderBeat *beat;
};

/* Reports a blocked request that the leader doesn't list. */
static void report_unless_listed(void *ctx, uint64_t request, double left_s)
{
	const struct comparison *comparison = ctx;
	const LeaderBeat *beat = comparison->beat;
	size_t i;

	(void)left_s;
	for (i = 0; i < beat->n_blocked; i++)
		if (beat->blocked[i]->request == request)
			return;
	if (beat->n_blocked < BLOCKED_MAX)
		add_request_report(comparison->exchange, REPORT_BLOCKED,
				   request);
}

void crash_exchange_apply_beat(struct crash_exchange *exchange,
			       const LeaderBeat *beat)
{
	struct comparison comparison = { exchange, beat };
	size_t i;

	expire_reports(exchange);
	for (i = 0; i < beat->n_cleared; i++)
		crash_watch_clear(exchange->options.crashes, beat->cleared[i]);
	for (i = 0; i < beat->n_blocked; i++)
		learn_block(exchange, beat->blocked[i]);
	crash_watch_each_blocked(exchange->options.crashes,
				 report_unless_listed, &comparison);
}

/* --- the row in the store --- */

static gint compare_requests(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Sets an array to the fingerprints of messages, in ascending order. */
static void set_requests(GArray *requests, BlockedRequest *const *messages,
			 size_t count)
{
	size_t i;

	g_array_set_size(requests, 0);
	for (i = 0; i < count; i++)
		g_array_append_val(requests, messages[i]->request);
	g_array_sort(requests, compare_requests);
}

static bool equal_arrays(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	       (!a->len ||
		!memcmp(a->data, b->data, a->len * sizeof(uint64_t)));
}

void crash_exchange_load(struct crash_exchange *exchange,
			 const struct store_row *row)
{
	BlockedRequests *message;
	size_t i;

	if (row->version <= exchange->row_version)
		return;
	exchange->row_version = row->version;
	exchange->saved_era = store_version_era(row->version);
	message = blocked_requests__unpack(NULL, row->value->len,
					   (const uint8_t *)row->value->str);
	if (!message) {
		log_warn("crashes",
			 "ignored the blocked requests in the store: the row "
			 "can't be decoded");
		return;
	}
	set_requests(exchange->saved, message->requests, message->n_requests);
	for (i = 0; i < message->n_requests; i++)
		learn_block(exchange, message->requests[i]);
	blocked_requests__free_unpacked(message, NULL);
}

static void on_saved(void *ctx, const struct store_result *result)
{
	struct crash_exchange *exchange = ctx;
	size_t i;

	exchange->saving = false;
	if (result->status == STORE_OK) {
		GArray *saved = exchange->saved;

		exchange->saved = exchange->saving_requests;
		exchange->saving_requests = saved;
		exchange->row_version = result->version;
		return;
	}
	/* Another VM led in between, or the answer to an earlier save was lost.
	 * What the row says is added before it is saved again. */
	if (result->status == STORE_CONFLICT)
		exchange->row_version = 0;
	for (i = 0; i < result->row_count; i++)
		if (result->rows[i].value)
			crash_exchange_load(exchange, &result->rows[i]);
	log_warn("crashes",
		 "the blocked requests were not saved and will be saved again: "
		 "store status %d",
		 result->status);
}

/* Writes the row with the given value. */
static void write_row(struct crash_exchange *exchange, struct str value)
{
	struct store_write write = {
		.table = KEY_TABLE,
		.key = BLOCKED_KEY,
		.expect = exchange->row_version,
		.value = value,
	};

	exchange->saving = true;
	store_calls_count(exchange->options.store.calls, write.table, "save");
	exchange->options.store.ops->write(exchange->options.store.impl, &write,
					   SAVE_TIMEOUT_S, on_saved, exchange);
}

/* Forgets the row if the store may have lost it. */
static void forget_lost_row(struct crash_exchange *exchange)
{
	uint64_t era = store_era_current(exchange->options.store.era);

	if (era == exchange->saved_era)
		return;
	exchange->saved_era = era;
	exchange->row_version = 0;
	g_array_set_size(exchange->saved, 0);
}

void crash_exchange_save(struct crash_exchange *exchange)
{
	BlockedRequests message = BLOCKED_REQUESTS__INIT;
	double now = now_of(exchange);
	GByteArray *packed;

	if (exchange->saving || now < exchange->next_save_s)
		return;
	forget_lost_row(exchange);
	exchange->next_save_s = now + SAVE_INTERVAL_S;
	message.requests = blocked_messages(exchange, &message.n_requests);
	set_requests(exchange->saving_requests, message.requests,
		     message.n_requests);
	if (!equal_arrays(exchange->saving_requests, exchange->saved)) {
		packed = g_byte_array_new();
		g_byte_array_set_size(
			packed,
			(guint)blocked_requests__get_packed_size(&message));
		blocked_requests__pack(&message, packed->data);
		write_row(exchange, (struct str){ (const char *)packed->data,
						  packed->len });
		g_byte_array_free(packed, TRUE);
	}
	message_list_free(message.requests, message.n_requests);
}
