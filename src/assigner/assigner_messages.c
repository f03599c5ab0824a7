/*
 * Handles and sends messages on the links to routers and other assigners.
 */
#include "assigner/assigner_impl.h"

#include "base/address.h"
#include "base/log.h"
#include "membership/heartbeat_codec.h"
#include "membership/vm_codec.h"

/* Most poison reports that are sent to a daemon that has just linked. */
#define POISON_REPORTS_MAX ((size_t)2 * POISON_MAX)

struct cell *assigner_cell(struct assigner *a, struct str name)
{
	guint i;

	for (i = 0; i < a->cells->len; i++)
		if (str_equal(cell_name(a->cells->pdata[i]), name))
			return a->cells->pdata[i];
	return NULL;
}

/* A message, and the links that it is sent on. */
struct broadcast {
	struct assigner *a;
	const Envelope *message;
	/* Link that the message is not sent on; may be NULL. */
	const struct link *except;
	/* Roles of the daemons that the message is sent to. */
	bool routers, assigners;
};

static void send_if_addressed(void *ctx, struct link *link)
{
	const struct broadcast *b = ctx;
	const struct link_peer *link_peer = link_data(link);

	if (link == b->except || !link_peer)
		return;
	if (link_peer->router ? b->routers : b->assigners)
		hub_send(b->a->hub, link, b->message);
}

void assigner_broadcast(struct assigner *a, const Envelope *message)
{
	struct broadcast b = { a, message, NULL, true, true };

	hub_foreach(a->hub, send_if_addressed, &b);
}

/* Sends a received message on to all links but the one it came from. */
static void forward_to_others(struct assigner *a, const struct link *from,
			      const Envelope *message)
{
	struct broadcast b = { a, message, from, true, true };

	hub_foreach(a->hub, send_if_addressed, &b);
}

/* Builds the CellRow message of an owner map and passes it to a function that
 * sends it. The message is valid during the call only. */
static void send_map_message(const struct slice_map *map,
			     void (*send)(void *ctx, const Envelope *message),
			     void *ctx)
{
	GBytes *bytes = slice_map_encode(map, slice_map_attempt(map));
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	CellRow *row = cell_row__unpack(NULL, size, data);
	Envelope message = ENVELOPE__INIT;

	message.body_case = ENVELOPE__BODY_CELL;
	message.cell = row;
	send(ctx, &message);
	cell_row__free_unpacked(row, NULL);
	g_bytes_unref(bytes);
}

static void broadcast_message(void *ctx, const Envelope *message)
{
	assigner_broadcast(ctx, message);
}

void assigner_send_map(struct assigner *a, const struct slice_map *map)
{
	send_map_message(map, broadcast_message, a);
}

/* Destination of a message that is sent on one link only. */
struct reply_to {
	struct assigner *a;
	struct link *link;
};

static void send_to_link(void *ctx, const Envelope *message)
{
	struct reply_to *to = ctx;

	hub_send(to->a->hub, to->link, message);
}

static void send_map_to(struct assigner *a, struct link *link,
			struct cell *cell)
{
	struct slice_map *map = coordinator_map(cell_coordinator(cell));
	struct reply_to to = { a, link };

	if (map)
		send_map_message(map, send_to_link, &to);
}

/* Copies the VMs of the table; freed with vm_list_clear(). */
static struct vm_list list_vms(struct assigner *a)
{
	size_t i, count = vm_table_count(a->vms);
	struct vm_list list = { .vms = g_new0(struct vm, count + 1),
				.count = count };

	for (i = 0; i < count; i++) {
		enum vm_state state;

		list.vms[i] = vm_copy(
			vm_table_at(a->vms, i, clock_now_us(a->clock), &state));
		list.vms[i].leaving |= state == VM_LEAVING;
	}
	return list;
}

/* Builds the VmList message of the VM table and passes it to a function that
 * sends it. The message is valid during the call only. */
static void send_vms_message(struct assigner *a,
			     void (*send)(void *ctx, const Envelope *message),
			     void *ctx)
{
	struct vm_list list = list_vms(a);
	VmList *vms = vm_list_to_wire(&list, vm_table_version(a->vms));
	Envelope message = ENVELOPE__INIT;

	message.body_case = ENVELOPE__BODY_VMS;
	message.vms = vms;
	send(ctx, &message);
	vm_list_wire_free(vms);
	vm_list_clear(&list);
}

