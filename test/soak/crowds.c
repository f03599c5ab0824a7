#include "crowds.h"

#include <glib.h>

#include "cluster_sender.h"

/* Callers of a crowd. */
#define CROWD_CALLERS 60
/* Bounds on the time before a crowd and on the time that it stays. */
#define PAUSE_MIN_S 0.2
#define PAUSE_MAX_S 3.0
#define STAY_MIN_S 0.5
#define STAY_MAX_S 4.0
/* A crowd sends as much as it can until nothing moves for so long. */
#define STILL_MS 100

static const struct sender senders[] = {
	SENDER_IN_PIECES(100),	SENDER_LARGE_CHUNKS("0\r\n"),
	SENDER_ONE_BYTE_CHUNKS, SENDER_ENDLESS_HEAD,
	SENDER_EXPECT_ONLY,	SENDER_SMALL_CUT_SHORT,
	SENDER_PIPELINED,
};

struct crowds {
	GThread *thread;
	GRand *random;
	const char *const *addresses;
	unsigned int count;
	struct crowd_message messages[G_N_ELEMENTS(senders)];
	/* Set to end the thread. */
	gint stop;
	unsigned int run;
};

/* Waits, but not beyond the end of the run. */
static void pause_for(const struct crowds *crowds, double seconds)
{
	gint64 end_us =
		g_get_monotonic_time() + (gint64)(seconds * G_USEC_PER_SEC);

	while (!g_atomic_int_get(&crowds->stop) &&
	       g_get_monotonic_time() < end_us)
		g_usleep(G_USEC_PER_SEC / 50);
}

/* Runs a crowd until its time is over or its daemon has closed all its
 * connections. */
static void run_crowd(struct crowds *crowds, const char *address,
		      double seconds)
{
	gint64 end_us =
		g_get_monotonic_time() + (gint64)(seconds * G_USEC_PER_SEC);
	struct crowd *crowd =
		crowd_create_mixed(address, CROWD_CALLERS, crowds->messages,
				   G_N_ELEMENTS(senders));

	while (!g_atomic_int_get(&crowds->stop) && crowd_open(crowd) &&
	       g_get_monotonic_time() < end_us)
		crowd_run(crowd, STILL_MS);
	crowd_destroy(crowd);
	crowds->run++;
}

static gpointer run_crowds(gpointer data)
{
	struct crowds *crowds = data;

	while (!g_atomic_int_get(&crowds->stop)) {
		double pause_s = g_rand_double_range(crowds->random,
						     PAUSE_MIN_S, PAUSE_MAX_S);
		double stay_s = g_rand_double_range(crowds->random, STAY_MIN_S,
						    STAY_MAX_S);
		guint32 daemon = g_rand_int(crowds->random) % crowds->count;

		pause_for(crowds, pause_s);
		if (!g_atomic_int_get(&crowds->stop))
			run_crowd(crowds, crowds->addresses[daemon], stay_s);
	}
	return NULL;
}

struct crowds *crowds_start(const char *const *addresses, unsigned int count,
			    unsigned int seed)
{
	struct crowds *crowds = g_new0(struct crowds, 1);
	size_t i;

	crowds->random = g_rand_new_with_seed(seed);
	crowds->addresses = addresses;
	crowds->count = count;
	for (i = 0; i < G_N_ELEMENTS(senders); i++)
		crowds->messages[i] = sender_message(&senders[i]);
	crowds->thread = g_thread_new("crowds", run_crowds, crowds);
	return crowds;
}

unsigned int crowds_stop(struct crowds *crowds)
{
	unsigned int run;
	size_t i;

	g_atomic_int_set(&crowds->stop, 1);
	g_thread_join(crowds->thread);
	for (i = 0; i < G_N_ELEMENTS(senders); i++)
		sender_free_message(&crowds->messages[i]);
	g_rand_free(crowds->random);
	run = crowds->run;
	g_free(crowds);
	return run;
}
