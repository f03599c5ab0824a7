#include "cluster_stub_assigner.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base/address.h"
#include "base/clock.h"
#include "wire/hub.h"

/* Poll timeout; bounds the delay of heartbeats and of the stop. */
#define POLL_MS 5
/* Interval of heartbeats to each router. */
#define HEARTBEAT_INTERVAL_US (INT64_C(20) * US_PER_MS)
/* How long routers may treat the settings as current, counted from the sending
 * of the router's heartbeat that the stub's heartbeat echoes. */
#define HEARTBEAT_VALID_MS 500
/* Validity of a granted share, from the time of its request. */
#define SHARE_DURATION_MS 200
/* Most VMs and owner maps that the stub can hold. */
#define VMS_MAX 16
#define OWNER_MAPS_MAX 4

/* A cell's owner map: one slice with all hashes. */
struct owner_map {
	const char *cell;
	uint64_t epoch;
	/* VM id; NULL: no owner. */
	const char *owner;
};

struct stub_assigner {
	pthread_t thread;
	struct hub *hub;
	char address[ADDRESS_TEXT_SIZE];
	/* Tells the thread to end. */
	atomic_bool stop;
	/* Stale and Poison messages received. */
	atomic_uint stale_messages, poison_messages;
	/* Requests in all load reports received. */
	_Atomic uint64_t reported_requests;
	pthread_mutex_t lock;
	/* lock guards all members below. */
	/* JSON text; NULL until it is set. */
	char *settings;
	uint64_t settings_version;
	struct stub_vm vms[VMS_MAX];
	size_t vm_count;
	uint64_t vms_version;
	struct owner_map owner_maps[OWNER_MAPS_MAX];
	size_t owner_map_count;
	/* Heartbeats say that the settings are up to date. */
	bool fresh;
	/* Concurrent requests that the reply to a ShareRequest grants. */
	uint32_t shares;
	/* Incarnation of upstreams in granted shares. */
	const char *boot;
	/* Send time of the router's latest heartbeat by the router's clock; the
	 * stub's heartbeats echo it. */
	int64_t echo_us;
};

/* Sends a message of any kind; body is the protobuf message that fits kind. */
static void send_body(struct stub_assigner *stub, struct link *link,
		      Envelope__BodyCase kind, void *body)
{
	Envelope envelope = ENVELOPE__INIT;

	envelope.body_case = kind;
	/* All bodies are pointers in one union, so any member sets them. */
	envelope.hello = body;
	hub_send(stub->hub, link, &envelope);
}

static void send_heartbeat(void *ctx, struct link *link)
{
	struct stub_assigner *stub = ctx;
	CellEpoch epochs[OWNER_MAPS_MAX];
	CellEpoch *cells[OWNER_MAPS_MAX];
	Heartbeat heartbeat = HEARTBEAT__INIT;
	size_t i;

	for (i = 0; i < stub->owner_map_count; i++) {
		cell_epoch__init(&epochs[i]);
		epochs[i].cell = (char *)stub->owner_maps[i].cell;
		epochs[i].epoch = stub->owner_maps[i].epoch;
		cells[i] = &epochs[i];
	}
	heartbeat.daemon = (char *)"stub";
	heartbeat.role = ROLE__ASSIGNER;
	heartbeat.settings_version = stub->settings_version;
	heartbeat.vms_version = stub->vms_version;
	heartbeat.settings_fresh = stub->fresh;
	heartbeat.valid_ms = HEARTBEAT_VALID_MS;
	heartbeat.echo_us = stub->echo_us;
	heartbeat.sent_us = clock_now_us(clock_system());
	heartbeat.n_cells = stub->owner_map_count;
	heartbeat.cells = cells;
	send_body(stub, link, ENVELOPE__BODY_HEARTBEAT, &heartbeat);
}

static void send_settings(struct stub_assigner *stub, struct link *link)
{
	Settings message = SETTINGS__INIT;

	message.version = stub->settings_version;
	message.body.data = (uint8_t *)stub->settings;
	message.body.len = strlen(stub->settings);
	send_body(stub, link, ENVELOPE__BODY_SETTINGS, &message);
}

