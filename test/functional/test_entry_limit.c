/*
 * Upstreams name a limit on what they take from all entry daemons together,
 * while callers send more than that. The stand-in counts what is over it.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_entry.h"
#include "suite.h"

#define ENTRIES 4
/* Callers, each of which sends one request after the other, and the pause
 * between them: 80 requests a second and a little less. */
#define CALLERS 8
#define PAUSE_US ((gulong)G_USEC_PER_SEC / 10)
/* Time to adapt to the limits, and time in which callers are counted. */
#define SETTLE_US ((gulong)4 * G_USEC_PER_SEC)
#define COUNT_US ((gulong)6 * G_USEC_PER_SEC)
/* Upstreams of the service "plain" beyond those of standin-site. */
#define MORE_UPSTREAMS 4
/* Keys that callers choose from. */
#define KEYS 65536

static struct entry_rig rig;

/* What callers send, and the answers that they got. */
static struct {
	const char *uri;
	const char *method;
	/* Set to end the callers, and to have them count. */
	gint stop, counting;
	gint served, refused, failed;
	/* Refused requests that the stand-in executed. */
	gint refused_but_run;
	gint sent;
} load;

static void send_one(unsigned int caller, unsigned int number)
{
	const struct entry *entry = &rig.entries[(caller + number) % ENTRIES];
	char id[32], id_line[64], key_line[32];
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 1000",
				  id_line, key_line, NULL };
	struct http_request request = {
		.address = entry->callers,
		.uri = load.uri,
		.method = load.method,
		.headers = headers,
		.body = "x",
	};
	struct http_answer *answer;

	g_snprintf(id, sizeof(id), "c%un%u", caller, number);
	g_snprintf(id_line, sizeof(id_line), "X-Request-Id: %s", id);
	g_snprintf(key_line, sizeof(key_line), "X-Shard-Key: %d",
		   g_random_int_range(0, KEYS));
	answer = http_send(&request);
	if (g_atomic_int_get(&load.counting)) {
		if (answer->status == 200)
			g_atomic_int_inc(&load.served);
		else if (answer->status == 503)
			g_atomic_int_inc(&load.refused);
		else
			g_atomic_int_inc(&load.failed);
	}
	if (answer->status == 503 && entry_rig_runs(&rig, id) != 0)
		g_atomic_int_inc(&load.refused_but_run);
	http_answer_destroy(answer);
}

static gpointer run_caller(gpointer data)
{
	unsigned int number = 0;

	while (!g_atomic_int_get(&load.stop)) {
		send_one(GPOINTER_TO_UINT(data), number++);
		g_usleep(PAUSE_US);
	}
	return NULL;
}

/* One service, and which of its upstreams name which limit. */
struct limit_row {
	const char *uri;
	const char *method;
	/** Indexes of the first and the last limited upstream. */
	unsigned int first, last;
	/** Requests per second that each of them names. */
	const char *per_s;
	/** Lowest number of served requests, and highest number of refused
	 * ones, in percent of all counted. */
	int served_percent, refused_percent;
	/** A VM stops and starts again meanwhile. */
	bool restart;
};

static void set_limits(const struct limit_row *row)
{
	unsigned int i;

	for (i = row->first; i <= row->last; i++) {
		char uri[48];

		g_snprintf(uri, sizeof(uri), "/control/limit?id=%u", i);
		entry_rig_command(&rig, uri, row->per_s);
	}
}

static void restart_one_vm(void)
{
	GError *error = NULL;

	process_terminate(rig.entries[0].process);
	process_wait_end(rig.entries[0].process, RIG_WAIT_US, NULL);
	if (!process_restart(rig.entries[0].process, &error))
		g_error("%s", error->message);
}

static void run_row(const struct limit_row *row)
{
	GThread *callers[CALLERS];
	int total;
	unsigned int i;

	memset(&load, 0, sizeof(load));
	load.uri = row->uri;
	load.method = row->method;
	entry_rig_start(&rig, ENTRIES, 6);
	entry_rig_command(&rig, "/control/more?id=" G_STRINGIFY(MORE_UPSTREAMS),
			  NULL);
	g_usleep(G_USEC_PER_SEC);
	for (i = 0; i < CALLERS; i++)
		callers[i] =
			g_thread_new("caller", run_caller, GUINT_TO_POINTER(i));
	g_usleep(G_USEC_PER_SEC);
	set_limits(row);
	g_usleep(SETTLE_US);
	if (row->restart)
		restart_one_vm();
	else
		g_atomic_int_set(&load.counting, 1);
	g_usleep(COUNT_US);
	g_atomic_int_set(&load.stop, 1);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	total = load.served + load.refused + load.failed;
	printf("# served %d, refused %d, failed %d, over the limit %d\n",
	       load.served, load.refused, load.failed,
	       entry_rig_count(&rig, "over_limit"));
	CU_ASSERT_EQUAL(entry_rig_count(&rig, "over_limit"), 0);
	CU_ASSERT_TRUE(load.served * 100 >= row->served_percent * total);
	CU_ASSERT_TRUE(load.refused * 100 <= row->refused_percent * total);
	CU_ASSERT_EQUAL(load.refused_but_run, 0);
	entry_rig_stop(&rig);
}

static void upstreams_get_no_more_than_the_limit_that_they_name(void)
{
	static const struct limit_row rows[] = {
		/* Four of six upstreams, the others have room. */
		{ "/plain/a", "GET", 4, 7, "2.0", 98, 2, false },
		{ "/once/a", "POST", 4, 7, "2.0", 98, 2, false },
		/* One of the two owners of keys: the keys move. */
		{ "/keyed/a", "GET", 2, 2, "3.0", 90, 10, false },
		{ "/keyed/a", "GET", 2, 2, "3.0", 0, 100, true },
		/* No upstream has room for what is over the limits: about 75
		 * requests a second come, and 30 are taken. */
		{ "/plain/a", "GET", 0, 7, "5.0", 24, 76, false },
		{ "/keyed/a", "GET", 2, 3, "15.0", 24, 76, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_row(&rows[i]);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "upstreams get no more than the limit that they name",
		  upstreams_get_no_more_than_the_limit_that_they_name },
		{ 0 },
	};

	return suite_run("entry_limit", cases);
}
