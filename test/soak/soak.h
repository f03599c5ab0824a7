/**
 * The run of one seed of the soak test, shared by soak.c, which starts the
 * processes and checks the results, and faults.c.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>

#include "changes.h"
#include "cluster_process.h"
#include "proxy.h"
#include "rules.h"

/** Largest number of entry daemons, and number of upstreams that have a proxy.
 * The last of these is the spare one, whose address changes its owner. */
#define ENTRIES_MAX 12
#define UPSTREAMS 5
#define SPARE (UPSTREAMS - 1)
/** Index of the first spare upstream at standin-site. */
#define SPARE_INDEX 5
/** Grace time of a daemon's graceful shutdown. */
#define STOP_GRACE_S 6.0

/** One entry daemon. */
struct soak_entry {
	struct process *process;
	/** Proxy between this daemon and the store. */
	struct proxy *store;
	/** Addresses on which the daemon listens for callers and for readiness
	 * checks. */
	char callers[32];
	char ready[32];
	/** Path of the settings file. */
	char settings[256];
	/** A stop, kill or freeze of the daemon is in effect. */
	bool busy;
	/** Monotonic clock: a killed daemon isn't started again before. */
	gint64 down_until_us;
	/** File whose first two bytes are the shares of the datagrams to and
	 * from the daemon that are lost, in percent. */
	char losses[256];
	/** The daemon was told to stop or was killed, and its process has not
	 * been restarted yet. */
	bool stopping;
	/** The last exit of the daemon was unexpected and was reported. */
	bool exit_reported;
	/** Number of stops and kills of the daemon so far. */
	unsigned int stops;
};

/** The run of one seed. */
struct soak {
	unsigned int seed;
	/** The run injects only planned maintenance, no failures. */
	bool planned_only;
	/** More callers and slower requests than the upstreams can serve. */
	bool heavy;
	/** For the faults, and for the changes of the configuration, so that
	 * each sequence depends on the seed only. */
	GRand *random, *changes_random;
	/** Temporary folder of settings files and logs. */
	char *folder;
	/** File in it with the events of standin-site. */
	char *events;
	/** Sockets (int) bound to ports that entry daemons will listen on. */
	GArray *reserved_ports;
	/** standin-site: the store and the upstreams. */
	struct process *site;
	struct soak_entry entries[ENTRIES_MAX];
	/** Number of entry daemons. */
	unsigned int vms;
	/** Proxy between the daemons and each upstream. */
	struct proxy *upstreams[UPSTREAMS];
	/** The store comes back from older copies; NULL: it doesn't. */
	struct drills *drills;
	/** Faults in effect: array of struct fault. */
	GArray *faults;
	/** Number of faults begun, and the random number of the last one. */
	unsigned int fault_count, last_random;
	/** Index of the spare upstream at standin-site; the next one's; and
	 * whether its address has no owner. */
	unsigned int spare, next_spare;
	bool spare_gone;
	/** What happened, for the check of the rules. */
	struct rules *rules;
	/** The last valid configuration written and its version. */
	struct rules_config config;
	unsigned int config_version;
	/** Its number of routes that nobody calls. */
	unsigned int fillers;
	/** Time of the next change; monotonic clock. */
	gint64 change_us;
	/** Quick changes left in a series. */
	unsigned int series_left;
	/** An upstream drains or its entry is gone. */
	bool drain_active;
	/** Number of failed checks. */
	unsigned int violations;
};

/** Prints and counts a failed check. */
__attribute__((format(printf, 2, 3))) void soak_report(struct soak *soak,
						       const char *format, ...);

/** Calls /control/VERB?id=ID of standin-site, with GET, or with POST if body is
 * not NULL, and drops the response. */
void soak_command(const struct soak *soak, const char *verb, unsigned int id,
		  const char *body);

/** Has the open connections of all daemons to the store go silent for good. */
void faults_forget_store(struct soak *soak);

/** Writes a valid configuration with random changes. */
void faults_change_config(struct soak *soak);

/** Begins random faults and changes the configuration for a time, and waits
 * until all faults have ended. */
void faults_inject(struct soak *soak, double seconds);

#endif
