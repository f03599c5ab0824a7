#include "fleet_impl.h"

#include <arpa/inet.h>
#include <stdio.h>

#include "membership/heartbeat_codec.h"

/* Simulated time at which a fleet is created. */
#define START_US INT64_C(1000000000)
/* Time after a connection closed until it may open again. */
#define RECONNECT_US INT64_C(300000)
/* Size counted for the frame of each message on a link. */
#define FRAME_BYTES 4
/* Port of all daemons, whose IP addresses differ: 10.0.0.0 plus the index. */
#define DAEMON_PORT 1000
/* Size of the tag and length that the envelope adds to a message. */
#define ENVELOPE_BYTES 3
/* Sizes that are counted for the messages that the simulation does not encode.
 */
#define HELLO_BYTES 60
#define PULL_BYTES 5

bool fleet_is_running(const struct daemon *d, int64_t now)
{
	return d->alive && now >= d->frozen_until;
}

static struct sockaddr_in address_of(unsigned int index)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };

	addr.sin_addr.s_addr = htonl(0x0a000000u + index);
	addr.sin_port = htons(DAEMON_PORT);
	return addr;
}

static unsigned int index_of(const struct sockaddr_in *addr)
{
	return ntohl(addr->sin_addr.s_addr) - 0x0a000000u;
}

static bool is_cut(const struct fleet *f, unsigned int a, unsigned int b)
{
	unsigned int low = MIN(a, b), high = MAX(a, b);

	return g_hash_table_contains(
		f->cuts, GUINT_TO_POINTER(low * f->count + high + 1));
}

void fleet_partition(struct fleet *f, unsigned int a, unsigned int b, bool cut)
{
	unsigned int low = MIN(a, b), high = MAX(a, b);
	gpointer key = GUINT_TO_POINTER(low * f->count + high + 1);

	if (cut && a != b)
		g_hash_table_add(f->cuts, key);
	else
		g_hash_table_remove(f->cuts, key);
}

/* Returns the connection between two daemons. It is created closed when it is
 * used for the first time. */
static struct conn *conn_get(struct fleet *f, unsigned int opener,
			     unsigned int acceptor)
{
	gpointer key = GUINT_TO_POINTER(opener * f->count + acceptor + 1);
	struct conn *c = g_hash_table_lookup(f->conns, key);

	if (c)
		return c;
	c = g_new0(struct conn, 1);
	c->opener = opener;
	c->acceptor = acceptor;
	c->ends[0] = (struct end){ c, 0 };
	c->ends[1] = (struct end){ c, 1 };
	g_hash_table_insert(f->conns, key, c);
	g_ptr_array_add(f->conn_list, c);
	return c;
}

/* Returns the daemon at one end of a connection. */
static struct daemon *daemon_at(struct fleet *f, const struct end *end)
{
	return &f->daemons[end->side ? end->conn->acceptor : end->conn->opener];
}

/* Sends a message from one end of a connection. Takes ownership of bytes; size
 * is the message's size for the traffic counters, without the frame. */
static void send_message(struct fleet *f, struct end *from,
			 enum message_kind kind, GBytes *bytes, size_t size)
{
	struct message *m = g_new0(struct message, 1);
	struct daemon *sender = daemon_at(f, from);

	m->kind = kind;
	m->conn = from->conn;
	m->generation = from->conn->generation;
	m->side = !from->side;
	m->due = f->now +
		 g_rand_int_range(f->rng, 1, (gint32)f->config.delay_us + 2);
	m->bytes = bytes;
	g_strlcpy(m->sender_boot, sender->boot, sizeof(m->sender_boot));
	g_ptr_array_add(f->messages, m);
	sender->sent.messages++;
	sender->sent.bytes += size + FRAME_BYTES;
}

static void message_free(gpointer data)
{
	struct message *m = data;

	if (m->bytes)
		g_bytes_unref(m->bytes);
	g_free(m);
}

static void on_keep(void *ctx, const struct sockaddr_in *addr)
{
	struct daemon *d = ctx;
	struct conn *c = conn_get(d->fleet, d->index, index_of(addr));

	c->kept = true;
}

