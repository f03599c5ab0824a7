#include "base/address.h"
#include "router/control_internal.h"

/* Timeout of a cancel call to an upstream. */
#define CANCEL_TIMEOUT_US US_PER_SECOND
/* Sizes in bytes of the buffers for a cancel call's URL and body, the
 * terminating NUL included. */
#define URL_SIZE 64
#define BODY_SIZE 96

/* A batch of claims whose table operations are sent in one call. */
struct claim_call {
	struct control *control;
	struct claim_batch *batch;
	/* struct claim_job, in the order of the claims in the batch. */
	GPtrArray *jobs;
};

/* Frees a call, not its jobs, which belong to the requests. */
static void call_free(struct claim_call *call)
{
	claim_batch_destroy(call->batch);
	g_ptr_array_free(call->jobs, TRUE);
	g_free(call);
}

static struct claim_call *call_create(struct control *control)
{
	struct claim_call *call = g_new0(struct claim_call, 1);

	call->control = control;
	call->batch = claim_batch_create();
	call->jobs = g_ptr_array_new();
	return call;
}

/* Adds a job to the open batch; sends that batch first when it is full. */
static void add_job(struct control *control, struct claim_job *job);

/* Returns a job to the worker that sent it. */
static void return_job(struct claim_job *job)
{
	job->message.deliver = job->done;
	mailbox_send(job->mailbox, &job->message);
}

/*
 * Tells whether a job needs another table operation, because the outcome is not
 * yet recorded or the claim is neither acquired nor refused.
 */
static bool needs_operation(const struct claim_job *job)
{
	enum claim_state state = claim_state(job->claim);

	return job->closing ? state == CLAIM_HELD : state == CLAIM_PENDING;
}

/*
 * Applies a call's results to its claims. Adds the jobs that need another
 * operation to the open batch and returns the others to their workers.
 */
static void on_results(void *ctx, const struct table_result *results,
		       size_t count)
{
	struct claim_call *call = ctx;
	struct control *control = call->control;
	guint i;

	control->calls_in_flight--;
	claim_batch_result(call->batch, results, count,
			   clock_wall_us(control->router->clock));
	for (i = 0; i < call->jobs->len; i++) {
		struct claim_job *job = g_ptr_array_index(call->jobs, i);

		if (needs_operation(job))
			add_job(control, job);
		else
			return_job(job);
	}
	call_free(call);
}

/* Fails a batch's operations as unavailable, when no platform address is
 * configured. */
static void fail_batch(struct claim_call *call, size_t count)
{
	struct table_result *results = g_new0(struct table_result, count);
	size_t i;

	for (i = 0; i < count; i++)
		results[i].status = TABLE_UNAVAILABLE;
	on_results(call, results, count);
	g_free(results);
}

/* Sends the open batch to the table; on_results() gets the results. */
static void send_call(struct control *control)
{
	struct claim_call *call = control->open_batch;
	const struct table_op *ops;
	size_t count;

	control->open_batch = NULL;
	control->calls_in_flight++;
	ops = claim_batch_ops(call->batch, &count);
	if (control->table)
		table_batch(control->table, ops, count, on_results, call);
	else
		fail_batch(call, count);
}

static void add_job(struct control *control, struct claim_job *job)
{
	int64_t now_us = clock_now_us(control->router->clock);

	if (!control->open_batch)
		control->open_batch = call_create(control);
	if (!claim_batch_add(control->open_batch->batch, job->claim, now_us)) {
		send_call(control);
		control->open_batch = call_create(control);
		claim_batch_add(control->open_batch->batch, job->claim, now_us);
	}
	g_ptr_array_add(control->open_batch->jobs, job);
}

int64_t control_platform_tick(struct control *control, int64_t now_us)
{
	if (!control->open_batch)
		return INT64_MAX;
	/* While another batch is in flight, wait until this one is due, so that
	 * more claims share a call. */
	if (control->calls_in_flight &&
	    claim_batch_due_us(control->open_batch->batch) > now_us)
		return claim_batch_due_us(control->open_batch->batch);
	send_call(control);
	return now_us;
}

void control_platform_stop(struct control *control)
{
	if (control->open_batch)
		call_free(control->open_batch);
	control->open_batch = NULL;
}

/* Called in the control thread: takes a job that control_run_claim() sent. */
static void deliver_claim(struct message *message)
{
	struct claim_job *job = (struct claim_job *)message;

	add_job(job->control, job);
}

void control_run_claim(struct control *control, struct claim_job *job)
{
	job->control = control;
	job->message.deliver = deliver_claim;
	mailbox_send(control->mailbox, &job->message);
}

/* Message to the control thread: send a cancel call to an upstream. */
struct cancel {
	struct message message;
	struct control *control;
	struct sockaddr_in upstream;
	char body[BODY_SIZE];
};

/* Does nothing: the copy ended without waiting for the cancel call's answer. */
static void on_cancelled(void *ctx, const struct http_answer *answer)
{
	(void)ctx;
	(void)answer;
}

/* Sends the cancel call, in the control thread. */
static void deliver_cancel(struct message *message)
{
	struct cancel *cancel = (struct cancel *)message;
	char address[ADDRESS_TEXT_SIZE];
	char url[URL_SIZE];
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = str_from(cancel->body),
		.timeout_us = CANCEL_TIMEOUT_US,
	};

	g_snprintf(url, sizeof(url), "http://%s/control/cancel",
		   address_format(&cancel->upstream, address));
	http_client_start(cancel->control->http, &call, on_cancelled, NULL);
	g_free(cancel);
}

void control_cancel_request(struct control *control,
			    const struct sockaddr_in *upstream,
			    const char *request_id)
{
	struct cancel *cancel = g_new0(struct cancel, 1);

	cancel->message.deliver = deliver_cancel;
	cancel->control = control;
	cancel->upstream = *upstream;
	g_snprintf(cancel->body, sizeof(cancel->body),
		   "{\"request_id\":\"%s\"}", request_id);
	mailbox_send(control->mailbox, &cancel->message);
}
