/**
 * Definitions that the files of the cluster share.
 */
#ifndef ENTRY_CLUSTER_IMPL_H
#define ENTRY_CLUSTER_IMPL_H

#include "entry/change_push.h"
#include "entry/cluster.h"
#include "entry/copy_exchange.h"
#include "entry/datagrams.h"
#include "entry/key_leader.h"
#include "entry/limit_exchange.h"
#include "entry/live_vms.h"
#include "entry/load_exchange.h"
#include "entry/quota_exchange.h"
#include "fanout/snapshots.h"
#include "keys/lease.h"
#include "keys/published_map.h"

/* Duration of key grants, in seconds, unless the lease can't be renewed. The
 * keys of an owner that fails stay unserved for so long, and a new leader has
 * to renew all grants within this time. */
#define HOLD_S 3.0
/* An owner may hold a grant for longer than the leader counts: by this factor
 * if the owner's clock is slow, and by the time, in seconds, that the grant
 * took to arrive. */
#define CLOCK_DRIFT_FACTOR 1.02
#define GRANT_TRAVEL_S 0.6
/* Interval, in seconds, of the leader's heartbeats. */
#define HEARTBEAT_S 0.25
/* Seconds per VM: the smallest delay before changes are published. It grows
 * with the number of VMs so that the leader's work does not. */
#define PUBLISH_VM_S 0.00016
/* Load reports may be sent this much early, in seconds: half of the interval
 * between calls of cluster_tick(). */
#define LOAD_TIMER_SLACK_S 0.025
/* Seconds per VM in the interval at which the leader publishes the outcomes of
 * requests. The interval may be long because receivers smooth the outcomes over
 * a longer time. */
#define OUTCOMES_VM_S 0.004
/* After this time, in seconds, without a heartbeat, a VM reads the owners of
 * keys from the store. */
#define HEARTBEAT_LOST_S 1.0
/* After this time, in seconds, without a heartbeat (three intervals), no VM is
 * assumed to relay row changes. */
#define RELAY_LOST_S 0.75
/* After this time, in seconds, without a heartbeat, the backups of the leader
 * relay row changes in its place. */
#define LATE_HEARTBEAT_S 0.5
/* Delay before the leader publishes a change, so that changes of the same
 * moment share a heartbeat. */
#define PUBLISH_DELAY_S 0.002
/* A VM with a slow link delays its attempt to acquire a free lease, by the time
 * that its link needs for the data (in Mbit) that a leader sends in a few
 * seconds, up to a maximum. So a VM with a fast link usually leads. */
#define ACQUIRE_DELAY_MBIT 5.0
#define ACQUIRE_DELAY_MAX_S 0.5
/* Owner map versions available to one leader: the first is the store's own
 * version of its lease row times this number, with the low bits of the era
 * above. */
#define MAPS_PER_LEASE 1000000

/* VMs besides the leader that poll the store as well, so that a change is
 * noticed even if the leader's own call was lost. */
#define BACKUP_WATCHERS 3

/** Newest known row versions of the operator and upstream tables. */
struct row_versions {
	uint64_t operator_rows;
	uint64_t upstream_rows;
};

/** This VM's state in the cluster. Fields ending in _s are loop times in
 * seconds, except hold_s. */