/* Closes a connection and notifies the daemons at both ends. */
static void conn_close(struct fleet *f, struct conn *c)
{
	unsigned int side;

	if (!c->up)
		return;
	c->up = false;
	c->generation++;
	c->retry_at = f->now + RECONNECT_US;
	for (side = 0; side < 2; side++) {
		struct daemon *d = daemon_at(f, &c->ends[side]);

		if (d->alive)
			peers_on_link_closed(d->peers, &c->ends[side], f->now);
	}
}

static void on_forget(void *ctx, const struct sockaddr_in *addr)
{
	struct daemon *d = ctx;
	struct conn *c = conn_get(d->fleet, d->index, index_of(addr));

	c->kept = false;
	c->retry_at = 0;
}

static void on_send(void *ctx, void *link, const struct beat *beat)
{
	struct daemon *d = ctx;
	struct heartbeat_buffer buffer;
	Heartbeat *m = heartbeat_to_wire(beat, &buffer);
	size_t size = heartbeat__get_packed_size(m);
	uint8_t *data = g_malloc(size + 1);

	heartbeat__pack(m, data);
	send_message(d->fleet, link, MESSAGE_HEARTBEAT,
		     g_bytes_new_take(data, size), size + ENVELOPE_BYTES);
}

static void on_event(void *ctx, enum peer_event event, const struct peer *peer)
{
	const struct daemon *d = ctx;
	const struct fleet_config *config = &d->fleet->config;

	if (config->ops)
		config->ops->event(config->ctx, d->index, event, peer);
}

static const struct peers_ops peers_callbacks = { on_keep, on_forget, on_send,
						  on_event };

static void on_read_table(void *ctx)
{
	fleet_read(ctx, NULL, STR(PUBLISH_KEY));
}

static void on_pull(void *ctx, struct str id)
{
	struct daemon *d = ctx;
	struct end *link = peers_link(d->peers, id);

	if (link)
		send_message(d->fleet, link, MESSAGE_PULL, NULL, PULL_BYTES);
}

static void on_send_body(void *ctx, struct str id, uint64_t version,
			 struct str body)
{
	struct daemon *d = ctx;
	struct end *link = peers_link(d->peers, id);

	(void)version;
	if (link)
		send_message(d->fleet, link, MESSAGE_SETTINGS,
			     g_bytes_new(body.data, body.len),
			     body.len + ENVELOPE_BYTES);
}

/* Tells a daemon's peers state machine the settings version in force and until
 * when it is valid, for the daemon's heartbeats. */
static void set_local(struct daemon *d)
{
	peers_set_local(d->peers, settings_replica_version(d->settings_replica),
			0, settings_replica_valid_until(d->settings_replica),
			false, d->fleet->now);
}

static void on_in_force(void *ctx, const struct settings *settings)
{
	struct daemon *d = ctx;

	(void)settings;
	set_local(d);
}

static const struct settings_replica_ops settings_replica_callbacks = {
	on_read_table, on_pull, on_send_body, on_in_force
};

void fleet_start(struct fleet *f, unsigned int index)
{
	struct daemon *d = &f->daemons[index];
	struct sockaddr_in seeds[3];
	struct peers_config config = { .id = d->id,
				       .incarnation = d->boot,
				       .role = d->role,
				       .seeds = seeds };
	unsigned int i;

	if (d->alive)
		return;
	d->alive = true;
	d->incarnation++;
	d->frozen_until = 0;
	g_snprintf(d->boot, sizeof(d->boot), "%08x", d->incarnation);
	for (i = 0; i < G_N_ELEMENTS(seeds) && i < f->config.assigners; i++)
		seeds[config.seed_count++] = address_of(i);
	if (d->role == PEER_ASSIGNER)
		config.address = address_of(index);
	d->peers = peers_create(&config, &peers_callbacks, d, f->now);
	d->settings_replica = settings_replica_create(
		&settings_replica_callbacks, d, g_rand_int(f->rng), f->now);
}

static void job_free(gpointer data)
{
	struct job *job = data;

	publish_destroy(job->publish);
	g_free(job->attempt);
	g_free(job);
}

/* Discards the replies to a killed daemon's table calls; the table may still
 * apply those calls. */
static void orphan_calls(struct fleet *f, unsigned int index)
{
	guint i;

	for (i = 0; i < f->calls->len; i++) {
		struct table_call *call = g_ptr_array_index(f->calls, i);

		if (call->daemon == index)
			call->answered = true;
	}
}

