/* Tests of datagrams between VMs: of a broadcast, each VM receives one copy,
 * directly or through another VM that relays it. */
#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "entry/datagrams.h"
#include "suite.h"

#define VMS_MAX 90
/* Time, in seconds, after which a test stops waiting for datagrams. */
#define TIMEOUT_S 10.0

struct vm {
	struct datagrams *datagrams;
	struct sockaddr_in address;
	/** Number of heartbeats that the VM received. */
	unsigned int heartbeats;
	struct fixture *fixture;
};

struct fixture {
	struct loop loop;
	/** Metrics of all VMs together. */
	struct metrics *metrics;
	struct vm vms[VMS_MAX];
	unsigned int vms_count;
	/** Number of heartbeats after which the event loop stops. */
	unsigned int awaited_heartbeats;
	ev_timer timeout;
};

static void on_heartbeat(void *ctx, const LeaderBeat *beat)
{
	struct vm *vm = ctx;

	CU_ASSERT_STRING_EQUAL(beat->vm, "leader");
	vm->heartbeats++;
	if (!--vm->fixture->awaited_heartbeats)
		ev_break(vm->fixture->loop.ev, EVBREAK_ALL);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static const struct datagram_ops ops = { .heartbeat = on_heartbeat };

/* Returns a loopback address whose port was free a moment ago. */
static struct sockaddr_in free_address(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&address, len), 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	close(fd);
	return address;
}

static void open_datagrams(struct fixture *f, struct vm *vm)
{
	struct datagrams_options options = {
		.loop = &f->loop,
		.address = &vm->address,
		.zone = "zone",
		.metrics = f->metrics,
		.ops = &ops,
		.ctx = vm,
	};

	vm->datagrams = datagrams_create(&options, NULL);
}

static void setup(struct fixture *f, unsigned int count)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	f->vms_count = f->awaited_heartbeats = count;
	f->loop.ev = ev_loop_new(EVFLAG_AUTO);
	f->loop.clock = clock_system();
	f->metrics = metrics_create();
	for (i = 0; i < count; i++) {
		f->vms[i].fixture = f;
		f->vms[i].address = free_address();
		open_datagrams(f, &f->vms[i]);
		CU_ASSERT_PTR_NOT_NULL_FATAL(f->vms[i].datagrams);
	}
	ev_timer_init(&f->timeout, on_timeout, TIMEOUT_S, 0);
	ev_timer_start(f->loop.ev, &f->timeout);
}

static void teardown(struct fixture *f)
{
	unsigned int i;

	for (i = 0; i < f->vms_count; i++)
		datagrams_destroy(f->vms[i].datagrams);
	ev_loop_destroy(f->loop.ev);
	metrics_destroy(f->metrics);
}

/* Broadcasts a heartbeat from the first VM to all VMs, itself included. */
static void broadcast_heartbeat(struct fixture *f)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	char leader[] = "leader";
	unsigned int i;

	for (i = 0; i < f->vms_count; i++) {
		static const char *const zones[] = { "zone", "a", "b", "" };
		struct fanout_target target = {
			.address = f->vms[i].address,
			.zone = zones[i % G_N_ELEMENTS(zones)],
		};

		g_array_append_val(to, target);
	}
	beat.vm = leader;
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	datagrams_broadcast(f->vms[0].datagrams, to, FANOUT_ONCE, &message);
	CU_ASSERT_EQUAL(message.relay_to.len, 0);
	g_array_free(to, TRUE);
}

static void every_vm_receives_a_broadcast_once(void)
{
	static const unsigned int counts[] = { 1, 2, 16, 17, 30, 90 };
	struct fixture f;
	unsigned int i;
	size_t c;

	for (c = 0; c < sizeof(counts) / sizeof(counts[0]); c++) {
		setup(&f, counts[c]);
		broadcast_heartbeat(&f);
		ev_run(f.loop.ev, 0);
		for (i = 0; i < f.vms_count; i++)
			CU_ASSERT_EQUAL(f.vms[i].heartbeats, 1);
		teardown(&f);
	}
}

/* Relays are chosen at random for each message. So a lost VM makes another VM
 * miss a message now and then, but not every message. */
static void losing_a_relay_costs_others_one_message(void)
{
	enum { ROUNDS = 20 };
	struct fixture f;
	unsigned int i, round;

	setup(&f, 30);
	f.awaited_heartbeats = 0;
	datagrams_destroy(f.vms[7].datagrams);
	f.vms[7].datagrams = NULL;
	for (round = 0; round < ROUNDS; round++) {
		broadcast_heartbeat(&f);
		/* Deliver the copies from the sender and from the relays. */
		for (i = 0; i < 4; i++)
			ev_run(f.loop.ev, EVRUN_NOWAIT);
	}
	for (i = 0; i < f.vms_count; i++)
		if (i != 7)
			CU_ASSERT_TRUE(f.vms[i].heartbeats > ROUNDS / 2);
	open_datagrams(&f, &f.vms[7]);
	teardown(&f);
}

static uint64_t count(struct fixture *f, const char *name)
{
	return counter_value(
		metrics_counter(f->metrics, name, "kind=\"heartbeat\"", ""));
}

/* Guards against traffic that the counters leave out: relayed copies, or copies
 * to other zones counted as copies inside the sender's zone. */
static void the_meter_counts_all_copies(void)
{
	struct fixture f;
	uint64_t sent, other_zone;

	setup(&f, 60);
	broadcast_heartbeat(&f);
	ev_run(f.loop.ev, 0);
	CU_ASSERT_EQUAL(count(&f, "auburn_peer_messages_sent_total"), 60);
	CU_ASSERT_EQUAL(count(&f, "auburn_peer_messages_received_total"), 60);
	sent = count(&f, "auburn_peer_bytes_sent_total");
	CU_ASSERT_EQUAL(count(&f, "auburn_peer_bytes_received_total"), sent);
	/* The sender's three copies to other zones, with the longest lists. */
	other_zone = count(&f, "auburn_peer_bytes_sent_other_zone_total");
	CU_ASSERT_TRUE(other_zone > sent / 20 && other_zone < sent / 3);
	teardown(&f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "every VM receives a broadcast once",
		  every_vm_receives_a_broadcast_once },
		{ "losing a relay costs others one message",
		  losing_a_relay_costs_others_one_message },
		{ "the meter counts all copies", the_meter_counts_all_copies },
		{ 0 },
	};

	return suite_run("datagrams", cases);
}