static void send_vms(struct stub_assigner *stub, struct link *link)
{
	VmList message = VM_LIST__INIT;
	Vm vms[VMS_MAX];
	Vm *list[VMS_MAX];
	size_t i;

	for (i = 0; i < stub->vm_count; i++) {
		vm__init(&vms[i]);
		vms[i].id = (char *)stub->vms[i].id;
		vms[i].service = (char *)stub->vms[i].service;
		vms[i].zone = (char *)stub->vms[i].zone;
		vms[i].address = (char *)stub->vms[i].address;
		vms[i].control = (char *)stub->vms[i].address;
		vms[i].leaving = stub->vms[i].leaving;
		vms[i].fences = true;
		list[i] = &vms[i];
	}
	message.version = stub->vms_version;
	message.n_vms = stub->vm_count;
	message.vms = list;
	send_body(stub, link, ENVELOPE__BODY_VMS, &message);
}

static void send_owner_map(struct stub_assigner *stub, struct link *link,
			   const struct owner_map *owner_map)
{
	CellRow message = CELL_ROW__INIT;
	Slice slice = SLICE__INIT;
	Slice *slices[] = { &slice };
	char *owners[] = { (char *)owner_map->owner };

	slice.owner = owner_map->owner ? 0 : UINT32_MAX;
	slice.epoch = owner_map->epoch;
	message.cell = (char *)owner_map->cell;
	message.epoch = owner_map->epoch;
	message.attempt = (char *)"stub";
	message.n_owners = owner_map->owner ? 1 : 0;
	message.owners = owners;
	message.n_slices = 1;
	message.slices = slices;
	send_body(stub, link, ENVELOPE__BODY_CELL, &message);
}

static void answer_pull(struct stub_assigner *stub, struct link *link,
			const Pull *pull)
{
	size_t i;

	if (pull->settings && stub->settings)
		send_settings(stub, link);
	if (pull->vms)
		send_vms(stub, link);
	for (i = 0; pull->n_cells && i < stub->owner_map_count; i++)
		send_owner_map(stub, link, &stub->owner_maps[i]);
}

static void answer_share(struct stub_assigner *stub, struct link *link,
			 const ShareRequest *request)
{
	Share share = SHARE__INIT;

	share.upstream = request->upstream;
	share.boot = (char *)stub->boot;
	share.count = stub->shares;
	share.duration_ms = SHARE_DURATION_MS;
	share.asked_us = request->asked_us;
	send_body(stub, link, ENVELOPE__BODY_SHARE, &share);
}

static void on_message(void *ctx, struct link *link, const Envelope *message)
{
	struct stub_assigner *stub = ctx;

	switch (message->body_case) {
	case ENVELOPE__BODY_HEARTBEAT:
		stub->echo_us = message->heartbeat->sent_us;
		break;
	case ENVELOPE__BODY_PULL:
		answer_pull(stub, link, message->pull);
		break;
	case ENVELOPE__BODY_SHARE_REQUEST:
		answer_share(stub, link, message->share_request);
		break;
	case ENVELOPE__BODY_STALE:
		stub->stale_messages++;
		break;
	case ENVELOPE__BODY_POISON:
		stub->poison_messages++;
		break;
	case ENVELOPE__BODY_LOAD:
		stub->reported_requests += message->load->requests;
		break;
	default:
		break;
	}
}

static void on_opened(void *ctx, struct link *link, bool outgoing)
{
	(void)ctx;
	(void)link;
	(void)outgoing;
}

static void on_closed(void *ctx, struct link *link)
{
	(void)ctx;
	(void)link;
}

static const struct hub_ops hub_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

/* Thread: exchanges messages with the connected routers until the stub stops.
 */
