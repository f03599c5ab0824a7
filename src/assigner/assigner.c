#include "assigner/assigner_impl.h"

#include <stdio.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"

/* Interval of tick_membership(), tick_vms() and api_tick(). */
#define SLOW_TICK_US (100 * US_PER_MS)
/* Interval of the CellBeat messages. */
#define BEAT_US (100 * US_PER_MS)
/* Longest wait of a graceful shutdown for the hand-over of the cells. */
#define HAND_OVER_LIMIT_US (3 * US_PER_SECOND)

static void send_map(void *ctx, struct slice_map *map)
{
	assigner_send_map(ctx, map);
}

static void on_order_reply(void *ctx, struct str vm,
			   const struct order_reply *reply, int64_t begun_us)
{
	struct assigner *a = ctx;

	vm_table_record_answer(a->vms, vm, reply->boot,
			       reply->load.state == UPSTREAM_DRAINING,
			       begun_us);
	assigner_record_load(a, vm, &reply->load);
}

static void set_cell_env(struct assigner *a)
{
	a->cell_env = (struct cell_env){
		.clock = a->clock,
		.http = a->http,
		.table = a->table,
		.daemon = str_from(a->options->daemon),
		.incarnation = str_from(a->incarnation),
		.slices_per_owner = (size_t)a->options->slices_per_owner,
		.send_map = send_map,
		.on_order_reply = on_order_reply,
		.ctx = a,
	};
}

/* Parses "IPv4:port,IPv4:port", which options_parse() has validated. The array
 * is freed with g_free(). */
static struct sockaddr_in *parse_peers(const char *text, size_t *count)
{
	char **parts = g_strsplit(text, ",", -1);
	struct sockaddr_in *peers =
		g_new0(struct sockaddr_in, g_strv_length(parts) + 1);
	char **part;

	*count = 0;
	for (part = parts; *part; part++)
		if (address_parse(str_from(*part), &peers[*count]))
			(*count)++;
	g_strfreev(parts);
	return peers;
}

static struct peers *create_peers(struct assigner *a, int64_t now_us)
{
	struct peers_config config = {
		.id = a->options->daemon,
		.incarnation = a->incarnation,
		.role = PEER_ASSIGNER,
		.address = a->wire_address,
		.seed = (uint32_t)hash_key(str_from(a->incarnation)),
	};
	struct sockaddr_in *seeds =
		parse_peers(a->options->peers, &config.seed_count);
	struct peers *peers;

	config.seeds = seeds;
	peers = peers_create(&config, &assigner_peers_ops, a, now_us);
	g_free(seeds);
	return peers;
}

static bool create_operator_server(struct assigner *a, GError **error)
{
	struct operator_config config = {
		.token = a->options->operator_token,
		.mounts = a->mounts,
	};

	a->common =
		(struct common_routes){ &assigner_common_ops, a, a->mounts };
	a->mounts[0] = (struct operator_mount){ common_routes, &a->common };
	a->api = api_create(&assigner_api_ops, a, a->clock);
	a->mounts[1] = (struct operator_mount){ api_routes, a->api };
	address_parse(str_from(a->options->operator_listen), &config.address);
	a->operators = operator_server_create(&config, error);
	return a->operators != NULL;
}

static bool listen_for_links(struct assigner *a, GError **error)
{
	struct sockaddr_in address;

	address_parse(str_from(a->options->listen), &address);
	return hub_listen(a->hub, &address, &a->wire_address, error);
}

static void destroy_cell(void *cell)
{
	cell_destroy(cell);
}

struct assigner *assigner_create(const struct assigner_options *options,
				 GError **error)
{
	struct assigner *a = g_new0(struct assigner, 1);
	int64_t now_us;

	a->options = options;
	a->clock = clock_system();
	now_us = clock_now_us(a->clock);
	a->incarnation = g_uuid_string_random();
	a->http = http_client_create();
	a->table = table_create(a->http, options->platform,
				options->table_timeout_ms * US_PER_MS);
	a->hub = hub_create(a->clock, &assigner_hub_ops, a);
	a->vms = vm_table_create();
	a->cells = g_ptr_array_new_with_free_func(destroy_cell);
	a->poison = poison_create();
	a->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->settings_replica = settings_replica_create(
		&assigner_settings_replica_ops, a,
		(uint32_t)hash_key(str_from(a->incarnation)), now_us);
	set_cell_env(a);
	if (!listen_for_links(a, error) || !create_operator_server(a, error)) {
		assigner_destroy(a);
		return NULL;
	}
	a->peers = create_peers(a, now_us);
	return a;
}

