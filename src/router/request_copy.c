#include <string.h>

#include "router/request_internal.h"

#define EPOCH_HEADER STR("auburn-epoch")
/*
 * Delay before the request is sent again to an owner that refused it because
 * the owner's map is out of date. Each further refusal multiplies the delay by
 * OWNER_RETRY_GROWTH.
 */
#define OWNER_RETRY_US (INT64_C(20) * US_PER_MS)
#define OWNER_RETRY_GROWTH 4
/* Buffer size for a 64-bit number as text, the terminating NUL included. */
#define NUMBER_SIZE 24

static int64_t now_of(const struct request *request)
{
	return request->worker->now_us;
}

static struct dispatch *dispatch_of(const struct request *request)
{
	return request->worker->router->dispatch;
}

void copy_event(struct copy *copy, enum attempt_event_kind kind,
		enum verdict_reason reason)
{
	struct request *request = copy->request;
	struct attempt_event event = { .kind = kind, .reason = reason };

	if (!request)
		return;
	event.copy = (uint32_t)(copy - request->copies);
	attempt_event(request->attempt, &event, now_of(request));
}

/* Ends a copy for which no upstream was found. */
static void end_unsent(struct copy *copy, enum verdict_reason reason)
{
	copy->stage = COPY_ENDED;
	copy_event(copy, ATTEMPT_NO_UPSTREAM, reason);
	request_schedule(copy->request);
}

/* Returns the slice of the request's key, and its map; NULL without a map. */
static const struct slice *find_slice(const struct request *request,
				      const struct slice_map **map)
{
	const struct view_service *found =
		view_service(request->worker->view, request->target.service);

	*map = found ? found->map : NULL;
	return *map ? slice_map_find(*map, request->hash) : NULL;
}

/*
 * Finds the VM that owns the request's key and accepts work; NULL without one.
 * Sets epoch to the slice's epoch when the key has an owner.
 */
static const struct vm *find_owner(const struct request *request,
				   uint64_t *epoch)
{
	const struct slice_map *map;
	const struct slice *slice = find_slice(request, &map);
	const struct view *view = request->worker->view;
	const struct vm *vm;

	if (!slice || slice->owner == SLICE_NO_OWNER)
		return NULL;
	*epoch = slice->epoch;
	vm = view_vm(view, slice_map_owner(map, slice->owner));
	return vm && view_vm_accepts_work(view->settings, vm) ? vm : NULL;
}

/* Counts the request and its slice for the load report. */
static void count_for_load_report(struct request *request)
{
	const struct slice_map *map;
	const struct slice *slice = find_slice(request, &map);

	if (slice)
		dispatch_count_key(dispatch_of(request), request->service,
				   request->hash, slice_map_epoch(map),
				   (size_t)(slice - slice_map_at(map, 0)),
				   slice_map_count(map));
}

static void on_ticket_delivered(struct message *message);

/*
 * Queues the copy's ticket.
 *
 * @param owner id of the upstream that must run the copy, "" for any upstream
 */
static void enqueue(struct copy *copy, const char *owner)
{
	struct request *request = copy->request;
	struct ticket *ticket = &copy->ticket;

	g_strlcpy(ticket->owner, owner, sizeof(ticket->owner));
	ticket->message.deliver = on_ticket_delivered;
	ticket->mailbox = request->worker->mailbox;
	ticket->service = request->service;
	ticket->deadline_us = request->deadline_us;
	ticket->fingerprint = request->fingerprint;
	copy->stage = COPY_QUEUED;
	dispatch_enqueue(dispatch_of(request), ticket);
}

/*
 * Tells whether to send to the owner in the map. After a not-owner answer the
 * map must name a new epoch for the slice: this router's map was out of date.
 * With the same epoch the owner's map may be the older one. Then the request is
 * sent again after a delay, unless the answer named a newer epoch.
 */
static bool may_send_to_owner(const struct copy *copy, uint64_t epoch)
{
	const struct request *request = copy->request;

	if (!copy->epoch || epoch != copy->epoch)
		return true;
	return request->not_owner_epoch <= epoch &&
	       now_of(request) >= copy->owner_retry_us;
}

/* Queues the copy for the key's owner. Without an owner the copy waits until
 * the map names one, and ends when it has waited too long. */
