#include "entry/watch_status.h"

#include <string.h>
#include <time.h>

#define MS_PER_S 1000.0
#define NS_PER_S 1e9
/* A call of watch_status_tick() that comes this much late, in seconds, is
 * logged. */
#define LATE_S 0.25

struct watch_status {
	struct watch_status_options options;
	/** The store's answers about each table, to this VM or to one that it
	 * heard. Unlike in operator_contact, it isn't enough to have heard a
	 * VM that the store may not have answered either. */
	struct config_contact contacts[COPIED_TABLES];
	/** Row version of the configuration in force; 0: none. */
	uint64_t config_row;
	struct watch_news news;
	/** When watch_status_tick() was last called, and the processor time
	 * that the process had used; 0: never. */
	double tick_s;
	double used_s;
	struct counter *late;
};

static double now_of(const struct watch_status *status)
{
	return loop_now(status->options.loop);
}

const char *watch_source_name(enum watch_source source)
{
	static const char *const names[WATCH_SOURCES] = {
		[WATCH_STORE] = "store",
		[WATCH_LEADER] = "leader",
		[WATCH_BACKUP] = "backup",
		[WATCH_WAITING_BACKUP] = "waiting_backup",
	};

	return names[source];
}

struct watch_status *
watch_status_create(const struct watch_status_options *options)
{
	struct watch_status *status = g_new0(struct watch_status, 1);

	status->options = *options;
	status->news.role = "follower";
	status->news.source = WATCH_LEADER;
	status->news.hears_leader = true;
	status->news.leader_heard_s = now_of(status);
	status->late = metrics_counter(
		options->metrics, "auburn_late_ticks_total", "",
		"Times that the event loop stood still for 0.25 s or more.");
	return status;
}

void watch_status_destroy(struct watch_status *status)
{
	g_free(status);
}

void watch_status_answered(struct watch_status *status, enum copied_table table,
			   double asked_s)
{
	config_contact_store_answered(&status->contacts[table], asked_s,
				      now_of(status));
	if (table == COPIED_OPERATOR_ROWS)
		config_contact_store_answered(status->options.operator_contact,
					      asked_s, now_of(status));
}

uint64_t watch_status_config_row(const struct watch_status *status)
{
	return status->config_row;
}

void watch_status_set_config_row(struct watch_status *status, uint64_t row)
{
	status->config_row = row;
}

const struct watch_news *watch_status_news(const struct watch_status *status)
{
	return &status->news;
}

/* Returns the processor time that this process has used, in seconds. */
static double used_s(void)
{
	struct timespec used = { 0 };

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec + (double)used.tv_nsec / NS_PER_S;
}

void watch_status_tick(struct watch_status *status)
{
	double late_s = now_of(status) - status->tick_s - WATCH_TICK_S;
	double used = used_s();

	if (status->tick_s && late_s >= LATE_S) {
		counter_add(status->late, 1);
		event_log_write(status->options.log, "warning", "entry",
				"event=late_tick late_ms=%.0f used_ms=%.0f",
				late_s * MS_PER_S,
				(used - status->used_s) * MS_PER_S);
	}
	status->tick_s = now_of(status);
	status->used_s = used;
}

/* Tells of another source or role, and of heartbeats that are missing. */
static void note_changes(const struct watch_status *status,
			 const struct watch_news *news)
{
	const struct watch_news *last = &status->news;
	double leader_age_s = now_of(status) - last->leader_heard_s;

	if (last->hears_leader != news->hears_leader)
		event_log_write(status->options.log,
				news->hears_leader ? "info" : "warning",
				"cluster", "event=%s role=%s age_ms=%.0f",
				news->hears_leader ? "heartbeats_back"
						   : "heartbeats_lost",
				news->role, leader_age_s * MS_PER_S);
	if (last->missed_owners != news->missed_owners)
		event_log_write(status->options.log,
				news->missed_owners ? "warning" : "info",
				"cluster", "event=%s role=%s",
				news->missed_owners ? "owners_missed"
						    : "owners_complete",
				news->role);
	if (last->source != news->source || strcmp(last->role, news->role) != 0)
		event_log_write(status->options.log, "info", "cluster",
				"event=relies_on source=%s before=%s role=%s "
				"role_before=%s leader_age_ms=%.0f",
				watch_source_name(news->source),
				watch_source_name(last->source), news->role,
				last->role, leader_age_s * MS_PER_S);
}

static bool has_newest(const struct watch_news *news, enum copied_table table)
{
	return news->known_rows[table] >= news->newest_rows[table];
}

void watch_status_update(struct watch_status *status,
			 const struct watch_news *news)
{
	struct config_contact *judged = status->options.operator_contact;
	int table;

	note_changes(status, news);
	config_contact_tick(judged, now_of(status));
	if (has_newest(news, COPIED_OPERATOR_ROWS))
		config_contact_peer_heard(judged, news->heard_s);
	for (table = 0; table < COPIED_TABLES; table++) {
		config_contact_tick(&status->contacts[table], now_of(status));
		if (has_newest(news, table))
			config_contact_peer_told(&status->contacts[table],
						 news->heard_s,
						 news->told_s[table]);
	}
	status->news = *news;
}

double watch_status_age_s(const struct watch_status *status,
			  enum copied_table table)
{
	return config_contact_age_s(&status->contacts[table], now_of(status));
}

double watch_status_answer_age_s(const struct watch_status *status,
				 enum copied_table table)
{
	return config_contact_answer_age_s(&status->contacts[table],
					   now_of(status));
}

double watch_status_leader_age_s(const struct watch_status *status)
{
	return now_of(status) - status->news.leader_heard_s;
}

/* Converts an age to milliseconds; an unknown one stays -1. */
static double age_ms(double age_s)
{
	return age_s < 0 ? -1 : age_s * MS_PER_S;
}

double watch_status_age_ms(const struct watch_status *status,
			   enum copied_table table)
{
	return status ? age_ms(watch_status_age_s(status, table)) : -1;
}

void watch_status_describe(const struct watch_status *status, char *buf,
			   size_t size)
{
	const struct watch_news *news;

	buf[0] = '\0';
	if (!status)
		return;
	news = &status->news;
	g_snprintf(
		buf, size,
		"config_row=%" PRIu64 " known_row=%" PRIu64
		" newest_row=%" PRIu64
		" config_age_ms=%.0f store_age_ms=%.0f source=%s"
		" leader_age_ms=%.0f",
		store_version_own(status->config_row),
		store_version_own(news->known_rows[COPIED_OPERATOR_ROWS]),
		store_version_own(news->newest_rows[COPIED_OPERATOR_ROWS]),
		watch_status_age_ms(status, COPIED_OPERATOR_ROWS),
		age_ms(watch_status_answer_age_s(status, COPIED_OPERATOR_ROWS)),
		watch_source_name(news->source),
		watch_status_leader_age_s(status) * MS_PER_S);
}