void assigner_destroy(struct assigner *a)
{
	if (!a)
		return;
	/* Destroy the cells first, so that they ignore the results of calls
	 * that http_client_abort_all() ends. Each call in flight holds a
	 * reference to its cell. */
	g_ptr_array_set_size(a->cells, 0);
	http_client_abort_all(a->http);
	operator_server_destroy(a->operators);
	api_destroy(a->api);
	http_client_destroy(a->http);
	hub_destroy(a->hub);
	g_ptr_array_free(a->cells, TRUE);
	if (a->peers)
		peers_destroy(a->peers);
	settings_replica_destroy(a->settings_replica);
	vm_table_destroy(a->vms);
	g_free(a->vms_skipped);
	table_destroy(a->table);
	poison_destroy(a->poison);
	g_hash_table_destroy(a->loads);
	g_free(a->incarnation);
	g_free(a);
}

void assigner_print_addresses(const struct assigner *a)
{
	char wire[ADDRESS_TEXT_SIZE];
	struct sockaddr_in operators;
	char text[ADDRESS_TEXT_SIZE];

	address_parse(str_from(a->options->operator_listen), &operators);
	operators.sin_port = htons(operator_server_port(a->operators));
	printf("listening wire=%s operator=%s\n",
	       address_format(&a->wire_address, wire),
	       address_format(&operators, text));
	fflush(stdout);
}

static void tick_membership(struct assigner *a, int64_t now_us)
{
	peers_set_local(a->peers, settings_replica_version(a->settings_replica),
			vm_table_version(a->vms),
			settings_replica_valid_until(a->settings_replica),
			a->leaving, now_us);
	peers_tick(a->peers, now_us);
	settings_replica_set_contact(a->settings_replica, peers_count(a->peers),
				     peers_quorum_until(a->peers));
	settings_replica_tick(a->settings_replica, now_us);
}

static void tick_vms(struct assigner *a, int64_t now_us)
{
	assigner_read_vms(a, now_us);
	vm_table_tick(a->vms, now_us);
	if (vm_table_version(a->vms) == a->vms_sent_version)
		return;
	a->vms_sent_version = vm_table_version(a->vms);
	assigner_update_cells(a);
	assigner_send_vms(a);
}

static void tick(struct assigner *a)
{
	int64_t now_us = clock_now_us(a->clock);
	guint i;

	for (i = 0; i < a->cells->len; i++)
		cell_tick(a->cells->pdata[i]);
	if (now_us >= a->beat_due_us) {
		a->beat_due_us = now_us + BEAT_US;
		assigner_send_cell_beats(a);
	}
	if (now_us >= a->slow_tick_due_us) {
		a->slow_tick_due_us = now_us + SLOW_TICK_US;
		tick_membership(a, now_us);
		tick_vms(a, now_us);
		api_tick(a->api);
	}
}

static void run_once(struct assigner *a)
{
	int fds[] = { hub_fd(a->hub), operator_server_fd(a->operators) };

	http_client_wait(a->http, fds, G_N_ELEMENTS(fds), COORDINATOR_TICK_US);
	hub_run(a->hub);
	http_client_run(a->http);
	operator_server_run(a->operators);
	tick(a);
}

static bool all_cells_handed_over(const struct assigner *a)
{
	guint i;

	for (i = 0; i < a->cells->len; i++)
		if (!coordinator_handed_over(
			    cell_coordinator(a->cells->pdata[i])))
			return false;
	return true;
}

static void begin_stop(struct assigner *a)
{
	guint i;

	log_info("assigner",
		 "stopping: handing over the coordination of %u cells",
		 a->cells->len);
	a->leaving = true;
	for (i = 0; i < a->cells->len; i++)
		coordinator_hand_over(cell_coordinator(a->cells->pdata[i]));
	assigner_send_cell_beats(a);
}

void assigner_run(struct assigner *a, const volatile sig_atomic_t *stop)
{
	int64_t limit_us;

	while (!*stop)
		run_once(a);
	begin_stop(a);
	limit_us = clock_now_us(a->clock) + HAND_OVER_LIMIT_US;
	while (!all_cells_handed_over(a) && clock_now_us(a->clock) < limit_us)
		run_once(a);
	/* Report the released cells to the other assigners at once. */
	assigner_send_cell_beats(a);
	run_once(a);
	log_info("assigner", "stopped");
}
