#include "platform_faults.h"

#include <glib.h>
#include <pthread.h>
#include <stddef.h>
#include <string.h>

#include "base/clock.h"

/* Longest time that a call is left without a response; bounded so that the
 * process can stop. */
#define SILENT_LIMIT_US (30 * US_PER_SECOND)
/* Time between two checks for the end of a silent outage. */
#define SILENT_CHECK_US (20 * US_PER_MS)
#define PERCENT 100

enum outage {
	OUTAGE_NONE,
	OUTAGE_REFUSE,
	OUTAGE_SILENT,
};

struct faults {
	/* Guards the members below. */
	pthread_mutex_t lock;
	GRand *rand;
	/* Settings, see faults_configure(). */
	enum outage outage;
	int64_t slow_ms, lose_next, lose_percent, list_lag_ms;
	/* Counters, see faults_stats(). */
	int64_t calls, reads, writes, responses_dropped, refused;
};

struct faults *faults_create(uint64_t seed)
{
	struct faults *faults = g_new0(struct faults, 1);

	pthread_mutex_init(&faults->lock, NULL);
	faults->rand = g_rand_new_with_seed((guint32)seed);
	return faults;
}

void faults_destroy(struct faults *faults)
{
	g_rand_free(faults->rand);
	pthread_mutex_destroy(&faults->lock);
	g_free(faults);
}

static bool set_outage(struct faults *faults, const json_t *value)
{
	const char *text = json_string_value(value);

	if (json_is_boolean(value))
		faults->outage =
			json_is_true(value) ? OUTAGE_REFUSE : OUTAGE_NONE;
	else if (text && !strcmp(text, "silent"))
		faults->outage = OUTAGE_SILENT;
	else
		return false;
	return true;
}

/* Applies one setting; returns false when its name is unknown or its value has
 * the wrong type. The caller holds the lock. */
static bool set_fault(struct faults *faults, const char *name,
		      const json_t *value)
{
	static const struct {
		const char *name;
		size_t offset;
	} numbers[] = {
		{ "slow_ms", offsetof(struct faults, slow_ms) },
		{ "lose_next", offsetof(struct faults, lose_next) },
		{ "lose_percent", offsetof(struct faults, lose_percent) },
		{ "list_lag_ms", offsetof(struct faults, list_lag_ms) },
	};
	size_t i;

	if (!strcmp(name, "outage"))
		return set_outage(faults, value);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		if (!strcmp(name, numbers[i].name) && json_is_integer(value)) {
			*(int64_t *)((char *)faults + numbers[i].offset) =
				json_integer_value(value);
			return true;
		}
	return false;
}

bool faults_configure(struct faults *faults, const json_t *change)
{
	const char *name;
	json_t *value;
	bool ok = true;

	pthread_mutex_lock(&faults->lock);
	json_object_foreach ((json_t *)change, name, value)
		ok = set_fault(faults, name, value) && ok;
	pthread_mutex_unlock(&faults->lock);
	return ok;
}

/* Returns the current outage and sets slow_ms to the current delay of calls. */
static enum outage outage_now(struct faults *faults, int64_t *slow_ms)
{
	enum outage outage;

	pthread_mutex_lock(&faults->lock);
	outage = faults->outage;
	*slow_ms = faults->slow_ms;
	pthread_mutex_unlock(&faults->lock);
	return outage;
}

/* Sleeps until the silent outage ends, at most SILENT_LIMIT_US. */
static void wait_for_outage_end(struct faults *faults)
{
	int64_t waited = 0, slow_ms;

	while (waited < SILENT_LIMIT_US &&
	       outage_now(faults, &slow_ms) == OUTAGE_SILENT) {
		g_usleep(SILENT_CHECK_US);
		waited += SILENT_CHECK_US;
	}
}

enum fault_outcome faults_apply(struct faults *faults)
{
	int64_t slow_ms;
	enum outage outage = outage_now(faults, &slow_ms);

	pthread_mutex_lock(&faults->lock);
	faults->calls++;
	faults->refused += outage != OUTAGE_NONE;
	pthread_mutex_unlock(&faults->lock);
	if (outage == OUTAGE_REFUSE)
		return FAULT_REFUSE;
	if (outage == OUTAGE_SILENT) {
		wait_for_outage_end(faults);
		return FAULT_CLOSE;
	}
	if (slow_ms > 0)
		g_usleep((gulong)(slow_ms * US_PER_MS));
	return FAULT_NONE;
}

bool faults_drop_response(struct faults *faults)
{
	bool drop;

	pthread_mutex_lock(&faults->lock);
	drop = faults->lose_next > 0;
	if (drop)
		faults->lose_next--;
	else
		drop = g_rand_int_range(faults->rand, 0, PERCENT) <
		       faults->lose_percent;
	faults->responses_dropped += drop;
	pthread_mutex_unlock(&faults->lock);
	return drop;
}

int64_t faults_list_lag_us(struct faults *faults)
{
	int64_t lag_us;

	pthread_mutex_lock(&faults->lock);
	lag_us = faults->list_lag_ms * US_PER_MS;
	pthread_mutex_unlock(&faults->lock);
	return lag_us;
}

void faults_count_operations(struct faults *faults, unsigned int reads,
			     unsigned int writes)
{
	pthread_mutex_lock(&faults->lock);
	faults->reads += reads;
	faults->writes += writes;
	pthread_mutex_unlock(&faults->lock);
}

json_t *faults_stats(struct faults *faults)
{
	json_t *stats;

	pthread_mutex_lock(&faults->lock);
	stats = json_pack("{s:I,s:I,s:I,s:I,s:I}", "calls",
			  (json_int_t)faults->calls, "reads",
			  (json_int_t)faults->reads, "writes",
			  (json_int_t)faults->writes, "answers_lost",
			  (json_int_t)faults->responses_dropped, "refused",
			  (json_int_t)faults->refused);
	pthread_mutex_unlock(&faults->lock);
	return stats;
}
