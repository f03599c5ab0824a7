/*
 * Which upstream gets a request, which requests wait, and which are refused.
 * Answers the load of the heaviest days: many requests, few free slots.
 */
#include <string.h>

#include "entry/forward_impl.h"

/* Intervals of the messages about load for which an upstream is sent work
 * beyond its slots. News of an answer needs two; a request that waits here
 * instead starts later than one that waits there. */
#define AHEAD_INTERVALS 6.7
/* Requests ahead at an upstream at most: upstreams queue about so many. */
#define AHEAD_MAX 8.0
/* An upstream in another zone is chosen when it is faster by a usual work, and
 * by the time that the answer's bytes between zones are worth. */
#define OTHER_ZONE_PART 1.0
#define OTHER_ZONE_S_PER_MB 2.0
#define BYTES_PER_MB 1e6
/* Spread of the choice among upstreams that seem alike. */
#define RANDOM_PART 1.0
/* A request is refused when less than this part of its usual time is left. */
#define LEAST_PART 0.6
/* Shortest and usual Retry-After. */
#define RETRY_MIN_S 0.02
/* How long until an owner that is gone has a successor, where nothing better is
 * known. */
#define OWNER_WAIT_S 0.5

static bool was_tried(const struct job *job, const struct upstream *upstream)
{
	unsigned int i;

	for (i = 0; i < job->tried_count; i++)
		if (job->tried[i] == g_intern_string(upstream->entry.id))
			return true;
	return false;
}

static double ahead_limit(const struct job *job,
			  const struct upstream *upstream)
{
	double slots = upstream->load.slots;
	double lag;

	/* Nobody else could run a request for an owner's key. */
	if (job->key >= 0)
		return AHEAD_MAX;
	lag = AHEAD_INTERVALS *
	      roster_load_interval_s(job->forward->options.roster);
	return MIN(1 + slots * lag / job->stats->mean_s, AHEAD_MAX);
}

static bool has_room(const struct job *job, const struct upstream *upstream,
		     double now)
{
	double ahead = ahead_limit(job, upstream);

	return load_in_flight(&upstream->load, now) <
		       upstream->load.slots + ahead &&
	       links_has_capacity(job->forward->options.links, upstream);
}

/* What an answer from another zone costs, as time. */
static double zone_cost_s(const struct job *job,
			  const struct upstream *upstream)
{
	const struct entry_settings *settings = job->forward->options.settings;

	if (!strcmp(upstream->entry.zone, settings->zone))
		return 0;
	return OTHER_ZONE_PART * job->stats->mean_s +
	       OTHER_ZONE_S_PER_MB * job->stats->answer_bytes / BYTES_PER_MB;
}

static double score(const struct job *job, const struct upstream *upstream,
		    double now)
{
	struct forward *forward = job->forward;
	double work = job->stats->mean_s;
	double expected = load_expected_s(&upstream->load, work, now);

	return expected * (1 + RANDOM_PART * g_rand_double(forward->random)) +
	       zone_cost_s(job, upstream);
}

static enum choice choose_any(struct job *job, struct upstream **chosen)
{
	struct forward *forward = job->forward;
	const struct roster *roster = forward->options.roster;
	double now = forward_now(forward);
	enum choice choice = CHOICE_NONE;
	double best = 0;
	guint i;

	*chosen = NULL;
	for (i = 0; i < job->service->upstreams->len; i++) {
		struct upstream *u = job->service->upstreams->pdata[i];
		double s;

		if (!upstream_takes_work(roster, u))
			continue;
		if (was_tried(job, u) && job->service->upstreams->len > 1)
			continue;
		choice = choice == CHOICE_FOUND ? choice : CHOICE_BUSY;
		if (!load_usable(&u->load, now) ||
		    !upstream_cold_admits(roster, u) || !has_room(job, u, now))
			continue;
		s = score(job, u, now);
		if (!*chosen || s < best) {
			*chosen = u;
			best = s;
			choice = CHOICE_FOUND;
		}
	}
	return choice;
}

static enum choice choose_owner(struct job *job, struct upstream **chosen)
{
	struct forward *forward = job->forward;
	const struct roster *roster = forward->options.roster;
	const struct key_span *span =
		key_map_find(job->service->keys, job->key);
	double now = forward_now(forward);
	struct upstream *u;

