/*
 * Exchange of the cells' state between assigners.
 *
 * The RANK_CANDIDATES assigners that rank highest for a cell, and its
 * coordinator, exchange CellBeat messages about that cell every 100 ms, so that
 * the loss of a coordinator is detected soon. All other assigners learn the
 * cell's state from the heartbeats, which carry the cells when they changed;
 * these assigners don't stand for election in the cell.
 */
#include "assigner/assigner_impl.h"

#include "base/hash.h"
#include "membership/heartbeat_codec.h"
#include "ownership/rank.h"

/* Most owner maps that one Pull message requests. */
#define PULL_CELLS_MAX 256
/* At least every 20th heartbeat on a link carries the cells, changed or not. */
#define CELLS_EVERY 20

/* Adds the id of a peer that is a live assigner to the array in ctx. */
static void add_live_assigner(void *ctx, const struct peer *peer)
{
	if (peer->role == PEER_ASSIGNER && peer->age_us < PEERS_LOST_US)
		g_ptr_array_add(ctx, (gpointer)peer->id);
}

/* Returns the ids of the live assigners, this one included. The caller frees
 * the array with g_ptr_array_free(); the ids belong to options and peers. */
static GPtrArray *live_assigners(struct assigner *a)
{
	GPtrArray *ids = g_ptr_array_new();

	g_ptr_array_add(ids, a->options->daemon);
	peers_each(a->peers, clock_now_us(a->clock), add_live_assigner, ids);
	return ids;
}

/* Tells whether a daemon is a candidate for a cell: one of the RANK_CANDIDATES
 * daemons in ids that rank highest for the cell. */
static bool is_candidate(const GPtrArray *ids, struct str cell,
			 struct str daemon)
{
	uint64_t own = rank_weight(cell, daemon);
	guint i, above = 0;

	for (i = 0; i < ids->len; i++)
		above += rank_weight(cell, str_from(ids->pdata[i])) > own;
	return above < RANK_CANDIDATES;
}

static void fill_cell_epoch(CellEpoch *row, struct cell *cell)
{
	struct coordinator_peer peer;

	coordinator_heartbeat(cell_coordinator(cell), &peer);
	cell_epoch__init(row);
	row->cell = str_dup(cell_name(cell));
	row->epoch = peer.epoch;
	row->ballot_number = peer.ballot.number;
	row->ballot_daemon = peer.ballot.daemon;
	row->coordinator = str_dup(peer.coordinator);
}

/* State of some cells in wire form, for a CellBeat or a Heartbeat; freed with
 * cell_epochs_free(). */
struct cell_epochs {
	CellEpoch *epochs;
	/* Pointers to the epochs, as protobuf-c wants them. */
	CellEpoch **list;
	size_t count;
};

static struct cell_epochs cell_epochs_create(const struct assigner *a)
{
	return (struct cell_epochs){
		.epochs = g_new0(CellEpoch, a->cells->len + 1),
		.list = g_new0(CellEpoch *, a->cells->len + 1),
	};
}

static void cell_epochs_add(struct cell_epochs *epochs, struct cell *cell)
{
	fill_cell_epoch(&epochs->epochs[epochs->count], cell);
	epochs->list[epochs->count] = &epochs->epochs[epochs->count];
	epochs->count++;
}

static void cell_epochs_free(struct cell_epochs *epochs)
{
	size_t i;

	for (i = 0; i < epochs->count; i++) {
		g_free(epochs->epochs[i].cell);
		g_free(epochs->epochs[i].coordinator);
	}
	g_free(epochs->list);
	g_free(epochs->epochs);
}

static bool is_coordinator(struct assigner *a, struct cell *cell)
{
	struct coordinator_peer mine;

	coordinator_heartbeat(cell_coordinator(cell), &mine);
	return str_equal(mine.coordinator, str_from(a->options->daemon));
}

/* Returns the cells whose state this daemon sends to another in CellBeats:
 * those for which the other is a candidate and this one is a candidate or the
 * coordinator. */
static struct cell_epochs shared_cells(struct assigner *a, const GPtrArray *ids,
				       struct str daemon)
{
	struct str own = str_from(a->options->daemon);
	struct cell_epochs epochs = cell_epochs_create(a);
	guint i;

