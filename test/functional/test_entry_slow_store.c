/*
 * VMs that missed changes of the configuration while the store answers late, as
 * on a machine that is short of processor time.
 */
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "cluster_entry.h"
#include "suite.h"

/* Number of auburn-entry processes: a leader, its three backups and others. */
#define ENTRIES 6
#define GRACE_S 6
/* Time for which the VMs are frozen after the change: longer than it is
 * relayed. */
#define FROZEN_US (1800 * G_TIME_SPAN_MILLISECOND)
/* Datagrams that fill the receive buffer of a frozen VM. */
#define DATAGRAMS 4000
#define DATAGRAM_BYTES 512

static struct entry_rig rig;

/* Fills the receive buffer of a frozen VM, so that it gets no later datagrams.
 */
static void fill_receive_buffer(const struct entry *entry)
{
	static const char bytes[DATAGRAM_BYTES];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address;
	unsigned int i;

	CU_ASSERT_TRUE_FATAL(address_parse(str_from(entry->peers), &address));
	for (i = 0; i < DATAGRAMS; i++)
		sendto(fd, bytes, sizeof(bytes), 0, (struct sockaddr *)&address,
		       sizeof(address));
	close(fd);
}

static void signal_followers(int signal_number, const bool *leading)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++)
		if (!leading[i])
			kill(process_pid(rig.entries[i].process),
			     signal_number);
}

static void a_missed_change_is_read_from_a_store_that_answers_late(void)
{
	static const char *const delays[] = {
		"/control/slow?id=0",
		"/control/slow?id=350",
		"/control/slow?id=700",
	};
	size_t n;

	for (n = 0; n < G_N_ELEMENTS(delays); n++) {
		bool leading[ENTRIES];
		unsigned int i;

		entry_rig_start(&rig, ENTRIES, GRACE_S);
		for (i = 0; i < ENTRIES; i++)
			leading[i] = entry_leads(&rig.entries[i]);
		signal_followers(SIGSTOP, leading);
		for (i = 0; i < ENTRIES; i++)
			if (!leading[i])
				fill_receive_buffer(&rig.entries[i]);
		entry_rig_command(&rig, delays[n], NULL);
		entry_rig_command(&rig, "/control/config",
				  ENTRY_CONFIG("r5", "/added/"));
		g_usleep(FROZEN_US);
		signal_followers(SIGCONT, leading);
		for (i = 0; i < ENTRIES; i++)
			CU_ASSERT_TRUE(process_wait_until(
				entry_serves_added_route, &rig.entries[i],
				RIG_WAIT_US));
		entry_rig_stop(&rig);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a missed change is read from a store that answers late",
		  a_missed_change_is_read_from_a_store_that_answers_late },
		{ 0 },
	};

	return suite_run("entry_slow_store", cases);
}
