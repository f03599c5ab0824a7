/* Tests of the distribution of broadcasts in fleets of 1 to 490 VMs in several
 * zones: every VM gets each message, few copies cross zones, no VM sends many,
 * and a relay or zone that is lost costs the others little. */
#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "fanout/fanout.h"
#include "suite.h"

#define VMS_MAX 490
#define ROUNDS 200

struct vm {
	const char *zone;
	/** The VM gets no messages. */
	bool lost;
	/** Copies received and sent, since the last reset. */
	unsigned int received, sent;
};

struct fixture {
	struct vm vms[VMS_MAX];
	unsigned int count;
	unsigned int zones;
	/** Copies of the last message that went from one zone to another. */
	unsigned int crossed;
	GRand *random;
	/** VM that sends the copies that are being delivered. */
	unsigned int sender;
};

static const char *const zone_names[] = { "a", "b", "c", "d", "e" };

static const struct {
	unsigned int vms, zones;
} fleets[] = {
	{ 1, 1 },   { 2, 2 },	{ 16, 3 },  { 17, 3 },	{ 18, 5 },
	{ 30, 3 },  { 30, 5 },	{ 100, 3 }, { 100, 4 }, { 300, 3 },
	{ 300, 5 }, { 490, 3 }, { 490, 5 },
};

static void setup(struct fixture *f, unsigned int vms, unsigned int zones)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	f->count = vms;
	f->zones = zones;
	f->random = g_rand_new_with_seed(vms + zones);
	for (i = 0; i < vms; i++)
		f->vms[i].zone = zone_names[i % zones];
}

static void teardown(struct fixture *f)
{
	g_rand_free(f->random);
}

static struct sockaddr_in address_of(unsigned int vm)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(7000),
		.sin_addr.s_addr = htonl(0x0a000000 + vm),
	};
}

/* Delivers a copy and, at its recipient, the copies that it relays. */
static void deliver(void *ctx, const struct fanout_copy *copy)
{
	struct fixture *f = ctx;
	unsigned int sender = f->sender;
	unsigned int to = ntohl(copy->to->sin_addr.s_addr) - 0x0a000000;
	struct vm *vm = &f->vms[to];

	CU_ASSERT_FATAL(to < f->count);
	CU_ASSERT_EQUAL(copy->to->sin_port, htons(7000));
	f->vms[sender].sent++;
	f->crossed += strcmp(f->vms[sender].zone, vm->zone) != 0;
	if (vm->lost)
		return;
	vm->received++;
	f->sender = to;
	fanout_relay(copy->relay_to, copy->relay_to_len, copy->width, deliver,
		     f);
	f->sender = sender;
}

/* Sends a message from VM 0 to all others. */
static void broadcast(struct fixture *f, enum fanout_way way)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	struct fanout_plan plan = {
		.zone = f->vms[0].zone,
		.way = way,
		.random = f->random,
	};
	unsigned int i;

	for (i = 0; i < f->count; i++)
		f->vms[i].sent = f->vms[i].received = 0;
	for (i = 1; i < f->count; i++) {
		struct fanout_target target = { address_of(i), f->vms[i].zone };

		g_array_append_val(to, target);
	}
	f->crossed = 0;
	f->sender = 0;
	fanout_send(&plan, to, deliver, f);
	g_array_free(to, TRUE);
}

/* Most copies that a VM may send of a message. The sender reaches the other
 * zones besides its own. */
static unsigned int most_sent(const struct fixture *f, unsigned int vm)
{
	unsigned int members = f->count / f->zones + 1;
	unsigned int width = (unsigned int)ceil(sqrt(members));

	if (f->count <= FANOUT_DIRECT_MAX + 1)
		return vm ? 0 : FANOUT_DIRECT_MAX;
	return vm ? width : width + f->zones - 1;
}

static void every_vm_gets_each_message_once(void)
{
	size_t fleet;
	unsigned int i, round;

	for (fleet = 0; fleet < G_N_ELEMENTS(fleets); fleet++) {
		struct fixture f;

		setup(&f, fleets[fleet].vms, fleets[fleet].zones);
		for (round = 0; round < ROUNDS; round++) {
			broadcast(&f, FANOUT_ONCE);
			for (i = 1; i < f.count; i++)
				CU_ASSERT_EQUAL(f.vms[i].received, 1);
			for (i = 0; i < f.count; i++)
				CU_ASSERT_TRUE(f.vms[i].sent <=
					       most_sent(&f, i));
			if (f.count > FANOUT_DIRECT_MAX + 1)
				CU_ASSERT_EQUAL(f.crossed, f.zones - 1);
		}
		teardown(&f);
	}
}