static void enqueue_for_owner(struct copy *copy)
{
	struct request *request = copy->request;
	uint64_t epoch = 0;
	const struct vm *vm = find_owner(request, &epoch);

	if (vm && may_send_to_owner(copy, epoch)) {
		enqueue(copy, vm->id);
		return;
	}
	copy->stage = COPY_NO_OWNER;
	if (now_of(request) >= copy->owner_wait_end_us)
		end_unsent(copy, request->not_owner_count ? REASON_NOT_OWNER
							  : REASON_NO_OWNER);
}

/*
 * Starts the wait for the key's owner.
 *
 * @param refresh the last copy got a not-owner answer
 */
static void start_owner_wait(struct copy *copy, bool refresh)
{
	struct request *request = copy->request;
	int64_t wait_us =
		request->worker->router->options.owner_wait_ms * US_PER_MS;
	int64_t retry_us = OWNER_RETRY_US;
	uint32_t i;

	copy->owner_wait_end_us = now_of(request) + wait_us;
	if (refresh && copy != request->copies) {
		copy->epoch = copy[-1].epoch;
		for (i = 1; i < request->not_owner_count; i++)
			retry_us *= OWNER_RETRY_GROWTH;
		copy->owner_retry_us = now_of(request) + retry_us;
	}
	enqueue_for_owner(copy);
}

/* Copies the list of tried upstreams from the previous copy. */
static void inherit_tried(struct copy *copy)
{
	const struct copy *last = copy - 1;

	if (copy == copy->request->copies)
		return;
	memcpy(copy->ticket.tried, last->ticket.tried,
	       sizeof(copy->ticket.tried));
	copy->ticket.tried_count = last->ticket.tried_count;
}

static void send_or_requeue(struct copy *copy);

/* Sends a copy as a backup at once, without queueing, or ends it. */
static void send_backup(struct copy *copy)
{
	struct request *request = copy->request;
	struct ticket *ticket = &copy->ticket;

	ticket->service = request->service;
	ticket->fingerprint = request->fingerprint;
	if (!dispatch_try_backup(dispatch_of(request), ticket)) {
		end_unsent(copy, REASON_NO_UPSTREAM);
		return;
	}
	counter_add(request->service->backups, 1);
	send_or_requeue(copy);
}

void copy_send(struct request *request, const struct attempt_action *action)
{
	struct copy *copy = &request->copies[action->copy];
	enum poison_check poison;

	copy->request = request;
	request->copy_count = MAX(request->copy_count, action->copy + 1);
	inherit_tried(copy);
	poison = dispatch_check_poison(dispatch_of(request),
				       request->fingerprint);
	copy->ticket.trial = poison == POISON_SUSPECT;
	if (action->copy && !action->backup)
		counter_add(request->service->retries, 1);
	if (poison == POISON_POISONED)
		end_unsent(copy, REASON_POISONED);
	else if (!request->caller)
		end_unsent(copy, REASON_CANCELLED);
	else if (action->copy && !action->backup &&
		 !body_rewind(request->upload))
		end_unsent(copy, attempt_verdict(request->attempt).reason);
	else if (action->backup)
		send_backup(copy);
	else if (request->keyed)
		start_owner_wait(copy, action->refresh);
	else
		enqueue(copy, "");
}

static void add_number(struct headers *headers, struct str name, uint64_t value)
{
	char text[NUMBER_SIZE];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	headers_add(headers, name, str_from(text));
}

/* Adds the fields by which an upstream checks that it owns the key: the key's
 * hash and the epoch of the slice. */
static void add_key(struct headers *headers, const struct copy *copy)
{
	char text[NUMBER_SIZE];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
		   copy->request->hash);
	headers_add(headers, STR("Auburn-Key-Hash"), str_from(text));
	add_number(headers, STR("Auburn-Epoch"), copy->epoch);
}

/* Builds the header fields that the router adds to the request. */
static struct headers *router_headers(const struct copy *copy)
{
	const struct request *request = copy->request;
	struct headers *headers = headers_create();
	int64_t left_us = MAX(request->deadline_us - now_of(request), 0);

