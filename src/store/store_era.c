#include "store/store_era.h"

#include <glib.h>

struct store_era {
	const struct loop *loop;
	struct event_log *log;
	/** Whether an answer showed an era, and the newest one. */
	bool known;
	uint64_t current;
	double changed_s;
	/** Highest version of the store in this era, and the loop time at which
	 * it was seen. */
	uint64_t own;
	double own_seen_s;
	struct counter *gauge;
	struct counter *changes;
	struct counter *versions_back;
	struct counter *late;
};

struct store_era *store_era_create(const struct loop *loop,
				   struct event_log *log,
				   struct metrics *metrics)
{
	struct store_era *era = g_new0(struct store_era, 1);

	era->loop = loop;
	era->log = log;
	era->gauge =
		metrics_gauge(metrics, "auburn_store_era", "",
			      "Newest era that the store showed; 0: none.");
	era->changes = metrics_counter(
		metrics, "auburn_store_era_changes_total", "",
		"Times that the store came back from an older copy.");
	era->versions_back = metrics_counter(
		metrics, "auburn_store_versions_back_total", "",
		"Times that the version of the store went back in one era.");
	era->late = metrics_counter(
		metrics, "auburn_store_late_answers_total", "",
		"Answers of an earlier era, which were ignored.");
	return era;
}

void store_era_destroy(struct store_era *era)
{
	g_free(era);
}

void store_era_observe(struct store_era *era, uint64_t number, const char *call)
{
	if (!era || (era->known && number <= era->current))
		return;
	if (era->known) {
		era->changed_s = loop_now(era->loop);
		counter_add(era->changes, 1);
	}
	if (era->log)
		event_log_write(era->log, era->known ? "warning" : "info",
				"store",
				"event=%s era=%" PRIu64 " before=%" PRIu64
				" version=%" PRIu64 " call=%s",
				era->known ? "era_changed" : "era_known",
				number, era->current, era->own, call);
	era->known = true;
	era->current = number;
	era->own = 0;
	era->own_seen_s = 0;
	counter_set(era->gauge, number);
}

void store_era_observe_version(struct store_era *era, uint64_t own,
			       double sent_s, const char *call)
{
	if (!era || !own)
		return;
	if (own < era->own && sent_s <= era->own_seen_s)
		return;
	if (own < era->own) {
		counter_add(era->versions_back, 1);
		if (era->log)
			event_log_write(era->log, "warning", "store",
					"event=version_went_back"
					" version=%" PRIu64 " before=%" PRIu64
					" era=%" PRIu64 " call=%s",
					own, era->own, era->current, call);
	}
	era->own = own;
	era->own_seen_s = loop_now(era->loop);
}

void store_era_note_late(struct store_era *era, uint64_t number,
			 const char *call)
{
	if (!era)
		return;
	counter_add(era->late, 1);
	if (era->log)
		event_log_write(era->log, "info", "store",
				"event=late_answer era=%" PRIu64
				" current=%" PRIu64 " call=%s",
				number, era->current, call);
}

uint64_t store_era_current(const struct store_era *era)
{
	return era ? era->current : 0;
}

double store_era_changed_s(const struct store_era *era)
{
	return era ? era->changed_s : 0;
}
