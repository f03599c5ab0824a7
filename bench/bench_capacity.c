/*
 * Measures sizes and costs that grow with the deployment, for docs/CAPACITY.md:
 * the owner map, the list of VMs, and one renewal of a grant over HTTP. The
 * renewal runs on loopback with both sides in one process.
 */
#include <arpa/inet.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "membership/vm_codec.h"
#include "membership/vm_table.h"
#include "operator/operator_server.h"
#include "ownership/order_codec.h"
#include "ownership/slice_map.h"
#include "platform/http_client.h"
#include "wire/auburn.pb-c.h"

/* Upstreams among which the slices of a map are divided. */
#define MAP_OWNERS 20
/* Numbers of times that a map is decoded, of lookups in a map, of renewals, and
 * of VMs in the list. */
#define DECODES 20
#define LOOKUPS 2000000
#define CALLS 3000
#define VMS 10000
/* Longest wait for the renewal's connection in one turn of the event loop. */
#define WAIT_US 1000

/* Prints one result; label says what the value is for. */
static void print_measure(const char *name, const char *label, double value,
			  const char *unit)
{
	printf("%-28s %-14s %12.2f %s\n", name, label, value, unit);
}

/* Returns the CPU time that this process has used, in microseconds. */
static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Returns the table row of an owner map whose slices have equal size. */
static GBytes *pack_map_row(size_t slices)
{
	CellRow row = CELL_ROW__INIT;
	Slice *slices_of_map = g_new0(Slice, slices);
	Slice **slice_pointers = g_new0(Slice *, slices);
	char names[MAP_OWNERS][16];
	char *owners[MAP_OWNERS];
	uint8_t *data;
	size_t i, size;

	for (i = 0; i < MAP_OWNERS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "tallies-%02zu", i);
		owners[i] = names[i];
	}
	for (i = 0; i < slices; i++) {
		slice__init(&slices_of_map[i]);
		slices_of_map[i].first = UINT64_MAX / slices * i;
		slices_of_map[i].owner = (uint32_t)(i % MAP_OWNERS);
		slices_of_map[i].epoch = 1000;
		slice_pointers[i] = &slices_of_map[i];
	}
	row.cell = (char *)"tallies";
	row.epoch = 1000;
	row.attempt = (char *)"0123456789abcdef";
	row.owners = owners;
	row.n_owners = MAP_OWNERS;
	row.slices = slice_pointers;
	row.n_slices = slices;
	size = cell_row__get_packed_size(&row);
	data = g_malloc(size);
	cell_row__pack(&row, data);
	g_free(slice_pointers);
	g_free(slices_of_map);
	return g_bytes_new_take(data, size);
}

/*
 * Measures size, memory and decoding of an owner map, and lookups of hashes
 * from a linear congruential generator.
 */
static void measure_map(size_t slices)
{
	GBytes *bytes = pack_map_row(slices);
	struct str row = { g_bytes_get_data(bytes, NULL),
			   g_bytes_get_size(bytes) };
	size_t before = mallinfo2().uordblks;
	struct slice_map *map = slice_map_decode(row, NULL);
	size_t memory = mallinfo2().uordblks - before;
	uint64_t hash = 1, sum = 0;
	double begun_us = cpu_us();
	char label[32];
	int i;

	g_snprintf(label, sizeof(label), "slices=%zu", slices);
	print_measure("map_row", label, (double)row.len, "bytes");
	print_measure("map_memory", label, (double)memory, "bytes");
	for (i = 0; i < DECODES; i++)
		slice_map_destroy(slice_map_decode(row, NULL));
	print_measure("map_decode", label, (cpu_us() - begun_us) / DECODES,
		      "us");
	begun_us = cpu_us();
	for (i = 0; i < LOOKUPS; i++) {
		hash = hash * 6364136223846793005u + 1442695040888963407u;
		sum += slice_map_find(map, hash)->owner;
	}
	print_measure("map_find", label, (cpu_us() - begun_us) * 1000 / LOOKUPS,
		      sum ? "ns" : "ns (none)");
	slice_map_destroy(map);
	g_bytes_unref(bytes);
}