/* Guards against a large message that fills the sender's link. */
static void a_sender_can_be_spared(void)
{
	struct fixture f;
	unsigned int i;

	setup(&f, 300, 3);
	broadcast(&f, FANOUT_SPARING);
	for (i = 1; i < f.count; i++)
		CU_ASSERT_EQUAL(f.vms[i].received, 1);
	CU_ASSERT_EQUAL(f.vms[0].sent, 3);
	CU_ASSERT_EQUAL(f.crossed, 2);
	teardown(&f);
}

/* Guards against a VM without a zone being left out, or being sent to by each
 * VM of some zone. */
static void vms_of_unknown_zone_get_each_message(void)
{
	struct fixture f;
	unsigned int i;

	setup(&f, 100, 3);
	for (i = 1; i < f.count; i += 9)
		f.vms[i].zone = "";
	broadcast(&f, FANOUT_ONCE);
	for (i = 1; i < f.count; i++)
		CU_ASSERT_EQUAL(f.vms[i].received, 1);
	CU_ASSERT_EQUAL(f.crossed, 3);
	f.vms[0].zone = "";
	broadcast(&f, FANOUT_ONCE);
	for (i = 1; i < f.count; i++)
		CU_ASSERT_EQUAL(f.vms[i].received, 1);
	teardown(&f);
}

/* Sends ROUNDS messages while one VM of each zone is lost. Returns the share of
 * messages that the other VMs missed; *longest is the longest run of messages
 * that one VM missed. */
static double missed_share(struct fixture *f, enum fanout_way way,
			   unsigned int *longest)
{
	unsigned int run[VMS_MAX] = { 0 };
	unsigned int i, round, missed = 0;

	*longest = 0;
	for (i = 1; i <= f->zones; i++)
		f->vms[i].lost = true;
	for (round = 0; round < ROUNDS; round++) {
		broadcast(f, way);
		for (i = f->zones + 1; i < f->count; i++) {
			run[i] = f->vms[i].received ? 0 : run[i] + 1;
			missed += !f->vms[i].received;
			*longest = MAX(*longest, run[i]);
		}
	}
	return missed / (double)ROUNDS / (f->count - 1 - f->zones);
}

/* A lost VM that relays makes others miss that message, and hardly the next
 * one. Copies by two relays reach nearly all. */
static void a_lost_relay_costs_one_message(void)
{
	size_t fleet;
	unsigned int longest;

	for (fleet = 5; fleet < G_N_ELEMENTS(fleets); fleet++) {
		struct fixture f;
		/* A VM depends on the relay of its zone and on one inside. */
		double share = 2.0 * fleets[fleet].zones / fleets[fleet].vms;

		setup(&f, fleets[fleet].vms, fleets[fleet].zones);
		CU_ASSERT_TRUE(missed_share(&f, FANOUT_ONCE, &longest) <
			       2 * share);
		CU_ASSERT_TRUE(longest <= 5);
		teardown(&f);
		setup(&f, fleets[fleet].vms, fleets[fleet].zones);
		CU_ASSERT_TRUE(missed_share(&f, FANOUT_TWICE, &longest) <
			       share / 2);
		CU_ASSERT_TRUE(longest <= 3);
		teardown(&f);
	}
}

static void a_zone_that_is_cut_off_costs_the_others_nothing(void)
{
	struct fixture f;
	unsigned int i, round;

	setup(&f, 300, 3);
	for (i = 1; i < f.count; i++)
		f.vms[i].lost = !strcmp(f.vms[i].zone, "b");
	for (round = 0; round < ROUNDS; round++) {
		broadcast(&f, FANOUT_ONCE);
		for (i = 1; i < f.count; i++)
			CU_ASSERT_EQUAL(f.vms[i].received, !f.vms[i].lost);
	}
	teardown(&f);
}

/* Guards against a received list that is damaged or has no width. */
static void a_damaged_relay_list_is_survived(void)
{
	struct fixture f;
	struct sockaddr_in to = address_of(1);
	uint8_t list[8] = { 0 };

	setup(&f, 2, 1);
	memcpy(list, &to.sin_addr, 4);
	memcpy(list + 4, &to.sin_port, 2);
	fanout_relay(list, sizeof(list), 0, deliver, &f);
	CU_ASSERT_EQUAL(f.vms[1].received, 1);
	fanout_relay(list, 5, 3, deliver, &f);
	fanout_relay(NULL, 0, 3, deliver, &f);
	CU_ASSERT_EQUAL(f.vms[1].received, 1);
	teardown(&f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "every VM gets each message once",
		  every_vm_gets_each_message_once },
		{ "a sender can be spared", a_sender_can_be_spared },
		{ "VMs of unknown zone get each message",
		  vms_of_unknown_zone_get_each_message },
		{ "a lost relay costs one message",
		  a_lost_relay_costs_one_message },
		{ "a zone that is cut off costs the others nothing",
		  a_zone_that_is_cut_off_costs_the_others_nothing },
		{ "a damaged relay list is survived",
		  a_damaged_relay_list_is_survived },
		{ 0 },
	};

	return suite_run("fanout", cases);
}