	if (!span->owner || now < job->not_before_s)
		return CHOICE_NO_OWNER;
	u = roster_upstream(roster, span->owner);
	if (!u || u->service != job->service ||
	    u->entry.started_ms != span->started_ms ||
	    !upstream_serves_keys(roster, u) || !load_usable(&u->load, now))
		return CHOICE_NO_OWNER;
	if (!upstream_cold_admits(roster, u) || !has_room(job, u, now))
		return CHOICE_BUSY;
	*chosen = u;
	return CHOICE_FOUND;
}

struct reasons {
	unsigned int no_work;
	unsigned int failing;
	unsigned int cold;
	unsigned int full;
	unsigned int no_connection;
};

static void count_reason(const struct job *job, const struct upstream *u,
			 double now, struct reasons *reasons)
{
	const struct roster *roster = job->forward->options.roster;

	if (!upstream_takes_work(roster, u))
		reasons->no_work++;
	else if (!load_usable(&u->load, now))
		reasons->failing++;
	else if (!upstream_cold_admits(roster, u))
		reasons->cold++;
	else if (!links_has_capacity(job->forward->options.links, u))
		reasons->no_connection++;
	else
		reasons->full++;
}

void dispatch_describe(const struct job *job, char *buf, size_t size)
{
	const GPtrArray *upstreams = job->service->upstreams;
	double now = forward_now(job->forward);
	struct reasons reasons = { 0 };
	guint i;

	for (i = 0; i < upstreams->len; i++)
		count_reason(job, upstreams->pdata[i], now, &reasons);
	g_snprintf(buf, size,
		   "upstreams=%u no_work=%u failing=%u cold=%u full=%u "
		   "no_connection=%u waiting=%u",
		   upstreams->len, reasons.no_work, reasons.failing,
		   reasons.cold, reasons.full, reasons.no_connection,
		   job->service->waiting.length);
}

enum choice dispatch_choose(struct job *job, struct upstream **upstream)
{
	if (job->key >= 0)
		return choose_owner(job, upstream);
	return choose_any(job, upstream);
}

static void watch_queues(struct forward *forward)
{
	if (!ev_is_active(&forward->pump_timer))
		ev_timer_again(forward->options.loop->ev, &forward->pump_timer);
}

static int compare_jobs(const struct job *a, const struct job *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->give_up_s != b->give_up_s)
		return a->give_up_s < b->give_up_s ? -1 : 1;
	return 0;
}

/* The more urgent first, then those with the least time left. */
static void enqueue(struct job *job)
{
	GQueue *queue = &job->service->waiting;
	GList *at = queue->tail;

	while (at && compare_jobs(job, at->data) < 0)
		at = at->prev;
	if (at)
		g_queue_insert_after_link(queue, at, &job->queue_node);
	else
		g_queue_push_head_link(queue, &job->queue_node);
	job->waiting = true;
	job->forward->waiting++;
	watch_queues(job->forward);
}

void dispatch_withdraw(struct job *job)
{
	if (!job->waiting)
		return;
	g_queue_unlink(&job->service->waiting, &job->queue_node);
	job->waiting = false;
	job->forward->waiting--;
}

static unsigned int requests_ahead(const struct job *job)
{
	unsigned int count = 0;
	GList *at;

	for (at = job->service->waiting.head; at; at = at->next)
		if (compare_jobs(at->data, job) <= 0)
			count++;
	return count;
}

/* Slots of the upstreams that take work. */
static double usable_slots(const struct job *job)
{
	const struct roster *roster = job->forward->options.roster;
	double now = forward_now(job->forward);
	double slots = 0;
	guint i;

	for (i = 0; i < job->service->upstreams->len; i++) {
		const struct upstream *u = job->service->upstreams->pdata[i];

		if (upstream_takes_work(roster, u) &&
		    now >= u->load.ejected_until_s)
			slots += u->load.slots;
	}
	return slots;
}

static struct upstream *owner_of(const struct job *job)
{
	const struct key_span *span =
		key_map_find(job->service->keys, job->key);

	return span->owner ? roster_upstream(job->forward->options.roster,
					     span->owner)
			   : NULL;
}

/* Time until the owner takes one more request, and runs it. */
static double owner_expected_s(const struct job *job)
{
	const struct upstream *owner = owner_of(job);
	double now = forward_now(job->forward);

	return owner ? load_expected_s(&owner->load, job->stats->mean_s, now)
		     : job->stats->mean_s;
}

/* Time until a request that begins to wait now is sent. As many are taken to
 * wait at each of the other VMs. */
