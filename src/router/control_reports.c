#include "router/control_internal.h"
#include "wire/hub.h"

static void send_share_request(void *ctx,
			       const struct dispatch_share_request *ask)
{
	ShareRequest request = SHARE_REQUEST__INIT;
	char *id = str_dup(ask->upstream);

	request.cell = (char *)ask->service;
	request.upstream = id;
	request.wanted = ask->ask.wanted;
	request.in_use = ask->ask.in_use;
	request.lost = ask->ask.lost;
	request.asked_us = ask->ask.asked_us;
	request.taken_us = ask->ask.taken_us;
	control_send_newest(ctx, ENVELOPE__BODY_SHARE_REQUEST, &request);
	g_free(id);
}

static void send_crash_report(void *ctx, const struct poison_report *report)
{
	Poison message = POISON__INIT;
	char *upstream = str_dup(report->upstream);
	char *boot = str_dup(report->boot);

	message.fingerprint = report->fingerprint;
	message.upstream = upstream;
	message.boot = boot;
	message.deaths = report->deaths;
	control_send_all(ctx, ENVELOPE__BODY_POISON, &message);
	g_free(upstream);
	g_free(boot);
}

void control_send_pending(struct control *control)
{
	dispatch_request_shares(control->router->dispatch, send_share_request,
				control);
	dispatch_report_poison(control->router->dispatch, send_crash_report,
			       control);
}

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
	control_send_newest(ctx, ENVELOPE__BODY_LOAD, &message);
}

void control_send_load(struct control *control)
{
	dispatch_report_load(control->router->dispatch, send_load_report,
			     control);
}

/* Message to the control thread: report an owner map that is out of date. */
struct stale {
	struct message message;
	struct control *control;
	char *cell;
	char *upstream;
	uint64_t epoch;
};

static void deliver_stale(struct message *message)
{
	struct stale *stale = (struct stale *)message;
	struct control *control = stale->control;
	Stale frame = STALE__INIT;
	Pull pull = PULL__INIT;

	frame.cell = stale->cell;
	frame.upstream = stale->upstream;
	frame.epoch = stale->epoch;
	pull.cells = &stale->cell;
	pull.n_cells = 1;
	control_send_all(control, ENVELOPE__BODY_STALE, &frame);
	control_send_all(control, ENVELOPE__BODY_PULL, &pull);
	g_free(stale->cell);
	g_free(stale->upstream);
	g_free(stale);
}

void control_report_stale_map(struct control *control, const char *cell,
			      uint64_t epoch, const char *upstream)
{
	struct stale *stale = g_new0(struct stale, 1);

	stale->message.deliver = deliver_stale;
	stale->control = control;
	stale->cell = g_strdup(cell);
	stale->upstream = g_strdup(upstream);
	stale->epoch = epoch;
	mailbox_send(control->mailbox, &stale->message);
}
