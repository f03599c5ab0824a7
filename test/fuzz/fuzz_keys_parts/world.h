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
/* Number of sample keys that the oracle checks. */
#define SAMPLES 16
#define SAMPLE_STEP ((KEY_LAST + 1) / SAMPLES)
/* The clocks of upstreams run slow by this factor. */
#define SLOW_CLOCK 1.02

struct world;

/** A callback at a simulated time. */
struct event {
	double at_s;
	void (*run)(struct world *world, void *data);
	void *data;
};

/** A grant that an upstream holds for a sample key. */
struct hold {
	uint64_t fence;
	double until_s;
};

struct sim_upstream {
	char id[8];
	bool up;
	/** Neither answers nor refuses connections. */
	bool unresponsive;
	int64_t started_ms;
	/** The incarnation in the list of upstreams, which lags. */
	int64_t listed_ms;
	bool listed;
	bool leaving;
	/** Some orders get no answer and take effect late. */
	bool delays_orders;
	struct hold holds[SAMPLES];
	/** Highest fencing token received, by sample key. */
	uint64_t highest_fence[SAMPLES];
};

struct vm {
	struct world *world;
	unsigned int index;
	bool up;
	double frozen_until_s;
	/** Total time during which the VM was frozen (suspended). */
	double frozen_s;
	unsigned int incarnation;
	struct clock clock;
	struct loop loop;
	struct store store;
	struct lease *lease;
	struct key_allocator *allocator;
	/** Number of allocators created by this process so far. */
	unsigned int allocator_number;
	bool leading;
	bool reading;
	uint64_t row_version;
	uint32_t attempt;
	double hold_s;
	/** Incarnation that the VM's connection to an upstream reaches; 0 if
	 * not connected. */
	int64_t connected[UPSTREAM_COUNT];
	/** Queued grants to an upstream, which are sent one at a time. */
	GQueue pending[UPSTREAM_COUNT];
	bool sending[UPSTREAM_COUNT];
	/** Number of connections opened to an upstream so far. */
	unsigned int connection[UPSTREAM_COUNT];
	/** The network to an upstream, or to the store, is partitioned. */
	bool cut[UPSTREAM_COUNT];
	bool store_cut;
};

enum store_mode {
	STORE_MODE_UP,
	STORE_MODE_DOWN,
	/** Writes take effect, but half of their answers are lost. */
	STORE_MODE_LOSES_ANSWERS,
	/** Half of the writes take effect seconds later. */
	STORE_MODE_LATE,
	STORE_MODE_SLOW,
	STORE_MODES,
};

struct world {
	double now_s;
	GRand *random;
	GSequence *events;
	struct vm vms[VM_COUNT];
	struct sim_upstream upstreams[UPSTREAM_COUNT];
	enum store_mode store_mode;
	/** Rows of the store, by the name of their table. */
	GHashTable *rows;
	uint64_t version;
	/** Highest fencing token under which each sample key was granted, with
	 * the upstream and the incarnation that got it. */
	uint64_t fence[SAMPLES];
	int fence_upstream[SAMPLES];
	int64_t fence_incarnation[SAMPLES];
	/** Name of the violated rule, or NULL. */
	const char *broken;
	uint64_t steps;
	uint64_t grants;
	uint64_t moves;
};

struct run_result {
	/** Name of the violated rule, or NULL. */
	const char *rule;
	uint64_t steps;
	uint64_t grants;
	uint64_t moves;
};

/** Runs a simulation whose faults are chosen by the input. */
struct run_result run_input(const uint8_t *data, size_t size);

/** Schedules a callback after a simulated delay. */
void world_at(struct world *world, double after_s,
	      void (*run)(struct world *world, void *data), void *data);
double world_random(struct world *world, double low, double high);

/** Connects a VM to the simulated store. */
void store_bind(struct vm *vm);
/** Removes all rows. */
void store_clear(struct world *world);

/** An order in flight from a VM to an upstream. */
struct delivery {
	struct vm *vm;
	unsigned int vm_incarnation;
	unsigned int allocator_number;
	unsigned int connection;
	unsigned int upstream;
	struct key_order order;
	bool release;
	bool done;
	/** Number of scheduled events that refer to the delivery. */
	int events;
	double arrived_s;
	int64_t arrived_incarnation;
};

/** Sends an order and later reports its result to the VM's allocator. */
void sim_upstream_send(struct vm *vm, const struct key_order *order,
		       bool release);
/** Discards a VM's queued grants. */
void sim_upstream_drop_pending(struct vm *vm);
void sim_upstream_start(struct world *world, unsigned int index);
void sim_upstream_stop(struct world *world, unsigned int index);

void vm_start(struct vm *vm);
void vm_stop(struct vm *vm);
void vm_tick(struct vm *vm);
/** Whether the VM's lease lasts long enough to send an order. */
bool vm_may_order(const struct vm *vm);
bool vm_is_frozen(const struct vm *vm);

#endif