void fleet_kill(struct fleet *f, unsigned int index)
{
	struct daemon *d = &f->daemons[index];
	guint i;

	if (!d->alive)
		return;
	for (i = 0; i < f->conn_list->len; i++) {
		struct conn *c = g_ptr_array_index(f->conn_list, i);

		if (c->opener == index || c->acceptor == index)
			conn_close(f, c);
		if (c->opener == index)
			c->kept = false;
	}
	d->alive = false;
	orphan_calls(f, index);
	g_ptr_array_set_size(d->jobs, 0);
	peers_destroy(d->peers);
	settings_replica_destroy(d->settings_replica);
	d->peers = NULL;
	d->settings_replica = NULL;
}

void fleet_reset_links(struct fleet *f, unsigned int a, unsigned int b)
{
	conn_close(f, conn_get(f, a, b));
	conn_close(f, conn_get(f, b, a));
}

struct fleet *fleet_create(const struct fleet_config *config)
{
	struct fleet *f = g_new0(struct fleet, 1);
	unsigned int i;

	f->config = *config;
	f->count = config->assigners + config->routers;
	f->rng = g_rand_new_with_seed(config->seed);
	f->now = START_US;
	f->daemons = g_new0(struct daemon, f->count);
	f->conns = g_hash_table_new(NULL, NULL);
	f->conn_list = g_ptr_array_new_with_free_func(g_free);
	f->messages = g_ptr_array_new_with_free_func(message_free);
	f->cuts = g_hash_table_new(NULL, NULL);
	f->calls = g_ptr_array_new_with_free_func(fleet_call_free);
	f->history =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->versions = g_ptr_array_new();
	for (i = 0; i < f->count; i++) {
		struct daemon *d = &f->daemons[i];

		d->fleet = f;
		d->index = i;
		d->role = i < config->assigners ? PEER_ASSIGNER : PEER_ROUTER;
		d->jobs = g_ptr_array_new_with_free_func(job_free);
		g_snprintf(d->id, sizeof(d->id), "%s-%u",
			   i < config->assigners ? "assigner" : "router", i);
		fleet_start(f, i);
	}
	return f;
}

void fleet_destroy(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < f->count; i++) {
		fleet_kill(f, i);
		g_ptr_array_free(f->daemons[i].jobs, TRUE);
	}
	for (i = 0; i < f->versions->len; i++) {
		struct fleet_version *v = g_ptr_array_index(f->versions, i);

		g_free(v->json);
		g_free(v->attempt);
		g_free(v);
	}
	g_ptr_array_free(f->versions, TRUE);
	g_hash_table_destroy(f->history);
	g_ptr_array_free(f->calls, TRUE);
	g_hash_table_destroy(f->cuts);
	g_ptr_array_free(f->messages, TRUE);
	g_ptr_array_free(f->conn_list, TRUE);
	g_hash_table_destroy(f->conns);
	g_rand_free(f->rng);
	g_free(f->daemons);
	g_free(f);
}

static void handle_hello(struct daemon *d, struct end *end,
			 const struct daemon *from, const struct message *m)
{
	struct sockaddr_in none = { 0 };
	struct sockaddr_in addr =
		from->role == PEER_ASSIGNER ? address_of(from->index) : none;

	peers_on_hello(d->peers, end, end->side == 0, str_from(from->id),
		       str_from(m->sender_boot), from->role, &addr,
		       d->fleet->now);
}

static void handle_heartbeat(struct daemon *d, struct end *end,
			     const struct message *m)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(m->bytes, &size);
	Heartbeat *message = heartbeat__unpack(NULL, size, data);
	struct beat beat;

	g_assert(message);
	heartbeat_from_wire(message, &beat);
	peers_on_heartbeat(d->peers, end, &beat, d->fleet->now);
	settings_replica_on_peer_version(d->settings_replica, beat.daemon,
					 beat.settings_version, d->fleet->now);
	heartbeat__free_unpacked(message, NULL);
}

static void handle_message(struct fleet *f, const struct message *m)
{
	struct end *end = &m->conn->ends[m->side];
	struct daemon *d = daemon_at(f, end);
	const struct daemon *from = daemon_at(f, &m->conn->ends[!m->side]);
	struct str body = { NULL, 0 };

	if (m->bytes)
		body.data = g_bytes_get_data(m->bytes, &body.len);
	switch (m->kind) {
	case MESSAGE_HELLO:
		handle_hello(d, end, from, m);
		break;
	case MESSAGE_HEARTBEAT:
		handle_heartbeat(d, end, m);
		break;
	case MESSAGE_PULL:
		settings_replica_on_pull(d->settings_replica,
					 str_from(from->id));
		break;
	case MESSAGE_SETTINGS:
		settings_replica_on_peer_settings(d->settings_replica, body,
						  f->now);
		break;
	}
}

