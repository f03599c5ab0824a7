#include "membership/heartbeat_codec.h"

#include <glib.h>

static void copy_text(struct str from, char *to, size_t size)
{
	size_t len = MIN(from.len, size - 1);

	if (len)
		memcpy(to, from.data, len);
	to[len] = '\0';
}

Heartbeat *heartbeat_to_wire(const struct beat *beat,
			     struct heartbeat_buffer *b)
{
	Heartbeat *m = &b->message;
	size_t i;

	heartbeat__init(m);
	copy_text(beat->daemon, b->daemon, sizeof(b->daemon));
	copy_text(beat->incarnation, b->incarnation, sizeof(b->incarnation));
	m->daemon = b->daemon;
	m->incarnation = b->incarnation;
	m->role = beat->role == PEER_ASSIGNER ? ROLE__ASSIGNER : ROLE__ROUTER;
	m->settings_version = beat->settings_version;
	m->vms_version = beat->vms_version;
	m->leaving = beat->leaving;
	m->settings_fresh = beat->valid_ms > 0;
	m->valid_ms = beat->valid_ms;
	m->sent_us = beat->sent_us;
	m->echo_us = beat->echo_us;
	m->n_peers = MIN(beat->gossip_count, PEERS_GOSSIP_LIMIT);
	m->peers = b->gossip_texts;
	for (i = 0; i < m->n_peers; i++) {
		copy_text(beat->gossip[i], b->gossip[i], sizeof(b->gossip[i]));
		b->gossip_texts[i] = b->gossip[i];
	}
	return m;
}

void heartbeat_from_wire(const Heartbeat *m, struct beat *beat)
{
	size_t i;

	*beat = (struct beat){
		.daemon = str_from(m->daemon),
		.incarnation = str_from(m->incarnation),
		.role = m->role == ROLE__ASSIGNER ? PEER_ASSIGNER : PEER_ROUTER,
		.settings_version = m->settings_version,
		.vms_version = m->vms_version,
		.leaving = m->leaving,
		.valid_ms = m->valid_ms,
		.sent_us = m->sent_us,
		.echo_us = m->echo_us,
		.gossip_count = MIN(m->n_peers, PEERS_GOSSIP_LIMIT),
	};
	for (i = 0; i < beat->gossip_count; i++)
		beat->gossip[i] = str_from(m->peers[i]);
}
