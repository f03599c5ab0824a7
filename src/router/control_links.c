#include <string.h>
#include <sys/socket.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"
#include "membership/vm_codec.h"
#include "profile/settings.h"
#include "router/control_internal.h"
#include "upstream/budget.h"

#define PART "control"
/* Interval of load reports. */
#define LOAD_REPORT_US US_PER_SECOND
/* Interval of the check for silent assigners. */
#define RELINK_US US_PER_SECOND
/* The link to an assigner without a heartbeat for this long is replaced by a
 * link to another. */
#define SILENT_US (INT64_C(2) * US_PER_SECOND)

static int64_t now_of(const struct control *control)
{
	return clock_now_us(control->router->clock);
}

/* Sends a message of the type that kind names over one link. */
static void send_to_link(struct control *control, struct link *link,
			 Envelope__BodyCase kind, void *body)
{
	Envelope envelope = ENVELOPE__INIT;

	/* The bodies are a union of pointers, so any member sets the body. */
	envelope.body_case = kind;
	envelope.hello = body;
	hub_send(control->hub, link, &envelope);
}

void control_send_to_all(struct control *control, Envelope__BodyCase kind,
			 void *body)
{
	guint i;

	for (i = 0; i < control->assigners->len; i++) {
		struct assigner *assigner =
			g_ptr_array_index(control->assigners, i);

		send_to_link(control, assigner->link, kind, body);
	}
}

/*
 * Returns the linked assigner with the newest heartbeat, which is the most
 * likely to be alive; NULL without a link. Any assigner forwards messages to
 * the leader of the service that they are about.
 */
static struct assigner *newest_assigner(const struct control *control)
{
	struct assigner *best = NULL;
	guint i;

	for (i = 0; i < control->assigners->len; i++) {
		struct assigner *assigner =
			g_ptr_array_index(control->assigners, i);

		if (!best ||
		    assigner->last_heartbeat_us > best->last_heartbeat_us)
			best = assigner;
	}
	return best;
}

void control_send_to_one(struct control *control, Envelope__BodyCase kind,
			 void *body)
{
	struct assigner *assigner = newest_assigner(control);

	if (assigner)
		send_to_link(control, assigner->link, kind, body);
}

/* Tells an assigner that this router is alive and which settings it has. */
static void send_heartbeat(struct control *control, struct assigner *assigner)
{
	const struct router *router = control->router;
	Heartbeat beat = HEARTBEAT__INIT;

	beat.daemon = router->options.daemon;
	beat.incarnation = control->incarnation;
	beat.zone = router->options.zone;
	beat.role = ROLE__ROUTER;
	beat.settings_version = view_store_settings_version(router->views);
	beat.leaving = control->stage != SHUTDOWN_NONE;
	beat.sent_us = now_of(control);
	beat.echo_us = assigner->sent_us;
	send_to_link(control, assigner->link, ENVELOPE__BODY_HEARTBEAT, &beat);
}

/* Called by the hub: a link to an assigner is open. Says who this router is. */
static void on_opened(void *ctx, struct link *link, bool outgoing)
{
	struct control *control = ctx;
	struct assigner *assigner = g_new0(struct assigner, 1);
	const struct router *router = control->router;
	socklen_t size = sizeof(assigner->address);
	Hello hello = HELLO__INIT;

	(void)outgoing;
	assigner->link = link;
	getpeername(link_fd(link), (struct sockaddr *)&assigner->address,
		    &size);
	link_set_data(link, assigner);
	g_ptr_array_add(control->assigners, assigner);
	hello.daemon = router->options.daemon;
	hello.role = ROLE__ROUTER;
	hello.zone = router->options.zone;
	hello.incarnation = control->incarnation;
	send_to_link(control, link, ENVELOPE__BODY_HELLO, &hello);
	send_heartbeat(control, assigner);
}

/* Called by the hub: a link broke. The hub opens it again, unless its peer was
 * removed. */
