/**
 * Simulated cluster: VMs that run the real lease and key allocator, a store,
 * and upstreams that only track key ranges, fencing tokens and times. Time is
 * simulated. The bytes of the fuzz input choose the faults.
 */
#ifndef FUZZ_KEYS_WORLD_H
#define FUZZ_KEYS_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "keys/key_allocator.h"
#include "keys/lease.h"
#include "store/store.h"

#define VM_COUNT 3
#define UPSTREAM_COUNT 4
/* Number of sample keys that the oracle checks, evenly spaced; sample k is the
 * key k * SAMPLE_STEP. */
#define SAMPLES 16
#define SAMPLE_STEP ((KEY_LAST + 1) / SAMPLES)
/* The clocks of upstreams run slow by this factor, so that grants last as much
 * longer there. */
#define SLOW_CLOCK 1.02

struct world;

/** A callback at a simulated time. */
struct event {
	double at_s;
	void (*run)(struct world *world, void *data);
	void *data;
};

/** The grant that an upstream holds for a sample key. */
struct hold {
	/** Unused. */
	uint64_t fence;
	/** Simulated time at which the grant ends; 0 without one. */
	double until_s;
};

struct sim_upstream {
	char id[8];
	bool up;
	/** The upstream neither answers nor refuses connections. */
	bool unresponsive;
	/** Start time, which identifies the incarnation. */
	int64_t started_ms;
	/** What the list of upstreams says, which lags: the incarnation
	 * (started_ms), and whether the upstream is listed. */
	int64_t listed_ms;
	bool listed;
	bool leaving;
	/** Half of the orders get no answer and take effect late. */
	bool delays_orders;
	struct hold holds[SAMPLES];
	/** Highest fencing token received, by sample key. */
	uint64_t highest_fence[SAMPLES];
};

/** A VM with an entry daemon. */
struct vm {
	struct world *world;
	unsigned int index;
	bool up;
	/** Simulated time at which the VM resumes. */
	double frozen_until_s;
	/** Total time during which the VM was frozen (suspended). */
	double frozen_s;
	/** Number of starts so far. */
	unsigned int incarnation;
	struct clock clock;
	struct loop loop;
	struct store store;
	struct lease *lease;
	/** NULL unless the VM is the leader and has read the key map. */
	struct key_allocator *allocator;
	/** Identifies the allocator: incremented when one is discarded. */
	unsigned int allocator_number;
	/** The VM won the lease and has not lost it. */
	bool leading;
	/** A read of the key map is in progress. */
	bool reading;
	/** Version of the key map's row when last read or written; 0 without
	 * a row. */
	uint64_t row_version;
	/** Number of writes of the key map so far. */
	uint32_t attempt;
	/** Duration of new grants. */
	double hold_s;
	/** Incarnation that the VM's connection to an upstream reaches; 0 if
	 * not connected. */
	int64_t connected[UPSTREAM_COUNT];
	/** Queued grants to an upstream, which are sent one at a time. */
	GQueue pending[UPSTREAM_COUNT];
	/** A grant to an upstream was sent and has no result yet. */
	bool sending[UPSTREAM_COUNT];
	/** Number of connections opened to an upstream so far. */
	unsigned int connections_opened[UPSTREAM_COUNT];
	/** A partition separates the VM from an upstream, or from the store. */
	bool cut[UPSTREAM_COUNT];
	bool store_cut;
};

/** How the simulated store works now. */
enum store_mode {
	STORE_MODE_UP,
	STORE_MODE_DOWN,
	/** Writes take effect, but half of their answers are lost. */
	STORE_MODE_LOSES_ANSWERS,
	/** Half of the writes take effect seconds later. */
	STORE_MODE_LATE,
	/** Answers take some hundred milliseconds. */
	STORE_MODE_SLOW,
	/** Number of modes. */
	STORE_MODES,
};

struct world {
	double now_s;
	GRand *random;
	/** struct event, by time. */
	GSequence *events;
	struct vm vms[VM_COUNT];
	struct sim_upstream upstreams[UPSTREAM_COUNT];
	enum store_mode store_mode;
	/** The store's struct row, by the name of the table; each table has one
	 * row. */
	GHashTable *rows;
	/** Version of the row written last. */
	uint64_t version;
	/** Highest fencing token under which each sample key was granted, with
	 * the upstream and the incarnation that got it. */
	uint64_t fence[SAMPLES];
	int fence_upstream[SAMPLES];
	int64_t fence_incarnation[SAMPLES];
	/** Name of the violated rule, or NULL. */
	const char *violated_rule;
	/** See struct run_result. */
	uint64_t steps;
	uint64_t grants;
	uint64_t moves;
};

struct run_result {
	/** Name of the violated rule, or NULL. */
	const char *rule;
	/** Number of events that were run. */
	uint64_t steps;
	/** Number of grants that upstreams accepted. */
	uint64_t grants;
	/** Number of key ranges that got a new owner or fencing token. */
	uint64_t moves;
};

/** Runs a simulation whose faults are chosen by the input, to the end of the
 * input or to the first violated rule. */
struct run_result run_input(const uint8_t *data, size_t size);

/** Schedules a callback after a simulated delay. The callback frees data if
 * need be; world_destroy() runs the callbacks that are left. */
void world_at(struct world *world, double after_s,
	      void (*run)(struct world *world, void *data), void *data);
/** Returns a random number from low up to high, which is excluded. */
double world_random(struct world *world, double low, double high);

/** Connects a VM to the simulated store. */
void store_bind(struct vm *vm);
/** Removes all rows of the store, or creates it. */
void store_clear(struct world *world);

/** An order from a VM to an upstream, queued or in flight. */
struct delivery {
	struct vm *vm;
	unsigned int vm_incarnation;
	/** The allocator that issued the order; see struct vm. */
	unsigned int allocator_number;
	/** Which of the VM's connections to the upstream was open at that time.
	 */
	unsigned int connection_number;
	/** The incarnation at the other end of the connection that carries the
	 * order; 0: it is a new one. */
	int64_t connected_to;
	unsigned int upstream;
	struct key_order order;
	/** The order releases keys; otherwise it grants them. */
	bool release;
	/** The allocator has the result. */
	bool done;
	/** Number of scheduled events that refer to the delivery. */
	int events;
	/** When the order reached the upstream, and the incarnation there. */
	double arrived_s;
	int64_t arrived_incarnation;
};

/** Sends an order, which is copied, and later reports its result to the VM's
 * allocator. Grants to an upstream are queued. */
void sim_upstream_send(struct vm *vm, const struct key_order *order,
		       bool release);
/** Discards a VM's queued grants. */
void sim_upstream_drop_pending(struct vm *vm);
/** Start an upstream as a new incarnation without grants; stop one, which ends
 * its grants. */
void sim_upstream_start(struct world *world, unsigned int index);
void sim_upstream_stop(struct world *world, unsigned int index);

/** Start a VM that is down; stop one that is up, which loses its state. */
void vm_start(struct vm *vm);
void vm_stop(struct vm *vm);
/** Runs what is due in a VM, unless the VM is down or frozen. */
void vm_tick(struct vm *vm);
/** Returns whether the VM is the leader and its lease lasts long enough to send
 * an order. */
bool vm_may_order(const struct vm *vm);
/** Returns whether the VM is suspended. */
bool vm_is_frozen(const struct vm *vm);

#endif
