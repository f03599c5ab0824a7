/**
 * Services and upstreams as this VM knows them: what operators and upstreams
 * declared, and the observed load of each upstream. Used by one thread only.
 */
#ifndef ENTRY_ROSTER_H
#define ENTRY_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "balance/load.h"
#include "balance/retry_window.h"
#include "balance/upstream_limit.h"
#include "directory/directory_defs.h"
#include "entry/settings.h"
#include "keys/key_map.h"
#include "keys/refused_grants.h"
#include "net/loop.h"

struct service;

/** An upstream; reference-counted. Times are seconds, as from loop_now(). */
struct upstream {
	/** The upstream's registration in the store. */
	struct upstream_entry entry;
	/** The service that the upstream belongs to; owned by the roster. */
	struct service *service;
	/** This VM's estimate of the upstream's load and speed. */
	struct load load;
	/** The limit that the upstream names in its answers. */
	struct upstream_limit limit;
	/** End of the cold phase, in which the upstream gets requests at a
	 * limited rate. */
	double cold_until_s;
	/** Earliest time of this VM's next request during the cold phase. */
	double cold_next_send_s;
	/** Time at which this VM learned that the upstream is draining; 0: the
	 * upstream isn't draining. */
	double leaving_since_s;
	/** Time at which this VM applied the entry's row. */
	double listed_s;
	/** An answer of this incarnation said that it leaves, whatever its
	 * entry says. */
	bool said_leaving;
	/** End of the pause that the upstream asked this VM for. */
	double paused_until_s;
	/** An upstream with another id answered at this one's address, so this
	 * one gets no more requests. */
	bool replaced;
	/**
	 * Removed from the roster: the upstream gets no new requests, and is
	 * freed with its last reference.
	 */
	bool removed;
	/**
	 * Time at which the upstream is removed because its entry disappeared,
	 * unless the entry returns before; 0: the entry exists.
	 */
	double remove_at_s;
	/** The last entry of an earlier incarnation, which isn't believed yet:
	 * the start, the number, and the time at which the incarnation was
	 * seen first; 0: none. */
	int64_t earlier_started_ms;
	int64_t earlier_seq;
	double earlier_since_s;
	/** Idle connections (struct link), most recently used first; the
	 * connection pool owns them. */
	GQueue idle_links;
	/** When links_check() last opened a connection; 0: never. */
	double checked_s;
	/** This VM's connections to the upstream, idle or in use. */
	unsigned int connections;
	unsigned int references;
};

/** A service and its upstreams; kept until the roster is destroyed. */
struct service {
	char *name;
	struct service_config config;
	/** A configuration has defined the service. Until then only upstreams
	 * name it, and config is zero. */
	bool configured;
	/** The service's upstreams (struct upstream), in no order. */
	GPtrArray *upstreams;
	/** Requests (struct proxy_request) that wait for an upstream, most
	 * urgent first. */
	GQueue queue;
	/** The event loop is about to try the queue again. */
	bool dispatch_due;
	/** This VM's retry budget for the service. */
	struct retry_window retries;
	/** Owner of each key; without owners when the service is not keyed. */
	struct key_map *keys;
	/** Grants in it that their owners refused. */
	struct refused_grants *refused_grants;
	/** Loop time at which this VM last applied owners that the leader sent.
	 */
	double keys_updated_s;
	/** Keys (uint16_t) requested since the last report to the leader, the
	 * first REQUESTED_KEYS_MAX of them. */
	GArray *requested_keys;
};

/** Most requested keys in a report to the leader: a report with more would not
 * fit in a datagram, and the leader would not hear this VM. */
#define REQUESTED_KEYS_MAX 8192

/** Records that a key of a service was requested. */
void service_record_key(struct service *service, uint16_t key);

/** Functions that the roster calls. */
struct roster_ops {
	/** Called to close the idle connections of an upstream. */
	void (*close_idle)(void *ctx, struct upstream *upstream);
	/** Called when upstreams, zones or the configuration changed, also
	 * from within the handling of an answer: must not answer a caller. */
	void (*changed)(void *ctx);
};

struct roster;

/**
 * Creates a roster without services and upstreams.
 *
 * @param ops must outlive the roster, as must loop and settings
 * @param ctx passed to the operations
 */
struct roster *roster_create(const struct loop *loop,
			     const struct entry_settings *settings,
			     const struct roster_ops *ops, void *ctx);
/** Frees a roster and its services; NULL is allowed. */
void roster_destroy(struct roster *roster);

/** Returns the configuration in force, or NULL before the first one. */
const struct config *roster_config(const struct roster *roster);

/**
 * Puts a newer configuration into force. Takes ownership of it in any case.
 *
 * @return false when it is not newer than the one in force
 */
