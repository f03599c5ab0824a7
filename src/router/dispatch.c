#include "router/dispatch.h"

#include "router/dispatch_internal.h"

/* Most crash reports that one answer of an upstream can revoke. */
#define REPORTS_MAX 8

static int64_t now_of(const struct dispatch *dispatch)
{
	return clock_now_us(dispatch->options.clock);
}

/* Returns the guarded state of a service that a worker refers to. */
static struct service_state *state_of(struct dispatch_service *service)
{
	/* struct service_state starts with the shared part. */
	return (struct service_state *)service;
}

static void wake_control_thread(struct dispatch *dispatch)
{
	dispatch->options.wake_control(dispatch->options.ctx);
}

/*
 * Tells whether a trial may start: this router runs no other trial of the
 * service and holds the only share for one. Without the share, schedules a
 * request for it.
 */
static bool trial_allowed(struct service_state *service, int64_t now_us)
{
	if (service->trial_running)
		return false;
	if (now_us < service->trial_until_us)
		return true;
	service->trial_wanted = true;
	wake_control_thread(service->dispatch);
	return false;
}

/*
 * Finds an upstream with a free slot: the owner, or any when owner is "". When
 * only a share of an upstream's budget is missing, schedules a request for a
 * share.
 *
 * @param ticket upstreams that the ticket was sent to before are taken only if
 *        no other has a free slot; NULL: all upstreams are equal
 * @param upstream set to the upstream's pool index
 * @return false when no slot is free
 */
static bool find_slot(struct service_state *service, const char *owner,
		      const struct ticket *ticket, uint32_t *upstream)
{
	struct pool *pool = service->pool;
	int64_t now_us = now_of(service->dispatch);
	enum pool_availability availability;

	if (*owner) {
		*upstream = pool_find(pool, str_from(owner));
		availability = *upstream == POOL_NONE
				       ? POOL_EMPTY
				       : pool_check(pool, *upstream, now_us);
	} else {
		availability = pool_pick(pool, ticket ? ticket->tried : NULL,
					 ticket ? ticket->tried_count : 0,
					 now_us, upstream);
		/* Fall back to an upstream that was tried before. */
		if (availability != POOL_OK && ticket && ticket->tried_count)
			availability =
				pool_pick(pool, NULL, 0, now_us, upstream);
	}
	if (availability == POOL_NO_SHARE)
		wake_control_thread(service->dispatch);
	return availability == POOL_OK;
}

/* Tells the admission queue whether a lane's next request could run now. */
static bool lane_ready(void *ctx, void *owner)
{
	const struct lane *lane = owner;
	uint32_t upstream;

	(void)ctx;
	if (lane->trial &&
	    !trial_allowed(lane->service, now_of(lane->service->dispatch)))
		return false;
	return find_slot(lane->service, lane->owner, NULL, &upstream);
}

/* Sends a ticket to its worker, with REASON_NONE when it has a slot. */
static void deliver_ticket(struct ticket *ticket, enum verdict_reason reason)
{
	ticket->state = TICKET_POSTED;
	ticket->entry = NULL;
	ticket->reason = reason;
	mailbox_send(ticket->mailbox, &ticket->message);
}

/* Takes a slot at an upstream for a ticket and records that the request is
 * being sent to that upstream, in case it crashes. */
static void start_flight(struct service_state *service, struct ticket *ticket,
			 uint32_t upstream, int64_t now_us)
{
	struct str id = pool_id(service->pool, upstream);

	ticket->flight = pool_start(service->pool, upstream, now_us);
	ticket->started_us = now_us;
	ticket->send_before_us = pool_flight_send_before(ticket->flight);
	if (ticket->lane && ticket->lane->trial)
		ticket->send_before_us =
			MIN(ticket->send_before_us, service->trial_until_us);
	g_snprintf(ticket->upstream, sizeof(ticket->upstream), "%.*s",
		   STR_ARG(id));
	if (ticket->tried_count < POOL_TRIED_MAX)
		ticket->tried[ticket->tried_count++] = upstream;
	ticket->poison_handle =
		poison_begin(service->dispatch->poison, ticket->fingerprint, id,
			     pool_boot(service->pool, upstream));
}