static void broadcast_to_routers(void *ctx, const Envelope *message)
{
	struct broadcast b = { ctx, message, NULL, true, false };

	hub_foreach(b.a->hub, send_if_addressed, &b);
}

void assigner_send_vms(struct assigner *a)
{
	send_vms_message(a, broadcast_to_routers, a);
}

static void send_hello(struct assigner *a, struct link *link)
{
	char address[ADDRESS_TEXT_SIZE];
	Hello hello = HELLO__INIT;
	Envelope message = ENVELOPE__INIT;

	hello.daemon = a->options->daemon;
	hello.role = ROLE__ASSIGNER;
	hello.zone = a->options->zone;
	hello.incarnation = a->incarnation;
	hello.address = address_format(&a->wire_address, address);
	message.body_case = ENVELOPE__BODY_HELLO;
	message.hello = &hello;
	hub_send(a->hub, link, &message);
}

static void on_opened(void *ctx, struct link *link, bool outgoing)
{
	(void)outgoing;
	send_hello(ctx, link);
}

static void on_closed(void *ctx, struct link *link)
{
	struct assigner *a = ctx;
	struct link_peer *link_peer = link_data(link);

	peers_on_link_closed(a->peers, link, clock_now_us(a->clock));
	if (link_peer)
		g_free(link_peer->daemon);
	g_free(link_peer);
}

/* Sends the known fingerprints of requests that crash upstreams, up to
 * POISON_REPORTS_MAX of them. */
static void send_poison(struct assigner *a, struct link *link)
{
	struct poison_report *reports =
		g_new0(struct poison_report, POISON_REPORTS_MAX);
	size_t count = poison_list_reports(a->poison, clock_now_us(a->clock),
					   reports, POISON_REPORTS_MAX);
	size_t i;

	for (i = 0; i < count; i++) {
		Poison poison = POISON__INIT;
		Envelope message = ENVELOPE__INIT;
		char *upstream = str_dup(reports[i].upstream);
		char *boot = str_dup(reports[i].boot);

		poison.fingerprint = reports[i].fingerprint;
		poison.upstream = upstream;
		poison.boot = boot;
		poison.deaths = reports[i].deaths;
		message.body_case = ENVELOPE__BODY_POISON;
		message.poison = &poison;
		hub_send(a->hub, link, &message);
		g_free(upstream);
		g_free(boot);
	}
	g_free(reports);
}

/* Sends the VM list and all owner maps to a router that has just linked. */
static void send_vms_and_maps(struct assigner *a, struct link *link)
{
	struct reply_to to = { a, link };
	guint i;

	send_vms_message(a, send_to_link, &to);
	for (i = 0; i < a->cells->len; i++)
		send_map_to(a, link, a->cells->pdata[i]);
}

static void on_hello(struct assigner *a, struct link *link, const Hello *hello)
{
	struct link_peer *link_peer = link_data(link);
	struct sockaddr_in address = { 0 };
	bool router = hello->role == ROLE__ROUTER;

	if (link_peer)
		return;
	link_peer = g_new0(struct link_peer, 1);
	link_peer->daemon = g_strdup(hello->daemon);
	link_peer->router = router;
	link_set_data(link, link_peer);
	if (!router)
		address_parse(str_from(hello->address), &address);
	peers_on_hello(a->peers, link, hub_is_outgoing(a->hub, link),
		       str_from(hello->daemon), str_from(hello->incarnation),
		       router ? PEER_ROUTER : PEER_ASSIGNER, &address,
		       clock_now_us(a->clock));
	send_poison(a, link);
	if (router)
		send_vms_and_maps(a, link);
}

static void on_heartbeat(struct assigner *a, struct link *link,
			 const Heartbeat *message)
{
	int64_t now_us = clock_now_us(a->clock);
	struct beat beat;

	heartbeat_from_wire(message, &beat);
	peers_on_heartbeat(a->peers, link, &beat, now_us);
	settings_replica_on_peer_version(a->settings_replica, beat.daemon,
					 beat.settings_version, now_us);
	assigner_on_heartbeat_cells(a, link, message);
}

