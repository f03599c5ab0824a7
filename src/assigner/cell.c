#include "assigner/cell.h"

#include <glib.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"
#include "ownership/order_codec.h"

/* Timeout of an order sent to an upstream. */
#define ORDER_TIMEOUT_US (400 * US_PER_MS)
/* Prefix of the pseudo upstream whose budget limits the requests suspected of
 * crashing upstreams, and that upstream's fixed incarnation. */
#define TRIAL_PREFIX "trial/"
#define TRIAL_BOOT "trial"

/* An upstream of the cell. */
struct member {
	/* VM id. */
	char *id;
	/* Address for orders, as text. */
	char control[ADDRESS_TEXT_SIZE];
	/* Budget of concurrent requests; NULL without authority. */
	struct budget_allocator *budget;
};

struct cell {
	const struct cell_env *env;
	/* The service's name. */
	char *name;
	/* Key of the table's row that holds the cell's owner map. */
	char *row_key;
	bool keyed;
	/* Number of references: one until cell_destroy(), and one for each call
	 * in flight. */
	unsigned int refs;
	/* cell_destroy() was called; the memory stays until the calls in flight
	 * have ended. */
	bool destroyed;
	struct coordinator *coordinator;
	/* VM id -> struct member * */
	GHashTable *members;
	/* Budget of suspected requests; NULL without authority. */
	struct budget_allocator *trial;
	/* Whether this daemon had authority at the last check. */
	bool had_authority;
	/* See cell_counts(). */
	uint64_t orders, replies;
};

/* A call to the table or an upstream in flight; holds a reference to the cell.
 */
struct call {
	struct cell *cell;
	/* The coordinator's number for the call. */
	uint64_t request;
	/* When the call began. */
	int64_t begun_us;
	/* VM id; "" for a call to the table. */
	char *upstream;
};

static void cell_release(struct cell *cell)
{
	if (--cell->refs)
		return;
	g_free(cell->name);
	g_free(cell->row_key);
	g_free(cell);
}

static struct call *call_create(struct cell *cell, uint64_t request,
				struct str upstream)
{
	struct call *call = g_new0(struct call, 1);

	cell->refs++;
	call->cell = cell;
	call->request = request;
	call->begun_us = clock_now_us(cell->env->clock);
	call->upstream = str_dup(upstream);
	return call;
}

static void call_destroy(struct call *call)
{
	cell_release(call->cell);
	g_free(call->upstream);
	g_free(call);
}

static void on_cell_row(void *ctx, const struct table_result *result)
{
	struct call *call = ctx;
	struct cell *cell = call->cell;

	if (!cell->destroyed)
		coordinator_on_row(cell->coordinator, call->request,
				   result->status, result->version,
				   result->value);
	call_destroy(call);
}

static void on_written(void *ctx, const struct table_result *result)
{
	struct call *call = ctx;
	struct cell *cell = call->cell;

	if (!cell->destroyed)
		coordinator_on_written(cell->coordinator, call->request,
				       result->status, result->version);
	call_destroy(call);
}

static void read_row(void *ctx, uint64_t request)
{
	struct cell *cell = ctx;

	table_get(cell->env->table, str_from(cell->row_key), on_cell_row,
		  call_create(cell, request, STR("")));
}

static void write_row(void *ctx, uint64_t request, uint64_t version,
		      GBytes *row)
{
	struct cell *cell = ctx;
	gsize size;
	const char *data = g_bytes_get_data(row, &size);
	struct str value = { data, size };

	table_put(cell->env->table, str_from(cell->row_key), version, value,
		  on_written, call_create(cell, request, STR("")));
}

static struct member *find_member(struct cell *cell, struct str id)
{
	char *name = str_dup(id);
	struct member *member = g_hash_table_lookup(cell->members, name);

	g_free(name);
	return member;
}

