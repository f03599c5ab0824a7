#include "entry/watch_status.h"

#define MS_PER_S 1000.0

struct watch_status {
	struct watch_status_options options;
	/** Contact with the store and the other VMs about each table. */
	struct config_contact *contacts[COPIED_TABLES];
	struct config_contact upstream_contact;
	/** Row version of the configuration in force; 0: none. */
	uint64_t config_row;
	struct watch_news news;
};

static double now_of(const struct watch_status *status)
{
	return loop_now(status->options.loop);
}

struct watch_status *
watch_status_create(const struct watch_status_options *options)
{
	struct watch_status *status = g_new0(struct watch_status, 1);

	status->options = *options;
	status->contacts[COPIED_OPERATOR_ROWS] = options->operator_contact;
	status->contacts[COPIED_UPSTREAM_ROWS] = &status->upstream_contact;
	status->news.source = "store";
	status->news.leader_heard_s = now_of(status);
	return status;
}

void watch_status_destroy(struct watch_status *status)
{
	g_free(status);
}

void watch_status_answered(struct watch_status *status, enum copied_table table,
			   double asked_s)
{
	config_contact_store_answered(status->contacts[table], asked_s,
				      now_of(status));
}

void watch_status_set_config_row(struct watch_status *status, uint64_t row)
{
	status->config_row = row;
}

void watch_status_update(struct watch_status *status,
			 const struct watch_news *news)
{
	int table;

	for (table = 0; table < COPIED_TABLES; table++) {
		config_contact_tick(status->contacts[table], now_of(status));
		if (news->known_rows[table] >= news->newest_rows[table])
			config_contact_peer_heard(status->contacts[table],
						  news->heard_s);
	}
	status->news = *news;
}

double watch_status_age_s(const struct watch_status *status,
			  enum copied_table table)
{
	return config_contact_age_s(status->contacts[table], now_of(status));
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

void watch_status_describe(const struct watch_status *status, char *buf,
			   size_t size)
{
	const struct watch_news *news;
	double answer_s;

	buf[0] = '\0';
	if (!status)
		return;
	news = &status->news;
	answer_s = config_contact_answer_age_s(
		status->contacts[COPIED_OPERATOR_ROWS], now_of(status));
	g_snprintf(buf, size,
		   "config_row=%" PRIu64 " known_row=%" PRIu64
		   " newest_row=%" PRIu64
		   " config_age_ms=%.0f store_age_ms=%.0f source=%s"
		   " leader_age_ms=%.0f",
		   status->config_row, news->known_rows[COPIED_OPERATOR_ROWS],
		   news->newest_rows[COPIED_OPERATOR_ROWS],
		   age_ms(watch_status_age_s(status, COPIED_OPERATOR_ROWS)),
		   age_ms(answer_s), news->source,
		   watch_status_leader_age_s(status) * MS_PER_S);
}