	headers_add(headers, STR("Auburn-Request-Id"), str_from(request->id));
	add_number(headers, STR("Auburn-Attempt"),
		   (uint64_t)(copy - request->copies) + 1);
	add_number(headers, STR("Auburn-Deadline-Ms"),
		   (uint64_t)(left_us / US_PER_MS));
	if (request->keyed)
		add_key(headers, copy);
	return headers;
}

/* Sends a copy to a VM over HTTP. The connection must be new when the request
 * isn't idempotent or when connections to the VM failed recently. */
static void start_exchange(struct copy *copy, const struct vm *vm)
{
	struct request *request = copy->request;
	struct worker *worker = request->worker;
	struct exchange_request exchange = {
		.address = vm->address,
		.method = str_from(request->method),
		.target = str_from(request->path),
		.headers = caller_headers(request->caller),
		.added_headers = router_headers(copy),
		.upload_length = caller_upload_length(request->caller),
		.upload = request->upload,
		.own_connection =
			!request->profile.idempotent ||
			worker_reuse_stopped(worker, copy->ticket.upstream),
		.boot = pool_flight_boot(copy->ticket.flight),
		.send_before_us = copy->ticket.send_before_us,
	};

	copy->control_address = vm->control;
	copy->started_us = now_of(request);
	copy->backup_us = INT64_MAX;
	if (request->profile.hedge && !request->keyed)
		copy->backup_us = dispatch_backup_delay(dispatch_of(request),
							request->service);
	copy->stage = COPY_RUNNING;
	copy->exchange = exchange_start(worker->exchanges, &exchange, copy);
	headers_destroy((struct headers *)exchange.added_headers);
}

/* Queues a copy again after its slot was released and nothing was sent. */
static void enqueue_again(struct copy *copy)
{
	enum poison_check poison = dispatch_check_poison(
		dispatch_of(copy->request), copy->request->fingerprint);

	copy->epoch = 0;
	copy->ticket.trial = poison == POISON_SUSPECT;
	if (poison == POISON_POISONED)
		end_unsent(copy, REASON_POISONED);
	else if (copy->request->keyed)
		enqueue_for_owner(copy);
	else
		enqueue(copy, "");
}

/* Releases a slot of a copy that was not sent. */
static void release_unused_slot(struct copy *copy)
{
	dispatch_finish(dispatch_of(copy->request), &copy->ticket,
			POOL_CANCELLED, POISON_INCONCLUSIVE);
}

/*
 * Sends a copy whose ticket has a slot. Releases the slot instead when the copy
 * was cancelled or the caller disconnected. Queues the copy again when the VM
 * is no longer listed or the key has another owner by now.
 */
static void send_or_requeue(struct copy *copy)
{
	struct request *request = copy->request;
	const struct vm *vm =
		view_vm(request->worker->view, str_from(copy->ticket.upstream));
	const struct vm *owner = vm;

	copy->ticket.state = TICKET_IN_FLIGHT;
	if (copy->abandoned || !request->caller) {
		release_unused_slot(copy);
		end_unsent(copy, REASON_CANCELLED);
		return;
	}
	if (request->keyed)
		owner = find_owner(request, &copy->epoch);
	if (vm && owner == vm) {
		if (request->keyed && copy == request->copies)
			count_for_load_report(request);
		start_exchange(copy, vm);
		return;
	}
	release_unused_slot(copy);
	enqueue_again(copy);
}

/* Called in the worker's thread: the ticket has a slot or was refused one. */
static void on_ticket_delivered(struct message *message)
{
	struct ticket *ticket = (struct ticket *)message;
	struct copy *copy =
		(struct copy *)((char *)ticket - offsetof(struct copy, ticket));

	if (ticket->reason == REASON_NONE) {
		send_or_requeue(copy);
	} else {
		ticket->state = TICKET_IDLE;
		end_unsent(copy, ticket->reason);
	}
	request_schedule(copy->request);
}

/* Ends a copy's exchange and releases its slot. */
static void end_copy(struct copy *copy, enum pool_outcome_kind outcome,
		     enum poison_end poison)
{
	struct request *request = copy->request;