static void on_pull(struct assigner *a, struct link *link, const Pull *pull)
{
	const struct link_peer *link_peer = link_data(link);
	struct reply_to to = { a, link };
	size_t i;

	if (pull->settings)
		settings_replica_on_pull(a->settings_replica,
					 str_from(link_peer->daemon));
	if (pull->vms)
		send_vms_message(a, send_to_link, &to);
	for (i = 0; i < pull->n_cells; i++) {
		struct cell *cell = assigner_cell(a, str_from(pull->cells[i]));

		if (cell)
			send_map_to(a, link, cell);
	}
}

/* Applies an owner map from another assigner if its epoch is newer, and
 * forwards the map to routers and assigners that have no link to the sender. */
static void on_cell_row(struct assigner *a, struct link *link,
			const Envelope *message)
{
	struct cell *cell = assigner_cell(a, str_from(message->cell->cell));
	struct coordinator_peer mine;
	struct slice_map *map;
	size_t size = cell_row__get_packed_size(message->cell);
	uint8_t *data;

	if (!cell)
		return;
	coordinator_heartbeat(cell_coordinator(cell), &mine);
	if (message->cell->epoch <= mine.epoch)
		return;
	data = g_malloc(size);
	cell_row__pack(message->cell, data);
	map = slice_map_decode((struct str){ (const char *)data, size }, NULL);
	if (map) {
		coordinator_on_map(cell_coordinator(cell), map);
		forward_to_others(a, link, message);
		slice_map_destroy(map);
	}
	g_free(data);
}

/* Handles a router's report that its owner map, or an upstream's, seems out of
 * date: sends the router this daemon's map. */
static void on_stale(struct assigner *a, struct link *link, const Stale *stale)
{
	struct cell *cell = assigner_cell(a, str_from(stale->cell));

	if (!cell)
		return;
	coordinator_on_epoch(cell_coordinator(cell), stale->epoch);
	send_map_to(a, link, cell);
}

/* Returns the link to the assigner that coordinates a cell; NULL when the
 * coordinator is unknown, not linked, or this daemon. */
static struct link *coordinator_link(struct assigner *a, struct cell *cell)
{
	struct coordinator_status status;

	coordinator_status(cell_coordinator(cell), &status);
	if (!status.coordinator.len)
		return NULL;
	return peers_link(a->peers, status.coordinator);
}

/* Applies a router's load report, or forwards it to the cell's coordinator.
 * A report that another assigner forwarded is not forwarded again. */
static void on_load(struct assigner *a, const struct link *from,
		    const Envelope *message)
{
	const Load *load = message->load;
	struct cell *cell = assigner_cell(a, str_from(load->cell));
	struct hot_key *hot = g_new0(struct hot_key, load->n_hot + 1);
	struct coordinator_load counts = {
		.epoch = load->epoch,
		.slices = load->slice_requests,
		.slice_count = load->n_slice_requests,
		.hot = hot,
		.hot_count = load->n_hot,
	};
	const struct link_peer *link_peer = link_data((struct link *)from);
	struct link *to;
	size_t i;

	for (i = 0; i < load->n_hot; i++) {
		hot[i].hash = load->hot[i]->hash;
		hot[i].count = load->hot[i]->count;
	}
	if (cell) {
		to = coordinator_link(a, cell);
		if (coordinator_has_authority(cell_coordinator(cell)))
			coordinator_on_load(cell_coordinator(cell), &counts);
		else if (to && link_peer->router)
			hub_send(a->hub, to, message);
	}
	g_free(hot);
}

static void send_share(struct assigner *a, struct link *link,
		       const ShareRequest *request,
		       const struct budget_grant *grant)
{
	Share share = SHARE__INIT;
	Envelope message = ENVELOPE__INIT;
	char *boot = str_dup(grant->boot);

	share.upstream = request->upstream;
	share.boot = boot;
	share.count = grant->count;
	share.duration_ms = (uint32_t)(grant->duration_us / US_PER_MS);
	share.asked_us = request->asked_us;
	share.router = request->router;
	message.body_case = ENVELOPE__BODY_SHARE;
	message.share = &share;
	hub_send(a->hub, link, &message);
	g_free(boot);
}

/* Grants a router a share of an upstream's budget, or forwards the request to
 * the cell's coordinator. A request that another assigner forwarded is not
 * forwarded again. */
