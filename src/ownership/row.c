#include "ownership/row.h"

#include "ownership/authority.h"
#include "ownership/election.h"
#include "ownership/grants.h"
#include "ownership/slice_states.h"

/** Pause before a failed read, or before a plan after a failed write. */
#define TABLE_RETRY_US (100 * US_PER_MS)
/** Shortest time between the result of a read and the next read. */
#define READ_PAUSE_US (20 * US_PER_MS)
/** Followers read the row regularly only if their rank for the cell is below
 * this: these are likely to become candidates. */
#define READER_RANKS 3
/** Prefixes of a write's attempt id. They name the source of the cell's
 * authority: the table, or ballots of the upstreams. */
#define ATTEMPT_UNFENCED "table/"
#define ATTEMPT_FENCED "ballot/"

static struct str bytes_str(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (struct str){ data, len };
}

/* The part of attempt ids that is the same for all writes of this process. */
static char *attempt_prefix(const struct coordinator *c, bool unfenced)
{
	return g_strdup_printf("%s%s/%s/",
			       unfenced ? ATTEMPT_UNFENCED : ATTEMPT_FENCED,
			       c->daemon, c->incarnation);
}

/* Whether this process, not an earlier incarnation, wrote a row with authority
 * from the table. */
static bool row_is_own(const struct coordinator *c, const struct slice_map *map)
{
	char *prefix = attempt_prefix(c, true);
	bool own = str_has_prefix(slice_map_attempt(map), str_from(prefix));

	g_free(prefix);
	return own;
}

/* Remembers a new table call; write is the write's id, or 0 for a read. */
static struct table_call *call_begin(struct coordinator *c, uint64_t write,
				     int64_t now)
{
	struct table_call *call = &c->calls[c->calls_sent++ % TABLE_CALLS_KEPT];

	call->request = c->next_request++;
	call->begun_us = now;
	call->write = write;
	return call;
}

static struct table_call *call_find(struct coordinator *c, uint64_t request,
				    uint64_t write)
{
	size_t i;

	for (i = 0; i < TABLE_CALLS_KEPT; i++)
		if (c->calls[i].request == request &&
		    c->calls[i].write == write)
			return &c->calls[i];
	return NULL;
}

void row_need_read(struct coordinator *c)
{
	c->need_read = true;
}

static void send_read(struct coordinator *c, int64_t now)
{
	struct table_call *call = call_begin(c, 0, now);

	c->reading = true;
	c->read_sent_us = now;
	c->ops->read_row(c->ctx, call->request);
}

static void send_write(struct coordinator *c, int64_t now)
{
	struct row_write *w = c->write;
	struct table_call *call = call_begin(c, w->id, now);

	w->sent_us = now;
	w->times_sent++;
	c->ops->write_row(c->ctx, call->request, w->version, w->row);
	if (c->fault == COORDINATOR_FAULT_PUBLISH_EARLY)
		c->ops->publish(c->ctx, w->map);
}

void row_begin_write(struct coordinator *c, struct slice_map *map)
{
	char *prefix = attempt_prefix(c, c->unfenced);

	c->write = g_new0(struct row_write, 1);
	c->write->id = c->next_attempt++;
	c->write->attempt =
		g_strdup_printf("%s%" G_GUINT64_FORMAT, prefix, c->write->id);
	c->write->map = map;
	c->write->row = slice_map_encode(map, str_from(c->write->attempt));
	c->write->version = c->version;
	g_free(prefix);
	send_write(c, coordinator_now(c));
}

void row_drop_write(struct coordinator *c)
{
	if (!c->write)
		return;
	slice_map_destroy(c->write->map);
	g_bytes_unref(c->write->row);
	g_free(c->write->attempt);
	g_clear_pointer(&c->write, g_free);
}

/* Whether any listed upstream does not check grants. */
static bool list_is_unfenced(const struct coordinator *c)
{
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->upstreams, i);

		if (u->listed && !u->fences)
			return true;
	}
	return false;
}

void row_write_first(struct coordinator *c)
{
	struct str *owners = g_new0(struct str, c->upstreams->len + 1);
	size_t i, count = 0;

	c->unfenced = list_is_unfenced(c);
	for (i = 0; i < c->upstreams->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->upstreams, i);

		if (u->listed && !u->leaving && !u->out)
			owners[count++] = str_from(u->id);
	}
	c->version = 0;
	if (count)
		row_begin_write(c,
				slice_map_initial(str_from(c->cell), owners,
						  count, c->slices_per_owner));
	g_free(owners);
}