/* Updates an upstream's budget from the load in its reply to an order. */
static void update_budget(struct cell *cell, const struct call *call,
			  const struct order_reply *reply)
{
	struct member *member =
		g_hash_table_lookup(cell->members, call->upstream);
	const struct upstream_load *load = &reply->load;
	struct budget_reading reading = {
		.boot = reply->boot,
		.running = load->running + load->queued,
		.asked_us = call->begun_us,
	};

	if (!member || !member->budget)
		return;
	if (load->state == UPSTREAM_COLD)
		reading.limit = load->cold_limit;
	else if (load->state == UPSTREAM_READY)
		reading.limit = BUDGET_CONNECTIONS;
	budget_allocator_update(member->budget, &reading,
				clock_now_us(cell->env->clock));
}

static void on_reply(void *ctx, const struct http_answer *answer)
{
	struct call *call = ctx;
	struct cell *cell = call->cell;
	char *boot = NULL;
	struct order_reply reply;
	bool ok = answer->result == HTTP_ANSWERED && answer->status == 200 &&
		  order_reply_decode(answer->body, &reply, &boot, NULL);

	if (!cell->destroyed && ok) {
		cell->replies++;
		coordinator_on_reply(cell->coordinator, call->request, &reply);
		update_budget(cell, call, &reply);
		cell->env->on_order_reply(cell->env->ctx,
					  str_from(call->upstream), &reply,
					  call->begun_us);
	} else if (!cell->destroyed) {
		coordinator_on_no_reply(cell->coordinator, call->request);
	}
	g_free(boot);
	call_destroy(call);
}

static void send_order(void *ctx, uint64_t request, struct str upstream,
		       const struct order *order)
{
	struct cell *cell = ctx;
	struct member *member = find_member(cell, upstream);
	char *url, *body;
	struct http_call call = { .method = "POST",
				  .timeout_us = ORDER_TIMEOUT_US };

	if (!member)
		return;
	url = g_strdup_printf("http://%s/control/order", member->control);
	body = order_encode(order);
	call.url = url;
	call.body = str_from(body);
	cell->orders++;
	http_client_start(cell->env->http, &call, on_reply,
			  call_create(cell, request, upstream));
	g_free(body);
	g_free(url);
}

static void publish(void *ctx, struct slice_map *map)
{
	struct cell *cell = ctx;

	cell->env->send_map(cell->env->ctx, map);
}

static void log_event(void *ctx, const char *text)
{
	(void)ctx;
	log_info("ownership", "%s", text);
}

static const struct coordinator_ops coordinator_ops = {
	.read_row = read_row,
	.write_row = write_row,
	.send_order = send_order,
	.publish = publish,
	.event = log_event,
};

static void member_destroy(void *data)
{
	struct member *member = data;

	budget_allocator_destroy(member->budget);
	g_free(member->id);
	g_free(member);
}

struct cell *cell_create(const struct cell_env *env, struct str name,
			 bool keyed)
{
	struct cell *cell = g_new0(struct cell, 1);
	struct coordinator_config config = {
		.cell = name,
		.daemon = env->daemon,
		.incarnation = env->incarnation,
		.slices_per_owner = keyed ? env->slices_per_owner : 0,
		.seed = (uint32_t)hash_key(env->daemon),
	};

	cell->env = env;
	cell->refs = 1;
	cell->name = str_dup(name);
	cell->row_key = g_strconcat("cell/", cell->name, NULL);
	cell->keyed = keyed;
	cell->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      member_destroy);
	cell->coordinator =
		coordinator_create(&config, env->clock, &coordinator_ops, cell);
	return cell;
}

void cell_destroy(struct cell *cell)
{
	if (!cell)
		return;
	cell->destroyed = true;
	coordinator_destroy(cell->coordinator);
	g_hash_table_destroy(cell->members);
	budget_allocator_destroy(cell->trial);
	cell_release(cell);
}

struct str cell_name(const struct cell *cell)
{
	return str_from(cell->name);
}

bool cell_is_keyed(const struct cell *cell)
{
	return cell->keyed;
}