static void on_share_request(struct assigner *a, struct link *link,
			     ShareRequest *request)
{
	struct cell *cell = assigner_cell(a, str_from(request->cell));
	const struct link_peer *link_peer = link_data(link);
	struct budget_request budget_request = {
		.wanted = request->wanted,
		.in_use = request->in_use,
		.lost = request->lost,
		.asked_us = request->asked_us,
		.taken_us = request->taken_us,
	};
	struct budget_grant grant;
	Envelope message = ENVELOPE__INIT;
	struct link *to;
	char *router = request->router;

	if (!cell)
		return;
	if (link_peer->router)
		request->router = link_peer->daemon;
	if (cell_request_share(cell, str_from(request->upstream),
			       str_from(request->router), &budget_request,
			       &grant)) {
		send_share(a, link, request, &grant);
	} else if (link_peer->router && (to = coordinator_link(a, cell))) {
		message.body_case = ENVELOPE__BODY_SHARE_REQUEST;
		message.share_request = request;
		hub_send(a->hub, to, &message);
	}
	request->router = router;
}

/* Forwards the coordinator's reply to the router that asked for the share. */
static void on_share(struct assigner *a, const Envelope *message)
{
	struct link *to =
		peers_link(a->peers, str_from(message->share->router));

	if (to)
		hub_send(a->hub, to, message);
}

static void on_poison(struct assigner *a, struct link *link,
		      const Envelope *message)
{
	struct poison_report report = {
		.fingerprint = message->poison->fingerprint,
		.upstream = str_from(message->poison->upstream),
		.boot = str_from(message->poison->boot),
		.deaths = message->poison->deaths,
	};

	if (poison_apply_report(a->poison, &report, clock_now_us(a->clock)))
		forward_to_others(a, link, message);
}

static void on_message_after_hello(struct assigner *a, struct link *link,
				   const Envelope *message)
{
	switch (message->body_case) {
	case ENVELOPE__BODY_HEARTBEAT:
		on_heartbeat(a, link, message->heartbeat);
		break;
	case ENVELOPE__BODY_CELL_BEAT:
		assigner_on_cell_beat(a, link, message->cell_beat);
		break;
	case ENVELOPE__BODY_PULL:
		on_pull(a, link, message->pull);
		break;
	case ENVELOPE__BODY_SETTINGS:
		settings_replica_on_peer_settings(
			a->settings_replica,
			(struct str){
				(const char *)message->settings->body.data,
				message->settings->body.len },
			clock_now_us(a->clock));
		break;
	case ENVELOPE__BODY_CELL:
		on_cell_row(a, link, message);
		break;
	case ENVELOPE__BODY_STALE:
		on_stale(a, link, message->stale);
		break;
	case ENVELOPE__BODY_LOAD:
		on_load(a, link, message);
		break;
	case ENVELOPE__BODY_SHARE_REQUEST:
		on_share_request(a, link, message->share_request);
		break;
	case ENVELOPE__BODY_SHARE:
		on_share(a, message);
		break;
	case ENVELOPE__BODY_POISON:
		on_poison(a, link, message);
		break;
	default:
		break;
	}
}

static void on_message(void *ctx, struct link *link, const Envelope *message)
{
	struct assigner *a = ctx;

	if (message->body_case == ENVELOPE__BODY_HELLO)
		on_hello(a, link, message->hello);
	else if (link_data(link))
		on_message_after_hello(a, link, message);
}

const struct hub_ops assigner_hub_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void add_hub_peer(void *ctx, const struct sockaddr_in *address)
{
	hub_add_peer(((struct assigner *)ctx)->hub, address);
}

static void remove_hub_peer(void *ctx, const struct sockaddr_in *address)
{
	hub_remove_peer(((struct assigner *)ctx)->hub, address);
}

static void on_peer_event(void *ctx, enum peer_event event,
			  const struct peer *peer)
{
	static const char *const texts[] = {
		[PEER_JOINED] = "joined",
		[PEER_RESTARTED] = "restarted",
		[PEER_LOST] = "is lost: no heartbeat",
		[PEER_RETURNED] = "returned",
		[PEER_LEFT] = "is shutting down",
	};

	(void)ctx;
	log_info("peers", "daemon %s %s", peer->id, texts[event]);
}

const struct peers_ops assigner_peers_ops = {
	.keep_link = add_hub_peer,
	.drop_link = remove_hub_peer,
	.send = assigner_send_heartbeat,
	.event = on_peer_event,
};
