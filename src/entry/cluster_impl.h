/**
 * What the files of the cluster share. Private to them.
 */
#ifndef ENTRY_CLUSTER_IMPL_H
#define ENTRY_CLUSTER_IMPL_H

#include "entry/cluster.h"
#include "entry/datagrams.h"
#include "entry/key_leader.h"
#include "entry/load_share.h"
#include "keys/lease.h"
#include "keys/published_map.h"

/* For how long keys are given: an owner that falls silent leaves them unserved
 * for so long, and a new leader has to renew them within it. */
#define HOLD_S 3.0
/* What a grant may last longer by a slow clock, and time on its way. */
#define HOLD_FACTOR 1.02
#define GRANT_TRAVEL_S 0.6
/* Beats and reports. */
#define BEAT_S 0.25
#define REPORT_S 0.1
/* With many VMs they grow by this for each, so that the leader's work does
 * not: reports, beats that hold all VMs and owners, and changes told. */
#define REPORT_VM_S 0.008
#define WHOLE_VM_S 0.02
#define TELL_VM_S 0.00016
#define LOADS_SLACK_S 0.025
/* What became of requests is told at this pace for each VM: it is smoothed
 * over more than that. */
#define OUTCOMES_VM_S 0.004
/* A VM that was not heard of for so long is not counted. */
#define VM_ALIVE_S 2.0
/* Without a beat for so long, owners are read from the store. */
#define BEAT_LOST_S 1.0
/* Without one for so long, nobody tells of changed rows: three beats. */
#define ALONE_S 0.75
/* A change of owners is told after this, with others of the same moment. */
#define TELL_S 0.002
/* A VM with a slow link takes a free lease later, by the time that what a
 * leader sends in a few seconds occupies it. */
#define HANDICAP_MBIT 5.0
#define HANDICAP_MAX_S 0.5
/* Numbers of maps within one lease. */
#define MAP_NUMBERS 1000000
/* Crashes that are told on, and for how long. */
#define CRASHES_MAX 64
#define CRASH_TOLD_S 3.0

/* VMs besides the leader that follow the store themselves, so that a change is
 * noticed though the leader's own call was lost. */
#define WATCHERS 3

/** Versions of the newest rows known of operators and of upstreams. */
struct progress {
	uint64_t operator_rows;
	uint64_t upstream_rows;
};

struct vm {
	char *name;
	struct sockaddr_in address;
	double heard_s;
};

struct crash {
	uint64_t request;
	const char *upstream;
	double at_s;
};

struct cluster {
	struct cluster_options options;
	struct lease *lease;
	struct orders *orders;
	struct datagrams *datagrams;
	struct load_share *loads;
	/** struct vm by name; as the leader heard of them. */
	GHashTable *vms;
	/** struct key_leader by service; empty unless this VM leads. */
	GHashTable *leaders;
	bool leading;
	/** The maps of an earlier leader were read. */
	bool maps_read;
	bool reading_maps;
	/** Until when grants of earlier leaders may hold. */
	double inherited_until_s;
	/** For how long keys are given now. */
	double hold_s;
	uint64_t map_base;
	uint32_t map_number;
	/** Newest maps that were told, in the leader's numbers. */
	uint64_t told;
	struct sockaddr_in leader;
	bool leader_known;
	double beat_heard_s;
	double beat_sent_s;
	double report_sent_s;
	double loads_sent_s;
	double outcomes_sent_s;
	/** What was told of owners; struct published_map by service. */
	GHashTable *told_maps;
	/** When all VMs and owners were last told. */
	double whole_sent_s;
	/** VMs came or went since. */
	bool vms_changed;
	ev_timer tell_timer;
	/** Owners changed since they were last told. */
	bool maps_changed;
	GArray *crashes;
	/** The furthest that any VM has read. */
	struct progress progress;
	struct counter *leads;
	struct counter *vms_alive;
};

double cluster_now(const struct cluster *cluster);

/** Notes that a VM is alive. */
void cluster_hear_vm(struct cluster *cluster, const char *name,
		     const struct sockaddr_in *address);

/** Notes how far some VM has read what is declared. */
void cluster_note_progress(struct cluster *cluster, uint64_t operator_rows,
			   uint64_t upstream_rows);

/** The leader tells VMs, owners and losses. */
void cluster_send_beat(struct cluster *cluster);

/** The leader tells the load of all VMs together. */
void cluster_tell_loads(struct cluster *cluster);

/** A VM tells the leader that it is alive, and what was asked for. */
void cluster_send_report(struct cluster *cluster, bool stopping);

/** A VM tells the leader its load. */
void cluster_send_loads(struct cluster *cluster);

/** What comes from other VMs. */
const struct datagram_ops *cluster_datagram_ops(void);

#endif