	for (i = 0; i < a->cells->len; i++) {
		struct cell *cell = a->cells->pdata[i];
		struct str name = cell_name(cell);

		if (is_candidate(ids, name, daemon) &&
		    (is_candidate(ids, name, own) || is_coordinator(a, cell)))
			cell_epochs_add(&epochs, cell);
	}
	return epochs;
}

/* Context of one round of CellBeats. */
struct beat_round {
	struct assigner *a;
	/* Result of live_assigners(). */
	const GPtrArray *ids;
};

static void send_cell_beat(void *ctx, struct link *link)
{
	const struct beat_round *b = ctx;
	const struct link_peer *link_peer = link_data(link);
	CellBeat beat = CELL_BEAT__INIT;
	Envelope message = ENVELOPE__INIT;
	struct cell_epochs epochs;

	if (!link_peer || link_peer->router)
		return;
	epochs = shared_cells(b->a, b->ids, str_from(link_peer->daemon));
	beat.daemon = b->a->options->daemon;
	beat.leaving = b->a->leaving;
	beat.n_cells = epochs.count;
	beat.cells = epochs.list;
	message.body_case = ENVELOPE__BODY_CELL_BEAT;
	message.cell_beat = &beat;
	if (epochs.count)
		hub_send(b->a->hub, link, &message);
	cell_epochs_free(&epochs);
}

/*
 * A daemon that is no candidate for a cell receives no CellBeats for the cell.
 * The daemon counts the cell's coordinator as live while the membership lists
 * that coordinator as live.
 */
static void refresh_coordinator(struct assigner *a, struct cell *cell,
				GPtrArray *ids)
{
	struct coordinator_peer mine;
	char *coordinator;

	if (is_candidate(ids, cell_name(cell), str_from(a->options->daemon)))
		return;
	coordinator_heartbeat(cell_coordinator(cell), &mine);
	coordinator = str_dup(mine.coordinator);
	if (*coordinator && strcmp(coordinator, a->options->daemon) != 0 &&
	    g_ptr_array_find_with_equal_func(ids, coordinator, g_str_equal,
					     NULL)) {
		mine.coordinator = str_from(coordinator);
		mine.daemon = mine.coordinator;
		mine.leaving = false;
		coordinator_on_peer(cell_coordinator(cell), &mine);
	}
	g_free(coordinator);
}

void assigner_send_cell_beats(struct assigner *a)
{
	GPtrArray *ids = live_assigners(a);
	struct beat_round b = { a, ids };
	guint i;

	hub_foreach(a->hub, send_cell_beat, &b);
	for (i = 0; i < a->cells->len; i++)
		refresh_coordinator(a, a->cells->pdata[i], ids);
	g_ptr_array_free(ids, TRUE);
}

/* Requests from the sender the owner maps with a newer epoch than this daemon's
 * maps. */
static void request_newer_maps(struct assigner *a, struct link *link,
			       CellEpoch *const *cells, size_t count)
{
	Pull pull = PULL__INIT;
	Envelope message = ENVELOPE__INIT;
	char *names[PULL_CELLS_MAX];
	size_t i;

	for (i = 0; i < count && pull.n_cells < PULL_CELLS_MAX; i++) {
		struct cell *cell = assigner_cell(a, str_from(cells[i]->cell));
		struct coordinator_peer mine;

		if (!cell)
			continue;
		coordinator_heartbeat(cell_coordinator(cell), &mine);
		if (cells[i]->epoch > mine.epoch)
			names[pull.n_cells++] = cells[i]->cell;
	}
	if (!pull.n_cells)
		return;
	pull.cells = names;
	message.body_case = ENVELOPE__BODY_PULL;
	message.pull = &pull;
	hub_send(a->hub, link, &message);
}