static void on_closed(void *ctx, struct link *link)
{
	struct control *control = ctx;

	g_ptr_array_remove_fast(control->assigners, link_data(link));
	link_set_data(link, NULL);
}

/* Publishes a view of the stored parts and applies it to the dispatcher. */
static void publish(struct control *control)
{
	dispatch_update(control->router->dispatch,
			view_store_publish(control->router->views));
}

/* Publishes settings from an assigner when they are valid and newer. */
static void apply_settings(struct control *control, const Settings *message)
{
	struct view_store *views = control->router->views;
	GError *error = NULL;
	struct settings *settings;

	if (message->version <= view_store_settings_version(views))
		return;
	settings =
		settings_parse((struct str){ (const char *)message->body.data,
					     message->body.len },
			       &error);
	if (!settings) {
		log_error(PART,
			  "rejected settings version %" G_GUINT64_FORMAT
			  ", the previous settings stay in use: %s",
			  message->version, error->message);
		g_clear_error(&error);
		return;
	}
	if (!view_store_set_settings(views, settings)) {
		settings_destroy(settings);
		return;
	}
	log_info(PART, "applied settings version %" G_GUINT64_FORMAT,
		 message->version);
	publish(control);
}

/* Publishes the owner map of one service (on the wire: of a cell) when it is
 * valid and newer. */
static void apply_map(struct control *control, const CellRow *message)
{
	size_t size = cell_row__get_packed_size(message);
	uint8_t *packed = g_malloc(size);
	GError *error = NULL;
	struct slice_map *map;

	cell_row__pack(message, packed);
	map = slice_map_decode((struct str){ (const char *)packed, size },
			       &error);
	g_free(packed);
	if (!map) {
		log_error(PART,
			  "rejected an owner map of service %s, the previous "
			  "map stays in use: %s",
			  message->cell, error->message);
		g_clear_error(&error);
		return;
	}
	if (view_store_set_map(control->router->views, map)) {
		log_debug(PART,
			  "applied owner map of service %s, epoch "
			  "%" G_GUINT64_FORMAT,
			  message->cell, message->epoch);
		publish(control);
	} else {
		slice_map_destroy(map);
	}
}

/* Publishes the VM list of an assigner when it is valid. */
static void apply_vms(struct control *control, struct assigner *assigner,
		      const VmList *message)
{
	struct vm_list list;
	GError *error = NULL;

	if (!vm_list_from_wire(message, &list, &error)) {
		log_error(PART,
			  "rejected the VM list of an assigner, the previous "
			  "list stays in use: %s",
			  error->message);
		g_clear_error(&error);
		return;
	}
	assigner->vms_version = message->version;
	view_store_set_vms(control->router->views, list.vms, list.count);
	publish(control);
}

/*
 * Collects the services for which a heartbeat names a newer owner map than this
 * router has. Returns their number.
 *
 * @param cells set to the services' names, which are borrowed from beat; has
 *        room for as many as the heartbeat names
 */
static size_t find_outdated_maps(const struct control *control,
				 const Heartbeat *beat, char **cells)
{
	size_t i, n = 0;

	for (i = 0; i < beat->n_cells; i++) {
		const CellEpoch *cell = beat->cells[i];

		if (cell->epoch > view_store_map_epoch(control->router->views,
						       str_from(cell->cell)))
			cells[n++] = cell->cell;
	}
	return n;
}

/* Asks an assigner for the settings, VM list and owner maps that, according to
 * its heartbeat, are out of date in this router. */
static void pull_outdated(struct control *control, struct assigner *assigner,
			  const Heartbeat *beat)
{
	Pull pull = PULL__INIT;
	char **cells = g_new0(char *, beat->n_cells + 1);

	pull.settings = beat->settings_version >
			view_store_settings_version(control->router->views);
	pull.vms = beat->vms_version != assigner->vms_version;
	pull.cells = cells;
	pull.n_cells = find_outdated_maps(control, beat, cells);
	if (pull.settings || pull.vms || pull.n_cells)
		send_to_link(control, assigner->link, ENVELOPE__BODY_PULL,
			     &pull);
	g_free(cells);
}

