#include <string.h>

#include "base/clock.h"
#include "upstream.h"

static enum MHD_Result reply_text(const struct standin_call *call,
				  unsigned int status, const char *text)
{
	return standin_reply(call->conn, status, "text/plain", text,
			     strlen(text));
}

/* Returns the load at this instant. */
static struct upstream_load load_now(struct upstream *upstream)
{
	struct slot_load load = slots_load(upstream->slots);

	return (struct upstream_load){
		.running = load.running,
		.queued = load.queued,
		.slots = load.slots,
		.connections =
			standin_server_connections(upstream->data_server),
		.state = load.state,
		.cold_limit = load.cold_limit,
	};
}

/* Returns the load that reports show. The load is taken only here, at most once
 * per load_lag_us, and shown from the next time on: with frequent calls it is
 * between one and two load_lag_us old. The first call shows the current one. */
static struct upstream_load load_reported(struct upstream *upstream)
{
	int64_t now_us = clock_now_us(clock_system());
	struct upstream_load now = load_now(upstream);
	struct upstream_load reported_load;

	pthread_mutex_lock(&upstream->lock);
	if (now_us >= upstream->next_load_us &&
	    !upstream->faults.freeze_reports) {
		upstream->reported_load =
			upstream->next_load_us ? upstream->next_load : now;
		upstream->next_load = now;
		upstream->next_load_us = now_us + upstream->load_lag_us;
	}
	reported_load = upstream->reported_load;
	pthread_mutex_unlock(&upstream->lock);
	return reported_load;
}

/* Returns the load for the reply to an order: its counts are as old as in any
 * load report, its state and cold limit are current. */
static struct upstream_load load_with_state(struct upstream *upstream)
{
	struct upstream_load load = load_reported(upstream);
	struct upstream_load now = load_now(upstream);

	load.state = now.state;
	load.cold_limit = now.cold_limit;
	return load;
}

static enum MHD_Result on_order(struct upstream *upstream,
				const struct standin_call *call)
{
	struct upstream_load load = load_with_state(upstream);
	struct str body = { call->body, call->body_len };
	char *reply = grants_apply_order(upstream->grants, body, &load);
	enum MHD_Result result;

	if (!reply)
		return reply_text(call, MHD_HTTP_BAD_REQUEST,
				  "malformed order\n");
	result = standin_reply(call->conn, MHD_HTTP_OK, "application/json",
			       reply, strlen(reply));
	g_free(reply);
	return result;
}

/* Answers a health check: the upstream is unhealthy if the reported state is
 * draining or the fault "unhealthy" is set. */
static enum MHD_Result on_health(struct upstream *upstream,
				 const struct standin_call *call)
{
	bool healthy = load_reported(upstream).state != UPSTREAM_DRAINING;

	pthread_mutex_lock(&upstream->lock);
	healthy = healthy && !upstream->faults.unhealthy;
	pthread_mutex_unlock(&upstream->lock);
	return reply_text(call,
			  healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
			  healthy ? "healthy\n" : "unhealthy\n");
}

static enum MHD_Result on_load(struct upstream *upstream,
			       const struct standin_call *call)
{
	static const char *const states[] = {
		[UPSTREAM_COLD] = "cold",
		[UPSTREAM_READY] = "ready",
		[UPSTREAM_DRAINING] = "draining",
	};
	struct upstream_load load = load_reported(upstream);

	return standin_reply_json(
		call->conn, MHD_HTTP_OK,
		json_pack("{s:i,s:i,s:i,s:i,s:s,s:i}", "running",
			  (int)load.running, "queued", (int)load.queued,
			  "slots", (int)load.slots, "connections",
			  (int)load.connections, "state", states[load.state],
			  "cold_limit", (int)load.cold_limit));
}

static enum MHD_Result on_drain(struct upstream *upstream,
				const struct standin_call *call)
{
	slots_drain(upstream->slots);
	return reply_text(call, MHD_HTTP_OK, "draining\n");
}

static enum MHD_Result on_cancel(struct upstream *upstream,
				 const struct standin_call *call)
{
	static const char *const names[] = {
		[CANCEL_UNKNOWN] = "unknown",
		[CANCEL_NOT_RUN] = "not-run",
		[CANCEL_STOPPED] = "stopped",
		[CANCEL_RAN] = "ran",
	};
	json_t *body = standin_call_json(call);
	const char *id = json_string_value(json_object_get(body, "request_id"));
	enum slot_cancel_result result =
		id ? slots_cancel(upstream->slots, id) : CANCEL_UNKNOWN;

	json_decref(body);
	return standin_reply_json(call->conn, MHD_HTTP_OK,
				  json_pack("{s:s}", "result", names[result]));
}