void row_write_takeover(struct coordinator *c)
{
	GArray *slices = g_array_new(FALSE, FALSE, sizeof(struct slice));
	size_t i, n = slice_map_owner_count(c->map);
	struct str *owners = g_new0(struct str, n + 1);
	struct slice_map *map;

	for (i = 0; i < n; i++)
		owners[i] = slice_map_owner(c->map, (uint32_t)i);
	for (i = 0; i < slice_map_count(c->map); i++)
		g_array_append_val(slices, *slice_map_at(c->map, i));
	map = slice_map_create(str_from(c->cell), slice_map_epoch(c->map) + 1,
			       owners, n, (const struct slice *)slices->data,
			       slices->len, NULL);
	g_array_unref(slices);
	g_free(owners);
	row_begin_write(c, map);
}

/* Makes the owners of the new row the acceptors; own as in row_adopt(). */
static void set_acceptors(struct coordinator *c, bool own)
{
	GPtrArray *next = g_ptr_array_new();
	size_t i;

	for (i = 0; i < slice_map_owner_count(c->map); i++)
		g_ptr_array_add(
			next, coordinator_upstream_add(
				      c, slice_map_owner(c->map, (uint32_t)i)));
	g_clear_pointer(&c->old_acceptors, g_ptr_array_unref);
	/* Until a majority knows the new epoch, a majority of both sets is
	 * needed. */
	if (own && c->acceptors->len)
		c->old_acceptors = c->acceptors;
	else
		g_ptr_array_unref(c->acceptors);
	c->acceptors = next;
}

void row_publish(struct coordinator *c)
{
	uint64_t epoch = slice_map_epoch(c->map);

	if (epoch <= c->published_epoch ||
	    epoch > authority_of(c)->settled_epoch(c))
		return;
	c->published_epoch = epoch;
	c->ops->publish(c->ctx, c->map);
}

void row_adopt(struct coordinator *c, struct slice_map *map, uint64_t version,
	       bool own)
{
	uint64_t epoch = slice_map_epoch(map);

	if (c->map && epoch <= slice_map_epoch(c->map)) {
		if (epoch == slice_map_epoch(c->map) && version)
			c->version = version;
		return;
	}
	slice_states_carry_over(c, map, own);
	if (c->map)
		slice_map_destroy(c->map);
	c->map = slice_map_ref(map);
	c->version = version;
	c->row_absent = false;
	c->known_epoch = MAX(c->known_epoch, epoch);
	c->unfenced =
		str_has_prefix(slice_map_attempt(map), STR(ATTEMPT_UNFENCED));
	set_acceptors(c, own);
	grants_make_all_due(c);
	rebalancer_set_map(c->rebalancer, c->map);
}

/* Ends the pending write, which has succeeded, and adopts its row. */
static void write_committed(struct coordinator *c, uint64_t version,
			    int64_t now)
{
	struct row_write *w = c->write;
	struct slice_map *map = slice_map_decode(bytes_str(w->row), NULL);

	c->write = NULL;
	row_adopt(c, map, version, true);
	if (c->unfenced) {
		c->own_read_us = w->sent_us;
		if (c->won_us == NEVER_US)
			c->won_us = now + c->timing.authority_us +
				    coordinator_margin(c);
	}
	coordinator_event(
		c, "epoch %" G_GUINT64_FORMAT " is committed to the table",
		slice_map_epoch(map));
	slice_map_destroy(map);
	slice_map_destroy(w->map);
	g_bytes_unref(w->row);
	g_free(w->attempt);
	g_free(w);
}

/* Finds out from a row that was read whether the pending write took effect. */
static void resolve_write(struct coordinator *c, struct slice_map *map,
			  uint64_t version, int64_t begun_us, int64_t now)
{
	struct row_write *w = c->write;

	if (str_equal(slice_map_attempt(map), str_from(w->attempt))) {
		write_committed(c, version, now);
		return;
	}
	/* The table still had the old row, so the write may yet be applied. A
	 * write with an unknown outcome is sent again. */
	if (version == w->version) {
		if (w->outcome_unknown && begun_us > w->sent_us)
			send_write(c, now);
		return;
	}
	row_drop_write(c);
	coordinator_event(c, "another daemon replaced the row first: this "
			     "daemon's write is dropped");
}