struct cluster {
	struct cluster_options options;
	struct lease *lease;
	struct orders *orders;
	struct datagrams *datagrams;
	struct load_exchange *load_exchange;
	/** As leader, the VMs (struct fanout_target) that want the numbers of
	 * upstreams in load messages. */
	GArray *index_requests;
	struct limit_exchange *limit_exchange;
	struct quota_exchange *quota_exchange;
	struct copy_exchange *copy_exchange;
	struct bulk_sender *bulk_sender;
	struct change_push *change_push;
	/** On the leader from the VMs' messages, elsewhere from its heartbeats.
	 */
	struct live_vms *vms;
	/**
	 * Key leaders by service (struct key_leader); empty unless this VM
	 * leads.
	 */
	GHashTable *key_leaders;
	/** The time at which this VM reads the tables is decided. */
	bool reading_begun;
	/** This VM holds the lease. */
	bool leading;
	/** Since this VM began to lead, the owner maps of the previous leader
	 * were read from the store. */
	bool maps_read;
	/** A read of these maps isn't answered yet, and map_base at the time at
	 * which it was sent. */
	bool inheriting;
	uint64_t inheriting_base;
	/** Another leader has written owner maps since they were read. */
	bool maps_superseded;
	/** A read of owner maps in place of a heartbeat isn't answered yet. */
	bool reading_fallback;
	/** Time until which grants of earlier leaders may still be valid. */
	double inherited_until_s;
	/** Duration of new key grants, in seconds. */
	double hold_s;
	/**
	 * Owner map versions that this leader assigns: map_base plus
	 * map_number. The base is derived from the version of the lease row, so
	 * that the versions exceed those of earlier leaders, up to 255 eras.
	 */
	uint64_t map_base;
	uint32_t map_number;
	/**
	 * Newest owner map version applied here; the leader assigns the
	 * versions.
	 */
	uint64_t newest_map_version;
	/** Address for datagrams to the leader, if it is known. */
	struct sockaddr_in leader_address;
	bool leader_address_known;
	/** The leader's zone, interned; "": unknown. */
	const char *leader_zone;
	/** Lease version in the last heartbeat; tells leaders apart. */
	uint64_t heartbeat_lease;
	/** Lease version at which the owners were last read from the store in
	 * place of a heartbeat. */
	uint64_t fallback_lease;
	/** When the leader's last heartbeat was applied, or this VM started.
	 */
	double last_heartbeat_s;
	/** This VM is a backup of the leader, which watches the store as well.
	 */
	bool is_backup;
	/** When the last relay of a backup arrived that reaches the store, and
	 * of any backup. */
	double last_relay_s;
	double last_waiting_relay_s;
	/** When another VM last told which rows of the store it knows. */
	double row_versions_heard_s;
	/** Latest time at which, as other VMs told, the store answered one of
	 * them about each table; 0: unknown. */
	double told_s[COPIED_TABLES];
	/** When this VM last sent: a relay as a backup, a heartbeat as leader,
	 * its report to the leader, its load report, and as leader the outcomes
	 * of requests. */
	double relay_sent_s;
	double heartbeat_sent_s;
	double report_sent_s;
	double loads_sent_s;
	double outcomes_sent_s;
	/** Owner maps as last sent to the VMs, by service (struct
	 * published_map). */
	GHashTable *published_maps;
	/** The snapshots that this VM sent as leader, and those received. */
	struct snapshot_sender snapshots;
	struct snapshot_receiver heard_snapshot;
	/** As leader, the VMs (struct fanout_target) that missed the last one.
	 */
	GArray *snapshot_requests;
	/** VMs joined or left since the last snapshot was sent. */
	bool vms_changed;
	/** Sends a heartbeat after owners or rows changed. */
	ev_timer publish_timer;
	/** Owners changed since the timer last fired. */
	bool maps_changed;
	/** Tells the other VMs of requests that crash upstreams. */
	struct crash_exchange *crash_exchange;
	/** Newest row versions that any VM has seen. */
	struct row_versions row_versions;
	/** Metrics: whether this VM leads, and the number of live VMs. */
	struct counter *leads;
	struct counter *vms_alive;
	/** Metrics: remaining time of the lease, how long this VM leads, and
	 * messages that were ignored. */
	struct counter *lease_left;
	struct counter *leading_for;
	struct counter *ignored;
	/** When this VM last began to lead. */
	double won_s;
	/** Name of the VM whose heartbeats are followed, interned; NULL: none
	 * was heard. */
	const char *followed;
	/** When a line last told of an ignored heartbeat. */
	double ignored_logged_s;
};

/** Returns the loop's time, in seconds. */
double cluster_now(const struct cluster *cluster);

/** Whether the leader's heartbeats arrive. */
bool cluster_hears_leader(const struct cluster *cluster);

/** Creates the cluster's metrics. */
void cluster_create_metrics(struct cluster *cluster);

/** Passes to the status what this VM and the others know of the tables. */
void cluster_update_status(struct cluster *cluster,
			   enum table_watch_peers peers);

