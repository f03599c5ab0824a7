#include "customers/config_contact.h"

#include <math.h>

/* Ticks come every 50 ms. A longer time without one, in seconds, means that the
 * process was frozen. Busy machines delay ticks by less. */
#define FROZEN_AFTER_S 1.0
/* Time, in seconds, after the process resumes in which datagrams may still be
 * read that arrived while it was frozen. */
#define BACKLOG_S 0.1

static bool is_frozen(const struct config_contact *contact, double now_s)
{
	return now_s - contact->tick_s > FROZEN_AFTER_S;
}

void config_contact_tick(struct config_contact *contact, double now_s)
{
	if (contact->tick_s && is_frozen(contact, now_s))
		contact->resumed_s = now_s;
	contact->tick_s = now_s;
}

void config_contact_store_answered(struct config_contact *contact,
				   double asked_s, double now_s)
{
	if (asked_s < contact->resumed_s || is_frozen(contact, now_s))
		return;
	contact->confirmed_s = now_s;
	contact->answered_s = now_s;
}

static bool is_after_backlog(const struct config_contact *contact,
			     double heard_s)
{
	return !contact->resumed_s || heard_s > contact->resumed_s + BACKLOG_S;
}

bool config_contact_trusts(const struct config_contact *contact, double heard_s,
			   double now_s)
{
	return is_after_backlog(contact, heard_s) && !is_frozen(contact, now_s);
}

void config_contact_peer_told(struct config_contact *contact, double heard_s,
			      double answered_s)
{
	if (is_after_backlog(contact, heard_s))
		contact->confirmed_s = fmax(contact->confirmed_s, answered_s);
}

void config_contact_peer_heard(struct config_contact *contact, double heard_s)
{
	config_contact_peer_told(contact, heard_s, heard_s);
}

static double seconds_since(double time_s, double now_s)
{
	return time_s ? now_s - time_s : -1;
}

double config_contact_age_s(const struct config_contact *contact, double now_s)
{
	return seconds_since(contact->confirmed_s, now_s);
}

double config_contact_answer_age_s(const struct config_contact *contact,
				   double now_s)
{
	return seconds_since(contact->answered_s, now_s);
}

bool config_contact_is_current(const struct config_contact *contact,
			       double age_s, double now_s)
{
	return !is_frozen(contact, now_s) &&
	       now_s <= contact->confirmed_s + age_s;
}