void assigner_on_cell_beat(struct assigner *a, struct link *link,
			   const CellBeat *beat)
{
	size_t i;

	for (i = 0; i < beat->n_cells; i++) {
		const CellEpoch *row = beat->cells[i];
		struct cell *cell = assigner_cell(a, str_from(row->cell));
		struct coordinator_peer peer = {
			.daemon = str_from(beat->daemon),
			.leaving = beat->leaving,
			.epoch = row->epoch,
			.coordinator = str_from(row->coordinator),
			.ballot = { row->ballot_number, row->ballot_daemon },
		};

		if (cell)
			coordinator_on_peer(cell_coordinator(cell), &peer);
	}
	request_newer_maps(a, link, beat->cells, beat->n_cells);
}

/* Hash over name, coordinator and epoch of all cells, to detect changes. */
static uint64_t cells_digest(const struct assigner *a)
{
	uint64_t digest = 0;
	guint i;

	for (i = 0; i < a->cells->len; i++) {
		struct coordinator_peer peer;

		coordinator_heartbeat(cell_coordinator(a->cells->pdata[i]),
				      &peer);
		digest = hash_seeded(cell_name(a->cells->pdata[i]), digest);
		digest = hash_seeded(peer.coordinator, digest ^ peer.epoch);
	}
	return digest;
}

/* Tells whether the next heartbeat on a link must carry the cells: they changed
 * since they were last sent there, or this is the CELLS_EVERY-th heartbeat
 * since. Resets the link's state when they are due. */
static bool cells_are_due(const struct assigner *a, struct link_peer *link_peer)
{
	uint64_t digest = cells_digest(a);

	if (digest == link_peer->sent_cells_digest &&
	    ++link_peer->heartbeats_without_cells < CELLS_EVERY)
		return false;
	link_peer->sent_cells_digest = digest;
	link_peer->heartbeats_without_cells = 0;
	return true;
}

void assigner_send_heartbeat(void *ctx, void *link, const struct beat *beat)
{
	struct assigner *a = ctx;
	struct link_peer *link_peer = link_data(link);
	struct heartbeat_buffer buffer;
	Heartbeat *heartbeat = heartbeat_to_wire(beat, &buffer);
	struct cell_epochs epochs = cell_epochs_create(a);
	Envelope message = ENVELOPE__INIT;
	guint i;

	if (link_peer && cells_are_due(a, link_peer))
		for (i = 0; i < a->cells->len; i++)
			cell_epochs_add(&epochs, a->cells->pdata[i]);
	heartbeat->zone = a->options->zone;
	heartbeat->n_cells = epochs.count;
	heartbeat->cells = epochs.list;
	message.body_case = ENVELOPE__BODY_HEARTBEAT;
	message.heartbeat = heartbeat;
	hub_send(a->hub, link, &message);
	cell_epochs_free(&epochs);
}

/* Applies a third daemon's report of a cell's coordinator. Candidates for the
 * cell ignore the report, since they receive CellBeats. Other assigners accept
 * it only if its ballot is higher than the ballot that they know. */
static void apply_reported_coordinator(struct assigner *a, const GPtrArray *ids,
				       struct cell *cell, const CellEpoch *row)
{
	struct coordinator_peer mine;
	struct coordinator_peer reported = {
		.daemon = str_from(row->coordinator),
		.epoch = row->epoch,
		.coordinator = str_from(row->coordinator),
		.ballot = { row->ballot_number, row->ballot_daemon },
	};

	if (!reported.daemon.len ||
	    is_candidate(ids, cell_name(cell), str_from(a->options->daemon)))
		return;
	coordinator_heartbeat(cell_coordinator(cell), &mine);
	if (ballot_compare(reported.ballot, mine.ballot) > 0)
		coordinator_on_peer(cell_coordinator(cell), &reported);
}

void assigner_on_heartbeat_cells(struct assigner *a, struct link *link,
				 const Heartbeat *message)
{
	GPtrArray *ids = live_assigners(a);
	size_t i;

	for (i = 0; i < message->n_cells; i++) {
		struct cell *cell =
			assigner_cell(a, str_from(message->cells[i]->cell));

		if (cell)
			apply_reported_coordinator(a, ids, cell,
						   message->cells[i]);
	}
	request_newer_maps(a, link, message->cells, message->n_cells);
	g_ptr_array_free(ids, TRUE);
}
