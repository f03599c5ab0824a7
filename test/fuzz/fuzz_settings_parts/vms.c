#include "vms.h"

#include <arpa/inet.h>
#include <stdio.h>

#include "membership/vm_table.h"
#include "oracle.h"

#define VM_COUNT 6
/* Snapshots that are kept; a list may be as old as the oldest of them. */
#define LAG_LIMIT 40
/* On average, one step in this many applies a list. */
#define LIST_ONE_IN 8

struct upstream {
	/* cut: the daemon can't reach the upstream. */
	bool alive, leaving, cut;
	/* Number of starts so far. */
	unsigned int incarnation;
	/* Time of the last answer, if answered is set: the VM table has
	 * recorded an answer. */
	int64_t answered_at;
	bool answered;
	/* Last incarnation that the VM table showed as leaving, or 0. */
	unsigned int leaving_incarnation;
	/* Incarnation of the last answer. */
	unsigned int answered_incarnation;
};

/* The VM list as it was at one step. */
struct snapshot {
	bool listed[VM_COUNT];
	bool leaving[VM_COUNT];
};

struct vms {
	struct vm_table *table;
	struct upstream upstreams[VM_COUNT];
	/* The latest snapshots, in a ring: number taken % LAG_LIMIT. */
	struct snapshot snapshots[LAG_LIMIT];
	/* Number of snapshots taken so far. */
	unsigned int taken;
	struct oracle *oracle;
};

struct vms *vms_create(struct oracle *oracle)
{
	struct vms *v = g_new0(struct vms, 1);
	size_t i;

	v->oracle = oracle;
	v->table = vm_table_create();
	for (i = 0; i < VM_COUNT; i++) {
		v->upstreams[i].alive = true;
		v->upstreams[i].incarnation = 1;
	}
	return v;
}

void vms_destroy(struct vms *v)
{
	vm_table_destroy(v->table);
	g_free(v);
}

void vms_change(struct vms *v, uint8_t choice)
{
	struct upstream *u = &v->upstreams[choice % VM_COUNT];

	switch (choice / VM_COUNT % 4) {
	case 0:
		u->alive = false;
		break;
	case 1:
		if (!u->alive) {
			u->alive = true;
			u->leaving = false;
			u->incarnation++;
		}
		break;
	case 2:
		u->leaving = true;
		break;
	case 3:
		u->cut = !u->cut;
		break;
	}
}

static void name_of(size_t index, char *name, size_t size)
{
	g_snprintf(name, (gulong)size, "vm-%zu", index);
}

static void take_snapshot(struct vms *v)
{
	struct snapshot *s = &v->snapshots[v->taken++ % LAG_LIMIT];
	size_t i;

	for (i = 0; i < VM_COUNT; i++) {
		s->listed[i] = v->upstreams[i].alive;
		s->leaving[i] = v->upstreams[i].leaving;
	}
}

/* Applies the VM list of a random snapshot to the VM table. */
static void apply_lagging_list(struct vms *v, GRand *rng, int64_t now_us)
{
	unsigned int known = MIN(v->taken, LAG_LIMIT);
	unsigned int age = g_rand_int(rng) % known;
	const struct snapshot *s =
		&v->snapshots[(v->taken - 1 - age) % LAG_LIMIT];
	struct vm list[VM_COUNT];
	char names[VM_COUNT][16];
	size_t i, count = 0;

	for (i = 0; i < VM_COUNT; i++) {
		if (!s->listed[i])
			continue;
		name_of(i, names[i], sizeof(names[i]));
		list[count] = (struct vm){ .id = names[i],
					   .service = (char *)"s",
					   .zone = (char *)"z",
					   .boot = (char *)"",
					   .leaving = s->leaving[i] };
		list[count].address.sin_port = htons((uint16_t)(i + 1));
		count++;
	}
	vm_table_apply_list(v->table, list, count, now_us);
}

/* Asks an upstream for its state, and records the answer if there is one. */
static void poll_upstream(struct vms *v, size_t i, int64_t now_us)
{
	struct upstream *u = &v->upstreams[i];
	char name[16], boot[16];

	if (!u->alive || u->cut)
		return;
	name_of(i, name, sizeof(name));
	g_snprintf(boot, sizeof(boot), "b%u", u->incarnation);
	if (!vm_table_record_answer(v->table, str_from(name), str_from(boot),
				    u->leaving, now_us))
		return;
	u->answered = true;
	u->answered_at = now_us;
	u->answered_incarnation = u->incarnation;
}

/* Checks that the VM table's state of a VM follows from the upstream's answers,
 * not from the VM list. */
static void check_vm(struct vms *v, size_t i, int64_t now_us)
{
	struct upstream *u = &v->upstreams[i];
	bool answered_recently =
		u->answered && now_us - u->answered_at < VM_LOST_US;
	enum vm_state state;
	char name[16];
	const struct vm *vm;

	name_of(i, name, sizeof(name));
	vm = vm_table_find(v->table, str_from(name), now_us, &state);
	if (!vm || state == VM_LOST || state == VM_NEW) {
		if (answered_recently)
			oracle_violate(v->oracle, "the list never kills a VM",
				       name);
		if (!vm)
			u->answered = false;
		return;
	}
	if (!answered_recently)
		oracle_violate(v->oracle, "the list never revives a VM", name);
	if (state == VM_LIVE &&
	    u->leaving_incarnation == u->answered_incarnation)
		oracle_violate(v->oracle,
			       "an incarnation that leaves gets no work", name);
	if (state == VM_LEAVING)
		u->leaving_incarnation = u->answered_incarnation;
}

void vms_step(struct vms *v, GRand *rng, int64_t now_us)
{
	size_t i;

	take_snapshot(v);
	if (g_rand_int(rng) % LIST_ONE_IN == 0)
		apply_lagging_list(v, rng, now_us);
	for (i = 0; i < VM_COUNT; i++)
		poll_upstream(v, i, now_us);
	vm_table_tick(v->table, now_us);
	for (i = 0; i < VM_COUNT; i++)
		check_vm(v, i, now_us);
}
