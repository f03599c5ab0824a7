#include "router/control_internal.h"
#include "wire/hub.h"

/* Asks for a share of one upstream's budget. */
static void send_share_request(void *ctx,
			       const struct dispatch_share_request *share)
{
	ShareRequest request = SHARE_REQUEST__INIT;
	char *id = str_dup(share->upstream);

	request.cell = (char *)share->service;
	request.upstream = id;
	request.wanted = share->budget.wanted;
	request.in_use = share->budget.in_use;
	request.lost = share->budget.lost;
	request.asked_us = share->budget.asked_us;
	request.taken_us = share->budget.taken_us;
	control_send_to_one(ctx, ENVELOPE__BODY_SHARE_REQUEST, &request);
	g_free(id);
}

/* Sends a crash report in a Poison frame to all linked assigners. */
static void send_crash_report(void *ctx, const struct poison_report *report)
{
	Poison message = POISON__INIT;
	char *upstream = str_dup(report->upstream);
	char *boot = str_dup(report->boot);

	message.fingerprint = report->fingerprint;
	message.upstream = upstream;
	message.boot = boot;
	message.deaths = report->deaths;
	control_send_to_all(ctx, ENVELOPE__BODY_POISON, &message);
	g_free(upstream);
	g_free(boot);
}

void control_send_pending(struct control *control)
{
	dispatch_request_shares(control->router->dispatch, send_share_request,
				control);
	dispatch_report_crashes(control->router->dispatch, send_crash_report,
				control);
}

/* Reports the load of one service. */
static void send_load_report(void *ctx, const struct dispatch_load *load)
{
	HotKey keys[DISPATCH_HOT_KEYS];
	HotKey *hot[DISPATCH_HOT_KEYS];
	Load message = LOAD__INIT;
	size_t i;

	for (i = 0; i < load->hot_count; i++) {
		hot_key__init(&keys[i]);
		keys[i].hash = load->hot[i].hash;
		keys[i].count = load->hot[i].count;
		hot[i] = &keys[i];
	}
	message.cell = (char *)load->service;
	message.requests = load->requests;
	message.epoch = load->epoch;
	message.n_hot = load->hot_count;
	message.hot = hot;
	message.n_slice_requests = load->slice_count;
	message.slice_requests = (uint64_t *)load->slices;
	control_send_to_one(ctx, ENVELOPE__BODY_LOAD, &message);
}

void control_send_load(struct control *control)
{
	dispatch_report_load(control->router->dispatch, send_load_report,
			     control);
}

/* Message to the control thread: tell the assigners that the owner map of this
 * router or of an upstream is out of date. */
struct stale_map_report {
	struct message message;
	struct control *control;
	char *service;
	char *upstream;
	uint64_t epoch;
};

/* Sends the report and asks for the newest map, in the control thread. */
static void deliver_stale_map_report(struct message *message)
{
	struct stale_map_report *report = (struct stale_map_report *)message;
	struct control *control = report->control;
	Stale frame = STALE__INIT;
	Pull pull = PULL__INIT;

	frame.cell = report->service;
	frame.upstream = report->upstream;
	frame.epoch = report->epoch;
	pull.cells = &report->service;
	pull.n_cells = 1;
	control_send_to_all(control, ENVELOPE__BODY_STALE, &frame);
	control_send_to_all(control, ENVELOPE__BODY_PULL, &pull);
	g_free(report->service);
	g_free(report->upstream);
	g_free(report);
}

void control_report_stale_map(struct control *control, const char *service,
			      uint64_t epoch, const char *upstream)
{
	struct stale_map_report *report = g_new0(struct stale_map_report, 1);

	report->message.deliver = deliver_stale_map_report;
	report->control = control;
	report->service = g_strdup(service);
	report->upstream = g_strdup(upstream);
	report->epoch = epoch;
	mailbox_send(control->mailbox, &report->message);
}