	if (poison == POISON_CONNECTION_BROKEN)
		request->connection_broke = true;
	if (outcome == POOL_STALLED || outcome == POOL_FAILED)
		worker_stop_reuse(request->worker, copy->ticket.upstream);
	exchange_destroy(copy->exchange);
	copy->exchange = NULL;
	copy->stage = COPY_ENDED;
	dispatch_finish(dispatch_of(request), &copy->ticket, outcome, poison);
}

/* The event for the attempt and the outcome for the pool that belong to the
 * reason in a "not run" answer. */
struct refusal_meaning {
	enum verdict_reason reason;
	enum attempt_event_kind event;
	enum pool_outcome_kind outcome;
};

static const struct refusal_meaning refusal_meanings[] = {
	{ REASON_UPSTREAM_SHED, ATTEMPT_SHED, POOL_SHED },
	{ REASON_UPSTREAM_COLD, ATTEMPT_COLD, POOL_COLD },
	{ REASON_SHUTTING_DOWN, ATTEMPT_SHUTTING_DOWN, POOL_SHUTTING_DOWN },
	{ REASON_NOT_OWNER, ATTEMPT_NOT_OWNER, POOL_ANSWERED },
};

/* Returns the value of a header field of the answer, "" when it is missing. */
static struct str answer_field(struct copy *copy, struct str name)
{
	const struct header *field =
		headers_find(exchange_headers(copy->exchange), name);

	return field ? field->value : STR("");
}

/*
 * Returns the meaning of a "not run" answer, NULL for other answers. An unknown
 * reason counts as load shedding.
 */
static const struct refusal_meaning *find_refusal(struct copy *copy)
{
	struct str name = answer_field(copy, STR("auburn-reason"));
	size_t i;

	if (!str_equal(answer_field(copy, STR("auburn-verdict")),
		       STR("not-run")))
		return NULL;
	for (i = 0; i < G_N_ELEMENTS(refusal_meanings); i++)
		if (str_equal(name, str_from(verdict_reason_name(
					    refusal_meanings[i].reason))))
			return &refusal_meanings[i];
	return &refusal_meanings[0];
}

/* Counts a not-owner answer and reports to the assigners that a map is out of
 * date. */
static void report_stale_map(struct copy *copy)
{
	struct request *request = copy->request;
	char *text = str_dup(answer_field(copy, EPOCH_HEADER));
	uint64_t epoch = g_ascii_strtoull(text, NULL, 10);

	g_free(text);
	request->not_owner_count++;
	request->not_owner_epoch = MAX(request->not_owner_epoch, epoch);
	control_report_stale_map(request->worker->router->control,
				 request->service->name, epoch,
				 copy->ticket.upstream);
}

/* Handles the head of an upstream's answer: an answer or a refusal. */
static void on_head(struct copy *copy)
{
	struct request *request = copy->request;
	const struct refusal_meaning *refusal = find_refusal(copy);

	copy->head_handled = true;
	if (!refusal) {
		dispatch_answer_begun(dispatch_of(request), &copy->ticket,
				      answer_field(copy, STR("auburn-boot")));
		copy_event(copy, ATTEMPT_HEAD, REASON_NONE);
		request_run_actions(request);
		return;
	}
	if (refusal->event == ATTEMPT_NOT_OWNER)
		report_stale_map(copy);
	end_copy(copy, refusal->outcome, POISON_INCONCLUSIVE);
	copy_event(copy, refusal->event, refusal->reason);
	request_run_actions(request);
}