/* Delivers due messages, in order per link and direction: a message that cannot
 * be delivered yet holds back the later ones. */
static void deliver_messages(struct fleet *f)
{
	GHashTable *waiting = g_hash_table_new(NULL, NULL);
	GPtrArray *due = g_ptr_array_new_with_free_func(message_free);
	GPtrArray *later = g_ptr_array_new_with_free_func(message_free);
	guint i;

	for (i = 0; i < f->messages->len; i++) {
		struct message *m = g_ptr_array_index(f->messages, i);
		const struct conn *c = m->conn;
		struct end *end = &m->conn->ends[m->side];
		bool held = m->due > f->now ||
			    is_cut(f, c->opener, c->acceptor) ||
			    !fleet_is_running(daemon_at(f, end), f->now) ||
			    g_hash_table_contains(waiting, end);

		if (m->generation != c->generation) {
			message_free(m);
		} else if (held) {
			g_hash_table_add(waiting, end);
			g_ptr_array_add(later, m);
		} else {
			g_ptr_array_add(due, m);
		}
	}
	g_ptr_array_set_free_func(f->messages, NULL);
	g_ptr_array_free(f->messages, TRUE);
	f->messages = later;
	for (i = 0; i < due->len; i++) {
		const struct message *m = g_ptr_array_index(due, i);

		if (m->generation == m->conn->generation && m->conn->up)
			handle_message(f, m);
	}
	g_ptr_array_free(due, TRUE);
	g_hash_table_destroy(waiting);
}

/* Closes connections that are no longer wanted and opens those that are wanted,
 * due and possible. */
static void connect_all(struct fleet *f)
{
	guint i;

	for (i = 0; i < f->conn_list->len; i++) {
		struct conn *c = g_ptr_array_index(f->conn_list, i);

		if (c->up && !c->kept)
			conn_close(f, c);
		if (c->up || !c->kept || f->now < c->retry_at ||
		    !f->daemons[c->acceptor].alive ||
		    !f->daemons[c->opener].alive ||
		    is_cut(f, c->opener, c->acceptor))
			continue;
		c->up = true;
		c->generation++;
		send_message(f, &c->ends[0], MESSAGE_HELLO, NULL, HELLO_BYTES);
		send_message(f, &c->ends[1], MESSAGE_HELLO, NULL, HELLO_BYTES);
	}
}

static void tick(struct daemon *d)
{
	struct fleet *f = d->fleet;
	int64_t until;
	guint i;

	peers_tick(d->peers, f->now);
	until = d->role == PEER_ASSIGNER ? peers_quorum_until(d->peers)
					 : peers_settings_valid_until(d->peers);
	settings_replica_set_contact(d->settings_replica, peers_count(d->peers),
				     until);
	settings_replica_tick(d->settings_replica, f->now);
	set_local(d);
	for (i = d->jobs->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(d->jobs, i - 1);

		publish_tick(job->publish, f->now);
	}
}

/* Frees ended publishes that have no table call in flight. */
static void free_ended_jobs(struct fleet *f, struct daemon *d)
{
	guint i, k;

	for (i = d->jobs->len; i > 0; i--) {
		const struct job *job = g_ptr_array_index(d->jobs, i - 1);
		bool busy = !job->ended;

		for (k = 0; !busy && k < f->calls->len; k++) {
			const struct table_call *call =
				g_ptr_array_index(f->calls, k);

			busy = call->job == job && !call->answered;
		}
		if (!busy)
			g_ptr_array_remove_index(d->jobs, i - 1);
	}
}

void fleet_step(struct fleet *f, int64_t us)
{
	unsigned int i;

	f->now += us;
	connect_all(f);
	fleet_table_step(f);
	deliver_messages(f);
	for (i = 0; i < f->count; i++)
		if (fleet_is_running(&f->daemons[i], f->now))
			tick(&f->daemons[i]);
	for (i = 0; i < f->count; i++)
		free_ended_jobs(f, &f->daemons[i]);
}