/*
 * Extends the time for which the settings count as current. The period that
 * the assigner grants starts when this router sent the heartbeat whose time the
 * assigner echoes, not when the assigner's heartbeat arrives: after this
 * process was suspended, a heartbeat that waited in a socket buffer must not
 * count as recent.
 */
static void extend_freshness(struct control *control, const Heartbeat *beat)
{
	struct router *router = control->router;
	int64_t valid_ms = MIN((int64_t)beat->valid_ms,
			       router->options.settings_max_age_ms);
	int64_t until_us = beat->echo_us + valid_ms * US_PER_MS;

	if (!beat->settings_fresh || !beat->echo_us ||
	    beat->settings_version > view_store_settings_version(router->views))
		return;
	if (until_us > atomic_load(&router->fresh_until_us))
		atomic_store(&router->fresh_until_us, until_us);
}

static void handle_heartbeat(struct control *control, struct assigner *assigner,
			     const Heartbeat *beat)
{
	assigner->sent_us = beat->sent_us;
	assigner->last_heartbeat_us = now_of(control);
	pull_outdated(control, assigner, beat);
	extend_freshness(control, beat);
}

/* Records a crash report of another process, sent in a Poison frame. */
static void apply_crash_report(struct control *control, const Poison *message)
{
	struct poison_report report = {
		.fingerprint = message->fingerprint,
		.upstream = str_from(message->upstream),
		.boot = str_from(message->boot),
		.deaths = message->deaths,
	};

	dispatch_apply_crash_report(control->router->dispatch, &report);
}

/* Called by the hub: an assigner sent a message. */
static void on_message(void *ctx, struct link *link, const Envelope *message)
{
	struct control *control = ctx;
	struct assigner *assigner = link_data(link);

	switch (message->body_case) {
	case ENVELOPE__BODY_HEARTBEAT:
		handle_heartbeat(control, assigner, message->heartbeat);
		break;
	case ENVELOPE__BODY_SETTINGS:
		apply_settings(control, message->settings);
		break;
	case ENVELOPE__BODY_CELL:
		apply_map(control, message->cell);
		break;
	case ENVELOPE__BODY_VMS:
		apply_vms(control, assigner, message->vms);
		break;
	case ENVELOPE__BODY_SHARE:
		dispatch_apply_share(control->router->dispatch,
				     str_from(message->share->upstream),
				     str_from(message->share->boot),
				     message->share->asked_us,
				     message->share->count,
				     message->share->duration_ms * US_PER_MS);
		break;
	case ENVELOPE__BODY_POISON:
		apply_crash_report(control, message->poison);
		break;
	default:
		break;
	}
}

static const struct hub_ops hub_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

/*
 * Returns the rendezvous hash of an assigner's address with this router's id.
 * Each router prefers the assigners with the highest hashes, so that the
 * routers' links are spread over the assigners.
 */
static uint64_t address_rank(const struct control *control,
			     const struct sockaddr_in *addr)
{
	char text[ADDRESS_TEXT_SIZE];

	return hash_seeded(str_from(address_format(addr, text)),
			   hash_key(str_from(control->router->options.daemon)));
}

/* Sorts addresses by descending rank. */
static gint compare_rank(gconstpointer a, gconstpointer b, gpointer ctx)
{
	uint64_t x = address_rank(ctx, a), y = address_rank(ctx, b);

	return (x < y) - (x > y);
}