/* Handles the end of an exchange; does nothing while it is running. */
static void on_end(struct copy *copy)
{
	switch (exchange_end(copy->exchange)) {
	case EXCHANGE_RUNNING:
		return;
	case EXCHANGE_COMPLETE:
		copy_event(copy, ATTEMPT_BODY_DONE, REASON_NONE);
		request_run_actions(copy->request);
		end_copy(copy, POOL_ANSWERED, POISON_ANSWERED);
		return;
	case EXCHANGE_NOT_CONNECTED:
		end_copy(copy, POOL_FAILED, POISON_INCONCLUSIVE);
		copy_event(copy, ATTEMPT_CONNECT_FAILED, REASON_NONE);
		break;
	case EXCHANGE_EXPIRED:
		end_copy(copy, POOL_UNSENT, POISON_INCONCLUSIVE);
		enqueue_again(copy);
		break;
	case EXCHANGE_OTHER_INCARNATION:
		end_copy(copy, POOL_OTHER_BOOT, POISON_INCONCLUSIVE);
		enqueue_again(copy);
		break;
	case EXCHANGE_RESET:
		end_copy(copy, POOL_FAILED, POISON_CONNECTION_BROKEN);
		copy_event(copy, ATTEMPT_RESET_AFTER_SEND, REASON_NONE);
		break;
	case EXCHANGE_TRUNCATED:
		end_copy(copy, POOL_FAILED, POISON_CONNECTION_BROKEN);
		copy_event(copy,
			   copy->head_handled ? ATTEMPT_TRUNCATED
					      : ATTEMPT_RESET_AFTER_SEND,
			   REASON_NONE);
		break;
	}
	request_run_actions(copy->request);
}

void copy_handle_progress(struct copy *copy)
{
	if (!copy->exchange)
		return;
	if (!copy->sent_reported && exchange_sent(copy->exchange)) {
		copy->sent_reported = true;
		copy_event(copy, ATTEMPT_SENT, REASON_NONE);
	}
	if (!copy->head_handled && exchange_status(copy->exchange))
		on_head(copy);
	if (copy->exchange)
		on_end(copy);
}

void copy_cancel(struct copy *copy)
{
	if (!copy->request)
		return;
	if (copy->stage == COPY_QUEUED &&
	    !dispatch_withdraw(dispatch_of(copy->request), &copy->ticket)) {
		copy->abandoned = true;
		return;
	}
	if (copy->stage == COPY_RUNNING && copy->exchange) {
		if (exchange_sent(copy->exchange))
			control_cancel_request(
				copy->request->worker->router->control,
				&copy->control_address, copy->request->id);
		end_copy(copy, POOL_CANCELLED, POISON_INCONCLUSIVE);
	}
	copy->stage = COPY_ENDED;
}

/* Cancels a copy whose exchange made no progress for the stall limit. */
static void on_stall(struct copy *copy)
{
	control_cancel_request(copy->request->worker->router->control,
			       &copy->control_address, copy->request->id);
	end_copy(copy, POOL_STALLED, POISON_INCONCLUSIVE);
	copy_event(copy, ATTEMPT_STALLED, REASON_NONE);
}

/* Takes a queued copy out of the queue when its key no longer belongs to the
 * upstream it waits for, and queues it for the new owner. */
static void requeue_for_new_owner(struct copy *copy)
{
	uint64_t epoch;
	const struct vm *vm = find_owner(copy->request, &epoch);

	if (vm && !strcmp(vm->id, copy->ticket.owner))
		return;
	if (dispatch_withdraw(dispatch_of(copy->request), &copy->ticket))
		start_owner_wait(copy, false);
}

/* Checks a running copy's backup delay and stall limit. */
static void tick_running(struct copy *copy)
{
	struct request *request = copy->request;
	int64_t now_us = now_of(request);
	int64_t stalled_us;

	if (copy->backup_us != INT64_MAX && !copy->head_handled &&
	    now_us - copy->started_us >= copy->backup_us) {
		copy->backup_us = INT64_MAX;
		copy_event(copy, ATTEMPT_BACKUP_DUE, REASON_NONE);
	}
	/* The exchange is paused because the caller reads slowly: the upstream
	 * did not stall. */
	if (exchange_paused(copy->exchange))
		return;
	stalled_us = now_us - exchange_progress_us(copy->exchange);
	if (stalled_us < request->profile.stall_us)
		return;
	/* While the upstream waits for the upload, the caller has stalled. */
	if (exchange_waits_for_upload(copy->exchange) && request->caller)
		caller_abort(request->caller);
	else
		on_stall(copy);
}

void copy_tick(struct copy *copy)
{
	switch (copy->stage) {
	case COPY_NO_OWNER:
		enqueue_for_owner(copy);
		break;
	case COPY_QUEUED:
		if (copy->request->keyed && !copy->abandoned)
			requeue_for_new_owner(copy);
		break;
	case COPY_RUNNING:
		tick_running(copy);
		break;
	case COPY_NONE:
	case COPY_ENDED:
		break;
	}
}