/* Sets the member of struct upstream_faults that name stands for; "silent"
 * silences the connections that are open now, or ends their silence. The caller
 * holds the lock.
 *
 * @return false when the name is unknown */
static bool set_fault(struct upstream *upstream, const char *name,
		      const json_t *value)
{
	struct upstream_faults *faults = &upstream->faults;

	if (!strcmp(name, "truncate"))
		faults->truncate = json_integer_value(value);
	else if (!strcmp(name, "reset_after_run"))
		faults->reset_after_run = json_integer_value(value);
	else if (!strcmp(name, "shorten"))
		faults->shorten = json_integer_value(value);
	else if (!strcmp(name, "garble"))
		faults->garble = json_integer_value(value);
	else if (!strcmp(name, "unhealthy"))
		faults->unhealthy = json_is_true(value);
	else if (!strcmp(name, "freeze_reports"))
		faults->freeze_reports = json_is_true(value);
	else if (!strcmp(name, "silent"))
		faults->silent_up_to =
			json_is_true(value)
				? standin_server_accepted(upstream->data_server)
				: 0;
	else
		return false;
	return true;
}

/* Applies one fault setting:
 *   "slow"    factor of execution times
 *   "shed"    whether to reject all new requests
 *   "cold"    any value: starts another cold period
 *   "fences"  whether to check senders of orders and let grants expire
 * and those of set_fault(). Returns false when the name is unknown. */
static bool apply_setting(struct upstream *upstream, const char *name,
			  const json_t *value)
{
	bool known = true;

	if (!strcmp(name, "slow")) {
		slots_set_slowdown(upstream->slots, json_number_value(value));
	} else if (!strcmp(name, "shed")) {
		slots_set_shed(upstream->slots, json_is_true(value));
	} else if (!strcmp(name, "cold")) {
		slots_set_cold(upstream->slots);
	} else if (!strcmp(name, "fences")) {
		grants_set_fencing(upstream->grants, json_is_true(value));
	} else {
		pthread_mutex_lock(&upstream->lock);
		known = set_fault(upstream, name, value);
		pthread_mutex_unlock(&upstream->lock);
	}
	return known;
}

static enum MHD_Result on_fault_settings(struct upstream *upstream,
					 const struct standin_call *call)
{
	json_t *body = standin_call_json(call);
	bool ok = body != NULL;
	const char *name;
	json_t *value;

	json_object_foreach (body, name, value)
		ok = apply_setting(upstream, name, value) && ok;
	json_decref(body);
	return reply_text(call, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
			  ok ? "switched\n"
			     : "unknown or malformed fault setting\n");
}

/* Responds with the counters of the record, and the upstream's id and
 * incarnation. */
static enum MHD_Result on_executions(struct upstream *upstream,
				     const struct standin_call *call)
{
	json_t *counts = record_counts_json(upstream->record);

	json_object_set_new(counts, "cold_overshoot",
			    json_integer((json_int_t)slots_cold_overshoot(
				    upstream->slots)));
	json_object_set_new(counts, "id", json_string(upstream->id));
	json_object_set_new(counts, "boot", json_string(upstream->boot));
	return standin_reply_json(call->conn, MHD_HTTP_OK, counts);
}

typedef enum MHD_Result (*control_call)(struct upstream *upstream,
					const struct standin_call *call);

enum MHD_Result upstream_control_handle(void *ctx,
					const struct standin_call *call)
{
	static const struct {
		const char *method, *path;
		control_call handle;
	} calls[] = {
		{ "POST", "/control/order", on_order },
		{ "GET", "/control/load", on_load },
		{ "GET", "/control/health", on_health },
		{ "POST", "/control/drain", on_drain },
		{ "POST", "/control/cancel", on_cancel },
		{ "POST", "/switch", on_fault_settings },
		{ "GET", "/standin/executions", on_executions },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		if (!strcmp(call->path, calls[i].path) &&
		    !strcmp(call->method, calls[i].method))
			return calls[i].handle(ctx, call);
	return reply_text(call, MHD_HTTP_NOT_FOUND, "unknown call\n");
}