/* Renews authority from the table if the row read is our own, or ends it if
 * another process wrote it. */
static void update_table_authority(struct coordinator *c, struct slice_map *map,
				   int64_t begun_us)
{
	if (!c->unfenced || slice_map_epoch(map) < slice_map_epoch(c->map))
		return;
	if (row_is_own(c, map)) {
		c->own_read_us = MAX(c->own_read_us, begun_us);
		return;
	}
	c->own_read_us = NEVER_US;
	c->won_us = NEVER_US;
}

static void apply_read_row(struct coordinator *c, struct slice_map *map,
			   uint64_t version, int64_t begun_us)
{
	int64_t now = coordinator_now(c);

	/* A row older than the known one is a stale reply. */
	if (c->map && slice_map_epoch(map) < slice_map_epoch(c->map))
		return;
	c->row_read_us = MAX(c->row_read_us, begun_us);
	if (c->write)
		resolve_write(c, map, version, begun_us, now);
	row_adopt(c, map, version, false);
	/* If the newest hint of an epoch came before the read began, the read
	 * would have found a row of that epoch, so the hint was wrong. */
	if (c->known_epoch_us < begun_us)
		c->known_epoch = slice_map_epoch(c->map);
	update_table_authority(c, map, begun_us);
}

void row_on_read(struct coordinator *c, uint64_t request,
		 enum table_status status, uint64_t version, struct str row)
{
	struct table_call *call = call_find(c, request, 0);
	struct slice_map *map;

	if (!call)
		return;
	c->reading = false;
	c->table_up = status == TABLE_OK || status == TABLE_ABSENT;
	if (status == TABLE_ABSENT)
		c->row_absent = !c->map;
	if (status == TABLE_ABSENT && c->write && c->write->outcome_unknown)
		send_write(c, coordinator_now(c));
	if (status != TABLE_OK) {
		c->retry_read_us = coordinator_now(c) + TABLE_RETRY_US;
		return;
	}
	map = slice_map_decode(row, NULL);
	if (!map) {
		coordinator_event(c, "the row read from the table can't be "
				     "decoded and is ignored");
		return;
	}
	c->need_read = false;
	c->retry_read_us = coordinator_now(c) + READ_PAUSE_US;
	apply_read_row(c, map, version, call->begun_us);
	slice_map_destroy(map);
}

void row_on_written(struct coordinator *c, uint64_t request,
		    enum table_status status, uint64_t version)
{
	struct row_write *w = c->write;

	if (!w || !call_find(c, request, w->id))
		return;
	c->table_up = status == TABLE_OK || status == TABLE_CONFLICT;
	if (status == TABLE_OK) {
		write_committed(c, version, coordinator_now(c));
		return;
	}
	if (status == TABLE_UNAVAILABLE && w->times_sent == 1) {
		row_drop_write(c);
		c->next_plan_us = coordinator_now(c) + TABLE_RETRY_US;
		return;
	}
	w->outcome_unknown = true;
	row_need_read(c);
}

/* The interval between regular reads of the row. */
static int64_t read_interval_us(const struct coordinator *c)
{
	if (c->unfenced && c->phase != COORDINATOR_FOLLOWING)
		return c->timing.authority_us / 2;
	return c->timing.read_us;
}

static bool read_due(const struct coordinator *c, bool reads_regularly,
		     int64_t now)
{
	if (c->reading && now < c->read_sent_us + c->timing.table_timeout_us)
		return false;
	if (now < c->retry_read_us)
		return false;
	if (c->need_read)
		return true;
	return reads_regularly &&
	       (c->read_sent_us == NEVER_US ||
		now >= c->read_sent_us + read_interval_us(c));
}

void row_step(struct coordinator *c, int64_t now)
{
	struct row_write *w = c->write;
	bool reads_regularly = c->phase != COORDINATOR_FOLLOWING ||
			       election_rank(c, now) < READER_RANKS;

	if (c->known_epoch > (c->map ? slice_map_epoch(c->map) : 0) &&
	    reads_regularly)
		row_need_read(c);
	if (c->reading && now >= c->read_sent_us + c->timing.table_timeout_us)
		c->table_up = false;
	if (w && !w->outcome_unknown &&
	    now >= w->sent_us + c->timing.table_timeout_us) {
		w->outcome_unknown = true;
		c->table_up = false;
		c->need_read = true;
	}
	if (read_due(c, reads_regularly, now))
		send_read(c, now);
}