static void job_read(void *ctx, struct str key)
{
	struct job *job = ctx;

	fleet_read(&job->fleet->daemons[job->daemon], job, key);
}

static void job_write(void *ctx, struct str key, uint64_t if_version,
		      struct str value)
{
	struct job *job = ctx;

	fleet_write(&job->fleet->daemons[job->daemon], job, key, if_version,
		    value);
}

static bool job_fits(void *ctx, const struct settings *after, char **why)
{
	(void)ctx;
	(void)after;
	(void)why;
	return true;
}

static bool job_in_contact(void *ctx)
{
	const struct job *job = ctx;
	const struct fleet *f = job->fleet;

	return peers_quorum_until(f->daemons[job->daemon].peers) > f->now;
}

static void job_done(void *ctx, const struct publish_result *result)
{
	struct job *job = ctx;
	struct fleet *f = job->fleet;
	struct daemon *d = &f->daemons[job->daemon];

	job->ended = true;
	if (result->outcome == PUBLISH_ACCEPTED)
		settings_replica_on_peer_settings(
			d->settings_replica,
			publish_accepted_json(job->publish), f->now);
	if (f->config.ops)
		f->config.ops->publish_ended(f->config.ctx, job->daemon,
					     job->attempt, result);
}

static const struct publish_ops publish_callbacks = { job_read, job_write,
						      job_fits, job_in_contact,
						      job_done };

void fleet_publish(struct fleet *f, unsigned int index,
		   const struct change *change)
{
	struct daemon *d = &f->daemons[index];
	struct job *job;

	if (!fleet_is_running(d, f->now))
		return;
	job = g_new0(struct job, 1);
	job->fleet = f;
	job->daemon = index;
	job->attempt = str_dup(change->attempt);
	job->publish = publish_create(change, &publish_callbacks, job, f->now);
	g_ptr_array_add(d->jobs, job);
}

unsigned int fleet_publishes_running(const struct fleet *f)
{
	unsigned int i, count = 0;

	for (i = 0; i < f->count; i++)
		count += f->daemons[i].jobs->len;
	return count;
}

void fleet_freeze(struct fleet *f, unsigned int index, int64_t us)
{
	f->daemons[index].frozen_until = f->now + us;
}

void fleet_partition_table(struct fleet *f, unsigned int index, bool cut)
{
	f->daemons[index].table_cut = cut;
}

bool fleet_table_reachable(const struct fleet *f, unsigned int index)
{
	return !f->outage && !f->daemons[index].table_cut &&
	       f->table_delay < FLEET_TIMEOUT_US;
}

void fleet_set_table_outage(struct fleet *f, bool outage)
{
	f->outage = outage;
}

void fleet_lose_write_replies(struct fleet *f, bool lose)
{
	f->lose_write_replies = lose;
}

void fleet_set_table_delay(struct fleet *f, int64_t us)
{
	f->table_delay = us;
}

int64_t fleet_now(const struct fleet *f)
{
	return f->now;
}

unsigned int fleet_count(const struct fleet *f)
{
	return f->count;
}

GRand *fleet_rng(struct fleet *f)
{
	return f->rng;
}

struct settings_replica *fleet_settings_replica(const struct fleet *f,
						unsigned int index)
{
	return f->daemons[index].settings_replica;
}

struct peers *fleet_peers(const struct fleet *f, unsigned int index)
{
	return f->daemons[index].peers;
}

bool fleet_frozen_or_killed(const struct fleet *f, unsigned int index)
{
	return !fleet_is_running(&f->daemons[index], f->now);
}

unsigned int fleet_incarnation(const struct fleet *f, unsigned int index)
{
	return f->daemons[index].incarnation;
}

uint64_t fleet_table_version(const struct fleet *f)
{
	return f->versions->len;
}

const struct fleet_version *fleet_table_at(const struct fleet *f,
					   uint64_t version)
{
	return g_ptr_array_index(f->versions, version - 1);
}

struct fleet_sent fleet_sent(const struct fleet *f, unsigned int index)
{
	struct fleet_sent sent = f->daemons[index].sent;
	guint i;

	for (i = 0; i < f->conn_list->len; i++) {
		const struct conn *c = g_ptr_array_index(f->conn_list, i);

		sent.links +=
			c->up && (c->opener == index || c->acceptor == index);
	}
	return sent;
}