static void *serve_routers(void *data)
{
	struct stub_assigner *stub = data;
	int64_t next_heartbeat_us = 0;

	while (!stub->stop) {
		struct pollfd fd = { .fd = hub_fd(stub->hub),
				     .events = POLLIN };
		int64_t now_us;

		poll(&fd, 1, POLL_MS);
		now_us = clock_now_us(clock_system());
		pthread_mutex_lock(&stub->lock);
		hub_run(stub->hub);
		if (now_us >= next_heartbeat_us) {
			next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US;
			hub_foreach(stub->hub, send_heartbeat, stub);
		}
		pthread_mutex_unlock(&stub->lock);
	}
	return NULL;
}

struct stub_assigner *stub_assigner_start(void)
{
	struct stub_assigner *stub = g_new0(struct stub_assigner, 1);
	struct sockaddr_in addr, bound;

	pthread_mutex_init(&stub->lock, NULL);
	stub->fresh = true;
	stub->shares = 100;
	stub->boot = "boot-1";
	stub->vms_version = 1;
	stub->hub = hub_create(clock_system(), &hub_ops, stub);
	address_parse(STR("127.0.0.1:0"), &addr);
	if (!hub_listen(stub->hub, &addr, &bound, NULL))
		g_error("the stub assigner can't listen on a loopback port");
	address_format(&bound, stub->address);
	pthread_create(&stub->thread, NULL, serve_routers, stub);
	return stub;
}

void stub_assigner_stop(struct stub_assigner *stub)
{
	if (!stub)
		return;
	stub->stop = true;
	pthread_join(stub->thread, NULL);
	hub_destroy(stub->hub);
	pthread_mutex_destroy(&stub->lock);
	g_free(stub->settings);
	g_free(stub);
}

const char *stub_assigner_address(const struct stub_assigner *stub)
{
	return stub->address;
}

void stub_assigner_set_settings(struct stub_assigner *stub, uint64_t version,
				const char *json)
{
	pthread_mutex_lock(&stub->lock);
	g_free(stub->settings);
	stub->settings = g_strdup(json);
	stub->settings_version = version;
	pthread_mutex_unlock(&stub->lock);
}

void stub_assigner_set_vms(struct stub_assigner *stub,
			   const struct stub_vm *vms)
{
	size_t i;

	pthread_mutex_lock(&stub->lock);
	for (i = 0; i < VMS_MAX && vms[i].id; i++)
		stub->vms[i] = vms[i];
	stub->vm_count = i;
	stub->vms_version++;
	pthread_mutex_unlock(&stub->lock);
}

void stub_assigner_set_owner(struct stub_assigner *stub, const char *cell,
			     uint64_t epoch, const char *owner)
{
	size_t i;

	pthread_mutex_lock(&stub->lock);
	for (i = 0; i < stub->owner_map_count; i++)
		if (!strcmp(stub->owner_maps[i].cell, cell))
			break;
	if (i == stub->owner_map_count && i < OWNER_MAPS_MAX - 1)
		stub->owner_map_count++;
	stub->owner_maps[i] = (struct owner_map){ cell, epoch, owner };
	pthread_mutex_unlock(&stub->lock);
}

void stub_assigner_set_fresh(struct stub_assigner *stub, bool fresh)
{
	pthread_mutex_lock(&stub->lock);
	stub->fresh = fresh;
	pthread_mutex_unlock(&stub->lock);
}

void stub_assigner_set_shares(struct stub_assigner *stub, uint32_t count)
{
	pthread_mutex_lock(&stub->lock);
	stub->shares = count;
	pthread_mutex_unlock(&stub->lock);
}

void stub_assigner_set_incarnation(struct stub_assigner *stub, const char *boot)
{
	pthread_mutex_lock(&stub->lock);
	stub->boot = boot;
	pthread_mutex_unlock(&stub->lock);
}

unsigned int stub_assigner_stale_count(const struct stub_assigner *stub)
{
	return stub->stale_messages;
}

unsigned int stub_assigner_poison_count(const struct stub_assigner *stub)
{
	return stub->poison_messages;
}

uint64_t stub_assigner_load_sum(const struct stub_assigner *stub)
{
	return stub->reported_requests;
}