/** Sets the newest rows that this VM has, and when the store last answered, in
 * a message. */
void cluster_fill_progress(const struct cluster *cluster, Progress *progress);

/** Notes that a heartbeat will carry owners under a new version. */
void cluster_note_published(const struct cluster *cluster);

/** Notes a heartbeat that is about to be applied, and whose it is. */
void cluster_note_heartbeat(struct cluster *cluster, const LeaderBeat *beat);

/**
 * Whether a message is of an earlier lease than the newest that this VM knows;
 * it is ignored and counted.
 *
 * @param vm name of the sender; NULL: unknown
 */
bool cluster_is_outdated(struct cluster *cluster, uint64_t lease,
			 const char *vm);

/** Records that a VM is alive, the address at which it receives datagrams, and
 * its zone. */
void cluster_record_vm_alive(struct cluster *cluster, const char *name,
			     const struct sockaddr_in *address,
			     const char *zone);

/** Records row versions that some VM has seen, if they are the newest. */
void cluster_update_row_versions(struct cluster *cluster,
				 uint64_t operator_rows,
				 uint64_t upstream_rows);

/** Returns the version of the lease's row with which the last known leader, or
 * this VM, began to lead. Unlike the row's present version, it stays the same
 * while parts of a table are on their way. */
uint64_t cluster_term(const struct cluster *cluster);

/** Sends a message to all live VMs but this one. */
void cluster_broadcast(struct cluster *cluster, enum fanout_way way,
		       PeerMessage *message);

/** Creates the message that describes a VM; freed with
 * cluster_free_vm_info(). */
VmInfo *cluster_vm_info(const char *name, const struct sockaddr_in *address,
			const char *zone);
void cluster_free_vm_info(VmInfo *info);

/** Applies owners and VMs of a heartbeat on the leader itself, which knows the
 * other parts already. */
void cluster_apply_own_heartbeat(struct cluster *cluster,
				 const LeaderBeat *beat);

/** Whether this VM may give orders to owners now; ctx is the cluster. */
bool cluster_may_send_orders(void *ctx);

/** Returns the seconds for which this VM still holds the lease; ctx is the
 * cluster. */
double cluster_lease_left_s(void *ctx);

/** Notes that owners changed, and sends a heartbeat soon; ctx is the cluster.
 */
void cluster_keys_changed(void *ctx);

/** Forgets what this VM knows as leader of the owners, who may hold the keys
 * that earlier leaders granted: cluster_inherit_maps() is due. */
void cluster_forget_maps(struct cluster *cluster);

/** As new leader, reads the owner maps of the previous leader from the store
 * and creates the key leaders, unless a read is in progress. */
void cluster_inherit_maps(struct cluster *cluster);

/** As leader, creates the key leaders of keyed services that have none. */
void cluster_lead_services(struct cluster *cluster);

/** Reads the owner maps from the store, once for each leader that renewed the
 * lease but whose heartbeats aren't heard. */
void cluster_read_fallback_maps(struct cluster *cluster);

/** Sets whether this VM polls the store for both tables. */
void cluster_set_watch_mode(struct cluster *cluster,
			    enum table_watch_mode mode);

/** As a backup of a leader that isn't heard, sends all VMs the changes that
 * this VM read from the store. */
void cluster_send_row_relay(struct cluster *cluster);

/**
 * As leader, sends a heartbeat with live VMs, owners, crashes and row changes.
 */
void cluster_send_heartbeat(struct cluster *cluster);

/** After this VM gave the lease up, tells all VMs so. */
void cluster_send_resignation(struct cluster *cluster);

/** As leader, sends every VM the load of all VMs together on each upstream. */
void cluster_send_load_totals(struct cluster *cluster);

/**
 * Reports to the leader that this VM is alive, and which keys were requested.
 *
 * @param stopping whether this VM is about to stop
 */
void cluster_send_vm_report(struct cluster *cluster, bool stopping);

/** Reports to the leader this VM's load on each upstream; as leader, adds it to
 * the totals. */
void cluster_send_load_report(struct cluster *cluster);

/** Returns the handlers of datagrams from other VMs, a static object. */
const struct datagram_ops *cluster_datagram_ops(void);

#endif
