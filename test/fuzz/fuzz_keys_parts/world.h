/**
 * A world of VMs with their real leases and keepers, a store, and upstreams
 * that know only ranges, tokens and times. Time is simulated. Bytes of the
 * input choose what happens.
 */
#ifndef FUZZ_KEYS_WORLD_H
#define FUZZ_KEYS_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "keys/key_allocator.h"
#include "keys/lease.h"
#include "store/store.h"

#define VMS 3
#define TARGETS 4
/* Keys at which the oracle looks. */
#define SAMPLES 16
#define SAMPLE_STEP ((KEY_LAST + 1) / SAMPLES)
/* A target's clock runs slow by this factor. */
#define SLOW_CLOCK 1.02

struct world;

struct event {
	double at_s;
	void (*run)(struct world *world, void *data);
	void *data;
};

struct hold {
	uint64_t fence;
	double until_s;
};

struct target {
	char id[8];
	bool up;
	/** Neither answers nor refuses. */
	bool dark;
	int64_t started_ms;
	/** As the store says, some time later. */
	int64_t listed_ms;
	bool listed;
	bool leaving;
	/** Orders get no answer and are carried out late. */
	bool late;
	struct hold holds[SAMPLES];
	uint64_t seen[SAMPLES];
};

struct vm {
	struct world *world;
	unsigned int index;
	bool up;
	double frozen_until_s;
	/** Time that it spent frozen. */
	double frozen_s;
	unsigned int life;
	struct clock clock;
	struct loop loop;
	struct store store;
	struct lease *lease;
	struct key_allocator *allocator;
	/** Tells keepers of one process apart. */
	unsigned int allocator_number;
	bool leading;
	bool reading;
	uint64_t row_version;
	uint32_t attempt;
	double hold_s;
	/** The target's life that its connection reaches; 0: none. */
	int64_t connected[TARGETS];
	/** Grants to a target go out one after the other. */
	GQueue pending[TARGETS];
	bool sending[TARGETS];
	/** Number of the connection to a target. */
	unsigned int connection[TARGETS];
	bool cut[TARGETS];
	bool store_cut;
};

enum store_mode {
	STORE_MODE_UP,
	STORE_MODE_DOWN,
	/** Writes are done, answers are lost. */
	STORE_MODE_LOSES,
	/** Writes are done seconds later. */
	STORE_MODE_LATE,
	STORE_MODE_SLOW,
	STORE_MODES,
};

struct world {
	double now_s;
	GRand *random;
	GSequence *events;
	struct vm vms[VMS];
	struct target targets[TARGETS];
	enum store_mode store_mode;
	/** Rows by "table/key". */
	GHashTable *rows;
	uint64_t version;
	/** Highest token with which each sample was held, and by whom. */
	uint64_t fence[SAMPLES];
	int fence_target[SAMPLES];
	int64_t fence_life[SAMPLES];
	/** The rule that was broken, or NULL. */
	const char *broken;
	uint64_t steps;
	uint64_t grants;
	uint64_t moves;
};

struct run_result {
	const char *rule;
	uint64_t steps;
	uint64_t grants;
	uint64_t moves;
};

/** Plays an input. */
struct run_result run_input(const uint8_t *data, size_t size);

void world_at(struct world *world, double after_s,
	      void (*run)(struct world *world, void *data), void *data);
double world_random(struct world *world, double low, double high);

/** Fills in a VM's store. */
void store_bind(struct vm *vm);
void store_clear(struct world *world);

/** An order on its way. */
struct delivery {
	struct vm *vm;
	unsigned int vm_life;
	unsigned int allocator_number;
	unsigned int connection;
	unsigned int target;
	struct key_order order;
	bool release;
	bool done;
	/** Events that still refer to it. */
	int events;
	double arrived_s;
	int64_t arrived_life;
};

void target_send(struct vm *vm, const struct key_order *order, bool release);
/** Drops a VM's orders that were not sent. */
void target_forget(struct vm *vm);
void target_start(struct world *world, unsigned int index);
void target_stop(struct world *world, unsigned int index);

void vm_start(struct vm *vm);
void vm_stop(struct vm *vm);
void vm_tick(struct vm *vm);
bool vm_may_order(const struct vm *vm);
bool vm_is_frozen(const struct vm *vm);

#endif