/* Ends the ticket's count against the admission limit. */
static void release_admission(struct ticket *ticket)
{
	if (!ticket->admitted || !ticket->lane)
		return;
	admission_done(ticket->lane->service->dispatch->admission,
		       ticket->lane->index, ticket->response_us);
	ticket->admitted = false;
}

/* Assigns a slot to a ticket that the queue admitted, and delivers it. */
static void admit(struct dispatch *dispatch, struct ticket *ticket,
		  int64_t now_us)
{
	struct service_state *service = ticket->lane->service;
	uint32_t upstream;

	ticket->admitted = true;
	ticket->admitted_us = now_us;
	ticket->response_us = 0;
	histogram_record(service->shared.queue_time,
			 now_us - ticket->enqueued_us);
	if (!find_slot(service, ticket->lane->owner, ticket, &upstream)) {
		release_admission(ticket);
		deliver_ticket(ticket, REASON_NO_UPSTREAM);
		return;
	}
	if (ticket->lane->trial)
		service->trial_running = true;
	start_flight(service, ticket, upstream, now_us);
	(void)dispatch;
	deliver_ticket(ticket, REASON_NONE);
}

void dispatch_admit(struct dispatch *dispatch, int64_t now_us)
{
	for (;;) {
		void *request;
		uint32_t lane;

		switch (admission_next(dispatch->admission, lane_ready,
				       dispatch, now_us, &request, &lane)) {
		case ADMISSION_IDLE:
			return;
		case ADMISSION_SEND:
			admit(dispatch, request, now_us);
			break;
		case ADMISSION_EXPIRED:
			deliver_ticket(request, REASON_DEADLINE_IN_QUEUE);
			break;
		}
	}
}

struct dispatch_service *dispatch_service(struct dispatch *dispatch,
					  struct str name)
{
	struct service_state *service;

	pthread_mutex_lock(&dispatch->lock);
	service = g_hash_table_lookup(dispatch->services, &name);
	pthread_mutex_unlock(&dispatch->lock);
	return service ? &service->shared : NULL;
}

void dispatch_enqueue(struct dispatch *dispatch, struct ticket *ticket)
{
	struct service_state *service = state_of(ticket->service);
	enum verdict_reason reason;
	void *refused;
	int64_t now_us;

	pthread_mutex_lock(&dispatch->lock);
	now_us = now_of(dispatch);
	ticket->enqueued_us = now_us;
	ticket->lane =
		dispatch_find_lane(service, ticket->owner, ticket->trial);
	ticket->state = TICKET_QUEUED;
	ticket->entry = admission_enqueue(
		dispatch->admission, ticket->lane->index, ticket->deadline_us,
		ticket, now_us, &refused, &reason);
	if (refused)
		deliver_ticket(refused, reason);
	dispatch_admit(dispatch, now_us);
	pthread_mutex_unlock(&dispatch->lock);
}

bool dispatch_try_backup(struct dispatch *dispatch, struct ticket *ticket)
{
	struct service_state *service = state_of(ticket->service);
	int64_t now_us;
	uint32_t upstream;
	bool found;

	pthread_mutex_lock(&dispatch->lock);
	now_us = now_of(dispatch);
	found = pool_backup_allowed(service->pool) &&
		pool_pick(service->pool, ticket->tried, ticket->tried_count,
			  now_us, &upstream) == POOL_OK;
	if (found) {
		ticket->lane = NULL;
		start_flight(service, ticket, upstream, now_us);
		ticket->state = TICKET_IN_FLIGHT;
	}
	pthread_mutex_unlock(&dispatch->lock);
	return found;
}