struct coordinator *cell_coordinator(struct cell *cell)
{
	return cell->coordinator;
}

static void destroy_budgets(struct cell *cell)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *member = value;

		g_clear_pointer(&member->budget, budget_allocator_destroy);
	}
	g_clear_pointer(&cell->trial, budget_allocator_destroy);
}

static void create_budgets(struct cell *cell, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *member = value;

		if (!member->budget)
			member->budget = budget_allocator_create(now_us);
	}
	if (!cell->trial)
		cell->trial = budget_allocator_create(now_us);
}

/* Creates budgets while this daemon has authority, also for new upstreams.
 * Destroys them when it loses authority: the next coordinator has its own. */
static void update_budgets_for_authority(struct cell *cell)
{
	bool authority = coordinator_has_authority(cell->coordinator);

	if (authority)
		create_budgets(cell, clock_now_us(cell->env->clock));
	else if (cell->had_authority)
		destroy_budgets(cell);
	cell->had_authority = authority;
}

void cell_tick(struct cell *cell)
{
	coordinator_tick(cell->coordinator);
	update_budgets_for_authority(cell);
}

static void update_member(struct cell *cell, const struct vm *vm)
{
	struct member *member = g_hash_table_lookup(cell->members, vm->id);

	if (!member) {
		member = g_new0(struct member, 1);
		member->id = g_strdup(vm->id);
		g_hash_table_insert(cell->members, member->id, member);
	}
	address_format(&vm->control, member->control);
}

static bool is_listed(const struct cell_member *members, size_t count,
		      const char *id)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(members[i].vm->id, id))
			return true;
	return false;
}

static void remove_unlisted(struct cell *cell,
			    const struct cell_member *members, size_t count)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, cell->members);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!is_listed(members, count, id))
			g_hash_table_iter_remove(&iter);
}

void cell_set_members(struct cell *cell, const struct cell_member *members,
		      size_t count)
{
	struct coordinator_upstream *upstreams =
		g_new0(struct coordinator_upstream, count + 1);
	size_t i;

	for (i = 0; i < count; i++) {
		const struct vm *vm = members[i].vm;

		update_member(cell, vm);
		upstreams[i].id = str_from(vm->id);
		upstreams[i].zone = str_from(vm->zone);
		upstreams[i].fences = vm->fences;
		upstreams[i].leaving = vm->leaving;
		upstreams[i].out = members[i].out;
	}
	remove_unlisted(cell, members, count);
	coordinator_set_upstreams(cell->coordinator, upstreams, count);
	g_free(upstreams);
}

/* Returns the budget of the requests that are suspected of crashing upstreams:
 * one at a time in the whole service, on any upstream. NULL without authority.
 */
static struct budget_allocator *trial_budget(struct cell *cell, int64_t now_us)
{
	struct budget_reading reading = {
		.boot = STR(TRIAL_BOOT),
		.limit = 1,
		.asked_us = now_us,
	};

	if (cell->trial)
		budget_allocator_update(cell->trial, &reading, now_us);
	return cell->trial;
}

bool cell_request_share(struct cell *cell, struct str upstream,
			struct str router, const struct budget_request *request,
			struct budget_grant *grant)
{
	int64_t now_us = clock_now_us(cell->env->clock);
	struct budget_allocator *budget;

	update_budgets_for_authority(cell);
	if (!cell->had_authority)
		return false;
	if (str_has_prefix(upstream, STR(TRIAL_PREFIX))) {
		budget = trial_budget(cell, now_us);
	} else {
		struct member *member = find_member(cell, upstream);

		budget = member ? member->budget : NULL;
	}
	if (!budget)
		return false;
	*grant = budget_allocator_grant(budget, router, request, now_us);
	return true;
}

void cell_counts(const struct cell *cell, uint64_t *orders, uint64_t *replies)
{
	*orders = cell->orders;
	*replies = cell->replies;
}
