/*
 * Which upstream gets a request, which requests wait, and which are refused.
 * Answers the load of the heaviest days: many requests, few free slots.
 */
#include "entry/forward_impl.h"

/* Requests that wait at an upstream beyond its slots, so that none stands idle
 * while an answer is on its way. */
#define AHEAD_MAX 1.0
/* The same for an owner: nobody else could run the request. */
#define AHEAD_MAX_KEYED 6.0
/* An upstream in another zone is chosen when it is faster by this part. */
#define OTHER_ZONE_PART 0.25
/* Spread of the choice among upstreams that seem alike. */
#define RANDOM_PART 0.1
/* A request is refused when less than this part of its usual time is left. */
#define LEAST_PART 0.6
/* Shortest and usual Retry-After. */
#define RETRY_MIN_S 0.02
/* How long until a lost owner's keys are served again, at most. */
#define OWNER_WAIT_S 0.5

static bool was_tried(const struct job *job, const struct upstream *upstream)
{
	unsigned int i;

	for (i = 0; i < job->tried_count; i++)
		if (job->tried[i] == g_intern_string(upstream->entry.id))
			return true;
	return false;
}

static bool has_room(const struct job *job, const struct upstream *upstream,
		     double now, double ahead)
{
	return load_busy(&upstream->load, now) < upstream->load.slots + ahead &&
	       links_available(job->forward->options.links, upstream);
}

static double score(const struct job *job, const struct upstream *upstream,
		    double now)
{
	struct forward *forward = job->forward;
	double work = job->stats->mean_s;
	double expected = load_expected_s(&upstream->load, work, now);

	if (g_strcmp0(upstream->entry.zone, forward->options.settings->zone) !=
	    0)
		expected += OTHER_ZONE_PART * work;
	return expected * (1 + RANDOM_PART * g_rand_double(forward->random));
}

static enum choice choose_any(struct job *job, struct upstream **chosen)
{
	struct forward *forward = job->forward;
	const struct fleet *fleet = forward->options.fleet;
	double now = forward_now(forward);
	enum choice choice = CHOICE_NONE;
	double best = 0;
	guint i;

	*chosen = NULL;
	for (i = 0; i < job->service->upstreams->len; i++) {
		struct upstream *u = job->service->upstreams->pdata[i];
		double s;

		if (!upstream_takes_work(fleet, u))
			continue;
		if (was_tried(job, u) && job->service->upstreams->len > 1)
			continue;
		choice = choice == CHOICE_FOUND ? choice : CHOICE_BUSY;
		if (!load_usable(&u->load, now) ||
		    !upstream_cold_admits(fleet, u) ||
		    !has_room(job, u, now, AHEAD_MAX))
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
	const struct fleet *fleet = forward->options.fleet;
	const struct key_span *span =
		key_map_find(job->service->keys, job->key);
	double now = forward_now(forward);
	struct upstream *u;

	if (!span->owner || now < job->not_before_s)
		return CHOICE_NO_OWNER;
	u = fleet_upstream(fleet, span->owner);
	if (!u || u->service != job->service ||
	    u->entry.started_ms != span->started_ms ||
	    !upstream_serves_keys(fleet, u) || !load_usable(&u->load, now))
		return CHOICE_NO_OWNER;
	if (!upstream_cold_admits(fleet, u) ||
	    !has_room(job, u, now, AHEAD_MAX_KEYED))
		return CHOICE_BUSY;
	*chosen = u;
	return CHOICE_FOUND;
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

static unsigned int own_flights(const struct service *service)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < service->upstreams->len; i++) {
		const struct upstream *u = service->upstreams->pdata[i];

		count += u->load.flights;
	}
	return count;
}

/* Time until a request that begins to wait now is sent. */
static double expected_wait_s(const struct job *job)
{
	double rate = own_flights(job->service);

	return (requests_ahead(job) + 1) * job->stats->mean_s /
	       (rate > 1 ? rate : 1);
}

double dispatch_room_s(const struct job *job)
{
	double wait = job->key >= 0 ? OWNER_WAIT_S : expected_wait_s(job);

	return wait > RETRY_MIN_S ? wait : RETRY_MIN_S;
}

/* Lets a job wait when it can still be served then, else refuses it. */
static void wait_or_refuse(struct job *job, enum choice choice)
{
	double left = job->give_up_s - forward_now(job->forward);
	double need = LEAST_PART * job->stats->mean_s;

	if (choice == CHOICE_NONE) {
		job_refuse(job, 503, OWNER_WAIT_S, "no_upstream");
		return;
	}
	if (choice == CHOICE_BUSY && job->key < 0)
		need += expected_wait_s(job);
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

	if (choice == CHOICE_FOUND)
		send_to(job, upstream);
	else if (choice == CHOICE_NONE ||
		 left < LEAST_PART * job->stats->mean_s)
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