/* Measures the message with the list of VMs, and the memory that it takes. */
static void measure_vms(void)
{
	struct vm_table *table = vm_table_create();
	struct vm *vms = g_new0(struct vm, VMS);
	struct vm_list list = { .vms = vms, .count = VMS };
	size_t i, before;
	VmList *message;

	for (i = 0; i < VMS; i++) {
		vms[i] = (struct vm){ .id = g_strdup_printf("vm-%05zu", i),
				      .service = g_strdup("tallies"),
				      .zone = g_strdup("puerto-bolivar"),
				      .boot = g_strdup("0123456789abcdef"),
				      .fences = true };
		vms[i].address.sin_port = htons(8080);
		vms[i].control.sin_port = htons(8081);
	}
	message = vm_list_to_wire(&list, 1);
	print_measure("vms_message", "per VM",
		      (double)vm_list__get_packed_size(message) / VMS, "bytes");
	vm_list_wire_free(message);
	before = mallinfo2().uordblks;
	vm_table_apply_list(table, vms, VMS, 1);
	print_measure("vms_memory", "per VM",
		      (double)(mallinfo2().uordblks - before) / VMS, "bytes");
	vm_list_clear(&list);
	vm_table_destroy(table);
}

/* The upstream's side: decodes the order and sends a reply with a grant. */
static void on_order(void *ctx, struct operator_call *call)
{
	struct order_message *order =
		order_decode(operator_call_body(call), NULL);
	struct order_reply reply = { .accepted = true,
				     .promised = { 7, 123456789012345 },
				     .epoch = 1000,
				     .boot = STR("0123456789abcdef"),
				     .clock_us = 123456789012,
				     .up_us = 123456789,
				     .has_grant = true,
				     .grant_epoch = 1000,
				     .grant_left_us = 700000,
				     .grant_digest = UINT64_MAX / 3 };
	char *text = order_reply_encode(&reply);

	(void)ctx;
	order_message_destroy(order);
	operator_call_answer(call, 200, "application/json", str_from(text));
	g_free(text);
}

static const struct operator_route routes[] = {
	{ "POST", "/control/order", false, on_order, "one order" },
	{ 0 },
};

/* Counts the replies that the renewing side received. */
struct reply_counter {
	int answered;
};

static void on_reply(void *ctx, const struct http_answer *answer)
{
	struct reply_counter *c = ctx;
	struct order_reply reply;
	char *boot;

	if (order_reply_decode(answer->body, &reply, &boot, NULL))
		g_free(boot);
	c->answered++;
}

/* Sends one order after the other; each renews a grant for 800 ms. */
static void measure_renewals(void)
{
	struct operator_mount mounts[] = { { routes, NULL }, { 0 } };
	struct operator_config config = { .token = "", .mounts = mounts };
	struct http_client *http = http_client_create();
	struct order order = { .kind = ORDER_GRANT,
			       .cell = STR("tallies"),
			       .ballot = { 7, 123456789012345 },
			       .epoch = 1000,
			       .boot = STR("0123456789abcdef"),
			       .anchor_us = 123456789012,
			       .duration_us = 800000 };
	struct operator_server *server;
	struct reply_counter reply_counter = { 0 };
	uint64_t calls, sent, received;
	double begun_us = cpu_us();
	char url[64];
	int i, fd;

	config.address.sin_family = AF_INET;
	config.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server = operator_server_create(&config, NULL);
	fd = operator_server_fd(server);
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/control/order",
		   operator_server_port(server));
	for (i = 0; i < CALLS; i++) {
		char *body = order_encode(&order);
		struct http_call call = { .method = "POST",
					  .url = url,
					  .body = str_from(body),
					  .timeout_us = 1000000 };

		http_client_start(http, &call, on_reply, &reply_counter);
		while (reply_counter.answered <= i) {
			http_client_run(http);
			operator_server_run(server);
			if (reply_counter.answered <= i)
				http_client_wait(http, &fd, 1, WAIT_US);
		}
		g_free(body);
	}
	http_client_counts(http, &calls, &sent, &received);
	print_measure("renewal_cpu_both_sides", "one order",
		      (cpu_us() - begun_us) / CALLS, "us");
	print_measure("renewal_sent", "one order", (double)sent / (double)calls,
		      "bytes");
	print_measure("renewal_received", "one order",
		      (double)received / (double)calls, "bytes");
	http_client_destroy(http);
	operator_server_destroy(server);
}

int main(void)
{
	static const size_t sizes[] = { 320, 3200, 32000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_map(sizes[i]);
	measure_vms();
	measure_renewals();
	return 0;
}