bool roster_set_config(struct roster *roster, struct config *config);

/**
 * Adds or updates an upstream. An entry of a later incarnation, or with another
 * service, zone or address, replaces the upstream. So does one of an earlier
 * incarnation if the upstream is foreign, or if that incarnation lives: it
 * registers again while the later one doesn't.
 *
 * @param entry its contents are moved out or freed
 */
void roster_put_upstream(struct roster *roster, struct upstream_entry *entry);

/**
 * Removes an upstream, or has it removed later.
 *
 * @param remove_at_s loop time of the removal, which roster_put_upstream()
 *        cancels if the entry returns before; an earlier call's time stays; a
 *        time in the past removes the upstream at once
 */
void roster_remove_upstream(struct roster *roster, const char *id,
			    double remove_at_s);

/** Removes the upstreams whose removal time has come. */
void roster_tick(struct roster *roster);

/**
 * Notes that an upstream said in an answer that it leaves. This holds until it
 * starts again.
 *
 * @return false when it was noted before
 */
bool roster_set_leaving(struct roster *roster, struct upstream *upstream);

/** Takes an availability zone out of service, or back in. */
void roster_set_zone_out(struct roster *roster, const char *zone, bool out);
/** Whether a zone was taken out of service by roster_set_zone_out(). */
bool roster_zone_is_out(const struct roster *roster, const char *zone);

/** Finds a service by name; returns NULL if there is none. */
struct service *roster_service(const struct roster *roster, const char *name);
/** Finds an upstream by id; returns NULL if there is none. */
struct upstream *roster_upstream(const struct roster *roster, const char *id);

/** Calls visit for each service. */
void roster_each_service(struct roster *roster,
			 void (*visit)(struct service *service, void *ctx),
			 void *ctx);

/** Calls visit for each upstream. */
void roster_each_upstream(struct roster *roster,
			  void (*visit)(struct upstream *upstream, void *ctx),
			  void *ctx);

/**
 * Sets the live VMs of the cluster, including this one.
 *
 * @param vms number of names
 * @param names the VMs' names; copied
 */
void roster_set_vms(struct roster *roster, unsigned int vms,
		    const char **names);
/** Returns the number of live VMs, at least 1; until roster_set_vms() is
 * called, an assumed number. */
unsigned int roster_vm_count(const struct roster *roster);

/**
 * Returns the interval at which each VM reports load to the leader, in seconds.
 * The interval grows with the number of VMs, so that the leader's work doesn't.
 */
double roster_load_interval_s(const struct roster *roster);

/**
 * Whether an upstream may get new requests: it is in the roster, not replaced
 * and not draining, and its zone is in service.
 */
bool upstream_takes_work(const struct roster *roster,
			 const struct upstream *upstream);

/**
 * Whether an owner may still get requests for its keys. An owner that is
 * draining, or whose zone is out of service, still gets them for a part of
 * settings->leave_s after this VM learned of it.
 */
bool upstream_serves_keys(const struct roster *roster,
			  const struct upstream *upstream);

/**
 * Whether the rate limit of an upstream's cold phase lets this VM send a
 * request now; always true after that phase. Only a few VMs send to a cold
 * upstream, and share the permitted rate; all VMs compute the same choice.
 */
bool upstream_cold_admits(const struct roster *roster,
			  const struct upstream *upstream);

/**
 * Records a request to an upstream, which delays this VM's next one if the
 * upstream is cold.
 */
void upstream_record_send(const struct roster *roster,
			  struct upstream *upstream);

/**
 * Whether the configuration in force lacks the upstream's service. The entry is
 * kept, since a later configuration may add the service. Until then it may as
 * well be of another writer of the store, so that neither its address nor its
 * start tells anything about other upstreams.
 */
bool upstream_is_foreign(const struct roster *roster,
			 const struct upstream *upstream);

/** Whether the upstream asked this VM for a pause that has not ended. */
bool upstream_paused(const struct roster *roster,
		     const struct upstream *upstream);

/** Returns the hash that stands for an upstream in messages between VMs. */
uint32_t upstream_hash(const struct upstream *upstream);

/**
 * Whether the limit that an upstream names lets this VM send a request now.
 *
 * @param random from 0 up to, but not including, 1
 * @param first the request has not been tried with this upstream before
 */
bool upstream_within_limit(const struct roster *roster,
			   struct upstream *upstream, double random,
			   bool first);

/** Returns the number of connections that this VM may have to an upstream. */
unsigned int upstream_connection_limit(const struct roster *roster,
				       const struct upstream *upstream);

/** Takes a reference; returns the upstream. */
struct upstream *upstream_ref(struct upstream *upstream);
/** Drops a reference; the last one frees the upstream. */
void upstream_unref(struct upstream *upstream);

#endif