static double expected_wait_s(const struct job *job)
{
	double ahead = (requests_ahead(job) + 1.0) *
		       roster_vms(job->forward->options.roster);
	double slots = usable_slots(job);

	return ahead * job->stats->mean_s / (slots > 1 ? slots : 1);
}

/* Time until the key of a job can be asked for. */
static double owner_wait_s(const struct job *job)
{
	const struct key_span *span =
		key_map_find(job->service->keys, job->key);
	const struct upstream *owner = owner_of(job);
	double now = forward_now(job->forward);

	if (!span->owner)
		return MAX(job->service->keys_updated_s + span->wait_s - now,
			   0);
	if (!owner || owner->entry.started_ms != span->started_ms)
		return OWNER_WAIT_S;
	if (!load_usable(&owner->load, now))
		return MAX(owner->load.ejected_until_s - now, 0);
	return MAX(owner_expected_s(job) - job->stats->mean_s, 0);
}

double dispatch_room_s(const struct job *job)
{
	double wait = job->key >= 0 ? owner_wait_s(job) : expected_wait_s(job);

	return wait > RETRY_MIN_S ? wait : RETRY_MIN_S;
}

/* Lets a job wait when it can still be served then, else refuses it. */
static void wait_or_refuse(struct job *job, enum choice choice)
{
	double left = job->give_up_s - forward_now(job->forward);
	double need = LEAST_PART * job->stats->mean_s;

	if (job_outlives(job)) {
		job_refuse(job, 503, 0, "this_vm_stops");
		return;
	}
	if (choice == CHOICE_NONE) {
		job_refuse(job, 503, OWNER_WAIT_S, "no_upstream");
		return;
	}
	if (choice == CHOICE_BUSY && job->key < 0)
		need += expected_wait_s(job);
	else if (choice == CHOICE_BUSY)
		need = LEAST_PART * owner_expected_s(job);
	else
		need += owner_wait_s(job);
	if (left < need) {
		job_refuse(job, 503, dispatch_room_s(job), "no_room");
		return;
	}
	enqueue(job);
}

static void send_to(struct job *job, struct upstream *upstream)
{
	struct forward *forward = job->forward;
	double now = forward_now(forward);

	dispatch_withdraw(job);
	if (!job->sends)
		histogram_record(
			forward->wait_time,
			(int64_t)((now - job->received_s) * US_PER_SECOND));
	flight_send(job, upstream, false);
}

void dispatch_job(struct job *job)
{
	struct upstream *upstream;
	enum choice choice = dispatch_choose(job, &upstream);

	if (choice == CHOICE_FOUND)
		send_to(job, upstream);
	else
		wait_or_refuse(job, choice);
}

static void pump_one(struct job *job)
{
	struct upstream *upstream;
	enum choice choice = dispatch_choose(job, &upstream);
	double left = job->give_up_s - forward_now(job->forward);
	double need = job->stats->mean_s;

	if (choice == CHOICE_BUSY && job->key >= 0)
		need = owner_expected_s(job);
	else if (choice == CHOICE_NO_OWNER)
		need += owner_wait_s(job) / LEAST_PART;
	if (choice == CHOICE_FOUND)
		send_to(job, upstream);
	else if (job_outlives(job))
		job_refuse(job, 503, 0, "this_vm_stops");
	else if (choice == CHOICE_NONE || left < LEAST_PART * need)
		job_refuse(job, 503, dispatch_room_s(job),
			   choice == CHOICE_NO_OWNER ? "no_owner_in_time"
						     : "no_room_in_time");
}

/* A request that ends may take others of its connection with it. */
static GPtrArray *waiting_jobs(const struct service *service)
{
	GPtrArray *jobs = g_ptr_array_new();
	GList *at;

	for (at = service->waiting.head; at; at = at->next)
		g_ptr_array_add(jobs, at->data);
	return jobs;
}

void dispatch_pump(struct forward *forward, struct service *service)
{
	GPtrArray *jobs;
	guint i;

	if (!service->waiting.length)
		return;
	jobs = waiting_jobs(service);
	for (i = 0; i < jobs->len; i++)
		if (g_hash_table_contains(forward->jobs, jobs->pdata[i]))
			pump_one(jobs->pdata[i]);
	g_ptr_array_free(jobs, TRUE);
	if (!forward->waiting)
		ev_timer_stop(forward->options.loop->ev, &forward->pump_timer);
}