bool dispatch_withdraw(struct dispatch *dispatch, struct ticket *ticket)
{
	bool withdrawn = true;

	pthread_mutex_lock(&dispatch->lock);
	if (ticket->state == TICKET_QUEUED) {
		admission_cancel(dispatch->admission, ticket->entry);
		ticket->entry = NULL;
		ticket->state = TICKET_IDLE;
	} else {
		withdrawn = ticket->state != TICKET_POSTED;
	}
	pthread_mutex_unlock(&dispatch->lock);
	return withdrawn;
}

void dispatch_answer_begun(struct dispatch *dispatch, struct ticket *ticket,
			   struct str boot)
{
	struct service_state *service = state_of(ticket->service);
	struct poison_report reports[REPORTS_MAX];
	size_t i, n;
	int64_t now_us;

	pthread_mutex_lock(&dispatch->lock);
	now_us = now_of(dispatch);
	if (ticket->admitted)
		ticket->response_us = now_us - ticket->admitted_us;
	pool_answer_started(service->pool, ticket->flight, boot, now_us);
	n = poison_revoke_deaths(dispatch->poison, str_from(ticket->upstream),
				 boot, ticket->started_us, reports,
				 REPORTS_MAX);
	for (i = 0; i < n; i++)
		dispatch_queue_report(dispatch, &reports[i]);
	pthread_mutex_unlock(&dispatch->lock);
}

void dispatch_finish(struct dispatch *dispatch, struct ticket *ticket,
		     enum pool_outcome_kind outcome, enum poison_end poison)
{
	struct service_state *service = state_of(ticket->service);
	struct poison_report report;
	int64_t now_us;

	pthread_mutex_lock(&dispatch->lock);
	now_us = now_of(dispatch);
	pool_finish(service->pool, ticket->flight, outcome, now_us);
	ticket->flight = NULL;
	if (poison_end(dispatch->poison, ticket->poison_handle, poison, now_us,
		       &report))
		dispatch_queue_report(dispatch, &report);
	if (ticket->lane && ticket->lane->trial) {
		service->trial_running = false;
		service->trial_until_us = 0;
	}
	release_admission(ticket);
	ticket->state = TICKET_IDLE;
	dispatch_admit(dispatch, now_us);
	pthread_mutex_unlock(&dispatch->lock);
}

void dispatch_tick(struct dispatch *dispatch)
{
	pthread_mutex_lock(&dispatch->lock);
	dispatch_admit(dispatch, now_of(dispatch));
	pthread_mutex_unlock(&dispatch->lock);
}

int64_t dispatch_backup_delay(struct dispatch *dispatch,
			      struct dispatch_service *service)
{
	int64_t delay_us;

	pthread_mutex_lock(&dispatch->lock);
	delay_us = pool_backup_delay(state_of(service)->pool);
	pthread_mutex_unlock(&dispatch->lock);
	return delay_us;
}

enum poison_check dispatch_check_poison(struct dispatch *dispatch,
					uint64_t fingerprint)
{
	enum poison_check check;

	pthread_mutex_lock(&dispatch->lock);
	check = poison_check(dispatch->poison, fingerprint, now_of(dispatch));
	pthread_mutex_unlock(&dispatch->lock);
	return check;
}

void dispatch_count_key(struct dispatch *dispatch,
			struct dispatch_service *service, uint64_t hash,
			uint64_t epoch, size_t slice, size_t slices)
{
	struct service_state *state = state_of(service);

	pthread_mutex_lock(&dispatch->lock);
	if (state->map_epoch != epoch || state->slices->len != slices) {
		state->map_epoch = epoch;
		g_array_set_size(state->slices, 0);
		g_array_set_size(state->slices, (guint)slices);
	}
	state->requests++;
	g_array_index(state->slices, uint64_t, slice)++;
	hot_keys_add(state->hot, hash);
	pthread_mutex_unlock(&dispatch->lock);
}

uint32_t dispatch_running(struct dispatch *dispatch)
{
	uint32_t running;

	pthread_mutex_lock(&dispatch->lock);
	running = admission_running(dispatch->admission);
	pthread_mutex_unlock(&dispatch->lock);
	return running;
}