/* Reads the assigners option and sorts the addresses by preference. */
static void read_addresses(struct control *control)
{
	char **texts = g_strsplit(control->router->options.assigners, ",", -1);
	struct sockaddr_in addr;
	char **p;

	for (p = texts; *p; p++)
		if (address_parse(str_from(*p), &addr))
			g_array_append_val(control->addresses, addr);
	g_strfreev(texts);
	g_array_sort_with_data(control->addresses, compare_rank, control);
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* Tells whether the hub has, or tries to open, a link to an address. */
static bool is_linked_address(const struct control *control,
			      const struct sockaddr_in *addr)
{
	guint i;

	for (i = 0; i < control->link_addresses->len; i++)
		if (same_address(&g_array_index(control->link_addresses,
						struct sockaddr_in, i),
				 addr))
			return true;
	return false;
}

/* Starts a link to the next address, in order of preference, that has no link.
 */
static void link_next(struct control *control)
{
	guint tries;

	for (tries = 0; tries < control->addresses->len; tries++) {
		guint i = control->next_address++ % control->addresses->len;
		struct sockaddr_in addr = g_array_index(control->addresses,
							struct sockaddr_in, i);

		if (is_linked_address(control, &addr))
			continue;
		g_array_append_val(control->link_addresses, addr);
		hub_add_peer(control->hub, &addr);
		return;
	}
}

/* Tells whether the assigner at an address has no open link or sent no
 * heartbeat recently. */
static bool is_silent(const struct control *control,
		      const struct sockaddr_in *addr, int64_t now_us)
{
	guint i;

	for (i = 0; i < control->assigners->len; i++) {
		const struct assigner *assigner =
			g_ptr_array_index(control->assigners, i);

		if (same_address(&assigner->address, addr))
			return now_us - assigner->last_heartbeat_us > SILENT_US;
	}
	return true;
}

/* Replaces the links to silent assigners by links to others, if more assigners
 * are configured than a router links to. */
static void replace_silent_links(struct control *control, int64_t now_us)
{
	guint i = 0;

	if (control->addresses->len <= CONTROL_LINKS)
		return;
	while (i < control->link_addresses->len) {
		struct sockaddr_in addr = g_array_index(control->link_addresses,
							struct sockaddr_in, i);

		if (!is_silent(control, &addr, now_us)) {
			i++;
			continue;
		}
		g_array_remove_index(control->link_addresses, i);
		hub_remove_peer(control->hub, &addr);
	}
	while (control->link_addresses->len < CONTROL_LINKS)
		link_next(control);
}

void control_links_start(struct control *control)
{
	guint i;

	control->hub = hub_create(control->router->clock, &hub_ops, control);
	control->assigners = g_ptr_array_new_with_free_func(g_free);
	control->addresses =
		g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	control->link_addresses =
		g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	control->relink_us = now_of(control) + SILENT_US;
	read_addresses(control);
	for (i = 0; i < CONTROL_LINKS && control->addresses->len; i++)
		link_next(control);
}

void control_links_stop(struct control *control)
{
	hub_destroy(control->hub);
	g_ptr_array_free(control->assigners, TRUE);
	g_array_free(control->addresses, TRUE);
	g_array_free(control->link_addresses, TRUE);
}

void control_links_tick(struct control *control, int64_t now_us)
{
	guint i;

	if (now_us >= control->send_pending_us) {
		control->send_pending_us = now_us + BUDGET_REQUEST_INTERVAL_US;
		control_send_pending(control);
	}
	if (now_us >= control->heartbeat_us) {
		control->heartbeat_us =
			now_us +
			control->router->options.heartbeat_ms * US_PER_MS;
		for (i = 0; i < control->assigners->len; i++)
			send_heartbeat(control, g_ptr_array_index(
							control->assigners, i));
	}
	if (now_us >= control->load_report_us) {
		control->load_report_us = now_us + LOAD_REPORT_US;
		control_send_load(control);
	}
	if (now_us >= control->relink_us) {
		control->relink_us = now_us + RELINK_US;
		replace_silent_links(control, now_us);
	}
}
